package mastdrift.net;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import mastdrift.Balancer.Settings;
import mastdrift.wire.Facts;

/** What a gateway is told at its start; throws IllegalArgumentException with one plain line where it can't be read. */
record Config(InetSocketAddress listen, InetSocketAddress discovery, int sockets, HostList known, Settings settings) {

    static final ObjectMapper JSON = new ObjectMapper();

    /** Reads the file that {@code NODE_CONFIG} names; the other variables go before what it says. */
    static Config read(Map<String, String> environment) {
        JsonNode root = file(environment);
        Map<String, String> facts = new HashMap<>();
        flatten("", root.path("settings"), facts);
        Settings settings;
        try {
            settings = new Facts(facts).settings(seed(root.path("seed").asText()));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("settings: expected " + e.getMessage(), e);
        }
        return new Config(address(environment.getOrDefault("NODE_LISTEN", root.path("listen").asText())),
                address(environment.getOrDefault("NODE_DISCOVERY", root.path("discovery").asText())),
                root.path("limits").path("sockets").asInt(Integer.MAX_VALUE),
                HostList.parse(root.path("known")), settings);
    }

    /** Where the file says by now that discovery is. */
    static InetSocketAddress discovery(Map<String, String> environment) {
        return address(file(environment).path("discovery").asText());
    }

    private static JsonNode file(Map<String, String> environment) {
        String file = environment.get("NODE_CONFIG");
        if (file == null) {
            throw new IllegalArgumentException("NODE_CONFIG is not set");
        }
        try {
            return JSON.readTree(Files.readAllBytes(Path.of(file)));
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

    /** Paths as on the simulator's wire, which {@link Facts} reads. */
    private static void flatten(String path, JsonNode node, Map<String, String> facts) {
        if (node.isObject()) {
            node.properties().forEach(field -> flatten(
                    path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), facts));
        } else if (node.isArray()) {
            StringBuilder plain = new StringBuilder();
            for (int i = 0; i < node.size(); i++) {
                plain.append(i == 0 ? "" : ",").append(node.get(i).asText());
                flatten(path + "." + i, node.get(i), facts);
            }
            facts.put(path, plain.toString());
            facts.put(path + ".count", Integer.toString(node.size()));
        } else if (!node.isNull() && !node.isMissingNode()) {
            facts.put(path, node.asText());
        }
    }

    /** Of an address and port in digits: there are no names to look up. */
    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = NetUtil.createByteArrayFromIpAddressString(text.substring(0, Math.max(0, colon)));
        try {
            if (ip != null) {
                return new InetSocketAddress(InetAddress.getByAddress(ip),
                        Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new IllegalArgumentException("expected address:port, not " + text, e);
        }
        throw new IllegalArgumentException("expected address:port, not " + text);
    }
}
