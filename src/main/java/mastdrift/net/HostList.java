package mastdrift.net;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/** A list of hosts, or the entries of it that changed, in discovery's form. */
record HostList(long rev, boolean all, List<Entry> entries) {

    /** A host as the module knows it, by its uid, and where this gateway reaches it. */
    record Entry(Host host, InetSocketAddress at) { }

    /** Throws IllegalArgumentException for what is no list. */
    static HostList parse(JsonNode root) {
        JsonNode targets = root.path("targets");
        if (!root.path("rev").isIntegralNumber() || !root.path("all").isBoolean() || !targets.isArray()) {
            throw new IllegalArgumentException("expected a list with rev, all and targets");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode target : targets) {
            entries.add(entry(target));
        }
        return new HostList(root.path("rev").asLong(), root.path("all").asBoolean(), entries);
    }

    private static Entry entry(JsonNode target) {
        String uid = target.path("uid").asText();
        String state = target.path("state").asText();
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
        long born = Math.multiplyExact(target.path("boot_ms").asLong(), 1000L);
        return new Entry(new Host(uid, target.path("az").asText(), target.path("pod_group").asInt(),
                target.path("model").asText(), target.path("capacity_hint").asDouble(1), health, born),
                Config.address(target.path("endpoint").asText()));
    }
}
