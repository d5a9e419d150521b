package mastdrift.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import mastdrift.config.Configuration;
import mastdrift.config.PoolSettings;
import mastdrift.membership.ChangeGuards.Violation;
import mastdrift.membership.ListedHost;
import mastdrift.membership.Membership;
import mastdrift.membership.Overrides;
import mastdrift.membership.PoolList;

/**
 * Describes the differences between two configurations: what applying the second would do, and why it would be
 * rejected.
 */
public final class ConfigDiff {

    private ConfigDiff() { }

    /**
     * Settings that a running gateway cannot change, a line each; empty if the two configurations agree on them, or if
     * none is in force yet.
     */
    static List<String> startOnlyProblems(Configuration inForce, Configuration next) {
        List<String> problems = new ArrayList<>();
        if (inForce == null) {
            return problems;
        }
        if (!inForce.gateway().equals(next.gateway())) {
            problems.add("[gateway]: expected what the gateway started with (" + inForce.gateway() + "), found "
                    + next.gateway() + "; restart the gateway to change it");
        }
        if (!inForce.classes().equals(next.classes())) {
            problems.add("[[class]]: expected the classes that the gateway started with; restart it to change them");
        }
        if (!inForce.tenants().equals(next.tenants())) {
            problems.add("[[tenant]]: expected the tenants that the gateway started with; restart it to change them");
        }
        if (!inForce.radiusListeners().equals(next.radiusListeners())) {
            problems.add("[[radius]]: expected the listeners that the gateway started with; restart it to change them");
        }
        boolean hasZones = inForce.zones() != null;
        if (hasZones != (next.zones() != null) || hasZones && !inForce.zones().samePaths(next.zones())) {
            problems.add("[zones]: expected the table, or none, and the files that the gateway started with; restart the gateway to change them");
        }
        if ((inForce.peers() == null) != (next.peers() == null) || inForce.peers() != null && !inForce.peers().equalsExceptReloadable(next.peers())) {
            problems.add("[peers]: expected the table, or none, as the gateway started with it, except for keys and gateways; restart the gateway to change it");
        }
        if (!Objects.equals(inForce.agreed(), next.agreed())) {
            problems.add("[agreed]: expected what the gateway started with; restart the gateway to change it");
        }
        if (inForce.distribution() != next.distribution()
                && (inForce.distribution() == null || next.distribution() == null || !inForce.distribution().equalsExceptReloadable(next.distribution()))) {
            problems.add("[distribution]: expected the table, or none, as the gateway started with it, except for keys and machines; restart the gateway to change it");
        }
        inForce.pools().forEach((name, pool) -> {
            PoolSettings other = next.pools().get(name);
            if (other != null && !pool.equalsExceptReloadable(other)) {
                problems.add("[pool." + name + "]: expected the settings that it started with except nodes and guards; "
                        + "remove the pool or restart the gateway to change them");
            }
        });
        return problems;
    }

    /** The message of a guard's refusal, with the lines of an override that lets the change through once. */
    static String guardRefusal(Violation trip, Map<String, String> versions) {
        String version = versions.getOrDefault(trip.pool(), "none");
        return "pool " + trip.pool() + ": guard " + trip.guard().configName() + ": " + trip.reason()
                + (versions.isEmpty() ? "" : "; if the change is intended, add once: [[override]] guard = \""
                        + trip.guard().configName()
                        + "\", pool = \"" + trip.pool() + "\", version = \"" + version + "\"");
    }

    /**
     * The effects of replacing one configuration by another, a line each, and the reasons for which a running gateway
     * would refuse it, as far as can be told from the files.
     */
    public record Plan(List<String> lines, List<String> refusals) { }

    /** Plans the change from the files of {@code old} to those of {@code next}. */
    public static Plan plan(Configuration old, Configuration next) {
        List<String> lines = new ArrayList<>();
        Membership membership = new Membership();
        Map<String, PoolList> before = new TreeMap<>(membership.applyFiles(0, old.configuredNodes()));
        Map<String, PoolList> after = membership.preview(0, next.configuredNodes());
        TreeSet<String> pools = new TreeSet<>(before.keySet());
        pools.addAll(after.keySet());
        for (String pool : pools) {
            if (!before.containsKey(pool)) {
                lines.add("pool " + pool + ": new, " + after.get(pool).hosts().size() + " hosts");
            } else if (!after.containsKey(pool)) {
                lines.add("pool " + pool + ": taken out, " + before.get(pool).hosts().size() + " hosts");
            } else {
                addHostChanges(before.get(pool), after.get(pool), lines);
            }
        }
        if (!old.routes().equals(next.routes())) {
            lines.add("routes: " + old.routes().size() + " before, " + next.routes().size() + " after, changed");
        }
        List<String> refusals = new ArrayList<>(startOnlyProblems(old, next));
        List<Violation> trips = Control.guardTrips(old, next, before, after);
        new Overrides().remainingViolations(trips, next.overrides(), old.nodeListVersions())
                .forEach(trip -> refusals.add(guardRefusal(trip, old.nodeListVersions())));
        return new Plan(lines, refusals);
    }

    /** Refusals of the guards that apply to a configuration by itself, as when a gateway starts. */
    public static List<String> refusalsAtStart(Configuration configuration) {
        Map<String, PoolList> lists = new Membership().preview(0, configuration.configuredNodes());
        return Control.guardTrips(null, configuration, null, lists).stream()
                .map(trip -> guardRefusal(trip, Map.of())).toList();
    }

    private static void addHostChanges(PoolList before, PoolList after, List<String> lines) {
        Map<String, ListedHost> old = byUid(before);
        Map<String, ListedHost> next = byUid(after);
        TreeSet<String> uids = new TreeSet<>(old.keySet());
        uids.addAll(next.keySet());
        for (String uid : uids) {
            ListedHost oldHost = old.get(uid);
            ListedHost nextHost = next.get(uid);
            String effect = oldHost == null ? "new, zone " + nextHost.host().zone() + ", " + nextHost.endpoint()
                    : nextHost == null ? "taken out" : describeChange(oldHost, nextHost);
            if (!effect.isEmpty()) {
                lines.add("pool " + before.pool() + ": " + uid + ": " + effect);
            }
        }
    }

    private static String describeChange(ListedHost oldHost, ListedHost nextHost) {
        List<String> effects = new ArrayList<>();
        if (oldHost.acceptsNewRequests() != nextHost.acceptsNewRequests()) {
            effects.add(nextHost.acceptsNewRequests() ? "takes requests again" : "gets no new requests");
        }
        if (oldHost.host().weight() != nextHost.host().weight() && nextHost.acceptsNewRequests()) {
            effects.add(String.format("weight %.3f of the largest, %.3f before", nextHost.host().weight(), oldHost.host().weight()));
        }
        if (!oldHost.endpoint().equals(nextHost.endpoint())) {
            effects.add("endpoint " + nextHost.endpoint() + ", " + oldHost.endpoint() + " before");
        }
        if (!oldHost.host().zone().equals(nextHost.host().zone()) || oldHost.host().cell() != nextHost.host().cell()
                || !oldHost.host().kind().equals(nextHost.host().kind())) {
            effects.add("zone, cell or kind");
        }
        if (oldHost.host().born() != nextHost.host().born()) {
            effects.add("restarted");
        }
        return String.join("; ", effects);
    }

    private static Map<String, ListedHost> byUid(PoolList list) {
        Map<String, ListedHost> hosts = new TreeMap<>();
        list.hosts().forEach(host -> hosts.put(host.host().address(), host));
        return hosts;
    }
}
