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
public final class HostListLease {

    /** A watch may end in place of a notification, which counts as delivered this long after the end. */
    public static final long WATCH_ENDED_VALIDITY_MICROS = 2_000_000;
    /** Changes missed by a watch that has gone silent count as delivered this long after its last line. */
    public static final long WATCH_SILENT_VALIDITY_MICROS = 6_000_000;
    /** Changes missed because the registry has moved count as delivered this long after the move. */
    public static final long REGISTRY_MOVED_VALIDITY_MICROS = 4_000_000;
    /**
     * What has been sent counts as delivered, and the missing rest may name any host. Followed by a stall of 0.15 s,
     * this is the shortest grace.
     */
    public static final long PARTIAL_LIST_VALIDITY_MICROS = 100_000;
    /** After a failed call, the list stays valid for the configured validity times this factor. */
    private static final int FAILED_CALL_VALIDITY_FACTOR = 4;
    private static final long NEVER = Long.MAX_VALUE;

    private final long validity;
    private final boolean pushedByAgent;
    private boolean watchOpen;
    private long lastLineAt;
    private long lastCallAt = -1;
    private boolean lastCallFailed;
    private long watchExpiry = NEVER;
    private long partialListExpiry = NEVER;
    private long inputLostExpiry = NEVER;

    /** {@code validity}: how long a list is valid without a watch, from the last call on; 0 without a setting. */
    public HostListLease(long validity) {
        this(validity, false);
    }

    private HostListLease(long validity, boolean pushedByAgent) {
        this.validity = validity;
        this.pushedByAgent = pushedByAgent;
    }

    /**
     * A lease of lists that an agent on the gateway's own machine pushes: an agent that is silent has no changes, so
     * only a list of which a part has arrived limits the lease.
     */
    public static HostListLease pushedByAgent() {
        return new HostListLease(0, true);
    }

    /** A list was accepted: all changes sent before it are known. */
    public void listAccepted() {
        watchExpiry = NEVER;
        partialListExpiry = NEVER;
        inputLostExpiry = NEVER;
    }

    /** The response to a watch has started; its first line is still to come. */
    public void watchStarted(long eventAt) {
        watchOpen = true;
        lastLineAt = eventAt;
    }

    /** The watch has received a line, possibly an empty one. */
    public void lineReceived(long eventAt) {
        watchOpen = true;
        lastLineAt = eventAt;
        watchExpiry = NEVER;
    }

    /** The watch that was open has ended. */
    public void watchEnded(long eventAt) {
        watchOpen = false;
        limitByWatch(eventAt + WATCH_ENDED_VALIDITY_MICROS);
    }

    /** The open watch has received nothing for too long. */
    public void watchTimedOut() {
        watchOpen = false;
        limitByWatch(lastLineAt + WATCH_SILENT_VALIDITY_MICROS);
    }

    /**
     * This process has lost input that it had received, by a fault of its own. What was in it has been delivered, so the list
     * is not valid until another one is accepted, however calls end.
     */
    public void inputLost(long eventAt) {
        inputLostExpiry = Math.min(inputLostExpiry, eventAt);
    }

    /** The address of the registry has changed. */
    public void registryMoved(long eventAt) {
        watchOpen = false;
        limitByWatch(eventAt + REGISTRY_MOVED_VALIDITY_MICROS);
    }

    /** Part of a list has arrived on a call. */
    public void partialListStarted(long eventAt) {
        partialListExpiry = Math.min(partialListExpiry, eventAt + PARTIAL_LIST_VALIDITY_MICROS);
    }

    /** No part of an incomplete list is left on the open calls. */
    public void partialListCleared() {
        partialListExpiry = NEVER;
    }

    /** A call starts. */
    public void callStarted(long eventAt) {
        lastCallAt = eventAt;
        lastCallFailed = false;
    }

    /** A call was refused, timed out or could not connect, and no other one is open. */
    public void callFailed() {
        lastCallFailed = true;
        watchExpiry = NEVER;
        partialListExpiry = NEVER;
    }

    private void limitByWatch(long expiry) {
        watchExpiry = Math.min(watchExpiry, expiry);
    }

    /** When the lease expires, as things stand; {@code Long.MAX_VALUE} for never. */
    public long expiresAt() {
        if (pushedByAgent) {
            return Math.min(partialListExpiry, inputLostExpiry);
        }
        long expiry = Math.min(Math.min(watchExpiry, partialListExpiry), inputLostExpiry);
        if (watchOpen) {
            return Math.min(expiry, lastLineAt + WATCH_SILENT_VALIDITY_MICROS);
        }
        if (validity > 0 && lastCallAt >= 0) {
            long lastCallValidity = lastCallFailed ? FAILED_CALL_VALIDITY_FACTOR * validity : validity;
            return Math.min(expiry, lastCallAt + lastCallValidity);
        }
        return expiry;
    }

    /** Whether the list may be used. */
    public boolean isValid(long now) {
        return now < expiresAt();
    }
}
