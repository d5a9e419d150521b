package mastdrift.agreed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Who votes: an odd number of gateways, spread over zones, and one change at a time. */
public final class Voters {

    /** Voters, at most. */
    public static final int MOST = 7;

    /** A gateway that may vote, its zone, and for how long it has been away, in microseconds; 0 while it is there. */
    public record Eligible(String name, String zone, long away) { }

    /** What has to survive, as it stands. */
    public record FaultTolerance(int gateways, boolean anyZone) { }

    private Voters() { }

    /** Whom to take in place of whom; null where nothing is to change. Only who is away for {@code long} is replaced, by one who is there: of the zone with the fewest voters, the first by name. */
    public static String[] replacement(Collection<String> voters, Collection<Eligible> all, long longAway) {
        Map<String, Eligible> byName = new HashMap<>();
        all.forEach(each -> byName.put(each.name(), each));
        List<String> gone = new ArrayList<>(new TreeSet<>(voters));
        gone.removeIf(name -> byName.get(name) != null && byName.get(name).away() < longAway);
        if (gone.isEmpty()) {
            return null;
        }
        Map<String, Integer> zones = new HashMap<>();
        voters.stream().filter(name -> !gone.contains(name)).forEach(name -> zones.merge(byName.get(name).zone(), 1, Integer::sum));
        return all.stream().filter(each -> each.away() == 0 && !voters.contains(each.name()))
                .min(Comparator.comparingInt((Eligible each) -> zones.getOrDefault(each.zone(), 0)).thenComparing(Eligible::name))
                .map(each -> new String[] {gone.get(0), each.name()}).orElse(null);
    }

    /** What a set of voters survives: so many gateways, and whether any one zone. */
    public static FaultTolerance faultTolerance(Map<String, String> zoneByVoter) {
        int majority = zoneByVoter.size() / 2 + 1;
        Map<String, Integer> zones = new HashMap<>();
        zoneByVoter.values().forEach(zone -> zones.merge(zone, 1, Integer::sum));
        return new FaultTolerance(zoneByVoter.size() - majority, zones.values().stream().allMatch(lost -> zoneByVoter.size() - lost >= majority));
    }
}
