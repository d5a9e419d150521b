package mastdrift.lab.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Streams;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.Driver.Ended;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A load run under way. A pacer thread draws each request and hands it to an event loop when it is due, whatever became of
 * those before; latency counts from that time, so a gateway that stops shows it in every request that was due meanwhile
 * (coordinated omission: Tene, "How not to measure latency", 2015). What the tool itself was late, on the pacer and on the
 * loops, is recorded apart and can make the run void.
 */
public final class LoadRun implements AutoCloseable {

    private static final long SECOND = 1_000_000_000L;
    private static final long TICK_MILLIS = 10;
    private static final long OPEN_MOST = 60 * SECOND;
    // Beyond the last deadline: for answers on their way.
    private static final long REST_MILLIS = 500;

    private final LoadPlan plan;
    private final Tally tally;
    private final LoadTape tape;
    private final MultiThreadIoEventLoopGroup loops;
    private final List<Lane> lanes = new ArrayList<>();
    private final Thread pacer;
    private final Thread ticker;
    private final CountDownLatch paced = new CountDownLatch(1);
    private volatile long begun;
    private volatile boolean stopped;
    private LoadResult result;

    private LoadRun(LoadPlan plan, UnaryOperator<UniformRandomProvider> pauses) {
        this.plan = plan;
        tally = new Tally(plan.parts());
        tape = new LoadTape(plan.parts(), tally);
        loops = new MultiThreadIoEventLoopGroup(plan.threads(), NioIoHandler.newFactory());
        Streams streams = Streams.of(plan.seed());
        for (int i = 0; i < plan.threads(); i++) {
            lanes.add(new Lane(loops.next(), share(plan.connections(), i), share(plan.closed(), i),
                    streams.below("lane-" + i), pauses));
        }
        pacer = daemon("load-pacer", () -> pace(streams));
        ticker = daemon("load-ticker", this::tick);
    }

    /** Starts it; its first request is due once the connections that are to be opened ahead are. */
    public static LoadRun start(LoadPlan plan) {
        return start(plan, UnaryOperator.identity());
    }

    /** Likewise; {@code pauses} stands around the draws between a request's tries, which are made on the loop's thread. */
    static LoadRun start(LoadPlan plan, UnaryOperator<UniformRandomProvider> pauses) {
        LoadRun run = new LoadRun(plan, pauses);
        run.pacer.start();
        run.ticker.start();
        return run;
    }

    private static Thread daemon(String name, Runnable what) {
        Thread thread = new Thread(what, name);
        thread.setDaemon(true);
        return thread;
    }

    private int share(int all, int lane) {
        return all / plan.threads() + (lane < all % plan.threads() ? 1 : 0);
    }

    // ---- the pacer

    private void pace(Streams streams) {
        try {
            lanes.forEach(lane -> lane.loop.execute(lane.driver::open));
            long until = System.nanoTime() + OPEN_MOST;
            while (!stopped && System.nanoTime() < until && !lanes.stream().allMatch(Lane::opened)) {
                LockSupport.parkNanos(1_000_000);
            }
            begun = System.nanoTime();
            lanes.forEach(lane -> lane.begin(begun));
            if (plan.curve() != null) {
                open(streams);
            } else {
                closed();
            }
        } finally {
            paced.countDown();
        }
    }

    private void open(Streams streams) {
        Arrivals arrivals = new Arrivals(plan.curve(), plan.arrivals(), streams.stream("arrivals"));
        Mix mix = new Mix(plan.parts(), plan.keys(), streams);
        UniformRandomProvider chains = streams.stream("chains");
        int lane = 0;
        for (double at = arrivals.next(); Double.isFinite(at) && !stopped; at = arrivals.next()) {
            long due = begun + (long) (at * 1e9);
            for (long wait = due - System.nanoTime(); wait > 0 && !stopped; wait = due - System.nanoTime()) {
                LockSupport.parkNanos(wait);
            }
            int part = mix.part();
            Shot shot = new Shot(due, part, plan.parts().get(part), chains.nextLong(), mix.key(due / 1_000), 1);
            Lane to = lanes.get(lane++ % lanes.size());
            to.loop.execute(() -> to.first(shot));
        }
    }

    private void closed() {
        lanes.forEach(lane -> lane.loop.execute(lane::closedLoops));
        long until = begun + plan.length().toNanos();
        for (long wait = until - System.nanoTime(); wait > 0 && !stopped; wait = until - System.nanoTime()) {
            LockSupport.parkNanos(Math.min(wait, 50_000_000));
        }
        stopped = true;
    }

    private void tick() {
        try {
            while (begun == 0 && !stopped) {
                Thread.sleep(1);
            }
            for (long next = begun + SECOND; paced.getCount() > 0; next += SECOND) {
                long wait = next - System.nanoTime();
                if (wait > 0 && paced.await(wait, TimeUnit.NANOSECONDS)) {
                    return;
                }
                tape.second();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- one event loop's part

    private final class Lane implements Driver.Ear {

        private final EventLoop loop;
        private final Driver driver;
        private final int loopers;
        private final Streams streams;
        private final UniformRandomProvider random;
        private Mix mix;
        private UniformRandomProvider chains;
        private Tally.Rows rows;
        private long tickAt;
        // Requests that aren't over: one between two tries is among them, or the end would be looked for in that moment and found.
        private volatile int out;

        Lane(EventLoop loop, int connections, int loopers, Streams streams, UnaryOperator<UniformRandomProvider> pauses) {
            this.loop = loop;
            this.loopers = loopers;
            this.streams = streams;
            random = pauses.apply(streams.stream("tries"));
            driver = plan.secret() == null ? new HttpDriver(loop, plan, Math.max(1, connections), this)
                    : new RadiusDriver(loop, plan, Math.max(1, connections), this);
        }

        private boolean opened() {
            return loop.submit(driver::opened).syncUninterruptibly().getNow();
        }

        private void begin(long at) {
            loop.submit(() -> {
                rows = tally.new Rows(at);
                tickAt = System.nanoTime();
                tickLater();
            }).syncUninterruptibly();
        }

        /** A loop that is held up is late for everything: its own timer tells. */
        private void tickLater() {
            tickAt += TICK_MILLIS * 1_000_000;
            loop.schedule(() -> {
                long late = System.nanoTime() - tickAt;
                tally.late(late);
                tickAt = Math.max(tickAt, System.nanoTime() - TICK_MILLIS * 1_000_000);
                if (!stopped) {
                    tickLater();
                }
            }, Math.max(1, tickAt - System.nanoTime()), TimeUnit.NANOSECONDS);
        }

        private void first(Shot shot) {
            rows.count(shot, Of.ASKED);
            out++;
            driver.fire(shot);
        }

        private void closedLoops() {
            mix = new Mix(plan.parts(), plan.keys(), streams);
            chains = streams.stream("chains");
            for (int i = 0; i < loopers; i++) {
                another();
            }
        }

        private void another() {
            int part = mix.part();
            long now = System.nanoTime();
            first(new Shot(now, part, plan.parts().get(part), chains.nextLong(), mix.key(now / 1_000), 1));
        }

        @Override
        public void left(Shot shot, boolean waitedForConnection) {
            if (waitedForConnection) {
                tally.waitedForConnection();
            } else {
                tally.late(System.nanoTime() - shot.due());
            }
        }

        @Override
        public void ended(Shot shot, Ended how, long advice) {
            rows.count(shot, switch (how) {
                case SERVED -> Of.SERVED;
                case REFUSED -> Of.REFUSED;
                case FAILED -> Of.FAILED;
                case UNANSWERED -> Of.UNANSWERED;
                case FOREIGN -> Of.FOREIGN;
                case UNSENT -> Of.UNSENT;
            });
            if (how == Ended.SERVED) {
                rows.served(shot, System.nanoTime() - shot.due());
            }
            boolean again = how != Ended.SERVED && how != Ended.FOREIGN && how != Ended.UNSENT && !stopped
                    && plan.tries().again(shot.tries(), shot.part().repeat(), how == Ended.REFUSED);
            if (again) {
                long pause = plan.tries().pause(shot.tries(), advice, random.nextDouble(), random.nextDouble());
                Shot next = shot.again(System.nanoTime() + pause * 1000);
                loop.schedule(() -> {
                    if (stopped) {
                        out--;
                        return;
                    }
                    rows.count(next, Of.REPEATS);
                    driver.fire(next);
                }, pause, TimeUnit.MICROSECONDS);
                return;
            }
            out--;
            if (plan.curve() == null && !stopped) {
                loop.execute(this::another);
            }
        }
    }

    // ---- from outside

    /** Events of one kind so far. */
    public long count(Of of) {
        return tally.live(of);
    }

    /** Tries so far that ended otherwise than served or refused. */
    public long failed() {
        return count(Of.FAILED) + count(Of.UNANSWERED) + count(Of.FOREIGN) + count(Of.UNSENT);
    }

    /** Whether all that it was to send has been sent. */
    public boolean paced() {
        return paced.getCount() == 0;
    }

    /** Seconds since the first request was due; 0 before. */
    public double passed() {
        return begun == 0 ? 0 : (System.nanoTime() - begun) / 1e9;
    }

    /** Waits until all is sent and answered or over, and gives what came of it. */
    public LoadResult join() throws InterruptedException {
        paced.await();
        return finish();
    }

    /** Sends no more, waits for what is out, and gives what came of it so far. */
    public LoadResult stop() throws InterruptedException {
        stopped = true;
        paced.await();
        return finish();
    }

    private synchronized LoadResult finish() throws InterruptedException {
        if (result == null) {
            lanes.forEach(lane -> lane.loop.submit(() -> { }).syncUninterruptibly());  // what was handed over has begun
            long longest = plan.parts().stream().mapToLong(Mix.Part::deadline).max().orElseThrow() * plan.tries().most();
            long until = System.nanoTime() + longest * 1000 + REST_MILLIS * 1_000_000;
            while (lanes.stream().anyMatch(lane -> lane.out > 0) && System.nanoTime() < until) {
                Thread.sleep(1);
            }
            double seconds = passed();
            ticker.join();
            List<Counts[]> rows = new ArrayList<>();
            for (Lane lane : lanes) {
                if (lane.rows != null) {
                    lane.loop.submit(() -> lane.rows.into(rows)).syncUninterruptibly();
                }
            }
            tape.second();
            result = LoadResult.of(plan, rows, tape, tally, Math.min(seconds, plan.seconds()));
            close();
        }
        return result;
    }

    /** Ends at once, without waiting for what is out. */
    @Override
    public void close() {
        stopped = true;
        if (loops.isShuttingDown()) {
            return;
        }
        lanes.forEach(lane -> lane.loop.execute(lane.driver::close));
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
