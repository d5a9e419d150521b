package mastdrift.lateness;

/**
 * Measures the lateness of an event loop by its turns: it waits for events, handles those that are ready, then waits
 * again. What arrives while it handles events is seen only when the next wait ends, and that time is the gateway's own,
 * not the sender's.
 *
 * <p>An event that is ready when a wait ends had not arrived when the previous wait ended, or it would have been
 * handled then. If the loop really blocked in this wait, it had not arrived when the wait began either. That gives a
 * lower bound of the arrival time for all events of a turn at once, for two clock readings a turn. If the operating
 * system reports for how long the thread was runnable without a core, that part of the wait is the gateway's own time
 * too.
 *
 * <p>All times are in microseconds of one clock that doesn't go backwards. A loop that reports no turns is never late.
 * Not thread-safe.
 */
public final class EventLoopLateness {

    /** A wait of at least this length blocked, whatever else happened meanwhile. */
    public static final long DEFINITE_WAIT_MICROS = 2_000;
    // A shorter wait found events that were ready before it began: the poll itself takes about as long, and longer if
    // the thread is interrupted.
    private static final long MIN_WAIT_MICROS = 100;
    // A wrong decision costs more after a long turn, so the bound grows with the turn: its length divided by this, up
    // to DEFINITE_WAIT_MICROS.
    private static final long TURN_LENGTH_DIVISOR = 8;
    /** The standing queue is the minimum over a whole interval of this length, as in CoDel (RFC 8289, section 3.2). */
    public static final long INTERVAL_MICROS = 100_000;

    private boolean started;
    private long turnNumber;
    private long waitStartedAt;
    private long waitEndedAt;
    private long previousWaitEndedAt;
    private long earliestArrivalAt;
    private long runnableInWaitMicros;
    private long intervalStartedAt;
    private long minQueuedMicros = Long.MAX_VALUE;
    private long standingQueueMicros;

    /** The loop is about to wait. */
    public void waitStarted(long now) {
        if (started) {
            recordTurn(now, now - waitEndedAt + runnableInWaitMicros);
        }
        waitStartedAt = now;
    }

    /**
     * The wait is over, and the events that are ready are about to be handled.
     *
     * @param runnableMicros the part of the wait in which the thread was runnable without a core; 0 if unknown
     */
    public void waitEnded(long now, long runnableMicros) {
        long boundedRunnableMicros = Math.max(0, Math.min(runnableMicros, now - waitStartedAt));
        long minWaitMicros = Math.max(MIN_WAIT_MICROS,
                Math.min(DEFINITE_WAIT_MICROS, (waitStartedAt - waitEndedAt) / TURN_LENGTH_DIVISOR));
        boolean blocked = !started || now - waitStartedAt - boundedRunnableMicros >= minWaitMicros;
        runnableInWaitMicros = blocked ? boundedRunnableMicros : 0;
        earliestArrivalAt = blocked ? now - boundedRunnableMicros : waitEndedAt;
        if (!started) {
            intervalStartedAt = now;
        }
        previousWaitEndedAt = started ? waitEndedAt : now;
        started = true;
        waitEndedAt = now;
        turnNumber++;
    }

    /** The number of the current turn, from 1; 0 if the loop doesn't report its turns. */
    public long turnNumber() {
        return turnNumber;
    }

    /** The events that were ready when the wait ended have been handled; timers and tasks come next. */
    public void readyEventsHandled() {
        earliestArrivalAt = Math.max(earliestArrivalAt, waitEndedAt);
    }

    /** The longest time up to now for which the event being handled can have waited for the loop, in microseconds. */
    public long queuedMicros(long now) {
        return started ? Math.max(0, now - earliestArrivalAt) : 0;
    }

    /**
     * The time since the wait before this turn's wait ended, in microseconds: the event being handled arrived later
     * than that, however the time since was spent. This bound doesn't depend on whether the last wait blocked; {@link
     * #queuedMicros} is tighter.
     */
    public long maxQueuedMicros(long now) {
        return started ? Math.max(0, now - previousWaitEndedAt) : 0;
    }

    /**
     * The time since the last wait ended, in microseconds: by the time that timers run, what arrived before that moment
     * has been read, and what arrived after it has not.
     */
    public long microsSinceWait(long now) {
        return started ? Math.max(0, now - waitEndedAt) : 0;
    }

    /**
     * The longest time for which an event can have waited, in the best turn of the last complete interval of {@link
     * #INTERVAL_MICROS}. A burst or a single pause leaves none; a loop that doesn't keep up does. A turn longer than
     * the interval counts when it ends.
     */
    public long standingQueueMicros() {
        return standingQueueMicros;
    }

    private void recordTurn(long now, long longestQueuedMicros) {
        minQueuedMicros = Math.min(minQueuedMicros, longestQueuedMicros);
        if (now - intervalStartedAt >= INTERVAL_MICROS) {
            standingQueueMicros = minQueuedMicros;
            minQueuedMicros = Long.MAX_VALUE;
            intervalStartedAt = now;
        }
    }
}
