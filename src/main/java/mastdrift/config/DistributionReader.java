package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import mastdrift.agreed.Voters;
import mastdrift.config.DistributionSettings.Machine;
import mastdrift.config.DistributionSettings.Role;

/**
 * Reads the table {@code [distribution]} of a gateway's file, and the file of a control machine, which has no other
 * table; docs/operations/distribution.md lists the keys.
 */
public final class DistributionReader {

    private static final String TABLE = "distribution";

    private DistributionReader() { }

    /** The outcome of reading a control machine's file: its settings, or null and the problems. */
    public record Result(DistributionSettings settings, List<String> problems) { }

    /**
     * Whether a text is meant as the file of a control machine: it has the table {@code [distribution]} and no {@code
     * [gateway]}.
     */
    public static boolean isControl(String file, String text) {
        Section root = Section.root(file, text, new Problems());
        return root != null && root.has(TABLE) && !root.has("gateway");
    }

    /** Reads the file of a control machine. */
    public static Result readControl(String file, String text) {
        Problems problems = new Problems();
        ClosingLine.check(file, text, -1, problems);
        Section root = Section.root(file, text, problems);
        DistributionSettings settings = null;
        if (root != null && !root.has(TABLE)) {
            root.addProblem(TABLE, "expected a table [distribution], found none");
        } else if (root != null) {
            settings = readControlTable(root.section(TABLE));
            root.rejectUnknownKeys();
        }
        return new Result(problems.isEmpty() ? settings : null, problems.lines());
    }

    private static DistributionSettings readControlTable(Section section) {
        String name = Tables.checkName(section, "name", section.requiredText("name"));
        Role role = section.oneOf("role", null, List.of("relay", "voter"), List.of(Role.RELAY, Role.VOTER));
        if (!section.has("role")) {
            section.addProblem("role", "expected relay or voter, found nothing");
        }
        List<Machine> machines = readMachines(section);
        Machine ownMachine = machines.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
        if (ownMachine == null) {
            section.addProblem("name", Tables.expectedOneOf("the machines", machines.stream().map(Machine::name).toList(), name));
        } else if (role != null && ownMachine.role() != role) {
            section.addProblem("role", "expected the role of machine " + name + " in [[distribution.machine]], " + roleName(ownMachine.role()) + ", found " + roleName(role));
        }
        checkVoterCount(section, machines);
        return readCommon(section, name, ownMachine == null ? "?" : ownMachine.zone(), role, Tables.checkEndpoint(section, "listen", section.text("listen", ownMachine == null ? "?" : ownMachine.address())),
                null, (int) section.integer("connections", 4_096, 8, 8_192), machines);
    }

    /** Reads the table of a gateway; null if there is none: its routes are then those of its own file. */
    static DistributionSettings read(Section root, GatewaySettings gateway) {
        if (!root.has(TABLE)) {
            return null;
        }
        Section section = root.section(TABLE);
        String role = section.text("role", "gateway");
        if (!role.equals("gateway")) {
            section.addProblem("role", "expected gateway, for this file has a table [gateway]; a relay or voter has a file of its own (mastdrift control), found \"" + role + '"');
        }
        List<Machine> machines = readMachines(section);
        if (machines.stream().anyMatch(each -> each.name().equals(gateway.name()))) {
            section.addProblem("machine", "expected machines with names other than this gateway's, found \"" + gateway.name() + '"');
        }
        return readCommon(section, gateway.name(), gateway.zone(), Role.GATEWAY, null, section.text("status_file"), 0, machines);
    }

    private static DistributionSettings readCommon(Section section, String name, String zone, Role role, String listen, String statusFile, int connections, List<Machine> machines) {
        List<SecretRef> keys = Tables.readSigningKeys(section, "distribution");
        if (!section.has("epoch")) {
            section.addProblem("epoch", "expected a whole number from 1 to " + DistributionSettings.MAX_EPOCH + ", found nothing");
        }
        DistributionSettings settings = new DistributionSettings(section.integer("epoch", 1, 1, DistributionSettings.MAX_EPOCH),
                Tables.checkName(section, "installation", section.requiredText("installation")), keys, name, zone, role, listen,
                section.requiredText("folder"), statusFile, connections, machines);
        section.rejectUnknownKeys();
        return settings;
    }

    private static List<Machine> readMachines(Section section) {
        List<Machine> machines = new ArrayList<>();
        Set<String> names = Section.newSeenSet();
        Set<String> addresses = Section.newSeenSet();
        for (Section each : section.sections("machine", DistributionSettings.MAX_MACHINES)) {
            String name = Tables.checkName(each, "name", each.requiredText("name"));
            String address = Tables.checkEndpoint(each, "address", each.requiredText("address"));
            each.requireUnique("name", name, names);
            each.requireUnique("address", address, addresses);
            Role role = each.oneOf("role", null, List.of("relay", "voter"), List.of(Role.RELAY, Role.VOTER));
            if (!each.has("role")) {
                each.addProblem("role", "expected relay or voter, found nothing");
            }
            machines.add(new Machine(name, address, Tables.checkName(each, "zone", each.requiredText("zone")), role));
            each.rejectUnknownKeys();
        }
        if (machines.isEmpty()) {
            section.addProblem("machine",
                    "expected at least one control machine, [[distribution.machine]], found none");
        }
        return List.copyOf(machines);
    }

    /**
     * Checks the number of voters: a control machine's file must name all of them, since they are the initial voters of
     * the log.
     */
    private static void checkVoterCount(Section section, List<Machine> machines) {
        long voterCount = machines.stream().filter(each -> each.role() == Role.VOTER).count();
        if (voterCount % 2 == 0 || voterCount > Voters.MAX_VOTERS) {
            section.addProblem("machine", "expected 1, 3, 5 or 7 machines that are voters, found " + voterCount);
        }
    }

    private static String roleName(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }
}
