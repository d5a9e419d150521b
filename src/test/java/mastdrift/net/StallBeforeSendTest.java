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
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import mastdrift.Balance;
import mastdrift.Balancer;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The process stalls for 0.15 s between the decision to send an attempt and its first byte, or a turn of the event loop
 * takes long.
 */
class StallBeforeSendTest {

    private static final long STALL_MILLIS = 150;
    private static final int EXPIRES_MILLIS = 5_000;
    // Tolerance by which the time that a server is told may exceed what the client has left.
    private static final long TOLERANCE_MILLIS = 150;

    @TempDir
    private Path folder;

    private final TimedEventLoop timed = TimedEventLoop.start();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile Runnable beforeSend = () -> { };
    private Server discovery;
    private Server host;
    private HttpFront clients;

    @BeforeEach
    void open() throws Exception {
        discovery = discovery();
        host = host("one");
        GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true, entry("s1", host.address(), "a", "in_service")), SETTINGS));
        clients = timed.loop().submit(() -> {
            Gateway gateway = new Gateway(config, timed, withSendHook(new Balance()), 100, 100, false,
                    new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
            return new HttpFront(timed.loop(), gateway.ledger(), gateway, config.settings().classes(),
                    config.settings().tenants(), 100, line -> { });
        }).get();
        clients.listen(new InetSocketAddress("127.0.0.1", 0)).sync();
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

    /** The module, with a hook of the test run before each of its sends. */
    private Balancer withSendHook(Balancer module) {
        return proxy(Balancer.class, (method, arguments) -> {
            if (method.getName().equals("start")) {
                arguments[2] = withSendHook((Balancer.Actions) arguments[2]);
            }
            return method.invoke(module, arguments);
        });
    }

    private Balancer.Actions withSendHook(Balancer.Actions actions) {
        return proxy(Balancer.Actions.class, (method, arguments) -> {
            if (method.getName().equals("send")) {
                beforeSend.run();
            }
            return method.invoke(actions, arguments);
        });
    }

    private interface Invocation {
        Object invoke(Method method, Object[] arguments) throws ReflectiveOperationException;
    }

    private static <T> T proxy(Class<T> type, Invocation invocation) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, arguments) -> {
            try {
                return invocation.invoke(method, arguments);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        }));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(clients.address());
        socket.setSoTimeout(Loopback.WAIT_SECONDS * 1000);
        sockets.add(socket);
        return socket;
    }

    private static void pause(long millis) {
        for (long until = System.nanoTime() + millis * 1_000_000; System.nanoTime() < until; ) {
            LockSupport.parkNanos(until - System.nanoTime());
        }
    }

    /**
     * A client that disconnects during the stall is gone by the time the first byte would be sent: on an open
     * connection, and on one that is being dialled.
     */
    @ParameterizedTest
    @ValueSource(strings = {"is open, close", "is open, reset", "is dialled, close", "is dialled, reset"})
    void noAttemptIsSentWhenClientLeavesDuringStall(String connection) throws Exception {
        if (connection.startsWith("is open")) {
            Socket before = connect();
            write(before, read(EXPIRES_MILLIS).replace("9b1f", "before"));
            assertEquals(200, Loopback.read(before).status());
            await(host.received);
            pause(50);  // a connection is not used again within 25 ms after an answer
        }
        Socket leaving = connect();
        if (connection.endsWith("reset")) {
            leaving.setSoLinger(true, 0);
        }
        CountDownLatch decided = new CountDownLatch(1);
        beforeSend = () -> {
            beforeSend = () -> { };
            try {
                leaving.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            pause(STALL_MILLIS);
            decided.countDown();
        };
        leaving.getOutputStream().write(read(EXPIRES_MILLIS).getBytes(StandardCharsets.US_ASCII));
        assertTrue(decided.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        Socket after = connect();
        write(after, read(EXPIRES_MILLIS).replace("9b1f", "after"));
        assertEquals(200, Loopback.read(after).status());
        Message first = await(host.received);
        assertEquals("after", first.header("X-Trace-Id"), "an attempt for a client that had left 0.15 s before");
    }

    /**
     * The time that a server is told must not exceed what the client has left, whatever the stall, including one after
     * the decision.
     */
    @Test
    void serverIsToldNoMoreTimeThanTheClientHasLeft() throws Exception {
        beforeSend = () -> pause(STALL_MILLIS);
        Socket client = connect();
        long sent = System.nanoTime();
        write(client, read(EXPIRES_MILLIS));
        assertToldWithinTimeLeft(await(host.received), sent);
    }

    /** Several requests arrive in one turn of a late loop; each is decided on after the stalls of those before it. */
    @Test
    void serverIsToldNoMoreTimeThanTheClientHasLeftAfterALateTurn() throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        timed.loop().execute(() -> {
            stalled.countDown();
            try {
                written.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            pause(2 * STALL_MILLIS);
        });
        assertTrue(stalled.await(Loopback.WAIT_SECONDS, TimeUnit.SECONDS));
        beforeSend = () -> pause(STALL_MILLIS);
        long sent = System.nanoTime();
        for (int i = 0; i < 4; i++) {
            write(connect(), read(EXPIRES_MILLIS).replace("9b1f", "id-" + i).replace("7f3a", "key-" + i));
        }
        written.countDown();
        for (int i = 0; i < 4; i++) {
            assertToldWithinTimeLeft(await(host.received), sent);
        }
    }

    /** Measured at the server, slightly later than the first byte is sent, which makes the check stricter. */
    private static void assertToldWithinTimeLeft(Message request, long sentNanos) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        long toldMillis = Long.parseLong(request.header("X-Expires-In-Ms"));
        assertTrue(toldMillis <= EXPIRES_MILLIS - elapsedMillis + TOLERANCE_MILLIS,
                "told " + toldMillis + " ms, " + elapsedMillis + " ms after the client had sent");
    }

    /** All requests are answered in bounded time despite the stalls. */
    @Test
    void allRequestsAreAnsweredDespiteStalls() throws Exception {
        beforeSend = () -> pause(STALL_MILLIS);
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Socket client = connect();
            write(client, read(EXPIRES_MILLIS).replace("9b1f", "id-" + i));
            waiting.add(client);
        }
        for (Socket client : waiting) {
            assertEquals(200, Loopback.read(client).status());
        }
        eventually(() -> clients.connectionCount() == waiting.size());
    }
}
