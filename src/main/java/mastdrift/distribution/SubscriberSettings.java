package mastdrift.distribution;

/**
 * Timing and limits of a {@link Subscriber}; times in microseconds. Throws IllegalArgumentException for values that are
 * not positive.
 * @param silenceTimeoutMicros time without a message, or with only earlier revisions than the local one, after which
 * the subscriber fails over to the next machine
 * @param resubscribeMicros time without a message after which the subscriber sends Subscribe again to the same machine
 * @param ackDelayMicros maximum delay of an acknowledgement, so that several revisions are acknowledged together
 * @param ackIntervalMicros interval at which the acknowledgement is repeated, in case it was lost, and as a keep-alive
 * @param reconnectSpreadMicros upper bound of the random delay before the next machine is contacted after a connection
 * ended; doubled with each further failure, up to four times
 * @param fetchStallTimeoutMicros time without a chunk after which a snapshot is requested again
 * @param creditChunks maximum number of snapshot chunks in flight
 * @param failbackMicros minimum time on another machine before the preferred one is tried again; random up to twice
 * that
 */
public record SubscriberSettings(long silenceTimeoutMicros, long resubscribeMicros, long ackDelayMicros, long ackIntervalMicros, long reconnectSpreadMicros, long fetchStallTimeoutMicros, int creditChunks, long failbackMicros) {

    /**
     * Defaults for the target load: a change is active everywhere within 12 s, even if a machine falls silent first.
     */
    public static final SubscriberSettings DEFAULTS = new SubscriberSettings(6_000_000, 3_000_000, 500_000, 8_000_000, 500_000, 3_000_000, 8, 300_000_000);

    /** Validates the settings. */
    public SubscriberSettings {
        if (silenceTimeoutMicros <= 0 || resubscribeMicros <= 0 || ackDelayMicros <= 0 || ackIntervalMicros <= 0 || reconnectSpreadMicros <= 0 || fetchStallTimeoutMicros <= 0 || creditChunks <= 0 || failbackMicros <= 0) {
            throw new IllegalArgumentException("expected settings above 0, found " + silenceTimeoutMicros + " " + resubscribeMicros + " " + ackDelayMicros + " " + ackIntervalMicros + " " + reconnectSpreadMicros + " " + fetchStallTimeoutMicros + " " + creditChunks + " " + failbackMicros);
        }
    }
}
