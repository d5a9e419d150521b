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
import mastdrift.membership.Membership.ConfiguredPool;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the reports of several sources are merged into one list per pool. */
class MembershipTest {

    private static final long FALL_SPAN_MICROS = 2_000_000;
    private static final long WARM_WITHIN_MICROS = 24_000_000;
    private static final long NOW_MICROS = 100_000_000;

    private final Membership membership = new Membership();

    private static Node node(String uid, Double weight, Health state, long born) {
        return new Node(uid, "127.0.0.1:" + (1000 + Math.floorMod(uid.hashCode(), 60_000)), "bilbao", 1, "std", weight,
                state, born, "here");
    }

    private static Node upNode(String uid) {
        return node(uid, null, Health.UP, 0);
    }

    private static ConfiguredPool configuredPool(Node... nodes) {
        return new ConfiguredPool(List.of(nodes), FALL_SPAN_MICROS, WARM_WITHIN_MICROS);
    }

    private ListedHost host(String pool, String uid) {
        return membership.lists().get(pool).hosts().stream().filter(host -> host.host().address().equals(uid))
                .findFirst()
                .orElse(null);
    }

    /** A source that reports a node as draining or gone wins, whichever reported last. */
    @ParameterizedTest
    @CsvSource({"UP, UP, UP", "LEAVING, UP, LEAVING", "UP, LEAVING, LEAVING", "LEAVING, LEAVING, LEAVING",
        "UP, GONE, ", "LEAVING, GONE, "})
    void mostSevereReportedStateWins(Health file, Health discovery, Health inForce) {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(node("n", null, file, 0))));
        membership.applyReport(NOW_MICROS, "p", "discovery", true, List.of(upNode("n")));
        membership.applyReport(NOW_MICROS, "p", "discovery", false, List.of(node("n", null, discovery, 0)));
        assertEquals(inForce, host("p", "n") == null ? null : host("p", "n").host().health());
    }

    /** A file and the platform's list disagree on a drain: the host stays drained, whichever is applied last. */
    @Test
    void hostDrainedByTheFilesStaysDrainedWhateverDiscoveryReports() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool()));
        membership.applyReport(NOW_MICROS, "p", "discovery", true, List.of(upNode("n"), upNode("m")));
        assertTrue(host("p", "n").acceptsNewRequests());
        Node entry = new Node("n", null, null, null, null, null, Health.LEAVING, 0, "here");
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(entry)));
        assertFalse(host("p", "n").acceptsNewRequests());
        membership.applyReport(NOW_MICROS, "p", "discovery", true, List.of(upNode("n"), upNode("m")));
        membership.applyReport(NOW_MICROS, "p", "discovery", false, List.of(upNode("n")));
        assertFalse(host("p", "n").acceptsNewRequests());
        assertEquals("files: leaving, discovery: up", host("p", "n").explanation());
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool()));
        assertTrue(host("p", "n").acceptsNewRequests(), "the entry was removed");
    }

    @Test
    void hostThatDiscoveryNoLongerNamesIsGoneThoughTheFilesNameIt() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(upNode("n"), upNode("m"))));
        membership.applyReport(NOW_MICROS, "p", "discovery", true, List.of(upNode("n")));
        assertTrue(host("p", "m").acceptsNewRequests(), "discovery never named it");
        membership.applyReport(NOW_MICROS, "p", "discovery", true, List.of());
        assertEquals(null, host("p", "n"));
        membership.applyReport(NOW_MICROS, "p", "discovery", false, List.of(upNode("n")));
        assertTrue(host("p", "n").acceptsNewRequests(), "named again");
    }

    @Test
    void staleSourceKeepsItsLastReportMarkedOld() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool()));
        membership.applyReport(NOW_MICROS, "p", "discovery", true, List.of(upNode("n")));
        membership.markStale("p", "discovery");
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(upNode("m"))));
        assertEquals("discovery: up (old)", host("p", "n").explanation());
        assertTrue(host("p", "n").acceptsNewRequests());
        membership.applyReport(NOW_MICROS, "p", "discovery", false, List.of());
        assertEquals("discovery: up", host("p", "n").explanation());
    }

    @Test
    void weightsOfTheFilesWinAndAreRelativeToTheLargest() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(node("n", 4.0, Health.UP, 0),
                node("m", 1.0, Health.UP, 0), node("z", 0.0, Health.UP, 0))));
        membership.applyReport(NOW_MICROS, "p", "discovery", true,
                List.of(node("m", 8.0, Health.UP, 0), node("d", 2.0, Health.UP, 0)));
        assertEquals(1, host("p", "n").host().weight());
        assertEquals(0.25, host("p", "m").host().weight());
        assertEquals(0.5, host("p", "d").host().weight());
        assertEquals(Health.LEAVING, host("p", "z").host().health());
        assertEquals("files: leaving (weight 0)", host("p", "z").explanation());
    }

    /**
     * Rule 3 and its end: a weight of 0 is a drain, and with the weight raised again it is the same host with the same
     * start time.
     */
    @Test
    void weightRaisedFromZeroKeepsTheStartTime() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(node("n", 1.0, Health.UP, 5), upNode("m"))));
        ListedHost before = host("p", "n");
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(node("n", 0.0, Health.UP, 5), upNode("m"))));
        assertEquals(Health.LEAVING, host("p", "n").host().health());
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(node("n", 1.0, Health.UP, 5), upNode("m"))));
        assertEquals(before, host("p", "n"));
    }

    @Test
    void uidOrEndpointOfAnotherPoolIsOmittedAndReported() {
        membership.applyFiles(NOW_MICROS, Map.of("a", configuredPool(upNode("n")), "b", configuredPool()));
        Node sameEndpoint = new Node("other", upNode("n").endpoint(), "bilbao", 1, "std", null, Health.UP, 0, "x");
        Map<String, PoolList> changed =
                membership.applyReport(NOW_MICROS, "b", "discovery", true,
                        List.of(upNode("n"), upNode("m"), sameEndpoint));
        assertEquals(List.of("n of discovery: it belongs to pool a",
                "other: its endpoint " + upNode("n").endpoint() + " is that of n"), changed.get("b").omissions());
        assertEquals(1, changed.get("b").hosts().size());
        assertTrue(host("b", "m").acceptsNewRequests());
    }

    /**
     * Guards against a cold host that gets the slow start budgets of two modules: neither knows what the other sent
     * within the span.
     */
    @Test
    void coldHostThatChangesPoolsIsHeldForAFallSpan() {
        Node cold = node("n", null, Health.UP, NOW_MICROS - 1_000_000);
        membership.applyFiles(NOW_MICROS, Map.of("a", configuredPool(cold, upNode("x")), "b",
                configuredPool(upNode("y"))));
        membership.applyFiles(NOW_MICROS, Map.of("a", configuredPool(upNode("x")), "b",
                configuredPool(cold, upNode("y"))));
        assertEquals(Health.LEAVING, host("b", "n").host().health());
        assertEquals(NOW_MICROS + FALL_SPAN_MICROS, membership.nextReleaseAt());
        assertTrue(membership.releaseHeld(NOW_MICROS + FALL_SPAN_MICROS - 1).isEmpty());
        assertEquals(Set.of("b"), membership.releaseHeld(NOW_MICROS + FALL_SPAN_MICROS).keySet());
        assertTrue(host("b", "n").acceptsNewRequests());
        assertEquals(Long.MAX_VALUE, membership.nextReleaseAt());
    }

    @Test
    void warmHostThatChangesPoolsIsNotHeld() {
        Node warm = node("n", null, Health.UP, NOW_MICROS - WARM_WITHIN_MICROS);
        membership.applyFiles(NOW_MICROS, Map.of("a", configuredPool(warm), "b", configuredPool()));
        membership.applyFiles(NOW_MICROS, Map.of("a", configuredPool(), "b", configuredPool(warm)));
        assertTrue(host("b", "n").acceptsNewRequests());
    }

    @Test
    void nodeWithoutEndpointIsOmittedUntilASourceGivesOne() {
        Node entry = new Node("n", null, null, null, null, 2.0, Health.UP, 0, "here");
        Map<String, PoolList> changed = membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(entry)));
        assertEquals(List.of("n of files: no source gives an endpoint"), changed.get("p").omissions());
        membership.applyReport(NOW_MICROS, "p", "discovery", true, List.of(upNode("n")));
        assertEquals(1, host("p", "n").host().weight());
    }

    @Test
    void reportsForAnUnknownPoolAreIgnored() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(upNode("n"))));
        assertTrue(membership.applyReport(NOW_MICROS, "q", "discovery", true, List.of(upNode("m"))).isEmpty());
        membership.markStale("q", "discovery");
        assertEquals(Set.of("p"), membership.lists().keySet());
    }

    @Test
    void oldestGoneUidIsForgottenBeyondTheBound() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(upNode("n-0"), upNode("n-1"))));
        List<Node> all = new ArrayList<>();
        for (int i = 0; i <= Membership.MAX_GONE_UIDS; i++) {
            all.add(new Node("n-" + i, "127.0.0.1:" + i, "bilbao", 1, "std", null, Health.GONE, 0, "x"));
        }
        membership.applyReport(NOW_MICROS, "p", "discovery", false, all);
        assertTrue(host("p", "n-0") != null, "the oldest was forgotten");
        assertTrue(host("p", "n-1") == null, "the next one was not");
    }

    @Test
    void previewChangesNothing() {
        membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(upNode("n"))));
        Map<String, PoolList> before = new TreeMap<>(membership.lists());
        assertFalse(membership.preview(NOW_MICROS, Map.of("p", configuredPool(upNode("m")))).equals(before));
        assertEquals(before, membership.lists());
        assertTrue(membership.applyFiles(NOW_MICROS, Map.of("p", configuredPool(upNode("n")))).isEmpty());
    }

    /**
     * Random steps against a simple model of the rules: no host that any source drains accepts requests, no host is in
     * two pools, and only reported hosts are listed.
     */
    @Property(tries = 60, seed = "41")
    void mergeRulesHoldThroughRandomSteps(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Membership merged = new Membership();
        Map<String, Map<String, Node>> files = new TreeMap<>(Map.of("a", new TreeMap<>(), "b", new TreeMap<>()));
        Map<String, Map<String, Node>> discovery = new TreeMap<>(Map.of("a", new TreeMap<>(), "b", new TreeMap<>()));
        Map<String, Set<String>> gone = new HashMap<>(Map.of("a", new HashSet<>(), "b", new HashSet<>()));
        merged.applyFiles(NOW_MICROS, Map.of("a", configuredPool(), "b", configuredPool()));
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
                merged.applyFiles(NOW_MICROS + step, Map.of("a",
                        new ConfiguredPool(files.get("a").values(), FALL_SPAN_MICROS, WARM_WITHIN_MICROS),
                        "b", new ConfiguredPool(files.get("b").values(), FALL_SPAN_MICROS, WARM_WITHIN_MICROS)));
            } else {
                merged.applyReport(NOW_MICROS + step, pool, "discovery", false, List.of(node));
                if (state == Health.GONE) {
                    discovery.get(pool).remove(uid);
                    gone.get(pool).add(uid);
                } else {
                    discovery.get(pool).put(uid, node);
                    gone.get(pool).remove(uid);
                }
            }
            check(merged, files, discovery, gone);
        }
    }

    private static void check(Membership merged, Map<String, Map<String, Node>> files,
            Map<String, Map<String, Node>> discovery, Map<String, Set<String>> gone) {
        Set<String> seenUids = new HashSet<>();
        merged.lists().forEach((pool, list) -> list.hosts().forEach(host -> {
            String uid = host.host().address();
            assertTrue(seenUids.add(uid), uid + " is in two pools");
            Node file = files.get(pool).get(uid);
            Node discovered = discovery.get(pool).get(uid);
            assertTrue(file != null || discovered != null, uid + " was reported by no source");
            assertFalse(gone.get(pool).contains(uid), uid + " is gone");
            boolean accepts = (file == null || file.acceptsNewRequests())
                    && (discovered == null || discovered.acceptsNewRequests());
            assertEquals(accepts, host.acceptsNewRequests(), uid + ": " + host.explanation());
        }));
    }
}
