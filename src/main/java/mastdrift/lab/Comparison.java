package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.lab.Experiment.Quantity;
import org.apache.commons.statistics.descriptive.DoubleStatistics;
import org.apache.commons.statistics.descriptive.Statistic;
import org.apache.commons.statistics.distribution.TDistribution;

/** Two arms, paired by seed: runs of one seed met the same requests and faults, so their difference tells more than the spread of
    either. Intervals by Student's t of the paired differences. */
public final class Comparison {

    private static final double LEVEL = 0.95;
    private static final List<Quantity> QUANTITIES = List.of(Quantity.GOODPUT, Quantity.REFUSED, Quantity.FAILED, Quantity.ATTEMPTS,
            Quantity.P50, Quantity.P99, Quantity.P999);

    private Comparison() { }

    /**
     * One quantity of two arms.
     *
     * @param what it is
     * @param one its mean in the first
     * @param other its mean in the second
     * @param difference the mean of second less first
     * @param half half of the interval that holds the true difference in 95 of 100 cases
     * @param pairs seeds that both have
     */
    public record Row(Quantity what, double one, double other, double difference, double half, int pairs) {

        /** Whether the interval leaves 0 out. */
        public boolean seen() {
            return pairs > 1 && Math.abs(difference) > half;
        }

        /** As a line of a table. */
        public String line() {
            double unit = what.time() ? 1e-3 : 1;
            String name = what.word() + (what.time() ? " ms" : "");
            return String.format(Locale.ROOT, "%-12s %12.4f %12.4f %+12.4f +- %-10.4f %s", name, one * unit, other * unit,
                    difference * unit, half * unit, pairs < 2 ? "one pair says nothing" : seen() ? "" : "no difference seen");
        }
    }

    /** Compares; throws IllegalArgumentException where no seed is in both. */
    public static List<Row> of(List<RunResult> one, List<RunResult> other) {
        Map<Long, RunResult> first = bySeed(one);
        Map<Long, RunResult> second = bySeed(other);
        first.keySet().retainAll(second.keySet());
        if (first.isEmpty()) {
            throw new IllegalArgumentException("expected runs of the same seeds, found none: " + bySeed(one).keySet() + " and "
                    + second.keySet());
        }
        List<Row> rows = new ArrayList<>();
        for (Quantity what : QUANTITIES) {
            double[] a = first.keySet().stream().mapToDouble(seed -> what.of(first.get(seed))).toArray();
            double[] b = first.keySet().stream().mapToDouble(seed -> what.of(second.get(seed))).toArray();
            double[] differences = new double[a.length];
            for (int i = 0; i < a.length; i++) {
                differences[i] = b[i] - a[i];
            }
            DoubleStatistics statistics = DoubleStatistics.of(
                    java.util.EnumSet.of(Statistic.MEAN, Statistic.STANDARD_DEVIATION), differences);
            int n = a.length;
            double half = n < 2 ? 0 : statistics.getAsDouble(Statistic.STANDARD_DEVIATION) / Math.sqrt(n)
                    * TDistribution.of(n - 1).inverseCumulativeProbability((1 + LEVEL) / 2);
            rows.add(new Row(what, mean(a), mean(b), statistics.getAsDouble(Statistic.MEAN), half, n));
        }
        return rows;
    }

    private static double mean(double[] values) {
        return DoubleStatistics.of(java.util.EnumSet.of(Statistic.MEAN), values).getAsDouble(Statistic.MEAN);
    }

    private static Map<Long, RunResult> bySeed(List<RunResult> runs) {
        Map<Long, RunResult> bySeed = new TreeMap<>();
        runs.forEach(run -> bySeed.put(run.seed(), run));
        return bySeed;
    }
}
