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
 * A control machine's side: tells subscribers what changes, in the style of xDS's incremental protocol. Who says which revision it has gets the deltas behind it, or where they are no longer kept, the
 * shards of a snapshot that differ.
 *
 * <p>A change costs its deltas once and one message for each subscriber, the same object for all that are at the same revision, so that it is made bytes of once. A subscriber costs some hundred bytes
 * here, whatever it does: what it has not been told stands in the {@link History} that all share; who answers nothing is told no more at a bound of bytes, and dropped at a bound of time.
 *
 * <p>A machine that can't hear where its own table comes from is told so ({@link #alone}): it goes on serving what it has, but says of itself no more that it is current, so that subscribers look for one
 * that is. No I/O, no thread, no clock; not safe for use by several threads. Times are microseconds of one clock that doesn't run back.
 */
public final class Publisher {

    /** What the reason of {@link Message.SnapshotNeeded} begins with where states differ, and not only ages. */
    static final String FORKED = "forked: ";
    private static final long TICK = 250_000;
    private static final long LATE = 1_000_000;
    private static final int CREDIT_MOST = 64;
    private static final int SHARED_MOST = 64;
    private static final int LOUD_MOST = 8;  // refusals of a revision that are events; all are counted
    private static final int REASON_MOST = 200;
    private static final int ZONE_MOST = 64;
    private static final long RETRY_AFTER_LEAST = 500_000;
    private static final long RETRY_AFTER_MOST = 30_000_000;
    private static final long RETRY_AFTER_KEPT = 10_000_000;  // who was told to come again and doesn't is forgotten by then

    /** What it wants done. Called in the middle of an event: what it leads to comes as another. */
    public interface Actions {

        /** A message to a subscriber. Whether it arrives is not known. The same object goes to many. */
        void send(String to, Message message);

        /** Ends the connection of a subscriber, which is forgotten here. */
        void drop(String subscriber, String why);

        /** Something that operators want to know. */
        void event(String name, String text);
    }

    /**
     * How it does.
     *
     * @param revision that it publishes
     * @param subscribers that are there
     * @param snapshots that are being served
     * @param waiting subscribers that were told to come again for one
     * @param deltas that are kept
     * @param deltaBytes of those, about
     * @param dropped subscribers, since the start
     * @param alone whether it can't hear its own source
     */
    public record Status(Revision revision, int subscribers, int snapshots, int waiting, int deltas, long deltaBytes, long dropped, boolean alone) { }

    private enum Stage { FOLLOWS, SNAPSHOT_NEEDED, FETCHES }

    private static final class Subscription {
        private final String name;
        private String zone = "";
        private Stage stage = Stage.FOLLOWS;
        private Revision told;  // what it has, once it has heard all that was sent
        private long acked;  // the number up to which it has answered
        private long unackedSince;  // 0 for nothing unanswered
        private Revision inForce;  // null for not known
        private Revision refused;
        private long heardAt;
        private long sentAt;
        private Table snapshot;
        private BitSet wanted;
        private int credit;
        private long begunAt;
        private long movedAt;  // the snapshot
        private List<ZoneSummary> below;  // of one that passes on

        Subscription(String name) {
            this.name = name;
        }
    }

    private final PublisherSettings settings;
    private final Actions actions;
    private final Map<String, Subscription> subscribers = new LinkedHashMap<>();
    private final Map<String, Long> waiting = new LinkedHashMap<>();  // for a snapshot, and until when they are remembered
    private final Map<Long, Message.Deltas> shared = new HashMap<>();  // by the number that they begin at
    private Table table;
    private History history;
    private Message.Heartbeat heartbeat;
    private boolean alone;
    private boolean changed;  // and not sent yet
    private long flushAt;
    private long tickAt;
    private int snapshots;
    private long snapshotTime = 2_000_000;  // on the mean, lately
    private long dropped;
    private Revision loudAt;
    private int loud;

    /** Of a table, of which it knows nothing before. */
    public Publisher(Table table, PublisherSettings settings, Actions actions) {
        this.table = table;
        this.settings = settings;
        this.actions = actions;
        history = new History(table.revision());
        heartbeat = new Message.Heartbeat(table.revision());
    }

    // ---- its table

    /** What it publishes. */
    public Table table() {
        return table;
    }

    /** Whether it can't hear where its table comes from: a voter that hears no majority, one that passes on and hears no machine. */
    public void alone(long now, boolean alone) {
        this.alone = alone;
        tick(now);
    }

    /** Another table, and what led there from the one before; no deltas where that isn't known (a snapshot was taken). One that is neither later nor of another state is not taken. */
    public void table(long now, Table next, List<Delta> deltas) {
        Revision before = table.revision();
        if (!next.revision().after(before) && !next.revision().forkedFrom(before)) {
            return;
        }
        table = next;
        heartbeat = new Message.Heartbeat(next.revision());
        shared.clear();
        if (leads(before, next.revision(), deltas)) {
            deltas.forEach(history::add);
        } else {
            history = new History(next.revision());
        }
        changed = true;
        tick(now);
    }

    private static boolean leads(Revision from, Revision to, List<Delta> deltas) {
        Revision at = from;
        for (Delta each : deltas) {
            if (each.from() != at.number() || each.to().epoch() != at.epoch()) {
                return false;
            }
            at = each.to();
        }
        return !deltas.isEmpty() && at.equals(to);
    }

    // ---- events

    /** When it wants to be called at the latest. */
    public long dueAt() {
        return changed ? Math.min(flushAt, tickAt) : tickAt;
    }

    /** Time has passed. */
    public void tick(long now) {
        stopped(now);
        if (changed && now >= flushAt) {
            changed = false;
            flushAt = now + settings.coalesce();
            for (Subscription each : subscribers.values()) {
                tell(now, each);
            }
        }
        if (now >= tickAt) {
            tickAt = now + Math.min(TICK, settings.heartbeat());
            waiting.values().removeIf(until -> now >= until);
            for (Subscription each : List.copyOf(subscribers.values())) {
                check(now, each);
            }
        }
    }

    /** It came later than it wanted to: what subscribers said meanwhile may be lying unread. */
    private void stopped(long now) {
        long late = now - tickAt;
        if (late > LATE) {
            for (Subscription each : subscribers.values()) {
                each.heardAt += late;
                each.movedAt += late;
                each.unackedSince = each.unackedSince == 0 ? 0 : each.unackedSince + late;
            }
            tickAt = now;
        }
    }

    private void check(long now, Subscription of) {
        if (now - of.heardAt > settings.silent()) {
            drop(of, "expected a message within " + settings.silent() / 1_000_000 + " s, found none");
        } else if (of.unackedSince != 0 && now - of.unackedSince > settings.unacked()) {
            drop(of, "expected an acknowledgement within " + settings.unacked() / 1_000_000 + " s, found none");
        } else if (of.stage == Stage.FETCHES && now - of.movedAt > settings.stalled()) {
            drop(of, "expected credit for a snapshot within " + settings.stalled() / 1_000_000 + " s, found none");
        } else if (!alone && now - of.sentAt >= settings.heartbeat()) {
            send(now, of, heartbeat);
        }
    }

    private void drop(Subscription of, String why) {
        forget(of.name);
        dropped++;
        actions.event("config_subscriber_dropped", of.name + ": " + why);
        actions.drop(of.name, why);
    }

    private void forget(String name) {
        Subscription of = subscribers.remove(name);
        waiting.remove(name);
        if (of != null) {
            ends(of);
        }
    }

    private void ends(Subscription of) {
        if (of.stage == Stage.FETCHES) {
            snapshots--;
            of.snapshot = null;
            of.wanted = null;
        }
        of.stage = Stage.FOLLOWS;
    }

    /** The connection of a subscriber has ended. */
    public void inboundClosed(long now, String from) {
        forget(from);
    }

    private void send(long now, Subscription to, Message message) {
        to.sentAt = now;
        actions.send(to.name, message);
    }

    /** A message has come from a subscriber; that it is that one has been checked. */
    public void received(long now, String from, Message message) {
        stopped(now);
        Subscription of = subscribers.get(from);
        if (of == null && message instanceof Message.Subscribe) {
            if (subscribers.size() >= settings.subscribers()) {
                dropped++;
                actions.drop(from, "expected at most " + settings.subscribers() + " subscribers");
                return;
            }
            of = new Subscription(from);
            subscribers.put(from, of);
        }
        if (of == null) {
            dropped++;
            actions.drop(from, "expected subscribe first, found " + message.getClass().getSimpleName());
            return;
        }
        of.heardAt = now;
        if (message instanceof Message.Subscribe subscribe) {
            subscribed(now, of, subscribe);
        } else if (message instanceof Message.Ack ack) {
            of.inForce = ack.inForce();
            of.refused = of.refused == null || ack.inForce().after(of.refused) ? null : of.refused;
            acked(now, of, ack.inForce());
        } else if (message instanceof Message.Nack nack) {
            refused(now, of, nack);
        } else if (message instanceof Message.Fetch fetch) {
            fetch(now, of, fetch);
        } else if (message instanceof Message.Credit credit) {
            if (of.stage == Stage.FETCHES) {
                of.credit = Math.min(CREDIT_MOST, of.credit + Math.max(0, credit.chunks()));
                of.movedAt = now;
                chunks(now, of);
            }
        } else if (message instanceof Message.Summary summary) {
            of.below = summary.zones().size() <= ZoneSummaries.ZONES_MOST ? summary.zones() : summary.zones().subList(0, ZoneSummaries.ZONES_MOST);
        } else {
            drop(of, "expected a subscriber's message, found " + message.getClass().getSimpleName());
        }
        tick(now);
    }

    private void subscribed(long now, Subscription of, Message.Subscribe message) {
        ends(of);
        of.zone = message.zone().length() <= ZONE_MOST ? message.zone() : message.zone().substring(0, ZONE_MOST);
        of.told = message.have();
        of.acked = message.have().number();
        of.unackedSince = 0;
        of.sentAt = now - settings.heartbeat();
        tell(now, of);
        if (of.stage == Stage.FOLLOWS && of.sentAt != now && !alone) {
            send(now, of, heartbeat);
        }
    }

    private void acked(long now, Subscription of, Revision upTo) {
        if (upTo.number() > of.acked && upTo.epoch() == table.revision().epoch()) {
            of.acked = upTo.number();
            of.unackedSince = of.acked >= of.told.number() ? 0 : now;
            tell(now, of);
        }
    }

    private void refused(long now, Subscription of, Message.Nack nack) {
        of.inForce = nack.inForce();
        of.refused = nack.refused();
        if (!nack.refused().equals(loudAt)) {
            loudAt = nack.refused();
            loud = 0;
        }
        if (loud++ < LOUD_MOST) {
            String reason = nack.reason();
            actions.event("config_refused", of.name + " refuses " + nack.refused().number() + ": " + reason.substring(0, Math.min(reason.length(), REASON_MOST)));
        }
        acked(now, of, nack.refused());
    }

    // ---- deltas

    /** All that a subscriber doesn't have, as far as it may be under way. */
    private void tell(long now, Subscription to) {
        while (to.stage == Stage.FOLLOWS && !to.told.equals(table.revision()) && !to.told.after(table.revision())) {
            if (history.bytesAfter(to.acked) - history.bytesAfter(to.told.number()) >= settings.unackedBytes()) {
                return;
            }
            Message.Deltas deltas = deltas(to.told);
            if (deltas == null) {
                needsSnapshot(now, to);
                return;
            }
            to.told = deltas.deltas().get(deltas.deltas().size() - 1).to();
            to.unackedSince = to.unackedSince == 0 ? now : to.unackedSince;
            send(now, to, deltas);
        }
    }

    private Message.Deltas deltas(Revision have) {
        Message.Deltas there = shared.get(have.number());
        if (there != null && !history.forked(have) && have.epoch() == table.revision().epoch()) {
            return there;
        }
        List<Delta> after = history.after(have, settings.messageBytes());
        if (after == null || after.isEmpty()) {
            return null;
        }
        Message.Deltas deltas = new Message.Deltas(after);
        if (shared.size() < SHARED_MOST) {
            shared.put(have.number(), deltas);
        }
        return deltas;
    }

    // ---- snapshots

    private void needsSnapshot(long now, Subscription to) {
        boolean forked = to.told.forkedFrom(table.revision()) || history.forked(to.told);
        String reason = forked ? FORKED + "another state is known by the number " + to.told.number() : "the changes behind " + to.told.number() + " of epoch " + to.told.epoch() + " are not kept";
        if (forked) {
            actions.event("config_forked", to.name + " has " + to.told + ", expected another state by that number");
        }
        to.stage = Stage.SNAPSHOT_NEEDED;
        to.unackedSince = 0;
        send(now, to, new Message.SnapshotNeeded(table.revision(), reason));
    }

    private void fetch(long now, Subscription by, Message.Fetch fetch) {
        if (fetch.digests().length != Table.SHARDS) {
            drop(by, "expected " + Table.SHARDS + " digests, found " + fetch.digests().length);
            return;
        }
        if (by.stage != Stage.FETCHES && snapshots >= settings.snapshots()) {
            retryAfter(now, by);
            return;
        }
        snapshots += by.stage == Stage.FETCHES ? 0 : 1;
        waiting.remove(by.name);
        by.stage = Stage.FETCHES;
        by.unackedSince = 0;
        by.snapshot = table;
        by.wanted = new BitSet(Table.SHARDS);
        for (int i = 0; i < Table.SHARDS; i++) {
            by.wanted.set(i, table.digest(i) != fetch.digests()[i]);
        }
        by.credit = Math.max(1, Math.min(CREDIT_MOST, fetch.credit()));
        by.begunAt = now;
        by.movedAt = now;
        chunks(now, by);
    }

    /** Come again: each as many together as are served at once, spread over the time that a snapshot takes. */
    private void retryAfter(long now, Subscription by) {
        waiting.remove(by.name);
        int before = waiting.size();
        long in = Math.min(RETRY_AFTER_MOST, snapshotTime + snapshotTime * before / settings.snapshots());
        waiting.put(by.name, now + in + RETRY_AFTER_KEPT);
        by.stage = Stage.SNAPSHOT_NEEDED;
        send(now, by, new Message.RetryAfter((int) (in / 1_000)));
    }

    private void chunks(long now, Subscription to) {
        while (to.stage == Stage.FETCHES && to.credit > 0) {
            List<Shard> shards = new ArrayList<>();
            int bytes = 0;
            int next = to.wanted.nextSetBit(0);
            while (next >= 0) {
                List<Resource> resources = to.snapshot.shard(next);
                int more = 0;
                for (Resource each : resources) {
                    more += Table.bytes(each);
                }
                if (!shards.isEmpty() && bytes + more > settings.messageBytes()) {
                    break;
                }
                bytes += more;
                shards.add(new Shard(next, resources));
                to.wanted.clear(next);
                next = to.wanted.nextSetBit(next);
            }
            to.credit--;
            Message.SnapshotChunk chunk = new Message.SnapshotChunk(to.snapshot.revision(), shards, next < 0);
            if (next < 0) {
                snapshotTime = Math.max(RETRY_AFTER_LEAST, (snapshotTime * 3 + Math.min(RETRY_AFTER_MOST, now - to.begunAt)) / 4);
                ends(to);
                to.stage = Stage.SNAPSHOT_NEEDED;  // until it says what it has now
            }
            send(now, to, chunk);
        }
    }

    // ---- for operators

    /** How it does. */
    public Status status() {
        return new Status(table.revision(), subscribers.size(), snapshots, waiting.size(), history.size(), history.bytes(), dropped, alone);
    }

    /** How subscribers do by zone; for one that passes on, those that it told of in its own place. */
    public List<ZoneSummary> summary() {
        ZoneSummaries all = new ZoneSummaries();
        Map<String, List<Subscription>> zones = new LinkedHashMap<>();
        for (Subscription each : subscribers.values()) {
            if (each.below == null) {
                zones.computeIfAbsent(each.zone, zone -> new ArrayList<>()).add(each);
            }
        }
        zones.forEach((zone, of) -> all.add(summary(zone, of)));
        for (Subscription each : subscribers.values()) {
            if (each.below != null) {
                each.below.forEach(all::add);
            }
        }
        return all.zones();
    }

    private ZoneSummary summary(String zone, List<Subscription> of) {
        Comparator<Subscription> byPlace = Comparator.comparing(each -> each.inForce, Comparator.nullsFirst(Comparator.comparingLong(Revision::epoch).thenComparingLong(Revision::number)));
        List<Subscription> behind = of.stream().filter(each -> each.inForce == null || table.revision().after(each.inForce)).sorted(byPlace).toList();
        Revision lowest = of.stream().filter(each -> each.inForce != null).min(byPlace).map(each -> each.inForce).orElse(null);
        List<String> lagging = behind.stream().limit(ZoneSummary.LAGGING_MOST).map(each -> each.name).toList();
        return new ZoneSummary(zone, of.size(), lowest, (int) of.stream().filter(each -> each.refused != null).count(), lagging);
    }
}
