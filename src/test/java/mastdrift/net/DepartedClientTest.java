package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.eventually;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.post;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that leave with input unread at the gateway, or that come again with the id of the request that they left. */
class DepartedClientTest {

    private static final long ATTEMPT_CUTOFF_MILLIS = 100;
    // More than one turn of the event loop may read of a connection, and less than a socket's buffers hold.
    private static final int UNREAD_BYTES = 2 << 20;

    @TempDir
    private Path folder;

    private Node node(Server discovery, String settings, String... entries) throws Exception {
        return new Node(environment(folder, discovery, list(1, true, entries), settings));
    }

    private static String withTraceId(String request, String traceId) {
        return request.replace("9b1f", traceId);
    }

    private static Server host() throws IOException {
        return new Server(message -> write(message.socket(), answer("200 OK", "x")));
    }

    private static List<String> receivedIds(Server host) {
        return host.received.stream().map(message -> message.header("X-Trace-Id")).toList();
    }

    /** Stalls the loop from when this returns until the latch is released. */
    private static CountDownLatch stall(Node node) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        node.loop.execute(() -> {
            stalled.countDown();
            try {
                release.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        return release;
    }

    private static String unreadInput(String kind) {
        String large = post("once", 60_000, "");
        return switch (kind) {
            case "requests" -> read(60_000).repeat(UNREAD_BYTES / 100);
            case "readiness" -> "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n".repeat(UNREAD_BYTES / 32);
            case "body" -> large.replace("Content-Length: 0", "Content-Length: 60000000") + "x".repeat(UNREAD_BYTES);
            case "chunks" -> large.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "1\r\nx\r\n".repeat(UNREAD_BYTES / 6);
            case "bodies" -> post("once", 60_000, "x".repeat(60_000)).repeat(UNREAD_BYTES / 60_000);
            default -> throw new IllegalArgumentException(kind);
        };
    }

    /** Guards against forwarding a request whose client's close lies behind more unread input than is looked at. */
    @ParameterizedTest
    @ValueSource(strings = {"requests", "readiness", "body", "chunks", "bodies"})
    void requestAheadOfMuchUnreadInputIsNotSentOnceItsClientHasLeft(String kind) throws Exception {
        try (Server discovery = discovery(); Server host = host();
                Node node = node(discovery, SETTINGS, entry("s1", host.address(), "a", "in_service"))) {
            SocketChannel client = SocketChannel.open(node.clients.address());
            eventually(() -> node.loop.submit(() -> node.clients.connectionCount()).get() == 1);
            CountDownLatch release = stall(node);
            client.configureBlocking(false);
            byte[] input = (withTraceId(read(60_000), "gone") + unreadInput(kind)).getBytes(StandardCharsets.US_ASCII);
            client.write(ByteBuffer.wrap(input));  // as much as the buffers hold
            client.close();
            Thread.sleep(ATTEMPT_CUTOFF_MILLIS);  // the passing of this time is what the test is about
            release.countDown();
            eventually(() -> node.loop.submit(() -> node.clients.connectionCount()).get() == 0);
            assertEquals(200, node.ask(withTraceId(read(20_000), "marker")).status());
            assertEquals(List.of("marker"), receivedIds(host));
        }
    }

    /** Guards against a second run of an id that comes again after its client has left. */
    @ParameterizedTest
    @CsvSource({"once,true", "once,false", "start,true", "start,false"})
    void idOfAClientThatHasLeftIsNotSentAgain(String className, boolean cancel) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Server discovery = discovery();
                Server host = new Server(message -> {
                    release.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
                    write(message.socket(), answer("200 OK", "x"));
                });
                Node node = node(discovery, SETTINGS.replace("\"cancel\":true", "\"cancel\":" + cancel),
                        entry("s1", host.address(), "a", "in_service"))) {
            Socket client = node.connect();
            write(client, post(className, 60_000, ""));
            await(host.received);
            client.close();
            eventually(() -> node.loop.submit(() -> node.clients.connectionCount()).get() == 0);
            Socket again = node.connect();
            write(again, post(className, 60_000, ""));
            release.countDown();
            Message refusal = Loopback.read(again);
            assertEquals(409, refusal.status());
            assertEquals(List.of(), receivedIds(host));
        }
    }

    /** Guards against a second run of an id that comes again after it was answered. */
    @Test
    void idThatWasServedIsNotSentAgain() throws Exception {
        try (Server discovery = discovery(); Server host = host();
                Node node = node(discovery, SETTINGS, entry("s1", host.address(), "a", "in_service"))) {
            assertEquals(200, node.ask(post("once", 20_000, "")).status());
            assertEquals(409, node.ask(post("once", 20_000, "")).status());
            assertEquals(List.of("9b1f"), receivedIds(host));
        }
    }

    /** An id that surely never ran may come again: its first copy crossed the end of a connection, or was turned away. */
    @Test
    void idThatNeverRanIsSentAgain() throws Exception {
        try (Server discovery = discovery(); Server host = host();
                Node node = node(discovery, SETTINGS, entry("s1", Loopback.unusedAddress(), "a", "in_service"))) {
            assertTrue(node.ask(post("once", 20_000, "")).status() >= 500);
            Loopback.sendLine(await(discovery.received).socket(), list(2, true, entry("s2", host.address(), "a", "in_service")));
            eventually(() -> node.log.toString(StandardCharsets.UTF_8).contains("list 2"));
            assertEquals(200, node.ask(post("once", 20_000, "")).status());
            assertEquals(List.of("9b1f"), receivedIds(host));
        }
    }
}
