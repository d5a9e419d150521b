package mastdrift.limits;

/**
 * Decides how long idle connections to hosts are kept. A kept connection saves a handshake, but takes up one of the
 * host's limited connection slots: if many gateways each keep a connection to every host, hosts refuse new connections,
 * and their requests then need a new connection at the next host.
 *
 * <p>The number of slots isn't known, but a host that refuses the first request of a connection signals that it is
 * full: of connections, unless it refuses as large a fraction on established connections, in which case its request
 * queue is full. So the retention time falls with the excess of the fraction refused on new connections over that on
 * established ones: from the maximum at no excess to {@value #MIN_RETENTION_MICROS} microseconds at a fifth and more,
 * geometrically in between. All gateways see the same refusals and so release connections alike.
 */
public final class IdleRetention {

    // Excess fraction of new connections refused from which on the retention time is shortest.
    private static final double FULL_HOST_REFUSED_FRACTION = 0.2;
    // Time constant with which the counts decay.
    private static final double DECAY_TIME_MICROS = 3e6;
    // Assumed number of accepted requests, so that a few refusals aren't taken for a full host.
    private static final double PRIOR_ACCEPTED_REQUESTS = 4;
    /** A connection that is used several times a second is always kept. */
    static final long MIN_RETENTION_MICROS = 200_000;

    private final long maxRetentionMicros;
    private double requestsOnNew;
    private double refusedOnNew;
    private double requestsOnEstablished;
    private double refusedOnEstablished;
    private long decayedAt;

    /**
     * Starts with no request observed.
     *
     * @param maxRetentionMicros the retention time while hosts have room
     */
    public IdleRetention(long maxRetentionMicros) {
        this.maxRetentionMicros = maxRetentionMicros;
    }

    /** Records the end of the first request on a new connection: whether the host refused it unseen. */
    public void recordOnNewConnection(long now, boolean refused) {
        decay(now);
        requestsOnNew++;
        refusedOnNew += refused ? 1 : 0;
    }

    /** Records the end of a request on a connection that had carried one before: whether the host refused it unseen. */
    public void recordOnEstablishedConnection(long now, boolean refused) {
        decay(now);
        requestsOnEstablished++;
        refusedOnEstablished += refused ? 1 : 0;
    }

    /** For how long a connection may be idle now, in microseconds. */
    public long retentionMicros(long now) {
        decay(now);
        double excessFraction = refusedOnNew / (requestsOnNew + PRIOR_ACCEPTED_REQUESTS)
                - refusedOnEstablished / (requestsOnEstablished + PRIOR_ACCEPTED_REQUESTS);
        double fullness = Math.max(0, Math.min(1, excessFraction / FULL_HOST_REFUSED_FRACTION));
        return maxRetentionMicros <= MIN_RETENTION_MICROS ? maxRetentionMicros
                : (long) (maxRetentionMicros * Math.pow(MIN_RETENTION_MICROS / (double) maxRetentionMicros, fullness));
    }

    private void decay(long now) {
        double factor = Math.exp(Math.min(0, decayedAt - now) / DECAY_TIME_MICROS);
        requestsOnNew *= factor;
        refusedOnNew *= factor;
        requestsOnEstablished *= factor;
        refusedOnEstablished *= factor;
        decayedAt = now;
    }
}
