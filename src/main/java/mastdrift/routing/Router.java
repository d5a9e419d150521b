package mastdrift.routing;

import java.util.List;
import java.util.function.Predicate;

/**
 * Chooses the pool for each request from the active route table and from the pins of keyed requests, which outlive a
 * change of the table. One instance per gateway, used on its event loop only.
 */
public final class Router {

    /** Maximum number of pinned keys: at 40 bytes an entry and some more for the map, about 8 MB. */
    public static final int MAX_PINS = 1 << 16;

    private final PinTable pins;
    private RouteTable table = new RouteTable(List.of());

    /** Pins at most this many keys. */
    public Router(int maxPins) {
        pins = new PinTable(maxPins);
    }

    /** Activates another route table; pins are kept. */
    public void setRoutes(RouteTable routes) {
        table = routes;
    }

    /**
     * The pool for a request that either is safe to repeat or must never be repeated; see
     * {@link RouteTable#selectPool}.
     */
    public String selectPool(RouteCriteria request, Predicate<String> hasAvailableHost) {
        return table.selectPool(request, hasAvailableHost);
    }

    /**
     * The pool for a keyed request: the pool that the key was sent to before, as long as a repeat can still be
     * recognized there, else the pool by the routes. {@code expiresAtMicros} is the time in microseconds up to which
     * this request, or an attempt sent for it, may still be dropped as a duplicate.
     */
    public String selectPoolForKey(long nowMicros, RouteCriteria request, long expiresAtMicros,
            Predicate<String> hasAvailableHost) {
        long key = Hashing.mixBits(request.key() ^ Hashing.hashText(request.className()));
        String pinned = pins.poolFor(nowMicros, key);
        String pool = pinned != null ? pinned : table.selectPool(request, hasAvailableHost);
        if (pool != null) {
            pins.pin(nowMicros, key, pool, expiresAtMicros);
        }
        return pool;
    }

    /** Whether any keyed request is still pinned to this pool. */
    public boolean hasPinTo(long nowMicros, String pool) {
        return pins.hasPinTo(nowMicros, pool);
    }
}
