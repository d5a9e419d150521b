package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Which failures push a server out of S*, and which don't. */
class FailingServerTest {

    /** With a handful of samples one failure is a fifth of attempts; it must not cost a server its share. */
    @Test
    void oneFailureAmongFewAttemptsDoesNotPushAServerOut() {
        Gateway gateway = new Gateway().start(4);
        gateway.serve(8, 20_000, 10_000);
        gateway.request(null);
        String unlucky = gateway.last().address();
        gateway.end(gateway.last(), Outcome.ERROR);
        assertTrue(part(gateway, unlucky) > 0.1);
    }

    @Test
    void aServerThatFailsHalfOfItsAttemptsLeaves() {
        Gateway gateway = new Gateway().start(4);
        failing(gateway, "h1", 400, 2);
        assertTrue(part(gateway, "h1") < 0.03);
    }

    /** If all fail alike, S* must not shrink to the lucky few, which would be crushed. */
    @Test
    void failuresOfTheWholeFleetPushNobodyOut() {
        Gateway gateway = new Gateway().start(8);
        failing(gateway, "h", 600, 4);
        Map<String, Long> sends = gateway.sent.stream().skip(300)
                .collect(Collectors.groupingBy(Gateway.Sent::address, Collectors.counting()));
        assertEquals(8, sends.size());
        assertTrue(sends.values().stream().allMatch(n -> n > 10), sends.toString());
    }

    /** In an overload all fail a part; one that fails everything must not draw traffic for having no latencies. */
    @Test
    void aServerThatTurnsAllAwayIsNoBlackHoleWhenOthersFailToo() {
        Gateway gateway = new Gateway().start(8);
        int toBlackHole = 0;
        for (int i = 0; i < 900; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                Gateway.Sent send = gateway.sent.get(before);
                boolean hole = send.address().equals("h3");
                gateway.end(send, hole || i % 2 == 0 ? Outcome.ERROR : Outcome.DELIVERED, hole ? 1_000 : 20_000);
                gateway.module.departed(gateway.now, send.id());
                toBlackHole += hole && i >= 600 ? 1 : 0;
            }
        }
        assertTrue(toBlackHole < 28, "sent to the black hole: " + toBlackHole + " of 300");
    }

    /** Sends requests; every {@code nth} attempt at a host with that prefix ends in a time-out. */
    private static void failing(Gateway gateway, String prefix, int requests, int nth) {
        int[] turn = new int[1];
        for (int i = 0; i < requests; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                Gateway.Sent send = gateway.sent.get(before);
                boolean fails = send.address().startsWith(prefix) && turn[0]++ % nth == 0;
                gateway.end(send, fails ? Outcome.EXPIRED : Outcome.DELIVERED, 10_000);
                if (fails) {
                    gateway.module.departed(gateway.now, send.id());
                }
            }
        }
    }

    /** The part of the next 200 requests that goes to the host. */
    private static double part(Gateway gateway, String address) {
        int before = gateway.sent.size();
        gateway.serve(200, 5_000, 5_000);
        return gateway.sent.stream().skip(before).filter(s -> s.address().equals(address)).count() / 200.0;
    }
}
