package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Group;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Repeat;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Late, repeated and unknown events; settings at their limits. */
class EdgeCaseTest {

    @Test
    void lateRepeatedAndUnknownEventsChangeNothing() {
        FakeGateway gateway = new FakeGateway().start(3);
        long id = gateway.request(7L);
        FakeGateway.SentAttempt send = gateway.lastAttempt();
        gateway.resolve(send, Outcome.DELIVERED);
        gateway.resolve(send, Outcome.ERROR);
        gateway.module.resolved(gateway.now, id, 9, "h1", Outcome.EXPIRED, 1, false, FakeGateway.NO_REPORT);
        gateway.module.resolved(gateway.now, id, -1, "nowhere", Outcome.EXPIRED, 1, false, FakeGateway.NO_REPORT);
        gateway.module.departed(gateway.now, id);
        gateway.module.departed(gateway.now, 4711);
        gateway.module.streaming(gateway.now, 4711, 0);
        gateway.module.probed(gateway.now, "nowhere", Outcome.DELIVERED, 1, FakeGateway.NO_REPORT);
        gateway.module.timer(gateway.now, "unknown");
        gateway.deliverHosts(ListForm.DELTA, FakeGateway.host(77, Health.GONE, 0));
        assertEquals(1, gateway.sent.size());
        assertTrue(gateway.refused.isEmpty() && gateway.failed.isEmpty() && gateway.cancelled.isEmpty());
    }

    /** Outcomes repeated while a request is pending must not count as further failures. */
    @Test
    void repeatedOutcomeIsCountedOnce() {
        FakeGateway gateway = new FakeGateway().start(3);
        gateway.serve(40, 5_000, 5_000);
        gateway.request(7L);
        FakeGateway.SentAttempt send = gateway.lastAttempt();
        for (int i = 0; i < 50; i++) {
            gateway.resolve(send, Outcome.ERROR);
        }
        int before = gateway.sent.size();
        gateway.serve(200, 5_000, 5_000);
        long part = gateway.sent.stream().skip(before).filter(s -> s.address().equals(send.address())).count();
        assertTrue(part > 30, "sent " + part);
    }

    @Test
    void requestsAreRefusedForAnEmptyListAndADuplicateEntryIsOneHost() {
        FakeGateway gateway = new FakeGateway().start(0);
        gateway.request(7L);
        assertEquals(1, gateway.refused.size());
        gateway.deliverHosts(ListForm.FULL, FakeGateway.upHost(1, 0), FakeGateway.upHost(1, 0));
        gateway.request(8L);
        assertEquals("h1", gateway.lastAttempt().address());
        gateway.deliverHosts(ListForm.FULL);
        gateway.request(9L);
        assertEquals(2, gateway.refused.size());
    }

    @Test
    void unknownClassAndDuplicateIdAreRejected() {
        FakeGateway gateway = new FakeGateway().start(2);
        assertThrows(IllegalArgumentException.class, () -> gateway.request("other", null, 1L, 1000));
        gateway.request(1L);
        FakeGateway.SentAttempt send = gateway.lastAttempt();
        assertThrows(IllegalArgumentException.class, () -> gateway.module.request(gateway.now,
                new Balancer.Request(send.id(), "read", null, 1L, 1000)));
    }

    /** While the registry is unreachable for minutes, call after call fails; the module must go on calling. */
    @Test
    void watchIsRetriedThroughoutAVeryLongRegistryOutage() {
        FakeGateway gateway = new FakeGateway();
        // an eighth of it is odd, so that a pause doubled too often does not overflow to exactly zero
        gateway.mustAskIn = 10_000_008;
        gateway.start(2);
        for (int i = 0; i < 200; i++) {
            gateway.advance(20_000_000);
            int before = gateway.watchCalls;
            gateway.module.hosts(gateway.now, ListForm.FAILED, List.of());
            gateway.advance(20_000_000);
            assertEquals(before + 1, gateway.watchCalls, "failure " + i);
        }
    }

    /**
     * Changes that are listed while no registry is heard count as known 6 s later: the first retries come well within
     * that, and not at the same time.
     */
    @Test
    void watchRetriesAreSoonAndSpreadWhenGatewaysFailTogether() {
        List<Long> waits = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            FakeGateway gateway = new FakeGateway();
            gateway.mustAskIn = 10_000_000;
            gateway.seed = i;
            gateway.start(2);
            gateway.advance(500_002);
            assertEquals(1, gateway.watchCalls, "called at once");
            long failedAt = gateway.now;
            for (int failures = 1; failures <= 3; failures++) {
                gateway.module.hosts(gateway.now, ListForm.FAILED, List.of());
                long since = gateway.now;
                while (gateway.watchCalls == failures) {
                    gateway.advance(10_000);
                }
                waits.add(gateway.now - since);
            }
            assertTrue(gateway.now - failedAt <= 2_700_000, "three calls in " + (gateway.now - failedAt));
        }
        List<Long> first = IntStream.range(0, 14).mapToObj(i -> waits.get(3 * i)).sorted().toList();
        assertTrue(first.get(0) >= 125_000 && first.get(13) <= 390_000, "the first pause: " + first);
        assertTrue(first.get(11) - first.get(2) > 60_000, "spread: " + first);
    }

    /**
     * What an agent receives once its source is back counts as known at that moment: however long it was silent and
     * however often calls failed, it is called again within the drain grace, and gateways don't call at the same time.
     */
    @Test
    void pushingAgentIsCalledAgainWithinTheDrainGrace() {
        Set<Long> waits = new HashSet<>();
        for (int i = 0; i < 14; i++) {
            FakeGateway gateway = new FakeGateway();
            gateway.seed = i;
            gateway.start(2);
            for (int failures = 1; failures <= 12; failures++) {
                gateway.module.hosts(gateway.now, ListForm.FAILED, List.of());
                long since = gateway.now;
                while (gateway.watchCalls < failures) {
                    gateway.advance(1_000);
                }
                waits.add(gateway.now - since);
            }
        }
        long most = waits.stream().mapToLong(wait -> wait).max().orElseThrow();
        assertTrue(most <= new FakeGateway().settings().rules().drainGrace() / 2, "the longest pause: " + most);
        assertTrue(waits.size() > 10, "spread: " + waits);
    }

    @Test
    void impossibleSettingsAreRejected() {
        FakeGateway gateway = new FakeGateway();
        gateway.gateways = 0;
        Exception fault = assertThrows(IllegalArgumentException.class, () -> gateway.start(1));
        assertTrue(fault.getMessage().contains("gateways") && fault.getMessage().contains("0"));
        FakeGateway none = new FakeGateway();
        none.maxAttempts = 0;
        assertThrows(IllegalArgumentException.class, () -> none.start(1));
    }

    @Test
    void oneHostServesWhenNoOptionIsAllowed() {
        FakeGateway gateway = new FakeGateway();
        gateway.cancel = false;
        gateway.probesAllowed = false;
        gateway.parallelTries = false;
        gateway.retryAfter = false;
        gateway.maxAttempts = 1;
        gateway.repeat = Repeat.KEYED;
        gateway.group = Group.CELL;
        gateway.dedupWindow = 0;
        gateway.start(1);
        for (int i = 0; i < 200; i++) {
            gateway.request(i % 2 == 0 ? null : Long.valueOf(i));
            gateway.advance(20_000);
            gateway.resolve(gateway.lastAttempt(), i % 10 == 0 ? Outcome.ERROR : Outcome.DELIVERED, 20_000);
        }
        assertEquals(200, gateway.sent.size() + gateway.refused.size());
        assertTrue(gateway.probes.isEmpty() && gateway.cancelled.isEmpty());
    }
}
