package mastdrift.distribution.edge;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A timer of an event loop with one deadline, the one that a decider asked for last; on the loop's thread. */
final class DeadlineTimer {

    private static final long START = System.nanoTime();

    private final EventLoop loop;
    private final Runnable action;
    private Future<?> scheduled;
    private long scheduledFor = Long.MAX_VALUE;

    DeadlineTimer(EventLoop loop, Runnable action) {
        this.loop = loop;
        this.action = action;
    }

    /** Microseconds of the monotonic clock, from 1 s on: deciders take 0 for never. */
    static long now() {
        return (System.nanoTime() - START) / 1_000 + 1_000_000;
    }

    /** Instead of the time before; {@link Long#MAX_VALUE} for never. */
    void schedule(long deadline) {
        if (deadline == scheduledFor) {
            return;
        }
        cancel();
        if (deadline != Long.MAX_VALUE) {
            scheduledFor = deadline;
            scheduled = loop.schedule(this::fire, Math.max(0, deadline - now()), TimeUnit.MICROSECONDS);
        }
    }

    void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        scheduled = null;
        scheduledFor = Long.MAX_VALUE;
    }

    private void fire() {
        scheduled = null;
        scheduledFor = Long.MAX_VALUE;
        action.run();
    }
}
