package mastdrift.routing;

import java.util.List;
import java.util.function.Predicate;
import mastdrift.routing.Route.Target;

/**
 * Routes in their order; the first that matches decides. Immutable, and pure to make: a big one is made off the loop and handed
 * over. {@link RouteIndex} finds the route among many; a few are looked at one by one, which is faster for them
 * (docs/measurements/tables.md).
 *
 * <p>Among a route's pools a key chooses by weighted rendezvous hashing: each pool draws u in (0,1) from a hash of key and
 * pool, and the lowest -ln(u)/weight wins, which gives every pool its part of the keys. A changed weight moves only keys
 * to or from that pool, so most keyed repeats find their group also across a change. Costs a hash and a logarithm a pool.
 * Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998; the weights after Schindelhauer,
 * Schomaker, "Weighted distributed hash tables", 2005.
 */
public final class RouteTable {

    /** Routes of one table: twice what the largest fleet that this is made for has (docs/CAPACITY.md). */
    public static final int ROUTES_MOST = 56_000;

    /** Routes that are looked at one by one. */
    static final int LINEAR_MOST = 16;

    private final List<Route> routes;
    private final RouteIndex index;  // null where the routes are looked at one by one

    /** An empty table matches nothing. Throws IllegalArgumentException for more than {@value #ROUTES_MOST} routes. */
    public RouteTable(List<Route> routes) {
        if (routes.size() > ROUTES_MOST) {
            throw new IllegalArgumentException("expected at most " + ROUTES_MOST + " routes, found " + routes.size());
        }
        this.routes = List.copyOf(routes);
        index = routes.size() > LINEAR_MOST ? new RouteIndex(this.routes) : null;
    }

    /** In their order. */
    public List<Route> routes() {
        return routes;
    }

    /** The first route that matches, or null. */
    public Route route(Traits request) {
        return index != null ? index.first(request) : linear(request);
    }

    private Route linear(Traits request) {
        for (Route route : routes) {
            if (route.match().fits(request)) {
                return route;
            }
        }
        return null;
    }

    /** The pool for a request, or null where no route matches. {@code somebody} tells whether a pool has a host that may be
        sent to; where neither the chosen pool nor the fallback has one, it is the chosen one, to refuse the request. */
    public String pool(Traits request, Predicate<String> somebody) {
        Route route = route(request);
        if (route == null) {
            return null;
        }
        String chosen = choose(route.targets(), request.key());
        boolean away = route.fallback() != null && !somebody.test(chosen) && somebody.test(route.fallback());
        return away ? route.fallback() : chosen;
    }

    private static String choose(List<Target> targets, long key) {
        if (targets.size() == 1) {
            return targets.get(0).pool();
        }
        String best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (Target target : targets) {
            long hash = Hashing.mix(key ^ Hashing.mix(Hashing.text(target.pool())));
            double u = ((hash >>> 11) + 0.5) * 0x1.0p-53;
            double score = -Math.log(u) / target.weight();
            if (score < lowest) {
                lowest = score;
                best = target.pool();
            }
        }
        return best;
    }
}
