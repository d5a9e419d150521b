package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import mastdrift.Balancer.Repeat;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadRun;
import mastdrift.serve.Service;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInHost;
import mastdrift.standin.StandInHost.Manner;
import mastdrift.standin.StandInRadiusServer;
import mastdrift.zones.FlowCounts;
import mastdrift.zones.Flow;
import mastdrift.zones.ZoneSnapshot;

/** Traffic across zones over loopback: the gateway's counts against the hosts', what counting costs, and how soon a budget gives way and is kept
    again. {@code ZonesMeasurement [counts|cost|relief]}, all of them without a word. */
public final class ZonesMeasurement {

    private static final byte[] SECRET = "measured by both".getBytes(StandardCharsets.US_ASCII);
    private static final long WAIT = TimeUnit.SECONDS.toNanos(20);
    private static final String POOL = "[pool.main]\nnodes = [\"main.toml\"]\n" + GatewayFiles.FREE;
    private static final String NOTHING = "[[zones.budget]]\nname = \"none\"\nwindow = \"month\"\nrequests = 0\n";

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());

    private ZonesMeasurement() { }

    /** Prints the figures. */
    public static void main(String[] args) throws Exception {
        String what = args.length == 0 ? "" : args[0];
        if (!List.of("", "counts", "cost", "relief").contains(what)) {
            System.err.println("expected counts, cost or relief, found " + what);
            System.exit(2);
        }
        ZonesMeasurement measurement = new ZonesMeasurement();
        try {
            if (what.isEmpty() || what.equals("counts")) {
                for (long seed = 1; seed <= 5; seed++) {
                    measurement.counts(seed);
                }
            }
            if (what.isEmpty() || what.equals("cost")) {
                measurement.cost();
            }
            if (what.isEmpty() || what.equals("relief")) {
                measurement.relief();
            }
        } finally {
            measurement.loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static PrintStream silence() {
        return new PrintStream(java.io.OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
    }

    private static boolean await(BooleanSupplier holds) throws InterruptedException {
        long until = System.nanoTime() + WAIT;
        while (!holds.getAsBoolean() && System.nanoTime() < until) {
            Thread.sleep(2);
        }
        return holds.getAsBoolean();
    }

    private List<StandInHost> hosts(Effects effects, int home, int away, long work) {
        List<StandInHost> hosts = new ArrayList<>();
        EventLoop loop = loops.next();
        for (int i = 0; i < home + away; i++) {
            hosts.add(new StandInHost((i < home ? "b" : "o") + i, i < home ? "bilbao" : "oviedo", effects, loop, work, 64));
        }
        return hosts;
    }

    private static String list(List<StandInHost> hosts, String home) {
        return GatewayFiles.list(hosts.stream().map(host -> GatewayFiles.node(host.name(), host.endpoint(),
                host.name().startsWith("b") ? "bilbao" : "oviedo", host.name().startsWith("b") ? home : "")).toList());
    }

    // ---- counts

    private static long[] totals(ZoneSnapshot snapshot, boolean crossing) {
        long[] totals = new long[3];
        for (var entry : snapshot.flows().entrySet()) {
            Flow flow = entry.getKey();
            FlowCounts counts = entry.getValue();
            if (flow.crosses() == crossing) {
                totals[0] += counts.attempts();
                totals[1] += counts.bytesSent();
                totals[2] += counts.bytesReceived();
            }
        }
        return totals;
    }

    /** HTTP and RADIUS at once for six seconds, hosts that change their manner every half second. */
    private void counts(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Effects effects = new Effects(1_500_000);
        List<StandInHost> hosts = hosts(effects, 2, 2, 1_000);
        AtomicLong[] asked = {new AtomicLong(), new AtomicLong()};
        hosts.forEach(host -> host.observe(seen -> asked[seen.host().startsWith("b") ? 0 : 1].incrementAndGet()));
        try (GatewayFiles files = GatewayFiles.temporary();
                StandInRadiusServer one = new StandInRadiusServer("one", "one", effects, SECRET, 1_000);
                StandInRadiusServer two = new StandInRadiusServer("two", "two", effects, SECRET, 1_000)) {
            files.save("secret", new String(SECRET, StandardCharsets.US_ASCII));
            files.save("main.toml", list(hosts, ""));
            files.save("cards.toml", GatewayFiles.list(List.of(GatewayFiles.node("one", one.endpoint(), "bilbao", ""),
                    GatewayFiles.node("two", two.endpoint(), "oviedo", ""))));
            files.gateway(GatewayFiles.head("127.0.0.1:0", ""), GatewayFiles.CLASSES, GatewayFiles.RADIUS, POOL,
                    GatewayFiles.pool("cards", GatewayFiles.FREE + "secret_file = \"secret\"\n"), GatewayFiles.route("cards", "card", "cards"),
                    GatewayFiles.route("talks", "talk", "cards"), GatewayFiles.route("accounts", "accounting", "cards"),
                    "[[route]]\nname = \"rest\"\npools = { main = 1 }\n", "[zones]\n");
            try (Service service = Service.start(files.gateway(), silence());
                    LoadRun http = LoadRun.start(LoadPlan.open(service.address(), 600, 6, 64, 2_000).seeded(seed));
                    LoadRun radius = LoadRun.start(LoadPlan.open(service.radiusAddresses().get(0), 150, 6, 8, 2_000).with(List.of(
                            new Mix.Part("card", null, Repeat.SAFE, 2, 2_000_000, 0),
                            new Mix.Part("accounting", null, Repeat.KEYED, 1, 2_000_000, 0))).radius(SECRET).seeded(seed))) {
                Manner[] manners = {Manner.SERVE, Manner.SERVE, Manner.FAIL, Manner.DRAIN, Manner.RESET, Manner.CUT};
                for (int i = 0; i < 11; i++) {
                    hosts.forEach(host -> host.manner(manners[random.nextInt(manners.length)]));
                    two.manner(random.nextBoolean() ? StandInRadiusServer.Manner.TWICE : StandInRadiusServer.Manner.SERVE);
                    Thread.sleep(500);
                }
                hosts.forEach(host -> host.manner(Manner.SERVE));
                http.join();
                radius.join();
                boolean same = await(() -> Arrays.equals(totals(service.zoneSnapshot(), false), hosts(hosts, "b", asked[0], one))
                        && Arrays.equals(totals(service.zoneSnapshot(), true), hosts(hosts, "o", asked[1], two)));
                long[] home = totals(service.zoneSnapshot(), false);
                long[] over = totals(service.zoneSnapshot(), true);
                System.out.printf(Locale.ROOT, "counts, seed %d: in the zone %d attempts, %d bytes out, %d in; across %d, %d, %d; %s, effects twice %d%n",
                        seed, home[0], home[1], home[2], over[0], over[1], over[2], same ? "equal to the hosts' to the byte" : "NOT EQUAL to the hosts' "
                        + Arrays.toString(hosts(hosts, "b", asked[0], one)) + Arrays.toString(hosts(hosts, "o", asked[1], two)), effects.twice());
            }
        } finally {
            hosts.forEach(StandInHost::close);
        }
    }

    /** Attempts that came, bytes read and bytes written by the hosts of a zone; RADIUS servers count requests without resends, of which there are none. */
    private static long[] hosts(List<StandInHost> hosts, String zone, AtomicLong asked, StandInRadiusServer radius) {
        long[] totals = {asked.get() + radius.runs(), radius.bytesIn(), radius.bytesOut()};
        for (StandInHost host : hosts) {
            if (host.name().startsWith(zone)) {
                totals[1] += host.bytesIn();
                totals[2] += host.bytesOut();
            }
        }
        return totals;
    }

    // ---- cost

    /** Processor time of the gateway's loop for a request, 32 clients in a closed loop, with the table and a budget, and without, in pairs in turn. */
    private void cost() throws Exception {
        List<Double> ratios = new ArrayList<>();
        String[] zones = {"", "[zones]\n[[zones.budget]]\nname = \"all\"\nwindow = \"hour\"\nbytes = \"1TiB\"\n"};
        for (int round = 0; round < 7; round++) {
            double[] micros = new double[2];
            for (int n = 0; n < 2; n++) {
                int way = (n + round) % 2;
                List<StandInHost> hosts = hosts(new Effects(1_500_000), 4, 0, 100);
                try (GatewayFiles files = GatewayFiles.temporary()) {
                    files.save("main.toml", list(hosts, ""));
                    files.gateway(GatewayFiles.head("127.0.0.1:0", ""), GatewayFiles.CLASSES, POOL, zones[way]);
                    try (Service service = Service.start(files.gateway(), silence())) {
                        try (LoadRun warm = LoadRun.start(LoadPlan.closed(service.address(), 32, 3, 2_000))) {
                            warm.join();
                        }
                        try (LoadRun load = LoadRun.start(LoadPlan.closed(service.address(), 32, 4, 2_000))) {
                            long loop = service.readCount(count -> Thread.currentThread().getId());
                            long before = ManagementFactory.getThreadMXBean().getThreadCpuTime(loop);
                            long served = load.join().count(Of.SERVED);
                            micros[way] = (ManagementFactory.getThreadMXBean().getThreadCpuTime(loop) - before) / 1e3 / served;
                        }
                    }
                } finally {
                    hosts.forEach(StandInHost::close);
                }
            }
            ratios.add(micros[1] / micros[0]);
            System.out.printf(Locale.ROOT, "cost, round %d: %.2f us of the loop's processor time a request without, %.2f with zones, ratio %.3f%n",
                    round + 1, micros[0], micros[1], micros[1] / micros[0]);
        }
        ratios.sort(null);
        System.out.printf(Locale.ROOT, "cost: median ratio %.3f (%.3f to %.3f)%n", ratios.get(ratios.size() / 2), ratios.get(0),
                ratios.get(ratios.size() - 1));
    }

    // ---- giving way

    /** With a budget of nothing: until another zone's host has the first request, and until the last one once the zone is whole again; where
        the list tells, and where hosts only break connections. */
    private void relief() throws Exception {
        for (boolean told : new boolean[] {true, false}) {
            List<Long> ways = new ArrayList<>();
            List<Long> kept = new ArrayList<>();
            for (int round = 0; round < 5; round++) {
                relief(told, ways, kept);
            }
            ways.sort(null);
            kept.sort(null);
            System.out.printf(Locale.ROOT, "relief, %s: gives way after %s ms, is kept again after %s ms (calm 1 s)%n",
                    told ? "told by the list" : "hosts break connections", ways, kept);
        }
    }

    private void relief(boolean told, List<Long> ways, List<Long> kept) throws IOException, InterruptedException {
        List<StandInHost> hosts = hosts(new Effects(1_500_000), 2, 2, 1_000);
        AtomicLong first = new AtomicLong();
        AtomicLong last = new AtomicLong();
        hosts.subList(2, 4).forEach(host -> host.observe(seen -> {
            first.compareAndSet(0, seen.at());
            last.set(seen.at());
        }));
        try (GatewayFiles files = GatewayFiles.temporary()) {
            files.save("main.toml", list(hosts, ""));
            files.gateway(GatewayFiles.head("127.0.0.1:0", "settle = \"20ms\"\n"), GatewayFiles.CLASSES, POOL,
                    "[zones]\ngive_way = [\"session-start\", \"session-read\"]\ncalm = \"1s\"\n" + NOTHING);
            try (Service service = Service.start(files.gateway(), silence());
                    LoadRun load = LoadRun.start(LoadPlan.open(service.address(), 300, 20, 64, 2_000))) {
                Thread.sleep(2_000);
                long out = System.nanoTime();
                set(told, files, hosts, true);
                await(() -> first.get() != 0);
                ways.add((first.get() - out) / 1_000_000);
                Thread.sleep(3_000);
                long back = System.nanoTime();
                set(told, files, hosts, false);
                await(() -> System.nanoTime() - last.get() > TimeUnit.SECONDS.toNanos(3));
                kept.add((last.get() - back) / 1_000_000);
                load.stop();
            }
        } finally {
            hosts.forEach(StandInHost::close);
        }
    }

    private static void set(boolean told, GatewayFiles files, List<StandInHost> hosts, boolean out) throws IOException {
        if (told) {
            files.save("main.toml", list(hosts, out ? "state = \"drain\"\n" : ""));
        } else {
            hosts.subList(0, 2).forEach(host -> host.manner(out ? Manner.RESET : Manner.SERVE));
        }
    }
}
