package mastdrift.lab.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import mastdrift.lab.Comparison;
import mastdrift.lab.Experiment.Quantity;
import mastdrift.lab.Results;
import mastdrift.lab.RunResult;
import mastdrift.lab.model.Breach;

/** The report of an experiment. */
public final class Report {

    private static final int BREACHES_MOST = 20;
    private static final int ASKED = 0;
    private static final int GOOD = 1;
    private static final int LATE = 2;
    private static final int REFUSED = 3;
    private static final String STYLE = "body{font:15px/1.45 sans-serif;margin:2em auto;max-width:900px;color:#222}"
            + "table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}"
            + "td:first-child,th:first-child{text-align:left}.bad{color:#a00}svg{max-width:100%;height:auto}";

    private Report() { }

    /** One HTML text without outside parts. */
    public static String html(Results results) {
        StringBuilder html = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(results.experiment())).append("</title><style>").append(STYLE).append("</style></head><body>\n<h1>")
                .append(escape(results.experiment())).append("</h1>\n<p>").append(results.byModel() ? "By the model" : "Over loopback")
                .append(", ").append(results.runs().size()).append(" of ").append(results.planned()).append(" runs")
                .append(results.partial() ? ": <b class=\"bad\">partial, it was interrupted</b>" : "").append(".</p>\n");
        if (results.broken().isEmpty()) {
            html.append("<p>No limit of the experiment was broken.</p>\n");
        } else {
            html.append("<h2>Limits broken</h2><ul class=\"bad\">");
            results.broken().forEach(line -> html.append("<li>").append(escape(line)).append("</li>"));
            html.append("</ul>\n");
        }
        if (!results.runs().isEmpty()) {
            totals(html, results);
            differences(html, results);
            charts(html, results);
            breaches(html, results);
        }
        return html.append("</body></html>\n").toString();
    }

    private static void totals(StringBuilder html, Results results) {
        html.append("<h2>Totals</h2>\n<p>Means over seeds, least and most in brackets. Times in ms, from the first try of a request.</p>\n"
                + "<table><tr><th>arm</th><th>goodput</th><th>refused</th><th>failed</th><th>attempts</th><th>crossed</th><th>p50</th><th>p99</th>"
                + "<th>p99.9</th><th>rules broken</th></tr>\n");
        for (String arm : results.arms()) {
            List<RunResult> runs = results.of(arm);
            html.append("<tr><td>").append(escape(arm)).append("</td>");
            for (Quantity what : List.of(Quantity.GOODPUT, Quantity.REFUSED, Quantity.FAILED, Quantity.ATTEMPTS, Quantity.CROSSED, Quantity.P50,
                    Quantity.P99, Quantity.P999)) {
                double unit = what.time() ? 1e-3 : 1;
                String form = what.time() ? "%.1f" : "%.4f";
                html.append("<td>").append(String.format(Locale.ROOT, form + " (" + form + "–" + form + ")",
                        unit * runs.stream().mapToDouble(what::of).average().orElse(0),
                        unit * runs.stream().mapToDouble(what::of).min().orElse(0),
                        unit * runs.stream().mapToDouble(what::of).max().orElse(0))).append("</td>");
            }
            long broken = runs.stream().mapToLong(run -> run.count("broken_1") + run.count("broken_2") + run.count("broken_3")
                    + run.count("broken_4")).sum();
            html.append("<td").append(broken > 0 ? " class=\"bad\">" : ">").append(broken).append("</td></tr>\n");
        }
        html.append("</table>\n");
    }

    private static void differences(StringBuilder html, Results results) {
        List<String> arms = results.arms();
        for (int i = 1; i < arms.size(); i++) {
            html.append("<h2>").append(escape(arms.get(i))).append(" against ").append(escape(arms.get(0)))
                    .append("</h2>\n<p>Paired by seed; the interval holds the true difference in 95 of 100 cases (Student's t).</p>\n"
                            + "<table><tr><th></th><th>").append(escape(arms.get(0))).append("</th><th>").append(escape(arms.get(i)))
                    .append("</th><th>difference</th><th></th></tr>\n");
            try {
                for (Comparison.Row row : Comparison.of(results.of(arms.get(0)), results.of(arms.get(i)))) {
                    double unit = row.what().time() ? 1e-3 : 1;
                    html.append(String.format(Locale.ROOT, "<tr><td>%s</td><td>%.4f</td><td>%.4f</td><td>%+.4f ± %.4f</td><td>%s</td></tr>%n",
                            row.what().word() + (row.what().time() ? ", ms" : ""), unit * row.one(), unit * row.other(),
                            unit * row.difference(), unit * row.half(), row.pairs() < 2 ? "one pair says nothing"
                            : row.seen() ? "" : "no difference seen").replace(System.lineSeparator(), "\n"));
                }
            } catch (IllegalArgumentException e) {
                html.append("<tr><td>").append(escape(e.getMessage())).append("</td></tr>\n");
            }
            html.append("</table>\n");
        }
    }

    private static void charts(StringBuilder html, Results results) {
        html.append("<h2>Goodput over time</h2>\n").append(Charts.overTime("goodput", "part served in time",
                lines(results, row -> row.get(ASKED) == 0 ? Double.NaN : (row.get(GOOD) + 0.5 * row.get(LATE)) / row.get(ASKED)),
                results.faults(), true)).append('\n');
        html.append("<h2>Refusals over time</h2>\n").append(Charts.overTime("refused", "part refused in the end",
                lines(results, row -> row.get(ASKED) == 0 ? Double.NaN : row.get(REFUSED) / (double) row.get(ASKED)),
                results.faults(), true)).append('\n');
        html.append("<h2>Latency</h2>\n").append(Charts.tails("latency", tails(results))).append('\n');
        html.append("<h2>Requests by node</h2>\n").append(Charts.ranks("nodes", "times the mean", shares(results))).append('\n');
    }

    private static List<Charts.Line> lines(Results results, ToDoubleFunction<List<Double>> value) {
        List<Charts.Line> lines = new ArrayList<>();
        for (String arm : results.arms()) {
            List<RunResult> runs = results.of(arm);
            List<double[]> points = new ArrayList<>();
            int seconds = runs.stream().mapToInt(run -> run.seconds().size()).max().orElse(0);
            for (int second = 0; second < seconds; second++) {
                double[] sum = new double[6];
                for (RunResult run : runs) {
                    for (int i = 0; i < sum.length && second < run.seconds().size(); i++) {
                        sum[i] += run.seconds().get(second).get(i);
                    }
                }
                double at = value.applyAsDouble(java.util.Arrays.stream(sum).boxed().toList());
                if (!Double.isNaN(at)) {
                    points.add(new double[] {second + 0.5, at});
                }
            }
            lines.add(new Charts.Line(arm, points));
        }
        return lines;
    }

    /** Means over seeds of each percentile. */
    private static List<Charts.Line> tails(Results results) {
        List<Charts.Line> lines = new ArrayList<>();
        for (String arm : results.arms()) {
            List<RunResult> runs = results.of(arm);
            List<double[]> points = new ArrayList<>();
            for (int i = 0; i < runs.get(0).curve().size(); i++) {
                int at = i;
                double percentile = runs.get(0).curve().get(i).get(0);
                double micros = runs.stream().mapToDouble(run -> run.curve().get(at).get(1)).average().orElse(0);
                if (percentile < 100 && micros > 0) {
                    points.add(new double[] {1 / (1 - percentile / 100), micros / 1e3});
                }
            }
            lines.add(new Charts.Line(arm, points));
        }
        return lines;
    }

    private static List<Charts.Line> shares(Results results) {
        List<Charts.Line> lines = new ArrayList<>();
        for (String arm : results.arms()) {
            RunResult run = results.of(arm).get(0);
            List<Long> sorted = run.nodes().stream().sorted().toList();
            double mean = Math.max(1e-9, sorted.stream().mapToLong(Long::longValue).average().orElse(0));
            List<double[]> points = new ArrayList<>();
            int step = Math.max(1, sorted.size() / 500);
            for (int i = 0; i < sorted.size(); i += step) {
                points.add(new double[] {(i + 0.5) / sorted.size(), sorted.get(i) / mean});
            }
            lines.add(new Charts.Line(arm + ", seed " + run.seed(), points));
        }
        return lines;
    }

    private static void breaches(StringBuilder html, Results results) {
        StringBuilder rows = new StringBuilder();
        int shown = 0;
        for (RunResult run : results.runs()) {
            for (Breach breach : run.breaches()) {
                if (shown++ < BREACHES_MOST) {
                    rows.append(String.format(Locale.ROOT, "<tr><td>%s</td><td>%d</td><td>%d</td><td>%d</td><td>%.3f</td><td>%s</td><td>%s</td></tr>",
                            escape(run.arm()), run.seed(), breach.rule(), breach.request(), breach.at() / 1e6, escape(breach.who()),
                            escape(breach.why()))).append('\n');
                }
            }
        }
        if (shown > 0) {
            html.append("<h2>Rules broken</h2>\n<p>The first ").append(Math.min(shown, BREACHES_MOST)).append(".</p>\n<table><tr><th>arm</th>"
                    + "<th>seed</th><th>rule</th><th>request</th><th>at, s</th><th>who</th><th>why</th></tr>\n").append(rows)
                    .append("</table>\n");
        }
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }
}
