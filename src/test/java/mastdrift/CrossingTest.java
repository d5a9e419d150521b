package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Crossing;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Request;
import mastdrift.Balancer.Why;
import org.junit.jupiter.api.Test;

/** How the module follows a limit on what may cross zones. */
class CrossingTest {

    private final FakeGateway gateway = new FakeGateway();
    private final Map<String, Double> crossingFractions = new HashMap<>();
    private final Crossing crossing = new Crossing() {
        @Override
        public double part(long now, String zone) {
            return crossingFractions.getOrDefault(zone, 1.0);
        }

        @Override
        public boolean heldBack() {
            return crossingFractions.getOrDefault("z1", 1.0) == 0;
        }
    };
    private long nextId = 1_000_000;

    private long request(Long key) {
        long id = nextId++;
        gateway.module.request(gateway.now, new Request(id, "read", null, key, 1_000_000, 0, false, false, crossing));
        return id;
    }

    /**
     * The fraction of the requests that goes to the other zone; each is answered after {@code ownZoneMicros} in the own
     * zone, after 5 ms in the other.
     */
    private double otherZoneFraction(int requests, long ownZoneMicros) {
        int before = gateway.sent.size();
        for (int i = 0; i < requests; i++) {
            int sent = gateway.sent.size();
            request((long) i * 7_919);
            gateway.advance(1_000);
            if (gateway.sent.size() > sent) {
                gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED,
                        isOtherZone(gateway.lastAttempt()) ? 5_000 : ownZoneMicros);
            }
        }
        List<FakeGateway.SentAttempt> sent = gateway.sent.subList(before, gateway.sent.size());
        return sent.stream().filter(CrossingTest::isOtherZone).count() / (double) sent.size();
    }

    private static boolean isOtherZone(FakeGateway.SentAttempt sent) {
        return Integer.parseInt(sent.address().substring(1)) % 2 == 1;
    }

    /**
     * Without queues all requests stay in their zone; where the own hosts have queues, as many cross as the limit
     * allows, and none where it allows none.
     */
    @Test
    void requestsCrossWithinTheLimitWhenTheOwnZoneHasQueues() {
        gateway.start(8);
        gateway.advance(2_000_000);  // until then shares come from the list alone
        assertEquals(0, otherZoneFraction(2_000, 5_000), "without queues");
        double all = otherZoneFraction(3_000, 100_000);
        assertTrue(all > 0.04, "own zone with queues: " + all);
        crossingFractions.put("z1", 0.02);
        double some = otherZoneFraction(3_000, 100_000);
        assertTrue(some > 0.0005 && some < 0.8 * all, "with a limit, of " + all + ": " + some);
        crossingFractions.put("z1", 0.0);
        assertEquals(0, otherZoneFraction(1_000, 100_000));
    }

    /** The only host of the own zone is found among 300 hosts of another. */
    @Test
    void oneHostOfTheOwnZoneIsFoundAmongMany() {
        gateway.start(1);
        Balancer.Host[] otherZoneHosts = new Balancer.Host[300];
        for (int i = 0; i < otherZoneHosts.length; i++) {
            otherZoneHosts[i] = FakeGateway.upHost(2 * i + 1, 0);
        }
        gateway.deliverHosts(ListForm.DELTA, otherZoneHosts);
        crossingFractions.put("z1", 0.0);
        assertEquals(0, otherZoneFraction(500, 5_000));
        assertEquals(List.of(), gateway.refused);
    }

    /**
     * With no host in the own zone a request is refused, with the limit as its reason; where it may cross, it is
     * served.
     */
    @Test
    void requestThatMayNotCrossIsRefusedForThatReason() {
        gateway.start(0);
        gateway.deliverHosts(ListForm.FULL, FakeGateway.upHost(1, 0), FakeGateway.upHost(3, 0));
        crossingFractions.put("z1", 0.0);
        long id = request(1L);
        assertTrue(gateway.refused.contains("" + id));
        assertEquals(List.of(Why.ZONES), gateway.refusalReasons);
        crossingFractions.put("z1", 1.0);
        request(2L);
        assertEquals(1, gateway.sent.size());
    }

    /**
     * A key that is warm in the other zone does not go there once crossing has any cost, nor does a repeat go where it
     * may not.
     */
    @Test
    void neitherAWarmKeyNorARepeatCrossesAgainstTheLimit() {
        gateway.start(2);
        gateway.advance(2_000_000);
        long key = 0;
        do {
            assertTrue(++key < 100, "a key of h1");
            gateway.request(key);  // without a limit on crossing
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 5_000);
        } while (!isOtherZone(gateway.lastAttempt()));
        request(key);
        assertEquals("h1", gateway.lastAttempt().address(), "warm");
        gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 5_000);
        crossingFractions.put("z1", 0.0);
        request(key);
        assertEquals("h0", gateway.lastAttempt().address());
        int before = gateway.sent.size();
        gateway.resolve(gateway.lastAttempt(), Outcome.SHED);
        assertEquals(before, gateway.sent.size(), "no repeat in the other zone");
        assertEquals(List.of(Why.ZONES), gateway.refusalReasons);
    }
}
