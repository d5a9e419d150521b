package mastdrift.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.stream.Stream;

/**
 * Deterministic simulation of voters, relays and gateways, each made of the production classes combined as in the
 * program, over a network and processes that fail. It uses a virtual clock: a seed determines the run.
 * <p>Invariants checked throughout: a table taken by a process is the agreed one at that number, and is never earlier
 * than its previous one.
 */
final class DistributionSimulation {

    static final long SECOND_MICROS = 1_000_000;
    static final long HOUR_MICROS = 3_600 * SECOND_MICROS;
    private static final int RETAINED_LOG_ENTRIES = 40;  // entries that the log keeps for voters that lag

    /** Kind of a fault. */
    enum FaultKind { LOSS, DELAY, DUPLICATE, REORDER, PARTITION, ONE_WAY, FREEZE, KILL, KILL_AND_LOSE_TABLE, KILL_AND_RESTORE_OLD_TABLE, FORK, LOG_DELAY }

    /**
     * A fault in a span of time, at a node (a partition separates the nodes with smaller numbers from the others), of
     * this magnitude.
     */
    record Fault(FaultKind kind, long from, long until, int node, int peer, double magnitude) {
        boolean isActive(long now) {
            return now >= from && now < until;
        }
    }

    /**
     * Parameters of a simulation. {@code epochRaisedAt}: when all voters are stopped and the log is started anew in the
     * next epoch; 0 for never.
     */
    record Plan(int voters, int relays, int gateways, long lastActivityAt, List<Fault> faults, PublisherSettings publisher, SubscriberSettings subscriber, long meanChangeIntervalMicros, long epochRaisedAt) {

        /** Up to eight random faults, over by {@code lastActivityAt}. */
        static Plan random(long seed, boolean allowForks) {
            Random random = new Random(seed * 31 + 7);
            int voters = random.nextBoolean() ? 3 : 5;
            int relays = random.nextInt(4);
            int gateways = 4 + random.nextInt(5);
            long lastActivityAt = 40 * SECOND_MICROS;
            List<Fault> faults = new ArrayList<>();
            for (int i = random.nextInt(8); i >= 0; i--) {
                FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
                int nodes = voters + relays + gateways;
                int node = random.nextInt(nodes);
                if (kind == FaultKind.FORK && (!allowForks || node < voters)) {
                    continue;
                }
                if ((kind == FaultKind.KILL_AND_LOSE_TABLE || kind == FaultKind.KILL_AND_RESTORE_OLD_TABLE) && node >= voters / 2 && node < voters) {
                    kind = FaultKind.KILL;  // a majority of the voters keeps its disk contents
                }
                long from = 4 * SECOND_MICROS + (long) (random.nextDouble() * 30 * SECOND_MICROS);
                long length = kind == FaultKind.FREEZE ? 10 * SECOND_MICROS : (long) (random.nextDouble() * 15 * SECOND_MICROS);
                double amount = kind == FaultKind.DELAY ? 3 * SECOND_MICROS * random.nextDouble() : kind == FaultKind.LOG_DELAY ? 8 * SECOND_MICROS * random.nextDouble() : random.nextDouble() * 0.8;
                faults.add(new Fault(kind, from, Math.min(lastActivityAt, from + length), node, random.nextInt(nodes), amount));
            }
            PublisherSettings publisher = new PublisherSettings(200_000, 2 * SECOND_MICROS, 1 + random.nextInt(4), 64, 8_000 + random.nextInt(20_000), 20 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 200 + random.nextInt(2_000));
            return new Plan(voters, relays, gateways, lastActivityAt, faults, publisher, SubscriberSettings.DEFAULTS, 120_000 + random.nextInt(800_000), 0);
        }

        /**
         * At the daily rate of 15,000 changes, some relays and gateways are partitioned from the others for an hour.
         */
        static Plan longPartition(long seed) {
            Random random = new Random(seed * 13 + 5);
            int voters = 3;
            int relays = random.nextInt(3);
            int gateways = 3 + random.nextInt(2);
            int firstIsolated = voters + random.nextInt(relays + gateways);
            Fault cut = new Fault(FaultKind.PARTITION, 10 * SECOND_MICROS, 10 * SECOND_MICROS + HOUR_MICROS, firstIsolated, 0, 0);
            return new Plan(voters, relays, gateways, cut.until, List.of(cut), PublisherSettings.DEFAULTS, SubscriberSettings.DEFAULTS, 86_400 * SECOND_MICROS / 15_000, 0);
        }

        /**
         * Up to eight random faults, and the epoch is raised among them. From then on voters keep their disk contents:
         * one of them may hold the only copy of the table that the epoch starts from.
         */
        static Plan withRaisedEpoch(long seed) {
            Plan base = random(seed, false);
            long raisedAt = 12 * SECOND_MICROS + (long) (new Random(seed * 17 + 3).nextDouble() * 12 * SECOND_MICROS);
            List<Fault> faults = new ArrayList<>();
            for (Fault each : base.faults) {
                boolean losesTable = (each.kind == FaultKind.KILL_AND_LOSE_TABLE || each.kind == FaultKind.KILL_AND_RESTORE_OLD_TABLE) && each.node < base.voters && each.until > raisedAt;
                faults.add(losesTable ? new Fault(FaultKind.KILL, each.from, each.until, each.node, each.peer, each.magnitude) : each);
            }
            return new Plan(base.voters, base.relays, base.gateways, base.lastActivityAt, faults, base.publisher, base.subscriber, base.meanChangeIntervalMicros, raisedAt);
        }
    }

    private record Event(long time, long sequence, Runnable action) { }

    /** Connection of a subscriber to a machine. */
    private static final class Connection {
        private final long id;
        private final Node subscriber;
        private final long subscriberIncarnation;
        private long machineIncarnation;
        private long lastDeliveryToMachine;
        private long lastDeliveryToSubscriber;

        Connection(long id, Node subscriber) {
            this.id = id;
            this.subscriber = subscriber;
            subscriberIncarnation = subscriber.incarnation;
        }
    }

    /** A process. */
    final class Node {
        final String name;
        final int number;
        final List<String> events = new ArrayList<>();
        Subscriber subscriber;
        Publisher publisher;
        Store store;
        boolean running;
        long incarnation;
        long snapshotCount;
        private final List<Table> storedTables = new ArrayList<>();  // copies of the stored table, the newest last
        private final Queue<Runnable> deferredActions = new ArrayDeque<>();
        private final Map<String, Connection> outbound = new HashMap<>();  // outbound, as a subscriber
        private final Map<String, Connection> inbound = new HashMap<>();  // inbound, as a machine, by subscriber
        private long timerAt = Long.MAX_VALUE;
        private long logContactAt;  // last contact with the log
        private long nextLogOrdinal = 1;
        private Revision lastRevision;

        Node(String name, int number) {
            this.name = name;
            this.number = number;
        }

        Table table() {
            return store != null ? store.table() : subscriber.table();
        }

        private boolean isVoter() {
            return number < plan.voters;
        }

        private boolean isRelay() {
            return !isVoter() && number < plan.voters + plan.relays;
        }

        private String zone() {
            return "r" + number % 2 + "-" + number % 3;
        }

        void start(Table initial) {
            running = true;
            incarnation++;
            subscriber = null;
            publisher = null;
            store = null;
            deferredActions.clear();
            outbound.clear();
            inbound.clear();
            lastRevision = initial.revision();
            logContactAt = now;
            nextLogOrdinal = 1;
            if (isVoter()) {
                store = new Store(initial, epoch, new Store.Actions() {
                    @Override
                    public void table(Table next, List<Delta> deltas) {
                        verifyAndStore(next, deltas);
                    }

                    @Override
                    public void event(String event, String text) {
                        events.add(event + " " + text);
                    }
                });
            } else {
                subscribe(initial);
            }
            if (isVoter() || isRelay()) {
                publisher = new Publisher(initial, plan.publisher, new Publisher.Actions() {
                    @Override
                    public void send(String to, Message message) {
                        sendToSubscriber(Node.this, to, message);
                    }

                    @Override
                    public void drop(String of, String why) {
                        Connection connection = inbound.remove(of);
                        if (connection != null) {
                            notifySubscriberClosed(Node.this, connection);
                        }
                    }

                    @Override
                    public void event(String event, String text) {
                        events.add(event + " " + text);
                    }
                });
            }
            runDeferred();
        }

        private void subscribe(Table initial) {
            subscriber = new Subscriber(name, zone(), initial, plan.subscriber, random.nextLong(), new Subscriber.Actions() {
                @Override
                public void send(String to, Message message) {
                    sendToMachine(Node.this, nodes.get(to), message);
                }

                @Override
                public void disconnect(String machine) {
                    notifyMachineClosed(outbound.remove(machine), nodes.get(machine));
                }

                @Override
                public void table(Table next, List<Delta> deltas) {
                    if (isVoter()) {
                        Subscriber of = subscriber;
                        deferredActions.add(() -> store.installTable(next));
                        deferredActions.add(() -> of.acknowledge(now, next.revision()));
                    } else {
                        verifyAndStore(next, deltas);
                    }
                }

                @Override
                public void event(String event, String text) {
                    events.add(event + " " + text);
                }
            });
            Stream<Node> machines = nodes.values().stream().filter(each -> each != this && (isVoter() || isRelay() || plan.relays == 0 ? each.isVoter() : each.isRelay()));
            List<ControlMachine> known = machines.map(each -> new ControlMachine(each.name, each.zone())).toList();
            Subscriber started = subscriber;
            deferredActions.add(() -> started.setMachines(now, known));
        }

        private void verifyAndStore(Table next, List<Delta> deltas) {
            Revision revision = next.revision();
            if (plan.faults.stream().noneMatch(each -> each.kind == FaultKind.FORK)) {
                assertTrue(revision.isAfter(lastRevision), () -> name + " went back from " + lastRevision + " to " + revision + ", seed " + seed + " " + plan);
                Table agreed = agreedTables.get((int) revision.epoch() - 1).get((int) revision.number());
                assertEquals(agreed == null ? null : agreed.revision(), revision, () -> name + " has a state that was never agreed on, seed " + seed + " " + plan);
            } else {
                assertTrue(revision.isAfter(lastRevision) || revision.isForkOf(lastRevision), () -> name + " went back from " + lastRevision + " to " + revision + ", seed " + seed + " " + plan);
            }
            lastRevision = revision;
            snapshotCount += deltas.isEmpty() ? 1 : 0;
            if (storedTables.isEmpty() || random.nextInt(10) < 7) {
                storedTables.add(next);
                if (storedTables.size() > 8) {
                    storedTables.remove(random.nextInt(6));
                }
            }
            if (publisher != null) {
                deferredActions.add(() -> publisher.table(now, next, deltas));
            }
            if (!isVoter()) {
                Subscriber of = subscriber;
                deferredActions.add(() -> of.acknowledge(now, revision));
            }
        }

        /** Runs the deferred consequences of an event and schedules the next tick. */
        private void runDeferred() {
            for (Runnable next = deferredActions.poll(); next != null; next = deferredActions.poll()) {
                next.run();
            }
            if (store != null && store.lastMissingOrdinal() != 0 && subscriber == null) {
                subscribe(store.table());
                runDeferred();
                return;
            }
            if (store != null && store.lastMissingOrdinal() == 0 && subscriber != null) {
                outbound.forEach((machine, connection) -> notifyMachineClosed(connection, nodes.get(machine)));
                outbound.clear();
                subscriber = null;
            }
            if (publisher != null) {
                boolean sourceUnreachable = isVoter() ? now - logContactAt > 6 * SECOND_MICROS || !store.isEpochStarted() || store.lastMissingOrdinal() != 0 : subscriber.disconnectedSince() != 0;
                if (sourceUnreachable != publisher.status().sourceUnreachable()) {
                    publisher.setSourceUnreachable(now, sourceUnreachable);
                }
            }
            long nextTickAt = Math.min(subscriber == null ? Long.MAX_VALUE : subscriber.dueAt(), publisher == null ? Long.MAX_VALUE : publisher.dueAt());
            if (nextTickAt < timerAt) {
                timerAt = nextTickAt;
                long token = nextTickAt;
                schedule(this, incarnation, Math.max(now, nextTickAt), () -> {
                    if (timerAt == token) {
                        timerAt = Long.MAX_VALUE;
                        if (subscriber != null && now >= subscriber.dueAt()) {
                            subscriber.tick(now);
                        }
                        if (publisher != null && now >= publisher.dueAt()) {
                            publisher.tick(now);
                        }
                    }
                });
            }
        }

        private void kill() {
            running = false;
            timerAt = Long.MAX_VALUE;
            outbound.forEach((machine, connection) -> notifyMachineClosed(connection, nodes.get(machine)));
            inbound.values().forEach(each -> notifySubscriberClosed(this, each));
            outbound.clear();
            inbound.clear();
        }
    }

    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Plan plan;
    private final long seed;
    private final Random random;
    private final PriorityQueue<Event> queue = new PriorityQueue<>((a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence));
    private final List<Command> log = new ArrayList<>();  // of the current epoch
    // by epoch and number; null where an epoch has no state at that number
    private final List<List<Table>> agreedTables = new ArrayList<>();
    private long epoch = 1;
    private long now = 1;
    private long nextSequence;
    long messageCount;
    int logLength;  // in the last epoch

    private DistributionSimulation(Plan plan, long seed) {
        this.plan = plan;
        this.seed = seed;
        random = new Random(seed);
    }

    /** Runs until 12 s after the last fault and the last change, and asserts that every node has the last change. */
    static DistributionSimulation simulate(Plan plan, long seed) {
        DistributionSimulation simulation = new DistributionSimulation(plan, seed);
        simulation.run();
        return simulation;
    }

    private void run() {
        agreedTables.add(new ArrayList<>(List.of(Table.empty(1))));
        List<Node> all = new ArrayList<>();
        for (int i = 0; i < plan.voters + plan.relays + plan.gateways; i++) {
            all.add(new Node("n" + i, i));
            nodes.put("n" + i, all.get(i));
        }
        all.forEach(each -> schedule((long) (random.nextDouble() * 2 * SECOND_MICROS), () -> {
            if (!each.running && each.incarnation == 0) {
                each.start(initialTable(each));
            }
        }));
        appendChange();
        if (plan.epochRaisedAt > 0) {
            schedule(plan.epochRaisedAt, this::raiseEpoch);
        }
        all.subList(0, plan.voters).forEach(this::deliverLog);
        for (Fault fault : plan.faults) {
            Node node = all.get(fault.node);
            if (fault.kind == FaultKind.KILL || fault.kind == FaultKind.KILL_AND_LOSE_TABLE || fault.kind == FaultKind.KILL_AND_RESTORE_OLD_TABLE || fault.kind == FaultKind.FORK) {
                schedule(fault.from, () -> {
                    if (node.running) {
                        node.kill();
                    }
                });
                schedule(fault.until, () -> {
                    if (!node.running) {
                        node.start(restoredTable(node, fault.kind));
                    }
                });
            }
        }
        long end = plan.lastActivityAt + 12 * SECOND_MICROS;
        for (Event next = queue.poll(); next != null && next.time <= end; next = queue.poll()) {
            now = next.time;
            next.action.run();
        }
        now = end;
        logLength = log.size();
        for (Node each : all) {
            assertEquals(agreedTablesOfEpoch().get(log.size()).revision(), each.table().revision(), () -> each.name + " at " + (each.subscriber == null ? "" : each.subscriber.currentMachine()) + " with " + each.events
                    + " 12 s after the last of seed " + seed + " " + plan);
        }
    }

    private Table restoredTable(Node node, FaultKind kind) {
        if (kind == FaultKind.FORK) {
            Table latest = node.storedTables.isEmpty() ? initialTable(node) : node.storedTables.get(node.storedTables.size() - 1);
            return latest.revision().number() == 0 ? latest : TestChanges.requireApplied(Table.empty(1).apply(latest.revision().number(), TestChanges.of("forged", TestChanges.put("n1", "forged")))).table();
        }
        if (kind == FaultKind.KILL_AND_LOSE_TABLE || node.storedTables.isEmpty()) {
            node.storedTables.clear();
            return initialTable(node);
        }
        return kind == FaultKind.KILL ? node.storedTables.get(node.storedTables.size() - 1) : node.storedTables.get(random.nextInt(node.storedTables.size()));
    }

    /** Table of a process that has no stored one. */
    private Table initialTable(Node node) {
        return node.isVoter() || node.isRelay() ? Store.initialTable(epoch) : Table.empty(epoch);
    }

    private List<Table> agreedTablesOfEpoch() {
        return agreedTables.get((int) epoch - 1);
    }

    // ---- epochs

    /**
     * The log is lost. Voters are stopped at different revisions, in some runs one of them also loses its stored table,
     * and they restart in a later epoch.
     */
    private void raiseEpoch() {
        epoch++;
        log.clear();
        agreedTables.add(new ArrayList<>());
        agreedTables.get(agreedTables.size() - 1).add(null);
        int voterWithoutDisk = random.nextInt(2) - 1;
        for (Node each : nodes.values()) {
            if (each.isVoter()) {
                if (each.running) {
                    each.kill();
                }
                int keptCopies = each.number == voterWithoutDisk || each.storedTables.isEmpty() ? 0 : 1 + random.nextInt(each.storedTables.size());
                each.storedTables.subList(keptCopies, each.storedTables.size()).clear();
                schedule(now + (long) (random.nextDouble() * 3 * SECOND_MICROS), () -> {
                    if (!each.running) {
                        each.start(restoredTable(each, FaultKind.KILL));
                    }
                });
            }
        }
    }

    /** A voter proposes that the epoch starts from its table; the first proposal wins. */
    private void proposeEpochStart(Node voter) {
        Revision from = voter.store.epochStartCandidate();
        if (from != null && log.isEmpty()) {
            Table base = voter.store.table();
            log.add(new EpochStart(from));
            agreedTablesOfEpoch().add((base.revision().epoch() == epoch ? base : base.withEpoch(epoch)).advanceTo(1).table());
        }
    }

    // ---- the replicated log

    private void appendChange() {
        Table previous = agreedTablesOfEpoch().get(log.size());
        if (previous != null) {
            long number = log.size() + 1;
            Change change = random.nextInt(30) == 0 ? null : TestChanges.randomChange(random, "c" + number);
            Outcome outcome = change == null ? new Outcome.Conflict("") : previous.apply(number, change);
            log.add(change);
            agreedTablesOfEpoch().add(outcome instanceof Outcome.Applied applied ? applied.table() : previous.advanceTo(number).table());
        }
        long next = now + (long) (-plan.meanChangeIntervalMicros * Math.log(1 - random.nextDouble()));
        if (next < plan.lastActivityAt) {
            schedule(next, this::appendChange);
        }
    }

    /**
     * The first entry that the log still has. Entries are discarded only once they are in the stored table of one of
     * the majority of voters that keeps it, since that voter follows its own log.
     */
    private long firstRetainedOrdinal() {
        long storedNumber = nodes.values().stream().filter(each -> each.isVoter() && each.number >= plan.voters / 2 && !each.storedTables.isEmpty())
                .map(each -> each.storedTables.get(each.storedTables.size() - 1).revision()).filter(each -> each.epoch() == epoch).mapToLong(Revision::number).max().orElse(0);
        return Math.max(1, Math.min(log.size() - RETAINED_LOG_ENTRIES, storedNumber) + 1);
    }

    /**
     * Delivers the log to a voter every 0.1 s, in simulations of hours every second, later for a delayed voter; a
     * delivery without new entries counts as contact.
     */
    private void deliverLog(Node voter) {
        long delay = 0;
        for (Fault each : plan.faults) {
            delay = each.kind == FaultKind.LOG_DELAY && each.node == voter.number && each.isActive(now) ? Math.max(delay, (long) each.magnitude) : delay;
        }
        schedule(voter, voter.incarnation, now + delay + random.nextInt(20_000), () -> {
            voter.logContactAt = now;
            voter.nextLogOrdinal = Math.max(voter.nextLogOrdinal, firstRetainedOrdinal());
            for (; voter.nextLogOrdinal <= log.size(); voter.nextLogOrdinal++) {
                voter.store.applyEntry(voter.nextLogOrdinal, "c" + voter.nextLogOrdinal, log.get((int) voter.nextLogOrdinal - 1));
                if (random.nextInt(4) == 0) {
                    voter.nextLogOrdinal++;
                    break;
                }
            }
            if (random.nextInt(4) == 0) {
                proposeEpochStart(voter);
            }
        });
        schedule(now + (plan.lastActivityAt < HOUR_MICROS ? 100_000 : SECOND_MICROS) + delay, () -> deliverLog(voter));
    }

    // ---- scheduling and processes

    private void schedule(long when, Runnable action) {
        queue.add(new Event(when, nextSequence++, action));
    }

    /** Runs an action in the given incarnation of a process, after a freeze if there is one. */
    private void schedule(Node node, long incarnation, long when, Runnable action) {
        schedule(when, () -> {
            if (!node.running || node.incarnation != incarnation) {
                return;
            }
            long until = now;
            for (Fault each : plan.faults) {
                until = each.kind == FaultKind.FREEZE && each.node == node.number && each.isActive(now) ? Math.max(until, each.until) : until;
            }
            if (until > now) {
                schedule(node, incarnation, until, action);
            } else {
                action.run();
                node.runDeferred();
            }
        });
    }

    // ---- the network

    /** Delivery time of a message; negative if it is lost. */
    private long deliveryTime(int from, int to, long lastDelivery) {
        messageCount++;
        long delay = (long) (-2_000 * Math.log(1 - random.nextDouble()));
        boolean inOrder = true;
        for (Fault fault : plan.faults) {
            if (!fault.isActive(now)) {
                continue;
            }
            boolean lost = switch (fault.kind) {
                case PARTITION -> from < fault.node != to < fault.node;
                case ONE_WAY -> from == fault.node && (to == fault.peer || fault.magnitude < 0.4);
                case LOSS -> random.nextDouble() < fault.magnitude;
                default -> false;
            };
            if (lost) {
                return -1;
            }
            delay += fault.kind == FaultKind.DELAY ? (long) (fault.magnitude * random.nextDouble()) : fault.kind == FaultKind.REORDER ? random.nextInt(500_000) : 0;
            inOrder &= fault.kind != FaultKind.REORDER;
        }
        return inOrder ? Math.max(lastDelivery + 1, now + delay) : now + delay;
    }

    private boolean isDuplicated() {
        boolean duplicate = false;
        for (Fault each : plan.faults) {
            duplicate |= each.kind == FaultKind.DUPLICATE && each.isActive(now) && random.nextDouble() < each.magnitude;
        }
        return duplicate;
    }

    private void sendToMachine(Node from, Node to, Message message) {
        Connection connection = from.outbound.computeIfAbsent(to.name, name -> new Connection(nextSequence++, from));
        for (int copies = isDuplicated() ? 2 : 1; copies > 0; copies--) {
            long when = deliveryTime(from.number, to.number, connection.lastDeliveryToMachine);
            if (when >= 0) {
                connection.lastDeliveryToMachine = when;
                schedule(when, () -> deliverToMachine(to, connection, message));
            }
        }
    }

    private void deliverToMachine(Node to, Connection connection, Message message) {
        if (!to.running || connection.machineIncarnation != 0 && connection.machineIncarnation != to.incarnation || to.publisher == null) {
            notifySubscriberClosed(to, connection);
            return;
        }
        connection.machineIncarnation = to.incarnation;
        schedule(to, to.incarnation, now, () -> {
            Connection known = to.inbound.get(connection.subscriber.name);
            if (known == null || known.id <= connection.id) {
                to.inbound.put(connection.subscriber.name, connection);
                to.publisher.received(now, connection.subscriber.name, message);
            }
        });
    }

    private void sendToSubscriber(Node from, String to, Message message) {
        Connection connection = from.inbound.get(to);
        for (int copies = connection == null ? 0 : isDuplicated() ? 2 : 1; copies > 0; copies--) {
            long when = deliveryTime(from.number, connection.subscriber.number, connection.lastDeliveryToSubscriber);
            if (when >= 0) {
                connection.lastDeliveryToSubscriber = when;
                schedule(connection.subscriber, connection.subscriberIncarnation, when, () -> {
                    if (connection.subscriber.outbound.get(from.name) == connection) {
                        connection.subscriber.subscriber.received(now, from.name, message);
                    }
                });
            }
        }
    }

    /** Notifies a subscriber, unless the network loses it, that its connection was closed. */
    private void notifySubscriberClosed(Node machine, Connection connection) {
        long when = deliveryTime(machine.number, connection.subscriber.number, connection.lastDeliveryToSubscriber);
        if (when >= 0) {
            schedule(connection.subscriber, connection.subscriberIncarnation, when, () -> {
                if (connection.subscriber.outbound.remove(machine.name, connection)) {
                    connection.subscriber.subscriber.outboundClosed(now, machine.name);
                }
            });
        }
    }

    private void notifyMachineClosed(Connection connection, Node machine) {
        long when = connection == null ? -1 : deliveryTime(connection.subscriber.number, machine.number, connection.lastDeliveryToMachine);
        if (when >= 0) {
            schedule(machine, machine.incarnation, when, () -> {
                if (machine.inbound.remove(connection.subscriber.name, connection)) {
                    machine.publisher.inboundClosed(now, connection.subscriber.name);
                }
            });
        }
    }
}
