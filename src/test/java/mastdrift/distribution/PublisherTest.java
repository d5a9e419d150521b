package mastdrift.distribution;

import static mastdrift.distribution.SimulatedNetwork.SECOND_MICROS;
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

    private static void subscribe(SimulatedNetwork network, Publisher machine, String name) {
        machine.received(network.now, name, new Message.Subscribe(machine.table().revision(), "z-1"));
    }

    /** A burst is sent in few messages, none later than 0.2 s, and all subscribers get the same objects. */
    @Test
    void changesAreCoalescedAndEncodedOnce() {
        SimulatedNetwork network = new SimulatedNetwork();
        Publisher machine = network.addMachine("a", TestChanges.table(100));
        List.of("x", "y", "z").forEach(each -> subscribe(network, machine, each));
        network.advance(SECOND_MICROS);
        Map<Long, Long> publishedAt = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            publishedAt.put(network.publishChange(machine, "r" + i, "v").to().number(), network.now);
            network.advance(10_000);
        }
        network.advance(SECOND_MICROS);
        List<Message.Deltas> messages = network.messagesTo("x", Message.Deltas.class);
        assertTrue(messages.size() <= 7, messages.size() + " messages in a second");
        for (int i = 0; i < messages.size(); i++) {
            assertSame(messages.get(i), network.messagesTo("y", Message.Deltas.class).get(i));
            assertSame(messages.get(i), network.messagesTo("z", Message.Deltas.class).get(i));
        }
        long maxDelay = network.sent.stream().filter(each -> each.message() instanceof Message.Deltas)
                .flatMap(each -> ((Message.Deltas) each.message()).deltas().stream().map(delta -> each.sentAt() - publishedAt.get(delta.to().number()))).max(Long::compare).orElseThrow();
        assertTrue(maxDelay <= 205_000, maxDelay + " us");
    }

    /**
     * A subscriber that never acknowledges is sent no more once the bound of bytes is reached, and is dropped after the
     * timeout; the memory of the machine does not grow with it.
     */
    @Test
    void aGatewayThatNeverAcknowledgesIsDroppedAndMemoryStaysBounded() {
        SimulatedNetwork network = new SimulatedNetwork();
        Publisher machine = network.addMachine("a", TestChanges.table(100));
        subscribe(network, machine, "mute");
        Subscriber gateway = network.addGateway("g", machine.table(), "a");
        long bytes = 0;
        for (int i = 0; i < 190; i++) {
            network.publishChange(machine, "r" + i % 10, "x".repeat(16_000));
            network.advance(100_000);
            bytes = network.messagesTo("mute", Message.Deltas.class).stream().flatMap(each -> each.deltas().stream()).mapToLong(History::sizeBytes).sum();
            assertTrue(bytes <= PublisherSettings.DEFAULTS.maxUnackedBytes() + PublisherSettings.DEFAULTS.targetMessageBytes(), bytes + " bytes");
            if (i % 60 == 59) {
                // keeps the connection alive but acknowledges nothing
                machine.received(network.now, "mute", new Message.Ack(Revision.empty(1)));
            }
        }
        assertTrue(bytes >= PublisherSettings.DEFAULTS.maxUnackedBytes() - 17_000, "sent up to the bound");
        assertEquals(2, machine.status().subscribers());
        for (int i = 0; i < 1_200; i++) {
            network.publishChange(machine, "r" + i % 10, "x".repeat(16_000));
            network.advance(5_000);
            assertTrue(machine.status().deltaBytes() <= History.MAX_BYTES);
        }
        assertTrue(machine.status().deltaBytes() > History.MAX_BYTES - 20_000, "the bound was reached");
        assertTrue(network.events.contains("dropped mute: expected an acknowledgement within 20 s, found none"), network.events.toString());
        assertEquals(1, machine.status().subscribers());
        network.advance(2 * SECOND_MICROS);
        assertEquals(machine.table().revision(), gateway.table().revision(), "other subscribers are unaffected");
    }

    /** A subscriber that sends nothing is dropped after 30 s, not counting time in which this process was paused. */
    @Test
    void aSilentSubscriberIsDropped() {
        SimulatedNetwork network = new SimulatedNetwork();
        Publisher machine = network.addMachine("a", TestChanges.table(10));
        subscribe(network, machine, "mute");
        network.advance(10 * SECOND_MICROS);
        network.frozen.add("a");
        network.advance(40 * SECOND_MICROS);
        network.frozen.clear();
        network.advance(15 * SECOND_MICROS);
        assertEquals(1, machine.status().subscribers());
        network.advance(10 * SECOND_MICROS);
        assertEquals(0, machine.status().subscribers());
    }

    /**
     * A gateway's rejection is reported with its reason, the previous revision stays active, and later ones are still
     * received.
     */
    @Test
    void aNackIsReportedAndLaterChangesAreStillSent() {
        SimulatedNetwork network = new SimulatedNetwork();
        Publisher machine = network.addMachine("a", TestChanges.table(10));
        Subscriber gateway = network.addGateway("g", machine.table(), "a");
        subscribe(network, machine, "h");
        network.advance(SECOND_MICROS);
        Revision first = network.publishChange(machine, "r", "1").to();
        network.advance(SECOND_MICROS);
        machine.received(network.now, "h", new Message.Ack(first));
        Revision second = network.publishChange(machine, "r", "bad").to();
        machine.received(network.now, "h", new Message.Nack(second, first, "edits: expected a pool, found none called x"));
        assertTrue(network.events.contains("a config_refused h refuses " + second.number() + ": edits: expected a pool, found none called x"), network.events.toString());
        ZoneSummary zone = machine.summary().get(0);
        assertEquals(1, zone.rejecting());
        assertEquals(first, zone.lowest());
        assertTrue(zone.lagging().contains("h"));
        machine.received(network.now, "h", new Message.Ack(first));
        assertEquals(1, machine.summary().get(0).rejecting(), "acknowledging the previous revision again does not withdraw the rejection");
        Revision third = network.publishChange(machine, "r", "good").to();
        network.advance(SECOND_MICROS);
        assertEquals(third, network.messagesTo("h", Message.Deltas.class).get(network.messagesTo("h", Message.Deltas.class).size() - 1).deltas().get(0).to());
        machine.received(network.now, "h", new Message.Ack(third));
        assertEquals(0, machine.summary().get(0).rejecting());
        gateway.reject(network.now, third, "because " + "x".repeat(1_000));
        network.advance(SECOND_MICROS);
        assertEquals(200, network.messagesTo("a", Message.Nack.class).get(0).reason().length());
        assertEquals(third, network.messagesTo("a", Message.Nack.class).get(0).activeRevision(), "the revision that was active before");
    }

    /**
     * 370 gateways reconnect at once without stored tables: eight snapshots are served at a time, the rest are told
     * when to retry, 3,700 others get each change without delay, and all are up to date within a minute.
     */
    @Test
    void manySnapshotRequestsDoNotDelayOtherSubscribers() {
        SimulatedNetwork network = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND_MICROS, 8, 4_096, 1 << 20, 20 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 8 << 10));
        Publisher machine = network.addMachine("a", TestChanges.table(2_000));
        for (int i = 0; i < 3_700; i++) {
            subscribe(network, machine, "well" + i);
        }
        network.advance(SECOND_MICROS);
        network.sent.clear();
        for (int i = 0; i < 370; i++) {
            network.addGateway("g" + i, Table.empty(1), "a");
        }
        int maxSnapshots = 0;
        long doneAt = 0;
        for (int second = 0; second < 60 && doneAt == 0; second++) {
            Delta delta = network.publishChange(machine, "r", "v" + second);
            long changedAt = network.now;
            for (int i = 0; i < 10; i++) {
                network.advance(100_000);
                maxSnapshots = Math.max(maxSnapshots, machine.status().snapshots());
            }
            List<SimulatedNetwork.Sent> received = network.sent.stream().filter(each -> each.to().startsWith("well") && each.message() instanceof Message.Deltas deltas && deltas.deltas().contains(delta)).toList();
            assertEquals(3_700, received.size());
            assertTrue(received.stream().allMatch(each -> each.sentAt() - changedAt <= 205_000));
            network.sent.removeIf(each -> each.to().startsWith("well"));
            for (int i = 0; i < 3_700; i++) {
                machine.received(network.now, "well" + i, new Message.Ack(delta.to()));
            }
            Revision last = delta.to();
            doneAt = network.subscribers.values().stream().allMatch(each -> each.table().revision().equals(last)) ? network.now : 0;
        }
        assertTrue(doneAt != 0, "not all are up to date: " + machine.status());
        assertTrue(maxSnapshots <= 8 && maxSnapshots >= 4, maxSnapshots + " snapshots at once");
        List<Integer> retries = network.sent.stream().filter(each -> each.message() instanceof Message.RetryAfter).map(each -> ((Message.RetryAfter) each.message()).millis()).toList();
        assertTrue(retries.size() >= 362 && retries.size() < 370 * 6, retries.size() + " retries");
        assertTrue(retries.stream().distinct().count() > 40, "at different times");
        assertEquals(0, machine.status().waiting());
        assertTrue(network.events.stream().noneMatch(each -> each.startsWith("dropped")));
    }

    /** A snapshot that gets no further credit is ended, and its slot is free again. */
    @Test
    void aSnapshotWithoutCreditIsEnded() {
        SimulatedNetwork network = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND_MICROS, 1, 4_096, 1 << 20, 20 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 1 << 10));
        Publisher machine = network.addMachine("a", TestChanges.table(1_000));
        machine.received(network.now, "x", new Message.Subscribe(Revision.empty(1), "z-1"));
        machine.received(network.now, "x", new Message.Fetch(new long[Table.SHARDS], 1_000));
        assertEquals(64, network.messagesTo("x", Message.SnapshotChunk.class).size(), "credit is bounded");
        machine.received(network.now, "y", new Message.Subscribe(Revision.empty(1), "z-1"));
        machine.received(network.now, "y", new Message.Fetch(new long[Table.SHARDS], 4));
        assertEquals(1, network.messagesTo("y", Message.RetryAfter.class).size());
        network.advance(11 * SECOND_MICROS);
        assertTrue(network.events.contains("dropped x: expected credit for a snapshot within 10 s, found none"), network.events.toString());
        machine.received(network.now, "y", new Message.Fetch(new long[Table.SHARDS], 4));
        assertEquals(4, network.messagesTo("y", Message.SnapshotChunk.class).size());
    }

    @Test
    void invalidMessagesOfSubscribersAreRejected() {
        SimulatedNetwork network = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND_MICROS, 8, 2, 1 << 20, 20 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 8 << 10));
        Publisher machine = network.addMachine("a", TestChanges.table(10));
        machine.received(network.now, "x", new Message.Credit(1));
        subscribe(network, machine, "x");
        subscribe(network, machine, "y");
        subscribe(network, machine, "z");
        machine.received(network.now, "x", new Message.Fetch(new long[3], 1));
        machine.received(network.now, "y", new Message.RetryAfter(1));
        assertEquals(List.of("dropped x: expected subscribe first, found Credit", "dropped z: expected at most 2 subscribers", "a config_subscriber_dropped x: expected 1024 digests, found 3",
                "dropped x: expected 1024 digests, found 3", "a config_subscriber_dropped y: expected a subscriber's message, found RetryAfter",
                "dropped y: expected a subscriber's message, found RetryAfter"), network.events);
        assertEquals(0, machine.status().subscribers());
        assertEquals(4, machine.status().dropped());
    }

    /**
     * A subscriber with a later revision than the machine keeps it, and continues by deltas once the machine has caught
     * up.
     */
    @Test
    void aSubscriberAheadOfTheMachineDoesNotGoBack() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table table = TestChanges.table(100);
        Publisher behind = network.addMachine("a", table);
        Outcome.Applied one = TestChanges.requireApplied(table.apply(50, TestChanges.of("c", TestChanges.put("r", "1"))));
        Outcome.Applied two = TestChanges.requireApplied(one.table().apply(51, TestChanges.of("c", TestChanges.put("r", "2"))));
        Subscriber gateway = network.addGateway("g", one.table(), "a");
        network.advance(SECOND_MICROS);
        assertEquals(one.table().revision(), gateway.table().revision());
        behind.table(network.now, two.table(), List.of(one.delta(), two.delta()));
        network.advance(SECOND_MICROS);
        assertEquals(two.table().revision(), gateway.table().revision());
        assertEquals(List.of(), network.messagesTo("g", Message.SnapshotNeeded.class));
        behind.table(network.now, table, List.of());
        assertSame(two.table(), behind.table(), "an older table is not taken");
    }

    /**
     * A machine that lost contact with its source serves what it has, but sends no heartbeats that would claim that it
     * is current.
     */
    @Test
    void aMachineWithoutItsSourceSendsNoHeartbeats() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table table = TestChanges.table(100);
        network.addMachine("a", table).setSourceUnreachable(network.now, true);
        network.addMachine("b", table).setSourceUnreachable(network.now, true);
        Subscriber gateway = network.addGateway("g", table, "a", "b");
        Subscriber emptyGateway = network.addGateway("h", Table.empty(1), "a", "b");
        network.advance(5 * SECOND_MICROS);
        assertEquals(table.revision(), emptyGateway.table().revision(), "it serves what it has");
        network.advance(30 * SECOND_MICROS);
        assertEquals(List.of(), network.messagesTo("g", Message.Heartbeat.class));
        for (String machine : List.of("a", "b")) {
            assertTrue(network.sent.stream().filter(each -> each.from().equals("g") && each.to().equals(machine) && each.message() instanceof Message.Subscribe).count() >= 4, "it tries each machine repeatedly");
        }
        assertEquals(1, network.events.stream().filter(each -> each.startsWith("g config_")).count(), "reported once, however long it lasts: " + network.events);
        assertTrue(gateway.disconnectedSince() != 0 && gateway.disconnectedSince() < 3 * SECOND_MICROS);
        network.machines.get("b").setSourceUnreachable(network.now, false);
        network.advance(9 * SECOND_MICROS);
        assertEquals("b", gateway.currentMachine());
        assertEquals(0, gateway.disconnectedSince());
        assertTrue(network.events.stream().anyMatch(each -> each.startsWith("g config_heard b: after 3")), network.events.toString());
    }

    /** Summaries reported by relays are aggregated by zone, within bounds. */
    @Test
    void summariesAreAggregatedAndBounded() {
        SimulatedNetwork network = new SimulatedNetwork();
        Publisher machine = network.addMachine("a", TestChanges.table(1_500));
        subscribe(network, machine, "relay");
        subscribe(network, machine, "gateway");
        Revision low = new Revision(1, 3, 0, 0);
        machine.received(network.now, "relay", new Message.Summary(List.of(new ZoneSummary("z-1", 300, low, 2, List.of("p", "q")), new ZoneSummary("z-2", 10, null, 0, List.of()))));
        machine.received(network.now, "gateway", new Message.Ack(machine.table().revision()));
        assertEquals(List.of(new ZoneSummary("z-1", 301, low, 2, List.of("p", "q")), new ZoneSummary("z-2", 10, null, 0, List.of())), machine.summary());
        machine.received(network.now, "relay", new Message.Summary(List.of()));
        assertEquals(1, machine.summary().get(0).subscribers(), "a relay without subscribers is not counted as a gateway");
        Subscriber relay = network.addGateway("other", machine.table(), "a");
        relay.sendSummary(List.of());
        network.advance(SECOND_MICROS);
        assertEquals(new Message.Summary(List.of()), network.messagesTo("a", Message.Summary.class).get(0));
        assertEquals(1, machine.summary().get(0).subscribers());
        machine.inboundClosed(network.now, "relay");
        assertEquals(List.of(new ZoneSummary("z-1", 1, machine.table().revision(), 0, List.of())), machine.summary());
        ZoneSummaries all = new ZoneSummaries();
        IntStream.range(0, 1_000).forEach(i -> all.add(new ZoneSummary("zone-" + i, 1, new Revision(1, i, 0, 0), 1, IntStream.range(0, 20).mapToObj(n -> i + "-" + n).toList())));
        assertEquals(ZoneSummaries.MAX_ZONES, all.zones().size());
        assertEquals(1_000, all.zones().stream().mapToInt(ZoneSummary::subscribers).sum());
        assertTrue(all.zones().stream().allMatch(each -> each.lagging().size() <= ZoneSummary.MAX_LAGGING_NAMES));
        assertEquals(63, all.zones().stream().filter(each -> each.zone().equals(ZoneSummaries.OTHER_ZONES)).findFirst().orElseThrow().lowest().number());
    }

    private static List<Change> tenantChanges(int count, int valueBytes, String prefix) {
        List<Change> changes = new ArrayList<>();
        List<Edit> edits = new ArrayList<>();
        int editsPerChange = Math.min(Change.MAX_EDITS, (Change.MAX_BYTES - 200) / (valueBytes + 48));
        byte[] value = new byte[valueBytes];
        Arrays.fill(value, (byte) 'x');
        System.arraycopy(prefix.getBytes(StandardCharsets.UTF_8), 0, value, 0, prefix.length());
        for (int i = 0; i < count; i++) {
            edits.add(new Edit.Upsert(ResourceKind.TENANT, "tenant-" + i, value, Edit.ANY_VERSION));
            if (edits.size() == editsPerChange || i == count - 1) {
                changes.add(new Change(prefix + changes.size(), edits));
                edits.clear();
            }
        }
        return changes;
    }

    /**
     * A tenth of the target's tenants, more bytes of changes than the history holds, is replaced at once by changes of
     * the maximum size: within 12 s all have them and the change that another writer made in between, including a
     * gateway that was paused meanwhile and a new one, and the history stays within its bound.
     */
    @Test
    void replacingManyTenantsAtOnceReachesAllWithoutDelayingOtherChanges() {
        SimulatedNetwork network = new SimulatedNetwork();
        Table initial = Table.empty(1);
        for (Change each : tenantChanges(17_000, 1_200, "before")) {
            initial = TestChanges.requireApplied(initial.apply(initial.revision().number() + 1, each)).table();
        }
        Publisher machine = network.addMachine("m", initial);
        for (int i = 0; i < 4; i++) {
            network.addGateway("g" + i, initial, "m");
        }
        network.advance(2 * SimulatedNetwork.SECOND_MICROS);
        network.frozen.add("g3");
        List<Change> replacements = tenantChanges(17_000, 1_200, "after");
        assertTrue(replacements.size() > 300, replacements.size() + " changes");
        long otherVersion = 0;
        for (int i = 0; i < replacements.size(); i++) {
            if (i == replacements.size() / 2) {
                otherVersion = network.publishChange(machine, "route-of-another", "v").to().number();
            }
            Outcome.Applied applied = TestChanges.requireApplied(machine.table().apply(machine.table().revision().number() + 1, replacements.get(i)));
            machine.table(network.now, applied.table(), List.of(applied.delta()));
            assertTrue(machine.status().deltaBytes() <= History.MAX_BYTES);
        }
        network.addGateway("new", Table.empty(1), "m");
        long startedAt = network.now;
        while (!network.subscribers.values().stream().allMatch(each -> each == network.subscribers.get("g3") || each.table().revision().equals(machine.table().revision()))) {
            network.advance(SimulatedNetwork.SECOND_MICROS / 10);
            assertTrue(network.now - startedAt < 12 * SimulatedNetwork.SECOND_MICROS, () -> "after 12 s: " + network.events);
        }
        network.frozen.clear();
        long resumedAt = network.now;
        while (!network.subscribers.get("g3").table().revision().equals(machine.table().revision())) {
            network.advance(SimulatedNetwork.SECOND_MICROS / 10);
            assertTrue(network.now - resumedAt < 12 * SimulatedNetwork.SECOND_MICROS, () -> "after 12 s: " + network.events);
        }
        for (Subscriber each : network.subscribers.values()) {
            assertEquals(otherVersion, each.table().get(ResourceKind.ROUTE, "route-of-another").version());
            assertEquals(17_000, each.table().size(ResourceKind.TENANT));
        }
        assertTrue(machine.status().deltaBytes() > History.MAX_BYTES / 2 && machine.status().deltas() < replacements.size(), () -> machine.status() + ": the first deltas are evicted");
    }
}
