package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.Balance;
import mastdrift.limits.ConnectionLimit;
import mastdrift.limits.PhaseBounds;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that hold connections open in various ways, with shortened time bounds per phase. */
class ConnectionLimitsTest {

    private static final long SILENT_BOUND_MICROS = 5_000_000;
    private static final PhaseBounds BOUNDS = new PhaseBounds(SILENT_BOUND_MICROS, 400_000, 400_000, 1_400_000);
    private static final long IDLE_BOUND_MICROS = 1_400_000;
    // Longer than a test waits: a connection that counts as one with a partial request isn't closed.
    private static final PhaseBounds LONG_REQUEST_BOUNDS =
            new PhaseBounds(SILENT_BOUND_MICROS, 600_000_000, 400_000, IDLE_BOUND_MICROS);
    private static final int MAX_CONNECTIONS = 12;
    private static final String LARGE_BODY = "x".repeat(60_000);

    /** What a client does with its connection, for which the gateway closes it. */
    private enum ClientBehavior {
        SENDS_NOTHING, PARTIAL_HEAD, TRICKLED_HEAD, PARTIAL_BODY, IDLE_AFTER_REQUEST, PARTIAL_SECOND_REQUEST,
        NEVER_READS
    }

    @TempDir
    private Path folder;

    private final TimedEventLoop timed = TimedEventLoop.start();
    private final List<Socket> sockets = new ArrayList<>();
    private Server discovery;
    private Server host;
    private HttpFront clients;
    private HttpFront longRequestClients;

    @BeforeEach
    void start() throws Exception {
        discovery = discovery();
        host = new Server(message -> write(message.socket(), answer("200 OK", LARGE_BODY)));
        GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")),
                SETTINGS));
        clients = startFront(config, BOUNDS);
        longRequestClients = startFront(config, LONG_REQUEST_BOUNDS);
    }

    private HttpFront startFront(GatewayConfig config, PhaseBounds bounds) throws Exception {
        HttpFront front = timed.loop().submit(() -> {
            Gateway gateway = new Gateway(config, timed, new Balance(), 100, 100, false,
                    new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
            return new HttpFront(timed.loop(), gateway.ledger(), gateway, config.settings().classes(),
                    config.settings().tenants(), MAX_CONNECTIONS, bounds, line -> { });
        }).get();
        front.listen(new InetSocketAddress("127.0.0.1", 0)).sync();
        return front;
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        discovery.close();
        host.close();
    }

    private Socket connect(String from) throws IOException {
        return connect(from, clients);
    }

    private Socket connect(String from, HttpFront front) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4_096);
        socket.bind(new InetSocketAddress(InetAddress.getByName(from), 0));
        socket.connect(front.address());
        socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
        sockets.add(socket);
        return socket;
    }

    private void requestOnce(Socket socket, String id) throws IOException {
        write(socket, read(20_000).replace("9b1f", id));
        assertEquals(LARGE_BODY, Loopback.read(socket).text());
    }

    private void startBehavior(Socket socket, ClientBehavior behavior) throws IOException {
        switch (behavior) {
            case SENDS_NOTHING -> { }
            case PARTIAL_HEAD, TRICKLED_HEAD -> write(socket, "GET /api HTTP/1.1\r\nHost: s\r\nX-");
            case PARTIAL_BODY -> write(socket, Loopback.post("once", 20_000, "whole").replaceFirst("whole$", "w"));
            case IDLE_AFTER_REQUEST -> requestOnce(socket, "before");
            case PARTIAL_SECOND_REQUEST -> write(socket, read(20_000) + "GET /ap");
            default -> {
                for (int i = 0; i < 8; i++) {
                    write(socket, read(20_000).replace("9b1f", "unread" + i));
                }
            }
        }
    }

    /**
     * The connection is closed, no sooner than its bound allows, while another client on the same loop is served all
     * the time.
     */
    @ParameterizedTest
    @EnumSource(ClientBehavior.class)
    void stallingClientIsClosedAtItsBoundWhileOthersAreServed(ClientBehavior behavior) throws Exception {
        Socket servedClient = connect("127.0.0.1");
        Socket stallingClient = connect("127.0.0.2");
        long startNanos = System.nanoTime();
        startBehavior(stallingClient, behavior);
        boolean open = true;
        for (int i = 0; open; i++) {
            assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(Loopback.WAIT_SECONDS), "still open");
            requestOnce(servedClient, "good" + i);
            if (behavior == ClientBehavior.TRICKLED_HEAD) {
                open = canSend(stallingClient);
            } else if (behavior == ClientBehavior.NEVER_READS) {
                open = isConnected(stallingClient);
            } else {
                stallingClient.setSoTimeout(20);
                open = !isEnded(stallingClient);
            }
            Thread.sleep(20);
        }
        long tookMicros = (System.nanoTime() - startNanos) / 1000;
        assertTrue(tookMicros >= 390_000, "closed after " + tookMicros + " us");
        assertTrue(behavior == ClientBehavior.SENDS_NOTHING == tookMicros >= SILENT_BOUND_MICROS,
                "only a client that sent nothing has the longer bound: closed after " + tookMicros + " us");
        assertTrue(behavior != ClientBehavior.IDLE_AFTER_REQUEST || tookMicros >= 1_390_000,
                "closed after " + tookMicros + " us");
    }

    private static boolean canSend(Socket socket) {
        try {
            socket.getOutputStream().write('x');
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the gateway still has the connection: the client doesn't read, so it finds out by sending a byte. */
    private boolean isConnected(Socket socket) throws Exception {
        return canSend(socket) && timed.loop().submit(() -> clients.connectionCount()).get() > 1;
    }

    private static boolean isEnded(Socket socket) throws IOException {
        try {
            while (socket.getInputStream().read() >= 0) { }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    /**
     * The HTTP handlers are removed after a second between requests and added again for the next one, as often as that
     * happens.
     */
    @Test
    void dormantConnectionIsServedAgain() throws Exception {
        Socket client = connect("127.0.0.1");
        for (int i = 0; i < 2; i++) {
            requestOnce(client, "one" + i);
            assertEquals(1, connectionCount(true), "the HTTP handlers are in the pipeline right after a request");
            Loopback.eventually(() -> connectionCount(false) == 1);
            requestOnce(client, "two" + i);
        }
    }

    private long connectionCount(boolean withHttpHandlers) throws Exception {
        return timed.loop().submit(() -> clients.connectionCount(withHttpHandlers)).get();
    }

    /**
     * Guards against a connection that rests being taken for one with a partial request, for which the time is another
     * and which isn't evicted, because its unread input was looked for and none was there.
     */
    @Test
    void dormantConnectionIsClosedAtItsBoundThoughARequestMayTakeLonger() throws Exception {
        Socket client = connect("127.0.0.1", longRequestClients);
        requestOnce(client, "only");
        assertEquals(-1, client.getInputStream().read());
    }

    /**
     * Many connections from one address that send nothing: they are evicted in favour of each other, and earlier
     * connections stay open.
     */
    @Test
    void floodOfSilentConnectionsEvictsOnlyItsOwn() throws Exception {
        Socket servedClient = connect("127.0.0.1");
        requestOnce(servedClient, "before");
        for (int i = 0; i < 5 * MAX_CONNECTIONS; i++) {
            connect("127.0.0.2");
            if (i % 8 == 0) {
                requestOnce(servedClient, "during" + i);
            }
        }
        requestOnce(servedClient, "after");
        assertTrue(timed.loop().submit(() -> clients.connectionCount()).get() <= MAX_CONNECTIONS + ConnectionLimit.REFUSAL_RESERVE);
        Loopback.eventually(() -> timed.loop().submit(() -> clients.connectionCount()).get() <= MAX_CONNECTIONS);
        assertNull(Loopback.read(sockets.get(1)), "the oldest connection of the flood is closed");
    }
}
