package mastdrift.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Tasks that go on in the next turn of an event loop, once the input of that turn has been read. A task that is executed on
 * the loop directly, in contrast, runs in the same turn, and so do all that it executes. Used on the loop's thread only.
 */
final class NextTurn {

    private final EventLoop loop;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private boolean scheduled;

    NextTurn(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs the task in the next turn, behind those added before. */
    void add(Runnable task) {
        tasks.add(task);
        schedule();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::run, 0, TimeUnit.NANOSECONDS);  // due timers are collected once in a turn, ahead of all tasks
        }
    }

    private void run() {
        scheduled = false;
        try {
            for (int left = tasks.size(); left > 0; left--) {
                tasks.poll().run();
            }
        } finally {
            if (!tasks.isEmpty()) {
                schedule();
            }
        }
    }
}
