package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Which failures remove a server from S*, and which don't. */
class FailingServerTest {

    /** With few samples, one failure is a fifth of the attempts; it must not cost the server its share. */
    @Test
    void serverWithOneFailureAmongFewAttemptsKeepsItsShare() {
        FakeGateway gateway = new FakeGateway().start(4);
        gateway.serve(8, 20_000, 10_000);
        gateway.request(null);
        String unlucky = gateway.lastAttempt().address();
        gateway.resolve(gateway.lastAttempt(), Outcome.ERROR);
        assertTrue(fractionSentTo(gateway, unlucky) > 0.1);
    }

    @Test
    void serverThatFailsHalfOfItsAttemptsLosesItsShare() {
        FakeGateway gateway = new FakeGateway().start(4);
        failEveryNth(gateway, "h1", 400, 2);
        assertTrue(fractionSentTo(gateway, "h1") < 0.03);
    }

    /** If all servers fail alike, S* must not shrink to the few that were lucky, which would be overloaded. */
    @Test
    void failuresOfTheWholeFleetLeaveAllServersTheirShares() {
        FakeGateway gateway = new FakeGateway().start(8);
        failEveryNth(gateway, "h", 600, 4);
        Map<String, Long> sends = gateway.sent.stream().skip(300)
                .collect(Collectors.groupingBy(FakeGateway.SentAttempt::address, Collectors.counting()));
        assertEquals(8, sends.size());
        assertTrue(sends.values().stream().allMatch(n -> n > 10), sends.toString());
    }

    /**
     * In an overload all servers fail some requests; one that fails everything must not attract traffic because it has
     * no latencies.
     */
    @Test
    void serverThatFailsEverythingGetsLittleWhenOthersFailToo() {
        FakeGateway gateway = new FakeGateway().start(8);
        int toBlackHole = 0;
        for (int i = 0; i < 900; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                FakeGateway.SentAttempt send = gateway.sent.get(before);
                boolean hole = send.address().equals("h3");
                gateway.resolve(send, hole || i % 2 == 0 ? Outcome.ERROR : Outcome.DELIVERED, hole ? 1_000 : 20_000);
                gateway.module.departed(gateway.now, send.id());
                toBlackHole += hole && i >= 600 ? 1 : 0;
            }
        }
        assertTrue(toBlackHole < 28, "sent to the black hole: " + toBlackHole + " of 300");
    }

    /** Sends requests; every {@code nth} attempt at a host with that prefix ends in a time-out. */
    private static void failEveryNth(FakeGateway gateway, String prefix, int requests, int nth) {
        int[] attempts = new int[1];
        for (int i = 0; i < requests; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(10_000);
            if (gateway.sent.size() > before) {
                FakeGateway.SentAttempt send = gateway.sent.get(before);
                boolean fails = send.address().startsWith(prefix) && attempts[0]++ % nth == 0;
                gateway.resolve(send, fails ? Outcome.EXPIRED : Outcome.DELIVERED, 10_000);
                if (fails) {
                    gateway.module.departed(gateway.now, send.id());
                }
            }
        }
    }

    /** The fraction of the next 200 requests that goes to the host. */
    private static double fractionSentTo(FakeGateway gateway, String address) {
        int before = gateway.sent.size();
        gateway.serve(200, 5_000, 5_000);
        return gateway.sent.stream().skip(before).filter(s -> s.address().equals(address)).count() / 200.0;
    }
}
