package mastdrift.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import mastdrift.config.Configuration;
import mastdrift.config.PoolSettings;
import mastdrift.membership.Guards.Trip;
import mastdrift.membership.Listed;
import mastdrift.membership.Membership;
import mastdrift.membership.Overrides;
import mastdrift.membership.PoolList;

/** What differs between two configurations, in words: what a change would do, and why it can't be taken. */
public final class Changes {

    private Changes() { }

    /** What a running gateway can't change, by name; nothing where the two agree on it, or where nothing is in force. */
    static List<String> boundAtStart(Configuration inForce, Configuration next) {
        List<String> bound = new ArrayList<>();
        if (inForce == null) {
            return bound;
        }
        if (!inForce.gateway().equals(next.gateway())) {
            bound.add("[gateway]: expected what the gateway started with (" + inForce.gateway() + "), found "
                    + next.gateway() + "; start it anew to change it");
        }
        if (!inForce.classes().equals(next.classes())) {
            bound.add("[[class]]: expected the classes that the gateway started with; start it anew to change them");
        }
        if (!inForce.tenants().equals(next.tenants())) {
            bound.add("[[tenant]]: expected the tenants that the gateway started with; start it anew to change them");
        }
        if (!inForce.radiusListeners().equals(next.radiusListeners())) {
            bound.add("[[radius]]: expected the listeners that the gateway started with; start it anew to change them");
        }
        boolean counted = inForce.zones() != null;
        if (counted != (next.zones() != null) || counted && !inForce.zones().sameAtStart(next.zones())) {
            bound.add("[zones]: expected the table, or none, and the files that the gateway started with; start it anew to change them");
        }
        if ((inForce.peers() == null) != (next.peers() == null) || inForce.peers() != null && !inForce.peers().equalsExceptReloadable(next.peers())) {
            bound.add("[peers]: expected the table, or none, as the gateway started with it but for keys and gateways; start it anew to change it");
        }
        if (!Objects.equals(inForce.agreed(), next.agreed())) {
            bound.add("[agreed]: expected what the gateway started with; start it anew to change it");
        }
        if (inForce.distribution() != next.distribution()
                && (inForce.distribution() == null || next.distribution() == null || !inForce.distribution().equalsExceptReloadable(next.distribution()))) {
            bound.add("[distribution]: expected the table, or none, as the gateway started with it but for keys and machines; start it anew to change it");
        }
        inForce.pools().forEach((name, pool) -> {
            PoolSettings other = next.pools().get(name);
            if (other != null && !pool.equalsExceptReloadable(other)) {
                bound.add("[pool." + name + "]: expected the settings that it started with but for nodes and guards; "
                        + "take the pool out or start the gateway anew to change them");
            }
        });
        return bound;
    }

    /** Why a guard refuses, and the lines that let the change through once. */
    static String refusal(Trip trip, Map<String, String> versions) {
        String version = versions.getOrDefault(trip.pool(), "none");
        return "pool " + trip.pool() + ": guard " + trip.guard().word() + ": " + trip.why()
                + (versions.isEmpty() ? "" : "; if it is meant, add once: [[override]] guard = \"" + trip.guard().word()
                        + "\", pool = \"" + trip.pool() + "\", version = \"" + version + "\"");
    }

    /** What taking {@code next} in place of {@code old} would do, line by line, as far as files tell. */
    public record Plan(List<String> lines, List<String> refusals) { }

    /** Plans a change between two sets of files. */
    public static Plan plan(Configuration old, Configuration next) {
        List<String> lines = new ArrayList<>();
        Membership membership = new Membership();
        Map<String, PoolList> before = new TreeMap<>(membership.files(0, old.configuredNodes()));
        Map<String, PoolList> after = membership.preview(0, next.configuredNodes());
        TreeSet<String> pools = new TreeSet<>(before.keySet());
        pools.addAll(after.keySet());
        for (String pool : pools) {
            if (!before.containsKey(pool)) {
                lines.add("pool " + pool + ": new, " + after.get(pool).hosts().size() + " hosts");
            } else if (!after.containsKey(pool)) {
                lines.add("pool " + pool + ": taken out, " + before.get(pool).hosts().size() + " hosts");
            } else {
                hosts(before.get(pool), after.get(pool), lines);
            }
        }
        if (!old.routes().equals(next.routes())) {
            lines.add("routes: " + old.routes().size() + " before, " + next.routes().size() + " after, not the same");
        }
        List<String> refusals = new ArrayList<>(boundAtStart(old, next));
        List<Trip> trips = Control.trips(old, next, before, after);
        new Overrides().left(trips, next.overrides(), old.nodeListVersions())
                .forEach(trip -> refusals.add(refusal(trip, old.nodeListVersions())));
        return new Plan(lines, refusals);
    }

    /** Guards that speak against a configuration by itself, as at a start. */
    public static List<String> refusalsAtStart(Configuration configuration) {
        Map<String, PoolList> lists = new Membership().preview(0, configuration.configuredNodes());
        return Control.trips(null, configuration, null, lists).stream().map(trip -> refusal(trip, Map.of())).toList();
    }

    private static void hosts(PoolList before, PoolList after, List<String> lines) {
        Map<String, Listed> old = byUid(before);
        Map<String, Listed> next = byUid(after);
        TreeSet<String> uids = new TreeSet<>(old.keySet());
        uids.addAll(next.keySet());
        for (String uid : uids) {
            Listed one = old.get(uid);
            Listed other = next.get(uid);
            String what = one == null ? "new, zone " + other.host().zone() + ", " + other.endpoint()
                    : other == null ? "taken out" : change(one, other);
            if (!what.isEmpty()) {
                lines.add("pool " + before.pool() + ": " + uid + ": " + what);
            }
        }
    }

    private static String change(Listed one, Listed other) {
        List<String> words = new ArrayList<>();
        if (one.takesNew() != other.takesNew()) {
            words.add(other.takesNew() ? "takes requests again" : "gets nothing new");
        }
        if (one.host().weight() != other.host().weight() && other.takesNew()) {
            words.add(String.format("weight %.3f of the largest, %.3f before", other.host().weight(), one.host().weight()));
        }
        if (!one.endpoint().equals(other.endpoint())) {
            words.add("endpoint " + other.endpoint() + ", " + one.endpoint() + " before");
        }
        if (!one.host().zone().equals(other.host().zone()) || one.host().cell() != other.host().cell()
                || !one.host().kind().equals(other.host().kind())) {
            words.add("zone, cell or kind");
        }
        if (one.host().born() != other.host().born()) {
            words.add("started anew");
        }
        return String.join("; ", words);
    }

    private static Map<String, Listed> byUid(PoolList list) {
        Map<String, Listed> hosts = new TreeMap<>();
        list.hosts().forEach(host -> hosts.put(host.host().address(), host));
        return hosts;
    }
}
