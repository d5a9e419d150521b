package mastdrift.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;

/**
 * Decides when discovery is called and when a call times out. It is told of events with their times and performs no I/O
 * itself.
 * <p>A change has to be received within 6 s after discovery has it and can be reached, however earlier calls have
 * ended. A single call can't guarantee that: one that hangs looks like one that waits for its turn at the registry, and
 * closing it early would lose its place. So a call that sends nothing is hedged: another one is started beside it, and
 * the first to send a line closes the others. The hedge delay is longer than calls wait at a registry that is
 * overloaded and refuses some, so hedging does not add to the overload. After a failure the listener asks again by a
 * back-off of its own; the scheduler starts a call without it once a longer wait would leave that call no time to wait
 * for its turn.
 * <p>Times are in microseconds of one monotonic clock. Not thread-safe.
 * @param <C> a call
 */
final class CallSchedule<C> {

    /** Calls to a busy registry wait some seconds for their turn. */
    static final long TURN = 3_500_000;
    /**
     * An agent on the gateway's own machine has no queue: it answers at once, or is silent while it receives nothing
     * itself.
     */
    static final long AGENT_TURN = 1_000_000;
    /** An open watch sends at least an empty line every 2 s (PROTOCOL, Discovery). */
    static final long SILENCE = 2_500_000;
    private static final long DIAL = 2_000_000;
    /**
     * After a change of address, changes have to be received from the new one within 4 s: for that long calls are
     * repeated quickly, and a failure is attributed to the move and not reported.
     */
    static final long MOVE = 4_000_000;
    private static final long MOVE_HEDGE = 1_500_000;
    private static final long MOVE_DIAL = 500_000;
    private static final long MOVE_PAUSE = 150_000;
    /** A connection that is not up by then may never be; another attempt costs discovery nothing. */
    static final long HEDGE_DIAL = 500_000;
    /**
     * A call that has sent nothing by then may never do so. Together with {@link #RESPONSE_TIMEOUT_MICROS} this is less
     * than 6 s.
     */
    static final long HEDGE = 2_250_000;
    /**
     * Longest time from a failure to the next call; like the hedge delay, it leaves a call time for its response within
     * 6 s.
     */
    static final long PAUSE_MOST = 2_250_000;
    /**
     * Delays are spread over this range below the maximum, so that gateways whose calls fail together do not call again
     * together.
     */
    private static final long PAUSE_SPREAD = 500_000;
    /** At the same time, for one watch or fetch. */
    static final int OPEN_MOST = 3;
    private static final long NEVER = Long.MAX_VALUE;

    private static final class Open<C> {
        private final C call;
        private long due;  // until connected, or until the next line
        private long bound;
        private long hedge = NEVER;
        private boolean up;

        Open(C call) {
            this.call = call;
        }

        void within(long now, long micros) {
            bound = micros;
            due = now + micros;
        }
    }

    private final long turn;
    private final boolean lasting;
    private final LongUnaryOperator random;
    private final List<Open<C>> open = new ArrayList<>();
    private boolean wanted;
    private long next = NEVER;  // when no call is open
    private long movedAt;
    private boolean moved;
    private boolean owed;  // a failure was reported, and the listener has not asked again since
    private boolean ahead;  // a call was started after that failure; asking again needs no further one

    /**
     * Calls wait for a response for {@code responseTimeout} at most; {@code longLived} if the request stays active
     * until {@link #cancel}, as a watch does. {@code random} returns a number from 0 up to but not including its
     * argument.
     */
    CallSchedule(long turn, boolean lasting, LongUnaryOperator random) {
        this.turn = turn;
        this.lasting = lasting;
        this.random = random;
    }

    /**
     * Activates the request. If a call is open, or one was started since the last failure was reported, no further call
     * is started for it.
     */
    void ask(long now) {
        wanted = true;
        if (!(owed && ahead) && open.isEmpty()) {
            next = now;
        }
        owed = false;
        ahead = false;
    }

    /** Cancels the request; returns the open calls, which the caller has to close. */
    List<C> end() {
        wanted = false;
        owed = false;
        ahead = false;
        return forget();
    }

    /** The address of discovery has changed; returns the open calls, which the caller has to close. */
    List<C> moved(long now) {
        moved = true;
        movedAt = now;
        List<C> before = forget();
        next = wanted ? now : NEVER;
        return before;
    }

    private List<C> forget() {
        List<C> before = calls();
        open.clear();
        next = NEVER;
        return before;
    }

    private boolean moving(long now) {
        return moved && now - movedAt < MOVE;
    }

    /** Whether a call is to be started now. */
    boolean begins(long now) {
        return wanted && now >= nextCall();
    }

    private long nextCall() {
        return open.isEmpty() ? next : open.size() < OPEN_MOST ? newest().hedge : NEVER;
    }

    private Open<C> newest() {
        return open.get(open.size() - 1);
    }

    /** A call has been started. */
    void began(long now, C call) {
        ahead = owed;
        next = NEVER;
        Open<C> out = new Open<>(call);
        out.within(now, moving(now) ? MOVE_DIAL : DIAL);
        out.hedge = now + HEDGE_DIAL;
        open.add(out);
    }

    /** The open calls, oldest first. */
    List<C> calls() {
        return open.stream().map(out -> out.call).toList();
    }

    /** Whether a call is open; events of other calls are ignored. */
    boolean out(C call) {
        return find(call) != null;
    }

    private Open<C> find(C call) {
        for (Open<C> out : open) {
            if (out.call.equals(call)) {
                return out;
            }
        }
        return null;
    }

    /** The call is connected: returns the calls that are not, which the caller has to close. */
    List<C> connected(long now, C call) {
        Open<C> out = find(call);
        if (out == null || out.up) {
            return List.of();
        }
        out.up = true;
        out.within(now, turn);
        out.hedge = now + (moving(now) ? MOVE_HEDGE : HEDGE);
        List<C> others = open.stream().filter(other -> !other.up).map(other -> other.call).toList();
        open.removeIf(other -> !other.up);
        return others;
    }

    /** The call has received a line, possibly an empty one: returns all other calls, which the caller has to close. */
    List<C> heard(long now, C call) {
        Open<C> out = find(call);
        if (out == null) {
            return List.of();
        }
        List<C> others = open.stream().filter(other -> other != out).map(other -> other.call).toList();
        open.removeIf(other -> other != out);
        out.within(now, SILENCE);
        out.hedge = NEVER;
        owed = false;
        ahead = false;
        return others;
    }

    /**
     * The call has received its complete response and the request is done: returns all other calls, which the caller
     * has to close.
     */
    List<C> answered(C call) {
        List<C> all = end();
        return all.stream().filter(other -> !other.equals(call)).toList();
    }

    /**
     * The call has failed. Returns whether to report that: the listener asks again after a back-off of its own, so a
     * failure is not reported while one reported earlier has not been followed by that, nor during a move.
     */
    boolean failed(long now, C call) {
        Open<C> out = find(call);
        if (out == null) {
            return false;
        }
        boolean last = newest() == out;
        boolean moving = moving(now);
        open.remove(out);
        if (open.isEmpty()) {
            next = now + (moving ? MOVE_PAUSE : PAUSE_MOST - random.applyAsLong(PAUSE_SPREAD));
        // a failure before the timeout, a refusal for example: the remaining call is not hedged again at once
        } else if (last && now < out.due) {
            newest().hedge = Math.max(newest().hedge, now + (moving ? MOVE_HEDGE : HEDGE));
        }
        if (moving) {
            return false;
        }
        if (!lasting) {
            wanted = !open.isEmpty();
            return !wanted;
        }
        boolean tells = !owed;
        owed = true;
        ahead = ahead || !open.isEmpty();
        return tells;
    }

    /** The calls that have timed out; each is to be passed to {@link #callFailed} and closed. */
    List<C> overdue(long now) {
        return open.stream().filter(out -> now >= out.due).map(out -> out.call).toList();
    }

    /** The current timeout of an open call. */
    long bound(C call) {
        return find(call).bound;
    }

    /** The latest time at which the scheduler has to be asked again; {@code Long.MAX_VALUE} for never. */
    long due() {
        long due = wanted ? nextCall() : NEVER;
        for (Open<C> out : open) {
            due = Math.min(due, out.due);
        }
        return due;
    }
}
