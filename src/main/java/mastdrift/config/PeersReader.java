package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mastdrift.agreed.Voters;

/** Reads the table {@code [peers]}; docs/operations/peers.md lists its keys. */
final class PeersReader {

    private PeersReader() { }

    /** Null where there is no such table: the gateway knows of no other then. */
    static PeerSettings read(Section root, GatewaySettings gateway) {
        if (!root.has("peers")) {
            return null;
        }
        Section section = root.section("peers");
        List<SecretRef> keys = Tables.keys(section, "peers");
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

    /** The table {@code [agreed]}; null where there is none. */
    static AgreedSettings agreed(Section root, GatewaySettings gateway, PeerSettings peers) {
        if (!root.has("agreed")) {
            return null;
        }
        Section section = root.section("agreed");
        List<String> voters = section.texts("voters", Voters.MAX_VOTERS);
        Set<String> met = Section.met();
        List<String> known = new ArrayList<>(peers == null ? List.of() : peers.gateways().keySet());
        known.add(gateway.name());
        if (peers == null) {
            section.problem("expected a table [peers] beside it, found none");
        }
        for (String each : voters) {
            section.once("voters", each, met);
            if (!known.contains(each)) {
                section.problem("voters", Tables.expectedOne("the gateways of [peers]", known, each));
            }
        }
        if (voters.size() % 2 == 0) {
            section.problem("voters", "expected 1, 3, 5 or 7 gateways, found " + voters.size());
        }
        AgreedSettings settings = new AgreedSettings(Tables.word(section, "begin", section.requiredText("begin")), voters, section.text("folder", "agreed"),
                section.span("replace_after", 60_000_000, 1_000_000, 3_600_000_000L), section.span("roll_every", 60_000_000, 100_000, 3_600_000_000L));
        section.noMore();
        return settings;
    }
}
