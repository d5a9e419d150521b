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

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Fourteen gateways at once. */
class HerdTest {

    private static final int GATEWAYS = 14;
    // With the settings here: the least pause three times doubled, one and a half of it, and the first spread.
    private static final long LONGEST_PAUSE_MILLIS = 3_000;

    @TempDir
    private Path folder;

    private static long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Discovery answers 503 for four seconds and is back: calls are few and go on, what is known serves meanwhile. */
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
                // From 0.125 s on after the first, then 0.25, 0.5, 1, 1: no gateway can have called more than 7 times by now.
                List<Long> failed = List.copyOf(calls);
                assertTrue(failed.size() <= 7 * GATEWAYS && failed.size() >= 3 * GATEWAYS, failed.size() + " calls");
                int most = 0;
                for (long from : failed) {
                    most = Math.max(most, (int) failed.stream().filter(at -> at >= from && at < from + 100).count());
                }
                assertTrue(most < 2 * GATEWAYS, "calls in a tenth of a second: " + most);
                for (Node node : nodes) {
                    assertEquals("one", node.ask(read(20_000)).text(), "by the list that was known");
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
}
