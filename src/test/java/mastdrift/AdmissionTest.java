package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Outcome;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Who is refused in an overload. Aim 300 ms, deadline 1 s. */
class AdmissionTest {

    /** One full server must not make the gateway refuse requests that go elsewhere. */
    @Test
    void aFullServerRefusesOnlyItsOwn() {
        Gateway gateway = new Gateway().start(4);
        warmUp(gateway, 400, 20_000);
        for (int i = 0; i < 200; i++) {
            answer(gateway, i, "h2", 290_000);
        }
        assertTrue(!gateway.refused.isEmpty() && gateway.refused.size() < 40, "refused " + gateway.refused.size());
        int before = gateway.sent.size();
        gateway.serve(100, 5_000, 5_000);
        assertTrue(gateway.sent.size() - before > 70);
    }

    /** Long requests lift a percentile, but not the shortest answers: nothing is refused. */
    @Test
    void longRequestsAloneRefuseNobody() {
        Gateway gateway = new Gateway().start(4);
        for (int i = 0; i < 400; i++) {
            long id = gateway.request(1_000L + i);
            gateway.advance(5_000);
            gateway.end(gateway.sends(id).get(0), Outcome.DELIVERED, i % 8 == 0 ? 290_000 : 30_000);
        }
        assertEquals(0, gateway.refused.size());
    }

    /** h1 and h10, slow, lift the fleet's p95; requests for the other nine hosts must go on. */
    @Test
    void twoSlowServersOfElevenDoNotHaveTheFleetRefuse() {
        Gateway gateway = new Gateway().start(11);
        warmUp(gateway, 400, 20_000);
        Deque<Gateway.Sent> slow = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            long id = gateway.request("read", null, 10_000L + i, 2_000_000);
            gateway.advance(30_000);
            for (Gateway.Sent send : gateway.sends(id)) {
                if (send.address().startsWith("h1")) {
                    slow.add(send);
                } else {
                    gateway.end(send, Outcome.DELIVERED);
                }
            }
            while (!slow.isEmpty() && gateway.now - slow.peek().at() > 700_000) {
                gateway.end(slow.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() < 200, "refused " + gateway.refused.size() + " of 1000");
    }

    /** A fifth of the answers never comes back, the rest is quick: no overload. Only servers that owe
        the newest answer may look full for a while; once most requests were refused here. */
    @Test
    void lostAnswersAloneRefuseFew() {
        Gateway gateway = new Gateway().start(12);
        warmUp(gateway, 400, 20_000);
        Deque<Gateway.Sent> lost = new ArrayDeque<>();
        for (int i = 0; i < 1000; i++) {
            long id = gateway.request("read", null, 10_000L + i, 1_000_000);
            gateway.advance(20_000);
            for (Gateway.Sent send : gateway.sends(id)) {
                if (i % 5 == 0 && send.attempt() == 0) {
                    lost.add(send);
                } else {
                    gateway.end(send, Outcome.DELIVERED);
                }
            }
            while (!lost.isEmpty() && gateway.now - lost.peek().at() >= 1_000_000) {
                gateway.end(lost.poll(), Outcome.EXPIRED);
            }
        }
        long atOnce = gateway.refused.stream().filter(r -> gateway.sends(Long.parseLong(r)).isEmpty()).count();
        assertTrue(atOnce < 300, "refused at once: " + atOnce);
    }

    /** Five requests a second, all served late: a percentile of two seconds would know nothing. */
    @Test
    void aQuietGatewayRefusesInAnOverloadToo() {
        Gateway gateway = new Gateway().start(300);
        Deque<Gateway.Sent> out = new ArrayDeque<>();
        for (int i = 0; i < 200; i++) {
            long id = gateway.request("read", null, 10_000L + i, 1_000_000);
            out.addAll(gateway.sends(id));
            gateway.advance(200_000);
            while (!out.isEmpty() && gateway.now - out.peek().at() >= 900_000) {
                gateway.end(out.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() > 20, "refused " + gateway.refused.size());
    }

    /** An overload that is over: twenty late answers, then sound servers. As long as all is refused nobody can know, so one goes every 2 s at the latest;
        by the late answers alone, which a quiet gateway keeps for 8 s, none went for 8.6 s. */
    @Test
    void whoRefusesAllAsksOnceInAWhile() {
        Gateway gateway = new Gateway().start(300);
        Deque<Gateway.Sent> out = new ArrayDeque<>();
        long longest = 0;
        long sentAt = gateway.now;
        int refusedAtOnce = 0;
        for (int i = 0; i < 200; i++) {
            Deque<Gateway.Sent> sent = new ArrayDeque<>(gateway.sends(gateway.request("read", null, 10_000L + i, 1_000_000)));
            longest = Math.max(longest, gateway.now - sentAt);
            sentAt = sent.isEmpty() ? sentAt : gateway.now;
            refusedAtOnce += sent.isEmpty() ? 1 : 0;
            out.addAll(sent);
            gateway.advance(100_000);
            while (!out.isEmpty() && gateway.now - out.peek().at() >= (i < 30 ? 900_000 : 50_000)) {
                gateway.end(out.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(refusedAtOnce > 20, "refused at once: " + refusedAtOnce);
        assertTrue(longest <= 2_100_000, "nothing was sent for " + longest + " us");
    }

    /** Queues of servers that never stop work grow for as long as nobody refuses: a few samples must do. */
    @Test
    void aQuietGatewayDoesNotWaitForTwentySamples() {
        Gateway gateway = new Gateway().start(300);
        Deque<Gateway.Sent> out = new ArrayDeque<>();
        for (int i = 0; i < 20; i++) {
            out.addAll(gateway.sends(gateway.request(10_000L + i)));
            gateway.advance(200_000);
            while (!out.isEmpty() && gateway.now - out.peek().at() >= 900_000) {
                gateway.end(out.poll(), Outcome.DELIVERED);
            }
        }
        assertTrue(gateway.refused.size() > 2, "refused " + gateway.refused.size());
    }

    /** One long answer among a quiet gateway's few is chance: it refuses nobody. */
    @Test
    void aSingleLongAnswerRefusesNobodyAtAQuietGateway() {
        Gateway gateway = new Gateway().start(300);
        for (int i = 0; i < 60; i++) {
            long id = gateway.request(10_000L + i);
            gateway.advance(i % 30 == 20 ? 600_000 : 20_000);
            gateway.end(gateway.sends(id).get(0), Outcome.DELIVERED);
            gateway.advance(300_000);
        }
        assertEquals(0, gateway.refused.size());
    }

    @Test
    void newSessionsAreRefusedBeforeRememberedOnes() {
        Gateway gateway = new Gateway().start(4);
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

    private static void warmUp(Gateway gateway, int requests, long elapsed) {
        for (int i = 0; i < requests; i++) {
            answer(gateway, i % 100, "h", i < 100 ? 20_000 : elapsed);
        }
        gateway.refused.clear();
    }

    /** One request; hosts with that prefix take {@code elapsed}, others 20 ms. */
    private static void answer(Gateway gateway, long key, String prefix, long elapsed) {
        long id = gateway.request(key);
        gateway.advance(10_000);
        if (!gateway.answered(id)) {
            Gateway.Sent send = gateway.sends(id).get(0);
            gateway.end(send, Outcome.DELIVERED, send.address().startsWith(prefix) ? elapsed : 20_000);
        }
    }

    /** The gateway's own standing queue, with idle hosts: refusals rise as at a host's queue, name the gateway, and go with it. */
    @ParameterizedTest
    @CsvSource({"0,0,0", "70000,0,0", "90000,40,120", "150000,200,200"})
    void aGatewayThatCantKeepUpTurnsAwayByItsOwnQueue(long standing, int least, int most) {
        Gateway gateway = new Gateway().start(4);
        warmUp(gateway, 400, 20_000);
        gateway.whys.clear();
        gateway.module.own(gateway.now, standing, 0);
        gateway.serve(200, 5_000, 5_000);
        assertTrue(gateway.whys.size() >= least && gateway.whys.size() <= most, "refused " + gateway.whys.size());
        assertTrue(gateway.whys.stream().allMatch(Balancer.Why.GATEWAY::equals), gateway.whys.toString());
        gateway.whys.clear();
        gateway.module.own(gateway.now, 0, 0);
        gateway.serve(200, 5_000, 5_000);
        assertEquals(0, gateway.whys.size());
    }

    /** What this gateway can't read the answer of in time is turned away at once, unsent. */
    @Test
    void aRequestThatTheGatewayItselfIsTooLateForIsNotSent() {
        Gateway gateway = new Gateway().start(4);
        gateway.module.own(gateway.now, 20_000, 0);
        gateway.request("read", null, 1L, 20_000);
        assertEquals(0, gateway.sent.size());
        assertEquals(java.util.List.of(Balancer.Why.GATEWAY), gateway.whys);
        gateway.request("read", null, 1L, 21_000);
        assertEquals(1, gateway.sent.size());
    }

    /** Answers that may lie unread don't make hosts look silent; those that should have been read do. */
    @ParameterizedTest
    @CsvSource({"0,true", "3000000,false"})
    void whatIsUnreadIsNotSilence(long behind, boolean silent) {
        Gateway gateway = new Gateway().start(1);
        warmUp(gateway, 100, 20_000);
        for (int i = 0; i < 5; i++) {
            gateway.request("read", null, 100L + i, 60_000_000);
        }
        gateway.module.own(gateway.now, 0, behind);
        gateway.advance(2_000_000);
        assertEquals(!silent, gateway.probes.isEmpty(), "who is silent is probed");
    }

    /** Where no probes are allowed, a fleet that was silent for a while is tried again, a little at first; nothing else would ever
        tell that it is back. */
    @Test
    void withoutProbesWhoIsDownIsTriedAgain() {
        Gateway gateway = new Gateway();
        gateway.probing = false;
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

    /** Clients that leave while the gateway itself is late say nothing of hosts; else they do. */
    @ParameterizedTest
    @CsvSource({"0,true", "400000,false"})
    void whoLeavesALateGatewayDoesNotMakeHostsSilent(long own, boolean silent) {
        Gateway gateway = new Gateway().start(1);
        warmUp(gateway, 100, 20_000);
        for (int i = 0; i < 30; i++) {
            long id = gateway.request("read", null, 100L + i, 60_000_000);
            gateway.advance(100_000);
            gateway.module.own(gateway.now, 0, own);
            gateway.module.departed(gateway.now, id);
        }
        assertEquals(!silent, gateway.probes.isEmpty(), "who is silent is probed");
    }
}
