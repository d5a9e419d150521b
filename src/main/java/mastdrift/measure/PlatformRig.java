package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import mastdrift.lab.GatewayProcess;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInDiscovery;
import mastdrift.standin.StandInHost;

/** Hosts, a discovery and the settings of the platform's gateway, which runs as a process with the options that the platform gives
    it. The hosts' loop is this process's. */
final class PlatformRig implements AutoCloseable {

    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto",
            "-XX:-UsePerfData", "-Xms72m", "-Xmx72m", "-XX:MaxDirectMemorySize=16m", "-XX:ReservedCodeCacheSize=24m",
            "-Xss512k");
    private static final String SETTINGS = """
            {"allowed":{"cancel":true,"conn_idle":5000000,"dial_timeout":250000,"max_attempts":4,"max_open":20000,
            "max_retry_after":1000000,"parallel_tries":true,"probes":false,"retry_after":true},"balancers":1,"classes":[
            {"name":"session-read","target":600000,"deadline":2500000,"credit":1.0,"late_share":0.5,"repeat":"read_like"},
            {"name":"session-start","target":600000,"deadline":1500000,"credit":1.0,"late_share":0.5,
            "repeat":"idempotency_key","group":"zone","dedup_window":1500000}],"dcs":["a"],"guarantees":{"cold_from":0.13,
            "drain_grace":250000,"fall":2000000,"must_ask_in":1000000,"tip_multiple":3.0,"warm_within":24000000},
            "locality":"a","me":0,"registry_mode":"pushed","weights":"nominal"}""";

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<StandInHost> hosts = new ArrayList<>();
    private final StandInDiscovery discovery = new StandInDiscovery();
    private final Path folder = Files.createTempDirectory("mastdrift-measure");
    private final Path config = folder.resolve("config.json");

    /** So many hosts of 64 slots, whose work takes so many microseconds. */
    PlatformRig(int count, long work, int sockets) throws IOException {
        Effects effects = new Effects(1_500_000);
        for (int i = 0; i < count; i++) {
            hosts.add(new StandInHost("h" + i, "a", effects, loop, work, 64));
        }
        String[] targets = hosts.stream().map(host -> StandInDiscovery.target(host.name(), host.endpoint(), "a",
                "in_service")).toArray(String[]::new);
        discovery.list(targets);
        Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery.endpoint()
                + "\",\"seed\":\"1\",\"limits\":{\"sockets\":" + sockets + "},\"known\":{\"rev\":1,\"all\":true,\"targets\":["
                + String.join(",", targets) + "]},\"settings\":" + SETTINGS + "}");
    }

    /** The hosts. */
    List<StandInHost> hosts() {
        return hosts;
    }

    /** The gateway of a jar, whose {@code lib} folder is beside it as the build leaves it, on these processors alone. */
    GatewayProcess gateway(Path jar, String cpus) throws IOException, InterruptedException {
        return java(cpus, "mastdrift.net.Main", jar.toString(), Map.of("NODE_CONFIG", config.toString()));
    }

    /** A bare pass-through to the hosts, by this program's jar, with the same options. */
    GatewayProcess passThrough(String cpus) throws IOException, InterruptedException {
        List<String> words = new ArrayList<>(List.of(PassThrough.class.getName()));
        hosts.forEach(host -> words.add(host.endpoint()));
        return java(cpus, String.join(" ", words), jar().toString(), Map.of());
    }

    private static GatewayProcess java(String cpus, String main, String path, Map<String, String> environment)
            throws IOException, InterruptedException {
        List<String> words = new ArrayList<>(OPTIONS);
        words.addAll(List.of("-cp", path));
        words.addAll(List.of(main.split(" ")));
        return GatewayProcess.start(cpus, words, environment, 1);
    }

    /** This program's own jar. */
    static Path jar() {
        return Path.of(System.getProperty("java.class.path").split(":")[0]);
    }

    @Override
    public void close() throws IOException {
        hosts.forEach(StandInHost::close);
        discovery.close();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        Files.deleteIfExists(config);
        Files.delete(folder);
    }
}
