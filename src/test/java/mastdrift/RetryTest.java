package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** The retry budget. */
class RetryTest {

    /** A full connection table fails every dial; retries of these must not multiply the load. */
    @Test
    void failedConnectionsAreRetriedWithinTheBudgetOnly() {
        FakeGateway gateway = new FakeGateway().start(8);
        int calls = 400;
        for (int i = 0; i < calls; i++) {
            long id = gateway.request(null);
            gateway.advance(1_000);
            for (int sends = 0; sends < gateway.attemptsOf(id).size(); sends++) {
                gateway.resolve(gateway.attemptsOf(id).get(sends), Outcome.DIAL_FAILED);
            }
        }
        long retries = gateway.sent.stream().filter(s -> s.attempt() > 0).count();
        assertTrue(retries > 0 && retries <= calls * 0.1 + 20, retries + " retries");
    }

    /** Where every server fails, retries must not multiply the load. */
    @Test
    void errorsAreRetriedWithinTheBudgetOnly() {
        FakeGateway gateway = new FakeGateway().start(8);
        int calls = 400;
        for (int i = 0; i < calls; i++) {
            long id = gateway.request(null);
            gateway.advance(1_000);
            for (int sends = 0; sends < gateway.attemptsOf(id).size(); sends++) {
                gateway.resolve(gateway.attemptsOf(id).get(sends), Outcome.ERROR);
            }
        }
        long retries = gateway.sent.stream().filter(s -> s.attempt() > 0).count();
        assertTrue(retries > 0 && retries <= calls * 0.1 + 20, retries + " retries");
    }
}
