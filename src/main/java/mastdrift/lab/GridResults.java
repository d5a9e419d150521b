package mastdrift.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mastdrift.lab.Experiment.Quantity;
import mastdrift.lab.Grid.Point;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** What came of a grid: the first arm against the better of the others, at each point, paired by seed. */
public final class GridResults {

    private static final List<Quantity> SHOWN = List.of(Quantity.GOODPUT, Quantity.REFUSED, Quantity.FAILED, Quantity.ATTEMPTS,
            Quantity.CROSSED, Quantity.P50, Quantity.P99, Quantity.P999, Quantity.ANSWERS, Quantity.TWICE, Quantity.DRAINS, Quantity.FELL);

    /**
     * The first arm at a point.
     *
     * @param point where
     * @param own its goodput
     * @param best name of the arm with the best goodput of the others
     * @param other that arm's goodput
     * @param difference the mean of own less that of the other
     * @param half half of the interval that holds the true difference in 95 of 100 cases; NaN with one seed
     * @param broken rules that it broke
     */
    public record Verdict(Point point, double own, String best, double other, double difference, double half, long broken) {

        /** Whether it is worse beyond the interval; with one seed, by any difference. */
        public boolean worse() {
            return difference < 0 && !(Math.abs(difference) <= half);
        }
    }

    private final Grid grid;
    private final Map<Point, List<RunResult>> runs = new LinkedHashMap<>();

    GridResults(Grid grid) {
        this.grid = grid;
    }

    /** What is laid out. */
    public Grid grid() {
        return grid;
    }

    synchronized void add(Point point, RunResult run) {
        runs.computeIfAbsent(point, each -> new ArrayList<>()).add(run);
    }

    /** Runs of a point and an arm, by seed. */
    public synchronized List<RunResult> of(Point point, String arm) {
        return runs.getOrDefault(point, List.of()).stream().filter(run -> run.arm().equals(arm))
                .sorted((one, other) -> Long.compare(one.seed(), other.seed())).toList();
    }

    /** Points at which every run was finished, in the order of the file. */
    public List<Point> whole() {
        List<Point> points = new ArrayList<>();
        for (Grid.Day day : grid.days()) {
            for (Grid.Keys keys : grid.keys()) {
                for (int gateways : grid.gateways()) {
                    for (int nodes : grid.nodes()) {
                        Point point = new Point(day.name(), keys.name(), gateways, nodes);
                        if (grid.base().arms().stream().allMatch(arm -> of(point, arm.name()).size() == grid.base().seeds().size())) {
                            points.add(point);
                        }
                    }
                }
            }
        }
        return points;
    }

    /** The first arm at a point that is whole; null where it is the only arm. */
    public Verdict verdict(Point point) {
        List<String> arms = grid.base().arms().stream().map(Experiment.Arm::name).toList();
        List<RunResult> own = of(point, arms.get(0));
        String best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (String arm : arms.subList(1, arms.size())) {
            double goodput = of(point, arm).stream().mapToDouble(RunResult::goodput).average().orElse(0);
            if (goodput > most) {
                most = goodput;
                best = arm;
            }
        }
        if (best == null) {
            return null;
        }
        Comparison.Row row = Comparison.of(of(point, best), own).get(0);
        long broken = own.stream().mapToLong(run -> run.count("broken_1") + run.count("broken_2") + run.count("broken_3")
                + run.count("broken_4")).sum();
        return new Verdict(point, row.other(), best, row.one(), row.difference(), row.pairs() < 2 ? Double.NaN : row.half(), broken);
    }

    /** A row for each run. */
    public String csv() throws IOException {
        List<String> head = new ArrayList<>(List.of("day", "keys", "gateways", "nodes", "arm", "seed"));
        SHOWN.forEach(what -> head.add(what.word() + (what.time() ? "_us" : "")));
        StringBuilder text = new StringBuilder();
        try (CSVPrinter printer = new CSVPrinter(text, CSVFormat.RFC4180.builder().setRecordSeparator('\n').setHeader(head.toArray(new String[0])).get())) {
            for (Point point : whole()) {
                for (Experiment.Arm arm : grid.base().arms()) {
                    for (RunResult run : of(point, arm.name())) {
                        List<Object> row = new ArrayList<>(List.of(point.day(), point.keys(), point.gateways(), point.nodes(), arm.name(),
                                run.seed()));
                        SHOWN.forEach(what -> row.add(String.format(Locale.ROOT, what.time() ? "%.0f" : "%.5f", what.of(run))));
                        printer.printRecord(row);
                    }
                }
            }
        }
        return text.toString();
    }

    /** One table in Markdown: for each day and keys a row, for each pair of gateways and nodes a column with the first arm's goodput, the
        difference from the better of the others, and {@code !} with the rules that it broke. */
    public String table() {
        StringBuilder text = new StringBuilder("| day | keys |");
        StringBuilder line = new StringBuilder("| --- | --- |");
        for (int gateways : grid.gateways()) {
            for (int nodes : grid.nodes()) {
                text.append(' ').append(gateways).append(" x ").append(nodes).append(" |");
                line.append(" --- |");
            }
        }
        text.append('\n').append(line).append('\n');
        List<Point> whole = whole();
        for (Grid.Day day : grid.days()) {
            for (Grid.Keys keys : grid.keys()) {
                text.append("| ").append(day.name()).append(" | ").append(keys.name()).append(" |");
                for (int gateways : grid.gateways()) {
                    for (int nodes : grid.nodes()) {
                        Point point = new Point(day.name(), keys.name(), gateways, nodes);
                        Verdict verdict = whole.contains(point) ? verdict(point) : null;
                        text.append(verdict == null ? " - |" : String.format(Locale.ROOT, " %s%.3f (%+.3f)%s |", verdict.worse() ? "**" : "",
                                verdict.own, verdict.difference, (verdict.worse() ? "**" : "") + (verdict.broken > 0 ? " !" + verdict.broken : "")));
                    }
                }
                text.append('\n');
            }
        }
        return text.toString();
    }
}
