package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Tenant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Fairness between tenants in an overload. */
class TenantTest {

    /**
     * Clients retry refused requests at once; these retries must not use up the share of a tenant of little traffic.
     */
    @Test
    void greedyTenantIsRefusedFarMoreThanATenantOfLittleTrafficThatRetries() {
        FakeGateway gateway = new FakeGateway();
        gateway.tenants = List.of(new Tenant("greedy", 0.5, 100), new Tenant("quiet", 0.5, 100));
        gateway.start(4);
        int[] sent = new int[2];
        int[] asked = new int[2];
        for (int i = 0; i < 2000; i++) {
            int who = i % 4 == 0 ? 1 : 0;
            boolean served = false;
            for (int tries = 0; tries < 3 && !served; tries++) {
                long id = gateway.request("read", who == 0 ? "greedy" : "quiet", 1000L + i % 50, 1_000_000);
                asked[who]++;
                gateway.advance(3_000);
                served = !gateway.attemptsOf(id).isEmpty();
                if (served) {
                    sent[who]++;
                    gateway.resolve(gateway.attemptsOf(id).get(0), Outcome.DELIVERED, i < 200 ? 20_000 : 90_000);
                }
            }
        }
        double greedy = (double) sent[0] / asked[0];
        double quiet = (double) sent[1] / asked[1];
        assertTrue(quiet > 0.9 && greedy < 0.7, "served: greedy " + greedy + ", quiet " + quiet);
    }

    /**
     * Each of 300 gateways has less than one request a second for a tenant: a tenant that stays within its share is
     * served.
     */
    @Test
    void sharesHoldWhenDividedAmongHundredsOfGateways() {
        FakeGateway gateway = new FakeGateway();
        gateway.gateways = 300;
        gateway.tenants = List.of(new Tenant("greedy", 0.5, 200), new Tenant("quiet", 0.5, 200));
        gateway.start(100);
        int[] sent = new int[2];
        int[] asked = new int[2];
        Deque<FakeGateway.SentAttempt> out = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            int who = i % 10 == 0 ? 1 : 0;
            long id = gateway.request("read", who == 0 ? "greedy" : "quiet", 1_000L + i % 50, 1_000_000);
            asked[who]++;
            sent[who] += gateway.attemptsOf(id).size();
            out.addAll(gateway.attemptsOf(id));
            gateway.advance(200_000);
            while (!out.isEmpty() && gateway.now - out.peek().sentAt() >= 600_000) {
                gateway.resolve(out.poll(), Outcome.DELIVERED);
            }
        }
        double greedy = (double) sent[0] / asked[0];
        double quiet = (double) sent[1] / asked[1];
        assertTrue(quiet > greedy + 0.2, "served: greedy " + greedy + ", quiet " + quiet);
    }

    /**
     * Clients come to this gateway four times as often as to others; it must not refuse tenants that use little of the
     * whole. At each of a hundred gateways, a tenant's part of its share follows the traffic that the gateway sees of
     * all tenants.
     */
    @Test
    void onlyTheGreedyTenantIsRefusedAtAGatewayWithSeveralTimesTheMeanTraffic() {
        FakeGateway gateway = new FakeGateway();
        gateway.gateways = 100;
        gateway.tenants = List.of(new Tenant("greedy", 0.2, 100), new Tenant("b", 0.2, 100), new Tenant("c", 0.2, 100),
                new Tenant("d", 0.2, 100), new Tenant("e", 0.2, 100));
        gateway.start(40);
        int[] refused = new int[2];
        int[] asked = new int[2];
        Deque<FakeGateway.SentAttempt> out = new ArrayDeque<>();
        // 28 a second, 16 of them of the greedy tenant: where the share is 1 a second for each tenant, four times 0.75
        // and four times 4
        for (int i = 0; i < 1600; i++) {
            String who = i % 7 < 4 ? "greedy" : List.of("b", "c", "d", "e").get(i % 4);
            gateway.advance(1_000_000 / 28);
            long id = gateway.request("read", who, 1_000L + i, 1_000_000);
            out.addAll(gateway.attemptsOf(id));
            // First in time, then later than the aim, so that requests beyond a share begin to be refused.
            while (!out.isEmpty() && gateway.now - out.peek().sentAt() >= (i < 300 ? 100_000 : 450_000)) {
                gateway.resolve(out.poll(), Outcome.DELIVERED);
            }
            if (i > 400) {
                asked[who.equals("greedy") ? 0 : 1]++;
                refused[who.equals("greedy") ? 0 : 1] += gateway.isAnswered(id) ? 1 : 0;
            }
        }
        double greedy = refused[0] / (double) asked[0];
        double others = refused[1] / (double) asked[1];
        assertTrue(greedy > 0.4 && others < 0.1, "refused: greedy " + greedy + ", the others " + others);
    }

    /** A request within a share must not be refused for the queue of the one server that it was drawn to. */
    @Test
    void requestsWithinAShareAvoidAFullServerWhileOthersHaveNoQueue() {
        FakeGateway gateway = new FakeGateway();
        gateway.tenants = List.of(new Tenant("quiet", 1.0, 1000));
        gateway.start(4);
        for (int i = 0; i < 600; i++) {
            long id = gateway.request("read", "quiet", 1000L + i, 1_000_000);
            gateway.advance(10_000);
            gateway.attemptsOf(id).forEach(send -> gateway.resolve(send, Outcome.DELIVERED,
                    gateway.sent.size() > 400 && send.address().startsWith("h2") ? 290_000 : 20_000));
        }
        assertTrue(gateway.refused.size() < 5, "refused " + gateway.refused.size());
    }
}
