package mastdrift.lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.lab.model.Breach;
import mastdrift.lab.model.Measured;
import mastdrift.lab.model.Measured.Of;
import org.HdrHistogram.Histogram;

/**
 * What came of one run, as it is kept: counts, quantiles, a row a second, a share a node, breaches of rules.
 *
 * @param arm its arm
 * @param seed its seed
 * @param goodput part of the worth asked for that was served in time, 0 to 1
 * @param counts events by name
 * @param quantiles latencies of served requests in microseconds: p50, p90, p99, p999, max, and by class {@code CLASS/p99}
 * @param curve pairs of a percentile and the latency in microseconds, for drawing
 * @param seconds for each second: asked, good, late, refused, failed, unanswered
 * @param nodes requests that each node ran
 * @param breaches the first breaches of rules
 */
public record RunResult(String arm, long seed, double goodput, Map<String, Long> counts, Map<String, Long> quantiles,
        List<List<Double>> curve, List<List<Long>> seconds, List<Long> nodes, List<Breach> breaches) {

    private static final int BREACHES_MOST = 20;
    private static final double[] PERCENTILES = {0, 1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.8, 99.9,
        99.95, 99.99, 100};

    /** Of a run by the model. */
    public static RunResult of(String arm, long seed, Measured measured) {
        Map<String, Long> counts = new TreeMap<>(measured.counts());
        for (Of of : Of.values()) {
            counts.put(of.name().toLowerCase(Locale.ROOT), measured.count(of));
        }
        for (int rule = 1; rule <= 4; rule++) {
            counts.put("broken_" + rule, measured.broken(rule));
        }
        Map<String, Long> quantiles = new TreeMap<>();
        quantiles("", measured.latencies(), quantiles);
        for (int i = 0; i < measured.classes().size(); i++) {
            quantiles(measured.classes().get(i) + "/", measured.latencies(i), quantiles);
        }
        List<List<Long>> seconds = new ArrayList<>();
        for (int i = 0; i < measured.seconds(); i++) {
            seconds.add(List.of(measured.count(i, Of.ASKED), measured.count(i, Of.GOOD), measured.count(i, Of.LATE),
                    measured.count(i, Of.REFUSED), measured.count(i, Of.FAILED), measured.count(i, Of.UNANSWERED)));
        }
        List<Long> nodes = new ArrayList<>();
        for (long ran : measured.ranByNode()) {
            nodes.add(ran);
        }
        return new RunResult(arm, seed, measured.goodput(), counts, quantiles, curve(measured.latencies()), seconds, nodes,
                measured.breaches().stream().limit(BREACHES_MOST).toList());
    }

    static void quantiles(String head, Histogram histogram, Map<String, Long> to) {
        to.put(head + "p50", histogram.getValueAtPercentile(50));
        to.put(head + "p90", histogram.getValueAtPercentile(90));
        to.put(head + "p99", histogram.getValueAtPercentile(99));
        to.put(head + "p999", histogram.getValueAtPercentile(99.9));
        to.put(head + "max", histogram.getMaxValue());
    }

    static List<List<Double>> curve(Histogram histogram) {
        List<List<Double>> curve = new ArrayList<>();
        for (double percentile : PERCENTILES) {
            curve.add(List.of(percentile, (double) histogram.getValueAtPercentile(percentile)));
        }
        return curve;
    }

    /** A count, 0 where it is not known. */
    public long count(String name) {
        return counts.getOrDefault(name, 0L);
    }

    /** A quantile in microseconds, 0 where it is not known. */
    public long quantile(String name) {
        return quantiles.getOrDefault(name, 0L);
    }

    /** As plain values, in a fixed order. */
    public Map<String, Object> plain() {
        Map<String, Object> plain = new LinkedHashMap<>();
        plain.put("arm", arm);
        plain.put("seed", seed);
        plain.put("goodput", goodput);
        plain.put("counts", counts);
        plain.put("quantiles_us", quantiles);
        plain.put("curve", curve);
        plain.put("seconds", seconds);
        plain.put("nodes", nodes);
        plain.put("breaches", breaches.stream().map(breach -> {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("rule", breach.rule());
            one.put("at_us", breach.at());
            one.put("request", breach.request());
            one.put("who", breach.who());
            one.put("why", breach.why());
            return one;
        }).toList());
        return plain;
    }

    /** From plain values; throws IllegalArgumentException where they are not what {@link #plain} gives. */
    public static RunResult from(Map<?, ?> plain) {
        try {
            Map<String, Long> counts = new TreeMap<>();
            ((Map<?, ?>) plain.get("counts")).forEach((name, count) -> counts.put((String) name, ((Number) count).longValue()));
            Map<String, Long> quantiles = new TreeMap<>();
            ((Map<?, ?>) plain.get("quantiles_us")).forEach((name, value) ->
                    quantiles.put((String) name, ((Number) value).longValue()));
            List<Breach> breaches = ((List<?>) plain.get("breaches")).stream().map(each -> (Map<?, ?>) each).map(each ->
                    new Breach(number(each, "rule").intValue(), number(each, "at_us").longValue(), number(each, "request").longValue(),
                            (String) each.get("who"), (String) each.get("why"))).toList();
            return new RunResult((String) plain.get("arm"), number(plain, "seed").longValue(), number(plain, "goodput").doubleValue(),
                    counts, quantiles, rows(plain, "curve").stream().map(row -> row.stream().map(Number::doubleValue).toList()).toList(),
                    rows(plain, "seconds").stream().map(row -> row.stream().map(Number::longValue).toList()).toList(),
                    ((List<?>) plain.get("nodes")).stream().map(each -> ((Number) each).longValue()).toList(), breaches);
        } catch (ClassCastException | NullPointerException e) {
            throw new IllegalArgumentException("expected the result of a run, found something else: " + e.getMessage(), e);
        }
    }

    private static Number number(Map<?, ?> plain, String name) {
        return (Number) plain.get(name);
    }

    private static List<List<Number>> rows(Map<?, ?> plain, String name) {
        List<List<Number>> rows = new ArrayList<>();
        for (Object row : (List<?>) plain.get(name)) {
            rows.add(((List<?>) row).stream().map(each -> (Number) each).toList());
        }
        return rows;
    }
}
