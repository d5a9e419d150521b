package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import mastdrift.Balance;
import mastdrift.Balancer;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Many gateways at one discovery that works through calls in turn and refuses those that have waited for 2 s, which
 * cost it a turn all the same. Runs on a virtual clock, with the scheduler and the back-off of the real program.
 * <p>Guards against a crowd that refuses itself: all watches end as discovery goes down, it returns, most gateways are
 * killed while their calls are in its queue, and start again together. Gateways whose calls were refused called again
 * into the queue that had refused them, all at once, and were refused for as long as that went on. A host that
 * drained meanwhile was sent requests up to a second after the change counted as told, 6 s after discovery had it.
 */
class DiscoveryCrowdTest {

    private static final int GATEWAYS = 92;
    private static final int KILLED = 64;
    private static final int SEEDS = 40;
    private static final long TURN_MICROS = 65_000;
    private static final long PATIENCE_MICROS = 2_000_000;
    private static final long WATCHES_END_WITHIN_MICROS = 1_600_000;
    private static final long RETURN_AT = 8_500_000;
    private static final long KILLED_AT = 10_900_000;
    private static final long FIRST_CALL_AT = 12_900_000;
    private static final long FIRST_CALL_SPREAD_MICROS = 2_000_000;
    // A change that discovery has as the gateways are killed, and the time after which it counts as told.
    private static final long TOLD_AT = KILLED_AT + 6_000_000;
    private static final long END_AT = 30_000_000;

    @TempDir
    private Path folder;

    /** All gateways and their discovery. */
    private static final class Fleet {

        /** A future event; events of the same time run in the order in which they were added. */
        private record Event(long time, long order, Runnable action) { }

        private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.time != b.time
                ? Long.compare(a.time, b.time) : Long.compare(a.order, b.order));
        private final List<Gateway> gateways = new ArrayList<>();
        private final SplittableRandom random;
        private long now;
        private long eventCount;
        private long idleAt;  // when discovery has worked through its queue

        Fleet(long seed) {
            random = new SplittableRandom(seed);
        }

        void addEvent(long time, Runnable action) {
            events.add(new Event(time, eventCount++, action));
        }

        void run(long until) {
            while (!events.isEmpty() && events.peek().time <= until) {
                Event event = events.poll();
                now = event.time;
                event.action.run();
            }
        }
    }

    /** The calls of one gateway, from one start to its end. */
    private static final class Gateway {

        private final Fleet fleet;
        private final Balancer module = new Balance();
        private final DiscoveryCallScheduler<Integer> scheduler;
        private int calls;
        private boolean killed;
        private long listAt = Long.MAX_VALUE;  // of the first list since discovery returned

        Gateway(Fleet fleet, Settings settings, long firstCallAt) {
            this.fleet = fleet;
            SplittableRandom random = fleet.random.split();
            scheduler = new DiscoveryCallScheduler<>(DiscoveryCallScheduler.RESPONSE_TIMEOUT_MICROS, true, random::nextLong);
            boolean[] started = new boolean[1];
            Balancer.Actions actions = (Balancer.Actions) Proxy.newProxyInstance(getClass().getClassLoader(),
                    new Class<?>[] {Balancer.Actions.class}, (proxy, method, given) -> {
                        if (started[0] && method.getName().equals("timer") && given[1].equals("ask")) {
                            fleet.addEvent((long) given[0], () -> module.timer(fleet.now, (String) given[1]));
                        } else if (method.getName().equals("watch")) {
                            scheduler.request(fleet.now);
                            runScheduler();
                        }
                        return null;
                    });
            module.start(fleet.now, settings, actions);
            module.hosts(fleet.now, ListForm.CACHED, List.of());
            started[0] = true;
            fleet.addEvent(firstCallAt, () -> module.timer(fleet.now, "ask"));
        }

        /** What a gateway does after every event. */
        private void runScheduler() {
            if (killed) {
                return;
            }
            scheduler.overdueCalls(fleet.now).forEach(this::failCall);
            if (scheduler.shouldStartCall(fleet.now)) {
                int call = calls++;
                scheduler.callStarted(fleet.now, call);
                scheduler.connected(fleet.now, call);
                queue(call);
            }
            if (scheduler.nextEventTime() < Long.MAX_VALUE) {
                fleet.addEvent(Math.max(fleet.now + 1, scheduler.nextEventTime()), this::runScheduler);
            }
        }

        private void queue(int call) {
            long refusedAt = fleet.now + PATIENCE_MICROS;
            if (fleet.now >= RETURN_AT) {
                fleet.idleAt = Math.max(fleet.idleAt, fleet.now) + TURN_MICROS;
            }
            if (fleet.now >= RETURN_AT && fleet.idleAt <= refusedAt) {
                fleet.addEvent(fleet.idleAt, () -> receiveList(call));
            } else {
                fleet.addEvent(refusedAt, () -> {
                    failCall(call);
                    runScheduler();
                });
            }
        }

        private void receiveList(int call) {
            if (!killed && scheduler.isOpen(call)) {
                scheduler.lineReceived(fleet.now, call);
                module.hosts(fleet.now, ListForm.FULL, List.of());
                listAt = Math.min(listAt, fleet.now);
                fleet.addEvent(fleet.now + 2_000_000, () -> receiveList(call));  // a watch goes on
            }
        }

        void failCall(int call) {
            if (!killed && scheduler.isOpen(call) && scheduler.callFailed(fleet.now, call)) {
                module.hosts(fleet.now, ListForm.FAILED, List.of());
            }
        }

        /** The watch that was open since before the play ends. */
        void endWatch() {
            scheduler.request(fleet.now);
            int call = calls++;
            scheduler.callStarted(fleet.now, call);
            scheduler.connected(fleet.now, call);
            scheduler.lineReceived(fleet.now, call);
            module.hosts(fleet.now, ListForm.FULL, List.of());
            failCall(call);
            runScheduler();
        }
    }

    private Settings settings() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, "{\"name\":\"n0\",\"seed\":\"1\",\"limits\":{\"sockets\":112},\"known\":" + Loopback.list(1, true)
                + ",\"settings\":" + SETTINGS.replace("\"must_ask_in\":1000000", "\"must_ask_in\":10000000") + "}");
        return GatewayConfig.read(Map.of("NODE_CONFIG", file.toString(), "NODE_LISTEN", "127.0.0.1:0", "NODE_DISCOVERY",
                "127.0.0.1:1")).settings();
    }

    private static Settings withSeed(Settings of, long seed) {
        return new Settings(of.classes(), of.tenants(), of.limits(), of.links(), of.cpu(), of.rules(), of.value(), of.site(), of.habits(),
                of.registryOnRequest(), of.weights(), of.service(), of.resolution(), seed);
    }

    @Test
    void survivorsOfARestartHaveTheListInTime() throws Exception {
        Settings settings = settings();
        List<String> late = new ArrayList<>();
        int startsWithoutList = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Fleet fleet = new Fleet(seed);
            for (int i = 0; i < GATEWAYS; i++) {
                Gateway gateway = new Gateway(fleet, withSeed(settings, fleet.random.nextLong()), END_AT + 1);
                fleet.gateways.add(gateway);
                fleet.addEvent(fleet.random.nextLong(WATCHES_END_WITHIN_MICROS), gateway::endWatch);
            }
            fleet.run(KILLED_AT);
            List<Gateway> survivors = fleet.gateways.subList(KILLED, GATEWAYS);
            fleet.gateways.subList(0, KILLED).forEach(gateway -> gateway.killed = true);
            List<Gateway> started = new ArrayList<>();
            for (int i = 0; i < KILLED; i++) {
                started.add(new Gateway(fleet, withSeed(settings, fleet.random.nextLong()),
                        FIRST_CALL_AT + fleet.random.nextLong(FIRST_CALL_SPREAD_MICROS)));
            }
            fleet.run(END_AT);
            for (Gateway survivor : survivors) {
                if (survivor.listAt > TOLD_AT) {
                    late.add("seed " + seed + ": " + (survivor.listAt == Long.MAX_VALUE ? "none"
                            : (survivor.listAt - RETURN_AT) / 1000 + " ms after the return"));
                }
            }
            startsWithoutList += (int) started.stream().filter(gateway -> gateway.listAt == Long.MAX_VALUE).count();
        }
        assertTrue(late.isEmpty(), late.size() + " of " + SEEDS * (GATEWAYS - KILLED) + " late: " + late);
        assertTrue(startsWithoutList == 0, startsWithoutList + " starts without a list");
    }
}
