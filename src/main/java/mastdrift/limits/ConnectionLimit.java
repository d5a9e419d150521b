package mastdrift.limits;

/**
 * The limit on a front's client connections. A few more than the limit are accepted, so that a request that arrives
 * while nobody can make room is refused rather than left waiting in the listen backlog, where its time runs.
 */
public final class ConnectionLimit {

    /** Connections beyond the limit, whose requests are refused. */
    public static final int REFUSAL_RESERVE = 16;

    private final int maxConnections;

    /** A limit of {@code maxConnections} connections whose requests are served. */
    public ConnectionLimit(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    /** Whether there are more connections than are served, so that one should be closed. */
    public boolean isExceeded(int connections) {
        return connections > maxConnections;
    }

    /** Whether the reserve is used up too, so that no more connections may be accepted. */
    public boolean isReserveUsedUp(int connections) {
        return connections >= maxConnections + REFUSAL_RESERVE;
    }
}
