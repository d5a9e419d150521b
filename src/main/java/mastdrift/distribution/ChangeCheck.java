package mastdrift.distribution;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Looks at a change before it is agreed on, so that what can't be applied anywhere doesn't get that far. Tells all that is wrong at once, each with place, expected and found,
    {@value #PROBLEMS_MOST} at most. */
public final class ChangeCheck {

    /** Problems that are told, at most. */
    public static final int PROBLEMS_MOST = 32;
    /** What a change takes beside names and values, and an edit, at most. */
    private static final int EDIT_BYTES = 32;

    private final ValueCheck values;

    /** With a check of what values mean. */
    public ChangeCheck(ValueCheck values) {
        this.values = values;
    }

    /** What is wrong with a change; empty for nothing. */
    public List<String> problems(Change change) {
        List<String> problems = new ArrayList<>();
        shape(change, problems, PROBLEMS_MOST);
        for (int i = 0; i < change.edits().size() && problems.size() < PROBLEMS_MOST; i++) {
            Edit edit = change.edits().get(i);
            if (edit instanceof Edit.Upsert upsert && upsert.value().length <= Resource.VALUE_MOST) {
                String text = text(upsert.value());
                String problem = text == null ? values.problem(edit.kind(), edit.name(), upsert.value()) : text;
                if (problem != null) {
                    problems.add(Table.place(i, edit) + ": value: " + problem);
                }
            }
        }
        return problems;
    }

    /** The first thing that keeps a change from being applied at any table, whatever its values mean; null for none. The same at every machine. */
    static String shape(Change change) {
        List<String> problems = new ArrayList<>();
        shape(change, problems, 1);
        return problems.isEmpty() ? null : problems.get(0);
    }

    private static void shape(Change change, List<String> problems, int most) {
        if (change.id().isEmpty() || change.id().length() > Change.ID_MOST) {
            add(problems, most, "id: expected 1 to " + Change.ID_MOST + " characters, found " + change.id().length());
        }
        if (change.edits().isEmpty() || change.edits().size() > Change.EDITS_MOST) {
            add(problems, most, "edits: expected 1 to " + Change.EDITS_MOST + ", found " + change.edits().size());
        }
        long bytes = EDIT_BYTES + 3L * change.id().length();
        List<Set<String>> seen = new ArrayList<>();
        for (int i = 0; i < ResourceKind.values().length; i++) {
            seen.add(new HashSet<>());
        }
        for (int i = 0; i < change.edits().size() && problems.size() < most; i++) {
            Edit edit = change.edits().get(i);
            String name = nameProblem(edit.name());
            if (name != null) {
                add(problems, most, "edits[" + i + "]: name: " + name);
            } else if (!seen.get(edit.kind().ordinal()).add(edit.name())) {
                add(problems, most, Table.place(i, edit) + ": expected each resource once, found it again");
            }
            if (edit.expectedVersion() < Edit.ANY) {
                add(problems, most, Table.place(i, edit) + ": expected: expected a version, 0 for none there or -1 for any, found " + edit.expectedVersion());
            }
            int value = edit instanceof Edit.Upsert upsert ? upsert.value().length : 0;
            if (value > Resource.VALUE_MOST) {
                add(problems, most, Table.place(i, edit) + ": value: expected at most " + Resource.VALUE_MOST + " bytes, found " + value);
            }
            bytes += EDIT_BYTES + edit.name().getBytes(StandardCharsets.UTF_8).length + value;
        }
        if (bytes > Change.BYTES_MOST) {
            add(problems, most, "change: expected at most " + Change.BYTES_MOST + " bytes, found " + bytes);
        }
    }

    private static void add(List<String> problems, int most, String problem) {
        if (problems.size() < most) {
            problems.add(problem);
        }
    }

    private static String nameProblem(String name) {
        if (name.isEmpty() || name.length() > Resource.NAME_MOST) {
            return "expected 1 to " + Resource.NAME_MOST + " characters, found " + name.length();
        }
        for (int i = 0; i < name.length(); i++) {
            char each = name.charAt(i);
            boolean pair = Character.isHighSurrogate(each) && i + 1 < name.length() && Character.isLowSurrogate(name.charAt(i + 1));
            if (Character.isISOControl(each) || Character.isSurrogate(each) && !pair) {
                return "expected text without control characters, found " + String.format("\\u%04x", (int) each);
            }
            i += pair ? 1 : 0;
        }
        return null;
    }

    private static String text(byte[] value) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT).onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(value);
        try {
            decoder.decode(in);
            return null;
        } catch (CharacterCodingException e) {
            return "expected UTF-8, found a byte that isn't at " + in.position();
        }
    }
}
