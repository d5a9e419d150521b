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
public final class Guards {

    /**
     * Zones with fewer hosts are not checked for {@code zone-drop}: a single host would be more than a third of such a
     * zone.
     */
    public static final int ZONE_LEAST = 3;

    private Guards() { }

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

        private final String word;

        Guard(String word) {
            this.word = word;
        }

        /** The name in the operator's file. */
        public String word() {
            return word;
        }
    }

    /**
     * What a pool allows: the fractions of its hosts, and of a zone's, that one change may take out of service, and
     * whether a whole zone or the whole pool may be.
     */
    public record Limits(double poolDropMost, double zoneDropMost, boolean zoneMayEmpty, boolean weightsMayBeZero) {

        /** Half of a pool, two thirds of a zone, and never a whole zone or pool. */
        public static final Limits USUAL = new Limits(0.5, 0.67, false, false);
    }

    /** A guard that a change violates, and the reason. */
    public record Trip(Guard guard, String pool, String why) { }

    /** The guards of one pool that the change violates; {@code before} is null at start-up, when no list is current. */
    public static List<Trip> trips(Limits limits, PoolList before, PoolList after) {
        List<Trip> trips = new ArrayList<>();
        if (before != null) {
            drops(limits, before, after, trips);
        }
        if (!limits.weightsMayBeZero() && !after.hosts().isEmpty() && !after.somebody()) {
            trips.add(new Trip(Guard.WEIGHT_ZERO, after.pool(), "none of " + after.hosts().size()
                    + " hosts would take requests: all have weight 0 or are leaving"));
        }
        return trips;
    }

    private static void drops(Limits limits, PoolList before, PoolList after, List<Trip> trips) {
        Set<String> taking = new HashSet<>();
        Map<String, Integer> takingIn = new HashMap<>();
        after.hosts().stream().filter(Listed::takesNew).forEach(host -> {
            taking.add(host.host().address());
            takingIn.merge(host.host().zone(), 1, Integer::sum);
        });
        Map<String, int[]> zones = new TreeMap<>();
        int[] pool = new int[2];
        before.hosts().stream().filter(Listed::takesNew).forEach(host -> {
            int lost = taking.contains(host.host().address()) ? 0 : 1;
            int[] zone = zones.computeIfAbsent(host.host().zone(), name -> new int[2]);
            zone[0]++;
            zone[1] += lost;
            pool[0]++;
            pool[1] += lost;
        });
        if (pool[1] > limits.poolDropMost() * pool[0]) {
            trips.add(new Trip(Guard.POOL_DROP, after.pool(), share(pool) + " hosts would receive no new requests, at most "
                    + limits.poolDropMost() + " of them may"));
        }
        zones.forEach((name, zone) -> {
            if (zone[0] >= ZONE_LEAST && zone[1] > limits.zoneDropMost() * zone[0]) {
                trips.add(new Trip(Guard.ZONE_DROP, after.pool(), share(zone) + " hosts of zone " + name
                        + " would receive no new requests, at most " + limits.zoneDropMost() + " of them may"));
            }
            if (!limits.zoneMayEmpty() && !takingIn.containsKey(name)) {
                trips.add(new Trip(Guard.ZONE_EMPTY, after.pool(),
                        "zone " + name + " had " + zone[0] + " hosts that take requests and would have none"));
            }
        });
    }

    private static String share(int[] of) {
        return of[1] + " of " + of[0];
    }
}
