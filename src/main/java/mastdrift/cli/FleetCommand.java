package mastdrift.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import mastdrift.tally.Counter;
import mastdrift.tally.FleetSummary;
import mastdrift.tally.SecondCounts;
import mastdrift.tally.RequestStep;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code fleet}: aggregates the logs of a fleet of gateways. */
@Command(name = "fleet", description = "Aggregates the logs of gateways by second, gateway or host. Counts per second need a"
        + " gateway started with --tally.", mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {

    private static final int EXIT_ERROR = 1;

    /** What a row of the table is about. */
    enum Grouping { SECOND, GATEWAY, HOST, MARGIN }

    /** Output format. */
    enum Format { TEXT, CSV }

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(arity = "1..1024", paramLabel = "LOG",
            description = "log files, one per gateway, which is named after its file")
    private List<Path> logs;

    @Option(names = "--by", paramLabel = "WHAT", defaultValue = "SECOND", description = "second, gateway, host or margin (${DEFAULT-VALUE})")
    private Grouping grouping;

    @Option(names = "--request", paramLabel = "ID", description = "the steps of one request over all gateways, by its trace id or a part of it")
    private String traceId;

    @Option(names = "--form", paramLabel = "FORM", defaultValue = "TEXT", description = "text or csv (${DEFAULT-VALUE})")
    private Format format;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        FleetSummary fleet = new FleetSummary();
        if (traceId != null) {
            fleet.traceRequest(traceId);
        }
        for (Path log : logs) {
            // The last line of a killed gateway may end in the middle of a character; ISO 8859-1 decodes any bytes.
            try (BufferedReader lines = Files.newBufferedReader(log, StandardCharsets.ISO_8859_1)) {
                int lineNumber = 0;
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    fleet.readLine(log.getFileName().toString().replaceFirst("\\.log$", ""), ++lineNumber, line);
                }
                fleet.endLog();
            } catch (IOException e) {
                err.println("can't read " + log + ": " + e);
                return EXIT_ERROR;
            }
        }
        fleet.parseErrors().forEach(err::println);
        if (fleet.parseErrorCount() > fleet.parseErrors().size()) {
            err.println("and " + (fleet.parseErrorCount() - fleet.parseErrors().size())
                    + " more lines that can't be read");
        }
        if (traceId != null && fleet.tracedSteps().isEmpty()) {
            err.println("expected steps of request " + traceId + ", found none in " + logs.size() + " logs: gateways log steps with --tally, and under high load only"
                    + " those of some requests");
            return EXIT_ERROR;
        }
        List<List<String>> rows = traceId != null ? requestRows(fleet) : switch (grouping) {
            case SECOND -> secondRows(fleet);
            case GATEWAY -> gatewayRows(fleet);
            case HOST -> hostRows(fleet);
            case MARGIN -> fleet.margins().rows();
        };
        if (format == Format.CSV) {
            try (CSVPrinter csv = new CSVPrinter(out, CSVFormat.DEFAULT.builder().setRecordSeparator('\n').get())) {
                csv.printRecords(rows);
            }
        } else {
            printTable(rows, out);
        }
        out.flush();
        return 0;
    }

    /** Counters that are above zero in at least one second. */
    private static List<Counter> nonZeroCounters(FleetSummary fleet) {
        SecondCounts total = fleet.total();
        return Arrays.stream(Counter.values()).filter(counter -> total.count(counter) > 0).toList();
    }

    private static List<String> countsRow(List<Counter> counters, SecondCounts counts, String... leadingCells) {
        List<String> row = new ArrayList<>(Arrays.asList(leadingCells));
        counters.forEach(counter -> row.add(Long.toString(counts.count(counter))));
        return row;
    }

    private static List<String> headerRow(List<Counter> counters, String... leadingCells) {
        List<String> row = new ArrayList<>(Arrays.asList(leadingCells));
        counters.forEach(counter -> row.add(counter.name().toLowerCase(Locale.ROOT)));
        return row;
    }

    private static List<List<String>> secondRows(FleetSummary fleet) {
        List<Counter> counters = nonZeroCounters(fleet);
        List<List<String>> rows = new ArrayList<>(List.of(headerRow(counters, "second", "gateways")));
        long firstSecond = fleet.seconds().keySet().stream().findFirst().orElse(0L);
        fleet.seconds().forEach((unixSeconds, counts) ->
                rows.add(countsRow(counters, counts, Long.toString(unixSeconds - firstSecond),
                        Integer.toString(fleet.reportingGateways(unixSeconds)))));
        rows.add(countsRow(counters, fleet.total(), "all", Integer.toString(fleet.gateways().size())));
        return rows;
    }

    private static List<List<String>> gatewayRows(FleetSummary fleet) {
        List<Counter> counters = nonZeroCounters(fleet);
        List<List<String>> rows = new ArrayList<>(List.of(headerRow(counters, "gateway", "starts", "lists_said", "failed_said", "unheard_s", "late_ms")));
        fleet.events().forEach((name, events) -> rows.add(countsRow(counters, fleet.gateways().getOrDefault(name, new SecondCounts(0)), name,
                Integer.toString(events.starts()), Integer.toString(events.listUpdates()),
                Integer.toString(events.failedCalls()),
                String.format("%.1f", events.maxListGapSeconds()), Long.toString(events.maxLatenessMillis()))));
        return rows;
    }

    /** The steps of the traced request, with times relative to the first one. */
    private static List<List<String>> requestRows(FleetSummary fleet) {
        List<List<String>> rows = new ArrayList<>(List.of(List.of("ms", "gateway", "step", "attempt", "host", "what", "span_ms")));
        long firstMicros = fleet.tracedSteps().get(0).step().unixMicros();
        for (FleetSummary.GatewayStep traced : fleet.tracedSteps()) {
            RequestStep step = traced.step();
            rows.add(List.of(String.format("%.1f", (step.unixMicros() - firstMicros) / 1e3), traced.gateway(), step.kind().name().toLowerCase(Locale.ROOT),
                    step.attempt() < 0 ? "" : Integer.toString(step.attempt()), step.host(), step.detail(), String.format("%.1f", step.spanMicros() / 1e3)));
        }
        return rows;
    }

    private static List<List<String>> hostRows(FleetSummary fleet) {
        List<List<String>> rows = new ArrayList<>(List.of(List.of("host", "sends", "lost", "lost_part")));
        fleet.total().hosts().entrySet().stream()
                .sorted(Comparator.comparingLong(
                        (Map.Entry<String, SecondCounts.HostCounts> host) -> -host.getValue().lost()))
                .forEach(host -> rows.add(List.of(host.getKey(), Long.toString(host.getValue().sends()), Long.toString(host.getValue().lost()),
                        String.format("%.3f", host.getValue().lost() / (double) Math.max(1, host.getValue().sends())))));
        return rows;
    }

    /** Prints the rows as a table with right-aligned columns. */
    private static void printTable(List<List<String>> rows, PrintWriter out) {
        int[] widths = new int[rows.get(0).size()];
        rows.forEach(row -> Arrays.setAll(widths, i -> Math.max(widths[i], row.get(i).length())));
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(" ".repeat(widths[i] - row.get(i).length())).append(row.get(i)).append(i + 1 < widths.length ? "  " : "");
            }
            out.println(line);
        }
    }
}
