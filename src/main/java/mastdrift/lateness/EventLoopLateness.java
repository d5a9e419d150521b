package mastdrift.lateness;

/**
 * The turns of one event loop: it waits for events, handles those that are there, then waits again. What comes while it handles
 * others is not seen until the next wait ends, and that time is the gateway's own, not the sender's.
 *
 * <p>What is ready when a wait ends had not come when the wait before it ended, or it would have been handled then; and if the
 * loop really waited, it had not come when this wait began. That bounds the moment from below, for all events of a turn at once
 * and at the cost of two stamps a turn. Where the operating system tells for how long the thread was ready without being given a
 * core, that part of a wait is the gateway's own too.
 *
 * <p>All times are in microseconds of one clock that doesn't run back. For a loop that tells of no turns nothing is late. Not
 * safe for use by several threads.
 */
public final class EventLoopLateness {

    /** A wait of so long was one, whatever else went on meanwhile. */
    public static final long SURELY_WAITED = 2_000;
    // A wait that ends sooner found events that were there before it began: to ask takes about as long, and longer where the
    // thread is interrupted. What a mistake costs grows with the turn before, so the bound does as well.
    private static final long WAITED = 100;
    private static final long PART = 8;
    /** The standing queue is the least that a whole interval saw, as in CoDel (RFC 8289, section 3.2). */
    public static final long INTERVAL = 100_000;

    private boolean told;
    private long turn;
    private long waitsSince;
    private long back;
    private long backBefore;
    private long arrivedAfter;
    private long keptFrom;
    private long intervalSince;
    private long least = Long.MAX_VALUE;
    private long standing;

    /** The loop is about to wait. */
    public void waits(long now) {
        if (told) {
            queued(now, now - back + keptFrom);
        }
        waitsSince = now;
    }

    /** The wait is over, and what is there is about to be handled. For {@code kept} of the microseconds of the wait the thread
        was ready and had no core; 0 where that isn't known. */
    public void back(long now, long kept) {
        long ready = Math.max(0, Math.min(kept, now - waitsSince));
        long bound = Math.max(WAITED, Math.min(SURELY_WAITED, (waitsSince - back) / PART));
        boolean waited = !told || now - waitsSince - ready >= bound;
        keptFrom = waited ? ready : 0;
        arrivedAfter = waited ? now - ready : back;
        if (!told) {
            intervalSince = now;
        }
        backBefore = told ? back : now;
        told = true;
        back = now;
        turn++;
    }

    /** Which turn this is, from 1 up; 0 for a loop that tells of none. */
    public long turn() {
        return turn;
    }

    /** All that was there when the wait ended has been handled; timers and tasks come next. */
    public void handled() {
        arrivedAfter = Math.max(arrivedAfter, back);
    }

    /** So much of the time up to now what is being handled may have waited here, at most. */
    public long own(long now) {
        return told ? Math.max(0, now - arrivedAfter) : 0;
    }

    /** How long ago the wait before this turn's ended: what is being handled came later than that, however the time since was spent. The bound that
        needs no judgement; {@link #own} is nearer. */
    public long most(long now) {
        return told ? Math.max(0, now - backBefore) : 0;
    }

    /** How long ago the wait ended: what came before then has been read by the time that timers run, what came later has not. */
    public long behind(long now) {
        return told ? Math.max(0, now - back) : 0;
    }

    /** How long whatever came had to wait at the most, in the best turn of the last whole {@link #INTERVAL}: a burst or one pause
        leaves none, a loop that doesn't keep up does. A turn longer than the interval counts at its end. */
    public long standing() {
        return standing;
    }

    private void queued(long now, long most) {
        least = Math.min(least, most);
        if (now - intervalSince >= INTERVAL) {
            standing = least;
            least = Long.MAX_VALUE;
            intervalSince = now;
        }
    }
}
