package mastdrift.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import mastdrift.routing.Route.Target;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Routes, weights by key, fallbacks and pins. */
class RoutingTest {

    private static final int KEYS = 20_000;

    private static RouteCriteria criteria(String className, String tenant, String path, String zone, long key) {
        return new RouteCriteria(className, tenant, path, zone, key,
                name -> name.equalsIgnoreCase("X-Canary") ? List.of("0", "1") : List.of());
    }

    private static RouteCriteria keyedRequest(long key) {
        return criteria("start", "acme", "/api", "bilbao", key);
    }

    private static Route route(String name, Match match, String fallback, Target... targets) {
        return new Route(name, match, List.of(targets), fallback);
    }

    private static RouteTable splitTable(double a, double b) {
        return new RouteTable(List.of(route("all", Match.ANY, null, new Target("a", a), new Target("b", b))));
    }

    /** Each condition of a match narrows it, and a path prefix ends at a segment boundary. */
    @ParameterizedTest
    @CsvSource(nullValues = "-", value = {
        "start, -, -, -, -, -, true", "read, -, -, -, -, -, false", "-, acme, -, -, -, -, true",
        "-, other, -, -, -, -, false", "-, -, /api, -, -, -, true", "-, -, /api/x, -, -, -, true",
        "-, -, /api/x/, -, -, -, true", "-, -, /api/xy, -, -, -, false", "-, -, /ap, -, -, -, false",
        "-, -, /, -, -, -, true", "-, -, -, x-canary, 1, -, true", "-, -, -, X-Canary, 2, -, false",
        "-, -, -, X-Canary, -, -, true", "-, -, -, X-Other, -, -, false", "-, -, -, -, -, bilbao, true",
        "-, -, -, -, -, oviedo, false", "start, acme, /api, X-Canary, 0, bilbao, true",
        "start, acme, /api, X-Canary, 0, oviedo, false"})
    void requestMatchesWhenAllConditionsDo(String className, String tenant, String path, String header, String value,
            String zone, boolean matches) {
        Match match = new Match(className, tenant, path, header, value, zone);
        assertEquals(matches, match.matches(criteria("start", "acme", "/api/x/y", "bilbao", 1)));
    }

    @Test
    void firstMatchingRouteSelectsThePool() {
        RouteTable table = new RouteTable(List.of(
                route("one", new Match("read", null, null, null, null, null), null, new Target("a", 1)),
                route("two", new Match(null, "acme", null, null, null, null), null, new Target("b", 1)),
                route("three", Match.ANY, null, new Target("c", 1))));
        assertEquals("a", table.selectPool(criteria("read", "acme", "/api", "bilbao", 1), pool -> true));
        assertEquals("b", table.selectPool(keyedRequest(1), pool -> true));
        assertEquals("c", table.selectPool(criteria("start", null, "/api", "bilbao", 1), pool -> true));
        assertNull(new RouteTable(List.of()).selectPool(keyedRequest(1), pool -> true));
    }

    @Test
    void routeWithoutPositiveWeightIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> route("r", Match.ANY, null, new Target("a", 0)));
        assertThrows(IllegalArgumentException.class, () -> new Target("a", -1));
        assertThrows(IllegalArgumentException.class, () -> new Target("a", Double.NaN));
    }

    /** Three standard deviations of a binomial fraction of 20,000 keys are about 0.01. */
    @ParameterizedTest
    @CsvSource({"1, 1, 0.5", "9, 1, 0.9", "0.02, 0.01, 0.667", "1, 0, 1", "0, 5, 0"})
    void keysAreSplitByWeight(double a, double b, double fraction) {
        RouteTable table = splitTable(a, b);
        long toA = new SplittableRandom(1).longs(KEYS)
                .filter(key -> table.selectPool(keyedRequest(key), p -> true).equals("a")).count();
        assertEquals(fraction, toA / (double) KEYS, 0.012);
    }

    /**
     * Guards against keys that move between pools whose weights did not change: the hosts that can recognize their
     * repeats would be lost.
     */
    @Property(tries = 200, seed = "41")
    void changedWeightMovesKeysOnlyToOrFromItsPool(@ForAll long key,
            @ForAll @DoubleRange(min = 0.01, max = 100) double a,
            @ForAll @DoubleRange(min = 0.01, max = 100) double before,
            @ForAll @DoubleRange(min = 0, max = 100) double after,
            @ForAll @IntRange(min = 1, max = 6) int others) {
        String old = tableWithWeights(a, before, others).selectPool(keyedRequest(key), pool -> true);
        String now = tableWithWeights(a, after, others).selectPool(keyedRequest(key), pool -> true);
        boolean moved = !old.equals(now);
        assertTrue(!moved || (after > before ? now.equals("changed") : old.equals("changed")), old + " to " + now);
    }

    private static RouteTable tableWithWeights(double a, double changed, int others) {
        Target[] targets = new Target[others + 1];
        targets[0] = new Target("changed", changed);
        for (int i = 1; i <= others; i++) {
            targets[i] = new Target("p" + i, a);
        }
        return new RouteTable(List.of(route("all", Match.ANY, null, targets)));
    }

    @ParameterizedTest
    @CsvSource({"'main,spare', main", "spare, spare", "main, main", "'', main"})
    void fallbackIsUsedWhenOnlyItHasAvailableHosts(String available, String chosen) {
        RouteTable table = new RouteTable(List.of(route("all", Match.ANY, "spare", new Target("main", 1))));
        assertEquals(chosen, table.selectPool(keyedRequest(1), Set.of(available.split(","))::contains));
    }

    /**
     * Guards against a session start that runs in both pools: its repeat after a route change goes to the same pool.
     */
    @Test
    void repeatOfKeyedRequestStaysInItsPoolWhenRoutesChange() {
        Router router = new Router(100);
        router.setRoutes(splitTable(1, 0));
        assertEquals("a", router.selectPoolForKey(0, keyedRequest(7), 1000, pool -> true));
        router.setRoutes(splitTable(0, 1));
        assertEquals("a", router.selectPoolForKey(500, keyedRequest(7), 1500, pool -> false),
                "no available host there: that pool has to refuse it");
        assertEquals("b", router.selectPoolForKey(500, keyedRequest(8), 1500, pool -> true), "another key");
        assertTrue(router.hasPinTo(1400, "a"));
        assertEquals("a", router.selectPoolForKey(1400, keyedRequest(7), 1450, pool -> true),
                "the later expiry applies");
        assertEquals("b", router.selectPoolForKey(1500, keyedRequest(7), 2500, pool -> true), "its pin has expired");
        assertEquals("b", router.selectPool(keyedRequest(7), pool -> true), "safe requests are not pinned");
    }

    @Test
    void sameKeyInAnotherClassIsPinnedSeparately() {
        Router router = new Router(100);
        router.setRoutes(splitTable(1, 0));
        router.selectPoolForKey(0, keyedRequest(7), 1000, pool -> true);
        router.setRoutes(splitTable(0, 1));
        assertEquals("b", router.selectPoolForKey(1, criteria("stop", "acme", "/api", "bilbao", 7), 1000,
                pool -> true));
    }

    @Test
    void oldestPinIsEvictedWhenFull() {
        PinTable pins = new PinTable(3);
        for (int key = 0; key < 3; key++) {
            pins.pin(key, key, "a", 1000);
        }
        pins.pin(3, 0, "a", 1000);  // pinned again: no longer the oldest
        pins.pin(4, 3, "a", 1000);
        assertEquals(3, pins.size());
        assertNull(pins.poolFor(5, 1));
        assertEquals("a", pins.poolFor(5, 0));
    }

    @Test
    void expiredPinsAreRemoved() {
        PinTable pins = new PinTable(1000);
        for (int key = 0; key < 100; key++) {
            pins.pin(key, key, "a", key + 10);
        }
        assertTrue(pins.size() <= 11, "pins held: " + pins.size());
        assertTrue(!pins.hasPinTo(200, "a"));
    }

    /**
     * Against a model: the pool of a keyed request is that of its last pin until that expires, else that of the table.
     */
    @Property(tries = 100, seed = "41")
    void poolsOfKeyedRequestsAgreeWithModelOverManySteps(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Router router = new Router(1000);
        Map<Long, String> pools = new HashMap<>();
        Map<Long, Long> expiry = new HashMap<>();
        RouteTable table = splitTable(1, 1);
        router.setRoutes(table);
        for (long now = 0; now < 3000; now += random.nextInt(20)) {
            if (random.nextInt(20) == 0) {
                table = splitTable(random.nextInt(3), 1 + random.nextInt(3));
                router.setRoutes(table);
            }
            long key = random.nextInt(30);
            long ends = now + random.nextInt(200);
            boolean pinned = expiry.getOrDefault(key, 0L) > now;
            String expected = pinned ? pools.get(key) : table.selectPool(keyedRequest(key), pool -> true);
            assertEquals(expected, router.selectPoolForKey(now, keyedRequest(key), ends, pool -> true));
            expiry.put(key, pinned ? Math.max(expiry.get(key), ends) : ends);
            pools.put(key, expected);
        }
    }
}
