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

/** Checks that routes from any source fit a gateway's RADIUS listeners and pools. */
public final class RouteChecks {

    private final List<RadiusSettings> radiusListeners;
    private final Map<String, PoolSettings> pools;
    private final Set<String> radiusClasses = new HashSet<>();

    public RouteChecks(List<RadiusSettings> radiusListeners, Map<String, PoolSettings> pools) {
        this.radiusListeners = radiusListeners;
        this.pools = pools;
        radiusListeners.forEach(each -> radiusClasses.addAll(Arrays.asList(each.accessClass(), each.conversationClass(), each.accountingClass())));
    }

    /**
     * Checks that this gateway has every pool that a route refers to, and that RADIUS classes use only pools of RADIUS
     * servers and other classes none.
     */
    void checkPools(Route route, Consumer<String> problem) {
        for (String name : referencedPools(route)) {
            if (!pools.containsKey(name)) {
                problem.accept("route " + route.name() + ": pools: " + Tables.expectedOneOf("the pools of this gateway", List.copyOf(pools.keySet()), name));
            }
        }
        checkPoolProtocol(route, problem);
    }

    private static Collection<String> referencedPools(Route route) {
        List<String> names = new ArrayList<>(route.targets().stream().map(Route.Target::pool).toList());
        if (route.fallback() != null) {
            names.add(route.fallback());
        }
        return names;
    }

    /** Checks that RADIUS classes are routed only to pools of RADIUS servers, and other classes never. */
    void checkPoolProtocol(Route route, Consumer<String> problem) {
        boolean radiusClass = radiusClasses.contains(route.match().className());
        for (String name : referencedPools(route)) {
            PoolSettings pool = pools.get(name);
            if (pool != null && pool.isRadius() != radiusClass) {
                problem.accept("route " + route.name() + ": expected "
                        + (radiusClass ? "pools of RADIUS servers for class "
                        + route.match().className() : "the class of a RADIUS listener, for pool " + name + " has RADIUS servers")
                        + ", found " + (radiusClass ? "pool " + name + " of HTTP hosts" : "another class or none"));
            }
        }
    }

    /** Whether {@link #checkConversationRouting} can report any problem. */
    boolean checksAcrossRoutes() {
        return !radiusListeners.isEmpty();
    }

    /**
     * Checks that Access-Requests that begin and that continue a conversation are routed alike. The server that
     * received the first request holds the conversation's state, so the routes that match either class must have the
     * same conditions, targets and order.
     */
    void checkConversationRouting(List<Route> routes, Consumer<String> problem) {
        for (RadiusSettings each : radiusListeners) {
            List<Route> accessRoutes = routesMatchingClass(each.accessClass(), routes);
            List<Route> conversationRoutes = routesMatchingClass(each.conversationClass(), routes);
            if (!accessRoutes.equals(conversationRoutes)) {
                problem.accept("radius " + each.name() + ": expected the routes of class " + each.conversationClass()
                        + " to lead where those of class " + each.accessClass() + " do, or conversations lose their server; found "
                        + describe(conversationRoutes) + " and " + describe(accessRoutes));
            }
        }
    }

    /** The routes that can match a class, without their names and without the class itself. */
    private static List<Route> routesMatchingClass(String className, List<Route> routes) {
        return routes.stream().filter(route -> route.match().className() == null
                || route.match().className().equals(className)).map(route -> new Route("",
                        new Match(null, route.match().tenant(), route.match().pathPrefix(), route.match().headerName(),
                                route.match().headerValue(), route.match().zone()), route.targets(), route.fallback())).toList();
    }

    private static String describe(List<Route> routes) {
        return routes.isEmpty() ? "none" : routes.stream().map(route -> route.targets().stream()
                .map(target -> target.pool() + " " + Section.formatNumber(target.weight())).toList()
                + (route.fallback() == null ? "" : " else " + route.fallback())).toList().toString();
    }
}
