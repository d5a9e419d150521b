package mastdrift.net;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.function.Consumer;
import mastdrift.engine.Clock;
import mastdrift.engine.Timers;
import mastdrift.engine.TimerWheel;
import mastdrift.lateness.EventLoopLateness;

/** An event loop that measures its own lateness, with its clock and timers. */
public record TimedEventLoop(EventLoop loop, Clock clock, Timers timers, EventLoopLateness turns) {

    // The run queue delay is not read again within this time: changes over less than that don't matter.
    private static final long RUN_QUEUE_READ_INTERVAL_MICROS = 1_000;
    // A wait for events ends after this time even if nothing arrives. A wait that ends late shows that the thread could
    // not run, whatever the cause: garbage collection or compilation in this process, a stopped process, a suspended
    // machine. A wait that ended in time can have hidden no more than this, which is the tolerance that the protocol
    // gives each limit (PROTOCOL, The rules on sockets).
    private static final long MAX_WAIT_MICROS = 50_000;
    // The selector's timeout is in whole milliseconds, and a thread is always woken slightly late.
    private static final long WAKEUP_TOLERANCE_MICROS = 5_000;

    // Errors of I/O are logged at most once in this time.
    private static final long ERROR_LOG_INTERVAL_MICROS = 1_000_000;

    /** Starts a loop on a thread of its own. Errors that would end it are written to standard error. */
    public static TimedEventLoop start() {
        return start(System.err::println);
    }

    /**
     * As above, with a log for errors that would end the loop. It goes on after an error: each event belongs to one
     * connection, and what ends the loop ends all of them, and the process.
     */
    public static TimedEventLoop start(Consumer<String> errorLog) {
        Clock clock = Clock.system();
        EventLoopLateness turns = new EventLoopLateness();
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, executor ->
                new TimedIoHandler(NioIoHandler.newFactory().newHandler(executor), clock, turns, errorLog)).next();
        return new TimedEventLoop(loop, clock, new TimerWheel(clock, Timers.of(loop)), turns);
    }

    /**
     * Reports the turns of the loop to {@link EventLoopLateness}. Netty's handler asks {@link #shouldReportActiveIoTime} after it
     * has returned from the selector and before it handles ready channels; no other hook is called between the two.
     */
    private static final class TimedIoHandler implements IoHandler, IoHandlerContext {

        private final IoHandler handler;
        private final Clock clock;
        private final EventLoopLateness turns;
        private final Consumer<String> errorLog;
        private final RunQueueDelay runQueueDelay = new RunQueueDelay();
        private IoHandlerContext context;
        private long waitStartMicros;
        private long waitDueMicros;
        private long runQueueReadAtMicros;
        private long runQueueDelayMicros;
        private long errorLoggedAtMicros = -ERROR_LOG_INTERVAL_MICROS;

        TimedIoHandler(IoHandler handler, Clock clock, EventLoopLateness turns, Consumer<String> errorLog) {
            this.handler = handler;
            this.clock = clock;
            this.turns = turns;
            this.errorLog = errorLog;
        }

        @Override
        public void initialize() {
            runQueueDelay.open();
            handler.initialize();
        }

        @Override
        public int run(IoHandlerContext handlerContext) {
            context = handlerContext;
            long now = clock.now();
            if (now - runQueueReadAtMicros >= RUN_QUEUE_READ_INTERVAL_MICROS) {
                readRunQueueDelay(now);
                now = clock.now();
            }
            waitStartMicros = now;
            waitDueMicros = Long.MAX_VALUE;
            turns.waitStarted(now);
            try {
                return handler.run(this);
            } catch (Error error) {
                logError(now, error);
                return 0;
            } finally {
                turns.readyEventsHandled();
            }
        }

        /** The events that the error has cut off are found again by the next wait. */
        private void logError(long now, Error error) {
            if (now - errorLoggedAtMicros >= ERROR_LOG_INTERVAL_MICROS) {
                errorLoggedAtMicros = now;
                errorLog.accept("error in the event loop, which goes on: " + error);
            }
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            long now = clock.now();
            long previousDelayMicros = runQueueDelayMicros;
            long queuedMicros = now - waitStartMicros >= RUN_QUEUE_READ_INTERVAL_MICROS
                    ? readRunQueueDelay(now) - previousDelayMicros : 0;
            // Events that arrived while the thread could not run did so at an unknown time.
            turns.waitEnded(now, now - WAKEUP_TOLERANCE_MICROS > waitDueMicros ? now - waitStartMicros : queuedMicros);
            return context.shouldReportActiveIoTime();
        }

        private long readRunQueueDelay(long now) {
            runQueueReadAtMicros = now;
            runQueueDelayMicros = runQueueDelay.totalMicros();
            return runQueueDelayMicros;
        }

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            long nanos = Math.min(context.delayNanos(currentTimeNanos), MAX_WAIT_MICROS * 1_000);
            waitDueMicros = clock.now() + nanos / 1_000;
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
            runQueueDelay.close();
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
