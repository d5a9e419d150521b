package mastdrift.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.engine.ServiceCount;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.serve.Service;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInHost;

/**
 * The demo: four stand-in hosts and a gateway configured by files, all on loopback. Half way through, the file marks
 * one host as draining.
 */
final class DemoRun {

    private static final int CLIENT_CONNECTIONS = 24;
    private static final double REQUESTS_PER_SECOND = 400;
    private static final int DEADLINE_MILLIS = 1500;
    private static final long DEDUPLICATION_WINDOW_MICROS = 1_500_000;
    private static final int PROGRESS_INTERVAL_MILLIS = 250;
    /** A stand-in host: the time a request takes, and how many it serves at once. */
    private record HostProfile(String name, String zone, long workMicros, int slots) { }

    private static final List<HostProfile> HOST_PROFILES = List.of(new HostProfile("fast-1", "bilbao", 5_000, 4),
            new HostProfile("fast-2", "oviedo", 5_000, 4), new HostProfile("slow", "bilbao", 60_000, 4),
            new HostProfile("leaving", "bilbao", 5_000, 4));

    private final String listenAddress;
    private final int seconds;
    private final PrintWriter out;
    private final boolean showProgress;
    private final List<StandInHost> hosts = new ArrayList<>();

    DemoRun(String listenAddress, int seconds, PrintWriter out, boolean showProgress) {
        this.listenAddress = listenAddress;
        this.seconds = seconds;
        this.out = out;
        this.showProgress = showProgress;
    }

    /**
     * Runs the demo. Returns the exit status: 0 if every request got exactly one answer of its own and no effect ran
     * twice.
     */
    int run() throws IOException, InterruptedException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Effects effects = new Effects(DEDUPLICATION_WINDOW_MICROS);
        ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
        try (GatewayFiles files = GatewayFiles.temporary()) {
            HOST_PROFILES.forEach(profile -> hosts.add(
                    new StandInHost(profile.name, profile.zone, effects, loop, profile.workMicros, profile.slots)));
            files.gateway(GatewayFiles.head(listenAddress, "status_file = \"gateway.status\"\n"), GatewayFiles.CLASSES,
                    GatewayFiles.pool("nodes", ""));
            files.save("nodes.toml", nodeList(false));
            try (Service service = Service.start(files.gateway(),
                    new PrintStream(logBytes, true, StandardCharsets.UTF_8))) {
                return run(service, files, effects);
            } catch (IllegalArgumentException e) {
                out.println(e.getMessage());
                return 1;
            }
        } finally {
            hosts.forEach(StandInHost::close);
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private int run(Service service, GatewayFiles files, Effects effects) throws IOException, InterruptedException {
        String url = "http://127.0.0.1:" + service.address().getPort() + "/api";
        out.println("A gateway and four stand-in hosts, for " + seconds + " s, with " + (int) REQUESTS_PER_SECOND
                + " requests a second of the demo's own. Its files: " + files.folder());
        out.println("Try meanwhile:");
        out.println("  curl -i -H 'X-Trace-Id: mine-1' -H 'X-Qos: session-read' -H 'X-Expires-In-Ms: 1500' " + url);
        long drainedAtNanos = 0;
        try (LoadRun load = LoadRun.start(LoadPlan.open(service.address(), REQUESTS_PER_SECOND, seconds, CLIENT_CONNECTIONS, DEADLINE_MILLIS))) {
            while (!load.paced()) {
                long elapsedMillis = (long) (load.passed() * 1e3);
                if (drainedAtNanos == 0 && elapsedMillis >= seconds * 500L) {
                    files.save("nodes.toml", nodeList(true));
                    drainedAtNanos = System.nanoTime();
                    out.println((showProgress ? "\r" : "") + "Half way: nodes.toml now says state = \"drain\" for the host leaving.");
                }
                printProgress(load, elapsedMillis);
                Thread.sleep(PROGRESS_INTERVAL_MILLIS);
            }
            return printTable(service, load.join(), effects, drainedAtNanos);
        }
    }

    private void printProgress(LoadRun load, long elapsedMillis) {
        if (showProgress) {
            out.print("\r" + elapsedMillis / 1000 + " s: " + load.count(Of.ASKED) + " asked, " + load.count(Of.SERVED) + " served, "
                    + load.count(Of.REFUSED) + " refused, " + load.failed() + " failed   ");
            out.flush();
        }
    }

    private int printTable(Service service, LoadResult load, Effects effects, long drainedAtNanos) {
        out.println(showProgress ? "\r" : "");
        out.printf("%-10s %-8s %8s %8s %12s%n", "host", "zone", "work", "served", "turned away");
        for (int i = 0; i < hosts.size(); i++) {
            HostProfile profile = HOST_PROFILES.get(i);
            out.printf("%-10s %-8s %5d ms %8d %12d%n", profile.name, profile.zone, profile.workMicros / 1000, hosts.get(i).served(),
                    hosts.get(i).turnedAway());
        }
        out.println();
        out.printf("%-14s %8s %8s %8s%n", "class", "served", "refused", "failed");
        service.readCount(ServiceCount::byClass).forEach((name, count) ->
                out.printf("%-14s %8d %8d %8d%n", name, count.served(), count.refused(), count.failed()));
        out.println();
        out.printf("Answers: half within %.1f ms, 99%% within %.1f ms. Starts that ran twice: %d.%n",
                load.quantile(0.5) / 1e3, load.quantile(0.99) / 1e3, effects.twice());
        out.printf("The drained host's last request came %d ms after its line was saved.%n",
                Math.max(0, (hosts.get(hosts.size() - 1).lastAt() - drainedAtNanos) / 1_000_000));
        load.faults().forEach(out::println);
        return load.count(Of.UNANSWERED) + load.count(Of.FOREIGN) + effects.twice() == 0 ? 0 : 1;
    }

    private String nodeList(boolean drained) {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            HostProfile profile = HOST_PROFILES.get(i);
            nodes.add(GatewayFiles.node(profile.name, hosts.get(i).endpoint(), profile.zone,
                    drained && profile.name.equals("leaving") ? "state = \"drain\"\n" : ""));
        }
        return "# The hosts of the demo.\n" + GatewayFiles.list(nodes);
    }
}
