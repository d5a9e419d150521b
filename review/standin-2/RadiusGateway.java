import java.nio.file.Path;

/** Files of a gateway that takes RADIUS, after deploy/gateway-radius.toml: two servers in one pool. */
final class RadiusGateway {

    static final String CLIENT_SECRET = "client-secret";
    static final String SERVER_SECRET = "server-secret";

    /** What differs from deploy/gateway-radius.toml. */
    record Settings(String cardDeadline, String talkDeadline, String accountingDeadline, String window, String kept) { }

    private RadiusGateway() { }

    /** Writes the files, starts the gateway and waits until it is ready; returns its RADIUS port. */
    static int start(CaseRun run, Settings settings, RadiusServer... servers) throws Exception {
        int httpPort = CaseRun.freePort();
        int radiusPort = CaseRun.freePort();
        Process process = run.startProgram("gateway", "serve", "--config", files(run, settings, httpPort, radiusPort, servers).toString());
        run.awaitReady(httpPort);
        if (!process.isAlive()) {
            throw new CaseRun.NotRun("the gateway ended");
        }
        return radiusPort;
    }

    static Path files(CaseRun run, Settings settings, int httpPort, int radiusPort, RadiusServer... servers) throws Exception {
        run.write("client.secret", CLIENT_SECRET);
        run.write("server.secret", SERVER_SECRET);
        StringBuilder nodes = new StringBuilder();
        for (int i = 0; i < servers.length; i++) {
            nodes.append("[[node]]\nuid = \"").append(servers[i].name).append("\"\nendpoint = \"127.0.0.1:").append(servers[i].port()).append("\"\nzone = \"")
                    .append(i % 2 == 0 ? "bilbao" : "oviedo").append("\"\n\n");
        }
        run.write("cards.toml", nodes + "# end of " + servers.length + " nodes\n");
        return run.write("gateway.toml", """
                [gateway]
                name = "gateway-a"
                listen = "127.0.0.1:%d"
                zone = "bilbao"
                zones = ["bilbao", "oviedo"]

                [[class]]
                name = "card"
                effect = "safe"
                aim = "1s"
                deadline = "%s"

                [[class]]
                name = "talk"
                effect = "unsafe"
                aim = "1s"
                deadline = "%s"

                [[class]]
                name = "accounting"
                effect = "keyed"
                group = "all"
                dedup_window = "%s"
                aim = "1s"
                deadline = "%s"

                [[radius]]
                name = "chargers"
                listen = "127.0.0.1:%d"
                access_class = "card"
                conversation_class = "talk"
                accounting_class = "accounting"
                kept = "%s"

                [[radius.client]]
                name = "site-bilbao"
                network = "127.0.0.0/8"
                secret_file = "client.secret"

                [pool.cards]
                nodes = ["cards.toml"]
                secret_file = "server.secret"

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
                # end
                """.formatted(httpPort, settings.cardDeadline, settings.talkDeadline, settings.window, settings.accountingDeadline, radiusPort, settings.kept));
    }
}
