package mastdrift.measure;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import mastdrift.distribution.Change;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Outcome;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Table;
import mastdrift.distribution.edge.MessageCodec;
import mastdrift.lab.scale.Tables;

/** A table of the target's resources (28,000 routes, 810 pools, 170,000 tenants, 47,000 hosts), a tenth and a hundredth of it, in one process: heap, and processor time of one change at
    who agrees on it and at who follows, with and without its bytes. Then the same deltas by lists of several lengths: processor time and bytes allocated for each delta, one by one and all of
    a list at once, in turn. {@code TableMeasurement [CHANGES]} (2000). */
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
                byte[] told = MessageCodec.bytes(applied.delta());
                bytes += told.length;
                from = System.nanoTime();
                Delta heard = MessageCodec.delta(told);
                Table same = next.with(heard);
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
                once = less(once, cost(table, deltas, length, (from, list) -> from.follow(list).table()));
            }
            System.out.printf(Locale.ROOT, "  lists of %d, a delta: one by one %.2f us, %.0f bytes; at once %.2f us, %.0f bytes: %.2f of the time, %.3f of the bytes%n", length, each.nanos / 1e3,
                    each.bytes, once.nanos / 1e3, once.bytes, once.nanos / each.nanos, once.bytes / each.bytes);
        }
    }

    private static Table oneByOne(Table from, List<Delta> deltas) {
        Table table = from;
        for (Delta each : deltas) {
            table = table.with(each);
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
}
