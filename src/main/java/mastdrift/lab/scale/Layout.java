package mastdrift.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.standin.GatewayFiles;

/** Where the processes of one size listen, and the files by which control machines and real gateways run: each in a folder of its own. */
final class Layout {

    /** What all of a run belong to. */
    static final String INSTALLATION = "scale";
    /** What all sign by; it is used on loopback only. */
    static final String KEY = "a key of the scale run";
    private static final AtomicInteger RUNS = new AtomicInteger();
    private static final int REGIONS = 4;
    private static final int PORT = 7_500;

    /** A control machine. */
    record Machine(String name, String role, String address, String zone) {

        /** For a process of hollow gateways. */
        Map<String, Object> plain() {
            return Map.of("name", name, "zone", zone, "address", address);
        }
    }

    private final Path folder;
    private final List<Machine> machines = new ArrayList<>();

    /** Loopback addresses are 127.A.B.N, by this process and the run's number in it, so that two runs side by side don't meet. */
    Layout(ScalePlan plan, Path folder) {
        this.folder = folder;
        String net = "127." + (64 + ProcessHandle.current().pid() % 128) + "." + (1 + RUNS.incrementAndGet() % 250) + ".";
        for (int i = 0; i < plan.voters() + plan.relays(); i++) {
            boolean votes = i < plan.voters();
            int number = votes ? i : i - plan.voters();
            String role = votes ? Scale.VOTER : Scale.RELAY;
            machines.add(new Machine(role + "-" + number, role, net + (i + 1) + ":" + PORT, zone(number, plan.zones())));
        }
    }

    /** Of the many of a kind, one after the other over the zones, of which every fourth is of the same region. */
    static String zone(int number, int zones) {
        int zone = number % zones;
        return "region" + zone % REGIONS + "-" + zone;
    }

    List<Machine> machines(String role) {
        return machines.stream().filter(each -> each.role.equals(role)).toList();
    }

    /** Whom gateways follow. */
    List<Machine> followed() {
        return machines(machines(Scale.RELAY).isEmpty() ? Scale.VOTER : Scale.RELAY);
    }

    Path folder(String name) {
        return folder.resolve(name);
    }

    /** The file of a control machine; written. */
    Path control(Machine machine) throws IOException {
        Path own = Files.createDirectories(folder(machine.name));
        Files.writeString(own.resolve("scale.key"), KEY);
        Path file = own.resolve("control.toml");
        Files.writeString(file, "[distribution]\nname = \"" + machine.name + "\"\nrole = \"" + machine.role + "\"\n" + rest(machines));
        return file;
    }

    /** The file of a real gateway, one pool of one host; written. */
    Path gateway(String name, String zone) throws IOException {
        Path own = Files.createDirectories(folder(name));
        Files.writeString(own.resolve("scale.key"), KEY);
        GatewayFiles files = new GatewayFiles(own);
        files.save("nodes.toml", GatewayFiles.list(List.of(GatewayFiles.node("host-0", "127.64.0.1:9", zone, ""))));
        files.gateway("[gateway]\nname = \"" + name + "\"\nlisten = \"127.0.0.1:0\"\nzone = \"" + zone + "\"\nzones = [\"" + zone + "\"]\n\n", GatewayFiles.CLASSES,
                GatewayFiles.pool("nodes", GatewayFiles.FREE), "[distribution]\nrole = \"gateway\"\nstatus_file = \"status.json\"\n", rest(followed()).replace("# end\n", ""));
        return files.gateway();
    }

    private static String rest(List<Machine> machines) {
        StringBuilder text = new StringBuilder("epoch = 1\ninstallation = \"" + INSTALLATION + "\"\nfolder = \"state\"\n[[distribution.key]]\nsecret_file = \"scale.key\"\n");
        machines.forEach(each -> text.append("[[distribution.machine]]\nname = \"").append(each.name).append("\"\naddress = \"").append(each.address).append("\"\nzone = \"").append(each.zone)
                .append("\"\nrole = \"").append(each.role).append("\"\n"));
        return text.append("# end\n").toString();
    }
}
