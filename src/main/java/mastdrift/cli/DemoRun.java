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

/** The demo: four stand-in hosts and a gateway that is driven by files, all on loopback. Half way, the file marks one host as
    drained. */
final class DemoRun {

    private static final int CLIENTS = 24;
    private static final double PER_SECOND = 400;
    private static final int EXPIRES_MILLIS = 1500;
    private static final long WINDOW = 1_500_000;
    private static final int LIVE_MILLIS = 250;
    private record Script(String name, String zone, long work, int slots) { }

    private static final List<Script> SCRIPTS = List.of(new Script("fast-1", "bilbao", 5_000, 4),
            new Script("fast-2", "oviedo", 5_000, 4), new Script("slow", "bilbao", 60_000, 4),
            new Script("leaving", "bilbao", 5_000, 4));

    private final String listen;
    private final int seconds;
    private final PrintWriter out;
    private final boolean live;
    private final List<StandInHost> hosts = new ArrayList<>();

    DemoRun(String listen, int seconds, PrintWriter out, boolean live) {
        this.listen = listen;
        this.seconds = seconds;
        this.out = out;
        this.live = live;
    }

    /** Plays it; returns the exit status: 0 where every request got one whole answer of its own. */
    int play() throws IOException, InterruptedException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Effects effects = new Effects(WINDOW);
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (GatewayFiles files = GatewayFiles.temporary()) {
            SCRIPTS.forEach(script -> hosts.add(
                    new StandInHost(script.name, script.zone, effects, loop, script.work, script.slots)));
            files.gateway(GatewayFiles.head(listen, "status_file = \"gateway.status\"\n"), GatewayFiles.CLASSES,
                    GatewayFiles.pool("nodes", ""));
            files.save("nodes.toml", nodes(false));
            try (Service service = Service.start(files.gateway(),
                    new PrintStream(log, true, StandardCharsets.UTF_8))) {
                return play(service, files, effects);
            } catch (IllegalArgumentException e) {
                out.println(e.getMessage());
                return 1;
            }
        } finally {
            hosts.forEach(StandInHost::close);
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private int play(Service service, GatewayFiles files, Effects effects) throws IOException, InterruptedException {
        String at = "http://127.0.0.1:" + service.address().getPort() + "/api";
        out.println("A gateway and four stand-in hosts, for " + seconds + " s, with " + (int) PER_SECOND
                + " requests a second of the demo's own. Its files: " + files.folder());
        out.println("Try meanwhile:");
        out.println("  curl -i -H 'X-Trace-Id: mine-1' -H 'X-Qos: session-read' -H 'X-Expires-In-Ms: 1500' " + at);
        long drainedAt = 0;
        try (LoadRun load = LoadRun.start(LoadPlan.open(service.address(), PER_SECOND, seconds, CLIENTS, EXPIRES_MILLIS))) {
            while (!load.paced()) {
                long passed = (long) (load.passed() * 1e3);
                if (drainedAt == 0 && passed >= seconds * 500L) {
                    files.save("nodes.toml", nodes(true));
                    drainedAt = System.nanoTime();
                    out.println((live ? "\r" : "") + "Half way: nodes.toml now says state = \"drain\" for the host leaving.");
                }
                live(load, passed);
                Thread.sleep(LIVE_MILLIS);
            }
            return table(service, load.join(), effects, drainedAt);
        }
    }

    private void live(LoadRun load, long passed) {
        if (live) {
            out.print("\r" + passed / 1000 + " s: " + load.count(Of.ASKED) + " asked, " + load.count(Of.SERVED) + " served, "
                    + load.count(Of.REFUSED) + " refused, " + load.failed() + " failed   ");
            out.flush();
        }
    }

    private int table(Service service, LoadResult load, Effects effects, long drainedAt) {
        out.println(live ? "\r" : "");
        out.printf("%-10s %-8s %8s %8s %12s%n", "host", "zone", "work", "served", "turned away");
        for (int i = 0; i < hosts.size(); i++) {
            Script script = SCRIPTS.get(i);
            out.printf("%-10s %-8s %5d ms %8d %12d%n", script.name, script.zone, script.work / 1000, hosts.get(i).served(),
                    hosts.get(i).turnedAway());
        }
        out.println();
        out.printf("%-14s %8s %8s %8s%n", "class", "served", "refused", "failed");
        service.readCount(ServiceCount::byClass).forEach((name, of) ->
                out.printf("%-14s %8d %8d %8d%n", name, of.served(), of.refused(), of.failed()));
        out.println();
        out.printf("Answers: half within %.1f ms, 99%% within %.1f ms. Starts that ran twice: %d.%n",
                load.quantile(0.5) / 1e3, load.quantile(0.99) / 1e3, effects.twice());
        out.printf("The drained host's last request came %d ms after its line was saved.%n",
                Math.max(0, (hosts.get(hosts.size() - 1).lastAt() - drainedAt) / 1_000_000));
        load.faults().forEach(out::println);
        return load.count(Of.UNANSWERED) + load.count(Of.FOREIGN) + effects.twice() == 0 ? 0 : 1;
    }

    private String nodes(boolean drained) {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < hosts.size(); i++) {
            Script script = SCRIPTS.get(i);
            nodes.add(GatewayFiles.node(script.name, hosts.get(i).endpoint(), script.zone,
                    drained && script.name.equals("leaving") ? "state = \"drain\"\n" : ""));
        }
        return "# The hosts of the demo.\n" + GatewayFiles.list(nodes);
    }
}
