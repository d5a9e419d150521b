package mastdrift.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
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
    private static Route linear(List<Route> routes, Traits request) {
        for (Route route : routes) {
            if (route.match().fits(request)) {
                return route;
            }
        }
        return null;
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

    private static Traits request(SplittableRandom random) {
        List<String> canary = random.nextBoolean() ? List.of() : List.of(one(random, VALUES), one(random, VALUES));
        List<String> other = random.nextBoolean() ? List.of() : List.of("1");
        return new Traits(one(random, WORDS, 0.1), one(random, WORDS, 0.1), path(random, 7), one(random, ZONES), 1,
                name -> name.equals("X-Canary") ? canary : name.equals("X-Other") ? other : List.of());
    }

    /** Guards against a route that the index does not find, or finds before the one that comes first. */
    @Property(tries = 1_000, seed = "51")
    void theIndexAnswersAsTheListDoes(@ForAll long seed, @ForAll @IntRange(max = 400) int count) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Route> routes = routes(random, count);
        RouteTable table = new RouteTable(routes);
        RouteIndex index = new RouteIndex(routes);  // also of few, for which a table has none
        for (int i = 0; i < 40; i++) {
            Traits request = request(random);
            assertSame(linear(routes, request), index.first(request), () -> request + " among " + routes);
            assertSame(linear(routes, request), table.route(request), () -> request + " among " + routes);
        }
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
            Traits request = new Traits(one(random, WORDS), one(random, WORDS, 0.1),
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
        Traits request = new Traits("read", null, path, "bilbao", 1, name -> List.of());
        assertEquals(fits, linear(routes, request) != null, "one by one");
        assertEquals(fits, new RouteIndex(routes).first(request) != null, "by the index");
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
        Traits request = new Traits("read", null, "/t7/x", "bilbao", 1, name -> {
            asked[0]++;
            return List.of("5007");
        });
        assertSame(routes.get(5_007), table.route(request));
        assertEquals(6, asked[0], "routes 7, 1007, .., 5007");
    }

    /** A path as long as a front lets one be ends where the table does. */
    @Test
    void aPathOfManySegmentsIsWalkedNoFurtherThanTheTable() {
        RouteIndex index = new RouteIndex(List.of(route(1, new Match(null, null, "////a", null, null, null))));
        assertNull(index.first(new Traits("read", null, "/".repeat(100_000), "bilbao", 1, name -> List.of())));
        assertEquals("r1", index.first(new Traits("read", null, "////a" + "/".repeat(100_000), "bilbao", 1, name -> List.of())).name());
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
        assertEquals("r1", table.route(new Traits("read", null, "/", "bilbao", 1, name -> List.of())).name());
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
