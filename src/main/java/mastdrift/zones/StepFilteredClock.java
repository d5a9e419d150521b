package mastdrift.zones;

/** Wall time that doesn't jump: it runs on by the monotonic clock, and takes a wall clock that disagrees only once it has disagreed alike
    for a while. Small differences are taken at once. */
public final class StepFilteredClock {

    static final long MAX_IMMEDIATE_OFFSET_MILLIS = 2_000;
    static final long STEP_CONFIRMATION_MICROS = 30_000_000;

    private long baseMonotonicMicros;
    private long baseWallMillis;
    private long candidateOffsetMillis;
    private long candidateSinceMicros = -1;

    /** {@code now} in microseconds of the monotonic clock, {@code wallMillis} since 1970 by the wall clock. */
    public StepFilteredClock(long nowMicros, long wallMillis) {
        baseMonotonicMicros = nowMicros;
        baseWallMillis = wallMillis;
    }

    /** The wall time of a moment, in milliseconds. */
    public long wallMillis(long nowMicros) {
        return baseWallMillis + (nowMicros - baseMonotonicMicros) / 1_000;
    }

    /** What both clocks say now. */
    public void tick(long nowMicros, long wallMillis) {
        long offsetMillis = wallMillis - wallMillis(nowMicros);
        if (Math.abs(offsetMillis) <= MAX_IMMEDIATE_OFFSET_MILLIS) {
            candidateSinceMicros = -1;
            setBase(nowMicros, wallMillis);
        } else if (candidateSinceMicros < 0 || Math.abs(offsetMillis - candidateOffsetMillis) > MAX_IMMEDIATE_OFFSET_MILLIS) {
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
