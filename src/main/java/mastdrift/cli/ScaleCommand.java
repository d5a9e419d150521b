package mastdrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import mastdrift.lab.Results;
import mastdrift.lab.scale.Figures;
import mastdrift.lab.scale.Scale;
import mastdrift.lab.scale.ScalePlan;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab scale}: what the control side costs at the size of a fleet. */
@Command(name = "scale", description = "Plays control machines and hollow gateways on loopback at several sizes, and writes scale.csv, scale.json and scale.html; ends with 1 where "
        + "something did not come into force in time, with 2 where the plan can't be played here.", mixinStandardHelpOptions = true)
final class ScaleCommand implements Callable<Integer> {

    private static final int SHORT = 1;
    private static final int WORDS = 2;
    private static final int FAULT = 4;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the plan")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "draws by this seed, whatever the file says")
    private Long seed;

    @Option(names = "--out", paramLabel = "DIR", description = "where results go (default: the plan's name and seed, below lab-results)")
    private Path out;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter to = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        ScalePlan.Result read = ScalePlan.read(file, seed);
        read.problems().forEach(err::println);
        if (read.plan() == null) {
            return WORDS;
        }
        List<String> refusals = Scale.refusals(read.plan());
        refusals.forEach(err::println);
        if (!refusals.isEmpty()) {
            return WORDS;
        }
        Path folder = out == null ? Path.of("lab-results", read.plan().name() + "-" + read.plan().seed()) : out;
        try {
            Figures figures = Scale.play(read.plan(), folder, line -> {
                to.println(line);
                to.flush();
            });
            Results.save(folder, "scale.csv", figures.csv());
            Results.save(folder, "scale.json", figures.json());
            Results.save(folder, "scale.html", figures.html());
            to.print(figures.table());
            figures.shortfalls().forEach(err::println);
            to.println("written to " + folder);
            return figures.shortfalls().isEmpty() ? 0 : SHORT;
        } catch (IOException e) {
            err.println(e.getMessage());
            return FAULT;
        }
    }
}
