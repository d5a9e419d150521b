package mastdrift.distribution;

import static mastdrift.distribution.TestChanges.requireApplied;
import static mastdrift.distribution.TestChanges.put;
import static mastdrift.distribution.SimulatedNetwork.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SubscriberTest {

    private static void assertSameRevision(SimulatedNetwork network, Publisher machine, Subscriber gateway) {
        assertEquals(machine.table().revision(), gateway.table().revision(), () -> network.events.toString());
    }

    /**
     * Deltas are lost, duplicated, reordered, and cut off for ten seconds: the last one is present soon after, by
     * deltas alone.
     */
    @Test
    void lostDuplicatedAndReorderedDeltasLeadToTheSameTable() {
        SimulatedNetwork network = new SimulatedNetwork();
        Publisher machine = network.addMachine("a", TestChanges.table(100));
        Subscriber gateway = network.addGateway("g", machine.table(), "a");
        Random random = new Random(5);
        for (SimulatedNetwork.DeliveryRule rule : List.<SimulatedNetwork.DeliveryRule>of((from, to, message) -> !(message instanceof Message.Deltas) || random.nextInt(3) > 0,
                (from, to, message) -> random.nextInt(3) > 0, (from, to, message) -> false, (from, to, message) -> true)) {
            network.deliveryRule = rule;
            network.copies = random.nextBoolean() ? 1 : 2;
            for (int i = 0; i < 40; i++) {
                network.publishChange(machine, "r" + i % 7, "v" + random.nextInt());
                network.advance(250_000);
            }
            network.deliveryRule = (from, to, message) -> true;
            network.advance(4 * SECOND_MICROS);
            assertSameRevision(network, machine, gateway);
        }
        List<Delta> reversed = new ArrayList<>();
        Table before = machine.table();
        network.deliveryRule = (from, to, message) -> !(message instanceof Message.Deltas);
        for (int i = 0; i < 9; i++) {
            reversed.add(0, network.publishChange(machine, "t", "v" + i));
        }
        reversed.forEach(each -> gateway.received(network.now, "a", new Message.Deltas(List.of(each))));
        assertEquals(before.revision().number() + 1, gateway.table().revision().number(), "only the first delta fits, which arrived last");
        network.deliveryRule = (from, to, message) -> true;
        network.advance(4 * SECOND_MICROS);
        assertSameRevision(network, machine, gateway);
        assertEquals(List.of(), network.messagesTo("g", Message.SnapshotNeeded.class));
    }

    /**
     * A message with duplicate, missing, forked and corrupted deltas anywhere has the same result, and the same reason,
     * as its deltas would have one by one; those that fit are applied at once.
     */
    @Property(tries = 300)
    void aMessageOfDeltasHasTheSameResultAsOneByOne(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedNetwork network = new SimulatedNetwork();
        Table initial = TestChanges.table(60);
        network.addMachine("a", initial);
        Subscriber gateway = network.addGateway("g", initial, "a");
        List<Delta> deltas = new ArrayList<>();
        Table latest = initial;
        for (int i = 0; i < 12; i++) {
            Outcome.Applied applied = requireApplied(latest.apply(latest.revision().number() + 1, TestChanges.of("c" + i, put("r" + random.nextInt(5), "v" + random.nextInt()))));
            latest = applied.table();
            Delta delta = applied.delta();
            Revision to = delta.to();
            switch (random.nextInt(12)) {
                case 0 -> { }  // lost
                case 1 -> deltas.addAll(List.of(delta, delta));
                case 2 -> deltas.add(new Delta(delta.from(), to, List.of(new Resource(ResourceKind.ROUTE, "r1", to.number(), TestChanges.bytes("spoilt"))), delta.deletes()));
                case 3 -> deltas.addAll(List.of(delta, new Delta(delta.from(), new Revision(to.epoch(), to.number(), to.high() + 1, to.low()), delta.upserts(), delta.deletes())));
                case 4 -> deltas.add(new Delta(delta.from(), new Revision(to.epoch() + 1, to.number(), to.high(), to.low()), delta.upserts(), delta.deletes()));
                default -> deltas.add(delta);
            }
        }
        Table expected = initial;
        String problem = null;
        boolean gap = false;
        for (int i = 0; i < deltas.size() && problem == null && !gap; i++) {
            Delta each = deltas.get(i);
            Revision revision = expected.revision();
            if (each.to().isForkOf(revision)) {
                problem = "expected " + revision + ", found " + each.to();
            } else if (each.to().isAfter(revision) && (each.from() != revision.number() || each.to().epoch() != revision.epoch())) {
                gap = true;
            } else if (each.to().isAfter(revision)) {
                try {
                    expected = expected.applyDelta(each);
                } catch (MismatchException e) {
                    problem = e.getMessage();
                }
            }
        }
        network.events.clear();
        gateway.received(network.now, "a", new Message.Deltas(deltas));
        assertEquals(expected.revision(), gateway.table().revision());
        List<String> events = new ArrayList<>();
        if (expected != initial) {
            events.add("g takes " + expected.revision().number());
        }
        if (problem != null) {
            events.add("g config_forked a: " + problem);
        }
        assertEquals(events, network.events);
        assertEquals(problem != null, !network.messagesTo("a", Message.Fetch.class).isEmpty(), "the state of the only machine is fetched");
        long subscribesBefore = network.messagesTo("a", Message.Subscribe.class).size();
        network.deliveryRule = (from, to, message) -> false;
        network.advance(SECOND_MICROS);
        assertEquals(gap, network.messagesTo("a", Message.Subscribe.class).size() > subscribesBefore, "missing deltas are requested");
    }

    /**
     * Whatever a machine sends of an older number or epoch, the table does not go back; and a machine that stays behind
     * is left.
     */
    @Test
    void olderRevisionsAreIgnored() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table old = TestChanges.table(2_000);
        Table before = requireApplied(old.apply(old.revision().number() + 1, TestChanges.of("c", put("r", "1")))).table().withEpoch(2);
        Table current = requireApplied(before.apply(1, TestChanges.of("c", put("r", "2")))).table();
        network.addMachine("a", before);
        Subscriber gateway = network.addGateway("g", current, "a");
        network.advance(SECOND_MICROS);
        for (Table older : List.of(old, before)) {
            Revision revision = older.revision();
            List<Message.Shard> shards = IntStream.range(0, Table.SHARDS).mapToObj(i -> new Message.Shard(i, older.shard(i))).toList();
            for (Message each : List.of(new Message.Heartbeat(revision), new Message.SnapshotNeeded(revision, "x"), new Message.SnapshotNeeded(revision, "forked: x"),
                    new Message.SnapshotChunk(revision, shards, true), new Message.Deltas(List.of(new Delta(0, revision, List.of(), List.of()))))) {
                gateway.received(network.now, "a", each);
                assertSame(current, gateway.table());
                assertEquals(List.of(), network.messagesTo("a", Message.Fetch.class), "nothing is fetched");
            }
        }
        gateway.received(network.now, "a", new Message.SnapshotNeeded(new Revision(2, 7, 0, 0), "announces a later revision that it does not have"));
        assertEquals(1, network.messagesTo("a", Message.Fetch.class).size());
        network.advance(2 * SECOND_MICROS);
        assertSame(current, gateway.table());
        assertEquals(List.of(before.revision()), network.messagesTo("g", Message.SnapshotChunk.class).stream().map(Message.SnapshotChunk::revision).distinct().toList());
        network.addMachine("b", current);
        gateway.setMachines(network.now, List.of(new ControlMachine("a", "z-1"), new ControlMachine("b", "z-1")));
        network.advance(8 * SECOND_MICROS);
        assertEquals("b", gateway.currentMachine(), network.events::toString);
    }

    /**
     * A machine is frozen for ten seconds, and its subscriber fails over. When it resumes it believes itself current; a
     * subscriber that comes to it with a later revision does not go back, and leaves it.
     */
    @Test
    void aMachineThatResumesWithAnOldTableDoesNotMoveSubscribersBack() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table table = TestChanges.table(50);
        network.addMachine("a", table);
        network.addMachine("b", table);
        Subscriber gateway = network.addGateway("g", table, "a", "b");
        network.advance(3 * SECOND_MICROS);
        String frozen = gateway.currentMachine();
        String other = frozen.equals("a") ? "b" : "a";
        network.frozen.add(frozen);
        network.advance(SECOND_MICROS);
        Publisher healthy = network.machines.get(other);
        network.publishChange(healthy, "r", "new");
        network.advance(7 * SECOND_MICROS);
        assertSameRevision(network, healthy, gateway);
        assertEquals(other, gateway.currentMachine());
        network.advance(2 * SECOND_MICROS);
        network.frozen.clear();
        network.stopMachine(other);
        network.advance(5 * SECOND_MICROS);
        assertEquals(frozen, gateway.currentMachine());
        assertEquals(healthy.table().revision(), gateway.table().revision(), "not back to the revision of the resumed machine");
        network.machines.put(other, healthy);
        network.advance(6 * SECOND_MICROS);
        assertEquals(other, gateway.currentMachine());
        assertTrue(network.events.stream().anyMatch(each -> each.startsWith("g config_behind " + frozen)), network.events.toString());
    }

    /**
     * The machine stops during a snapshot: the shards received are not fetched again from the next one, which has a
     * later revision by then.
     */
    @Test
    void anInterruptedSnapshotContinuesAtAnotherMachineWithoutRefetching() {
        SimulatedNetwork network = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND_MICROS, 8, 4_096, 1 << 20, 20 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 4 << 10));
        Table table = TestChanges.table(5_000);
        network.addMachine("a", table);
        Publisher other = network.addMachine("b", table);
        Subscriber gateway = network.addGateway("g", Table.empty(1), "a", "b");
        assertFalse(gateway.ready());
        while (network.messagesTo("g", Message.SnapshotChunk.class).size() < 40) {
            network.advance(SimulatedNetwork.STEP_MICROS);
        }
        if (gateway.currentMachine().equals("b")) {
            other = network.machines.get("a");
        }
        network.stopMachine(gateway.currentMachine());
        network.publishChange(other, "resource-4", "changed");
        network.advance(5 * SECOND_MICROS);
        assertSameRevision(network, other, gateway);
        assertTrue(gateway.ready());
        long nonEmptyShards = IntStream.range(0, Table.SHARDS).filter(i -> !table.shard(i).isEmpty()).count();
        List<Message.SnapshotChunk> chunks = network.messagesTo("g", Message.SnapshotChunk.class);
        long sentShards = chunks.stream().mapToLong(each -> each.shards().size()).sum();
        long maxShardsPerChunk = chunks.stream().mapToLong(each -> each.shards().size()).max().orElse(0);
        assertTrue(sentShards <= nonEmptyShards + 1 + SubscriberSettings.DEFAULTS.creditChunks() * maxShardsPerChunk, sentShards + " shards were sent of " + nonEmptyShards + ", beyond those in flight and the changed one");
        assertEquals(2, network.messagesTo("a", Message.Fetch.class).size() + network.messagesTo("b", Message.Fetch.class).size());
    }

    /** A lost chunk is requested again, and an invalid one leads to a failover. */
    @Test
    void aLostChunkIsRequestedAgainAndAnInvalidOneCausesFailover() {
        SimulatedNetwork network = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND_MICROS, 8, 4_096, 1 << 20, 20 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 8 << 10));
        Publisher machine = network.addMachine("a", TestChanges.table(3_000));
        int[] count = new int[1];
        network.deliveryRule = (from, to, message) -> !(message instanceof Message.SnapshotChunk) || ++count[0] % 9 != 0;
        Subscriber gateway = network.addGateway("g", Table.empty(1), "a");
        network.advance(10 * SECOND_MICROS);
        assertSameRevision(network, machine, gateway);
        Subscriber second = network.addGateway("h", Table.empty(1), "a");
        network.deliveryRule = (from, to, message) -> !(message instanceof Message.SnapshotChunk) || !to.equals("h");
        network.advance(200_000);
        second.received(network.now, "a", new Message.SnapshotChunk(machine.table().revision(), List.of(new Message.Shard(1, machine.table().shard(0))), true));
        assertTrue(network.events.stream().anyMatch(each -> each.startsWith("h config_bad_snapshot a: shard 1: expected its own resources, found ")), network.events.toString());
        network.deliveryRule = (from, to, message) -> true;
        network.advance(5 * SECOND_MICROS);
        assertSameRevision(network, machine, second);
    }

    /**
     * One machine of two has a different state at the same number: this is reported, the other one is asked, and
     * nothing changes here. If both have it, theirs is taken.
     */
    @Test
    void oneForkedMachineChangesNothingButTwoThatAgreeAreFollowed() {
        Table table = TestChanges.table(50);
        Table forked = requireApplied(TestChanges.table(40).apply(table.revision().number() + 1, TestChanges.of("f", put("f", "1")))).table();
        Table agreed = requireApplied(table.apply(table.revision().number() + 1, TestChanges.of("c", put("r", "1")))).table();
        assertTrue(agreed.revision().isForkOf(forked.revision()));
        for (String forkedMachine : List.of("a", "b")) {
            SimulatedNetwork network = new SimulatedNetwork();
            network.addMachine("a", forkedMachine.equals("a") ? forked : agreed);
            network.addMachine("b", forkedMachine.equals("b") ? forked : agreed);
            Subscriber gateway = network.addGateway("g", agreed, "a", "b");
            boolean first = gateway.machinesByPreference().get(0).equals(forkedMachine);
            network.advance(5 * SECOND_MICROS);
            assertSame(agreed, gateway.table());
            assertNotEquals(forkedMachine, gateway.currentMachine());
            assertEquals(first, network.events.stream().anyMatch(each -> each.startsWith("g config_forked " + forkedMachine)), network.events.toString());
        }
        SimulatedNetwork network = new SimulatedNetwork();
        network.addMachine("a", agreed);
        network.addMachine("b", agreed);
        Subscriber gateway = network.addGateway("g", forked, "a", "b");
        network.advance(5 * SECOND_MICROS);
        assertEquals(agreed.revision(), gateway.table().revision(), network.events::toString);
        assertEquals(2, network.events.stream().filter(each -> each.startsWith("g config_forked")).count());
        assertTrue(network.events.contains("g takes " + agreed.revision().number() + " by a snapshot"));
        SimulatedNetwork singleMachine = new SimulatedNetwork();
        singleMachine.addMachine("a", agreed);
        Subscriber subscriber = singleMachine.addGateway("g", forked, "a");
        singleMachine.advance(5 * SECOND_MICROS);
        assertEquals(agreed.revision(), subscriber.table().revision(), "the state of the only machine is taken");
    }

    /**
     * Cut off for an hour in which 625 changes were made: it catches up by deltas within seconds, and meanwhile it is
     * ready with the table that it has.
     */
    @Test
    void anHourOfDisconnectionIsCaughtUpByDeltas() {
        SimulatedNetwork network = new SimulatedNetwork();
        Publisher machine = network.addMachine("a", TestChanges.table(2_000));
        Subscriber gateway = network.addGateway("g", machine.table(), "a");
        network.advance(SECOND_MICROS);
        network.deliveryRule = (from, to, message) -> false;
        for (int i = 0; i < 625; i++) {
            network.publishChange(machine, "r" + i % 100, "x".repeat(100) + i);
            network.advance(5_760_000 / 20);  // an hour's changes in 3 min: only their number matters here
        }
        assertTrue(gateway.ready());
        assertNotEquals(0, gateway.disconnectedSince());
        network.sent.clear();
        network.deliveryRule = (from, to, message) -> true;
        long before = network.now;
        while (!gateway.table().revision().equals(machine.table().revision())) {
            network.advance(SimulatedNetwork.STEP_MICROS);
            assertTrue(network.now - before < 8 * SECOND_MICROS);
        }
        assertEquals(0, gateway.disconnectedSince());
        assertEquals(List.of(), network.messagesTo("g", Message.SnapshotNeeded.class));
        assertTrue(network.messagesTo("g", Message.Deltas.class).size() <= 6, "few, large messages");
    }

    /** A retry delay is observed, with a random spread. */
    @Test
    void retryDelayIsObservedAndSpread() {
        SimulatedNetwork network = new SimulatedNetwork();
        network.addMachine("a", TestChanges.table(100));
        TreeSet<Long> fetchTimes = new TreeSet<>();
        for (int i = 0; i < 20; i++) {
            Subscriber each = network.addGateway("g" + i, Table.empty(1), "a");
            each.received(network.now, "a", new Message.SnapshotNeeded(network.machines.get("a").table().revision(), "x"));
            each.received(network.now, "a", new Message.RetryAfter(3_000));
            long fetchAt = IntStream.range(1, 2_000).mapToLong(step -> network.now + step * SimulatedNetwork.STEP_MICROS).filter(at -> {
                int before = network.messagesTo("a", Message.Fetch.class).size();
                each.received(at, "a", new Message.Heartbeat(network.machines.get("a").table().revision()));
                return network.messagesTo("a", Message.Fetch.class).size() > before;
            }).findFirst().orElseThrow();
            fetchTimes.add(fetchAt);
        }
        assertTrue(fetchTimes.first() >= network.now + 3 * SECOND_MICROS && fetchTimes.last() <= network.now + 4 * SECOND_MICROS, fetchTimes.toString());
        assertTrue(fetchTimes.size() >= 12, "spread: " + fetchTimes);
    }

    /**
     * The order is zone, region, others; uniform within each; and removing a machine moves only its own subscribers.
     */
    @Test
    void subscribersSpreadOverMachinesByProximity() {
        List<ControlMachine> machines = new ArrayList<>(IntStream.range(0, 12).mapToObj(i -> new ControlMachine("m" + i, "eu-" + i / 4)).toList());
        machines.add(new ControlMachine("far", "us-1"));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 4_100; i++) {
            Subscriber each = subscriber("g" + i, "eu-1", machines);
            List<String> order = each.machinesByPreference();
            assertTrue(List.of("m4", "m5", "m6", "m7").containsAll(order.subList(0, 4)), order.toString());
            assertEquals("far", order.get(12));
            counts.merge(order.get(0), 1, Integer::sum);
            List<String> fewer = subscriber("g" + i, "eu-1", machines.stream().filter(m -> !m.name().equals("m5")).toList()).machinesByPreference();
            assertEquals(order.stream().filter(m -> !m.equals("m5")).toList(), fewer);
        }
        counts.forEach((machine, count) -> assertTrue(count > 900 && count < 1_150, counts.toString()));
    }

    private static Subscriber subscriber(String name, String zone, List<ControlMachine> machines) {
        Subscriber subscriber = new Subscriber(name, zone, Table.empty(1), SubscriberSettings.DEFAULTS, name.hashCode(), new Subscriber.Actions() {
            @Override
            public void send(String to, Message message) {
                // no machine exists
            }

            @Override
            public void disconnect(String machine) {
                // no connection exists
            }

            @Override
            public void table(Table next, List<Delta> deltas) {
                throw new AssertionError("no message was received");
            }

            @Override
            public void event(String event, String text) {
                // ignored
            }
        });
        subscriber.setMachines(SECOND_MICROS, machines);
        return subscriber;
    }

    /**
     * The machine of 370 subscribers stops: they contact another one within half a second, and back off up to two
     * seconds while no machine answers.
     */
    @Test
    void reconnectsAreSpread() {
        List<ControlMachine> machines = List.of(new ControlMachine("a", "z"), new ControlMachine("b", "z"));
        int[] halves = new int[2];
        for (int i = 0; i < 370; i++) {
            Subscriber each = subscriber("g" + i, "z", machines);
            each.outboundClosed(SECOND_MICROS, each.currentMachine());
            assertTrue(each.dueAt() >= SECOND_MICROS && each.dueAt() <= 1_500_000);
            halves[each.dueAt() < 1_250_000 ? 0 : 1]++;
            long now = each.dueAt();
            for (int again = 0; again < 10; again++) {
                each.tick(now);
                each.outboundClosed(now, each.currentMachine());
                assertTrue(each.dueAt() - now <= 2 * SECOND_MICROS);
                now = each.dueAt();
            }
        }
        assertTrue(halves[0] > 140 && halves[1] > 140, halves[0] + " and " + halves[1]);
    }

    /**
     * A process that was paused for ten seconds first reads the messages that arrived meanwhile; only then does a
     * machine count as silent.
     */
    @Test
    void aPauseOfTheProcessDoesNotCountAsSilenceOfTheMachine() {
        SimulatedNetwork network = new SimulatedNetwork();
        network.addMachine("a", TestChanges.table(10));
        network.addMachine("b", TestChanges.table(10));
        Subscriber gateway = network.addGateway("g", TestChanges.table(10), "a", "b");
        network.advance(SECOND_MICROS);
        String machine = gateway.currentMachine();
        network.frozen.add("g");
        network.advance(10 * SECOND_MICROS);
        network.frozen.clear();
        gateway.tick(network.now);
        network.advance(20 * SECOND_MICROS);
        assertEquals(machine, gateway.currentMachine());
        assertEquals(List.of(), network.events);
    }

    /**
     * After its preferred machine is back, a subscriber returns to it within five to ten minutes, so that load does not
     * stay where it was moved by a failover.
     */
    @Test
    void itReturnsToItsPreferredMachine() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table table = TestChanges.table(10);
        network.addMachine("a", table);
        network.addMachine("b", table);
        Subscriber gateway = network.addGateway("g", table, "a", "b");
        network.advance(SECOND_MICROS);
        String first = gateway.currentMachine();
        Publisher machine = network.machines.get(first);
        network.stopMachine(first);
        network.advance(5 * SECOND_MICROS);
        assertNotEquals(first, gateway.currentMachine());
        network.machines.put(first, machine);
        network.advance(270 * SECOND_MICROS);
        assertNotEquals(first, gateway.currentMachine());
        network.advance(340 * SECOND_MICROS);
        assertEquals(first, gateway.currentMachine());
    }

    /** A later epoch starts with the same resources: nothing but its revision is fetched. */
    @Test
    void aLaterEpochWithTheSameResourcesTransfersNoShards() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table table = TestChanges.table(3_000);
        Publisher machine = network.addMachine("a", table.withEpoch(2));
        Subscriber gateway = network.addGateway("g", table, "a");
        network.advance(2 * SECOND_MICROS);
        assertSameRevision(network, machine, gateway);
        assertEquals(0, network.messagesTo("g", Message.SnapshotChunk.class).stream().mapToInt(each -> each.shards().size()).sum());
    }

    @Test
    void settingsThatAreNotPositiveAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new SubscriberSettings(0, 1, 1, 1, 1, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new PublisherSettings(1, 1, 0, 1, 1, 1, 1, 1, 1));
    }
}
