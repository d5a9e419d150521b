package mastdrift.routing;

import java.util.AbstractList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import mastdrift.routing.Route.Target;

/**
 * Routes in their order; the first that matches decides. Immutable, and pure to make: a big one is made off the loop and handed
 * over, and {@link #changed} makes the next one in parts. {@link RouteIndex} finds the route among many; a few are looked at one by one, which is faster for them
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

    private final OrderedRoute[] ordered;
    private final RouteIndex index;  // null where the routes are looked at one by one

    /** An empty table matches nothing. Throws IllegalArgumentException for more than {@value #ROUTES_MOST} routes. */
    public RouteTable(List<Route> routes) {
        this(OrderedRoute.ofList(routes).toArray(OrderedRoute[]::new), null);
    }

    private RouteTable(OrderedRoute[] ordered, RouteIndex index) {
        if (ordered.length > ROUTES_MOST) {
            throw new IllegalArgumentException("expected at most " + ROUTES_MOST + " routes, found " + ordered.length);
        }
        this.ordered = ordered;
        this.index = ordered.length <= LINEAR_MOST ? null : index == null ? index(ordered) : index;
    }

    private static RouteIndex index(OrderedRoute[] ordered) {
        RouteIndex index = RouteIndex.EMPTY;
        for (OrderedRoute each : ordered) {
            index = index.with(each);
        }
        return index;
    }

    /** Another table, without some routes of this one and with others; costs some microseconds for each of them, and a copy of the list. Throws IllegalArgumentException where one that
        goes isn't there, one that comes has the place of another, or there are more than {@value #ROUTES_MOST} then. */
    public RouteTable changed(Collection<? extends OrderedRoute> gone, Collection<? extends OrderedRoute> come) {
        OrderedRoute[] going = sorted(gone);
        OrderedRoute[] coming = sorted(come);
        OrderedRoute[] next = with(without(ordered, going), coming);
        RouteIndex changed = index;
        for (int i = 0; changed != null && i < going.length; i++) {
            changed = changed.without(going[i]);
        }
        for (int i = 0; changed != null && i < coming.length; i++) {
            changed = changed.with(coming[i]);
        }
        return new RouteTable(next, changed);
    }

    private static OrderedRoute[] without(OrderedRoute[] all, OrderedRoute[] going) {
        OrderedRoute[] left = new OrderedRoute[all.length];
        int from = 0;
        int to = 0;
        for (OrderedRoute each : going) {
            int at = Arrays.binarySearch(all, from, all.length, each, OrderedRoute::compare);
            if (at < 0) {
                throw new IllegalArgumentException("route " + each.route().name() + ": expected it in its place, found none");
            }
            System.arraycopy(all, from, left, to, at - from);
            to += at - from;
            from = at + 1;
        }
        System.arraycopy(all, from, left, to, all.length - from);
        return Arrays.copyOf(left, to + all.length - from);
    }

    private static OrderedRoute[] with(OrderedRoute[] all, OrderedRoute[] coming) {
        OrderedRoute[] next = new OrderedRoute[all.length + coming.length];
        int from = 0;
        int to = 0;
        for (OrderedRoute each : coming) {
            int at = Arrays.binarySearch(all, from, all.length, each, OrderedRoute::compare);
            if (at >= 0 || to > 0 && OrderedRoute.compare(next[to - 1], each) == 0) {
                throw new IllegalArgumentException("route " + each.route().name() + ": expected a place of its own, found another there");
            }
            System.arraycopy(all, from, next, to, -at - 1 - from);
            to += -at - 1 - from;
            from = -at - 1;
            next[to++] = each;
        }
        System.arraycopy(all, from, next, to, all.length - from);
        return next;
    }

    private static OrderedRoute[] sorted(Collection<? extends OrderedRoute> routes) {
        OrderedRoute[] sorted = routes.toArray(OrderedRoute[]::new);
        Arrays.sort(sorted, OrderedRoute::compare);
        return sorted;
    }

    /** In their order. */
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
    public Route route(RouteCriteria request) {
        return index != null ? index.first(request) : linear(request);
    }

    private Route linear(RouteCriteria request) {
        for (OrderedRoute each : ordered) {
            if (each.route().match().fits(request)) {
                return each.route();
            }
        }
        return null;
    }

    /** The pool for a request, or null where no route matches. {@code somebody} tells whether a pool has a host that may be
        sent to; where neither the chosen pool nor the fallback has one, it is the chosen one, to refuse the request. */
    public String pool(RouteCriteria request, Predicate<String> somebody) {
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
