package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.eventually;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Races around a change of the list: its format and fragmentation, the end of its watch, a silent agent, retries that
 * wait meanwhile.
 */
class WatchRaceTest {

    @TempDir
    private Path folder;

    private static String inService(String uid, Server host) {
        return entry(uid, host.address(), "a", "in_service");
    }

    private static void writeChunk(Socket watch, String text) throws IOException {
        synchronized (watch) {
            write(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    private static String log(Node node) {
        return node.log.toString(StandardCharsets.UTF_8);
    }

    private static String formatted(String list, String format) throws IOException {
        return switch (format) {
            case "pretty" -> JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(JSON.std.anyFrom(list));
            // one token a line without indentation
            case "lines" -> list.replace(",\"", ",\n\"").replace("[{", "[\n{").replace(",{", ",\n{");
            case "crlf" -> JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asString(JSON.std.anyFrom(list))
                    .replace("\n", "\r\n");
            default -> "    " + list;
        };
    }

    /** A list may be indented and span many lines on a watch too: full lists and changes, in fragments of any size. */
    @ParameterizedTest
    @CsvSource({"spaces,1000", "pretty,1000", "pretty,1", "lines,7", "crlf,3"})
    void indentedListIsApplied(String format, int fragmentSize) throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery, list(1, true, inService("s1", one)), SETTINGS))) {
            Message watch = await(discovery.received);
            // looks like the end or the start of a value, but is within a string
            String zoneWithBrackets = "a \\\" { [ \\\\ odd zone";
            String text = formatted(list(7, true, inService("s1", one),
                    entry("s2", two.address(), zoneWithBrackets, "in_service")), format).strip() + "\n\n"
                    + formatted(list(8, false, entry("s1", one.address(), "a", "terminating")), format).strip() + "\n";
            for (int i = 0; i < text.length(); i += fragmentSize) {
                writeChunk(watch.socket(), text.substring(i, Math.min(text.length(), i + fragmentSize)));
            }
            eventually(() -> log(node).contains("list 8: 1 changes"));
            assertTrue(log(node).contains("list 7: 2 hosts"), log(node));
            assertEquals("two", node.ask(read(20_000)).text());
            assertTrue(discovery.received.isEmpty() && !log(node).contains("failed"), log(node));
        }
    }

    /**
     * A change that is truncated within a string, between two tokens, or by the end of its watch is not applied, and
     * what follows is not taken for its rest: the list is requested again from the current version.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"string | line", "tokens | line", "string | end", "tokens | end"})
    void truncatedChangeIsNotApplied(String where, String then) throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery, list(1, true, inService("s1", one)), SETTINGS))) {
            Message watch = await(discovery.received);
            Loopback.sendLine(watch.socket(), list(7, true, inService("s1", one), inService("s2", two)));
            String change = list(8, false, entry("s1", one.address(), "a", "terminating"));
            int cut = where.equals("string") ? change.indexOf("endpoint") + 3 : change.indexOf("\"targets");
            writeChunk(watch.socket(), change.substring(0, cut));
            if ("end".equals(then)) {
                watch.socket().close();
            } else {
                writeChunk(watch.socket(), (where.equals("string") ? "\n" : "\n\n")
                        + list(9, false, entry("s2", two.address(), "a", "terminating")) + "\n");
            }
            Message next = await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", next.line());
            assertTrue(!log(node).contains("list 8") && !log(node).contains("list 9"), log(node));
        }
    }

    /** A change in the last bytes of a watch, which end with them, is applied. */
    @Test
    void changeInTheLastBytesOfAWatchIsApplied() throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery,
                        list(1, true, inService("s1", one), inService("s2", two)), SETTINGS))) {
            Message watch = await(discovery.received);
            String change = list(7, false, entry("s1", one.address(), "a", "terminating")) + "\n";
            synchronized (watch.socket()) {
                write(watch.socket(), Integer.toHexString(change.length()) + "\r\n" + change + "\r\n0\r\n\r\n");
                watch.socket().close();
            }
            assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", await(discovery.received).line());
            for (int i = 0; i < 10; i++) {
                assertEquals("two", node.ask(read(20_000)).text());
            }
        }
    }

    /**
     * An agent that is silent because its own source is down is called again with a short timeout each time; what it
     * sends once it answers is applied at once.
     */
    @Test
    void silentAgentIsCalledAgainSoon() throws Exception {
        String pushed = SETTINGS.replace("\"registry_mode\":\"on_request\"", "\"registry_mode\":\"pushed\"");
        try (Server agent = new Server(message -> { }); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, agent, list(1, true, inService("s1", one)), pushed))) {
            await(agent.received);
            long since = System.nanoTime();
            for (int calls = 0; calls < 4; calls++) {
                await(agent.received);
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
            // some 4.3 s; 19 s with the timeouts for a registry at which calls wait for their turn
            assertTrue(millis < 10_000, "four calls took " + millis + " ms");
            Socket last = agent.accepted.get(agent.accepted.size() - 1);
            write(last, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Loopback.sendLine(last, list(5, true, inService("s2", two)));
            eventually(() -> log(node).contains("list 5") || agent.received.poll() != null);
        }
    }

    /**
     * A drain arrives while an attempt is connecting, and while a request that another host refused waits for its
     * retry: after the grace neither host gets a request.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void retryIsNotSentToAHostThatDrainedWhileItWaited(boolean full) throws Exception {
        CountDownLatch drainSent = new CountDownLatch(1);
        try (Server discovery = discovery(); Server two = host("two");
                Server one = new Server(message -> {
                    drainSent.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    write(message.socket(),
                            "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
                });
                Node node = new Node(environment(folder, discovery, list(1, true, inService("s1", one)), SETTINGS))) {
            Message watch = await(discovery.received);
            Socket client = node.connect();
            write(client, read(20_000));
            await(one.received);
            Loopback.sendLine(watch.socket(), list(2, full, inService("s1", one), inService("s2", two)));
            Loopback.sendLine(watch.socket(), full ? list(3, true, inService("s1", one))
                    : list(3, false, entry("s2", two.address(), "a", "terminating")));
            eventually(() -> log(node).contains("list 3"));
            drainSent.countDown();
            assertEquals(503, Loopback.read(client).status());
            assertTrue(two.received.isEmpty());
        }
    }

    // ---- changes are received within 6 s, however calls end: DiscoveryCallSchedulerTest has the table of these cases

    /**
     * A watch goes silent after a line, and the next one is silent too: a third call is open before that one times out,
     * and what it receives is applied.
     */
    @Test
    void secondSilentWatchIsHedged() throws Exception {
        try (Server discovery = new Server(message -> { }); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery,
                        list(1, true, inService("s1", one), inService("s2", two)), SETTINGS))) {
            Socket first = await(discovery.received).socket();
            write(first, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Loopback.sendLine(first, list(5, true, inService("s1", one), inService("s2", two)));
            Socket second = await(discovery.received).socket();  // sends nothing
            Socket third = await(discovery.received).socket();
            assertTrue(!discovery.ended.contains(second), "the second call timed out before the third started");
            write(third, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Loopback.sendLine(third, list(6, false, entry("s1", one.address(), "a", "terminating")));
            eventually(() -> log(node).contains("list 6"));
            eventually(() -> discovery.ended.contains(second));  // the first call to receive a line closes the other
            assertTrue(!discovery.ended.contains(third), log(node));
            assertEquals("two", node.ask(read(20_000)).text());
        }
    }

    /**
     * Both open calls receive a line in one turn of the event loop; the call that is read first closes the other, whose
     * line is unread then. That line counts as delivered as well: newer content is applied, older content is no error,
     * and the call that goes on is read.
     */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"0, 5 | 5 | true", "0, 5 | 5 | false", "5, 6 | 6 | true", "6, 5 | 6 | true",
            "5, 5 | 5 | false"})
    void unreadInputOfACallClosedForAnotherIsApplied(String versions, long newest,
            boolean hedgeFirst) throws Exception {
        try (Server discovery = new Server(message -> { }); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery,
                        list(1, true, inService("s1", one), inService("s2", two)), SETTINGS))) {
            Socket remaining = sendOnBothCalls(node, discovery, versions, newest, hedgeFirst,
                    entry("s1", one.address(), "a", "terminating"));
            assertEquals("two", node.ask(read(20_000)).text());
            Loopback.sendLine(remaining, list(9, false, entry("s3", one.address(), "a", "in_service")));
            eventually(() -> log(node).contains("list 9"));
            assertTrue(!log(node).contains("failed"), log(node));
        }
    }

    /**
     * A list older than what another call has delivered is skipped once: a registry that was rolled back is accepted as
     * usual, when the next call receives the same.
     */
    @Test
    void rolledBackRegistryIsAcceptedAfterACallWasClosedForAnother() throws Exception {
        try (Server discovery = new Server(message -> { }); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery,
                        list(1, true, inService("s1", one), inService("s2", two)), SETTINGS))) {
            Socket remaining = sendOnBothCalls(node, discovery, "5, 6", 6, true, inService("s1", one));
            Loopback.sendLine(remaining, list(4, true, inService("s2", two)));
            Loopback.sendLine(remaining, list(4, true, inService("s2", two)));
            Socket next = await(discovery.received).socket();
            write(next, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            Loopback.sendLine(next, list(4, true, inService("s2", two)));
            eventually(() -> log(node).contains("list 4"));
            assertEquals("two", node.ask(read(20_000)).text());
        }
    }

    /**
     * Sends a line on both calls of a starting gateway in one turn of its event loop, each with a version of the same
     * change (an empty line for 0); returns the call that goes on.
     */
    private static Socket sendOnBothCalls(Node node, Server discovery, String versions, long newest, boolean hedgeFirst,
            String change) throws Exception {
        String[] versionOfEach = versions.split(", ");
        Socket call = await(discovery.received).socket();
        Socket hedge = await(discovery.received).socket();
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        Future<?> turn = node.loop.submit(() -> {
            blocked.countDown();
            return written.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
        });
        blocked.await();
        List<Socket> order = hedgeFirst ? List.of(hedge, call) : List.of(call, hedge);
        for (int i = 0; i < 2; i++) {
            int rev = Integer.parseInt(versionOfEach[i]);
            write(order.get(i), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeChunk(order.get(i), rev == 0 ? "\n" : list(rev, false, change) + "\n");
        }
        written.countDown();
        assertEquals(true, turn.get());
        eventually(() -> log(node).contains("list " + newest));
        eventually(() -> discovery.ended.contains(call) || discovery.ended.contains(hedge));
        return discovery.ended.contains(call) ? hedge : call;
    }

    private static int pendingConnects(int port) throws IOException {
        String to = String.format(":%04X 02 ", port);  // SYN_SENT
        return (int) Stream.concat(Files.readAllLines(Path.of("/proc/net/tcp")).stream(),
                Files.readAllLines(Path.of("/proc/net/tcp6")).stream())
                .filter(line -> line.contains(to)).count();
    }

    /**
     * A connection to discovery never comes up: another one is started beside it, and a list on the one that does come
     * up is applied.
     */
    @Test
    void connectThatNeverCompletesIsHedged() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1,
                InetAddress.getByName("127.0.0.1")); Server one = host("one"); Server two = host("two");
                Server unused = discovery()) {
            List<Socket> fill = new ArrayList<>();
            for (int i = 0; i < 4; i++) {  // the listen backlog holds these; further connects get no answer
                Socket socket = new Socket();
                fill.add(socket);
                try {
                    socket.connect(full.getLocalSocketAddress(), 200);
                } catch (SocketTimeoutException e) {
                    socket.close();
                }
            }
            Map<String, String> environment = new HashMap<>(environment(folder, unused,
                    list(1, true, inService("s1", one)), SETTINGS));
            environment.put("NODE_DISCOVERY", "127.0.0.1:" + full.getLocalPort());
            try (Node node = new Node(environment)) {
                eventually(() -> pendingConnects(full.getLocalPort()) >= 2);
                for (Socket socket : fill) {
                    socket.close();
                }
                Socket watch;
                do {
                    watch = full.accept();
                    fill.add(watch);
                } while (Loopback.read(watch) == null);  // skips those that filled the backlog and were closed
                write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                Loopback.sendLine(watch, list(5, true, inService("s2", two)));
                eventually(() -> log(node).contains("list 5"));
                assertEquals("two", node.ask(read(20_000)).text());
            } finally {
                for (Socket socket : fill) {
                    socket.close();
                }
            }
        }
    }

    /**
     * However long the back-off that the settings give after failed calls, the next call starts soon enough for its
     * answer to be applied within 6 s.
     */
    @Test
    void refusedCallIsRetriedSoonEnough() throws Exception {
        String longBackOff = SETTINGS.replace("\"must_ask_in\":1000000", "\"must_ask_in\":60000000");
        int refused = 4;
        AtomicInteger calls = new AtomicInteger();
        AtomicLong last = new AtomicLong();
        AtomicLong longest = new AtomicLong();
        try (Server one = host("one"); Server two = host("two"); Server discovery = new Server(message -> {
            long before = last.getAndSet(System.nanoTime());
            longest.accumulateAndGet(before == 0 ? 0 : last.get() - before, Math::max);
            if (calls.incrementAndGet() <= refused) {
                write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            } else {
                write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                Loopback.sendLine(message.socket(), list(5, true, inService("s2", two)));
            }
        }); Node node = new Node(environment(folder, discovery, list(1, true, inService("s1", one)), longBackOff))) {
            eventually(() -> log(node).contains("list 5"));
            assertEquals("two", node.ask(read(20_000)).text());
            long millis = TimeUnit.NANOSECONDS.toMillis(longest.get());
            // 2.25 s; 6 to 18 s with the module's back-off alone
            assertTrue(millis < 5_000, "from a refusal to the next call: " + millis + " ms");
            assertEquals(refused + 1, calls.get());
        }
    }

    /**
     * SIGHUP while the new watch is silent too: the new address is called at once, and the end of the old calls is not
     * reported.
     */
    @Test
    void moveDuringASilentCallTakesEffect() throws Exception {
        try (Server silent = new Server(message ->
                { }); Server moved = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, silent, list(1, true, inService("s1", one)), SETTINGS))) {
            await(silent.received);
            await(silent.received);  // the hedge of the first
            node.loop.execute(() -> node.gateway.setDiscoveryAddress(Loopback.socketAddress(moved)));
            Loopback.sendLine(await(moved.received).socket(), list(5, true, inService("s2", two)));
            eventually(() -> log(node).contains("list 5"));
            assertEquals("two", node.ask(read(20_000)).text());
            await(silent.ended);
            await(silent.ended);
            assertTrue(moved.ended.isEmpty() && !log(node).contains("failed"), log(node));
        }
    }
}
