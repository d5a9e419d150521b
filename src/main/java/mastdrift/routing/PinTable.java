package mastdrift.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which pool each keyed request was sent to (session affinity), for as long as a repeat of it can arrive
 * within the window in which hosts suppress duplicates. A client's repeat of a keyed request must reach the pool that
 * may already have executed the first attempt, even if routes or weights have changed meanwhile.
 *
 * <p>The map is ordered by the time of the last pin. Pin lifetimes differ by class, so the oldest pin need not be the
 * first to expire: an expired pin is ignored on look-up, and is removed when it is the oldest or when the table is
 * full.
 */
public final class PinTable {

    private final int maxPins;
    private final LinkedHashMap<Long, Pin> pins = new LinkedHashMap<>(64, 0.75f, true);

    private record Pin(String pool, long expiresAtMicros) { }

    /**
     * Holds up to {@code maxPins} keys. When the table is full the oldest pin is evicted, and its key is routed by the
     * current routes again.
     */
    public PinTable(int maxPins) {
        this.maxPins = maxPins;
    }

    /** The pool that a key is pinned to, or null if it has no unexpired pin. Times are in microseconds. */
    public String poolFor(long nowMicros, long key) {
        Pin pin = pins.get(key);
        return pin == null || pin.expiresAtMicros <= nowMicros ? null : pin.pool;
    }

    /** Pins a key to a pool until the given time. A later expiry of an existing pin to the same pool is kept. */
    public void pin(long nowMicros, long key, String pool, long expiresAtMicros) {
        Pin previous = pins.get(key);
        long expiryMicros = previous != null && previous.pool.equals(pool)
                ? Math.max(previous.expiresAtMicros, expiresAtMicros) : expiresAtMicros;
        pins.put(key, new Pin(pool, expiryMicros));
        Iterator<Map.Entry<Long, Pin>> oldestFirst = pins.entrySet().iterator();
        while (oldestFirst.hasNext()
                && (oldestFirst.next().getValue().expiresAtMicros <= nowMicros || pins.size() > maxPins)) {
            oldestFirst.remove();
        }
    }

    /** Whether any key has an unexpired pin to this pool. */
    public boolean hasPinTo(long nowMicros, String pool) {
        return pins.values().stream().anyMatch(pin -> pin.expiresAtMicros > nowMicros && pin.pool.equals(pool));
    }

    /** Number of pins held, including expired ones that have not been removed yet. */
    public int size() {
        return pins.size();
    }
}
