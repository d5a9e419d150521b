package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import mastdrift.Balance;
import mastdrift.Balancer;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Site;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against starts that take the longer the worse discovery is: of gateways that start again nine in ten are owed to clients
    within 10 s. */
class StartTest {

    private static final long READY_MILLIS = 7_000;  // of any start, whatever discovery does
    private static final long SLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final String REFUSAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    private static final int MOST_CALLS = 8;  // of one start: 0.25 s after the first on the mean, then 0.5, 1 and 2 s
    private static final int GATEWAYS = 140;
    private static final int CALLERS = 100;
    private static final int CROWDS = 100;
    private static final long TURN_MICROS = 42_000;
    private static final long PATIENCE_MICROS = 2_000_000;

    @TempDir
    private Path folder;

    private static long millis(long since) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
    }

    private static String known(Server host) {
        return list(1, true, entry("s1", host.address(), "a", "in_service"));
    }

    /** A discovery that is away, or that does so with each call. */
    private static Server discovery(String how) throws Exception {
        Server discovery = new Server(message -> {
            if (how.equals("refuses late")) {
                LockSupport.parkNanos(PATIENCE_MICROS * 1_000);
            }
            if (how.startsWith("refuses")) {
                write(message.socket(), REFUSAL);
            } else if (how.equals("begins")) {
                write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
        });
        if (how.equals("away")) {
            discovery.close();
        }
        return discovery;
    }

    /** Returns what is amiss, or nothing. */
    private String start(String how) throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(log, true, StandardCharsets.UTF_8);
        TimedEventLoop timed = TimedEventLoop.start();
        TimedEventLoop slow = TimedEventLoop.start();
        slow.loop().scheduleWithFixedDelay(() -> LockSupport.parkNanos(SLOW_NANOS), 0, 1, TimeUnit.MILLISECONDS);
        Path own = Files.createDirectory(folder.resolve(how));
        try (Server discovery = discovery(how); Server one = host("one")) {
            long began = System.nanoTime();
            Config config = Config.read(environment(own, discovery, known(one), SETTINGS));
            Main.Started started = Main.prepare(config, timed, Main.askMillis(config.settings()), false, out);
            Main.open(started, timed.loop(), config, slow, began, out);
            Main.listen(started, config, out);
            long took = millis(began);
            String said = log.toString(StandardCharsets.UTF_8);
            boolean inTime = took < READY_MILLIS && said.contains("going by the list that was known") && !started.gateway().told().isDone();
            return inTime && discovery.accepted.size() <= MOST_CALLS ? ""
                    : how + ": ready after " + took + " ms and " + discovery.accepted.size() + " calls: " + said;
        } finally {
            timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** On a core so slow that the rehearsal takes all the time that it may, as where many gateways start at once: what is waited for
        counts from the first moment, not from the rehearsal's end. Side by side, since each takes its time. */
    @Test
    void aStartIsReadyInTimeWhateverDiscoveryDoes() throws Exception {
        List<Future<String>> starts = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            for (String how : List.of("refuses", "refuses late", "silent", "begins", "away")) {
                starts.add(threads.submit(() -> start(how)));
            }
            for (Future<String> start : starts) {
                assertEquals("", start.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** Seven in ten gateways, any of them, that start in one moment, and a discovery whose calls take turns, one after the other; one that
        has waited too long is refused, and its turn is spent all the same. By a clock of its own, in microseconds. */
    private static final class Crowd {

        private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();
        private final Balancer[] modules = new Balancer[CALLERS];
        private long now;
        private long freeAt;
        private long lastTold;
        private int told;
        private int refused;

        Crowd(Settings like, int number) {
            Random random = new Random(number);
            List<Integer> fleet = new ArrayList<>(IntStream.range(0, GATEWAYS).boxed().toList());
            Collections.shuffle(fleet, random);
            for (int i = 0; i < CALLERS; i++) {
                Site site = new Site(fleet.get(i), GATEWAYS, like.site().zone(), like.site().zones(), like.site().kinds(), 0,
                        like.site().stages());
                Settings own = new Settings(like.classes(), like.tenants(), like.limits(), like.links(), like.cpu(), like.rules(),
                        like.value(), site, like.habits(), like.registryOnRequest(), like.weights(), like.service(), like.resolution(),
                        random.nextLong());
                long held = TimeUnit.MILLISECONDS.toMicros(Main.askMillis(own));
                Balancer module = modules[i] = new Balance();
                module.start(0, own, (Balancer.Actions) Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                        new Class<?>[] {Balancer.Actions.class}, (proxy, method, words) -> {
                            if (method.getName().equals("timer")) {
                                at((long) words[0], () -> module.timer(now, (String) words[1]));
                            } else if (method.getName().equals("watch")) {
                                at(Math.max(now, held), () -> call(module));
                            }
                            return null;
                        }));
            }
        }

        private void at(long when, Runnable event) {
            events.computeIfAbsent(when, any -> new ArrayList<>()).add(event);
        }

        private void call(Balancer module) {
            freeAt = Math.max(freeAt, now) + TURN_MICROS;
            boolean late = freeAt - now > PATIENCE_MICROS;
            at(late ? now + PATIENCE_MICROS : freeAt, () -> {
                refused += late ? 1 : 0;
                told += late ? 0 : 1;
                lastTold = now;
                module.hosts(now, late ? ListForm.FAILED : ListForm.DELTA, List.of());
            });
        }

        void run() {
            while (told < CALLERS && now < TimeUnit.SECONDS.toMicros(Loopback.WAIT_SECONDS)) {
                now = events.firstKey();
                events.pollFirstEntry().getValue().forEach(Runnable::run);
            }
        }
    }

    /** Guards against a crowd that keeps itself waiting: all calls in one half second, half of them refused together, back together, and
        refused again behind the turns of those that were refused. */
    @Test
    void aHundredThatStartAtOnceAreAllTold() throws Exception {
        try (Server discovery = Loopback.discovery()) {
            Settings settings = Config.read(environment(folder, discovery, list(1, true),
                    SETTINGS.replace("\"must_ask_in\":1000000", "\"must_ask_in\":10000000"))).settings();
            for (int i = 0; i < CROWDS; i++) {
                Crowd crowd = new Crowd(settings, i);
                crowd.run();
                assertEquals(CALLERS, crowd.told);
                assertTrue(crowd.refused <= CALLERS / 3 && crowd.lastTold < 6_000_000,
                        "crowd " + i + ": the last told after " + crowd.lastTold / 1000 + " ms, " + crowd.refused + " refused");
            }
        }
    }

    /** Nothing is waited for once the rehearsal is over: where it is short, so is the start. */
    @Test
    void aCallThatIsHeldBackGoesOutWhenItIsTold() throws Exception {
        TimedEventLoop timed = TimedEventLoop.start();
        try (Server discovery = Loopback.discovery(); Server one = host("one")) {
            Config config = Config.read(environment(folder, discovery, known(one), SETTINGS));
            Main.Started started = Main.prepare(config, timed, TimeUnit.SECONDS.toMillis(Loopback.WAIT_SECONDS) * 2, false,
                    new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
            CompletableFuture<Void> settled = new CompletableFuture<>();  // the module asks within 50 ms here
            timed.loop().schedule(() -> settled.complete(null), 500, TimeUnit.MILLISECONDS);
            settled.join();
            assertEquals(0, discovery.accepted.size(), "held back");
            timed.loop().execute(started.gateway()::ask);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", Loopback.await(discovery.received).line());
            timed.loop().submit(started.gateway()::ask).sync();
            assertEquals(1, discovery.accepted.size(), "a second time changes nothing");
        } finally {
            timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
