package mastdrift.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import mastdrift.routing.Route;
import mastdrift.routing.RouteTable;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ResourceRoutesTest {

    private static final String FILE = """
            [gateway]
            listen = "127.0.0.1:0"
            zone = "z"
            zones = ["z"]
            [[class]]
            name = "card"
            effect = "safe"
            aim = "1s"
            deadline = "2s"
            [[class]]
            name = "talk"
            effect = "unsafe"
            aim = "1s"
            deadline = "2s"
            [[class]]
            name = "count"
            effect = "keyed"
            dedup_window = "2s"
            aim = "1s"
            deadline = "2s"
            [pool.p]
            nodes = ["p.toml"]
            [pool.q]
            nodes = ["q.toml"]
            [[route]]
            name = "all"
            pools = { p = 1 }
            # end
            """;

    private static RouteChecks checks(String file) {
        ConfigurationReader.Result read = ConfigurationReader.read("gateway.toml", (name, problems) -> name.equals("gateway.toml") ? file
                : "[[node]]\nuid = \"n" + name.charAt(0) + "\"\nendpoint = \"127.0.0.1:" + (int) name.charAt(0) + "\"\nzone = \"z\"\n# end of 1 nodes\n");
        assertEquals(List.of(), read.problems());
        return new RouteChecks(read.configuration().radiusListeners(), read.configuration().pools());
    }

    private static Resource route(String name, long version, long order, String pool, String more) {
        return new Resource(ResourceKind.ROUTE, name, version, ("{\"order\":" + order + ",\"pools\":[{\"pool\":\"" + pool + "\",\"weight\":1}]" + more + "}").getBytes(StandardCharsets.UTF_8));
    }

    private static Delta delta(long number, List<Resource> upserts, String... deletes) {
        return new Delta(number - 1, new Revision(1, number, number, number), upserts, List.of(deletes).stream().map(name -> new Delta.Deletion(ResourceKind.ROUTE, name)).toList());
    }

    private static String namesAndPools(ResourceRoutes routes) {
        return routes.routes().stream().map(each -> each.name() + ":" + each.targets().get(0).pool()).collect(Collectors.joining(" "));
    }

    @Test
    void triesRoutesByOrderThenName() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        assertTrue(routes.applyDelta(delta(1, List.of(route("c", 1, 5, "p", ""), route("b", 1, 5, "q", ""), route("a", 1, 9, "p", "")))));
        assertEquals("b:q c:p a:p", namesAndPools(routes));
        assertTrue(routes.applyDelta(delta(2, List.of(route("a", 2, 1, "p", "")), "c")));
        assertEquals("a:p b:q", namesAndPools(routes));
        assertFalse(routes.applyDelta(delta(3, List.of(route("a", 3, 1, "p", "")))), "the same value again");
        assertFalse(routes.applyDelta(delta(4, List.of(new Resource(ResourceKind.TENANT, "t", 4, new byte[0])))), "a resource of another kind");
        assertNull(routes.problem());
        assertEquals(Set.of("p", "q"), routes.referencedPools());
    }

    /**
     * Guards against a route table that is rejected on construction without any report: one route more than it holds is
     * held back until there is room.
     */
    @Test
    void holdsBackARouteThatExceedsTheTableUntilThereIsRoom() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        List<Resource> most = new ArrayList<>();
        for (int i = 0; i < RouteTable.MAX_ROUTES; i++) {
            most.add(route("r" + i, 1, 1, "p", ""));
        }
        assertTrue(routes.applySnapshot(most));
        assertEquals(RouteTable.MAX_ROUTES, new RouteTable(routes.routes()).routes().size());
        assertFalse(routes.applyDelta(delta(2, List.of(route("more", 2, 2, "p", "")))));
        assertEquals("expected at most 56000 routes, found 56001", routes.problem());
        assertEquals(RouteTable.MAX_ROUTES, routes.routes().size());
        assertTrue(routes.applyDelta(delta(3, List.of(route("more", 3, 2, "p", "")), "r0")));
        assertNull(routes.problem());
        assertEquals(RouteTable.MAX_ROUTES, routes.routes().size());
    }

    /** A change with one bad route is held back as a whole, the previous routes stay, and later changes are applied. */
    @Test
    void holdsBackAnInvalidChangeAsAWholeAndAppliesLaterOnes() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        routes.applyDelta(delta(1, List.of(route("a", 1, 1, "p", ""), route("b", 1, 2, "p", ""))));
        assertFalse(routes.applyDelta(delta(2, List.of(route("a", 2, 1, "nowhere", ""), route("b", 2, 2, "q", "")))));
        assertEquals("a:p b:p", namesAndPools(routes));
        assertEquals("route a: pools: expected one of the pools of this gateway (p, q), found \"nowhere\"; 2 routes are held back", routes.problem());
        assertTrue(routes.applyDelta(delta(3, List.of(route("c", 3, 3, "q", "")))));
        assertEquals("a:p b:p c:q", namesAndPools(routes));
        assertTrue(routes.problem() != null, "a and b are still held back");
        assertTrue(routes.applyDelta(delta(4, List.of(route("b", 4, 2, "q", "")))), "b is corrected by a later change");
        assertTrue(routes.applyDelta(delta(5, List.of(), "a")));
        assertEquals("b:q c:q", namesAndPools(routes));
        assertNull(routes.problem());
        assertFalse(routes.applyDelta(delta(6, List.of(new Resource(ResourceKind.ROUTE, "d", 6, new byte[] {'{'})))), "an invalid value");
        assertTrue(routes.problem().contains("route d: expected one object in JSON"), routes.problem());
    }

    @Test
    void appliesHeldBackChangesOncePoolsAreAdded() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        List<Resource> all = List.of(route("a", 1, 1, "p", ""), route("b", 2, 2, "r", ",\"fallback\":\"p\""), route("c", 2, 3, "p", ""));
        assertTrue(routes.applySnapshot(all));
        assertEquals("a:p", namesAndPools(routes), "c belongs to the same change as b");
        routes.setChecks(checks(FILE.replace("[pool.q]\nnodes = [\"q.toml\"]", "[pool.r]\nnodes = [\"r.toml\"]")));
        assertTrue(routes.applySnapshot(all));
        assertEquals("a:p b:r c:p", namesAndPools(routes));
        assertNull(routes.problem());
        assertTrue(routes.applySnapshot(List.of()));
        assertEquals("", namesAndPools(routes));
    }

    /** Conversations keep their server, whatever source routes come from. */
    @Test
    void holdsBackRoutesThatSeparateRadiusConversations() {
        RouteChecks radius = checks(FILE.replace("nodes = [\"p.toml\"]", "nodes = [\"p.toml\"]\nsecret_variable = \"S\"").replace("pools = { p = 1 }", "class = \"card\"\npools = { p = 1 }\n"
                + "[[route]]\nname = \"two\"\nclass = \"talk\"\npools = { p = 1 }").replace("# end\n", "[[radius]]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\naccess_class = \"card\"\n"
                + "conversation_class = \"talk\"\naccounting_class = \"count\"\n[[radius.client]]\nname = \"c\"\nnetwork = \"127.0.0.1/32\"\nsecret_variable = \"S\"\n# end\n"));
        ResourceRoutes routes = new ResourceRoutes(radius);
        assertFalse(routes.applyDelta(delta(1, List.of(route("a", 1, 1, "p", ",\"class\":\"card\"")))));
        assertTrue(routes.problem().contains("or conversations lose their server"), routes.problem());
        assertTrue(routes.applyDelta(delta(2, List.of(route("a", 2, 1, "p", ",\"class\":\"card\""), route("b", 2, 1, "p", ",\"class\":\"talk\"")))));
        assertNull(routes.problem());
        assertFalse(routes.applyDelta(delta(3, List.of(route("c", 3, 1, "p", "")))), "no class of a RADIUS listener");
        assertTrue(routes.problem().contains("expected the class of a RADIUS listener"), routes.problem());
        assertEquals("a:p b:p", namesAndPools(routes));
        ResourceRoutes other = new ResourceRoutes(radius);
        assertFalse(other.applySnapshot(List.of(route("a", 1, 1, "p", ",\"class\":\"card\""))));
        assertTrue(other.problem().contains("or conversations lose their server"), other.problem());
    }

    /**
     * After each change the routes match a plain map; a reader that starts from the whole table gets everything but
     * what changes that can't be applied wrote last.
     */
    @Property(tries = 300)
    void appliesRandomChangesAtomically(@ForAll long seed) {
        Random random = new Random(seed);
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        Map<String, Resource> table = new HashMap<>();
        Map<String, Resource> model = new HashMap<>();
        for (int number = 1; number <= 30; number++) {
            Map<String, Resource> upserts = new TreeMap<>();
            Set<String> deletes = new HashSet<>();
            boolean good = true;
            for (int i = random.nextInt(4); i >= 0; i--) {
                String name = "r" + random.nextInt(8);
                if (random.nextInt(4) == 0) {
                    upserts.remove(name);
                    deletes.add(name);
                } else {
                    deletes.remove(name);
                    upserts.put(name, route(name, number, random.nextInt(3), random.nextInt(8) == 0 ? "nowhere" : random.nextBoolean() ? "p" : "q", ""));
                }
            }
            for (Resource each : upserts.values()) {
                good &= !new String(each.value(), StandardCharsets.UTF_8).contains("nowhere");
            }
            routes.applyDelta(delta(number, List.copyOf(upserts.values()), deletes.toArray(new String[0])));
            table.keySet().removeAll(deletes);
            table.putAll(upserts);
            if (good) {
                model.keySet().removeAll(deletes);
                model.putAll(upserts);
            }
            assertEquals(sortedRoutes(model), routes.routes());
            assertEquals(routes.routes().stream().map(each -> each.targets().get(0).pool()).collect(Collectors.toSet()), routes.referencedPools());
        }
        Set<Long> bad = table.values().stream().filter(each -> new String(each.value(), StandardCharsets.UTF_8).contains("nowhere")).map(Resource::version).collect(Collectors.toSet());
        ResourceRoutes fresh = new ResourceRoutes(checks(FILE));
        fresh.applySnapshot(table.values());
        Map<String, Resource> expectedResources = new HashMap<>(table);
        expectedResources.values().removeIf(each -> bad.contains(each.version()));
        assertEquals(sortedRoutes(expectedResources), fresh.routes());
        assertEquals(bad.isEmpty(), fresh.problem() == null);
        if (routes.problem() == null) {
            assertEquals(sortedRoutes(table), routes.routes(), "nothing held back: all of the table is in force");
        }
    }

    private static List<Route> sortedRoutes(Map<String, Resource> resources) {
        List<RouteValue> values = new ArrayList<>();
        resources.forEach((name, each) -> values.add(RouteValue.read(name, each.value(), new ArrayList<>())));
        return values.stream().sorted().map(RouteValue::route).toList();
    }
}
