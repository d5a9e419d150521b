package mastdrift.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import mastdrift.lab.rig.Signals;
import mastdrift.lab.scale.ScalePlan.Kind;
import mastdrift.lab.scale.ScalePlan.Phase;
import mastdrift.lab.scale.ScalePlan.Size;
import org.HdrHistogram.Histogram;

/** Plays a {@link ScalePlan}: control machines and processes of hollow gateways on loopback, phase by phase, and what each of them costs by the system's own account. */
public final class Scale {

    private static final int CHECK_MILLIS = 100;
    private static final int START_SECONDS = 180;
    private static final String HOLLOW = "hollow";
    private static final String RELAY = "relay";
    private static final String VOTER = "voter";

    private final ScalePlan plan;
    private final Path folder;
    private final Consumer<String> says;
    private final Figures figures;

    private Scale(ScalePlan plan, Path folder, Consumer<String> says) {
        this.plan = plan;
        this.folder = folder;
        this.says = says;
        boolean byHollow = plan.sizes().stream().mapToInt(Size::hollow).distinct().count() > 1;
        figures = new Figures(plan.name(), byHollow ? "hollow gateways" : "resources", Map.of("seed", plan.seed(), "voters", plan.voters(), "relays", plan.relays(), "per_process",
                plan.perProcess(), "zones", plan.zones(), "value_bytes", plan.valueBytes(), "sizes", plan.sizes().stream().map(size -> size.hollow() + " hollow, " + size.all()
                + " resources").toList(), "phases", plan.phases().stream().map(Phase::toString).toList(), "cores", Runtime.getRuntime().availableProcessors(), "java",
                System.getProperty("java.version")));
    }

    /** Why a plan can't be played on this machine, a line each; empty where it can. */
    public static List<String> refusals(ScalePlan plan) {
        Need.Room room = Need.Room.here();
        return plan.sizes().stream().flatMap(size -> Need.of(plan, size).refusals(room).stream().map(line -> size.hollow() + " hollow gateways, " + size.all() + " resources: " + line)).toList();
    }

    /** Plays one that isn't refused; logs of its processes go into a folder. Throws IOException where a process doesn't start or ends by itself. */
    public static Figures play(ScalePlan plan, Path folder, Consumer<String> says) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        Scale scale = new Scale(plan, folder, says);
        for (Size size : plan.sizes()) {
            try (Signals signals = new Signals()) {
                scale.new Fleet(size, signals).play();
            }
        }
        return scale.figures;
    }

    /** The processes of one size. */
    private final class Fleet {

        private final Size size;
        private final double at;
        private final Need need;
        private final Signals signals;
        private final List<Child> children = new ArrayList<>();
        private int changes;
        private long revision;

        Fleet(Size size, Signals signals) {
            this.size = size;
            this.signals = signals;
            at = figures.by().startsWith("hollow") ? size.hollow() : size.all();
            need = Need.of(plan, size);
        }

        void play() throws IOException, InterruptedException {
            try {
                start();
                for (Phase phase : plan.phases()) {
                    phase(phase);
                }
            } finally {
                for (Child each : children) {
                    each.end();
                }
            }
        }

        private List<Child> of(String role) {
            return children.stream().filter(each -> each.role().equals(role) && each.alive()).toList();
        }

        private List<Child> of(Predicate<Child> which) {
            return children.stream().filter(which).filter(Child::alive).toList();
        }

        private Child child(String role, int number, int heap) throws IOException {
            Child child = Child.start(role + "-" + number, role, heap, folder, signals);
            children.add(child);
            return child;
        }

        // ---- the start

        private void start() throws IOException, InterruptedException {
            Map<String, Object> base = new LinkedHashMap<>(Map.of("do", "begin", "seed", plan.seed(), "value_bytes", plan.valueBytes()));
            size.resources().forEach((kind, count) -> base.put(kind.name(), count));
            List<Map<String, Object>> voters = machines(VOTER, plan.voters(), base, List.of());
            List<Map<String, Object>> relays = machines(RELAY, plan.relays(), base, voters);
            revision = number(Child.ask(of(VOTER).subList(0, 1), Map.of("do", "status")).get(0), "revision");
            double relaysAt = await(System.nanoTime(), RELAY, START_SECONDS);
            if (plan.relays() > 0) {
                figures.add(at, "start", RELAY, "in force, s", relaysAt);
            }
            int left = size.hollow();
            for (int i = 0; i < need.hollowProcesses(); i++) {
                int count = (left + need.hollowProcesses() - i - 1) / (need.hollowProcesses() - i);
                Map<String, Object> begin = new LinkedHashMap<>(base);
                begin.putAll(Map.of("role", HOLLOW, "name", HOLLOW, "first", size.hollow() - left, "count", count, "zones", plan.zones(), "machines", relays.isEmpty() ? voters : relays));
                child(HOLLOW, i, need.hollowHeap()).tell(begin);
                left -= count;
            }
            for (Child each : of(HOLLOW)) {
                each.answer();
            }
            List<Child> all = List.copyOf(children);
            List<Meter.Used> before = used(all);
            long began = System.nanoTime();
            Child.ask(of(HOLLOW), Map.of("do", "open"));
            double took = await(began, HOLLOW, START_SECONDS);
            figures.add(at, "start", HOLLOW, "in force, s", took);
            record("start", all, before, used(all), false);
            says.accept(String.format(Locale.ROOT, "%d hollow gateways in %d processes, %d resources: all in force %.1f s after they began", size.hollow(), need.hollowProcesses(), size.all(),
                    took));
        }

        private List<Map<String, Object>> machines(String role, int count, Map<String, Object> base, List<Map<String, Object>> above) throws IOException, InterruptedException {
            List<Child> started = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Map<String, Object> begin = new LinkedHashMap<>(base);
                begin.putAll(Map.of("role", role, "name", role + "-" + i, "zones", plan.zones(), "first", i, "machines", above));
                Child child = child(role, i, need.machineHeap());
                child.tell(begin);
                started.add(child);
            }
            List<Map<String, Object>> machines = new ArrayList<>();
            for (Child each : started) {
                machines.add(each.answer());
            }
            return machines;
        }

        /** Seconds from a time on until all of a role have the revision; throws IOException where that takes too long. */
        private double await(long since, String role, int seconds) throws IOException, InterruptedException {
            long behind;
            do {
                Thread.sleep(CHECK_MILLIS);
                behind = Child.ask(of(role), Map.of("do", "behind", "revision", revision)).stream().mapToLong(answer -> number(answer, "behind")).sum();
                if (behind > 0 && System.nanoTime() - since > seconds * 1_000_000_000L) {
                    throw new IOException("expected all of " + role + " to have revision " + revision + " within " + seconds + " s, found " + behind + " behind");
                }
            } while (behind > 0);
            return (System.nanoTime() - since) / 1e9;
        }

        // ---- phases

        private void phase(Phase phase) throws IOException, InterruptedException {
            Child.ask(of(HOLLOW), Map.of("do", "times"));  // of what was before
            List<Child> all = List.copyOf(of(each -> true));
            List<Meter.Used> before = used(all);
            long began = System.nanoTime();
            long until = began + phase.seconds() * 1_000_000_000L;
            long fault = began + phase.seconds() * 1_000_000_000L / 4;
            long again = began + phase.seconds() * 1_000_000_000L * 3 / 4;
            long back = 0;
            long whole = 0;
            for (int i = 0; phase.kind() == Kind.BURST && i < phase.count(); i++) {
                change();
            }
            double next = began;
            while (System.nanoTime() < until) {
                if (back == 0 && System.nanoTime() >= fault) {
                    back = System.nanoTime();
                    fault(phase);
                }
                if (whole == 0 && phase.kind() == Kind.CUT && System.nanoTime() >= again) {
                    whole = System.nanoTime();
                    Child.ask(of(HOLLOW), Map.of("do", "cut", "on", false));
                }
                if (phase.rate() > 0 && System.nanoTime() >= next) {
                    change();
                    next += 1e9 / phase.rate();
                }
                Thread.sleep(Math.max(1, Math.min(20, (long) ((phase.rate() > 0 ? Math.min(next, until) : until) - System.nanoTime()) / 1_000_000)));
            }
            List<Meter.Used> after = used(all);
            String late = "";
            double took = 0;
            try {
                took = await(System.nanoTime(), HOLLOW, phase.seconds() + Phase.AFTER_SECONDS);
            } catch (IOException e) {
                late = e.getMessage();
                figures.shortfall(phase.name() + " at " + (long) at + ": " + late);
            }
            record(phase.name(), all, before, after, true);
            times(phase, whole == 0 ? back : whole);
            says.accept(String.format(Locale.ROOT, "%s: done%s", phase.name(), late.isEmpty() ? "" : ", " + late + " after " + took + " s"));
        }

        private void fault(Phase phase) throws IOException, InterruptedException {
            if (phase.kind() == Kind.KILL_RELAY || phase.kind() == Kind.KILL_VOTER) {
                List<Child> victims = of(phase.kind() == Kind.KILL_RELAY ? RELAY : VOTER);
                if (victims.size() > 1) {
                    victims.get(0).end();
                }
            } else if (phase.kind() == Kind.CUT) {
                Child.ask(of(HOLLOW), Map.of("do", "cut", "on", true));
            } else if (phase.kind() == Kind.RETURN || phase.kind() == Kind.RETURN_WITH) {
                List<Child> holders = of(HOLLOW);
                int left = Math.min(phase.count(), size.hollow());
                for (int i = 0; i < holders.size(); i++) {
                    int count = (left + holders.size() - i - 1) / (holders.size() - i);
                    holders.get(i).tell(Map.of("do", "return", "count", count, "keep", phase.kind() == Kind.RETURN_WITH));
                    left -= count;
                }
                for (Child each : holders) {
                    each.answer();
                }
            }
        }

        /** Asks all voters for the same change; the revision that it makes is the one that all have to reach. */
        private void change() throws IOException, InterruptedException {
            List<Map<String, Object>> answers = Child.ask(of(VOTER), Map.of("do", "change", "number", changes++, "at", System.nanoTime()));
            revision = answers.stream().mapToLong(answer -> number(answer, "revision")).max().orElse(revision);
        }

        // ---- what came of it

        private List<Meter.Used> used(List<Child> of) {
            return of.stream().map(each -> Meter.used(each.pid())).toList();
        }

        private void record(String phase, List<Child> all, List<Meter.Used> before, List<Meter.Used> after, boolean heaps) throws IOException, InterruptedException {
            for (String role : List.of(HOLLOW, RELAY, VOTER)) {
                List<Child> alive = of(role);
                if (alive.isEmpty()) {
                    continue;
                }
                double count = role.equals(HOLLOW) ? size.hollow() : alive.size();
                double in = 0;
                double out = 0;
                double cpu = 0;
                double most = 0;
                double seconds = 1;
                for (int i = 0; i < all.size(); i++) {
                    if (alive.contains(all.get(i))) {
                        Meter.Used one = before.get(i);
                        Meter.Used other = after.get(i);
                        seconds = (other.at() - one.at()) / 1e9;
                        in += other.in() - one.in();
                        out += other.out() - one.out();
                        cpu += other.cpu() - one.cpu();
                        most = Math.max(most, (other.out() - one.out()) / seconds);
                    }
                }
                double each = phase.equals("start") ? count : count * seconds;
                String per = phase.equals("start") ? "" : "/s";
                figures.add(at, phase, role, "bytes in" + per, in / each);
                figures.add(at, phase, role, "bytes out" + per, out / each);
                figures.add(at, phase, role, "processor ms" + per, cpu * 1e3 / each);
                if (!role.equals(HOLLOW) && !phase.equals("start")) {
                    figures.add(at, phase, role, "bytes out/s, the most of one", most);
                }
                if (heaps) {
                    figures.add(at, phase, role, "heap, KiB", Child.ask(alive, Map.of("do", "heap")).stream().mapToLong(answer -> number(answer, "bytes")).sum() / 1024.0 / count);
                    figures.add(at, phase, role, "resident, MiB a process", alive.stream().mapToLong(one -> Meter.resident(one.pid())).average().orElse(0) / (1 << 20));
                    List<int[]> open = alive.stream().map(one -> Meter.descriptors(one.pid())).toList();
                    figures.add(at, phase, role, "sockets", open.stream().mapToInt(one -> one[1]).sum() / count);
                    if (!role.equals(HOLLOW)) {
                        figures.add(at, phase, role, "descriptors, the most of one", open.stream().mapToInt(one -> one[0]).max().orElse(0));
                    }
                }
            }
        }

        private void times(Phase phase, long back) throws IOException, InterruptedException {
            Histogram times = new Histogram(3);
            long unseen = 0;
            long last = 0;
            for (Map<String, Object> answer : Child.ask(of(HOLLOW), Map.of("do", "times"))) {
                try {
                    times.add(Histogram.decodeFromCompressedByteBuffer(java.nio.ByteBuffer.wrap(Base64.getDecoder().decode(String.valueOf(answer.get("times")))), 0));
                } catch (java.util.zip.DataFormatException e) {
                    throw new IOException("expected times of changes, found " + e, e);
                }
                unseen += number(answer, "snapshots");
                last = Math.max(last, number(answer, "returned"));
            }
            if (times.getTotalCount() > 0) {
                figures.add(at, phase.name(), HOLLOW, "in force p50, ms", times.getValueAtPercentile(50) / 1e3);
                figures.add(at, phase.name(), HOLLOW, "in force p99, ms", times.getValueAtPercentile(99) / 1e3);
                figures.add(at, phase.name(), HOLLOW, "in force, the last, ms", times.getMaxValue() / 1e3);
                figures.add(at, phase.name(), HOLLOW, "in force, counted", times.getTotalCount());
            }
            figures.add(at, phase.name(), HOLLOW, "snapshots", unseen);
            if (phase.kind() == Kind.RETURN || phase.kind() == Kind.RETURN_WITH || phase.kind() == Kind.CUT) {
                figures.add(at, phase.name(), HOLLOW, "the last has returned, s", last == 0 ? Double.NaN : (last - back) / 1e9);
            }
        }
    }

    private static long number(Map<String, Object> answer, String key) {
        return answer.get(key) instanceof Number number ? number.longValue() : 0;
    }
}
