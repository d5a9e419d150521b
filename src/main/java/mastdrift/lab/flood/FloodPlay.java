package mastdrift.lab.flood;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.lab.flood.OrdinaryClients.End;
import mastdrift.lab.flood.OrdinaryClients.Request;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInHost;

/**
 * One gateway process of the platform, with the options that the deploy file starts it with, its stand-in hosts and
 * discovery, and ordinary clients that use it all the time.
 */
public final class FloodPlay implements AutoCloseable {

    /** The limits that stand in the gateway's configuration. */
    public record Limits(int memoryMegabytes, int descriptors) { }

    /** What came of the ordinary clients' requests over a span; times in milliseconds. */
    public record Outcome(int requests, int served, int refused, int failed, int lost, int crossed, int notTaken, double medianMillis,
            double p99Millis, double maxMillis) {

        @Override
        public String toString() {
            return requests + " requests: " + served + " served, " + refused + " refused, " + failed + " failed, " + lost + " lost, "
                    + crossed + " crossed, " + notTaken + " not taken; median " + Math.round(medianMillis * 10) / 10.0 + " ms, p99 "
                    + Math.round(p99Millis) + " ms, max " + Math.round(maxMillis) + " ms";
        }
    }

    private static final int HOSTS = 4;
    private static final int HOST_SLOTS = 16;
    private static final long HOST_WORK_MICROS = 20_000;
    private static final long EFFECT_WINDOW_MICROS = 1_500_000;
    private static final int CLIENTS = 10;
    private static final Pattern RUN_OPTION = Pattern.compile("-X\\S+|-D\\S+");

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<StandInHost> hosts = new ArrayList<>();
    private final StaticDiscovery discovery;
    private final FloodedGateway gateway;
    private final OrdinaryClients clients;

    private FloodPlay(Path folder, Limits limits, int waitMillis) throws IOException, InterruptedException {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            StandInHost host = new StandInHost("s" + i, "a", new Effects(EFFECT_WINDOW_MICROS), loop, HOST_WORK_MICROS, HOST_SLOTS);
            hosts.add(host);
            entries.add(StaticDiscovery.entry(host.name(), host.endpoint()));
        }
        discovery = new StaticDiscovery(entries);
        gateway = FloodedGateway.start(folder, limits, discovery, runOptions(Path.of("deploy", "balancer.toml")));
        clients = OrdinaryClients.start(gateway.address(), CLIENTS, waitMillis, 1);
    }

    /** Starts everything; returns once the gateway listens. Ordinary clients wait {@code waitMillis} for an answer. */
    public static FloodPlay start(Path folder, Limits limits, int waitMillis) throws IOException, InterruptedException {
        return new FloodPlay(folder, limits, waitMillis);
    }

    /** The options of the virtual machine in the deploy file's {@code run}, but for the class archive. */
    static List<String> runOptions(Path deployFile) throws IOException {
        String run = Files.readAllLines(deployFile).stream().filter(line -> line.startsWith("run ")).findFirst().orElseThrow();
        List<String> options = new ArrayList<>();
        Matcher option = RUN_OPTION.matcher(run);
        while (option.find()) {
            if (!option.group().contains("share") && !option.group().contains("SharedArchive") && !option.group().contains("tmpdir")) {
                options.add(option.group());
            }
        }
        return options;
    }

    /** The gateway process. */
    public FloodedGateway gateway() {
        return gateway;
    }

    /** The hosts. */
    public List<StandInHost> hosts() {
        return hosts;
    }

    /** Waits for so long, and tells what came of the requests that ordinary clients sent meanwhile. */
    public Outcome observe(long millis) throws InterruptedException {
        long since = System.nanoTime();
        Thread.sleep(millis);
        return outcome(clients.requestsSince(since));
    }

    private static Outcome outcome(List<Request> requests) {
        double[] tookMillis = requests.stream().filter(request -> request.end() != End.NOT_TAKEN)
                .mapToDouble(request -> request.tookMicros() / 1_000.0).sorted().toArray();
        return new Outcome(requests.size(), count(requests, End.SERVED), count(requests, End.REFUSED), count(requests, End.FAILED),
                count(requests, End.LOST), count(requests, End.CROSSED), count(requests, End.NOT_TAKEN), quantile(tookMillis, 0.5),
                quantile(tookMillis, 0.99), quantile(tookMillis, 1));
    }

    private static int count(List<Request> requests, End end) {
        return (int) requests.stream().filter(request -> request.end() == end).count();
    }

    private static double quantile(double[] sorted, double fraction) {
        return sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
    }

    @Override
    public void close() throws IOException {
        gateway.close();
        clients.close();
        discovery.close();
        hosts.forEach(StandInHost::close);
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
