package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer.Repeat;
import mastdrift.engine.ServiceCount;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.serve.Service;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.LossyRelay;
import mastdrift.standin.StandInCharger;
import mastdrift.standin.StandInHost;
import mastdrift.standin.StandInRadiusServer;

/** RADIUS through failures: a burst behind a network that loses a twentieth, doubles a twentieth and holds back a twentieth of
    all datagrams, both ways on both sides, through three servers of which one is slowed ten times, one silent from the start
    and one drained half way; counted at chargers, ledger and servers. Then a flood of either protocol beside the other.
    {@code RadiusBurstMeasurement [SECONDS]}. */
public final class RadiusBurstMeasurement {

    private static final byte[] SECRET = "measured".getBytes(StandardCharsets.US_ASCII);
    private static final int SITES = 20;
    private static final double EACH = 100;
    private static final int QUIET_SECONDS = 8;
    private static final double QUIET = 200;
    private static final List<Mix.Part> CARDS = List.of(new Mix.Part("card", null, Repeat.SAFE, 1, 3_500_000, 0));

    private final GatewayFiles files;
    private final Effects effects = new Effects(60_000_000);
    private volatile long inForceAt;

    private RadiusBurstMeasurement(GatewayFiles files) {
        this.files = files;
    }

    /** Prints the figures. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 30;
        try (GatewayFiles files = GatewayFiles.temporary()) {
            RadiusBurstMeasurement measurement = new RadiusBurstMeasurement(files);
            files.save("secret", "measured\n");
            files.gateway(GatewayFiles.head("127.0.0.1:0", ""), GatewayFiles.CLASSES, GatewayFiles.RADIUS,
                    GatewayFiles.pool("hosts", ""), GatewayFiles.pool("cards", "secret_file = \"secret\"\n" + GatewayFiles.FREE),
                    GatewayFiles.route("cards", "card", "cards"), GatewayFiles.route("talks", "talk", "cards"),
                    GatewayFiles.route("accounts", "accounting", "cards"), GatewayFiles.route("reads", "session-read", "hosts"),
                    GatewayFiles.route("starts", "session-start", "hosts"));
            files.save("hosts.toml", GatewayFiles.list(List.of()));
            measurement.burst(seconds);
            for (String cpus : new String[] {null, "0"}) {
                measurement.floods(cpus);
            }
        }
    }

    private static String list(List<String> uids, List<String> endpoints, String drained) {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < uids.size(); i++) {
            nodes.add(GatewayFiles.node(uids.get(i), endpoints.get(i), "bilbao",
                    uids.get(i).equals(drained) ? "state = \"drain\"\n" : ""));
        }
        return GatewayFiles.list(nodes);
    }

    private Service serve() {
        return Service.start(files.gateway(), new PrintStream(OutputStream.nullOutputStream(), true,
                StandardCharsets.UTF_8) {
            @Override
            public void println(String line) {
                if (line.startsWith("in force")) {
                    inForceAt = System.nanoTime();
                }
            }
        });
    }

    private static String endpoint(InetSocketAddress at) {
        return "127.0.0.1:" + at.getPort();
    }

    private void burst(int seconds) throws IOException, InterruptedException {
        List<StandInRadiusServer> servers = List.of(new StandInRadiusServer("fast", "all", effects, SECRET, 2_000),
                new StandInRadiusServer("slow", "all", effects, SECRET, 20_000),
                new StandInRadiusServer("leaving", "all", effects, SECRET, 2_000),
                new StandInRadiusServer("silent", "all", effects, SECRET, 0));
        servers.get(3).manner(StandInRadiusServer.Manner.SILENT);
        List<LossyRelay> relays = new ArrayList<>();
        List<String> uids = new ArrayList<>();
        List<String> endpoints = new ArrayList<>();
        for (StandInRadiusServer server : servers) {
            relays.add(new LossyRelay(new InetSocketAddress("127.0.0.1", server.port()), 0.05, relays.size()));
            uids.add(server.name());
            endpoints.add(endpoint(relays.get(relays.size() - 1).address()));
        }
        files.save("cards.toml", list(uids, endpoints, ""));
        List<StandInCharger> sites = new ArrayList<>();
        try (Service service = serve(); LossyRelay network = new LossyRelay(service.radiusAddresses().get(0), 0.05, 99)) {
            int each = (int) (EACH * seconds);
            for (int i = 0; i < SITES; i++) {
                sites.add(new StandInCharger(network.address(), SECRET, i, each, EACH, 700));
            }
            Thread.sleep(seconds * 500L);
            files.save("cards.toml", list(uids, endpoints, "leaving"));
            boolean all = true;
            for (StandInCharger site : sites) {
                all &= site.join(120_000);
            }
            Thread.sleep(5_000);  // for what is still out in the ledger
            long asked = sites.stream().mapToLong(StandInCharger::asked).sum();
            long answered = sites.stream().mapToLong(StandInCharger::answered).sum();
            System.out.printf("chargers: asked %d, answered %d, answers that were wrong %d, all in time %s%n", asked, answered,
                    sites.stream().mapToLong(StandInCharger::wrong).sum(), all);
            service.readCount(ServiceCount::byClass).forEach((name, of) -> System.out.printf(
                    "ledger: %s served %d, refused %d, failed %d%n", name, of.served(), of.refused(), of.failed()));
            for (StandInRadiusServer server : servers) {
                System.out.printf("server %s: ran %d%n", server.name(), server.runs());
            }
            System.out.printf("accounting effects that happened twice %d, repeats that the servers dropped %d%n",
                    effects.twice(), effects.dropped());
            System.out.printf("the drained server's last new request came %.1f ms after the change%n",
                    Math.max(0, (servers.get(2).lastAt() - inForceAt) / 1e6));
            System.out.printf("datagrams lost: %d towards chargers, %d towards servers%n", network.lost(),
                    relays.stream().mapToLong(LossyRelay::lost).sum());
        } finally {
            sites.forEach(StandInCharger::close);
            relays.forEach(LossyRelay::close);
            servers.forEach(StandInRadiusServer::close);
        }
    }

    /** What each protocol has served at a quiet rate, alone and beside a flood of the other, by a gateway of its own process on
        these processors. */
    private void floods(String cpus) throws IOException, InterruptedException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (StandInRadiusServer cards = new StandInRadiusServer("one", "one", effects, SECRET, 1_000);
                StandInHost host = new StandInHost("h", "bilbao", effects, loop, 1_000, 64)) {
            files.save("cards.toml", list(List.of("one"), List.of(cards.endpoint()), ""));
            files.save("hosts.toml", list(List.of("h"), List.of(host.endpoint()), ""));
            try (GatewayProcess gateway = GatewayProcess.serve(cpus, files.gateway(), 2)) {
                LoadRun.start(LoadPlan.closed(gateway.http(), 16, 5, 1_400)).join();
                LoadRun.start(LoadPlan.closed(gateway.radius(), 16, 5, 1_400).with(CARDS).radius(SECRET)).join();
                LoadPlan quietCards = LoadPlan.open(gateway.radius(), QUIET, QUIET_SECONDS, 2, 3_500).with(CARDS).radius(SECRET);
                LoadPlan quietHttp = LoadPlan.open(gateway.http(), QUIET, QUIET_SECONDS, 64, 1_400);
                LoadResult cardsAlone = LoadRun.start(quietCards.seeded(2)).join();
                LoadResult httpAlone = LoadRun.start(quietHttp.seeded(3)).join();
                LoadResult cardsBeside;
                long httpFlooded;
                try (LoadRun flood = LoadRun.start(LoadPlan.closed(gateway.http(), 64, 60, 1_400).seeded(4))) {
                    cardsBeside = LoadRun.start(quietCards.seeded(5)).join();
                    httpFlooded = flood.count(Of.SERVED);
                }
                LoadResult httpBeside;
                long cardsFlooded;
                try (LoadRun flood = LoadRun.start(LoadPlan.closed(gateway.radius(), 64, 60, 1_400).with(CARDS).radius(SECRET)
                        .seeded(6))) {
                    httpBeside = LoadRun.start(quietHttp.seeded(7)).join();
                    cardsFlooded = flood.count(Of.SERVED);
                }
                System.out.printf("gateway on %s, %.0f a second for %d s: cards served alone %s, beside a flood of HTTP (%d served) "
                        + "%s%n", cpus == null ? "any core" : "one core", QUIET, QUIET_SECONDS, words(cardsAlone), httpFlooded,
                        words(cardsBeside));
                System.out.printf("HTTP likewise: alone %s, beside a flood of RADIUS (%d answered) %s%n", words(httpAlone),
                        cardsFlooded, words(httpBeside));
            }
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static String words(LoadResult result) {
        return String.format("%d (refused %d, p99 %.1f ms%s)", result.count(Of.SERVED), result.count(Of.REFUSED),
                result.quantile(0.99) / 1e3, result.faults().isEmpty() ? "" : ", does not count: " + result.faults());
    }
}
