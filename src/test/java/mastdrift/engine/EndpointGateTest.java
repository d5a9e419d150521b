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

    private static final InetSocketAddress HERE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress THERE = new InetSocketAddress("127.0.0.1", 2);

    private final EndpointGate gate = new EndpointGate();

    private static Member member(String uid, Health health, long born, InetSocketAddress at) {
        return new Member(new Host(uid, "a", 0, "m", 1, health, born), at);
    }

    private static Member up(String uid) {
        return member(uid, Health.UP, 0, HERE);
    }

    private static Member draining(String uid) {
        return member(uid, Health.LEAVING, 0, HERE);
    }

    @Test
    void aDrainedInstanceComesBackOnlyByANewerVersion() {
        gate.take(5, true, List.of(up("s1")));
        Endpoint before = gate.find("s1");
        gate.take(7, false, List.of(draining("s1")));
        assertFalse(before.maySend());
        assertNull(gate.find("s1"));
        for (long version : new long[] {5, 6, 7}) {
            assertEquals(Health.LEAVING, gate.take(version, true, List.of(up("s1"))).get(0).host().health());
            assertNull(gate.find("s1"));
        }
        assertEquals(Health.UP, gate.take(8, false, List.of(up("s1"))).get(0).host().health());
        assertTrue(gate.find("s1").maySend());
        assertFalse(before.maySend(), "who waited for the drained one doesn't leave for its successor");
    }

    @Test
    void anotherStartIsAnotherInstance() {
        gate.take(5, true, List.of(up("s1")));
        gate.take(7, false, List.of(draining("s1")));
        gate.take(7, false, List.of(member("s1", Health.UP, 9, HERE)));
        Endpoint second = gate.find("s1");
        assertEquals(9, second.startedAt());
        assertEquals(List.of(), gate.take(6, false, List.of(up("s1"))), "what an older list says of the start before");
        assertSame(second, gate.find("s1"));
    }

    @Test
    void anotherAddressIsAnotherEndpoint() {
        gate.take(5, true, List.of(up("s1")));
        Endpoint before = gate.find("s1");
        gate.take(6, false, List.of(member("s1", Health.UP, 0, THERE)));
        assertNotSame(before, gate.find("s1"));
        assertFalse(before.maySend());
        assertEquals(THERE, gate.find("s1").address());
    }

    @Test
    void whomAWholeListLeavesOutIsGone() {
        gate.take(5, true, List.of(up("s1"), up("s2")));
        gate.take(6, true, List.of(up("s2")));
        assertNull(gate.find("s1"));
        gate.take(6, false, List.of(up("s1")));
        assertNull(gate.find("s1"), "the same version");
    }

    @Test
    void whatARefusedListSaysIsTakenBackByOneOfTheSameVersion() {
        gate.take(5, true, List.of(up("s1"), up("s2")));
        assertEquals(2, gate.withdraw(6, Set.of("s2"), List.of(draining("s2"))).size());
        assertNull(gate.find("s1"));
        assertNull(gate.find("s2"));
        gate.take(6, true, List.of(up("s1"), up("s2")));
        assertNotNull(gate.find("s1"));
        assertNotNull(gate.find("s2"));
    }

    @Test
    void anOlderWholeListSaysNothingOfWhoCameSince() {
        gate.take(5, true, List.of(up("s1")));
        gate.take(7, false, List.of(up("s2")));
        gate.withdraw(6, Set.of(), List.of());
        assertNull(gate.find("s1"));
        assertNotNull(gate.find("s2"));
    }

    @Test
    void whoHasEndedIsRememberedUpToABound() {
        gate.take(1, true, List.of());
        for (int i = 0; i <= EndpointGate.ENDED_KEPT; i++) {
            gate.take(2, false, List.of(draining("s" + i)));
        }
        gate.take(2, false, List.of(up("s0"), up("s1")));
        assertNotNull(gate.find("s0"), "the oldest is forgotten");
        assertNull(gate.find("s1"));
    }

    /** One statement of a list about an instance, as the oracle keeps it. */
    private record Statement(String uid, long born, long version, boolean up) { }

    /**
     * Drawn lists in any order of versions, against what the pages say. The oracle keeps every statement and no state: an instance may be sent to only if
     * some list in force said that it is in service, and no list, before or since, of the same version or a newer one ended it.
     */
    @Property(tries = 1_000)
    void nobodyIsSentToWhoWasEndedByANewerList(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int lists) {
        EndpointGate gate = new EndpointGate();
        Random random = new Random(seed);
        List<Statement> told = new ArrayList<>();
        Map<Endpoint, Boolean> seen = new HashMap<>();
        long newest = 0;
        for (int i = 0; i < lists; i++) {
            long version = Math.max(0, newest + random.nextInt(8) - 4);
            newest = Math.max(newest, version);
            boolean whole = random.nextInt(4) == 0;
            boolean taken = random.nextInt(4) > 0;
            List<Member> entries = drawn(random);
            Set<String> named = new HashSet<>();
            entries.forEach(entry -> named.add(entry.host().address()));
            for (Member entry : entries) {
                Host host = entry.host();
                boolean up = host.health() == Health.UP;
                if (taken || !up) {
                    told.add(new Statement(host.address(), host.born(), taken ? version : version - 1, up));
                }
            }
            Map<String, Endpoint> before = inService(gate);
            if (taken) {
                gate.take(version, whole, entries);
            } else {
                gate.withdraw(version, whole ? named : null, entries.stream().filter(entry -> entry.host().health() != Health.UP).toList());
            }
            if (whole && taken) {
                before.forEach((uid, endpoint) -> assertTrue(named.contains(uid) || !endpoint.maySend(), "seed " + seed + ": left out, " + uid));
            }
            Map<String, Endpoint> now = inService(gate);
            for (Endpoint endpoint : now.values()) {
                assertTrue(mayBeInService(told, endpoint), "seed " + seed + ", list " + i + ": " + endpoint.uid() + " of " + endpoint.startedAt());
            }
            seen.forEach((endpoint, could) -> assertTrue(could || !endpoint.maySend(), "seed " + seed + ": it came back"));
            now.values().forEach(endpoint -> seen.put(endpoint, true));
            seen.replaceAll((endpoint, could) -> endpoint.maySend());
        }
        gate.take(newest + 1, true, List.of(up("s0"), up("s1")));
        assertEquals(Set.of("s0", "s1"), gate.uids(), "seed " + seed + ": a newer whole list is in force as it is");
        gate.take(newest + 2, true, List.of());
    }

    private static Map<String, Endpoint> inService(EndpointGate gate) {
        Map<String, Endpoint> found = new HashMap<>();
        gate.uids().forEach(uid -> found.put(uid, gate.find(uid)));
        return found;
    }

    private static boolean mayBeInService(List<Statement> told, Endpoint endpoint) {
        List<Statement> own = told.stream().filter(each -> each.uid.equals(endpoint.uid()) && each.born == endpoint.startedAt()).toList();
        long ended = own.stream().filter(each -> !each.up).mapToLong(Statement::version).max().orElse(Long.MIN_VALUE);
        return own.stream().anyMatch(each -> each.up && each.version > ended);
    }

    private static List<Member> drawn(Random random) {
        List<Member> entries = new ArrayList<>();
        for (int uid = 0; uid < 4; uid++) {
            if (random.nextBoolean()) {
                Health health = Health.values()[random.nextInt(Health.values().length)];
                entries.add(member("s" + uid, health, random.nextInt(3), random.nextInt(5) == 0 ? THERE : HERE));
            }
        }
        return entries;
    }
}
