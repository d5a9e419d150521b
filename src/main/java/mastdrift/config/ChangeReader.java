package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import mastdrift.distribution.Change;
import mastdrift.distribution.Edit;
import mastdrift.distribution.ResourceKind;

/**
 * Reads a configuration change from a TOML 1.0 file: {@code [[upsert]]} tables with kind, name and value, {@code
 * [[delete]]} tables with kind and name, and a closing line, so that a truncated file is not accepted as a change. All
 * problems are reported at once, each with its location; docs/operations/distribution.md lists the keys.
 */
public final class ChangeReader {

    private static final List<ResourceKind> KINDS = List.of(ResourceKind.values());
    private static final List<String> KIND_NAMES = KINDS.stream().map(kind -> kind.name().toLowerCase(Locale.ROOT))
            .toList();

    private ChangeReader() { }

    /** The outcome of reading a file: a change, or null and the problems. */
    public record Result(Change change, List<String> problems) { }

    /** Reads a change; {@code id} becomes the change's identifier where the file has none. */
    public static Result read(String file, String text, String id) {
        Problems problems = new Problems();
        ClosingLine.check(file, text, -1, problems);
        Section root = Section.root(file, text, problems);
        Change change = root == null ? null : readChange(root, id);
        return new Result(problems.isEmpty() ? change : null, problems.lines());
    }

    private static Change readChange(Section root, String defaultId) {
        String id = root.text("id", defaultId);
        if (id.length() > Change.MAX_ID_CHARS) {
            root.addProblem("id", "expected 1 to " + Change.MAX_ID_CHARS + " characters, found " + id.length());
        }
        List<Edit> edits = new ArrayList<>();
        Set<String> seen = Section.newSeenSet();
        for (Section each : root.sections("upsert", Change.MAX_EDITS)) {
            ResourceKind kind = kind(each);
            String name = readName(each, kind, seen);
            byte[] value = each.jsonBytes("value");
            if (value == null && !each.has("value")) {
                each.addProblem("value", "expected a table, found nothing");
            }
            String problem = value == null || kind == null || name.equals("?") ? null : ResourceValues.findProblems(kind, name, value);
            if (problem != null) {
                each.addProblem("value", problem);
            }
            edits.add(new Edit.Upsert(kind, name, value, readExpectedVersion(each)));
            each.rejectUnknownKeys();
        }
        for (Section each : root.sections("delete", Change.MAX_EDITS)) {
            ResourceKind kind = kind(each);
            edits.add(new Edit.Delete(kind, readName(each, kind, seen), readExpectedVersion(each)));
            each.rejectUnknownKeys();
        }
        root.rejectUnknownKeys();
        if (edits.isEmpty()) {
            root.addProblem("upsert", "expected at least one [[upsert]] or [[delete]], found none");
        }
        if (edits.size() > Change.MAX_EDITS) {
            root.addProblem("upsert", "expected at most " + Change.MAX_EDITS + " edits, found " + edits.size());
        }
        return new Change(id, edits);
    }

    private static ResourceKind kind(Section section) {
        ResourceKind kind = section.oneOf("kind", null, KIND_NAMES, KINDS);
        if (!section.has("kind")) {
            section.addProblem("kind", "expected one of " + String.join(", ", KIND_NAMES) + ", found nothing");
        }
        return kind;
    }

    private static String readName(Section section, ResourceKind kind, Set<String> seen) {
        String name = Tables.checkName(section, "name", section.requiredText("name"));
        section.requireUnique("name", kind + " " + name, seen);
        return name;
    }

    /** The version that the resource must have for the edit to apply; any version when the key is absent. */
    private static long readExpectedVersion(Section section) {
        return section.integer("expected", Edit.ANY_VERSION, Edit.NOT_PRESENT, Long.MAX_VALUE);
    }

    /** The resource kind with this lower-case name; null if there is none. */
    public static ResourceKind kind(String name) {
        int index = KIND_NAMES.indexOf(name);
        return index < 0 ? null : KINDS.get(index);
    }
}
