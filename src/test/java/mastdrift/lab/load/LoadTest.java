package mastdrift.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.FileInputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import mastdrift.Balancer.Repeat;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Curve;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Tries;
import mastdrift.lab.load.Counts.Of;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInHost;
import mastdrift.standin.StandInHost.Manner;
import mastdrift.standin.StandInRadiusServer;
import org.HdrHistogram.EncodableHistogram;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The load tool against stand-in hosts, which answer as a gateway would. */
class LoadTest {

    private static final int WAIT_SECONDS = 30;
    // What is late by this much when it is to leave counts as unsent, which is a fault of the tool or of its machine and none of a silent host's.
    private static final int PATIENT_MILLIS = 3_000;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Effects effects = new Effects(60_000_000);
    private final StandInHost host = new StandInHost("h", "g", effects, loop, 1_000, 256);
    private final InetSocketAddress at = new InetSocketAddress("127.0.0.1",
            Integer.parseInt(host.endpoint().split(":")[1]));

    @AfterEach
    void stop() {
        host.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void pause(long millis) {
        loop.execute(() -> {
            long until = System.nanoTime() + millis * 1_000_000;
            for (long left = until - System.nanoTime(); left > 0; left = until - System.nanoTime()) {
                LockSupport.parkNanos(left);  // which may return early
            }
        });
    }

    /** The hard case of a gateway that stops for 500 ms: each request that was due meanwhile shows it, where a client that waits
        for its answer before it asks again meets the stop once. */
    @Test
    void aStopShowsInAnOpenLoopAndHidesInAClosedOne() throws Exception {
        LoadRun open = LoadRun.start(LoadPlan.open(at, 400, 4, 400, 5_000));
        Thread.sleep(1_500);
        pause(500);
        LoadResult seen = open.join();
        LoadRun closed = LoadRun.start(LoadPlan.closed(at, 4, 4, 5_000));
        Thread.sleep(1_500);
        pause(500);
        LoadResult hidden = closed.join();
        assertEquals(1600, seen.count(Of.ASKED));
        assertEquals(1600, seen.count(Of.SERVED));
        assertTrue(seen.quantile(0.99) > 350_000, "an eighth of the requests were due meanwhile: p99 " + seen.quantile(0.99));
        assertTrue(hidden.longest() > 400_000 && hidden.quantile(0.99) < 100_000, "p99 " + hidden.quantile(0.99));
    }

    @Test
    void everyEndIsCountedAndOneRequestKeepsItsKey() throws Exception {
        host.manner(Manner.DRAIN);
        LoadResult refused = LoadRun.start(LoadPlan.open(at, 100, 1, 256, 8_000).trying(new Tries(3, 1_000, 1, 0, 0))).join();
        assertEquals(100, refused.count(Of.ASKED));
        assertEquals(200, refused.count(Of.REPEATS), () -> refused.lines().toString());
        assertEquals(300, refused.count(Of.REFUSED));
        host.manner(Manner.FAIL);
        List<Mix.Part> kinds = List.of(new Mix.Part("a", null, Repeat.UNSAFE, 1, 8_000_000, 3),
                new Mix.Part("b", "t", Repeat.KEYED, 1, 8_000_000, 0));
        LoadResult failed = LoadRun.start(LoadPlan.open(at, 100, 1, 256, 8_000).with(kinds)
                .trying(new Tries(2, 1_000, 1, 0, 0))).join();
        assertEquals(0, failed.count(0, Of.REPEATS), "what is unsafe is not tried again after a failure");
        assertEquals(failed.count(1, Of.ASKED), failed.count(1, Of.REPEATS));
        assertEquals(failed.count(1, Of.ASKED), effects.dropped(), "each repeat came with the key of its first try");
        host.manner(Manner.SILENT);
        LoadResult silent = LoadRun.start(LoadPlan.open(at, 100, 0.5, 64, PATIENT_MILLIS)).join();
        assertEquals(50, silent.count(Of.UNANSWERED), () -> silent.lines().toString());
        assertEquals(0, silent.count(Of.SERVED));
        assertEquals(0, silent.quantile(0.99));
    }

    /** The last request is between its two tries, and the loop is held there until the run's end has looked whether all is over:
        it isn't, and the second try is made and counted. */
    @Test
    void theEndWaitsForARequestThatIsBetweenTwoTries() throws Exception {
        host.manner(Manner.FAIL);
        CountDownLatch answers = new CountDownLatch(1);
        CountDownLatch between = new CountDownLatch(1);
        CountDownLatch looked = new CountDownLatch(1);
        loop.execute(() -> hold(answers));
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        LoadRun run = LoadRun.start(LoadPlan.open(at, 100, 0.01, 1, 60_000).with(List.of(
                new Mix.Part("b", null, Repeat.KEYED, 1, 60_000_000, 0))).trying(new Tries(2, 1_000, 1, 0, 0)), draws -> () -> {
                    between.countDown();
                    hold(looked);
                    return draws.nextLong();
                });
        FutureTask<LoadResult> end = new FutureTask<>(run::join);
        Thread looks = new Thread(end, "end-of-a-run");
        looks.start();
        // Between two looks: whatever it waits for before them, and after the last, has no bound.
        until(() -> looks.getState() == Thread.State.TIMED_WAITING);
        answers.countDown();
        assertTrue(between.await(WAIT_SECONDS, TimeUnit.SECONDS));
        long waits = threads.getThreadInfo(looks.getId()).getWaitedCount();
        until(() -> threads.getThreadInfo(looks.getId()).getWaitedCount() >= waits + 2 || looks.getState() == Thread.State.WAITING);
        looked.countDown();
        LoadResult result = end.get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(1, result.count(Of.ASKED));
        assertEquals(1, result.count(Of.REPEATS));
        assertEquals(2, result.count(Of.FAILED));
    }

    private static void until(BooleanSupplier holds) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, "not within " + WAIT_SECONDS + " s");
            Thread.onSpinWait();
        }
    }

    private static void hold(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);  // nobody does
        }
    }

    /** A load that the tool can't make: it blames itself, by name of what was short. */
    @Test
    void whatTheToolCantMakeDoesntCount() throws Exception {
        host.work(100_000);
        LoadResult result = LoadRun.start(LoadPlan.open(at, 400, 1, 2, 300)).join();
        assertTrue(result.faults().toString().contains("of connections: expected at most 0.1%"), result.faults().toString());
        assertTrue(result.count(Of.SERVED) < 100, "served " + result.count(Of.SERVED));
        assertEquals(400, result.count(Of.ASKED));
        assertEquals(400, result.count(Of.SERVED) + result.count(Of.UNSENT) + result.count(Of.UNANSWERED));
        host.work(1_000);
        LoadPlan strict = new LoadPlan(at, Curve.constant(200, 1), Arrivals.Kind.EVEN, 0, Duration.ZERO,
                LoadPlan.readsAndStarts(1000), new Mix.Keys(10, 0), Tries.ONE, 64, false, 1, 1, null, 0);
        assertTrue(LoadRun.start(strict).join().faults().get(0).contains("late itself: expected 99% of its requests within 0.0 ms"));
    }

    /** All connections are there before the first request, and all are used. */
    @Test
    void connectionsOpenedAheadAreUsedInTurn() throws Exception {
        LoadPlan plan = new LoadPlan(at, Curve.constant(500, 1), Arrivals.Kind.POISSON, 0, Duration.ZERO,
                LoadPlan.readsAndStarts(1000), new Mix.Keys(10, 1), Tries.ONE, 300, true, 3, 1, null, 1_000_000);
        LoadRun run = LoadRun.start(plan);
        while (run.count(Of.SERVED) < 100) {
            Thread.sleep(1);
        }
        assertEquals(300, host.connections());
        LoadResult result = run.join();
        assertEquals(result.count(Of.ASKED), result.count(Of.SERVED));
        assertEquals(300, Math.max(300, host.connections()), "no more were opened");
    }

    @Test
    void radiusIsAskedAndAnswered() throws Exception {
        byte[] secret = "s".getBytes(StandardCharsets.US_ASCII);
        try (StandInRadiusServer server = new StandInRadiusServer("one", "one", effects, secret, 1_000)) {
            InetSocketAddress radius = new InetSocketAddress("127.0.0.1", server.port());
            LoadResult open = LoadRun.start(LoadPlan.open(radius, 300, 1, 2, 2_000).radius(secret)).join();
            assertEquals(300, open.count(Of.SERVED));
            assertEquals(300, server.runs());
            LoadResult closed = LoadRun.start(LoadPlan.closed(radius, 4, 0.5, 2_000).radius(secret).seeded(9)).join();
            assertEquals(closed.count(Of.ASKED), closed.count(Of.SERVED));
            assertTrue(closed.count(Of.SERVED) > 20);
            server.manner(StandInRadiusServer.Manner.SILENT);
            assertEquals(10, LoadRun.start(LoadPlan.open(radius, 100, 0.1, 2, PATIENT_MILLIS).radius(secret).seeded(3)).join()
                    .count(Of.UNANSWERED));
            assertEquals(0, effects.twice() + effects.dropped());
        }
    }

    /** The files hold what the result holds: counts line by line, latencies in the histograms. */
    @Test
    void theFilesHoldTheRun(@TempDir Path folder) throws Exception {
        LoadResult result = LoadRun.start(LoadPlan.open(at, 100, 2, 64, 1_000)).join();
        result.write(folder);
        long asked = 0;
        for (String line : Files.readAllLines(folder.resolve("load.jsonl"))) {
            var object = JSON.std.mapFrom(line);
            asked += object.get("kind").equals("second") ? ((Number) object.get("asked")).longValue() : 0;
        }
        assertEquals(200, asked);
        Histogram all = new Histogram(3);
        try (FileInputStream in = new FileInputStream(folder.resolve("load.hlog").toFile())) {
            HistogramLogReader reader = new HistogramLogReader(in);
            for (EncodableHistogram next = reader.nextIntervalHistogram(); next != null; next = reader.nextIntervalHistogram()) {
                all.add((Histogram) next);
                assertTrue(next.getTag().startsWith("session-"));
            }
        }
        assertEquals(result.count(Of.SERVED), all.getTotalCount());
        assertEquals(result.quantile(0.5), all.getValueAtPercentile(50));
        assertEquals(List.of(), Files.list(folder).filter(file -> file.toString().endsWith(".new")).toList());
    }
}
