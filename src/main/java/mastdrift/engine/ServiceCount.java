package mastdrift.engine;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.Balancer.Why;

/** Counts of final answers by request class. Read and written on the event loop's thread. */
public final class ServiceCount {

    /** How the requests of one class ended. */
    public static final class ClassCounts {
        private long served;
        private final long[] refusedByReason = new long[Why.values().length];
        private long failed;

        /** Requests answered with a host's response. */
        public long served() {
            return served;
        }

        /** Requests refused: a retry is harmless. */
        public long refused() {
            return Arrays.stream(refusedByReason).sum();
        }

        /** Requests refused for this reason. */
        public long refused(Why reason) {
            return refusedByReason[reason.ordinal()];
        }

        /** Requests that failed, with no claim about their effect; includes those that timed out. */
        public long failed() {
            return failed;
        }
    }

    private final Map<String, ClassCounts> countsByClass = new HashMap<>();

    /** The counts of a class; the object is updated with each further answer. */
    public ClassCounts forClass(String className) {
        ClassCounts counts = countsByClass.get(className);
        if (counts == null) {
            counts = new ClassCounts();
            countsByClass.put(className, counts);
        }
        return counts;
    }

    /** The counts of all classes seen so far, sorted by name. */
    public Map<String, ClassCounts> byClass() {
        return new TreeMap<>(countsByClass);
    }

    void countServed(String className) {
        forClass(className).served++;
    }

    void countRefused(String className, Why reason) {
        forClass(className).refusedByReason[reason.ordinal()]++;
    }

    void countFailed(String className) {
        forClass(className).failed++;
    }
}
