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

/** {@code lab}: experiments. */
@Command(name = "lab", description = "Plays experiments by the model or over loopback, and compares and reports them.",
        subcommands = {LabCommand.Run.class, LabCommand.Compare.class, LabCommand.Laid.class, LabCommand.ReplayOne.class, LabCommand.Reporting.class, ChaosCommand.class, ScaleCommand.class, DrainsCommand.class, SoakCommand.class},
        mixinStandardHelpOptions = true)
final class LabCommand implements Runnable {

    private static final int BROKEN = 1;
    private static final int WORDS = 2;
    private static final int FAULT = 4;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected a command");
    }

    private static Experiment read(Path file, String by, Long seeds, PrintWriter err) {
        ExperimentReader.Result result = ExperimentReader.read(file, by, seeds);
        result.problems().forEach(err::println);
        return result.experiment();
    }

    @Command(name = "run", description = "Plays an experiment, and writes results.json and report.html.", mixinStandardHelpOptions = true)
    static final class Run implements Callable<Integer> {

        private static final long STOP_SECONDS = 20;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the experiment")
        private Path file;

        @Option(names = "--out", paramLabel = "FOLDER", description = "where results go (default: the experiment's name, below lab-results)")
        private Path out;

        @Option(names = "--threads", paramLabel = "N", description = "runs at once (default: a core each, as memory allows)")
        private Integer threads;

        @Option(names = "--by", paramLabel = "WAY", description = "model or loopback, whatever the file says")
        private String by;

        @Option(names = "--seeds", paramLabel = "N", description = "so many seeds, whatever the file says")
        private Long seeds;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter to = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            if (by != null && !by.equals("model") && !by.equals("loopback") || seeds != null && (seeds < 1 || seeds > 1000)) {
                err.println("expected --by model or loopback and --seeds from 1 to 1000, found " + by + " and " + seeds);
                return WORDS;
            }
            Experiment experiment = read(file, by, seeds, err);
            if (experiment == null) {
                return WORDS;
            }
            int most;
            try {
                most = Runner.fitting(experiment, Runtime.getRuntime().maxMemory() * 3 / 4);
            } catch (IllegalArgumentException e) {
                err.println(e.getMessage());
                return WORDS;
            }
            int runs = experiment.arms().size() * experiment.seeds().size();
            int own = Math.min(runs, Math.min(most, threads == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, threads)));
            Path folder = out == null ? Path.of("lab-results", experiment.name()) : out;
            CountDownLatch saved = new CountDownLatch(1);
            try (ProgressBar bar = System.console() == null ? null : new ProgressBarBuilder().setTaskName(experiment.name())
                    .setInitialMax(runs).setUnit(" runs", 1).setStyle(ProgressBarStyle.ASCII).build()) {
                Runner runner = new Runner(experiment, own, result -> {
                    if (bar != null) {
                        bar.step();
                    }
                });
                // Ctrl-C: what is finished is kept.
                Thread stop = new Thread(() -> {
                    runner.stop();
                    try {
                        saved.await(STOP_SECONDS, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                Runtime.getRuntime().addShutdownHook(stop);
                Results results = runner.run();
                results.save(folder);
                Results.save(folder, "report.html", Report.html(results));
                saved.countDown();
                try {
                    Runtime.getRuntime().removeShutdownHook(stop);
                } catch (IllegalStateException e) {
                    err.println("interrupted: " + results.runs().size() + " of " + runs + " runs are kept");
                }
                print(to, results);
                to.println("written to " + folder);
                results.broken().forEach(err::println);
                return results.broken().isEmpty() ? 0 : BROKEN;
            } catch (IOException e) {
                saved.countDown();
                err.println(e.getMessage());
                return FAULT;
            }
        }

        private static void print(PrintWriter to, Results results) {
            to.printf("%-12s %6s %9s %9s %9s %9s %9s %9s %9s %9s  %s%n", "arm", "runs", "goodput", "refused", "failed", "attempts", "crossed",
                    "p50 ms", "p99 ms", "p99.9 ms", "rules broken: answers, twice, drains, fallen");
            for (String arm : results.arms()) {
                List<RunResult> runs = results.of(arm);
                to.printf(Locale.ROOT, "%-12s %6d %9.4f %9.4f %9.4f %9.3f %9.4f %9.2f %9.2f %9.2f  %d, %d, %d, %d%n", arm, runs.size(),
                        mean(runs, Experiment.Quantity.GOODPUT), mean(runs, Experiment.Quantity.REFUSED),
                        mean(runs, Experiment.Quantity.FAILED), mean(runs, Experiment.Quantity.ATTEMPTS),
                        mean(runs, Experiment.Quantity.CROSSED),
                        mean(runs, Experiment.Quantity.P50) / 1e3, mean(runs, Experiment.Quantity.P99) / 1e3,
                        mean(runs, Experiment.Quantity.P999) / 1e3, sum(runs, "broken_1"), sum(runs, "broken_2"),
                        sum(runs, "broken_3"), sum(runs, "broken_4"));
            }
        }

        private static double mean(List<RunResult> runs, Experiment.Quantity what) {
            return runs.stream().mapToDouble(what::of).average().orElse(0);
        }

        private static long sum(List<RunResult> runs, String name) {
            return runs.stream().mapToLong(run -> run.count(name)).sum();
        }
    }

    @Command(name = "grid", description = "Plays an experiment at every point of its [grid], and writes grid.md, grid.csv and grid.svg; ends with "
            + "1 where the first arm is worse than the better of the others beyond the interval, or breaks a rule.",
            mixinStandardHelpOptions = true)
    static final class Laid implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the experiment, with a table [grid]")
        private Path file;

        @Option(names = "--out", paramLabel = "FOLDER", description = "where results go (default: the experiment's name, below lab-results)")
        private Path out;

        @Option(names = "--threads", paramLabel = "N", description = "runs at once (default: a core each, as memory allows)")
        private Integer threads;

        @Option(names = "--seeds", paramLabel = "N", description = "so many seeds, whatever the file says")
        private Long seeds;

        @Option(names = "--pairs-most", paramLabel = "N", defaultValue = "40000000",
                description = "leaves out points with more gateways times nodes than that (default: none)")
        private long pairsMost;

        @Override
        public Integer call() throws InterruptedException {
            PrintWriter to = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            if (seeds != null && (seeds < 1 || seeds > 1000) || pairsMost < 1) {
                err.println("expected --seeds from 1 to 1000 and --pairs-most of 1 or more, found " + seeds + " and " + pairsMost);
                return WORDS;
            }
            ExperimentReader.Result read = ExperimentReader.read(file, null, seeds);
            read.problems().forEach(err::println);
            Grid grid = read.grid() == null ? null : read.grid().upTo(pairsMost);
            if (grid == null) {
                if (read.experiment() != null) {
                    err.println(file + ": expected a table [grid], found none");
                }
                return WORDS;
            }
            if (grid.points().isEmpty()) {
                err.println("--pairs-most: expected some points of the grid to be left, found none");
                return WORDS;
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
                return WORDS;
            }
            Path folder = out == null ? Path.of("lab-results", grid.base().name()) : out;
            try {
                GridResults results = runner.run();
                String table = results.table();
                Results.save(folder, "grid.md", table);
                Results.save(folder, "grid.csv", results.csv());
                Results.save(folder, "grid.svg", GridPicture.svg(results));
                to.print(table);
                to.println("written to " + folder);
                return judge(results, err);
            } catch (IOException e) {
                err.println(e.getMessage());
                return FAULT;
            }
        }

        private static int judge(GridResults results, PrintWriter err) {
            int status = 0;
            for (Grid.Point point : results.whole()) {
                GridResults.Verdict verdict = results.verdict(point);
                if (verdict != null && (verdict.worse() || verdict.broken() > 0)) {
                    err.printf(Locale.ROOT, "%s: goodput %.4f, %s %.4f, difference %+.4f +- %.4f; rules broken %d%n", point.label(),
                            verdict.own(), verdict.best(), verdict.other(), verdict.difference(), verdict.half(), verdict.broken());
                    status = BROKEN;
                }
            }
            return status;
        }
    }

    @Command(name = "compare", description = "Compares two arms by the seeds that both have: FOLDER or FOLDER:ARM.",
            mixinStandardHelpOptions = true)
    static final class Compare implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "ONE", description = "results of lab run, with an arm where there are several")
        private String one;

        @Parameters(index = "1", paramLabel = "OTHER", description = "likewise")
        private String other;

        @Override
        public Integer call() {
            try {
                List<Comparison.Row> rows = Comparison.of(runs(one), runs(other));
                PrintWriter to = spec.commandLine().getOut();
                to.printf("%-12s %12s %12s %12s    %-10s%n", "", one.length() > 12 ? "one" : one, other.length() > 12 ? "other" : other,
                        "difference", "95%");
                rows.forEach(row -> to.println(row.line()));
                return 0;
            } catch (IOException | IllegalArgumentException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return WORDS;
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

    @Command(name = "replay", description = "Plays one run of the model again, and shows the life of one request: the given one, or that "
            + "of the first broken rule.", mixinStandardHelpOptions = true)
    static final class ReplayOne implements Callable<Integer> {

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
            PrintWriter to = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            Experiment experiment = read(file, null, null, err);
            if (experiment == null) {
                return WORDS;
            }
            Arm chosen = experiment.arms().stream().filter(each -> arm == null || each.name().equals(arm)).findFirst().orElse(null);
            if (chosen == null || !experiment.byModel()) {
                err.println(chosen == null ? "--arm: expected one of " + experiment.arms().stream().map(Arm::name).toList() + ", found " + arm
                        : "expected an experiment by the model, found one over loopback");
                return WORDS;
            }
            Replay.Found found = Replay.play(chosen, seed, request);
            found.breaches().stream().limit(20).forEach(breach -> to.printf(Locale.ROOT, "rule %d, request %d, %.3f ms, %s: %s%n",
                    breach.rule(), breach.request(), breach.at() / 1e3, breach.who(), breach.why()));
            if (found.breaches().isEmpty()) {
                to.println("no rule was broken");
            }
            if (trace && found.request() >= 0) {
                to.println("request " + found.request() + ":");
                found.steps().forEach(to::println);
            }
            return found.breaches().isEmpty() ? 0 : BROKEN;
        }
    }

    @Command(name = "report", description = "Makes report.html of results again.", mixinStandardHelpOptions = true)
    static final class Reporting implements Callable<Integer> {

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
                return FAULT;
            }
        }
    }
}
