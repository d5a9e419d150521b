package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mastdrift.agreed.Voters;

/**
 * Reads the tables {@code [peers]} and {@code [agreed]}; docs/operations/peers.md lists the keys of {@code [peers]}.
 */
final class PeersReader {

    private PeersReader() { }

    /** Reads the table {@code [peers]}; null if absent: the gateway then knows no other gateway. */
    static PeerSettings readPeers(Section root, GatewaySettings gateway) {
        if (!root.has("peers")) {
            return null;
        }
        Section section = root.section("peers");
        List<SecretRef> keys = Tables.readSigningKeys(section, "peers");
        Map<String, String> gateways = new TreeMap<>();
        Set<String> names = Section.newSeenSet();
        Set<String> addresses = Section.newSeenSet();
        for (Section each : section.sections("gateway", PeerSettings.MAX_GATEWAYS)) {
            String name = Tables.checkName(each, "name", each.requiredText("name"));
            String address = Tables.checkEndpoint(each, "address", each.requiredText("address"));
            each.requireUnique("name", name, names);
            each.requireUnique("address", address, addresses);
            gateways.put(name, address);
            each.rejectUnknownKeys();
        }
        if (gateways.keySet().stream().allMatch(gateway.name()::equals)) {
            section.addProblem("gateway", "expected at least one other gateway, [[peers.gateway]], found none");
        }
        PeerSettings settings = new PeerSettings(Tables.checkEndpoint(section, "listen",
                section.requiredText("listen")),
                Tables.checkName(section, "installation", section.requiredText("installation")), keys, gateways,
                (int) section.integer("connections", 256, 8, 4_096), section.text("folder"),
                section.text("status_file"));
        section.rejectUnknownKeys();
        return settings;
    }

    /** Reads the table {@code [agreed]}; null if absent. */
    static AgreedSettings readAgreed(Section root, GatewaySettings gateway, PeerSettings peers) {
        if (!root.has("agreed")) {
            return null;
        }
        Section section = root.section("agreed");
        List<String> voters = section.texts("voters", Voters.MAX_VOTERS);
        Set<String> seen = Section.newSeenSet();
        List<String> knownGateways = new ArrayList<>(peers == null ? List.of() : peers.gateways().keySet());
        knownGateways.add(gateway.name());
        if (peers == null) {
            section.addProblem("expected a table [peers] as well, found none");
        }
        for (String each : voters) {
            section.requireUnique("voters", each, seen);
            if (!knownGateways.contains(each)) {
                section.addProblem("voters", Tables.expectedOneOf("the gateways of [peers]", knownGateways, each));
            }
        }
        if (voters.size() % 2 == 0) {
            section.addProblem("voters", "expected 1, 3, 5 or 7 gateways, found " + voters.size());
        }
        AgreedSettings settings = new AgreedSettings(Tables.checkName(section, "begin", section.requiredText("begin")), voters, section.text("folder", "agreed"),
                section.durationMicros("replace_after", 60_000_000, 1_000_000, 3_600_000_000L), section.durationMicros("roll_every", 60_000_000, 100_000, 3_600_000_000L));
        section.rejectUnknownKeys();
        return settings;
    }
}
