package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** theta and S*. */
class ThresholdTest {

    /** A slower kind with its p95 at three times the median still answers in time: it must not leave S*. */
    @Test
    void serversThatAnswerInTimeStayInTheSet() {
        assertTrue(partOfSlowHost(120_000) > 0.1);
    }

    @Test
    void aServerPastTheDeadlineLeaves() {
        assertEquals(0, partOfSlowHost(1_100_000), 0.04);
    }

    /** Three hosts at 20 to 40 ms, h3 at the given latency; deadline 1 s. */
    private static double partOfSlowHost(long slow) {
        Gateway gateway = new Gateway().start(4);
        Map<String, Long> latency = Map.of("h0", 20_000L, "h1", 40_000L, "h2", 20_000L, "h3", slow);
        int counted = 0;
        for (int i = 0; i < 600; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, gateway.now, 3_000_000);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                Gateway.Sent send = gateway.last();
                gateway.end(send, Outcome.DELIVERED, latency.get(send.address()));
                counted += i >= 400 && send.address().equals("h3") ? 1 : 0;
            }
        }
        return counted / 200.0;
    }
}
