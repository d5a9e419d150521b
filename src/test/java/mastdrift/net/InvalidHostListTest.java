package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.sendLine;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Discovery sends lists that are implausible or can't be parsed: the last valid list stays current, one log line says
 * what was expected where and what was found, and the next call follows soon.
 */
class InvalidHostListTest {

    @TempDir
    private Path folder;

    private static void assertServedBy(Node node, String body) throws IOException {
        assertEquals(body, node.ask(read(20_000)).text());
    }

    private static String log(Node node) {
        return node.log.toString(StandardCharsets.UTF_8);
    }

    /**
     * Applies a valid list of version 7, whose only host is s2, sends the invalid one, and checks the log and the next
     * call.
     */
    private void assertRejectedAfterValidList(Server two, Server discovery, Node node, InvalidList invalidList,
            String expected, boolean omitsHost) throws Exception {
        Message first = await(discovery.received);
        sendLine(first.socket(), list(7, true, entry("s2", two.address(), "a", "in_service")));
        for (int i = 0; !log(node).contains("list 7"); i++) {
            assertTrue(i < Loopback.WAIT_SECONDS * 100, log(node));
            Thread.sleep(10);
        }
        assertServedBy(node, "two");
        invalidList.send(first.socket());
        Message next = await(discovery.received);
        assertEquals("GET /v1/endpoints?watch=1&from=" + (omitsHost ? 0 : 7) + " HTTP/1.1", next.line());
        // a full list removes a host that it does not name, even if the list is rejected, until another list names it
        if (omitsHost) {
            int before = two.received.size();
            assertEquals(503, node.ask(read(2_000)).status());
            assertEquals(before, two.received.size());
            sendLine(next.socket(), list(8, true, entry("s2", two.address(), "a", "in_service")));
            Loopback.eventually(() -> node.ask(read(20_000)).status() == 200);
        }
        assertServedBy(node, "two");
        String log = log(node);
        assertTrue(log.contains("discovery failed: ") && log.contains(expected), log);
        assertEquals(log.indexOf("discovery failed"), log.lastIndexOf("discovery failed"), log);
    }

    private interface InvalidList {
        void send(Socket watch) throws Exception;
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "false | {\"rev\":8,\"all\":true,\"targ | Unexpected end-of-input",
        "false | {\"rev\":8,\"all\":true} | expected a list with rev, all and targets, found one with [rev, all]",
        "true | {\"rev\":8,\"all\":true,\"targets\":[]} | list 8, targets: expected hosts, found none",
        "false | {\"rev\":6,\"all\":true,\"targets\":[S1]} | list 6, rev: expected 7 or newer, found 6",
        "true | {\"rev\":8,\"all\":true,\"targets\":[S1,S1]} | targets[1] (s1): expected each uid once, found it again",
        "true | {\"rev\":8,\"all\":true,\"targets\":[S1,{\"uid\":\"x\",\"endpoint\":\"127.0.0.1:70000\",\"state\":\"in_service\"}]} | targets[1]: expected address:port, not 127.0.0.1:70000",
        "true | {\"rev\":8,\"all\":true,\"targets\":[{\"uid\":\"x\",\"endpoint\":\"127.0.0.1:7\",\"state\":\"up\"}]} | targets[0]: expected in_service, terminating or terminated of x, found \"up\"",
        "true | {\"rev\":8,\"all\":true,\"targets\":[{\"uid\":\"x\",\"endpoint\":\"127.0.0.1:7\",\"state\":\"in_service\",\"capacity_hint\":-1}]} | targets[0] (x).capacity_hint: expected 0 to 1000000, found -1.0",
        "true | {\"rev\":8,\"all\":true,\"targets\":[{\"uid\":\"x\",\"endpoint\":\"127.0.0.1:7\",\"state\":\"in_service\",\"boot_ms\":-5}]} | targets[0] (x).boot_ms: expected 0 or a time in milliseconds, found -5",
        "true | {\"rev\":8,\"all\":true,\"targets\":[{\"uid\":\"x\",\"endpoint\":\"127.0.0.1:7\",\"state\":\"in_service\",\"boot_ms\":9223372036854775807}]} | targets[0]: long overflow"})
    void invalidListIsRejectedAndItsFaultLogged(boolean omitsHost, String invalidLine,
            String expected) throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery,
                        list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS))) {
            String s1 = entry("s1", one.address(), "a", "in_service");
            assertRejectedAfterValidList(two, discovery, node, watch -> sendLine(watch, invalidLine.replace("S1", s1)),
                    expected, omitsHost);
        }
    }

    /** A line that never ends times out: bytes without a line end don't show that the call is alive. */
    @Test
    void lineThatNeverEndsTimesOut() throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery,
                        list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS))) {
            assertRejectedAfterValidList(two, discovery, node, watch -> {
                for (int i = 0; i < 100 && discovery.received.isEmpty(); i++) {
                    try {
                        write(watch, "1\r\n{\r\n");
                    } catch (IOException closed) {
                        return;
                    }
                    Thread.sleep(100);
                }
            }, "expected a line within 2500 ms, found ", false);
        }
    }

    /** Rule 3 takes precedence: a drain counts as received though its list is rejected. */
    @Test
    void drainInARejectedListIsApplied() throws Exception {
        try (Server discovery = discovery(); Server one = host("one"); Server two = host("two");
                Node node = new Node(environment(folder, discovery,
                        list(1, true, entry("s1", one.address(), "a", "in_service"),
                        entry("s2", two.address(), "a", "in_service")), SETTINGS))) {
            Message first = await(discovery.received);
            sendLine(first.socket(), list(8, false, entry("s1", one.address(), "a", "terminating"),
                    "{\"uid\":\"x\",\"endpoint\":\"127.0.0.1:7\",\"state\":\"in_service\",\"capacity_hint\":-1}"));
            await(discovery.received);
            for (int i = 0; i < 20; i++) {
                assertServedBy(node, "two");
            }
        }
    }
}
