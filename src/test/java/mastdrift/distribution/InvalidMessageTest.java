package mastdrift.distribution;

import static mastdrift.distribution.SimulatedNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Machines and subscribers that say anything at all. What they say is a view: it ends nothing, takes nothing back and costs no more than the bounds. */
class InvalidMessageTest {

    private static final Table ONE = TestChanges.table(900);
    private static final Table TWO = TestChanges.table(1_500);

    private Revision revision(Random random, Revision near) {
        return switch (random.nextInt(6)) {
            case 0 -> ONE.revision();
            case 1 -> TWO.revision();
            case 2 -> new Revision(random.nextInt(4), random.nextInt(9), random.nextLong(), random.nextLong());
            case 3 -> new Revision(1, near.number() + random.nextInt(3) - 1, random.nextLong(), near.low());
            case 4 -> new Revision(random.nextLong(), random.nextLong(), random.nextLong(), random.nextLong());
            default -> near;
        };
    }

    private Message said(Random random, Table near) {
        Revision revision = revision(random, near.revision());
        Table of = random.nextBoolean() ? ONE : TWO;
        return switch (random.nextInt(13)) {
            case 0 -> new Message.Heartbeat(revision);
            case 1 -> new Message.SnapshotNeeded(revision, random.nextBoolean() ? "forked: so it says" : "old");
            case 2 -> new Message.RetryAfter(random.nextInt());
            case 3 -> new Message.SnapshotChunk(revision, List.of(new Message.Shard(random.nextInt(1_100) - 9, of.shard(random.nextInt(Table.SHARDS)))), random.nextBoolean());
            case 4 -> new Message.SnapshotChunk(of.revision(), IntStream.range(0, Table.SHARDS).mapToObj(i -> new Message.Shard(i, of.shard(i))).toList(), random.nextBoolean());
            case 5 -> new Message.Deltas(List.of());
            case 6 -> new Message.Deltas(List.of(new Delta(near.revision().number(), revision, List.of(), List.of(new Delta.Deletion(ResourceKind.HOST, "none"))), new Delta(random.nextLong(), revision, List.of(), List.of())));
            case 7 -> random.nextBoolean() ? new Message.Deltas(List.of(near.passed(near.revision().number() + 1).delta())) : new Message.Subscribe(revision, "z".repeat(random.nextInt(200)));
            case 8 -> new Message.Fetch(random.nextBoolean() ? of.digests() : new long[random.nextInt(3)], random.nextInt());
            case 9 -> new Message.Credit(random.nextInt());
            case 10 -> new Message.Ack(revision);
            case 11 -> new Message.Nack(revision, revision(random, near.revision()), "x".repeat(random.nextInt(500)));
            default -> new Message.Summary(IntStream.range(0, random.nextInt(200)).mapToObj(i -> new Message.ZoneSummary("z" + i, i, random.nextBoolean() ? null : revision, 0, List.of())).toList());
        };
    }

    @Property(tries = 100)
    void whateverAMachineSaysNothingIsTakenBack(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedNetwork lines = new SimulatedNetwork();
        Subscriber gateway = lines.gateway("g", random.nextBoolean() ? ONE : Table.empty(1), random.nextBoolean() ? new String[] {"a"} : new String[] {"a", "b"});
        for (int i = 0; i < 150; i++) {
            Revision before = gateway.table().revision();
            String at = gateway.machine();
            if (at != null) {
                gateway.received(lines.now, at, said(random, gateway.table()));
            }
            Revision after = gateway.table().revision();
            assertTrue(after.equals(before) || after.after(before) || after.forkedFrom(before), before + " " + after);
            assertEquals(all(gateway.table()), gateway.table().size());
            lines.now += random.nextInt(10) == 0 ? 4 * SECOND : random.nextInt(100_000);
            gateway.tick(lines.now);
            assertTrue(gateway.dueAt() <= lines.now + 61 * SECOND, "it goes on");
        }
    }

    private static int all(Table table) {
        return IntStream.range(0, Table.SHARDS).map(i -> table.shard(i).size()).sum();
    }

    @Property(tries = 100)
    void whateverSubscribersSayTheMachineKeepsItsBounds(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedNetwork lines = new SimulatedNetwork(new PublisherSettings(200_000, 2 * SECOND, 3, 6, 4_000, 20 * SECOND, 30 * SECOND, 10 * SECOND, 2_000));
        Publisher machine = lines.machine("a", ONE);
        for (int i = 0; i < 150; i++) {
            Revision before = machine.table().revision();
            machine.received(lines.now, "g" + random.nextInt(9), said(random, machine.table()));
            if (random.nextInt(9) == 0) {
                machine.inboundClosed(lines.now, "g" + random.nextInt(9));
            }
            assertEquals(before, machine.table().revision());
            if (random.nextInt(9) == 0) {
                lines.change(machine, "r", "v" + i);
            }
            lines.now += random.nextInt(10) == 0 ? 4 * SECOND : random.nextInt(100_000);
            machine.tick(lines.now);
            Publisher.Status status = machine.status();
            assertTrue(status.subscribers() <= 6 && status.snapshots() >= 0 && status.snapshots() <= 3 && status.waiting() <= 6, status.toString());
            assertTrue(machine.summary().size() <= ZoneSummaries.ZONES_MOST);
            assertTrue(machine.dueAt() <= lines.now + SECOND);
        }
        lines.now += 40 * SECOND;
        machine.tick(lines.now);
        for (int i = 0; i < 200; i++) {
            lines.now += SECOND / 4;
            machine.tick(lines.now);
        }
        assertEquals(0, machine.status().subscribers(), "all that said no more are gone");
        assertEquals(0, machine.status().snapshots());
        assertEquals(0, machine.status().waiting());
    }
}
