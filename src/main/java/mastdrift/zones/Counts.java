package mastdrift.zones;

/** What went over a flow. Bytes as the socket took and gave them; attempts of which not a byte was sent are not among them. */
public final class Counts {

    private static final int CAUSES = Cause.values().length;

    private long requests;
    private long attempts;
    private long probes;
    private long failed;
    private long sent;
    private long received;
    private final long[] attemptsBy = new long[CAUSES];
    private final long[] bytesBy = new long[CAUSES];

    /** Requests whose first attempt this flow took. */
    public long requests() {
        return requests;
    }

    /** Attempts, repeats among them, without probes. */
    public long attempts() {
        return attempts;
    }

    /** Probes. */
    public long probes() {
        return probes;
    }

    /** Attempts that ended without a host's good answer. */
    public long failed() {
        return failed;
    }

    /** Bytes from the gateway to hosts. */
    public long sent() {
        return sent;
    }

    /** Bytes from hosts to the gateway. */
    public long received() {
        return received;
    }

    /** Attempts that left the zone for this cause. */
    public long attempts(Cause cause) {
        return attemptsBy[cause.ordinal()];
    }

    /** Bytes of both directions that did. */
    public long bytes(Cause cause) {
        return bytesBy[cause.ordinal()];
    }

    void attempt(boolean first) {
        attempts++;
        requests += first ? 1 : 0;
    }

    void probe() {
        probes++;
    }

    void fail() {
        failed++;
    }

    void bytes(long out, long in) {
        sent += out;
        received += in;
    }

    void because(Cause cause, long ofAttempts, long ofBytes) {
        attemptsBy[cause.ordinal()] += ofAttempts;
        bytesBy[cause.ordinal()] += ofBytes;
    }

    /** Adds another's. */
    public void add(Counts other) {
        requests += other.requests;
        attempts += other.attempts;
        probes += other.probes;
        failed += other.failed;
        sent += other.sent;
        received += other.received;
        for (int i = 0; i < CAUSES; i++) {
            attemptsBy[i] += other.attemptsBy[i];
            bytesBy[i] += other.bytesBy[i];
        }
    }

    /** As numbers in a fixed order: those above, then attempts and bytes by cause. */
    public long[] values() {
        long[] values = new long[6 + 2 * CAUSES];
        long[] first = {requests, attempts, probes, failed, sent, received};
        System.arraycopy(first, 0, values, 0, first.length);
        System.arraycopy(attemptsBy, 0, values, 6, CAUSES);
        System.arraycopy(bytesBy, 0, values, 6 + CAUSES, CAUSES);
        return values;
    }

    /** Reads {@link #values}; throws IllegalArgumentException for other lengths and for numbers below 0. */
    public static Counts of(long[] values) {
        if (values.length != 6 + 2 * CAUSES) {
            throw new IllegalArgumentException("expected " + (6 + 2 * CAUSES) + " counts, found " + values.length);
        }
        Counts counts = new Counts();
        for (long value : values) {
            if (value < 0) {
                throw new IllegalArgumentException("expected counts of 0 or more, found " + value);
            }
        }
        counts.requests = values[0];
        counts.attempts = values[1];
        counts.probes = values[2];
        counts.failed = values[3];
        counts.sent = values[4];
        counts.received = values[5];
        System.arraycopy(values, 6, counts.attemptsBy, 0, CAUSES);
        System.arraycopy(values, 6 + CAUSES, counts.bytesBy, 0, CAUSES);
        return counts;
    }
}
