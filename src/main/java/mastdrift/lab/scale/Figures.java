package mastdrift.lab.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.lab.report.FitChart;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** What a run saw: a figure for each size, phase, role and quantity, and lines through the sizes. */
public final class Figures {

    /** A figure. {@code size} is the count that the run's sizes differ by: hollow gateways, or resources where these are the same. */
    public record Figure(double size, String phase, String role, String quantity, double value) {

        private String series() {
            return phase + ", " + role + ", " + quantity;
        }
    }

    private final String name;
    private final String by;
    private final Map<String, Object> about;
    private final List<Figure> all = new ArrayList<>();
    private final List<String> shortfalls = Collections.synchronizedList(new ArrayList<>());  // by whoever writes changes, too

    /** Of a run of this name whose sizes are counts of {@code by}; {@code about} says what it was. */
    public Figures(String name, String by, Map<String, Object> about) {
        this.name = name;
        this.by = by;
        this.about = about;
    }

    /** What its sizes are counts of. */
    String by() {
        return by;
    }

    void add(double size, String phase, String role, String quantity, double value) {
        all.add(new Figure(size, phase, role, quantity, value));
    }

    /** Something that wasn't as it should be. */
    void shortfall(String text) {
        shortfalls.add(text);
    }

    /** All, in the order in which they came. */
    public List<Figure> all() {
        return List.copyOf(all);
    }

    /** What wasn't as it should be, a line each. */
    public List<String> shortfalls() {
        return List.copyOf(shortfalls);
    }

    /** A line through each series, by its phase, role and quantity. */
    public Map<String, LinearFit> fits() {
        Map<String, List<LinearFit.Point>> points = new LinkedHashMap<>();
        all.forEach(each -> points.computeIfAbsent(each.series(), series -> new ArrayList<>()).add(new LinearFit.Point(each.size, each.value)));
        Map<String, LinearFit> fits = new LinkedHashMap<>();
        points.forEach((series, of) -> fits.put(series, LinearFit.of(of)));
        return fits;
    }

    /** A row for each figure. */
    public String csv() throws IOException {
        StringBuilder text = new StringBuilder();
        try (CSVPrinter rows = new CSVPrinter(text, CSVFormat.DEFAULT.builder().setRecordSeparator('\n').setHeader(by, "phase", "role", "quantity", "value").get())) {
            for (Figure each : all) {
                rows.printRecord(plain(each.size), each.phase, each.role, each.quantity, plain(each.value));
            }
        }
        return text.toString();
    }

    /** What it was, all figures and all lines. */
    public String json() throws IOException {
        Map<String, Object> plain = new LinkedHashMap<>(Map.of("version", 1, "name", name, "by", by));
        plain.put("about", about);
        plain.put("shortfalls", shortfalls);
        plain.put("figures", all.stream().map(each -> Map.of("size", each.size, "phase", each.phase, "role", each.role, "quantity", each.quantity, "value", each.value)).toList());
        Map<String, Object> lines = new TreeMap<>();
        fits().forEach((series, fit) -> lines.put(series, Map.of("slope", fit.slope(), "intercept", fit.intercept(), "largest", fit.largest(), "measured", fit.measured(),
                "foretold", Double.isNaN(fit.predicted()) ? "none" : fit.predicted())));
        plain.put("lines", lines);
        return JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(plain);
    }

    /** A table for a person. */
    public String table() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-58s %14s %14s %14s %14s %9s%n", "phase, role, quantity", "per 1 of " + by, "at none", "foretold", "largest", "off by"));
        fits().forEach((series, fit) -> text.append(String.format(Locale.ROOT, "%-58s %14.5g %14.5g %14s %14.5g %9s%n", series, fit.slope(), fit.intercept(),
                Double.isNaN(fit.predicted()) ? "-" : String.format(Locale.ROOT, "%.5g", fit.predicted()), fit.measured(),
                Double.isNaN(fit.relativeError()) ? "-" : String.format(Locale.ROOT, "%+.1f%%", fit.relativeError() * 100))));
        return text.toString();
    }

    /** One picture of all series: what was measured, and what the smaller sizes foretell. */
    public String html() {
        StringBuilder html = new StringBuilder("<!doctype html><html><head><meta charset=\"utf-8\"><title>").append(name).append("</title></head><body><h1>").append(name).append("</h1>\n");
        shortfalls.forEach(line -> html.append("<p>").append(line.replace("&", "&amp;").replace("<", "&lt;")).append("</p>\n"));
        int number = 0;
        for (Map.Entry<String, LinearFit> each : fits().entrySet()) {
            LinearFit fit = each.getValue();
            List<double[]> points = all.stream().filter(figure -> figure.series().equals(each.getKey())).map(figure -> new double[] {figure.size, figure.value}).toList();
            html.append("<h2>").append(each.getKey()).append("</h2>\n").append(FitChart.svg("s" + number++, by, points,
                    List.of(new double[] {0, fit.intercept()}, new double[] {fit.largest(), fit.at(fit.largest())}),
                    Double.isNaN(fit.predicted()) ? null : new double[] {fit.largest(), fit.predicted()})).append('\n');
        }
        return html.append("</body></html>\n").toString();
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value) : String.format(Locale.ROOT, "%.6g", value);
    }
}
