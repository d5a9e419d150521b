package mastdrift.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Where keyed requests went, for as long as a repeat of them may meet the window in which hosts drop repeats. A client's
 * repeat of a keyed request is to reach the pool that may have run the first try, whatever routes and weights say by then.
 *
 * <p>An access-ordered map by the time of the last pin. Spans differ by class, so the eldest need not be the first to
 * expire: what has expired is passed over on look-up, and leaves once it is the eldest or the bound is reached.
 */
public final class PinTable {

    private final int most;
    private final LinkedHashMap<Long, Pin> pins = new LinkedHashMap<>(64, 0.75f, true);

    private record Pin(String pool, long until) { }

    /** Holds {@code most} keys; beyond that the eldest goes, and its key follows the routes of the moment. */
    public PinTable(int most) {
        this.most = most;
    }

    /** The pool of a key, or null where it has none any more; times in microseconds. */
    public String pool(long now, long key) {
        Pin pin = pins.get(key);
        return pin == null || pin.until <= now ? null : pin.pool;
    }

    /** The key goes to this pool until then. */
    public void pin(long now, long key, String pool, long until) {
        Pin before = pins.get(key);
        long last = before != null && before.pool.equals(pool) ? Math.max(before.until, until) : until;
        pins.put(key, new Pin(pool, last));
        Iterator<Map.Entry<Long, Pin>> eldest = pins.entrySet().iterator();
        while (eldest.hasNext() && (eldest.next().getValue().until <= now || pins.size() > most)) {
            eldest.remove();
        }
    }

    /** Whether a key is still bound to this pool. */
    public boolean holds(long now, String pool) {
        return pins.values().stream().anyMatch(pin -> pin.until > now && pin.pool.equals(pool));
    }

    /** Keys that are held, also those that have expired and not left. */
    public int size() {
        return pins.size();
    }
}
