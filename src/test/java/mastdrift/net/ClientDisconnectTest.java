package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
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
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import mastdrift.Balancer;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.RequestListener;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client that disconnects while its request waits: from 0.1 s later on no attempt of the request may begin, neither
 * the first nor a further one, however the disconnect races with the event that the request waits for. In each test,
 * that event is triggered only once the 0.1 s have passed, even if the gateway's loop was stalled meanwhile. The
 * requests that the hosts received are counted up to marker requests that are sent last.
 */
class ClientDisconnectTest {

    private static final long ATTEMPT_CUTOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int BACKLOG_CAPACITY = 2;  // the kernel's backlog holds one more than requested

    @TempDir
    private Path folder;

    private Node node(Server discovery, boolean cancelAttempts, boolean parallelTries, String... entries)
            throws Exception {
        return new Node(environment(folder, discovery, list(1, true, entries), SETTINGS
                .replace("\"cancel\":true", "\"cancel\":" + cancelAttempts)
                .replace("\"parallel_tries\":true", "\"parallel_tries\":" + parallelTries)));
    }

    private static String inServiceEntry(String uid, String address) {
        return entry(uid, address, "a", "in_service");
    }

    private static String withTraceId(String request, String traceId) {
        return request.replace("9b1f", traceId);
    }

    /** Closes a client's connection in order, by a reset, or only its sending half. */
    private static void disconnect(Socket client, String closeMode) throws IOException {
        if (closeMode.equals("half")) {
            client.shutdownOutput();
        } else {
            client.setSoLinger(closeMode.equals("reset"), 0);
            client.close();
        }
    }

    /** After this, no attempt for a client that has disconnected may begin. */
    private static void awaitCutoff() {
        long cutoffNanos = System.nanoTime() + ATTEMPT_CUTOFF_NANOS;
        while (System.nanoTime() < cutoffNanos) {  // the passing of this time is what the test is about
            Thread.onSpinWait();
        }
    }

    private static void disconnectBeyondCutoff(Socket client, String closeMode) throws IOException {
        disconnect(client, closeMode);
        awaitCutoff();
    }

    /** Connects a client and completes one request, so that the gateway has accepted the connection. */
    private static Socket connectAndRequest(Node node) throws IOException {
        Socket client = node.connect();
        write(client, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        assertEquals(200, Loopback.read(client).status());
        return client;
    }

    /**
     * Stalls the loop inside each request that it takes, from reading it until the latch is released: other events that
     * the loop had found ready are handled after the stall, and input that arrives during it is still unread then.
     */
    private static CountDownLatch stallAtNextRequest(Node node, CountDownLatch release) {
        CountDownLatch stalled = new CountDownLatch(1);
        node.gateway.ledger().setRequestListener(new RequestListener() {
            @Override
            public void requestReceived(RequestMessage call, RequestAttributes ask) {
                stalled.countDown();
                awaitLatch(release);
            }

            @Override
            public void requestEnded(RequestMessage call, Result end, Balancer.Why why) { }
        });
        return stalled;
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether a connection to the port is in state SYN_SENT, by the system's own table (proc(5)). */
    private static boolean isDialling(int port) throws IOException {
        String synSent = String.format("0100007F:%04X 02 ", port);
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            try (Stream<String> lines = Files.lines(Path.of(table))) {
                if (lines.anyMatch(line -> line.contains(synSent))) {
                    return true;
                }
            }
        }
        return false;
    }

    private static void awaitNoConnections(Node node) throws Exception {
        eventually(() -> node.loop.submit(() -> node.clients.connectionCount()).get() == 0);
    }

    /**
     * The ids that the hosts have received, other than those removed before, once two marker requests have been served
     * one after the other.
     */
    private static Set<String> receivedIds(Node node, Server... hosts) throws Exception {
        eventually(() -> node.ask(withTraceId(read(20_000), "marker")).status() == 200);
        assertEquals(200, node.ask(withTraceId(read(20_000), "marker")).status());
        Set<String> received = new HashSet<>();
        for (Server host : hosts) {
            host.received.forEach(message -> received.add(message.header("X-Trace-Id")));
        }
        assertTrue(received.remove("marker"));
        return received;
    }

    /** Stalls the loop from when this returns until the latch is released. */
    private static CountDownLatch stall(Node node) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        node.loop.execute(() -> {
            stalled.countDown();
            awaitLatch(release);
        });
        assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        return release;
    }

    /**
     * More requests are pipelined behind the current one than are queued: the close of the connection comes after all
     * of them, and must still be noticed.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true",
        "reset,false,true"})
    void pipelinedRequestsAreNotSentAfterClientLeaves(String closeMode, boolean cancel, boolean parallelTries)
            throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    if (!message.header("X-Trace-Id").equals("marker")) {
                        answers.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    }
                    write(message.socket(), answer("200 OK", "x"));
                });
                Node node = node(discovery, cancel, parallelTries, inServiceEntry("s1", host.address()))) {
            Socket client = node.connect();
            for (int i = 0; i < 40; i++) {
                write(client, withTraceId(read(60_000), "id" + i));
            }
            await(host.received);
            disconnectBeyondCutoff(client, closeMode);
            answers.countDown();
            awaitNoConnections(node);
            assertEquals(Set.of(), receivedIds(node, host));
        }
    }

    /**
     * Requests beyond the queue limit are refused in their turn, and the connection stays usable, even if reading had
     * to pause.
     */
    @ParameterizedTest
    @ValueSource(ints = {40, 3_000})
    void requestsPipelinedBeyondTheLimitAreRefusedInOrder(int requests) throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    answers.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    write(message.socket(), answer("200 OK", "x"));
                });
                Node node = node(discovery, true, true, inServiceEntry("s1", host.address()))) {
            Socket client = node.connect();
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < requests; i++) {
                        write(client, withTraceId(read(60_000), "id" + i));
                    }
                } catch (IOException e) {
                    return;  // reported by the missing answers
                }
            });
            writer.start();
            await(host.received);
            // The first answer is released once all requests have been read, or as many as are counted at most.
            eventually(() -> node.loop.submit(() -> node.clients.overflowRequestCount()).get()
                    >= Math.min(requests - 9, ClientConnection.MAX_OVERFLOW_REQUESTS));
            answers.countDown();
            int served = 0;
            for (int i = 0; i < requests; i++) {
                int status = Loopback.read(client).status();
                assertTrue(status == 200 || status == 503, "status " + status);
                assertTrue(i > 0 || status == 200, "the first request is served");
                served += status == 200 ? 1 : 0;
            }
            writer.join();
            assertTrue(requests > 1_000 || served == 9, "served " + served);
            write(client, withTraceId(read(60_000), "last"));
            assertEquals(200, Loopback.read(client).status());
        }
    }

    /**
     * One read delivers so many requests that reading pauses before the first is handled. The first was read before the
     * pause and must be forwarded like any other.
     */
    @Test
    void firstRequestOfAnOverflowingReadIsForwarded() throws Exception {
        int requests = ClientConnection.MAX_OVERFLOW_REQUESTS + 200;
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            all.append(withTraceId(read(60_000), "id" + i));
        }
        try (Server discovery = discovery(); Server host = host("x");
                Node node = node(discovery, true, true, inServiceEntry("s1", host.address()))) {
            Socket client = connectAndRequest(node);
            CountDownLatch written = new CountDownLatch(1);
            Future<?> stall = node.loop.submit(() -> written.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            write(client, all.toString());
            written.countDown();
            stall.get();
            for (int i = 0; i < requests; i++) {
                int status = Loopback.read(client).status();
                assertTrue(status == 503 || status == 200, "status " + status);
                assertTrue(i > 0 || status == 200, "the first request is served");
            }
            assertTrue(await(host.received).head().contains("id0"), "the first request is forwarded");
        }
    }

    /**
     * So much unread input is behind the request that reading has paused, and the client's close comes after that
     * input. The close is searched for before a further attempt; if there is too much input to search, no attempt
     * begins.
     */
    @ParameterizedTest
    @CsvSource({"close,false,3000", "half,false,3000", "reset,false,3000", "close,false,40000", "half,false,40000", "reset,false,40000", "close,true,3000",
        "half,true,3000", "reset,true,3000", "close,true,40000"})
    void noRetryIsSentWhenClientLeavesWhileReadingIsPaused(String closeMode, boolean cancel, int requests)
            throws Exception {
        CountDownLatch clientLeft = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x"); Server host = hostEnding("shed", clientLeft);
                Node node = node(discovery, cancel, true, inServiceEntry("s1", host.address()))) {
            Socket client = node.connect();
            write(client, withTraceId(read(60_000), "gone"));
            await(host.received);
            Loopback.sendLine(await(discovery.received).socket(),
                    list(2, true, inServiceEntry("s1", host.address()), inServiceEntry("s2", other.address())));
            flood(client, requests);
            eventually(() -> node.loop.submit(() -> node.clients.overflowRequestCount()).get()
                    >= ClientConnection.MAX_OVERFLOW_REQUESTS);
            disconnectBeyondCutoff(client, closeMode);
            clientLeft.countDown();
            awaitNoConnections(node);
            assertEquals(Set.of(), receivedIds(node, host, other));
        }
    }

    /** As before, while the connection to the host is being established. */
    @ParameterizedTest
    @CsvSource({"close,false", "half,false", "reset,false", "close,true", "half,true", "reset,true"})
    void noAttemptIsSentWhenClientLeavesDuringDialWhileReadingIsPaused(String closeMode, boolean cancel)
            throws Exception {
        try (Server discovery = discovery(); FullBacklogHost full = new FullBacklogHost();
                Node node = node(discovery, cancel, true, inServiceEntry("s1", full.address()))) {
            Socket client = node.connect();
            write(client, withTraceId(read(60_000), "gone"));
            eventually(() -> isDialling(full.port()));
            flood(client, 3_000);
            eventually(() -> node.loop.submit(() -> node.clients.overflowRequestCount()).get()
                    >= ClientConnection.MAX_OVERFLOW_REQUESTS);
            disconnectBeyondCutoff(client, closeMode);
            assertEquals(Set.of(), receivedIds(node, full, true));
        }
    }

    /** Sends this many requests in the background and discards their answers until the connection ends. */
    private static void flood(Socket client, int requests) {
        runInBackground(() -> {
            for (int i = 0; i < requests; i++) {
                write(client, withTraceId(read(60_000), "id" + i));
            }
        });
        runInBackground(() -> client.getInputStream().transferTo(OutputStream.nullOutputStream()));
    }

    /**
     * A host that answers markers. Other requests it ends once the latch is released: it sheds them, fails them, or
     * breaks off with no answer or an invalid one.
     */
    private static Server hostEnding(String ending, CountDownLatch release) throws IOException {
        return new Server(message -> {
            if (message.header("X-Trace-Id").equals("marker")) {
                write(message.socket(), answer("200 OK", "x"));
                return;
            }
            release.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
            switch (ending) {
                case "shed" -> write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
                case "error" -> write(message.socket(), answer("500 Internal Server Error", "x"));
                case "dropped" -> message.socket().close();
                case "spoilt" -> write(message.socket(), "HTTP/1.1 200 OK\r\n\r\n");
                default -> throw new IllegalArgumentException(ending);
            }
        });
    }

    /**
     * A host whose listen backlog is full: connections wait until it starts accepting, and are answered from then on.
     */
    private static final class FullBacklogHost implements AutoCloseable {

        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final List<String> receivedIds = new CopyOnWriteArrayList<>();

        FullBacklogHost() throws IOException {
            for (int i = 0; i < BACKLOG_CAPACITY; i++) {
                sockets.add(new Socket(listener.getInetAddress(), port()));
            }
        }

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        /** Connections accepted besides those that filled the backlog. */
        int acceptedCount() {
            return Math.max(0, sockets.size() - 2 * BACKLOG_CAPACITY);
        }

        void startAccepting() {
            runInBackground(() -> {
                while (true) {
                    Socket accepted = listener.accept();
                    sockets.add(accepted);
                    runInBackground(() -> {
                        for (Message next = Loopback.read(accepted); next != null; next = Loopback.read(accepted)) {
                            receivedIds.add(next.header("X-Trace-Id"));
                            write(accepted, answer("200 OK", "x"));
                        }
                    });
                }
            });
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket each : sockets) {
                each.close();
            }
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void runInBackground(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return;  // the other side has disconnected, or the end of the test closed the socket
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * The ids that a host with a full backlog receives once it accepts connections, other than those of the markers
     * sent then.
     */
    private static Set<String> receivedIds(Node node, FullBacklogHost full, boolean dialCompletes) throws Exception {
        full.startAccepting();
        eventually(() -> full.acceptedCount() > 0 || !dialCompletes);
        awaitNoConnections(node);
        eventually(() -> node.ask(withTraceId(read(20_000), "marker")).status() == 200);
        // A dial that can't be cancelled completes anyway: its connection serves nobody, and is kept idle for the
        // marker.
        assertTrue(!dialCompletes || full.acceptedCount() == 1, "connections to the host: " + full.acceptedCount());
        assertEquals(200, node.ask(withTraceId(read(20_000), "marker")).status());
        Set<String> received = new HashSet<>(full.receivedIds);
        assertTrue(received.remove("marker"));
        return received;
    }

    /**
     * The connection to the host is established after the client has disconnected, for a first attempt or for a further
     * one.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true,first", "close,true,false,first", "close,false,true,first", "close,false,false,first",
        "close,true,true,further", "close,false,true,further", "close,true,false,further", "close,false,false,further",
        "half,true,true,first", "half,false,true,first", "half,true,true,further", "half,false,true,further",
        "reset,true,true,first", "reset,false,true,first", "reset,true,true,further", "reset,false,true,further"})
    void noAttemptIsSentWhenClientLeavesDuringDial(String closeMode, boolean cancel, boolean parallelTries,
            String attempt) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Server discovery = discovery(); FullBacklogHost full = new FullBacklogHost();
                Server refusingHost = hostEnding("shed", release)) {
            String entry = inServiceEntry("s2", full.address());
            String other = inServiceEntry("s1", refusingHost.address());
            boolean further = attempt.equals("further");
            try (Node node = node(discovery, cancel, parallelTries, further ? other : entry)) {
                Socket client = node.connect();
                Socket watch = await(discovery.received).socket();
                write(client, withTraceId(read(60_000), "gone"));
                if (further) {
                    await(refusingHost.received);
                    Loopback.sendLine(watch, list(2, true, other, entry));
                    eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
                    release.countDown();
                }
                eventually(() -> isDialling(full.port()));
                if (further) {
                    Loopback.sendLine(watch, list(3, true, entry));
                    eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 3"));
                }
                disconnectBeyondCutoff(client, closeMode);
                assertEquals(Set.of(), receivedIds(node, full, !cancel));
            }
        }
    }

    /**
     * The module has chosen a host and the connection to it is being dialled; the client's close and the connection
     * become ready in the same turn.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true",
        "reset,false,true"})
    void noAttemptIsSentWhenClientLeavesInTheTurnOfTheDialsCompletion(String closeMode, boolean cancel,
            boolean parallelTries) throws Exception {
        try (Server discovery = discovery(); Server host = host("x");
                Node node = node(discovery, cancel, parallelTries, inServiceEntry("s1", host.address()))) {
            Socket client = connectAndRequest(node);
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch clientLeft = new CountDownLatch(1);
            node.gateway.ledger().setRequestListener(new RequestListener() {
                @Override
                public void requestReceived(RequestMessage call, RequestAttributes ask) {
                    // Runs after the event that dials, and the tasks that it schedules, in the same turn.
                    node.loop.execute(() -> node.loop.execute(() -> node.loop.execute(() -> {
                        dialled.countDown();
                        awaitLatch(clientLeft);
                    })));
                }

                @Override
                public void requestEnded(RequestMessage call, Result end, Balancer.Why why) { }
            });
            write(client, withTraceId(read(60_000), "gone"));
            assertTrue(dialled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            node.gateway.ledger().setRequestListener(null);
            eventually(() -> !host.accepted.isEmpty());
            disconnectBeyondCutoff(client, closeMode);
            clientLeft.countDown();
            awaitNoConnections(node);
            assertEquals(Set.of(), receivedIds(node, host));
        }
    }

    /**
     * As before, but the loop stalls for longer than 0.1 s after it has found the connection ready: the client's close
     * is not among the events that it found.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true",
        "reset,false,true"})
    void noAttemptIsSentWhenClientLeavesDuringAStallAfterTheDial(String closeMode, boolean cancel,
            boolean parallelTries) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Server discovery = discovery(); Server host = host("x");
                Node node = node(discovery, cancel, parallelTries, inServiceEntry("s1", host.address()))) {
            Socket client = connectAndRequest(node);
            Socket stallingClient = connectAndRequest(node);
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch ready = new CountDownLatch(1);
            node.gateway.ledger().setRequestListener(new RequestListener() {
                @Override
                public void requestReceived(RequestMessage call, RequestAttributes ask) {
                    // Runs after the event that dials, and the tasks that it schedules, in the same turn.
                    node.loop.execute(() -> node.loop.execute(() -> node.loop.execute(() -> {
                        dialled.countDown();
                        awaitLatch(ready);
                    })));
                }

                @Override
                public void requestEnded(RequestMessage call, Result end, Balancer.Why why) { }
            });
            write(client, withTraceId(read(60_000), "gone"));
            assertTrue(dialled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            CountDownLatch stalled = stallAtNextRequest(node, release);
            eventually(() -> !host.accepted.isEmpty());
            write(stallingClient, withTraceId(read(60_000), "holder"));
            ready.countDown();
            assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            disconnectBeyondCutoff(client, closeMode);
            node.gateway.ledger().setRequestListener(null);
            release.countDown();
            assertEquals(200, Loopback.read(stallingClient).status());
            Set<String> ids = receivedIds(node, host);
            ids.remove("holder");
            assertEquals(Set.of(), ids);
            assertEquals(0, node.loop.submit(() -> node.gateway.ledger().serviceCount().forClass("read").refused()).get(),
                    "a request whose client is known to have left must not be refused");
        }
    }

    /** The host's refusal was found ready in the turn in which the loop stalls for longer than 0.1 s. */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,false,true", "reset,false,true"})
    void noRetryIsSentWhenClientLeavesDuringAStallAfterARefusal(String closeMode, boolean cancel, boolean parallelTries)
            throws Exception {
        CountDownLatch refused = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x");
                Server host = new Server(message -> {
                    if (message.header("X-Trace-Id").equals("gone")) {
                        // The rest is sent once the loop is stalled, so that the response can't be complete before.
                        refused.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\n");
                        rest.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "Content-Length: 0\r\n\r\n");
                        release.countDown();
                    } else {
                        write(message.socket(), answer("200 OK", "x"));
                    }
                });
                Node node = node(discovery, cancel, parallelTries, inServiceEntry("s1", host.address()))) {
            Socket client = connectAndRequest(node);
            Socket stallingClient = connectAndRequest(node);
            write(client, withTraceId(read(60_000), "gone"));
            await(host.received);
            Loopback.sendLine(await(discovery.received).socket(),
                    list(2, true, inServiceEntry("s1", host.address()), inServiceEntry("s2", other.address())));
            eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
            CountDownLatch firstStall = stall(node);
            CountDownLatch stalled = stallAtNextRequest(node, release);
            write(stallingClient, withTraceId(read(60_000), "holder"));
            refused.countDown();
            firstStall.countDown();
            assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            disconnectBeyondCutoff(client, closeMode);
            node.gateway.ledger().setRequestListener(null);
            rest.countDown();
            assertEquals(200, Loopback.read(stallingClient).status());
            Set<String> ids = receivedIds(node, host, other);
            ids.remove("holder");
            assertEquals(Set.of(), ids);
        }
    }

    /**
     * The request is queued behind another one of the same client, whose answer was found ready in the turn in which
     * the loop stalls for longer than 0.1 s.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true", "reset,false,true"})
    void noAttemptIsSentWhenClientLeavesDuringAStallAfterThePreviousAnswer(String closeMode, boolean cancel,
            boolean parallelTries) throws Exception {
        // opens three host connections: one for the request under test, one for the stalling request
        CountDownLatch warmedUp = new CountDownLatch(3);
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch answerBegun = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    if (message.header("X-Trace-Id").startsWith("met")) {
                        warmedUp.countDown();
                        warmedUp.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    }
                    if (message.header("X-Trace-Id").equals("ahead")) {
                        // The rest is sent once the loop is stalled, so that the response can't be complete before.
                        answered.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "HTTP/1.1 200 OK\r\n");
                        answerBegun.countDown();
                        rest.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "Content-Length: 1\r\n\r\nx");
                        release.countDown();
                    } else {
                        write(message.socket(), answer("200 OK", "x"));
                    }
                });
                Node node = node(discovery, cancel, parallelTries, inServiceEntry("s1", host.address()))) {
            Socket client = connectAndRequest(node);
            Socket stallingClient = connectAndRequest(node);
            List<Socket> warm = List.of(client, stallingClient, connectAndRequest(node));
            for (int i = 0; i < warm.size(); i++) {
                write(warm.get(i), withTraceId(read(60_000), "met" + i).replace("7f3a", "object" + i));
            }
            for (Socket each : warm) {
                assertEquals(200, Loopback.read(each).status());
            }
            host.received.clear();
            awaitCutoff();  // connections are not used again right after an answer
            write(client, withTraceId(read(60_000), "ahead") + withTraceId(read(60_000), "gone"));
            await(host.received);
            CountDownLatch firstStall = stall(node);
            CountDownLatch stalled = stallAtNextRequest(node, release);
            write(stallingClient, withTraceId(read(60_000), "holder"));
            answered.countDown();
            assertTrue(answerBegun.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            firstStall.countDown();
            assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            disconnectBeyondCutoff(client, closeMode);
            node.gateway.ledger().setRequestListener(null);
            rest.countDown();
            assertEquals(200, Loopback.read(stallingClient).status());
            Set<String> ids = receivedIds(node, host);
            assertTrue(ids.remove("holder"));
            assertEquals(Set.of(), ids);
        }
    }

    /**
     * The request arrives while the loop is stalled, and its client disconnects more than 0.1 s before the loop
     * continues, or at the last moment. If the request is read together with the close behind it, nothing may be sent;
     * nor if there is no connection to a host yet, if the only host has just started, or if it has to be dialled.
     */
    @ParameterizedTest
    @CsvSource({"close,true,after", "close,false,after", "half,true,after", "half,false,after", "reset,true,after", "reset,false,after",
        "close,true,before", "close,false,before", "half,false,before", "reset,false,before", "close,false,cold", "half,false,cold", "reset,false,cold", "close,true,cold",
        "close,false,dialled", "half,false,dialled", "reset,false,dialled", "close,true,dialled"})
    void noAttemptIsSentWhenClientLeavesWhileTheLoopIsStalled(String closeMode, boolean cancel, String variant)
            throws Exception {
        try (Server discovery = discovery(); Server host = host("x")) {
            String entry = inServiceEntry("s1", host.address())
                    .replace("\"boot_ms\":0", "\"boot_ms\":"
                    + (variant.equals("cold") ? System.currentTimeMillis() : 0));
            try (Node node = node(discovery, cancel, true, entry)) {
                if (!variant.equals("dialled") && !variant.equals("cold")) {
                    // Opens a connection to the host.
                    assertEquals(200, node.ask(withTraceId(read(20_000), "marker")).status());
                }
                Socket client = connectAndRequest(node);
                CountDownLatch release = stall(node);
                write(client, withTraceId(read(60_000), "gone"));
                if (variant.equals("before")) {
                    awaitCutoff();
                    disconnect(client, closeMode);
                } else {
                    disconnectBeyondCutoff(client, closeMode);
                }
                release.countDown();
                if (variant.equals("cold")) {
                    // so that markers need not wait for the cold host
                    Loopback.sendLine(await(discovery.received).socket(),
                            list(2, true, inServiceEntry("s2", host.address())));
                }
                assertEquals(Set.of(), receivedIds(node, host));
                assertFalse(node.log.toString(StandardCharsets.UTF_8).contains("fault"), node.log.toString(StandardCharsets.UTF_8));
            }
        }
    }

    /**
     * The host ends the request after the client has disconnected, in each way that leads to a retry for a client that
     * is still connected: the request must not be retried.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true,shed", "close,true,false,shed", "close,false,true,shed", "close,false,false,shed", "half,false,true,shed", "reset,false,true,shed",
        "half,true,true,shed", "reset,true,true,shed", "close,false,true,error", "close,false,false,error", "half,false,true,error", "reset,false,true,error",
        "close,false,true,dropped", "close,false,false,dropped", "half,false,true,dropped", "reset,false,true,dropped", "close,false,true,spoilt",
        "close,true,true,error", "close,true,true,dropped", "stays,false,true,shed", "stays,false,true,error", "stays,false,true,dropped", "stays,false,true,spoilt"})
    void retryIsSentOnlyIfTheClientStays(String closeMode, boolean cancel, boolean parallelTries, String ending)
            throws Exception {
        CountDownLatch clientLeft = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x"); Server host = hostEnding(ending, clientLeft);
                Node node = node(discovery, cancel, parallelTries, inServiceEntry("s1", host.address()))) {
            Socket client = node.connect();
            write(client, withTraceId(read(60_000), "gone"));
            await(host.received);
            Loopback.sendLine(await(discovery.received).socket(),
                    list(2, true, inServiceEntry("s1", host.address()), inServiceEntry("s2", other.address())));
            eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
            boolean stays = closeMode.equals("stays");  // shows that there is a retry for a client that stays
            if (!stays) {
                disconnectBeyondCutoff(client, closeMode);
            }
            clientLeft.countDown();
            if (stays) {
                assertEquals(200, Loopback.read(client).status());
            } else {
                awaitNoConnections(node);
            }
            assertEquals(stays ? Set.of("gone") : Set.of(), receivedIds(node, host, other));
        }
    }
}
