package mastdrift.distribution;

/**
 * How a {@link Publisher} tells and for how long it waits; times in microseconds. Throws IllegalArgumentException for what isn't positive.
 *
 * @param coalesce changes within so long go out together
 * @param heartbeat a subscriber that was told nothing for so long is told that the machine is there
 * @param snapshots that are served at once
 * @param subscribers at most
 * @param unackedBytes a subscriber that has so many bytes unanswered is told no more until it answers
 * @param unacked a subscriber that has answered none of what it was told for so long is dropped
 * @param silent a subscriber that has said nothing for so long is dropped
 * @param stalled a snapshot for which no credit came for so long ends, and its subscriber is dropped
 * @param messageBytes of deltas or shards go into one message, about
 */
public record PublisherSettings(long coalesce, long heartbeat, int snapshots, int subscribers, int unackedBytes, long unacked, long silent, long stalled, int messageBytes) {

    /** Snapshots that are served at once. */
    public static final int SNAPSHOTS_MOST = 8;
    /** Subscribers of a machine, at most. */
    public static final int SUBSCRIBERS_MOST = 4_096;
    /** For the target: 342 gateways a machine, 1.7 changes a second. */
    public static final PublisherSettings USUAL = new PublisherSettings(200_000, 2_000_000, SNAPSHOTS_MOST, SUBSCRIBERS_MOST, 1 << 20, 20_000_000, 30_000_000, 10_000_000, 64 << 10);

    /** Checks them. */
    public PublisherSettings {
        if (coalesce <= 0 || heartbeat <= 0 || snapshots <= 0 || subscribers <= 0 || unackedBytes <= 0 || unacked <= 0 || silent <= 0 || stalled <= 0 || messageBytes <= 0) {
            throw new IllegalArgumentException("expected settings above 0, found " + coalesce + " " + heartbeat + " " + snapshots + " " + subscribers + " " + unackedBytes + " " + unacked + " "
                    + silent + " " + stalled + " " + messageBytes);
        }
    }
}
