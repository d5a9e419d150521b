package mastdrift.routing;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import mastdrift.routing.Route.Target;

/**
 * An ordered list of routes, of which the first that matches a request applies. Immutable and free of side effects: a
 * large table can be built off the event loop and handed over, and {@link #withChanges} derives the next one
 * incrementally. Large tables use a {@link RouteIndex}; small ones are scanned linearly, which is faster for them
 * (docs/measurements/tables.md).
 *
 * <p>A key chooses among a route's pools by weighted rendezvous hashing: each pool draws u in (0,1) from a hash of key
 * and pool, and the lowest -ln(u)/weight wins, which gives every pool its fraction of the keys. A changed weight moves
 * only keys to or from that pool, so most repeats of keyed requests reach the same group of hosts even across a change.
 * Costs one hash and one logarithm per pool. Thaler, Ravishankar, "Using name-based mappings to increase hit rates",
 * 1998; the weights after Schindelhauer, Schomaker, "Weighted distributed hash tables", 2005.
 */
public final class RouteTable {

    /** Twice the number of routes of the largest supported fleet (docs/CAPACITY.md). */
    public static final int MAX_ROUTES = 56_000;

    /** Tables of up to this many routes are scanned linearly. */
    static final int MAX_LINEAR_ROUTES = 16;

    private final OrderedRoute[] ordered;
    private final RouteIndex index;  // null if the routes are scanned linearly

    /**
     * A table of these routes; an empty one matches nothing. Throws IllegalArgumentException for more than
     * {@value #MAX_ROUTES} routes.
     */
    public RouteTable(List<Route> routes) {
        this(OrderedRoute.fromList(routes).toArray(OrderedRoute[]::new), null);
    }

    private RouteTable(OrderedRoute[] ordered, RouteIndex index) {
        if (ordered.length > MAX_ROUTES) {
            throw new IllegalArgumentException("expected at most " + MAX_ROUTES + " routes, found " + ordered.length);
        }
        this.ordered = ordered;
        this.index = ordered.length <= MAX_LINEAR_ROUTES ? null : index == null ? buildIndex(ordered) : index;
    }

    private static RouteIndex buildIndex(OrderedRoute[] ordered) {
        RouteIndex index = RouteIndex.EMPTY;
        for (OrderedRoute each : ordered) {
            index = index.with(each);
        }
        return index;
    }

    /**
     * Returns a table without some routes of this one and with others added. Costs some microseconds for each of them,
     * and a copy of the list. Throws IllegalArgumentException if a route to remove is not present, if a route to add
     * has the position of another, or if the result has more than {@value #MAX_ROUTES} routes.
     */
    public RouteTable withChanges(Collection<? extends OrderedRoute> removed,
            Collection<? extends OrderedRoute> added) {
        OrderedRoute[] sortedRemoved = sorted(removed);
        OrderedRoute[] sortedAdded = sorted(added);
        OrderedRoute[] nextOrdered = with(without(ordered, sortedRemoved), sortedAdded);
        RouteIndex nextIndex = index;
        for (int i = 0; nextIndex != null && i < sortedRemoved.length; i++) {
            nextIndex = nextIndex.without(sortedRemoved[i]);
        }
        for (int i = 0; nextIndex != null && i < sortedAdded.length; i++) {
            nextIndex = nextIndex.with(sortedAdded[i]);
        }
        return new RouteTable(nextOrdered, nextIndex);
    }

    private static OrderedRoute[] without(OrderedRoute[] all, OrderedRoute[] removed) {
        OrderedRoute[] remaining = new OrderedRoute[all.length];
        int from = 0;
        int to = 0;
        for (OrderedRoute each : removed) {
            int position = Arrays.binarySearch(all, from, all.length, each, OrderedRoute::compare);
            if (position < 0) {
                throw new IllegalArgumentException("route " + each.route().name()
                        + ": expected it at its position to remove it, found none");
            }
            System.arraycopy(all, from, remaining, to, position - from);
            to += position - from;
            from = position + 1;
        }
        System.arraycopy(all, from, remaining, to, all.length - from);
        return Arrays.copyOf(remaining, to + all.length - from);
    }

    private static OrderedRoute[] with(OrderedRoute[] all, OrderedRoute[] added) {
        OrderedRoute[] merged = new OrderedRoute[all.length + added.length];
        int from = 0;
        int to = 0;
        for (OrderedRoute each : added) {
            int position = Arrays.binarySearch(all, from, all.length, each, OrderedRoute::compare);
            if (position >= 0 || to > 0 && OrderedRoute.compare(merged[to - 1], each) == 0) {
                throw new IllegalArgumentException("route " + each.route().name()
                        + ": expected a free position to add it, found another route there");
            }
            System.arraycopy(all, from, merged, to, -position - 1 - from);
            to += -position - 1 - from;
            from = -position - 1;
            merged[to++] = each;
        }
        System.arraycopy(all, from, merged, to, all.length - from);
        return merged;
    }

    private static OrderedRoute[] sorted(Collection<? extends OrderedRoute> routes) {
        OrderedRoute[] sorted = routes.toArray(OrderedRoute[]::new);
        Arrays.sort(sorted, OrderedRoute::compare);
        return sorted;
    }

    /** All routes, in the order in which they are tried. */
    public List<Route> routes() {
        return new AbstractList<>() {

            @Override
            public Route get(int at) {
                return ordered[at].route();
            }

            @Override
            public int size() {
                return ordered.length;
            }
        };
    }

    /** The first route that matches, or null. */
    public Route firstMatch(RouteCriteria request) {
        return index != null ? index.firstRoute(request) : linearSearch(request);
    }

    private Route linearSearch(RouteCriteria request) {
        for (OrderedRoute each : ordered) {
            if (each.route().match().matches(request)) {
                return each.route();
            }
        }
        return null;
    }

    /**
     * The pool for a request, or null if no route matches. {@code hasAvailableHost} tells whether a pool has a host
     * that requests may be sent to. If neither the chosen pool nor the fallback has one, the chosen pool is returned,
     * which then refuses the request.
     */
    public String selectPool(RouteCriteria request, Predicate<String> hasAvailableHost) {
        Route route = firstMatch(request);
        if (route == null) {
            return null;
        }
        String chosen = choosePool(route.targets(), request.key());
        boolean useFallback = route.fallback() != null && !hasAvailableHost.test(chosen)
                && hasAvailableHost.test(route.fallback());
        return useFallback ? route.fallback() : chosen;
    }

    private static String choosePool(List<Target> targets, long key) {
        if (targets.size() == 1) {
            return targets.get(0).pool();
        }
        String best = null;
        double lowestScore = Double.POSITIVE_INFINITY;
        for (Target target : targets) {
            long hash = Hashing.mixBits(key ^ Hashing.mixBits(Hashing.hashText(target.pool())));
            double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
            double score = -Math.log(uniform) / target.weight();
            if (score < lowestScore) {
                lowestScore = score;
                best = target.pool();
            }
        }
        return best;
    }
}
