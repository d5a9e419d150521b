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

/** What may cross with a stop: requests that come just then, in parts or behind others, connections that wait, short deadlines, a stop ahead of the first client. */
class StopCrossingTest {

    private static final String SHORT = SETTINGS.replace("\"deadline\":60000000", "\"deadline\":300000").replace("\"target\":10000000", "\"target\":100000");

    @TempDir
    private Path folder;

    private Node node(Server discovery, Server host, String settings) throws Exception {
        return new Node(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")), settings));
    }

    private static Message ready(Socket client) throws IOException {
        write(client, "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n");
        return Loopback.read(client);
    }

    /** Idle connections close at a moment at which a request stands unread on one: on one that was used, on one that said nothing so far, and
        the rest of one of which a part had come. Each has its answer, and its connection ends behind it. */
    @ParameterizedTest
    @CsvSource({"used,false", "silent,false", "part,false", "silent part,false", "dormant,false", "used,true", "silent,true"})
    void whatStandsUnreadAtTheEndOfServingIsAnswered(String how, boolean shortDeadlines) throws Exception {
        String request = post("once", 20_000, "body");
        try (Server discovery = discovery(); Server host = host("ok"); Node node = node(discovery, host, shortDeadlines ? SHORT : SETTINGS)) {
            Socket client = node.connect();
            if (!how.startsWith("silent")) {
                assertEquals(200, ready(client).status());
            }
            if (how.equals("dormant")) {
                eventually(() -> node.loop.submit(() -> node.clients.connections(false)).get() == 1);
            }
            eventually(() -> node.loop.submit(() -> node.clients.connections()).get() == 1);
            int sent = how.endsWith("part") ? request.length() - 2 : 0;
            if (sent > 0) {
                write(client, request.substring(0, sent));
                eventually(() -> node.loop.submit(() -> node.clients.connections(true)).get() == 1 || how.startsWith("silent"));
            }
            node.loop.submit(() -> {
                write(client, request.substring(sent));
                node.clients.endServing();
                return null;
            }).sync();
            Message answer = Loopback.read(client);
            assertNotNull(answer, "an answer, and no reset");
            assertEquals("ok", answer.text());
            assertEquals("close", answer.header("Connection"));
            assertNull(Loopback.read(client));
        }
    }

    /** The same a moment earlier: a part has been read when serving ends, and the rest comes after. */
    @Test
    void theRestOfARequestMayComeAfterTheEndOfServing() throws Exception {
        String request = post("once", 20_000, "body");
        try (Server discovery = discovery(); Server host = host("ok"); Node node = node(discovery, host, SETTINGS)) {
            Socket client = node.connect();
            assertEquals(200, ready(client).status());
            write(client, request.substring(0, 40));
            node.loop.submit(() -> {
                node.clients.endServing();  // looks at what stands unread there, be it in a part
                return null;
            }).sync();
            write(client, request.substring(40));
            Message answer = Loopback.read(client);
            assertNotNull(answer, "an answer, and no reset");
            assertEquals("ok", answer.text());
        }
    }

    /** A request that was read behind another is owed its answer too: the connection ends with the last one. */
    @Test
    void requestsBehindTheCurrentOneAreAnswered() throws Exception {
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

    /** By deadlines of 0.3 s the platform may kill from 1 s on: nobody has a connection by then, so that nothing can come and stay unanswered. The moment
        is looked at on the gateway's own loop, and a client asks all the while: each answer is whole, and its connection ends with one that says so or, where
        it is between two requests just then, with none. What stands unread in that moment is the test above. */
    @Test
    void withShortDeadlinesServingEndsBeforeTheKill() throws Exception {
        CompletableFuture<Integer> left = new CompletableFuture<>();
        try (Server discovery = discovery(); Server host = host("ok"); Node node = node(discovery, host, SHORT)) {
            Socket client = node.connect();
            Socket idle = node.connect();
            assertEquals(200, ready(client).status());
            assertEquals(200, ready(idle).status());
            node.loop.submit(() -> {
                node.clients.stop(3_000_000, () -> { });
                node.loop.schedule(() -> left.complete(node.clients.connections()), 1_000, TimeUnit.MILLISECONDS);
            }).sync();
            int answers = 0;
            try {
                for (Message answer = ready(client); answer != null; answer = "close".equals(answer.header("Connection")) ? null : ready(client)) {
                    assertEquals(503, answer.status(), "a gateway that stops isn't ready");
                    answers++;
                }
            } catch (SocketException e) {
                client.close();  // what it asked crossed with the end of its connection, unread: clients ask that elsewhere
            }
            assertTrue(answers > 0);
            assertNull(Loopback.read(idle), "an end, and no reset");
            assertEquals(0, left.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    /** By deadlines of 0.05 s all could be answered before the listener closes: the stop, behind which the program ends, is over only then. */
    @Test
    void aStopIsNotOverBeforeItsListenerIsClosed() throws Exception {
        String settings = SETTINGS.replace("\"deadline\":60000000", "\"deadline\":50000").replace("\"target\":10000000", "\"target\":20000");
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        try (Server discovery = discovery(); Server host = host("ok"); Node node = node(discovery, host, settings)) {
            assertEquals(200, ready(node.connect()).status());
            node.loop.submit(() -> node.clients.stop(3_000_000, () -> closed.complete(node.clients.closed()))).sync();
            assertTrue(closed.get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS), "the listener is closed as the stop is over");
        }
    }

    /** A stop ahead of listening: nobody is let in, and the stop is over at once. */
    @Test
    void aStopAheadOfListening() throws Exception {
        PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        TimedLoop timed = TimedLoop.start();
        try (Server discovery = discovery(); Server host = host("ok")) {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")), SETTINGS));
            Main.StartedGateway started = Main.prepare(config, timed, false, out);
            CountDownLatch stopped = new CountDownLatch(1);
            timed.loop().submit(() -> started.clients().stop(3_000_000, stopped::countDown)).sync();
            assertTrue(stopped.await(1, TimeUnit.SECONDS));
            try {
                Main.listen(started, config, out);
            } catch (IllegalArgumentException e) {
                assertFalse(e.getMessage().isEmpty());  // it may say that it can't, or close in the same moment
            }
            eventually(() -> timed.loop().submit(() -> started.clients().closed()).get());
        } finally {
            timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    /** As many connections as are accepted in one look came at once, and nobody behind them. Who comes a second later has not waited since: a request with
        half a second is served. */
    @Test
    void whoComesLongAfterAFullLookHasNotWaited() throws Exception {
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, host, SETTINGS.replace("\"max_open\":20000", "\"max_open\":2000"))) {
            assertEquals(200, node.ask(read(20_000)).status());
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
            List<Socket> sockets = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                sockets.add(node.connect());
            }
            go.countDown();
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1_000);  // the case itself: that time goes by in which nobody comes
            while (System.nanoTime() < until) {
                node.loop.submit(() -> { }).sync();
            }
            assertEquals(200, node.ask(read(500).replace("9b1f", "late")).status());
        }
    }
}
