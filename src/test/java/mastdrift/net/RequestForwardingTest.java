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
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Script;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests through a complete gateway: what is forwarded, how attempts end, and whether a retry follows. */
class RequestForwardingTest {

    @TempDir
    private Path folder;

    private Node node(Server discovery, String... entries) throws Exception {
        return new Node(environment(folder, discovery, list(1, true, entries), SETTINGS));
    }

    private static String inServiceEntry(String uid, Server host) {
        return entry(uid, host.address(), "a", "in_service");
    }

    @Test
    void requestAndAnswerAreForwardedUnchanged() throws Exception {
        try (Server discovery = discovery(); Server host = host("{\"answer\":1}");
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Message answer = node.ask(post("start", 20_000, "{\"b\": 2}"));
            Message forwarded = await(host.received);
            assertEquals(200, answer.status());
            assertEquals("{\"answer\":1}", answer.text());
            assertEquals("POST /api/x?y=1%20z HTTP/1.1", forwarded.line());
            assertEquals("{\"b\": 2}", forwarded.text());
            assertEquals("9b1f", forwarded.header("X-Trace-Id"));
            assertEquals("5c0f", forwarded.header("Idempotency-Key"));
            int timeLeftMillis = Integer.parseInt(forwarded.header("X-Expires-In-Ms"));
            assertTrue(timeLeftMillis > 0 && timeLeftMillis < 20_000, forwarded.head());
        }
    }

    /** Acts as given on the first request that reaches any of its hosts, and serves the others. */
    private static Script actOnFirstRequest(AtomicInteger count, String action) {
        return message -> {
            if (count.getAndIncrement() > 0) {
                write(message.socket(), answer("200 OK", "late"));
            } else if (action.equals("break")) {
                message.socket().close();
            } else {
                write(message.socket(), action.replace("~", "\r\n"));
                if (action.contains("Length: 9")) {
                    message.socket().close();
                }
            }
        };
    }

    /** A request that never ran goes to the other host even if it must not run twice. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 503 No~X-Never-Ran: 1~Content-Length: 0~~",
        "HTTP/1.1 504 No~X-Never-Ran: 1~Content-Length: 0~~"})
    void requestThatNeverRanIsRetried(String response) throws Exception {
        AtomicInteger count = new AtomicInteger();
        try (Server discovery = discovery(); Server one = new Server(actOnFirstRequest(count, response));
                Server two = new Server(actOnFirstRequest(count, response));
                Node node = node(discovery, inServiceEntry("s1", one), inServiceEntry("s2", two))) {
            assertEquals("late", node.ask(post("once", 20_000, "x")).text());
            assertEquals(2, count.get());
        }
    }

    /** Whichever host the key selects first, it is the closed one in one of the two cases. */
    @ParameterizedTest
    @CsvSource({"s1, s2", "s2, s1"})
    void requestIsRetriedWhenItsHostRefusesTheConnection(String down, String up) throws Exception {
        Server closed = host("");
        closed.close();
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, inServiceEntry(down, closed), inServiceEntry(up, host))) {
            assertEquals(200, node.ask(post("once", 20_000, "x")).status());
        }
    }

    /**
     * Guards against a second effect: after each of these endings the request may have run, so it fails and is not
     * refused.
     */
    @ParameterizedTest
    @ValueSource(strings = {"break", "HTTP/1.1 500 Oh~Content-Length: 0~~", "HTTP/1.1 503 Oh~Content-Length: 0~~",
        "HTTP/1.1 404 Oh~Content-Length: 0~~", "HTTP/1.1 503 Oh~X-Never-Ran: 0~Content-Length: 0~~", "nonsense~~",
        "HTTP/1.1 200 OK~Content-Length: 9~~part", "HTTP/1.1 200 OK~Content-Length: 99999~~"})
    void requestThatMayHaveRunIsNotRetried(String action) throws Exception {
        AtomicInteger count = new AtomicInteger();
        try (Server discovery = discovery(); Server one = new Server(actOnFirstRequest(count, action));
                Server two = new Server(actOnFirstRequest(count, action));
                Node node = node(discovery, inServiceEntry("s1", one), inServiceEntry("s2", two))) {
            assertEquals(502, node.ask(post("once", 20_000, "x")).status());
            assertEquals(1, count.get());
        }
    }

    /** A keyed request that may have run is retried only within the zone that drops its repeats. */
    @ParameterizedTest
    @CsvSource({"a, a, 200, 2", "a, b, 502, 1"})
    void keyedRequestIsRetriedOnlyWithinItsZone(String zone, String other, int status, int sends) throws Exception {
        AtomicInteger count = new AtomicInteger();
        Script script = actOnFirstRequest(count, "break");
        try (Server discovery = discovery(); Server one = new Server(script); Server two = new Server(script);
                Node node = node(discovery, entry("s1", one.address(), zone, "in_service"),
                        entry("s2", two.address(), other, "in_service"))) {
            assertEquals(status, node.ask(post("start", 20_000, "x")).status());
            assertEquals(sends, count.get());
            for (Server host : List.of(one, two)) {
                assertTrue(host.received.stream().allMatch(m -> "5c0f".equals(m.header("Idempotency-Key"))));
            }
        }
    }

    /** Retry-After is the module's value in whole seconds if the settings allow it, and omitted otherwise. */
    @ParameterizedTest
    @CsvSource({"true, 2000000, 2", "true, 500000, 1", "false, 2000000,"})
    void requestIsRefusedWithRetryAfterWhenThereIsNoHost(boolean allowed, long maxRetryAfterMicros, String retryAfter)
            throws Exception {
        String settings = SETTINGS.replace("\"retry_after\":false", "\"retry_after\":" + allowed)
                .replace("\"max_retry_after\":2000000", "\"max_retry_after\":" + maxRetryAfterMicros);
        try (Server discovery = discovery(); Node node = new Node(environment(folder, discovery, list(1, true), settings))) {
            Message answer = node.ask(read(20_000));
            assertEquals(503, answer.status());
            assertEquals(retryAfter, answer.header("Retry-After"));
        }
    }

    /** Guards against a request that outlasts its client: a silent host must not delay the answer. */
    @ParameterizedTest
    @CsvSource({"read, 503", "once, 504"})
    void silentHostIsAbandonedAtTheDeadline(String type, int status) throws Exception {
        try (Server discovery = discovery(); Server host = new Server(message -> { });
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Message answer = node.ask(type.equals("read") ? read(1000) : post(type, 1000, "x"));
            assertEquals(status, answer.status());
            assertNotNull(await(host.ended));
        }
    }

    /** Guards against useless work: when the client disconnects, the connection of its attempt is closed. */
    @Test
    void attemptIsClosedWhenItsClientLeaves() throws Exception {
        try (Server discovery = discovery(); Server host = new Server(message -> { });
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Socket client = node.connect();
            write(client, read(60_000));
            await(host.received);
            client.close();
            assertNotNull(await(host.ended));
            assertEquals(1, host.accepted.size());
        }
    }

    @Test
    void requestsOnOneConnectionAreAnsweredInOrder() throws Exception {
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Socket client = node.connect();
            write(client, read(20_000) + "GET /none HTTP/1.1\r\nHost: s\r\n\r\n" + post("start", 20_000, "x"));
            assertEquals(200, Loopback.read(client).status());
            assertEquals(404, Loopback.read(client).status());
            assertEquals(200, Loopback.read(client).status());
            assertTrue(await(host.received).line().startsWith("GET") && await(host.received).line().startsWith("POST"));
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "400 | nonsense",
        "400 | GET /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: unheard~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~Host: s~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: read~X-Customer: acme",
        "400 | GET /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: soon",
        "400 | GET /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: read~X-Customer: nobody~X-Expires-In-Ms: 900",
        "400 | POST /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: start~X-Customer: acme~X-Expires-In-Ms: 900~Content-Length: 0",
        "404 | GET /other HTTP/1.1~Host: s",
        "405 | DELETE /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: 900",
        "405 | GET /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "405 | POST /ready HTTP/1.1~Host: s~Content-Length: 0",
        "413 | POST /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900~Content-Length: 65537",
        "400 | POST /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Trace-Id: 2~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | POST /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900~X-Expires-In-Ms: 9",
        "400 | POST /api HTTP/1.1~Host: s~X-Trace-Id: 1 2~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | POST /api HTTP/1.1~Host: s~X-Trace-Id: \u00e9~X-Qos: once~X-Customer: acme~X-Expires-In-Ms: 900",
        "400 | GET /api HTTP/1.1~Host: s~X-Trace-Id: 1~X-Qos: read~X-Customer: acme~X-Expires-In-Ms: -9",
        "200 | GET /ready HTTP/1.1~Host: s"})
    void requestThatIsNotForwardedIsAnsweredWithItsStatus(int status, String request) throws Exception {
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Message answer = node.ask(request.replace("~", "\r\n") + "\r\n\r\n");
            assertEquals(status, answer.status());
            assertNull(host.received.peek());
        }
    }

    /**
     * Guards against request smuggling, a request hidden in the body of another: if the end of a request is ambiguous,
     * nothing is forwarded and the connection is closed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 5~Transfer-Encoding: chunked~~0~~", "Transfer-Encoding: gzip~~",
        "Content-Length: 5~Content-Length: 6~~12345", "Content-Length: -1~~", "Content-Length: 99999999999999999999~~",
        "Transfer-Encoding: chunked~~zz~~", "Content-Length : 5~~12345"})
    void requestOfAmbiguousLengthIsNotForwarded(String rest) throws Exception {
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Socket client = node.connect();
            String head = post("once", 20_000, "").replaceFirst("Content-Length.*(?s:.*)", "");
            write(client, head + rest.replace("~", "\r\n") + read(20_000));
            assertEquals(rest.contains("gzip") ? 501 : 400, Loopback.read(client).status());
            assertEquals(-1, client.getInputStream().read());
            assertNull(host.received.peek());
        }
    }

    @Test
    void getWithABodyIsNotForwarded() throws Exception {
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Message answer = node.ask(read(20_000).replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"));
            assertEquals(400, answer.status());
            assertNull(host.received.peek());
        }
    }

    /** Guards against answers mixed up between clients, one of which uses the id of the other's open request. */
    @Test
    void idOfAnOpenRequestIsRejected() throws Exception {
        try (Server discovery = discovery(); Server host = new Server(message -> { });
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Socket first = node.connect();
            write(first, read(60_000));
            Message held = await(host.received);
            assertEquals(409, node.ask(read(60_000)).status());
            write(held.socket(), answer("200 OK", "mine"));
            assertEquals("mine", Loopback.read(first).text());
            write(first, read(60_000));
            assertNotNull(await(host.received));
        }
    }

    /** Guards against connections held by clients that never complete a request, however slowly they trickle it. */
    @ParameterizedTest
    @ValueSource(strings = {"", "GET /api HT", "POST /api HTTP/1.1~Host: s~Content-Length: 99~~part"})
    void connectionIsClosedWhenItsRequestIsIncompleteInTime(String part) throws Exception {
        try (Server discovery = discovery(); Server host = host("ok");
                Node node = node(discovery, inServiceEntry("s1", host))) {
            Socket client = node.connect();
            write(client, part.replace("~", "\r\n"));
            assertEquals(-1, client.getInputStream().read());
            Socket trickling = node.connect();
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < Loopback.WAIT_SECONDS * 100; i++) {
                    write(trickling, "x");
                    Thread.sleep(10);
                }
            });
        }
    }
}
