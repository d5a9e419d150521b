package mastdrift.engine;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on the thread that everything runs on: an event loop's thread, or a simulated one. */
@FunctionalInterface
public interface Timers {

    /** A scheduled task. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task unless it has run. */
        void cancel();
    }

    /** Runs a task once, after the delay or soon after it. */
    Timer after(long delayMicros, Runnable task);

    /** Timers of an executor with a single thread. */
    static Timers of(ScheduledExecutorService executor) {
        return (delayMicros, task) -> {
            Future<?> future = executor.schedule(task, delayMicros, TimeUnit.MICROSECONDS);
            return () -> future.cancel(false);
        };
    }
}
