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

/** {@code lab chaos}: gateways as processes, with faults between them. */
@Command(name = "chaos", description = "Plays gateways as processes of this machine, with faults between them, and judges what they did; ends with 1 where a law was broken.",
        mixinStandardHelpOptions = true)
final class ChaosCommand implements Callable<Integer> {

    private static final int BROKEN = 1;
    private static final int WORDS = 2;
    private static final int FAULT = 4;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "0..1", description = "the plan")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "draws by this seed, whatever the file says")
    private Long seed;

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "1", description = "plays so many seeds one after the other, from the first up (${DEFAULT-VALUE})")
    private int seeds;

    @Option(names = "--replay", paramLabel = "DIR", description = "plays again what an earlier run left there")
    private Path replay;

    @Option(names = "--out", paramLabel = "DIR", defaultValue = "chaos-results", description = "where runs go, a folder each (${DEFAULT-VALUE})")
    private Path out;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter to = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        if ((file == null) == (replay == null) || seeds < 1 || seeds > 10_000 || replay != null && (seed != null || seeds > 1)) {
            err.println("expected a FILE, or --replay DIR without --seed and --seeds; and --seeds from 1 to 10000");
            return WORDS;
        }
        int broken = 0;
        for (int i = 0; i < seeds; i++) {
            ChaosPlan.Result read = ChaosPlan.read(replay == null ? file : replay.resolve("plan.toml"), seed == null ? null : Long.valueOf(seed + i));
            if (read.plan() != null && seed == null && i > 0) {
                read = ChaosPlan.read(file, read.plan().seed() + i);
            }
            read.problems().forEach(err::println);
            if (read.plan() == null) {
                return WORDS;
            }
            Path folder = out.resolve(read.plan().name() + "-" + read.plan().seed());
            try {
                Chaos.Outcome outcome = Chaos.play(read.plan(), folder, to::println);
                Results.save(folder, "report.html", report(outcome));
                to.printf("seed %d: %d faults, asked %d, served %d, refused %d, otherwise %d; %s; written to %s%n", read.plan().seed(), read.plan().faults().size(),
                        outcome.total(0), outcome.total(1), outcome.total(2), outcome.total(3), outcome.broken().isEmpty() ? "no law broken" : "BROKEN", folder);
                outcome.broken().forEach(line -> err.println("seed " + outcome.plan().seed() + ": " + line));
                broken += outcome.broken().isEmpty() ? 0 : 1;
            } catch (IOException e) {
                err.println(e.getMessage());
                return FAULT;
            }
            to.flush();
        }
        return broken == 0 ? 0 : BROKEN;
    }

    /** Service by second, and a lane a process. */
    static String report(Chaos.Outcome outcome) {
        List<Band> bands = new ArrayList<>();
        List<Results.FaultMark> marks = new ArrayList<>();
        for (Fault fault : outcome.faults()) {
            double from = fault.from() / 1e6;
            double until = fault.until() / 1e6;
            fault.gateways().forEach(number -> bands.add(new Band(number, from, until, fault.kind().word(), fault.kind().ordinal())));
            marks.add(new Results.FaultMark(fault.kind().word(), from, until));
        }
        List<double[]> seconds = outcome.seconds().stream().map(second -> new double[] {second[0], second[1], second[2], second[3]}).toList();
        StringBuilder html = new StringBuilder("<!doctype html><html><head><meta charset=\"utf-8\"><title>").append(outcome.plan().name()).append("</title></head><body><h1>")
                .append(outcome.plan().name()).append(", seed ").append(outcome.plan().seed()).append("</h1>");
        html.append(outcome.broken().isEmpty() ? "<p>No law was broken.</p>" : "<p>Broken:</p><ul>");
        outcome.broken().forEach(line -> html.append("<li>").append(line.replace("&", "&amp;").replace("<", "&lt;")).append("</li>"));
        html.append(outcome.broken().isEmpty() ? "" : "</ul>");
        html.append(LanesPicture.counts(List.of("asked", "served", "refused", "otherwise"), seconds, marks));
        html.append(LanesPicture.lanes(outcome.plan().names(), bands, seconds.size()));
        return html.append("</body></html>\n").toString();
    }
}
