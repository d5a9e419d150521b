package mastdrift.lab.model;

import java.util.PriorityQueue;
import mastdrift.engine.Clock;
import mastdrift.engine.Timers;

/** A clock that stands still while something happens and jumps to whatever comes next, in microseconds. What is due at one
    time comes in the order in which it was asked for. One thread. */
final class VirtualTime implements Clock, Timers {

    /** Where it begins: hosts' starts are Unix times, and 0 means long ago. */
    static final long BEGIN = 1_000_000_000_000_000L;

    private static final class Event implements Timers.Timer, Comparable<Event> {
        private final long at;
        private final long number;
        private Runnable what;

        Event(long at, long number, Runnable what) {
            this.at = at;
            this.number = number;
            this.what = what;
        }

        /** Stays in the queue until its time, but holds nothing any more. */
        @Override
        public void cancel() {
            what = null;
        }

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>(1024);
    private long now = BEGIN;
    private long number;
    private long done;

    @Override
    public long now() {
        return now;
    }

    @Override
    public Timers.Timer after(long micros, Runnable what) {
        Event event = new Event(now + Math.max(0, micros), number++, what);
        events.add(event);
        return event;
    }

    /** Lets time pass until then; what is due at that time happens too. */
    void run(long until) {
        for (Event next = events.peek(); next != null && next.at <= until; next = events.peek()) {
            events.poll();
            now = next.at;
            if (next.what != null) {
                done++;
                next.what.run();
            }
        }
        now = Math.max(now, until);
    }

    /** Events that have happened. */
    long done() {
        return done;
    }
}
