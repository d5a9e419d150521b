package mastdrift.engine;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import mastdrift.Balancer;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;
import mastdrift.lateness.EventLoopLateness;

/**
 * Tracks requests and their attempts, independent of protocol and pool: each request gets one final answer, and events
 * are handled one after the other. Everything runs on the event loop's thread.
 */
public final class RequestTracker {

    // Subtracted from the time that the client still waits: that time counts from the client's send, and the response
    // has to travel back.
    private static final long RESPONSE_MARGIN_MICROS = 5_000;
    // A request still open this long after the time given to the module is failed, whatever the module decides.
    private static final long FORCED_FAILURE_DELAY_MICROS = 2_000;
    // If what is being handled may have waited for longer than this, events are deferred until all that has arrived is
    // read, since a host list may be behind it. A part of the 250 ms within which a drain has to take effect.
    private static final long DEFER_EVENTS_AFTER_MICROS = 100_000;
    /**
     * If input may have been unread for longer than this, it is read before a decision that it could change: a client's
     * disconnect, or news about hosts. Longer than the event loop ever blocks, so this costs nothing while the loop
     * keeps up. Short enough to leave 40 ms for the network paths from the client and to the host under the rule that
     * no attempt begins more than 0.1 s after its client has left; shorter than any drain grace in use.
     */
    public static final long CHECK_INPUT_AFTER_MICROS = 60_000;
    // The event loop's own standing queue is logged from this length on, at most once in each interval.
    private static final long MIN_LOGGED_LATENESS_MICROS = 50_000;
    private static final long LATENESS_LOG_INTERVAL_MICROS = 10_000_000;

    private static final int ID_RETENTION_FACTOR = 2;

    private final Timers timers;
    private final Clock clock;
    private final EventLoopLateness lateness;
    private final int maxOpenRequests;
    private final Consumer<String> log;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final RequestIds ids = new RequestIds(ThreadLocalRandom.current().nextLong());
    private final ServiceCount serviceCount = new ServiceCount();
    private final Queue<Runnable> pendingEvents = new ArrayDeque<>();
    private RequestListener requestListener;  // null if there is none
    private BooleanSupplier notificationReader = () -> true;
    private long notificationsReadAt;
    private boolean handlingEvent;
    private boolean eventsDeferred;
    private long latenessLoggedAt = -LATENESS_LOG_INTERVAL_MICROS;
    private long nextId = 1;
    private int openRequests;

    /**
     * Tracks up to {@code maxOpenRequests} unanswered requests. For a thread that is never late, on which the timers
     * fire too.
     */
    public RequestTracker(Timers timers, Clock clock, int maxOpenRequests, Consumer<String> log) {
        this(timers, clock, new EventLoopLateness(), maxOpenRequests, log);
    }

    /** As above, for an event loop with the given lateness. */
    public RequestTracker(Timers timers, Clock clock, EventLoopLateness lateness, int maxOpenRequests,
            Consumer<String> log) {
        this.timers = timers;
        this.clock = clock;
        this.lateness = lateness;
        this.maxOpenRequests = maxOpenRequests;
        this.log = log;
    }

    /** The current time in microseconds. */
    public long now() {
        return clock.now();
    }

    /** The earliest time at which the input being handled now can have arrived, in microseconds of the clock. */
    public long earliestArrivalAt() {
        long now = now();
        return now - lateness.queuedMicros(now);
    }

    /**
     * The longest time for which the input being handled now can have been unread, in microseconds, counting whatever
     * the loop did meanwhile.
     */
    public long maxUnreadMicros() {
        return lateness.maxQueuedMicros(now());
    }

    /** The number of the event loop's current turn, from 1; 0 if the loop doesn't report its turns. */
    public long turnNumber() {
        return lateness.turnNumber();
    }

    /** Sets the listener that is told of every request from now on. */
    public void setRequestListener(RequestListener listener) {
        requestListener = listener;
    }

    /**
     * Sets the reader of pending notifications about hosts: it reads what has been received and not yet read, and
     * returns whether nothing more can be pending. It is called on the event loop's thread before events and before an
     * attempt's first byte when a turn has taken long: what arrived since the turn began would otherwise be read only
     * in the next turn.
     */
    public void setNotificationReader(BooleanSupplier reader) {
        notificationReader = reader;
    }

    /** The final answers so far. */
    public ServiceCount serviceCount() {
        return serviceCount;
    }

    /** The number of requests not answered yet. */
    public int openRequests() {
        return openRequests;
    }

    EventLoopLateness lateness() {
        return lateness;
    }

    Timers timers() {
        return timers;
    }

    void log(String line) {
        log.accept(line.replace('\n', ' '));
    }

    Exchange find(long id) {
        return exchanges.get(id);
    }

    /**
     * Accepts a request for a pool and takes over the message, which it releases. Returns null if the request was
     * answered at once.
     */
    public Exchange accept(Pool pool, Responder responder, RequestMessage message, RequestAttributes attributes) {
        return accept(pool, responder, message, attributes, lateness.queuedMicros(now()));
    }

    /** As above, for a request that has waited in this process for up to {@code queuedMicros}. */
    public Exchange accept(Pool pool, Responder responder, RequestMessage message, RequestAttributes attributes,
            long queuedMicros) {
        long now = now();
        long usableMicros = attributes.timeLeftMicros() - RESPONSE_MARGIN_MICROS;
        if (requestListener != null) {
            requestListener.requestReceived(message, attributes);
        }
        if (openRequests >= Math.min(maxOpenRequests, pool.settings().limits().maxOpen())
                || retentionMicros(pool, attributes) > 0 && !ids.hasRoom(now)) {
            refuseUnaccepted(pool, responder, message, attributes);
            return null;
        }
        if (usableMicros <= 0) {
            // its time ran out while it waited here, and a retry is harmless
            if (queuedMicros > RESPONSE_MARGIN_MICROS) {
                refuseUnaccepted(pool, responder, message, attributes);
            } else {
                reportEndAndRelease(message, RequestListener.Result.LATE, null);
                serviceCount.countFailed(attributes.className());
                responder.sendFailure(true);
            }
            return null;
        }
        logLateness();
        Exchange exchange = new Exchange(nextId++, pool, responder, message, attributes);
        openRequests++;
        if (attributes.id() != null) {
            ids.begin(attributes.id());
        }
        pool.exchangeBegan();
        exchanges.put(exchange.id, exchange);
        exchange.crossing = pool.newCrossing(attributes);
        exchange.hostDeadlineMicros = now + usableMicros;
        exchange.deadlineTimer = timers.after(usableMicros + FORCED_FAILURE_DELAY_MICROS, () -> timeOut(exchange));
        submitEvent(exchange, eventTime -> {
            if (exchange.ended) {
                return;  // deferred, and its client left meanwhile: the module isn't asked
            }
            // no host may be sent to: a retry, perhaps through another gateway, is harmless
            if (!pool.isHostListValid()) {
                refuse(exchange, retryAfterMicros(pool), Why.LIST);
                return;
            }
            pool.reportLateness(eventTime);
            // less what it spent while deferred
            long remainingMicros = Math.max(0, exchange.hostDeadlineMicros - eventTime);
            pool.module().request(eventTime, new Balancer.Request(exchange.id, attributes.className(),
                    attributes.tenant(), attributes.key(), remainingMicros, attributes.estimatedWorkMicros(),
                    attributes.repeated(), attributes.write(), exchange.crossing == null ? null
                    : exchange.crossing.asCrossing()));
        });
        return exchange.ended ? null : exchange;
    }

    /**
     * Whether a request with this id must not be accepted now: another one is open, or may have had an effect a while ago.
     * Answers of two open ones could be confused, and a copy of one that has run would run again.
     */
    public boolean isIdInUse(String id) {
        return ids.isInUse(now(), id);
    }

    /**
     * For how long the id of a request is kept once it may have had an effect: no copy of it comes later, and hosts drop a
     * repeat of the key meanwhile. 0 for a request without an id, or one that may run any number of times.
     */
    private static long retentionMicros(Pool pool, RequestAttributes attributes) {
        if (attributes.id() == null || !attributes.write()) {
            return 0;
        }
        for (Balancer.RequestClass requestClass : pool.settings().classes()) {
            if (requestClass.name().equals(attributes.className())) {
                return ID_RETENTION_FACTOR * (requestClass.deadline() + requestClass.dedupWindow());
            }
        }
        return 0;
    }

    /** Refuses a request for which its front has no room, and takes over the message, which it releases. */
    public void refuse(Pool pool, Responder responder, RequestMessage message, RequestAttributes attributes) {
        if (requestListener != null) {
            requestListener.requestReceived(message, attributes);
        }
        refuseUnaccepted(pool, responder, message, attributes);
    }

    private void refuseUnaccepted(Pool pool, Responder responder, RequestMessage message,
            RequestAttributes attributes) {
        reportEndAndRelease(message, RequestListener.Result.REFUSED, Why.GATEWAY);
        serviceCount.countRefused(attributes.className(), Why.GATEWAY);
        responder.sendRefusal(retryAfterMicros(pool));
    }

    private static long retryAfterMicros(Pool pool) {
        Balancer.Limits limits = pool.settings().limits();
        return limits.retryAfter() ? limits.maxRetryAfter() : 0;
    }

    private void reportEndAndRelease(RequestMessage message, RequestListener.Result result, Why reason) {
        if (requestListener != null) {
            requestListener.requestEnded(message, result, reason);
        }
        message.release();
    }

    /** Reports the end of an attempt, which may end its request next. */
    void attemptEnded(Exchange exchange, String uid, Outcome outcome) {
        if (requestListener != null && !exchange.ended) {
            requestListener.attemptEnded(exchange.message, uid, outcome);
        }
    }

    private void logLateness() {
        if (lateness.standingQueueMicros() >= MIN_LOGGED_LATENESS_MICROS
                && now() - latenessLoggedAt >= LATENESS_LOG_INTERVAL_MICROS) {
            latenessLoggedAt = now();
            log("the gateway itself is late: whatever comes waits " + lateness.standingQueueMicros() / 1000
                    + " ms at least");
        }
    }

    // ---- events: handled one after the other, never nested, and not on input that may be out of date

    void submitEvent(Exchange exchange, LongConsumer event) {
        pendingEvents.add(() -> {
            try {
                event.accept(now());
            } catch (RuntimeException | Error exception) {  // an OutOfMemoryError may concern one request alone
                log("fault in an event handler: " + exception
                + Arrays.stream(exception.getStackTrace()).limit(1).toList());
                if (exchange != null && !exchange.ended) {
                    fail(exchange, false);
                    notifyModuleOfDeparture(exchange);
                }
            }
        });
        if (handlingEvent || eventsDeferred) {
            return;
        }
        if (lateness.queuedMicros(now()) > DEFER_EVENTS_AFTER_MICROS) {
            eventsDeferred = true;
            timers.after(1, () -> {  // timers run once all that has arrived has been read
                eventsDeferred = false;
                runPendingEvents();
            });
        } else {
            runPendingEvents();
        }
    }

    private void runPendingEvents() {
        handlingEvent = true;
        try {
            while (!pendingEvents.isEmpty()) {
                readNotifications();
                pendingEvents.poll().run();
            }
        } finally {
            handlingEvent = false;  // otherwise no event would ever be handled again
        }
    }

    /**
     * Reads notifications that may have been pending for too long. The events that they cause are handled ahead of
     * those already queued.
     */
    void readNotifications() {
        long now = now();
        if (lateness.maxQueuedMicros(now) <= CHECK_INPUT_AFTER_MICROS
                || now - notificationsReadAt <= CHECK_INPUT_AFTER_MICROS) {
            return;
        }
        boolean wasHandlingEvent = handlingEvent;
        int alreadyPending = pendingEvents.size();
        handlingEvent = true;
        try {
            if (notificationReader.getAsBoolean()) {
                notificationsReadAt = now;
            }
        } finally {
            handlingEvent = wasHandlingEvent;
        }
        for (int i = 0; i < alreadyPending; i++) {
            pendingEvents.add(pendingEvents.poll());
        }
        if (!wasHandlingEvent && !eventsDeferred) {
            runPendingEvents();
        }
    }

    // ---- ends of requests

    void serve(Exchange exchange, ResponseMessage response) {
        finish(exchange, RequestListener.Result.SERVED, null);
        serviceCount.countServed(exchange.attributes.className());
        exchange.responder.sendResponse(response);
    }

    void refuse(Exchange exchange, long retryAfterMicros, Why reason) {
        finish(exchange, RequestListener.Result.REFUSED, reason);
        serviceCount.countRefused(exchange.attributes.className(), reason);
        if (exchange.crossing != null) {
            exchange.crossing.recordRefusal(now(), reason);
        }
        exchange.responder.sendRefusal(retryAfterMicros, exchange.mayHaveRun || exchange.attemptsInFlight > 0);
    }

    void fail(Exchange exchange, boolean timedOut) {
        finish(exchange, timedOut ? RequestListener.Result.LATE : RequestListener.Result.FAILED, null);
        serviceCount.countFailed(exchange.attributes.className());
        exchange.responder.sendFailure(timedOut, exchange.mayHaveRun || exchange.attemptsInFlight > 0);
    }

    void clientDisconnected(Exchange exchange) {
        if (!exchange.ended) {
            finish(exchange, RequestListener.Result.LEFT, null);
            notifyModuleOfDeparture(exchange);
        }
    }

    /**
     * Fails a request that the module has not answered in time. Its answer may depend on events that were deferred:
     * timers run once all that has arrived has been read, so those events are handled first.
     */
    void timeOut(Exchange exchange) {
        if (eventsDeferred && !handlingEvent) {
            runPendingEvents();
        }
        if (!exchange.ended) {
            fail(exchange, true);
            notifyModuleOfDeparture(exchange);
        }
    }

    private void notifyModuleOfDeparture(Exchange exchange) {
        submitEvent(null, now -> {
            exchange.pool.reportLateness(now);
            exchange.pool.module().departed(now, exchange.id);
        });
    }

    private void finish(Exchange exchange, RequestListener.Result result, Why reason) {
        exchange.ended = true;
        exchange.deadlineTimer.cancel();
        reportEndAndRelease(exchange.message, result, reason);
        openRequests--;
        forgetIfDone(exchange);
    }

    /** Removes the request once it has ended and none of its attempts is in flight. */
    void forgetIfDone(Exchange exchange) {
        if (exchange.ended && exchange.attemptsInFlight == 0 && exchanges.remove(exchange.id) != null) {
            exchange.pool.exchangeEnded();
            if (exchange.attributes.id() != null) {
                ids.end(now(), exchange.attributes.id(), exchange.mayHaveRun ? retentionMicros(exchange.pool, exchange.attributes) : 0);
            }
        }
    }
}
