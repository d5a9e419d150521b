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
import mastdrift.tally.Count;
import mastdrift.tally.Fleet;
import mastdrift.tally.Second;
import mastdrift.tally.Step;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What a fleet of gateways did, added up from their logs. */
@Command(name = "fleet", description = "Adds up what gateways say in their logs: by second, gateway or host. Counts a second are there where the"
        + " gateway was started with --tally.", mixinStandardHelpOptions = true)
final class FleetCommand implements Callable<Integer> {

    private static final int REFUSED = 1;

    /** What a row is of. */
    enum By { SECOND, GATEWAY, HOST, MARGIN }

    /** How it is written. */
    enum Form { TEXT, CSV }

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(arity = "1..1024", paramLabel = "LOG", description = "logs, one a gateway; its name is the file's")
    private List<Path> logs;

    @Option(names = "--by", paramLabel = "WHAT", defaultValue = "SECOND", description = "second, gateway, host or margin (${DEFAULT-VALUE})")
    private By by;

    @Option(names = "--request", paramLabel = "ID", description = "the steps of one request over all gateways, by its trace id or a part of it")
    private String request;

    @Option(names = "--form", paramLabel = "FORM", defaultValue = "TEXT", description = "text or csv (${DEFAULT-VALUE})")
    private Form form;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        Fleet fleet = new Fleet();
        if (request != null) {
            fleet.follow(request);
        }
        for (Path log : logs) {
            // What a killed gateway wrote last may end within a character.
            try (BufferedReader lines = Files.newBufferedReader(log, StandardCharsets.ISO_8859_1)) {
                int number = 0;
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    fleet.read(log.getFileName().toString().replaceFirst("\\.log$", ""), ++number, line);
                }
                fleet.end();
            } catch (IOException e) {
                err.println("can't read " + log + ": " + e);
                return REFUSED;
            }
        }
        fleet.faults().forEach(err::println);
        if (fleet.faulty() > fleet.faults().size()) {
            err.println("and " + (fleet.faulty() - fleet.faults().size()) + " lines more that can't be read");
        }
        if (request != null && fleet.seen().isEmpty()) {
            err.println("expected steps of request " + request + ", found none in " + logs.size() + " logs: written with --tally, and for a part"
                    + " of the requests where many come");
            return REFUSED;
        }
        List<List<String>> rows = request != null ? ofRequest(fleet) : switch (by) {
            case SECOND -> bySecond(fleet);
            case GATEWAY -> byGateway(fleet);
            case HOST -> byHost(fleet);
            case MARGIN -> fleet.margins().rows();
        };
        if (form == Form.CSV) {
            try (CSVPrinter csv = new CSVPrinter(out, CSVFormat.DEFAULT.builder().setRecordSeparator('\n').get())) {
                csv.printRecords(rows);
            }
        } else {
            print(rows, out);
        }
        out.flush();
        return 0;
    }

    /** Counts that are zero throughout are left out. */
    private static List<Count> counted(Fleet fleet) {
        Second all = fleet.all();
        return Arrays.stream(Count.values()).filter(count -> all.of(count) > 0).toList();
    }

    private static List<String> row(List<Count> counts, Second of, String... ahead) {
        List<String> row = new ArrayList<>(Arrays.asList(ahead));
        counts.forEach(count -> row.add(Long.toString(of.of(count))));
        return row;
    }

    private static List<String> head(List<Count> counts, String... ahead) {
        List<String> row = new ArrayList<>(Arrays.asList(ahead));
        counts.forEach(count -> row.add(count.name().toLowerCase(Locale.ROOT)));
        return row;
    }

    private static List<List<String>> bySecond(Fleet fleet) {
        List<Count> counts = counted(fleet);
        List<List<String>> rows = new ArrayList<>(List.of(head(counts, "second", "gateways")));
        long first = fleet.seconds().keySet().stream().findFirst().orElse(0L);
        fleet.seconds().forEach((at, second) ->
                rows.add(row(counts, second, Long.toString(at - first), Integer.toString(fleet.counting(at)))));
        rows.add(row(counts, fleet.all(), "all", Integer.toString(fleet.gateways().size())));
        return rows;
    }

    private static List<List<String>> byGateway(Fleet fleet) {
        List<Count> counts = counted(fleet);
        List<List<String>> rows = new ArrayList<>(List.of(head(counts, "gateway", "starts", "lists_said", "failed_said", "unheard_s", "late_ms")));
        fleet.said().forEach((name, said) -> rows.add(row(counts, fleet.gateways().getOrDefault(name, new Second(0)), name,
                Integer.toString(said.starts()), Integer.toString(said.changes()), Integer.toString(said.callsFailed()),
                String.format("%.1f", said.unheardMost()), Long.toString(said.lateMost()))));
        return rows;
    }

    private static List<List<String>> ofRequest(Fleet fleet) {
        List<List<String>> rows = new ArrayList<>(List.of(List.of("ms", "gateway", "step", "attempt", "host", "what", "span_ms")));
        long first = fleet.seen().get(0).step().at();
        for (Fleet.Seen seen : fleet.seen()) {
            Step step = seen.step();
            rows.add(List.of(String.format("%.1f", (step.at() - first) / 1e3), seen.gateway(), step.kind().name().toLowerCase(Locale.ROOT),
                    step.attempt() < 0 ? "" : Integer.toString(step.attempt()), step.host(), step.word(), String.format("%.1f", step.span() / 1e3)));
        }
        return rows;
    }

    private static List<List<String>> byHost(Fleet fleet) {
        List<List<String>> rows = new ArrayList<>(List.of(List.of("host", "sends", "lost", "lost_part")));
        fleet.all().hosts().entrySet().stream()
                .sorted(Comparator.comparingLong((Map.Entry<String, Second.OfHost> host) -> -host.getValue().lost()))
                .forEach(host -> rows.add(List.of(host.getKey(), Long.toString(host.getValue().sends()), Long.toString(host.getValue().lost()),
                        String.format("%.3f", host.getValue().lost() / (double) Math.max(1, host.getValue().sends())))));
        return rows;
    }

    private static void print(List<List<String>> rows, PrintWriter out) {
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
