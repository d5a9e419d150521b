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
public record HostList(long rev, boolean all, List<Member> entries) {

    /**
     * A list as far as it could be parsed.
     * @param list the list with the entries that could be parsed
     * @param namedUids the uids of all entries; null if an entry has none
     * @param leaving the entries that certainly report a host as draining or removed, including entries that could not
     * be parsed otherwise
     * @param fault what was expected where, and what was found; null if the list is well-formed
     */
    record Reading(HostList list, Set<String> named, List<Member> leaving, String fault) { }

    /** Throws IllegalArgumentException for anything but a well-formed list. */
    public static HostList parse(Object json) {
        Reading reading = read(json);
        if (reading.fault != null) {
            throw new IllegalArgumentException(reading.fault);
        }
        return reading.list;
    }

    /** Parses as much as possible; throws IllegalArgumentException for input that is no list at all. */
    static Reading read(Object json) {
        if (!(json instanceof Map<?, ?> root && root.get("targets") instanceof List<?> targets
                && root.get("rev") instanceof Number rev && root.get("all") instanceof Boolean all)) {
            throw new IllegalArgumentException("expected a list with rev, all and targets, found "
                    + (json instanceof Map<?, ?> other ? "one with " + other.keySet() : "none"));
        }
        List<Member> entries = new ArrayList<>();
        List<Member> leaving = new ArrayList<>();
        Set<String> named = new HashSet<>();
        String fault = null;
        for (int i = 0; i < targets.size(); i++) {
            Map<?, ?> target = targets.get(i) instanceof Map<?, ?> object ? object : Map.of();
            try {
                Member entry = entry(target);
                entries.add(entry);
                if (entry.host().health() != Health.UP) {
                    leaving.add(entry);
                }
            } catch (IllegalArgumentException | ArithmeticException e) {
                fault = fault == null ? "list " + rev + ", targets[" + i + "]: " + e.getMessage() : fault;
                leaves(target, leaving);
            }
            named = name(target, named);
        }
        return new Reading(new HostList(rev.longValue(), all, entries), named, leaving, fault);
    }

    private static Set<String> name(Map<?, ?> target, Set<String> named) {
        if (named == null || !(target.get("uid") instanceof String uid) || uid.isEmpty()) {
            return null;
        }
        named.add(uid);
        return named;
    }

    /**
     * Adds a host whose entry could not be parsed if it is certain that it is draining or removed: uid and state are
     * readable.
     */
    private static void leaves(Map<?, ?> target, List<Member> leaving) {
        boolean drains = "terminating".equals(target.get("state"));
        if ((drains || "terminated".equals(target.get("state"))) && target.get("uid") instanceof String uid && !uid.isEmpty()) {
            leaving.add(new Member(new Host(uid, "", 0, "", 1, drains ? Health.LEAVING : Health.GONE, Long.MAX_VALUE), null));
        }
    }

    /** Parses one entry; null unless it certainly reports a host as draining or removed. */
    static Member leaving(Map<?, ?> target) {
        List<Member> leaving = new ArrayList<>();
        try {
            Member entry = entry(target);
            return entry.host().health() == Health.UP ? null : entry;
        } catch (IllegalArgumentException | ArithmeticException e) {
            leaves(target, leaving);
            return leaving.isEmpty() ? null : leaving.get(0);
        }
    }

    private static Member entry(Map<?, ?> target) {
        String uid = Config.text(target, "uid");
        String state = Config.text(target, "state");
        Health health = switch (state) {
            case "in_service" -> Health.UP;
            case "terminating" -> Health.LEAVING;
            case "terminated" -> Health.GONE;
            default -> throw new IllegalArgumentException("expected in_service, terminating or terminated of " + uid + ", found \"" + state + "\"");
        };
        if (uid.isEmpty()) {
            throw new IllegalArgumentException("expected a uid, found none");
        }
        // Start times are reported in Unix time, with which the gateway's clock was initialized: see Clock.
        long born = Math.multiplyExact(number(target, "boot_ms", 0).longValue(), 1000L);
        return new Member(new Host(uid, Config.text(target, "az"), number(target, "pod_group", 0).intValue(),
                Config.text(target, "model"), number(target, "capacity_hint", 1).doubleValue(), health, born),
                Config.address(Config.text(target, "endpoint")));
    }

    private static Number number(Map<?, ?> target, String name, int otherwise) {
        return target.get(name) instanceof Number given ? given : otherwise;
    }
}
