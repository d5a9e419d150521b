package mastdrift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import mastdrift.Balancer.Health;
import mastdrift.membership.Membership.Filed;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the reports of several sources are merged into one list per pool. */
class MembershipTest {

    private static final long FALL = 2_000_000;
    private static final long WARM = 24_000_000;
    private static final long NOW = 100_000_000;

    private final Membership membership = new Membership();

    private static Node node(String uid, Double weight, Health state, long born) {
        return new Node(uid, "127.0.0.1:" + (1000 + Math.floorMod(uid.hashCode(), 60_000)), "bilbao", 1, "std", weight, state,
                born, "here");
    }

    private static Node up(String uid) {
        return node(uid, null, Health.UP, 0);
    }

    private static Filed filed(Node... nodes) {
        return new Filed(List.of(nodes), FALL, WARM);
    }

    private Listed host(String pool, String uid) {
        return membership.lists().get(pool).hosts().stream().filter(host -> host.host().address().equals(uid)).findFirst()
                .orElse(null);
    }

    /** A source that reports a node as draining or gone wins, whichever reported last. */
    @ParameterizedTest
    @CsvSource({"UP, UP, UP", "LEAVING, UP, LEAVING", "UP, LEAVING, LEAVING", "LEAVING, LEAVING, LEAVING",
        "UP, GONE, ", "LEAVING, GONE, "})
    void theWorstWordWins(Health file, Health discovery, Health inForce) {
        membership.files(NOW, Map.of("p", filed(node("n", null, file, 0))));
        membership.told(NOW, "p", "discovery", true, List.of(up("n")));
        membership.told(NOW, "p", "discovery", false, List.of(node("n", null, discovery, 0)));
        assertEquals(inForce, host("p", "n") == null ? null : host("p", "n").host().health());
    }

    /** A file and the platform's list disagree on a drain: the host stays drained, whichever is applied last. */
    @Test
    void aHostThatTheOperatorDrainsStaysSoWhateverTheRegistrySays() {
        membership.files(NOW, Map.of("p", filed()));
        membership.told(NOW, "p", "discovery", true, List.of(up("n"), up("m")));
        assertTrue(host("p", "n").takesNew());
        Node line = new Node("n", null, null, null, null, null, Health.LEAVING, 0, "here");
        membership.files(NOW, Map.of("p", filed(line)));
        assertFalse(host("p", "n").takesNew());
        membership.told(NOW, "p", "discovery", true, List.of(up("n"), up("m")));
        membership.told(NOW, "p", "discovery", false, List.of(up("n")));
        assertFalse(host("p", "n").takesNew());
        assertEquals("files: leaving, discovery: up", host("p", "n").says());
        membership.files(NOW, Map.of("p", filed()));
        assertTrue(host("p", "n").takesNew(), "the entry was removed");
    }

    @Test
    void whatDiscoveryNoLongerNamesIsGoneThoughTheFilesNameIt() {
        membership.files(NOW, Map.of("p", filed(up("n"), up("m"))));
        membership.told(NOW, "p", "discovery", true, List.of(up("n")));
        assertTrue(host("p", "m").takesNew(), "discovery never named it");
        membership.told(NOW, "p", "discovery", true, List.of());
        assertEquals(null, host("p", "n"));
        membership.told(NOW, "p", "discovery", false, List.of(up("n")));
        assertTrue(host("p", "n").takesNew(), "named again");
    }

    @Test
    void aSilentSourceKeepsItsLastWordMarkedOld() {
        membership.files(NOW, Map.of("p", filed()));
        membership.told(NOW, "p", "discovery", true, List.of(up("n")));
        membership.silent("p", "discovery");
        membership.files(NOW, Map.of("p", filed(up("m"))));
        assertEquals("discovery: up (old)", host("p", "n").says());
        assertTrue(host("p", "n").takesNew());
        membership.told(NOW, "p", "discovery", false, List.of());
        assertEquals("discovery: up", host("p", "n").says());
    }

    @Test
    void weightsAreTheFilesAndPartsOfTheLargest() {
        membership.files(NOW, Map.of("p", filed(node("n", 4.0, Health.UP, 0), node("m", 1.0, Health.UP, 0),
                node("z", 0.0, Health.UP, 0))));
        membership.told(NOW, "p", "discovery", true, List.of(node("m", 8.0, Health.UP, 0), node("d", 2.0, Health.UP, 0)));
        assertEquals(1, host("p", "n").host().weight());
        assertEquals(0.25, host("p", "m").host().weight());
        assertEquals(0.5, host("p", "d").host().weight());
        assertEquals(Health.LEAVING, host("p", "z").host().health());
        assertEquals("files: leaving (weight 0)", host("p", "z").says());
    }

    /**
     * Rule 3 and its end: a weight of 0 is a drain, and with the weight raised again it is the same host with the same
     * start time.
     */
    @Test
    void aWeightRaisedFromZeroIsNoFreshStart() {
        membership.files(NOW, Map.of("p", filed(node("n", 1.0, Health.UP, 5), up("m"))));
        Listed before = host("p", "n");
        membership.files(NOW, Map.of("p", filed(node("n", 0.0, Health.UP, 5), up("m"))));
        assertEquals(Health.LEAVING, host("p", "n").host().health());
        membership.files(NOW, Map.of("p", filed(node("n", 1.0, Health.UP, 5), up("m"))));
        assertEquals(before, host("p", "n"));
    }

    @Test
    void aUidOrEndpointOfAnotherPoolIsLeftOutAndReported() {
        membership.files(NOW, Map.of("a", filed(up("n")), "b", filed()));
        Node sameEndpoint = new Node("other", up("n").endpoint(), "bilbao", 1, "std", null, Health.UP, 0, "x");
        Map<String, PoolList> changed =
                membership.told(NOW, "b", "discovery", true, List.of(up("n"), up("m"), sameEndpoint));
        assertEquals(List.of("n of discovery: it belongs to pool a",
                "other: its endpoint " + up("n").endpoint() + " is that of n"), changed.get("b").leftOut());
        assertEquals(1, changed.get("b").hosts().size());
        assertTrue(host("b", "m").takesNew());
    }

    /**
     * Guards against a cold host that gets the slow start budgets of two modules: neither knows what the other sent
     * within the span.
     */
    @Test
    void aColdHostThatChangesPoolsIsHeldForAFallSpan() {
        Node cold = node("n", null, Health.UP, NOW - 1_000_000);
        membership.files(NOW, Map.of("a", filed(cold, up("x")), "b", filed(up("y"))));
        membership.files(NOW, Map.of("a", filed(up("x")), "b", filed(cold, up("y"))));
        assertEquals(Health.LEAVING, host("b", "n").host().health());
        assertEquals(NOW + FALL, membership.dueAt());
        assertTrue(membership.due(NOW + FALL - 1).isEmpty());
        assertEquals(Set.of("b"), membership.due(NOW + FALL).keySet());
        assertTrue(host("b", "n").takesNew());
        assertEquals(Long.MAX_VALUE, membership.dueAt());
    }

    @Test
    void aWarmHostThatChangesPoolsIsNotHeld() {
        Node warm = node("n", null, Health.UP, NOW - WARM);
        membership.files(NOW, Map.of("a", filed(warm), "b", filed()));
        membership.files(NOW, Map.of("a", filed(), "b", filed(warm)));
        assertTrue(host("b", "n").takesNew());
    }

    @Test
    void aLineWithoutEndpointIsNoHostUntilASourceGivesOne() {
        Node line = new Node("n", null, null, null, null, 2.0, Health.UP, 0, "here");
        Map<String, PoolList> changed = membership.files(NOW, Map.of("p", filed(line)));
        assertEquals(List.of("n of files: no source gives an endpoint"), changed.get("p").leftOut());
        membership.told(NOW, "p", "discovery", true, List.of(up("n")));
        assertEquals(1, host("p", "n").host().weight());
    }

    @Test
    void ofAPoolThatIsNotNothingIsTaken() {
        membership.files(NOW, Map.of("p", filed(up("n"))));
        assertTrue(membership.told(NOW, "q", "discovery", true, List.of(up("m"))).isEmpty());
        membership.silent("q", "discovery");
        assertEquals(Set.of("p"), membership.lists().keySet());
    }

    @Test
    void beyondTheBoundTheEldestWordOfGoneIsForgotten() {
        membership.files(NOW, Map.of("p", filed(up("n-0"), up("n-1"))));
        List<Node> all = new ArrayList<>();
        for (int i = 0; i <= Membership.GONE_MOST; i++) {
            all.add(new Node("n-" + i, "127.0.0.1:" + i, "bilbao", 1, "std", null, Health.GONE, 0, "x"));
        }
        membership.told(NOW, "p", "discovery", false, all);
        assertTrue(host("p", "n-0") != null, "the oldest was forgotten");
        assertTrue(host("p", "n-1") == null, "the next one was not");
    }

    @Test
    void aPreviewChangesNothing() {
        membership.files(NOW, Map.of("p", filed(up("n"))));
        Map<String, PoolList> before = new TreeMap<>(membership.lists());
        assertFalse(membership.preview(NOW, Map.of("p", filed(up("m")))).equals(before));
        assertEquals(before, membership.lists());
        assertTrue(membership.files(NOW, Map.of("p", filed(up("n")))).isEmpty());
    }

    /**
     * Random steps against a simple model of the rules: no host that any source drains accepts requests, no host is in
     * two pools, and only reported hosts are listed.
     */
    @Property(tries = 60, seed = "41")
    void theRulesHoldThroughManySteps(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Membership many = new Membership();
        Map<String, Map<String, Node>> files = new TreeMap<>(Map.of("a", new TreeMap<>(), "b", new TreeMap<>()));
        Map<String, Map<String, Node>> discovery = new TreeMap<>(Map.of("a", new TreeMap<>(), "b", new TreeMap<>()));
        Map<String, Set<String>> gone = new HashMap<>(Map.of("a", new HashSet<>(), "b", new HashSet<>()));
        many.files(NOW, Map.of("a", filed(), "b", filed()));
        for (int step = 0; step < 200; step++) {
            String pool = random.nextBoolean() ? "a" : "b";
            String uid = "n" + random.nextInt(8);
            Health state = Health.values()[random.nextInt(3)];
            Node node = node(uid, random.nextInt(4) == 0 ? 0.0 : null, state, 0);
            if (random.nextBoolean()) {
                files.values().forEach(nodes -> nodes.remove(uid));
                if (state != Health.GONE) {
                    files.get(pool).put(uid, node);
                }
                many.files(NOW + step, Map.of("a", new Filed(files.get("a").values(), FALL, WARM),
                        "b", new Filed(files.get("b").values(), FALL, WARM)));
            } else {
                many.told(NOW + step, pool, "discovery", false, List.of(node));
                if (state == Health.GONE) {
                    discovery.get(pool).remove(uid);
                    gone.get(pool).add(uid);
                } else {
                    discovery.get(pool).put(uid, node);
                    gone.get(pool).remove(uid);
                }
            }
            check(many, files, discovery, gone);
        }
    }

    private static void check(Membership many, Map<String, Map<String, Node>> files,
            Map<String, Map<String, Node>> discovery, Map<String, Set<String>> gone) {
        Set<String> met = new HashSet<>();
        many.lists().forEach((pool, list) -> list.hosts().forEach(host -> {
            String uid = host.host().address();
            assertTrue(met.add(uid), uid + " is in two pools");
            Node file = files.get(pool).get(uid);
            Node told = discovery.get(pool).get(uid);
            assertTrue(file != null || told != null, uid + " was reported by no source");
            assertFalse(gone.get(pool).contains(uid), uid + " is gone");
            boolean takes = (file == null || file.takesNew()) && (told == null || told.takesNew());
            assertEquals(takes, host.takesNew(), uid + ": " + host.says());
        }));
    }
}
