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

/** A client that leaves while its request waits: from 0.1 s later on no attempt of it begins, neither the first nor a further one, however its end crosses
    with what it waits for. What lets an attempt begin is let go once that time is over, however late the gateway's loop was meanwhile; what came is counted
    at the hosts, up to markers that are sent last. */
class ClientGoneTest {

    private static final long TERM = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int FILLING = 2;  // the system holds one more than it is told

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

    /** Ends a client's connection, orderly, by a reset, or its half. */
    private static void leave(Socket client, String how) throws IOException {
        if (how.equals("half")) {
            client.shutdownOutput();
        } else {
            client.setSoLinger(how.equals("reset"), 0);
            client.close();
        }
    }

    /** From here on nothing of a client that has left may begin. */
    private static void passTerm() {
        long until = System.nanoTime() + TERM;
        while (System.nanoTime() < until) {  // that it goes by is the case itself
            Thread.onSpinWait();
        }
    }

    private static void leaveForGood(Socket client, String how) throws IOException {
        leave(client, how);
        passTerm();
    }

    /** A client that the gateway has met. */
    private static Socket met(Node node) throws IOException {
        Socket client = node.connect();
        write(client, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        assertEquals(200, Loopback.read(client).status());
        return client;
    }

    /** Has the loop stand still at each request that it takes, from reading it until the latch is let go: what it has found ready besides is handled behind
        that, and what comes meanwhile is unread by then. */
    private static CountDownLatch holdAtNextRequest(Node node, CountDownLatch go) {
        CountDownLatch held = new CountDownLatch(1);
        node.gateway.ledger().setRequestListener(new RequestListener() {
            @Override
            public void requestReceived(RequestMessage call, RequestAttributes ask) {
                held.countDown();
                awaitGo(go);
            }

            @Override
            public void requestEnded(RequestMessage call, Result end, Balancer.Why why) { }
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

    /** Whether a connection to the port is being dialled: SYN_SENT, by the system's own table (proc(5)). */
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

    /** The ids that hosts have had beside those taken out before, once two requests more have been served, one after the other. */
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

    /** The loop does nothing from when this returns until the latch is let go. */
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

    /** More requests stand behind the current one than are kept: the end of the connection is behind them all, and is heard. */
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

    /** Those beyond the ones that are kept are refused in their turn, and the connection goes on, also where reading had to pause. */
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
                    return;  // the answers that are missed then say so
                }
            });
            writer.start();
            await(host.received);
            // All have been read, or as many as are counted at the most: then the first answer may come.
            eventually(() -> node.loop.submit(() -> node.clients.counted()).get() >= Math.min(requests - 9, ClientSide.COUNTED_MOST));
            answers.countDown();
            int served = 0;
            for (int i = 0; i < requests; i++) {
                int status = Loopback.read(client).status();
                assertTrue(status == 200 || status == 503, "status " + status);
                assertTrue(i > 0 || status == 200, "the first has its answer");
                served += status == 200 ? 1 : 0;
            }
            writer.join();
            assertTrue(requests > 1_000 || served == 9, "served " + served);
            write(client, id(read(60_000), "last"));
            assertEquals(200, Loopback.read(client).status());
        }
    }

    /** The first of so many that one read brings them all, and reading pauses ahead of its turn, was read ahead of the pause: it is sent on as any. */
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
                assertTrue(i > 0 || status == 200, "the first has its answer");
            }
            assertTrue(await(host.received).head().contains("id0"), "it came first");
        }
    }

    /** So much stands unread behind its request that reading has paused, and its end behind that: it is looked for ahead of a further attempt, and where there
        is too much to look through, none begins. */
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

    /** Likewise while the connection to the host is dialled. */
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

    /** Writes that many requests, and lets their answers go, until the end. */
    private static void flood(Socket client, int requests) {
        run(() -> {
            for (int i = 0; i < requests; i++) {
                write(client, id(read(60_000), "id" + i));
            }
        });
        run(() -> client.getInputStream().transferTo(OutputStream.nullOutputStream()));
    }

    /** A host that answers markers, and once the latch is let go ends others: turns them away, fails them, or breaks them off with no answer or a spoilt one. */
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

    /** A host whose queue of new connections is full: who comes waits until there is room, and is answered from then on. */
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

        /** Connections that have come beside those that filled it. */
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
                return;  // the other side has left, or the test's end closed it
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** The ids that a host had which had no room, once it has it, beside the markers that it is asked for then. */
    private static Set<String> seen(Node node, Full full, boolean comesUp) throws Exception {
        full.room();
        eventually(() -> full.came() > 0 || !comesUp);
        awaitNobody(node);
        eventually(() -> node.ask(id(read(20_000), "marker")).status() == 200);
        // What is dialled and can't be cancelled comes up all the same: for nobody, and is kept for the marker, which finds it there.
        assertTrue(!comesUp || full.came() == 1, "connections to the host: " + full.came());
        assertEquals(200, node.ask(id(read(20_000), "marker")).status());
        Set<String> ids = new HashSet<>(full.received);
        assertTrue(ids.remove("marker"));
        return ids;
    }

    /** The connection to the host comes up after the client has left, for its first attempt or for a further one. */
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

    /** The module has chosen a host and its connection is being dialled; client's end and connection come up in the same turn. */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true",
        "reset,false,true"})
    void inTheTurnInWhichItsConnectionComesUp(String how, boolean cancel, boolean copies) throws Exception {
        try (Server discovery = discovery(); Server host = host("x"); Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = met(node);
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch left = new CountDownLatch(1);
            node.gateway.ledger().setRequestListener(new RequestListener() {
                @Override
                public void requestReceived(RequestMessage call, RequestAttributes ask) {
                    // Behind the event that dials, and what that leaves to the loop, in the same turn.
                    node.loop.execute(() -> node.loop.execute(() -> node.loop.execute(() -> {
                        dialled.countDown();
                        awaitGo(left);
                    })));
                }

                @Override
                public void requestEnded(RequestMessage call, Result end, Balancer.Why why) { }
            });
            write(client, id(read(60_000), "gone"));
            assertTrue(dialled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            node.gateway.ledger().setRequestListener(null);
            eventually(() -> !host.accepted.isEmpty());
            leaveForGood(client, how);
            left.countDown();
            awaitNobody(node);
            assertEquals(Set.of(), seen(node, host));
        }
    }

    /** Likewise, but the loop stands still once it has found that the connection is up, for longer than the term: the client's end is not among what
        it found. */
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
            node.gateway.ledger().setRequestListener(new RequestListener() {
                @Override
                public void requestReceived(RequestMessage call, RequestAttributes ask) {
                    // Behind the event that dials, and what that leaves to the loop, in the same turn.
                    node.loop.execute(() -> node.loop.execute(() -> node.loop.execute(() -> {
                        dialled.countDown();
                        awaitGo(ready);
                    })));
                }

                @Override
                public void requestEnded(RequestMessage call, Result end, Balancer.Why why) { }
            });
            write(client, id(read(60_000), "gone"));
            assertTrue(dialled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            CountDownLatch held = holdAtNextRequest(node, go);
            eventually(() -> !host.accepted.isEmpty());
            write(holder, id(read(60_000), "holder"));
            ready.countDown();
            assertTrue(held.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            leaveForGood(client, how);
            node.gateway.ledger().setRequestListener(null);
            go.countDown();
            assertEquals(200, Loopback.read(holder).status());
            Set<String> ids = seen(node, host);
            ids.remove("holder");
            assertEquals(Set.of(), ids);
            assertEquals(0, node.loop.submit(() -> node.gateway.ledger().serviceCount().forClass("read").refused()).get(), "known to have left, it is answered by nobody");
        }
    }

    /** The host's refusal was found in the turn in which the loop stands still for longer than the term. */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,false,true", "reset,false,true"})
    void onALateLoopWhoseTurnFoundItsRefusal(String how, boolean cancel, boolean copies) throws Exception {
        CountDownLatch refused = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch rest = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x");
                Server host = new Server(message -> {
                    if (message.header("X-Trace-Id").equals("gone")) {
                        // Its rest comes once the loop stands still, so that nothing can come of it before.
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
            node.gateway.ledger().setRequestListener(null);
            rest.countDown();
            assertEquals(200, Loopback.read(holder).status());
            Set<String> ids = seen(node, host, other);
            ids.remove("holder");
            assertEquals(Set.of(), ids);
        }
    }

    /** It stands behind another one of its own client, whose answer was found in the turn in which the loop stands still for longer than the term. */
    @ParameterizedTest
    @CsvSource({"close,true,true", "close,true,false", "close,false,true", "close,false,false", "half,true,true", "half,false,true", "reset,true,true", "reset,false,true"})
    void onALateLoopWhoseTurnFoundTheAnswerAheadOfIt(String how, boolean cancel, boolean copies) throws Exception {
        CountDownLatch met = new CountDownLatch(3);  // so that a connection stands idle for it, and one for the holder
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
                        // Its rest comes once the loop stands still, so that nothing can come of it before.
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
            passTerm();  // connections rest behind an answer
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
            node.gateway.ledger().setRequestListener(null);
            rest.countDown();
            assertEquals(200, Loopback.read(holder).status());
            Set<String> ids = seen(node, host);
            assertTrue(ids.remove("holder"));
            assertEquals(Set.of(), ids);
        }
    }

    /** The request came while the loop was held, and its client left longer ago than the term when the loop goes on, or in the last moment: read together with
        its end, which stands behind it, nothing is sent; nor where there is no host yet, one that has just started, or one to be dialled. */
    @ParameterizedTest
    @CsvSource({"close,true,after", "close,false,after", "half,true,after", "half,false,after", "reset,true,after", "reset,false,after",
        "close,true,before", "close,false,before", "half,false,before", "reset,false,before", "close,false,cold", "half,false,cold", "reset,false,cold", "close,true,cold",
        "close,false,dialled", "half,false,dialled", "reset,false,dialled", "close,true,dialled"})
    void whileTheLoopWasHeld(String how, boolean cancel, String when) throws Exception {
        try (Server discovery = discovery(); Server host = host("x")) {
            String entry = up("s1", host.address()).replace("\"boot_ms\":0", "\"boot_ms\":" + (when.equals("cold") ? System.currentTimeMillis() : 0));
            try (Node node = node(discovery, cancel, true, entry)) {
                if (!when.equals("dialled") && !when.equals("cold")) {
                    assertEquals(200, node.ask(id(read(20_000), "marker")).status());  // a connection to the host stands
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
                    Loopback.tell(await(discovery.received).socket(), list(2, true, up("s2", host.address())));  // so that markers needn't wait for it
                }
                assertEquals(Set.of(), seen(node, host));
                assertFalse(node.log.toString(StandardCharsets.UTF_8).contains("fault"), node.log.toString(StandardCharsets.UTF_8));
            }
        }
    }

    /** The host ends the request after its client has left, in whatever way has those who stay tried elsewhere: it is not. */
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
            boolean stays = how.equals("stays");  // without whom nothing would show that there would be a further attempt
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
