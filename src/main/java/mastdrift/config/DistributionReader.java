package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import mastdrift.agreed.Voters;
import mastdrift.config.DistributionSettings.Machine;
import mastdrift.config.DistributionSettings.Role;

/** Reads the table {@code [distribution]} of a gateway's file, and the file of a control machine, which has no other; docs/operations/distribution.md lists its keys. */
public final class DistributionReader {

    private static final String TABLE = "distribution";

    private DistributionReader() { }

    /** What came of a control machine's file: its settings, or null and the problems. */
    public record Result(DistributionSettings settings, List<String> problems) { }

    /** Whether a text is meant as the file of a control machine: it has the table and no {@code [gateway]}. */
    public static boolean isControl(String file, String text) {
        Section root = Section.root(file, text, new Problems());
        return root != null && root.has(TABLE) && !root.has("gateway");
    }

    /** The file of a control machine. */
    public static Result control(String file, String text) {
        Problems problems = new Problems();
        Closing.check(file, text, -1, problems);
        Section root = Section.root(file, text, problems);
        DistributionSettings settings = null;
        if (root != null && !root.has(TABLE)) {
            root.problem(TABLE, "expected a table [distribution], found none");
        } else if (root != null) {
            settings = controlTable(root.section(TABLE));
            root.noMore();
        }
        return new Result(problems.none() ? settings : null, problems.lines());
    }

    private static DistributionSettings controlTable(Section section) {
        String name = Tables.word(section, "name", section.requiredText("name"));
        Role role = section.word("role", null, List.of("relay", "voter"), List.of(Role.RELAY, Role.VOTER));
        if (!section.has("role")) {
            section.problem("role", "expected relay or voter, found nothing");
        }
        List<Machine> machines = machines(section);
        Machine own = machines.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
        if (own == null) {
            section.problem("name", Tables.expectedOne("the machines", machines.stream().map(Machine::name).toList(), name));
        } else if (role != null && own.role() != role) {
            section.problem("role", "expected what the machine " + name + " is among the machines, " + word(own.role()) + ", found " + word(role));
        }
        voters(section, machines);
        return whole(section, name, own == null ? "?" : own.zone(), role, Tables.endpoint(section, "listen", section.text("listen", own == null ? "?" : own.address())),
                null, (int) section.whole("connections", 4_096, 8, 8_192), machines);
    }

    /** The table of a gateway; null where there is none: its routes are those of its file then. */
    static DistributionSettings read(Section root, GatewaySettings gateway) {
        if (!root.has(TABLE)) {
            return null;
        }
        Section section = root.section(TABLE);
        String role = section.text("role", "gateway");
        if (!role.equals("gateway")) {
            section.problem("role", "expected gateway, for this file has a table [gateway]; a relay or voter has a file of its own (mastdrift control), found \"" + role + '"');
        }
        List<Machine> machines = machines(section);
        if (machines.stream().anyMatch(each -> each.name().equals(gateway.name()))) {
            section.problem("machine", "expected machines of other names than this gateway's, found \"" + gateway.name() + '"');
        }
        return whole(section, gateway.name(), gateway.zone(), Role.GATEWAY, null, section.text("status_file"), 0, machines);
    }

    private static DistributionSettings whole(Section section, String name, String zone, Role role, String listen, String statusFile, int connections, List<Machine> machines) {
        List<SecretRef> keys = Tables.keys(section, "distribution");
        if (!section.has("epoch")) {
            section.problem("epoch", "expected a whole number from 1 to " + DistributionSettings.EPOCH_MOST + ", found nothing");
        }
        DistributionSettings settings = new DistributionSettings(section.whole("epoch", 1, 1, DistributionSettings.EPOCH_MOST),
                Tables.word(section, "installation", section.requiredText("installation")), keys, name, zone, role, listen,
                section.requiredText("folder"), statusFile, connections, machines);
        section.noMore();
        return settings;
    }

    private static List<Machine> machines(Section section) {
        List<Machine> machines = new ArrayList<>();
        Set<String> names = Section.met();
        Set<String> addresses = Section.met();
        for (Section each : section.sections("machine", DistributionSettings.MACHINES_MOST)) {
            String name = Tables.word(each, "name", each.requiredText("name"));
            String address = Tables.endpoint(each, "address", each.requiredText("address"));
            each.once("name", name, names);
            each.once("address", address, addresses);
            Role role = each.word("role", null, List.of("relay", "voter"), List.of(Role.RELAY, Role.VOTER));
            if (!each.has("role")) {
                each.problem("role", "expected relay or voter, found nothing");
            }
            machines.add(new Machine(name, address, Tables.word(each, "zone", each.requiredText("zone")), role));
            each.noMore();
        }
        if (machines.isEmpty()) {
            section.problem("machine", "expected at least one control machine, [[distribution.machine]], found none");
        }
        return List.copyOf(machines);
    }

    /** A control machine knows all voters: they are the log's at its begin. */
    private static void voters(Section section, List<Machine> machines) {
        long voters = machines.stream().filter(each -> each.role() == Role.VOTER).count();
        if (voters % 2 == 0 || voters > Voters.MAX_VOTERS) {
            section.problem("machine", "expected 1, 3, 5 or 7 machines that are voters, found " + voters);
        }
    }

    private static String word(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }
}
