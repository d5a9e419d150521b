package mastdrift.distribution;

import static mastdrift.distribution.SimulatedNetwork.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Machines and subscribers that send arbitrary messages. These must not cause exceptions, move a table back, or exceed
 * the bounds on memory.
 */
class InvalidMessageTest {

    private static final Table SMALL_TABLE = TestChanges.table(900);
    private static final Table LARGE_TABLE = TestChanges.table(1_500);

    private Revision randomRevision(Random random, Revision near) {
        return switch (random.nextInt(6)) {
            case 0 -> SMALL_TABLE.revision();
            case 1 -> LARGE_TABLE.revision();
            case 2 -> new Revision(random.nextInt(4), random.nextInt(9), random.nextLong(), random.nextLong());
            case 3 -> new Revision(1, near.number() + random.nextInt(3) - 1, random.nextLong(), near.low());
            case 4 -> new Revision(random.nextLong(), random.nextLong(), random.nextLong(), random.nextLong());
            default -> near;
        };
    }

    private Message randomMessage(Random random, Table near) {
        Revision revision = randomRevision(random, near.revision());
        Table source = random.nextBoolean() ? SMALL_TABLE : LARGE_TABLE;
        return switch (random.nextInt(13)) {
            case 0 -> new Message.Heartbeat(revision);
            case 1 -> new Message.SnapshotNeeded(revision, random.nextBoolean() ? "forked: so it says" : "old");
            case 2 -> new Message.RetryAfter(random.nextInt());
            case 3 -> new Message.SnapshotChunk(revision, List.of(new Message.Shard(random.nextInt(1_100) - 9, source.shard(random.nextInt(Table.SHARDS)))), random.nextBoolean());
            case 4 -> new Message.SnapshotChunk(source.revision(), IntStream.range(0, Table.SHARDS).mapToObj(i -> new Message.Shard(i, source.shard(i))).toList(), random.nextBoolean());
            case 5 -> new Message.Deltas(List.of());
            case 6 -> new Message.Deltas(List.of(new Delta(near.revision().number(), revision, List.of(), List.of(new Delta.Deletion(ResourceKind.HOST, "none"))), new Delta(random.nextLong(), revision, List.of(), List.of())));
            case 7 -> random.nextBoolean() ? new Message.Deltas(List.of(near.advanceTo(near.revision().number() + 1).delta())) : new Message.Subscribe(revision, "z".repeat(random.nextInt(200)));
            case 8 -> new Message.Fetch(random.nextBoolean() ? source.digests() : new long[random.nextInt(3)], random.nextInt());
            case 9 -> new Message.Credit(random.nextInt());
            case 10 -> new Message.Ack(revision);
            case 11 -> new Message.Nack(revision, randomRevision(random, near.revision()), "x".repeat(random.nextInt(500)));
            default -> new Message.Summary(IntStream.range(0, random.nextInt(200)).mapToObj(i -> new Message.ZoneSummary("z" + i, i, random.nextBoolean() ? null : revision, 0, List.of())).toList());
        };
    }

    @Property(tries = 100)
    void arbitraryMessagesOfAMachineNeverMoveTheTableBack(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedNetwork network = new SimulatedNetwork();
        Subscriber gateway = network.addGateway("g", random.nextBoolean() ? SMALL_TABLE : Table.empty(1), random.nextBoolean() ? new String[] {"a"} : new String[] {"a", "b"});
        for (int i = 0; i < 150; i++) {
            Revision before = gateway.table().revision();
            String machine = gateway.currentMachine();
            if (machine != null) {
                gateway.received(network.now, machine, randomMessage(random, gateway.table()));
            }
            Revision after = gateway.table().revision();
            assertTrue(after.equals(before) || after.isAfter(before) || after.isForkOf(before), before + " " + after);
            assertEquals(countResources(gateway.table()), gateway.table().size());
            network.now += random.nextInt(10) == 0 ? 4 * SECOND_MICROS : random.nextInt(100_000);
            gateway.tick(network.now);
            assertTrue(gateway.dueAt() <= network.now + 61 * SECOND_MICROS, "the next tick is scheduled");
        }
    }

    private static int countResources(Table table) {
        return IntStream.range(0, Table.SHARDS).map(i -> table.shard(i).size()).sum();
    }

    @Property(tries = 100)
    void arbitraryMessagesOfSubscribersKeepTheBounds(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedNetwork network = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND_MICROS, 3, 6, 4_000, 20 * SECOND_MICROS, 30 * SECOND_MICROS, 10 * SECOND_MICROS, 2_000));
        Publisher machine = network.addMachine("a", SMALL_TABLE);
        for (int i = 0; i < 150; i++) {
            Revision before = machine.table().revision();
            machine.received(network.now, "g" + random.nextInt(9), randomMessage(random, machine.table()));
            if (random.nextInt(9) == 0) {
                machine.inboundClosed(network.now, "g" + random.nextInt(9));
            }
            assertEquals(before, machine.table().revision());
            if (random.nextInt(9) == 0) {
                network.publishChange(machine, "r", "v" + i);
            }
            network.now += random.nextInt(10) == 0 ? 4 * SECOND_MICROS : random.nextInt(100_000);
            machine.tick(network.now);
            Publisher.Status status = machine.status();
            assertTrue(status.subscribers() <= 6 && status.snapshots() >= 0 && status.snapshots() <= 3 && status.waiting() <= 6, status.toString());
            assertTrue(machine.summary().size() <= ZoneSummaries.MAX_ZONES);
            assertTrue(machine.dueAt() <= network.now + SECOND_MICROS);
        }
        network.now += 40 * SECOND_MICROS;
        machine.tick(network.now);
        for (int i = 0; i < 200; i++) {
            network.now += SECOND_MICROS / 4;
            machine.tick(network.now);
        }
        assertEquals(0, machine.status().subscribers(), "silent subscribers are dropped");
        assertEquals(0, machine.status().snapshots());
        assertEquals(0, machine.status().waiting());
    }
}
