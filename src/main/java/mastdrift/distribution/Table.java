package mastdrift.distribution;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

/**
 * All resources at one revision. Immutable: a change makes another table that shares with this one all but the shards that it touches.
 *
 * <p>A resource is in one of {@value #SHARDS} shards, by a hash of kind and name that is the same at every machine. A shard is an array in the order of kind and name: beside
 * the resources themselves it takes four bytes each, where a tree or hash map takes forty and more. A change of one resource copies its shard (some 240 references at
 * 245,000 resources) and the lists of shards and digests, and hashes one or two resources: some microseconds.
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
    private static final Resource[] NOTHING = {};

    private final Revision revision;
    private final Resource[][] shards;
    private final long[] highs;  // sums of each shard's hashes
    private final long[] lows;
    private final int[] sizes;  // by kind
    private final long valueBytes;

    private Table(Revision revision, Resource[][] shards, long[] highs, long[] lows, int[] sizes, long valueBytes) {
        this.revision = revision;
        this.shards = shards;
        this.highs = highs;
        this.lows = lows;
        this.sizes = sizes;
        this.valueBytes = valueBytes;
    }

    /** With nothing in it, at the beginning of an epoch. */
    public static Table empty(long epoch) {
        Resource[][] shards = new Resource[SHARDS][];
        Arrays.fill(shards, NOTHING);
        return new Table(Revision.none(epoch), shards, new long[SHARDS], new long[SHARDS], new int[ResourceKind.values().length], 0);
    }

    /** The same resources at the beginning of a later epoch. Throws IllegalArgumentException for one that isn't later. */
    public Table begun(long epoch) {
        if (epoch <= revision.epoch()) {
            throw new IllegalArgumentException("epoch: expected one after " + revision.epoch() + ", found " + epoch);
        }
        return new Table(new Revision(epoch, 0, revision.high(), revision.low()), shards, highs, lows, sizes, valueBytes);
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
        Resource[] shard = shards[shardOf(kind, name)];
        int at = find(shard, kind, name);
        return at < 0 ? null : shard[at];
    }

    /** Resources of a shard, 0 to {@value #SHARDS} less 1, in the order of kind and name. */
    public List<Resource> shard(int number) {
        return Collections.unmodifiableList(Arrays.asList(shards[number]));
    }

    /** Says whether two shards hold the same, but for a chance of 1 in 2^64; 0 for an empty one. */
    public long digest(int number) {
        return lows[number];
    }

    /** Of all shards. */
    public long[] digests() {
        return lows.clone();
    }

    /** All resources of a kind, in an order that means nothing. */
    public void forEach(ResourceKind kind, Consumer<Resource> consumer) {
        for (Resource[] shard : shards) {
            for (Resource each : shard) {
                if (each.kind() == kind) {
                    consumer.accept(each);
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
        List<Delta.Gone> deletes = new ArrayList<>();
        String problem = ChangeCheck.shape(change);
        for (int i = 0; problem == null && i < change.edits().size(); i++) {
            Edit edit = change.edits().get(i);
            Resource there = get(edit.kind(), edit.name());
            long version = there == null ? Edit.NONE : there.version();
            if (edit.expected() != Edit.ANY && edit.expected() != version) {
                problem = place(i, edit) + ": expected " + version(edit.expected()) + ", found " + version(version);
            } else if (edit instanceof Edit.Upsert upsert) {
                upserts.add(new Resource(edit.kind(), edit.name(), number, upsert.value()));
            } else if (there != null) {
                deletes.add(new Delta.Gone(edit.kind(), edit.name()));
            }
        }
        if (problem != null) {
            return new Outcome.Conflict(problem);
        }
        Editor editor = new Editor();
        upserts.forEach(editor::put);
        deletes.forEach(editor::remove);
        problem = editor.problem();
        if (problem != null) {
            return new Outcome.Conflict(problem);
        }
        Table next = editor.finish(number);
        return new Outcome.Applied(next, new Delta(revision.number(), next.revision, upserts, deletes));
    }

    /** The same resources at a later number: of a decision that changed nothing here. Throws IllegalArgumentException for a number that isn't after this revision's. */
    public Outcome.Applied passed(long number) {
        after(number);
        Table next = new Table(new Revision(revision.epoch(), number, revision.high(), revision.low()), shards, highs, lows, sizes, valueBytes);
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

    /** What a delta makes of this table. Throws {@link MismatchException} where it begins at another number or epoch, or what comes out isn't the revision that it says. */
    public Table with(Delta delta) {
        Revision to = delta.to();
        if (delta.from() != revision.number() || to.epoch() != revision.epoch() || to.number() <= delta.from()) {
            throw new MismatchException("expected a delta from " + revision.number() + " of epoch " + revision.epoch() + ", found one from " + delta.from() + " to "
                    + to.number() + " of epoch " + to.epoch());
        }
        Editor editor = new Editor();
        delta.upserts().forEach(editor::put);
        delta.deletes().forEach(editor::remove);
        String problem = editor.problem();
        if (problem != null) {
            throw new MismatchException("delta to " + to.number() + ": " + problem);
        }
        Table next = editor.finish(to.number());
        if (!next.revision.equals(to)) {
            throw new MismatchException("delta to " + to.number() + ": expected what makes " + text(to) + ", found " + text(next.revision));
        }
        return next;
    }

    private static String text(Revision of) {
        return String.format("%016x%016x", of.high(), of.low());
    }

    /** A table of which some shards are replaced. */
    private final class Editor {
        private final Resource[][] nextShards = shards.clone();
        private final long[] nextHighs = highs.clone();
        private final long[] nextLows = lows.clone();
        private final int[] nextSizes = sizes.clone();
        private final Set<Integer> touched = new HashSet<>();
        private final SetHash hash = new SetHash();
        private long nextValueBytes = valueBytes;
        private long high = revision.high();
        private long low = revision.low();

        private void count(int shard, Resource resource, int sign) {
            hash.of(resource);
            nextHighs[shard] += sign * hash.high;
            nextLows[shard] += sign * hash.low;
            high += sign * hash.high;
            low += sign * hash.low;
            nextSizes[resource.kind().ordinal()] += sign;
            nextValueBytes += sign * (long) resource.value().length;
        }

        void put(Resource resource) {
            int number = shardOf(resource.kind(), resource.name());
            touched.add(number);
            Resource[] shard = nextShards[number];
            int at = find(shard, resource.kind(), resource.name());
            if (at >= 0) {
                count(number, shard[at], -1);
                shard = shard.clone();
                shard[at] = resource;
            } else {
                at = -at - 1;
                Resource[] longer = new Resource[shard.length + 1];
                System.arraycopy(shard, 0, longer, 0, at);
                System.arraycopy(shard, at, longer, at + 1, shard.length - at);
                longer[at] = resource;
                shard = longer;
            }
            count(number, resource, 1);
            nextShards[number] = shard;
        }

        void remove(Delta.Gone gone) {
            int number = shardOf(gone.kind(), gone.name());
            Resource[] shard = nextShards[number];
            int at = find(shard, gone.kind(), gone.name());
            if (at >= 0) {
                count(number, shard[at], -1);
                Resource[] shorter = shard.length == 1 ? NOTHING : new Resource[shard.length - 1];
                System.arraycopy(shard, 0, shorter, 0, at);
                System.arraycopy(shard, at + 1, shorter, at, shorter.length - at);
                nextShards[number] = shorter;
            }
        }

        /** Whether a bound is passed; null if not. */
        String problem() {
            String problem = bounds(Arrays.stream(nextSizes).sum(), nextValueBytes);
            for (int number : problem == null ? touched : Set.<Integer>of()) {
                problem = problem == null ? shardProblem(number, nextShards[number]) : problem;
            }
            return problem;
        }

        Table finish(long number) {
            return new Table(new Revision(revision.epoch(), number, high, low), nextShards, nextHighs, nextLows, nextSizes, nextValueBytes);
        }
    }

    private static String bounds(long resources, long bytes) {
        if (resources > RESOURCES_MOST) {
            return "expected at most " + RESOURCES_MOST + " resources, found " + resources;
        }
        return bytes > VALUE_BYTES_MOST ? "expected at most " + VALUE_BYTES_MOST + " bytes of values, found " + bytes : null;
    }

    private static String shardProblem(int number, Resource[] shard) {
        long bytes = 0;
        for (Resource each : shard) {
            bytes += bytes(each);
        }
        return bytes > SHARD_BYTES_MOST ? "shard " + number + ": expected at most " + SHARD_BYTES_MOST + " bytes, found " + bytes : null;
    }

    // ---- snapshots

    /** Begins to make another table of this one by pieces of a snapshot. */
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
        private final Resource[][] shards;
        private final long[] highs;
        private final long[] lows;
        private final SetHash hash = new SetHash();
        private Revision revision;
        private String problem;
        private int taken;

        private Assembly(Table base) {
            shards = base.shards.clone();
            highs = base.highs.clone();
            lows = base.lows.clone();
            revision = base.revision;
        }

        /** Of the shards that are here now. */
        public long[] digests() {
            return lows.clone();
        }

        /** Shards that have come. */
        public int taken() {
            return taken;
        }

        /** Takes the shards of a piece, all or none. What is wrong with it, with place, expected and found; null where nothing is. */
        public String add(Message.Piece piece) {
            Resource[][] come = new Resource[piece.shards().size()][];
            int before = -1;
            for (int i = 0; i < come.length; i++) {
                Message.Shard shard = piece.shards().get(i);
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
                put(piece.shards().get(i).number(), come[i]);
            }
            revision = piece.revision();
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
            return shardProblem(number, shard);
        }

        private void put(int number, Resource[] shard) {
            shards[number] = shard.length == 0 ? NOTHING : shard;
            highs[number] = 0;
            lows[number] = 0;
            for (Resource each : shard) {
                hash.of(each);
                highs[number] += hash.high;
                lows[number] += hash.low;
            }
            taken++;
        }

        /** The table at the revision that the last piece told; null where it isn't that yet, for the reason {@link #problem}. */
        public Table finish() {
            int[] sizes = new int[ResourceKind.values().length];
            long bytes = 0;
            for (Resource[] shard : shards) {
                for (Resource each : shard) {
                    sizes[each.kind().ordinal()]++;
                    bytes += each.value().length;
                }
            }
            Revision found = new Revision(revision.epoch(), revision.number(), Arrays.stream(highs).sum(), Arrays.stream(lows).sum());
            problem = bounds(Arrays.stream(sizes).sum(), bytes);
            if (problem == null && !found.equals(revision)) {
                problem = "snapshot of " + revision.number() + ": expected what makes " + text(revision) + ", found " + text(found);
            }
            return problem == null ? new Table(revision, shards.clone(), highs.clone(), lows.clone(), sizes, bytes) : null;
        }

        /** Why {@link #finish} gave none. */
        public String problem() {
            return problem;
        }
    }
}
