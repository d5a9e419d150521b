package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Servers and zones that stop answering. Hosts with an odd number are in zone z1. */
class SilentServerTest {

    /** The loss of a zone must be detected by half of its servers, not at the cost of a request to each. */
    @Test
    void lostZoneIsAvoidedOnceHalfOfItIsKnownToBeDown() {
        FakeGateway gateway = new FakeGateway().start(120);
        gateway.serve(400, 5_000, 5_000);
        int before = gateway.sent.size();
        loseZone(gateway, 600, Outcome.DIAL_FAILED);
        long lost = gateway.sent.stream().skip(before).filter(SilentServerTest::inLostZone).count();
        assertTrue(lost < 40, lost + " sends into the lost zone");
    }

    /** The retry of a request that met a dead server adds no load and must not fail for lack of budget. */
    @Test
    void retriesFromADownServerAreFree() {
        FakeGateway gateway = new FakeGateway().start(120);
        gateway.serve(400, 5_000, 5_000);
        int refused = gateway.refused.size();
        loseZone(gateway, 600, Outcome.DIAL_FAILED);
        int more = gateway.refused.size() - refused;  // a few are refused before any server is known to be down
        assertTrue(more <= 3, "refused " + more);
    }

    /** A host that hangs fails no connection: its missing answers must mark it as down, so that it is probed. */
    @Test
    void hangingHostIsMarkedDownBeforeItsAttemptsTimeOut() {
        FakeGateway gateway = new FakeGateway().start(4);
        gateway.serve(200, 5_000, 5_000);
        gateway.probes.clear();
        Deque<FakeGateway.SentAttempt> out = new ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, gateway.now, 60_000_000);
            gateway.advance(20_000);
            gateway.sent.stream().skip(before).filter(s -> !s.address().equals("h2")).forEach(out::add);
            while (!out.isEmpty() && gateway.now - out.peek().sentAt() >= 200_000) {
                gateway.resolve(out.poll(), Outcome.DELIVERED);
            }
        }
        assertEquals(List.of("h2"), gateway.probes);
    }

    /** Remembered keys must leave a server with the failure that marks it as down, not only at the next refresh. */
    @Test
    void rememberedKeysLeaveADownServerAtOnce() {
        FakeGateway gateway = new FakeGateway().start(4);
        for (long key = 0; key < 20; key++) {
            gateway.request(key);
            gateway.advance(1_000);
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED);
        }
        String home = gateway.sent.get(0).address();
        gateway.advance(1_500_000);
        gateway.request(0L);
        assertEquals(home, gateway.lastAttempt().address());
        gateway.resolve(gateway.lastAttempt(), Outcome.DIAL_FAILED);
        int before = gateway.sent.size();
        for (long key = 1; key < 20; key++) {
            gateway.request(key);
        }
        assertTrue(gateway.sent.stream().skip(before).noneMatch(s -> s.address().equals(home)));
    }

    /** Probes must reach every silent host of a long list, one at a time, not the first few again and again. */
    @Test
    void probesReachAllDownHostsAndNeverTwoAtOnce() {
        FakeGateway gateway = new FakeGateway().start(40);
        gateway.serve(2000, 2_000, 2_000);
        loseZone(gateway, 200, Outcome.DIAL_FAILED);
        for (int i = 0; i < 100; i++) {
            gateway.serve(50, 2_000, 2_000);
        }
        List<String> down = gateway.probes.stream().filter(h -> Integer.parseInt(h.substring(1)) % 2 == 1).toList();
        assertEquals(down.size(), down.stream().distinct().count());
        assertEquals(20, down.size());
    }

    private static boolean inLostZone(FakeGateway.SentAttempt send) {
        return Integer.parseInt(send.address().substring(1)) % 2 == 1;
    }

    private static void loseZone(FakeGateway gateway, int requests, Outcome outcome) {
        gateway.advance(1_500_000);
        for (int i = 0; i < requests; i++) {
            long id = gateway.request(gateway.now);
            gateway.advance(5_000);
            for (int n = 0; n < gateway.attemptsOf(id).size(); n++) {
                FakeGateway.SentAttempt send = gateway.attemptsOf(id).get(n);
                gateway.resolve(send, inLostZone(send) ? outcome : Outcome.DELIVERED, 5_000);
            }
        }
    }
}
