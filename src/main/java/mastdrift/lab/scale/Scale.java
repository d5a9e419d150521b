package mastdrift.lab.scale;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.zip.DataFormatException;
import mastdrift.distribution.Change;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.ResourceKind;
import mastdrift.lab.rig.Signals;
import mastdrift.lab.scale.ScalePlan.Kind;
import mastdrift.lab.scale.ScalePlan.Phase;
import mastdrift.lab.scale.ScalePlan.Size;
import mastdrift.serve.ControlClient;
import org.HdrHistogram.Histogram;

/** Plays a {@link ScalePlan}: control machines, real gateways and processes of hollow ones on loopback, phase by phase, and what each of them costs by the system's own account. */
public final class Scale {

    static final String HOLLOW = "hollow";
    static final String GATEWAY = "gateway";
    static final String RELAY = "relay";
    static final String VOTER = "voter";
    private static final int CHECK_MILLIS = 100;
    private static final int START_SECONDS = 180;
    private static final int WRITERS = 64;  // changes that are under way at once
    private static final long WRITE_MILLIS = 60_000;

    private final ScalePlan plan;
    private final Path folder;
    private final Consumer<String> says;
    private final Figures figures;

    private Scale(ScalePlan plan, Path folder, Consumer<String> says) {
        this.plan = plan;
        this.folder = folder;
        this.says = says;
        boolean byHollow = plan.sizes().stream().mapToInt(Size::hollow).distinct().count() > 1;
        figures = new Figures(plan.name(), byHollow ? "hollow gateways" : "resources", Map.of("plan", plan.toString(), "cores", Runtime.getRuntime().availableProcessors(), "java",
                System.getProperty("java.version")));
    }

    /** Why a plan can't be played on this machine, a line each; empty where it can. */
    public static List<String> refusals(ScalePlan plan) {
        Requirements.Capacity capacity = Requirements.Capacity.ofThisMachine();
        return plan.sizes().stream().flatMap(size -> Requirements.of(plan, size).refusals(capacity).stream()
                .map(line -> size.hollow() + " hollow gateways, " + size.all() + " resources: " + line)).toList();
    }

    /** Plays one that isn't refused; files and logs of its processes go into folders, one a size. Throws IOException where a process doesn't start or ends by itself. */
    public static Figures play(ScalePlan plan, Path folder, Consumer<String> says) throws IOException, InterruptedException {
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
        private final Requirements requirements;
        private final Signals signals;
        private final Path own;
        private final Layout layout;
        private final List<ChildProcess> children = new ArrayList<>();
        private final AtomicLong revision = new AtomicLong();
        private final AtomicLong submitted = new AtomicLong();
        private final AtomicLong completed = new AtomicLong();
        private final ExecutorService writers = Executors.newFixedThreadPool(WRITERS);
        private ControlClient client;
        private int changes;

        Fleet(Size size, Signals signals) throws IOException {
            this.size = size;
            this.signals = signals;
            at = figures.by().startsWith(HOLLOW) ? size.hollow() : size.all();
            requirements = Requirements.of(plan, size);
            own = Files.createDirectories(folder.resolve("run-" + System.currentTimeMillis() + "-" + size.hollow() + "-" + size.all()));
            layout = new Layout(plan, own);
        }

        void play() throws IOException, InterruptedException {
            try {
                start();
                for (Phase phase : plan.phases()) {
                    phase(phase);
                }
            } finally {
                writers.shutdownNow();
                if (client != null) {
                    client.close();
                }
                for (ChildProcess each : children) {
                    each.end();
                }
            }
        }

        private List<ChildProcess> of(String role) {
            return children.stream().filter(each -> each.role().equals(role) && each.alive()).toList();
        }

        // ---- the start

        private void start() throws IOException, InterruptedException {
            for (String role : List.of(VOTER, RELAY)) {
                for (Layout.Machine each : layout.machines(role)) {
                    children.add(ChildProcess.program(each.name(), role, requirements.machineHeap(), own, signals, "control", "--config", layout.control(each).toString(), "--log", "json"));
                }
            }
            client = ControlClient.fromFile(layout.control(layout.machines(VOTER).get(0)));
            long began = System.nanoTime();
            Tables.base(plan.seed(), size.resources()).forEach(this::write);
            figures.add(at, "start", VOTER, "all agreed on, s", written(began));
            figures.add(at, "start", RELAY, "in force, s", await(began, RELAY, START_SECONDS));
            for (int i = 0; i < plan.gateways(); i++) {
                String name = GATEWAY + "-" + i;
                children.add(ChildProcess.program(name, GATEWAY, requirements.machineHeap(), own, signals, "serve", "--config",
                        layout.gateway(name, Layout.zone(i, plan.zones())).toString(), "--log", "json"));
            }
            int left = size.hollow();
            for (int i = 0; i < requirements.hollowProcesses(); i++) {
                int count = (left + requirements.hollowProcesses() - i - 1) / (requirements.hollowProcesses() - i);
                ChildProcess child = ChildProcess.hollow(HOLLOW + "-" + i, requirements.hollowHeap(), own, signals);
                children.add(child);
                child.send(Map.of("do", "begin", "seed", plan.seed(), "first", size.hollow() - left, "count", count, "zones", plan.zones(), "machines",
                        layout.followed().stream().map(Layout.Machine::plain).toList()));
                left -= count;
            }
            for (ChildProcess each : of(HOLLOW)) {
                each.response();
            }
            if (plan.gateways() > 0) {
                await(System.nanoTime(), GATEWAY, START_SECONDS);
            }
            List<ChildProcess> all = List.copyOf(children);
            List<Meter.Used> before = used(all);
            began = System.nanoTime();
            ChildProcess.request(of(HOLLOW), Map.of("do", "open"));
            double took = await(began, HOLLOW, START_SECONDS);
            figures.add(at, "start", HOLLOW, "in force, s", took);
            record("start", all, before, used(all), false);
            says.accept(String.format(Locale.ROOT, "%d hollow gateways in %d processes, %d resources: all in force %.1f s after they began", size.hollow(),
                    requirements.hollowProcesses(), size.all(), took));
        }

        /** Has a change agreed on, some time soon; whoever waits for the revision waits for it too. */
        private void write(Change change) {
            writers.execute(() -> {
                try {
                    ControlMessage answer = client.apply(change, WRITE_MILLIS);
                    if (answer instanceof ControlMessage.Applied applied && applied.revision() != null) {
                        revision.accumulateAndGet(applied.revision().number(), Math::max);
                    } else {
                        figures.shortfall("change " + change.id() + " at " + (long) at + ": expected that it is in, found " + answer);
                    }
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                completed.incrementAndGet();
            });
            submitted.incrementAndGet();
        }

        /** Seconds from a time on until all changes that were submitted have an answer. */
        private double written(long since) throws InterruptedException {
            while (completed.get() < submitted.get()) {
                Thread.sleep(CHECK_MILLIS / 10);
            }
            return (System.nanoTime() - since) / 1e9;
        }

        /** Seconds from a time on until all of a role have the revision; throws IOException where that takes too long. */
        private double await(long since, String role, int seconds) throws IOException, InterruptedException {
            long behind = behind(role);
            while (behind > 0) {
                if (System.nanoTime() - since > seconds * 1_000_000_000L) {
                    throw new IOException("expected all of " + role + " to have revision " + revision + " within " + seconds + " s, found " + behind + " behind");
                }
                Thread.sleep(CHECK_MILLIS);
                behind = behind(role);
            }
            return (System.nanoTime() - since) / 1e9;
        }

        private long behind(String role) throws IOException, InterruptedException {
            if (role.equals(HOLLOW)) {
                return ChildProcess.request(of(role), Map.of("do", "behind", "revision", revision.get())).stream().mapToLong(answer -> number(answer, "behind")).sum();
            }
            long behind = 0;
            if (role.equals(GATEWAY)) {
                for (ChildProcess each : of(role)) {
                    Path status = layout.folder(each.name()).resolve("status.json");
                    behind += Files.exists(status) && number(JSON.std.mapFrom(Files.readString(status)), "in_force") >= revision.get() ? 0 : 1;
                }
                return behind;
            }
            for (ControlMessage each : client.status(of(role).stream().map(ChildProcess::name).toList()).values()) {
                behind += each instanceof ControlMessage.Status status && status.revision().number() >= revision.get() ? 0 : 1;
            }
            return behind;
        }

        // ---- phases

        private void phase(Phase phase) throws IOException, InterruptedException {
            ChildProcess.request(of(HOLLOW), Map.of("do", "times"));  // of what was before
            List<ChildProcess> all = children.stream().filter(ChildProcess::alive).toList();
            List<Meter.Used> before = used(all);
            long began = System.nanoTime();
            long span = phase.seconds() * 1_000_000_000L;
            long fault = 0;
            long whole = 0;
            for (int i = 0; phase.kind() == Kind.BURST && i < phase.count(); i++) {
                change();
            }
            double next = began;
            while (System.nanoTime() < began + span) {
                if (fault == 0 && System.nanoTime() >= began + span / 4) {
                    fault = System.nanoTime();
                    fault(phase);
                }
                if (whole == 0 && phase.kind() == Kind.CUT && System.nanoTime() >= began + span / 4 * 3) {
                    whole = System.nanoTime();
                    ChildProcess.request(of(HOLLOW), Map.of("do", "cut", "on", false));
                }
                if (phase.rate() > 0 && System.nanoTime() >= next) {
                    change();
                    next += 1e9 / phase.rate();
                }
                Thread.sleep(5);
            }
            List<Meter.Used> after = used(all);
            written(began);
            String late = "";
            for (String role : plan.gateways() > 0 ? List.of(HOLLOW, GATEWAY) : List.of(HOLLOW)) {
                try {
                    await(System.nanoTime(), role, phase.seconds() + Phase.AFTER_SECONDS);
                } catch (IOException e) {
                    late += ", " + e.getMessage();
                    figures.shortfall(phase.name() + " at " + (long) at + ": " + e.getMessage());
                }
            }
            record(phase.name(), all, before, after, true);
            kept(phase);
            times(phase, whole == 0 ? fault : whole);
            says.accept(phase.name() + ": done" + late);
        }

        private void fault(Phase phase) throws IOException, InterruptedException {
            switch (phase.kind()) {
                case KILL_RELAY -> of(RELAY).stream().findFirst().orElseThrow().end();
                case KILL_VOTER -> {
                    String leads = client.status(of(VOTER).stream().map(ChildProcess::name).toList()).values().stream()
                            .map(each -> each instanceof ControlMessage.Status status ? status.leader() : "").filter(each -> !each.isEmpty()).findFirst().orElse("");
                    says.accept("the leader is " + leads + " and is killed");
                    of(VOTER).stream().filter(each -> each.name().equals(leads)).findFirst().orElse(of(VOTER).get(0)).end();
                }
                case CUT -> ChildProcess.request(of(HOLLOW), Map.of("do", "cut", "on", true));
                case RETURN, RETURN_WITH -> {
                    List<ChildProcess> holders = of(HOLLOW);
                    int left = Math.min(phase.count(), size.hollow());
                    for (int i = 0; i < holders.size(); i++) {
                        int count = (left + holders.size() - i - 1) / (holders.size() - i);
                        holders.get(i).send(Map.of("do", "return", "count", count, "keep", phase.kind() == Kind.RETURN_WITH));
                        left -= count;
                    }
                    for (ChildProcess each : holders) {
                        each.response();
                    }
                }
                default -> { }
            }
        }

        private void change() {
            write(Tables.change(changes++, size.resources().get(ResourceKind.HOST), System.nanoTime()));
        }

        // ---- what came of it

        private List<Meter.Used> used(List<ChildProcess> of) {
            return of.stream().map(each -> Meter.used(each.pid())).toList();
        }

        private void record(String phase, List<ChildProcess> all, List<Meter.Used> before, List<Meter.Used> after, boolean phased) throws IOException, InterruptedException {
            for (String role : List.of(HOLLOW, GATEWAY, RELAY, VOTER)) {
                List<ChildProcess> alive = of(role);
                if (alive.isEmpty()) {
                    continue;
                }
                double count = role.equals(HOLLOW) ? size.hollow() : alive.size();
                double in = 0;
                double out = 0;
                double cpu = 0;
                double most = 0;
                for (int i = 0; i < all.size(); i++) {
                    if (alive.contains(all.get(i))) {
                        double seconds = phased ? (after.get(i).at() - before.get(i).at()) / 1e9 : 1;
                        in += (after.get(i).in() - before.get(i).in()) / seconds;
                        out += (after.get(i).out() - before.get(i).out()) / seconds;
                        cpu += (after.get(i).cpu() - before.get(i).cpu()) / seconds;
                        most = Math.max(most, (after.get(i).out() - before.get(i).out()) / seconds);
                    }
                }
                String per = phased ? "/s" : "";
                figures.add(at, phase, role, "bytes in" + per, in / count);
                figures.add(at, phase, role, "bytes out" + per, out / count);
                figures.add(at, phase, role, "processor ms" + per, cpu * 1e3 / count);
                if (phased && !role.equals(HOLLOW)) {
                    figures.add(at, phase, role, "bytes out/s, the most of one", most);
                }
            }
        }

        /** What they keep. The heaps of programs that are asked from outside, which stops them for a moment, only where nothing goes on. */
        private void kept(Phase phase) throws IOException, InterruptedException {
            for (String role : List.of(HOLLOW, GATEWAY, RELAY, VOTER)) {
                List<ChildProcess> alive = of(role);
                if (alive.isEmpty()) {
                    continue;
                }
                List<int[]> open = alive.stream().map(one -> Meter.descriptors(one.pid())).toList();
                figures.add(at, phase.name(), role, "sockets", open.stream().mapToInt(one -> one[1]).sum() / (double) (role.equals(HOLLOW) ? size.hollow() : alive.size()));
                figures.add(at, phase.name(), role, "resident, MiB a process", alive.stream().mapToLong(one -> Meter.resident(one.pid())).average().orElse(0) / (1 << 20));
                if (role.equals(HOLLOW)) {
                    figures.add(at, phase.name(), role, "heap, KiB",
                            ChildProcess.request(alive, Map.of("do", "heap")).stream().mapToLong(answer -> number(answer, "bytes")).sum() / 1024.0 / size.hollow());
                    continue;
                }
                figures.add(at, phase.name(), role, "descriptors, the most of one", open.stream().mapToInt(one -> one[0]).max().orElse(0));
                figures.add(at, phase.name(), role, "disk, KiB", Meter.disk(layout.folder(alive.get(0).name()).resolve("state")) / 1024.0);
                if (phase.kind() == Kind.IDLE) {
                    figures.add(at, phase.name(), role, "heap, KiB", Meter.live(alive.get(0).pid()) / 1024.0);
                }
            }
        }

        private void times(Phase phase, long since) throws IOException, InterruptedException {
            Histogram times = new Histogram(3);
            long snapshots = 0;
            long last = 0;
            for (Map<String, Object> answer : ChildProcess.request(of(HOLLOW), Map.of("do", "times"))) {
                try {
                    times.add(Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(String.valueOf(answer.get("times")))), 0));
                } catch (DataFormatException e) {
                    throw new IOException("expected times of changes, found " + e, e);
                }
                snapshots += number(answer, "snapshots");
                last = Math.max(last, number(answer, "returned"));
            }
            if (times.getTotalCount() > 0) {
                figures.add(at, phase.name(), HOLLOW, "in force p50, ms", times.getValueAtPercentile(50) / 1e3);
                figures.add(at, phase.name(), HOLLOW, "in force p99, ms", times.getValueAtPercentile(99) / 1e3);
                figures.add(at, phase.name(), HOLLOW, "in force, the last, ms", times.getMaxValue() / 1e3);
                figures.add(at, phase.name(), HOLLOW, "in force, counted", times.getTotalCount());
            }
            figures.add(at, phase.name(), HOLLOW, "snapshots", snapshots);
            if (phase.kind().returns()) {
                figures.add(at, phase.name(), HOLLOW, "the last has returned, s", last == 0 ? Double.NaN : (last - since) / 1e9);
            }
        }
    }

    private static long number(Map<String, Object> answer, String key) {
        return answer.get(key) instanceof Number number ? number.longValue() : 0;
    }
}
