package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.sendLine;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A gateway from start to stop: what discovery sends it, its bounds, and its signals. */
class GatewayLifecycleTest {

    private static final int PROCESS_TIMEOUT_SECONDS = 60;

    @TempDir
    private Path folder;

    private static String inServiceEntry(String uid, Server host) {
        return entry(uid, host.address(), "a", "in_service");
    }

    /** Sends requests until one is answered by the host with this body. */
    private static void awaitAnswerWithBody(Node node, String body) throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_SECONDS);
        Socket client = node.connect();
        for (String got = ""; !got.equals(body); got = Loopback.read(client).text()) {
            write(client, read(20_000));
            assertTrue(System.nanoTime() < until, "no answer from " + body);
        }
    }

    /**
     * Guards against a list that stays out of date after a watch broke: however it breaks, the list is asked for again,
     * from the last version received.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "odd", "silence"})
    void brokenWatchIsResumedFromTheLastVersion(String breakage) throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)),
                        SETTINGS))) {
            Message first = await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=1 HTTP/1.1", first.line());
            sendLine(first.socket(), list(7, false, entry("s1", one.address(), "a", "terminating"),
                    inServiceEntry("s2", two)));
            awaitAnswerWithBody(node, "two");
            if (breakage.equals("end")) {
                first.socket().close();
            } else if (breakage.equals("odd")) {
                sendLine(first.socket(), "{\"rev\":8,\"all\":false,\"targets\":[{\"uid\":3}]}");
            }
            Message next = await(discovery.received);
            assertEquals("GET /v1/endpoints?watch=1&from=7 HTTP/1.1", next.line());
            sendLine(next.socket(), list(9, true, inServiceEntry("s1", one)));
            awaitAnswerWithBody(node, "one");
        }
    }

    /**
     * Guards against sending to hosts that have drained since the gateway last ran: no client connects before discovery
     * has delivered a list, or the time to wait for it is over.
     */
    @Test
    void startWaitsForTheFirstList() throws Exception {
        PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        TimedEventLoop timedLoop = TimedEventLoop.start();
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two")) {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery,
                    list(1, true, inServiceEntry("s1", one)), SETTINGS));
            Main.StartedGateway started = Main.prepare(config, timedLoop, false, out);
            CompletableFuture<Void> startComplete = CompletableFuture.runAsync(
                    () -> Main.awaitFirstList(started.gateway(), System.nanoTime(), out));
            Message watch = await(discovery.received);
            assertThrows(TimeoutException.class, () -> startComplete.get(100, TimeUnit.MILLISECONDS));
            sendLine(watch.socket(), list(7, false, entry("s1", one.address(), "a", "terminating"),
                    inServiceEntry("s2", two)));
            startComplete.get(2, TimeUnit.SECONDS);
            Main.listen(started, config, out);
            for (int i = 0; i < 20; i++) {  // the host in service serves at once, and the draining one gets nothing
                try (Socket client = new Socket()) {
                    client.connect(started.clients().address());
                    write(client, read(20_000));
                    assertEquals("two", Loopback.read(client).text());
                }
            }
            assertTrue(one.received.isEmpty());
        } finally {
            timedLoop.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** Guards against a gateway that stops without discovery: one that can't reach it serves with the known list. */
    @Test
    void knownListServesWithoutDiscovery() throws Exception {
        Server discovery = discovery();
        discovery.close();
        try (Server one = host("one");
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)),
                        SETTINGS))) {
            assertEquals("one", node.ask(read(20_000)).text());
        }
    }

    @Test
    void idleClientIsClosedAtTheConnectionBound() throws Exception {
        try (Server discovery = discovery(); Server one = host("one");
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)),
                        SETTINGS))) {
            Socket oldest = node.connect();
            write(oldest, read(20_000));
            assertEquals(200, Loopback.read(oldest).status());
            for (int i = 0; i < 8; i++) {  // 112 descriptors leave 8 to clients
                assertEquals(200, node.ask(read(20_000)).status());
            }
            assertNull(Loopback.read(oldest));
        }
    }

    /** Guards against a flood of connections without requests that closes those that clients use. */
    @Test
    void silentConnectionsAreClosedFirst() throws Exception {
        try (Server discovery = discovery(); Server one = host("one");
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)),
                        SETTINGS))) {
            Socket used = node.connect();
            write(used, read(20_000));
            assertEquals(200, Loopback.read(used).status());
            Socket silent = node.connect();
            for (int i = 0; i < 16; i++) {
                node.connect();
            }
            assertEquals(-1, silent.getInputStream().read());
            write(used, read(20_000));
            assertEquals(200, Loopback.read(used).status());
        }
    }

    @ParameterizedTest
    @CsvSource({"true, 2", "false,"})
    void requestBeyondTheOpenBoundIsRefused(boolean allowed, String retryAfter) throws Exception {
        try (Server discovery = discovery(); Server silent = new Server(message -> { });
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", silent)),
                        SETTINGS.replace("\"max_open\":20000", "\"max_open\":1")
                                .replace("\"retry_after\":false", "\"retry_after\":" + allowed)))) {
            write(node.connect(), read(60_000));
            await(silent.received);
            Message answer = node.ask(read(60_000).replace("9b1f", "9b20"));
            assertEquals(503, answer.status());
            assertEquals(retryAfter, answer.header("Retry-After"));
        }
    }

    /**
     * Guards against requests lost at a planned restart: those accepted before are answered, and those that still
     * arrive too.
     */
    @Test
    void stopFinishesAcceptedRequests() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    if (message.line().startsWith("POST")) {
                        write(message.socket(), answer("200 OK", "one"));
                    }
                });
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", host)),
                        SETTINGS))) {
            Socket idle = node.connect();
            write(idle, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(200, Loopback.read(idle).status());
            Socket accepted = node.connect();
            write(accepted, read(60_000));
            Message pending = await(host.received);
            Socket unused = node.connect();
            node.loop.submit(() -> {
                node.clients.stop(60_000_000, stopped::countDown);
                write(idle, post("once", 20_000, "x").replace("9b1f", "9b20"));
                return null;
            }).sync();
            assertEquals("one", Loopback.read(idle).text());  // clients may have no other gateway at this moment
            assertNull(Loopback.read(idle));
            assertNull(Loopback.read(unused));
            write(pending.socket(), answer("200 OK", "in time"));
            Message answer = Loopback.read(accepted);
            assertEquals("in time", answer.text());
            assertEquals("close", answer.header("Connection"));
            assertTrue(stopped.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /**
     * Guards against requests that are unanswered when the process is killed, since their deadlines are longer than the
     * platform waits: one accepted before, and one that arrived while the gateway was stopping.
     */
    @Test
    void stopAnswersOpenRequestsWithinItsTimeout() throws Exception {
        CountDownLatch stopped = new CountDownLatch(1);
        try (Server discovery = discovery(); Server silent = new Server(message -> { });
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", silent)),
                        SETTINGS))) {
            Socket accepted = node.connect();
            write(accepted, read(60_000));
            await(silent.received);
            Socket arriving = node.connect();
            long stopNanos = System.nanoTime();
            node.loop.submit(() -> {
                node.clients.stop(1_000_000, stopped::countDown);
                write(arriving, read(60_000).replace("9b1f", "9b20"));
                return null;
            }).sync();
            assertTrue(Loopback.read(accepted).status() >= 500);
            assertTrue(Loopback.read(arriving).status() >= 500);
            assertTrue(stopped.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
            assertTrue(millis >= 1_000, "stopped without waiting for answers, after " + millis + " ms");
        }
    }

    private Process start(Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp",
                Loopback.classPath(), "mastdrift.net.Main");
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        builder.environment().putAll(environment);
        return builder.redirectErrorStream(true).redirectOutput(new File(folder.toFile(), "log")).start();
    }

    private String log() throws IOException {
        return Files.readString(folder.resolve("log"), StandardCharsets.UTF_8);
    }

    /**
     * Guards against a slow first second, in which requests queue past their deadlines, and against a warm-up that
     * contacts a host or discovery.
     */
    @Test
    void warmUpCompletesWithoutContactingHostsOrDiscovery() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (Server discovery = discovery(); Server one = host("one")) {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery,
                    list(1, true, inServiceEntry("s1", one)), SETTINGS));
            Main.warmUp(config, TimedEventLoop.start(), new PrintStream(out, true, StandardCharsets.UTF_8)::println);
            assertEquals("", out.toString(StandardCharsets.UTF_8));
            assertTrue(one.accepted.isEmpty() && discovery.accepted.isEmpty());
        }
    }

    @Test
    void sigtermExitsWithStatus0() throws Exception {
        try (Server discovery = discovery(); Server one = host("one")) {
            Process process = start(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)), SETTINGS));
            try {
                sendLine(await(discovery.received).socket(), list(1, false));
                for (int i = 0; !log().contains("listening on"); i++) {
                    assertTrue(i < PROCESS_TIMEOUT_SECONDS * 100 && process.isAlive(), log());
                    Thread.sleep(10);
                }
                process.destroy();
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
                assertTrue(log().endsWith("stopped\n"), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Whatever the gateway logs on its event loop, such as a failure of discovery, nothing follows its last line: while
     * it is ending, the loop has another line to log, which must not appear.
     */
    @Test
    void nothingIsLoggedAfterTheLastLine() throws Exception {
        try (Server discovery = discovery(); Server one = host("one");
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)),
                        SETTINGS))) {
            CompletableFuture<String> log = new CompletableFuture<>();
            Main.stop(node.loop, node.clients, new PrintStream(node.log, true, StandardCharsets.UTF_8), () -> {
                CountDownLatch lineLogged = new CountDownLatch(1);
                node.loop.execute(() -> {
                    node.gateway.log("discovery failed");
                    lineLogged.countDown();
                });
                try {
                    // Impossible if the process ends within a turn of the event loop; otherwise it would happen at
                    // once.
                    assertFalse(lineLogged.await(500, TimeUnit.MILLISECONDS), "a line was logged after the last one");
                    log.complete(node.log.toString(StandardCharsets.UTF_8));
                } catch (Throwable e) {
                    log.completeExceptionally(e);
                }
            });
            String whole = log.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
            assertTrue(whole.endsWith("\nstopped\n"), whole);
        }
    }

    private void signalHup(Process process, String discovery) throws Exception {
        Files.writeString(folder.resolve("config.json"), discovery);
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor());
    }

    private void awaitLog(String text) throws Exception {
        for (int i = 0; !log().contains(text); i++) {
            assertTrue(i < Loopback.WAIT_SECONDS * 100, log());
            Thread.sleep(10);
        }
    }

    /**
     * Guards against a SIGHUP that ends the gateway, and against calls to an address at which discovery no longer is.
     */
    @Test
    void sighupChangesTheDiscoveryAddress() throws Exception {
        try (Server discovery = discovery(); Server moved = discovery(); Server one = host("one")) {
            Process process = start(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)), SETTINGS));
            try {
                Message before = await(discovery.received);
                sendLine(before.socket(), list(5, false));
                awaitLog("list 5");
                signalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                assertEquals("GET /v1/endpoints?watch=1&from=5 HTTP/1.1", await(moved.received).line());
                assertNotNull(await(discovery.ended));
                signalHup(process, "{\"discovery\":");
                awaitLog("configuration not reloaded");
                signalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                process.destroy();
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(0, process.exitValue(), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Guards against a gateway that waits at its start for a discovery that has moved, and then serves with the known
     * list: it follows the move while it waits.
     */
    @Test
    void sighupDuringTheStartChangesTheDiscoveryAddress() throws Exception {
        try (Server silent = new Server(message -> { }); Server moved = discovery(); Server one = host("one")) {
            Process process = start(environment(folder, silent, list(1, true, inServiceEntry("s1", one)), SETTINGS));
            try {
                await(silent.received);
                signalHup(process, "{\"discovery\":\"" + moved.address() + "\"}");
                Message watch = await(moved.received);
                assertFalse(log().contains("listening"), log());
                sendLine(watch.socket(), list(5, false));
                awaitLog("listening");
                assertFalse(log().contains("starting with the known list"), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * Guards against an old list that replaces a newer one, and against a move that the module takes for a failure:
     * what the old address sends late is ignored, and an address that isn't up yet is called again.
     */
    @Test
    void onlyTheNewDiscoveryAddressIsUsedAfterAMove() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Server discovery = discovery(); Server one = host("one");
                Server moved = new Server(message -> {
                    if (calls.getAndIncrement() == 0) {
                        message.socket().close();
                    } else {
                        write(message.socket(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    }
                });
                Node node = new Node(environment(folder, discovery, list(1, true, inServiceEntry("s1", one)),
                        SETTINGS))) {
            Message before = await(discovery.received);
            node.loop.submit(() -> node.gateway.setDiscoveryAddress(Loopback.socketAddress(moved))).sync();
            await(moved.received);
            Message watch = await(moved.received);
            assertFalse(node.log.toString(StandardCharsets.UTF_8).contains("discovery failed"));
            assertThrows(IOException.class, () -> {
                while (true) {
                    sendLine(before.socket(), list(9, true));
                }
            });
            sendLine(watch.socket(), list(6, true, inServiceEntry("s2", one)));
            awaitAnswerWithBody(node, "one");
            watch.socket().close();
            assertEquals("GET /v1/endpoints?watch=1&from=6 HTTP/1.1", await(moved.received).line());
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "NODE_CONFIG | /none/such | can't read", "NODE_LISTEN | here | address:port",
        "settings | \"balancers\":0 | gateways can't be 0", "settings | \"balancers\":\"two\" | balancers as a"})
    void invalidConfigurationLogsOneLineAndExitsWithStatus2(String setting, String value, String expected)
            throws Exception {
        try (Server discovery = discovery()) {
            String settings = setting.equals("settings") ? SETTINGS.replace("\"balancers\":1", value) : SETTINGS;
            Map<String, String> environment = new HashMap<>(environment(folder, discovery, list(1, true), settings));
            if (!setting.equals("settings")) {
                environment.put(setting, value);
            }
            Process process = start(environment);
            try {
                assertTrue(process.waitFor(PROCESS_TIMEOUT_SECONDS, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue(), log());
                assertEquals(1, log().strip().lines().count(), log());
                assertTrue(log().contains(expected), log());
            } finally {
                process.destroyForcibly();
            }
        }
    }
}
