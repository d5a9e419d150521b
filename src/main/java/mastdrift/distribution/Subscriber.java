package mastdrift.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * The subscribing side of a gateway or of a relay: keeps one table up to date from one control machine at a time.
 * <p>Machines of the same zone are preferred, then those of the same region (zones with the same prefix before the last
 * {@code -}), then the others; within each group the order is by rendezvous hashing (Thaler, Ravishankar, "Using
 * name-based mappings to increase hit rates", 1998), so that subscribers are spread over machines, and only the
 * subscribers of a removed machine move. Each machine in this order is the fallback of the one before it.
 * <p>The table never goes back: an older revision is not accepted from any machine. If a machine has another state at
 * the same number, or its delta does not result in the stated revision, the next machine is asked first; only if that
 * one confirms it is a snapshot taken, so that a single corrupted machine changes nothing here.
 * <p>An interrupted snapshot is continued at another machine by digests of the shards received. Time in which this
 * process was paused does not count towards a machine's timeouts. No I/O, no threads, no clock; not thread-safe. Times
 * are microseconds of one monotonic clock.
 */
public final class Subscriber {

    private static final long MAX_TICK_DELAY_MICROS = 1_000_000;  // a tick later than this means that the process was paused
    private static final long MIN_SUBSCRIBE_INTERVAL_MICROS = 500_000;  // from one Subscribe at a machine to the next
    private static final int MAX_RETRY_AFTER_MILLIS = 60_000;
    private static final int MAX_FETCH_ATTEMPTS = 3;  // of a snapshot at one machine
    private static final int MAX_BACKOFF_SHIFT = 2;
    private static final int MAX_REASON_CHARS = 200;
    // unacknowledged bytes of deltas from which on an acknowledgement is sent at once
    private static final int IMMEDIATE_ACK_BYTES = 256 << 10;

    /**
     * Callbacks to the caller. They are called while an event is being handled: their consequences must be delivered as
     * separate events.
     */
    public interface Actions {

        /** Sends a message to a machine, opening the connection if there is none. Delivery is not guaranteed. */
        void send(String to, Message message);

        /** The machine is no longer used: the connection may be closed. */
        void disconnect(String machine);

        /**
         * The table was replaced by {@code next}; {@code deltas} lead to it from the previous one, empty if it was
         * taken from a snapshot.
         */
        void table(Table next, List<Delta> deltas);

        /** Reports an event to operators. */
        void event(String name, String text);
    }

    private final String name;
    private final String zone;
    private final SubscriberSettings settings;
    private final Random random;
    private final Actions actions;
    // machines that have another state at the current revision number
    private final Set<String> disagreeingMachines = new HashSet<>();
    private List<String> machines = List.of();  // in order of preference
    private Table table;
    private int machineIndex;
    private String currentMachine;  // null while it waits to contact the next one
    private boolean ready;
    private long connectAt;
    private int failures;
    private long disconnectedSince;
    private boolean silenceReported;  // silence is reported once, until a machine is heard again
    private boolean started;
    private long lastReceivedAt;
    private long subscribedAt;
    private long subscribeAt = Long.MAX_VALUE;
    private long behindSince;  // 0 if the machine is not behind
    private long failbackAt;
    private Table.Assembly assembly;
    private boolean fetching;
    private long fetchAt = Long.MAX_VALUE;
    private long fetchProgressAt;
    private int fetchAttempts;
    private int uncreditedChunks;  // chunks received since credit was last granted
    private Revision activeRevision;
    private Message.Nack pendingNack;
    private long ackAt = Long.MAX_VALUE;
    private long unackedBytes;  // approximate bytes of deltas since the last acknowledgement
    private long nextTickAt = Long.MAX_VALUE;

    /** Creates a subscriber that starts from a table; {@code seed} randomizes its delays. */
    public Subscriber(String name, String zone, Table initialTable, SubscriberSettings settings, long seed, Actions actions) {
        this.name = name;
        this.zone = zone;
        this.settings = settings;
        this.actions = actions;
        random = new Random(seed);
        table = initialTable;
        ready = initialTable.revision().number() > 0;
    }

    // ---- state

    /** The newest table, whether active yet or not. */
    public Table table() {
        return table;
    }

    /**
     * Whether it has a state that was agreed on, however old: from the start if it has a stored copy, else once a
     * machine has confirmed or sent one.
     */
    public boolean ready() {
        return ready;
    }

    /** Time since which no machine has been heard; 0 while one is. */
    public long disconnectedSince() {
        return disconnectedSince;
    }

    /** The machine that it currently uses; null if none. */
    public String currentMachine() {
        return currentMachine;
    }

    /** Machines in order of preference. */
    public List<String> machinesByPreference() {
        return machines;
    }

    // ---- events

    /** Replaces the set of known machines. */
    public void setMachines(long now, List<ControlMachine> knownMachines) {
        Comparator<ControlMachine> order = Comparator.comparingInt((ControlMachine each) -> each.zone().equals(zone) ? 0 : region(each.zone()).equals(region(zone)) ? 1 : 2)
                .thenComparing(each -> rendezvousWeight(name, each.name()), Comparator.reverseOrder()).thenComparing(ControlMachine::name);
        machines = knownMachines.stream().sorted(order).map(ControlMachine::name).distinct().toList();
        if (!started) {
            started = true;
            disconnectedSince = Math.max(1, now);
            connectAt = now;
        }
        machineIndex = Math.max(0, machines.indexOf(currentMachine));
        if (currentMachine != null && !machines.contains(currentMachine)) {
            disconnect(now);
            connectAt = now;
        }
        tick(now);
    }

    private static String region(String zone) {
        int end = zone.lastIndexOf('-');
        return end < 0 ? zone : zone.substring(0, end);
    }

    /** Rendezvous weight of a pair, uniform over 64 bits: FNV-1a, then the finalizer of MurmurHash3. */
    static long rendezvousWeight(String subscriber, String machine) {
        long hash = 0xcbf29ce484222325L;
        String pair = subscriber + '\n' + machine;
        for (int i = 0; i < pair.length(); i++) {
            hash = (hash ^ pair.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }

    /** Latest time at which {@link #tick} must be called. */
    public long dueAt() {
        return nextTickAt;
    }

    /** Handles timeouts and sends due messages. */
    public void tick(long now) {
        extendTimeouts(now);
        if (!machines.isEmpty()) {
            if (currentMachine != null && now - lastReceivedAt >= settings.silenceTimeoutMicros()) {
                failOver(now, silenceReported ? null : "config_silent", "expected a message within " + settings.silenceTimeoutMicros() / 1_000_000 + " s, found none");
                silenceReported = true;
            } else if (currentMachine != null && behindSince != 0 && now - behindSince >= settings.silenceTimeoutMicros()) {
                failOver(now, "config_behind", "expected revision " + table.revision().number() + " or a later one, found an earlier one for " + settings.silenceTimeoutMicros() / 1_000_000 + " s");
            } else if (currentMachine != null && machineIndex != 0 && !fetching && assembly == null && now >= failbackAt) {
                disconnect(now);
                machineIndex = 0;
                connectAt = now;
            }
            if (currentMachine == null && now >= connectAt) {
                connect(now);
            }
            if (currentMachine != null) {
                sendDueMessages(now);
            }
        }
        scheduleNextTick(now);
    }

    /** Extends timeouts after a late tick (a pause of this process): messages of the machine may still be unread. */
    private void extendTimeouts(long now) {
        long delay = nextTickAt == Long.MAX_VALUE ? 0 : now - nextTickAt;
        if (delay > MAX_TICK_DELAY_MICROS) {
            lastReceivedAt += delay;
            fetchProgressAt += delay;
            behindSince = behindSince == 0 ? 0 : behindSince + delay;
            nextTickAt = now;
        }
    }

    private void sendDueMessages(long now) {
        if (now >= subscribeAt || now - Math.max(lastReceivedAt, subscribedAt) >= settings.resubscribeMicros()) {
            sendSubscribe(now);
        }
        if (fetching && now - fetchProgressAt >= settings.fetchStallTimeoutMicros()) {
            fetchAt = now;
        }
        if (now >= fetchAt) {
            sendFetch(now);
        }
        if (now >= ackAt) {
            ackAt = now + settings.ackIntervalMicros();
            unackedBytes = 0;
            actions.send(currentMachine, pendingNack != null ? pendingNack : new Message.Ack(activeRevision == null ? Revision.empty(table.revision().epoch()) : activeRevision));
        }
    }

    private void scheduleNextTick(long now) {
        if (machines.isEmpty()) {
            nextTickAt = Long.MAX_VALUE;
        } else if (currentMachine == null) {
            nextTickAt = connectAt;
        } else {
            long next = Math.min(Math.min(lastReceivedAt + settings.silenceTimeoutMicros(), Math.max(lastReceivedAt, subscribedAt) + settings.resubscribeMicros()), Math.min(Math.min(subscribeAt, fetchAt), ackAt));
            next = fetching ? Math.min(next, fetchProgressAt + settings.fetchStallTimeoutMicros()) : next;
            next = behindSince == 0 ? next : Math.min(next, behindSince + settings.silenceTimeoutMicros());
            next = machineIndex == 0 || fetching || assembly != null ? next : Math.min(next, failbackAt);
            nextTickAt = Math.max(now, next);
        }
    }

    private void connect(long now) {
        currentMachine = machines.get(machineIndex);
        lastReceivedAt = now;
        behindSince = 0;
        failbackAt = now + settings.failbackMicros() + (long) (random.nextDouble() * settings.failbackMicros());
        ackAt = now + settings.ackDelayMicros();
        sendSubscribe(now);
    }

    private void sendSubscribe(long now) {
        subscribedAt = now;
        subscribeAt = Long.MAX_VALUE;
        actions.send(currentMachine, new Message.Subscribe(table.revision(), zone));
    }

    private void scheduleSubscribe(long now) {
        subscribeAt = Math.min(subscribeAt, Math.max(now, subscribedAt + MIN_SUBSCRIBE_INTERVAL_MICROS));
    }

    private void disconnect(long now) {
        String previous = currentMachine;
        currentMachine = null;
        disconnectedSince = disconnectedSince == 0 ? Math.max(1, now) : disconnectedSince;
        fetching = false;
        fetchAt = Long.MAX_VALUE;
        subscribeAt = Long.MAX_VALUE;
        fetchAttempts = 0;
        actions.disconnect(previous);
    }

    /** Moves to the next machine. {@code event} is null if operators have already been told. */
    private void failOver(long now, String event, String reason) {
        if (event != null) {
            actions.event(event, currentMachine + ": " + reason);
        }
        long silentSince = lastReceivedAt;
        disconnect(now);
        disconnectedSince = Math.max(1, Math.min(disconnectedSince, silentSince));
        machineIndex = (machineIndex + 1) % machines.size();
        // A single machine is retried after a delay; another one is contacted at once.
        connectAt = machines.size() > 1 ? now : now + (long) (random.nextDouble() * settings.reconnectSpreadMicros());
    }

    /** The connection to a machine was closed or could not be opened. */
    public void outboundClosed(long now, String from) {
        extendTimeouts(now);
        if (from.equals(currentMachine)) {
            disconnect(now);
            machineIndex = (machineIndex + 1) % machines.size();
            connectAt = now + (long) (random.nextDouble() * (settings.reconnectSpreadMicros() << Math.min(MAX_BACKOFF_SHIFT, failures)));
            failures++;
        }
        tick(now);
    }

    /** Handles a message of a machine whose identity has been verified. */
    public void received(long now, String from, Message message) {
        extendTimeouts(now);
        if (from.equals(currentMachine)) {
            if (disconnectedSince != 0 && now - disconnectedSince >= settings.silenceTimeoutMicros()) {
                actions.event("config_heard", currentMachine + ": after " + (now - disconnectedSince) / 1_000_000 + " s without any machine");
            }
            lastReceivedAt = now;
            disconnectedSince = 0;
            silenceReported = false;
            failures = 0;
            if (message instanceof Message.Deltas deltas) {
                handleDeltas(now, deltas.deltas());
            } else if (message instanceof Message.Heartbeat heartbeat) {
                handleHeartbeat(now, heartbeat.revision());
            } else if (message instanceof Message.SnapshotNeeded needed) {
                handleSnapshotNeeded(now, needed);
            } else if (message instanceof Message.SnapshotChunk chunk) {
                handleChunk(now, chunk);
            } else if (message instanceof Message.RetryAfter retry) {
                handleRetryAfter(now, retry);
            } else {
                failOver(now, "config_unexpected", "expected a publisher's message, found " + message.getClass().getSimpleName());
            }
        }
        tick(now);
    }

    // ---- deltas

    private void handleHeartbeat(long now, Revision revision) {
        if (revision.equals(table.revision())) {
            clearDisagreement();
            ready = true;
        } else if (revision.isForkOf(table.revision())) {
            handleFork(now, "expected " + table.revision() + ", found " + revision);
        } else if (revision.isAfter(table.revision())) {
            behindSince = 0;
            if (!fetching && fetchAt == Long.MAX_VALUE) {
                scheduleSubscribe(now);
            }
        } else if (behindSince == 0) {
            behindSince = now;
        }
    }

    private void clearDisagreement() {
        disagreeingMachines.clear();
        behindSince = 0;
    }

    private void handleDeltas(long now, List<Delta> deltas) {
        List<Delta> pending = new ArrayList<>();
        // revision once the deltas before are applied; a delta that states a wrong one is detected by applying it
        Revision revision = table.revision();
        String problem = null;
        boolean gap = false;
        for (Delta each : deltas) {
            if (each.to().isForkOf(revision)) {
                problem = "expected " + revision + ", found " + each.to();
                break;
            }
            if (!each.to().isAfter(revision)) {
                continue;  // duplicate
            }
            if (each.from() != revision.number() || each.to().epoch() != revision.epoch()) {
                gap = true;
                break;
            }
            pending.add(each);
            revision = each.to();
        }
        Table.ApplyResult result = table.applyDeltas(pending);
        if (result.problem() != null) {
            problem = result.problem();  // takes precedence over a problem found in a later delta
        } else if (gap) {
            scheduleSubscribe(now);  // an earlier message was lost
        }
        if (result.appliedCount() > 0) {
            List<Delta> applied = pending.subList(0, result.appliedCount());
            applied.forEach(each -> unackedBytes += History.sizeBytes(each));
            clearDisagreement();
            abandonSnapshot();
            replaceTable(result.table(), applied);
        }
        if (problem != null) {
            handleFork(now, problem);
        }
    }

    private void abandonSnapshot() {
        assembly = null;
        fetching = false;
        fetchAt = Long.MAX_VALUE;
        fetchAttempts = 0;
    }

    private void replaceTable(Table next, List<Delta> deltas) {
        table = next;
        ready = true;
        actions.table(next, deltas);
    }

    /**
     * The machine has a state that differs from the local one: ask the next machine, if there is one, which of the two
     * is right.
     */
    private void handleFork(long now, String reason) {
        if (fetching || fetchAt != Long.MAX_VALUE) {
            return;
        }
        actions.event("config_forked", currentMachine + ": " + reason);
        boolean confirmed = !disagreeingMachines.add(currentMachine);  // still in the set, so no machine has confirmed the local state since
        if (confirmed || disagreeingMachines.size() >= Math.min(2, machines.size())) {
            fetchAt = now;
        } else {
            failOver(now, "config_asks_another", "different state at number " + table.revision().number());
        }
    }

    // ---- snapshots

    private void handleSnapshotNeeded(long now, Message.SnapshotNeeded needed) {
        if (needed.revision().isForkOf(table.revision()) || needed.revision().isAfter(table.revision()) && needed.reason().startsWith(Publisher.FORKED_REASON_PREFIX)) {
            handleFork(now, needed.reason());
        } else if (needed.revision().isAfter(table.revision())) {
            if (!fetching && fetchAt == Long.MAX_VALUE) {
                actions.event("config_snapshot", currentMachine + ": from " + table.revision().number() + " to " + needed.revision().number() + ", since " + needed.reason());
                fetchAt = now;
            }
        }
    }

    private void sendFetch(long now) {
        assembly = assembly == null ? table.newAssembly() : assembly;
        fetching = true;
        fetchAt = Long.MAX_VALUE;
        fetchProgressAt = now;
        uncreditedChunks = 0;
        actions.send(currentMachine, new Message.Fetch(assembly.digests(), settings.creditChunks()));
    }

    private void handleRetryAfter(long now, Message.RetryAfter retry) {
        long wait = Math.max(0, Math.min(MAX_RETRY_AFTER_MILLIS, retry.millis())) * 1_000L;
        fetching = false;
        fetchAt = now + wait + (long) (random.nextDouble() * settings.reconnectSpreadMicros());
    }

    private void handleChunk(long now, Message.SnapshotChunk chunk) {
        if (!fetching) {
            return;  // of a snapshot that was abandoned
        }
        String problem = assembly.add(chunk);
        if (problem != null) {
            abandonSnapshot();
            failOver(now, "config_bad_snapshot", problem);
            return;
        }
        fetchProgressAt = now;
        uncreditedChunks++;
        if (chunk.last()) {
            finishSnapshot(now);
        } else if (uncreditedChunks >= Math.max(1, settings.creditChunks() / 2)) {
            actions.send(currentMachine, new Message.Credit(uncreditedChunks));
            uncreditedChunks = 0;
        }
    }

    private void finishSnapshot(long now) {
        fetching = false;
        Table assembled = assembly.finish();
        if (assembled == null && ++fetchAttempts < MAX_FETCH_ATTEMPTS) {
            fetchAt = now;  // a chunk was lost, or the chunks are of two revisions: fetch what still differs
        } else if (assembled == null) {
            String problem = assembly.problem();
            abandonSnapshot();
            failOver(now, "config_bad_snapshot", problem);
        } else {
            boolean isNewer = assembled.revision().isAfter(table.revision()) || assembled.revision().isForkOf(table.revision());
            abandonSnapshot();
            clearDisagreement();
            if (isNewer) {
                replaceTable(assembled, List.of());
            }
            sendSubscribe(now);
        }
    }

    // ---- acknowledgements

    /** Acknowledges a revision that is active here, or was relayed. */
    public void acknowledge(long now, Revision revision) {
        activeRevision = revision;
        pendingNack = null;
        ackAt = Math.min(ackAt, unackedBytes >= IMMEDIATE_ACK_BYTES ? now : now + settings.ackDelayMicros());
        tick(now);
    }

    /**
     * Rejects a revision that cannot be activated; the previous one stays active, and later revisions are still
     * received.
     */
    public void reject(long now, Revision revision, String reason) {
        pendingNack = new Message.Nack(revision, activeRevision == null ? Revision.empty(revision.epoch()) : activeRevision,
                reason.substring(0, Math.min(reason.length(), MAX_REASON_CHARS)));
        if (currentMachine != null) {
            actions.send(currentMachine, pendingNack);
        }
        scheduleNextTick(now);
    }

    /** Reports the status of a relay's own subscribers, also if it has none; lost if no machine is connected. */
    public void sendSummary(List<Message.ZoneSummary> zones) {
        if (currentMachine != null) {
            actions.send(currentMachine, new Message.Summary(zones));
        }
    }
}
