package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.eventually;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.tell;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import mastdrift.membership.ListLease;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * In whatever form a drain or a removal arrives, no new request is sent to that endpoint afterwards. Real sockets over
 * loopback, with discovery played by the test.
 */
class DrainTest {

    private static final long SILENCE_MILLIS = CallSchedule.SILENCE / 1_000;

    @TempDir
    private Path folder;

    private Server discovery;
    private Server one;
    private Server two;
    private Node node;

    @BeforeEach
    void open() throws Exception {
        discovery = discovery();
        one = host("one");
        two = host("two");
        node = new Node(environment(folder, discovery, list(1, true, up("s1", one), up("s2", two)), SETTINGS));
    }

    @AfterEach
    void close() throws Exception {
        node.close();
        discovery.close();
        one.close();
        two.close();
    }

    private static String up(String uid, Server host) {
        return entry(uid, host.address(), "a", "in_service");
    }

    private String drained() {
        return entry("s1", one.address(), "a", "terminating");
    }

    private String log() {
        return node.log.toString(StandardCharsets.UTF_8);
    }

    private Socket watch() throws InterruptedException {
        return await(discovery.received).socket();
    }

    /** Requests with any key are served by the other endpoint. */
    private void assertNothingGoesToTheFirst() throws IOException {
        int before = one.received.size();
        for (int key = 0; key < 12; key++) {
            assertEquals("two", node.ask(read(20_000).replace("7f3a", "key-" + key)).text(), log());
        }
        assertEquals(before, one.received.size());
    }

    private static void tellTogether(Socket watch, String... lines) throws IOException {
        tell(watch, String.join("\n", lines));
    }

    /**
     * Blocks the event loop until {@code meanwhile} has run; {@code then} runs on it before it polls its sockets again.
     */
    private void whileHeld(Action meanwhile, Runnable then) throws Exception {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        Future<?> turn = node.loop.submit(() -> {
            held.countDown();
            return over.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
        });
        Future<?> next = node.loop.submit(then);
        held.await();
        meanwhile.run();
        over.countDown();
        turn.get();
        next.get();
    }

    private interface Action {
        void run() throws Exception;
    }

    private static String refused(String how, String entry) {
        return switch (how) {
            case "cut" -> "{\"rev\":4,\"all\":false,\"targets\":[{\"uid\":\"s2\"";
            case "twice" -> list(4, false, entry, entry);
            case "absurd" -> list(4, false, entry.replace("\"capacity_hint\":1.0", "\"capacity_hint\":-1"));
            case "unknown state" -> list(4, false, entry.replace("in_service", "resting"));
            case "no address" -> list(4, false, entry.replaceFirst("\"endpoint\":\"[^\"]*\"", "\"endpoint\":\"nowhere\""));
            case "older" -> list(2, false, entry);
            default -> throw new IllegalArgumentException(how);
        };
    }

    /**
     * A line that is rejected ends its call, but a drain that arrived behind it in the same read counts as received.
     */
    @ParameterizedTest
    @ValueSource(strings = {"cut", "twice", "absurd", "unknown state", "no address", "older"})
    void aDrainBehindARefusedLineIsHeeded(String how) throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        tellTogether(watch, refused(how, up("s2", two)), list(5, false, drained()));
        eventually(() -> log().contains("invalid response"));
        assertNothingGoesToTheFirst();
        assertTrue(log().contains("expected") || how.equals("cut"), log());
    }

    /** A drain counts as received though its list is rejected because of another entry. */
    @ParameterizedTest
    @ValueSource(strings = {"twice", "absurd", "unknown state", "no address"})
    void aDrainWithinARefusedLineIsHeeded(String how) throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        tell(watch, refused(how, up("s3", two)).replace("\"targets\":[", "\"targets\":[" + drained() + ","));
        eventually(() -> log().contains("invalid response"));
        assertNothingGoesToTheFirst();
    }

    /** A host that a full list does not name is removed, though the list is rejected because of other entries. */
    @ParameterizedTest
    @ValueSource(strings = {"twice", "absurd", "unknown state"})
    void whoARefusedWholeListLeavesOutIsGone(String how) throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        String odd = refused(how, up("s3", two)).replace("\"all\":false", "\"all\":true");
        tell(watch, odd.replace("\"targets\":[", "\"targets\":[" + up("s2", two) + ","));
        eventually(() -> log().contains("invalid response"));
        assertNothingGoesToTheFirst();
    }

    /** An empty full list removes all hosts; if it was a glitch, the next list of the same version brings them back. */
    @Test
    void anEmptyWholeListLeavesNobody() throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        tell(watch, list(4, true));
        eventually(() -> log().contains("found none"));
        assertEquals(503, node.ask(read(2_000)).status());
        assertTrue(one.received.isEmpty() && two.received.isEmpty());
        tell(watch(), list(4, true, up("s2", two)));
        eventually(() -> log().contains("list 4: 1 hosts"));
        // its share of the requests returns with the module's next refresh
        eventually(() -> node.ask(read(20_000)).status() == 200);
        assertNothingGoesToTheFirst();
    }

    /**
     * A registry that was rolled back is accepted the second time, but a host that a newer list drained stays drained:
     * only a newer list or another start of the host returns it to service.
     */
    @Test
    void anOlderListReopensNobody() throws Exception {
        Socket watch = watch();
        tell(watch, list(7, true, up("s1", one), up("s2", two)));
        tell(watch, list(8, false, drained()));
        eventually(() -> log().contains("list 8"));
        tell(watch, list(6, true, up("s1", one), up("s2", two)));
        tell(watch(), list(6, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 6: 2 hosts"));
        assertNothingGoesToTheFirst();
    }

    /**
     * A drain in a list older than the current one is applied: it may be the only report that a registry which was
     * rolled back sends.
     */
    @Test
    void aDrainInAnOlderListIsHeededAtOnce() throws Exception {
        Socket watch = watch();
        tell(watch, list(7, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 7"));
        tell(watch, list(6, false, drained()));
        eventually(() -> log().contains("invalid response"));
        assertNothingGoesToTheFirst();
    }

    /** Input that is unread when its call is closed counts as delivered, whatever the reason for closing. */
    @ParameterizedTest
    @CsvSource({"move", "silence"})
    void whatStandsUnreadOnACallThatEndsIsTaken(String why) throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        try (Server elsewhere = discovery()) {
            boolean moves = why.equals("move");
            whileHeld(() -> {
                if (!moves) {
                    // only lets the idle timer become due behind the held loop; the assertions do not depend on it
                    Thread.sleep(SILENCE_MILLIS + 100);
                }
                tell(watch, list(4, false, drained()));
            }, () -> {
                if (moves) {
                    node.gateway.discoverAt(Loopback.at(elsewhere));
                }
            });
            await((moves ? elsewhere : discovery).received);
            assertNothingGoesToTheFirst();
        }
    }

    /**
     * Another call has delivered newer versions: lines of this call up to that version are skipped, and later ones are
     * applied.
     */
    @Test
    void allOlderLinesBehindAnotherCallsNewerOneArePassedOver() throws Exception {
        node.close();
        discovery.close();
        discovery = new Server(message -> { });
        node = new Node(environment(folder, discovery, list(1, true, up("s1", one), up("s2", two)), SETTINGS));
        Socket first = watch();
        Socket hedge = watch();
        whileHeld(() -> {
            for (Socket call : new Socket[] {first, hedge}) {
                write(call, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            tell(first, list(5, false, up("s2", two)));
            tellTogether(hedge, list(5, false, up("s2", two)), list(6, false, up("s2", two)), list(7, false, up("s2", two)));
        }, () -> { });
        eventually(() -> log().contains("list 7"));
        eventually(() -> discovery.ended.contains(first) || discovery.ended.contains(hedge));
        Socket goesOn = discovery.ended.contains(first) ? hedge : first;
        tellTogether(goesOn, list(6, false, up("s2", two)), list(6, false, up("s2", two)), list(7, false, up("s2", two)), list(8, false, drained()));
        eventually(() -> log().contains("list 8"));
        assertNothingGoesToTheFirst();
        assertTrue(!log().contains("invalid response"), log());
    }

    /** A value is complete with its last byte; it does not wait for the end of its line. */
    @Test
    void aDrainIsHeardAheadOfItsLinesEnd() throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        String change = list(4, false, drained());
        write(watch, Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
        eventually(() -> log().contains("list 4"));
        assertNothingGoesToTheFirst();
        write(watch, "1\r\n\n\r\n");
        tell(watch, list(5, false, up("s3", two)));
        eventually(() -> log().contains("list 5"));
        assertTrue(!log().contains("invalid response"), log());
    }

    /** Of two entries with the same uid neither can be preferred, but that one was reported as draining is certain. */
    @Test
    void aUidOfWhichOneCopyDrainsIsDrained() throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        tell(watch, list(4, false, drained(), up("s1", one)));
        eventually(() -> log().contains("invalid response"));
        assertNothingGoesToTheFirst();
    }

    private static void part(Socket watch, String text) throws IOException {
        synchronized (watch) {
            write(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    private Socket watchWithBothInService() throws Exception {
        Socket watch = watch();
        tell(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        return watch;
    }

    /**
     * Input that was sent counts as delivered even if the rest of its list is missing: a drain is applied as soon as
     * its entry has arrived, and if no more arrives, no requests are sent until the rest, or another list, has arrived.
     */
    @ParameterizedTest
    @ValueSource(strings = {"stays away", "comes", "ends", "is reset"})
    void aDrainInAListThatIsNotWholeIsHeeded(String rest) throws Exception {
        Socket watch = watchWithBothInService();
        String change = list(4, false, drained(), up("s2", two));
        int cut = change.length() - 20;
        part(watch, change.substring(0, cut));
        eventually(() -> log().contains("s1 ended"));
        switch (rest) {
            case "stays away" -> eventually(() -> node.ask(read(20_000)).status() == 503);
            case "comes" -> part(watch, change.substring(cut) + "\n");
            case "is reset" -> {
                watch.setSoLinger(true, 0);
                watch.close();
            }
            default -> watch.close();
        }
        if (!rest.equals("comes")) {
            tell(watch(), list(5, false, up("s2", two)));
        }
        eventually(() -> node.ask(read(20_000)).status() == 200);
        assertNothingGoesToTheFirst();
    }

    /** Which hosts the missing part would name is unknown; a full list also removes those that it does not name. */
    @Test
    void aWholeListOfWhichOnlyAPartComesIsNotPassedOver() throws Exception {
        Socket watch = watchWithBothInService();
        String whole = list(4, true, up("s2", two));
        part(watch, whole.substring(0, whole.length() - 5));
        eventually(() -> node.ask(read(20_000)).status() == 503);
        int before = one.received.size();
        assertEquals(503, node.ask(read(20_000)).status());
        assertEquals(before, one.received.size());
        part(watch, whole.substring(whole.length() - 5) + "\n");
        eventually(() -> node.ask(read(20_000)).status() == 200);
        assertNothingGoesToTheFirst();
    }

    /** An older list can't contain anything new, however little of it has arrived. */
    @Test
    void aPartOfAnOlderListChangesNothing() throws Exception {
        Socket watch = watchWithBothInService();
        part(watch, "{\"rev\":2,\"all\":true,\"targets\":[" + up("s2", two));
        eventually(() -> log().contains("incomplete list received"));
        for (long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(2 * ListLease.UNFINISHED); System.nanoTime() < until;) {
            assertEquals(200, node.ask(read(20_000)).status());
        }
    }
}
