package mastdrift.routing;

import java.util.List;

/**
 * Sends the requests that match to a pool, chosen from weighted targets.
 *
 * @param name the operator's name for the route
 * @param match which requests the route applies to
 * @param targets the pools among which keys are split; at least one has a weight above 0
 * @param fallback the pool to use when the chosen pool has no available host, or null
 */
public record Route(String name, Match match, List<Target> targets, String fallback) {

    /**
     * A pool and its weight. Each pool receives a fraction of the route's keys in proportion to its weight; a weight of
     * 0 receives none.
     */
    public record Target(String pool, double weight) {

        /** Throws IllegalArgumentException if the weight is negative or not finite. */
        public Target {
            if (!(weight >= 0) || Double.isInfinite(weight)) {
                throw new IllegalArgumentException("expected a weight of 0 or more, found " + weight);
            }
        }
    }

    /** Throws IllegalArgumentException if no target has a weight above 0. */
    public Route {
        targets = List.copyOf(targets);
        if (targets.stream().noneMatch(target -> target.weight() > 0)) {
            throw new IllegalArgumentException("expected a pool with a weight above 0 in route " + name);
        }
    }
}
