package mastdrift.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * All resources at one revision. Immutable: a change makes another table that shares with this one all but the shards that it touches.
 *
 * <p>A resource is in one of {@value #SHARDS} shards, by a hash of kind and name that is the same at every machine. A shard is an array in the order of kind and name: beside
 * the resources themselves it takes four bytes each, where a tree or hash map takes forty and more. The shards hang on a tree of two levels with 32 branches each, and a
 * change copies the path to what it touches (Driscoll, Sarnak, Sleator, Tarjan, "Making data structures persistent", 1989, path copying): of one resource its shard (some 240
 * references at 245,000 resources) and 64 references above it, and it hashes one or two resources. {@link #follow} copies each of them once for all deltas of a list.
 *
 * <p>Bounded: {@value #RESOURCES_MOST} resources, twice the 245,810 of the target; {@value #VALUE_BYTES_MOST} bytes of values; {@value #SHARD_BYTES_MOST} bytes a shard, so that
 * each fits into one message. What would go beyond isn't applied.
 */
public final class Table {

    /** Shards; the same at every machine. */
    public static final int SHARDS = 1_024;
    /** Resources, at most. */
    public static final int RESOURCES_MOST = 500_000;
    /** Bytes of all values, at most. */
    public static final long VALUE_BYTES_MOST = 128L << 20;
    /** Bytes of a shard's names and values, with {@link #RESOURCE_BYTES} for each, at most. */
    public static final int SHARD_BYTES_MOST = 384 << 10;
    /** What a resource takes in a message beside name and value, at most. */
    public static final int RESOURCE_BYTES = 32;
    private static final int GROUP = 32;  // shards of a group, and groups
    private static final Resource[] NOTHING = {};

    private final Revision revision;
    private final Shard[][] groups;
    private final int[] sizes;  // by kind
    private final long valueBytes;

    /** Resources in their order, and what is summed over them. Nothing of it changes once a table holds it: until then it is its {@link Editor}'s or {@link Assembly}'s. */
    private static final class Shard {

        private static final Shard EMPTY = new Shard(NOTHING, 0, 0, 0);

        private Resource[] resources;
        private long high;  // of hashes
        private long low;
        private long bytes;

        Shard(Resource[] resources, long high, long low, long bytes) {
            this.resources = resources;
            this.high = high;
            this.low = low;
            this.bytes = bytes;
        }
    }

    private Table(Revision revision, Shard[][] groups, int[] sizes, long valueBytes) {
        this.revision = revision;
        this.groups = groups;
        this.sizes = sizes;
        this.valueBytes = valueBytes;
    }

    /** With nothing in it, at the beginning of an epoch. */
    public static Table empty(long epoch) {
        Shard[] none = new Shard[GROUP];
        Arrays.fill(none, Shard.EMPTY);
        Shard[][] groups = new Shard[SHARDS / GROUP][];
        Arrays.fill(groups, none);
        return new Table(Revision.none(epoch), groups, new int[ResourceKind.values().length], 0);
    }

    /** The same resources at the beginning of a later epoch. Throws IllegalArgumentException for one that isn't later. */
    public Table begun(long epoch) {
        if (epoch <= revision.epoch()) {
            throw new IllegalArgumentException("epoch: expected one after " + revision.epoch() + ", found " + epoch);
        }
        return new Table(new Revision(epoch, 0, revision.high(), revision.low()), groups, sizes, valueBytes);
    }

    /** Which state this is. */
    public Revision revision() {
        return revision;
    }

    /** Resources in all. */
    public int size() {
        return Arrays.stream(sizes).sum();
    }

    /** Resources of a kind. */
    public int size(ResourceKind kind) {
        return sizes[kind.ordinal()];
    }

    /** Bytes of all values. */
    public long valueBytes() {
        return valueBytes;
    }

    /** A resource; null where there is none. */
    public Resource get(ResourceKind kind, String name) {
        Resource[] shard = at(shardOf(kind, name)).resources;
        int at = find(shard, kind, name);
        return at < 0 ? null : shard[at];
    }

    private Shard at(int number) {
        return groups[number / GROUP][number % GROUP];
    }

    /** Resources of a shard, 0 to {@value #SHARDS} less 1, in the order of kind and name. */
    public List<Resource> shard(int number) {
        return Collections.unmodifiableList(Arrays.asList(at(number).resources));
    }

    /** Says whether two shards hold the same, but for a chance of 1 in 2^64; 0 for an empty one. */
    public long digest(int number) {
        return at(number).low;
    }

    /** Of all shards. */
    public long[] digests() {
        return IntStream.range(0, SHARDS).mapToLong(this::digest).toArray();
    }

    /** All resources of a kind, in an order that means nothing. */
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

    /** What a resource takes in a message, at most. */
    static int bytes(Resource resource) {
        return RESOURCE_BYTES + bytes(resource.name()) + resource.value().length;
    }

    private static int bytes(String name) {
        return 3 * name.length();
    }

    private static int find(Resource[] shard, ResourceKind kind, String name) {
        int low = 0;
        int high = shard.length - 1;
        while (low <= high) {
            int mid = low + high >>> 1;
            int order = compare(shard[mid], kind, name);
            if (order == 0) {
                return mid;
            }
            if (order < 0) {
                low = mid + 1;
            } else {
                high = mid - 1;
            }
        }
        return -low - 1;
    }

    private static int compare(Resource one, ResourceKind kind, String name) {
        return one.kind() != kind ? Integer.compare(one.kind().ordinal(), kind.ordinal()) : one.name().compareTo(name);
    }

    // ---- changes

    /** What a change makes of this table, whole or not at all. {@code number} is its place in the agreed order, which is the version of what it puts in and the revision's
        number. The same at every machine that has the same table. Throws IllegalArgumentException for a number that isn't after this revision's. */
    public Outcome apply(long number, Change change) {
        after(number);
        List<Resource> upserts = new ArrayList<>();
        List<Delta.Deletion> deletes = new ArrayList<>();
        String problem = ChangeCheck.shape(change);
        for (int i = 0; problem == null && i < change.edits().size(); i++) {
            Edit edit = change.edits().get(i);
            Resource there = get(edit.kind(), edit.name());
            long version = there == null ? Edit.NONE : there.version();
            if (edit.expectedVersion() != Edit.ANY && edit.expectedVersion() != version) {
                problem = place(i, edit) + ": expected " + version(edit.expectedVersion()) + ", found " + version(version);
            } else if (edit instanceof Edit.Upsert upsert) {
                upserts.add(new Resource(edit.kind(), edit.name(), number, upsert.value()));
            } else if (there != null) {
                deletes.add(new Delta.Deletion(edit.kind(), edit.name()));
            }
        }
        if (problem != null) {
            return new Outcome.Conflict(problem);
        }
        Editor editor = new Editor();
        problem = editor.change(upserts, deletes);
        if (problem != null) {
            return new Outcome.Conflict(problem);
        }
        Table next = editor.finish(number);
        return new Outcome.Applied(next, new Delta(revision.number(), next.revision, upserts, deletes));
    }

    /** The same resources at a later number: of a decision that changed nothing here. Throws IllegalArgumentException for a number that isn't after this revision's. */
    public Outcome.Applied passed(long number) {
        after(number);
        Table next = new Table(new Revision(revision.epoch(), number, revision.high(), revision.low()), groups, sizes, valueBytes);
        return new Outcome.Applied(next, new Delta(revision.number(), next.revision, List.of(), List.of()));
    }

    private void after(long number) {
        if (number <= revision.number()) {
            throw new IllegalArgumentException("expected a number after " + revision.number() + ", found " + number);
        }
    }

    static String place(int edit, Edit of) {
        return "edits[" + edit + "] (" + of.kind().name().toLowerCase(Locale.ROOT) + " " + of.name() + ")";
    }

    private static String version(long version) {
        return version == Edit.NONE ? "none there" : "version " + version;
    }

    /**
     * What a list of deltas makes of a table.
     *
     * @param table behind those that fit
     * @param taken how many of the list fit, from its head
     * @param problem what is wrong with the next one, with expected and found; null where all fit
     */
    public record ApplyResult(Table table, int taken, String problem) { }

    /** What a delta makes of this table. Throws {@link MismatchException} where it begins at another number or epoch, or what comes out isn't the revision that it says. */
    public Table with(Delta delta) {
        ApplyResult followed = follow(List.of(delta));
        if (followed.problem != null) {
            throw new MismatchException(followed.problem);
        }
        return followed.table;
    }

    /** What deltas make of this table one behind the other, up to the first that begins at another number or epoch, or doesn't make the revision that it says: the same as each
        by {@link #with}, and each revision on the way is proved by its hash, for one copy of each list and shard. Where one is wrong, those before it are gone through once more. */
    public ApplyResult follow(List<Delta> deltas) {
        Editor editor = new Editor();
        for (int i = 0; i < deltas.size(); i++) {
            String problem = editor.follow(deltas.get(i));
            if (problem != null) {
                return new ApplyResult(i == 0 ? this : follow(deltas.subList(0, i)).table, i, problem);  // the editor holds what is wrong by now
            }
        }
        return new ApplyResult(deltas.isEmpty() ? this : editor.finish(editor.number), deltas.size(), null);
    }

    private static String text(long high, long low) {
        return String.format("%016x%016x", high, low);
    }

    /** A table of which some shards are replaced. A list or shard that isn't this table's any more is the editor's own, and changed in its place. */
    private final class Editor {
        private final Shard[][] nextGroups = groups.clone();
        private final int[] nextSizes = sizes.clone();
        private final SetHash hash = new SetHash();
        private long nextValueBytes = valueBytes;
        private long number = revision.number();
        private long high = revision.high();
        private long low = revision.low();

        /** Goes on by a delta. What is wrong with it, after which this editor is of no use; null for nothing. */
        String follow(Delta delta) {
            Revision to = delta.to();
            if (delta.from() != number || to.epoch() != revision.epoch() || to.number() <= delta.from()) {
                return "expected a delta from " + number + " of epoch " + revision.epoch() + ", found one from " + delta.from() + " to " + to.number() + " of epoch " + to.epoch();
            }
            String problem = change(delta.upserts(), delta.deletes());
            if (problem != null) {
                return "delta to " + to.number() + ": " + problem;
            }
            if (high != to.high() || low != to.low()) {
                return "delta to " + to.number() + ": expected what makes " + text(to.high(), to.low()) + ", found " + text(high, low);
            }
            number = to.number();
            return null;
        }

        /** Puts in and takes out. The bound that is passed by it, after which this editor is of no use; null for none. */
        String change(List<Resource> upserts, List<Delta.Deletion> deletes) {
            upserts.forEach(this::put);
            deletes.forEach(this::remove);
            String problem = bounds(Arrays.stream(nextSizes).sum(), nextValueBytes);
            for (int i = 0; problem == null && i < upserts.size(); i++) {
                int shard = shardOf(upserts.get(i).kind(), upserts.get(i).name());
                problem = shardProblem(shard, next(shard).bytes);
            }
            return problem;
        }

        private Shard next(int number) {
            return nextGroups[number / GROUP][number % GROUP];
        }

        private Shard own(int number) {
            int group = number / GROUP;
            if (nextGroups[group] == groups[group]) {
                nextGroups[group] = groups[group].clone();
            }
            Shard shard = next(number);
            if (shard == at(number)) {
                shard = new Shard(shard.resources, shard.high, shard.low, shard.bytes);
                nextGroups[group][number % GROUP] = shard;
            }
            return shard;
        }

        private void count(Shard shard, Resource resource, int sign) {
            hash.of(resource);
            shard.high += sign * hash.high;
            shard.low += sign * hash.low;
            shard.bytes += sign * (long) Table.bytes(resource);
            high += sign * hash.high;
            low += sign * hash.low;
            nextSizes[resource.kind().ordinal()] += sign;
            nextValueBytes += sign * (long) resource.value().length;
        }

        private void put(Resource resource) {
            int number = shardOf(resource.kind(), resource.name());
            Shard shard = own(number);
            Resource[] there = shard.resources;
            int at = find(there, resource.kind(), resource.name());
            if (at >= 0) {
                count(shard, there[at], -1);
                shard.resources = there == at(number).resources ? there.clone() : there;
                shard.resources[at] = resource;
            } else {
                at = -at - 1;
                Resource[] longer = new Resource[there.length + 1];
                System.arraycopy(there, 0, longer, 0, at);
                System.arraycopy(there, at, longer, at + 1, there.length - at);
                longer[at] = resource;
                shard.resources = longer;
            }
            count(shard, resource, 1);
        }

        private void remove(Delta.Deletion deletion) {
            int number = shardOf(deletion.kind(), deletion.name());
            Resource[] there = next(number).resources;
            int at = find(there, deletion.kind(), deletion.name());
            if (at >= 0) {
                Shard shard = own(number);
                count(shard, there[at], -1);
                Resource[] shorter = there.length == 1 ? NOTHING : new Resource[there.length - 1];
                System.arraycopy(there, 0, shorter, 0, at);
                System.arraycopy(there, at + 1, shorter, at, shorter.length - at);
                shard.resources = shorter;
            }
        }

        Table finish(long at) {
            return new Table(new Revision(revision.epoch(), at, high, low), nextGroups, nextSizes, nextValueBytes);
        }
    }

    private static String bounds(long resources, long bytes) {
        if (resources > RESOURCES_MOST) {
            return "expected at most " + RESOURCES_MOST + " resources, found " + resources;
        }
        return bytes > VALUE_BYTES_MOST ? "expected at most " + VALUE_BYTES_MOST + " bytes of values, found " + bytes : null;
    }

    private static String shardProblem(int number, long bytes) {
        return bytes > SHARD_BYTES_MOST ? "shard " + number + ": expected at most " + SHARD_BYTES_MOST + " bytes, found " + bytes : null;
    }

    // ---- snapshots

    /** Begins to make another table of this one by chunks of a snapshot. */
    public Assembly assembly() {
        return new Assembly(this);
    }

    /**
     * A table that is made of shards as they come, and of those of the table that it began from where nothing came yet. It may be gone on with at another machine and at another
     * revision: that one is asked by the {@linkplain #digests digests} of what is here, and sends what differs.
     *
     * <p>Mutable, for one thread. Takes the table's memory and that of the shards that have come.
     */
    public static final class Assembly {
        private final Shard[] shards = new Shard[SHARDS];
        private final SetHash hash = new SetHash();
        private Revision revision;
        private String problem;
        private int taken;

        private Assembly(Table base) {
            for (int i = 0; i < SHARDS; i++) {
                shards[i] = base.at(i);
            }
            revision = base.revision;
        }

        /** Of the shards that are here now. */
        public long[] digests() {
            return Arrays.stream(shards).mapToLong(each -> each.low).toArray();
        }

        /** Shards that have come. */
        public int taken() {
            return taken;
        }

        /** Takes the shards of a chunk, all or none. What is wrong with it, with place, expected and found; null where nothing is. */
        public String add(Message.SnapshotChunk chunk) {
            Resource[][] come = new Resource[chunk.shards().size()][];
            int before = -1;
            for (int i = 0; i < come.length; i++) {
                Message.Shard shard = chunk.shards().get(i);
                if (shard.number() <= before || shard.number() >= SHARDS) {
                    return "piece: expected shards from " + (before + 1) + " to " + (SHARDS - 1) + ", found " + shard.number();
                }
                before = shard.number();
                come[i] = shard.resources().toArray(NOTHING);
                String wrong = wrong(before, come[i]);
                if (wrong != null) {
                    return wrong;
                }
            }
            for (int i = 0; i < come.length; i++) {
                put(chunk.shards().get(i).number(), come[i]);
            }
            revision = chunk.revision();
            return null;
        }

        private static String wrong(int number, Resource[] shard) {
            Resource before = null;
            for (Resource each : shard) {
                if (shardOf(each.kind(), each.name()) != number) {
                    return "shard " + number + ": expected its own resources, found " + each.kind() + " " + each.name();
                }
                if (before != null && compare(before, each.kind(), each.name()) >= 0) {
                    return "shard " + number + ": expected resources in their order, found " + each.kind() + " " + each.name() + " behind " + before.name();
                }
                before = each;
            }
            return shardProblem(number, Arrays.stream(shard).mapToLong(Table::bytes).sum());
        }

        private void put(int number, Resource[] resources) {
            Shard shard = resources.length == 0 ? Shard.EMPTY : new Shard(resources, 0, 0, 0);
            for (Resource each : resources) {
                hash.of(each);
                shard.high += hash.high;
                shard.low += hash.low;
                shard.bytes += bytes(each);
            }
            shards[number] = shard;
            taken++;
        }

        /** The table at the revision that the last chunk told; null where it isn't that yet, for the reason {@link #problem}. */
        public Table finish() {
            int[] sizes = new int[ResourceKind.values().length];
            long bytes = 0;
            long high = 0;
            long low = 0;
            for (Shard shard : shards) {
                high += shard.high;
                low += shard.low;
                for (Resource each : shard.resources) {
                    sizes[each.kind().ordinal()]++;
                    bytes += each.value().length;
                }
            }
            problem = bounds(Arrays.stream(sizes).sum(), bytes);
            if (problem == null && (high != revision.high() || low != revision.low())) {
                problem = "snapshot of " + revision.number() + ": expected what makes " + text(revision.high(), revision.low()) + ", found " + text(high, low);
            }
            Shard[][] groups = new Shard[SHARDS / GROUP][];
            Arrays.setAll(groups, group -> Arrays.copyOfRange(shards, group * GROUP, (group + 1) * GROUP));
            return problem == null ? new Table(revision, groups, sizes, bytes) : null;
        }

        /** Why {@link #finish} gave none. */
        public String problem() {
            return problem;
        }
    }
}
