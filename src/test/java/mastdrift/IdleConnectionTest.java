package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Connections that are lost unnoticed once they have been idle for a while. */
class IdleConnectionTest {

    private final FakeGateway gateway = new FakeGateway().start(20);
    private final Map<String, Long> usedAt = new HashMap<>();

    /**
     * Sends one request after each pause; those on a connection that was idle for more than a second are lost. Returns
     * the losses.
     */
    private int requestAfterPauses(int times, long pause, Outcome lossOutcome) {
        int lost = 0;
        for (int i = 0; i < times; i++) {
            gateway.closedIdle.clear();
            gateway.advance(pause);
            for (FakeGateway.SentAttempt send : gateway.attemptsOf(gateway.request(null))) {
                gateway.closedIdle.forEach(usedAt::remove);
                boolean dead = gateway.now - usedAt.getOrDefault(send.address(), gateway.now) > 1_000_000;
                usedAt.put(send.address(), gateway.now);
                lost += dead ? 1 : 0;
                gateway.resolve(send, dead ? lossOutcome : Outcome.DELIVERED, 20_000);
            }
        }
        return lost;
    }

    @Test
    void connectionsIdleForLongerThanLossesAllowAreClosedBeforeASend() {
        assertTrue(requestAfterPauses(40, 100_000, Outcome.DROPPED) > 1);
        assertTrue(requestAfterPauses(100, 100_000, Outcome.DROPPED) < 10);
        gateway.closedIdle.clear();
        requestAfterPauses(20, 1_000, Outcome.DROPPED);
        assertTrue(gateway.closedIdle.size() < 20, "connections that are not idle stay open");
    }

    @Test
    void expiredAttemptsCountAsLosses() {
        assertTrue(requestAfterPauses(40, 100_000, Outcome.EXPIRED) > 1);
        assertTrue(requestAfterPauses(100, 100_000, Outcome.EXPIRED) < 10);
    }

    /** Where busy connections have as many losses, idleness is not the cause: few of the 200 sends may close one. */
    @Test
    void fewConnectionsAreClosedWhenBusyOnesAreLostToo() {
        for (int i = 0; i < 100; i++) {
            gateway.advance(200_000);
            long one = gateway.request((long) i % 10);
            long two = gateway.request((long) i % 10);
            for (long id : new long[] {two, one}) {
                for (FakeGateway.SentAttempt send : gateway.attemptsOf(id)) {
                    gateway.resolve(send, i % 5 == 0 ? Outcome.DROPPED : Outcome.DELIVERED, 20_000);
                }
            }
        }
        assertTrue(gateway.closedIdle.size() < 60, "closed " + gateway.closedIdle.size());
    }
}
