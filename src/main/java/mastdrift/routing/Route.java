package mastdrift.routing;

import java.util.List;

/**
 * Where requests that match go.
 *
 * @param name what operators call it
 * @param match which requests it is for
 * @param targets the pools among which keys are split, at least one with a weight above 0
 * @param fallback the pool for when the one chosen has nobody to send to, or null
 */
public record Route(String name, Match match, List<Target> targets, String fallback) {

    /** A pool and its part of the route's keys, in proportion to the weights of all; 0 is no part. */
    public record Target(String pool, double weight) {

        /** Throws IllegalArgumentException for a weight that is negative or not finite. */
        public Target {
            if (!(weight >= 0) || Double.isInfinite(weight)) {
                throw new IllegalArgumentException("expected a weight of 0 or more, found " + weight);
            }
        }
    }

    /** Throws IllegalArgumentException where no target has a weight above 0. */
    public Route {
        targets = List.copyOf(targets);
        if (targets.stream().noneMatch(target -> target.weight() > 0)) {
            throw new IllegalArgumentException("expected a pool with a weight above 0 in route " + name);
        }
    }
}
