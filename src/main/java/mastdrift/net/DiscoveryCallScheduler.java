package mastdrift.net;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;
import mastdrift.membership.CallFailure;

/**
 * Decides when discovery is called and when a call times out. It is told of events with their times and performs no I/O
 * itself.
 * <p>A change has to be received within 6 s after discovery has it and can be reached, however earlier calls have
 * ended. A single call can't guarantee that: one that hangs looks like one that waits for its turn at the registry, and
 * closing it early would lose its place. So a call that sends nothing is hedged: another one is started beside it, and
 * the first to send a line closes the others. The hedge delay is longer than calls wait at a registry that is
 * overloaded and refuses some, so hedging does not add to the overload. After a failure the listener asks again by a
 * back-off of its own; the scheduler starts a call without it once a longer wait would leave that call no time to wait
 * for its turn. After a call that waited for its turn and was refused, the registry has as much work in its queue as it
 * takes in that time, the work for callers that it has refused included: a call that followed at once would be refused
 * too and add to that work. So the next one is started after a delay that is long, and spread so widely that gateways
 * which were refused together don't call together. A call that was refused at once has taken no place in that queue: the
 * next one follows soon, since the first to call after a place has become free gets it.
 * <p>Times are in microseconds of one monotonic clock. Not thread-safe.
 * @param <C> a call
 */
final class DiscoveryCallScheduler<C> {

    /** Calls to a busy registry wait some seconds for their turn. */
    static final long RESPONSE_TIMEOUT_MICROS = 3_500_000;
    /**
     * An agent on the gateway's own machine has no queue: it answers at once, or is silent while it receives nothing
     * itself.
     */
    static final long AGENT_RESPONSE_TIMEOUT_MICROS = 1_000_000;
    /** An open watch sends at least an empty line every 2 s (PROTOCOL, Discovery). */
    static final long WATCH_IDLE_TIMEOUT_MICROS = 2_500_000;
    private static final long CONNECT_TIMEOUT_MICROS = 2_000_000;
    /**
     * After a change of address, changes have to be received from the new one within 4 s: for that long calls are
     * repeated quickly, and a failure is attributed to the move and not reported.
     */
    static final long MOVE_PERIOD_MICROS = 4_000_000;
    private static final long MOVE_RESPONSE_HEDGE_DELAY_MICROS = 1_500_000;
    private static final long MOVE_CONNECT_TIMEOUT_MICROS = 500_000;
    private static final long MOVE_RETRY_DELAY_MICROS = 150_000;
    /** A connection that is not up by then may never be; another attempt costs discovery nothing. */
    static final long CONNECT_HEDGE_DELAY_MICROS = 500_000;
    /**
     * A call that has sent nothing by then may never do so. Together with {@link #RESPONSE_TIMEOUT_MICROS} this is less
     * than 6 s.
     */
    static final long RESPONSE_HEDGE_DELAY_MICROS = 2_250_000;
    /**
     * Longest time from a failure to the next call; like the hedge delay, it leaves a call time for its response within
     * 6 s.
     */
    static final long MAX_RETRY_DELAY_MICROS = 2_250_000;
    /**
     * Delays are spread over this range below the maximum, so that gateways whose calls fail together do not call again
     * together.
     */
    private static final long RETRY_DELAY_SPREAD_MICROS = 500_000;
    /** A call that was open for as long, and was refused before it had received anything, has waited for its turn. */
    private static final long MIN_QUEUED_MICROS = 1_000_000;
    /** Shortest delay after a call that waited for its turn and was refused; the longest is that of every retry. */
    private static final long MIN_DELAY_AFTER_QUEUED_MICROS = 1_000_000;
    /** Mean delay after a call that was refused at once; each delay is between half and one and a half of it. */
    private static final long MEAN_DELAY_AFTER_TURNED_AWAY_MICROS = 250_000;
    /** Calls follow each other so soon for this long; a crowd of gateways that call once each lasts 8 s. */
    private static final long TURNED_AWAY_PERIOD_MICROS = 10_000_000;
    /** A gateway that has never been answered has no clients for this long, and calls seldom meanwhile. */
    private static final long START_PERIOD_MICROS = 6_000_000;
    /** At the same time, for one watch or fetch. */
    static final int MAX_OPEN_CALLS = 3;
    private static final long NEVER = Long.MAX_VALUE;

    /** A call that is open, and its times. */
    private static final class OpenCall<C> {
        private final C call;
        private final long startedAt;
        private long deadline;  // until connected, or until the next line
        private long timeout;
        private long hedgeAt = NEVER;
        private boolean connected;
        private boolean hedge;  // another call was waiting for its response when this one connected
        private boolean heard;  // a line was received
        // Kept here so that its class is loaded before a dial can fail for want of a file descriptor.
        private final CallFailure notConnected = CallFailure.UNREACHABLE;

        OpenCall(C call, long startedAt) {
            this.call = call;
            this.startedAt = startedAt;
        }

        /** Whether the call, which fails now, was refused after it had waited for its turn. */
        boolean wasRefusedInQueue(long now) {
            return !heard && now < deadline && now - startedAt >= MIN_QUEUED_MICROS;
        }

        /** What its failure now shows; {@code refused} by a response. */
        CallFailure failure(long now, boolean refused) {
            if (!connected) {
                return notConnected;
            }
            // A hedge may be refused for the sake of the call beside it.
            if (hedge || now - startedAt >= MIN_QUEUED_MICROS) {
                return CallFailure.UNANSWERED;
            }
            return refused ? CallFailure.TURNED_AWAY : CallFailure.UNREACHABLE;
        }

        void startTimeout(long now, long duration) {
            timeout = duration;
            deadline = now + duration;
        }
    }

    private final long responseTimeout;
    private final boolean longLived;
    private final LongUnaryOperator random;
    private final List<OpenCall<C>> openCalls = new ArrayList<>();
    private boolean active;
    private long nextCallAt = NEVER;  // when no call is open
    private long notBefore = Long.MIN_VALUE;  // of the next call, whenever the listener asks
    private long turnedAwaySince = NEVER;  // the first of the calls refused at once in a row
    private boolean everHeard;  // a call has received a line
    private boolean fellSilent;  // a call has timed out since the last line, and none was refused since
    private long movedAt;
    private boolean hasMoved;
    private boolean awaitingRequest;  // a failure was reported, and the listener has not asked again since
    private boolean calledSinceFailure;  // a call was started after that failure; asking again needs no further one

    /**
     * Calls wait for a response for {@code responseTimeout} at most; {@code longLived} if the request stays active
     * until {@link #cancel}, as a watch does. {@code random} returns a number from 0 up to but not including its
     * argument.
     */
    DiscoveryCallScheduler(long responseTimeout, boolean longLived, LongUnaryOperator random) {
        this.responseTimeout = responseTimeout;
        this.longLived = longLived;
        this.random = random;
    }

    /**
     * Activates the request. If a call is open, or one was started since the last failure was reported, no further call
     * is started for it.
     */
    void request(long now) {
        active = true;
        if (!(awaitingRequest && calledSinceFailure) && openCalls.isEmpty()) {
            nextCallAt = Math.max(now, notBefore);
        }
        awaitingRequest = false;
        calledSinceFailure = false;
    }

    /** Cancels the request; returns the open calls, which the caller has to close. */
    List<C> cancel() {
        active = false;
        awaitingRequest = false;
        calledSinceFailure = false;
        return removeOpenCalls();
    }

    /** The address of discovery has changed; returns the open calls, which the caller has to close. */
    List<C> addressChanged(long now) {
        hasMoved = true;
        movedAt = now;
        List<C> closed = removeOpenCalls();
        nextCallAt = active ? now : NEVER;
        return closed;
    }

    private List<C> removeOpenCalls() {
        List<C> closed = openCalls();
        openCalls.clear();
        nextCallAt = NEVER;
        notBefore = Long.MIN_VALUE;
        return closed;
    }

    private boolean isMoving(long now) {
        return hasMoved && now - movedAt < MOVE_PERIOD_MICROS;
    }

    /** Whether a call is to be started now. */
    boolean shouldStartCall(long now) {
        return active && now >= nextCallTime();
    }

    private long nextCallTime() {
        return openCalls.isEmpty() ? nextCallAt : openCalls.size() < MAX_OPEN_CALLS ? newestCall().hedgeAt : NEVER;
    }

    private OpenCall<C> newestCall() {
        return openCalls.get(openCalls.size() - 1);
    }

    /** A call has been started. */
    void callStarted(long now, C call) {
        calledSinceFailure = awaitingRequest;
        nextCallAt = NEVER;
        OpenCall<C> openCall = new OpenCall<>(call, now);
        openCall.startTimeout(now, isMoving(now) ? MOVE_CONNECT_TIMEOUT_MICROS : CONNECT_TIMEOUT_MICROS);
        openCall.hedgeAt = now + CONNECT_HEDGE_DELAY_MICROS;
        openCalls.add(openCall);
    }

    /** The open calls, oldest first. */
    List<C> openCalls() {
        return openCalls.stream().map(openCall -> openCall.call).toList();
    }

    /** Whether a call is open; events of other calls are ignored. */
    boolean isOpen(C call) {
        return find(call) != null;
    }

    private OpenCall<C> find(C call) {
        for (OpenCall<C> openCall : openCalls) {
            if (openCall.call.equals(call)) {
                return openCall;
            }
        }
        return null;
    }

    /** The call is connected: returns the calls that are not, which the caller has to close. */
    List<C> connected(long now, C call) {
        OpenCall<C> openCall = find(call);
        if (openCall == null || openCall.connected) {
            return List.of();
        }
        openCall.hedge = hasWaitingCall();
        openCall.connected = true;
        openCall.startTimeout(now, responseTimeout);
        openCall.hedgeAt = now + (isMoving(now) ? MOVE_RESPONSE_HEDGE_DELAY_MICROS : RESPONSE_HEDGE_DELAY_MICROS);
        List<C> others = openCalls.stream().filter(other -> !other.connected).map(other -> other.call).toList();
        openCalls.removeIf(other -> !other.connected);
        return others;
    }

    /** The call has received a line, possibly an empty one: returns all other calls, which the caller has to close. */
    List<C> lineReceived(long now, C call) {
        OpenCall<C> openCall = find(call);
        if (openCall == null) {
            return List.of();
        }
        List<C> others = openCalls.stream().filter(other -> other != openCall).map(other -> other.call).toList();
        openCalls.removeIf(other -> other != openCall);
        openCall.startTimeout(now, WATCH_IDLE_TIMEOUT_MICROS);
        openCall.hedgeAt = NEVER;
        openCall.heard = true;
        turnedAwaySince = NEVER;
        everHeard = true;
        fellSilent = false;
        awaitingRequest = false;
        calledSinceFailure = false;
        return others;
    }

    /**
     * The call has received its complete response and the request is done: returns all other calls, which the caller
     * has to close.
     */
    List<C> responseCompleted(C call) {
        List<C> all = cancel();
        return all.stream().filter(other -> !other.equals(call)).toList();
    }

    /**
     * What the failure of an open call shows, {@code refused} if discovery has answered it with a refusal; to be asked
     * before {@link #callFailed}.
     */
    CallFailure failureOf(long now, C call, boolean refused) {
        return find(call).failure(now, refused);
    }

    /** Whether an open call has received a line. */
    boolean isReceiving() {
        return openCalls.stream().anyMatch(openCall -> openCall.heard);
    }

    /** Whether an open call is connected and waits for its response. */
    boolean hasWaitingCall() {
        return openCalls.stream().anyMatch(openCall -> openCall.connected && !openCall.heard);
    }

    /**
     * The call has failed. Returns whether to report that: the listener asks again after a back-off of its own, so a
     * failure is not reported while one reported earlier has not been followed by that, nor during a move.
     */
    boolean callFailed(long now, C call, CallFailure failure) {
        OpenCall<C> openCall = find(call);
        if (openCall == null) {
            return false;
        }
        boolean wasNewest = newestCall() == openCall;
        boolean moving = isMoving(now);
        openCalls.remove(openCall);
        if (openCalls.isEmpty()) {
            scheduleRetry(now, openCall, failure, moving);
        } else if (wasNewest && now < openCall.deadline) {
            // A failure before the timeout, a refusal for example: the remaining call is not hedged again at once.
            newestCall().hedgeAt = Math.max(newestCall().hedgeAt, now
                    + (moving ? MOVE_RESPONSE_HEDGE_DELAY_MICROS : RESPONSE_HEDGE_DELAY_MICROS));
        }
        if (moving) {
            return false;
        }
        if (!longLived) {
            active = !openCalls.isEmpty();
            return !active;
        }
        boolean reports = !awaitingRequest;
        awaitingRequest = true;
        calledSinceFailure = calledSinceFailure || !openCalls.isEmpty();
        return reports;
    }

    /**
     * After silence, the time that was spent on noticing it is missing for the next calls: the first that is refused
     * then is followed by another one soon.
     */
    private void scheduleRetry(long now, OpenCall<C> failed, CallFailure failure, boolean moving) {
        notBefore = Long.MIN_VALUE;
        turnedAwaySince = failure == CallFailure.TURNED_AWAY ? Math.min(turnedAwaySince, now) : NEVER;
        if (moving) {
            nextCallAt = now + MOVE_RETRY_DELAY_MICROS;
        } else if (retriesSoon(now)) {
            nextCallAt = now + MEAN_DELAY_AFTER_TURNED_AWAY_MICROS / 2 + random.applyAsLong(MEAN_DELAY_AFTER_TURNED_AWAY_MICROS);
        } else if (failed.wasRefusedInQueue(now) && !fellSilent) {
            notBefore = now + MAX_RETRY_DELAY_MICROS
                    - random.applyAsLong(MAX_RETRY_DELAY_MICROS - MIN_DELAY_AFTER_QUEUED_MICROS);
            nextCallAt = notBefore;
        } else {
            nextCallAt = now + MAX_RETRY_DELAY_MICROS - random.applyAsLong(RETRY_DELAY_SPREAD_MICROS);
        }
        fellSilent = now >= failed.deadline;
    }

    /** Whether calls are refused at once, and the list is in use or awaited by clients. */
    private boolean retriesSoon(long now) {
        long from = everHeard ? 0 : START_PERIOD_MICROS;
        return turnedAwaySince != NEVER && now - turnedAwaySince >= from
                && now - turnedAwaySince < from + TURNED_AWAY_PERIOD_MICROS;
    }

    /** The calls that have timed out; each is to be passed to {@link #callFailed} and closed. */
    List<C> overdueCalls(long now) {
        return openCalls.stream().filter(openCall -> now >= openCall.deadline).map(openCall -> openCall.call).toList();
    }

    /** The current timeout of an open call. */
    long timeout(C call) {
        return find(call).timeout;
    }

    /** The latest time at which the scheduler has to be asked again; {@code Long.MAX_VALUE} for never. */
    long nextEventTime() {
        long nextEvent = active ? nextCallTime() : NEVER;
        for (OpenCall<C> openCall : openCalls) {
            nextEvent = Math.min(nextEvent, openCall.deadline);
        }
        return nextEvent;
    }
}
