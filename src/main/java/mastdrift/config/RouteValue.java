package mastdrift.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mastdrift.routing.Match;
import mastdrift.routing.OrderedRoute;
import mastdrift.routing.Route;

/**
 * What the value of a route says.
 *
 * @param order routes are tried in the order of this number, and of their names where it is the same
 * @param route under the name of its resource
 */
public record RouteValue(long order, Route route) implements OrderedRoute, Comparable<RouteValue> {

    /** The largest order. */
    public static final long ORDER_MOST = 1_000_000_000;
    /** Characters of a path or of a header's value. */
    public static final int TEXT_MOST = 1_024;
    /** Pools of a route. */
    public static final int POOLS_MOST = 64;

    /** Reads a value; adds what is wrong to the problems, and is null then. */
    static RouteValue read(String name, byte[] value, List<String> problems) {
        JsonObject object = JsonObject.of(value, problems);
        Long order = problems.isEmpty() ? object.requiredWhole("order", 0, ORDER_MOST) : null;
        if (!problems.isEmpty() && order == null && !object.has("order")) {
            return null;  // no object at all, or one without the least that it must have
        }
        String header = object.word("header");
        Match match = new Match(object.word("class"), object.word("tenant"), object.path("path", TEXT_MOST), header, object.text("header_value", TEXT_MOST),
                object.word("zone"));
        if (match.headerValue() != null && !object.has("header")) {
            object.problem("header_value", "expected a header beside it, found none");
        }
        List<Route.Target> targets = new ArrayList<>();
        Set<String> met = new HashSet<>();
        for (JsonObject each : object.objects("pools", POOLS_MOST)) {
            String pool = each.requiredWord("pool");
            Double weight = each.requiredReal("weight", 0, 1e6);
            each.noMore();
            if (pool != null && !met.add(pool)) {
                each.problem("pool", "expected each pool once, found \"" + pool + "\" again");
            } else if (pool != null && weight != null) {
                targets.add(new Route.Target(pool, weight));
            }
        }
        String fallback = object.word("fallback");
        object.noMore();
        if (problems.isEmpty() && targets.stream().noneMatch(target -> target.weight() > 0)) {
            object.problem("pools", "expected a pool with a weight above 0, found none");
        }
        return problems.isEmpty() ? new RouteValue(order, new Route(name, match, targets, fallback)) : null;
    }

    /** The pools that it leads to, the fallback last. */
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
