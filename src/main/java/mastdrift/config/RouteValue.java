package mastdrift.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mastdrift.routing.Match;
import mastdrift.routing.OrderedRoute;
import mastdrift.routing.Route;

/**
 * The parsed value of a route resource.
 *
 * @param order routes are tried by ascending order, and by name where it is equal
 * @param route under the name of its resource
 */
public record RouteValue(long order, Route route) implements OrderedRoute, Comparable<RouteValue> {

    /** The largest allowed order. */
    public static final long MAX_ORDER = 1_000_000_000;
    /** Maximum characters of a path or of a header value. */
    public static final int MAX_TEXT_CHARS = 1_024;
    /** Maximum pools of a route. */
    public static final int MAX_POOLS = 64;

    /** Reads a value; adds all problems to the list and returns null if there are any. */
    static RouteValue read(String name, byte[] value, List<String> problems) {
        JsonObject object = JsonObject.parse(value, problems);
        Long order = problems.isEmpty() ? object.requiredInteger("order", 0, MAX_ORDER) : null;
        if (!problems.isEmpty() && order == null && !object.has("order")) {
            return null;  // not an object, or the required order is missing
        }
        String header = object.name("header");
        Match match = new Match(object.name("class"), object.name("tenant"), object.path("path", MAX_TEXT_CHARS), header, object.text("header_value", MAX_TEXT_CHARS),
                object.name("zone"));
        if (match.headerValue() != null && !object.has("header")) {
            object.addProblem("header_value", "expected the key header as well, found none");
        }
        List<Route.Target> targets = new ArrayList<>();
        Set<String> seenPools = new HashSet<>();
        for (JsonObject each : object.objects("pools", MAX_POOLS)) {
            String pool = each.requiredName("pool");
            Double weight = each.requiredNumber("weight", 0, 1e6);
            each.rejectUnknownKeys();
            if (pool != null && !seenPools.add(pool)) {
                each.addProblem("pool", "expected each pool once, found \"" + pool + "\" again");
            } else if (pool != null && weight != null) {
                targets.add(new Route.Target(pool, weight));
            }
        }
        String fallback = object.name("fallback");
        object.rejectUnknownKeys();
        if (problems.isEmpty() && targets.stream().noneMatch(target -> target.weight() > 0)) {
            object.addProblem("pools", "expected a pool with a weight above 0, found none");
        }
        return problems.isEmpty() ? new RouteValue(order, new Route(name, match, targets, fallback)) : null;
    }

    /** The pools that the route refers to, the fallback last. */
    public List<String> pools() {
        List<String> pools = new ArrayList<>();
        route.targets().forEach(target -> pools.add(target.pool()));
        if (route.fallback() != null) {
            pools.add(route.fallback());
        }
        return pools;
    }

    @Override
    public int compareTo(RouteValue other) {
        return OrderedRoute.compare(this, other);
    }
}
