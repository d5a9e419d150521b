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

    /** The timers below the wheel: a virtual clock, and a queue of timers in order of time. */
    private static final class VirtualTimers implements Timers, Clock {

        private record ScheduledTask(long at, Runnable task, boolean[] cancelled) { }

        private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        private long now = 1_234_567;
        private int fired;

        @Override
        public long now() {
            return now;
        }

        @Override
        public Timer after(long delayMicros, Runnable task) {
            boolean[] cancelled = new boolean[1];
            timers.add(new ScheduledTask(now + delayMicros, task, cancelled));
            return () -> cancelled[0] = true;
        }

        /** Advances the clock to a moment; each timer fires late by less than {@code maxLateMicros}. */
        void advanceTo(long at, Random random, int maxLateMicros) {
            while (!timers.isEmpty() && timers.peek().at <= at) {
                ScheduledTask due = timers.poll();
                if (!due.cancelled[0]) {
                    now = Math.max(now, due.at + (maxLateMicros == 0 ? 0 : random.nextInt(maxLateMicros)));
                    fired++;
                    due.task.run();
                }
            }
            now = Math.max(now, at);
        }
    }

    /**
     * Timers are scheduled and cancelled at random, also from within the tasks of others: each fires exactly once
     * unless it was cancelled first, not before its time, and at most a tick after the base timers could notice.
     */
    @Property(tries = 300)
    void firesEachTimerOnceInTime(@ForAll long seed) {
        Random random = new Random(seed);
        VirtualTimers loop = new VirtualTimers();
        TimerWheel wheel = new TimerWheel(loop, loop);
        int maxLateMicros = random.nextBoolean() ? 0 : 30_000;
        int maxDelayMicros = 1 << 1 + random.nextInt(24);
        List<Timers.Timer> timers = new ArrayList<>();
        List<long[]> states = new ArrayList<>();  // due at, fired at (0 not yet, -1 cancelled)
        Runnable[] schedule = new Runnable[1];
        schedule[0] = () -> {
            long delayMicros = random.nextInt(maxDelayMicros);
            long[] state = {loop.now + delayMicros, 0};
            states.add(state);
            timers.add(wheel.after(delayMicros, () -> {
                assertEquals(0, state[1], "fires once, and not if cancelled");
                assertTrue(loop.now >= state[0], "fires not before its time");
                assertTrue(loop.now <= state[0] + TimerWheel.TICK_MICROS + maxLateMicros,
                        "fires at most a tick and the lateness after it: " + (loop.now - state[0]));
                state[1] = loop.now;
                if (random.nextInt(3) == 0) {
                    cancelOne(random, timers, states);
                }
                if (timers.size() < 2_000 && random.nextInt(4) == 0) {
                    schedule[0].run();
                }
            }));
        };
        for (int i = 0; i < 300; i++) {
            schedule[0].run();
            if (random.nextInt(2) == 0) {
                cancelOne(random, timers, states);
            }
            loop.advanceTo(loop.now + random.nextInt(Math.max(1, maxDelayMicros / 8)), random, maxLateMicros);
        }
        loop.advanceTo(loop.now + maxDelayMicros + 10 * (TimerWheel.TICK_MICROS + maxLateMicros) + 1_000_000_000L,
                random, maxLateMicros);
        assertTrue(states.stream().allMatch(state -> state[1] != 0), "every timer fired or was cancelled");
        assertEquals(0, wheel.activeCount());
    }

    private static void cancelOne(Random random, List<Timers.Timer> timers, List<long[]> states) {
        int i = random.nextInt(timers.size());
        timers.get(i).cancel();
        if (states.get(i)[1] == 0) {
            states.get(i)[1] = -1;
        }
    }

    /**
     * Ten thousand timers that are all cancelled, as those of answered requests are, fire the base timer a few times,
     * not once for each.
     */
    @Test
    void cancelledTimersFireBaseTimerRarely() {
        VirtualTimers loop = new VirtualTimers();
        TimerWheel wheel = new TimerWheel(loop, loop);
        for (int i = 0; i < 10_000; i++) {
            Timers.Timer timer = wheel.after(1_400_000, () -> { });
            loop.advanceTo(loop.now + 100, null, 0);
            timer.cancel();
        }
        loop.advanceTo(loop.now + 10_000_000, null, 0);
        assertTrue(loop.fired <= 3, "base timers fired: " + loop.fired);
    }

    /**
     * The last entry of a slot is cancelled by an earlier one, with an entry of a later rotation between them: the walk
     * through the slot must end.
     */
    @Test
    @Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void advanceEndsWhenLastEntryOfSlotIsCancelledInside() {
        VirtualTimers loop = new VirtualTimers();
        TimerWheel wheel = new TimerWheel(loop, loop);
        List<String> fired = new ArrayList<>();
        Timers.Timer[] last = new Timers.Timer[1];
        wheel.after(5_000, () -> last[0].cancel());
        wheel.after(5_000 + 4_096 * TimerWheel.TICK_MICROS, () -> fired.add("next round"));
        last[0] = wheel.after(5_000, () -> fired.add("cancelled"));
        loop.advanceTo(loop.now + 10_000, null, 0);
        assertEquals(List.of(), fired);
        loop.advanceTo(loop.now + 5_000_000, null, 0);
        assertEquals(List.of("next round"), fired);
        assertEquals(0, wheel.activeCount());
    }

    /** A task that throws doesn't stop the timers after it. */
    @Test
    void throwingTaskDoesNotStopOtherTimers() {
        VirtualTimers loop = new VirtualTimers();
        TimerWheel wheel = new TimerWheel(loop, loop);
        List<String> fired = new ArrayList<>();
        wheel.after(5_000, () -> {
            throw new IllegalStateException("on purpose");
        });
        wheel.after(5_000, () -> fired.add("same tick"));
        wheel.after(9_000, () -> fired.add("later"));
        assertThrows(IllegalStateException.class, () -> loop.advanceTo(loop.now + 20_000, null, 0));
        loop.advanceTo(loop.now + 20_000, null, 0);
        assertEquals(List.of("same tick", "later"), fired);
    }
}
