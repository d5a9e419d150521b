package mastdrift.net;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.engine.Member;

/**
 * A full list of hosts, or the entries that changed, as discovery sends it.
 * @param version the registry's version of the list
 * @param full whether the entries are all hosts of the list or only those that changed
 * @param entries the entries
 */
public record HostList(long version, boolean full, List<Member> entries) {

    /**
     * A list as far as it could be parsed.
     * @param list the list with the entries that could be parsed
     * @param namedUids the uids of all entries; null if an entry has none
     * @param leaving the entries that certainly report a host as draining or removed, including entries that could not
     * be parsed otherwise
     * @param fault what was expected where, and what was found; null if the list is well-formed
     */
    record ParseResult(HostList list, Set<String> namedUids, List<Member> leaving, String fault) { }

    /** Throws IllegalArgumentException for anything but a well-formed list. */
    public static HostList parse(Object json) {
        ParseResult result = parseLeniently(json);
        if (result.fault != null) {
            throw new IllegalArgumentException(result.fault);
        }
        return result.list;
    }

    /** Parses as much as possible; throws IllegalArgumentException for input that is no list at all. */
    static ParseResult parseLeniently(Object json) {
        if (!(json instanceof Map<?, ?> root && root.get("targets") instanceof List<?> targets
                && root.get("rev") instanceof Number version && root.get("all") instanceof Boolean full)) {
            throw new IllegalArgumentException("expected a list with rev, all and targets, found "
                    + (json instanceof Map<?, ?> other ? "one with " + other.keySet() : "none"));
        }
        List<Member> entries = new ArrayList<>();
        List<Member> leaving = new ArrayList<>();
        Set<String> namedUids = new HashSet<>();
        String fault = null;
        for (int i = 0; i < targets.size(); i++) {
            Map<?, ?> target = targets.get(i) instanceof Map<?, ?> object ? object : Map.of();
            try {
                Member entry = parseEntry(target);
                entries.add(entry);
                if (entry.host().health() != Health.UP) {
                    leaving.add(entry);
                }
            } catch (IllegalArgumentException | ArithmeticException e) {
                fault = fault == null ? "list " + version + ", targets[" + i + "]: " + e.getMessage() : fault;
                addIfLeaving(target, leaving);
            }
            namedUids = addUid(target, namedUids);
        }
        return new ParseResult(new HostList(version.longValue(), full, entries), namedUids, leaving, fault);
    }

    private static Set<String> addUid(Map<?, ?> target, Set<String> namedUids) {
        if (namedUids == null || !(target.get("uid") instanceof String uid) || uid.isEmpty()) {
            return null;
        }
        namedUids.add(uid);
        return namedUids;
    }

    /**
     * Adds a host whose entry could not be parsed if it is certain that it is draining or removed: uid and state are
     * readable.
     */
    private static void addIfLeaving(Map<?, ?> target, List<Member> leaving) {
        boolean draining = "terminating".equals(target.get("state"));
        if ((draining || "terminated".equals(target.get("state"))) && target.get("uid") instanceof String uid
                && !uid.isEmpty()) {
            leaving.add(new Member(new Host(uid, "", 0, "", 1, draining ? Health.LEAVING : Health.GONE, Long.MAX_VALUE),
                    null));
        }
    }

    /** Parses one entry; null unless it certainly reports a host as draining or removed. */
    static Member parseIfLeaving(Map<?, ?> target) {
        List<Member> leaving = new ArrayList<>();
        try {
            Member entry = parseEntry(target);
            return entry.host().health() == Health.UP ? null : entry;
        } catch (IllegalArgumentException | ArithmeticException e) {
            addIfLeaving(target, leaving);
            return leaving.isEmpty() ? null : leaving.get(0);
        }
    }

    private static Member parseEntry(Map<?, ?> target) {
        String uid = GatewayConfig.text(target, "uid");
        String state = GatewayConfig.text(target, "state");
        Health health = switch (state) {
            case "in_service" -> Health.UP;
            case "terminating" -> Health.LEAVING;
            case "terminated" -> Health.GONE;
            default -> throw new IllegalArgumentException("expected in_service, terminating or terminated of " + uid
                    + ", found \"" + state + "\"");
        };
        if (uid.isEmpty()) {
            throw new IllegalArgumentException("expected a uid, found none");
        }
        // Start times are reported in Unix time, with which the gateway's clock was initialized: see Clock.
        long born = Math.multiplyExact(numberOr(target, "boot_ms", 0).longValue(), 1000L);
        return new Member(new Host(uid, GatewayConfig.text(target, "az"), numberOr(target, "pod_group", 0).intValue(),
                GatewayConfig.text(target, "model"), numberOr(target, "capacity_hint", 1).doubleValue(), health, born),
                GatewayConfig.parseAddress(GatewayConfig.text(target, "endpoint")));
    }

    private static Number numberOr(Map<?, ?> target, String name, int defaultValue) {
        return target.get(name) instanceof Number given ? given : defaultValue;
    }
}
