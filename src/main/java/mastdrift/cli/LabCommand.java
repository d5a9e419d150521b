package mastdrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.lab.Comparison;
import mastdrift.lab.Experiment;
import mastdrift.lab.Experiment.Arm;
import mastdrift.lab.ExperimentReader;
import mastdrift.lab.Grid;
import mastdrift.lab.GridResults;
import mastdrift.lab.GridRunner;
import mastdrift.lab.Replay;
import mastdrift.lab.Results;
import mastdrift.lab.RunResult;
import mastdrift.lab.Runner;
import mastdrift.lab.report.GridPicture;
import mastdrift.lab.report.Report;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab}: runs, compares and reports experiments. */
@Command(name = "lab",
        description = "Runs experiments in the model or over loopback, compares them and reports on them.",
        subcommands = {LabCommand.Run.class, LabCommand.Compare.class, LabCommand.RunGrid.class, LabCommand.ReplayRun.class, LabCommand.WriteReport.class, ChaosCommand.class, ScaleCommand.class, DrainsCommand.class, SoakCommand.class},
        mixinStandardHelpOptions = true)
final class LabCommand implements Runnable {

    private static final int EXIT_VIOLATION = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_IO_ERROR = 4;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected a command");
    }

    private static Experiment readExperiment(Path file, String mode, Long seeds, PrintWriter err) {
        ExperimentReader.Result result = ExperimentReader.read(file, mode, seeds);
        result.problems().forEach(err::println);
        return result.experiment();
    }

    /** {@code lab run}: runs all arms and seeds of an experiment. */
    @Command(name = "run", description = "Runs an experiment, and writes results.json and report.html.", mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {

        private static final long SAVE_TIMEOUT_SECONDS = 20;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the experiment")
        private Path file;

        @Option(names = "--out", paramLabel = "FOLDER", description = "folder for results (default: the experiment's name, below lab-results)")
        private Path resultsFolder;

        @Option(names = "--threads", paramLabel = "N", description = "concurrent runs (default: one per core, as memory allows)")
        private Integer threads;

        @Option(names = "--by", paramLabel = "WAY", description = "model or loopback, instead of what the file says")
        private String mode;

        @Option(names = "--seeds", paramLabel = "N", description = "number of seeds, instead of the file's")
        private Long seeds;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            if (mode != null && !mode.equals("model") && !mode.equals("loopback") || seeds != null && (seeds < 1 || seeds > 1000)) {
                err.println("expected --by model or loopback and --seeds from 1 to 1000, found " + mode + " and " + seeds);
                return EXIT_USAGE;
            }
            Experiment experiment = readExperiment(file, mode, seeds, err);
            if (experiment == null) {
                return EXIT_USAGE;
            }
            int maxThreads;
            try {
                maxThreads = Runner.fitting(experiment, Runtime.getRuntime().maxMemory() * 3 / 4);
            } catch (IllegalArgumentException e) {
                err.println(e.getMessage());
                return EXIT_USAGE;
            }
            int runs = experiment.arms().size() * experiment.seeds().size();
            int threadCount = Math.min(runs, Math.min(maxThreads, threads == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, threads)));
            Path folder = resultsFolder == null ? Path.of("lab-results", experiment.name()) : resultsFolder;
            CountDownLatch saved = new CountDownLatch(1);
            try (ProgressBar bar = System.console() == null ? null : new ProgressBarBuilder().setTaskName(experiment.name())
                    .setInitialMax(runs).setUnit(" runs", 1).setStyle(ProgressBarStyle.ASCII).build()) {
                Runner runner = new Runner(experiment, threadCount, result -> {
                    if (bar != null) {
                        bar.step();
                    }
                });
                // On Ctrl-C the finished runs are saved.
                Thread saveOnExit = new Thread(() -> {
                    runner.stop();
                    try {
                        saved.await(SAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                Runtime.getRuntime().addShutdownHook(saveOnExit);
                Results results = runner.run();
                results.save(folder);
                Results.save(folder, "report.html", Report.html(results));
                saved.countDown();
                try {
                    Runtime.getRuntime().removeShutdownHook(saveOnExit);
                } catch (IllegalStateException e) {
                    err.println("interrupted: " + results.runs().size() + " of " + runs + " runs are kept");
                }
                print(out, results);
                out.println("written to " + folder);
                results.broken().forEach(err::println);
                return results.broken().isEmpty() ? 0 : EXIT_VIOLATION;
            } catch (IOException e) {
                saved.countDown();
                err.println(e.getMessage());
                return EXIT_IO_ERROR;
            }
        }

        private static void print(PrintWriter out, Results results) {
            out.printf("%-12s %6s %9s %9s %9s %9s %9s %9s %9s %9s  %s%n", "arm", "runs", "goodput", "refused", "failed", "attempts", "crossed",
                    "p50 ms", "p99 ms", "p99.9 ms", "rules broken: answers, twice, drains, fallen");
            for (String arm : results.arms()) {
                List<RunResult> runs = results.of(arm);
                out.printf(Locale.ROOT, "%-12s %6d %9.4f %9.4f %9.4f %9.3f %9.4f %9.2f %9.2f %9.2f  %d, %d, %d, %d%n", arm, runs.size(),
                        mean(runs, Experiment.Quantity.GOODPUT), mean(runs, Experiment.Quantity.REFUSED),
                        mean(runs, Experiment.Quantity.FAILED), mean(runs, Experiment.Quantity.ATTEMPTS),
                        mean(runs, Experiment.Quantity.CROSSED),
                        mean(runs, Experiment.Quantity.P50) / 1e3, mean(runs, Experiment.Quantity.P99) / 1e3,
                        mean(runs, Experiment.Quantity.P999) / 1e3, sum(runs, "broken_1"), sum(runs, "broken_2"),
                        sum(runs, "broken_3"), sum(runs, "broken_4"));
            }
        }

        private static double mean(List<RunResult> runs, Experiment.Quantity quantity) {
            return runs.stream().mapToDouble(quantity::of).average().orElse(0);
        }

        private static long sum(List<RunResult> runs, String counter) {
            return runs.stream().mapToLong(run -> run.count(counter)).sum();
        }
    }

    /** {@code lab grid}: runs an experiment at every point of its grid. */
    @Command(name = "grid", description = "Runs an experiment at every point of its [grid], and writes grid.md, grid.csv and grid.svg; exits with "
            + "1 if the first arm is worse than the best other arm beyond the confidence interval, or breaks a rule.",
            mixinStandardHelpOptions = true)
    static final class RunGrid implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the experiment, with a table [grid]")
        private Path file;

        @Option(names = "--out", paramLabel = "FOLDER", description = "folder for results (default: the experiment's name, below lab-results)")
        private Path resultsFolder;

        @Option(names = "--threads", paramLabel = "N", description = "concurrent runs (default: one per core, as memory allows)")
        private Integer threads;

        @Option(names = "--seeds", paramLabel = "N", description = "number of seeds, instead of the file's")
        private Long seeds;

        @Option(names = "--pairs-most", paramLabel = "N", defaultValue = "40000000",
                description = "leaves out points where gateways times nodes exceeds N (default: none)")
        private long maxPairs;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            if (seeds != null && (seeds < 1 || seeds > 1000) || maxPairs < 1) {
                err.println("expected --seeds from 1 to 1000 and --pairs-most of 1 or more, found " + seeds + " and " + maxPairs);
                return EXIT_USAGE;
            }
            ExperimentReader.Result result = ExperimentReader.read(file, null, seeds);
            result.problems().forEach(err::println);
            Grid grid = result.grid() == null ? null : result.grid().upTo(maxPairs);
            if (grid == null) {
                if (result.experiment() != null) {
                    err.println(file + ": expected a table [grid], found none");
                }
                return EXIT_USAGE;
            }
            if (grid.points().isEmpty()) {
                err.println("--pairs-most: expected some points of the grid to be left, found none");
                return EXIT_USAGE;
            }
            GridRunner runner;
            AtomicInteger done = new AtomicInteger();
            int runs = grid.points().size() * grid.base().arms().size() * grid.base().seeds().size();
            try {
                runner = new GridRunner(grid, threads == null ? Runtime.getRuntime().availableProcessors() : threads,
                        Runtime.getRuntime().maxMemory() * 9 / 10, point -> {
                            if (done.incrementAndGet() % 50 == 0) {
                                err.println(done + " of " + runs + " runs");
                                err.flush();
                            }
                        });
            } catch (IllegalArgumentException e) {
                err.println(e.getMessage());
                return EXIT_USAGE;
            }
            Path folder = resultsFolder == null ? Path.of("lab-results", grid.base().name()) : resultsFolder;
            try {
                GridResults results = runner.run();
                String table = results.table();
                Results.save(folder, "grid.md", table);
                Results.save(folder, "grid.csv", results.csv());
                Results.save(folder, "grid.svg", GridPicture.svg(results));
                out.print(table);
                out.println("written to " + folder);
                return printFailures(results, err);
            } catch (IOException e) {
                err.println(e.getMessage());
                return EXIT_IO_ERROR;
            }
        }

        /** Prints the points at which the first arm is worse or breaks a rule; returns the exit status. */
        private static int printFailures(GridResults results, PrintWriter err) {
            int status = 0;
            for (Grid.Point point : results.whole()) {
                GridResults.Verdict verdict = results.verdict(point);
                if (verdict != null && (verdict.worse() || verdict.broken() > 0)) {
                    err.printf(Locale.ROOT, "%s: goodput %.4f, %s %.4f, difference %+.4f +- %.4f; rules broken %d%n", point.label(),
                            verdict.own(), verdict.best(), verdict.other(), verdict.difference(), verdict.half(), verdict.broken());
                    status = EXIT_VIOLATION;
                }
            }
            return status;
        }
    }

    /** {@code lab compare}: compares two arms, paired by seed. */
    @Command(name = "compare", description = "Compares two arms over the seeds that both have: FOLDER or FOLDER:ARM.",
            mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "ONE", description = "results of lab run, with the arm if there are several")
        private String one;

        @Parameters(index = "1", paramLabel = "OTHER", description = "the same for the other arm")
        private String other;

        @Override
        public Integer call() {
            try {
                List<Comparison.Row> rows = Comparison.of(runs(one), runs(other));
                PrintWriter out = spec.commandLine().getOut();
                out.printf("%-12s %12s %12s %12s    %-10s%n", "", one.length() > 12 ? "one" : one, other.length() > 12 ? "other" : other,
                        "difference", "95%");
                rows.forEach(row -> out.println(row.line()));
                return 0;
            } catch (IOException | IllegalArgumentException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return EXIT_USAGE;
            }
        }

        private static List<RunResult> runs(String name) throws IOException {
            int colon = name.lastIndexOf(':');
            Results results = Results.read(Path.of(colon < 0 ? name : name.substring(0, colon)));
            List<String> arms = results.arms();
            String arm = colon < 0 ? arms.size() == 1 ? arms.get(0) : null : name.substring(colon + 1);
            if (arm == null || !arms.contains(arm)) {
                throw new IllegalArgumentException(name + ": expected FOLDER:ARM with one of " + arms + ", found "
                        + (arm == null ? "none" : arm));
            }
            return results.of(arm);
        }
    }

    /** {@code lab replay}: repeats one run of the model and shows its broken rules and one request. */
    @Command(name = "replay", description = "Repeats one run of the model, and shows the steps of one request: the given one, or that "
            + "of the first broken rule.", mixinStandardHelpOptions = true)
    static final class ReplayRun implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the experiment")
        private Path file;

        @Option(names = "--seed", paramLabel = "N", required = true, description = "the run's seed")
        private long seed;

        @Option(names = "--arm", paramLabel = "NAME", description = "the run's arm (default: the first)")
        private String arm;

        @Option(names = "--request", paramLabel = "N", defaultValue = "-1", description = "the request's number")
        private long request;

        @Option(names = "--trace", description = "show the steps of the request")
        private boolean trace;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            Experiment experiment = readExperiment(file, null, null, err);
            if (experiment == null) {
                return EXIT_USAGE;
            }
            Arm chosen = experiment.arms().stream().filter(each -> arm == null || each.name().equals(arm)).findFirst().orElse(null);
            if (chosen == null || !experiment.byModel()) {
                err.println(chosen == null ? "--arm: expected one of " + experiment.arms().stream().map(Arm::name).toList() + ", found " + arm
                        : "expected an experiment by the model, found one over loopback");
                return EXIT_USAGE;
            }
            Replay.Found found = Replay.play(chosen, seed, request);
            found.breaches().stream().limit(20).forEach(breach -> out.printf(Locale.ROOT, "rule %d, request %d, %.3f ms, %s: %s%n",
                    breach.rule(), breach.request(), breach.at() / 1e3, breach.who(), breach.why()));
            if (found.breaches().isEmpty()) {
                out.println("no rule was broken");
            }
            if (trace && found.request() >= 0) {
                out.println("request " + found.request() + ":");
                found.steps().forEach(out::println);
            }
            return found.breaches().isEmpty() ? 0 : EXIT_VIOLATION;
        }
    }

    /** {@code lab report}: writes the report of saved results again. */
    @Command(name = "report", description = "Writes report.html of saved results again.",
            mixinStandardHelpOptions = true)
    static final class WriteReport implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FOLDER", description = "results of lab run")
        private Path folder;

        @Override
        public Integer call() {
            try {
                Results.save(folder, "report.html", Report.html(Results.read(folder)));
                return 0;
            } catch (IOException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return EXIT_IO_ERROR;
            }
        }
    }
}
