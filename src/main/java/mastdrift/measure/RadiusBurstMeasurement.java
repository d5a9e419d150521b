package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.engine.ServiceCount;
import mastdrift.serve.Service;
import mastdrift.standin.Effects;
import mastdrift.standin.Load;
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
    private static final String GATEWAY = """
            [gateway]
            listen = "127.0.0.1:0"
            zone = "bilbao"
            zones = ["bilbao"]

            [[class]]
            name = "session-read"
            effect = "safe"
            aim = "600ms"
            deadline = "2500ms"

            [[class]]
            name = "session-start"
            effect = "keyed"
            group = "zone"
            dedup_window = "1500ms"
            aim = "600ms"
            deadline = "1500ms"

            [[class]]
            name = "card"
            effect = "safe"
            aim = "1s"
            deadline = "4s"

            [[class]]
            name = "talk"
            effect = "unsafe"
            aim = "1s"
            deadline = "4s"

            [[class]]
            name = "accounting"
            effect = "keyed"
            group = "all"
            dedup_window = "60s"
            aim = "1s"
            deadline = "4s"

            [[radius]]
            name = "chargers"
            listen = "127.0.0.1:0"
            access_class = "card"
            conversation_class = "talk"
            accounting_class = "accounting"

            [[radius.client]]
            name = "site"
            network = "127.0.0.0/8"
            secret_file = "secret"

            [pool.hosts]
            nodes = ["hosts.toml"]

            [pool.cards]
            nodes = ["cards.toml"]
            secret_file = "secret"
            guards = { pool_drop_most = 1, zone_drop_most = 1 }

            [[route]]
            name = "cards"
            class = "card"
            pools = { cards = 1 }

            [[route]]
            name = "talks"
            class = "talk"
            pools = { cards = 1 }

            [[route]]
            name = "accounts"
            class = "accounting"
            pools = { cards = 1 }

            [[route]]
            name = "reads"
            class = "session-read"
            pools = { hosts = 1 }

            [[route]]
            name = "starts"
            class = "session-start"
            pools = { hosts = 1 }
            # end
            """;

    private final Path folder;
    private final Effects effects = new Effects(60_000_000);
    private volatile long inForceAt;

    private RadiusBurstMeasurement(Path folder) {
        this.folder = folder;
    }

    /** Prints the figures. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 30;
        Path folder = Files.createTempDirectory("mastdrift-measure");
        try {
            RadiusBurstMeasurement measurement = new RadiusBurstMeasurement(folder);
            Files.writeString(folder.resolve("secret"), "measured\n");
            Files.writeString(folder.resolve("gateway.toml"), GATEWAY);
            measurement.save("hosts.toml", "# end of 0 nodes\n");
            measurement.burst(seconds);
            measurement.floods();
        } finally {
            for (String file : List.of("secret", "gateway.toml", "hosts.toml", "cards.toml")) {
                Files.deleteIfExists(folder.resolve(file));
            }
            Files.delete(folder);
        }
    }

    private void save(String name, String text) throws IOException {
        Path aside = folder.resolve(name + ".new");
        Files.writeString(aside, text);
        Files.move(aside, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static String list(List<String> uids, List<String> endpoints, String drained) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < uids.size(); i++) {
            text.append("[[node]]\nuid = \"").append(uids.get(i)).append("\"\nendpoint = \"").append(endpoints.get(i))
                    .append("\"\nzone = \"bilbao\"\n").append(uids.get(i).equals(drained) ? "state = \"drain\"\n" : "");
        }
        return text + "# end of " + uids.size() + " nodes\n";
    }

    private Service serve() {
        return Service.start(folder.resolve("gateway.toml"), new PrintStream(OutputStream.nullOutputStream(), true,
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
        save("cards.toml", list(uids, endpoints, ""));
        List<StandInCharger> sites = new ArrayList<>();
        try (Service service = serve(); LossyRelay network = new LossyRelay(service.radiusAddresses().get(0), 0.05, 99)) {
            int each = (int) (EACH * seconds);
            for (int i = 0; i < SITES; i++) {
                sites.add(new StandInCharger(network.address(), SECRET, i, each, EACH, 700));
            }
            Thread.sleep(seconds * 500L);
            save("cards.toml", list(uids, endpoints, "leaving"));
            boolean all = true;
            for (StandInCharger site : sites) {
                all &= site.join(120_000);
            }
            Thread.sleep(5_000);  // for what is still out in the ledger
            long asked = sites.stream().mapToLong(StandInCharger::asked).sum();
            long answered = sites.stream().mapToLong(StandInCharger::answered).sum();
            System.out.printf("chargers: asked %d, answered %d, answers that were wrong %d, all in time %s%n", asked, answered,
                    sites.stream().mapToLong(StandInCharger::wrong).sum(), all);
            service.count(ServiceCount::classes).forEach((name, of) -> System.out.printf(
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

    /** What each protocol has served at a quiet rate, alone and beside a flood of the other. */
    private void floods() throws IOException, InterruptedException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (StandInRadiusServer cards = new StandInRadiusServer("one", "one", effects, SECRET, 1_000);
                StandInHost host = new StandInHost("h", "bilbao", effects, loop, 1_000, 64)) {
            save("cards.toml", list(List.of("one"), List.of(cards.endpoint()), ""));
            save("hosts.toml", list(List.of("h"), List.of(host.endpoint()), ""));
            try (Service service = serve()) {
                try (Load warm = new Load(service.address(), 16, 0, 1_400, 5);
                        StandInCharger site = charger(service, 1000, 3_000, 2_000)) {
                    warm.join();
                    site.join(10_000);
                }
                int quiet = (int) (QUIET * QUIET_SECONDS);
                long cardsAlone = cards(service, 1, quiet);
                long httpAlone = http(service);
                long cardsBeside;
                try (Load flood = new Load(service.address(), 64, 0, 1_400, 60)) {
                    cardsBeside = cards(service, 2, quiet);
                }
                long httpBeside;
                List<StandInCharger> flood = new ArrayList<>();
                for (int i = 0; i < 8; i++) {
                    flood.add(charger(service, 100 + i, 1_000_000, 20_000));
                }
                httpBeside = http(service);
                long flooded = flood.stream().mapToLong(StandInCharger::answered).sum();
                flood.forEach(StandInCharger::close);
                System.out.printf("cards served in %d s at %.0f a second: alone %d, beside a flood of HTTP %d (%.2f%%)%n",
                        QUIET_SECONDS, QUIET, cardsAlone, cardsBeside, 100.0 * cardsBeside / cardsAlone);
                System.out.printf("HTTP served likewise: alone %d, beside a flood of RADIUS (%d answered) %d (%.2f%%)%n",
                        httpAlone, flooded, httpBeside, 100.0 * httpBeside / httpAlone);
            }
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static StandInCharger charger(Service service, int number, int requests, double perSecond) throws IOException {
        return new StandInCharger(service.radiusAddresses().get(0), SECRET, number, requests, perSecond, 2_000);
    }

    private static long cards(Service service, int number, int requests) throws IOException, InterruptedException {
        try (StandInCharger site = charger(service, number, requests, QUIET)) {
            site.join((QUIET_SECONDS + 1) * 1000L);
            return site.answered();
        }
    }

    private static long http(Service service) throws InterruptedException {
        try (Load load = new Load(service.address(), 8, QUIET, 1_400, QUIET_SECONDS)) {
            load.join();
            return load.status(200);
        }
    }
}
