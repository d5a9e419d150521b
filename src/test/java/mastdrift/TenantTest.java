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

    /** Refused clients try again at once; those tries must not use up a quiet tenant's share. */
    @Test
    void theGreedyTenantIsRefusedFarMoreThanTheQuietOneThatRetries() {
        Gateway gateway = new Gateway();
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
                served = !gateway.sends(id).isEmpty();
                if (served) {
                    sent[who]++;
                    gateway.end(gateway.sends(id).get(0), Outcome.DELIVERED, i < 200 ? 20_000 : 90_000);
                }
            }
        }
        double greedy = (double) sent[0] / asked[0];
        double quiet = (double) sent[1] / asked[1];
        assertTrue(quiet > 0.9 && greedy < 0.7, "served: greedy " + greedy + ", quiet " + quiet);
    }

    /** Of 300 gateways each has under a request a second for a tenant: who stays within that is within. */
    @Test
    void aShareSplitAmongHundredsOfGatewaysStillCounts() {
        Gateway gateway = new Gateway();
        gateway.gateways = 300;
        gateway.tenants = List.of(new Tenant("greedy", 0.5, 200), new Tenant("quiet", 0.5, 200));
        gateway.start(100);
        int[] sent = new int[2];
        int[] asked = new int[2];
        Deque<Gateway.Sent> out = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            int who = i % 10 == 0 ? 1 : 0;
            long id = gateway.request("read", who == 0 ? "greedy" : "quiet", 1_000L + i % 50, 1_000_000);
            asked[who]++;
            sent[who] += gateway.sends(id).size();
            out.addAll(gateway.sends(id));
            gateway.advance(200_000);
            while (!out.isEmpty() && gateway.now - out.peek().at() >= 600_000) {
                gateway.end(out.poll(), Outcome.DELIVERED);
            }
        }
        double greedy = (double) sent[0] / asked[0];
        double quiet = (double) sent[1] / asked[1];
        assertTrue(quiet > greedy + 0.2, "served: greedy " + greedy + ", quiet " + quiet);
    }

    /** Guards against a request within a share that is refused for the queue of the one server it was drawn on. */
    @Test
    void aFullServerRefusesNobodyWithinAShareWhileOthersHaveNoQueue() {
        Gateway gateway = new Gateway();
        gateway.tenants = List.of(new Tenant("quiet", 1.0, 1000));
        gateway.start(4);
        for (int i = 0; i < 600; i++) {
            long id = gateway.request("read", "quiet", 1000L + i, 1_000_000);
            gateway.advance(10_000);
            gateway.sends(id).forEach(send -> gateway.end(send, Outcome.DELIVERED,
                    gateway.sent.size() > 400 && send.address().startsWith("h2") ? 290_000 : 20_000));
        }
        assertTrue(gateway.refused.size() < 5, "refused " + gateway.refused.size());
    }
}
