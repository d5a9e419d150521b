package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Weights;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The draw of a server by the shares. */
class DrawTest {

    /** Two gateways whose lists are in different order must agree on the server of a key. */
    @Test
    void serverOfAKeyIsTheSameForAnyOrderOfTheList() {
        assertEquals(serversByKey(hosts(40), 300), serversByKey(reversed(hosts(40)), 300));
    }

    /** When a host leaves, its own keys move and few others do. */
    @Test
    void removingAHostMovesFewKeysOfOtherHosts() {
        Map<Long, String> all = serversByKey(hosts(33), 1000);
        Map<Long, String> less = serversByKey(hosts(32), 1000);
        long moved = all.entrySet().stream()
                .filter(e -> !e.getValue().equals("h32") && !e.getValue().equals(less.get(e.getKey()))).count();
        assertTrue(moved < 80, "moved " + moved);
    }

    @Test
    void equalSharesGetEqualPartsAndEveryRequestIsSent() {
        Map<String, Long> parts = serversByKey(hosts(3), 3000).values().stream()
                .collect(Collectors.groupingBy(h -> h, Collectors.counting()));
        assertEquals(3000, parts.values().stream().mapToLong(n -> n).sum());
        assertTrue(parts.values().stream().allMatch(n -> n > 900 && n < 1100), parts.toString());
    }

    private static List<Host> hosts(int count) {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(FakeGateway.upHost(i, 0));
        }
        return hosts;
    }

    private static List<Host> reversed(List<Host> hosts) {
        Collections.reverse(hosts);
        return hosts;
    }

    private static Map<Long, String> serversByKey(List<Host> hosts, int keys) {
        FakeGateway gateway = new FakeGateway();
        gateway.module.start(gateway.now, gateway.settings(), gateway);
        gateway.module.hosts(gateway.now, ListForm.CACHED, hosts);
        for (long key = 0; key < keys; key++) {
            gateway.request(key);
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 10_000);
        }
        return gateway.sent.stream().collect(Collectors.toMap(s -> s.id() - 1, FakeGateway.SentAttempt::address));
    }

    /** Half of a gateway's few requests carry one key: never are many outstanding, and still the key must be spread. */
    @Test
    void popularKeyIsSpreadWhenFewRequestsAreOutstanding() {
        FakeGateway gateway = new FakeGateway().start(20);
        for (int i = 0; i < 400; i++) {
            gateway.request(i % 2 == 0 ? 7L : 1_000L + i);
            gateway.advance(100_000);
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 20_000);
        }
        long most = gateway.sent.stream().collect(Collectors.groupingBy(FakeGateway.SentAttempt::address,
                Collectors.counting())).values().stream().max(Long::compare).orElse(0L);
        assertTrue(most < 100, "to one server " + most + " of 400");
    }

    /** Crossing zones costs: most requests go to the gateway's own zone, and the other zone still gets its part. */
    @Test
    void ownZoneGetsMoreThanAnotherZone() {
        FakeGateway gateway = new FakeGateway().start(20);
        gateway.serve(500, 5_000, 5_000);
        int before = gateway.sent.size();
        gateway.serve(1000, 5_000, 5_000);
        long own = gateway.sent.stream().skip(before)
                .filter(s -> Integer.parseInt(s.address().substring(1)) % 2 == 0).count();
        assertTrue(own > 600 && own < 900, "to the own zone " + own + " of 1000");
    }

    private static Host host(int number, double weight, Health health) {
        return new Host("h" + number, "z0", 0, "std", weight, health, 0);
    }

    /**
     * A request must not be refused while a healthy host is there: draws alone miss the one host that takes requests
     * among many that don't.
     */
    @Test
    void onlyHostOfManyThatTakesRequestsIsFound() {
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            hosts.add(host(i, 1, i == 1234 ? Health.UP : Health.LEAVING));
        }
        assertEquals(Set.of("h1234"), Set.copyOf(serversByKey(hosts, 300).values()));
    }

    /** Draws miss others where one host has nearly all of the weight; traffic must still be divided by the weights. */
    @Test
    void trafficFollowsVeryUnevenWeights() {
        FakeGateway gateway = new FakeGateway();
        gateway.weights = Weights.NOMINAL;
        List<Host> hosts = new ArrayList<>(List.of(host(0, 1, Health.UP)));
        for (int i = 1; i <= 500; i++) {
            hosts.add(host(i, 0.0005, Health.UP));
        }
        gateway.module.start(gateway.now, gateway.settings(), gateway);
        gateway.module.hosts(gateway.now, ListForm.CACHED, hosts);
        for (long key = 0; key < 2000; key++) {
            gateway.request(key);
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 10_000);
        }
        assertEquals(2000, gateway.sent.size());
        double part = gateway.sent.stream().filter(s -> s.address().equals("h0")).count() / 2000.0;
        assertTrue(part > 0.7 && part < 0.9, "four fifths of the weight got " + part);
    }
}
