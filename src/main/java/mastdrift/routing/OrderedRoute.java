package mastdrift.routing;

import java.util.ArrayList;
import java.util.List;

/** A route with its place among those of a table: by its order, and where that is the same by the route's name. No two of a table have both alike. */
public interface OrderedRoute {

    /** The least is tried first. */
    long order();

    /** What is tried. */
    Route route();

    /** Below 0 where {@code one} is tried before {@code other}, 0 where both have one place, else above 0. */
    static int compare(OrderedRoute one, OrderedRoute other) {
        return one.order() != other.order() ? Long.compare(one.order(), other.order()) : one.route().name().compareTo(other.route().name());
    }

    /** Routes by their places in a list. */
    static List<OrderedRoute> ofList(List<Route> routes) {
        List<OrderedRoute> ordered = new ArrayList<>(routes.size());
        for (Route each : routes) {
            ordered.add(new SimpleOrderedRoute(ordered.size(), each));
        }
        return ordered;
    }

    /** One of a list. */
    record SimpleOrderedRoute(long order, Route route) implements OrderedRoute { }
}
