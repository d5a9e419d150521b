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

/** Late, repeated and odd events; settings at their edges. */
class EdgeTest {

    @Test
    void lateRepeatedAndUnknownEventsChangeNothing() {
        Gateway gateway = new Gateway().start(3);
        long id = gateway.request(7L);
        Gateway.Sent send = gateway.last();
        gateway.end(send, Outcome.DELIVERED);
        gateway.end(send, Outcome.ERROR);
        gateway.module.resolved(gateway.now, id, 9, "h1", Outcome.EXPIRED, 1, false, Gateway.NO_REPORT);
        gateway.module.resolved(gateway.now, id, -1, "nowhere", Outcome.EXPIRED, 1, false, Gateway.NO_REPORT);
        gateway.module.departed(gateway.now, id);
        gateway.module.departed(gateway.now, 4711);
        gateway.module.streaming(gateway.now, 4711, 0);
        gateway.module.probed(gateway.now, "nowhere", Outcome.DELIVERED, 1, Gateway.NO_REPORT);
        gateway.module.timer(gateway.now, "unknown");
        gateway.list(ListForm.DELTA, Gateway.host(77, Health.GONE, 0));
        assertEquals(1, gateway.sent.size());
        assertTrue(gateway.refused.isEmpty() && gateway.failed.isEmpty() && gateway.cancelled.isEmpty());
    }

    /** Outcomes repeated while the request is held must not count as failures of their own. */
    @Test
    void aRepeatedOutcomeIsCountedOnce() {
        Gateway gateway = new Gateway().start(3);
        gateway.serve(40, 5_000, 5_000);
        gateway.request(7L);
        Gateway.Sent send = gateway.last();
        for (int i = 0; i < 50; i++) {
            gateway.end(send, Outcome.ERROR);
        }
        int before = gateway.sent.size();
        gateway.serve(200, 5_000, 5_000);
        long part = gateway.sent.stream().skip(before).filter(s -> s.address().equals(send.address())).count();
        assertTrue(part > 30, "sent " + part);
    }

    @Test
    void anEmptyListRefusesAndARepeatedEntryIsOneHost() {
        Gateway gateway = new Gateway().start(0);
        gateway.request(7L);
        assertEquals(1, gateway.refused.size());
        gateway.list(ListForm.FULL, Gateway.up(1, 0), Gateway.up(1, 0));
        gateway.request(8L);
        assertEquals("h1", gateway.last().address());
        gateway.list(ListForm.FULL);
        gateway.request(9L);
        assertEquals(2, gateway.refused.size());
    }

    @Test
    void anUnknownClassAndARepeatedIdAreNamed() {
        Gateway gateway = new Gateway().start(2);
        assertThrows(IllegalArgumentException.class, () -> gateway.request("other", null, 1L, 1000));
        gateway.request(1L);
        Gateway.Sent send = gateway.last();
        assertThrows(IllegalArgumentException.class, () -> gateway.module.request(gateway.now,
                new Balancer.Request(send.id(), "read", null, 1L, 1000)));
    }

    /** A registry that is away for minutes fails call after call; the module must go on asking. */
    @Test
    void aVeryLongRegistryOutageNeverEndsTheAsking() {
        Gateway gateway = new Gateway();
        gateway.mustAskIn = 10_000_008;  // an eighth of it is odd: a shifted span doesn't overflow to zero
        gateway.start(2);
        for (int i = 0; i < 200; i++) {
            gateway.advance(20_000_000);
            int before = gateway.watches;
            gateway.module.hosts(gateway.now, ListForm.FAILED, List.of());
            gateway.advance(20_000_000);
            assertEquals(before + 1, gateway.watches, "failure " + i);
        }
    }

    /** What is listed while nobody is heard counts as told 6 s later: the first asks come well within that, and not together. */
    @Test
    void gatewaysThatFailTogetherAskSoonAgainAndNotTogether() {
        List<Long> waits = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            Gateway gateway = new Gateway();
            gateway.mustAskIn = 10_000_000;
            gateway.seed = i;
            gateway.start(2);
            gateway.advance(500_002);
            assertEquals(1, gateway.watches, "asked at once");
            long failedAt = gateway.now;
            for (int failures = 1; failures <= 3; failures++) {
                gateway.module.hosts(gateway.now, ListForm.FAILED, List.of());
                long since = gateway.now;
                while (gateway.watches == failures) {
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

    /** What an agent gets when its source is back counts as told in that moment: however long it was silent, and however often it failed, it is asked
        again within the grace of a drain, and gateways don't ask together. */
    @Test
    void anAgentThatPushesIsAskedAgainWithinTheGrace() {
        Set<Long> waits = new HashSet<>();
        for (int i = 0; i < 14; i++) {
            Gateway gateway = new Gateway();
            gateway.seed = i;
            gateway.start(2);
            for (int failures = 1; failures <= 12; failures++) {
                gateway.module.hosts(gateway.now, ListForm.FAILED, List.of());
                long since = gateway.now;
                while (gateway.watches < failures) {
                    gateway.advance(1_000);
                }
                waits.add(gateway.now - since);
            }
        }
        long most = waits.stream().mapToLong(wait -> wait).max().orElseThrow();
        assertTrue(most <= new Gateway().settings().rules().drainGrace() / 2, "the longest pause: " + most);
        assertTrue(waits.size() > 10, "spread: " + waits);
    }

    @Test
    void impossibleSettingsAreNamed() {
        Gateway gateway = new Gateway();
        gateway.gateways = 0;
        Exception fault = assertThrows(IllegalArgumentException.class, () -> gateway.start(1));
        assertTrue(fault.getMessage().contains("gateways") && fault.getMessage().contains("0"));
        Gateway none = new Gateway();
        none.maxAttempts = 0;
        assertThrows(IllegalArgumentException.class, () -> none.start(1));
    }

    @Test
    void withNothingAllowedOneHostStillServes() {
        Gateway gateway = new Gateway();
        gateway.cancel = false;
        gateway.probing = false;
        gateway.parallel = false;
        gateway.retryAfter = false;
        gateway.maxAttempts = 1;
        gateway.repeat = Repeat.KEYED;
        gateway.group = Group.CELL;
        gateway.window = 0;
        gateway.start(1);
        for (int i = 0; i < 200; i++) {
            gateway.request(i % 2 == 0 ? null : Long.valueOf(i));
            gateway.advance(20_000);
            gateway.end(gateway.last(), i % 10 == 0 ? Outcome.ERROR : Outcome.DELIVERED, 20_000);
        }
        assertEquals(200, gateway.sent.size() + gateway.refused.size());
        assertTrue(gateway.probes.isEmpty() && gateway.cancelled.isEmpty());
    }
}
