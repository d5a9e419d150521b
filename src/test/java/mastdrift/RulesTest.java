package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Group;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Repeat;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Rules 1 to 3 in edge cases, and under long random event sequences. */
class RulesTest {

    private static final List<Outcome> FAILURES = List.of(Outcome.ERROR, Outcome.SHED, Outcome.EXPIRED,
            Outcome.DIAL_FAILED, Outcome.DROPPED, Outcome.REVOKED, Outcome.UNUSED);

    private static FakeGateway gateway(Repeat repeat, Group group) {
        FakeGateway gateway = new FakeGateway();
        gateway.repeat = repeat;
        gateway.group = group;
        return gateway.start(16);
    }

    @ParameterizedTest
    @EnumSource(value = Outcome.class, names = "DELIVERED", mode = EnumSource.Mode.EXCLUDE)
    void unsafeRequestIsSentAgainOrRefusedOnlyIfItNeverRan(Outcome outcome) {
        FakeGateway gateway = gateway(Repeat.UNSAFE, Group.ALL);
        long id = gateway.request(5L);
        gateway.resolve(gateway.lastAttempt(), outcome);
        if (outcome.neverRan()) {
            assertTrue(gateway.attemptsOf(id).size() == 2 || gateway.refused.contains("" + id));
        } else {
            assertEquals(1, gateway.attemptsOf(id).size());
            assertEquals(List.of("" + id), gateway.failed);
        }
    }

    @ParameterizedTest
    @EnumSource(Group.class)
    void keyedRequestThatMayHaveRunStaysInItsGroup(Group group) {
        for (long key = 0; key < 60; key++) {
            FakeGateway gateway = gateway(Repeat.KEYED, group);
            long id = gateway.request(key);
            gateway.resolve(gateway.lastAttempt(), Outcome.DROPPED);
            List<FakeGateway.SentAttempt> sends = gateway.attemptsOf(id);
            if (sends.size() == 2) {
                assertTrue(sameGroup(group, sends.get(0).address(), sends.get(1).address()));
            } else {
                assertEquals(group == Group.ALL ? 0 : 1, gateway.failed.size());
            }
        }
    }

    @Test
    void keyedRequestIsNotRepeatedAfterTheDedupWindow() {
        long maxSendDelay = 150_000;  // longest delay of a gateway between reading its clock and the first byte
        for (long late : new long[] {-maxSendDelay - 1_000, -maxSendDelay, 0}) {
            FakeGateway gateway = new FakeGateway();
            gateway.repeat = Repeat.KEYED;
            gateway.dedupWindow = 300_000;
            gateway.start(16);
            long id = gateway.request(3L);
            gateway.advance(300_000 + late);
            assertEquals(gateway.now + 1_000_000 - 300_000 - late, gateway.leaveBy.get(0),
                    "the first try has all of its time");
            gateway.resolve(gateway.lastAttempt(), Outcome.ERROR);
            assertEquals(late < -maxSendDelay ? 2 : 1, gateway.attemptsOf(id).size(), "at " + late);
            if (late < -maxSendDelay) {
                assertEquals(gateway.sent.get(0).sentAt() + 300_000 - maxSendDelay, gateway.leaveBy.get(1),
                        "the repeat leaves within the window, or never");
            }
        }
    }

    @Test
    void attemptTimesOutWithTheTryAndIsAnsweredAtOnce() {
        FakeGateway gateway = gateway(Repeat.SAFE, Group.ALL);
        long id = gateway.request("read", null, 1L, 400_000);
        assertEquals(400_000, gateway.lastAttempt().timeout());
        gateway.advance(400_000);
        gateway.resolve(gateway.lastAttempt(), Outcome.EXPIRED);
        assertEquals(1, gateway.attemptsOf(id).size());
        assertTrue(gateway.isAnswered(id));
    }

    @Test
    void drainingOrRemovedHostsGetNoNewRequests() {
        FakeGateway gateway = gateway(Repeat.SAFE, Group.ALL);
        for (long key = 0; key < 50; key++) {
            gateway.request(key);
            gateway.resolve(gateway.lastAttempt(), Outcome.DELIVERED);
        }
        gateway.deliverHosts(ListForm.DELTA, FakeGateway.host(1, Health.LEAVING, 0),
                FakeGateway.host(2, Health.GONE, 0));
        Host[] rest = new Host[13];
        for (int i = 0; i < rest.length; i++) {
            rest[i] = i == 1 ? FakeGateway.host(1, Health.LEAVING, 0) : FakeGateway.upHost(i + (i >= 2 ? 1 : 0), 0);
        }
        int before = gateway.sent.size();
        for (long key = 0; key < 50; key++) {
            gateway.request(key);
        }
        gateway.deliverHosts(ListForm.FULL, rest);
        for (long key = 0; key < 50; key++) {
            gateway.request(key);
        }
        List<String> used = gateway.sent.stream().skip(before).map(FakeGateway.SentAttempt::address).toList();
        assertTrue(used.size() > 80 && !used.contains("h1") && !used.contains("h2"));
        List<String> afterFull = used.subList(50, used.size());
        assertTrue(!afterFull.contains("h14") && !afterFull.contains("h15"));
    }

    private static boolean sameGroup(Group group, String one, String other) {
        Host a = FakeGateway.upHost(Integer.parseInt(one.substring(1)), 0);
        Host b = FakeGateway.upHost(Integer.parseInt(other.substring(1)), 0);
        return group == Group.ALL || group == Group.ZONE && a.zone().equals(b.zone())
                || group == Group.CELL && a.cell() == b.cell();
    }

    /** Long random sequences of legal events; after each event the test checks the rules by its own records. */
    @Test
    void randomEventSequencesKeepTheRules() {
        for (int seed = 0; seed < 60; seed++) {
            new Sequence(seed).run(400);
        }
    }

    @Test
    void sameEventsGiveTheSameActionsWhenInstancesAreInterleaved() {
        Sequence alone = new Sequence(7);
        alone.run(400);
        Sequence one = new Sequence(7);
        Sequence two = new Sequence(8);
        for (int i = 0; i < 400; i++) {
            one.step();
            two.step();
        }
        assertEquals(alone.gateway.sent, one.gateway.sent);
        assertEquals(alone.gateway.refused, one.gateway.refused);
        assertEquals(alone.gateway.failed, one.gateway.failed);
    }

    /** Draws legal events; records for each request what was sent and how it ended. */
    private static final class Sequence {
        private final Random random;
        private final FakeGateway gateway = new FakeGateway();
        private final Map<Long, Map<Integer, Outcome>> outcomes = new HashMap<>();
        private final Set<Long> requested = new LinkedHashSet<>();
        private final Set<Long> finished = new HashSet<>();
        private final Set<String> draining = new HashSet<>();
        private int checkedAttempts;

        Sequence(int seed) {
            random = new Random(seed);
            gateway.repeat = Repeat.values()[seed % 3];
            gateway.group = Group.values()[seed / 3 % 3];
            gateway.parallelTries = seed % 2 == 0;
            gateway.cancel = seed % 4 < 2;
            gateway.maxAttempts = 1 + seed % 4;
            gateway.start(8);
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
                step();
            }
        }

        void step() {
            int kind = random.nextInt(11);
            if (kind < 4) {
                requested.add(gateway.request("read", null, (long) random.nextInt(30),
                        200_000 + random.nextInt(800_000)));
            } else if (kind < 8) {
                resolveOne();
            } else if (kind == 10) {
                disconnectOne();
            } else if (kind == 8) {
                gateway.advance(random.nextInt(100_000));
            } else {
                int i = random.nextInt(8);
                Health health = random.nextInt(3) == 0 ? Health.LEAVING : Health.UP;
                gateway.deliverHosts(ListForm.DELTA,
                        FakeGateway.host(i, health, health == Health.UP ? gateway.now : 0));
                if (health == Health.UP) {
                    draining.remove("h" + i);
                } else {
                    draining.add("h" + i);
                }
            }
            check();
        }

        private void resolveOne() {
            List<FakeGateway.SentAttempt> out = gateway.sent.stream()
                    .filter(s -> !outcomes.getOrDefault(s.id(), Map.of()).containsKey(s.attempt())).toList();
            if (out.isEmpty()) {
                return;
            }
            FakeGateway.SentAttempt send = out.get(random.nextInt(out.size()));
            boolean over = finished.contains(send.id());
            Outcome outcome = over || random.nextInt(2) == 0 ? FAILURES.get(random.nextInt(7)) : Outcome.DELIVERED;
            outcomes.computeIfAbsent(send.id(), k -> new HashMap<>()).put(send.attempt(), outcome);
            if (outcome == Outcome.DELIVERED) {
                finished.add(send.id());
            }
            gateway.module.resolved(gateway.now, send.id(), send.attempt(), send.address(), outcome,
                    gateway.now - send.sentAt(), over || outcome == Outcome.DELIVERED, FakeGateway.NO_REPORT);
        }

        /** A client disconnects: from then on nothing of its request may be sent. */
        private void disconnectOne() {
            List<Long> open = requested.stream().filter(id -> !finished.contains(id)).toList();
            if (!open.isEmpty()) {
                long id = open.get(random.nextInt(open.size()));
                finished.add(id);
                gateway.module.departed(gateway.now, id);
            }
        }

        private void check() {
            for (; checkedAttempts < gateway.sent.size(); checkedAttempts++) {
                FakeGateway.SentAttempt send = gateway.sent.get(checkedAttempts);
                assertTrue(!finished.contains(send.id()), "sent after the request ended");
                assertTrue(!draining.contains(send.address()), "sent to a draining host");
                assertTrue(send.attempt() < gateway.maxAttempts, "too many attempts");
                checkRepeat(send);
            }
            gateway.refused.forEach(id -> finished.add(Long.valueOf(id)));
            Set<String> answers = new HashSet<>(gateway.refused);
            answers.addAll(gateway.failed);
            assertEquals(gateway.refused.size() + gateway.failed.size(), answers.size(), "answered twice");
            gateway.failed.forEach(id -> finished.add(Long.valueOf(id)));
            gateway.refused.forEach(id -> checkRefusal(Long.parseLong(id)));
            Set<Long> out = new HashSet<>();
            gateway.sent.stream().filter(s -> !outcomes.getOrDefault(s.id(), Map.of()).containsKey(s.attempt()))
                    .forEach(s -> out.add(s.id()));
            requested.forEach(id -> assertTrue(out.contains(id) || finished.contains(id),
                    "a request is pending in the module without an outstanding attempt"));
        }

        private void checkRepeat(FakeGateway.SentAttempt send) {
            for (FakeGateway.SentAttempt before : gateway.attemptsOf(send.id()).subList(0, send.attempt())) {
                Outcome outcome = outcomes.getOrDefault(send.id(), Map.of()).get(before.attempt());
                assertTrue(outcome != null || gateway.parallelTries, "parallel attempts");
                if (outcome != null && outcome.neverRan() || gateway.repeat == Repeat.SAFE) {
                    continue;
                }
                assertTrue(gateway.repeat == Repeat.KEYED && send.sentAt() - before.sentAt() < gateway.dedupWindow
                        && sameGroup(gateway.group, before.address(), send.address()), "unsafe repeat");
            }
        }

        private void checkRefusal(long id) {
            boolean harmless = gateway.repeat == Repeat.SAFE
                    || gateway.repeat == Repeat.KEYED && gateway.group == Group.ALL
                    || outcomes.getOrDefault(id, Map.of()).values().stream().allMatch(Outcome::neverRan);
            assertTrue(harmless, "refused though it may have run");
        }
    }
}
