package mastdrift.engine;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.Balancer.Why;

/** Final answers by class. Read and written on the loop's thread. */
public final class ServiceCount {

    /** How requests of one class ended; {@code failed} includes those whose time was up. */
    public static final class Of {
        private long served;
        private final long[] refused = new long[Why.values().length];
        private long failed;

        /** Requests answered with a host's answer. */
        public long served() {
            return served;
        }

        /** Requests turned away: a new try is harmless. */
        public long refused() {
            return Arrays.stream(refused).sum();
        }

        /** Those of them that were turned away for this. */
        public long refused(Why why) {
            return refused[why.ordinal()];
        }

        /** Requests that failed, with no claim about their effect. */
        public long failed() {
            return failed;
        }
    }

    private final Map<String, Of> classes = new HashMap<>();

    /** The counts of a class, which go on counting. */
    public Of of(String className) {
        Of of = classes.get(className);
        if (of == null) {
            of = new Of();
            classes.put(className, of);
        }
        return of;
    }

    /** Classes that were met, by name. */
    public Map<String, Of> classes() {
        return new TreeMap<>(classes);
    }

    void served(String className) {
        of(className).served++;
    }

    void refused(String className, Why why) {
        of(className).refused[why.ordinal()]++;
    }

    void failed(String className) {
        of(className).failed++;
    }
}
