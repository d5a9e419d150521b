package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Machine kinds whose size the list does not contain. */
class KindSizeTest {

    /** Small machines report twice the CPU use of large ones: they must get fewer requests. */
    @Test
    void kindsWithHigherCpuUseGetLess() {
        FakeGateway gateway = new FakeGateway().start(0);
        gateway.deliverHosts(ListForm.FULL, host(0, "small"), host(1, "large"), host(2, "small"), host(3, "large"));
        int before = 0;
        for (int i = 0; i < 2000; i++) {
            before = i == 1000 ? gateway.sent.size() : before;
            gateway.request(10_000L + i);
            gateway.advance(10_000);
            FakeGateway.SentAttempt send = gateway.lastAttempt();
            double cpu = List.of("h0", "h2").contains(send.address()) ? 0.8 : 0.4;
            gateway.module.resolved(gateway.now, send.id(), send.attempt(), send.address(), Outcome.DELIVERED, 10_000,
                    true, new LoadReport(Double.NaN, Double.NaN, cpu, Double.NaN, Double.NaN, Double.NaN));
        }
        long small = gateway.sent.stream().skip(before).filter(s -> List.of("h0", "h2").contains(s.address())).count();
        assertTrue(small < 300, "to the small ones " + small + " of 1000");
    }

    private static Host host(int i, String kind) {
        return new Host("h" + i, "z0", 0, kind, 1, Health.UP, 0);
    }
}
