package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Reads the table {@code [peers]}; docs/operations/peers.md lists its keys. */
final class PeersReader {

    private PeersReader() { }

    /** Null where there is no such table: the gateway knows of no other then. */
    static PeerSettings read(Section root, GatewaySettings gateway) {
        if (!root.has("peers")) {
            return null;
        }
        Section section = root.section("peers");
        List<SecretRef> keys = new ArrayList<>();
        for (Section each : section.sections("key", PeerSettings.KEYS_MOST)) {
            SecretRef key = Tables.secret(each);
            if (key == null) {
                each.problem("expected secret_file or secret_variable, found neither");
            } else {
                keys.add(key);
            }
            each.noMore();
        }
        if (keys.isEmpty()) {
            section.problem("key", "expected at least one key, [[peers.key]], found none");
        }
        Map<String, String> gateways = new TreeMap<>();
        Set<String> names = Section.met();
        Set<String> addresses = Section.met();
        for (Section each : section.sections("gateway", PeerSettings.GATEWAYS_MOST)) {
            String name = Tables.word(each, "name", each.requiredText("name"));
            String address = Tables.endpoint(each, "address", each.requiredText("address"));
            each.once("name", name, names);
            each.once("address", address, addresses);
            gateways.put(name, address);
            each.noMore();
        }
        if (gateways.keySet().stream().allMatch(gateway.name()::equals)) {
            section.problem("gateway", "expected at least one other gateway, [[peers.gateway]], found none");
        }
        PeerSettings settings = new PeerSettings(Tables.endpoint(section, "listen", section.requiredText("listen")),
                Tables.word(section, "installation", section.requiredText("installation")), keys, gateways,
                (int) section.whole("connections", 256, 8, 4_096), section.text("folder"), section.text("status_file"));
        section.noMore();
        return settings;
    }
}
