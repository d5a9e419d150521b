package mastdrift.distribution;

import static mastdrift.distribution.TestChanges.applied;
import static mastdrift.distribution.TestChanges.bytes;
import static mastdrift.distribution.TestChanges.put;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import mastdrift.distribution.Message.SnapshotChunk;
import mastdrift.distribution.Message.Shard;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TableTest {

    private static Map<String, Resource> all(Table table) {
        Map<String, Resource> all = new TreeMap<>();
        for (ResourceKind kind : ResourceKind.values()) {
            table.forEach(kind, each -> assertNull(all.put(each.kind() + " " + each.name(), each)));
        }
        return all;
    }

    /** What the revision's hash has to be, by its definition. */
    private static long[] hash(Iterable<Resource> resources) throws NoSuchAlgorithmException {
        long[] sum = new long[2];
        MessageDigest sha = MessageDigest.getInstance("SHA-256");
        for (Resource each : resources) {
            byte[] name = bytes(each.name());
            ByteBuffer all = ByteBuffer.allocate(13 + name.length + each.value().length).put((byte) each.kind().ordinal()).putInt(name.length).putLong(each.version()).put(name).put(each.value());
            ByteBuffer digest = ByteBuffer.wrap(sha.digest(all.array()));
            sum[0] += digest.getLong();
            sum[1] += digest.getLong();
        }
        return sum;
    }

    /** Against a map: the same content, counts and hash; the change is whole or not in; the delta makes the same; the table before is as it was. */
    @Property(tries = 120)
    void changesDoAsAMapWouldAndTheTableBeforeStays(@ForAll long seed) throws NoSuchAlgorithmException {
        Random random = new Random(seed);
        Table table = Table.empty(3);
        Map<String, Resource> model = new TreeMap<>();
        long number = 0;
        for (int i = 0; i < 60; i++) {
            number += 1 + random.nextInt(3);
            Change change = TestChanges.drawn(random, "c" + i);
            Map<String, Resource> next = new TreeMap<>(model);
            boolean conflict = false;
            for (Edit edit : change.edits()) {
                Resource there = model.get(edit.kind() + " " + edit.name());
                conflict |= edit.expectedVersion() != Edit.ANY && edit.expectedVersion() != (there == null ? 0 : there.version());
                next.remove(edit.kind() + " " + edit.name());
                if (edit instanceof Edit.Upsert upsert) {
                    next.put(edit.kind() + " " + edit.name(), new Resource(edit.kind(), edit.name(), number, upsert.value()));
                }
            }
            Outcome outcome = table.apply(number, change);
            assertEquals(model, all(table), "the one before");
            assertEquals(conflict, outcome instanceof Outcome.Conflict);
            if (outcome instanceof Outcome.Applied applied) {
                Table told = table.with(applied.delta());
                assertEquals(applied.table().revision(), told.revision());
                assertArrayEquals(applied.table().digests(), told.digests());
                model = next;
                table = random.nextBoolean() ? told : applied.table();
            } else {
                Outcome.Applied passed = table.passed(number);
                assertEquals(passed.table().revision(), table.with(passed.delta()).revision());
                table = passed.table();
            }
            assertEquals(model, all(table));
            assertEquals(model.size(), table.size());
            assertEquals(model.values().stream().filter(each -> each.kind() == ResourceKind.HOST).count(), table.size(ResourceKind.HOST));
            assertEquals(model.values().stream().mapToLong(each -> each.value().length).sum(), table.valueBytes());
            long[] hash = hash(model.values());
            assertEquals(new Revision(3, number, hash[0], hash[1]), table.revision());
            for (Resource each : model.values()) {
                assertEquals(each, table.get(each.kind(), each.name()));
            }
        }
    }

    /** What it holds makes the hash, and not how it came: edits in another order, by way of resources that are gone again, or in chunks of a snapshot. */
    @Property(tries = 80)
    void theSameResourcesHaveTheSameHashHoweverTheyCame(@ForAll long seed) {
        Random random = new Random(seed);
        List<Edit> edits = new ArrayList<>(IntStream.range(0, 40).mapToObj(i -> put("n" + i, "v" + random.nextInt())).toList());
        Table one = applied(Table.empty(1).apply(9, new Change("a", edits))).table();
        Collections.shuffle(edits, random);
        Table other = applied(Table.empty(1).apply(4, TestChanges.of("x", put("n3", "old"), put("gone", "old")))).table();
        other = applied(other.apply(5, TestChanges.of("y", new Edit.Delete(ResourceKind.ROUTE, "gone", 4)))).table();
        other = applied(other.apply(9, new Change("a", edits))).table();
        assertEquals(one.revision(), other.revision());
        assertArrayEquals(one.digests(), other.digests());
        Table.Assembly assembly = Table.empty(1).assembly();
        List<Shard> shards = new ArrayList<>(IntStream.range(0, Table.SHARDS).mapToObj(i -> new Shard(i, one.shard(i))).filter(each -> !each.resources().isEmpty()).toList());
        Collections.shuffle(shards, random);
        shards.forEach(each -> assertNull(assembly.add(new SnapshotChunk(one.revision(), List.of(each), false))));
        assertEquals(one.revision(), assembly.finish().revision());
        assertNotEquals(one.revision(), applied(one.apply(10, TestChanges.of("z", put("n1", "else")))).table().revision());
    }

    @Test
    void aConflictTellsWhatWasExpectedAndWhatWasFoundAndNothingOfTheChangeIsIn() {
        Table table = applied(Table.empty(1).apply(7, TestChanges.of("a", put("r", "1")))).table();
        Change change = TestChanges.of("b", put("new", "1"), new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("2"), 3));
        assertEquals("edits[1] (route r): expected version 3, found version 7", assertInstanceOf(Outcome.Conflict.class, table.apply(8, change)).reason());
        Change there = TestChanges.of("c", new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("2"), Edit.NONE));
        assertEquals("edits[0] (route r): expected none there, found version 7", assertInstanceOf(Outcome.Conflict.class, table.apply(8, there)).reason());
        Change gone = TestChanges.of("d", new Edit.Delete(ResourceKind.POOL, "r", 7));
        assertEquals("edits[0] (pool r): expected version 7, found none there", assertInstanceOf(Outcome.Conflict.class, table.apply(8, gone)).reason());
        assertNull(table.get(ResourceKind.ROUTE, "new"));
        assertThrows(IllegalArgumentException.class, () -> table.apply(7, change));
    }

    /** Out of its place, of another epoch, or not what it says: told, and the table is as it was. */
    @Test
    void aDeltaThatDoesNotFitIsNotTaken() {
        Table table = applied(Table.empty(1).apply(7, TestChanges.of("a", put("r", "1")))).table();
        Delta next = applied(table.apply(8, TestChanges.of("b", put("s", "2")))).delta();
        Table later = table.with(next);
        assertEquals("expected a delta from 8 of epoch 1, found one from 7 to 8 of epoch 1", assertThrows(MismatchException.class, () -> later.with(next)).getMessage());
        Delta other = new Delta(7, next.to(), List.of(new Resource(ResourceKind.ROUTE, "s", 8, bytes("3"))), List.of());
        assertTrue(assertThrows(MismatchException.class, () -> table.with(other)).getMessage().startsWith("delta to 8: expected what makes "));
        Delta epoch = new Delta(7, new Revision(2, 8, next.to().high(), next.to().low()), next.upserts(), List.of());
        assertThrows(MismatchException.class, () -> table.with(epoch));
        assertEquals(1, table.size());
    }

    /** A list at once gives what one by one gives, whatever is wrong with it and wherever: the same table behind the same delta, for the same reason; and the table before stays. */
    @Property(tries = 300)
    void aListOfDeltasAtOnceDoesAsOneByOneWould(@ForAll long seed) {
        Random random = new Random(seed);
        Table begin = TestChanges.table(random.nextInt(3) * 40);
        List<Delta> deltas = new ArrayList<>();
        Table end = begin;
        for (int i = random.nextInt(40); i >= 0; i--) {
            long number = end.revision().number() + 1 + random.nextInt(3);
            Outcome outcome = end.apply(number, TestChanges.drawn(random, "c" + i));
            Outcome.Applied applied = outcome instanceof Outcome.Applied in ? in : end.passed(number);
            deltas.add(applied.delta());
            end = applied.table();
        }
        int bad = random.nextInt(4) == 0 ? -1 : random.nextInt(deltas.size());
        if (bad >= 0) {
            deltas.set(bad, spoilt(random, deltas.get(bad)));
        }
        Map<String, Resource> content = all(begin);
        Table one = begin;
        int taken = 0;
        String problem = null;
        while (problem == null && taken < deltas.size()) {
            try {
                one = one.with(deltas.get(taken));
                taken++;
            } catch (MismatchException e) {
                problem = e.getMessage();
            }
        }
        Table.ApplyResult followed = begin.follow(deltas);
        assertEquals(taken, followed.taken());
        assertEquals(problem, followed.problem());
        assertEquals(one.revision(), followed.table().revision());
        assertArrayEquals(one.digests(), followed.table().digests());
        assertEquals(all(one), all(followed.table()));
        assertEquals(one.size(), followed.table().size());
        assertEquals(one.valueBytes(), followed.table().valueBytes());
        assertEquals(content, all(begin), "the one before");
        if (bad < 0) {
            assertNull(problem);
            assertEquals(end.revision(), followed.table().revision());
        } else if (problem != null) {
            assertEquals(bad, taken, "the last good one is before the bad one");
        }
        Table next = followed.table();
        Delta more = applied(next.apply(next.revision().number() + 1, TestChanges.of("more", put("n3", "else")))).delta();
        assertEquals(more.to(), next.follow(List.of(more)).table().revision(), "it is gone on from");
        assertEquals(all(one), all(next), "and stays itself");
    }

    /** One that isn't what was agreed on: of another place or epoch, another hash, another value or version, or without one of its edits. */
    private static Delta spoilt(Random random, Delta of) {
        Revision to = of.to();
        List<Resource> upserts = new ArrayList<>(of.upserts());
        upserts.add(new Resource(ResourceKind.ROUTE, "n" + random.nextInt(15), random.nextInt(3), bytes("spoilt")));
        return switch (random.nextInt(7)) {
            case 0 -> new Delta(of.from() + 1, to, of.upserts(), of.deletes());
            case 1 -> new Delta(of.from(), new Revision(to.epoch() + 1, to.number(), to.high(), to.low()), of.upserts(), of.deletes());
            case 2 -> new Delta(of.from(), new Revision(to.epoch(), to.number(), to.high() ^ 1, to.low()), of.upserts(), of.deletes());
            case 3 -> new Delta(of.from(), new Revision(to.epoch(), to.number(), to.high(), to.low() + 1), of.upserts(), of.deletes());
            case 4 -> new Delta(of.from(), new Revision(to.epoch(), of.from(), to.high(), to.low()), of.upserts(), of.deletes());
            case 5 -> new Delta(of.from(), to, upserts, of.deletes());
            default -> new Delta(of.from(), to, of.upserts().subList(0, of.upserts().size() / 2), of.deletes());
        };
    }

    /** A bound that is passed within a list holds where it is passed, though a later delta would bring it back. */
    @Test
    void aBoundIsHeldAfterEachDeltaOfAList() {
        byte[] value = new byte[Resource.VALUE_MOST];
        List<String> names = IntStream.range(0, 100_000).mapToObj(i -> "s" + i).filter(name -> Table.shardOf(ResourceKind.POOL, name) == 5).limit(24).toList();
        Table table = Table.empty(1);
        List<Delta> deltas = new ArrayList<>();
        for (int i = 0; i < 23; i++) {
            Outcome.Applied applied = applied(table.apply(i + 1, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, names.get(i), value, Edit.NONE))));
            table = applied.table();
            deltas.add(applied.delta());
        }
        deltas.add(new Delta(23, new Revision(1, 24, 0, 0), List.of(new Resource(ResourceKind.POOL, names.get(23), 24, value)), List.of()));
        deltas.add(new Delta(24, new Revision(1, 25, table.revision().high(), table.revision().low()), List.of(), List.of(new Delta.Deletion(ResourceKind.POOL, names.get(23)))));
        Table.ApplyResult followed = Table.empty(1).follow(deltas);
        assertEquals(23, followed.taken());
        assertEquals(table.revision(), followed.table().revision());
        assertTrue(followed.problem().startsWith("delta to 24: shard 5: expected at most 393216 bytes, found "), followed.problem());
    }

    @Test
    void theSameResourcesMayBeginALaterEpoch() {
        Table table = applied(Table.empty(1).apply(7, TestChanges.of("a", put("r", "1")))).table();
        Table begun = table.begun(2);
        assertTrue(begun.revision().after(table.revision()));
        assertEquals(0, begun.revision().number());
        assertEquals(1, applied(begun.apply(1, TestChanges.of("b", new Edit.Delete(ResourceKind.ROUTE, "r", 7)))).delta().to().number());
        assertThrows(IllegalArgumentException.class, () -> begun.begun(2));
    }

    @Test
    void moreResourcesThanTheBoundAreAConflict() throws NoSuchAlgorithmException {
        List<List<Resource>> shards = new ArrayList<>(IntStream.range(0, Table.SHARDS).mapToObj(i -> (List<Resource>) new ArrayList<Resource>()).toList());
        List<Resource> all = IntStream.range(0, Table.RESOURCES_MOST).mapToObj(i -> new Resource(ResourceKind.TENANT, Integer.toString(i, 36), 1, bytes("1"))).toList();
        all.stream().sorted(Comparator.comparing(Resource::name)).forEach(each -> shards.get(Table.shardOf(each.kind(), each.name())).add(each));
        long[] hash = hash(all);
        Table.Assembly assembly = Table.empty(1).assembly();
        assertNull(assembly.add(new SnapshotChunk(new Revision(1, 1, hash[0], hash[1]), IntStream.range(0, Table.SHARDS).mapToObj(i -> new Shard(i, shards.get(i))).toList(), true)));
        Table table = assembly.finish();
        Outcome.Conflict conflict = assertInstanceOf(Outcome.Conflict.class, table.apply(1_000, TestChanges.of("d", put("r", "1"))));
        assertEquals("expected at most 500000 resources, found 500001", conflict.reason());
        assertEquals(Table.RESOURCES_MOST, applied(table.apply(1_000, TestChanges.of("e", put("r", "1"), new Edit.Delete(ResourceKind.TENANT, "0", Edit.ANY)))).table().size());
    }

    @Test
    void moreBytesThanTheBoundAreAConflictInAllAndInAShard() {
        Table table = Table.empty(1);
        byte[] value = new byte[Resource.VALUE_MOST];
        long number = 0;
        for (int made = 0; made < Table.VALUE_BYTES_MOST / value.length; made += 2) {
            table = applied(table.apply(++number, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, "p" + made, value, Edit.NONE),
                    new Edit.Upsert(ResourceKind.POOL, "p" + (made + 1), value, Edit.NONE)))).table();
        }
        assertEquals("expected at most 134217728 bytes of values, found 134217729", assertInstanceOf(Outcome.Conflict.class, table.apply(number + 1, TestChanges.of("d", put("r", "1")))).reason());
        Table one = Table.empty(1);
        List<String> names = IntStream.range(0, 100_000).mapToObj(i -> "s" + i).filter(name -> Table.shardOf(ResourceKind.POOL, name) == 5).limit(24).toList();
        for (int i = 0; i < 23; i++) {
            one = applied(one.apply(i + 1, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, names.get(i), value, Edit.NONE)))).table();
        }
        String reason = assertInstanceOf(Outcome.Conflict.class, one.apply(99, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, names.get(23), value, Edit.NONE)))).reason();
        assertTrue(reason.startsWith("shard 5: expected at most 393216 bytes, found "), reason);
    }

    /** Broken off, and gone on with at another revision: only what differs by then has to come. */
    @Property(tries = 50)
    void aSnapshotIsGoneOnWithAtAnotherRevision(@ForAll long seed) {
        Random random = new Random(seed);
        Table first = TestChanges.table(2_000);
        Table have = random.nextBoolean() ? Table.empty(1) : TestChanges.table(600);
        Table.Assembly assembly = have.assembly();
        int half = random.nextInt(Table.SHARDS);
        for (int i = 0; i < half; i++) {
            assertNull(assembly.add(new SnapshotChunk(first.revision(), List.of(new Shard(i, first.shard(i))), false)));
        }
        Table later = applied(first.apply(99, TestChanges.of("x", put("resource-4", "else"), put("new", "1"), new Edit.Delete(ResourceKind.POOL, "resource-9", Edit.ANY)))).table();
        long[] digests = assembly.digests();
        int differ = 0;
        for (int i = 0; i < Table.SHARDS; i++) {
            if (digests[i] != later.digest(i)) {
                differ++;
                assertEquals(null, assembly.add(new SnapshotChunk(later.revision(), List.of(new Shard(i, later.shard(i))), false)));
            }
        }
        assertTrue(differ <= Table.SHARDS - half + 3, differ + " differ");
        Table made = assembly.finish();
        assertEquals(later.revision(), made.revision());
        assertEquals(all(later), all(made));
        assertEquals(later.valueBytes(), made.valueBytes());
        assertEquals(later.size(ResourceKind.POOL), made.size(ResourceKind.POOL));
    }

    @Test
    void aChunkThatIsWrongIsToldAndNothingOfItIsTaken() {
        Table table = TestChanges.table(4_000);
        Table.Assembly assembly = Table.empty(1).assembly();
        assertEquals(Revision.none(1), assembly.finish().revision(), "nothing came, so it is what it began from");
        Shard zero = new Shard(0, table.shard(0));
        List<Resource> turned = new ArrayList<>(table.shard(0));
        Collections.reverse(turned);
        assertTrue(assembly.add(new SnapshotChunk(table.revision(), List.of(new Shard(1, table.shard(0))), true)).startsWith("shard 1: expected its own resources, found "));
        assertTrue(assembly.add(new SnapshotChunk(table.revision(), List.of(new Shard(0, turned)), true)).startsWith("shard 0: expected resources in their order, found "));
        assertEquals("piece: expected shards from 1 to 1023, found 0", assembly.add(new SnapshotChunk(table.revision(), List.of(zero, zero), true)));
        assertEquals("piece: expected shards from 0 to 1023, found 1024", assembly.add(new SnapshotChunk(table.revision(), List.of(new Shard(1_024, List.of())), true)));
        assertEquals(0, assembly.taken());
        assertNull(assembly.add(new SnapshotChunk(table.revision(), List.of(zero), true)));
        assertNull(assembly.finish());
        assertTrue(assembly.problem().startsWith("snapshot of 14: expected what makes "), assembly.problem());
    }
}
