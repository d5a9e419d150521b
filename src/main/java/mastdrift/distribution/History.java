package mastdrift.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * The last deltas that led to a table, for those who have an earlier one: {@value #DELTAS_MOST} of them and {@value #BYTES_MOST} bytes at most, a day's changes at the target. A ring, and a revision
 * is found in it by its number in a dozen steps. Knows of each revision in it the hash, so that who claims to have one and has another state is found out.
 */
public final class History {

    /** Deltas, at most. */
    public static final int DELTAS_MOST = 16_384;
    /** Bytes of them in messages, about, at most. */
    public static final int BYTES_MOST = 16 << 20;
    /** What a delta takes beside its resources, at most. */
    private static final int DELTA_BYTES = 64;

    private final int deltasMost;
    private final long bytesMost;
    private Revision base;  // that the first one begins at
    private long baseBytes;  // of all that are forgotten
    private Delta[] ring = new Delta[64];
    private long[] ends = new long[64];  // bytes of all up to and with it, ever
    private int first;
    private int count;

    /** Of a table at this revision, with nothing before it. */
    public History(Revision base) {
        this(base, DELTAS_MOST, BYTES_MOST);
    }

    /** With bounds of its own. */
    History(Revision base, int deltasMost, long bytesMost) {
        this.base = base;
        this.deltasMost = deltasMost;
        this.bytesMost = bytesMost;
    }

    /** What a delta takes in a message, about, and never less than its values. */
    public static int bytes(Delta delta) {
        int bytes = DELTA_BYTES;
        for (Resource each : delta.upserts()) {
            bytes += Table.bytes(each);
        }
        for (Delta.Deletion each : delta.deletes()) {
            bytes += Table.RESOURCE_BYTES + each.name().length();
        }
        return bytes;
    }

    /** The newest one; forgets the oldest where there are too many. Throws IllegalArgumentException for one that doesn't begin where the last ends. */
    public void add(Delta delta) {
        if (delta.from() != latest().number() || delta.to().epoch() != latest().epoch()) {
            throw new IllegalArgumentException("expected a delta from " + latest().number() + ", found one from " + delta.from());
        }
        if (count == ring.length && count < deltasMost) {
            grow();
        }
        if (count == ring.length) {
            forget();
        }
        int at = at(count);
        ring[at] = delta;
        ends[at] = (count == 0 ? baseBytes : ends[at(count - 1)]) + bytes(delta);
        count++;
        while (bytes() > bytesMost || count > deltasMost) {
            forget();
        }
    }

    private void grow() {
        int size = Math.min(ring.length * 2, Math.max(deltasMost, 1));
        Delta[] larger = new Delta[Math.max(size, ring.length)];
        long[] largerEnds = new long[larger.length];
        for (int i = 0; i < count; i++) {
            larger[i] = ring[at(i)];
            largerEnds[i] = ends[at(i)];
        }
        ring = larger;
        ends = largerEnds;
        first = 0;
    }

    private void forget() {
        base = ring[first].to();
        baseBytes = ends[first];
        ring[first] = null;
        first = at(1);
        count--;
    }

    private int at(int index) {
        return (first + index) % ring.length;
    }

    /** The revision that the last one leads to. */
    public Revision latest() {
        return count == 0 ? base : ring[at(count - 1)].to();
    }

    /** Deltas that are kept. */
    public int size() {
        return count;
    }

    /** Bytes of those, about. */
    public long bytes() {
        return count == 0 ? 0 : ends[at(count - 1)] - baseBytes;
    }

    /** What comes behind a revision, in order, as much as fits into so many bytes and at least one; empty for the latest. Null where it isn't known any more, or never was. */
    public List<Delta> after(Revision have, int most) {
        int index = index(have);
        if (index < 0) {
            return null;
        }
        List<Delta> after = new ArrayList<>();
        long from = index == 0 ? baseBytes : ends[at(index - 1)];
        while (index < count && (after.isEmpty() || ends[at(index)] - from <= most)) {
            after.add(ring[at(index++)]);
        }
        return after;
    }

    /** Whether it knows a revision with that number, and of another state. */
    public boolean forked(Revision have) {
        int index = have.epoch() == base.epoch() ? search(have.number()) : -1;
        return index >= 0 && revision(index).forkedFrom(have);
    }

    /** Bytes of all deltas behind a number, as far as they are kept. */
    long bytesAfter(long number) {
        if (count == 0 || number >= latest().number()) {
            return 0;
        }
        int index = search(number);
        return ends[at(count - 1)] - (index <= 0 ? baseBytes : ends[at(index - 1)]);
    }

    private Revision revision(int index) {
        return index == 0 ? base : ring[at(index - 1)].to();
    }

    /** How many deltas lead to it from the base; -1 where it isn't known. */
    private int index(Revision have) {
        int index = have.epoch() == base.epoch() ? search(have.number()) : -1;
        return index >= 0 && revision(index).equals(have) ? index : -1;
    }

    private int search(long number) {
        int low = 0;
        int high = count;
        while (low <= high) {
            int mid = low + high >>> 1;
            long there = revision(mid).number();
            if (there == number) {
                return mid;
            }
            if (there < number) {
                low = mid + 1;
            } else {
                high = mid - 1;
            }
        }
        return -1;
    }
}
