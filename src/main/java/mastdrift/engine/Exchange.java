package mastdrift.engine;

import java.util.ArrayList;
import java.util.List;
import mastdrift.zones.PoolCrossings;

/** A request that was taken, until it has ended and all its attempts have. It lives in one pool. */
public final class Exchange {

    final long id;
    final Pool pool;
    final Client client;
    final Call call;
    final String className;
    final List<Transport.Attempt> attempts = new ArrayList<>(2);
    PoolCrossings.RequestCrossing pass;  // null where nobody counts what crosses zones
    Timers.Timer backstop;
    long endsAt;  // for hosts: an answer from there later than that would not reach its client in time
    int out;
    boolean late;
    boolean ended;

    Exchange(long id, Pool pool, Client client, Call call, String className) {
        this.id = id;
        this.pool = pool;
        this.client = client;
        this.call = call;
        this.className = className;
    }

    /** Its time is up, whatever is left of it: it fails now. */
    public void overdue() {
        pool.ledger().overdue(this);
    }

    /** The client went away: nothing more is owed. */
    public void departed() {
        pool.ledger().departed(this);
    }
}
