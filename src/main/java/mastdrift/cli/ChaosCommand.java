package mastdrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import mastdrift.lab.Results;
import mastdrift.lab.report.LanesPicture;
import mastdrift.lab.report.LanesPicture.Band;
import mastdrift.lab.rig.Chaos;
import mastdrift.lab.rig.ChaosPlan;
import mastdrift.lab.rig.Fault;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab chaos}: runs gateways as processes, injects faults between them and checks invariants. */
@Command(name = "chaos", description = "Runs gateways as processes on this machine, with faults between them, and checks invariants; exits with 1 if one was broken.",
        mixinStandardHelpOptions = true)
final class ChaosCommand implements Callable<Integer> {

    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_IO_ERROR = 4;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "0..1", description = "the plan")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "random seed, instead of the file's")
    private Long seed;

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "number of consecutive seeds to run (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--replay", paramLabel = "DIR", description = "runs the plan again that an earlier run left there")
    private Path replay;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = "chaos-results", description = "folder for results, with a subfolder for each run (${DEFAULT-VALUE})")
    private Path resultsFolder;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        if ((file == null) == (replay == null) || seeds < 1 || seeds > 10_000 || replay != null && (seed != null || seeds > 1)) {
            err.println("expected a FILE, or --replay DIR without --seed and --seeds; and --seeds from 1 to 10000");
            return EXIT_USAGE;
        }
        int brokenRuns = 0;
        for (int i = 0; i < seeds; i++) {
            ChaosPlan.Result result = ChaosPlan.read(replay == null ? file : replay.resolve("plan.toml"), seed == null ? null : Long.valueOf(seed + i));
            if (result.plan() != null && seed == null && i > 0) {
                result = ChaosPlan.read(file, result.plan().seed() + i);
            }
            result.problems().forEach(err::println);
            if (result.plan() == null) {
                return EXIT_USAGE;
            }
            Path folder = resultsFolder.resolve(result.plan().name() + "-" + result.plan().seed());
            try {
                Chaos.Outcome outcome = Chaos.play(result.plan(), folder, out::println);
                Results.save(folder, "report.html", report(outcome));
                out.printf("seed %d: %d faults, asked %d, served %d, refused %d, otherwise %d; %s; written to %s%n", result.plan().seed(), result.plan().faults().size(),
                        outcome.total(0), outcome.total(1), outcome.total(2), outcome.total(3), outcome.broken().isEmpty() ? "no invariant broken" : "BROKEN", folder);
                outcome.broken().forEach(line -> err.println("seed " + outcome.plan().seed() + ": " + line));
                brokenRuns += outcome.broken().isEmpty() ? 0 : 1;
            } catch (IOException e) {
                err.println(e.getMessage());
                return EXIT_IO_ERROR;
            }
            out.flush();
        }
        return brokenRuns == 0 ? 0 : EXIT_VIOLATION;
    }

    /** The HTML report: answers by second, and a lane for each process with its faults. */
    static String report(Chaos.Outcome outcome) {
        List<Band> bands = new ArrayList<>();
        List<Results.FaultMark> marks = new ArrayList<>();
        for (Fault fault : outcome.faults()) {
            double from = fault.from() / 1e6;
            double until = fault.until() / 1e6;
            fault.gateways().forEach(gateway -> bands.add(new Band(gateway, from, until, fault.kind().word(), fault.kind().ordinal())));
            marks.add(new Results.FaultMark(fault.kind().word(), from, until));
        }
        List<double[]> seconds = outcome.seconds().stream().map(second -> new double[] {second[0], second[1], second[2], second[3]}).toList();
        StringBuilder html = new StringBuilder("<!doctype html><html><head><meta charset=\"utf-8\"><title>").append(outcome.plan().name()).append("</title></head><body><h1>")
                .append(outcome.plan().name()).append(", seed ").append(outcome.plan().seed()).append("</h1>");
        html.append(outcome.broken().isEmpty() ? "<p>No invariant was broken.</p>" : "<p>Broken:</p><ul>");
        outcome.broken().forEach(line -> html.append("<li>").append(line.replace("&", "&amp;").replace("<", "&lt;")).append("</li>"));
        html.append(outcome.broken().isEmpty() ? "" : "</ul>");
        html.append(LanesPicture.counts(List.of("asked", "served", "refused", "otherwise"), seconds, marks));
        html.append(LanesPicture.lanes(outcome.plan().names(), bands, seconds.size()));
        return html.append("</body></html>\n").toString();
    }
}
