package mastdrift.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Guards against lists that are well-formed but probably a mistake: compares what a change of the files would apply
 * with what is current, pool by pool. Stateless and without I/O.
 */
public final class ChangeGuards {

    /**
     * Zones with fewer hosts are not checked for {@code zone-drop}: a single host would be more than a third of such a
     * zone.
     */
    public static final int MIN_ZONE_DROP_HOSTS = 3;

    private ChangeGuards() { }

    /** The guards, with their names in the configuration. */
    public enum Guard {
        /** Too large a fraction of a pool's hosts would stop receiving new requests. */
        POOL_DROP("pool-drop"),
        /** Too large a fraction of a zone's hosts would. */
        ZONE_DROP("zone-drop"),
        /** All hosts of a zone would. */
        ZONE_EMPTY("zone-empty"),
        /** All hosts of a pool would. */
        WEIGHT_ZERO("weight-zero");

        private final String configName;

        Guard(String configName) {
            this.configName = configName;
        }

        /** The name in the operator's file. */
        public String configName() {
            return configName;
        }
    }

    /**
     * What a pool allows: the fractions of its hosts, and of a zone's, that one change may take out of service, and
     * whether a whole zone or the whole pool may be.
     */
    public record Limits(double maxPoolDropFraction, double maxZoneDropFraction, boolean zoneMayEmpty,
            boolean weightsMayBeZero) {

        /** Half of a pool, two thirds of a zone, and never a whole zone or pool. */
        public static final Limits DEFAULTS = new Limits(0.5, 0.67, false, false);
    }

    /** A guard that a change violates, and the reason. */
    public record Violation(Guard guard, String pool, String reason) { }

    /** The guards of one pool that the change violates; {@code before} is null at start-up, when no list is current. */
    public static List<Violation> findViolations(Limits limits, PoolList before, PoolList after) {
        List<Violation> violations = new ArrayList<>();
        if (before != null) {
            addDropViolations(limits, before, after, violations);
        }
        if (!limits.weightsMayBeZero() && !after.hosts().isEmpty() && !after.hasAcceptingHost()) {
            violations.add(new Violation(Guard.WEIGHT_ZERO, after.pool(), "none of " + after.hosts().size()
                    + " hosts would take requests: all have weight 0 or are leaving"));
        }
        return violations;
    }

    /** Counts are pairs: the hosts that accept new requests before the change, and how many of them no longer would. */
    private static void addDropViolations(Limits limits, PoolList before, PoolList after, List<Violation> violations) {
        Set<String> acceptingUids = new HashSet<>();
        Map<String, Integer> acceptingByZone = new HashMap<>();
        after.hosts().stream().filter(ListedHost::acceptsNewRequests).forEach(host -> {
            acceptingUids.add(host.host().address());
            acceptingByZone.merge(host.host().zone(), 1, Integer::sum);
        });
        Map<String, int[]> zoneCounts = new TreeMap<>();
        int[] poolCounts = new int[2];
        before.hosts().stream().filter(ListedHost::acceptsNewRequests).forEach(host -> {
            int lost = acceptingUids.contains(host.host().address()) ? 0 : 1;
            int[] zone = zoneCounts.computeIfAbsent(host.host().zone(), name -> new int[2]);
            zone[0]++;
            zone[1] += lost;
            poolCounts[0]++;
            poolCounts[1] += lost;
        });
        if (poolCounts[1] > limits.maxPoolDropFraction() * poolCounts[0]) {
            violations.add(new Violation(Guard.POOL_DROP, after.pool(), formatLost(poolCounts)
                    + " hosts would receive no new requests, at most "
                    + limits.maxPoolDropFraction() + " of them may"));
        }
        zoneCounts.forEach((name, zone) -> {
            if (zone[0] >= MIN_ZONE_DROP_HOSTS && zone[1] > limits.maxZoneDropFraction() * zone[0]) {
                violations.add(new Violation(Guard.ZONE_DROP, after.pool(), formatLost(zone) + " hosts of zone " + name
                        + " would receive no new requests, at most " + limits.maxZoneDropFraction() + " of them may"));
            }
            if (!limits.zoneMayEmpty() && !acceptingByZone.containsKey(name)) {
                violations.add(new Violation(Guard.ZONE_EMPTY, after.pool(),
                        "zone " + name + " had " + zone[0] + " hosts that take requests and would have none"));
            }
        });
    }

    private static String formatLost(int[] counts) {
        return counts[1] + " of " + counts[0];
    }
}
