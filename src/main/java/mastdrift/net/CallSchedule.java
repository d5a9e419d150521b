package mastdrift.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;

/** When discovery is called, and for how long a call may last: decides by the times that it is told, does nothing itself.
 *
 * <p>A change counts as told 6 s after discovery had it and could be reached, whatever calls before have come to. A single call can't keep
 * that: one that hangs looks like one that waits for its turn, and giving it up early would give its place away. So a call that says
 * nothing is hedged: another one begins beside it, and the first to tell a line ends the others. The hedge comes later than calls
 * wait where discovery has too many callers and refuses some, so that a crowd is not made larger by it. And whoever asks again after
 * failures, by a back-off of its own, is waited for no longer than leaves a call the time to wait for its turn.
 *
 * <p>Times are in microseconds of one clock that doesn't run back. Not safe for use by several threads.
 *
 * @param <C> a call
 */
final class CallSchedule<C> {

    /** Calls wait for their turn, for some seconds. */
    static final long TURN = 3_500_000;
    /** An agent of the gateway's own machine has no turns: it answers at once, or is silent while it hears nothing itself. */
    static final long AGENT_TURN = 1_000_000;
    /** A watch that has begun has an empty line every 2 s at least (PROTOCOL, Discovery). */
    static final long SILENCE = 2_500_000;
    private static final long DIAL = 2_000_000;
    /** After a move, what discovery tells has to be heard within 4 s: for so long a call is repeated soon, and its failure is one of the move and not told. */
    static final long MOVE = 4_000_000;
    private static final long MOVE_HEDGE = 1_500_000;
    private static final long MOVE_DIAL = 500_000;
    private static final long MOVE_PAUSE = 150_000;
    /** A dial that is not up by then may never be; another one costs discovery nothing. */
    static final long HEDGE_DIAL = 500_000;
    /** A call that has told nothing by then may never do so. With {@link #TURN} behind it, this is less than 6 s. */
    static final long HEDGE = 2_250_000;
    /** Likewise: from a failure to the next call. */
    static final long PAUSE_MOST = 2_250_000;
    /** Spread below that, or who failed together would ask together. */
    private static final long PAUSE_SPREAD = 500_000;
    /** Calls out at a time. */
    static final int OPEN_MOST = 3;
    private static final long NEVER = Long.MAX_VALUE;

    private static final class Open<C> {
        private final C call;
        private long due;  // to be up, or to have told a line
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
    private long next = NEVER;  // call, where none is out
    private long movedAt;
    private boolean moved;
    private boolean owed;  // a failure was told, and was not followed by asking again yet
    private boolean ahead;  // since then a call has begun unasked: that asking comes too late

    /** Calls wait for {@code turn} at most; {@code lasting} if what is asked for goes on until {@link #end}, as a watch does. {@code random} gives a
        number from 0 to below its argument. */
    CallSchedule(long turn, boolean lasting, LongUnaryOperator random) {
        this.turn = turn;
        this.lasting = lasting;
        this.random = random;
    }

    /** It is wanted from now on. Where a call is out, or where one has begun since the last failure was told, that is the one. */
    void ask(long now) {
        wanted = true;
        if (!(owed && ahead) && open.isEmpty()) {
            next = now;
        }
        owed = false;
        ahead = false;
    }

    /** It is wanted no more; returns the calls that are out, to be closed. */
    List<C> end() {
        wanted = false;
        owed = false;
        ahead = false;
        return forget();
    }

    /** Discovery has moved; returns the calls that are out, to be closed. */
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

    /** Whether a call is to begin. */
    boolean begins(long now) {
        return wanted && now >= nextCall();
    }

    private long nextCall() {
        return open.isEmpty() ? next : open.size() < OPEN_MOST ? newest().hedge : NEVER;
    }

    private Open<C> newest() {
        return open.get(open.size() - 1);
    }

    /** It has begun. */
    void began(long now, C call) {
        ahead = owed;
        next = NEVER;
        Open<C> out = new Open<>(call);
        out.within(now, moving(now) ? MOVE_DIAL : DIAL);
        out.hedge = now + HEDGE_DIAL;
        open.add(out);
    }

    /** The calls that are out. */
    List<C> calls() {
        return open.stream().map(out -> out.call).toList();
    }

    /** Whether a call is out: what others say doesn't count. */
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

    /** Its connection is up: returns those whose dials are not, to be closed. */
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

    /** It has told a line, an empty one maybe: returns the others, to be closed. */
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

    /** It has had its answer, and nothing more is wanted: returns the others, to be closed. */
    List<C> answered(C call) {
        List<C> all = end();
        return all.stream().filter(other -> !other.equals(call)).toList();
    }

    /** It has failed. Returns whether that is to be told: who hears it asks again in its own time, so not while an earlier failure is still to be
        followed by that; and not while discovery moves. */
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
        } else if (last && now < out.due) {  // refused, say: then the one that is left is not hedged at once again
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

    /** Those that have had their time, each to be told by {@link #failed} and closed. */
    List<C> overdue(long now) {
        return open.stream().filter(out -> now >= out.due).map(out -> out.call).toList();
    }

    /** For how long a call that is out may go on as it is. */
    long bound(C call) {
        return find(call).bound;
    }

    /** When to look again at the latest; the largest number for never. */
    long due() {
        long due = wanted ? nextCall() : NEVER;
        for (Open<C> out : open) {
            due = Math.min(due, out.due);
        }
        return due;
    }
}
