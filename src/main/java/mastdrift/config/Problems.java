package mastdrift.config;

import java.util.ArrayList;
import java.util.List;

/** Collects all problems of one set of files; only the first {@value #MAX_REPORTED} are reported in full. */
public final class Problems {

    /** Longer reports would hide the first problems. */
    public static final int MAX_REPORTED = 20;

    private final List<Problem> problems = new ArrayList<>();
    private int omittedCount;

    public void add(Problem problem) {
        if (problems.size() < MAX_REPORTED) {
            problems.add(problem);
        } else {
            omittedCount++;
        }
    }

    public boolean isEmpty() {
        return problems.isEmpty();
    }

    /** One line per problem in the order in which they were added; the last line counts those that were omitted. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>(problems.stream().map(Problem::toString).toList());
        if (omittedCount > 0) {
            lines.add("and " + omittedCount + " more");
        }
        return lines;
    }
}
