package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInDiscovery;
import mastdrift.standin.StandInHost;

/** The platform's gateway on one core, kept busy: requests a second of two builds in turn, so that their ratio tells what a
    change costs there. {@code OldPathMeasurement BASELINE.jar [PAIRS]}; the jar's {@code lib} folder is beside it, as the
    build leaves it. */
public final class OldPathMeasurement {

    private static final int HOSTS = 4;
    private static final int CLIENTS = 16;
    private static final int WARM_SECONDS = 8;
    private static final int SECONDS = 10;
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto",
            "-XX:-UsePerfData", "-Xms48m", "-Xmx48m", "-XX:MaxDirectMemorySize=48m", "-XX:ReservedCodeCacheSize=24m",
            "-Xss512k");
    private static final String SETTINGS = """
            {"allowed":{"cancel":true,"conn_idle":5000000,"dial_timeout":250000,"max_attempts":4,"max_open":20000,
            "max_retry_after":1000000,"parallel_tries":true,"probes":false,"retry_after":true},"balancers":1,"classes":[
            {"name":"session-read","target":600000,"deadline":2500000,"credit":1.0,"late_share":0.5,"repeat":"read_like"},
            {"name":"session-start","target":600000,"deadline":1500000,"credit":1.0,"late_share":0.5,
            "repeat":"idempotency_key","group":"zone","dedup_window":1500000}],"dcs":["a"],"guarantees":{"cold_from":0.13,
            "drain_grace":250000,"fall":2000000,"must_ask_in":1000000,"tip_multiple":3.0,"warm_within":24000000},
            "locality":"a","me":0,"registry_mode":"pushed","weights":"nominal"}""";

    private OldPathMeasurement() { }

    /** Prints the figures: each run, and the ratio of the medians. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path baseline = Path.of(args[0]);
        int pairs = args.length > 1 ? Integer.parseInt(args[1]) : 5;
        Path now = Path.of(System.getProperty("java.class.path").split(":")[0]);
        double[] before = new double[pairs];
        double[] after = new double[pairs];
        for (int i = 0; i < pairs; i++) {
            boolean first = i % 2 == 0;
            double one = run(first ? baseline : now);
            double other = run(first ? now : baseline);
            before[i] = first ? one : other;
            after[i] = first ? other : one;
            System.out.printf("pair %d: baseline %.0f, now %.0f requests a second, ratio %.3f%n", i + 1, before[i], after[i],
                    after[i] / before[i]);
        }
        Arrays.sort(before);
        Arrays.sort(after);
        System.out.printf("medians: baseline %.0f (%.0f to %.0f), now %.0f (%.0f to %.0f), ratio %.3f%n", before[pairs / 2],
                before[0], before[pairs - 1], after[pairs / 2], after[0], after[pairs - 1],
                after[pairs / 2] / before[pairs / 2]);
    }

    private static double run(Path jar) throws IOException, InterruptedException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Effects effects = new Effects(1_500_000);
        List<StandInHost> hosts = new ArrayList<>();
        Path folder = Files.createTempDirectory("mastdrift-measure");
        Path config = folder.resolve("config.json");
        try (StandInDiscovery discovery = new StandInDiscovery()) {
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new StandInHost("h" + i, "a", effects, loop, 200, 64));
            }
            String[] targets = hosts.stream().map(host -> StandInDiscovery.target(host.name(), host.endpoint(), "a",
                    "in_service")).toArray(String[]::new);
            discovery.list(targets);
            Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.endpoint()
                    + "\",\"seed\":\"1\",\"limits\":{\"sockets\":512},\"known\":{\"rev\":1,\"all\":true,\"targets\":["
                    + String.join(",", targets) + "]},\"settings\":" + SETTINGS + "}");
            try (GatewayProcess gateway = start(jar, config)) {
                return measure(gateway.http());
            }
        } finally {
            hosts.forEach(StandInHost::close);
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            Files.deleteIfExists(config);
            Files.delete(folder);
        }
    }

    /** On the first core alone. */
    private static GatewayProcess start(Path jar, Path config) throws IOException, InterruptedException {
        List<String> words = new ArrayList<>(OPTIONS);
        words.addAll(List.of("-cp", jar.toString(), "mastdrift.net.Main"));
        return GatewayProcess.start("0", words, Map.of("NODE_CONFIG", config.toString()), 1);
    }

    /** By as many clients as keep it busy, once it is warm. */
    private static double measure(InetSocketAddress at) throws InterruptedException {
        LoadRun.start(LoadPlan.closed(at, CLIENTS, WARM_SECONDS, 1_400)).join();
        LoadResult result = LoadRun.start(LoadPlan.closed(at, CLIENTS, SECONDS, 1_400).seeded(2)).join();
        if (result.failed() > 0) {
            System.out.println("failed " + result.failed() + ", of others " + result.count(Of.FOREIGN));
        }
        result.faults().forEach(System.out::println);
        return result.rate();
    }
}
