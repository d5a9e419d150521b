package mastdrift.agreed;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Chooses the log's voters: an odd number of gateways, spread over zones, replaced one at a time. */
public final class Voters {

    public static final int MAX_VOTERS = 7;

    /**
     * A gateway that may become a voter.
     *
     * @param awayMicros for how long it has not been reachable; 0 while it is reachable
     */
    public record EligibleGateway(String name, String zone, long awayMicros) { }

    /**
     * Which failures a set of voters survives.
     *
     * @param gatewayFailures number of gateways that may be lost
     * @param anyZoneFailure whether the loss of any one zone is survived
     */
    public record FaultTolerance(int gatewayFailures, boolean anyZoneFailure) { }

    private Voters() { }

    /**
     * Returns the name of a voter to remove and of the gateway to add in its place; null where nothing is to change.
     * Only a voter that is unknown or has been away for at least {@code replaceAfterMicros} is replaced, by a reachable
     * gateway: of the zone with the fewest remaining voters, the first by name.
     */
    public static String[] replacement(Collection<String> voters, Collection<EligibleGateway> gateways,
            long replaceAfterMicros) {
        Map<String, EligibleGateway> byName = new HashMap<>();
        gateways.forEach(each -> byName.put(each.name(), each));
        List<String> lostVoters = new ArrayList<>(new TreeSet<>(voters));
        lostVoters.removeIf(name -> byName.get(name) != null && byName.get(name).awayMicros() < replaceAfterMicros);
        if (lostVoters.isEmpty()) {
            return null;
        }
        Map<String, Integer> votersPerZone = new HashMap<>();
        voters.stream().filter(name -> !lostVoters.contains(name))
                .forEach(name -> votersPerZone.merge(byName.get(name).zone(), 1, Integer::sum));
        return gateways.stream().filter(each -> each.awayMicros() == 0 && !voters.contains(each.name()))
                .min(Comparator.comparingInt((EligibleGateway each) -> votersPerZone.getOrDefault(each.zone(), 0))
                .thenComparing(EligibleGateway::name))
                .map(each -> new String[] {lostVoters.get(0), each.name()}).orElse(null);
    }

    /** Returns which failures leave a majority of the voters. */
    public static FaultTolerance faultTolerance(Map<String, String> zoneByVoter) {
        int majority = zoneByVoter.size() / 2 + 1;
        Map<String, Integer> votersPerZone = new HashMap<>();
        zoneByVoter.values().forEach(zone -> votersPerZone.merge(zone, 1, Integer::sum));
        return new FaultTolerance(zoneByVoter.size() - majority, votersPerZone.values().stream()
                .allMatch(votersInZone -> zoneByVoter.size() - votersInZone >= majority));
    }
}
