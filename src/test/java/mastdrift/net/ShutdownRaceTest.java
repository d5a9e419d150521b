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
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Races with a shutdown: requests that arrive just then, in parts or behind others, connections that wait, short
 * deadlines, and a stop before the first client.
 */
class ShutdownRaceTest {

    private static final String SHORT_DEADLINE_SETTINGS = SETTINGS
            .replace("\"deadline\":60000000", "\"deadline\":300000")
            .replace("\"target\":10000000", "\"target\":100000");

    @TempDir
    private Path folder;

    private Node node(Server discovery, Server host, String settings) throws Exception {
        return new Node(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")), settings));
    }

    private static Message requestReady(Socket client) throws IOException {
        write(client, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        return Loopback.read(client);
    }

    /**
     * Idle connections are closed at a moment at which a request is unread on one: on a connection that was used, on
     * one that has sent nothing so far, or the rest of a request of which a part had arrived. Each request is answered,
     * and its connection closes after that.
     */
    @ParameterizedTest
    @CsvSource({"used,false", "silent,false", "part,false", "silent part,false", "dormant,false", "used,true", "silent,true"})
    void requestUnreadWhenServingEndsIsAnswered(String connectionState, boolean shortDeadlines) throws Exception {
        String request = post("once", 20_000, "body");
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, host, shortDeadlines ? SHORT_DEADLINE_SETTINGS : SETTINGS)) {
            Socket client = node.connect();
            if (!connectionState.startsWith("silent")) {
                assertEquals(200, requestReady(client).status());
            }
            if (connectionState.equals("dormant")) {
                eventually(() -> node.loop.submit(() -> node.clients.connectionCount(false)).get() == 1);
            }
            eventually(() -> node.loop.submit(() -> node.clients.connectionCount()).get() == 1);
            int sentLength = connectionState.endsWith("part") ? request.length() - 2 : 0;
            if (sentLength > 0) {
                write(client, request.substring(0, sentLength));
                eventually(() -> node.loop.submit(() -> node.clients.connectionCount(true)).get() == 1
                        || connectionState.startsWith("silent"));
            }
            node.loop.submit(() -> {
                write(client, request.substring(sentLength));
                node.clients.endServing();
                return null;
            }).sync();
            Message answer = Loopback.read(client);
            assertNotNull(answer, "answered, not reset");
            assertEquals("ok", answer.text());
            assertEquals("close", answer.header("Connection"));
            assertNull(Loopback.read(client));
        }
    }

    /** As before, but a part of the request has been read when serving ends, and the rest arrives later. */
    @Test
    void requestCompletedAfterServingEndsIsAnswered() throws Exception {
        String request = post("once", 20_000, "body");
        try (Server discovery = discovery(); Server host = host("ok"); Node node = node(discovery, host, SETTINGS)) {
            Socket client = node.connect();
            assertEquals(200, requestReady(client).status());
            write(client, request.substring(0, 40));
            node.loop.submit(() -> {
                node.clients.endServing();  // reads the unread input, which may be part of a request
                return null;
            }).sync();
            write(client, request.substring(40));
            Message answer = Loopback.read(client);
            assertNotNull(answer, "answered, not reset");
            assertEquals("ok", answer.text());
        }
    }

    /** A request read behind another is owed its answer too: the connection closes with the last one. */
    @Test
    void pipelinedRequestsAreAnsweredAfterServingEnds() throws Exception {
        CountDownLatch answers = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    answers.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    write(message.socket(), answer("200 OK", message.header("X-Trace-Id")));
                });
                Node node = node(discovery, host, SETTINGS)) {
            Socket client = node.connect();
            write(client, read(20_000) + read(20_000).replace("9b1f", "9b20") + read(20_000).replace("9b1f", "9b21"));
            await(host.received);
            node.loop.submit(() -> {
                node.clients.endServing();
                return null;
            }).sync();
            answers.countDown();
            for (String id : List.of("9b1f", "9b20", "9b21")) {
                Message answer = Loopback.read(client);
                assertNotNull(answer, "no answer for " + id);
                assertEquals(id, answer.text());
                assertEquals(id.equals("9b21") ? "close" : null, answer.header("Connection"));
            }
            assertNull(Loopback.read(client));
        }
    }

    /**
     * With deadlines of 0.3 s the platform may kill the process from 1 s on: nobody may have a connection by then, so
     * that no request can arrive and stay unanswered. That moment is checked on the gateway's own loop, while a client
     * sends requests all the time: each answer is complete, and the connection closes with an answer that says so or,
     * if it is between two requests just then, with none. The test above covers input that is unread at that moment.
     */
    @Test
    void servingEndsBeforeTheKillWithShortDeadlines() throws Exception {
        CompletableFuture<Integer> connectionsLeft = new CompletableFuture<>();
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, host, SHORT_DEADLINE_SETTINGS)) {
            Socket client = node.connect();
            Socket idle = node.connect();
            assertEquals(200, requestReady(client).status());
            assertEquals(200, requestReady(idle).status());
            node.loop.submit(() -> {
                node.clients.stop(3_000_000, () -> { });
                node.loop.schedule(() -> connectionsLeft.complete(node.clients.connectionCount()), 1_000,
                        TimeUnit.MILLISECONDS);
            }).sync();
            int answers = 0;
            try {
                for (Message answer = requestReady(client); answer != null;
                        answer = "close".equals(answer.header("Connection")) ? null : requestReady(client)) {
                    assertEquals(503, answer.status(), "a gateway that is shutting down is not ready");
                    answers++;
                }
            } catch (SocketException e) {
                // its request crossed with the close of the connection and is unread: clients send such a request
                // elsewhere
                client.close();
            }
            assertTrue(answers > 0);
            assertNull(Loopback.read(idle), "closed, not reset");
            assertEquals(0, connectionsLeft.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /**
     * A client that rests when serving ends is served once more, and told that its connection closes: a close at that
     * moment could cross its request. One that rests on is closed 2 s later, though a deadline may be longer.
     */
    @Test
    void restingConnectionsOutliveTheEndOfServing() throws Exception {
        CompletableFuture<Long> stoppedAtNanos = new CompletableFuture<>();
        try (Server discovery = discovery(); Server host = host("ok"); Node node = node(discovery, host, SETTINGS)) {
            Socket client = node.connect();
            Socket idle = node.connect();
            assertEquals(200, requestReady(client).status());
            assertEquals(200, requestReady(idle).status());
            long startNanos = System.nanoTime();
            node.loop.submit(() -> node.clients.stop(60_000_000, () -> stoppedAtNanos.complete(System.nanoTime()))).sync();
            Thread.sleep(1_700);
            write(client, read(20_000));
            Message answer = Loopback.read(client);
            assertEquals("ok", answer.text());
            assertEquals("close", answer.header("Connection"));
            assertNull(Loopback.read(idle), "closed, not reset");
            long millis = (stoppedAtNanos.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS) - startNanos) / 1_000_000;
            assertTrue(millis >= 3_450, "stopped after " + millis + " ms");
        }
    }

    /**
     * With deadlines of 0.05 s all requests could be answered before the listener closes: the stop, after which the
     * process ends, may complete only after that.
     */
    @Test
    void stopCompletesOnlyOnceTheListenerIsClosed() throws Exception {
        String settings = SETTINGS.replace("\"deadline\":60000000", "\"deadline\":50000").replace("\"target\":10000000", "\"target\":20000");
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        try (Server discovery = discovery(); Server host = host("ok"); Node node = node(discovery, host, settings)) {
            assertEquals(200, requestReady(node.connect()).status());
            node.loop.submit(() -> node.clients.stop(3_000_000, () -> closed.complete(node.clients.isListenerClosed())))
                    .sync();
            assertTrue(closed.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS),
                    "the listener is closed when the stop completes");
        }
    }

    /** A stop before listening: nobody can connect, and the stop completes at once. */
    @Test
    void stopBeforeListeningCompletesAtOnce() throws Exception {
        PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        TimedEventLoop timed = TimedEventLoop.start();
        try (Server discovery = discovery(); Server host = host("ok")) {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")), SETTINGS));
            Main.StartedGateway started = Main.prepare(config, timed, false, out);
            CountDownLatch stopped = new CountDownLatch(1);
            timed.loop().submit(() -> started.clients().stop(3_000_000, stopped::countDown)).sync();
            assertTrue(stopped.await(1, TimeUnit.SECONDS));
            try {
                Main.listen(started, config, out);
            } catch (IllegalArgumentException e) {
                // it may report that it can't listen, or close at the same moment
                assertFalse(e.getMessage().isEmpty());
            }
            eventually(() -> timed.loop().submit(() -> started.clients().isListenerClosed()).get());
        } finally {
            timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /**
     * As many connections as one turn accepts arrive at once, and none after them. A client that connects a second
     * later has not waited since then: a request with half a second left is served.
     */
    @Test
    void connectionLongAfterAFullAcceptBatchHasNotWaited() throws Exception {
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, host, SETTINGS.replace("\"max_open\":20000", "\"max_open\":2000"))) {
            assertEquals(200, node.ask(read(20_000)).status());
            CountDownLatch stalled = new CountDownLatch(1);
            CountDownLatch release = new CountDownLatch(1);
            node.loop.execute(() -> {
                stalled.countDown();
                try {
                    release.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                sockets.add(node.connect());
            }
            release.countDown();
            // the passing of time in which nobody connects is what the test is about
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_000);
            while (System.nanoTime() < until) {
                node.loop.submit(() -> { }).sync();
            }
            assertEquals(200, node.ask(read(500).replace("9b1f", "late")).status());
        }
    }
}
