package mastdrift.net;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import mastdrift.limits.ClientConnectionTable;
import mastdrift.limits.ConnectionLimit;
import mastdrift.limits.ConnectionPhase;
import mastdrift.limits.EvictionPurpose;

/**
 * Keeps a front's connections within their limit: closes those that the {@link ClientConnectionTable} names to make room
 * for others, and pauses accepting where nobody can. Used on the event loop's thread only; times are in microseconds.
 *
 * @param <C> type of a connection
 */
final class ConnectionAdmission<C extends ConnectionAdmission.Evictable> {

    /** A connection that may be closed to make room. */
    interface Evictable {

        /** Closes the connection, which is owed no response, unless its unread input changes that; returns whether. */
        boolean closeUnlessInputArrived();
    }

    // Connections examined before the search for one to evict is given up.
    private static final int MAX_EVICTION_CANDIDATES = 4;
    private static final long LOG_INTERVAL_MICROS = 10_000_000;

    private final ClientConnectionTable<C> connections;
    private final ConnectionLimit limit;
    private final Acceptor acceptor;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private long loggedAtMicros = -LOG_INTERVAL_MICROS;

    ConnectionAdmission(ClientConnectionTable<C> connections, ConnectionLimit limit, Acceptor acceptor, LongSupplier clock,
            Consumer<String> log) {
        this.connections = connections;
        this.limit = limit;
        this.acceptor = acceptor;
        this.clock = clock;
        this.log = log;
    }

    /**
     * Handles a connection that was just accepted and added. Above the limit others are evicted. Returns false if none
     * can be: a request on the new one is refused unless there is room by then. Accepting pauses only when the reserve
     * for that is used up too: requests in the listen backlog have been taken, and nobody would answer them.
     */
    boolean admit(ClientConnectionTable.Entry<C> newcomer) {
        if (makeRoom(EvictionPurpose.CONNECTION)) {
            return true;
        }
        if (limit.isReserveUsedUp(connections.size()) && !evict(EvictionPurpose.LAST_RESORT, newcomer)) {
            acceptor.pause();
        }
        logLimitReached();
        return false;
    }

    /**
     * Whether a request may be served that was received on a connection beyond the limit. Connections that have just
     * been opened don't count: most of a crowd never send a request.
     */
    boolean hasRoomForRequest() {
        return !limit.isExceeded(connections.size() - connections.size(ConnectionPhase.NEW))
                || makeRoom(EvictionPurpose.REQUEST);
    }

    /** Closes connections beyond the limit, as far as their phases now allow it. */
    void closeExcess() {
        makeRoom(EvictionPurpose.CONNECTION);
    }

    /** Closes any connection that can be, since another can't be accepted for lack of a resource. */
    void closeOne() {
        evict(EvictionPurpose.LAST_RESORT, null);
    }

    /** A connection waits for input again: while accepting is paused, one is closed, or it might not resume. */
    void connectionIdle() {
        if (acceptor.isPaused() && !makeRoom(EvictionPurpose.REQUEST)) {
            evict(EvictionPurpose.LAST_RESORT, null);
        }
    }

    /** A connection was closed, so that another may be accepted. */
    void connectionClosed() {
        if (!limit.isReserveUsedUp(connections.size())) {
            acceptor.resume();
        }
    }

    /** Evicts connections until the limit is kept; returns whether it is. */
    private boolean makeRoom(EvictionPurpose purpose) {
        while (limit.isExceeded(connections.size())) {
            if (!evict(purpose, null)) {
                return false;
            }
        }
        return true;
    }

    /** Closes a connection other than {@code newcomer}; returns false if none could be closed. */
    private boolean evict(EvictionPurpose purpose, ClientConnectionTable.Entry<C> newcomer) {
        for (int i = 0; i < MAX_EVICTION_CANDIDATES; i++) {
            C candidate = connections.evictionCandidate(purpose, newcomer);
            if (candidate == null) {
                return false;
            }
            if (candidate.closeUnlessInputArrived()) {
                return true;
            }
        }
        return false;
    }

    private void logLimitReached() {
        if (clock.getAsLong() - loggedAtMicros >= LOG_INTERVAL_MICROS) {
            loggedAtMicros = clock.getAsLong();
            log.accept("connections of clients are at their limit: " + connections.phaseCounts()
                    + (acceptor.isPaused() ? "; accepting is paused" : "; requests of new ones are refused"));
        }
    }
}
