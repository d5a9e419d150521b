package mastdrift.zones;

/** Wall time that doesn't jump: it runs on by the monotonic clock, and takes a wall clock that disagrees only once it has disagreed alike
    for a while. Small differences are taken at once. */
public final class SteadyClock {

    static final long DIFFERENT = 2_000;
    static final long BELIEVED = 30_000_000;

    private long baseNow;
    private long baseMillis;
    private long suspectOffset;
    private long suspectSince = -1;

    /** {@code now} in microseconds of the monotonic clock, {@code millis} since 1970 by the wall clock. */
    public SteadyClock(long now, long millis) {
        baseNow = now;
        baseMillis = millis;
    }

    /** The wall time of a moment, in milliseconds. */
    public long millis(long now) {
        return baseMillis + (now - baseNow) / 1_000;
    }

    /** What both clocks say now. */
    public void tick(long now, long millis) {
        long offset = millis - millis(now);
        if (Math.abs(offset) <= DIFFERENT) {
            suspectSince = -1;
            take(now, millis);
        } else if (suspectSince < 0 || Math.abs(offset - suspectOffset) > DIFFERENT) {
            suspectSince = now;
            suspectOffset = offset;
        } else if (now - suspectSince >= BELIEVED) {
            suspectSince = -1;
            take(now, millis);
        }
    }

    private void take(long now, long millis) {
        baseNow = now;
        baseMillis = millis;
    }
}
