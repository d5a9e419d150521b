package mastdrift.distribution;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.distribution.Message.Shard;
import mastdrift.distribution.Message.ZoneSummary;

/**
 * The publishing side of a control machine: sends changes to its subscribers, modelled on the incremental (delta) xDS
 * protocol. A subscriber states which revision it has and gets the deltas after it or, if those are no longer kept, the
 * shards of a snapshot that differ.
 * <p>A change costs its deltas once and one message for each subscriber; the same message object is sent to all
 * subscribers at the same revision, so that it is encoded once. A subscriber takes some hundred bytes of memory here,
 * whatever it does: deltas not sent to it yet are in the {@link History} that all share. A subscriber that does not
 * acknowledge is sent no more beyond a bound of bytes, and dropped after a timeout.
 * <p>A machine that lost contact with the source of its table is told so ({@link #setSourceUnreachable}): it continues
 * to serve what it has but sends no heartbeats, so that subscribers look for a machine that is current. No I/O, no
 * threads, no clock; not thread-safe. Times are microseconds of one monotonic clock.
 */
public final class Publisher {

    /**
     * Prefix of the reason of {@link Message.SnapshotNeeded} if the states are forked, and not only the deltas evicted.
     */
    static final String FORKED_REASON_PREFIX = "forked: ";
    private static final long TICK_INTERVAL_MICROS = 250_000;
    private static final long MAX_TICK_DELAY_MICROS = 1_000_000;
    private static final int MAX_CREDIT_CHUNKS = 64;
    private static final int MAX_SHARED_MESSAGES = 64;
    private static final int MAX_NACK_EVENTS = 8;  // further NACKs of the same revision are not reported as events
    private static final int MAX_REASON_CHARS = 200;
    private static final int MAX_ZONE_CHARS = 64;
    private static final long MIN_RETRY_AFTER_MICROS = 500_000;
    private static final long MAX_RETRY_AFTER_MICROS = 30_000_000;
    // a subscriber that does not return within this time after its retry delay is no longer counted as waiting
    private static final long RETRY_RECORD_TTL_MICROS = 10_000_000;

    /**
     * Callbacks to the caller. They are called while an event is being handled: their consequences must be delivered as
     * separate events.
     */
    public interface Actions {

        /**
         * Sends a message to a subscriber, without guarantee of delivery. The same object is sent to many subscribers.
         */
        void send(String to, Message message);

        /** Closes the connection of a subscriber, which has been removed here. */
        void drop(String subscriber, String reason);

        /** Reports an event to operators. */
        void event(String name, String text);
    }

    /**
     * Status of the publisher.
     * @param revision revision that it publishes
     * @param subscribers number of subscribers
     * @param snapshots number of snapshots being served
     * @param waiting number of subscribers that were told to retry for a snapshot
     * @param deltas number of deltas kept
     * @param deltaBytes approximate size of those
     * @param dropped number of subscribers dropped since the start
     * @param sourceUnreachable whether it lost contact with the source of its table
     */
    public record Status(Revision revision, int subscribers, int snapshots, int waiting, int deltas, long deltaBytes, long dropped, boolean sourceUnreachable) { }

    /** What a subscriber is sent next: deltas, nothing until it fetches a snapshot, or chunks of a snapshot. */
    private enum Stage { STREAMING, SNAPSHOT_NEEDED, FETCHING }

    /** State kept for a connected subscriber. */
    private static final class Subscription {
        private final String name;
        private String zone = "";
        private Stage stage = Stage.STREAMING;
        private Revision sentRevision;  // revision of the subscriber once it has received all that was sent
        private long ackedNumber;  // revision number up to which it has acknowledged
        private long unackedSince;  // 0 if nothing is unacknowledged
        private Revision activeRevision;  // null if not known
        private Revision rejectedRevision;
        private long lastReceivedAt;
        private long lastSentAt;
        private Table snapshot;
        private BitSet remainingShards;
        private int credit;
        private long snapshotStartedAt;
        private long snapshotProgressAt;
        private List<ZoneSummary> relayedZones;  // zone summaries of a relay's own subscribers

        Subscription(String name) {
            this.name = name;
        }
    }

    private final PublisherSettings settings;
    private final Actions actions;
    private final Map<String, Subscription> subscribers = new LinkedHashMap<>();
    // subscribers told to retry for a snapshot, and until when they are counted
    private final Map<String, Long> retryRecordExpiry = new LinkedHashMap<>();
    private final Map<Long, Message.Deltas> sharedMessages = new HashMap<>();  // by the revision number that they start from
    private Table table;
    private History history;
    private Message.Heartbeat heartbeat;
    private boolean sourceUnreachable;
    private boolean hasUnsentChange;
    private long flushAt;
    private long tickAt;
    private int activeSnapshots;
    private long meanSnapshotMicros = 2_000_000;  // moving average
    private long droppedCount;
    private Revision nackEventRevision;
    private int nackEventCount;

    /** Creates a publisher of a table, with an empty history. */
    public Publisher(Table table, PublisherSettings settings, Actions actions) {
        this.table = table;
        this.settings = settings;
        this.actions = actions;
        history = new History(table.revision());
        heartbeat = new Message.Heartbeat(table.revision());
    }

    // ---- published table

    /** The published table. */
    public Table table() {
        return table;
    }

    /**
     * Sets whether the source of the table is unreachable: a voter without contact to a majority, or a relay without
     * contact to any machine.
     */
    public void setSourceUnreachable(long now, boolean sourceUnreachable) {
        this.sourceUnreachable = sourceUnreachable;
        tick(now);
    }

    /**
     * Publishes another table; {@code deltas} lead to it from the previous one, empty if they are not known (a snapshot
     * was taken). Ignored if it is neither later nor forked.
     */
    public void table(long now, Table next, List<Delta> deltas) {
        Revision previous = table.revision();
        if (!next.revision().isAfter(previous) && !next.revision().isForkOf(previous)) {
            return;
        }
        table = next;
        heartbeat = new Message.Heartbeat(next.revision());
        sharedMessages.clear();
        if (formsChain(previous, next.revision(), deltas)) {
            deltas.forEach(history::add);
        } else {
            history = new History(next.revision());
        }
        hasUnsentChange = true;
        tick(now);
    }

    private static boolean formsChain(Revision start, Revision end, List<Delta> deltas) {
        Revision current = start;
        for (Delta each : deltas) {
            if (each.from() != current.number() || each.to().epoch() != current.epoch()) {
                return false;
            }
            current = each.to();
        }
        return !deltas.isEmpty() && current.equals(end);
    }

    // ---- events

    /** Latest time at which {@link #tick} must be called. */
    public long dueAt() {
        return hasUnsentChange ? Math.min(flushAt, tickAt) : tickAt;
    }

    /** Handles timeouts and sends due messages. */
    public void tick(long now) {
        extendTimeouts(now);
        if (hasUnsentChange && now >= flushAt) {
            hasUnsentChange = false;
            flushAt = now + settings.coalesceMicros();
            for (Subscription each : subscribers.values()) {
                sendPendingDeltas(now, each);
            }
        }
        if (now >= tickAt) {
            tickAt = now + Math.min(TICK_INTERVAL_MICROS, settings.heartbeatIntervalMicros());
            retryRecordExpiry.values().removeIf(until -> now >= until);
            for (Subscription each : List.copyOf(subscribers.values())) {
                checkTimeouts(now, each);
            }
        }
    }

    /** Extends timeouts after a late tick (a pause of this process): messages of subscribers may still be unread. */
    private void extendTimeouts(long now) {
        long delay = now - tickAt;
        if (delay > MAX_TICK_DELAY_MICROS) {
            for (Subscription each : subscribers.values()) {
                each.lastReceivedAt += delay;
                each.snapshotProgressAt += delay;
                each.unackedSince = each.unackedSince == 0 ? 0 : each.unackedSince + delay;
            }
            tickAt = now;
        }
    }

    private void checkTimeouts(long now, Subscription subscription) {
        if (now - subscription.lastReceivedAt > settings.silenceTimeoutMicros()) {
            drop(subscription, "expected a message within " + settings.silenceTimeoutMicros() / 1_000_000 + " s, found none");
        } else if (subscription.unackedSince != 0 && now - subscription.unackedSince > settings.ackTimeoutMicros()) {
            drop(subscription, "expected an acknowledgement within " + settings.ackTimeoutMicros() / 1_000_000 + " s, found none");
        } else if (subscription.stage == Stage.FETCHING && now - subscription.snapshotProgressAt > settings.snapshotStallTimeoutMicros()) {
            drop(subscription, "expected credit for a snapshot within " + settings.snapshotStallTimeoutMicros() / 1_000_000 + " s, found none");
        } else if (!sourceUnreachable && now - subscription.lastSentAt >= settings.heartbeatIntervalMicros()) {
            send(now, subscription, heartbeat);
        }
    }

    private void drop(Subscription subscription, String reason) {
        removeSubscriber(subscription.name);
        droppedCount++;
        actions.event("config_subscriber_dropped", subscription.name + ": " + reason);
        actions.drop(subscription.name, reason);
    }

    private void removeSubscriber(String name) {
        Subscription subscription = subscribers.remove(name);
        retryRecordExpiry.remove(name);
        if (subscription != null) {
            endSnapshot(subscription);
        }
    }

    private void endSnapshot(Subscription subscription) {
        if (subscription.stage == Stage.FETCHING) {
            activeSnapshots--;
            subscription.snapshot = null;
            subscription.remainingShards = null;
        }
        subscription.stage = Stage.STREAMING;
    }

    /** The connection of a subscriber was closed. */
    public void inboundClosed(long now, String from) {
        removeSubscriber(from);
    }

    private void send(long now, Subscription subscription, Message message) {
        subscription.lastSentAt = now;
        actions.send(subscription.name, message);
    }

    /** Handles a message of a subscriber whose identity has been verified. */
    public void received(long now, String from, Message message) {
        extendTimeouts(now);
        Subscription subscription = subscribers.get(from);
        if (subscription == null && message instanceof Message.Subscribe) {
            if (subscribers.size() >= settings.maxSubscribers()) {
                droppedCount++;
                actions.drop(from, "expected at most " + settings.maxSubscribers() + " subscribers");
                return;
            }
            subscription = new Subscription(from);
            subscribers.put(from, subscription);
        }
        if (subscription == null) {
            droppedCount++;
            actions.drop(from, "expected subscribe first, found " + message.getClass().getSimpleName());
            return;
        }
        subscription.lastReceivedAt = now;
        if (message instanceof Message.Subscribe subscribe) {
            handleSubscribe(now, subscription, subscribe);
        } else if (message instanceof Message.Ack ack) {
            subscription.activeRevision = ack.activeRevision();
            subscription.rejectedRevision = subscription.rejectedRevision == null || ack.activeRevision().isAfter(subscription.rejectedRevision) ? null : subscription.rejectedRevision;
            handleAck(now, subscription, ack.activeRevision());
        } else if (message instanceof Message.Nack nack) {
            handleNack(now, subscription, nack);
        } else if (message instanceof Message.Fetch fetch) {
            handleFetch(now, subscription, fetch);
        } else if (message instanceof Message.Credit credit) {
            if (subscription.stage == Stage.FETCHING) {
                subscription.credit = Math.min(MAX_CREDIT_CHUNKS, subscription.credit + Math.max(0, credit.chunks()));
                subscription.snapshotProgressAt = now;
                sendChunks(now, subscription);
            }
        } else if (message instanceof Message.Summary summary) {
            subscription.relayedZones = summary.zones().size() <= ZoneSummaries.MAX_ZONES ? summary.zones() : summary.zones().subList(0, ZoneSummaries.MAX_ZONES);
        } else {
            drop(subscription, "expected a subscriber's message, found " + message.getClass().getSimpleName());
        }
        tick(now);
    }

    private void handleSubscribe(long now, Subscription subscription, Message.Subscribe message) {
        endSnapshot(subscription);
        subscription.zone = message.zone().length() <= MAX_ZONE_CHARS ? message.zone() : message.zone().substring(0, MAX_ZONE_CHARS);
        subscription.sentRevision = message.revision();
        subscription.ackedNumber = message.revision().number();
        subscription.unackedSince = 0;
        subscription.lastSentAt = now - settings.heartbeatIntervalMicros();
        sendPendingDeltas(now, subscription);
        if (subscription.stage == Stage.STREAMING && subscription.lastSentAt != now && !sourceUnreachable) {
            send(now, subscription, heartbeat);
        }
    }

    private void handleAck(long now, Subscription subscription, Revision upTo) {
        if (upTo.number() > subscription.ackedNumber && upTo.epoch() == table.revision().epoch()) {
            subscription.ackedNumber = upTo.number();
            subscription.unackedSince = subscription.ackedNumber >= subscription.sentRevision.number() ? 0 : now;
            sendPendingDeltas(now, subscription);
        }
    }

    private void handleNack(long now, Subscription subscription, Message.Nack nack) {
        subscription.activeRevision = nack.activeRevision();
        subscription.rejectedRevision = nack.rejectedRevision();
        if (!nack.rejectedRevision().equals(nackEventRevision)) {
            nackEventRevision = nack.rejectedRevision();
            nackEventCount = 0;
        }
        if (nackEventCount++ < MAX_NACK_EVENTS) {
            String reason = nack.reason();
            actions.event("config_refused", subscription.name + " refuses " + nack.rejectedRevision().number() + ": " + reason.substring(0, Math.min(reason.length(), MAX_REASON_CHARS)));
        }
        handleAck(now, subscription, nack.rejectedRevision());
    }

    // ---- deltas

    /** Sends all deltas that a subscriber does not have, up to the bound of unacknowledged bytes. */
    private void sendPendingDeltas(long now, Subscription subscription) {
        while (subscription.stage == Stage.STREAMING && !subscription.sentRevision.equals(table.revision()) && !subscription.sentRevision.isAfter(table.revision())) {
            if (history.bytesAfter(subscription.ackedNumber) - history.bytesAfter(subscription.sentRevision.number()) >= settings.maxUnackedBytes()) {
                return;
            }
            Message.Deltas deltas = deltasAfter(subscription.sentRevision);
            if (deltas == null) {
                sendSnapshotNeeded(now, subscription);
                return;
            }
            subscription.sentRevision = deltas.deltas().get(deltas.deltas().size() - 1).to();
            subscription.unackedSince = subscription.unackedSince == 0 ? now : subscription.unackedSince;
            send(now, subscription, deltas);
        }
    }

    private Message.Deltas deltasAfter(Revision revision) {
        Message.Deltas cached = sharedMessages.get(revision.number());
        if (cached != null && !history.isForked(revision) && revision.epoch() == table.revision().epoch()) {
            return cached;
        }
        List<Delta> following = history.deltasAfter(revision, settings.targetMessageBytes());
        if (following == null || following.isEmpty()) {
            return null;
        }
        Message.Deltas deltas = new Message.Deltas(following);
        if (sharedMessages.size() < MAX_SHARED_MESSAGES) {
            sharedMessages.put(revision.number(), deltas);
        }
        return deltas;
    }

    // ---- snapshots

    private void sendSnapshotNeeded(long now, Subscription subscription) {
        boolean forked = subscription.sentRevision.isForkOf(table.revision()) || history.isForked(subscription.sentRevision);
        String reason = forked ? FORKED_REASON_PREFIX + "this machine has a different state at number " + subscription.sentRevision.number() : "the changes after " + subscription.sentRevision.number() + " of epoch " + subscription.sentRevision.epoch() + " are not kept";
        if (forked) {
            actions.event("config_forked", subscription.name + " has " + subscription.sentRevision + ", expected the state that this machine has at that number");
        }
        subscription.stage = Stage.SNAPSHOT_NEEDED;
        subscription.unackedSince = 0;
        send(now, subscription, new Message.SnapshotNeeded(table.revision(), reason));
    }

    private void handleFetch(long now, Subscription subscription, Message.Fetch fetch) {
        if (fetch.digests().length != Table.SHARDS) {
            drop(subscription, "expected " + Table.SHARDS + " digests, found " + fetch.digests().length);
            return;
        }
        if (subscription.stage != Stage.FETCHING && activeSnapshots >= settings.maxConcurrentSnapshots()) {
            sendRetryAfter(now, subscription);
            return;
        }
        activeSnapshots += subscription.stage == Stage.FETCHING ? 0 : 1;
        retryRecordExpiry.remove(subscription.name);
        subscription.stage = Stage.FETCHING;
        subscription.unackedSince = 0;
        subscription.snapshot = table;
        subscription.remainingShards = new BitSet(Table.SHARDS);
        for (int i = 0; i < Table.SHARDS; i++) {
            subscription.remainingShards.set(i, table.digest(i) != fetch.digests()[i]);
        }
        subscription.credit = Math.max(1, Math.min(MAX_CREDIT_CHUNKS, fetch.credit()));
        subscription.snapshotStartedAt = now;
        subscription.snapshotProgressAt = now;
        sendChunks(now, subscription);
    }

    /**
     * Asks a subscriber to retry: as many at a time as are served concurrently, spread by the mean duration of a
     * snapshot.
     */
    private void sendRetryAfter(long now, Subscription subscription) {
        retryRecordExpiry.remove(subscription.name);
        int waitingBefore = retryRecordExpiry.size();
        long delayMicros = Math.min(MAX_RETRY_AFTER_MICROS, meanSnapshotMicros + meanSnapshotMicros * waitingBefore / settings.maxConcurrentSnapshots());
        retryRecordExpiry.put(subscription.name, now + delayMicros + RETRY_RECORD_TTL_MICROS);
        subscription.stage = Stage.SNAPSHOT_NEEDED;
        send(now, subscription, new Message.RetryAfter((int) (delayMicros / 1_000)));
    }

    private void sendChunks(long now, Subscription subscription) {
        while (subscription.stage == Stage.FETCHING && subscription.credit > 0) {
            List<Shard> shards = new ArrayList<>();
            int bytes = 0;
            int shardNumber = subscription.remainingShards.nextSetBit(0);
            while (shardNumber >= 0) {
                List<Resource> resources = subscription.snapshot.shard(shardNumber);
                int shardBytes = 0;
                for (Resource each : resources) {
                    shardBytes += Table.maxEncodedBytes(each);
                }
                if (!shards.isEmpty() && bytes + shardBytes > settings.targetMessageBytes()) {
                    break;
                }
                bytes += shardBytes;
                shards.add(new Shard(shardNumber, resources));
                subscription.remainingShards.clear(shardNumber);
                shardNumber = subscription.remainingShards.nextSetBit(shardNumber);
            }
            subscription.credit--;
            Message.SnapshotChunk chunk = new Message.SnapshotChunk(subscription.snapshot.revision(), shards, shardNumber < 0);
            if (shardNumber < 0) {
                meanSnapshotMicros = Math.max(MIN_RETRY_AFTER_MICROS, (meanSnapshotMicros * 3 + Math.min(MAX_RETRY_AFTER_MICROS, now - subscription.snapshotStartedAt)) / 4);
                endSnapshot(subscription);
                subscription.stage = Stage.SNAPSHOT_NEEDED;  // until it subscribes with its new revision
            }
            send(now, subscription, chunk);
        }
    }

    // ---- for operators

    /** Current status. */
    public Status status() {
        return new Status(table.revision(), subscribers.size(), activeSnapshots, retryRecordExpiry.size(), history.size(), history.sizeBytes(), droppedCount, sourceUnreachable);
    }

    /** Status of subscribers by zone; relays are replaced by the subscribers that they report. */
    public List<ZoneSummary> summary() {
        ZoneSummaries all = new ZoneSummaries();
        Map<String, List<Subscription>> zones = new LinkedHashMap<>();
        for (Subscription each : subscribers.values()) {
            if (each.relayedZones == null) {
                zones.computeIfAbsent(each.zone, zone -> new ArrayList<>()).add(each);
            }
        }
        zones.forEach((zone, subscriptions) -> all.add(summary(zone, subscriptions)));
        for (Subscription each : subscribers.values()) {
            if (each.relayedZones != null) {
                each.relayedZones.forEach(all::add);
            }
        }
        return all.zones();
    }

    private ZoneSummary summary(String zone, List<Subscription> subscriptions) {
        Comparator<Subscription> byRevision = Comparator.comparing(each -> each.activeRevision, Comparator.nullsFirst(Comparator.comparingLong(Revision::epoch).thenComparingLong(Revision::number)));
        List<Subscription> behind = subscriptions.stream().filter(each -> each.activeRevision == null || table.revision().isAfter(each.activeRevision)).sorted(byRevision).toList();
        Revision lowest = subscriptions.stream().filter(each -> each.activeRevision != null).min(byRevision).map(each -> each.activeRevision).orElse(null);
        List<String> lagging = behind.stream().limit(ZoneSummary.MAX_LAGGING_NAMES).map(each -> each.name).toList();
        return new ZoneSummary(zone, subscriptions.size(), lowest, (int) subscriptions.stream().filter(each -> each.rejectedRevision != null).count(), lagging);
    }
}
