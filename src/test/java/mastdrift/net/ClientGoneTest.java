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
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer;
import mastdrift.engine.Ask;
import mastdrift.engine.Call;
import mastdrift.engine.Witness;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A client that leaves while its request waits: however that crosses with what it waits for, nothing of it is sent on. What came is counted at the
    host, up to a marker that is sent last. */
class ClientGoneTest {

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

    private static void awaitNobody(Node node) throws Exception {
        eventually(() -> node.loop.submit(() -> node.clients.connections()).get() == 0);
    }

    /** The ids that a host has had once it gets two requests more, one after the other. */
    private static Set<String> seen(Node node, Server host) throws Exception {
        assertEquals(200, node.ask(id(read(20_000), "marker")).status());
        assertEquals(200, node.ask(id(read(20_000), "marker")).status());
        Set<String> ids = new HashSet<>();
        host.received.forEach(message -> ids.add(message.header("X-Trace-Id")));
        assertTrue(ids.remove("marker"));
        return ids;
    }

    /** The loop does nothing from when this returns until the latch is let go. */
    private static CountDownLatch hold(Node node) throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        node.loop.execute(() -> {
            begun.countDown();
            try {
                go.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(begun.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        return go;
    }

    /** More requests stand behind the current one than are kept: the end of the connection is behind them all, and is heard. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void behindPipelinedRequestsTheEndIsHeard(boolean cancel, boolean copies) throws Exception {
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
            client.close();
            awaitNobody(node);
            answers.countDown();
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

    /** The connection to the host comes up after the client has left: a host whose queue of new connections is full lets it wait. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void whileItsConnectionIsDialled(boolean cancel, boolean copies) throws Exception {
        List<Socket> filling = new ArrayList<>();
        List<Socket> accepted = new ArrayList<>();
        try (Server discovery = discovery();
                ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            for (int i = 0; i < 2; i++) {  // the system holds one more than it is told
                filling.add(new Socket(full.getInetAddress(), full.getLocalPort()));
            }
            try (Node node = node(discovery, cancel, copies, up("s1", "127.0.0.1:" + full.getLocalPort()))) {
                Socket client = node.connect();
                write(client, id(read(60_000), "gone"));
                eventually(() -> node.loop.submit(() -> node.gateway.ledger().open()).get() == 1);
                client.close();
                awaitNobody(node);
                full.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
                for (int i = 0; i < filling.size(); i++) {
                    accepted.add(full.accept());
                }
                // What is dialled and can't be cancelled comes up all the same: for nobody, and kept for the marker, which finds it there.
                Socket came = cancel ? null : full.accept();
                Socket marker = node.connect();
                write(marker, id(read(60_000), "marker"));
                came = cancel ? full.accept() : came;
                accepted.add(came);
                came.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
                Message first = Loopback.read(came);
                assertEquals("marker", first.header("X-Trace-Id"));
            }
        } finally {
            for (Socket each : accepted) {
                each.close();
            }
            for (Socket each : filling) {
                each.close();
            }
        }
    }

    /** The module has chosen a host and its connection is being dialled; client's end and connection come up in the same turn. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void inTheTurnInWhichItsConnectionComesUp(boolean cancel, boolean copies) throws Exception {
        try (Server discovery = discovery(); Server host = host("x"); Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = node.connect();
            write(client, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(200, Loopback.read(client).status());
            CountDownLatch dialled = new CountDownLatch(1);
            CountDownLatch left = new CountDownLatch(1);
            node.gateway.ledger().witness(new Witness() {
                @Override
                public void taken(Call call, Ask ask) {
                    // Behind the event that dials, and what that leaves to the loop, in the same turn.
                    node.loop.execute(() -> node.loop.execute(() -> node.loop.execute(() -> {
                        dialled.countDown();
                        try {
                            left.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                        } catch (InterruptedException e) {
                            throw new IllegalStateException(e);
                        }
                    })));
                }

                @Override
                public void ended(Call call, End end, Balancer.Why why) { }
            });
            write(client, id(read(60_000), "gone"));
            assertTrue(dialled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            node.gateway.ledger().witness(null);
            eventually(() -> !host.accepted.isEmpty());
            client.close();
            left.countDown();
            awaitNobody(node);
            assertEquals(Set.of(), seen(node, host));
        }
    }

    /** The request and its client's end came while the loop was held for longer than the term: read together, nothing is sent. */
    @ParameterizedTest
    @CsvSource({"close,true", "close,false", "half,true", "half,false", "reset,true", "reset,false"})
    void whileTheLoopWasHeld(String how, boolean cancel) throws Exception {
        try (Server discovery = discovery(); Server host = host("x"); Node node = node(discovery, cancel, true, up("s1", host.address()))) {
            assertEquals(200, node.ask(id(read(20_000), "marker")).status());  // a connection to the host stands
            Socket client = node.connect();
            write(client, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
            assertEquals(200, Loopback.read(client).status());
            CountDownLatch go = hold(node);
            write(client, id(read(60_000), "gone"));
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(350);
            while (System.nanoTime() < until) {  // how late the loop is, is the case itself
                Thread.onSpinWait();
            }
            if (how.equals("half")) {
                client.shutdownOutput();
            } else {
                client.setSoLinger(how.equals("reset"), 0);
                client.close();
            }
            go.countDown();
            assertEquals(Set.of(), seen(node, host));
            assertFalse(node.log.toString(StandardCharsets.UTF_8).contains("fault"), node.log.toString(StandardCharsets.UTF_8));
        }
    }

    /** The host turns the request away after its client has left: it is not tried elsewhere. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void beforeItsRepeat(boolean cancel, boolean copies) throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        try (Server discovery = discovery(); Server other = host("x");
                Server host = new Server(message -> {
                    left.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
                });
                Node node = node(discovery, cancel, copies, up("s1", host.address()))) {
            Socket client = node.connect();
            write(client, id(read(60_000), "gone"));
            await(host.received);
            Loopback.tell(await(discovery.received).socket(), list(2, true, up("s1", host.address()), up("s2", other.address())));
            client.close();
            awaitNobody(node);
            left.countDown();
            eventually(() -> node.ask(id(read(20_000), "marker")).status() == 200);
            assertEquals(Set.of(), seen(node, other));
        }
    }
}
