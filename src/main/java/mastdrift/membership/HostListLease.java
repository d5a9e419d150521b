package mastdrift.membership;

/**
 * Decides how long the current host list may be used. A list is valid while its watch is open. Once the watch has
 * ended, has gone silent, or has sent part of a list without the rest, changes that were sent but not received count as
 * delivered after some time, whether or not the next call has been answered by then; from that time no request may be
 * sent by the list until a new one has been received.
 * <p>What the registry could not send does not count, and a registry that is down may be so for long. So a failed call
 * ends the limit, if no other one waits for its response, unless its {@link CallFailure} shows a crowd: a registry that is
 * up and has too many callers. What it sends to others meanwhile counts as delivered here 6 s after it had it and could be
 * reached. A registry that answers none of the calls for longer than a crowd lasts is taken for one that is down.
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
    /**
     * Whatever became of the calls, a change counts as delivered this long after the registry had it and could be
     * reached.
     */
    public static final long UNSENT_CHANGE_VALIDITY_MICROS = 6_000_000;
    /** A registry can answer a call of every gateway within 8 s. One that answers none for longer is down. */
    public static final long MAX_CROWD_MICROS = 10_000_000;
    /** After a failed call, the list stays valid for the configured validity times this factor. */
    private static final int FAILED_CALL_VALIDITY_FACTOR = 4;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long UNKNOWN = Long.MIN_VALUE / 2;  // long ago, with room for a span to be added

    private final long validity;
    private final boolean pushedByAgent;
    private boolean watchOpen;
    private long lastLineAt;
    private long lastCallAt = -1;
    private boolean lastCallFailed;
    private long watchExpiry = NEVER;
    private long partialListExpiry = NEVER;
    private long inputLostExpiry = NEVER;
    private long moveExpiry = NEVER;
    private long unwatchedSince = NEVER;  // changes since then may be missing
    private long unreachableUntil = UNKNOWN;  // the last time at which the registry may not have been reachable
    private long crowdedSince = NEVER;  // the first failure that may be due to a crowd
    private boolean turnedAway;  // one of these failures shows that the registry was up

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

    /**
     * From now on a list is used that an earlier process received, an unknown time ago, if there is no other one: of the
     * changes since then, all that the registry could have sent count as delivered.
     */
    public void earlierListUsed() {
        unwatchedSince = UNKNOWN;
        if (turnedAway) {
            limitByReachableRegistry();
        }
    }

    /** A list was accepted: all changes sent before it are known. */
    public void listAccepted(long eventAt) {
        changesKnown(watchOpen ? NEVER : eventAt);
        partialListExpiry = NEVER;
        inputLostExpiry = NEVER;
    }

    /** All changes are known, up to a time if no watch is open. */
    private void changesKnown(long until) {
        unwatchedSince = until;
        watchExpiry = NEVER;
        moveExpiry = NEVER;
        unreachableUntil = UNKNOWN;
        forgetCrowd();
    }

    private void forgetCrowd() {
        crowdedSince = NEVER;
        turnedAway = false;
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
        changesKnown(NEVER);
    }

    /** The watch that was open has ended. */
    public void watchEnded(long eventAt) {
        unwatchedFrom(eventAt);
        limitByWatch(eventAt + WATCH_ENDED_VALIDITY_MICROS);
    }

    /** The open watch has received nothing for too long. */
    public void watchTimedOut() {
        unwatchedFrom(lastLineAt);
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
        unwatchedFrom(eventAt);
        moveExpiry = Math.min(moveExpiry, eventAt + REGISTRY_MOVED_VALIDITY_MICROS);
        unreachableUntil = eventAt;
        forgetCrowd();
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

    /**
     * A call has failed without having received a line. {@code othersWait}: whether another open call is connected and
     * waits for its response.
     */
    public void callFailed(long eventAt, CallFailure failure, boolean othersWait) {
        if (failure == CallFailure.LOCAL_ERROR || failure == CallFailure.UNREACHABLE && othersWait) {
            return;
        }
        lastCallFailed |= !othersWait;
        boolean crowded = failure == CallFailure.TURNED_AWAY || othersWait;
        if (crowded) {
            crowdedSince = Math.min(crowdedSince, eventAt);
            turnedAway |= failure == CallFailure.TURNED_AWAY;
        }
        if ((crowded || turnedAway) && eventAt - crowdedSince < MAX_CROWD_MICROS) {
            if (turnedAway || watchExpiry != NEVER) {
                limitByReachableRegistry();
            }
            return;
        }
        liftLimits(eventAt);
        if (!crowded) {
            forgetCrowd();
        }
    }

    /** Replaces the limit of the watch by that of changes which the registry could have sent in answer to a call. */
    private void limitByReachableRegistry() {
        if (unwatchedSince != NEVER) {
            watchExpiry = Math.max(unwatchedSince, unreachableUntil) + UNSENT_CHANGE_VALIDITY_MICROS;
        }
    }

    private void liftLimits(long unreachableAt) {
        watchOpen = false;  // a response may have started without a line
        watchExpiry = NEVER;
        moveExpiry = NEVER;
        partialListExpiry = NEVER;
        unreachableUntil = unreachableAt;
    }

    private void unwatchedFrom(long eventAt) {
        watchOpen = false;
        unwatchedSince = Math.min(unwatchedSince, eventAt);
    }

    private void limitByWatch(long expiry) {
        watchExpiry = Math.min(watchExpiry, expiry);
    }

    /** When the lease expires, as things stand; {@code Long.MAX_VALUE} for never. */
    public long expiresAt() {
        if (pushedByAgent) {
            return Math.min(partialListExpiry, inputLostExpiry);
        }
        long expiry = Math.min(Math.min(watchExpiry, moveExpiry), Math.min(partialListExpiry, inputLostExpiry));
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
