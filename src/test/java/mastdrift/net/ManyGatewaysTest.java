package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.sendLine;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Many gateways at once: their load on a failing discovery, and the shutdown of most of them. */
class ManyGatewaysTest {

    private static final int GATEWAYS = 14;
    // With the settings here: the shortest pause doubled three times, times one and a half, plus the initial spread.
    private static final long MAX_BACKOFF_MILLIS = 3_000;

    @TempDir
    private Path folder;

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Discovery answers 503 for four seconds and then recovers: calls are few but go on, and requests are served by the
     * known list meanwhile.
     */
    @Test
    void failingDiscoveryIsCalledSeldomAndItsListAppliedOnRecovery() throws Exception {
        Queue<Long> calls = new ConcurrentLinkedQueue<>();
        boolean[] recovered = new boolean[1];
        List<Node> nodes = new ArrayList<>();
        try (Server one = host("one"); Server two = host("two"); Server discovery = new Server(message -> {
            calls.add(nowMillis());
            synchronized (recovered) {
                if (!recovered[0]) {
                    write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
            }
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendLine(message.socket(), list(2, true, entry("s2", two.address(), "a", "in_service")));
        })) {
            try {
                for (int i = 0; i < GATEWAYS; i++) {
                    Path directory = Files.createDirectory(folder.resolve("n" + i));
                    nodes.add(new Node(environment(directory, discovery,
                            list(1, true, entry("s1", one.address(), "a", "in_service")),
                            SETTINGS.replace("\"balancers\":1", "\"balancers\":14"))));
                }
                long startMillis = nowMillis();
                long until = startMillis + 4_000;
                while (nowMillis() < until) {
                    Thread.sleep(20);
                }
                // Pauses of at least 0.125, 0.25, 0.5, 1 and 1 s follow the first call: no gateway can have called more
                // than 7 times by now.
                List<Long> failed = List.copyOf(calls);
                assertTrue(failed.size() <= 7 * GATEWAYS && failed.size() >= 3 * GATEWAYS, failed.size() + " calls");
                int maxCalls = 0;
                for (long from : failed) {
                    maxCalls = Math.max(maxCalls, (int) failed.stream().filter(at -> at >= from && at < from + 100)
                            .count());
                }
                assertTrue(maxCalls < 2 * GATEWAYS, "calls in a tenth of a second: " + maxCalls);
                for (Node node : nodes) {
                    assertEquals("one", node.ask(read(20_000)).text(), "served by the known list");
                }
                synchronized (recovered) {
                    recovered[0] = true;
                }
                long limit = nowMillis() + MAX_BACKOFF_MILLIS + 2_000;
                for (Node node : nodes) {
                    while (!node.gateway.firstListReceived().isDone()) {
                        assertTrue(nowMillis() < limit, node.log.toString(StandardCharsets.UTF_8));
                        Thread.sleep(10);
                    }
                    assertEquals("two", node.ask(read(20_000)).text());
                }
            } finally {
                for (Node node : nodes) {
                    node.close();
                }
            }
        }
    }

    private Process startGateway(String name, Server discovery, Server host) throws Exception {
        Path directory = Files.createDirectory(folder.resolve(name));
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp",
                Loopback.classPath(), "mastdrift.net.Main");
        builder.environment().keySet().removeIf(variable -> variable.startsWith("NODE_"));
        builder.environment().putAll(environment(directory, discovery,
                list(1, true, entry("s1", host.address(), "a", "in_service")),
                SETTINGS.replace("\"deadline\":60000000", "\"deadline\":2000000")
                        .replace("\"balancers\":1", "\"balancers\":4")));
        return builder.redirectErrorStream(true).redirectOutput(directory.resolve("log").toFile()).start();
    }

    private int awaitPort(String name) throws Exception {
        Loopback.eventually(() -> Files.readString(folder.resolve(name).resolve("log")).contains("listening on /"));
        return Integer.parseInt(Files.readString(folder.resolve(name).resolve("log"))
                .replaceFirst("(?s).*listening on /127.0.0.1:(\\d+).*", "$1"));
    }

    /**
     * Three of four gateways end at the same time, two by request and one killed: each request that they had accepted
     * runs at most once, and all requests accepted by the two are answered. A client whose connection breaks goes on
     * with a new request at the remaining gateway.
     */
    @Test
    void noEffectRunsTwiceWhenMostGatewaysEndAtOnce() throws Exception {
        Map<String, Integer> runsById = new ConcurrentHashMap<>();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        try (Server discovery = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendLine(message.socket(), list(1, false));
        }); Server host = new Server(message -> {
            runsById.merge(message.head().replaceFirst("(?s).*X-Trace-Id: (\\S+).*", "$1"), 1, Integer::sum);
            Thread.sleep(50);
            write(message.socket(), Loopback.answer("200 OK", "done"));
        })) {
            List<Process> gateways = new ArrayList<>();
            try {
                for (int i = 0; i < 4; i++) {
                    gateways.add(startGateway("g" + i, discovery, host));
                }
                int[] ports = {awaitPort("g0"), awaitPort("g1"), awaitPort("g2"), awaitPort("g3")};
                boolean[] stopped = new boolean[1];
                List<Thread> clients = new ArrayList<>();
                for (int c = 0; c < 24; c++) {
                    int client = c;
                    Thread thread = new Thread(() -> sendRequests(client, ports, stopped, runsById, unanswered,
                            served));
                    thread.start();
                    clients.add(thread);
                }
                Loopback.eventually(() -> served.get() > 200);
                gateways.get(0).destroy();
                gateways.get(1).destroy();
                gateways.get(2).destroyForcibly();
                int before = served.get();
                for (int i = 0; i < 3; i++) {
                    assertTrue(gateways.get(i).waitFor(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
                }
                Loopback.eventually(() -> served.get() > before + 200);
                synchronized (stopped) {
                    stopped[0] = true;
                }
                for (Thread thread : clients) {
                    thread.join();
                }
                assertEquals(0, gateways.get(0).exitValue());
                assertEquals(0, gateways.get(1).exitValue());
            } finally {
                gateways.forEach(Process::destroyForcibly);
            }
        }
        assertEquals(List.of(), runsById.entrySet().stream().filter(of -> of.getValue() > 1).toList());
        assertEquals(0, unanswered.get(), "accepted by gateways that were asked to end, and not answered");
    }

    /**
     * Sends requests that must not run twice, one after the other on a persistent connection; at the last gateway once
     * it breaks.
     */
    private static void sendRequests(int client, int[] ports, boolean[] stopped, Map<String, Integer> runsById,
            AtomicInteger unanswered, AtomicInteger served) {
        int gateway = client % ports.length;
        for (int number = 0; number < 10_000; gateway = ports.length - 1) {
            try (Socket socket = new Socket("127.0.0.1", ports[gateway])) {
                socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
                for (Message answer = null; number < 10_000; number++) {
                    synchronized (stopped) {
                        if (stopped[0]) {
                            return;
                        }
                    }
                    String id = client + "-" + number;
                    write(socket, Loopback.post("once", 2_000, "body").replace("X-Trace-Id: 9b1f", "X-Trace-Id: " + id)
                            .replace("7f3a", id));
                    answer = Loopback.read(socket);
                    if (answer == null) {
                        unanswered.addAndGet(gateway < 2 && runsById.containsKey(id) ? 1 : 0);
                        number++;
                        break;
                    }
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    unanswered.addAndGet(answer.status() == 504 && gateway < 2 ? 1 : 0);
                    if (answer.head().toLowerCase(java.util.Locale.ROOT).contains("connection: close")) {
                        number++;
                        break;
                    }
                }
            } catch (IOException e) {
                unanswered.addAndGet(gateway < 2 && runsById.containsKey(client + "-" + number) ? 1 : 0);
                number++;  // it may have run, so the client must not repeat it
            }
        }
    }
}
