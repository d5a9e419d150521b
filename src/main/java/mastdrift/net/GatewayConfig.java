package mastdrift.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import mastdrift.Balancer.Settings;
import mastdrift.settings.ModuleSettingsReader;

/**
 * The configuration that a gateway starts with; reading an invalid one throws IllegalArgumentException with a message
 * of one line.
 */
record GatewayConfig(InetSocketAddress listen, InetSocketAddress discovery, int maxSockets, long maxMemoryBytes, HostList knownList,
        Settings settings) {

    /** Reads the file that {@code NODE_CONFIG} names; the other environment variables override what it says. */
    static GatewayConfig read(Map<String, String> environment) {
        Map<String, Object> root = readFile(environment);
        Map<String, String> facts = new HashMap<>();
        flatten("", root.get("settings"), facts);
        Settings settings;
        try {
            settings = new ModuleSettingsReader(facts).read(seed(text(root, "seed")));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: expected " + e.getMessage(), e);
        }
        return new GatewayConfig(parseAddress(environment.getOrDefault("NODE_LISTEN", text(root, "listen"))),
                parseAddress(environment.getOrDefault("NODE_DISCOVERY", text(root, "discovery"))),
                (int) limit(root, "sockets", Integer.MAX_VALUE), limit(root, "memory_mb", Long.MAX_VALUE >> 20) << 20,
                HostList.parse(root.get("known")), settings);
    }

    /** A limit that the platform sets; {@code maximum} if it sets none. */
    private static long limit(Map<String, Object> root, String name, long maximum) {
        return root.get("limits") instanceof Map<?, ?> limits && limits.get(name) instanceof Integer limit ? Math.min(limit, maximum)
                : maximum;
    }

    /** Reads discovery's address from the file again. */
    static InetSocketAddress discovery(Map<String, String> environment) {
        return parseAddress(text(readFile(environment), "discovery"));
    }

    static String text(Map<?, ?> object, String name) {
        return Objects.toString(object.get(name), "");
    }

    private static Map<String, Object> readFile(Map<String, String> environment) {
        String file = environment.get("NODE_CONFIG");
        if (file == null) {
            throw new IllegalArgumentException("NODE_CONFIG is not set");
        }
        try {
            return JSON.std.mapFrom(Files.readAllBytes(Path.of(file)));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not JSON: " + e.getOriginalMessage(), e);
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("can't read " + file + ": " + e, e);
        }
    }

    private static long seed(String hex) {
        try {
            return Long.parseUnsignedLong(hex, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a seed of up to 16 hex digits, not " + hex, e);
        }
    }

    /** Collects the values below a node by dotted paths, as on the simulator's wire, which {@link ModuleSettingsReader} reads. */
    private static void flatten(String path, Object node, Map<String, String> facts) {
        if (node instanceof Map<?, ?> object) {
            object.forEach((name, value) -> flatten(path.isEmpty() ? name.toString() : path + "." + name, value, facts));
        } else if (node instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "." + i, list.get(i), facts);
            }
            facts.put(path, list.stream().map(Objects::toString).collect(Collectors.joining(",")));
            facts.put(path + ".count", Integer.toString(list.size()));
        } else if (node != null) {
            facts.put(path, node.toString());
        }
    }

    static InetSocketAddress parseAddress(String text) {
        return Addresses.parse(text);
    }
}
