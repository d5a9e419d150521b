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

    /** A loop on paper: events come at random, each costs some time, and each wait ends with the first or at once. Nothing that
        came later than the loop says is called older, and after a real wait the moment is exact. */
    @Property(tries = 200)
    void whatWaitedIsBoundedForAnyLoad(@ForAll long seed, @ForAll @DoubleRange(min = 0.01, max = 3) double load,
            @ForAll @IntRange(min = 1, max = 40_000) int cost) {
        Random random = new Random(seed);
        EventLoopLateness turns = new EventLoopLateness();
        PriorityQueue<Long> coming = new PriorityQueue<>();
        long now = 0;
        for (int i = 0, at = 0; i < STEPS; i++) {
            at += (int) (-Math.log(1 - random.nextDouble()) * cost / load) + 1;
            coming.add((long) at);
        }
        long back = Long.MIN_VALUE;
        while (!coming.isEmpty()) {
            turns.waits(now);
            long began = now;
            now = Math.max(now, coming.peek());
            turns.back(now, 0);
            long seen = now;
            while (!coming.isEmpty() && coming.peek() <= seen) {
                long came = coming.poll();
                assertTrue(turns.own(now) >= now - came, "an event's wait is never called shorter than it was");
                assertTrue(back == Long.MIN_VALUE || turns.own(now) <= now - back, "nor longer than since the turn before");
                if (seen - began >= EventLoopLateness.SURELY_WAITED) {
                    assertEquals(now - seen, turns.own(now), "after a wait it is exact");
                }
                assertEquals(now - seen, turns.behind(now));
                now += 1 + random.nextInt(cost);
            }
            turns.handled();
            assertEquals(now - seen, turns.own(now), "what came before has been handled");
            back = seen;
        }
    }

    /** For part of the wait the thread was ready without a core: what came then has waited. */
    @Test
    void theRunQueueCountsAsOwnUpToTheWait() {
        EventLoopLateness turns = new EventLoopLateness();
        turns.waits(0);
        turns.back(50_000, 30_000);
        assertEquals(30_000, turns.own(50_000));
        turns.waits(50_100);
        turns.back(60_000, 1_000_000);  // it never waited at all
        assertEquals(10_000, turns.own(60_000));
        assertEquals(0, turns.behind(60_000));
        turns.waits(60_010);
        turns.back(60_020, 10);  // no real wait: since the turn before
        assertEquals(20, turns.own(60_020));
    }

    @Test
    void aLoopThatTellsNothingIsNeverLate() {
        EventLoopLateness turns = new EventLoopLateness();
        assertEquals(0, turns.own(1_000_000) + turns.behind(1_000_000) + turns.standing());
    }

    /** One long turn among short ones is no standing queue; turns that are all long are one, which goes once they are short. */
    @Test
    void aStandingQueueIsWhatTheBestTurnStillHad() {
        EventLoopLateness turns = new EventLoopLateness();
        long now = turns(turns, 0, 1, 300_000, 0);
        now = turns(turns, now, 1_000_000, 1_000, 5_000);
        assertTrue(turns.standing() <= 1_000, "after one pause: " + turns.standing());
        now = turns(turns, now, 1_000_000, 60_000, 0);
        assertEquals(60_000, turns.standing());
        turns(turns, now, 1_000_000, 2_000, 0);
        assertEquals(2_000, turns.standing());
    }

    private static long turns(EventLoopLateness turns, long from, long span, long busy, long idle) {
        long now = from;
        while (now < from + span) {
            turns.waits(now);
            turns.back(now + idle, 0);
            now += idle + busy;
        }
        turns.waits(now);
        return now;
    }
}
