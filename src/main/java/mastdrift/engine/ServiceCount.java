package mastdrift.engine;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Final answers by class. Read and written on the loop's thread. */
public final class ServiceCount {

    /** How requests of one class ended; {@code failed} includes those whose time was up. */
    public static final class Of {
        private long served;
        private long refused;
        private long failed;

        /** Requests answered with a host's answer. */
        public long served() {
            return served;
        }

        /** Requests turned away: a new try is harmless. */
        public long refused() {
            return refused;
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

    void refused(String className) {
        of(className).refused++;
    }

    void failed(String className) {
        of(className).failed++;
    }
}
