package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.eventually;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mastdrift.Balance;
import mastdrift.limits.ConnectionPhase;
import mastdrift.limits.PhaseBounds;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Clients hold all places of the connection table, each in a phase in which its connection is not closed at once to make
 * room. Who connects meanwhile gets a final answer all the same, in time.
 */
class FullConnectionTableTest {

    // Far longer than a test: nobody is closed for having reached the bound of a phase.
    private static final long BOUND_MICROS = 60_000_000;
    private static final int MAX_CONNECTIONS = 6;
    private static final int NEWCOMERS = 40;
    private static final int NEWCOMER_EXPIRES_MILLIS = 2_000;
    private static final int LONG_DEADLINE_MILLIS = 20_000;
    private static final int SHORT_DEADLINE_MILLIS = 1_000;
    // More responses than the buffers of a connection can hold.
    private static final int MAX_UNREAD_RESPONSES = 500;
    private static final long REFUSAL_WAIT_MILLIS = 100;
    private static final String LARGE_BODY = "x".repeat(60_000);
    private static final String REQUEST_BEGIN = "POST /api HTTP/1.1\r\nHost: s\r\nX-";

    /** What the clients that hold all places do. */
    private enum HolderBehavior {
        STOPS_WITHIN_SECOND_REQUEST(ConnectionPhase.PART, ConnectionPhase.STALLED),
        WAITS_FOR_RESPONSE(ConnectionPhase.BUSY),
        NEVER_READS(ConnectionPhase.UNREAD, ConnectionPhase.ABANDONED);

        private final List<ConnectionPhase> phases;

        HolderBehavior(ConnectionPhase... phases) {
            this.phases = List.of(phases);
        }
    }

    @TempDir
    private Path folder;

    private final TimedEventLoop timed = TimedEventLoop.start();
    private final List<Socket> sockets = new ArrayList<>();
    private final CountDownLatch heldAnswers = new CountDownLatch(1);
    private Server discovery;
    private Server host;
    private HttpFront clients;

    @BeforeEach
    void openServers() throws Exception {
        discovery = discovery();
        host = new Server(message -> {
            if (message.header("X-Trace-Id").startsWith("held")) {
                heldAnswers.await();
            }
            write(message.socket(), answer("200 OK", LARGE_BODY));
        });
    }

    private void startGateway(int deadlineMillis) throws Exception {
        String settings = SETTINGS.replace("\"deadline\":60000000", "\"deadline\":" + deadlineMillis * 1_000);
        GatewayConfig config = GatewayConfig.read(environment(folder, discovery,
                list(1, true, entry("s1", host.address(), "a", "in_service")), settings));
        clients = timed.loop().submit(() -> {
            Gateway gateway = new Gateway(config, timed, new Balance(), 100, 100, false,
                    new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
            return new HttpFront(timed.loop(), gateway.ledger(), gateway, config.settings().classes(),
                    config.settings().tenants(), MAX_CONNECTIONS,
                    new PhaseBounds(BOUND_MICROS, BOUND_MICROS, BOUND_MICROS, BOUND_MICROS), line -> { });
        }).get();
        clients.listen(new InetSocketAddress("127.0.0.1", 0)).sync();
    }

    @AfterEach
    void close() throws Exception {
        heldAnswers.countDown();
        for (Socket socket : sockets) {
            socket.close();
        }
        eventually(() -> timed.loop().submit(() -> clients.connectionCount()).get() == 0);
        timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        discovery.close();
        host.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        socket.connect(clients.address());
        socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
        sockets.add(socket);
        return socket;
    }

    private static String request(String id, int expiresMillis) {
        return read(expiresMillis).replace("9b1f", id);
    }

    private int connectionCount(List<ConnectionPhase> phases) throws Exception {
        return timed.loop().submit(() -> phases.stream().mapToInt(clients::connectionCount).sum()).get();
    }

    private List<Socket> fillTable(HolderBehavior behavior) throws Exception {
        List<Socket> holders = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            Socket holder = connect();
            holders.add(holder);
            switch (behavior) {
                case STOPS_WITHIN_SECOND_REQUEST -> stopWithinSecondRequest(holder, "first" + i);
                case WAITS_FOR_RESPONSE -> write(holder, request("held" + i, LONG_DEADLINE_MILLIS));
                case NEVER_READS -> fillBuffers(holder, "unread" + i + "-", i + 1);
            }
        }
        eventually(() -> connectionCount(behavior.phases) == MAX_CONNECTIONS);
        // one more takes any place beyond the limit
        stopWithinSecondRequest(connect(), "beyond");
        return holders;
    }

    private static void stopWithinSecondRequest(Socket holder, String id) throws IOException {
        write(holder, request(id, LONG_DEADLINE_MILLIS) + REQUEST_BEGIN);
        assertNotNull(Loopback.read(holder));
    }

    /** Sends requests, one after the other, and reads none of the responses, until one of them can't be written. */
    private void fillBuffers(Socket holder, String idPrefix, int unreadConnections) throws Exception {
        for (int i = 0; i < MAX_UNREAD_RESPONSES; i++) {
            write(holder, request(idPrefix + i, LONG_DEADLINE_MILLIS));
            host.received.poll(REFUSAL_WAIT_MILLIS, TimeUnit.MILLISECONDS);  // or it was refused
            eventually(() -> connectionCount(HolderBehavior.WAITS_FOR_RESPONSE.phases) == 0);
            if (connectionCount(HolderBehavior.NEVER_READS.phases) == unreadConnections) {
                return;
            }
        }
        throw new AssertionError("buffers hold " + MAX_UNREAD_RESPONSES + " responses");
    }

    private Socket sendAsNewcomer(String id) throws IOException {
        Socket newcomer = connect();
        newcomer.setSoTimeout(NEWCOMER_EXPIRES_MILLIS);
        write(newcomer, request(id, NEWCOMER_EXPIRES_MILLIS));
        return newcomer;
    }

    private static int awaitStatus(Socket newcomer, String id) throws IOException {
        Message response = Loopback.read(newcomer);
        assertNotNull(response, "no final answer in time for " + id);
        assertTrue(response.status() == 200 || response.status() == 503, response.head());
        return response.status();
    }

    /** Guards against accepting that pauses for as long as nobody leaves: what waits in the backlog has been taken. */
    @ParameterizedTest
    @EnumSource(HolderBehavior.class)
    void newcomersAreAnsweredOneAfterTheOther(HolderBehavior behavior) throws Exception {
        startGateway(LONG_DEADLINE_MILLIS);
        fillTable(behavior);
        for (int i = 0; i < NEWCOMERS; i++) {
            awaitStatus(sendAsNewcomer("newcomer" + i), "newcomer" + i);
        }
    }

    /** As above, with more at once than the reserve beyond the limit has places. */
    @ParameterizedTest
    @EnumSource(HolderBehavior.class)
    void newcomersAreAnsweredWhenTheyComeAtOnce(HolderBehavior behavior) throws Exception {
        startGateway(LONG_DEADLINE_MILLIS);
        fillTable(behavior);
        List<Socket> newcomers = new ArrayList<>();
        for (int i = 0; i < NEWCOMERS; i++) {
            newcomers.add(sendAsNewcomer("newcomer" + i));
        }
        for (int i = 0; i < NEWCOMERS; i++) {
            awaitStatus(newcomers.get(i), "newcomer" + i);
        }
    }

    /** A newcomer that stops within its first request doesn't keep those behind it waiting either. */
    @ParameterizedTest
    @EnumSource(HolderBehavior.class)
    void newcomersAreAnsweredBehindOthersThatStopWithinTheirFirstRequest(HolderBehavior behavior) throws Exception {
        startGateway(LONG_DEADLINE_MILLIS);
        fillTable(behavior);
        for (int i = 0; i < NEWCOMERS; i++) {
            write(connect(), REQUEST_BEGIN);
            awaitStatus(sendAsNewcomer("newcomer" + i), "newcomer" + i);
        }
    }

    /** Clients that stop within a request lose their places to others long before the bound for completing it. */
    @Test
    void stalledRequestsMakeRoom() throws Exception {
        startGateway(LONG_DEADLINE_MILLIS);
        fillTable(HolderBehavior.STOPS_WITHIN_SECOND_REQUEST);
        awaitService();
    }

    /** Clients that don't read lose their places once their responses are of no use to them any more. */
    @Test
    void abandonedResponsesMakeRoom() throws Exception {
        startGateway(SHORT_DEADLINE_MILLIS);
        fillTable(HolderBehavior.NEVER_READS);
        awaitService();
    }

    private void awaitService() throws Exception {
        int[] attempts = new int[1];
        eventually(() -> {
            String id = "newcomer" + attempts[0]++;
            return awaitStatus(sendAsNewcomer(id), id) == 200;
        });
    }

    /**
     * Guards against a new connection that is closed for the next one while its request is on its way: the request had
     * no answer. A pair that took longer than such a connection is spared says nothing.
     */
    @Test
    void newConnectionIsNotClosedForTheNextOne() throws Exception {
        startGateway(LONG_DEADLINE_MILLIS);
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            write(connect(), request("held" + i, LONG_DEADLINE_MILLIS));
        }
        eventually(() -> connectionCount(HolderBehavior.WAITS_FOR_RESPONSE.phases) == MAX_CONNECTIONS - 1);
        int[] pairs = new int[2];
        eventually(() -> {
            String id = "pair" + pairs[0]++;
            long beganNanos = System.nanoTime();
            try (Socket first = connect(); Socket next = sendAsNewcomer(id + "next")) {
                awaitStatus(next, id + "next");
                if (System.nanoTime() - beganNanos < TimeUnit.MICROSECONDS.toNanos(PhaseBounds.NEW_BEFORE_SILENT_MICROS)) {
                    write(first, request(id + "first", NEWCOMER_EXPIRES_MILLIS));
                    awaitStatus(first, id + "first");
                    pairs[1]++;
                }
            }
            return pairs[1] >= NEWCOMERS;
        });
    }

    /** Requests in progress keep their connections, whoever comes, and are answered. */
    @Test
    void requestsInProgressAreAnswered() throws Exception {
        startGateway(LONG_DEADLINE_MILLIS);
        List<Socket> holders = fillTable(HolderBehavior.WAITS_FOR_RESPONSE);
        for (int i = 0; i < NEWCOMERS; i++) {
            awaitStatus(sendAsNewcomer("newcomer" + i), "newcomer" + i);
        }
        heldAnswers.countDown();
        for (Socket holder : holders) {
            assertNotNull(Loopback.read(holder), "a request in progress lost its connection");
        }
    }

    /** A newcomer that was refused for lack of room is told that its connection closes; what it pipelined is answered. */
    @Test
    void refusedNewcomerIsAnsweredOnceForEachRequestAndThenClosed() throws Exception {
        startGateway(LONG_DEADLINE_MILLIS);
        fillTable(HolderBehavior.WAITS_FOR_RESPONSE);
        Socket newcomer = connect();
        write(newcomer, request("one", NEWCOMER_EXPIRES_MILLIS) + request("two", NEWCOMER_EXPIRES_MILLIS));
        Message first = Loopback.read(newcomer);
        Message second = Loopback.read(newcomer);
        assertEquals(List.of(503, 503), List.of(first.status(), second.status()));
        assertEquals("close", second.header("Connection"));
        assertEquals(-1, newcomer.getInputStream().read());
    }
}
