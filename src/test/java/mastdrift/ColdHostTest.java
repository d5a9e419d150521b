package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Rule 4: a cold host is never pushed over. */
class ColdHostTest {

    /** Warm hosts are sent far more than they serve; the newcomer's part must follow what they serve. */
    @Test
    void coldHostGetsItsPartOfWhatWarmOnesServeNotOfWhatTheyAreSent() {
        Gateway gateway = new Gateway().start(4);
        overload(gateway, 800);
        gateway.list(ListForm.DELTA, Gateway.up(9, gateway.now));
        int before = gateway.sent.size();
        overload(gateway, 400);
        long cold = gateway.sent.stream().skip(before).filter(s -> s.address().equals("h9")).count();
        // 2 s at 10 served a second and host, 0.2 to 0.36 warm, no more than doubled by saved credit
        assertTrue(cold > 0 && cold <= 10, "sent to the cold host: " + cold);
    }

    /** The machine's clock was an hour fast as the gateway began: a host that starts now says that it did an hour ago. It is cold all the same; and so
        it is by a clock that was an hour slow, by which it has yet to start. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3_600, -3_600})
    void aHostThatStartsIsColdWhateverTheClockOfThisMachine(long fastSeconds) {
        Gateway gateway = new Gateway();
        gateway.now += 7_200_000_000L;
        gateway.start(4);
        gateway.list(ListForm.DELTA);  // discovery has told: what comes from now on is new
        overload(gateway, 800);
        gateway.list(ListForm.DELTA, Gateway.up(9, gateway.now - fastSeconds * 1_000_000));
        int before = gateway.sent.size();
        overload(gateway, 400);
        long cold = gateway.sent.stream().skip(before).filter(s -> s.address().equals("h9")).count();
        // 2 s at 10 served a second and host: it falls by three times its part, 0.13 to 0.22 of that, in any 2 s
        assertTrue(cold > 0 && cold <= 3 * 0.22 * 20, "sent to the cold host: " + cold);
    }

    /** A warm fleet's rate is a guess for a cold host: while it answers nothing, it gets nothing more. */
    @Test
    void coldHostWhoseClientsGiveUpIsNotSentMore() {
        Gateway gateway = new Gateway().start(2);
        gateway.serve(1000, 5_000, 5_000);
        gateway.list(ListForm.DELTA, Gateway.up(9, gateway.now));
        int cold = 0;
        for (int i = 0; i < 400; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, 7_000_000L + i, 1_000_000);
            gateway.advance(5_000);
            boolean toCold = gateway.sent.size() > before && gateway.last().address().equals("h9");
            cold += toCold ? 1 : 0;
            if (toCold) {
                gateway.module.departed(gateway.now, gateway.last().id());
            } else {
                gateway.end(gateway.last(), Outcome.DELIVERED, 5_000);
            }
        }
        assertTrue(cold > 0 && cold <= 3, "sent to the silent cold host: " + cold);
    }

    /** 200 requests a second, of which a fifth is served and the rest given up by their clients. */
    private static void overload(Gateway gateway, int requests) {
        for (int i = 0; i < requests; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(5_000);
            if (gateway.sent.size() > before && i % 5 == 0) {
                gateway.end(gateway.last(), Outcome.DELIVERED, 5_000);
            } else if (gateway.sent.size() > before) {
                gateway.module.departed(gateway.now, gateway.last().id());
            }
        }
    }
}
