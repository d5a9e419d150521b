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

/** {@code lab soak}: the platform's gateways as processes, ends and faults between them, all rules checked. */
@Command(name = "soak", description = "Plays the platform's gateways as processes: ends, signals, holds, a registry and servers in trouble, idle crowds, clients of every class; "
        + "ends with 1 where a rule was broken.", mixinStandardHelpOptions = true)
final class SoakCommand implements Callable<Integer> {

    private static final int BROKEN = 1;
    private static final int SAID_MOST = 6;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "of the first run (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--plays", paramLabel = "N", defaultValue = "1", description = "runs, each of the next seed (${DEFAULT-VALUE})")
    private int plays;

    @Option(names = "--draw", description = "says what each run draws, and plays none")
    private boolean draw;

    @Option(names = "--keep", paramLabel = "FOLDER", description = "keeps the processes' logs there, a folder a run")
    private Path keep;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        int broken = 0;
        for (long each = seed; each < seed + plays; each++) {
            SoakPlan plan = SoakPlan.draw(each);
            if (draw) {
                out.println("| " + each + " | " + plan.drawn() + " |");
                continue;
            }
            Path folder = keep == null ? Files.createTempDirectory("soak") : Files.createDirectories(keep.resolve("seed-" + each));
            SoakPlay.Report report = SoakPlay.play(plan, folder, line -> { });
            out.println("| " + each + " | " + plan.drawn() + " | " + report.requests() + " | " + report.endsOfService() + " | " + report.latestMillis() + " | " + report.verdict() + " | "
                    + report.voidBecause() + " |");
            report.breaches().stream().limit(SAID_MOST).forEach(breach -> out.println("  " + breach));
            if (report.breaches().size() > SAID_MOST) {
                out.println("  and " + (report.breaches().size() - SAID_MOST) + " more");
            }
            out.flush();
            broken += report.verdict().equals("broken") ? 1 : 0;
        }
        return broken == 0 ? 0 : BROKEN;
    }
}
