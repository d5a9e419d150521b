package mastdrift.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * A route with its position in a route table. Routes are sorted by {@link #order()}, then by the route's name; no two
 * routes of a table have the same position.
 */
public interface OrderedRoute {

    /** Routes with a lower order are tried first. */
    long order();

    /** The route at this position. */
    Route route();

    /**
     * Returns a negative number if {@code one} is tried before {@code other}, 0 if both have the same position, and a
     * positive number otherwise.
     */
    static int compare(OrderedRoute one, OrderedRoute other) {
        return one.order() != other.order() ? Long.compare(one.order(), other.order())
                : one.route().name().compareTo(other.route().name());
    }

    /** Gives each route of a list its index in the list as its order. */
    static List<OrderedRoute> fromList(List<Route> routes) {
        List<OrderedRoute> ordered = new ArrayList<>(routes.size());
        for (Route each : routes) {
            ordered.add(new SimpleOrderedRoute(ordered.size(), each));
        }
        return ordered;
    }

    /** A route with a given order. */
    record SimpleOrderedRoute(long order, Route route) implements OrderedRoute { }
}
