package mastdrift.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A gateway's side, or that of a control machine that passes on: one table that follows what is published, by one machine at a time.
 *
 * <p>Machines of the own zone come first, then those of its region (zones that share what stands before the last {@code -}), then the others; within each, the order is by rendezvous hashing (Thaler,
 * Ravishankar, "Using name-based mappings to increase hit rates", 1998), so that subscribers spread over machines and only those of a machine that goes move. The second is the fallback of the first, and so on.
 *
 * <p>The table never goes back. What is older is not taken, of whatever machine. Where a machine has another state by the same number, or its delta doesn't make what it says, the next machine is asked first: only if that one says the same
 * is a snapshot taken, so that one machine that went astray changes nothing here.
 *
 * <p>A snapshot that is broken off is gone on with at another machine by digests of what has come. Time in which this process did not run is not held against the machine. No I/O, no thread, no clock; not safe for use by
 * several threads. Times are microseconds of one clock that doesn't run back.
 */
public final class Subscriber {

    private static final long LATE = 1_000_000;  // it came so much later than it wanted: it was stopped
    private static final long SUBSCRIBE_INTERVAL = 500_000;  // from one subscribe at a machine to the next
    private static final int RETRY_AFTER_MOST = 60_000;
    private static final int TRIES = 3;  // of a snapshot at one machine
    private static final int BACKOFF_SHIFT_MOST = 2;
    private static final int REASON_MOST = 200;
    private static final int ACK_BYTES = 256 << 10;  // of deltas since the last acknowledgement: the next one is told at once

    /** What it wants done. Called in the middle of an event: what it leads to comes as another. */
    public interface Actions {

        /** A message to a machine, over a connection that is opened for the first. Whether it arrives is not known. */
        void send(String to, Message message);

        /** It is done with a machine: the connection may end. */
        void leave(String machine);

        /** The next table, and what led there from the one before; with no deltas where it came by a snapshot. */
        void table(Table next, List<Delta> deltas);

        /** Something that operators want to know. */
        void event(String name, String text);
    }

    private final String name;
    private final String zone;
    private final SubscriberSettings settings;
    private final Random random;
    private final Actions actions;
    private final Set<String> disagree = new HashSet<>();  // machines that have another state by the number that is here
    private List<String> machines = List.of();  // in their order
    private Table table;
    private int index;
    private String at;  // null while it waits to go to the next
    private boolean ready;
    private long nextAt;
    private int failures;
    private long aloneSince;
    private boolean silenceTold;  // once, until somebody is heard
    private boolean begun;
    private long heardAt;
    private long subscribedAt;
    private long subscribeAt = Long.MAX_VALUE;
    private long behindSince;  // 0 for not
    private long homeAt;
    private Table.Assembly assembly;
    private boolean fetching;
    private long fetchAt = Long.MAX_VALUE;
    private long movedAt;
    private int tries;
    private int used;  // chunks for which no credit was given yet
    private Revision inForce;
    private Message.Nack nack;
    private long ackAt = Long.MAX_VALUE;
    private long unacked;  // bytes of deltas, about
    private long deadline = Long.MAX_VALUE;

    /** Of this name, from the table that it has; {@code seed} is for when it comes again. */
    public Subscriber(String name, String zone, Table have, SubscriberSettings settings, long seed, Actions actions) {
        this.name = name;
        this.zone = zone;
        this.settings = settings;
        this.actions = actions;
        random = new Random(seed);
        table = have;
        ready = have.revision().number() > 0;
    }

    // ---- what it has

    /** The newest that it has, whether in force yet or not. */
    public Table table() {
        return table;
    }

    /** Whether it has a state that was agreed on, however old: from the start by its copy, else once a machine has told. */
    public boolean ready() {
        return ready;
    }

    /** Since when no machine is heard; 0 where one is. */
    public long aloneSince() {
        return aloneSince;
    }

    /** The machine that it is at; null for none. */
    public String machine() {
        return at;
    }

    /** Machines in the order in which it goes to them. */
    public List<String> order() {
        return machines;
    }

    // ---- events

    /** Machines that there are; replaces those before. */
    public void machines(long now, List<ControlMachine> named) {
        Comparator<ControlMachine> order = Comparator.comparingInt((ControlMachine each) -> each.zone().equals(zone) ? 0 : region(each.zone()).equals(region(zone)) ? 1 : 2)
                .thenComparing(each -> weight(name, each.name()), Comparator.reverseOrder()).thenComparing(ControlMachine::name);
        machines = named.stream().sorted(order).map(ControlMachine::name).distinct().toList();
        if (!begun) {
            begun = true;
            aloneSince = Math.max(1, now);
            nextAt = now;
        }
        index = Math.max(0, machines.indexOf(at));
        if (at != null && !machines.contains(at)) {
            leave(now);
            nextAt = now;
        }
        tick(now);
    }

    private static String region(String zone) {
        int end = zone.lastIndexOf('-');
        return end < 0 ? zone : zone.substring(0, end);
    }

    /** Of a pair, evenly over all 64 bits: FNV-1a, then the end of MurmurHash3. */
    static long weight(String subscriber, String machine) {
        long hash = 0xcbf29ce484222325L;
        String pair = subscriber + '\n' + machine;
        for (int i = 0; i < pair.length(); i++) {
            hash = (hash ^ pair.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    /** When it wants to be called at the latest. */
    public long dueAt() {
        return deadline;
    }

    /** Time has passed. */
    public void tick(long now) {
        stopped(now);
        if (!machines.isEmpty()) {
            if (at != null && now - heardAt >= settings.silent()) {
                failOver(now, silenceTold ? null : "config_silent", "expected a message within " + settings.silent() / 1_000_000 + " s, found none");
                silenceTold = true;
            } else if (at != null && behindSince != 0 && now - behindSince >= settings.silent()) {
                failOver(now, "config_behind", "expected revision " + table.revision().number() + " or a later one, found an earlier one for " + settings.silent() / 1_000_000 + " s");
            } else if (at != null && index != 0 && !fetching && assembly == null && now >= homeAt) {
                leave(now);
                index = 0;
                nextAt = now;
            }
            if (at == null && now >= nextAt) {
                begin(now);
            }
            if (at != null) {
                work(now);
            }
        }
        schedule(now);
    }

    /** It came later than it wanted to: what was not heard meanwhile may be lying unread. */
    private void stopped(long now) {
        long late = deadline == Long.MAX_VALUE ? 0 : now - deadline;
        if (late > LATE) {
            heardAt += late;
            movedAt += late;
            behindSince = behindSince == 0 ? 0 : behindSince + late;
            deadline = now;
        }
    }

    private void work(long now) {
        if (now >= subscribeAt || now - Math.max(heardAt, subscribedAt) >= settings.again()) {
            subscribe(now);
        }
        if (fetching && now - movedAt >= settings.stalled()) {
            fetchAt = now;
        }
        if (now >= fetchAt) {
            fetch(now);
        }
        if (now >= ackAt) {
            ackAt = now + settings.alive();
            unacked = 0;
            actions.send(at, nack != null ? nack : new Message.Ack(inForce == null ? Revision.none(table.revision().epoch()) : inForce));
        }
    }

    private void schedule(long now) {
        if (machines.isEmpty()) {
            deadline = Long.MAX_VALUE;
        } else if (at == null) {
            deadline = nextAt;
        } else {
            long next = Math.min(Math.min(heardAt + settings.silent(), Math.max(heardAt, subscribedAt) + settings.again()), Math.min(Math.min(subscribeAt, fetchAt), ackAt));
            next = fetching ? Math.min(next, movedAt + settings.stalled()) : next;
            next = behindSince == 0 ? next : Math.min(next, behindSince + settings.silent());
            next = index == 0 || fetching || assembly != null ? next : Math.min(next, homeAt);
            deadline = Math.max(now, next);
        }
    }

    private void begin(long now) {
        at = machines.get(index);
        heardAt = now;
        behindSince = 0;
        homeAt = now + settings.home() + (long) (random.nextDouble() * settings.home());
        ackAt = now + settings.ack();
        subscribe(now);
    }

    private void subscribe(long now) {
        subscribedAt = now;
        subscribeAt = Long.MAX_VALUE;
        actions.send(at, new Message.Subscribe(table.revision(), zone));
    }

    private void subscribeSoon(long now) {
        subscribeAt = Math.min(subscribeAt, Math.max(now, subscribedAt + SUBSCRIBE_INTERVAL));
    }

    private void leave(long now) {
        String left = at;
        at = null;
        aloneSince = aloneSince == 0 ? Math.max(1, now) : aloneSince;
        fetching = false;
        fetchAt = Long.MAX_VALUE;
        subscribeAt = Long.MAX_VALUE;
        tries = 0;
        actions.leave(left);
    }

    /** {@code event} null where operators know already. */
    private void failOver(long now, String event, String why) {
        if (event != null) {
            actions.event(event, at + ": " + why);
        }
        long since = heardAt;
        leave(now);
        aloneSince = Math.max(1, Math.min(aloneSince, since));
        index = (index + 1) % machines.size();
        // The only one there is is asked again after a while, others at once.
        nextAt = machines.size() > 1 ? now : now + (long) (random.nextDouble() * settings.spread());
    }

    /** The connection to a machine has ended, or couldn't be made. */
    public void outboundClosed(long now, String from) {
        stopped(now);
        if (from.equals(at)) {
            leave(now);
            index = (index + 1) % machines.size();
            nextAt = now + (long) (random.nextDouble() * (settings.spread() << Math.min(BACKOFF_SHIFT_MOST, failures)));
            failures++;
        }
        tick(now);
    }

    /** A message has come from a machine; that it is that one has been checked. */
    public void received(long now, String from, Message message) {
        stopped(now);
        if (from.equals(at)) {
            if (aloneSince != 0 && now - aloneSince >= settings.silent()) {
                actions.event("config_heard", at + ": after " + (now - aloneSince) / 1_000_000 + " s without any machine");
            }
            heardAt = now;
            aloneSince = 0;
            silenceTold = false;
            failures = 0;
            if (message instanceof Message.Deltas deltas) {
                deltas(now, deltas.deltas());
            } else if (message instanceof Message.Heartbeat heartbeat) {
                heartbeat(now, heartbeat.revision());
            } else if (message instanceof Message.SnapshotNeeded needed) {
                needed(now, needed);
            } else if (message instanceof Message.SnapshotChunk chunk) {
                chunk(now, chunk);
            } else if (message instanceof Message.RetryAfter retry) {
                retryAfter(now, retry);
            } else {
                failOver(now, "config_unexpected", "expected a publisher's message, found " + message.getClass().getSimpleName());
            }
        }
        tick(now);
    }

    // ---- deltas

    private void heartbeat(long now, Revision revision) {
        if (revision.equals(table.revision())) {
            agrees();
            ready = true;
        } else if (revision.forkedFrom(table.revision())) {
            differs(now, "expected " + table.revision() + ", found " + revision);
        } else if (revision.after(table.revision())) {
            behindSince = 0;
            if (!fetching && fetchAt == Long.MAX_VALUE) {
                subscribeSoon(now);
            }
        } else if (behindSince == 0) {
            behindSince = now;
        }
    }

    private void agrees() {
        disagree.clear();
        behindSince = 0;
    }

    private void deltas(long now, List<Delta> deltas) {
        List<Delta> follow = new ArrayList<>();
        Revision have = table.revision();  // once those before are taken: who says one that isn't, is found out by them
        String problem = null;
        boolean gap = false;
        for (Delta each : deltas) {
            if (each.to().forkedFrom(have)) {
                problem = "expected " + have + ", found " + each.to();
                break;
            }
            if (!each.to().after(have)) {
                continue;  // heard before
            }
            if (each.from() != have.number() || each.to().epoch() != have.epoch()) {
                gap = true;
                break;
            }
            follow.add(each);
            have = each.to();
        }
        Table.ApplyResult followed = table.follow(follow);
        if (followed.problem() != null) {
            problem = followed.problem();  // what is said behind that doesn't count
        } else if (gap) {
            subscribeSoon(now);  // something before it got lost
        }
        if (followed.taken() > 0) {
            List<Delta> applied = follow.subList(0, followed.taken());
            applied.forEach(each -> unacked += History.bytes(each));
            agrees();
            dropSnapshot();
            takes(followed.table(), applied);
        }
        if (problem != null) {
            differs(now, problem);
        }
    }

    private void dropSnapshot() {
        assembly = null;
        fetching = false;
        fetchAt = Long.MAX_VALUE;
        tries = 0;
    }

    private void takes(Table next, List<Delta> deltas) {
        table = next;
        ready = true;
        actions.table(next, deltas);
    }

    /** The machine has another state than what is here: the next one says who of them is right, where there is one. */
    private void differs(long now, String why) {
        if (fetching || fetchAt != Long.MAX_VALUE) {
            return;
        }
        actions.event("config_forked", at + ": " + why);
        boolean again = !disagree.add(at);  // nobody agreed in between, or it would not be in there
        if (again || disagree.size() >= Math.min(2, machines.size())) {
            fetchAt = now;
        } else {
            failOver(now, "config_asks_another", "another state by the number " + table.revision().number());
        }
    }

    // ---- snapshots

    private void needed(long now, Message.SnapshotNeeded needed) {
        if (needed.revision().forkedFrom(table.revision()) || needed.revision().after(table.revision()) && needed.reason().startsWith(Publisher.FORKED)) {
            differs(now, needed.reason());
        } else if (needed.revision().after(table.revision())) {
            if (!fetching && fetchAt == Long.MAX_VALUE) {
                actions.event("config_snapshot", at + ": from " + table.revision().number() + " to " + needed.revision().number() + ", since " + needed.reason());
                fetchAt = now;
            }
        }
    }

    private void fetch(long now) {
        assembly = assembly == null ? table.assembly() : assembly;
        fetching = true;
        fetchAt = Long.MAX_VALUE;
        movedAt = now;
        used = 0;
        actions.send(at, new Message.Fetch(assembly.digests(), settings.credit()));
    }

    private void retryAfter(long now, Message.RetryAfter retry) {
        long wait = Math.max(0, Math.min(RETRY_AFTER_MOST, retry.millis())) * 1_000L;
        fetching = false;
        fetchAt = now + wait + (long) (random.nextDouble() * settings.spread());
    }

    private void chunk(long now, Message.SnapshotChunk chunk) {
        if (!fetching) {
            return;  // of a snapshot that was given up
        }
        String problem = assembly.add(chunk);
        if (problem != null) {
            dropSnapshot();
            failOver(now, "config_bad_snapshot", problem);
            return;
        }
        movedAt = now;
        used++;
        if (chunk.last()) {
            finish(now);
        } else if (used >= Math.max(1, settings.credit() / 2)) {
            actions.send(at, new Message.Credit(used));
            used = 0;
        }
    }

    private void finish(long now) {
        fetching = false;
        Table made = assembly.finish();
        if (made == null && ++tries < TRIES) {
            fetchAt = now;  // a chunk got lost, or it is of two revisions: what differs still
        } else if (made == null) {
            String problem = assembly.problem();
            dropSnapshot();
            failOver(now, "config_bad_snapshot", problem);
        } else {
            boolean taken = made.revision().after(table.revision()) || made.revision().forkedFrom(table.revision());
            dropSnapshot();
            agrees();
            if (taken) {
                takes(made, List.of());
            }
            subscribe(now);
        }
    }

    // ---- acknowledgements

    /** A revision is in force here, or passed on. */
    public void inForce(long now, Revision revision) {
        inForce = revision;
        nack = null;
        ackAt = Math.min(ackAt, unacked >= ACK_BYTES ? now : now + settings.ack());
        tick(now);
    }

    /** A revision can't be put in force, for a reason; the one before stays, and later ones come all the same. */
    public void refused(long now, Revision revision, String reason) {
        nack = new Message.Nack(revision, inForce == null ? Revision.none(revision.epoch()) : inForce,
                reason.substring(0, Math.min(reason.length(), REASON_MOST)));
        if (at != null) {
            actions.send(at, nack);
        }
        schedule(now);
    }

    /** One that passes on tells how its own subscribers do, also that there are none; it gets lost where no machine is heard. */
    public void summary(List<Message.ZoneSummary> zones) {
        if (at != null) {
            actions.send(at, new Message.Summary(zones));
        }
    }
}
