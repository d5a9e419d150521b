package mastdrift.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.function.Consumer;
import mastdrift.lab.Experiment.Arm;
import mastdrift.lab.Grid.Point;
import mastdrift.lab.model.Measured;
import mastdrift.lab.model.Scenario;
import mastdrift.lab.model.Trace;
import mastdrift.lab.model.World;

/** Plays a grid: as many runs at once as cores and memory allow, each with what its world needs taken off the memory there is. */
public final class GridRunner {

    private static final long MIB = 1 << 20;

    private final Grid grid;
    private final int threads;
    private final int memory;
    private final Consumer<Point> finished;
    private volatile boolean stopped;

    /** Uses at most {@code bytes} of memory by worlds' own account; throws IllegalArgumentException where the largest doesn't fit. */
    public GridRunner(Grid grid, int threads, long bytes, Consumer<Point> finished) {
        this.grid = grid;
        this.threads = Math.max(1, threads);
        this.finished = finished;
        memory = (int) Math.max(1, bytes / MIB);
        Point largest = grid.points().get(0);
        int needed = need(grid.at(largest, grid.base().arms().get(0)));
        if (needed > memory) {
            throw new IllegalArgumentException("expected at most " + memory + " MiB of memory for a run, found " + needed + " MiB for "
                    + largest.label() + "; give java more with -Xmx, or play a smaller grid");
        }
    }

    private static int need(Scenario scenario) {
        return (int) (World.bytes(scenario) / MIB) + 1;
    }

    /** Ends soon; what is finished is kept. */
    public void stop() {
        stopped = true;
    }

    /** Plays all; waits. */
    public GridResults run() throws InterruptedException {
        GridResults results = new GridResults(grid);
        Semaphore left = new Semaphore(memory, true);
        ExecutorService pool = Executors.newFixedThreadPool(threads, task -> {
            Thread thread = new Thread(task, "lab-grid");
            thread.setDaemon(true);
            return thread;
        });
        List<Future<?>> runs = new ArrayList<>();
        try {
            for (Point point : grid.points()) {
                for (Arm arm : grid.base().arms()) {
                    for (long seed : grid.base().seeds()) {
                        runs.add(pool.submit(() -> play(point, arm, seed, left, results)));
                    }
                }
            }
            for (Future<?> run : runs) {
                run.get();
            }
            return results;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run ended with a fault: " + e.getCause(), e.getCause());
        } finally {
            stopped = true;
            pool.shutdownNow();
        }
    }

    private Void play(Point point, Arm arm, long seed, Semaphore left, GridResults results) throws InterruptedException {
        Scenario scenario = grid.at(point, arm);
        int needs = need(scenario);
        left.acquire(needs);
        try {
            Measured measured = stopped ? null : new World(scenario, arm.policy(), seed, Trace.NONE).run(() -> stopped);
            if (measured != null) {
                results.add(point, RunResult.of(arm.name(), seed, measured));
                finished.accept(point);
            }
        } finally {
            left.release(needs);
        }
        return null;
    }
}
