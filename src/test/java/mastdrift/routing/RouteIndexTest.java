package mastdrift.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import mastdrift.routing.Route.Target;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The index returns the same route as a linear scan of all routes. */
class RouteIndexTest {

    // A word may be a class, a tenant and a segment at once; "Aa" and "BB" have the same hash code.
    private static final List<String> WORDS = List.of("read", "start", "acme", "Aa", "BB");
    private static final List<String> SEGMENTS = List.of("", "read", "a", "ab", "Aa", "BB", "%61", "A", "*");
    private static final List<String> UNUSUAL_PATHS = List.of("", "/", "//", "///", "a", "a/", "*", "/a//", "//a",
            "http://a/ab");
    private static final List<String> HEADERS = List.of("X-Canary", "X-Other");
    private static final List<String> VALUES = List.of("0", "1", "2");
    private static final List<String> ZONES = List.of("bilbao", "oviedo", "read");

    /** The reference implementation: a linear scan. */
    private static Route linearSearch(List<Route> routes, RouteCriteria request) {
        for (Route route : routes) {
            if (route.match().matches(request)) {
                return route;
            }
        }
        return null;
    }

    private static RouteIndex buildIndex(List<Route> routes) {
        RouteIndex index = RouteIndex.EMPTY;
        for (OrderedRoute each : OrderedRoute.fromList(routes)) {
            index = index.with(each);
        }
        return index;
    }

    private static Route route(int number, Match match) {
        return new Route("r" + number, match, List.of(new Target("p", 1)), null);
    }

    private static <T> T randomElement(SplittableRandom random, List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    /** A random element, or null with probability {@code none}. */
    private static String randomElement(SplittableRandom random, List<String> of, double none) {
        return random.nextDouble() < none ? null : randomElement(random, of);
    }

    private static String randomPath(SplittableRandom random, int maxSegments) {
        if (random.nextInt(10) == 0) {
            return randomElement(random, UNUSUAL_PATHS);
        }
        StringBuilder path = new StringBuilder(random.nextInt(20) == 0 ? "a" : "");
        for (int i = random.nextInt(maxSegments + 1); i > 0; i--) {
            path.append('/').append(randomElement(random, SEGMENTS));
        }
        return path.append(random.nextInt(4) == 0 ? "/" : "").toString();
    }

    private static List<Route> randomRoutes(SplittableRandom random, int count) {
        double any = random.nextDouble();
        double plain = random.nextDouble();
        int depth = 1 + random.nextInt(5);
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routes.add(route(i, new Match(randomElement(random, WORDS, any), randomElement(random, WORDS, any),
                    random.nextDouble() < any / 4 ? null : randomPath(random, depth),
                    randomElement(random, HEADERS, plain),
                    randomElement(random, VALUES, 0.3), randomElement(random, ZONES, plain))));
        }
        return routes;
    }

    private static RouteCriteria randomRequest(SplittableRandom random) {
        List<String> canary = random.nextBoolean() ? List.of()
                : List.of(randomElement(random, VALUES), randomElement(random, VALUES));
        List<String> other = random.nextBoolean() ? List.of() : List.of("1");
        return new RouteCriteria(randomElement(random, WORDS, 0.1), randomElement(random, WORDS, 0.1),
                randomPath(random, 7), randomElement(random, ZONES), 1,
                name -> name.equals("X-Canary") ? canary : name.equals("X-Other") ? other : List.of());
    }

    /** Guards against a route that the index does not find, or finds before one that precedes it. */
    @Property(tries = 1_000, seed = "51")
    void indexAndTableReturnSameRouteAsLinearScan(@ForAll long seed, @ForAll @IntRange(max = 400) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Route> routes = randomRoutes(random, count);
        RouteTable table = new RouteTable(routes);
        RouteIndex index = buildIndex(routes);  // also for few routes, for which a table has no index
        for (int i = 0; i < 40; i++) {
            RouteCriteria request = randomRequest(random);
            assertSame(linearSearch(routes, request), index.firstRoute(request), () -> request + " among " + routes);
            assertSame(linearSearch(routes, request), table.firstMatch(request), () -> request + " among " + routes);
        }
    }

    /**
     * Routes are added, removed and moved in any order: after each step the index and the table return what a linear
     * scan returns, and the previous index and table are unchanged.
     */
    @Property(tries = 300, seed = "53")
    void incrementallyChangedIndexReturnsSameRouteAsLinearScan(@ForAll long seed,
            @ForAll @IntRange(max = 60) int maxNameNumber) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Route> drawn = randomRoutes(random, 400);
        TreeSet<OrderedRoute> present = new TreeSet<>(OrderedRoute::compare);
        Map<String, OrderedRoute> byName = new HashMap<>();
        RouteTable table = new RouteTable(List.of());
        RouteIndex index = RouteIndex.EMPTY;
        for (int step = 0; step < 40; step++) {
            Map<String, OrderedRoute> removed = new HashMap<>();
            Map<String, OrderedRoute> added = new HashMap<>();
            for (int i = random.nextInt(4); i >= 0; i--) {
                Route of = drawn.get(random.nextInt(drawn.size()));
                String name = "n" + random.nextInt(maxNameNumber + 1);  // of few names, so that routes are replaced
                OrderedRoute previous = byName.get(name);
                if (previous != null && !added.containsKey(name)) {
                    removed.put(name, previous);
                }
                if (random.nextInt(3) > 0) {
                    added.put(name, new OrderedRoute.SimpleOrderedRoute(random.nextInt(20),
                            new Route(name, of.match(), of.targets(), null)));
                } else {
                    added.remove(name);
                }
            }
            RouteTable before = table;
            RouteIndex indexBefore = index;
            List<Route> listBefore = present.stream().map(OrderedRoute::route).toList();
            table = table.withChanges(removed.values(), added.values());
            for (OrderedRoute each : removed.values()) {
                index = index.without(each);
                present.remove(each);
                byName.remove(each.route().name());
            }
            for (OrderedRoute each : added.values()) {
                index = index.with(each);
                present.add(each);
                byName.put(each.route().name(), each);
            }
            List<Route> list = present.stream().map(OrderedRoute::route).toList();
            assertEquals(list, table.routes());
            assertEquals(listBefore, before.routes());
            for (int i = 0; i < 10; i++) {
                RouteCriteria request = randomRequest(random);
                assertSame(linearSearch(list, request), index.firstRoute(request), () -> request + " among " + list);
                assertSame(linearSearch(list, request), table.firstMatch(request), () -> request + " among " + list);
                assertSame(linearSearch(listBefore, request), indexBefore.firstRoute(request), () -> request + " among "
                        + listBefore);
                assertSame(linearSearch(listBefore, request), before.firstMatch(request), () -> request + " among "
                        + listBefore);
            }
        }
        for (OrderedRoute each : present) {
            index = index.without(each);
        }
        assertNull(index.firstRoute(randomRequest(random)));
        table = table.withChanges(present, List.of());
        assertEquals(List.of(), table.routes());
    }

    /** Labels with the same hash, which no branch can separate, are added and removed one by one; others stay. */
    @Test
    void labelsWithSameHashAreDistinguished() {
        List<String> colliding = List.of("AaAaAa", "AaAaBB", "AaBBAa", "AaBBBB", "BBAaAa", "BBAaBB", "BBBBAa",
                "BBBBBB");
        assertEquals(1, colliding.stream().map(String::hashCode).distinct().count());
        List<OrderedRoute> all = new ArrayList<>(OrderedRoute.fromList(IntStream.range(0, 80).mapToObj(i ->
                route(i, new Match(null, null, "/" + (i < colliding.size() ? colliding.get(i) : "other" + i), null,
                        null, null))).toList()));
        SplittableRandom random = new SplittableRandom(54);
        RouteIndex index = RouteIndex.EMPTY;
        Set<OrderedRoute> present = new HashSet<>();
        for (int step = 0; step < 2_000; step++) {
            OrderedRoute each = all.get(random.nextInt(random.nextBoolean() ? colliding.size() : all.size()));
            index = present.contains(each) ? index.without(each) : index.with(each);
            if (!present.remove(each)) {
                present.add(each);
            }
            for (OrderedRoute one : all) {
                Route found = index.firstRoute(new RouteCriteria("read", null, one.route().match().pathPrefix(),
                        "bilbao", 1, name -> List.of()));
                assertSame(present.contains(one) ? one.route() : null, found, () -> one + " at " + present);
            }
        }
    }

    /** A table grows and shrinks across the number of routes from which on it has an index. */
    @Test
    void tableStaysCorrectWhenItCrossesTheLinearScanLimit() {
        RouteTable table = new RouteTable(List.of());
        List<OrderedRoute> all = OrderedRoute.fromList(IntStream.range(0, 3 * RouteTable.MAX_LINEAR_ROUTES)
                .mapToObj(i -> route(i, new Match(null, null, "/a" + i, null, null, null))).toList());
        for (int i = 0; i < all.size(); i++) {
            table = table.withChanges(List.of(), List.of(all.get(i)));
            assertSame(all.get(i).route(),
                    table.firstMatch(new RouteCriteria("read", null, "/a" + i, "bilbao", 1, name -> List.of())));
        }
        for (int i = 0; i < all.size(); i++) {
            table = table.withChanges(List.of(all.get(i)), List.of());
            assertNull(table.firstMatch(new RouteCriteria("read", null, "/a" + i, "bilbao", 1, name -> List.of())));
            assertEquals(all.size() - i - 1, table.routes().size());
        }
    }

    @Test
    void removingAbsentRouteOrAddingAtTakenPositionIsRejected() {
        OrderedRoute one = new OrderedRoute.SimpleOrderedRoute(1, route(1, Match.ANY));
        OrderedRoute same = new OrderedRoute.SimpleOrderedRoute(1,
                route(1, new Match("read", null, null, null, null, null)));
        OrderedRoute other = new OrderedRoute.SimpleOrderedRoute(2, route(2, Match.ANY));
        RouteTable table = new RouteTable(List.of()).withChanges(List.of(), List.of(one));
        assertEquals("route r2: expected it at its position to remove it, found none",
                assertThrows(IllegalArgumentException.class, () -> table.withChanges(List.of(other), List.of()))
                .getMessage());
        assertThrows(IllegalArgumentException.class, () -> table.withChanges(List.of(one, one), List.of()));
        assertThrows(IllegalArgumentException.class, () -> table.withChanges(List.of(one, other), List.of()));
        assertEquals("route r1: expected a free position to add it, found another route there",
                assertThrows(IllegalArgumentException.class, () -> table.withChanges(List.of(), List.of(same)))
                .getMessage());
        assertThrows(IllegalArgumentException.class, () -> table.withChanges(List.of(), List.of(other, other)));
        assertSame(same.route(), table.withChanges(List.of(one), List.of(same)).routes().get(0));
        assertThrows(IllegalArgumentException.class, () -> RouteIndex.EMPTY.with(one).with(one));
        assertThrows(IllegalArgumentException.class, () -> RouteIndex.EMPTY.without(one));
        assertEquals("expected at most 56000 routes, found 56001", assertThrows(IllegalArgumentException.class,
                () -> new RouteTable(Collections.nCopies(RouteTable.MAX_ROUTES, route(1, Match.ANY)))
                        .withChanges(List.of(),
                                List.of(new OrderedRoute.SimpleOrderedRoute(RouteTable.MAX_ROUTES, one.route()))))
                .getMessage());
    }

    /** With so many routes that nearly every look-up has another result. */
    @Test
    void tableWithThousandsOfRoutesReturnsSameRouteAsLinearScan() {
        SplittableRandom random = new SplittableRandom(52);
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            routes.add(route(i, new Match(i % 3 == 0 ? "read" : null, i % 5 == 0 ? "acme" : null,
                    "/api/v" + random.nextInt(3) + "/t" + random.nextInt(2_000) + (i % 7 == 0 ? "/" : ""), null, null,
                    null)));
        }
        RouteTable table = new RouteTable(routes);
        Set<Route> matched = new HashSet<>();
        for (int i = 0; i < 5_000; i++) {
            RouteCriteria request = new RouteCriteria(randomElement(random, WORDS), randomElement(random, WORDS, 0.1),
                    "/api/v" + random.nextInt(3) + "/t" + random.nextInt(2_000)
                    + randomElement(random, List.of("", "/", "/x")), "bilbao", 1,
                    name -> List.of());
            Route route = table.firstMatch(request);
            assertSame(linearSearch(routes, request), route, request::toString);
            matched.add(route);
        }
        assertTrue(matched.size() > 1_000, "routes matched: " + matched.size());
    }

    /** Each row: a prefix, a path, and whether the prefix matches the path. */
    @ParameterizedTest
    @CsvSource({"/a, /a, true", "/a, /a/, true", "/a, /a/b, true", "/a, /ab, false", "/a, /, false", "/a/, /a, false",
        "/a/, /a/, true", "/a/, /a/b, true", "/a/, /a//, true", "/a/, /ab/, false", "/, /, true", "/, /a, true",
        "/, '', false",
        "/, a, false", "'', '', true", "'', /a, true", "'', a, false", "a, a, true", "a, a/b, true", "a, /a, false",
        "//, //, true",
        "//, /a, false", "//, //a, true", "/a//, /a/, false", "/a//, /a//b, true", "/a//b, /a//b/c, true",
        "/a//b, /a/b, false",
        "/a, //a, false", "/a, '', false", "/%61, /a, false", "*, *, true"})
    void unusualPrefixesMatchAsInLinearScan(String prefix, String path, boolean matches) {
        List<Route> routes = List.of(route(1, new Match(null, null, prefix, null, null, null)));
        RouteCriteria request = new RouteCriteria("read", null, path, "bilbao", 1, name -> List.of());
        assertEquals(matches, linearSearch(routes, request) != null, "linear scan");
        assertEquals(matches, buildIndex(routes).firstRoute(request) != null, "index");
    }

    /** Guards against a scan of all routes: headers are read only for the candidates of the request's nodes. */
    @Test
    void headersAreReadOnlyForCandidateRoutes() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            routes.add(route(i, new Match(null, null, "/t" + i % 1_000, "X-Canary", Integer.toString(i), null)));
        }
        RouteTable table = new RouteTable(routes);
        int[] headerLookups = new int[1];
        RouteCriteria request = new RouteCriteria("read", null, "/t7/x", "bilbao", 1, name -> {
            headerLookups[0]++;
            return List.of("5007");
        });
        assertSame(routes.get(5_007), table.firstMatch(request));
        assertEquals(6, headerLookups[0], "routes 7, 1007, .., 5007");
    }

    /** The walk of a path as long as a front admits ends where the trie does. */
    @Test
    void walkOfLongPathEndsWhereTheTrieEnds() {
        RouteIndex index = buildIndex(List.of(route(1, new Match(null, null, "////a", null, null, null))));
        assertNull(index.firstRoute(new RouteCriteria("read", null, "/".repeat(100_000), "bilbao", 1,
                name -> List.of())));
        assertEquals("r1", index.firstRoute(new RouteCriteria("read", null, "////a" + "/".repeat(100_000), "bilbao", 1,
                name -> List.of())).name());
    }

    @Test
    void tableIsUnaffectedByChangesOfItsSourceList() {
        assertTableIndependentOfSourceList(1);
        assertTableIndependentOfSourceList(RouteTable.MAX_LINEAR_ROUTES + 1);
    }

    private static void assertTableIndependentOfSourceList(int count) {
        List<Route> routes = new ArrayList<>(Collections.nCopies(count, route(1, Match.ANY)));
        RouteTable table = new RouteTable(routes);
        routes.set(0, route(2, Match.ANY));
        assertEquals("r1", table.firstMatch(new RouteCriteria("read", null, "/", "bilbao", 1, name -> List.of()))
                .name());
    }

    @Test
    void tableWithMaxRoutesIsBuiltAndLargerOneIsRejected() {
        Route route = route(1, Match.ANY);
        assertEquals(56_000, new RouteTable(Collections.nCopies(RouteTable.MAX_ROUTES, route)).routes().size());
        IllegalArgumentException rejected = assertThrows(IllegalArgumentException.class,
                () -> new RouteTable(Collections.nCopies(RouteTable.MAX_ROUTES + 1, route)));
        assertEquals("expected at most 56000 routes, found 56001", rejected.getMessage());
    }
}
