package mastdrift.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class EndpointGateTest {

    private static final InetSocketAddress FIRST_ADDRESS = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress SECOND_ADDRESS = new InetSocketAddress("127.0.0.1", 2);

    private final EndpointGate gate = new EndpointGate();

    private static Member member(String uid, Health health, long born, InetSocketAddress socketAddress) {
        return new Member(new Host(uid, "a", 0, "m", 1, health, born), socketAddress);
    }

    private static Member up(String uid) {
        return member(uid, Health.UP, 0, FIRST_ADDRESS);
    }

    private static Member draining(String uid) {
        return member(uid, Health.LEAVING, 0, FIRST_ADDRESS);
    }

    @Test
    void drainedInstanceReturnsOnlyWithNewerVersion() {
        gate.apply(5, true, List.of(up("s1")));
        Endpoint before = gate.find("s1");
        gate.apply(7, false, List.of(draining("s1")));
        assertFalse(before.maySend());
        assertNull(gate.find("s1"));
        for (long version : new long[] {5, 6, 7}) {
            assertEquals(Health.LEAVING, gate.apply(version, true, List.of(up("s1"))).get(0).host().health());
            assertNull(gate.find("s1"));
        }
        assertEquals(Health.UP, gate.apply(8, false, List.of(up("s1"))).get(0).host().health());
        assertTrue(gate.find("s1").maySend());
        assertFalse(before.maySend(), "a request that waited for the drained endpoint isn't sent to its successor");
    }

    @Test
    void restartedServerIsNewInstance() {
        gate.apply(5, true, List.of(up("s1")));
        gate.apply(7, false, List.of(draining("s1")));
        gate.apply(7, false, List.of(member("s1", Health.UP, 9, FIRST_ADDRESS)));
        Endpoint second = gate.find("s1");
        assertEquals(9, second.startedAt());
        assertEquals(List.of(), gate.apply(6, false, List.of(up("s1"))),
                "an older list's entry for the previous start is left out");
        assertSame(second, gate.find("s1"));
    }

    /** Guards against sending a server's requests to another one that has taken over its address. */
    @Test
    void serverThatAppearsAtAnAddressEndsTheServiceOfTheOneThatWasThere() {
        gate.apply(5, true, List.of(up("old")));
        Endpoint old = gate.find("old");
        gate.apply(6, false, List.of(member("new", Health.UP, 9, FIRST_ADDRESS)));
        assertFalse(old.maySend());
        assertNull(gate.find("old"));
        assertTrue(gate.find("new").maySend());
        gate.apply(5, true, List.of(up("old")));
        assertNull(gate.find("old"), "a list from before the new server doesn't bring the old one back");
    }

    /** An older list doesn't take the address from the server that a newer one has put there. */
    @Test
    void serverThatHasGoneDoesNotTakeItsAddressBack() {
        gate.apply(5, true, List.of(member("new", Health.UP, 9, FIRST_ADDRESS)));
        gate.apply(6, true, List.of(up("old")));
        gate.apply(5, true, List.of(member("new", Health.UP, 9, FIRST_ADDRESS), up("old")));
        assertTrue(gate.find("old").maySend());
        assertNull(gate.find("new"));
    }

    /** Guards against two servers in service at one address, of which a list names the one that has gone too. */
    @Test
    void latestStartHoldsTheAddressThatOneListGivesToTwoServers() {
        for (boolean newFirst : new boolean[] {true, false}) {
            EndpointGate each = new EndpointGate();
            List<Member> entries = new ArrayList<>(List.of(member("new", Health.UP, 9, FIRST_ADDRESS)));
            entries.add(newFirst ? 1 : 0, up("old"));
            each.apply(5, true, entries);
            assertNull(each.find("old"), "new first: " + newFirst);
            assertTrue(each.find("new").maySend(), "new first: " + newFirst);
        }
    }

    @Test
    void newAddressMakesNewEndpoint() {
        gate.apply(5, true, List.of(up("s1")));
        Endpoint before = gate.find("s1");
        gate.apply(6, false, List.of(member("s1", Health.UP, 0, SECOND_ADDRESS)));
        assertNotSame(before, gate.find("s1"));
        assertFalse(before.maySend());
        assertEquals(SECOND_ADDRESS, gate.find("s1").address());
    }

    @Test
    void serverMissingFromFullListIsOutOfService() {
        gate.apply(5, true, List.of(up("s1"), up("s2")));
        gate.apply(6, true, List.of(up("s2")));
        assertNull(gate.find("s1"));
        gate.apply(6, false, List.of(up("s1")));
        assertNull(gate.find("s1"), "a list of the same version doesn't bring it back");
    }

    @Test
    void withdrawalIsReversedByListOfSameVersion() {
        gate.apply(5, true, List.of(up("s1"), up("s2")));
        assertEquals(2, gate.withdraw(6, Set.of("s2"), List.of(draining("s2"))).size());
        assertNull(gate.find("s1"));
        assertNull(gate.find("s2"));
        gate.apply(6, true, List.of(up("s1"), up("s2")));
        assertNotNull(gate.find("s1"));
        assertNotNull(gate.find("s2"));
    }

    @Test
    void withdrawalByOlderFullListKeepsServersOpenedLater() {
        gate.apply(5, true, List.of(up("s1")));
        gate.apply(7, false, List.of(up("s2")));
        gate.withdraw(6, Set.of(), List.of());
        assertNull(gate.find("s1"));
        assertNotNull(gate.find("s2"));
    }

    @Test
    void rememberedEndedInstancesAreBounded() {
        gate.apply(1, true, List.of());
        for (int i = 0; i <= EndpointGate.MIN_REMEMBERED_LIMIT; i++) {
            gate.apply(2, false, List.of(draining("s" + i)));
        }
        gate.apply(2, false, List.of(up("s0"), up("s1")));
        assertNotNull(gate.find("s0"), "the oldest instance is forgotten");
        assertNull(gate.find("s1"));
    }

    /** One statement of a list about an instance, as recorded by the oracle. */
    private record Statement(String uid, long born, long version, boolean up) { }

    /**
     * Applies random lists in any order of versions and compares the gate with an oracle. The oracle keeps every
     * statement and no state: an instance may be sent to only if some list in force said that it is in service, and no
     * list of the same or a newer version, applied before or after, ended it.
     */
    @Property(tries = 1_000)
    void neverSendsToInstanceEndedBySameOrNewerList(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int lists) {
        EndpointGate gate = new EndpointGate();
        Random random = new Random(seed);
        List<Statement> statements = new ArrayList<>();
        Map<Endpoint, Boolean> couldSend = new HashMap<>();
        long newestVersion = 0;
        for (int i = 0; i < lists; i++) {
            long version = Math.max(0, newestVersion + random.nextInt(8) - 4);
            newestVersion = Math.max(newestVersion, version);
            boolean isFullList = random.nextInt(4) == 0;
            boolean isApplied = random.nextInt(4) > 0;
            List<Member> entries = randomEntries(random);
            Set<String> listedUids = new HashSet<>();
            entries.forEach(entry -> listedUids.add(entry.host().address()));
            for (Member entry : entries) {
                Host host = entry.host();
                boolean up = host.health() == Health.UP;
                if (isApplied || !up) {
                    statements.add(new Statement(host.address(), host.born(), isApplied ? version : version - 1, up));
                }
            }
            Map<String, Endpoint> before = inService(gate);
            if (isApplied) {
                gate.apply(version, isFullList, entries);
            } else {
                gate.withdraw(version, isFullList ? listedUids : null,
                        entries.stream().filter(entry -> entry.host().health() != Health.UP).toList());
            }
            if (isFullList && isApplied) {
                before.forEach((uid, endpoint) ->
                        assertTrue(listedUids.contains(uid) || !endpoint.maySend(),
                                "seed " + seed + ": not on the full list but in service: " + uid));
            }
            Map<String, Endpoint> now = inService(gate);
            for (Endpoint endpoint : now.values()) {
                assertTrue(mayBeInService(statements, endpoint),
                        "seed " + seed + ", list " + i + ": " + endpoint.uid() + " started at " + endpoint.startedAt());
            }
            couldSend.forEach((endpoint, could) ->
                    assertTrue(could || !endpoint.maySend(), "seed " + seed + ": an ended endpoint came back"));
            now.values().forEach(endpoint -> couldSend.put(endpoint, true));
            couldSend.replaceAll((endpoint, could) -> endpoint.maySend());
        }
        gate.apply(newestVersion + 1, true, List.of(up("s0"), up("s1")));
        assertEquals(Set.of("s0", "s1"), gate.uids(), "seed " + seed + ": a newer full list is in force unchanged");
        gate.apply(newestVersion + 2, true, List.of());
    }

    private static Map<String, Endpoint> inService(EndpointGate gate) {
        Map<String, Endpoint> found = new HashMap<>();
        gate.uids().forEach(uid -> found.put(uid, gate.find(uid)));
        return found;
    }

    private static boolean mayBeInService(List<Statement> statements, Endpoint endpoint) {
        List<Statement> ofInstance = statements.stream()
                .filter(each -> each.uid.equals(endpoint.uid()) && each.born == endpoint.startedAt()).toList();
        long endedByVersion = ofInstance.stream().filter(each -> !each.up).mapToLong(Statement::version).max()
                .orElse(Long.MIN_VALUE);
        return ofInstance.stream().anyMatch(each -> each.up && each.version > endedByVersion);
    }

    private static List<Member> randomEntries(Random random) {
        List<Member> entries = new ArrayList<>();
        for (int uid = 0; uid < 4; uid++) {
            if (random.nextBoolean()) {
                Health health = Health.values()[random.nextInt(Health.values().length)];
                entries.add(member("s" + uid, health, random.nextInt(3),
                        random.nextInt(5) == 0 ? SECOND_ADDRESS : FIRST_ADDRESS));
            }
        }
        return entries;
    }
}
