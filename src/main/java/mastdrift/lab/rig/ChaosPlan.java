package mastdrift.lab.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import mastdrift.config.Problem;
import mastdrift.config.Problems;
import mastdrift.config.Section;

/**
 * A run of the rig, as a file has it; docs/operations/chaos.md lists its keys.
 *
 * @param name of it
 * @param gateways how many processes, 1 to {@value #GATEWAYS_MOST}
 * @param zones their data centres, dealt out in turn
 * @param hosts stand-in hosts, dealt out likewise
 * @param clients that ask all the time
 * @param seconds for which faults come and clients ask
 * @param quiet seconds at the end in which nothing is wrong
 * @param seed of whatever is drawn
 * @param faults in all, the drawn ones among them
 */
public record ChaosPlan(String name, int gateways, List<String> zones, int hosts, int clients, int seconds, int quiet, long seed, List<Fault> faults) {

    /** Processes of gateways. */
    public static final int GATEWAYS_MOST = 9;
    private static final long SECOND = 1_000_000;
    private static final int FAULTS_MOST = 200;

    /** What came of a file: a plan, or null and what is wrong. */
    public record Result(ChaosPlan plan, List<String> problems) { }

    /** The names of its gateways, by their numbers. */
    public List<String> names() {
        return IntStream.range(0, gateways).mapToObj(number -> "g" + number).toList();
    }

    /** Reads one; a {@code seed} other than null counts in place of the file's, for what is drawn. */
    public static Result read(Path file, Long seed) {
        Problems problems = new Problems();
        ChaosPlan plan = null;
        try {
            Section root = Section.root(file.toString(), Files.readString(file), problems);
            plan = root == null ? null : plan(root, seed);
        } catch (IOException e) {
            problems.add(new Problem(file.toString(), 0, 0, "expected a file that can be read, found " + e.getClass().getSimpleName()));
        }
        return new Result(problems.isEmpty() ? plan : null, problems.lines());
    }

    private static ChaosPlan plan(Section root, Long given) {
        int gateways = (int) root.integer("gateways", 3, 1, GATEWAYS_MOST);
        List<String> zones = root.texts("zones", GATEWAYS_MOST);
        int seconds = (int) root.integer("seconds", 30, 1, 3_600);
        int quiet = (int) root.integer("quiet", 20, 0, 600);
        long drawn = root.integer("drawn", 0, 0, FAULTS_MOST);
        long seed = root.integer("seed", 1, 0, Long.MAX_VALUE);
        List<String> names = IntStream.range(0, gateways).mapToObj(number -> "g" + number).toList();
        List<Fault> faults = new ArrayList<>();
        for (Section each : root.sections("fault", FAULTS_MOST)) {
            faults.add(fault(each, names, seconds));
        }
        long counts = given == null ? seed : given;
        faults.addAll(Fault.drawn(counts, gateways, (int) drawn, SECOND, Math.max(1, seconds - quiet) * SECOND));
        ChaosPlan plan = new ChaosPlan(root.text("name", "chaos"), gateways, zones.isEmpty() ? List.of("bilbao", "oviedo") : zones,
                (int) root.integer("hosts", 4, 1, 64), (int) root.integer("clients", 8, 0, 256), seconds, quiet, counts, faults);
        root.rejectUnknownKeys();
        return plan;
    }

    private static Fault fault(Section section, List<String> names, int seconds) {
        List<Fault.Kind> kinds = List.of(Fault.Kind.values());
        Fault.Kind kind = section.oneOf("kind", null, kinds.stream().map(Fault.Kind::word).toList(), kinds);
        if (kind == null) {
            if (!section.has("kind")) {
                section.addProblem("kind", "expected what goes wrong, found nothing");
            }
            kind = Fault.Kind.CUT;
        }
        long from = section.requiredDurationMicros("from", 0, seconds * SECOND);
        long until = section.requiredDurationMicros("until", 0, seconds * SECOND);
        if (until < from) {
            section.addProblem("until", "expected no time before from");
        }
        List<Integer> gateways = new ArrayList<>();
        for (String each : section.texts("gateways", GATEWAYS_MOST)) {
            if (names.contains(each)) {
                gateways.add(names.indexOf(each));
            } else {
                section.addProblem("gateways", "expected some of " + String.join(", ", names) + ", found \"" + each + "\"");
            }
        }
        boolean all = kind == Fault.Kind.DELAY || kind == Fault.Kind.SLOW || kind == Fault.Kind.LOSS || kind == Fault.Kind.SPOIL;
        if (gateways.isEmpty() && !all) {
            section.addProblem("gateways", "expected to whom, found nobody");
            gateways.add(0);
        }
        double amount = kind.most() > 0 ? section.requiredNumber("amount", kind.least(), kind.most()) : 0;
        section.rejectUnknownKeys();
        return new Fault(kind, from, until, gateways, amount);
    }

    /** The same as a file in which nothing is left to draw: with it the run is played again. */
    public String toml() {
        StringBuilder text = new StringBuilder();
        text.append("name = \"").append(name).append("\"\ngateways = ").append(gateways).append("\nzones = [")
                .append(zones.stream().map(zone -> '"' + zone + '"').collect(Collectors.joining(", "))).append("]\nhosts = ").append(hosts)
                .append("\nclients = ").append(clients).append("\nseconds = ").append(seconds).append("\nquiet = ").append(quiet).append("\nseed = ").append(seed)
                .append('\n');
        for (Fault fault : faults) {
            text.append("\n[[fault]]\nkind = \"").append(fault.kind().word()).append("\"\nfrom = \"").append(fault.from()).append("us\"\nuntil = \"").append(fault.until())
                    .append("us\"\ngateways = [").append(fault.gateways().stream().map(number -> "\"g" + number + '"').collect(Collectors.joining(", "))).append("]\n");
            if (fault.kind().most() > 0) {
                text.append("amount = ").append(String.format(Locale.ROOT, "%.6f", fault.amount())).append('\n');
            }
        }
        return text.toString();
    }
}
