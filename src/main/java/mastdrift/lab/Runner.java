package mastdrift.lab;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import mastdrift.lab.Experiment.Arm;
import mastdrift.lab.model.Measured;
import mastdrift.lab.model.Trace;
import mastdrift.lab.model.World;

/** Plays the runs of an experiment, several at once, and gathers what was finished. A run depends on its arm and its seed alone,
    so neither the number of threads nor the order changes any result. */
public final class Runner {

    private final Experiment experiment;
    private final int threads;
    private final Consumer<RunResult> finished;
    private volatile boolean stopped;

    /** Hears of each run that is finished, on some thread. */
    public Runner(Experiment experiment, int threads, Consumer<RunResult> finished) {
        this.experiment = experiment;
        this.threads = Math.max(1, threads);
        this.finished = finished;
    }

    /** Ends soon; what is finished is kept. */
    public void stop() {
        stopped = true;
    }

    /** How many worlds of this experiment fit into the memory of this program at once; throws IllegalArgumentException where
        not one does. */
    public static int fitting(Experiment experiment, long memory) {
        long largest = experiment.arms().stream().mapToLong(arm -> World.bytes(arm.scenario())).max().orElse(1);
        if (experiment.byModel() && largest > memory) {
            throw new IllegalArgumentException("expected at most " + (memory >> 20) + " MiB of memory for a run (nodes times gateways "
                    + "take the most), found " + (largest >> 20) + " MiB; give java more with -Xmx, or fewer gateways");
        }
        return experiment.byModel() ? (int) Math.min(1 << 10, memory / largest) : 1;
    }

    /** Plays all runs; waits. */
    public Results run() throws InterruptedException, IOException {
        ExecutorService pool = Executors.newFixedThreadPool(experiment.byModel() ? threads : 1, task -> {
            Thread thread = new Thread(task, "lab-run");
            thread.setDaemon(true);
            return thread;
        });
        List<Future<RunResult>> runs = new ArrayList<>();
        try {
            for (Arm arm : experiment.arms()) {
                for (long seed : experiment.seeds()) {
                    runs.add(pool.submit(() -> play(arm, seed)));
                }
            }
            List<RunResult> results = new ArrayList<>();
            for (Future<RunResult> run : runs) {
                RunResult result = run.get();
                if (result != null) {
                    results.add(result);
                }
            }
            return results(results);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IOException io) {
                throw io;
            }
            throw new IllegalStateException("a run ended with a fault: " + e.getCause(), e.getCause());
        } finally {
            stopped = true;
            pool.shutdownNow();
        }
    }

    private Results results(List<RunResult> results) {
        List<String> broken = new ArrayList<>();
        experiment.limits().forEach(limit -> results.stream().map(limit::judge).filter(why -> why != null).forEach(broken::add));
        List<Results.FaultMark> faults = experiment.arms().get(0).scenario().faults().stream().map(fault -> new Results.FaultMark(
                fault.what().name().toLowerCase(Locale.ROOT), fault.at() / 1e6, (fault.at() + fault.length()) / 1e6)).toList();
        return new Results(experiment.name(), experiment.byModel(), experiment.arms().size() * experiment.seeds().size(), faults,
                results, broken);
    }

    private RunResult play(Arm arm, long seed) throws IOException, InterruptedException {
        if (stopped) {
            return null;
        }
        RunResult result;
        if (experiment.byModel()) {
            Measured measured = new World(arm.scenario(), arm.policy(), seed, Trace.NONE).run(() -> stopped);
            result = measured == null ? null : RunResult.of(arm.name(), seed, measured);
        } else {
            result = new Loopback(arm, seed).play(() -> stopped);
        }
        if (result != null) {
            finished.accept(result);
        }
        return result;
    }
}
