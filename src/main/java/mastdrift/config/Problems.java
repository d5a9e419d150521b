package mastdrift.config;

import java.util.ArrayList;
import java.util.List;

/** All complaints about one set of files, the first {@value #MOST} of them word by word. */
public final class Problems {

    /** More would hide the first. */
    public static final int MOST = 20;

    private final List<Problem> problems = new ArrayList<>();
    private int more;

    /** One complaint. */
    public void add(Problem problem) {
        if (problems.size() < MOST) {
            problems.add(problem);
        } else {
            more++;
        }
    }

    /** Whether there is none. */
    public boolean none() {
        return problems.isEmpty();
    }

    /** In the order in which they were met; the last line counts those that are left out. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>(problems.stream().map(Problem::toString).toList());
        if (more > 0) {
            lines.add("and " + more + " more");
        }
        return lines;
    }
}
