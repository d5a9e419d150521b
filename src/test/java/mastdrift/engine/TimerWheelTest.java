package mastdrift.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class TimerWheelTest {

    /** The loop below: a virtual clock, and timers in their order. */
    private static final class Loop implements Timers, Clock {

        private record Due(long at, Runnable what, boolean[] cancelled) { }

        private final PriorityQueue<Due> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        private long now = 1_234_567;
        private int fired;

        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer after(long micros, Runnable what) {
            boolean[] cancelled = new boolean[1];
            timers.add(new Due(now + micros, what, cancelled));
            return () -> cancelled[0] = true;
        }

        /** Goes on to a moment; late by up to {@code late} at each timer. */
        void until(long at, Random random, int late) {
            while (!timers.isEmpty() && timers.peek().at <= at) {
                Due due = timers.poll();
                if (!due.cancelled[0]) {
                    now = Math.max(now, due.at + (late == 0 ? 0 : random.nextInt(late)));
                    fired++;
                    due.what.run();
                }
            }
            now = Math.max(now, at);
        }
    }

    /** Whatever is begun, cancelled, and begun or cancelled from within others: each comes exactly once unless it was cancelled
        first, not before its time, and no later than a tick after the loop could know. */
    @Property(tries = 300)
    void eachComesOnceInItsTime(@ForAll long seed) {
        Random random = new Random(seed);
        Loop loop = new Loop();
        TimerWheel wheel = new TimerWheel(loop, loop);
        int late = random.nextBoolean() ? 0 : 30_000;
        int most = 1 << 1 + random.nextInt(24);
        List<Timers.Timer> timers = new ArrayList<>();
        List<long[]> state = new ArrayList<>();  // due, fired at (0 not yet, -1 cancelled)
        Runnable[] begin = new Runnable[1];
        begin[0] = () -> {
            long micros = random.nextInt(most);
            long[] own = {loop.now + micros, 0};
            state.add(own);
            timers.add(wheel.after(micros, () -> {
                assertEquals(0, own[1], "once, and not if cancelled");
                assertTrue(loop.now >= own[0], "not before its time");
                assertTrue(loop.now <= own[0] + TimerWheel.TICK + late, "soon after it: " + (loop.now - own[0]));
                own[1] = loop.now;
                if (random.nextInt(3) == 0) {
                    cancelOne(random, timers, state);
                }
                if (timers.size() < 2_000 && random.nextInt(4) == 0) {
                    begin[0].run();
                }
            }));
        };
        for (int i = 0; i < 300; i++) {
            begin[0].run();
            if (random.nextInt(2) == 0) {
                cancelOne(random, timers, state);
            }
            loop.until(loop.now + random.nextInt(Math.max(1, most / 8)), random, late);
        }
        loop.until(loop.now + most + 10 * (TimerWheel.TICK + late) + 1_000_000_000L, random, late);
        assertTrue(state.stream().allMatch(own -> own[1] != 0), "all came or were cancelled");
        assertEquals(0, wheel.count());
    }

    private static void cancelOne(Random random, List<Timers.Timer> timers, List<long[]> state) {
        int i = random.nextInt(timers.size());
        timers.get(i).cancel();
        if (state.get(i)[1] == 0) {
            state.get(i)[1] = -1;
        }
    }

    /** Ten thousand that are all cancelled, as those of answered requests: the loop below is asked a few times, not for each. */
    @Test
    void whatIsCancelledCostsTheLoopNothing() {
        Loop loop = new Loop();
        TimerWheel wheel = new TimerWheel(loop, loop);
        for (int i = 0; i < 10_000; i++) {
            Timers.Timer timer = wheel.after(1_400_000, () -> { });
            loop.until(loop.now + 100, null, 0);
            timer.cancel();
        }
        loop.until(loop.now + 10_000_000, null, 0);
        assertTrue(loop.fired <= 3, "fired " + loop.fired);
    }

    /** The last of a slot is cancelled by an earlier one, with one of a later round between them: the round goes on, and ends. */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void whatCancelsTheLastOfItsSlotEndsItsTurn() {
        Loop loop = new Loop();
        TimerWheel wheel = new TimerWheel(loop, loop);
        List<String> came = new ArrayList<>();
        Timers.Timer[] last = new Timers.Timer[1];
        wheel.after(5_000, () -> last[0].cancel());
        wheel.after(5_000 + 4_096 * TimerWheel.TICK, () -> came.add("next round"));
        last[0] = wheel.after(5_000, () -> came.add("cancelled"));
        loop.until(loop.now + 10_000, null, 0);
        assertEquals(List.of(), came);
        loop.until(loop.now + 5_000_000, null, 0);
        assertEquals(List.of("next round"), came);
        assertEquals(0, wheel.count());
    }

    /** A fault in one doesn't lose those behind it. */
    @Test
    void aFaultDoesNotStopTheWheel() {
        Loop loop = new Loop();
        TimerWheel wheel = new TimerWheel(loop, loop);
        List<String> came = new ArrayList<>();
        wheel.after(5_000, () -> {
            throw new IllegalStateException("on purpose");
        });
        wheel.after(5_000, () -> came.add("same tick"));
        wheel.after(9_000, () -> came.add("later"));
        assertThrows(IllegalStateException.class, () -> loop.until(loop.now + 20_000, null, 0));
        loop.until(loop.now + 20_000, null, 0);
        assertEquals(List.of("same tick", "later"), came);
    }
}
