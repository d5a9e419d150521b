package mastdrift.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import mastdrift.routing.Match;
import mastdrift.routing.Route;

/** What routes have to keep to in a gateway with these listeners and pools, wherever they come from. */
public final class RouteChecks {

    private final List<RadiusSettings> radius;
    private final Map<String, PoolSettings> pools;
    private final Set<String> radiusClasses = new HashSet<>();

    /** For a gateway with these. */
    public RouteChecks(List<RadiusSettings> radius, Map<String, PoolSettings> pools) {
        this.radius = radius;
        this.pools = pools;
        radius.forEach(each -> radiusClasses.addAll(Arrays.asList(each.accessClass(), each.conversationClass(), each.accountingClass())));
    }

    /** Of this gateway's pools each that a route names; what RADIUS asks goes to RADIUS servers, and nothing else does. */
    void known(Route route, Consumer<String> problem) {
        for (String name : named(route)) {
            if (!pools.containsKey(name)) {
                problem.accept("route " + route.name() + ": pools: " + Tables.expectedOne("the pools of this gateway", List.copyOf(pools.keySet()), name));
            }
        }
        fits(route, problem);
    }

    private static Collection<String> named(Route route) {
        List<String> named = new ArrayList<>(route.targets().stream().map(Route.Target::pool).toList());
        if (route.fallback() != null) {
            named.add(route.fallback());
        }
        return named;
    }

    /** What RADIUS asks goes to RADIUS servers, and nothing else does. */
    void fits(Route route, Consumer<String> problem) {
        boolean asked = radiusClasses.contains(route.match().className());
        for (String name : named(route)) {
            PoolSettings pool = pools.get(name);
            if (pool != null && pool.radius() != asked) {
                problem.accept("route " + route.name() + ": expected " + (asked ? "pools of RADIUS servers for class "
                        + route.match().className() : "the class of a RADIUS listener, for pool " + name + " has RADIUS servers")
                        + ", found " + (asked ? "pool " + name + " of HTTP hosts" : "another or none"));
            }
        }
    }

    /** Whether {@link #alike} may find anything. */
    boolean crossRoutes() {
        return !radius.isEmpty();
    }

    /** A conversation is held by the server that its card went to: the routes that may take the one have to lead, in their
        order and by the same conditions, where those of the other do. */
    void alike(List<Route> routes, Consumer<String> problem) {
        for (RadiusSettings each : radius) {
            List<Route> cards = ways(each.accessClass(), routes);
            List<Route> talks = ways(each.conversationClass(), routes);
            if (!cards.equals(talks)) {
                problem.accept("radius " + each.name() + ": expected the routes of class " + each.conversationClass()
                        + " to lead where those of class " + each.accessClass() + " do, or conversations lose their server; found "
                        + words(talks) + " and " + words(cards));
            }
        }
    }

    /** The routes that may take a class, without their names and the class itself. */
    private static List<Route> ways(String className, List<Route> routes) {
        return routes.stream().filter(route -> route.match().className() == null
                || route.match().className().equals(className)).map(route -> new Route("",
                        new Match(null, route.match().tenant(), route.match().pathPrefix(), route.match().headerName(),
                                route.match().headerValue(), route.match().zone()), route.targets(), route.fallback())).toList();
    }

    private static String words(List<Route> routes) {
        return routes.isEmpty() ? "none" : routes.stream().map(route -> route.targets().stream()
                .map(target -> target.pool() + " " + Section.shown(target.weight())).toList()
                + (route.fallback() == null ? "" : " else " + route.fallback())).toList().toString();
    }
}
