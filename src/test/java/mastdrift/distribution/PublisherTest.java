package mastdrift.distribution;

import static mastdrift.distribution.SimulatedNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import mastdrift.distribution.Message.ZoneSummary;
import org.junit.jupiter.api.Test;

class PublisherTest {

    private static void subscribe(SimulatedNetwork lines, Publisher machine, String name) {
        machine.received(lines.now, name, new Message.Subscribe(machine.table().revision(), "z-1"));
    }

    /** A burst goes out in few messages, none later than 0.2 s, and all subscribers get the same objects. */
    @Test
    void changesAreCoalescedAndEncodedOnce() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Publisher machine = lines.machine("a", TestChanges.table(100));
        List.of("x", "y", "z").forEach(each -> subscribe(lines, machine, each));
        lines.run(SECOND);
        Map<Long, Long> made = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            made.put(lines.change(machine, "r" + i, "v").to().number(), lines.now);
            lines.run(10_000);
        }
        lines.run(SECOND);
        List<Message.Deltas> to = lines.to("x", Message.Deltas.class);
        assertTrue(to.size() <= 7, to.size() + " messages in a second");
        for (int i = 0; i < to.size(); i++) {
            assertSame(to.get(i), lines.to("y", Message.Deltas.class).get(i));
            assertSame(to.get(i), lines.to("z", Message.Deltas.class).get(i));
        }
        long latest = lines.sent.stream().filter(each -> each.message() instanceof Message.Deltas)
                .flatMap(each -> ((Message.Deltas) each.message()).deltas().stream().map(delta -> each.at() - made.get(delta.to().number()))).max(Long::compare).orElseThrow();
        assertTrue(latest <= 205_000, latest + " us");
    }

    /** One that never answers is told no more at the bound of bytes, and dropped at that of time; what the machine keeps does not grow with it. */
    @Test
    void aGatewayThatNeverAcknowledgesIsDroppedAndMemoryStaysLevel() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Publisher machine = lines.machine("a", TestChanges.table(100));
        subscribe(lines, machine, "mute");
        Subscriber gateway = lines.gateway("g", machine.table(), "a");
        long bytes = 0;
        for (int i = 0; i < 190; i++) {
            lines.change(machine, "r" + i % 10, "x".repeat(16_000));
            lines.run(100_000);
            bytes = lines.to("mute", Message.Deltas.class).stream().flatMap(each -> each.deltas().stream()).mapToLong(History::bytes).sum();
            assertTrue(bytes <= PublisherSettings.USUAL.unackedBytes() + PublisherSettings.USUAL.messageBytes(), bytes + " bytes");
            if (i % 60 == 59) {
                machine.received(lines.now, "mute", new Message.Ack(Revision.none(1)));  // it is there, and answers nothing
            }
        }
        assertTrue(bytes >= PublisherSettings.USUAL.unackedBytes() - 17_000, "as far as the bound");
        assertEquals(2, machine.status().subscribers());
        for (int i = 0; i < 1_200; i++) {
            lines.change(machine, "r" + i % 10, "x".repeat(16_000));
            lines.run(5_000);
            assertTrue(machine.status().deltaBytes() <= History.BYTES_MOST);
        }
        assertTrue(machine.status().deltaBytes() > History.BYTES_MOST - 20_000, "the bound was reached");
        assertTrue(lines.events.contains("dropped mute: expected an acknowledgement within 20 s, found none"), lines.events.toString());
        assertEquals(1, machine.status().subscribers());
        lines.run(2 * SECOND);
        assertEquals(machine.table().revision(), gateway.table().revision(), "the others are as before");
    }

    /** One says nothing at all: dropped after half a minute, but for time in which this process did not run. */
    @Test
    void whoSaysNothingIsDropped() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Publisher machine = lines.machine("a", TestChanges.table(10));
        subscribe(lines, machine, "mute");
        lines.run(10 * SECOND);
        lines.frozen.add("a");
        lines.run(40 * SECOND);
        lines.frozen.clear();
        lines.run(15 * SECOND);
        assertEquals(1, machine.status().subscribers());
        lines.run(10 * SECOND);
        assertEquals(0, machine.status().subscribers());
    }

    /** What a gateway can't take is told with its reason, the old stays in force, and the next ones still come. */
    @Test
    void aChangeThatAGatewayCannotTakeIsToldAndTheNextOnesStillCome() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Publisher machine = lines.machine("a", TestChanges.table(10));
        Subscriber gateway = lines.gateway("g", machine.table(), "a");
        subscribe(lines, machine, "h");
        lines.run(SECOND);
        Revision first = lines.change(machine, "r", "1").to();
        lines.run(SECOND);
        machine.received(lines.now, "h", new Message.Ack(first));
        Revision second = lines.change(machine, "r", "bad").to();
        machine.received(lines.now, "h", new Message.Nack(second, first, "edits: expected a pool, found none called x"));
        assertTrue(lines.events.contains("a config_refused h refuses " + second.number() + ": edits: expected a pool, found none called x"), lines.events.toString());
        ZoneSummary zone = machine.summary().get(0);
        assertEquals(1, zone.refused());
        assertEquals(first, zone.lowest());
        assertTrue(zone.lagging().contains("h"));
        machine.received(lines.now, "h", new Message.Ack(first));
        assertEquals(1, machine.summary().get(0).refused(), "told again that the old is in force: it refuses still");
        Revision third = lines.change(machine, "r", "good").to();
        lines.run(SECOND);
        assertEquals(third, lines.to("h", Message.Deltas.class).get(lines.to("h", Message.Deltas.class).size() - 1).deltas().get(0).to());
        machine.received(lines.now, "h", new Message.Ack(third));
        assertEquals(0, machine.summary().get(0).refused());
        gateway.refused(lines.now, third, "because " + "x".repeat(1_000));
        lines.run(SECOND);
        assertEquals(200, lines.to("a", Message.Nack.class).get(0).reason().length());
        assertEquals(third, lines.to("a", Message.Nack.class).get(0).inForce(), "what it had put in force before");
    }

    /** 370 come back at once without their folders: eight snapshots at a time, the rest are told when to come, 3,700 others get each change as always, and all have all within a minute. */
    @Test
    void manyThatReturnWithoutFoldersKeepNobodyElseWaiting() {
        SimulatedNetwork lines = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND, 8, 4_096, 1 << 20, 20 * SECOND, 30 * SECOND, 10 * SECOND, 8 << 10));
        Publisher machine = lines.machine("a", TestChanges.table(2_000));
        for (int i = 0; i < 3_700; i++) {
            subscribe(lines, machine, "well" + i);
        }
        lines.run(SECOND);
        lines.sent.clear();
        for (int i = 0; i < 370; i++) {
            lines.gateway("g" + i, Table.empty(1), "a");
        }
        int most = 0;
        long done = 0;
        for (int second = 0; second < 60 && done == 0; second++) {
            Delta delta = lines.change(machine, "r", "v" + second);
            long changed = lines.now;
            for (int i = 0; i < 10; i++) {
                lines.run(100_000);
                most = Math.max(most, machine.status().snapshots());
            }
            List<SimulatedNetwork.Sent> told = lines.sent.stream().filter(each -> each.to().startsWith("well") && each.message() instanceof Message.Deltas deltas && deltas.deltas().contains(delta)).toList();
            assertEquals(3_700, told.size());
            assertTrue(told.stream().allMatch(each -> each.at() - changed <= 205_000));
            lines.sent.removeIf(each -> each.to().startsWith("well"));
            for (int i = 0; i < 3_700; i++) {
                machine.received(lines.now, "well" + i, new Message.Ack(delta.to()));
            }
            Revision last = delta.to();
            done = lines.subscribers.values().stream().allMatch(each -> each.table().revision().equals(last)) ? lines.now : 0;
        }
        assertTrue(done != 0, "not all have all: " + machine.status());
        assertTrue(most <= 8 && most >= 4, most + " snapshots at once");
        List<Integer> retries = lines.sent.stream().filter(each -> each.message() instanceof Message.RetryAfter).map(each -> ((Message.RetryAfter) each.message()).millis()).toList();
        assertTrue(retries.size() >= 362 && retries.size() < 370 * 6, retries.size() + " were told to come again");
        assertTrue(retries.stream().distinct().count() > 40, "at different times");
        assertEquals(0, machine.status().waiting());
        assertTrue(lines.events.stream().noneMatch(each -> each.startsWith("dropped")));
    }

    /** A snapshot that nobody goes on with ends, and its place is free. */
    @Test
    void aSnapshotWithoutCreditEnds() {
        SimulatedNetwork lines = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND, 1, 4_096, 1 << 20, 20 * SECOND, 30 * SECOND, 10 * SECOND, 1 << 10));
        Publisher machine = lines.machine("a", TestChanges.table(1_000));
        machine.received(lines.now, "x", new Message.Subscribe(Revision.none(1), "z-1"));
        machine.received(lines.now, "x", new Message.Fetch(new long[Table.SHARDS], 1_000));
        assertEquals(64, lines.to("x", Message.SnapshotChunk.class).size(), "credit is bounded");
        machine.received(lines.now, "y", new Message.Subscribe(Revision.none(1), "z-1"));
        machine.received(lines.now, "y", new Message.Fetch(new long[Table.SHARDS], 4));
        assertEquals(1, lines.to("y", Message.RetryAfter.class).size());
        lines.run(11 * SECOND);
        assertTrue(lines.events.contains("dropped x: expected credit for a snapshot within 10 s, found none"), lines.events.toString());
        machine.received(lines.now, "y", new Message.Fetch(new long[Table.SHARDS], 4));
        assertEquals(4, lines.to("y", Message.SnapshotChunk.class).size());
    }

    @Test
    void whatASubscriberMayNotSayIsRefused() {
        SimulatedNetwork lines = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND, 8, 2, 1 << 20, 20 * SECOND, 30 * SECOND, 10 * SECOND, 8 << 10));
        Publisher machine = lines.machine("a", TestChanges.table(10));
        machine.received(lines.now, "x", new Message.Credit(1));
        subscribe(lines, machine, "x");
        subscribe(lines, machine, "y");
        subscribe(lines, machine, "z");
        machine.received(lines.now, "x", new Message.Fetch(new long[3], 1));
        machine.received(lines.now, "y", new Message.RetryAfter(1));
        assertEquals(List.of("dropped x: expected subscribe first, found Credit", "dropped z: expected at most 2 subscribers", "a config_subscriber_dropped x: expected 1024 digests, found 3",
                "dropped x: expected 1024 digests, found 3", "a config_subscriber_dropped y: expected a subscriber's message, found RetryAfter",
                "dropped y: expected a subscriber's message, found RetryAfter"), lines.events);
        assertEquals(0, machine.status().subscribers());
        assertEquals(4, machine.status().dropped());
    }

    /** Who is ahead is told what there is, and goes on by deltas once the machine has caught up. */
    @Test
    void aMachineThatIsBehindItsSubscriberTakesNothingBack() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table table = TestChanges.table(100);
        Publisher behind = lines.machine("a", table);
        Outcome.Applied one = TestChanges.applied(table.apply(50, TestChanges.of("c", TestChanges.put("r", "1"))));
        Outcome.Applied two = TestChanges.applied(one.table().apply(51, TestChanges.of("c", TestChanges.put("r", "2"))));
        Subscriber gateway = lines.gateway("g", one.table(), "a");
        lines.run(SECOND);
        assertEquals(one.table().revision(), gateway.table().revision());
        behind.table(lines.now, two.table(), List.of(one.delta(), two.delta()));
        lines.run(SECOND);
        assertEquals(two.table().revision(), gateway.table().revision());
        assertEquals(List.of(), lines.to("g", Message.SnapshotNeeded.class));
        behind.table(lines.now, table, List.of());
        assertSame(two.table(), behind.table(), "an older table is not taken");
    }

    /** One that can't hear its own source serves what it has, and doesn't say that it is current. */
    @Test
    void aMachineThatIsAloneDoesNotSayThatItIsCurrent() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table table = TestChanges.table(100);
        lines.machine("a", table).alone(lines.now, true);
        lines.machine("b", table).alone(lines.now, true);
        Subscriber gateway = lines.gateway("g", table, "a", "b");
        Subscriber empty = lines.gateway("h", Table.empty(1), "a", "b");
        lines.run(5 * SECOND);
        assertEquals(table.revision(), empty.table().revision(), "it serves what it has");
        lines.run(30 * SECOND);
        assertEquals(List.of(), lines.to("g", Message.Heartbeat.class));
        for (String machine : List.of("a", "b")) {
            assertTrue(lines.sent.stream().filter(each -> each.from().equals("g") && each.to().equals(machine) && each.message() instanceof Message.Subscribe).count() >= 4, "it looks elsewhere, and again");
        }
        assertEquals(1, lines.events.stream().filter(each -> each.startsWith("g config_")).count(), "told once, however long it lasts: " + lines.events);
        assertTrue(gateway.aloneSince() != 0 && gateway.aloneSince() < 3 * SECOND);
        lines.machines.get("b").alone(lines.now, false);
        lines.run(9 * SECOND);
        assertEquals("b", gateway.machine());
        assertEquals(0, gateway.aloneSince());
        assertTrue(lines.events.stream().anyMatch(each -> each.startsWith("g config_heard b: after 3")), lines.events.toString());
    }

    /** What relays tell of theirs is added up, by zone, within bounds. */
    @Test
    void summariesAreAddedUpAndBounded() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Publisher machine = lines.machine("a", TestChanges.table(1_500));
        subscribe(lines, machine, "relay");
        subscribe(lines, machine, "gateway");
        Revision low = new Revision(1, 3, 0, 0);
        machine.received(lines.now, "relay", new Message.Summary(List.of(new ZoneSummary("z-1", 300, low, 2, List.of("p", "q")), new ZoneSummary("z-2", 10, null, 0, List.of()))));
        machine.received(lines.now, "gateway", new Message.Ack(machine.table().revision()));
        assertEquals(List.of(new ZoneSummary("z-1", 301, low, 2, List.of("p", "q")), new ZoneSummary("z-2", 10, null, 0, List.of())), machine.summary());
        machine.received(lines.now, "relay", new Message.Summary(List.of()));
        assertEquals(1, machine.summary().get(0).subscribers(), "one that passes on to nobody is nobody's gateway itself");
        Subscriber relay = lines.gateway("other", machine.table(), "a");
        relay.summary(List.of());
        lines.run(SECOND);
        assertEquals(new Message.Summary(List.of()), lines.to("a", Message.Summary.class).get(0));
        assertEquals(1, machine.summary().get(0).subscribers());
        machine.inboundClosed(lines.now, "relay");
        assertEquals(List.of(new ZoneSummary("z-1", 1, machine.table().revision(), 0, List.of())), machine.summary());
        ZoneSummaries all = new ZoneSummaries();
        IntStream.range(0, 1_000).forEach(i -> all.add(new ZoneSummary("zone-" + i, 1, new Revision(1, i, 0, 0), 1, IntStream.range(0, 20).mapToObj(n -> i + "-" + n).toList())));
        assertEquals(ZoneSummaries.ZONES_MOST, all.zones().size());
        assertEquals(1_000, all.zones().stream().mapToInt(ZoneSummary::subscribers).sum());
        assertTrue(all.zones().stream().allMatch(each -> each.lagging().size() <= ZoneSummary.LAGGING_MOST));
        assertEquals(63, all.zones().stream().filter(each -> each.zone().equals(ZoneSummaries.OTHERS)).findFirst().orElseThrow().lowest().number());
    }

    private static List<Change> tenants(int count, int valueBytes, String to) {
        List<Change> changes = new ArrayList<>();
        List<Edit> edits = new ArrayList<>();
        int each = Math.min(Change.EDITS_MOST, (Change.BYTES_MOST - 200) / (valueBytes + 48));
        byte[] value = new byte[valueBytes];
        Arrays.fill(value, (byte) 'x');
        System.arraycopy(to.getBytes(StandardCharsets.UTF_8), 0, value, 0, to.length());
        for (int i = 0; i < count; i++) {
            edits.add(new Edit.Upsert(ResourceKind.TENANT, "tenant-" + i, value, Edit.ANY));
            if (edits.size() == each || i == count - 1) {
                changes.add(new Change(to + changes.size(), edits));
                edits.clear();
            }
        }
        return changes;
    }

    /** A tenth of the target's tenants, of more bytes than are kept of changes, is replaced at once by changes that are as large as may be: all have it and what another writer changed in the middle within 12 s, also one
        that was stopped meanwhile and one that is new, and what is kept stays within its bound. */
    @Test
    void allTenantsReplacedAtOnceAreInForceAndHoldUpNobody() {
        SimulatedNetwork lines = new SimulatedNetwork();
        Table had = Table.empty(1);
        for (Change each : tenants(17_000, 1_200, "before")) {
            had = TestChanges.applied(had.apply(had.revision().number() + 1, each)).table();
        }
        Publisher machine = lines.machine("m", had);
        for (int i = 0; i < 4; i++) {
            lines.gateway("g" + i, had, "m");
        }
        lines.run(2 * SimulatedNetwork.SECOND);
        lines.frozen.add("g3");
        List<Change> replaced = tenants(17_000, 1_200, "after");
        assertTrue(replaced.size() > 300, replaced.size() + " changes");
        long other = 0;
        for (int i = 0; i < replaced.size(); i++) {
            if (i == replaced.size() / 2) {
                other = lines.change(machine, "route-of-another", "v").to().number();
            }
            Outcome.Applied applied = TestChanges.applied(machine.table().apply(machine.table().revision().number() + 1, replaced.get(i)));
            machine.table(lines.now, applied.table(), List.of(applied.delta()));
            assertTrue(machine.status().deltaBytes() <= History.BYTES_MOST);
        }
        lines.gateway("new", Table.empty(1), "m");
        long began = lines.now;
        while (!lines.subscribers.values().stream().allMatch(each -> each == lines.subscribers.get("g3") || each.table().revision().equals(machine.table().revision()))) {
            lines.run(SimulatedNetwork.SECOND / 10);
            assertTrue(lines.now - began < 12 * SimulatedNetwork.SECOND, () -> "after 12 s: " + lines.events);
        }
        lines.frozen.clear();
        long woken = lines.now;
        while (!lines.subscribers.get("g3").table().revision().equals(machine.table().revision())) {
            lines.run(SimulatedNetwork.SECOND / 10);
            assertTrue(lines.now - woken < 12 * SimulatedNetwork.SECOND, () -> "after 12 s: " + lines.events);
        }
        for (Subscriber each : lines.subscribers.values()) {
            assertEquals(other, each.table().get(ResourceKind.ROUTE, "route-of-another").version());
            assertEquals(17_000, each.table().size(ResourceKind.TENANT));
        }
        assertTrue(machine.status().deltaBytes() > History.BYTES_MOST / 2 && machine.status().deltas() < replaced.size(), () -> machine.status() + ": the first are not kept");
    }
}
