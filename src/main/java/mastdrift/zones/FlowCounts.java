package mastdrift.zones;

/** Traffic counts of one flow. Bytes are counted at the socket; attempts of which no byte was sent are not counted. */
public final class FlowCounts {

    private static final int CAUSE_COUNT = CrossingCause.values().length;

    private long requests;
    private long attempts;
    private long probes;
    private long failed;
    private long bytesSent;
    private long bytesReceived;
    private final long[] attemptsByCause = new long[CAUSE_COUNT];
    private final long[] bytesByCause = new long[CAUSE_COUNT];

    /** Requests whose first attempt went over this flow. */
    public long requests() {
        return requests;
    }

    /** Attempts, retries included, probes excluded. */
    public long attempts() {
        return attempts;
    }

    /** Health probes sent over this flow. */
    public long probes() {
        return probes;
    }

    /** Attempts that did not end in {@code DELIVERED}. */
    public long failed() {
        return failed;
    }

    /** Bytes sent by the gateway to hosts. */
    public long bytesSent() {
        return bytesSent;
    }

    /** Bytes received by the gateway from hosts. */
    public long bytesReceived() {
        return bytesReceived;
    }

    /** Attempts that left the zone for this cause. */
    public long attempts(CrossingCause cause) {
        return attemptsByCause[cause.ordinal()];
    }

    /** Bytes, both directions, that left the zone for this cause. */
    public long bytes(CrossingCause cause) {
        return bytesByCause[cause.ordinal()];
    }

    void addAttempt(boolean first) {
        attempts++;
        requests += first ? 1 : 0;
    }

    void addProbe() {
        probes++;
    }

    void addFailure() {
        failed++;
    }

    void bytes(long addedBytesSent, long addedBytesReceived) {
        bytesSent += addedBytesSent;
        bytesReceived += addedBytesReceived;
    }

    void addByCause(CrossingCause cause, long addedAttempts, long addedBytes) {
        attemptsByCause[cause.ordinal()] += addedAttempts;
        bytesByCause[cause.ordinal()] += addedBytes;
    }

    /** Adds another flow's counts to these. */
    public void add(FlowCounts other) {
        requests += other.requests;
        attempts += other.attempts;
        probes += other.probes;
        failed += other.failed;
        bytesSent += other.bytesSent;
        bytesReceived += other.bytesReceived;
        for (int i = 0; i < CAUSE_COUNT; i++) {
            attemptsByCause[i] += other.attemptsByCause[i];
            bytesByCause[i] += other.bytesByCause[i];
        }
    }

    /**
     * The counts in a fixed order: requests, attempts, probes, failed, sent, received, then attempts by cause and bytes
     * by cause.
     */
    public long[] values() {
        long[] values = new long[6 + 2 * CAUSE_COUNT];
        long[] totals = {requests, attempts, probes, failed, bytesSent, bytesReceived};
        System.arraycopy(totals, 0, values, 0, totals.length);
        System.arraycopy(attemptsByCause, 0, values, 6, CAUSE_COUNT);
        System.arraycopy(bytesByCause, 0, values, 6 + CAUSE_COUNT, CAUSE_COUNT);
        return values;
    }

    /** Inverse of {@link #values}. Throws IllegalArgumentException for another length and for negative numbers. */
    public static FlowCounts of(long[] values) {
        if (values.length != 6 + 2 * CAUSE_COUNT) {
            throw new IllegalArgumentException("expected " + (6 + 2 * CAUSE_COUNT) + " counts, found " + values.length);
        }
        FlowCounts counts = new FlowCounts();
        for (long value : values) {
            if (value < 0) {
                throw new IllegalArgumentException("expected counts of 0 or more, found " + value);
            }
        }
        counts.requests = values[0];
        counts.attempts = values[1];
        counts.probes = values[2];
        counts.failed = values[3];
        counts.bytesSent = values[4];
        counts.bytesReceived = values[5];
        System.arraycopy(values, 6, counts.attemptsByCause, 0, CAUSE_COUNT);
        System.arraycopy(values, 6 + CAUSE_COUNT, counts.bytesByCause, 0, CAUSE_COUNT);
        return counts;
    }
}
