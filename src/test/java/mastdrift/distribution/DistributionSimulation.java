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
 * Voters, control machines that pass on, and gateways, each the program's own deciders put together as the composition does, over a network and processes that fail. On a virtual clock: one seed is one run.
 *
 * <p>Checked all the while: what a process takes is what the agreed order gives by that number, and is never before what it had.
 */
final class DistributionSimulation {

    static final long SECOND = 1_000_000;
    static final long HOUR = 3_600 * SECOND;
    private static final int KEPT = 40;  // decisions that the log keeps for those who follow

    /** What goes wrong. */
    enum FaultKind { LOSS, DELAY, DOUBLE, REORDER, CUT, ONE_WAY, FREEZE, KILL, KILL_EMPTY, KILL_OLDER, FORGE, LOG_LATE }

    /** In a span of time, at a node (the first so many by number for a cut), by so much. */
    record Fault(FaultKind kind, long from, long until, int one, int other, double amount) {
        boolean at(long now) {
            return now >= from && now < until;
        }
    }

    /** What is played. {@code raised}: when all voters are stopped and the log begins anew in the next epoch; 0 for never. */
    record Plan(int voters, int relays, int gateways, long last, List<Fault> faults, PublisherSettings publisher, SubscriberSettings subscriber, long every, long raised) {

        /** Up to eight faults of the seed, over by {@code last}. */
        static Plan drawn(long seed, boolean forged) {
            Random random = new Random(seed * 31 + 7);
            int voters = random.nextBoolean() ? 3 : 5;
            int relays = random.nextInt(4);
            int gateways = 4 + random.nextInt(5);
            long last = 40 * SECOND;
            List<Fault> faults = new ArrayList<>();
            for (int i = random.nextInt(8); i >= 0; i--) {
                FaultKind kind = FaultKind.values()[random.nextInt(FaultKind.values().length)];
                int nodes = voters + relays + gateways;
                int one = random.nextInt(nodes);
                if (kind == FaultKind.FORGE && (!forged || one < voters)) {
                    continue;
                }
                if ((kind == FaultKind.KILL_EMPTY || kind == FaultKind.KILL_OLDER) && one >= voters / 2 && one < voters) {
                    kind = FaultKind.KILL;  // a majority of the voters has its folders
                }
                long from = 4 * SECOND + (long) (random.nextDouble() * 30 * SECOND);
                long length = kind == FaultKind.FREEZE ? 10 * SECOND : (long) (random.nextDouble() * 15 * SECOND);
                double amount = kind == FaultKind.DELAY ? 3 * SECOND * random.nextDouble() : kind == FaultKind.LOG_LATE ? 8 * SECOND * random.nextDouble() : random.nextDouble() * 0.8;
                faults.add(new Fault(kind, from, Math.min(last, from + length), one, random.nextInt(nodes), amount));
            }
            PublisherSettings publisher = new PublisherSettings(200_000, 2 * SECOND, 1 + random.nextInt(4), 64, 8_000 + random.nextInt(20_000), 20 * SECOND, 30 * SECOND, 10 * SECOND, 200 + random.nextInt(2_000));
            return new Plan(voters, relays, gateways, last, faults, publisher, SubscriberSettings.USUAL, 120_000 + random.nextInt(800_000), 0);
        }

        /** At a day's rate, 15,000 changes, and for an hour some machines that pass on and some gateways hear nobody else. */
        static Plan apart(long seed) {
            Random random = new Random(seed * 13 + 5);
            int voters = 3;
            int relays = random.nextInt(3);
            int gateways = 3 + random.nextInt(2);
            int first = voters + random.nextInt(relays + gateways);
            Fault cut = new Fault(FaultKind.CUT, 10 * SECOND, 10 * SECOND + HOUR, first, 0, 0);
            return new Plan(voters, relays, gateways, cut.until, List.of(cut), PublisherSettings.USUAL, SubscriberSettings.USUAL, 86_400 * SECOND / 15_000, 0);
        }

        /** Up to eight faults of the seed, and between them the epoch is raised. From then on voters keep their folders: that of the table which the epoch begins from may be the only one. */
        static Plan raised(long seed) {
            Plan drawn = drawn(seed, false);
            long raised = 12 * SECOND + (long) (new Random(seed * 17 + 3).nextDouble() * 12 * SECOND);
            List<Fault> faults = new ArrayList<>();
            for (Fault each : drawn.faults) {
                boolean loses = (each.kind == FaultKind.KILL_EMPTY || each.kind == FaultKind.KILL_OLDER) && each.one < drawn.voters && each.until > raised;
                faults.add(loses ? new Fault(FaultKind.KILL, each.from, each.until, each.one, each.other, each.amount) : each);
            }
            return new Plan(drawn.voters, drawn.relays, drawn.gateways, drawn.last, faults, drawn.publisher, drawn.subscriber, drawn.every, raised);
        }
    }

    private record Event(long at, long number, Runnable what) { }

    /** A subscriber's connection to a machine. */
    private static final class Connection {
        private final long id;
        private final Node subscriber;
        private final long life;
        private long machineLife;
        private long lastOut;
        private long lastBack;

        Connection(long id, Node subscriber) {
            this.id = id;
            this.subscriber = subscriber;
            life = subscriber.life;
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
        boolean up;
        long life;
        long jumps;
        private final List<Table> disk = new ArrayList<>();  // copies of its folder, the newest last
        private final Queue<Runnable> then = new ArrayDeque<>();
        private final Map<String, Connection> connections = new HashMap<>();  // as a subscriber
        private final Map<String, Connection> accepted = new HashMap<>();  // as a machine, by subscriber
        private long armed = Long.MAX_VALUE;
        private long logAt;  // heard last
        private long logNext = 1;
        private Revision had;

        Node(String name, int number) {
            this.name = name;
            this.number = number;
        }

        Table table() {
            return store != null ? store.table() : subscriber.table();
        }

        private boolean voter() {
            return number < plan.voters;
        }

        private boolean relay() {
            return !voter() && number < plan.voters + plan.relays;
        }

        private String zone() {
            return "r" + number % 2 + "-" + number % 3;
        }

        void start(Table have) {
            up = true;
            life++;
            subscriber = null;
            publisher = null;
            store = null;
            then.clear();
            connections.clear();
            accepted.clear();
            had = have.revision();
            logAt = now;
            logNext = 1;
            if (voter()) {
                store = new Store(have, epoch, new Store.Actions() {
                    @Override
                    public void table(Table next, List<Delta> deltas) {
                        took(next, deltas);
                    }

                    @Override
                    public void event(String event, String text) {
                        events.add(event + " " + text);
                    }
                });
            } else {
                subscribe(have);
            }
            if (voter() || relay()) {
                publisher = new Publisher(have, plan.publisher, new Publisher.Actions() {
                    @Override
                    public void send(String to, Message message) {
                        back(Node.this, to, message);
                    }

                    @Override
                    public void drop(String of, String why) {
                        Connection connection = accepted.remove(of);
                        if (connection != null) {
                            ended(Node.this, connection);
                        }
                    }

                    @Override
                    public void event(String event, String text) {
                        events.add(event + " " + text);
                    }
                });
            }
            after();
        }

        private void subscribe(Table have) {
            subscriber = new Subscriber(name, zone(), have, plan.subscriber, random.nextLong(), new Subscriber.Actions() {
                @Override
                public void send(String to, Message message) {
                    out(Node.this, nodes.get(to), message);
                }

                @Override
                public void leave(String machine) {
                    close(connections.remove(machine), nodes.get(machine));
                }

                @Override
                public void table(Table next, List<Delta> deltas) {
                    if (voter()) {
                        Subscriber of = subscriber;
                        then.add(() -> store.take(next));
                        then.add(() -> of.inForce(now, next.revision()));
                    } else {
                        took(next, deltas);
                    }
                }

                @Override
                public void event(String event, String text) {
                    events.add(event + " " + text);
                }
            });
            Stream<Node> machines = nodes.values().stream().filter(each -> each != this && (voter() || relay() || plan.relays == 0 ? each.voter() : each.relay()));
            List<ControlMachine> named = machines.map(each -> new ControlMachine(each.name, each.zone())).toList();
            Subscriber begun = subscriber;
            then.add(() -> begun.machines(now, named));
        }

        private void took(Table next, List<Delta> deltas) {
            Revision revision = next.revision();
            if (plan.faults.stream().noneMatch(each -> each.kind == FaultKind.FORGE)) {
                assertTrue(revision.after(had), () -> name + " goes from " + had + " back to " + revision + ", seed " + seed + " " + plan);
                Table agreed = truth.get((int) revision.epoch() - 1).get((int) revision.number());
                assertEquals(agreed == null ? null : agreed.revision(), revision, () -> name + " has a state that was never agreed on, seed " + seed + " " + plan);
            } else {
                assertTrue(revision.after(had) || revision.forkedFrom(had), () -> name + " goes from " + had + " back to " + revision + ", seed " + seed + " " + plan);
            }
            had = revision;
            jumps += deltas.isEmpty() ? 1 : 0;
            if (disk.isEmpty() || random.nextInt(10) < 7) {
                disk.add(next);
                if (disk.size() > 8) {
                    disk.remove(random.nextInt(6));
                }
            }
            if (publisher != null) {
                then.add(() -> publisher.table(now, next, deltas));
            }
            if (!voter()) {
                Subscriber of = subscriber;
                then.add(() -> of.inForce(now, revision));
            }
        }

        /** What an event led to, and when it wants to be called again. */
        private void after() {
            for (Runnable next = then.poll(); next != null; next = then.poll()) {
                next.run();
            }
            if (store != null && store.missing() != 0 && subscriber == null) {
                subscribe(store.table());
                after();
                return;
            }
            if (store != null && store.missing() == 0 && subscriber != null) {
                connections.forEach((machine, connection) -> close(connection, nodes.get(machine)));
                connections.clear();
                subscriber = null;
            }
            if (publisher != null) {
                boolean alone = voter() ? now - logAt > 6 * SECOND || !store.begun() || store.missing() != 0 : subscriber.aloneSince() != 0;
                if (alone != publisher.status().alone()) {
                    publisher.alone(now, alone);
                }
            }
            long due = Math.min(subscriber == null ? Long.MAX_VALUE : subscriber.dueAt(), publisher == null ? Long.MAX_VALUE : publisher.dueAt());
            if (due < armed) {
                armed = due;
                long token = due;
                at(this, life, Math.max(now, due), () -> {
                    if (armed == token) {
                        armed = Long.MAX_VALUE;
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
            up = false;
            armed = Long.MAX_VALUE;
            connections.forEach((machine, connection) -> close(connection, nodes.get(machine)));
            accepted.values().forEach(each -> ended(this, each));
            connections.clear();
            accepted.clear();
        }
    }

    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Plan plan;
    private final long seed;
    private final Random random;
    private final PriorityQueue<Event> queue = new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.number, b.number));
    private final List<Command> log = new ArrayList<>();  // of this epoch
    private final List<List<Table>> truth = new ArrayList<>();  // by epoch and number; null where an epoch has no state by that
    private long epoch = 1;
    private long now = 1;
    private long numbers;
    long messages;
    int decided;  // in the last epoch

    private DistributionSimulation(Plan plan, long seed) {
        this.plan = plan;
        this.seed = seed;
        random = new Random(seed);
    }

    /** Plays it until everybody had 12 s after the last fault and the last change, and looks whether all have it. */
    static DistributionSimulation play(Plan plan, long seed) {
        DistributionSimulation world = new DistributionSimulation(plan, seed);
        world.run();
        return world;
    }

    private void run() {
        truth.add(new ArrayList<>(List.of(Table.empty(1))));
        List<Node> all = new ArrayList<>();
        for (int i = 0; i < plan.voters + plan.relays + plan.gateways; i++) {
            all.add(new Node("n" + i, i));
            nodes.put("n" + i, all.get(i));
        }
        all.forEach(each -> at((long) (random.nextDouble() * 2 * SECOND), () -> {
            if (!each.up && each.life == 0) {
                each.start(nothing(each));
            }
        }));
        decide();
        if (plan.raised > 0) {
            at(plan.raised, this::raise);
        }
        all.subList(0, plan.voters).forEach(this::follow);
        for (Fault fault : plan.faults) {
            Node node = all.get(fault.one);
            if (fault.kind == FaultKind.KILL || fault.kind == FaultKind.KILL_EMPTY || fault.kind == FaultKind.KILL_OLDER || fault.kind == FaultKind.FORGE) {
                at(fault.from, () -> {
                    if (node.up) {
                        node.kill();
                    }
                });
                at(fault.until, () -> {
                    if (!node.up) {
                        node.start(folder(node, fault.kind));
                    }
                });
            }
        }
        long end = plan.last + 12 * SECOND;
        for (Event next = queue.poll(); next != null && next.at <= end; next = queue.poll()) {
            now = next.at;
            next.what.run();
        }
        now = end;
        decided = log.size();
        for (Node each : all) {
            assertEquals(agreed().get(log.size()).revision(), each.table().revision(), () -> each.name + " at " + (each.subscriber == null ? "" : each.subscriber.machine()) + " with " + each.events
                    + " 12 s after the last of seed " + seed + " " + plan);
        }
    }

    private Table folder(Node node, FaultKind kind) {
        if (kind == FaultKind.FORGE) {
            Table have = node.disk.isEmpty() ? nothing(node) : node.disk.get(node.disk.size() - 1);
            return have.revision().number() == 0 ? have : TestChanges.applied(Table.empty(1).apply(have.revision().number(), TestChanges.of("forged", TestChanges.put("n1", "forged")))).table();
        }
        if (kind == FaultKind.KILL_EMPTY || node.disk.isEmpty()) {
            node.disk.clear();
            return nothing(node);
        }
        return kind == FaultKind.KILL ? node.disk.get(node.disk.size() - 1) : node.disk.get(random.nextInt(node.disk.size()));
    }

    /** What a process begins with that has no folder. */
    private Table nothing(Node node) {
        return node.voter() || node.relay() ? Store.nothing(epoch) : Table.empty(epoch);
    }

    private List<Table> agreed() {
        return truth.get((int) epoch - 1);
    }

    // ---- epochs

    /** The log is lost. Voters are stopped one as late as the other, one of them has lost its folder too, and come again in a later epoch. */
    private void raise() {
        epoch++;
        log.clear();
        truth.add(new ArrayList<>());
        truth.get(truth.size() - 1).add(null);
        int without = random.nextInt(2) - 1;
        for (Node each : nodes.values()) {
            if (each.voter()) {
                if (each.up) {
                    each.kill();
                }
                int kept = each.number == without || each.disk.isEmpty() ? 0 : 1 + random.nextInt(each.disk.size());
                each.disk.subList(kept, each.disk.size()).clear();
                at(now + (long) (random.nextDouble() * 3 * SECOND), () -> {
                    if (!each.up) {
                        each.start(folder(each, FaultKind.KILL));
                    }
                });
            }
        }
    }

    /** A voter asks that the epoch begins from its table; who is first is heeded. */
    private void begin(Node voter) {
        Revision from = voter.store.toBegin();
        if (from != null && log.isEmpty()) {
            Table base = voter.store.table();
            log.add(new EpochStart(from));
            agreed().add((base.revision().epoch() == epoch ? base : base.begun(epoch)).passed(1).table());
        }
    }

    // ---- the agreed log

    private void decide() {
        Table before = agreed().get(log.size());
        if (before != null) {
            long number = log.size() + 1;
            Change change = random.nextInt(30) == 0 ? null : TestChanges.drawn(random, "c" + number);
            Outcome outcome = change == null ? new Outcome.Conflict("") : before.apply(number, change);
            log.add(change);
            agreed().add(outcome instanceof Outcome.Applied applied ? applied.table() : before.passed(number).table());
        }
        long next = now + (long) (-plan.every * Math.log(1 - random.nextDouble()));
        if (next < plan.last) {
            at(next, this::decide);
        }
    }

    /** The first decision that the log still has: some have gone, but none that isn't in the folder of one of the majority that keeps them, since that one follows what it decides on itself. */
    private long kept() {
        long safe = nodes.values().stream().filter(each -> each.voter() && each.number >= plan.voters / 2 && !each.disk.isEmpty())
                .map(each -> each.disk.get(each.disk.size() - 1).revision()).filter(each -> each.epoch() == epoch).mapToLong(Revision::number).max().orElse(0);
        return Math.max(1, Math.min(log.size() - KEPT, safe) + 1);
    }

    /** A voter hears of the log each 0.1 s, each second in plays of hours; of one that is late later; a heartbeat with nothing new counts. */
    private void follow(Node voter) {
        long late = 0;
        for (Fault each : plan.faults) {
            late = each.kind == FaultKind.LOG_LATE && each.one == voter.number && each.at(now) ? Math.max(late, (long) each.amount) : late;
        }
        at(voter, voter.life, now + late + random.nextInt(20_000), () -> {
            voter.logAt = now;
            voter.logNext = Math.max(voter.logNext, kept());
            for (; voter.logNext <= log.size(); voter.logNext++) {
                voter.store.decided(voter.logNext, "c" + voter.logNext, log.get((int) voter.logNext - 1));
                if (random.nextInt(4) == 0) {
                    voter.logNext++;
                    break;
                }
            }
            if (random.nextInt(4) == 0) {
                begin(voter);
            }
        });
        at(now + (plan.last < HOUR ? 100_000 : SECOND) + late, () -> follow(voter));
    }

    // ---- time and processes

    private void at(long when, Runnable what) {
        queue.add(new Event(when, numbers++, what));
    }

    /** In a life of a process, once it runs. */
    private void at(Node node, long life, long when, Runnable what) {
        at(when, () -> {
            if (!node.up || node.life != life) {
                return;
            }
            long until = now;
            for (Fault each : plan.faults) {
                until = each.kind == FaultKind.FREEZE && each.one == node.number && each.at(now) ? Math.max(until, each.until) : until;
            }
            if (until > now) {
                at(node, life, until, what);
            } else {
                what.run();
                node.after();
            }
        });
    }

    // ---- the network

    /** When a message arrives; negative for never. */
    private long arrives(int from, int to, long last) {
        messages++;
        long delay = (long) (-2_000 * Math.log(1 - random.nextDouble()));
        boolean inOrder = true;
        for (Fault fault : plan.faults) {
            if (!fault.at(now)) {
                continue;
            }
            boolean lost = switch (fault.kind) {
                case CUT -> from < fault.one != to < fault.one;
                case ONE_WAY -> from == fault.one && (to == fault.other || fault.amount < 0.4);
                case LOSS -> random.nextDouble() < fault.amount;
                default -> false;
            };
            if (lost) {
                return -1;
            }
            delay += fault.kind == FaultKind.DELAY ? (long) (fault.amount * random.nextDouble()) : fault.kind == FaultKind.REORDER ? random.nextInt(500_000) : 0;
            inOrder &= fault.kind != FaultKind.REORDER;
        }
        return inOrder ? Math.max(last + 1, now + delay) : now + delay;
    }

    private boolean doubled() {
        boolean doubled = false;
        for (Fault each : plan.faults) {
            doubled |= each.kind == FaultKind.DOUBLE && each.at(now) && random.nextDouble() < each.amount;
        }
        return doubled;
    }

    private void out(Node from, Node to, Message message) {
        Connection connection = from.connections.computeIfAbsent(to.name, name -> new Connection(numbers++, from));
        for (int times = doubled() ? 2 : 1; times > 0; times--) {
            long when = arrives(from.number, to.number, connection.lastOut);
            if (when >= 0) {
                connection.lastOut = when;
                at(when, () -> reached(to, connection, message));
            }
        }
    }

    private void reached(Node to, Connection connection, Message message) {
        if (!to.up || connection.machineLife != 0 && connection.machineLife != to.life || to.publisher == null) {
            ended(to, connection);
            return;
        }
        connection.machineLife = to.life;
        at(to, to.life, now, () -> {
            Connection known = to.accepted.get(connection.subscriber.name);
            if (known == null || known.id <= connection.id) {
                to.accepted.put(connection.subscriber.name, connection);
                to.publisher.received(now, connection.subscriber.name, message);
            }
        });
    }

    private void back(Node from, String to, Message message) {
        Connection connection = from.accepted.get(to);
        for (int times = connection == null ? 0 : doubled() ? 2 : 1; times > 0; times--) {
            long when = arrives(from.number, connection.subscriber.number, connection.lastBack);
            if (when >= 0) {
                connection.lastBack = when;
                at(connection.subscriber, connection.life, when, () -> {
                    if (connection.subscriber.connections.get(from.name) == connection) {
                        connection.subscriber.subscriber.received(now, from.name, message);
                    }
                });
            }
        }
    }

    /** A subscriber is told, if the network does, that its connection has ended. */
    private void ended(Node machine, Connection connection) {
        long when = arrives(machine.number, connection.subscriber.number, connection.lastBack);
        if (when >= 0) {
            at(connection.subscriber, connection.life, when, () -> {
                if (connection.subscriber.connections.remove(machine.name, connection)) {
                    connection.subscriber.subscriber.outboundClosed(now, machine.name);
                }
            });
        }
    }

    private void close(Connection connection, Node machine) {
        long when = connection == null ? -1 : arrives(connection.subscriber.number, machine.number, connection.lastOut);
        if (when >= 0) {
            at(machine, machine.life, when, () -> {
                if (machine.accepted.remove(connection.subscriber.name, connection)) {
                    machine.publisher.inboundClosed(now, connection.subscriber.name);
                }
            });
        }
    }
}
