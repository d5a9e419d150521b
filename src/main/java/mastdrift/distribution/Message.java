package mastdrift.distribution;

import java.util.List;

/**
 * What a subscriber (a gateway, or a control machine that passes on) and a publisher (a control machine) say to each other. In the style of xDS's incremental protocol: a
 * subscriber says which revision it has, gets deltas or a snapshot, and answers each with an ACK or a NACK.
 */
public sealed interface Message {

    /** By a subscriber, first on each connection and again where it is told nothing: what it has. {@code zone} is its own. */
    record Subscribe(Revision have, String zone) implements Message { }

    /** By a subscriber that was told {@link SnapshotNeeded}: digests of the shards that it has, one for each of the table's; it gets the shards that differ.
        {@code credit} is how many chunks it takes now. */
    record Fetch(long[] digests, int credit) implements Message { }

    /** By a subscriber: so many chunks more. */
    record Credit(int chunks) implements Message { }

    /** By a subscriber: this revision is in force there, or passed on. */
    record Ack(Revision inForce) implements Message { }

    /** By a subscriber: it has the revision and can't put it in force; the one before stays. */
    record Nack(Revision refused, Revision inForce, String reason) implements Message { }

    /** By a subscriber that passes on, now and then: what its own subscribers have in force. */
    record Summary(List<ZoneSummary> zones) implements Message { }

    /** By a publisher: what changed, in its order, each delta from where the one before ends. */
    record Deltas(List<Delta> deltas) implements Message { }

    /** By a publisher, where there was nothing to tell for a while: it is there, and this is what it has. */
    record Heartbeat(Revision revision) implements Message { }

    /** By a publisher: it can't go on from what the subscriber has, for this reason; {@link Fetch} what differs from this revision. */
    record SnapshotNeeded(Revision revision, String reason) implements Message { }

    /** By a publisher: shards of a snapshot of one revision, whole ones and in ascending order; {@code last} with the last of them. */
    record SnapshotChunk(Revision revision, List<Shard> shards, boolean last) implements Message { }

    /** By a publisher: it serves as many snapshots as it can; come again after so many milliseconds. */
    record RetryAfter(int millis) implements Message { }

    /** All resources of one shard of a table. */
    record Shard(int number, List<Resource> resources) { }

    /**
     * How a zone's subscribers do.
     *
     * @param zone of them
     * @param subscribers that are connected
     * @param lowest revision in force among them; null where there are none
     * @param refused how many refuse the latest revision that they were told of
     * @param lagging names of those that are furthest behind, at most {@link #LAGGING_MOST}
     */
    record ZoneSummary(String zone, int subscribers, Revision lowest, int refused, List<String> lagging) {

        /** Names, at most. */
        public static final int LAGGING_MOST = 8;
    }
}
