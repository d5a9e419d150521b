package mastdrift.net;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.engine.Member;

/** A list of hosts, or the entries of it that changed, in discovery's form. */
public record HostList(long rev, boolean all, List<Member> entries) {

    /** Throws IllegalArgumentException for what is no list. */
    public static HostList parse(Object json) {
        if (!(json instanceof Map<?, ?> root && root.get("targets") instanceof List<?> targets
                && root.get("rev") instanceof Number rev && root.get("all") instanceof Boolean all)) {
            throw new IllegalArgumentException("expected a list with rev, all and targets, found "
                    + (json instanceof Map<?, ?> other ? "one with " + other.keySet() : "none"));
        }
        List<Member> entries = new ArrayList<>();
        for (Object target : targets) {
            try {
                entries.add(entry(target instanceof Map<?, ?> object ? object : Map.of()));
            } catch (IllegalArgumentException | ArithmeticException e) {
                throw new IllegalArgumentException("list " + rev + ", targets[" + entries.size() + "]: " + e.getMessage(), e);
            }
        }
        return new HostList(rev.longValue(), all, entries);
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
        // Starts are told in Unix time, as which the gateway's clock began: see Clock.
        long born = Math.multiplyExact(number(target, "boot_ms", 0).longValue(), 1000L);
        return new Member(new Host(uid, Config.text(target, "az"), number(target, "pod_group", 0).intValue(),
                Config.text(target, "model"), number(target, "capacity_hint", 1).doubleValue(), health, born),
                Config.address(Config.text(target, "endpoint")));
    }

    private static Number number(Map<?, ?> target, String name, int otherwise) {
        return target.get(name) instanceof Number given ? given : otherwise;
    }
}
