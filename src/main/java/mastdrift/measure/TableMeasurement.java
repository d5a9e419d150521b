package mastdrift.measure;

import java.util.Arrays;
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
    who agrees on it and at who follows, with and without its bytes. {@code TableMeasurement [CHANGES]} (2000). */
public final class TableMeasurement {

    private static final Map<ResourceKind, Integer> TARGET = Map.of(ResourceKind.ROUTE, 28_000, ResourceKind.POOL, 810, ResourceKind.TENANT, 170_000, ResourceKind.HOST, 47_000);

    private TableMeasurement() { }

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
            }
            System.out.printf(Locale.ROOT, "%d resources, values of %.0f bytes: %.2f MiB of heap (%.0f bytes each), built in %.2f s; a change: agreed %s us, followed from its bytes %s us, %d bytes%n",
                    table.size(), (double) table.valueBytes() / table.size(), heap / (1 << 20), heap / table.size(), built, quantiles(agreed), quantiles(followed), bytes / changes);
        }
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
