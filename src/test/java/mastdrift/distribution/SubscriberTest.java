package mastdrift.distribution;

import static mastdrift.distribution.TestChanges.applied;
import static mastdrift.distribution.TestChanges.put;
import static mastdrift.distribution.SimulatedNetwork.SECOND;
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

    private static void together(SimulatedNetwork lines, Publisher machine, Subscriber gateway) {
        assertEquals(machine.table().revision(), gateway.table().revision(), () -> lines.events.toString());
    }

    /** Lost one by one, all doubled, turned round, and cut off for ten seconds: the last is there soon after, by deltas alone. */
    @Test
    void deltasLostDoubledOutOfOrderAndCutEndInTheSameTable() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Publisher machine = lines.machine("a", TestChanges.table(100));
        Subscriber gateway = lines.gateway("g", machine.table(), "a");
        Random random = new Random(5);
        for (SimulatedNetwork.DeliveryRule fate : List.<SimulatedNetwork.DeliveryRule>of((from, to, message) -> !(message instanceof Message.Deltas) || random.nextInt(3) > 0,
                (from, to, message) -> random.nextInt(3) > 0, (from, to, message) -> false, (from, to, message) -> true)) {
            lines.fate = fate;
            lines.times = random.nextBoolean() ? 1 : 2;
            for (int i = 0; i < 40; i++) {
                lines.change(machine, "r" + i % 7, "v" + random.nextInt());
                lines.run(250_000);
            }
            lines.fate = (from, to, message) -> true;
            lines.run(4 * SECOND);
            together(lines, machine, gateway);
        }
        List<Delta> turned = new ArrayList<>();
        Table before = machine.table();
        lines.fate = (from, to, message) -> !(message instanceof Message.Deltas);
        for (int i = 0; i < 9; i++) {
            turned.add(0, lines.change(machine, "t", "v" + i));
        }
        turned.forEach(each -> gateway.received(lines.now, "a", new Message.Deltas(List.of(each))));
        assertEquals(before.revision().number() + 1, gateway.table().revision().number(), "only the first fits, which came last");
        lines.fate = (from, to, message) -> true;
        lines.run(4 * SECOND);
        together(lines, machine, gateway);
        assertEquals(List.of(), lines.to("g", Message.SnapshotNeeded.class));
    }

    /** A message with repeated, missing, forked and spoilt deltas anywhere ends in the table, by the same reason, that its deltas would give one by one; what fits is taken in one piece. */
    @Property(tries = 300)
    void aMessageOfDeltasDoesAsOneByOneWould(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedNetwork lines = new SimulatedNetwork();
        Table begin = TestChanges.table(60);
        lines.machine("a", begin);
        Subscriber gateway = lines.gateway("g", begin, "a");
        List<Delta> deltas = new ArrayList<>();
        Table end = begin;
        for (int i = 0; i < 12; i++) {
            Outcome.Applied applied = applied(end.apply(end.revision().number() + 1, TestChanges.of("c" + i, put("r" + random.nextInt(5), "v" + random.nextInt()))));
            end = applied.table();
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
        Table expected = begin;
        String problem = null;
        boolean gap = false;
        for (int i = 0; i < deltas.size() && problem == null && !gap; i++) {
            Delta each = deltas.get(i);
            Revision have = expected.revision();
            if (each.to().forkedFrom(have)) {
                problem = "expected " + have + ", found " + each.to();
            } else if (each.to().after(have) && (each.from() != have.number() || each.to().epoch() != have.epoch())) {
                gap = true;
            } else if (each.to().after(have)) {
                try {
                    expected = expected.with(each);
                } catch (MismatchException e) {
                    problem = e.getMessage();
                }
            }
        }
        lines.events.clear();
        gateway.received(lines.now, "a", new Message.Deltas(deltas));
        assertEquals(expected.revision(), gateway.table().revision());
        List<String> events = new ArrayList<>();
        if (expected != begin) {
            events.add("g takes " + expected.revision().number());
        }
        if (problem != null) {
            events.add("g config_forked a: " + problem);
        }
        assertEquals(events, lines.events);
        assertEquals(problem != null, !lines.to("a", Message.Fetch.class).isEmpty(), "the only machine is believed");
        long asked = lines.to("a", Message.Subscribe.class).size();
        lines.fate = (from, to, message) -> false;
        lines.run(SECOND);
        assertEquals(gap, lines.to("a", Message.Subscribe.class).size() > asked, "what is missing is asked for");
    }

    /** Whatever an older machine says, of an older number or epoch, nothing is taken back; and who stays behind is left. */
    @Test
    void nothingThatIsOlderIsTaken() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table old = TestChanges.table(2_000);
        Table before = applied(old.apply(old.revision().number() + 1, TestChanges.of("c", put("r", "1")))).table().begun(2);
        Table have = applied(before.apply(1, TestChanges.of("c", put("r", "2")))).table();
        lines.machine("a", before);
        Subscriber gateway = lines.gateway("g", have, "a");
        lines.run(SECOND);
        for (Table older : List.of(old, before)) {
            Revision revision = older.revision();
            List<Message.Shard> shards = IntStream.range(0, Table.SHARDS).mapToObj(i -> new Message.Shard(i, older.shard(i))).toList();
            for (Message each : List.of(new Message.Heartbeat(revision), new Message.SnapshotNeeded(revision, "x"), new Message.SnapshotNeeded(revision, "forked: x"),
                    new Message.SnapshotChunk(revision, shards, true), new Message.Deltas(List.of(new Delta(0, revision, List.of(), List.of()))))) {
                gateway.received(lines.now, "a", each);
                assertSame(have, gateway.table());
                assertEquals(List.of(), lines.to("a", Message.Fetch.class), "nothing of it is wanted");
            }
        }
        gateway.received(lines.now, "a", new Message.SnapshotNeeded(new Revision(2, 7, 0, 0), "it promises a later one, and has it not"));
        assertEquals(1, lines.to("a", Message.Fetch.class).size());
        lines.run(2 * SECOND);
        assertSame(have, gateway.table());
        assertEquals(List.of(before.revision()), lines.to("g", Message.SnapshotChunk.class).stream().map(Message.SnapshotChunk::revision).distinct().toList());
        lines.machine("b", have);
        gateway.machines(lines.now, List.of(new ControlMachine("a", "z-1"), new ControlMachine("b", "z-1")));
        lines.run(8 * SECOND);
        assertEquals("b", gateway.machine(), lines.events::toString);
    }

    /** The machine is frozen for ten seconds: who was there is elsewhere by then. It wakes and believes itself current; who comes to it with a later revision isn't taken back, and leaves. */
    @Test
    void aMachineFrozenForTenSecondsTakesNobodyBack() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table table = TestChanges.table(50);
        lines.machine("a", table);
        lines.machine("b", table);
        Subscriber gateway = lines.gateway("g", table, "a", "b");
        lines.run(3 * SECOND);
        String frozen = gateway.machine();
        String other = frozen.equals("a") ? "b" : "a";
        lines.frozen.add(frozen);
        lines.run(SECOND);
        Publisher well = lines.machines.get(other);
        lines.change(well, "r", "new");
        lines.run(7 * SECOND);
        together(lines, well, gateway);
        assertEquals(other, gateway.machine());
        lines.run(2 * SECOND);
        lines.frozen.clear();
        lines.kill(other);
        lines.run(5 * SECOND);
        assertEquals(frozen, gateway.machine());
        assertEquals(well.table().revision(), gateway.table().revision(), "not back to what the woken one has");
        lines.machines.put(other, well);
        lines.run(6 * SECOND);
        assertEquals(other, gateway.machine());
        assertTrue(lines.events.stream().anyMatch(each -> each.startsWith("g config_behind " + frozen)), lines.events.toString());
    }

    /** The machine ends half way through a snapshot: what has come isn't fetched again from the next one, which has a later revision by then. */
    @Test
    void aSnapshotBrokenOffIsGoneOnWithElsewhereAndNothingIsFetchedTwice() {
        SimulatedNetwork lines = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND, 8, 4_096, 1 << 20, 20 * SECOND, 30 * SECOND, 10 * SECOND, 4 << 10));
        Table table = TestChanges.table(5_000);
        lines.machine("a", table);
        Publisher other = lines.machine("b", table);
        Subscriber gateway = lines.gateway("g", Table.empty(1), "a", "b");
        assertFalse(gateway.ready());
        while (lines.to("g", Message.SnapshotChunk.class).size() < 40) {
            lines.run(SimulatedNetwork.STEP);
        }
        if (gateway.machine().equals("b")) {
            other = lines.machines.get("a");
        }
        lines.kill(gateway.machine());
        lines.change(other, "resource-4", "changed");
        lines.run(5 * SECOND);
        together(lines, other, gateway);
        assertTrue(gateway.ready());
        long filled = IntStream.range(0, Table.SHARDS).filter(i -> !table.shard(i).isEmpty()).count();
        List<Message.SnapshotChunk> chunks = lines.to("g", Message.SnapshotChunk.class);
        long fetched = chunks.stream().mapToLong(each -> each.shards().size()).sum();
        long chunk = chunks.stream().mapToLong(each -> each.shards().size()).max().orElse(0);
        assertTrue(fetched <= filled + 1 + SubscriberSettings.USUAL.credit() * chunk, fetched + " shards were sent of " + filled + ", but for those under way at the end and the one that changed");
        assertEquals(2, lines.to("a", Message.Fetch.class).size() + lines.to("b", Message.Fetch.class).size());
    }

    /** A chunk that gets lost is asked for again, and one of nonsense leads elsewhere. */
    @Test
    void aChunkThatIsLostIsAskedForAgainAndOneThatIsWrongLeadsElsewhere() {
        SimulatedNetwork lines = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND, 8, 4_096, 1 << 20, 20 * SECOND, 30 * SECOND, 10 * SECOND, 8 << 10));
        Publisher machine = lines.machine("a", TestChanges.table(3_000));
        int[] count = new int[1];
        lines.fate = (from, to, message) -> !(message instanceof Message.SnapshotChunk) || ++count[0] % 9 != 0;
        Subscriber gateway = lines.gateway("g", Table.empty(1), "a");
        lines.run(10 * SECOND);
        together(lines, machine, gateway);
        Subscriber second = lines.gateway("h", Table.empty(1), "a");
        lines.fate = (from, to, message) -> !(message instanceof Message.SnapshotChunk) || !to.equals("h");
        lines.run(200_000);
        second.received(lines.now, "a", new Message.SnapshotChunk(machine.table().revision(), List.of(new Message.Shard(1, machine.table().shard(0))), true));
        assertTrue(lines.events.stream().anyMatch(each -> each.startsWith("h config_bad_snapshot a: shard 1: expected its own resources, found ")), lines.events.toString());
        lines.fate = (from, to, message) -> true;
        lines.run(5 * SECOND);
        together(lines, machine, second);
    }

    /** One machine of two has another state by the same number: it is told, the other is asked, and nothing changes here. Where both say so, theirs is taken. */
    @Test
    void oneForkedMachineChangesNothingAndTwoThatAgreeDo() {
        Table table = TestChanges.table(50);
        Table forked = applied(TestChanges.table(40).apply(table.revision().number() + 1, TestChanges.of("f", put("f", "1")))).table();
        Table right = applied(table.apply(table.revision().number() + 1, TestChanges.of("c", put("r", "1")))).table();
        assertTrue(right.revision().forkedFrom(forked.revision()));
        for (String bad : List.of("a", "b")) {
            SimulatedNetwork lines = new SimulatedNetwork();
            lines.machine("a", bad.equals("a") ? forked : right);
            lines.machine("b", bad.equals("b") ? forked : right);
            Subscriber gateway = lines.gateway("g", right, "a", "b");
            boolean first = gateway.order().get(0).equals(bad);
            lines.run(5 * SECOND);
            assertSame(right, gateway.table());
            assertNotEquals(bad, gateway.machine());
            assertEquals(first, lines.events.stream().anyMatch(each -> each.startsWith("g config_forked " + bad)), lines.events.toString());
        }
        SimulatedNetwork lines = new SimulatedNetwork();
        lines.machine("a", right);
        lines.machine("b", right);
        Subscriber gateway = lines.gateway("g", forked, "a", "b");
        lines.run(5 * SECOND);
        assertEquals(right.revision(), gateway.table().revision(), lines.events::toString);
        assertEquals(2, lines.events.stream().filter(each -> each.startsWith("g config_forked")).count());
        assertTrue(lines.events.contains("g takes " + right.revision().number() + " by a snapshot"));
        SimulatedNetwork alone = new SimulatedNetwork();
        alone.machine("a", right);
        Subscriber only = alone.gateway("g", forked, "a");
        alone.run(5 * SECOND);
        assertEquals(right.revision(), only.table().revision(), "where there is one machine, it is believed");
    }

    /** Cut off for an hour in which 625 changes were made: caught up by deltas within seconds, and who has a copy serves by it meanwhile. */
    @Test
    void anHourApartIsCaughtUpByDeltas() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Publisher machine = lines.machine("a", TestChanges.table(2_000));
        Subscriber gateway = lines.gateway("g", machine.table(), "a");
        lines.run(SECOND);
        lines.fate = (from, to, message) -> false;
        for (int i = 0; i < 625; i++) {
            lines.change(machine, "r" + i % 100, "x".repeat(100) + i);
            lines.run(5_760_000 / 20);  // an hour's changes in 3 min: the clock's time is not what counts
        }
        assertTrue(gateway.ready());
        assertNotEquals(0, gateway.aloneSince());
        lines.sent.clear();
        lines.fate = (from, to, message) -> true;
        long before = lines.now;
        while (!gateway.table().revision().equals(machine.table().revision())) {
            lines.run(SimulatedNetwork.STEP);
            assertTrue(lines.now - before < 8 * SECOND);
        }
        assertEquals(0, gateway.aloneSince());
        assertEquals(List.of(), lines.to("g", Message.SnapshotNeeded.class));
        assertTrue(lines.to("g", Message.Deltas.class).size() <= 6, "some large messages");
    }

    /** What is told to come later comes later, and not all at one moment. */
    @Test
    void laterIsHeededAndSpread() {
        SimulatedNetwork lines = new SimulatedNetwork();
        lines.machine("a", TestChanges.table(100));
        TreeSet<Long> fetched = new TreeSet<>();
        for (int i = 0; i < 20; i++) {
            Subscriber each = lines.gateway("g" + i, Table.empty(1), "a");
            each.received(lines.now, "a", new Message.SnapshotNeeded(lines.machines.get("a").table().revision(), "x"));
            each.received(lines.now, "a", new Message.RetryAfter(3_000));
            long due = IntStream.range(1, 2_000).mapToLong(step -> lines.now + step * SimulatedNetwork.STEP).filter(at -> {
                int before = lines.to("a", Message.Fetch.class).size();
                each.received(at, "a", new Message.Heartbeat(lines.machines.get("a").table().revision()));
                return lines.to("a", Message.Fetch.class).size() > before;
            }).findFirst().orElseThrow();
            fetched.add(due);
        }
        assertTrue(fetched.first() >= lines.now + 3 * SECOND && fetched.last() <= lines.now + 4 * SECOND, fetched.toString());
        assertTrue(fetched.size() >= 12, "spread: " + fetched);
    }

    /** Zone, region, the others; evenly within one; and a machine that goes moves only its own. */
    @Test
    void subscribersSpreadOverMachinesTheNearestFirst() {
        List<ControlMachine> machines = new ArrayList<>(IntStream.range(0, 12).mapToObj(i -> new ControlMachine("m" + i, "eu-" + i / 4)).toList());
        machines.add(new ControlMachine("far", "us-1"));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 4_100; i++) {
            Subscriber each = subscriber("g" + i, "eu-1", machines);
            List<String> order = each.order();
            assertTrue(List.of("m4", "m5", "m6", "m7").containsAll(order.subList(0, 4)), order.toString());
            assertEquals("far", order.get(12));
            counts.merge(order.get(0), 1, Integer::sum);
            List<String> fewer = subscriber("g" + i, "eu-1", machines.stream().filter(m -> !m.name().equals("m5")).toList()).order();
            assertEquals(order.stream().filter(m -> !m.equals("m5")).toList(), fewer);
        }
        counts.forEach((machine, count) -> assertTrue(count > 900 && count < 1_150, counts.toString()));
    }

    private static Subscriber subscriber(String name, String zone, List<ControlMachine> machines) {
        Subscriber made = new Subscriber(name, zone, Table.empty(1), SubscriberSettings.USUAL, name.hashCode(), new Subscriber.Actions() {
            @Override
            public void send(String to, Message message) {
                // nobody is there
            }

            @Override
            public void leave(String machine) {
                // nor here
            }

            @Override
            public void table(Table next, List<Delta> deltas) {
                throw new AssertionError("nothing was told");
            }

            @Override
            public void event(String event, String text) {
                // not of interest
            }
        });
        made.machines(SECOND, machines);
        return made;
    }

    /** The machine of 370 ends: they come to others over half a second, and later the longer nobody answers, up to two seconds. */
    @Test
    void reconnectsAreSpread() {
        List<ControlMachine> machines = List.of(new ControlMachine("a", "z"), new ControlMachine("b", "z"));
        int[] halves = new int[2];
        for (int i = 0; i < 370; i++) {
            Subscriber each = subscriber("g" + i, "z", machines);
            each.outboundClosed(SECOND, each.machine());
            assertTrue(each.dueAt() >= SECOND && each.dueAt() <= 1_500_000);
            halves[each.dueAt() < 1_250_000 ? 0 : 1]++;
            long now = each.dueAt();
            for (int again = 0; again < 10; again++) {
                each.tick(now);
                each.outboundClosed(now, each.machine());
                assertTrue(each.dueAt() - now <= 2 * SECOND);
                now = each.dueAt();
            }
        }
        assertTrue(halves[0] > 140 && halves[1] > 140, halves[0] + " and " + halves[1]);
    }

    /** A process that did not run for ten seconds reads first what was said meanwhile; only then is a machine silent. */
    @Test
    void timeInWhichItDidNotRunIsNotHeldAgainstTheMachine() {
        SimulatedNetwork lines = new SimulatedNetwork();
        lines.machine("a", TestChanges.table(10));
        lines.machine("b", TestChanges.table(10));
        Subscriber gateway = lines.gateway("g", TestChanges.table(10), "a", "b");
        lines.run(SECOND);
        String at = gateway.machine();
        lines.frozen.add("g");
        lines.run(10 * SECOND);
        lines.frozen.clear();
        gateway.tick(lines.now);
        lines.run(20 * SECOND);
        assertEquals(at, gateway.machine());
        assertEquals(List.of(), lines.events);
    }

    /** After its machine was away it goes back there in five to ten minutes, so that load doesn't stay where it once fled to. */
    @Test
    void itGoesBackToItsFirstMachine() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table table = TestChanges.table(10);
        lines.machine("a", table);
        lines.machine("b", table);
        Subscriber gateway = lines.gateway("g", table, "a", "b");
        lines.run(SECOND);
        String first = gateway.machine();
        Publisher machine = lines.machines.get(first);
        lines.kill(first);
        lines.run(5 * SECOND);
        assertNotEquals(first, gateway.machine());
        lines.machines.put(first, machine);
        lines.run(270 * SECOND);
        assertNotEquals(first, gateway.machine());
        lines.run(340 * SECOND);
        assertEquals(first, gateway.machine());
    }

    /** A later epoch begins with the same resources: nothing but its revision is fetched. */
    @Test
    void aLaterEpochIsTakenWithoutFetchingWhatIsHere() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table table = TestChanges.table(3_000);
        Publisher machine = lines.machine("a", table.begun(2));
        Subscriber gateway = lines.gateway("g", table, "a");
        lines.run(2 * SECOND);
        together(lines, machine, gateway);
        assertEquals(0, lines.to("g", Message.SnapshotChunk.class).stream().mapToInt(each -> each.shards().size()).sum());
    }

    @Test
    void settingsAreAboveNothing() {
        assertThrows(IllegalArgumentException.class, () -> new SubscriberSettings(0, 1, 1, 1, 1, 1, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new PublisherSettings(1, 1, 0, 1, 1, 1, 1, 1, 1));
    }
}
