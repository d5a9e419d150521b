package mastdrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import mastdrift.lab.report.ZonePicture;
import mastdrift.zones.ZoneSnapshot;
import mastdrift.zones.edge.ZoneReports;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code zones}: shows cross-zone traffic from the files that gateways write. */
@Command(name = "zones", description = "Shows cross-zone traffic, its causes and what is left of budgets, from the reports or states of gateways.",
        mixinStandardHelpOptions = true)
final class ZonesCommand implements Callable<Integer> {

    private static final int EXIT_ERROR = 1;

    /** Output format. */
    enum Format { TEXT, CSV, JSON }

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(arity = "1..64", paramLabel = "FILE", description = "reports (report_file) or states of gateways; each file is a snapshot of one gateway")
    private List<Path> files;

    @Option(names = "--form", paramLabel = "FORM", defaultValue = "TEXT", description = "text, csv or json (${DEFAULT-VALUE})")
    private Format format;

    @Option(names = "--picture", paramLabel = "FILE", description = "also writes an SVG chart of bytes by class and cause")
    private Path picture;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        List<ZoneSnapshot> snapshots = new ArrayList<>();
        try {
            for (Path file : files) {
                snapshots.add(ZoneReports.read(file));
            }
            switch (format) {
                case CSV -> out.print(ZoneReports.csv(snapshots));
                case JSON -> out.print(ZoneReports.json(snapshots));
                default -> ZoneReports.textLines(snapshots).forEach(out::println);
            }
            out.flush();
            if (picture != null) {
                Files.writeString(picture, ZonePicture.svg(ZoneReports.sum(snapshots)));
            }
            return 0;
        } catch (IOException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return EXIT_ERROR;
        }
    }
}
