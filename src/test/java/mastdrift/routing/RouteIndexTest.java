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

/** The index gives the route that a look at all of them, one by one, gives. */
class RouteIndexTest {

    // A word may be a class, a tenant and a segment at once; "Aa" and "BB" have one hash.
    private static final List<String> WORDS = List.of("read", "start", "acme", "Aa", "BB");
    private static final List<String> SEGMENTS = List.of("", "read", "a", "ab", "Aa", "BB", "%61", "A", "*");
    private static final List<String> ODD = List.of("", "/", "//", "///", "a", "a/", "*", "/a//", "//a", "http://a/ab");
    private static final List<String> HEADERS = List.of("X-Canary", "X-Other");
    private static final List<String> VALUES = List.of("0", "1", "2");
    private static final List<String> ZONES = List.of("bilbao", "oviedo", "read");

    /** What the index stands for. */
    private static Route linear(List<Route> routes, RouteCriteria request) {
        for (Route route : routes) {
            if (route.match().fits(request)) {
                return route;
            }
        }
        return null;
    }

    private static RouteIndex index(List<Route> routes) {
        RouteIndex index = RouteIndex.EMPTY;
        for (OrderedRoute each : OrderedRoute.ofList(routes)) {
            index = index.with(each);
        }
        return index;
    }

    private static Route route(int number, Match match) {
        return new Route("r" + number, match, List.of(new Target("p", 1)), null);
    }

    private static <T> T one(SplittableRandom random, List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    /** One of them, or null for this part of all. */
    private static String one(SplittableRandom random, List<String> of, double none) {
        return random.nextDouble() < none ? null : one(random, of);
    }

    private static String path(SplittableRandom random, int segmentsMost) {
        if (random.nextInt(10) == 0) {
            return one(random, ODD);
        }
        StringBuilder path = new StringBuilder(random.nextInt(20) == 0 ? "a" : "");
        for (int i = random.nextInt(segmentsMost + 1); i > 0; i--) {
            path.append('/').append(one(random, SEGMENTS));
        }
        return path.append(random.nextInt(4) == 0 ? "/" : "").toString();
    }

    private static List<Route> routes(SplittableRandom random, int count) {
        double any = random.nextDouble();
        double plain = random.nextDouble();
        int depth = 1 + random.nextInt(5);
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            routes.add(route(i, new Match(one(random, WORDS, any), one(random, WORDS, any),
                    random.nextDouble() < any / 4 ? null : path(random, depth), one(random, HEADERS, plain),
                    one(random, VALUES, 0.3), one(random, ZONES, plain))));
        }
        return routes;
    }

    private static RouteCriteria request(SplittableRandom random) {
        List<String> canary = random.nextBoolean() ? List.of() : List.of(one(random, VALUES), one(random, VALUES));
        List<String> other = random.nextBoolean() ? List.of() : List.of("1");
        return new RouteCriteria(one(random, WORDS, 0.1), one(random, WORDS, 0.1), path(random, 7), one(random, ZONES), 1,
                name -> name.equals("X-Canary") ? canary : name.equals("X-Other") ? other : List.of());
    }

    /** Guards against a route that the index does not find, or finds before the one that comes first. */
    @Property(tries = 1_000, seed = "51")
    void theIndexAnswersAsTheListDoes(@ForAll long seed, @ForAll @IntRange(max = 400) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Route> routes = routes(random, count);
        RouteTable table = new RouteTable(routes);
        RouteIndex index = index(routes);  // also of few, for which a table has none
        for (int i = 0; i < 40; i++) {
            RouteCriteria request = request(random);
            assertSame(linear(routes, request), index.first(request), () -> request + " among " + routes);
            assertSame(linear(routes, request), table.route(request), () -> request + " among " + routes);
        }
    }

    /** Routes come, go and change their place in any order: after each step the index and the table answer as the list does, and those before it as they did. */
    @Property(tries = 300, seed = "53")
    void anIndexThatIsChangedInPartsAnswersAsTheListDoes(@ForAll long seed, @ForAll @IntRange(max = 60) int most) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Route> drawn = routes(random, 400);
        TreeSet<OrderedRoute> there = new TreeSet<>(OrderedRoute::compare);
        Map<String, OrderedRoute> byName = new HashMap<>();
        RouteTable table = new RouteTable(List.of());
        RouteIndex index = RouteIndex.EMPTY;
        for (int step = 0; step < 40; step++) {
            Map<String, OrderedRoute> gone = new HashMap<>();
            Map<String, OrderedRoute> come = new HashMap<>();
            for (int i = random.nextInt(4); i >= 0; i--) {
                Route of = drawn.get(random.nextInt(drawn.size()));
                String name = "n" + random.nextInt(most + 1);  // of few, so that they meet again
                OrderedRoute had = byName.get(name);
                if (had != null && !come.containsKey(name)) {
                    gone.put(name, had);
                }
                if (random.nextInt(3) > 0) {
                    come.put(name, new OrderedRoute.SimpleOrderedRoute(random.nextInt(20), new Route(name, of.match(), of.targets(), null)));
                } else {
                    come.remove(name);
                }
            }
            RouteTable before = table;
            RouteIndex indexBefore = index;
            List<Route> listBefore = there.stream().map(OrderedRoute::route).toList();
            table = table.changed(gone.values(), come.values());
            for (OrderedRoute each : gone.values()) {
                index = index.without(each);
                there.remove(each);
                byName.remove(each.route().name());
            }
            for (OrderedRoute each : come.values()) {
                index = index.with(each);
                there.add(each);
                byName.put(each.route().name(), each);
            }
            List<Route> list = there.stream().map(OrderedRoute::route).toList();
            assertEquals(list, table.routes());
            assertEquals(listBefore, before.routes());
            for (int i = 0; i < 10; i++) {
                RouteCriteria request = request(random);
                assertSame(linear(list, request), index.first(request), () -> request + " among " + list);
                assertSame(linear(list, request), table.route(request), () -> request + " among " + list);
                assertSame(linear(listBefore, request), indexBefore.first(request), () -> request + " among " + listBefore);
                assertSame(linear(listBefore, request), before.route(request), () -> request + " among " + listBefore);
            }
        }
        for (OrderedRoute each : there) {
            index = index.without(each);
        }
        assertNull(index.first(request(random)));
        table = table.changed(there, List.of());
        assertEquals(List.of(), table.routes());
    }

    /** Labels with one hash, which no branch tells apart, come and go one by one; others stay. */
    @Test
    void labelsOfOneHashAreToldApart() {
        List<String> alike = List.of("AaAaAa", "AaAaBB", "AaBBAa", "AaBBBB", "BBAaAa", "BBAaBB", "BBBBAa", "BBBBBB");
        assertEquals(1, alike.stream().map(String::hashCode).distinct().count());
        List<OrderedRoute> all = new ArrayList<>(OrderedRoute.ofList(IntStream.range(0, 80).mapToObj(i ->
                route(i, new Match(null, null, "/" + (i < alike.size() ? alike.get(i) : "other" + i), null, null, null))).toList()));
        SplittableRandom random = new SplittableRandom(54);
        RouteIndex index = RouteIndex.EMPTY;
        Set<OrderedRoute> there = new HashSet<>();
        for (int step = 0; step < 2_000; step++) {
            OrderedRoute each = all.get(random.nextInt(random.nextBoolean() ? alike.size() : all.size()));
            index = there.contains(each) ? index.without(each) : index.with(each);
            if (!there.remove(each)) {
                there.add(each);
            }
            for (OrderedRoute one : all) {
                Route found = index.first(new RouteCriteria("read", null, one.route().match().pathPrefix(), "bilbao", 1, name -> List.of()));
                assertSame(there.contains(one) ? one.route() : null, found, () -> one + " at " + there);
            }
        }
    }

    /** A table that grows and shrinks across the number of routes from which on there is an index. */
    @Test
    void aTableMayGrowAndShrinkAcrossWhereTheIndexBegins() {
        RouteTable table = new RouteTable(List.of());
        List<OrderedRoute> all = OrderedRoute.ofList(IntStream.range(0, 3 * RouteTable.LINEAR_MOST).mapToObj(i -> route(i, new Match(null, null, "/a" + i, null, null, null))).toList());
        for (int i = 0; i < all.size(); i++) {
            table = table.changed(List.of(), List.of(all.get(i)));
            assertSame(all.get(i).route(), table.route(new RouteCriteria("read", null, "/a" + i, "bilbao", 1, name -> List.of())));
        }
        for (int i = 0; i < all.size(); i++) {
            table = table.changed(List.of(all.get(i)), List.of());
            assertNull(table.route(new RouteCriteria("read", null, "/a" + i, "bilbao", 1, name -> List.of())));
            assertEquals(all.size() - i - 1, table.routes().size());
        }
    }

    @Test
    void whatIsNotThereCannotGoAndNoTwoHaveOnePlace() {
        OrderedRoute one = new OrderedRoute.SimpleOrderedRoute(1, route(1, Match.ANY));
        OrderedRoute same = new OrderedRoute.SimpleOrderedRoute(1, route(1, new Match("read", null, null, null, null, null)));
        OrderedRoute other = new OrderedRoute.SimpleOrderedRoute(2, route(2, Match.ANY));
        RouteTable table = new RouteTable(List.of()).changed(List.of(), List.of(one));
        assertEquals("route r2: expected it in its place, found none", assertThrows(IllegalArgumentException.class, () -> table.changed(List.of(other), List.of())).getMessage());
        assertThrows(IllegalArgumentException.class, () -> table.changed(List.of(one, one), List.of()));
        assertThrows(IllegalArgumentException.class, () -> table.changed(List.of(one, other), List.of()));
        assertEquals("route r1: expected a place of its own, found another there", assertThrows(IllegalArgumentException.class, () -> table.changed(List.of(), List.of(same))).getMessage());
        assertThrows(IllegalArgumentException.class, () -> table.changed(List.of(), List.of(other, other)));
        assertSame(same.route(), table.changed(List.of(one), List.of(same)).routes().get(0));
        assertThrows(IllegalArgumentException.class, () -> RouteIndex.EMPTY.with(one).with(one));
        assertThrows(IllegalArgumentException.class, () -> RouteIndex.EMPTY.without(one));
        assertEquals("expected at most 56000 routes, found 56001", assertThrows(IllegalArgumentException.class,
                () -> new RouteTable(Collections.nCopies(RouteTable.ROUTES_MOST, route(1, Match.ANY))).changed(List.of(), List.of(new OrderedRoute.SimpleOrderedRoute(RouteTable.ROUTES_MOST, one.route()))))
                .getMessage());
    }

    /** The same with so many routes that nearly each look-up has another answer. */
    @Test
    void manyRoutesDecideAndEachWhereTheListSaysSo() {
        SplittableRandom random = new SplittableRandom(52);
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 5_000; i++) {
            routes.add(route(i, new Match(i % 3 == 0 ? "read" : null, i % 5 == 0 ? "acme" : null,
                    "/api/v" + random.nextInt(3) + "/t" + random.nextInt(2_000) + (i % 7 == 0 ? "/" : ""), null, null, null)));
        }
        RouteTable table = new RouteTable(routes);
        Set<Route> met = new HashSet<>();
        for (int i = 0; i < 5_000; i++) {
            RouteCriteria request = new RouteCriteria(one(random, WORDS), one(random, WORDS, 0.1),
                    "/api/v" + random.nextInt(3) + "/t" + random.nextInt(2_000) + one(random, List.of("", "/", "/x")), "bilbao", 1,
                    name -> List.of());
            Route route = table.route(request);
            assertSame(linear(routes, request), route, request::toString);
            met.add(route);
        }
        assertTrue(met.size() > 1_000, "routes that decided: " + met.size());
    }

    /** Each row: a prefix, a path, whether the one is the head of the other. */
    @ParameterizedTest
    @CsvSource({"/a, /a, true", "/a, /a/, true", "/a, /a/b, true", "/a, /ab, false", "/a, /, false", "/a/, /a, false",
        "/a/, /a/, true", "/a/, /a/b, true", "/a/, /a//, true", "/a/, /ab/, false", "/, /, true", "/, /a, true", "/, '', false",
        "/, a, false", "'', '', true", "'', /a, true", "'', a, false", "a, a, true", "a, a/b, true", "a, /a, false", "//, //, true",
        "//, /a, false", "//, //a, true", "/a//, /a/, false", "/a//, /a//b, true", "/a//b, /a//b/c, true", "/a//b, /a/b, false",
        "/a, //a, false", "/a, '', false", "/%61, /a, false", "*, *, true"})
    void oddPrefixesKeepTheirMeaning(String prefix, String path, boolean fits) {
        List<Route> routes = List.of(route(1, new Match(null, null, prefix, null, null, null)));
        RouteCriteria request = new RouteCriteria("read", null, path, "bilbao", 1, name -> List.of());
        assertEquals(fits, linear(routes, request) != null, "one by one");
        assertEquals(fits, index(routes).first(request) != null, "by the index");
    }

    /** Guards against a look at all routes: who is asked for a header is a candidate. */
    @Test
    void aRequestIsAskedForHeadersByItsCandidatesAlone() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 10_000; i++) {
            routes.add(route(i, new Match(null, null, "/t" + i % 1_000, "X-Canary", Integer.toString(i), null)));
        }
        RouteTable table = new RouteTable(routes);
        int[] asked = new int[1];
        RouteCriteria request = new RouteCriteria("read", null, "/t7/x", "bilbao", 1, name -> {
            asked[0]++;
            return List.of("5007");
        });
        assertSame(routes.get(5_007), table.route(request));
        assertEquals(6, asked[0], "routes 7, 1007, .., 5007");
    }

    /** A path as long as a front lets one be ends where the table does. */
    @Test
    void aPathOfManySegmentsIsWalkedNoFurtherThanTheTable() {
        RouteIndex index = index(List.of(route(1, new Match(null, null, "////a", null, null, null))));
        assertNull(index.first(new RouteCriteria("read", null, "/".repeat(100_000), "bilbao", 1, name -> List.of())));
        assertEquals("r1", index.first(new RouteCriteria("read", null, "////a" + "/".repeat(100_000), "bilbao", 1, name -> List.of())).name());
    }

    @Test
    void aTableStaysAsItWasMade() {
        aTableStaysAsItWasMadeOf(1);
        aTableStaysAsItWasMadeOf(RouteTable.LINEAR_MOST + 1);
    }

    private static void aTableStaysAsItWasMadeOf(int count) {
        List<Route> routes = new ArrayList<>(Collections.nCopies(count, route(1, Match.ANY)));
        RouteTable table = new RouteTable(routes);
        routes.set(0, route(2, Match.ANY));
        assertEquals("r1", table.route(new RouteCriteria("read", null, "/", "bilbao", 1, name -> List.of())).name());
    }

    @Test
    void atTheBoundATableIsMadeAndBeyondItIsRefused() {
        Route route = route(1, Match.ANY);
        assertEquals(56_000, new RouteTable(Collections.nCopies(RouteTable.ROUTES_MOST, route)).routes().size());
        IllegalArgumentException refused = assertThrows(IllegalArgumentException.class,
                () -> new RouteTable(Collections.nCopies(RouteTable.ROUTES_MOST + 1, route)));
        assertEquals("expected at most 56000 routes, found 56001", refused.getMessage());
    }
}
