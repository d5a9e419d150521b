package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which requests admission refuses in an overload. The aim is 300 ms, the deadline 1 s. */
class AdmissionTest {

    /** One full server must not make the gateway refuse requests that go to other servers. */
    @Test
    void onlyRequestsForAFullServerAreRefused() {
        FakeGateway gateway = new FakeGateway().start(4);
        warmUp(gateway, 400, 20_000);
        for (int i = 0; i < 200; i++) {
            answer(gateway, i, "h2", 290_000);
        }
        assertTrue(!gateway.refused.isEmpty() && gateway.refused.size() < 40, "refused " + gateway.refused.size());
        int before = gateway.sent.size();
        gateway.serve(100, 5_000, 5_000);
        assertTrue(gateway.sent.size() - before > 70);
    }

    /** Long requests raise a percentile, but not the shortest answers: nothing may be refused. */
    @Test
    void nothingIsRefusedWhenOnlySomeRequestsAreLong() {
        FakeGateway gateway = new FakeGateway().start(4);
        for (int i = 0; i < 400; i++) {
            long id = gateway.request(1_000L + i);
            gateway.advance(5_000);
            gateway.resolve(gateway.attemptsOf(id).get(0), Outcome.DELIVERED, i % 8 == 0 ? 290_000 : 30_000);
        }
        assertEquals(0, gateway.refused.size());
    }

    /** h1 and h10 are slow and raise the fleet's 95th percentile; requests for the other nine hosts must be served. */
    @Test
    void requestsForOtherServersAreServedWhenTwoOfElevenAreSlow() {
        FakeGateway gateway = new FakeGateway().start(11);
        warmUp(gateway, 400, 20_000);
        Deque<FakeGateway.SentAttempt> slow = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            long id = gateway.request("read", null, 10_000L + i, 2_000_000);
            gateway.advance(30_000);
            for (FakeGateway.SentAttempt send : gateway.attemptsOf(id)) {
                if (send.address().startsWith("h1")) {
                    slow.add(send);
                } else {
                    gateway.resolve(send, Outcome.DELIVERED);
                }
            }
            while (!slow.isEmpty() && gateway.now - slow.peek().sentAt() > 700_000) {
                gateway.resolve(slow.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() < 200, "refused " + gateway.refused.size() + " of 1000");
    }

    /**
     * A fifth of the answers is lost, the others are quick: no overload. Only servers that have not answered their
     * newest request may look full for a while; a fault here once had most requests refused.
     */
    @Test
    void fewAreRefusedWhenOnlySomeAnswersAreLost() {
        FakeGateway gateway = new FakeGateway().start(12);
        warmUp(gateway, 400, 20_000);
        Deque<FakeGateway.SentAttempt> lost = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            long id = gateway.request("read", null, 10_000L + i, 1_000_000);
            gateway.advance(20_000);
            for (FakeGateway.SentAttempt send : gateway.attemptsOf(id)) {
                if (i % 5 == 0 && send.attempt() == 0) {
                    lost.add(send);
                } else {
                    gateway.resolve(send, Outcome.DELIVERED);
                }
            }
            while (!lost.isEmpty() && gateway.now - lost.peek().sentAt() >= 1_000_000) {
                gateway.resolve(lost.poll(), Outcome.EXPIRED);
            }
        }
        long atOnce = gateway.refused.stream().filter(r -> gateway.attemptsOf(Long.parseLong(r)).isEmpty()).count();
        assertTrue(atOnce < 300, "refused at once: " + atOnce);
    }

    /** Five requests a second, all served late: the last two seconds alone hold too few samples for a percentile. */
    @Test
    void gatewayWithLittleTrafficRefusesInAnOverload() {
        FakeGateway gateway = new FakeGateway().start(300);
        Deque<FakeGateway.SentAttempt> out = new ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            long id = gateway.request("read", null, 10_000L + i, 1_000_000);
            out.addAll(gateway.attemptsOf(id));
            gateway.advance(200_000);
            while (!out.isEmpty() && gateway.now - out.peek().sentAt() >= 900_000) {
                gateway.resolve(out.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() > 20, "refused " + gateway.refused.size());
    }

    /**
     * After an overload: twenty late answers, then healthy servers. While everything is refused nothing is learned, so
     * that a request has to pass every 2 s at the latest. Judged by the late answers alone, which a gateway with little
     * traffic keeps for 8 s, none passed for 8.6 s.
     */
    @Test
    void oneRequestPassesEveryTwoSecondsWhileAllOthersAreRefused() {
        FakeGateway gateway = new FakeGateway().start(300);
        Deque<FakeGateway.SentAttempt> out = new ArrayDeque<>();
        long longestWithoutSend = 0;
        long sentAt = gateway.now;
        int refusedAtOnce = 0;
        for (int i = 0; i < 200; i++) {
            Deque<FakeGateway.SentAttempt> sent =
                    new ArrayDeque<>(gateway.attemptsOf(gateway.request("read", null, 10_000L + i, 1_000_000)));
            longestWithoutSend = Math.max(longestWithoutSend, gateway.now - sentAt);
            sentAt = sent.isEmpty() ? sentAt : gateway.now;
            refusedAtOnce += sent.isEmpty() ? 1 : 0;
            out.addAll(sent);
            gateway.advance(100_000);
            while (!out.isEmpty() && gateway.now - out.peek().sentAt() >= (i < 30 ? 900_000 : 50_000)) {
                gateway.resolve(out.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(refusedAtOnce > 20, "refused at once: " + refusedAtOnce);
        assertTrue(longestWithoutSend <= 2_100_000, "nothing was sent for " + longestWithoutSend + " us");
    }

    /**
     * Queues of servers that never stop working grow for as long as nothing is refused: a few samples must be enough.
     */
    @Test
    void gatewayWithLittleTrafficRefusesBeforeTwentySamples() {
        FakeGateway gateway = new FakeGateway().start(300);
        Deque<FakeGateway.SentAttempt> out = new ArrayDeque<>();
        for (int i = 0; i < 20; i++) {
            out.addAll(gateway.attemptsOf(gateway.request(10_000L + i)));
            gateway.advance(200_000);
            while (!out.isEmpty() && gateway.now - out.peek().sentAt() >= 900_000) {
                gateway.resolve(out.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() > 2, "refused " + gateway.refused.size());
    }

    /** One long answer among the few of a gateway with little traffic is chance: nothing may be refused. */
    @Test
    void oneLongAnswerRefusesNothingAtAGatewayWithLittleTraffic() {
        FakeGateway gateway = new FakeGateway().start(300);
        for (int i = 0; i < 60; i++) {
            long id = gateway.request(10_000L + i);
            gateway.advance(i % 30 == 20 ? 600_000 : 20_000);
            gateway.resolve(gateway.attemptsOf(id).get(0), Outcome.DELIVERED);
            gateway.advance(300_000);
        }
        assertEquals(0, gateway.refused.size());
    }

    @Test
    void newSessionsAreRefusedBeforeRememberedOnes() {
        FakeGateway gateway = new FakeGateway().start(4);
        warmUp(gateway, 400, 130_000);
        int refusedOld = 0;
        int refusedNew = 0;
        for (int i = 0; i < 300; i++) {
            int before = gateway.refused.size();
            answer(gateway, i % 100, "h", 130_000);
            refusedOld += gateway.refused.size() - before;
            before = gateway.refused.size();
            answer(gateway, 50_000L + i, "h", 130_000);
            refusedNew += gateway.refused.size() - before;
        }
        assertTrue(refusedNew > 20, "new " + refusedNew);
        assertTrue(refusedOld < refusedNew / 5, "old " + refusedOld + " new " + refusedNew);
    }

    private static void warmUp(FakeGateway gateway, int requests, long elapsed) {
        for (int i = 0; i < requests; i++) {
            answer(gateway, i % 100, "h", i < 100 ? 20_000 : elapsed);
        }
        gateway.refused.clear();
    }

    /** Sends one request; hosts with that prefix take {@code elapsed}, others 20 ms. */
    private static void answer(FakeGateway gateway, long key, String prefix, long elapsed) {
        long id = gateway.request(key);
        gateway.advance(10_000);
        if (!gateway.isAnswered(id)) {
            FakeGateway.SentAttempt send = gateway.attemptsOf(id).get(0);
            gateway.resolve(send, Outcome.DELIVERED, send.address().startsWith(prefix) ? elapsed : 20_000);
        }
    }

    /**
     * The gateway has a queue of its own and idle hosts: refusals increase with the wait in it, name the gateway as the
     * reason, and end with the wait.
     */
    @ParameterizedTest
    @CsvSource({"0,0,0", "70000,0,0", "90000,40,120", "150000,200,200"})
    void refusalsFollowTheGatewaysOwnQueueDelay(long queueDelay, int minRefused, int maxRefused) {
        FakeGateway gateway = new FakeGateway().start(4);
        warmUp(gateway, 400, 20_000);
        gateway.refusalReasons.clear();
        gateway.module.own(gateway.now, queueDelay, 0);
        gateway.serve(200, 5_000, 5_000);
        assertTrue(gateway.refusalReasons.size() >= minRefused && gateway.refusalReasons.size() <= maxRefused,
                "refused " + gateway.refusalReasons.size());
        assertTrue(gateway.refusalReasons.stream().allMatch(Balancer.Why.GATEWAY::equals),
                gateway.refusalReasons.toString());
        gateway.refusalReasons.clear();
        gateway.module.own(gateway.now, 0, 0);
        gateway.serve(200, 5_000, 5_000);
        assertEquals(0, gateway.refusalReasons.size());
    }

    /** A request whose answer this gateway could not read before the deadline is refused at once and not sent. */
    @Test
    void requestIsRefusedUnsentWhenTheOwnQueueDelayReachesItsDeadline() {
        FakeGateway gateway = new FakeGateway().start(4);
        gateway.module.own(gateway.now, 20_000, 0);
        gateway.request("read", null, 1L, 20_000);
        assertEquals(0, gateway.sent.size());
        assertEquals(java.util.List.of(Balancer.Why.GATEWAY), gateway.refusalReasons);
        gateway.request("read", null, 1L, 21_000);
        assertEquals(1, gateway.sent.size());
    }

    /**
     * Answers that may not have been read yet don't make hosts look silent; missing answers that would have been read
     * do.
     */
    @ParameterizedTest
    @CsvSource({"0,true", "3000000,false"})
    void unreadAnswersDoNotMakeAServerSilent(long lag, boolean silent) {
        FakeGateway gateway = new FakeGateway().start(1);
        warmUp(gateway, 100, 20_000);
        for (int i = 0; i < 5; i++) {
            gateway.request("read", null, 100L + i, 60_000_000);
        }
        gateway.module.own(gateway.now, 0, lag);
        gateway.advance(2_000_000);
        assertEquals(!silent, gateway.probes.isEmpty(), "a silent server is probed");
    }

    /**
     * Where probes are not allowed, a fleet that was silent for a while is tried again, with few requests at first:
     * nothing else would show that it is back.
     */
    @Test
    void downServersAreTriedAgainWithoutProbes() {
        FakeGateway gateway = new FakeGateway();
        gateway.probesAllowed = false;
        gateway.start(2);
        warmUp(gateway, 200, 20_000);
        for (int i = 0; i < 40; i++) {
            long id = gateway.request("read", null, 5_000L + i, 500_000);
            gateway.advance(100_000);
            gateway.module.departed(gateway.now, id);
        }
        int before = gateway.sent.size();
        for (int i = 0; i < 10; i++) {
            gateway.module.departed(gateway.now, gateway.request("read", null, 6_000L + i, 500_000));
        }
        assertEquals(before, gateway.sent.size(), "both are down");
        gateway.advance(4_000_000);
        gateway.serve(1_000, 20_000, 20_000);
        int served = gateway.sent.size() - before;
        assertTrue(served > 500, "sent " + served);
    }

    /** Clients that leave while the gateway itself lags behind show nothing about hosts; otherwise they do. */
    @ParameterizedTest
    @CsvSource({"0,true", "400000,false"})
    void departuresFromALaggingGatewayDoNotMakeAServerSilent(long lag, boolean silent) {
        FakeGateway gateway = new FakeGateway().start(1);
        warmUp(gateway, 100, 20_000);
        for (int i = 0; i < 30; i++) {
            long id = gateway.request("read", null, 100L + i, 60_000_000);
            gateway.advance(100_000);
            gateway.module.own(gateway.now, 0, lag);
            gateway.module.departed(gateway.now, id);
        }
        assertEquals(!silent, gateway.probes.isEmpty(), "a silent server is probed");
    }
}
