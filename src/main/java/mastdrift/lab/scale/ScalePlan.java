package mastdrift.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.config.Problem;
import mastdrift.config.Problems;
import mastdrift.config.Section;
import mastdrift.distribution.ResourceKind;

/**
 * A scale run, as a file has it; docs/operations/lab.md lists its keys.
 *
 * @param name of it
 * @param seed of what is drawn
 * @param voters control machines that agree on changes: 1, 3, 5 or 7
 * @param relays control machines that pass on, 0 (gateways ask voters) to {@value #MACHINES_MOST}
 * @param gateways real ones, each a process
 * @param perProcess hollow gateways of a process, at most
 * @param zones that gateways and machines are dealt out to
 * @param sizes one or more, played one after the other, in ascending order
 * @param phases of each size, in their order, behind the start
 */
public record ScalePlan(String name, long seed, int voters, int relays, int gateways, int perProcess, int zones, List<Size> sizes, List<Phase> phases) {

    /** Control machines that pass on, and real gateways, at most. */
    public static final int MACHINES_MOST = 20;
    /** Hollow gateways, at most: twice the target's. */
    public static final int HOLLOW_MOST = 8_200;
    /** Resources, at most: twice the target's. */
    public static final int RESOURCES_MOST = 500_000;
    /** Seconds of a phase, at most. */
    public static final int SECONDS_MOST = 3_600;
    private static final int LIST_MOST = 16;

    /** A size: hollow gateways, and resources by kind. */
    public record Size(int hollow, Map<ResourceKind, Integer> resources) {

        /** Keeps its own map. */
        public Size {
            resources = Map.copyOf(resources);
        }

        /** Of all kinds. */
        public int all() {
            return resources.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** What a phase does beside measuring. */
    public enum Kind {
        /** Nothing: what an idle fleet costs. */
        IDLE,
        /** Changes at a steady rate. */
        CHANGES,
        /** Changes all at once. */
        BURST,
        /** Changes at a steady rate, and one machine that passes on is killed at a quarter of the time. */
        KILL_RELAY,
        /** Likewise with the voter that leads. */
        KILL_VOTER,
        /** Changes at a steady rate, and the gateways of one region reach nobody from a quarter to three quarters of the time. */
        CUT,
        /** Changes at a steady rate, and some gateways end and come back at once, having kept nothing. */
        RETURN,
        /** Likewise, with the table that they had. */
        RETURN_WITH;

        /** Whether it is looked when the last gateway has caught up behind the fault. */
        boolean returns() {
            return this == CUT || this == RETURN || this == RETURN_WITH;
        }

        String word() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /**
     * A phase.
     *
     * @param name in results
     * @param kind what it does
     * @param rate changes a second
     * @param count changes of a burst; gateways that come back
     * @param seconds that it is measured for; then it is waited until the last change is in force everywhere, at most as long again and {@value #AFTER_SECONDS} s
     */
    public record Phase(String name, Kind kind, double rate, int count, int seconds) {

        /** Waited beyond a phase's time for what isn't in force yet. */
        public static final int AFTER_SECONDS = 30;
    }

    /** What came of a file: a plan, or null and what is wrong. */
    public record Result(ScalePlan plan, List<String> problems) { }

    /** Reads one; a {@code seed} other than null counts in place of the file's. */
    public static Result read(Path file, Long seed) {
        try {
            return read(file.toString(), Files.readString(file), seed);
        } catch (IOException e) {
            return new Result(null, List.of(file + ": expected a file that can be read, found " + e.getClass().getSimpleName()));
        }
    }

    /** Reads the text of one. */
    static Result read(String file, String text, Long seed) {
        Problems problems = new Problems();
        Section root = Section.root(file, text, problems);
        ScalePlan plan = root == null ? null : plan(root, seed);
        return new Result(problems.isEmpty() ? plan : null, problems.lines());
    }

    private static ScalePlan plan(Section root, Long given) {
        long seed = root.integer("seed", 1, 0, Long.MAX_VALUE);
        List<Size> sizes = new ArrayList<>();
        for (Section each : root.sections("size", LIST_MOST)) {
            sizes.add(size(each));
        }
        if (sizes.isEmpty()) {
            root.addProblem("size", "expected at least one table [[size]], found none");
        }
        for (int i = 1; i < sizes.size(); i++) {
            Size one = sizes.get(i - 1);
            Size other = sizes.get(i);
            if (other.hollow < one.hollow || other.all() < one.all() || other.equals(one)) {
                root.addProblem("size", "expected each size to be larger than the one before, found " + other.hollow + " and " + other.all() + " resources behind " + one.hollow + " and "
                        + one.all());
            }
        }
        List<Phase> phases = new ArrayList<>();
        for (Section each : root.sections("phase", LIST_MOST)) {
            phases.add(phase(each));
        }
        if (phases.stream().map(Phase::name).distinct().count() < phases.size()) {
            root.addProblem("phase", "expected phases of different names, found " + phases.stream().map(Phase::name).toList());
        }
        int voters = (int) root.integer("voters", 5, 1, 7);
        if (voters % 2 == 0) {
            root.addProblem("voters", "expected 1, 3, 5 or 7, found " + voters);
        }
        ScalePlan plan = new ScalePlan(root.text("name", "scale"), given == null ? seed : given, voters, (int) root.integer("relays", 12, 0, MACHINES_MOST),
                (int) root.integer("gateways", 3, 0, MACHINES_MOST), (int) root.integer("per_process", 400, 1, HOLLOW_MOST), (int) root.integer("zones", 11, 1, 64), List.copyOf(sizes),
                List.copyOf(phases));
        root.rejectUnknownKeys();
        return plan;
    }

    private static Size size(Section section) {
        Map<ResourceKind, Integer> resources = new TreeMap<>();
        for (ResourceKind kind : ResourceKind.values()) {
            resources.put(kind, (int) section.integer(kind.name().toLowerCase(java.util.Locale.ROOT) + "s", kind == ResourceKind.ROUTE || kind == ResourceKind.HOST ? 100 : 0,
                    kind == ResourceKind.HOST ? 1 : 0, RESOURCES_MOST));
        }
        Size size = new Size((int) section.integer("hollow", 8, 1, HOLLOW_MOST), resources);
        if (size.all() > RESOURCES_MOST) {
            section.addProblem("routes", "expected at most " + RESOURCES_MOST + " resources of all kinds, found " + size.all());
        }
        section.rejectUnknownKeys();
        return size;
    }

    private static Phase phase(Section section) {
        List<Kind> kinds = List.of(Kind.values());
        Kind kind = section.oneOf("what", null, kinds.stream().map(Kind::word).toList(), kinds);
        if (kind == null && !section.has("what")) {
            section.addProblem("what", "expected what it does, found nothing");
        }
        Kind done = kind == null ? Kind.IDLE : kind;
        double rate = done == Kind.CHANGES ? section.requiredNumber("rate", 0.01, 1_000) : done == Kind.IDLE || done == Kind.BURST ? 0 : section.number("rate", 0, 0, 1_000);
        boolean counts = done == Kind.BURST || done == Kind.RETURN || done == Kind.RETURN_WITH;
        int count = counts ? (int) section.integer("count", 1, 1, 100_000) : 0;
        Phase phase = new Phase(section.text("name", done.word()), done, rate, count, (int) section.requiredDurationMicros("for", 1_000_000, SECONDS_MOST * 1_000_000L) / 1_000_000);
        section.rejectUnknownKeys();
        return phase;
    }
}
