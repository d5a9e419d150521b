package mastdrift.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClockTest {

    private static final long WALL = 1_796_000_000_000L;

    /** The wall clock is stepped by an hour or by seconds, forward or back: time goes on by the monotonic clock alone. */
    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000, 5_000, -5_000})
    void aStepOfTheWallClockMovesNoSpan(long stepMillis) {
        AtomicLong wall = new AtomicLong(WALL);
        AtomicLong monotonic = new AtomicLong(77_000_000);
        Clock clock = Clock.of(wall::get, monotonic::get);
        assertEquals(WALL * 1_000, clock.now());
        wall.addAndGet(stepMillis);
        assertEquals(WALL * 1_000, clock.now());
        monotonic.addAndGet(1_500_000);
        assertEquals(WALL * 1_000 + 1_500, clock.now());
    }
}
