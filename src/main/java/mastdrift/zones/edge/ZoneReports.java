package mastdrift.zones.edge;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.zones.CrossingCause;
import mastdrift.zones.FlowCounts;
import mastdrift.zones.Flow;
import mastdrift.zones.CrossingBudget;
import mastdrift.zones.ZoneSnapshot;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Reports of one or several gateways, as text, as CSV (RFC 4180) and as JSON. */
public final class ZoneReports {

    private static final long MAX_FILE_BYTES = 64 << 20;

    private ZoneReports() { }

    /** Reads a report or a state file; an IOException says what was expected and found. */
    public static ZoneSnapshot read(Path file) throws IOException {
        if (!Files.isRegularFile(file) || Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": expected a report or a state of at most 64 MiB, found "
                    + (Files.isRegularFile(file) ? "a larger file" : "no file"));
        }
        byte[] bytes = Files.readAllBytes(file);
        try {
            String header = new String(bytes, 0, Math.min(bytes.length, 200), StandardCharsets.UTF_8);
            boolean isState = header.contains("\"" + ZoneStateCodec.STATE_FORMAT + "\"");
            return ZoneStateCodec.snapshot(isState ? ZoneStateCodec.unwrap(ZoneStateCodec.STATE_FORMAT, bytes)
                    : JSON.std.mapFrom(bytes));
        } catch (IOException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Sums the flows of all gateways; budgets are not summed, since each gateway has its own grant. */
    public static Map<Flow, FlowCounts> sum(List<ZoneSnapshot> snapshots) {
        Map<Flow, FlowCounts> sum = new LinkedHashMap<>();
        snapshots.forEach(snapshot -> snapshot.flows()
                .forEach((flow, counts) -> sum.computeIfAbsent(flow, any -> new FlowCounts()).add(counts)));
        return sum;
    }

    /** All snapshots as one JSON text. */
    public static String json(List<ZoneSnapshot> snapshots) throws IOException {
        List<Object> gateways = new ArrayList<>();
        snapshots.forEach(snapshot -> gateways.add(ZoneStateCodec.toMap(snapshot)));
        return JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(Map.of("gateways", gateways)) + "\n";
    }

    /** CSV with a header line and one line per gateway and flow. */
    public static String csv(List<ZoneSnapshot> snapshots) throws IOException {
        List<String> header = new ArrayList<>(List.of("gateway", "at", "from", "to", "client", "class", "pool",
                "tenant", "requests", "attempts",
                "probes", "failed", "sent", "received", "money"));
        for (CrossingCause cause : CrossingCause.values()) {
            header.add(cause.reportName() + "_attempts");
            header.add(cause.reportName() + "_bytes");
        }
        StringBuilder text = new StringBuilder();
        try (CSVPrinter printer = new CSVPrinter(text, CSVFormat.RFC4180.builder()
                .setHeader(header.toArray(new String[0])).get())) {
            for (ZoneSnapshot snapshot : snapshots) {
                for (Map.Entry<Flow, FlowCounts> entry : snapshot.flows().entrySet()) {
                    Flow flow = entry.getKey();
                    FlowCounts counts = entry.getValue();
                    List<Object> row = new ArrayList<>(List.of(snapshot.gateway(),
                            Instant.ofEpochMilli(snapshot.timeMillis()), flow.fromZone(), flow.toZone(),
                            flow.clientZone(), flow.className(), flow.pool(), flow.tenant(), counts.requests(),
                            counts.attempts(), counts.probes(),
                            counts.failed(), counts.bytesSent(), counts.bytesReceived(), snapshot.cost(flow, counts)));
                    for (CrossingCause cause : CrossingCause.values()) {
                        row.add(counts.attempts(cause));
                        row.add(counts.bytes(cause));
                    }
                    printer.printRecord(row);
                }
            }
        }
        return text.toString();
    }

    // ---- text

    /** Crossings by class and pair of zones, crossings by cause, and each gateway's budgets. */
    public static List<String> textLines(List<ZoneSnapshot> snapshots) {
        List<String> lines = new ArrayList<>();
        Map<Flow, FlowCounts> byClass = new TreeMap<>((one, other) -> (one.fromZone() + " " + one.toZone() + " "
                + one.className())
                .compareTo(other.fromZone() + " " + other.toZone() + " " + other.className()));
        Map<Flow, Double> costs = new HashMap<>();
        FlowCounts total = new FlowCounts();
        for (ZoneSnapshot snapshot : snapshots) {
            snapshot.flows().forEach((flow, counts) -> {
                total.add(counts);
                if (flow.crosses()) {
                    Flow key = new Flow(flow.fromZone(), flow.toZone(), "", flow.className(), "", "");
                    byClass.computeIfAbsent(key, any -> new FlowCounts()).add(counts);
                    costs.merge(key, snapshot.cost(flow, counts), Double::sum);
                }
            });
            lines.add("gateway " + snapshot.gateway() + " in " + snapshot.zone() + " at "
                    + Instant.ofEpochMilli(snapshot.timeMillis())
                    + (snapshot.overridingClasses().isEmpty() ? "" : ", giving way: " + snapshot.overridingClasses()));
        }
        lines.add("");
        lines.add(formatRow("crossing", "class", "requests", "attempts", "failed", "sent", "received", "money"));
        FlowCounts crossed = new FlowCounts();
        byClass.forEach((flow, counts) -> {
            crossed.add(counts);
            lines.add(formatRow(flow.fromZone() + " > " + flow.toZone(), flow.className(), "" + counts.requests(),
                    "" + counts.attempts(), "" + counts.failed(),
                    formatBytes(counts.bytesSent()), formatBytes(counts.bytesReceived()),
                    String.format(Locale.ROOT, "%.4f", costs.get(flow))));
        });
        lines.add(String.format(Locale.ROOT, "%d of %d attempts crossed (%.2f%%), %s of %s", crossed.attempts(),
                total.attempts(),
                100.0 * crossed.attempts() / Math.max(1, total.attempts()),
                formatBytes(crossed.bytesSent() + crossed.bytesReceived()),
                formatBytes(total.bytesSent() + total.bytesReceived())));
        lines.add("");
        for (CrossingCause cause : CrossingCause.values()) {
            if (crossed.attempts(cause) > 0 || crossed.bytes(cause) > 0) {
                lines.add(formatRow("because of", cause.reportName(), "", "" + crossed.attempts(cause), "",
                        formatBytes(crossed.bytes(cause)), "", ""));
            }
        }
        for (ZoneSnapshot snapshot : snapshots) {
            snapshot.budgets().forEach(budget -> lines.add(budgetLine(snapshot.gateway(), budget)));
        }
        return lines;
    }

    private static String budgetLine(String gateway, ZoneSnapshot.BudgetStatus budget) {
        CrossingBudget configured = budget.configured();
        return gateway + ", budget " + configured.name() + " until " + Instant.ofEpochMilli(budget.endMillis())
                + ": part " + formatAmount(configured, budget.granted())
                + ", used " + formatAmount(configured, budget.spent()) + ", left "
                + formatAmount(configured, budget.remaining()) + ", by its end "
                + formatAmount(configured, budget.forecast())
                + (budget.owed() > 0 ? ", owed later " + formatAmount(configured, budget.owed()) : "")
                + (budget.account().transferredOut().isEmpty() ? "" : ", gave " + budget.account().transferredOut())
                + (budget.account().transferredIn().isEmpty() ? "" : ", got " + budget.account().transferredIn());
    }

    private static String formatAmount(CrossingBudget budget, double amount) {
        return switch (budget.unit()) {
            case BYTES -> amount < 0 ? "-" + formatBytes(Math.round(-amount)) : formatBytes(Math.round(amount));
            case REQUESTS -> String.format(Locale.ROOT, "%.0f requests", amount);
            case MONEY -> String.format(Locale.ROOT, "%.4f", amount);
        };
    }

    private static String formatRow(String... cells) {
        return String.format(Locale.ROOT, "%-20s %-20s %10s %10s %8s %12s %12s %10s", (Object[]) cells).stripTrailing();
    }

    private static String formatBytes(long bytes) {
        String[] units = {"B", "KiB", "MiB", "GiB", "TiB", "PiB"};
        int unit = Math.min(units.length - 1, bytes < 1024 ? 0 : (63 - Long.numberOfLeadingZeros(bytes)) / 10);
        return unit == 0 ? bytes + " B" : String.format(Locale.ROOT, "%.2f %s", bytes / Math.pow(1024, unit),
                units[unit]);
    }
}
