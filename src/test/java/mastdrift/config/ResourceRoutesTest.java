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
        return new RouteChecks(read.configuration().radius(), read.configuration().pools());
    }

    private static Resource route(String name, long version, long order, String pool, String more) {
        return new Resource(ResourceKind.ROUTE, name, version, ("{\"order\":" + order + ",\"pools\":[{\"pool\":\"" + pool + "\",\"weight\":1}]" + more + "}").getBytes(StandardCharsets.UTF_8));
    }

    private static Delta delta(long number, List<Resource> upserts, String... deletes) {
        return new Delta(number - 1, new Revision(1, number, number, number), upserts, List.of(deletes).stream().map(name -> new Delta.Deletion(ResourceKind.ROUTE, name)).toList());
    }

    private static String names(ResourceRoutes routes) {
        return routes.routes().stream().map(each -> each.name() + ":" + each.targets().get(0).pool()).collect(Collectors.joining(" "));
    }

    @Test
    void routesAreTriedByOrderAndName() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        assertTrue(routes.change(delta(1, List.of(route("c", 1, 5, "p", ""), route("b", 1, 5, "q", ""), route("a", 1, 9, "p", "")))));
        assertEquals("b:q c:p a:p", names(routes));
        assertTrue(routes.change(delta(2, List.of(route("a", 2, 1, "p", "")), "c")));
        assertEquals("a:p b:q", names(routes));
        assertFalse(routes.change(delta(3, List.of(route("a", 3, 1, "p", "")))), "the same again");
        assertFalse(routes.change(delta(4, List.of(new Resource(ResourceKind.TENANT, "t", 4, new byte[0])))), "another kind");
        assertNull(routes.problem());
        assertEquals(Set.of("p", "q"), routes.pools());
    }

    /** Guards against a table of routes that is refused where it is made, with nothing said: one route more than it holds is held back, until there is room. */
    @Test
    void atTheBoundOfATableOneMoreIsHeldBack() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        List<Resource> most = new ArrayList<>();
        for (int i = 0; i < RouteTable.MAX_ROUTES; i++) {
            most.add(route("r" + i, 1, 1, "p", ""));
        }
        assertTrue(routes.all(most));
        assertEquals(RouteTable.MAX_ROUTES, new RouteTable(routes.routes()).routes().size());
        assertFalse(routes.change(delta(2, List.of(route("more", 2, 2, "p", "")))));
        assertEquals("expected at most 56000 routes, found 56001", routes.problem());
        assertEquals(RouteTable.MAX_ROUTES, routes.routes().size());
        assertTrue(routes.change(delta(3, List.of(route("more", 3, 2, "p", "")), "r0")));
        assertNull(routes.problem());
        assertEquals(RouteTable.MAX_ROUTES, routes.routes().size());
    }

    /** A change with one bad route is held back whole, what was before stays, and the next ones come. */
    @Test
    void whatCantBeTakenIsHeldBackWholeAndTheNextOnesCome() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        routes.change(delta(1, List.of(route("a", 1, 1, "p", ""), route("b", 1, 2, "p", ""))));
        assertFalse(routes.change(delta(2, List.of(route("a", 2, 1, "nowhere", ""), route("b", 2, 2, "q", "")))));
        assertEquals("a:p b:p", names(routes));
        assertEquals("route a: pools: expected one of the pools of this gateway (p, q), found \"nowhere\"; 2 routes are held back", routes.problem());
        assertTrue(routes.change(delta(3, List.of(route("c", 3, 3, "q", "")))));
        assertEquals("a:p b:p c:q", names(routes));
        assertTrue(routes.problem() != null, "still");
        assertTrue(routes.change(delta(4, List.of(route("b", 4, 2, "q", "")))), "b is mended by a later change");
        assertTrue(routes.change(delta(5, List.of(), "a")));
        assertEquals("b:q c:q", names(routes));
        assertNull(routes.problem());
        assertFalse(routes.change(delta(6, List.of(new Resource(ResourceKind.ROUTE, "d", 6, new byte[] {'{'})))), "a value that means nothing");
        assertTrue(routes.problem().contains("route d: expected one object in JSON"), routes.problem());
    }

    @Test
    void poolsThatComeLaterMendWhatWasHeldBack() {
        ResourceRoutes routes = new ResourceRoutes(checks(FILE));
        List<Resource> all = List.of(route("a", 1, 1, "p", ""), route("b", 2, 2, "r", ",\"fallback\":\"p\""), route("c", 2, 3, "p", ""));
        assertTrue(routes.all(all));
        assertEquals("a:p", names(routes), "c is of the change that b is of");
        routes.checks(checks(FILE.replace("[pool.q]\nnodes = [\"q.toml\"]", "[pool.r]\nnodes = [\"r.toml\"]")));
        assertTrue(routes.all(all));
        assertEquals("a:p b:r c:p", names(routes));
        assertNull(routes.problem());
        assertTrue(routes.all(List.of()));
        assertEquals("", names(routes));
    }

    /** Conversations keep their server, wherever routes come from. */
    @Test
    void routesOfRadiusHaveToLeadAlike() {
        RouteChecks radius = checks(FILE.replace("nodes = [\"p.toml\"]", "nodes = [\"p.toml\"]\nsecret_variable = \"S\"").replace("pools = { p = 1 }", "class = \"card\"\npools = { p = 1 }\n"
                + "[[route]]\nname = \"two\"\nclass = \"talk\"\npools = { p = 1 }").replace("# end\n", "[[radius]]\nname = \"r\"\nlisten = \"127.0.0.1:0\"\naccess_class = \"card\"\n"
                + "conversation_class = \"talk\"\naccounting_class = \"count\"\n[[radius.client]]\nname = \"c\"\nnetwork = \"127.0.0.1/32\"\nsecret_variable = \"S\"\n# end\n"));
        ResourceRoutes routes = new ResourceRoutes(radius);
        assertFalse(routes.change(delta(1, List.of(route("a", 1, 1, "p", ",\"class\":\"card\"")))));
        assertTrue(routes.problem().contains("or conversations lose their server"), routes.problem());
        assertTrue(routes.change(delta(2, List.of(route("a", 2, 1, "p", ",\"class\":\"card\""), route("b", 2, 1, "p", ",\"class\":\"talk\"")))));
        assertNull(routes.problem());
        assertFalse(routes.change(delta(3, List.of(route("c", 3, 1, "p", "")))), "no RADIUS asked");
        assertTrue(routes.problem().contains("expected the class of a RADIUS listener"), routes.problem());
        assertEquals("a:p b:p", names(routes));
        ResourceRoutes other = new ResourceRoutes(radius);
        assertFalse(other.all(List.of(route("a", 1, 1, "p", ",\"class\":\"card\""))));
        assertTrue(other.problem().contains("or conversations lose their server"), other.problem());
    }

    /** Change by change it is what a plain map says, and whoever starts from the table has all but what a change that can't be taken put in last. */
    @Property(tries = 300)
    void changesAreTakenWholeOrNotAtAll(@ForAll long seed) {
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
            routes.change(delta(number, List.copyOf(upserts.values()), deletes.toArray(new String[0])));
            table.keySet().removeAll(deletes);
            table.putAll(upserts);
            if (good) {
                model.keySet().removeAll(deletes);
                model.putAll(upserts);
            }
            assertEquals(expected(model), routes.routes());
            assertEquals(routes.routes().stream().map(each -> each.targets().get(0).pool()).collect(Collectors.toSet()), routes.pools());
        }
        Set<Long> bad = table.values().stream().filter(each -> new String(each.value(), StandardCharsets.UTF_8).contains("nowhere")).map(Resource::version).collect(Collectors.toSet());
        ResourceRoutes fresh = new ResourceRoutes(checks(FILE));
        fresh.all(table.values());
        Map<String, Resource> fine = new HashMap<>(table);
        fine.values().removeIf(each -> bad.contains(each.version()));
        assertEquals(expected(fine), fresh.routes());
        assertEquals(bad.isEmpty(), fresh.problem() == null);
        if (routes.problem() == null) {
            assertEquals(expected(table), routes.routes(), "nothing held back: all of the table is in force");
        }
    }

    private static List<Route> expected(Map<String, Resource> of) {
        List<RouteValue> values = new ArrayList<>();
        of.forEach((name, each) -> values.add(RouteValue.read(name, each.value(), new ArrayList<>())));
        return values.stream().sorted().map(RouteValue::route).toList();
    }
}
