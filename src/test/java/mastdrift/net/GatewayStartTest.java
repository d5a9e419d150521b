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

/**
 * Guards against starts that take longer the worse discovery is: nine in ten of the gateways that restart must serve
 * clients within 10 s.
 */
class GatewayStartTest {

    private static final long MAX_READY_MILLIS = 7_000;  // of any start, whatever discovery does
    private static final long SLOW_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final String REFUSAL_RESPONSE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    // per start: the second 0.25 s after the first on average, the next after 0.5, 1 and 2 s
    private static final int MAX_CALLS = 8;
    private static final int GATEWAY_COUNT = 140;
    private static final int STARTING_GATEWAY_COUNT = 100;
    private static final int SIMULATION_COUNT = 100;
    private static final long CALL_DURATION_MICROS = 42_000;
    private static final long MAX_CALL_WAIT_MICROS = 2_000_000;

    @TempDir
    private Path folder;

    private static long elapsedMillis(long sinceNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos);
    }

    private static String knownList(Server host) {
        return list(1, true, entry("s1", host.address(), "a", "in_service"));
    }

    /** A discovery that is down, or that handles each call in the given way. */
    private static Server discovery(String behavior) throws Exception {
        Server discovery = new Server(message -> {
            if (behavior.equals("refuses late")) {
                LockSupport.parkNanos(MAX_CALL_WAIT_MICROS * 1_000);
            }
            if (behavior.startsWith("refuses")) {
                write(message.socket(), REFUSAL_RESPONSE);
            } else if (behavior.equals("begins")) {
                write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
        });
        if (behavior.equals("away")) {
            discovery.close();
        }
        return discovery;
    }

    /** Returns what is wrong with a start, or an empty text. */
    private String checkStart(String behavior) throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(log, true, StandardCharsets.UTF_8);
        TimedEventLoop timedLoop = TimedEventLoop.start();
        TimedEventLoop slowLoop = TimedEventLoop.start();
        slowLoop.loop().scheduleWithFixedDelay(() -> LockSupport.parkNanos(SLOW_TURN_NANOS), 0, 1,
                TimeUnit.MILLISECONDS);
        Path directory = Files.createDirectory(folder.resolve(behavior));
        try (Server discovery = discovery(behavior); Server one = host("one")) {
            long beganNanos = System.nanoTime();
            GatewayConfig config = GatewayConfig.read(environment(directory, discovery, knownList(one), SETTINGS));
            Main.StartedGateway started = Main.prepare(config, timedLoop, Main.firstCallDelayMillis(config.settings()),
                    false, out);
            Main.completeStart(started, timedLoop.loop(), config, slowLoop, beganNanos, out);
            Main.listen(started, config, out);
            long tookMillis = elapsedMillis(beganNanos);
            String logged = log.toString(StandardCharsets.UTF_8);
            boolean inTime = tookMillis < MAX_READY_MILLIS && logged.contains("starting with the known list")
                    && !started.gateway().firstListReceived().isDone();
            return inTime && discovery.accepted.size() <= MAX_CALLS ? ""
                    : behavior + ": ready after " + tookMillis + " ms and " + discovery.accepted.size() + " calls: "
                            + logged;
        } finally {
            timedLoop.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /**
     * On a core so slow that the warm-up takes all the time that it may, as where many gateways start at once: the wait
     * for discovery is counted from the process's start, not from the end of the warm-up. The starts run in parallel,
     * since each takes its time.
     */
    @Test
    void startIsReadyInTimeWhateverDiscoveryDoes() throws Exception {
        List<Future<String>> starts = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            for (String behavior : List.of("refuses", "refuses late", "silent", "begins", "away")) {
                starts.add(threads.submit(() -> checkStart(behavior)));
            }
            for (Future<String> start : starts) {
                assertEquals("", start.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /**
     * Seven in ten gateways, at random, that start at one moment, and a discovery that serves calls one after the
     * other. A call that has waited too long is refused, and takes its time of discovery all the same. On a simulated
     * clock, in microseconds.
     */
    private static final class FleetStart {

        private final TreeMap<Long, List<Runnable>> events = new TreeMap<>();
        private final Balancer[] modules = new Balancer[STARTING_GATEWAY_COUNT];
        private long now;
        private long discoveryFreeAt;
        private long lastAnswerAt;
        private int listsDelivered;
        private int callsRefused;

        FleetStart(Settings template, int randomSeed) {
            Random random = new Random(randomSeed);
            List<Integer> fleet = new ArrayList<>(IntStream.range(0, GATEWAY_COUNT).boxed().toList());
            Collections.shuffle(fleet, random);
            for (int i = 0; i < STARTING_GATEWAY_COUNT; i++) {
                Site site = new Site(fleet.get(i), GATEWAY_COUNT, template.site().zone(), template.site().zones(),
                        template.site().kinds(), 0, template.site().stages());
                Settings settings = new Settings(template.classes(), template.tenants(), template.limits(),
                        template.links(), template.cpu(), template.rules(), template.value(), site, template.habits(),
                        template.registryOnRequest(), template.weights(), template.service(), template.resolution(),
                        random.nextLong());
                long firstCallAt = TimeUnit.MILLISECONDS.toMicros(Main.firstCallDelayMillis(settings));
                Balancer module = modules[i] = new Balance();
                module.start(0, settings, (Balancer.Actions) Proxy.newProxyInstance(Balancer.class.getClassLoader(),
                        new Class<?>[] {Balancer.Actions.class}, (proxy, method, arguments) -> {
                            if (method.getName().equals("timer")) {
                                schedule((long) arguments[0], () -> module.timer(now, (String) arguments[1]));
                            } else if (method.getName().equals("watch")) {
                                schedule(Math.max(now, firstCallAt), () -> call(module));
                            }
                            return null;
                        }));
            }
        }

        private void schedule(long time, Runnable event) {
            events.computeIfAbsent(time, any -> new ArrayList<>()).add(event);
        }

        private void call(Balancer module) {
            discoveryFreeAt = Math.max(discoveryFreeAt, now) + CALL_DURATION_MICROS;
            boolean tooLate = discoveryFreeAt - now > MAX_CALL_WAIT_MICROS;
            schedule(tooLate ? now + MAX_CALL_WAIT_MICROS : discoveryFreeAt, () -> {
                callsRefused += tooLate ? 1 : 0;
                listsDelivered += tooLate ? 0 : 1;
                lastAnswerAt = now;
                module.hosts(now, tooLate ? ListForm.FAILED : ListForm.DELTA, List.of());
            });
        }

        void run() {
            while (listsDelivered < STARTING_GATEWAY_COUNT && now < TimeUnit.SECONDS.toMicros(Loopback.WAIT_SECONDS)) {
                now = events.firstKey();
                events.pollFirstEntry().getValue().forEach(Runnable::run);
            }
        }
    }

    /**
     * Guards against a start of many gateways that delays itself: all calls come within half a second, half of them are
     * refused together, come back together, and are refused again because the calls refused before still take up
     * discovery's time.
     */
    @Test
    void hundredGatewaysStartingTogetherAllGetTheList() throws Exception {
        try (Server discovery = Loopback.discovery()) {
            Settings settings = GatewayConfig.read(environment(folder, discovery, list(1, true),
                    SETTINGS.replace("\"must_ask_in\":1000000", "\"must_ask_in\":10000000"))).settings();
            for (int i = 0; i < SIMULATION_COUNT; i++) {
                FleetStart fleetStart = new FleetStart(settings, i);
                fleetStart.run();
                assertEquals(STARTING_GATEWAY_COUNT, fleetStart.listsDelivered);
                assertTrue(fleetStart.callsRefused <= STARTING_GATEWAY_COUNT / 3 && fleetStart.lastAnswerAt < 6_000_000,
                        "run " + i + ": last answer after " + fleetStart.lastAnswerAt / 1000 + " ms, "
                                + fleetStart.callsRefused + " refused");
            }
        }
    }

    /** Nothing is waited for once the warm-up is over: where it is short, so is the start. */
    @Test
    void heldBackCallGoesOutOnceAllowed() throws Exception {
        TimedEventLoop timedLoop = TimedEventLoop.start();
        try (Server discovery = Loopback.discovery(); Server one = host("one")) {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery, knownList(one), SETTINGS));
            Main.StartedGateway started = Main.prepare(config, timedLoop,
                    TimeUnit.SECONDS.toMillis(Loopback.WAIT_SECONDS) * 2, false,
                    new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
            // The module calls discovery within 50 ms here.
            CompletableFuture<Void> settled = new CompletableFuture<>();
            timedLoop.loop().schedule(() -> settled.complete(null), 500, TimeUnit.MILLISECONDS);
            settled.join();
            assertEquals(0, discovery.accepted.size(), "the call is held back");
            timedLoop.loop().execute(started.gateway()::allowDiscovery);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", Loopback.await(discovery.received).line());
            timedLoop.loop().submit(started.gateway()::allowDiscovery).sync();
            assertEquals(1, discovery.accepted.size(), "allowing calls again has no effect");
        } finally {
            timedLoop.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }
}
