package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against request smuggling: a request that two HTTP implementations might parse differently (RFC 9112) is
 * rejected, its connection closed, and nothing of it reaches a host. In the rows, {@code |} stands for the end of a
 * line, {@code ~} for a tab, {@code ^} for a space.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RequestSmugglingTest {

    private static final AtomicInteger NEXT_ID = new AtomicInteger();
    private static final String READ_FIELDS = "X-Trace-Id: 9b1f|X-Qos: read|X-Customer: acme|X-Expires-In-Ms: 5000|";
    private static final String ONCE_FIELDS = "X-Trace-Id: 9b1f|X-Qos: once|X-Customer: acme|X-Expires-In-Ms: 5000|";

    private Server host;
    private Server discovery;
    private Node node;

    @BeforeAll
    void start(@TempDir Path folder) throws Exception {
        host = host("body");
        discovery = discovery();
        node = new Node(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")),
                SETTINGS));
    }

    @AfterAll
    void stop() throws Exception {
        node.close();
        host.close();
        discovery.close();
    }

    /** The bytes that a row stands for, with an id of its own: every request has another one. */
    private static String decodeRow(String text) {
        return text.replace("9b1f", "id" + NEXT_ID.getAndIncrement()).replace("^", " ").replace("~", "\t").replace("|", "\r\n").replace("%N", "\n").replace("%R", "\r")
                .replace("%0", "\0");
    }

    private void assertRejected(int status, String request) throws Exception {
        try (Socket client = node.connect()) {
            write(client, decodeRow(request));
            Message answer = Loopback.read(client);
            assertNotNull(answer, "an answer is sent");
            assertEquals(status, answer.status());
            assertEquals("close", answer.header("Connection"));
            assertNull(Loopback.read(client), "the connection is closed");
            assertNull(host.received.poll(), "nothing is forwarded");
        }
    }

    /** RFC 9112, sections 3, 2.3, 3.2: the request line. */
    @ParameterizedTest
    @ValueSource(strings = {"^GET /api HTTP/1.1", "~GET /api HTTP/1.1", "GET~/api HTTP/1.1", "GET /api~HTTP/1.1",
        "GET ^/api HTTP/1.1", "GET /api ^HTTP/1.1", "GET /api HTTP/1.1^", "GET /api HTTP/1.1~", "GET /a^pi HTTP/1.1",
        "GET /api HTTP/2.0", "GET /api HTTP/1.2", "GET /api HTTP/0.9", "GET /api HTTP/3.0", "GET /api http/1.1",
        "GET /api HTTP/1", "GET /api HTTP/1.10", "GET /api HTTP/01.1", "GET /api HTTP/ 1.1", "GET /api", "GET",
        "GET http://s/api HTTP/1.1", "GET s/api HTTP/1.1", "GET * HTTP/1.1", "GET s:80 HTTP/1.1", "GET /api%RHTTP/1.1"})
    void ambiguousRequestLineIsRejected(String line) throws Exception {
        assertRejected(400, line + "|Host: s|" + READ_FIELDS + "|");
    }

    /** RFC 9112, sections 3.2, 5.1, 5.2, 5.5, 2.2: header fields. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Host: s|Host: s|", "Host: s|Host: t|", "Host: s, t|", "Host: s t|", "Host: u@s|",
        "Host: s/x|", "Host^: s|", "Host~: s|", "^Host: s|", "Host: s|^X-A: 1|", "Host: s|X-A: 1|^2|", "Host: s|X-A: 1|~2|",
        "Host: s|~|", "Host: s|X-A: 1%0|", "Host: s|X-A: 1%R2|", "Host: s%N", "Host: s|X-A: 1%N", "Host: s|: 1|",
        "Host: s|X A: 1|", "Host: s|X-A|", "Host: s|X(A: 1|", "Host: s|Host%0: t|"})
    void ambiguousFieldsAreRejected(String fields) throws Exception {
        assertRejected(400, "GET /api HTTP/1.1|" + fields + READ_FIELDS + "|");
    }

    /** RFC 9112, sections 6.1, 6.2, 6.3, 7.1: the length of the body. */
    @ParameterizedTest
    @CsvSource(delimiter = '!', value = {"501! Transfer-Encoding: gzip, chunked|", "501! Transfer-Encoding: identity, chunked|",
        "501! Transfer-Encoding: gzip|", "501! Transfer-Encoding: identity|", "501! Transfer-Encoding: xchunked|",
        "501! Transfer-Encoding: chunked;a=b|", "501! Transfer-Encoding: gzip|Transfer-Encoding: chunked|",
        "501! Transfer-Encoding: x'chunked'|", "400! Transfer-Encoding: chunked, gzip|",
        "400! Transfer-Encoding: chunked, chunked|", "400! Transfer-Encoding: chunked|Transfer-Encoding: chunked|",
        "400! Transfer-Encoding: chunked|Transfer-Encoding: identity|", "400! Transfer-Encoding:|",
        "400! Transfer-Encoding: , chunked|", "400! Transfer-Encoding: chunked,|",
        "400! Transfer-Encoding: chunked|Content-Length: 5|", "400! Content-Length: 5|Transfer-Encoding: chunked|",
        "400! Transfer-Encoding: %0chunked|", "400! Transfer-Encoding: |^chunked|", "400! Transfer-Encoding^: chunked|",
        "400! Content-Length: 5|Content-Length: 5|", "400! Content-Length: 5|Content-Length: 6|",
        "400! Content-Length: 5, 5|", "400! Content-Length: +5|", "400! Content-Length: -5|", "400! Content-Length: 0x5|",
        "400! Content-Length: 5 5|", "400! Content-Length: 5.0|", "400! Content-Length:|",
        "400! Content-Length: 99999999999999999999|"})
    void ambiguousBodyLengthIsRejected(int status, String fields) throws Exception {
        assertRejected(status, "POST /api HTTP/1.1|Host: s|" + ONCE_FIELDS + fields + "|5|hello|0||");
    }

    /** RFC 9112, section 6.1: a server must not accept a transfer coding from a version that doesn't define them. */
    @Test
    void transferCodingWithHttp10IsRejected() throws Exception {
        assertRejected(400, "POST /api HTTP/1.0|Host: s|" + ONCE_FIELDS + "Transfer-Encoding: chunked||5|hello|0||");
    }

    /** RFC 9112, section 7.1: chunks. */
    @ParameterizedTest
    @ValueSource(strings = {"x|hello|0||", "0x5|hello|0||", "-5|hello|0||", "|hello|0||", "+5|hello|0||", "5|hellox|0||",
        "5%Nhello|0||", "fffffffff|hello|0||", "5|hello%N0||"})
    void malformedChunksAreRejected(String chunks) throws Exception {
        assertRejected(400, "POST /api HTTP/1.1|Host: s|" + ONCE_FIELDS + "Transfer-Encoding: chunked||" + chunks);
    }

    /**
     * A complete and unambiguous request is served, sent in one write or byte by byte; also after an empty line (RFC
     * 9112, section 2.2).
     */
    @ParameterizedTest
    @ValueSource(strings = {"GET /api HTTP/1.1|Host: s|", "|GET /api HTTP/1.1|Host: s|", "GET /api HTTP/1.0|",
        "GET /api HTTP/1.0|Host: s|", "GET /api HTTP/1.1|Host:|", "GET /api HTTP/1.1|host: s:80|",
        "GET /api HTTP/1.1|Host: [::1]:80|", "GET /api HTTP/1.1|Host:~s~|", "GET /api HTTP/1.1|Host: s|X-A: 1 2~3|",
        "GET /api HTTP/1.1|Host: s|X-Empty:|"})
    void unambiguousRequestIsServed(String head) throws Exception {
        for (boolean bytewise : new boolean[] {false, true}) {
            try (Socket client = node.connect()) {
                client.setTcpNoDelay(true);
                String request = decodeRow(head + READ_FIELDS + "|");
                for (String part : bytewise ? request.split("") : new String[] {request}) {
                    write(client, part);
                }
                assertEquals(200, Loopback.read(client).status());
                Loopback.await(host.received);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Transfer-Encoding: chunked||5|hello|0||", "Transfer-Encoding: Chunked||5;a=b|hello|0||",
        "Content-Length: 5||hello", "Content-Length:^^5~||hello"})
    void bodyIsForwarded(String body) throws Exception {
        try (Socket client = node.connect()) {
            write(client, decodeRow("POST /api HTTP/1.1|Host: s|" + ONCE_FIELDS + body));
            assertEquals(200, Loopback.read(client).status());
            assertEquals("hello", Loopback.await(host.received).text());
        }
    }

    /** Guards against decoder state of one request that affects the next one on its connection. */
    @Test
    void decoderStateIsResetBetweenRequests() throws Exception {
        try (Socket client = node.connect()) {
            String plain = "GET /api HTTP/1.1|Host: s|" + READ_FIELDS + "|";
            String chunked = "POST /api HTTP/1.1|Host: s|" + ONCE_FIELDS + "Transfer-Encoding: chunked||5|hello|0||";
            for (String request : new String[] {plain, chunked, plain, chunked}) {
                write(client, decodeRow(request));
                assertEquals(200, Loopback.read(client).status());
                Loopback.await(host.received);
            }
            write(client, decodeRow("GET /api HTTP/1.1|Host: s|X-A: 1|^2|" + READ_FIELDS + "|"));
            assertEquals(400, Loopback.read(client).status());
            assertNull(Loopback.read(client));
        }
    }

    /** A folded line is detected even if it arrives in a read of its own. */
    @Test
    void foldedLineInASeparateReadIsRejected() throws Exception {
        try (Socket client = node.connect()) {
            client.setTcpNoDelay(true);
            for (String part : decodeRow("GET /api HTTP/1.1|Host: s|X-A: 1|^2|" + READ_FIELDS + "|").split("")) {
                write(client, part);
            }
            assertEquals(400, Loopback.read(client).status());
        }
    }
}
