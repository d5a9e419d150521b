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

/** {@code lab drains}: the platform's gateways as processes, while endpoints drain and the registry is in trouble. */
@Command(name = "drains", description = "Plays the platform's gateways as processes while endpoints drain, vanish and come back, watches fall silent and processes are held up; "
        + "ends with 1 where a request came to who was out of service.", mixinStandardHelpOptions = true)
final class DrainsCommand implements Callable<Integer> {

    private static final int BROKEN = 1;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "of the first play (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--plays", paramLabel = "N", defaultValue = "1", description = "plays, each of the next seed (${DEFAULT-VALUE})")
    private int plays;

    @Option(names = "--gateways", paramLabel = "N", defaultValue = "4", description = "processes (${DEFAULT-VALUE})")
    private int gateways;

    @Option(names = "--endpoints", paramLabel = "N", defaultValue = "8", description = "endpoints (${DEFAULT-VALUE})")
    private int endpoints;

    @Option(names = "--seconds", paramLabel = "N", defaultValue = "30", description = "of disturbance in a play (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--verbose", description = "prints what is done when")
    private boolean verbose;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintStream steps = verbose ? System.out : new PrintStream(PrintStream.nullOutputStream());
        int broken = 0;
        for (int i = 0; i < plays; i++) {
            Path folder = Files.createTempDirectory("drains");
            DrainPlay.Report report = DrainPlay.play(new DrainPlay.Size(gateways, endpoints, seconds), seed + i, folder, steps);
            out.println("seed " + report.seed() + ": " + report.requests() + " requests came, " + report.endsOfService() + " ends of service, " + report.breaches().size() + " breaches");
            report.breaches().forEach(breach -> out.println("  " + breach));
            out.flush();
            broken += report.breaches().isEmpty() ? 0 : 1;
        }
        return broken == 0 ? 0 : BROKEN;
    }
}
