package mastdrift.distribution.edge;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Single-deadline timer on an event loop: a new deadline replaces the one before. All methods except {@link #nowMicros}
 * are called on the event loop's thread.
 */
final class DeadlineTimer {

    private static final long START_NANOS = System.nanoTime();

    private final EventLoop loop;
    private final Runnable action;
    private Future<?> pendingTimeout;
    private long pendingDeadlineMicros = Long.MAX_VALUE;

    DeadlineTimer(EventLoop loop, Runnable action) {
        this.loop = loop;
        this.action = action;
    }

    /** Monotonic clock in microseconds. It starts at 1 s, since 0 stands for "never" in the protocol state machines. */
    static long nowMicros() {
        return (System.nanoTime() - START_NANOS) / 1_000 + 1_000_000;
    }

    /** Replaces the current deadline; {@link Long#MAX_VALUE} for none. */
    void schedule(long deadlineMicros) {
        if (deadlineMicros == pendingDeadlineMicros) {
            return;
        }
        cancel();
        if (deadlineMicros != Long.MAX_VALUE) {
            pendingDeadlineMicros = deadlineMicros;
            pendingTimeout = loop.schedule(this::fire, Math.max(0, deadlineMicros - nowMicros()), TimeUnit.MICROSECONDS);
        }
    }

    void cancel() {
        if (pendingTimeout != null) {
            pendingTimeout.cancel(false);
        }
        pendingTimeout = null;
        pendingDeadlineMicros = Long.MAX_VALUE;
    }

    private void fire() {
        pendingTimeout = null;
        pendingDeadlineMicros = Long.MAX_VALUE;
        action.run();
    }
}
