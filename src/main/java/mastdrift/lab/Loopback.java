package mastdrift.lab;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.lab.Experiment.Arm;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Streams;
import mastdrift.lab.draw.Tries;
import mastdrift.lab.load.Counts;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.lab.model.Scenario;
import mastdrift.lab.model.Scenario.Fault;
import mastdrift.lab.model.Scenario.What;
import mastdrift.routing.Route;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInHost;
import org.HdrHistogram.Histogram;

/** A scenario over loopback: gateways from files as processes of their own, stand-in hosts for nodes, the load tool for clients.
    What it can't do (networks between zones, lists that lie, cold nodes) the reader refuses or the page names. */
final class Loopback {

    private static final int WARM_CLIENTS = 8;
    private static final double WARM_SECONDS = 6;
    private static final int CONNECTIONS = 512;
    // From a change of the list's file to the last moment at which a node may be sent something new: files settle, the grace,
    // and a busy machine.
    private static final long DRAIN_NANOS = 700_000_000L;

    private final Scenario scenario;
    private final String arm;
    private final long seed;
    private final Effects effects;
    private final List<StandInHost> hosts = new ArrayList<>();
    private final List<String> pools = new ArrayList<>();
    private final List<String> kindOf = new ArrayList<>();
    private final Set<Integer> leaving = new LinkedHashSet<>();
    private final Set<Integer> gone = new LinkedHashSet<>();
    private final Map<Integer, Long> leftAt = new HashMap<>();
    private final AtomicLong late = new AtomicLong();

    Loopback(Arm arm, long seed) {
        scenario = arm.scenario();
        this.arm = arm.name();
        this.seed = seed;
        long window = scenario.classes().stream().mapToLong(RequestClass::dedupWindow).max().orElse(0);
        effects = new Effects(Math.max(1, window));
    }

    /** Plays it; null where it was stopped. Throws IOException where a gateway doesn't start. */
    RunResult play(BooleanSupplier stopped) throws IOException, InterruptedException {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
        ScheduledExecutorService faults = Executors.newSingleThreadScheduledExecutor();
        List<GatewayProcess> gateways = new ArrayList<>();
        try (GatewayFiles files = GatewayFiles.temporary()) {
            hosts(loops.next());
            lists(files);
            for (int i = 0; i < scenario.site().gateways(); i++) {
                gateways.add(gateway(files, i));
            }
            for (GatewayProcess gateway : gateways) {  // a cold process is another matter than what is measured here
                LoadRun.start(LoadPlan.closed(gateway.http(), WARM_CLIENTS, WARM_SECONDS, 2_000).with(parts()).seeded(~seed)).join();
            }
            long[] before = hosts.stream().mapToLong(StandInHost::served).toArray();
            long twice = effects.twice();
            schedule(files, faults);
            List<LoadRun> runs = new ArrayList<>();
            for (Scenario.Population population : scenario.populations()) {
                runs.addAll(load(population, gateways));
            }
            List<LoadResult> results = new ArrayList<>();
            for (LoadRun run : runs) {
                while (!run.paced() && !stopped.getAsBoolean()) {
                    Thread.sleep(20);
                }
                results.add(stopped.getAsBoolean() ? run.stop() : run.join());
            }
            return stopped.getAsBoolean() ? null : result(results, before, twice);
        } finally {
            faults.shutdownNow();
            for (GatewayProcess gateway : gateways) {
                gateway.close();
            }
            hosts.forEach(StandInHost::close);
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private List<Mix.Part> parts() {
        return scenario.populations().get(0).parts();
    }

    private void hosts(EventLoop loop) {
        Map<String, Scenario.Kind> kinds = new HashMap<>();
        scenario.kinds().forEach(kind -> kinds.put(kind.name(), kind));
        boolean all = scenario.classes().stream().noneMatch(type -> type.repeat() == Repeat.KEYED && type.group() != Group.ALL);
        for (Scenario.Group group : scenario.groups()) {
            Scenario.Kind kind = kinds.get(group.kind());
            for (int i = 0; i < group.count(); i++) {
                String uid = "n-" + hosts.size();
                StandInHost host = new StandInHost(uid, all ? group.pool() : zone(hosts.size()), effects, loop, 0, kind.cores());
                Map<String, DoubleSupplier> works = new HashMap<>();
                scenario.works().forEach((name, work) ->
                        works.put(name, work.from(Streams.of(seed).stream("node/" + uid + "/" + name))));
                host.works(name -> works.get(name).getAsDouble() / kind.speed());
                host.queue(kind.queue());
                hosts.add(host);
                pools.add(group.pool());
                kindOf.add(group.kind());
            }
        }
    }

    private String zone(int node) {
        return scenario.site().zones().get(node % scenario.site().zones().size());
    }

    private void lists(GatewayFiles files) throws IOException {
        Map<String, List<String>> byPool = new TreeMap<>();
        for (int i = 0; i < hosts.size(); i++) {
            byPool.computeIfAbsent(pools.get(i), pool -> new ArrayList<>());
            if (!gone.contains(i)) {
                byPool.get(pools.get(i)).add(GatewayFiles.node(hosts.get(i).name(), hosts.get(i).endpoint(), zone(i),
                        leaving.contains(i) ? "state = \"drain\"\n" : ""));
            }
        }
        for (Map.Entry<String, List<String>> pool : byPool.entrySet()) {
            files.save(pool.getKey() + ".toml", GatewayFiles.list(pool.getValue()));
        }
    }

    private GatewayProcess gateway(GatewayFiles files, int number) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder("[gateway]\nname = \"gateway-" + number + "\"\nlisten = \"127.0.0.1:0\"\nzone = \""
                + scenario.site().zones().get(number % scenario.site().zones().size()) + "\"\nzones = [" + String.join(", ",
                        scenario.site().zones().stream().map(zone -> '"' + zone + '"').toList()) + "]\nnumber = " + number
                + "\ngateways = " + scenario.site().gateways() + "\n\n");
        for (RequestClass type : scenario.classes()) {
            text.append(GatewayFiles.type(type.name(), type.repeat().name().toLowerCase(Locale.ROOT), type.aim() + "us",
                    type.deadline() + "us", type.repeat() == Repeat.KEYED ? "group = \"" + type.group().name().toLowerCase(Locale.ROOT)
                            + "\"\ndedup_window = \"" + type.dedupWindow() + "us\"\n" : ""));
        }
        for (String pool : new LinkedHashSet<>(pools)) {
            text.append(GatewayFiles.pool(pool, GatewayFiles.FREE + "probes = " + scenario.site().probes() + "\nmax_attempts = "
                    + scenario.site().maxAttempts() + "\n"));
        }
        for (Route route : scenario.routes()) {
            text.append("[[route]]\nname = \"").append(route.name()).append("\"\n").append(route.match().className() == null ? ""
                    : "class = \"" + route.match().className() + "\"\n").append("pools = { ").append(String.join(", ",
                            route.targets().stream().map(target -> target.pool() + " = " + target.weight()).toList()))
                    .append(" }\n").append(route.fallback() == null ? "" : "fallback = \"" + route.fallback() + "\"\n");
        }
        String name = "gateway-" + number + ".toml";
        files.save(name, text + "# end\n");
        return GatewayProcess.serve(null, files.folder().resolve(name), 1);
    }

    private List<LoadRun> load(Scenario.Population population, List<GatewayProcess> gateways) {
        List<InetSocketAddress> to = new ArrayList<>();
        for (int i = 0; i < gateways.size(); i++) {
            if (population.zone() == null || population.zone().equals(scenario.site().zones().get(i % scenario.site().zones().size()))) {
                to.add(gateways.get(i).http());
            }
        }
        List<LoadRun> runs = new ArrayList<>();
        for (int i = 0; i < to.size(); i++) {
            runs.add(LoadRun.start(new LoadPlan(to.get(i), population.curve().times(1.0 / to.size()), population.arrivals(), 0,
                    java.time.Duration.ZERO, population.parts(), population.keys(), Tries.ONE, CONNECTIONS, false, 1,
                    Streams.of(seed).number(population.name() + "/" + i), null, 20_000)));
        }
        return runs;
    }

    // ---- faults

    private void schedule(GatewayFiles files, ScheduledExecutorService on) {
        for (Fault fault : scenario.faults()) {
            List<Integer> struck = struck(fault);
            on.schedule(() -> strike(fault, struck, true), fault.at(), TimeUnit.MICROSECONDS);
            on.schedule(() -> strike(fault, struck, false), fault.at() + fault.length(), TimeUnit.MICROSECONDS);
            if (fault.what() == What.DRAIN || fault.what() == What.CRASH) {
                on.schedule(() -> {
                    (fault.what() == What.DRAIN ? leaving : gone).addAll(struck);
                    lists(files);
                    struck.forEach(i -> leftAt.put(i, System.nanoTime()));
                    return null;
                }, fault.at() + scenario.site().listDelay() + scenario.site().listSpread() / 2, TimeUnit.MICROSECONDS);
            }
        }
    }

    private List<Integer> struck(Fault fault) {
        List<Integer> struck = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            if ((fault.where().zone() == null || fault.where().zone().equals(zone(i)))
                    && (fault.where().kind() == null || fault.where().kind().equals(kindOf.get(i)))
                    && (fault.where().pool() == null || fault.where().pool().equals(pools.get(i)))
                    && (fault.where().node() == null || fault.where().node().equals(hosts.get(i).name()))) {
                struck.add(i);
            }
        }
        return struck.subList(0, (int) Math.ceil(fault.where().part() * struck.size()));
    }

    private void strike(Fault fault, List<Integer> struck, boolean begins) {
        for (int i : struck) {
            StandInHost host = hosts.get(i);
            switch (fault.what()) {
                case SLOW -> host.slower(begins ? fault.size() : 1);
                case SHED -> host.manner(begins ? StandInHost.Manner.DRAIN : StandInHost.Manner.SERVE);
                case FREEZE -> host.manner(begins ? StandInHost.Manner.SILENT : StandInHost.Manner.SERVE);
                case CRASH -> {
                    if (begins) {
                        host.close();
                    }
                }
                default -> {
                    if (!begins) {
                        Long told = leftAt.get(i);
                        late.addAndGet(told != null && host.lastAt() - told > DRAIN_NANOS ? 1 : 0);
                    }
                }
            }
        }
    }

    // ---- what came of it

    private RunResult result(List<LoadResult> results, long[] before, long twiceBefore) throws IOException {
        for (LoadResult result : results) {
            if (!result.faults().isEmpty()) {
                throw new IOException("a run over loopback doesn't count: " + String.join("; ", result.faults()));
            }
        }
        int warm = (int) (scenario.warm() / 1_000_000);
        int length = (int) ((scenario.length() + 999_999) / 1_000_000);
        Map<String, Long> counts = new TreeMap<>();
        Map<String, Histogram> byClass = new TreeMap<>();
        Histogram all = new Histogram(3);
        long[][] rows = new long[length][6];
        int at = 0;
        for (Scenario.Population population : scenario.populations()) {
            int runs = population.zone() == null ? scenario.site().gateways() : (int) java.util.stream.IntStream
                    .range(0, scenario.site().gateways()).filter(i -> population.zone().equals(zone(i))).count();
            for (int i = 0; i < runs; i++) {
                add(population, results.get(at++), warm, rows, byClass, all);
            }
        }
        for (int second = warm; second < length; second++) {
            String[] names = {"asked", "good", "late", "refused", "failed", "unanswered"};
            for (int i = 0; i < names.length; i++) {
                counts.merge(names[i], rows[second][i], Long::sum);
            }
        }
        counts.put("tries", counts.get("asked"));
        counts.put("broken_1", counts.get("unanswered"));
        counts.put("broken_2", effects.twice() - twiceBefore);
        counts.put("broken_3", late.get());
        counts.put("broken_4", 0L);
        List<Long> nodes = new ArrayList<>();
        for (int i = 0; i < before.length; i++) {
            nodes.add(hosts.get(i).served() - before[i]);
        }
        counts.put("attempts", nodes.stream().mapToLong(Long::longValue).sum());
        Map<String, Long> quantiles = new TreeMap<>();
        RunResult.quantiles("", all, quantiles);
        byClass.forEach((name, histogram) -> RunResult.quantiles(name + "/", histogram, quantiles));
        List<List<Long>> seconds = new ArrayList<>();
        for (long[] row : rows) {
            seconds.add(java.util.Arrays.stream(row).boxed().toList());
        }
        double goodput = (counts.get("good") + 0.5 * counts.get("late")) / Math.max(1, counts.get("asked"));
        return new RunResult(arm, seed, goodput, counts, quantiles, RunResult.curve(all), seconds, nodes, List.of());
    }

    private void add(Scenario.Population population, LoadResult result, int warm, long[][] rows, Map<String, Histogram> byClass,
            Histogram all) {
        for (int second = 0; second < result.seconds().size(); second++) {
            for (int part = 0; part < population.parts().size(); part++) {
                Counts counts = result.seconds().get(second)[part];
                String name = population.parts().get(part).className();
                long aim = scenario.classes().stream().filter(type -> type.name().equals(name)).findFirst().orElseThrow().aim();
                long[] row = rows[Math.min(rows.length - 1, second)];
                Histogram latencies = second < result.latencies().size() ? result.latencies().get(second)[part] : new Histogram(3);
                // Answers count in the second in which they came, requests in that in which they were due.
                long good = latencies.getTotalCount() == 0 ? 0 : latencies.getCountBetweenValues(0, aim);
                row[0] += counts.get(Counts.Of.ASKED);
                row[1] += good;
                row[2] += latencies.getTotalCount() - good;
                row[3] += counts.get(Counts.Of.REFUSED);
                row[4] += counts.get(Counts.Of.FAILED) + counts.get(Counts.Of.FOREIGN);
                row[5] += counts.get(Counts.Of.UNANSWERED);
                if (second >= warm) {
                    byClass.computeIfAbsent(name, n -> new Histogram(3)).add(latencies);
                    all.add(latencies);
                }
            }
        }
    }
}
