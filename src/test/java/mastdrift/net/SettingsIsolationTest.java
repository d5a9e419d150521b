package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Settings of one customer's deployment apply to its gateways alone: gateways with different settings in one process,
 * one of which was warmed up before, each answer the same requests by their own settings.
 */
class SettingsIsolationTest {

    @TempDir
    private Path folder;

    /**
     * A deployment: its settings, its class for a safe request, its tenant, how often a request that every host sheds
     * is attempted, and its deadline in milliseconds.
     */
    private record Deployment(String name, String settings, String safeClass, String tenant, int maxAttempts,
            long deadlineMillis) { }

    private static final List<Deployment> DEPLOYMENTS = List.of(
            new Deployment("few", SETTINGS.replace("\"max_attempts\":4", "\"max_attempts\":2").replace("\"name\":\"read\"", "\"name\":\"peek\"")
                    .replace("\"name\":\"acme\"", "\"name\":\"port\"").replace("\"cancel\":true", "\"cancel\":false")
                    .replace("\"parallel_tries\":true", "\"parallel_tries\":false").replace("\"deadline\":60000000", "\"deadline\":300000")
                    .replace("\"target\":10000000", "\"target\":120000"), "peek", "port", 2, 300),
            new Deployment("many", SETTINGS.replace("\"max_attempts\":4", "\"max_attempts\":8").replace("\"name\":\"read\"", "\"name\":\"view\"")
                    .replace("\"name\":\"acme\"", "\"name\":\"vigo\"").replace("\"deadline\":60000000", "\"deadline\":6000000").replace("\"target\":10000000", "\"target\":1500000")
                    .replace("\"registry_mode\":\"on_request\"", "\"registry_mode\":\"pushed\""), "view", "vigo", 8, 6_000),
            new Deployment("usual", SETTINGS, "read", "acme", 4, 60_000));

    private static String request(String requestClass, String tenant, String id, int millis) {
        return Loopback.read(millis).replace("X-Qos: read", "X-Qos: " + requestClass).replace("acme", tenant)
                .replace("9b1f", id);
    }

    @Test
    void eachGatewayFollowsItsOwnSettings() throws Exception {
        List<Server> hosts = new ArrayList<>();
        List<Node> nodes = new ArrayList<>();
        try (Server discovery = discovery()) {
            for (int i = 0; i < 10; i++) {
                hosts.add(new Server(message -> {
                    if (message.line().startsWith("GET") && !message.header("X-Trace-Id").startsWith("hang")) {
                        write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
                    }
                }));
            }
            String[] entries = new String[hosts.size()];
            for (int i = 0; i < entries.length; i++) {
                entries[i] = entry("s" + i, hosts.get(i).address(), "a", "in_service");
            }
            for (Deployment deployment : DEPLOYMENTS) {
                Path own = Files.createDirectory(folder.resolve(deployment.name));
                GatewayConfig config = GatewayConfig.read(environment(own, discovery, list(1, true, entries),
                        deployment.settings));
                if (nodes.isEmpty()) {  // state left behind by a warm-up would affect the next gateway
                    Main.warmUp(config, TimedEventLoop.start(), line -> { });
                }
                nodes.add(new Node(environment(own, discovery, list(1, true, entries), deployment.settings)));
            }
            for (int round = 0; round < 2; round++) {
                for (int index = 0; index < nodes.size(); index++) {
                    Deployment current = DEPLOYMENTS.get(index);
                    String id = current.name + round;
                    if (round == 0) {  // in the second round its hosts are known to be full
                        assertEquals(503, nodes.get(index).ask(request(current.safeClass, current.tenant, id, 60_000))
                                .status(), current.name);
                        long attempts = hosts.stream().flatMap(host -> host.received.stream())
                                .filter(m -> m.header("X-Trace-Id").equals(id)).count();
                        assertEquals(current.maxAttempts, attempts, "attempts by the settings of " + current.name);
                    }
                    for (Deployment other : DEPLOYMENTS) {
                        boolean own = other == current;
                        assertTrue(own || nodes.get(index).ask(request(other.safeClass, current.tenant, id, 60_000))
                                .status() == 400, "class of another deployment");
                        assertTrue(own || nodes.get(index).ask(request(current.safeClass, other.tenant, id, 60_000))
                                .status() == 400, "tenant of another deployment");
                    }
                }
            }
            // The first deployment's deadline ends a request that the others would still wait for.
            Message late = nodes.get(0).ask(request("peek", "port", "hang", 60_000));
            assertTrue(late.status() >= 500, late.head());
            List<Message> received = hosts.stream().flatMap(host -> host.received.stream())
                    .filter(m -> m.header("X-Trace-Id").equals("hang")).toList();
            assertEquals(1, received.size());
            assertTrue(Long.parseLong(received.get(0).header("X-Expires-In-Ms")) <= DEPLOYMENTS.get(0).deadlineMillis,
                    received.get(0).head());
        } finally {
            for (Node node : nodes) {
                node.close();
            }
            for (Server host : hosts) {
                host.close();
            }
        }
    }

    /**
     * No class of the platform's gateway holds mutable static state: static fields are final, and none is a mutable
     * collection.
     */
    @Test
    void gatewayClassesHoldNoMutableState() throws Exception {
        List<String> mutable = new ArrayList<>();
        for (String folder : List.of("mastdrift", "mastdrift/net", "mastdrift/engine", "mastdrift/limits", "mastdrift/lateness", "mastdrift/membership")) {
            try (Stream<Path> files = Files.list(Path.of("target/classes", folder))) {
                for (Path file : files.filter(each -> each.toString().endsWith(".class") && !each.endsWith("package-info.class")).toList()) {
                    String name = folder.replace('/', '.') + "." + file.getFileName().toString().replace(".class", "");
                    for (Field field : Class.forName(name, false, getClass().getClassLoader()).getDeclaredFields()) {
                        if (!Modifier.isStatic(field.getModifiers()) || field.isSynthetic()) {
                            continue;
                        }
                        field.setAccessible(true);
                        boolean collection = List.class.isAssignableFrom(field.getType()) || Set.class.isAssignableFrom(field.getType())
                                || Map.class.isAssignableFrom(field.getType());
                        if (!Modifier.isFinal(field.getModifiers())
                                || collection && !field.get(null).getClass().getName().startsWith("java.util.ImmutableCollections")) {
                            mutable.add(name + "." + field.getName());
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), mutable);
    }
}
