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

/** {@code lab scale}: measures the cost of the control plane at the size of a fleet. */
@Command(name = "scale", description = "Runs control machines and hollow gateways on loopback at several sizes, and writes scale.csv, scale.json and scale.html; exits with 1 if "
        + "a change did not come into force in time, with 2 if the plan cannot be run here.", mixinStandardHelpOptions = true)
final class ScaleCommand implements Callable<Integer> {

    private static final int EXIT_SHORTFALL = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_IO_ERROR = 4;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "the plan")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "random seed, instead of the file's")
    private Long seed;

    @Option(names = "--out", paramLabel = "DIR", description = "folder for results (default: the plan's name and seed, below lab-results)")
    private Path resultsFolder;

    @Override
    public Integer call() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        ScalePlan.Result result = ScalePlan.read(file, seed);
        result.problems().forEach(err::println);
        if (result.plan() == null) {
            return EXIT_USAGE;
        }
        List<String> refusals = Scale.refusals(result.plan());
        refusals.forEach(err::println);
        if (!refusals.isEmpty()) {
            return EXIT_USAGE;
        }
        Path folder = resultsFolder == null ? Path.of("lab-results", result.plan().name() + "-" + result.plan().seed())
                : resultsFolder;
        try {
            Figures figures = Scale.play(result.plan(), folder, line -> {
                out.println(line);
                out.flush();
            });
            Results.save(folder, "scale.csv", figures.csv());
            Results.save(folder, "scale.json", figures.json());
            Results.save(folder, "scale.html", figures.html());
            out.print(figures.table());
            figures.shortfalls().forEach(err::println);
            out.println("written to " + folder);
            return figures.shortfalls().isEmpty() ? 0 : EXIT_SHORTFALL;
        } catch (IOException e) {
            err.println(e.getMessage());
            return EXIT_IO_ERROR;
        }
    }
}
