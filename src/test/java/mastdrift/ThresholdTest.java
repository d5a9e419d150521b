package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The threshold theta and the set S*. */
class ThresholdTest {

    /**
     * A server of a slower kind, with its 95th percentile at three times the median, still answers in time: it must
     * stay in S*.
     */
    @Test
    void serverThatAnswersInTimeStaysInTheSet() {
        assertTrue(fractionSentToSlowHost(120_000) > 0.1);
    }

    @Test
    void serverBeyondTheDeadlineLosesItsShare() {
        assertEquals(0, fractionSentToSlowHost(1_100_000), 0.04);
    }

    /**
     * The fraction of requests sent to h3, which has the given latency, beside three hosts at 20 to 40 ms; the deadline
     * is 1 s.
     */
    private static double fractionSentToSlowHost(long slow) {
        FakeGateway gateway = new FakeGateway().start(4);
        Map<String, Long> latency = Map.of("h0", 20_000L, "h1", 40_000L, "h2", 20_000L, "h3", slow);
        int counted = 0;
        for (int i = 0; i < 600; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, gateway.now, 3_000_000);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                FakeGateway.SentAttempt send = gateway.lastAttempt();
                gateway.resolve(send, Outcome.DELIVERED, latency.get(send.address()));
                counted += i >= 400 && send.address().equals("h3") ? 1 : 0;
            }
        }
        return counted / 200.0;
    }
}
