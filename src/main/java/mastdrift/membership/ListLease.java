package mastdrift.membership;

/**
 * Decides how long the current host list may be used. A list is valid while its watch is open. Once the watch has
 * ended, has gone silent, or has sent part of a list without the rest, changes that were sent but not received count as
 * delivered after some time, whether or not the next call has been answered by then; from that time no request may be
 * sent by the list until a new one has been received.
 * <p>A call that fails while no other one is open lifts that limit: a registry that refuses calls or can't be reached
 * may be down for long, and changes that it can't send do not count meanwhile. A registry that refuses calls only
 * because it has too many callers can't be told apart from that here.
 * <p>A lease that expires too early costs requests that could have been served; one that expires too late sends
 * requests to draining hosts.
 * <p>No I/O and no clock: times are in microseconds of one monotonic clock, and the caller passes the earliest time at
 * which an event may have happened. Not thread-safe.
 */
public final class ListLease {

    /** A watch may end in place of a notification, which counts as delivered this long after the end. */
    public static final long ENDED = 2_000_000;
    /** Changes missed by a watch that has gone silent count as delivered this long after its last line. */
    public static final long SILENT = 6_000_000;
    /** Changes missed because the registry has moved count as delivered this long after the move. */
    public static final long MOVED = 4_000_000;
    /**
     * What has been sent counts as delivered, and the missing rest may name any host. Together with a delay of 0.15 s
     * before it is noticed, this is the shortest grace.
     */
    public static final long UNFINISHED = 100_000;
    /** After a failed call, the list stays valid for the configured validity times this factor. */
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

    /** {@code validity}: how long a list is valid without a watch, from the last call on; 0 without a setting. */
    public ListLease(long mustAskIn) {
        this(mustAskIn, false);
    }

    private ListLease(long mustAskIn, boolean byAgent) {
        this.mustAskIn = mustAskIn;
        this.byAgent = byAgent;
    }

    /**
     * A lease of lists that an agent on the gateway's own machine pushes: an agent that is silent has no changes, so
     * only a list of which a part has arrived limits the lease.
     */
    public static ListLease byAgent() {
        return new ListLease(0, true);
    }

    /** A list was accepted: all changes sent before it are known. */
    public void listed() {
        boundByWatch = NEVER;
        boundByUnfinished = NEVER;
    }

    /** The response to a watch has started; its first line is still to come. */
    public void watchBegan(long at) {
        watched = true;
        lineAt = at;
    }

    /** The watch has received a line, possibly an empty one. */
    public void lineCame(long at) {
        watched = true;
        lineAt = at;
        boundByWatch = NEVER;
    }

    /** The watch that was open has ended. */
    public void watchEnded(long at) {
        watched = false;
        bound(at + ENDED);
    }

    /** The open watch has received nothing for too long. */
    public void watchSilent() {
        watched = false;
        bound(lineAt + SILENT);
    }

    /** The address of the registry has changed. */
    public void moved(long at) {
        watched = false;
        bound(at + MOVED);
    }

    /** Part of a list has arrived on a call. */
    public void listBegan(long at) {
        boundByUnfinished = Math.min(boundByUnfinished, at + UNFINISHED);
    }

    /** No part of an incomplete list is left on the open calls. */
    public void nothingUnfinished() {
        boundByUnfinished = NEVER;
    }

    /** A call starts. */
    public void called(long at) {
        calledAt = at;
        callFailed = false;
    }

    /** A call was refused, timed out or could not connect, and no other one is open. */
    public void callFailed() {
        callFailed = true;
        boundByWatch = NEVER;
        boundByUnfinished = NEVER;
    }

    private void bound(long until) {
        boundByWatch = Math.min(boundByWatch, until);
    }

    /** When the lease expires, as things stand; {@code Long.MAX_VALUE} for never. */
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

    /** Whether the list may be used. */
    public boolean holds(long now) {
        return now < until();
    }
}
