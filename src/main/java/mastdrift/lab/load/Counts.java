package mastdrift.lab.load;

/** What came of the requests of one class and tenant, in one second or in all. */
public final class Counts {

    /** What is counted, in the order of {@link #get}. */
    public enum Of {
        /** First tries that were due. */
        ASKED,
        /** Further tries of the same requests. */
        REPEATS,
        /** Tries answered with a host's answer. */
        SERVED,
        /** Tries turned away. */
        REFUSED,
        /** Tries answered with a failure. */
        FAILED,
        /** Tries whose time or connection ended without an answer. */
        UNANSWERED,
        /** Tries answered with another request's answer. */
        FOREIGN,
        /** Tries that the load tool could not send in their time. */
        UNSENT
    }

    private final long[] counts = new long[Of.values().length];

    /** Events of one kind. */
    public long get(Of of) {
        return counts[of.ordinal()];
    }

    void add(Of of) {
        counts[of.ordinal()]++;
    }

    void add(Counts other) {
        for (int i = 0; i < counts.length; i++) {
            counts[i] += other.counts[i];
        }
    }
}
