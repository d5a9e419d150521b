package mastdrift.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import mastdrift.lab.rig.DrainPlay;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab drains}: runs gateways as processes while endpoints drain and the registry fails. */
@Command(name = "drains", description = "Runs the platform's gateways as processes while endpoints drain, vanish and come back, watches stall and processes are paused; "
        + "exits with 1 if a request reached an endpoint that was out of service.", mixinStandardHelpOptions = true)
final class DrainsCommand implements Callable<Integer> {

    private static final int EXIT_VIOLATION = 1;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "seed of the first run (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--plays", paramLabel = "N", defaultValue = "1", description = "number of runs with consecutive seeds (${DEFAULT-VALUE})")
    private int runs;

    @Option(names = "--gateways", paramLabel = "N", defaultValue = "4",
            description = "number of gateway processes (${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--endpoints", paramLabel = "N", defaultValue = "8",
            description = "number of endpoints (${DEFAULT-VALUE})")
    private int endpoints;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "30", description = "seconds of faults in a run (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--verbose", description = "prints the steps of each run with their times")
    private boolean verbose;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintStream steps = verbose ? System.out : new PrintStream(PrintStream.nullOutputStream());
        int brokenRuns = 0;
        for (int i = 0; i < runs; i++) {
            Path folder = Files.createTempDirectory("drains");
            DrainPlay.Report report = DrainPlay.play(new DrainPlay.Size(gateways, endpoints, seconds), seed + i, folder, steps);
            out.println("seed " + report.seed() + ": " + report.requests() + " requests came, " + report.endsOfService() + " ends of service, " + report.breaches().size() + " breaches");
            report.breaches().forEach(breach -> out.println("  " + breach));
            out.flush();
            brokenRuns += report.breaches().isEmpty() ? 0 : 1;
        }
        return brokenRuns == 0 ? 0 : EXIT_VIOLATION;
    }
}
