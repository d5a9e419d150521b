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
import static mastdrift.net.Loopback.sendLine;
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

/** Whatever a drain or a removal was told with or behind, nothing new goes to that endpoint: over loopback sockets, discovery by hand. */
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

    /** Every key goes to the endpoint that is left. */
    private void assertNothingGoesToTheFirst() throws IOException {
        int before = one.received.size();
        for (int key = 0; key < 12; key++) {
            assertEquals("two", node.ask(read(20_000).replace("7f3a", "key-" + key)).text(), log());
        }
        assertEquals(before, one.received.size());
    }

    private static void tellTogether(Socket watch, String... lines) throws IOException {
        sendLine(watch, String.join("\n", lines));
    }

    /** The loop runs nothing but this until {@code meanwhile} has been done, and {@code then} ahead of its next look at sockets. */
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

    /** A line that can't be taken ends its call; a drain in the same read behind it was told all the same. */
    @ParameterizedTest
    @ValueSource(strings = {"cut", "twice", "absurd", "unknown state", "no address", "older"})
    void aDrainBehindARefusedLineIsHeeded(String how) throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        tellTogether(watch, refused(how, up("s2", two)), list(5, false, drained()));
        eventually(() -> log().contains("odd answer"));
        assertNothingGoesToTheFirst();
        assertTrue(log().contains("expected") || how.equals("cut"), log());
    }

    /** A drain in a list that can't be taken for another entry's sake was told. */
    @ParameterizedTest
    @ValueSource(strings = {"twice", "absurd", "unknown state", "no address"})
    void aDrainWithinARefusedLineIsHeeded(String how) throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        sendLine(watch, refused(how, up("s3", two)).replace("\"targets\":[", "\"targets\":[" + drained() + ","));
        eventually(() -> log().contains("odd answer"));
        assertNothingGoesToTheFirst();
    }

    /** Who is not named in a whole list is gone, though the list can't be taken for what it says of others. */
    @ParameterizedTest
    @ValueSource(strings = {"twice", "absurd", "unknown state"})
    void whoARefusedWholeListLeavesOutIsGone(String how) throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        String odd = refused(how, up("s3", two)).replace("\"all\":false", "\"all\":true");
        sendLine(watch, odd.replace("\"targets\":[", "\"targets\":[" + up("s2", two) + ","));
        eventually(() -> log().contains("odd answer"));
        assertNothingGoesToTheFirst();
    }

    /** A whole list of nothing says that all are gone; should it have been a glitch, the next list of the same version brings them back. */
    @Test
    void anEmptyWholeListLeavesNobody() throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        sendLine(watch, list(4, true));
        eventually(() -> log().contains("found none"));
        assertEquals(503, node.ask(read(2_000)).status());
        assertTrue(one.received.isEmpty() && two.received.isEmpty());
        sendLine(watch(), list(4, true, up("s2", two)));
        eventually(() -> log().contains("list 4: 1 hosts"));
        eventually(() -> node.ask(read(20_000)).status() == 200);  // its share comes back with the module's next refresh
        assertNothingGoesToTheFirst();
    }

    /** A registry that was set back is believed the second time, but for who was drained in a newer list: that instance comes back by a newer list, or
        by another start. */
    @Test
    void anOlderListReopensNobody() throws Exception {
        Socket watch = watch();
        sendLine(watch, list(7, true, up("s1", one), up("s2", two)));
        sendLine(watch, list(8, false, drained()));
        eventually(() -> log().contains("list 8"));
        sendLine(watch, list(6, true, up("s1", one), up("s2", two)));
        sendLine(watch(), list(6, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 6: 2 hosts"));
        assertNothingGoesToTheFirst();
    }

    /** A drain in a list older than the one in force: it may be all that a registry which was set back has to say. */
    @Test
    void aDrainInAnOlderListIsHeededAtOnce() throws Exception {
        Socket watch = watch();
        sendLine(watch, list(7, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 7"));
        sendLine(watch, list(6, false, drained()));
        eventually(() -> log().contains("odd answer"));
        assertNothingGoesToTheFirst();
    }

    /** What stands unread on a call as it ends was told: whoever ends it. */
    @ParameterizedTest
    @CsvSource({"move", "silence"})
    void whatStandsUnreadOnACallThatEndsIsTaken(String why) throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        try (Server elsewhere = discovery()) {
            boolean moves = why.equals("move");
            whileHeld(() -> {
                if (!moves) {
                    Thread.sleep(SILENCE_MILLIS + 100);  // nothing is proved by it: what the wait is for is the timer that is due behind it
                }
                sendLine(watch, list(4, false, drained()));
            }, () -> {
                if (moves) {
                    node.gateway.setDiscoveryAddress(Loopback.socketAddress(elsewhere));
                }
            });
            await((moves ? elsewhere : discovery).received);
            assertNothingGoesToTheFirst();
        }
    }

    /** Another call has told more: each line of this one up to there is passed over, and what comes behind them is heard. */
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
            sendLine(first, list(5, false, up("s2", two)));
            tellTogether(hedge, list(5, false, up("s2", two)), list(6, false, up("s2", two)), list(7, false, up("s2", two)));
        }, () -> { });
        eventually(() -> log().contains("list 7"));
        eventually(() -> discovery.ended.contains(first) || discovery.ended.contains(hedge));
        Socket goesOn = discovery.ended.contains(first) ? hedge : first;
        tellTogether(goesOn, list(6, false, up("s2", two)), list(6, false, up("s2", two)), list(7, false, up("s2", two)), list(8, false, drained()));
        eventually(() -> log().contains("list 8"));
        assertNothingGoesToTheFirst();
        assertTrue(!log().contains("odd answer"), log());
    }

    /** A value is told when its last byte is there, whenever the end of its line comes. */
    @Test
    void aDrainIsHeardAheadOfItsLinesEnd() throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        String change = list(4, false, drained());
        write(watch, Integer.toHexString(change.length()) + "\r\n" + change + "\r\n");
        eventually(() -> log().contains("list 4"));
        assertNothingGoesToTheFirst();
        write(watch, "1\r\n\n\r\n");
        sendLine(watch, list(5, false, up("s3", two)));
        eventually(() -> log().contains("list 5"));
        assertTrue(!log().contains("odd answer"), log());
    }

    /** Which of the two copies is meant can't be told; that one was told to drain is certain. */
    @Test
    void aUidOfWhichOneCopyDrainsIsDrained() throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        sendLine(watch, list(4, false, drained(), up("s1", one)));
        eventually(() -> log().contains("odd answer"));
        assertNothingGoesToTheFirst();
    }

    private static void part(Socket watch, String text) throws IOException {
        synchronized (watch) {
            write(watch, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    private Socket watchWithBothInService() throws Exception {
        Socket watch = watch();
        sendLine(watch, list(3, true, up("s1", one), up("s2", two)));
        eventually(() -> log().contains("list 3"));
        return watch;
    }

    /** What has been written counts as told, also where its rest stays away: a drain is heeded with its entry, and where no more comes nobody
        is sent to until the rest, or another list, has come. */
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
            sendLine(watch(), list(5, false, up("s2", two)));
        }
        eventually(() -> node.ask(read(20_000)).status() == 200);
        assertNothingGoesToTheFirst();
    }

    /** Whom the part that stays away would name can't be known: of a whole list those whom it leaves out. */
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

    /** An older list can't tell what isn't known, however little of it comes. */
    @Test
    void aPartOfAnOlderListChangesNothing() throws Exception {
        Socket watch = watchWithBothInService();
        part(watch, "{\"rev\":2,\"all\":true,\"targets\":[" + up("s2", two));
        eventually(() -> log().contains("a list has begun"));
        for (long until = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(2 * ListLease.UNFINISHED); System.nanoTime() < until;) {
            assertEquals(200, node.ask(read(20_000)).status());
        }
    }
}
