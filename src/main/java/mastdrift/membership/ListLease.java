package mastdrift.membership;

/**
 * For how long the list in force may be relied on. A list stands as long as a watch behind it does. Once that has ended, fallen silent, or
 * begun to tell something that does not arrive whole, what was told and not heard counts as told after a while, whether or not the next
 * call has been answered by then; from there on nobody may be sent to by the list until it has been heard anew.
 *
 * <p>A call that fails while no other one is out lifts that: a registry that refuses or can't be reached may be away for long, and what it
 * has to tell does not count meanwhile. That a registry with too many callers looks the same can't be known here.
 *
 * <p>A lease that ends costs requests that would have been served; one that ends too late sends to servers that drain.
 *
 * <p>Pure: times are in microseconds of one clock that doesn't run back, and the caller tells the earliest moment at which an event may
 * have come about. Not safe for use by several threads.
 */
public final class ListLease {

    /** A watch may end in place of a notification, which counts as told so long after the end. */
    public static final long ENDED = 2_000_000;
    /** What a watch that has fallen silent misses counts as told so long after that. */
    public static final long SILENT = 6_000_000;
    /** After a move of the registry, likewise. */
    public static final long MOVED = 4_000_000;
    /** What has been written counts as told, and a rest of it that stays away may name anybody. With a hold-up of 0.15 s behind it, this is the shortest grace. */
    public static final long UNFINISHED = 100_000;
    /** How many times as long as settings give between calls a failed call counts. */
    private static final int FAILED_TIMES = 4;
    private static final long NEVER = Long.MAX_VALUE;

    private final long mustAskIn;
    private final boolean byAgent;
    private boolean watched;
    private long lineAt;
    private long calledAt = -1;
    private boolean callFailed;
    private long boundByWatch = NEVER;
    private long boundByUnfinished = NEVER;

    /** {@code mustAskIn}: how long a list counts without a watch, from the last call on; 0 where no setting says so. */
    public ListLease(long mustAskIn) {
        this(mustAskIn, false);
    }

    private ListLease(long mustAskIn, boolean byAgent) {
        this.mustAskIn = mustAskIn;
        this.byAgent = byAgent;
    }

    /** Of lists that an agent of the gateway's own machine tells: one that is silent has nothing to tell, so that only what it has begun to tell bounds a list. */
    public static ListLease byAgent() {
        return new ListLease(0, true);
    }

    /** A list has been put in force: all that had been told before is known. */
    public void listed() {
        boundByWatch = NEVER;
        boundByUnfinished = NEVER;
    }

    /** A watch has begun to be answered; what it has to tell is still to come. */
    public void watchBegan(long at) {
        watched = true;
        lineAt = at;
    }

    /** A watch has told a line, an empty one maybe, and stands. */
    public void lineCame(long at) {
        watched = true;
        lineAt = at;
        boundByWatch = NEVER;
    }

    /** The watch that stood has ended. */
    public void watchEnded(long at) {
        watched = false;
        bound(at + ENDED);
    }

    /** The watch that stood has told nothing for too long. */
    public void watchSilent() {
        watched = false;
        bound(lineAt + SILENT);
    }

    /** The registry is elsewhere from now on. */
    public void moved(long at) {
        watched = false;
        bound(at + MOVED);
    }

    /** A list has begun to come on a call. */
    public void listBegan(long at) {
        boundByUnfinished = Math.min(boundByUnfinished, at + UNFINISHED);
    }

    /** Nothing of a list stands unfinished on the calls that are out. */
    public void nothingUnfinished() {
        boundByUnfinished = NEVER;
    }

    /** A call begins. */
    public void called(long at) {
        calledAt = at;
        callFailed = false;
    }

    /** A call was refused, given up or could not be made, and no other one is out. */
    public void callFailed() {
        callFailed = true;
        boundByWatch = NEVER;
        boundByUnfinished = NEVER;
    }

    private void bound(long until) {
        boundByWatch = Math.min(boundByWatch, until);
    }

    /** Until when the list may be relied on, as things stand; the largest number for no end. */
    public long until() {
        if (byAgent) {
            return boundByUnfinished;
        }
        long bound = Math.min(boundByWatch, boundByUnfinished);
        if (watched) {
            return Math.min(bound, lineAt + SILENT);
        }
        if (mustAskIn > 0 && calledAt >= 0) {
            long counts = callFailed ? FAILED_TIMES * mustAskIn : mustAskIn;
            return Math.min(bound, calledAt + counts);
        }
        return bound;
    }

    /** Whether it may be relied on. */
    public boolean holds(long now) {
        return now < until();
    }
}
