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

/** Settings of one customer's deployment hold at its gateways alone: the same events, in turns, at gateways of different settings in one process, one of
    them rehearsed before, are answered as each one's settings say. */
class SettingsBleedTest {

    @TempDir
    private Path folder;

    /** A deployment: what it replaces in the settings, its class for a safe request, its tenant, and what a request that every host turns away gets. */
    private record Deployment(String name, String settings, String safe, String tenant, int attempts, long deadline) { }

    private static final List<Deployment> DEPLOYMENTS = List.of(
            new Deployment("few", SETTINGS.replace("\"max_attempts\":4", "\"max_attempts\":2").replace("\"name\":\"read\"", "\"name\":\"peek\"")
                    .replace("\"name\":\"acme\"", "\"name\":\"port\"").replace("\"cancel\":true", "\"cancel\":false")
                    .replace("\"parallel_tries\":true", "\"parallel_tries\":false").replace("\"deadline\":60000000", "\"deadline\":300000")
                    .replace("\"target\":10000000", "\"target\":120000"), "peek", "port", 2, 300),
            new Deployment("many", SETTINGS.replace("\"max_attempts\":4", "\"max_attempts\":8").replace("\"name\":\"read\"", "\"name\":\"view\"")
                    .replace("\"name\":\"acme\"", "\"name\":\"vigo\"").replace("\"deadline\":60000000", "\"deadline\":6000000").replace("\"target\":10000000", "\"target\":1500000")
                    .replace("\"registry_mode\":\"on_request\"", "\"registry_mode\":\"pushed\""), "view", "vigo", 8, 6_000),
            new Deployment("usual", SETTINGS, "read", "acme", 4, 60_000));

    private static String request(String type, String tenant, String id, int millis) {
        return Loopback.read(millis).replace("X-Qos: read", "X-Qos: " + type).replace("acme", tenant).replace("9b1f", id);
    }

    @Test
    void eachGatewayKeepsToItsOwnSettings() throws Exception {
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
                Config config = Config.read(environment(own, discovery, list(1, true, entries), deployment.settings));
                if (nodes.isEmpty()) {  // what a rehearsal leaves behind would be the next one's to find
                    Main.rehearse(config, TimedEventLoop.start(), line -> { });
                }
                nodes.add(new Node(environment(own, discovery, list(1, true, entries), deployment.settings)));
            }
            for (int round = 0; round < 2; round++) {
                for (int at = 0; at < nodes.size(); at++) {
                    Deployment mine = DEPLOYMENTS.get(at);
                    String id = mine.name + round;
                    if (round == 0) {  // by the second its hosts are known to be full
                        assertEquals(503, nodes.get(at).ask(request(mine.safe, mine.tenant, id, 60_000)).status(), mine.name);
                        long tries = hosts.stream().flatMap(host -> host.received.stream()).filter(m -> m.header("X-Trace-Id").equals(id)).count();
                        assertEquals(mine.attempts, tries, "attempts by the settings of " + mine.name);
                    }
                    for (Deployment other : DEPLOYMENTS) {
                        boolean own = other == mine;
                        assertTrue(own || nodes.get(at).ask(request(other.safe, mine.tenant, id, 60_000)).status() == 400, "another's class");
                        assertTrue(own || nodes.get(at).ask(request(mine.safe, other.tenant, id, 60_000)).status() == 400, "another's tenant");
                    }
                }
            }
            // The first one's deadline ends a request that the others would still wait for.
            Message late = nodes.get(0).ask(request("peek", "port", "hang", 60_000));
            assertTrue(late.status() >= 500, late.head());
            List<Message> told = hosts.stream().flatMap(host -> host.received.stream()).filter(m -> m.header("X-Trace-Id").equals("hang")).toList();
            assertEquals(1, told.size());
            assertTrue(Long.parseLong(told.get(0).header("X-Expires-In-Ms")) <= DEPLOYMENTS.get(0).deadline, told.get(0).head());
        } finally {
            for (Node node : nodes) {
                node.close();
            }
            for (Server host : hosts) {
                host.close();
            }
        }
    }

    /** Nothing that the platform's gateway is made of keeps what changes in a class: static fields are final, and hold no collection or array that could. */
    @Test
    void nothingIsKeptInClasses() throws Exception {
        List<String> kept = new ArrayList<>();
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
                            kept.add(name + "." + field.getName());
                        }
                    }
                }
            }
        }
        assertEquals(List.of(), kept);
    }
}
