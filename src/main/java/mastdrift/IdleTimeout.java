package mastdrift;

/**
 * Learns from losses for how long a connection may have been idle and still be used. Idle connections can be lost
 * unnoticed (by a shorter idle limit of a firewall or of the host): what is sent on one is reset or never answered.
 * Losses are counted by the connection's idle time, in buckets of powers of two. Where the losses had another cause, a
 * limit costs needless handshakes, so it expires after a while. Times are in microseconds.
 */
final class IdleTimeout {

    /** One bucket for each power of two that an idle time can have. */
    private static final int IDLE_BUCKETS = Long.SIZE;
    /** Weight that a bucket's earlier observations keep with each new one. */
    private static final double DECAY_FACTOR = 0.9;
    /** Fraction of a bucket's connections that must be lost for its idle time to be too long. */
    private static final double MIN_LOSS_FRACTION = 0.5;
    /** Multiple of the loss fraction of busy connections that a bucket's must reach. */
    private static final double BUSY_LOSS_MULTIPLE = 2;
    /** Decayed number of losses that a limit takes: about two. */
    private static final double MIN_LOSSES = 1.5;
    /** How long a limit holds. */
    private static final long LIMIT_TTL_MICROS = 60_000_000;

    private final double[] lossCounts = new double[IDLE_BUCKETS];
    private final double[] attemptCounts = new double[IDLE_BUCKETS];
    private long limitMicros = Long.MAX_VALUE;
    private long limitExpiresAt;

    /** Whether connections that have been idle for this long have to be closed before a send. */
    boolean isTooLong(long idleMicros) {
        return idleMicros >= limitMicros;
    }

    /** Records an attempt on a connection that had been idle for this long, 0 for a busy or a new one. */
    void recordAttempt(long now, long idleMicros, boolean wasLost) {
        int bucket = idleMicros <= 0 ? 0 : Long.SIZE - 1 - Long.numberOfLeadingZeros(idleMicros);
        lossCounts[bucket] = (wasLost ? 1 : 0) + lossCounts[bucket] * DECAY_FACTOR;
        attemptCounts[bucket] = 1 + attemptCounts[bucket] * DECAY_FACTOR;
        if (wasLost) {
            lowerLimit(now);
        }
    }

    /**
     * From the longest idle time down, sets the limit to each bucket that lost at least half of its connections and far
     * more than busy connections (bucket 0) did.
     */
    private void lowerLimit(long now) {
        double minLossFraction = Math.max(MIN_LOSS_FRACTION,
                BUSY_LOSS_MULTIPLE * lossCounts[0] / Math.max(1, attemptCounts[0]));
        double lossesFromBucket = 0;
        for (int bucket = IDLE_BUCKETS - 1; bucket > 0; bucket--) {
            lossesFromBucket += lossCounts[bucket];
            boolean tooLong = lossCounts[bucket] > MIN_LOSS_FRACTION
                    && lossCounts[bucket] >= minLossFraction * attemptCounts[bucket] && lossesFromBucket > MIN_LOSSES;
            if (tooLong && 1L << bucket < limitMicros) {
                limitMicros = 1L << bucket;
                limitExpiresAt = now + LIMIT_TTL_MICROS;
            }
        }
    }

    /** Drops a limit that has expired. */
    void expireLimit(long now) {
        if (now > limitExpiresAt) {
            limitMicros = Long.MAX_VALUE;
        }
    }
}
