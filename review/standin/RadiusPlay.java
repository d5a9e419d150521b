import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** A gateway that takes RADIUS, by files like deploy/gateway-radius.toml, with one pool of servers. */
final class RadiusPlay {

    static final byte[] SECRET = "a secret of the stand-ins".getBytes(StandardCharsets.UTF_8);

    private RadiusPlay() { }

    /** Starts it with the times of deploy/gateway-radius.toml, and servers by name and port. */
    static Kit.Program startGateway(Path folder, int httpPort, int radiusPort, Map<String, Integer> servers) throws IOException {
        return startGateway(folder, httpPort, radiusPort, "aim = \"1s\"\ndeadline = \"4s\"\ndedup_window = \"60s\"\n", servers);
    }

    /** Starts it by {@code serve}, the command that the page on RADIUS names; {@code accounting} has the times of that class. */
    static Kit.Program startGateway(Path folder, int httpPort, int radiusPort, String accounting, Map<String, Integer> servers) throws IOException {
        Files.write(folder.resolve("secret"), SECRET);
        StringBuilder nodes = new StringBuilder();
        servers.forEach((name, port) -> nodes.append("[[node]]\nuid = \"").append(name).append("\"\nendpoint = \"127.0.0.1:").append(port)
                .append("\"\nzone = \"bilbao\"\n\n"));
        Files.writeString(folder.resolve("nodes-cards.toml"), nodes + "# end of " + servers.size() + " nodes\n");
        Files.writeString(folder.resolve("gateway.toml"), "[gateway]\nname = \"gateway-a\"\nlisten = \"127.0.0.1:" + httpPort
                + "\"\nzone = \"bilbao\"\nzones = [\"bilbao\", \"oviedo\"]\n\n"
                + "[[class]]\nname = \"card\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"4s\"\n\n"
                + "[[class]]\nname = \"talk\"\neffect = \"unsafe\"\naim = \"1s\"\ndeadline = \"4s\"\n\n"
                + "[[class]]\nname = \"accounting\"\neffect = \"keyed\"\ngroup = \"all\"\n" + accounting + "\n"
                + "[[radius]]\nname = \"chargers\"\nlisten = \"127.0.0.1:" + radiusPort + "\"\naccess_class = \"card\"\n"
                + "conversation_class = \"talk\"\naccounting_class = \"accounting\"\n\n"
                + "[[radius.client]]\nname = \"site-bilbao\"\nnetwork = \"127.0.0.0/8\"\nsecret_file = \"secret\"\n\n"
                + "[pool.cards]\nnodes = [\"nodes-cards.toml\"]\nsecret_file = \"secret\"\n\n"
                + "[[route]]\nname = \"cards\"\nclass = \"card\"\npools = { cards = 1 }\n\n"
                + "[[route]]\nname = \"talks\"\nclass = \"talk\"\npools = { cards = 1 }\n\n"
                + "[[route]]\nname = \"accounts\"\nclass = \"accounting\"\npools = { cards = 1 }\n# end\n");
        return Kit.Program.start("exec java -jar target/mastdrift.jar serve --config " + folder.resolve("gateway.toml"), Map.of(),
                folder.resolve("gateway.log"));
    }
}
