package mastdrift.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * All resources at one revision. Immutable: a change creates another table that shares all shards but the changed ones
 * with this one.
 * <p>A resource belongs to one of {@value #SHARDS} shards, by a hash of kind and name that is the same on every
 * machine. A shard is an array ordered by kind and name: beside the resources themselves it takes four bytes each,
 * where a tree or hash map takes forty and more. The shards are the leaves of a two-level tree with 32 branches each,
 * and a change copies the path to what it modifies (path copying: Driscoll, Sarnak, Sleator, Tarjan, "Making data
 * structures persistent", 1989): for one resource its shard (some 240 references at 245,000 resources) and 64
 * references above it, and it hashes one or two resources. {@link #applyDeltas} copies each of them once for all deltas
 * of a list.
 * <p>Bounded: {@value #MAX_RESOURCES} resources, twice the 245,810 of the target load; {@value #MAX_VALUE_BYTES} bytes
 * of values; {@value #MAX_SHARD_BYTES} bytes a shard, so that each shard fits into one message. Changes beyond these
 * bounds are not applied.
 */
public final class Table {

    /** Number of shards; the same on every machine. */
    public static final int SHARDS = 1_024;
    /** Maximum number of resources. */
    public static final int MAX_RESOURCES = 500_000;
    /** Maximum total size of all values. */
    public static final long MAX_VALUE_BYTES = 128L << 20;
    /** Maximum size of a shard's names and values, plus {@link #RESOURCE_OVERHEAD_BYTES} for each resource. */
    public static final int MAX_SHARD_BYTES = 384 << 10;
    /** Upper bound of the encoded size of a resource beside name and value. */
    public static final int RESOURCE_OVERHEAD_BYTES = 32;
    private static final int GROUP_SIZE = 32;  // shards per group, and number of groups
    private static final Resource[] NO_RESOURCES = {};

    private final Revision revision;
    private final Shard[][] groups;
    private final int[] countsByKind;  // number of resources by kind
    private final long valueBytes;

    /**
     * Sorted resources and totals over them. Immutable once a table holds it; before that it is owned by an {@link
     * Editor} or {@link Assembly}.
     */
    private static final class Shard {

        private static final Shard EMPTY = new Shard(NO_RESOURCES, 0, 0, 0);

        private Resource[] resources;
        private long high;  // sum of the resources' hashes
        private long low;
        private long bytes;

        Shard(Resource[] resources, long high, long low, long bytes) {
            this.resources = resources;
            this.high = high;
            this.low = low;
            this.bytes = bytes;
        }
    }

    private Table(Revision revision, Shard[][] groups, int[] countsByKind, long valueBytes) {
        this.revision = revision;
        this.groups = groups;
        this.countsByKind = countsByKind;
        this.valueBytes = valueBytes;
    }

    /** Creates an empty table at the start of an epoch. */
    public static Table empty(long epoch) {
        Shard[] emptyGroup = new Shard[GROUP_SIZE];
        Arrays.fill(emptyGroup, Shard.EMPTY);
        Shard[][] groups = new Shard[SHARDS / GROUP_SIZE][];
        Arrays.fill(groups, emptyGroup);
        return new Table(Revision.empty(epoch), groups, new int[ResourceKind.values().length], 0);
    }

    /**
     * Returns the same resources at the start of a later epoch. Throws IllegalArgumentException if the epoch is not
     * later.
     */
    public Table withEpoch(long epoch) {
        if (epoch <= revision.epoch()) {
            throw new IllegalArgumentException("epoch: expected one after " + revision.epoch() + ", found " + epoch);
        }
        return new Table(new Revision(epoch, 0, revision.high(), revision.low()), groups, countsByKind, valueBytes);
    }

    /** Revision of this table. */
    public Revision revision() {
        return revision;
    }

    /** Total number of resources. */
    public int size() {
        return Arrays.stream(countsByKind).sum();
    }

    /** Number of resources of a kind. */
    public int size(ResourceKind kind) {
        return countsByKind[kind.ordinal()];
    }

    /** Total size of all values. */
    public long valueBytes() {
        return valueBytes;
    }

    /** Returns a resource; null if there is none. */
    public Resource get(ResourceKind kind, String name) {
        Resource[] shard = shardAt(shardOf(kind, name)).resources;
        int index = indexOf(shard, kind, name);
        return index < 0 ? null : shard[index];
    }

    private Shard shardAt(int number) {
        return groups[number / GROUP_SIZE][number % GROUP_SIZE];
    }

    /** Resources of a shard, from 0 to {@value #SHARDS} less 1, ordered by kind and name. */
    public List<Resource> shard(int number) {
        return Collections.unmodifiableList(Arrays.asList(shardAt(number).resources));
    }

    /**
     * Digest of a shard: equal for equal content, and different for other content but for a chance of 1 in 2^64; 0 for
     * an empty shard.
     */
    public long digest(int number) {
        return shardAt(number).low;
    }

    /** Digests of all shards. */
    public long[] digests() {
        return IntStream.range(0, SHARDS).mapToLong(this::digest).toArray();
    }

    /** Visits all resources of a kind, in unspecified order. */
    public void forEach(ResourceKind kind, Consumer<Resource> consumer) {
        for (Shard[] group : groups) {
            for (Shard shard : group) {
                for (Resource each : shard.resources) {
                    if (each.kind() == kind) {
                        consumer.accept(each);
                    }
                }
            }
        }
    }

    /** The shard that a resource belongs to. */
    public static int shardOf(ResourceKind kind, String name) {
        return (name.hashCode() * 31 + kind.ordinal()) * 0x9E3779B9 >>> 22;
    }

    /** Upper bound of the encoded size of a resource. */
    static int maxEncodedBytes(Resource resource) {
        return RESOURCE_OVERHEAD_BYTES + maxEncodedBytes(resource.name()) + resource.value().length;
    }

    private static int maxEncodedBytes(String name) {
        return 3 * name.length();
    }

    private static int indexOf(Resource[] shard, ResourceKind kind, String name) {
        int low = 0;
        int high = shard.length - 1;
        while (low <= high) {
            int middle = low + high >>> 1;
            int order = compare(shard[middle], kind, name);
            if (order == 0) {
                return middle;
            }
            if (order < 0) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -low - 1;
    }

    private static int compare(Resource one, ResourceKind kind, String name) {
        return one.kind() != kind ? Integer.compare(one.kind().ordinal(), kind.ordinal()) : one.name().compareTo(name);
    }

    // ---- changes

    /**
     * Applies a change to this table, completely or not at all. {@code number} is its position in the agreed order; it
     * becomes the version of the upserted resources and the number of the new revision. Deterministic: the same result
     * on every machine that has the same table. Throws IllegalArgumentException if the number is not after this
     * revision's.
     */
    public Outcome apply(long number, Change change) {
        requireAfter(number);
        List<Resource> upserts = new ArrayList<>();
        List<Delta.Deletion> deletes = new ArrayList<>();
        String problem = ChangeCheck.validateStructure(change);
        for (int i = 0; problem == null && i < change.edits().size(); i++) {
            Edit edit = change.edits().get(i);
            Resource existing = get(edit.kind(), edit.name());
            long version = existing == null ? Edit.NOT_PRESENT : existing.version();
            if (edit.expectedVersion() != Edit.ANY_VERSION && edit.expectedVersion() != version) {
                problem = describe(i, edit) + ": expected " + versionText(edit.expectedVersion()) + ", found " + versionText(version);
            } else if (edit instanceof Edit.Upsert upsert) {
                upserts.add(new Resource(edit.kind(), edit.name(), number, upsert.value()));
            } else if (existing != null) {
                deletes.add(new Delta.Deletion(edit.kind(), edit.name()));
            }
        }
        if (problem != null) {
            return new Outcome.Conflict(problem);
        }
        Editor editor = new Editor();
        problem = editor.applyEdits(upserts, deletes);
        if (problem != null) {
            return new Outcome.Conflict(problem);
        }
        Table next = editor.finish(number);
        return new Outcome.Applied(next, new Delta(revision.number(), next.revision, upserts, deletes));
    }

    /**
     * Returns the same resources at a later number, for a log entry that changed nothing. Throws
     * IllegalArgumentException if the number is not after this revision's.
     */
    public Outcome.Applied advanceTo(long number) {
        requireAfter(number);
        Table next = new Table(new Revision(revision.epoch(), number, revision.high(), revision.low()), groups, countsByKind, valueBytes);
        return new Outcome.Applied(next, new Delta(revision.number(), next.revision, List.of(), List.of()));
    }

    private void requireAfter(long number) {
        if (number <= revision.number()) {
            throw new IllegalArgumentException("expected a number after " + revision.number() + ", found " + number);
        }
    }

    static String describe(int index, Edit target) {
        return "edits[" + index + "] (" + target.kind().name().toLowerCase(Locale.ROOT) + " " + target.name() + ")";
    }

    private static String versionText(long version) {
        return version == Edit.NOT_PRESENT ? "none there" : "version " + version;
    }

    /**
     * Result of applying a list of deltas.
     * @param table result of the deltas that fit
     * @param appliedCount number of deltas that fit, from the head of the list
     * @param problem what is wrong with the next delta, with the expected and the actual value; null if all fit
     */
    public record ApplyResult(Table table, int appliedCount, String problem) { }

    /**
     * Applies a delta. Throws {@link MismatchException} if it starts at another number or epoch, or if its result is
     * not the revision that it states.
     */
    public Table applyDelta(Delta delta) {
        ApplyResult result = applyDeltas(List.of(delta));
        if (result.problem != null) {
            throw new MismatchException(result.problem);
        }
        return result.table;
    }

    /**
     * Applies deltas in order, up to the first that starts at another number or epoch or does not result in the
     * revision that it states. The result is that of calling {@link #applyDelta} for each, and every intermediate
     * revision is verified by its hash, but each list and shard is copied only once. If a delta is wrong, the ones
     * before it are applied a second time.
     */
    public ApplyResult applyDeltas(List<Delta> deltas) {
        Editor editor = new Editor();
        for (int i = 0; i < deltas.size(); i++) {
            String problem = editor.applyDelta(deltas.get(i));
            if (problem != null) {
                // the editor now holds the wrong delta's edits
                return new ApplyResult(i == 0 ? this : applyDeltas(deltas.subList(0, i)).table, i, problem);
            }
        }
        return new ApplyResult(deltas.isEmpty() ? this : editor.finish(editor.number), deltas.size(), null);
    }

    private static String hex(long high, long low) {
        return String.format("%016x%016x", high, low);
    }

    /**
     * Builds a successor of this table. A group or shard that is no longer this table's is owned by the editor and
     * modified in place.
     */
    private final class Editor {
        private final Shard[][] nextGroups = groups.clone();
        private final int[] nextCountsByKind = countsByKind.clone();
        private final SetHash hash = new SetHash();
        private long nextValueBytes = valueBytes;
        private long number = revision.number();
        private long high = revision.high();
        private long low = revision.low();

        /**
         * Applies a delta. Returns what is wrong with it, after which this editor must be discarded; null if it fits.
         */
        String applyDelta(Delta delta) {
            Revision to = delta.to();
            if (delta.from() != number || to.epoch() != revision.epoch() || to.number() <= delta.from()) {
                return "expected a delta from " + number + " of epoch " + revision.epoch() + ", found one from " + delta.from() + " to " + to.number() + " of epoch " + to.epoch();
            }
            String problem = applyEdits(delta.upserts(), delta.deletes());
            if (problem != null) {
                return "delta to " + to.number() + ": " + problem;
            }
            if (high != to.high() || low != to.low()) {
                return "delta to " + to.number() + ": expected hash " + hex(to.high(), to.low()) + ", found " + hex(high, low);
            }
            number = to.number();
            return null;
        }

        /**
         * Applies edits. Returns the bound that they exceed, after which this editor must be discarded; null if none.
         */
        String applyEdits(List<Resource> upserts, List<Delta.Deletion> deletes) {
            upserts.forEach(this::put);
            deletes.forEach(this::remove);
            String problem = boundsProblem(Arrays.stream(nextCountsByKind).sum(), nextValueBytes);
            for (int i = 0; problem == null && i < upserts.size(); i++) {
                int shard = shardOf(upserts.get(i).kind(), upserts.get(i).name());
                problem = shardProblem(shard, nextShard(shard).bytes);
            }
            return problem;
        }

        private Shard nextShard(int shardNumber) {
            return nextGroups[shardNumber / GROUP_SIZE][shardNumber % GROUP_SIZE];
        }

        private Shard mutableShard(int shardNumber) {
            int group = shardNumber / GROUP_SIZE;
            if (nextGroups[group] == groups[group]) {
                nextGroups[group] = groups[group].clone();
            }
            Shard shard = nextShard(shardNumber);
            if (shard == shardAt(shardNumber)) {
                shard = new Shard(shard.resources, shard.high, shard.low, shard.bytes);
                nextGroups[group][shardNumber % GROUP_SIZE] = shard;
            }
            return shard;
        }

        private void updateTotals(Shard shard, Resource resource, int sign) {
            hash.compute(resource);
            shard.high += sign * hash.high;
            shard.low += sign * hash.low;
            shard.bytes += sign * (long) Table.maxEncodedBytes(resource);
            high += sign * hash.high;
            low += sign * hash.low;
            nextCountsByKind[resource.kind().ordinal()] += sign;
            nextValueBytes += sign * (long) resource.value().length;
        }

        private void put(Resource resource) {
            int shardNumber = shardOf(resource.kind(), resource.name());
            Shard shard = mutableShard(shardNumber);
            Resource[] resources = shard.resources;
            int index = indexOf(resources, resource.kind(), resource.name());
            if (index >= 0) {
                updateTotals(shard, resources[index], -1);
                shard.resources = resources == shardAt(shardNumber).resources ? resources.clone() : resources;
                shard.resources[index] = resource;
            } else {
                index = -index - 1;
                Resource[] longer = new Resource[resources.length + 1];
                System.arraycopy(resources, 0, longer, 0, index);
                System.arraycopy(resources, index, longer, index + 1, resources.length - index);
                longer[index] = resource;
                shard.resources = longer;
            }
            updateTotals(shard, resource, 1);
        }

        private void remove(Delta.Deletion deletion) {
            int shardNumber = shardOf(deletion.kind(), deletion.name());
            Resource[] resources = nextShard(shardNumber).resources;
            int index = indexOf(resources, deletion.kind(), deletion.name());
            if (index >= 0) {
                Shard shard = mutableShard(shardNumber);
                updateTotals(shard, resources[index], -1);
                Resource[] shorter = resources.length == 1 ? NO_RESOURCES : new Resource[resources.length - 1];
                System.arraycopy(resources, 0, shorter, 0, index);
                System.arraycopy(resources, index + 1, shorter, index, shorter.length - index);
                shard.resources = shorter;
            }
        }

        Table finish(long newNumber) {
            return new Table(new Revision(revision.epoch(), newNumber, high, low), nextGroups, nextCountsByKind, nextValueBytes);
        }
    }

    private static String boundsProblem(long resources, long bytes) {
        if (resources > MAX_RESOURCES) {
            return "expected at most " + MAX_RESOURCES + " resources, found " + resources;
        }
        return bytes > MAX_VALUE_BYTES ? "expected at most " + MAX_VALUE_BYTES + " bytes of values, found " + bytes : null;
    }

    private static String shardProblem(int number, long bytes) {
        return bytes > MAX_SHARD_BYTES ? "shard " + number + ": expected at most " + MAX_SHARD_BYTES + " bytes, found " + bytes : null;
    }

    // ---- snapshots

    /** Starts to assemble another table from this one and the chunks of a snapshot. */
    public Assembly newAssembly() {
        return new Assembly(this);
    }

    /**
     * A table under assembly from the shards of a snapshot, with the base table's shards where none was received yet.
     * Assembly can continue from another machine and at another revision: the {@linkplain #digests digests} of the
     * current shards are sent there, and it returns the shards that differ.
     * <p>Mutable and not thread-safe. Takes the memory of the base table and of the received shards.
     */
    public static final class Assembly {
        private final Shard[] shards = new Shard[SHARDS];
        private final SetHash hash = new SetHash();
        private Revision revision;
        private String problem;
        private int shardsReceived;

        private Assembly(Table base) {
            for (int i = 0; i < SHARDS; i++) {
                shards[i] = base.shardAt(i);
            }
            revision = base.revision;
        }

        /** Digests of the current shards. */
        public long[] digests() {
            return Arrays.stream(shards).mapToLong(each -> each.low).toArray();
        }

        /** Number of shards received. */
        public int shardsReceived() {
            return shardsReceived;
        }

        /**
         * Adds the shards of a chunk, all or none. Returns what is wrong with it, with the place, the expected and the
         * actual value; null if it is valid.
         */
        public String add(Message.SnapshotChunk chunk) {
            Resource[][] received = new Resource[chunk.shards().size()][];
            int previousNumber = -1;
            for (int i = 0; i < received.length; i++) {
                Message.Shard shard = chunk.shards().get(i);
                if (shard.number() <= previousNumber || shard.number() >= SHARDS) {
                    return "chunk: expected shards from " + (previousNumber + 1) + " to " + (SHARDS - 1) + ", found " + shard.number();
                }
                previousNumber = shard.number();
                received[i] = shard.resources().toArray(NO_RESOURCES);
                String shardProblem = validateShard(previousNumber, received[i]);
                if (shardProblem != null) {
                    return shardProblem;
                }
            }
            for (int i = 0; i < received.length; i++) {
                put(chunk.shards().get(i).number(), received[i]);
            }
            revision = chunk.revision();
            return null;
        }

        private static String validateShard(int shardNumber, Resource[] resources) {
            Resource previous = null;
            for (Resource each : resources) {
                if (shardOf(each.kind(), each.name()) != shardNumber) {
                    return "shard " + shardNumber + ": expected its own resources, found " + each.kind() + " " + each.name();
                }
                if (previous != null && compare(previous, each.kind(), each.name()) >= 0) {
                    return "shard " + shardNumber + ": expected resources in their order, found " + each.kind() + " " + each.name() + " after " + previous.name();
                }
                previous = each;
            }
            return shardProblem(shardNumber, Arrays.stream(resources).mapToLong(Table::maxEncodedBytes).sum());
        }

        private void put(int shardNumber, Resource[] resources) {
            Shard shard = resources.length == 0 ? Shard.EMPTY : new Shard(resources, 0, 0, 0);
            for (Resource each : resources) {
                hash.compute(each);
                shard.high += hash.high;
                shard.low += hash.low;
                shard.bytes += maxEncodedBytes(each);
            }
            shards[shardNumber] = shard;
            shardsReceived++;
        }

        /**
         * Returns the table at the revision of the last chunk; null if the shards do not match that revision, for the
         * reason {@link #problem}.
         */
        public Table finish() {
            int[] countsByKind = new int[ResourceKind.values().length];
            long valueBytes = 0;
            long high = 0;
            long low = 0;
            for (Shard shard : shards) {
                high += shard.high;
                low += shard.low;
                for (Resource each : shard.resources) {
                    countsByKind[each.kind().ordinal()]++;
                    valueBytes += each.value().length;
                }
            }
            problem = boundsProblem(Arrays.stream(countsByKind).sum(), valueBytes);
            if (problem == null && (high != revision.high() || low != revision.low())) {
                problem = "snapshot of " + revision.number() + ": expected hash " + hex(revision.high(), revision.low()) + ", found " + hex(high, low);
            }
            Shard[][] groups = new Shard[SHARDS / GROUP_SIZE][];
            Arrays.setAll(groups, group -> Arrays.copyOfRange(shards, group * GROUP_SIZE, (group + 1) * GROUP_SIZE));
            return problem == null ? new Table(revision, groups, countsByKind, valueBytes) : null;
        }

        /** Why {@link #finish} returned null. */
        public String problem() {
            return problem;
        }
    }
}
