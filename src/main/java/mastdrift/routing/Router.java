package mastdrift.routing;

import java.util.List;
import java.util.function.Predicate;

/** The routes in force and the pins that outlive them. One instance a gateway, on its loop. */
public final class Router {

    /** Keys that are remembered at once: at 40 bytes an entry and some more for the map, about 8 MB. */
    public static final int PINS_MOST = 1 << 16;

    private final PinTable pins;
    private RouteTable table = new RouteTable(List.of());

    /** Pins at most this many keys. */
    public Router(int pinsMost) {
        pins = new PinTable(pinsMost);
    }

    /** Puts other routes in force; pins stay. */
    public void swap(RouteTable routes) {
        table = routes;
    }

    /** The pool for a request that is safe to repeat, or that must never be: see {@link RouteTable#pool}. */
    public String pool(RouteCriteria request, Predicate<String> somebody) {
        return table.pool(request, somebody);
    }

    /** The pool for a keyed request: where the key went before, while a repeat may meet the window; else by the routes.
        {@code until} ends the time in which it, or what it sent, may still be dropped as a repeat. */
    public String keyed(long now, RouteCriteria request, long until, Predicate<String> somebody) {
        long key = Hashing.mix(request.key() ^ Hashing.text(request.className()));
        String pinned = pins.pool(now, key);
        String pool = pinned != null ? pinned : table.pool(request, somebody);
        if (pool != null) {
            pins.pin(now, key, pool, until);
        }
        return pool;
    }

    /** Whether a keyed request may still come back to this pool. */
    public boolean holds(long now, String pool) {
        return pins.holds(now, pool);
    }
}
