package mastdrift.net;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import mastdrift.engine.Clock;
import mastdrift.engine.Timers;
import mastdrift.engine.TimerWheel;
import mastdrift.lateness.EventLoopLateness;

/** An event loop that knows its own lateness, and the clock and timers that go with it. */
public record TimedLoop(EventLoop loop, Clock clock, Timers timers, EventLoopLateness turns) {

    // What changes in less than that is not worth a look at the run queue.
    private static final long LOOK = 1_000;
    // A wait ends so soon even if nothing comes. One that ends late shows that the thread could not run, whoever had the core: a
    // collection or a compiler of its own, a stopped process, a machine that stood still. One that ends in time can have hidden no
    // more than this, which is the slack that the protocol gives to each limit (PROTOCOL, The rules on sockets).
    private static final long WAIT_MOST = 50_000;
    // The selector's time is in whole milliseconds, and a thread is woken a little late on any machine.
    private static final long OVERSLEPT = 5_000;

    /** Starts one. */
    public static TimedLoop start() {
        Clock clock = Clock.system();
        EventLoopLateness turns = new EventLoopLateness();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, executor ->
                new Timed(NioIoHandler.newFactory().newHandler(executor), clock, turns)).next();
        return new TimedLoop(loop, clock, new TimerWheel(clock, Timers.of(loop)), turns);
    }

    /** Tells of turns. The library's handler asks whether its time is measured once it is back from the selector and before it
        handles what is ready, which is the one moment of the two that it shows to nobody else. */
    private static final class Timed implements IoHandler, IoHandlerContext {

        private final IoHandler handler;
        private final Clock clock;
        private final EventLoopLateness turns;
        private final RunQueue runQueue = new RunQueue();
        private IoHandlerContext context;
        private long waitsSince;
        private long waitsUntil;
        private long lookedAt;
        private long looked;

        Timed(IoHandler handler, Clock clock, EventLoopLateness turns) {
            this.handler = handler;
            this.clock = clock;
            this.turns = turns;
        }

        @Override
        public void initialize() {
            runQueue.open();
            handler.initialize();
        }

        @Override
        public int run(IoHandlerContext given) {
            context = given;
            long now = clock.now();
            if (now - lookedAt >= LOOK) {
                look(now);
                now = clock.now();
            }
            waitsSince = now;
            waitsUntil = Long.MAX_VALUE;
            turns.waitStarted(now);
            int handled = handler.run(this);
            turns.readyEventsHandled();
            return handled;
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            long now = clock.now();
            long before = looked;
            long kept = now - waitsSince >= LOOK ? look(now) - before : 0;
            // What came while the thread could not run came at a moment that nobody knows.
            turns.waitEnded(now, now - OVERSLEPT > waitsUntil ? now - waitsSince : kept);
            return context.shouldReportActiveIoTime();
        }

        private long look(long now) {
            lookedAt = now;
            looked = runQueue.micros();
            return looked;
        }

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            long nanos = Math.min(context.delayNanos(currentTimeNanos), WAIT_MOST * 1_000);
            waitsUntil = clock.now() + nanos / 1_000;
            return nanos;
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        @Override
        public void prepareToDestroy() {
            handler.prepareToDestroy();
        }

        @Override
        public void destroy() {
            runQueue.close();
            handler.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return handler.register(handle);
        }

        @Override
        public void wakeup() {
            handler.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return handler.isCompatible(handleType);
        }
    }
}
