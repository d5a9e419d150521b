package mastdrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import mastdrift.lab.soak.SoakPlan;
import mastdrift.lab.soak.SoakPlay;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab soak}: runs gateways as processes with restarts and faults, and checks all rules. */
@Command(name = "soak", description = "Runs the platform's gateways as processes with stops, signals, pauses, registry and server faults, many idle connections and clients of every class; "
        + "exits with 1 if a rule was broken.", mixinStandardHelpOptions = true)
final class SoakCommand implements Callable<Integer> {

    private static final int EXIT_VIOLATION = 1;
    private static final int MAX_BREACHES_PRINTED = 6;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1",
            description = "seed of the first run (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--plays", paramLabel = "N", defaultValue = "1", description = "number of runs with consecutive seeds (${DEFAULT-VALUE})")
    private int runs;

    @Option(names = "--draw", description = "prints what each run would draw, without running it")
    private boolean drawOnly;

    @Option(names = "--keep", paramLabel = "FOLDER",
            description = "keeps the logs of the processes in this folder, with a subfolder for each run")
    private Path logsFolder;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        int brokenRuns = 0;
        for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
            SoakPlan plan = SoakPlan.draw(runSeed);
            if (drawOnly) {
                out.println("| " + runSeed + " | " + plan.drawn() + " |");
                continue;
            }
            Path folder = logsFolder == null ? Files.createTempDirectory("soak") : Files.createDirectories(logsFolder.resolve("seed-" + runSeed));
            SoakPlay.Report report = SoakPlay.play(plan, folder, line -> { });
            out.println("| " + runSeed + " | " + plan.drawn() + " | " + report.requests() + " | " + report.endsOfService() + " | " + report.latestMillis() + " | " + report.verdict() + " | "
                    + report.voidBecause() + " |");
            report.breaches().stream().limit(MAX_BREACHES_PRINTED).forEach(breach -> out.println("  " + breach));
            if (report.breaches().size() > MAX_BREACHES_PRINTED) {
                out.println("  and " + (report.breaches().size() - MAX_BREACHES_PRINTED) + " more");
            }
            out.flush();
            brokenRuns += report.verdict().equals("broken") ? 1 : 0;
        }
        return brokenRuns == 0 ? 0 : EXIT_VIOLATION;
    }
}
