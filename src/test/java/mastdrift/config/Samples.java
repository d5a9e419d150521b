package mastdrift.config;

import java.util.HashMap;
import java.util.Map;

/** A set of good files, in memory; tests change one of them by replacing text. */
public final class Samples {

    public static final String GATEWAY = """
            [gateway]
            name = "g"
            listen = "127.0.0.1:0"
            zone = "bilbao"
            zones = ["bilbao", "oviedo"]

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

            [[tenant]]
            name = "acme"
            requests_per_second = 100

            [pool.main]
            nodes = ["main.toml"]

            [pool.spare]
            nodes = ["spare.toml"]
            guards = { pool_drop_most = 0.25, zone_drop_most = 1 }

            [[route]]
            name = "reads"
            class = "session-read"
            path = "/api/x"
            header = { name = "X-Canary", value = "1" }
            pools = { main = 1, spare = 3 }
            fallback = "main"

            [[route]]
            name = "rest"
            pools = { main = 1 }

            [[override]]
            guard = "pool-drop"
            pool = "main"
            version = "0123abcd"
            # end
            """;

    private Samples() { }

    /** Six nodes in bilbao and four in oviedo, named after the list. */
    public static String nodes(String name) {
        return nodes(name, 6, 4);
    }

    /** A node list with this many nodes in each zone. */
    public static String nodes(String name, int bilbao, int oviedo) {
        StringBuilder text = new StringBuilder("# " + name + "\n");
        for (int i = 0; i < bilbao + oviedo; i++) {
            text.append("[[node]]\nuid = \"").append(name).append('-').append(i).append("\"\nendpoint = \"127.0.")
                    .append(Math.floorMod(name.hashCode(), 200)).append('.').append(i / 50_000 + 1).append(':')
                    .append(i % 50_000 + 1000).append("\"\nzone = \"").append(i < bilbao ? "bilbao" : "oviedo")
                    .append("\"\nweight = 1.5\n\n");
        }
        return text + "# end of " + (bilbao + oviedo) + " nodes\n";
    }

    /** The files by name. */
    public static Map<String, String> files() {
        return new HashMap<>(Map.of("gateway.toml", GATEWAY, "main.toml", nodes("main"), "spare.toml", nodes("spare")));
    }

    /** Reads a set of files in memory; a missing file is a problem. */
    public static ConfigurationReader.Result read(Map<String, String> files) {
        return ConfigurationReader.read("gateway.toml", (file, problems) -> {
            if (!files.containsKey(file)) {
                problems.add(new Problem(file, 0, 0, "expected a file, found none"));
            }
            return files.get(file);
        });
    }
}
