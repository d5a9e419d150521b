package mastdrift.engine;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** What is to happen later, on the thread that everything happens on: an event loop's, or a virtual one. */
@FunctionalInterface
public interface Timers {

    /** Something that is to happen. */
    @FunctionalInterface
    interface Timer {
        /** It will not happen, unless it has. */
        void cancel();
    }

    /** Once, after so many microseconds or soon after. */
    Timer after(long micros, Runnable what);

    /** Those of a loop that has one thread. */
    static Timers of(ScheduledExecutorService loop) {
        return (micros, what) -> {
            Future<?> future = loop.schedule(what, micros, TimeUnit.MICROSECONDS);
            return () -> future.cancel(false);
        };
    }
}
