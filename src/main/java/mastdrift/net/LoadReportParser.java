package mastdrift.net;

import java.util.Arrays;
import java.util.List;
import mastdrift.Balancer.LoadReport;

/** Parses hosts' load reports: {@code TEXT name=value, name=value}. */
final class LoadReportParser {

    private static final List<String> NAMES = List.of("active", "waiting", "cpu", "avg_ms", "rps", "err_rps");
    private static final List<String> ALTERNATIVE_NAMES =
            List.of("inflight", "queue", "util", "latency_ms", "qps", "eps");

    private LoadReportParser() { }

    /** Parses a report, which may be null; a value that is missing or can't be parsed is NaN. */
    static LoadReport parse(String text) {
        double[] values = new double[NAMES.size()];
        Arrays.fill(values, Double.NaN);
        for (String pair : text == null ? new String[0] : text.replaceFirst("^\\s*TEXT\\s", "").split(",")) {
            String[] parts = pair.split("=", 2);
            String name = parts[0].strip();
            int index = Math.max(NAMES.indexOf(name), ALTERNATIVE_NAMES.indexOf(name));
            if (index >= 0 && parts.length == 2) {
                try {
                    values[index] = Double.parseDouble(parts[1].strip());
                } catch (NumberFormatException e) {
                    values[index] = Double.NaN;
                }
            }
        }
        return new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]);
    }
}
