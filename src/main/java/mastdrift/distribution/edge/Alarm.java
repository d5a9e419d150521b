package mastdrift.distribution.edge;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** One call on an event loop, at the time that a decider asked for last; on the loop's thread. */
final class Alarm {

    private static final long START = System.nanoTime();

    private final EventLoop loop;
    private final Runnable call;
    private Future<?> armed;
    private long armedFor = Long.MAX_VALUE;

    Alarm(EventLoop loop, Runnable call) {
        this.loop = loop;
        this.call = call;
    }

    /** Microseconds of the monotonic clock, from 1 s on: deciders take 0 for never. */
    static long now() {
        return (System.nanoTime() - START) / 1_000 + 1_000_000;
    }

    /** Instead of the time before; {@link Long#MAX_VALUE} for never. */
    void at(long due) {
        if (due == armedFor) {
            return;
        }
        stop();
        if (due != Long.MAX_VALUE) {
            armedFor = due;
            armed = loop.schedule(this::rings, Math.max(0, due - now()), TimeUnit.MICROSECONDS);
        }
    }

    void stop() {
        if (armed != null) {
            armed.cancel(false);
        }
        armed = null;
        armedFor = Long.MAX_VALUE;
    }

    private void rings() {
        armed = null;
        armedFor = Long.MAX_VALUE;
        call.run();
    }
}
