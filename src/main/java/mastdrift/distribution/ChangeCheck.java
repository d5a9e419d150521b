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

/**
 * Validates a change before it is proposed to the log, so that a change that no machine could apply is rejected early.
 * Reports all problems at once, each with its place, the expected and the actual value, at most {@value #MAX_PROBLEMS}.
 */
public final class ChangeCheck {

    /** Maximum number of problems reported for one change. */
    public static final int MAX_PROBLEMS = 32;
    /** Upper bound of the encoded size of a change, and of each edit, beside names and values. */
    private static final int EDIT_OVERHEAD_BYTES = 32;

    private final ValueCheck valueCheck;

    /** Creates a check that validates values with {@code valueCheck}. */
    public ChangeCheck(ValueCheck valueCheck) {
        this.valueCheck = valueCheck;
    }

    /** Returns the problems of a change; empty if it is valid. */
    public List<String> problems(Change change) {
        List<String> problems = new ArrayList<>();
        validateStructure(change, problems, MAX_PROBLEMS);
        for (int i = 0; i < change.edits().size() && problems.size() < MAX_PROBLEMS; i++) {
            Edit edit = change.edits().get(i);
            if (edit instanceof Edit.Upsert upsert && upsert.value().length <= Resource.MAX_VALUE_BYTES) {
                String encodingProblem = utf8Problem(upsert.value());
                String problem = encodingProblem == null ? valueCheck.problem(edit.kind(), edit.name(), upsert.value()) : encodingProblem;
                if (problem != null) {
                    problems.add(Table.describe(i, edit) + ": value: " + problem);
                }
            }
        }
        return problems;
    }

    /**
     * Returns the first problem that keeps a change from being applied to any table, whatever its values mean; null if
     * there is none. Deterministic: every machine gets the same result.
     */
    static String validateStructure(Change change) {
        List<String> problems = new ArrayList<>();
        validateStructure(change, problems, 1);
        return problems.isEmpty() ? null : problems.get(0);
    }

    private static void validateStructure(Change change, List<String> problems, int maxProblems) {
        if (change.id().isEmpty() || change.id().length() > Change.MAX_ID_CHARS) {
            addProblem(problems, maxProblems, "id: expected 1 to " + Change.MAX_ID_CHARS + " characters, found " + change.id().length());
        }
        if (change.edits().isEmpty() || change.edits().size() > Change.MAX_EDITS) {
            addProblem(problems, maxProblems, "edits: expected 1 to " + Change.MAX_EDITS + ", found " + change.edits().size());
        }
        long bytes = EDIT_OVERHEAD_BYTES + 3L * change.id().length();
        List<Set<String>> seenNames = new ArrayList<>();
        for (int i = 0; i < ResourceKind.values().length; i++) {
            seenNames.add(new HashSet<>());
        }
        for (int i = 0; i < change.edits().size() && problems.size() < maxProblems; i++) {
            Edit edit = change.edits().get(i);
            String nameProblem = nameProblem(edit.name());
            if (nameProblem != null) {
                addProblem(problems, maxProblems, "edits[" + i + "]: name: " + nameProblem);
            } else if (!seenNames.get(edit.kind().ordinal()).add(edit.name())) {
                addProblem(problems, maxProblems, Table.describe(i, edit) + ": expected each resource once, found a duplicate");
            }
            if (edit.expectedVersion() < Edit.ANY_VERSION) {
                addProblem(problems, maxProblems, Table.describe(i, edit) + ": expected: expected a version, 0 for none there or -1 for any, found " + edit.expectedVersion());
            }
            int valueBytes = edit instanceof Edit.Upsert upsert ? upsert.value().length : 0;
            if (valueBytes > Resource.MAX_VALUE_BYTES) {
                addProblem(problems, maxProblems, Table.describe(i, edit) + ": value: expected at most " + Resource.MAX_VALUE_BYTES + " bytes, found " + valueBytes);
            }
            bytes += EDIT_OVERHEAD_BYTES + edit.name().getBytes(StandardCharsets.UTF_8).length + valueBytes;
        }
        if (bytes > Change.MAX_BYTES) {
            addProblem(problems, maxProblems, "change: expected at most " + Change.MAX_BYTES + " bytes, found " + bytes);
        }
    }

    private static void addProblem(List<String> problems, int maxProblems, String problem) {
        if (problems.size() < maxProblems) {
            problems.add(problem);
        }
    }

    private static String nameProblem(String name) {
        if (name.isEmpty() || name.length() > Resource.MAX_NAME_CHARS) {
            return "expected 1 to " + Resource.MAX_NAME_CHARS + " characters, found " + name.length();
        }
        for (int i = 0; i < name.length(); i++) {
            char character = name.charAt(i);
            boolean isSurrogatePair = Character.isHighSurrogate(character) && i + 1 < name.length() && Character.isLowSurrogate(name.charAt(i + 1));
            if (Character.isISOControl(character) || Character.isSurrogate(character) && !isSurrogatePair) {
                return "expected text without control characters, found " + String.format("\\u%04x", (int) character);
            }
            i += isSurrogatePair ? 1 : 0;
        }
        return null;
    }

    private static String utf8Problem(byte[] value) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT).onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer input = ByteBuffer.wrap(value);
        try {
            decoder.decode(input);
            return null;
        } catch (CharacterCodingException e) {
            return "expected UTF-8, found an invalid byte at " + input.position();
        }
    }
}
