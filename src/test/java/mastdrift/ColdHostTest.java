package mastdrift;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Rule 4: a cold host is never overloaded. */
class ColdHostTest {

    /** Warm hosts are sent far more than they serve; the rate of a new host must follow what they serve. */
    @Test
    void coldHostGetsItsPartOfWhatWarmHostsServeNotOfWhatTheyAreSent() {
        FakeGateway gateway = new FakeGateway().start(4);
        overload(gateway, 800);
        gateway.deliverHosts(ListForm.DELTA, FakeGateway.upHost(9, gateway.now));
        int before = gateway.sent.size();
        overload(gateway, 400);
        long cold = gateway.sent.stream().skip(before).filter(s -> s.address().equals("h9")).count();
        // 2 s at 10 requests served per second and host, 0.2 to 0.36 of the capacity, at most doubled by saved credit
        assertTrue(cold > 0 && cold <= 10, "sent to the cold host: " + cold);
    }

    /**
     * This machine's clock was an hour fast when the gateway started, so that a host that starts now reports a start an
     * hour ago. It must be treated as cold all the same, and also if the clock was an hour slow and the start lies in
     * the future.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 3_600, -3_600})
    void startedHostIsColdWhateverTheClockOfThisMachine(long fastSeconds) {
        FakeGateway gateway = new FakeGateway();
        gateway.now += 7_200_000_000L;
        gateway.start(4);
        // discovery has sent a list: a host that is new from now on has just started
        gateway.deliverHosts(ListForm.DELTA);
        overload(gateway, 800);
        gateway.deliverHosts(ListForm.DELTA, FakeGateway.upHost(9, gateway.now - fastSeconds * 1_000_000));
        int before = gateway.sent.size();
        overload(gateway, 400);
        long cold = gateway.sent.stream().skip(before).filter(s -> s.address().equals("h9")).count();
        // 2 s at 10 requests served per second and host: overloaded by three times its capacity, 0.13 to 0.22 of that,
        // in any 2 s
        assertTrue(cold > 0 && cold <= 3 * 0.22 * 20, "sent to the cold host: " + cold);
    }

    /** The rate of a warm fleet is a guess for a cold host: while it answers nothing, it must get nothing more. */
    @Test
    void coldHostThatAnswersNothingIsNotSentMore() {
        FakeGateway gateway = new FakeGateway().start(2);
        gateway.serve(1000, 5_000, 5_000);
        gateway.deliverHosts(ListForm.DELTA, FakeGateway.upHost(9, gateway.now));
        int cold = 0;
        for (int i = 0; i < 400; i++) {
            int before = gateway.sent.size();
            gateway.request("read", null, 7_000_000L + i, 1_000_000);
            gateway.advance(5_000);
            boolean toCold = gateway.sent.size() > before && gateway.lastAttempt().address().equals("h9");
            cold += toCold ? 1 : 0;
            if (toCold) {
                gateway.module.departed(gateway.now, gateway.lastAttempt().id());
            } else {
                gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 5_000);
            }
        }
        assertTrue(cold > 0 && cold <= 3, "sent to the silent cold host: " + cold);
    }

    /** 200 requests a second, of which a fifth is served and the rest is given up by their clients. */
    private static void overload(FakeGateway gateway, int requests) {
        for (int i = 0; i < requests; i++) {
            int before = gateway.sent.size();
            gateway.request(gateway.now);
            gateway.advance(5_000);
            if (gateway.sent.size() > before && i % 5 == 0) {
                gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED, 5_000);
            } else if (gateway.sent.size() > before) {
                gateway.module.departed(gateway.now, gateway.lastAttempt().id());
            }
        }
    }
}
