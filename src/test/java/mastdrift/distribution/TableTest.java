package mastdrift.distribution;

import static mastdrift.distribution.TestChanges.requireApplied;
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

    private static Map<String, Resource> resourcesByKey(Table table) {
        Map<String, Resource> all = new TreeMap<>();
        for (ResourceKind kind : ResourceKind.values()) {
            table.forEach(kind, each -> assertNull(all.put(each.kind() + " " + each.name(), each)));
        }
        return all;
    }

    /** The expected hash of a revision, computed from its definition. */
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

    /**
     * Compared with a map: content, counts and hash are equal; a change is atomic; the delta has the same result; and
     * the previous table is unchanged.
     */
    @Property(tries = 120)
    void changesMatchAMapModelAndLeaveThePreviousTableUnchanged(@ForAll long seed) throws NoSuchAlgorithmException {
        Random random = new Random(seed);
        Table table = Table.empty(3);
        Map<String, Resource> model = new TreeMap<>();
        long number = 0;
        for (int i = 0; i < 60; i++) {
            number += 1 + random.nextInt(3);
            Change change = TestChanges.randomChange(random, "c" + i);
            Map<String, Resource> next = new TreeMap<>(model);
            boolean conflict = false;
            for (Edit edit : change.edits()) {
                Resource existing = model.get(edit.kind() + " " + edit.name());
                conflict |= edit.expectedVersion() != Edit.ANY_VERSION && edit.expectedVersion() != (existing == null ? 0 : existing.version());
                next.remove(edit.kind() + " " + edit.name());
                if (edit instanceof Edit.Upsert upsert) {
                    next.put(edit.kind() + " " + edit.name(), new Resource(edit.kind(), edit.name(), number, upsert.value()));
                }
            }
            Outcome outcome = table.apply(number, change);
            assertEquals(model, resourcesByKey(table), "the previous table is unchanged");
            assertEquals(conflict, outcome instanceof Outcome.Conflict);
            if (outcome instanceof Outcome.Applied applied) {
                Table viaDelta = table.applyDelta(applied.delta());
                assertEquals(applied.table().revision(), viaDelta.revision());
                assertArrayEquals(applied.table().digests(), viaDelta.digests());
                model = next;
                table = random.nextBoolean() ? viaDelta : applied.table();
            } else {
                Outcome.Applied advanced = table.advanceTo(number);
                assertEquals(advanced.table().revision(), table.applyDelta(advanced.delta()).revision());
                table = advanced.table();
            }
            assertEquals(model, resourcesByKey(table));
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

    /**
     * The hash depends on the content only and not on how it was made: by edits in another order, with resources that
     * were deleted again, or by chunks of a snapshot.
     */
    @Property(tries = 80)
    void theHashIsIndependentOfTheOrderOfChanges(@ForAll long seed) {
        Random random = new Random(seed);
        List<Edit> edits = new ArrayList<>(IntStream.range(0, 40).mapToObj(i -> put("n" + i, "v" + random.nextInt())).toList());
        Table one = requireApplied(Table.empty(1).apply(9, new Change("a", edits))).table();
        Collections.shuffle(edits, random);
        Table other = requireApplied(Table.empty(1).apply(4, TestChanges.of("x", put("n3", "old"), put("gone", "old")))).table();
        other = requireApplied(other.apply(5, TestChanges.of("y", new Edit.Delete(ResourceKind.ROUTE, "gone", 4)))).table();
        other = requireApplied(other.apply(9, new Change("a", edits))).table();
        assertEquals(one.revision(), other.revision());
        assertArrayEquals(one.digests(), other.digests());
        Table.Assembly assembly = Table.empty(1).newAssembly();
        List<Shard> shards = new ArrayList<>(IntStream.range(0, Table.SHARDS).mapToObj(i -> new Shard(i, one.shard(i))).filter(each -> !each.resources().isEmpty()).toList());
        Collections.shuffle(shards, random);
        shards.forEach(each -> assertNull(assembly.add(new SnapshotChunk(one.revision(), List.of(each), false))));
        assertEquals(one.revision(), assembly.finish().revision());
        assertNotEquals(one.revision(), requireApplied(one.apply(10, TestChanges.of("z", put("n1", "else")))).table().revision());
    }

    @Test
    void aConflictNamesTheVersionsAndAppliesNothing() {
        Table table = requireApplied(Table.empty(1).apply(7, TestChanges.of("a", put("r", "1")))).table();
        Change change = TestChanges.of("b", put("new", "1"), new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("2"), 3));
        assertEquals("edits[1] (route r): expected version 3, found version 7", assertInstanceOf(Outcome.Conflict.class, table.apply(8, change)).reason());
        Change there = TestChanges.of("c", new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("2"), Edit.NOT_PRESENT));
        assertEquals("edits[0] (route r): expected none there, found version 7", assertInstanceOf(Outcome.Conflict.class, table.apply(8, there)).reason());
        Change gone = TestChanges.of("d", new Edit.Delete(ResourceKind.POOL, "r", 7));
        assertEquals("edits[0] (pool r): expected version 7, found none there", assertInstanceOf(Outcome.Conflict.class, table.apply(8, gone)).reason());
        assertNull(table.get(ResourceKind.ROUTE, "new"));
        assertThrows(IllegalArgumentException.class, () -> table.apply(7, change));
    }

    /**
     * A delta of another number or epoch, or with another result than stated, is rejected, and the table is unchanged.
     */
    @Test
    void aDeltaThatDoesNotFitIsRejected() {
        Table table = requireApplied(Table.empty(1).apply(7, TestChanges.of("a", put("r", "1")))).table();
        Delta next = requireApplied(table.apply(8, TestChanges.of("b", put("s", "2")))).delta();
        Table later = table.applyDelta(next);
        assertEquals("expected a delta from 8 of epoch 1, found one from 7 to 8 of epoch 1", assertThrows(MismatchException.class, () -> later.applyDelta(next)).getMessage());
        Delta other = new Delta(7, next.to(), List.of(new Resource(ResourceKind.ROUTE, "s", 8, bytes("3"))), List.of());
        assertTrue(assertThrows(MismatchException.class, () -> table.applyDelta(other)).getMessage().startsWith("delta to 8: expected hash "));
        Delta epoch = new Delta(7, new Revision(2, 8, next.to().high(), next.to().low()), next.upserts(), List.of());
        assertThrows(MismatchException.class, () -> table.applyDelta(epoch));
        assertEquals(1, table.size());
    }

    /**
     * Applying a list at once has the same result as one by one, whatever is wrong with it at any place: the same table
     * after the same delta, for the same reason; and the previous table is unchanged.
     */
    @Property(tries = 300)
    void applyingAListOfDeltasEqualsApplyingThemOneByOne(@ForAll long seed) {
        Random random = new Random(seed);
        Table initial = TestChanges.table(random.nextInt(3) * 40);
        List<Delta> deltas = new ArrayList<>();
        Table latest = initial;
        for (int i = random.nextInt(40); i >= 0; i--) {
            long number = latest.revision().number() + 1 + random.nextInt(3);
            Outcome outcome = latest.apply(number, TestChanges.randomChange(random, "c" + i));
            Outcome.Applied applied = outcome instanceof Outcome.Applied in ? in : latest.advanceTo(number);
            deltas.add(applied.delta());
            latest = applied.table();
        }
        int corruptedIndex = random.nextInt(4) == 0 ? -1 : random.nextInt(deltas.size());
        if (corruptedIndex >= 0) {
            deltas.set(corruptedIndex, corrupt(random, deltas.get(corruptedIndex)));
        }
        Map<String, Resource> content = resourcesByKey(initial);
        Table sequential = initial;
        int appliedCount = 0;
        String problem = null;
        while (problem == null && appliedCount < deltas.size()) {
            try {
                sequential = sequential.applyDelta(deltas.get(appliedCount));
                appliedCount++;
            } catch (MismatchException e) {
                problem = e.getMessage();
            }
        }
        Table.ApplyResult result = initial.applyDeltas(deltas);
        assertEquals(appliedCount, result.appliedCount());
        assertEquals(problem, result.problem());
        assertEquals(sequential.revision(), result.table().revision());
        assertArrayEquals(sequential.digests(), result.table().digests());
        assertEquals(resourcesByKey(sequential), resourcesByKey(result.table()));
        assertEquals(sequential.size(), result.table().size());
        assertEquals(sequential.valueBytes(), result.table().valueBytes());
        assertEquals(content, resourcesByKey(initial), "the previous table is unchanged");
        if (corruptedIndex < 0) {
            assertNull(problem);
            assertEquals(latest.revision(), result.table().revision());
        } else if (problem != null) {
            assertEquals(corruptedIndex, appliedCount, "the last good one is before the bad one");
        }
        Table next = result.table();
        Delta more = requireApplied(next.apply(next.revision().number() + 1, TestChanges.of("more", put("n3", "else")))).delta();
        assertEquals(more.to(), next.applyDeltas(List.of(more)).table().revision(), "it can be continued");
        assertEquals(resourcesByKey(sequential), resourcesByKey(next), "and is unchanged");
    }

    /**
     * A corrupted delta: of another number or epoch, with another hash, value or version, or without one of its edits.
     */
    private static Delta corrupt(Random random, Delta original) {
        Revision to = original.to();
        List<Resource> upserts = new ArrayList<>(original.upserts());
        upserts.add(new Resource(ResourceKind.ROUTE, "n" + random.nextInt(15), random.nextInt(3), bytes("spoilt")));
        return switch (random.nextInt(7)) {
            case 0 -> new Delta(original.from() + 1, to, original.upserts(), original.deletes());
            case 1 -> new Delta(original.from(), new Revision(to.epoch() + 1, to.number(), to.high(), to.low()), original.upserts(), original.deletes());
            case 2 -> new Delta(original.from(), new Revision(to.epoch(), to.number(), to.high() ^ 1, to.low()), original.upserts(), original.deletes());
            case 3 -> new Delta(original.from(), new Revision(to.epoch(), to.number(), to.high(), to.low() + 1), original.upserts(), original.deletes());
            case 4 -> new Delta(original.from(), new Revision(to.epoch(), original.from(), to.high(), to.low()), original.upserts(), original.deletes());
            case 5 -> new Delta(original.from(), to, upserts, original.deletes());
            default -> new Delta(original.from(), to, original.upserts().subList(0, original.upserts().size() / 2), original.deletes());
        };
    }

    /** A bound that is exceeded within a list is enforced there, even if a later delta would return below it. */
    @Test
    void boundsAreCheckedAfterEachDeltaOfAList() {
        byte[] value = new byte[Resource.MAX_VALUE_BYTES];
        List<String> names = IntStream.range(0, 100_000).mapToObj(i -> "s" + i).filter(name -> Table.shardOf(ResourceKind.POOL, name) == 5).limit(24).toList();
        Table table = Table.empty(1);
        List<Delta> deltas = new ArrayList<>();
        for (int i = 0; i < 23; i++) {
            Outcome.Applied applied = requireApplied(table.apply(i + 1, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, names.get(i), value, Edit.NOT_PRESENT))));
            table = applied.table();
            deltas.add(applied.delta());
        }
        deltas.add(new Delta(23, new Revision(1, 24, 0, 0), List.of(new Resource(ResourceKind.POOL, names.get(23), 24, value)), List.of()));
        deltas.add(new Delta(24, new Revision(1, 25, table.revision().high(), table.revision().low()), List.of(), List.of(new Delta.Deletion(ResourceKind.POOL, names.get(23)))));
        Table.ApplyResult result = Table.empty(1).applyDeltas(deltas);
        assertEquals(23, result.appliedCount());
        assertEquals(table.revision(), result.table().revision());
        assertTrue(result.problem().startsWith("delta to 24: shard 5: expected at most 393216 bytes, found "), result.problem());
    }

    @Test
    void aLaterEpochKeepsTheResources() {
        Table table = requireApplied(Table.empty(1).apply(7, TestChanges.of("a", put("r", "1")))).table();
        Table nextEpoch = table.withEpoch(2);
        assertTrue(nextEpoch.revision().isAfter(table.revision()));
        assertEquals(0, nextEpoch.revision().number());
        assertEquals(1, requireApplied(nextEpoch.apply(1, TestChanges.of("b", new Edit.Delete(ResourceKind.ROUTE, "r", 7)))).delta().to().number());
        assertThrows(IllegalArgumentException.class, () -> nextEpoch.withEpoch(2));
    }

    @Test
    void tooManyResourcesAreAConflict() throws NoSuchAlgorithmException {
        List<List<Resource>> shards = new ArrayList<>(IntStream.range(0, Table.SHARDS).mapToObj(i -> (List<Resource>) new ArrayList<Resource>()).toList());
        List<Resource> all = IntStream.range(0, Table.MAX_RESOURCES).mapToObj(i -> new Resource(ResourceKind.TENANT, Integer.toString(i, 36), 1, bytes("1"))).toList();
        all.stream().sorted(Comparator.comparing(Resource::name)).forEach(each -> shards.get(Table.shardOf(each.kind(), each.name())).add(each));
        long[] hash = hash(all);
        Table.Assembly assembly = Table.empty(1).newAssembly();
        assertNull(assembly.add(new SnapshotChunk(new Revision(1, 1, hash[0], hash[1]), IntStream.range(0, Table.SHARDS).mapToObj(i -> new Shard(i, shards.get(i))).toList(), true)));
        Table table = assembly.finish();
        Outcome.Conflict conflict = assertInstanceOf(Outcome.Conflict.class, table.apply(1_000, TestChanges.of("d", put("r", "1"))));
        assertEquals("expected at most 500000 resources, found 500001", conflict.reason());
        assertEquals(Table.MAX_RESOURCES, requireApplied(table.apply(1_000, TestChanges.of("e", put("r", "1"), new Edit.Delete(ResourceKind.TENANT, "0", Edit.ANY_VERSION)))).table().size());
    }

    @Test
    void tooManyBytesInATableOrAShardAreAConflict() {
        Table table = Table.empty(1);
        byte[] value = new byte[Resource.MAX_VALUE_BYTES];
        long number = 0;
        for (int made = 0; made < Table.MAX_VALUE_BYTES / value.length; made += 2) {
            table = requireApplied(table.apply(++number, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, "p" + made, value, Edit.NOT_PRESENT),
                    new Edit.Upsert(ResourceKind.POOL, "p" + (made + 1), value, Edit.NOT_PRESENT)))).table();
        }
        assertEquals("expected at most 134217728 bytes of values, found 134217729", assertInstanceOf(Outcome.Conflict.class, table.apply(number + 1, TestChanges.of("d", put("r", "1")))).reason());
        Table one = Table.empty(1);
        List<String> names = IntStream.range(0, 100_000).mapToObj(i -> "s" + i).filter(name -> Table.shardOf(ResourceKind.POOL, name) == 5).limit(24).toList();
        for (int i = 0; i < 23; i++) {
            one = requireApplied(one.apply(i + 1, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, names.get(i), value, Edit.NOT_PRESENT)))).table();
        }
        String reason = assertInstanceOf(Outcome.Conflict.class, one.apply(99, TestChanges.of("c", new Edit.Upsert(ResourceKind.POOL, names.get(23), value, Edit.NOT_PRESENT)))).reason();
        assertTrue(reason.startsWith("shard 5: expected at most 393216 bytes, found "), reason);
    }

    /** An interrupted snapshot is continued at another revision: only the shards that differ are needed. */
    @Property(tries = 50)
    void anInterruptedSnapshotContinuesAtAnotherRevision(@ForAll long seed) {
        Random random = new Random(seed);
        Table first = TestChanges.table(2_000);
        Table base = random.nextBoolean() ? Table.empty(1) : TestChanges.table(600);
        Table.Assembly assembly = base.newAssembly();
        int half = random.nextInt(Table.SHARDS);
        for (int i = 0; i < half; i++) {
            assertNull(assembly.add(new SnapshotChunk(first.revision(), List.of(new Shard(i, first.shard(i))), false)));
        }
        Table later = requireApplied(first.apply(99, TestChanges.of("x", put("resource-4", "else"), put("new", "1"), new Edit.Delete(ResourceKind.POOL, "resource-9", Edit.ANY_VERSION)))).table();
        long[] digests = assembly.digests();
        int differ = 0;
        for (int i = 0; i < Table.SHARDS; i++) {
            if (digests[i] != later.digest(i)) {
                differ++;
                assertEquals(null, assembly.add(new SnapshotChunk(later.revision(), List.of(new Shard(i, later.shard(i))), false)));
            }
        }
        assertTrue(differ <= Table.SHARDS - half + 3, differ + " differ");
        Table assembled = assembly.finish();
        assertEquals(later.revision(), assembled.revision());
        assertEquals(resourcesByKey(later), resourcesByKey(assembled));
        assertEquals(later.valueBytes(), assembled.valueBytes());
        assertEquals(later.size(ResourceKind.POOL), assembled.size(ResourceKind.POOL));
    }

    @Test
    void anInvalidChunkIsRejectedCompletely() {
        Table table = TestChanges.table(4_000);
        Table.Assembly assembly = Table.empty(1).newAssembly();
        assertEquals(Revision.empty(1), assembly.finish().revision(), "no chunk was added, so it equals the base table");
        Shard zero = new Shard(0, table.shard(0));
        List<Resource> reversed = new ArrayList<>(table.shard(0));
        Collections.reverse(reversed);
        assertTrue(assembly.add(new SnapshotChunk(table.revision(), List.of(new Shard(1, table.shard(0))), true)).startsWith("shard 1: expected its own resources, found "));
        assertTrue(assembly.add(new SnapshotChunk(table.revision(), List.of(new Shard(0, reversed)), true)).startsWith("shard 0: expected resources in their order, found "));
        assertEquals("chunk: expected shards from 1 to 1023, found 0", assembly.add(new SnapshotChunk(table.revision(), List.of(zero, zero), true)));
        assertEquals("chunk: expected shards from 0 to 1023, found 1024", assembly.add(new SnapshotChunk(table.revision(), List.of(new Shard(1_024, List.of())), true)));
        assertEquals(0, assembly.shardsReceived());
        assertNull(assembly.add(new SnapshotChunk(table.revision(), List.of(zero), true)));
        assertNull(assembly.finish());
        assertTrue(assembly.problem().startsWith("snapshot of 14: expected hash "), assembly.problem());
    }
}
