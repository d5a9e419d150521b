package mastdrift.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClockTest {

    private static final long WALL_MILLIS = 1_796_000_000_000L;

    /**
     * A step of the wall clock, by an hour or by seconds, forward or back, must not change the time: it advances by the
     * monotonic clock alone.
     */
    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000, 5_000, -5_000})
    void wallClockStepDoesNotChangeTime(long stepMillis) {
        AtomicLong wallMillis = new AtomicLong(WALL_MILLIS);
        AtomicLong monotonicNanos = new AtomicLong(77_000_000);
        Clock clock = Clock.of(wallMillis::get, monotonicNanos::get);
        assertEquals(WALL_MILLIS * 1_000, clock.now());
        wallMillis.addAndGet(stepMillis);
        assertEquals(WALL_MILLIS * 1_000, clock.now());
        monotonicNanos.addAndGet(1_500_000);
        assertEquals(WALL_MILLIS * 1_000 + 1_500, clock.now());
    }
}
