package mastdrift.distribution;

import java.util.ArrayList;
import java.util.List;

/**
 * The most recent deltas that led to a table, for subscribers with an earlier revision: at most {@value #MAX_DELTAS}
 * deltas and {@value #MAX_BYTES} bytes, which holds a day of changes at the target load. A ring buffer; a revision is
 * found by binary search for its number. It keeps the hash of each of its revisions, so that a subscriber that claims a
 * revision but has another state (a fork) is detected.
 */
public final class History {

    /** Maximum number of deltas. */
    public static final int MAX_DELTAS = 16_384;
    /** Maximum total size of the deltas in messages, approximate. */
    public static final int MAX_BYTES = 16 << 20;
    /** Upper bound of the encoded size of a delta beside its resources. */
    private static final int DELTA_OVERHEAD_BYTES = 64;

    private final int maxDeltas;
    private final long maxBytes;
    private Revision base;  // revision that the oldest delta applies to
    private long evictedBytes;  // total bytes of all evicted deltas
    private Delta[] ring = new Delta[64];
    private long[] cumulativeBytes = new long[64];  // bytes of all deltas up to and including this one since the start
    private int head;
    private int count;

    /** Creates an empty history that starts at a revision. */
    public History(Revision base) {
        this(base, MAX_DELTAS, MAX_BYTES);
    }

    /** Creates a history with other bounds, for tests. */
    History(Revision base, int maxDeltas, long maxBytes) {
        this.base = base;
        this.maxDeltas = maxDeltas;
        this.maxBytes = maxBytes;
    }

    /** Approximate size of a delta in a message; never less than the size of its values. */
    public static int sizeBytes(Delta delta) {
        int bytes = DELTA_OVERHEAD_BYTES;
        for (Resource each : delta.upserts()) {
            bytes += Table.maxEncodedBytes(each);
        }
        for (Delta.Deletion each : delta.deletes()) {
            bytes += Table.RESOURCE_OVERHEAD_BYTES + each.name().length();
        }
        return bytes;
    }

    /**
     * Appends a delta and evicts the oldest ones beyond the bounds. Throws IllegalArgumentException if the delta does
     * not start at the latest revision.
     */
    public void add(Delta delta) {
        if (delta.from() != latest().number() || delta.to().epoch() != latest().epoch()) {
            throw new IllegalArgumentException("expected a delta from " + latest().number() + ", found one from " + delta.from());
        }
        if (count == ring.length && count < maxDeltas) {
            grow();
        }
        if (count == ring.length) {
            evictOldest();
        }
        int slot = slot(count);
        ring[slot] = delta;
        cumulativeBytes[slot] = (count == 0 ? evictedBytes : cumulativeBytes[slot(count - 1)]) + sizeBytes(delta);
        count++;
        while (sizeBytes() > maxBytes || count > maxDeltas) {
            evictOldest();
        }
    }

    private void grow() {
        int size = Math.min(ring.length * 2, Math.max(maxDeltas, 1));
        Delta[] larger = new Delta[Math.max(size, ring.length)];
        long[] largerCumulativeBytes = new long[larger.length];
        for (int i = 0; i < count; i++) {
            larger[i] = ring[slot(i)];
            largerCumulativeBytes[i] = cumulativeBytes[slot(i)];
        }
        ring = larger;
        cumulativeBytes = largerCumulativeBytes;
        head = 0;
    }

    private void evictOldest() {
        base = ring[head].to();
        evictedBytes = cumulativeBytes[head];
        ring[head] = null;
        head = slot(1);
        count--;
    }

    private int slot(int index) {
        return (head + index) % ring.length;
    }

    /** The revision that the newest delta leads to. */
    public Revision latest() {
        return count == 0 ? base : ring[slot(count - 1)].to();
    }

    /** Number of deltas kept. */
    public int size() {
        return count;
    }

    /** Approximate total size of the deltas kept. */
    public long sizeBytes() {
        return count == 0 ? 0 : cumulativeBytes[slot(count - 1)] - evictedBytes;
    }

    /**
     * Returns the deltas that follow a revision, in order, up to {@code limitBytes} but at least one; empty for the
     * latest revision. Null if the revision was evicted or was never part of this history.
     */
    public List<Delta> deltasAfter(Revision revision, int limitBytes) {
        int index = indexOf(revision);
        if (index < 0) {
            return null;
        }
        List<Delta> deltas = new ArrayList<>();
        long startBytes = index == 0 ? evictedBytes : cumulativeBytes[slot(index - 1)];
        while (index < count && (deltas.isEmpty() || cumulativeBytes[slot(index)] - startBytes <= limitBytes)) {
            deltas.add(ring[slot(index++)]);
        }
        return deltas;
    }

    /** Whether the history has a revision with the same epoch and number but another state. */
    public boolean isForked(Revision revision) {
        int index = revision.epoch() == base.epoch() ? indexOfNumber(revision.number()) : -1;
        return index >= 0 && revision(index).isForkOf(revision);
    }

    /** Total size of the deltas after a revision number, as far as they are kept. */
    long bytesAfter(long number) {
        if (count == 0 || number >= latest().number()) {
            return 0;
        }
        int index = indexOfNumber(number);
        return cumulativeBytes[slot(count - 1)] - (index <= 0 ? evictedBytes : cumulativeBytes[slot(index - 1)]);
    }

    private Revision revision(int index) {
        return index == 0 ? base : ring[slot(index - 1)].to();
    }

    /** Number of deltas that lead from the base to a revision; -1 if it is not in this history. */
    private int indexOf(Revision revision) {
        int index = revision.epoch() == base.epoch() ? indexOfNumber(revision.number()) : -1;
        return index >= 0 && revision(index).equals(revision) ? index : -1;
    }

    private int indexOfNumber(long number) {
        int low = 0;
        int high = count;
        while (low <= high) {
            int middle = low + high >>> 1;
            long found = revision(middle).number();
            if (found == number) {
                return middle;
            }
            if (found < number) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return -1;
    }
}
