package mastdrift.engine;

import java.util.ArrayList;
import java.util.List;
import mastdrift.zones.PoolCrossings;

/** A request from its acceptance until it and all its attempts have ended. It belongs to one pool. */
public final class Exchange {

    final long id;
    final Pool pool;
    final Responder responder;
    final RequestMessage message;
    final RequestAttributes attributes;
    final List<Transport.Attempt> attempts = new ArrayList<>(2);
    PoolCrossings.RequestCrossing crossing;  // null if zone crossings aren't counted
    Timers.Timer deadlineTimer;
    long hostDeadlineMicros;  // a host's response after that would reach the client too late
    int attemptsInFlight;
    boolean lastAttemptExpired;
    boolean mayHaveRun;  // an attempt may have had an effect
    boolean ended;

    Exchange(long id, Pool pool, Responder responder, RequestMessage message, RequestAttributes attributes) {
        this.id = id;
        this.pool = pool;
        this.responder = responder;
        this.message = message;
        this.attributes = attributes;
    }

    /** Fails the request because its time is up, even if the module would still answer it. */
    public void timeOut() {
        pool.requestTracker().timeOut(this);
    }

    /** Ends the request because its client disconnected: no answer is owed any more. */
    public void clientDisconnected() {
        pool.requestTracker().clientDisconnected(this);
    }
}
