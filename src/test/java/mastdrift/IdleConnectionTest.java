package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;

/** Connections that are lost unseen once they have been idle for a while. */
class IdleConnectionTest {

    private final Gateway gateway = new Gateway().start(20);
    private final Map<String, Long> usedAt = new HashMap<>();

    /** One request a pause; what is sent on a connection idle for over a second is lost. */
    private int pauses(int times, long pause, Outcome past) {
        int lost = 0;
        for (int i = 0; i < times; i++) {
            gateway.closed.clear();
            gateway.advance(pause);
            for (Gateway.Sent send : gateway.sends(gateway.request(null))) {
                gateway.closed.forEach(usedAt::remove);
                boolean dead = gateway.now - usedAt.getOrDefault(send.address(), gateway.now) > 1_000_000;
                usedAt.put(send.address(), gateway.now);
                lost += dead ? 1 : 0;
                gateway.end(send, dead ? past : Outcome.DELIVERED, 20_000);
            }
        }
        return lost;
    }

    @Test
    void connectionsIdleForLongerThanLossesTellAreClosedBeforeASend() {
        assertTrue(pauses(40, 100_000, Outcome.DROPPED) > 1);
        assertTrue(pauses(100, 100_000, Outcome.DROPPED) < 10);
        gateway.closed.clear();
        pauses(20, 1_000, Outcome.DROPPED);
        assertTrue(gateway.closed.size() < 20, "what is not idle stays open");
    }

    @Test
    void lossesWithoutAnAnswerTellTheSame() {
        assertTrue(pauses(40, 100_000, Outcome.EXPIRED) > 1);
        assertTrue(pauses(100, 100_000, Outcome.EXPIRED) < 10);
    }

    /** Where busy connections lose as much, idling is not the cause: few of the 200 sends may close one. */
    @Test
    void lossesThatHitBusyConnectionsTooCloseNone() {
        for (int i = 0; i < 100; i++) {
            gateway.advance(200_000);
            long one = gateway.request((long) i % 10);
            long two = gateway.request((long) i % 10);
            for (long id : new long[] {two, one}) {
                for (Gateway.Sent send : gateway.sends(id)) {
                    gateway.end(send, i % 5 == 0 ? Outcome.DROPPED : Outcome.DELIVERED, 20_000);
                }
            }
        }
        assertTrue(gateway.closed.size() < 60, "closed " + gateway.closed.size());
    }
}
