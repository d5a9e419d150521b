package mastdrift.lab.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What came of one run of a world, without its first part. The same scenario, policy and seed give the same. */
public final class Measured {

    /** What is counted, of requests by the second in which their first try was sent. */
    public enum Of {
        /** Requests. */
        ASKED,
        /** Served within their class's aim, from their first try. */
        GOOD,
        /** Served later. */
        LATE,
        /** Not served, and last refused. */
        REFUSED,
        /** Not served, and last failed. */
        FAILED,
        /** Not served, and last not answered. */
        UNANSWERED,
        /** Tries of clients. */
        TRIES
    }

    private final List<String> classes;
    private final long[][][] rows;
    private final List<Histogram> latencies = new ArrayList<>();
    private final List<Breach> breaches = new ArrayList<>();
    private final long[] broken = new long[5];
    private final Map<String, Long> counts = new TreeMap<>();
    private long[] ranByNode = new long[0];

    Measured(List<String> classes, int seconds) {
        this.classes = List.copyOf(classes);
        rows = new long[seconds][classes.size()][Of.values().length];
        classes.forEach(name -> latencies.add(new Histogram(3)));
    }

    /** Classes, in the order of the scenario. */
    public List<String> classes() {
        return classes;
    }

    /** Seconds of the run, with its first part. */
    public int seconds() {
        return rows.length;
    }

    /** Events of a second and a class. */
    public long count(int second, int type, Of of) {
        return rows[second][type][of.ordinal()];
    }

    /** Events of all seconds and classes. */
    public long count(Of of) {
        long all = 0;
        for (int second = 0; second < rows.length; second++) {
            all += count(second, of);
        }
        return all;
    }

    /** Events of a second. */
    public long count(int second, Of of) {
        long all = 0;
        for (int type = 0; type < classes.size(); type++) {
            all += count(second, type, of);
        }
        return all;
    }

    /** The part of what was asked that was served within its aim, by class worth 1 each and 0.5 where late; 0 to 1. */
    public double goodput() {
        return count(Of.ASKED) == 0 ? 1 : (count(Of.GOOD) + 0.5 * count(Of.LATE)) / count(Of.ASKED);
    }

    /** Latencies of served requests of a class in microseconds, from their first try. */
    public Histogram latencies(int type) {
        return latencies.get(type);
    }

    /** Of all classes. */
    public Histogram latencies() {
        Histogram all = new Histogram(3);
        latencies.forEach(all::add);
        return all;
    }

    /** Breaches of a rule, 1 to 4. */
    public long broken(int rule) {
        return broken[rule];
    }

    /** The first thousand breaches. */
    public List<Breach> breaches() {
        return breaches;
    }

    /** Further counts by name: attempts, attempts that crossed zones, repeats that groups dropped, events of the model. */
    public Map<String, Long> counts() {
        return counts;
    }

    /** Requests that each node began to run, by its number. */
    public long[] ranByNode() {
        return ranByNode.clone();
    }

    void add(int second, int type, Of of) {
        rows[Math.min(rows.length - 1, second)][type][of.ordinal()]++;
    }

    void served(int type, long latency) {
        latencies.get(type).recordValue(Math.max(0, latency));
    }

    void seen(Watch watch) {
        for (int rule = 1; rule < broken.length; rule++) {
            broken[rule] = watch.broken(rule);
        }
        breaches.addAll(watch.breaches());
        counts.put("repeats_dropped", watch.dropped());
        counts.put("cold_nodes_fallen_unheard", watch.fallenUnheard());
    }

    void worked(long[] ran) {
        ranByNode = ran;
    }
}
