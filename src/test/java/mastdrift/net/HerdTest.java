package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.tell;
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
class HerdTest {

    private static final int GATEWAYS = 14;
    // With the settings here: the shortest pause doubled three times, times one and a half, plus the initial spread.
    private static final long LONGEST_PAUSE_MILLIS = 3_000;

    @TempDir
    private Path folder;

    private static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /**
     * Discovery answers 503 for four seconds and then recovers: calls are few but go on, and requests are served by the
     * known list meanwhile.
     */
    @Test
    void aDiscoveryThatFailsIsAskedSeldomAndHeardOnceItIsBack() throws Exception {
        Queue<Long> calls = new ConcurrentLinkedQueue<>();
        boolean[] back = new boolean[1];
        List<Node> nodes = new ArrayList<>();
        try (Server one = host("one"); Server two = host("two"); Server discovery = new Server(message -> {
            calls.add(millis());
            synchronized (back) {
                if (!back[0]) {
                    write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    return;
                }
            }
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            tell(message.socket(), list(2, true, entry("s2", two.address(), "a", "in_service")));
        })) {
            try {
                for (int i = 0; i < GATEWAYS; i++) {
                    Path own = Files.createDirectory(folder.resolve("n" + i));
                    nodes.add(new Node(environment(own, discovery, list(1, true, entry("s1", one.address(), "a", "in_service")),
                            SETTINGS.replace("\"balancers\":1", "\"balancers\":14"))));
                }
                long began = millis();
                long until = began + 4_000;
                while (millis() < until) {
                    Thread.sleep(20);
                }
                // Pauses of at least 0.125, 0.25, 0.5, 1 and 1 s follow the first call: no gateway can have called more
                // than 7 times by now.
                List<Long> failed = List.copyOf(calls);
                assertTrue(failed.size() <= 7 * GATEWAYS && failed.size() >= 3 * GATEWAYS, failed.size() + " calls");
                int most = 0;
                for (long from : failed) {
                    most = Math.max(most, (int) failed.stream().filter(at -> at >= from && at < from + 100).count());
                }
                assertTrue(most < 2 * GATEWAYS, "calls in a tenth of a second: " + most);
                for (Node node : nodes) {
                    assertEquals("one", node.ask(read(20_000)).text(), "served by the known list");
                }
                synchronized (back) {
                    back[0] = true;
                }
                long limit = millis() + LONGEST_PAUSE_MILLIS + 2_000;
                for (Node node : nodes) {
                    while (!node.gateway.told().isDone()) {
                        assertTrue(millis() < limit, node.log.toString(StandardCharsets.UTF_8));
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

    private Process start(String name, Server discovery, Server host) throws Exception {
        Path own = Files.createDirectory(folder.resolve(name));
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp", Loopback.classPath(), "mastdrift.net.Main");
        builder.environment().keySet().removeIf(variable -> variable.startsWith("NODE_"));
        builder.environment().putAll(environment(own, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")),
                SETTINGS.replace("\"deadline\":60000000", "\"deadline\":2000000").replace("\"balancers\":1", "\"balancers\":4")));
        return builder.redirectErrorStream(true).redirectOutput(own.resolve("log").toFile()).start();
    }

    private int port(String name) throws Exception {
        Loopback.eventually(() -> Files.readString(folder.resolve(name).resolve("log")).contains("listening on /"));
        return Integer.parseInt(Files.readString(folder.resolve(name).resolve("log")).replaceFirst("(?s).*listening on /127.0.0.1:(\\d+).*", "$1"));
    }

    /**
     * Three of four gateways end at the same time, two by request and one killed: each request that they had accepted
     * runs at most once, and all requests accepted by the two are answered. A client whose connection breaks goes on
     * with a new request at the remaining gateway.
     */
    @Test
    void mostGatewaysEndAtOnceAndNoEffectRunsTwice() throws Exception {
        Map<String, Integer> ran = new ConcurrentHashMap<>();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        try (Server discovery = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            tell(message.socket(), list(1, false));
        }); Server host = new Server(message -> {
            ran.merge(message.head().replaceFirst("(?s).*X-Trace-Id: (\\S+).*", "$1"), 1, Integer::sum);
            Thread.sleep(50);
            write(message.socket(), Loopback.answer("200 OK", "done"));
        })) {
            List<Process> gateways = new ArrayList<>();
            try {
                for (int i = 0; i < 4; i++) {
                    gateways.add(start("g" + i, discovery, host));
                }
                int[] ports = {port("g0"), port("g1"), port("g2"), port("g3")};
                boolean[] over = new boolean[1];
                List<Thread> clients = new ArrayList<>();
                for (int c = 0; c < 24; c++) {
                    int client = c;
                    Thread thread = new Thread(() -> ask(client, ports, over, ran, unanswered, served));
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
                synchronized (over) {
                    over[0] = true;
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
        assertEquals(List.of(), ran.entrySet().stream().filter(of -> of.getValue() > 1).toList());
        assertEquals(0, unanswered.get(), "accepted by gateways that were asked to end, and not answered");
    }

    /**
     * Sends requests that must not run twice, one after the other on a persistent connection; at the last gateway once
     * it breaks.
     */
    private static void ask(int client, int[] ports, boolean[] over, Map<String, Integer> ran, AtomicInteger unanswered,
            AtomicInteger served) {
        int at = client % ports.length;
        for (int number = 0; number < 10_000; at = ports.length - 1) {
            try (Socket socket = new Socket("127.0.0.1", ports[at])) {
                socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
                for (Message answer = null; number < 10_000; number++) {
                    synchronized (over) {
                        if (over[0]) {
                            return;
                        }
                    }
                    String id = client + "-" + number;
                    write(socket, Loopback.post("once", 2_000, "body").replace("X-Trace-Id: 9b1f", "X-Trace-Id: " + id).replace("7f3a", id));
                    answer = Loopback.read(socket);
                    if (answer == null) {
                        unanswered.addAndGet(at < 2 && ran.containsKey(id) ? 1 : 0);
                        number++;
                        break;
                    }
                    served.addAndGet(answer.status() == 200 ? 1 : 0);
                    unanswered.addAndGet(answer.status() == 504 && at < 2 ? 1 : 0);
                    if (answer.head().toLowerCase(java.util.Locale.ROOT).contains("connection: close")) {
                        number++;
                        break;
                    }
                }
            } catch (IOException e) {
                unanswered.addAndGet(at < 2 && ran.containsKey(client + "-" + number) ? 1 : 0);
                number++;  // it may have run, so the client must not repeat it
            }
        }
    }
}
