package mastdrift.engine;

/**
 * Timers by a hashed wheel with one list a slot (Varghese and Lauck, <em>Hashed and Hierarchical Timing Wheels</em>, SOSP 1987,
 * scheme 6): to begin and to cancel one costs a few links, however many there are. Nearly all timers of a gateway are cancelled,
 * so that is what has to be cheap; a heap pays for its order on each of them.
 *
 * <p>Times are rounded up to the next {@link #TICK}. One timer of the loop below is armed at a time, for the first slot that has
 * an entry; where that was cancelled in the meantime it finds nothing and arms the next. On the thread of that loop alone.
 */
public final class TimerWheel implements Timers {

    /** Microseconds. */
    public static final long TICK = 1_000;
    private static final int SLOTS = 4_096;  // four seconds ahead: longer ones pass their slot once a round
    private static final int MASK = SLOTS - 1;

    private final Clock clock;
    private final Timers loop;
    private final Entry[] slots = new Entry[SLOTS];
    private final long[] occupied = new long[SLOTS / Long.SIZE];
    private long done;  // ticks up to and with this one have been played
    private long armedFor = Long.MAX_VALUE;
    private Timer armed = () -> { };
    private int count;

    /** By timers of {@code loop}, whose time is {@code clock}. */
    public TimerWheel(Clock clock, Timers loop) {
        this.clock = clock;
        this.loop = loop;
        done = clock.now() / TICK;
    }

    /** Timers that are neither over nor cancelled. */
    public int count() {
        return count;
    }

    @Override
    public Timer after(long micros, Runnable what) {
        long now = clock.now();
        if (count == 0) {
            done = Math.max(done, now / TICK);  // nobody looked while there was nothing
        }
        long tick = Math.max(done + 1, (now + Math.max(0, micros) + TICK - 1) / TICK);
        Entry entry = new Entry(tick, what);
        entry.link();
        if (tick < armedFor) {
            arm(now, tick);
        }
        return entry;
    }

    private void arm(long now, long tick) {
        armed.cancel();
        armedFor = tick;
        armed = loop.after(Math.max(1, tick * TICK - now), this::turn);
    }

    private void turn() {
        armedFor = Long.MAX_VALUE;
        long until = clock.now() / TICK;
        boolean fault = true;
        try {
            while (done < until && count > 0) {
                long tick = nextOccupied(done + 1, Math.min(until, done + SLOTS));
                done = tick;
                play(slots[(int) tick & MASK], tick);
            }
            done = Math.max(done, until);
            fault = false;
        } finally {
            if (fault) {
                done--;  // those behind it in its slot are played by the next turn
            }
            long next = count == 0 ? Long.MAX_VALUE : first();
            if (next < armedFor) {
                arm(clock.now(), next);
            }
        }
    }

    /** Those of one slot whose tick has come. They are taken out of it before the first is played, since any may cancel any, in this slot too, or begin others
        in it. One that throws leaves those behind it to the next turn. */
    private void play(Entry first, long tick) {
        Entry due = null;
        Entry last = null;
        for (Entry entry = first; entry != null; ) {
            Entry next = entry.next == first ? null : entry.next;
            entry.after = null;
            if (entry.tick <= tick) {
                due = due == null ? entry : due;
                if (last != null) {
                    last.after = entry;
                }
                last = entry;
            }
            entry = next;
        }
        for (Entry entry = due; entry != null; entry = entry.after) {
            entry.unlink();
        }
        for (Entry entry = due; entry != null; entry = entry.after) {
            Runnable what = entry.what;
            entry.what = null;
            if (what != null) {
                try {
                    what.run();
                } catch (RuntimeException | Error fault) {
                    relink(entry.after);
                    throw fault;
                }
            }
        }
    }

    private static void relink(Entry from) {
        for (Entry entry = from; entry != null; entry = entry.after) {
            if (entry.what != null) {
                entry.link();
            }
        }
    }

    /** The first tick from {@code from} to {@code most} whose slot has an entry; {@code most} where there is none. */
    private long nextOccupied(long from, long most) {
        for (long tick = from; tick < most; ) {
            long word = occupied[(int) (tick & MASK) / Long.SIZE] >>> (tick & Long.SIZE - 1);
            if (word != 0) {
                return Math.min(most, tick + Long.numberOfTrailingZeros(word));
            }
            tick = (tick | Long.SIZE - 1) + 1;
        }
        return most;
    }

    /** The first tick that has something to do: a slot may hold entries of a later round alone, which costs a look a round. */
    private long first() {
        return nextOccupied(done + 1, done + SLOTS);
    }

    private final class Entry implements Timer {

        private final long tick;
        private Runnable what;
        private Entry before;
        private Entry next;
        private Entry after;  // among those that are due
        private boolean linked;

        Entry(long tick, Runnable what) {
            this.tick = tick;
            this.what = what;
        }

        private void link() {
            int slot = (int) tick & MASK;
            Entry first = slots[slot];
            if (first == null) {
                slots[slot] = before = next = this;
                occupied[slot / Long.SIZE] |= 1L << slot;
            } else {
                before = first.before;
                next = first;
                before.next = this;
                first.before = this;
            }
            linked = true;
            count++;
        }

        private void unlink() {
            int slot = (int) tick & MASK;
            if (next == this) {
                slots[slot] = null;
                occupied[slot / Long.SIZE] &= ~(1L << slot);
            } else {
                before.next = next;
                next.before = before;
                if (slots[slot] == this) {
                    slots[slot] = next;
                }
            }
            linked = false;
            count--;
        }

        @Override
        public void cancel() {
            what = null;
            if (linked) {
                unlink();
            }
        }
    }
}
