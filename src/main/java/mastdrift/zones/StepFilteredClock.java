package mastdrift.zones;

/**
 * Wall-clock time without steps: advances by the monotonic clock. A small difference to the wall clock is adopted at
 * once, a large one only after it has persisted unchanged for a while.
 */
public final class StepFilteredClock {

    /** Largest difference that is adopted at once, and the largest change of a difference that counts as unchanged. */
    static final long MAX_IMMEDIATE_OFFSET_MILLIS = 2_000;
    /** Time for which a larger difference must persist before it is adopted. */
    static final long STEP_CONFIRMATION_MICROS = 30_000_000;

    private long baseMonotonicMicros;
    private long baseWallMillis;
    private long candidateOffsetMillis;
    private long candidateSinceMicros = -1;

    /**
     * {@code nowMicros} in microseconds of the monotonic clock, {@code wallMillis} in milliseconds since 1970 of the
     * wall clock.
     */
    public StepFilteredClock(long nowMicros, long wallMillis) {
        baseMonotonicMicros = nowMicros;
        baseWallMillis = wallMillis;
    }

    /** The filtered wall time at a moment of the monotonic clock, in milliseconds since 1970. */
    public long wallMillis(long nowMicros) {
        return baseWallMillis + (nowMicros - baseMonotonicMicros) / 1_000;
    }

    /** Reports the present time of both clocks. */
    public void tick(long nowMicros, long wallMillis) {
        long offsetMillis = wallMillis - wallMillis(nowMicros);
        if (Math.abs(offsetMillis) <= MAX_IMMEDIATE_OFFSET_MILLIS) {
            candidateSinceMicros = -1;
            setBase(nowMicros, wallMillis);
        } else if (candidateSinceMicros < 0
                || Math.abs(offsetMillis - candidateOffsetMillis) > MAX_IMMEDIATE_OFFSET_MILLIS) {
            candidateSinceMicros = nowMicros;
            candidateOffsetMillis = offsetMillis;
        } else if (nowMicros - candidateSinceMicros >= STEP_CONFIRMATION_MICROS) {
            candidateSinceMicros = -1;
            setBase(nowMicros, wallMillis);
        }
    }

    private void setBase(long nowMicros, long wallMillis) {
        baseMonotonicMicros = nowMicros;
        baseWallMillis = wallMillis;
    }
}
