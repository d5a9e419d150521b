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
import mastdrift.engine.Ask;
import mastdrift.engine.Call;
import mastdrift.engine.Witness;
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
class ClientGoneTest {

    private static final long TERM = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int FILLING = 2;  // the kernel's backlog holds one more than requested

    @TempDir
    private Path folder;

    private Node node(Server discovery, boolean cancel, boolean copies, String... entries) throws Exception {
        return new Node(environment(folder, discovery, list(1, true, entries), SETTINGS
                .replace("\"cancel\":true", "\"cancel\":" + cancel).replace("\"parallel_tries\":true", "\"parallel_tries\":" + copies)));
    }

    private static String up(String uid, String address) {
        return entry(uid, address, "a", "in_service");
    }

    private static String id(String request, String id) {
        return request.replace("9b1f", id);
    }

    /** Closes a client's connection in order, by a reset, or only its sending half. */
    private static void leave(Socket client, String how) throws IOException {
        if (how.equals("half")) {
            client.shutdownOutput();
        } else {
            client.setSoLinger(how.equals("reset"), 0);
            client.close();
        }
    }

    /** After this, no attempt for a client that has disconnected may begin. */
    private static void passTerm() {
        long until = System.nanoTime() + TERM;
        while (System.nanoTime() < until) {  // the passing of this time is what the test is about
            Thread.onSpinWait();
        }
    }

    private static void leaveForGood(Socket client, String how) throws IOException {
        leave(client, how);
        passTerm();
    }

    /** Connects a client and completes one request, so that the gateway has accepted the connection. */
    private static Socket met(Node node) throws IOException {
        Socket client = node.connect();
        write(client, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        assertEquals(200, Loopback.read(client).status());
        return client;
    }

    /**
     * Stalls the loop inside each request that it takes, from reading it until the latch is released: other events that
     * the loop had found ready are handled after the stall, and input that arrives during it is still unread then.
     */
    private static CountDownLatch holdAtNextRequest(Node node, CountDownLatch go) {
        CountDownLatch held = new CountDownLatch(1);
        node.gateway.ledger().witness(new Witness() {
            @Override
            public void taken(Call call, Ask ask) {
                held.countDown();
                awaitGo(go);
            }

            @Override
            public void ended(Call call, End end, Balancer.Why why) { }
        });
        return held;
    }

    private static void awaitGo(CountDownLatch go) {
        try {
            go.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether a connection to the port is in state SYN_SENT, by the system's own table (proc(5)). */
    private static boolean dialling(int port) throws IOException {
        String to = String.format("0100007F:%04X 02 ", port);
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            try (Stream<String> lines = Files.lines(Path.of(table))) {
                if (lines.anyMatch(line -> line.contains(to))) {
                    return true;
                }
            }
        }
        return false;
    }

    private static void awaitNobody(Node node) throws Exception {
        eventually(() -> node.loop.submit(() -> node.clients.connections()).get() == 0);
    }

    /**
     * The ids that the hosts have received, other than those removed before, once two marker requests have been served
     * one after the other.
     */
    private static Set<String> seen(Node node, Server... hosts) throws Exception {
        eventually(() -> node.ask(id(read(20_000), "marker")).status() == 200);
        assertEquals(200, node.ask(id(read(20_000), "marker")).status());
        Set<String> ids = new HashSet<>();
        for (Server host : hosts) {
            host.received.forEach(message -> ids.add(message.header("X-Trace-Id")));
        }
        assertTrue(ids.remove("marker"));
        return ids;
    }

    /** Stalls the loop from when this returns until the latch is released. */
    private static CountDownLatch hold(Node node) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        node.loop.execute(() -> {
            begun.countDown();
            awaitGo(go);
        });
        assertTrue(begun.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        return go;
    }

    /**
     * More requests are pipelined behind the current one than are queued: the close of the connection comes after all
     * of them, and must still be noticed.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true",
        "reset,false,true"})
    void behindPipelinedRequestsTheEndIsHeard(String how, boolean cancel, boolean copies) throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    if (!message.header("X-Trace-Id").equals("marker")) {
                        answers.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    }
                    write(message.socket(), answer("200 OK", "x"));
                });
                Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = node.connect();
            for (int i = 0; i < 40; i++) {
                write(client, id(read(60_000), "id" + i));
            }
            await(host.received);
            leaveForGood(client, how);
            answers.countDown();
            awaitNobody(node);
            assertEquals(Set.of(), seen(node, host));
        }
    }

    /**
     * Requests beyond the queue limit are refused in their turn, and the connection stays usable, even if reading had
     * to pause.
     */
    @ParameterizedTest
    @ValueSource(ints = {40, 3_000})
    void whatIsPipelinedBeyondTheBoundIsRefusedInItsTurn(int requests) throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    answers.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    write(message.socket(), answer("200 OK", "x"));
                });
                Node node = node(discovery, true, true, up("s1", host.address()))) {
            Socket client = node.connect();
            Thread writer = new Thread(() -> {
                try {
                    for (int i = 0; i < requests; i++) {
                        write(client, id(read(60_000), "id" + i));
                    }
                } catch (IOException e) {
                    return;  // reported by the missing answers
                }
            });
            writer.start();
            await(host.received);
            // The first answer is released once all requests have been read, or as many as are counted at most.
            eventually(() -> node.loop.submit(() -> node.clients.counted()).get() >= Math.min(requests - 9, ClientSide.COUNTED_MOST));
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
            write(client, id(read(60_000), "last"));
            assertEquals(200, Loopback.read(client).status());
        }
    }

    /**
     * One read delivers so many requests that reading pauses before the first is handled. The first was read before the
     * pause and must be forwarded like any other.
     */
    @Test
    void theFirstOfWhatOneReadBringsIsSentOn() throws Exception {
        int requests = ClientSide.COUNTED_MOST + 200;
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            all.append(id(read(60_000), "id" + i));
        }
        try (Server discovery = discovery(); Server host = host("x"); Node node = node(discovery, true, true, up("s1", host.address()))) {
            Socket client = met(node);
            CountDownLatch written = new CountDownLatch(1);
            Future<?> held = node.loop.submit(() -> written.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            write(client, all.toString());
            written.countDown();
            held.get();
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
    void pausedBehindPipelinedRequestsBeforeItsRepeat(String how, boolean cancel, int requests) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x"); Server host = ends("shed", left);
                Node node = node(discovery, cancel, true, up("s1", host.address()))) {
            Socket client = node.connect();
            write(client, id(read(60_000), "gone"));
            await(host.received);
            Loopback.tell(await(discovery.received).socket(), list(2, true, up("s1", host.address()), up("s2", other.address())));
            flood(client, requests);
            eventually(() -> node.loop.submit(() -> node.clients.counted()).get() >= ClientSide.COUNTED_MOST);
            leaveForGood(client, how);
            left.countDown();
            awaitNobody(node);
            assertEquals(Set.of(), seen(node, host, other));
        }
    }

    /** As before, while the connection to the host is being established. */
    @ParameterizedTest
    @CsvSource({"close,false", "half,false", "reset,false", "close,true", "half,true", "reset,true"})
    void pausedBehindPipelinedRequestsWhileItsConnectionIsDialled(String how, boolean cancel) throws Exception {
        try (Server discovery = discovery(); Full full = new Full(); Node node = node(discovery, cancel, true, up("s1", full.address()))) {
            Socket client = node.connect();
            write(client, id(read(60_000), "gone"));
            eventually(() -> dialling(full.port()));
            flood(client, 3_000);
            eventually(() -> node.loop.submit(() -> node.clients.counted()).get() >= ClientSide.COUNTED_MOST);
            leaveForGood(client, how);
            assertEquals(Set.of(), seen(node, full, true));
        }
    }

    /** Sends this many requests in the background and discards their answers until the connection ends. */
    private static void flood(Socket client, int requests) {
        run(() -> {
            for (int i = 0; i < requests; i++) {
                write(client, id(read(60_000), "id" + i));
            }
        });
        run(() -> client.getInputStream().transferTo(OutputStream.nullOutputStream()));
    }

    /**
     * A host that answers markers. Other requests it ends once the latch is released: it sheds them, fails them, or
     * breaks off with no answer or an invalid one.
     */
    private static Server ends(String what, CountDownLatch once) throws IOException {
        return new Server(message -> {
            if (message.header("X-Trace-Id").equals("marker")) {
                write(message.socket(), answer("200 OK", "x"));
                return;
            }
            once.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
            switch (what) {
                case "shed" -> write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
                case "error" -> write(message.socket(), answer("500 Internal Server Error", "x"));
                case "dropped" -> message.socket().close();
                case "spoilt" -> write(message.socket(), "HTTP/1.1 200 OK\r\n\r\n");
                default -> throw new IllegalArgumentException(what);
            }
        });
    }

    /**
     * A host whose listen backlog is full: connections wait until it starts accepting, and are answered from then on.
     */
    private static final class Full implements AutoCloseable {

        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final List<String> received = new CopyOnWriteArrayList<>();

        Full() throws IOException {
            for (int i = 0; i < FILLING; i++) {
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
        int came() {
            return Math.max(0, sockets.size() - 2 * FILLING);
        }

        void room() {
            run(() -> {
                while (true) {
                    Socket came = listener.accept();
                    sockets.add(came);
                    run(() -> {
                        for (Message next = Loopback.read(came); next != null; next = Loopback.read(came)) {
                            received.add(next.header("X-Trace-Id"));
                            write(came, answer("200 OK", "x"));
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

    private interface Body {
        void run() throws IOException;
    }

    private static void run(Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
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
    private static Set<String> seen(Node node, Full full, boolean comesUp) throws Exception {
        full.room();
        eventually(() -> full.came() > 0 || !comesUp);
        awaitNobody(node);
        eventually(() -> node.ask(id(read(20_000), "marker")).status() == 200);
        // A dial that can't be cancelled completes anyway: its connection serves nobody, and is kept idle for the
        // marker.
        assertTrue(!comesUp || full.came() == 1, "connections to the host: " + full.came());
        assertEquals(200, node.ask(id(read(20_000), "marker")).status());
        Set<String> ids = new HashSet<>(full.received);
        assertTrue(ids.remove("marker"));
        return ids;
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
    void whileItsConnectionIsDialled(String how, boolean cancel, boolean copies, String which) throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        try (Server discovery = discovery(); Full full = new Full(); Server refuses = ends("shed", told)) {
            String entry = up("s2", full.address());
            String other = up("s1", refuses.address());
            boolean further = which.equals("further");
            try (Node node = node(discovery, cancel, copies, further ? other : entry)) {
                Socket client = node.connect();
                Socket watch = await(discovery.received).socket();
                write(client, id(read(60_000), "gone"));
                if (further) {
                    await(refuses.received);
                    Loopback.tell(watch, list(2, true, other, entry));
                    eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
                    told.countDown();
                }
                eventually(() -> dialling(full.port()));
                if (further) {
                    Loopback.tell(watch, list(3, true, entry));
                    eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 3"));
                }
                leaveForGood(client, how);
                assertEquals(Set.of(), seen(node, full, !cancel));
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
    void inTheTurnInWhichItsConnectionComesUp(String how, boolean cancel, boolean copies) throws Exception {
        try (Server discovery = discovery(); Server host = host("x"); Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = met(node);
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch left = new CountDownLatch(1);
            node.gateway.ledger().witness(new Witness() {
                @Override
                public void taken(Call call, Ask ask) {
                    // Runs after the event that dials, and the tasks that it schedules, in the same turn.
                    node.loop.execute(() -> node.loop.execute(() -> node.loop.execute(() -> {
                        dialled.countDown();
                        awaitGo(left);
                    })));
                }

                @Override
                public void ended(Call call, End end, Balancer.Why why) { }
            });
            write(client, id(read(60_000), "gone"));
            assertTrue(dialled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            node.gateway.ledger().witness(null);
            eventually(() -> !host.accepted.isEmpty());
            leaveForGood(client, how);
            left.countDown();
            awaitNobody(node);
            assertEquals(Set.of(), seen(node, host));
        }
    }

    /**
     * As before, but the loop stalls for longer than 0.1 s after it has found the connection ready: the client's close
     * is not among the events that it found.
     */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true",
        "reset,false,true"})
    void onALateLoopWhoseTurnFoundItsConnectionUp(String how, boolean cancel, boolean copies) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Server discovery = discovery(); Server host = host("x"); Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = met(node);
            Socket holder = met(node);
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch ready = new CountDownLatch(1);
            node.gateway.ledger().witness(new Witness() {
                @Override
                public void taken(Call call, Ask ask) {
                    // Runs after the event that dials, and the tasks that it schedules, in the same turn.
                    node.loop.execute(() -> node.loop.execute(() -> node.loop.execute(() -> {
                        dialled.countDown();
                        awaitGo(ready);
                    })));
                }

                @Override
                public void ended(Call call, End end, Balancer.Why why) { }
            });
            write(client, id(read(60_000), "gone"));
            assertTrue(dialled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            CountDownLatch held = holdAtNextRequest(node, go);
            eventually(() -> !host.accepted.isEmpty());
            write(holder, id(read(60_000), "holder"));
            ready.countDown();
            assertTrue(held.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            leaveForGood(client, how);
            node.gateway.ledger().witness(null);
            go.countDown();
            assertEquals(200, Loopback.read(holder).status());
            Set<String> ids = seen(node, host);
            ids.remove("holder");
            assertEquals(Set.of(), ids);
            assertEquals(0, node.loop.submit(() -> node.gateway.ledger().count().of("read").refused()).get(), "a request whose client is known to have left must not be refused");
        }
    }

    /** The host's refusal was found ready in the turn in which the loop stalls for longer than 0.1 s. */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,false,true", "reset,false,true"})
    void onALateLoopWhoseTurnFoundItsRefusal(String how, boolean cancel, boolean copies) throws Exception {
        CountDownLatch refused = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x");
                Server host = new Server(message -> {
                    if (message.header("X-Trace-Id").equals("gone")) {
                        // The rest is sent once the loop is stalled, so that the response can't be complete before.
                        refused.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\n");
                        rest.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "Content-Length: 0\r\n\r\n");
                        go.countDown();
                    } else {
                        write(message.socket(), answer("200 OK", "x"));
                    }
                });
                Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = met(node);
            Socket holder = met(node);
            write(client, id(read(60_000), "gone"));
            await(host.received);
            Loopback.tell(await(discovery.received).socket(), list(2, true, up("s1", host.address()), up("s2", other.address())));
            eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
            CountDownLatch turn = hold(node);
            CountDownLatch held = holdAtNextRequest(node, go);
            write(holder, id(read(60_000), "holder"));
            refused.countDown();
            turn.countDown();
            assertTrue(held.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            leaveForGood(client, how);
            node.gateway.ledger().witness(null);
            rest.countDown();
            assertEquals(200, Loopback.read(holder).status());
            Set<String> ids = seen(node, host, other);
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
    void onALateLoopWhoseTurnFoundTheAnswerAheadOfIt(String how, boolean cancel, boolean copies) throws Exception {
        // opens three host connections: one for the request under test, one for the stalling request
        CountDownLatch met = new CountDownLatch(3);
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    if (message.header("X-Trace-Id").startsWith("met")) {
                        met.countDown();
                        met.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    }
                    if (message.header("X-Trace-Id").equals("ahead")) {
                        // The rest is sent once the loop is stalled, so that the response can't be complete before.
                        answered.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "HTTP/1.1 200 OK\r\n");
                        begun.countDown();
                        rest.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        write(message.socket(), "Content-Length: 1\r\n\r\nx");
                        go.countDown();
                    } else {
                        write(message.socket(), answer("200 OK", "x"));
                    }
                });
                Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = met(node);
            Socket holder = met(node);
            List<Socket> warm = List.of(client, holder, met(node));
            for (int i = 0; i < warm.size(); i++) {
                write(warm.get(i), id(read(60_000), "met" + i).replace("7f3a", "object" + i));
            }
            for (Socket each : warm) {
                assertEquals(200, Loopback.read(each).status());
            }
            host.received.clear();
            passTerm();  // connections are not used again right after an answer
            write(client, id(read(60_000), "ahead") + id(read(60_000), "gone"));
            await(host.received);
            CountDownLatch turn = hold(node);
            CountDownLatch held = holdAtNextRequest(node, go);
            write(holder, id(read(60_000), "holder"));
            answered.countDown();
            assertTrue(begun.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            turn.countDown();
            assertTrue(held.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            leaveForGood(client, how);
            node.gateway.ledger().witness(null);
            rest.countDown();
            assertEquals(200, Loopback.read(holder).status());
            Set<String> ids = seen(node, host);
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
    void whileTheLoopWasHeld(String how, boolean cancel, String when) throws Exception {
        try (Server discovery = discovery(); Server host = host("x")) {
            String entry = up("s1", host.address()).replace("\"boot_ms\":0", "\"boot_ms\":" + (when.equals("cold") ? System.currentTimeMillis() : 0));
            try (Node node = node(discovery, cancel, true, entry)) {
                if (!when.equals("dialled") && !when.equals("cold")) {
                    // Opens a connection to the host.
                    assertEquals(200, node.ask(id(read(20_000), "marker")).status());
                }
                Socket client = met(node);
                CountDownLatch go = hold(node);
                write(client, id(read(60_000), "gone"));
                if (when.equals("before")) {
                    passTerm();
                    leave(client, how);
                } else {
                    leaveForGood(client, how);
                }
                go.countDown();
                if (when.equals("cold")) {
                    // so that markers need not wait for the cold host
                    Loopback.tell(await(discovery.received).socket(), list(2, true, up("s2", host.address())));
                }
                assertEquals(Set.of(), seen(node, host));
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
    void betweenTwoTries(String how, boolean cancel, boolean copies, String what) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x"); Server host = ends(what, left);
                Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = node.connect();
            write(client, id(read(60_000), "gone"));
            await(host.received);
            Loopback.tell(await(discovery.received).socket(), list(2, true, up("s1", host.address()), up("s2", other.address())));
            eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
            boolean stays = how.equals("stays");  // shows that there is a retry for a client that stays
            if (!stays) {
                leaveForGood(client, how);
            }
            left.countDown();
            if (stays) {
                assertEquals(200, Loopback.read(client).status());
            } else {
                awaitNobody(node);
            }
            assertEquals(stays ? Set.of("gone") : Set.of(), seen(node, host, other));
        }
    }
}
