package mastdrift.measure;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import mastdrift.distribution.Change;
import mastdrift.distribution.Delta;
import mastdrift.distribution.History;
import mastdrift.distribution.ControlMachine;
import mastdrift.distribution.Message;
import mastdrift.distribution.Outcome;
import mastdrift.distribution.Publisher;
import mastdrift.distribution.PublisherSettings;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Store;
import mastdrift.distribution.Subscriber;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.distribution.edge.MessageCodec;
import mastdrift.lab.scale.Tables;

/** A table of the target's resources (28,000 routes, 810 pools, 170,000 tenants, 47,000 hosts), a tenth and a hundredth of it, in one process: heap, and processor time of one change at
    who agrees on it and at who follows, with and without its bytes. Then the same deltas by lists of several lengths: processor time and bytes allocated for each delta, one by one and all of
    a list at once, in turn. {@code TableMeasurement [CHANGES]} (2000). With {@code replace [FOLLOWERS]} (4): all of the target's tenants are replaced at once at a voter, and one
    host by another writer in the middle; when followers have each, by their messages as bytes, and what the voter keeps of it. Links, the agreed log and disks aren't in it. */
public final class TableMeasurement {

    private static final Map<ResourceKind, Integer> TARGET = Map.of(ResourceKind.ROUTE, 28_000, ResourceKind.POOL, 810, ResourceKind.TENANT, 170_000, ResourceKind.HOST, 47_000);

    private static final int[] LISTS = {1, 10, 64, 500};
    private static final int TURNS = 4;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private TableMeasurement() { }

    /** A way to go on by a list of deltas. */
    private interface Way {
        Table follow(Table from, List<Delta> deltas);
    }

    /** Processor time in nanoseconds and bytes allocated, of one delta. */
    private record Cost(double nanos, double bytes) { }

    /** Prints a line each. */
    public static void main(String[] args) throws Exception {
        if (args.length > 0 && args[0].equals("replace")) {
            for (int run = 1; run <= 3; run++) {
                new Replacing(args.length > 1 ? Integer.parseInt(args[1]) : 4).run(run);
            }
            return;
        }
        int changes = args.length > 0 ? Integer.parseInt(args[0]) : 2_000;
        for (int part : new int[] {100, 10, 1, 100, 10, 1, 100, 10, 1}) {
            long before = Heap.used();
            long began = System.nanoTime();
            Table table = Tables.made(1, counts(part));
            double built = (System.nanoTime() - began) / 1e9;
            double heap = Heap.used() - before;
            Table next = table;
            double[] agreed = new double[changes];
            double[] followed = new double[changes];
            long bytes = 0;
            List<Delta> deltas = new ArrayList<>();
            for (int i = 0; i < changes; i++) {
                Change change = Tables.change(i, counts(part).get(ResourceKind.HOST), 1);
                long from = System.nanoTime();
                Outcome.Applied applied = (Outcome.Applied) next.apply(next.revision().number() + 1, change);
                agreed[i] = (System.nanoTime() - from) / 1e3;
                byte[] told = MessageCodec.encode(applied.delta());
                bytes += told.length;
                from = System.nanoTime();
                Delta heard = MessageCodec.decodeDelta(told);
                Table same = next.applyDelta(heard);
                followed[i] = (System.nanoTime() - from) / 1e3;
                if (!same.revision().equals(applied.table().revision())) {
                    throw new IllegalStateException("expected " + applied.table().revision() + ", found " + same.revision());
                }
                next = applied.table();
                deltas.add(heard);
            }
            System.out.printf(Locale.ROOT, "%d resources, values of %.0f bytes: %.2f MiB of heap (%.0f bytes each), built in %.2f s; a change: agreed %s us, followed from its bytes %s us, %d bytes%n",
                    table.size(), (double) table.valueBytes() / table.size(), heap / (1 << 20), heap / table.size(), built, quantiles(agreed), quantiles(followed), bytes / changes);
            lists(table, deltas);
        }
    }

    /** A line for each length: the least of some turns, since others use the machine too. */
    private static void lists(Table table, List<Delta> deltas) {
        for (int length : LISTS) {
            Cost each = new Cost(Double.MAX_VALUE, 0);
            Cost once = each;
            for (int turn = 0; turn < TURNS; turn++) {
                each = less(each, cost(table, deltas, length, TableMeasurement::oneByOne));
                once = less(once, cost(table, deltas, length, (from, list) -> from.applyDeltas(list).table()));
            }
            System.out.printf(Locale.ROOT, "  lists of %d, a delta: one by one %.2f us, %.0f bytes; at once %.2f us, %.0f bytes: %.2f of the time, %.3f of the bytes%n", length, each.nanos / 1e3,
                    each.bytes, once.nanos / 1e3, once.bytes, once.nanos / each.nanos, once.bytes / each.bytes);
        }
    }

    private static Table oneByOne(Table from, List<Delta> deltas) {
        Table table = from;
        for (Delta each : deltas) {
            table = table.applyDelta(each);
        }
        return table;
    }

    private static Cost less(Cost one, Cost other) {
        return one.nanos <= other.nanos ? one : other;
    }

    private static Cost cost(Table table, List<Delta> deltas, int length, Way way) {
        long thread = Thread.currentThread().getId();
        Table next = table;
        long bytes = THREADS.getThreadAllocatedBytes(thread);
        long nanos = THREADS.getCurrentThreadCpuTime();
        for (int from = 0; from < deltas.size(); from += length) {
            next = way.follow(next, deltas.subList(from, Math.min(deltas.size(), from + length)));
        }
        nanos = THREADS.getCurrentThreadCpuTime() - nanos;
        bytes = THREADS.getThreadAllocatedBytes(thread) - bytes;
        if (!next.revision().equals(deltas.get(deltas.size() - 1).to())) {
            throw new IllegalStateException("expected " + deltas.get(deltas.size() - 1).to() + ", found " + next.revision());
        }
        return new Cost((double) nanos / deltas.size(), (double) bytes / deltas.size());
    }

    private static Map<ResourceKind, Integer> counts(int part) {
        return TARGET.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, each -> Math.max(1, each.getValue() / part)));
    }

    /** Half and 99 in 100. */
    private static String quantiles(double[] micros) {
        double[] sorted = micros.clone();
        Arrays.sort(sorted);
        return String.format(Locale.ROOT, "%.1f (p99 %.1f)", sorted[sorted.length / 2], sorted[sorted.length * 99 / 100]);
    }

    /** A voter's table and its followers in one thread: a message is handed over as bytes, one at a time, as the loops of each would. */
    private static final class Replacing {

        private final Deque<Runnable> queue = new ArrayDeque<>();
        private final List<Subscriber> followers = new ArrayList<>();
        private final Publisher publisher;
        private final Store store;
        private long bytes;
        private int snapshots;

        Replacing(int count) {
            Table table = Tables.made(1, TARGET);
            publisher = new Publisher(table, PublisherSettings.DEFAULTS, new Publisher.Actions() {
                @Override
                public void send(String to, Message message) {
                    byte[] told = MessageCodec.encode(message);
                    bytes += told.length;
                    queue.add(() -> followers.get(Integer.parseInt(to)).received(now(), "voter", MessageCodec.decodeMessage(told)));
                }

                @Override
                public void drop(String of, String why) {
                    throw new IllegalStateException(of + " is dropped: " + why);
                }

                @Override
                public void event(String name, String text) {
                    System.out.println(name + " " + text);
                }
            });
            store = new Store(table, 1, new Store.Actions() {
                @Override
                public void table(Table next, List<Delta> deltas) {
                    publisher.table(now(), next, deltas);
                }

                @Override
                public void event(String name, String text) {
                    System.out.println(name + " " + text);
                }
            });
            for (int i = 0; i < count; i++) {
                follow(String.valueOf(i), table);
            }
        }

        private void follow(String name, Table table) {
            followers.add(new Subscriber(name, "z", table, SubscriberSettings.DEFAULTS, 1, new Subscriber.Actions() {
                @Override
                public void send(String to, Message message) {
                    byte[] told = MessageCodec.encode(message);
                    queue.add(() -> publisher.received(now(), name, MessageCodec.decodeMessage(told)));
                }

                @Override
                public void disconnect(String machine) {
                    throw new IllegalStateException(name + " leaves " + machine);
                }

                @Override
                public void table(Table next, List<Delta> deltas) {
                    snapshots += deltas.isEmpty() ? 1 : 0;
                    queue.add(() -> followers.get(Integer.parseInt(name)).acknowledge(now(), next.revision()));
                }

                @Override
                public void event(String event, String text) {
                    System.out.println(name + " " + event + " " + text);
                }
            }));
        }

        private static long now() {
            return System.nanoTime() / 1_000;
        }

        /** What is under way, and who wants to be called. */
        private void turn() {
            for (int i = queue.size(); i > 0; i--) {
                queue.poll().run();
            }
            if (now() >= publisher.dueAt()) {
                publisher.tick(now());
            }
            for (Subscriber each : followers) {
                if (now() >= each.dueAt()) {
                    each.tick(now());
                }
            }
        }

        private double until(long began, long number) {
            while (!followers.stream().allMatch(each -> each.table().revision().number() >= number)) {
                turn();
            }
            return (System.nanoTime() - began) / 1e9;
        }

        void run(int seed) {
            for (Subscriber each : followers) {
                each.setMachines(now(), List.of(new ControlMachine("voter", "z")));
            }
            turn();
            List<Change> changes = Tables.replaced(seed + 1, TARGET.get(ResourceKind.TENANT));
            long began = System.nanoTime();
            long other = 0;
            long most = 0;
            double decided = 0;
            for (int i = 0; i < changes.size(); i++) {
                if (i == changes.size() / 2) {
                    other = System.nanoTime();
                    decide(Tables.change(0, TARGET.get(ResourceKind.HOST), 1));
                }
                long from = System.nanoTime();
                decide(changes.get(i));
                decided += (System.nanoTime() - from) / 1e6;
                most = Math.max(most, publisher.status().deltaBytes());
                turn();
            }
            double otherAfter = until(other, changes.size() / 2 + store.table().revision().number() - changes.size());
            double all = until(began, store.table().revision().number());
            for (Subscriber each : followers) {
                if (!each.table().revision().equals(store.table().revision())) {
                    throw new IllegalStateException("expected " + store.table().revision() + ", found " + each.table().revision());
                }
            }
            System.out.printf(Locale.ROOT, "%d tenants replaced by %d changes, %d followers: in force at all after %.2f s, another's change after %.2f s at most; a change %.1f ms at the voter; kept at most %d bytes of %d, %d"
                    + " deltas; told %.1f MB, %d snapshots%n", TARGET.get(ResourceKind.TENANT), changes.size(), followers.size(), all, otherAfter, decided / changes.size(), most, History.MAX_BYTES,
                    publisher.status().deltas(), bytes / 1e6, snapshots);
        }

        private void decide(Change change) {
            if (!(store.applyEntry(store.appliedOrdinal() + 1, change.id(), change) instanceof Store.ChangeOutcome.Applied)) {
                throw new IllegalStateException("expected change " + change.id() + " to be in, found " + store.outcome(change.id()));
            }
        }
    }
}
