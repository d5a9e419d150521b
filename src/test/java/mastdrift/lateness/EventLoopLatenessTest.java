package mastdrift.lateness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EventLoopLatenessTest {

    private static final int STEPS = 300;

    /**
     * Simulates a loop: events arrive at random, each takes some time, and each wait ends with the first arrival or at
     * once. The reported time in the queue is never shorter than the true one and never longer than the time since the
     * previous turn; after a wait that blocked it is exact.
     */
    @Property(tries = 200)
    void queuedTimeIsBoundedForAnyLoad(@ForAll long seed, @ForAll @DoubleRange(min = 0.01, max = 3) double load,
            @ForAll @IntRange(min = 1, max = 40_000) int maxCostMicros) {
        Random random = new Random(seed);
        EventLoopLateness lateness = new EventLoopLateness();
        PriorityQueue<Long> arrivals = new PriorityQueue<>();
        long now = 0;
        for (int i = 0, at = 0; i < STEPS; i++) {
            at += (int) (-Math.log(1 - random.nextDouble()) * maxCostMicros / load) + 1;
            arrivals.add((long) at);
        }
        long previousWaitEndedAt = Long.MIN_VALUE;
        while (!arrivals.isEmpty()) {
            lateness.waitStarted(now);
            long waitStartedAt = now;
            now = Math.max(now, arrivals.peek());
            lateness.waitEnded(now, 0);
            long waitEndedAt = now;
            while (!arrivals.isEmpty() && arrivals.peek() <= waitEndedAt) {
                long arrivedAt = arrivals.poll();
                assertTrue(lateness.queuedMicros(now) >= now - arrivedAt,
                        "the reported wait of an event is at least its true wait");
                assertTrue(previousWaitEndedAt == Long.MIN_VALUE
                        || lateness.queuedMicros(now) <= now - previousWaitEndedAt,
                        "the reported wait of an event is at most the time since the previous turn");
                if (waitEndedAt - waitStartedAt >= EventLoopLateness.DEFINITE_WAIT_MICROS) {
                    assertEquals(now - waitEndedAt, lateness.queuedMicros(now), "exact after a wait that blocked");
                }
                assertEquals(now - waitEndedAt, lateness.microsSinceWait(now));
                now += 1 + random.nextInt(maxCostMicros);
            }
            lateness.readyEventsHandled();
            assertEquals(now - waitEndedAt, lateness.queuedMicros(now),
                    "events from before the end of the wait have been handled");
            previousWaitEndedAt = waitEndedAt;
        }
    }

    /**
     * For part of the wait the thread was runnable without a core, so an event may have arrived that early and waited.
     */
    @Test
    void runnableTimeCountsAsQueuedUpToLengthOfWait() {
        EventLoopLateness lateness = new EventLoopLateness();
        lateness.waitStarted(0);
        lateness.waitEnded(50_000, 30_000);
        assertEquals(30_000, lateness.queuedMicros(50_000));
        lateness.waitStarted(50_100);
        lateness.waitEnded(60_000, 1_000_000);  // it was runnable for the whole wait
        assertEquals(10_000, lateness.queuedMicros(60_000));
        assertEquals(0, lateness.microsSinceWait(60_000));
        lateness.waitStarted(60_010);
        lateness.waitEnded(60_020, 10);  // the wait didn't block: counted since the previous turn
        assertEquals(20, lateness.queuedMicros(60_020));
    }

    @Test
    void loopThatReportsNoTurnsIsNeverLate() {
        EventLoopLateness lateness = new EventLoopLateness();
        assertEquals(0, lateness.queuedMicros(1_000_000) + lateness.microsSinceWait(1_000_000)
                + lateness.standingQueueMicros());
    }

    /**
     * One long turn among short ones is no standing queue; turns that are all long make one, which ends once they are
     * short.
     */
    @Test
    void standingQueueIsMinimumOverInterval() {
        EventLoopLateness lateness = new EventLoopLateness();
        long now = runTurns(lateness, 0, 1, 300_000, 0);
        now = runTurns(lateness, now, 1_000_000, 1_000, 5_000);
        assertTrue(lateness.standingQueueMicros() <= 1_000,
                "standing queue after one pause: " + lateness.standingQueueMicros());
        now = runTurns(lateness, now, 1_000_000, 60_000, 0);
        assertEquals(60_000, lateness.standingQueueMicros());
        runTurns(lateness, now, 1_000_000, 2_000, 0);
        assertEquals(2_000, lateness.standingQueueMicros());
    }

    private static long runTurns(EventLoopLateness lateness, long from, long spanMicros, long busyMicros,
            long idleMicros) {
        long now = from;
        while (now < from + spanMicros) {
            lateness.waitStarted(now);
            lateness.waitEnded(now + idleMicros, 0);
            now += idleMicros + busyMicros;
        }
        lateness.waitStarted(now);
        return now;
    }
}
