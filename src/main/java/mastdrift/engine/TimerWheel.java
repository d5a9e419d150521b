package mastdrift.engine;

/**
 * Timers on a hashed timing wheel with one list per slot (Varghese and Lauck, <em>Hashed and Hierarchical Timing
 * Wheels</em>, SOSP 1987, scheme 6): scheduling and cancelling change a few links, however many timers there are.
 * Nearly all timers of a gateway are cancelled, so these must be cheap; a heap would pay for its order on each of them.
 *
 * <p>Times are rounded up to the next {@link #TICK_MICROS}. One base timer is armed at a time, for the first slot that
 * has an entry; if that entry was cancelled in the meantime, the base timer finds nothing due and arms the next. Used
 * on the event loop's thread alone.
 */
public final class TimerWheel implements Timers {

    /** Length of a tick. */
    public static final long TICK_MICROS = 1_000;
    private static final int SLOTS = 4_096;  // about four seconds; a longer timer is passed over once in each rotation
    private static final int SLOT_MASK = SLOTS - 1;

    private final Clock clock;
    private final Timers baseTimers;
    private final Entry[] slots = new Entry[SLOTS];
    private final long[] occupied = new long[SLOTS / Long.SIZE];
    private long lastTick;  // all ticks up to this one have been processed
    private long armedTick = Long.MAX_VALUE;
    private Timer armedTimer = () -> { };
    private int activeCount;

    /**
     * Creates a wheel without timers.
     *
     * @param clock the time base of {@code baseTimers}
     * @param baseTimers the timers that drive the wheel
     */
    public TimerWheel(Clock clock, Timers baseTimers) {
        this.clock = clock;
        this.baseTimers = baseTimers;
        lastTick = clock.now() / TICK_MICROS;
    }

    /** The number of timers that have neither fired nor been cancelled. */
    public int activeCount() {
        return activeCount;
    }

    @Override
    public Timer after(long delayMicros, Runnable task) {
        long now = clock.now();
        if (activeCount == 0) {
            lastTick = Math.max(lastTick, now / TICK_MICROS);  // ticks aren't processed while there are no timers
        }
        long tick = Math.max(lastTick + 1, (now + Math.max(0, delayMicros) + TICK_MICROS - 1) / TICK_MICROS);
        Entry entry = new Entry(tick, task);
        entry.link();
        if (tick < armedTick) {
            arm(now, tick);
        }
        return entry;
    }

    private void arm(long now, long tick) {
        armedTimer.cancel();
        armedTick = tick;
        armedTimer = baseTimers.after(Math.max(1, tick * TICK_MICROS - now), this::advance);
    }

    private void advance() {
        armedTick = Long.MAX_VALUE;
        long currentTick = clock.now() / TICK_MICROS;
        boolean failed = true;
        try {
            while (lastTick < currentTick && activeCount > 0) {
                long tick = nextOccupiedTick(lastTick + 1, Math.min(currentTick, lastTick + SLOTS));
                lastTick = tick;
                runDue(slots[(int) tick & SLOT_MASK], tick);
            }
            lastTick = Math.max(lastTick, currentTick);
            failed = false;
        } finally {
            if (failed) {
                lastTick--;  // the rest of this tick's entries run at the next advance
            }
            long nextTick = activeCount == 0 ? Long.MAX_VALUE : firstOccupiedTick();
            if (nextTick < armedTick) {
                arm(clock.now(), nextTick);
            }
        }
    }

    /**
     * Runs the due entries of one slot. They are unlinked before the first runs, since any of them may cancel any
     * other, in this slot too, or schedule new ones in it. If one throws, those after it are linked again for the next
     * advance.
     */
    private void runDue(Entry first, long tick) {
        Entry firstDue = null;
        Entry lastDue = null;
        for (Entry entry = first; entry != null; ) {
            Entry next = entry.next == first ? null : entry.next;
            entry.nextDue = null;
            if (entry.tick <= tick) {
                firstDue = firstDue == null ? entry : firstDue;
                if (lastDue != null) {
                    lastDue.nextDue = entry;
                }
                lastDue = entry;
            }
            entry = next;
        }
        for (Entry entry = firstDue; entry != null; entry = entry.nextDue) {
            entry.unlink();
        }
        for (Entry entry = firstDue; entry != null; entry = entry.nextDue) {
            Runnable task = entry.task;
            entry.task = null;
            if (task != null) {
                try {
                    task.run();
                } catch (RuntimeException | Error exception) {
                    relinkRemaining(entry.nextDue);
                    throw exception;
                }
            }
        }
    }

    private static void relinkRemaining(Entry from) {
        for (Entry entry = from; entry != null; entry = entry.nextDue) {
            if (entry.task != null) {
                entry.link();
            }
        }
    }

    /** The first tick from {@code from} on whose slot has an entry; {@code limit} if there is none before it. */
    private long nextOccupiedTick(long from, long limit) {
        for (long tick = from; tick < limit; ) {
            long word = occupied[(int) (tick & SLOT_MASK) / Long.SIZE] >>> (tick & Long.SIZE - 1);
            if (word != 0) {
                return Math.min(limit, tick + Long.numberOfTrailingZeros(word));
            }
            tick = (tick | Long.SIZE - 1) + 1;
        }
        return limit;
    }

    /**
     * The next tick to process. Its slot may hold only entries of a later rotation, which costs one look at the slot in
     * each rotation.
     */
    private long firstOccupiedTick() {
        return nextOccupiedTick(lastTick + 1, lastTick + SLOTS);
    }

    private final class Entry implements Timer {

        private final long tick;
        private Runnable task;
        private Entry previous;
        private Entry next;
        private Entry nextDue;  // the next one among the due entries
        private boolean linked;

        Entry(long tick, Runnable task) {
            this.tick = tick;
            this.task = task;
        }

        private void link() {
            int slot = (int) tick & SLOT_MASK;
            Entry first = slots[slot];
            if (first == null) {
                slots[slot] = previous = next = this;
                occupied[slot / Long.SIZE] |= 1L << slot;
            } else {
                previous = first.previous;
                next = first;
                previous.next = this;
                first.previous = this;
            }
            linked = true;
            activeCount++;
        }

        private void unlink() {
            int slot = (int) tick & SLOT_MASK;
            if (next == this) {
                slots[slot] = null;
                occupied[slot / Long.SIZE] &= ~(1L << slot);
            } else {
                previous.next = next;
                next.previous = previous;
                if (slots[slot] == this) {
                    slots[slot] = next;
                }
            }
            linked = false;
            activeCount--;
        }

        @Override
        public void cancel() {
            task = null;
            if (linked) {
                unlink();
            }
        }
    }
}
