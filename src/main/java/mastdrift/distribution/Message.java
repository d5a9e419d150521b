package mastdrift.distribution;

import java.util.List;

/**
 * Messages between a subscriber (a gateway, or a control machine that is a relay) and a publisher (a control machine).
 * Modelled on the incremental (delta) xDS protocol: a subscriber states which revision it has, receives deltas or a
 * snapshot, and answers each with an ACK or a NACK.
 */
public sealed interface Message {

    /**
     * Subscriber: first message on each connection, repeated if nothing is received; states the revision that it has.
     * {@code zone} is the subscriber's zone.
     */
    record Subscribe(Revision revision, String zone) implements Message { }

    /**
     * Subscriber, in answer to {@link SnapshotNeeded}: digests of the shards that it has, one for each shard of the
     * table; the publisher sends the shards that differ. {@code credit} is the number of chunks that may be sent before
     * further {@link Credit}.
     */
    record Fetch(long[] digests, int credit) implements Message { }

    /** Subscriber: flow control, permits the publisher to send this many more chunks. */
    record Credit(int chunks) implements Message { }

    /** Subscriber: this revision is active there, or was relayed. */
    record Ack(Revision activeRevision) implements Message { }

    /** Subscriber: it received a revision but cannot activate it; the previous one stays active. */
    record Nack(Revision rejectedRevision, Revision activeRevision, String reason) implements Message { }

    /** Subscriber that is a relay, periodically: which revisions its own subscribers have active. */
    record Summary(List<ZoneSummary> zones) implements Message { }

    /** Publisher: changes in order, each delta starting where the previous one ends. */
    record Deltas(List<Delta> deltas) implements Message { }

    /** Publisher, after a time without other messages: signals that it is alive, with the revision that it has. */
    record Heartbeat(Revision revision) implements Message { }

    /**
     * Publisher: it cannot send deltas from the subscriber's revision, for this reason; the subscriber has to {@link
     * Fetch} the shards that differ from {@code revision}.
     */
    record SnapshotNeeded(Revision revision, String reason) implements Message { }

    /**
     * Publisher: complete shards of a snapshot of one revision, in ascending order; {@code last} marks the final chunk.
     */
    record SnapshotChunk(Revision revision, List<Shard> shards, boolean last) implements Message { }

    /** Publisher: the maximum number of snapshots is being served; retry after this delay. */
    record RetryAfter(int millis) implements Message { }

    /** All resources of one shard of a table. */
    record Shard(int number, List<Resource> resources) { }

    /**
     * Status of the subscribers of a zone.
     * @param zone name of the zone
     * @param subscribers number of connected subscribers
     * @param lowest lowest active revision among them; null if there are none
     * @param rejecting number of subscribers that reject the latest revision they received
     * @param lagging names of the subscribers that are furthest behind, at most {@link #MAX_LAGGING_NAMES}
     */
    record ZoneSummary(String zone, int subscribers, Revision lowest, int rejecting, List<String> lagging) {

        /** Maximum number of names in {@code lagging}. */
        public static final int MAX_LAGGING_NAMES = 8;
    }
}
