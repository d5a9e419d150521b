package mastdrift.distribution;

/**
 * Timing and limits of a {@link Publisher}; times in microseconds. Throws IllegalArgumentException for values that are
 * not positive.
 * @param coalesceMicros minimum time between two rounds of sending deltas; changes within it are sent together
 * @param heartbeatIntervalMicros time without a message after which a subscriber is sent a heartbeat
 * @param maxConcurrentSnapshots maximum number of snapshots served at the same time
 * @param maxSubscribers maximum number of subscribers
 * @param maxUnackedBytes a subscriber with this many unacknowledged bytes is sent no more deltas until it acknowledges
 * @param ackTimeoutMicros a subscriber that has acknowledged nothing for this long is dropped
 * @param silenceTimeoutMicros a subscriber that has sent nothing for this long is dropped
 * @param snapshotStallTimeoutMicros a snapshot that received no credit for this long is ended, and its subscriber is
 * dropped
 * @param targetMessageBytes approximate size up to which deltas or shards are packed into one message
 */
public record PublisherSettings(long coalesceMicros, long heartbeatIntervalMicros, int maxConcurrentSnapshots, int maxSubscribers, int maxUnackedBytes, long ackTimeoutMicros, long silenceTimeoutMicros, long snapshotStallTimeoutMicros, int targetMessageBytes) {

    /** Default maximum number of snapshots served at the same time. */
    public static final int MAX_CONCURRENT_SNAPSHOTS = 8;
    /** Default maximum number of subscribers of a machine. */
    public static final int MAX_SUBSCRIBERS = 4_096;
    /** Defaults, sized for the target load: 342 gateways a machine, 1.7 changes a second. */
    public static final PublisherSettings DEFAULTS = new PublisherSettings(200_000, 2_000_000, MAX_CONCURRENT_SNAPSHOTS, MAX_SUBSCRIBERS, 1 << 20, 20_000_000, 30_000_000, 10_000_000, 64 << 10);

    /** Validates the settings. */
    public PublisherSettings {
        if (coalesceMicros <= 0 || heartbeatIntervalMicros <= 0 || maxConcurrentSnapshots <= 0 || maxSubscribers <= 0 || maxUnackedBytes <= 0 || ackTimeoutMicros <= 0 || silenceTimeoutMicros <= 0 || snapshotStallTimeoutMicros <= 0 || targetMessageBytes <= 0) {
            throw new IllegalArgumentException("expected settings above 0, found " + coalesceMicros + " " + heartbeatIntervalMicros + " " + maxConcurrentSnapshots + " " + maxSubscribers + " " + maxUnackedBytes + " " + ackTimeoutMicros + " "
                    + silenceTimeoutMicros + " " + snapshotStallTimeoutMicros + " " + targetMessageBytes);
        }
    }
}
