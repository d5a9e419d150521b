package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import mastdrift.distribution.Change;
import mastdrift.distribution.Edit;
import mastdrift.distribution.ResourceKind;

/** Reads a change of configuration from a file (TOML 1.0): {@code [[upsert]]} with kind, name and value, {@code [[delete]]} with kind and name, and a closing line, so that the half of a change
    is no change. All problems are reported at once, each with its place; docs/operations/distribution.md lists the keys. */
public final class ChangeReader {

    private static final List<ResourceKind> KINDS = List.of(ResourceKind.values());
    private static final List<String> WORDS = KINDS.stream().map(kind -> kind.name().toLowerCase(Locale.ROOT)).toList();

    private ChangeReader() { }

    /** What came of a file: a change, or null and the problems. */
    public record Result(Change change, List<String> problems) { }

    /** Reads one; {@code id} is the change's where the file has none. */
    public static Result read(String file, String text, String id) {
        Problems problems = new Problems();
        Closing.check(file, text, -1, problems);
        Section root = Section.root(file, text, problems);
        Change change = root == null ? null : change(root, id);
        return new Result(problems.none() ? change : null, problems.lines());
    }

    private static Change change(Section root, String absent) {
        String id = root.text("id", absent);
        if (id.length() > Change.MAX_ID_CHARS) {
            root.problem("id", "expected 1 to " + Change.MAX_ID_CHARS + " characters, found " + id.length());
        }
        List<Edit> edits = new ArrayList<>();
        Set<String> met = Section.met();
        for (Section each : root.sections("upsert", Change.MAX_EDITS)) {
            ResourceKind kind = kind(each);
            String name = name(each, kind, met);
            byte[] value = each.json("value");
            if (value == null && !each.has("value")) {
                each.problem("value", "expected a table, found nothing");
            }
            String problem = value == null || kind == null || name.equals("?") ? null : ResourceValues.problem(kind, name, value);
            if (problem != null) {
                each.problem("value", problem);
            }
            edits.add(new Edit.Upsert(kind, name, value, expected(each)));
            each.noMore();
        }
        for (Section each : root.sections("delete", Change.MAX_EDITS)) {
            ResourceKind kind = kind(each);
            edits.add(new Edit.Delete(kind, name(each, kind, met), expected(each)));
            each.noMore();
        }
        root.noMore();
        if (edits.isEmpty()) {
            root.problem("upsert", "expected at least one [[upsert]] or [[delete]], found none");
        }
        if (edits.size() > Change.MAX_EDITS) {
            root.problem("upsert", "expected at most " + Change.MAX_EDITS + " edits, found " + edits.size());
        }
        return new Change(id, edits);
    }

    private static ResourceKind kind(Section section) {
        ResourceKind kind = section.word("kind", null, WORDS, KINDS);
        if (!section.has("kind")) {
            section.problem("kind", "expected one of " + String.join(", ", WORDS) + ", found nothing");
        }
        return kind;
    }

    private static String name(Section section, ResourceKind kind, Set<String> met) {
        String name = Tables.word(section, "name", section.requiredText("name"));
        section.once("name", kind + " " + name, met);
        return name;
    }

    /** Without it whatever version there is will do. */
    private static long expected(Section section) {
        return section.whole("expected", Edit.ANY_VERSION, Edit.NOT_PRESENT, Long.MAX_VALUE);
    }

    /** A kind by its word; null for none. */
    public static ResourceKind kind(String word) {
        int at = WORDS.indexOf(word);
        return at < 0 ? null : KINDS.get(at);
    }
}
