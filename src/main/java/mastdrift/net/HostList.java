package mastdrift.net;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/** A list of hosts, or the entries of it that changed, in discovery's form. */
record HostList(long rev, boolean all, List<Entry> entries) {

    /** A host as the module knows it, by its uid, and where this gateway reaches it. */
    record Entry(Host host, InetSocketAddress at) { }

    /** Throws IllegalArgumentException for what is no list. */
    static HostList parse(Object json) {
        if (!(json instanceof Map<?, ?> root && root.get("targets") instanceof List<?> targets
                && root.get("rev") instanceof Number rev && root.get("all") instanceof Boolean all)) {
            throw new IllegalArgumentException("expected a list with rev, all and targets");
        }
        List<Entry> entries = new ArrayList<>();
        for (Object target : targets) {
            entries.add(entry(target instanceof Map<?, ?> object ? object : Map.of()));
        }
        return new HostList(rev.longValue(), all, entries);
    }

    private static Entry entry(Map<?, ?> target) {
        String uid = Config.text(target, "uid");
        String state = Config.text(target, "state");
        Health health = switch (state) {
            case "in_service" -> Health.UP;
            case "terminating" -> Health.LEAVING;
            case "terminated" -> Health.GONE;
            default -> throw new IllegalArgumentException("expected a known state of " + uid + ", not " + state);
        };
        if (uid.isEmpty()) {
            throw new IllegalArgumentException("expected a uid");
        }
        // Starts are told in Unix time, as which the gateway's clock began: see Gateway.now.
        long born = Math.multiplyExact(number(target, "boot_ms", 0).longValue(), 1000L);
        return new Entry(new Host(uid, Config.text(target, "az"), number(target, "pod_group", 0).intValue(),
                Config.text(target, "model"), number(target, "capacity_hint", 1).doubleValue(), health, born),
                Config.address(Config.text(target, "endpoint")));
    }

    private static Number number(Map<?, ?> target, String name, int otherwise) {
        return target.get(name) instanceof Number given ? given : otherwise;
    }
}
