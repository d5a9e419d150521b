package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Clock;
import mastdrift.engine.EndpointGate;
import mastdrift.engine.Timers;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** System calls that fail as Linux documents it, simulated by channel implementations of the test. */
class SystemCallFailureTest {

    private static final long DIAL_TIMEOUT_MICROS = 20_000_000;
    private static final long IDLE_TIMEOUT_MICROS = 5_000_000;
    private static final long ATTEMPT_TIMEOUT_MICROS = 60_000_000;
    private static final int EXPIRES_MILLIS = 5_000;
    // Netty itself pauses for a second after a failed accept.
    private static final long MAX_ACCEPT_MILLIS = 500;

    @TempDir
    private Path folder;

    private final TimedEventLoop timed = TimedEventLoop.start();
    private final EventLoop loop = timed.loop();

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A listener whose next accepts fail; waiting clients stay in the listen backlog. */
    private static final class FailingListener extends NioServerSocketChannel {

        private final AtomicInteger failures;
        private final String message;

        FailingListener(AtomicInteger failures, String message) {
            this.failures = failures;
            this.message = message;
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (failures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IOException(message);
            }
            return super.doReadMessages(accepted);
        }
    }

    /**
     * ECONNABORTED, EMFILE, ENFILE, ENOBUFS: a waiting client is answered soon, whether the failure occurs once or many
     * times in a row.
     */
    @ParameterizedTest
    @CsvSource({"Software caused connection abort, 1", "Too many open files, 5", "Too many open files in system, 1", "No buffer space available, 5"})
    void waitingClientIsServedSoonAfterAcceptFails(String message, int times) throws Exception {
        try (Server discovery = discovery(); Server one = host("one")) {
            GatewayConfig config = GatewayConfig.read(environment(folder, discovery, list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS));
            PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
            Main.StartedGateway started = Main.prepare(config, timed, false, out);
            AtomicInteger failures = new AtomicInteger();
            started.clients().setServerChannelFactory(() -> new FailingListener(failures, message));
            Main.listen(started, config, out);
            try (Socket first = connect(started)) {  // loads classes
                write(first, read(EXPIRES_MILLIS).replace("9b1f", "first"));
                assertEquals(200, Loopback.read(first).status());
            }
            failures.set(times);
            long startNanos = System.nanoTime();
            try (Socket second = connect(started)) {
                write(second, read(EXPIRES_MILLIS));
                assertEquals(200, Loopback.read(second).status());
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                assertTrue(failures.get() == 0 && millis < MAX_ACCEPT_MILLIS, "answered after " + millis + " ms");
            }
        }
    }

    private static Socket connect(Main.StartedGateway started) throws IOException {
        Socket socket = new Socket();
        socket.connect(started.clients().address());
        socket.setSoTimeout(Loopback.WAIT_SECONDS * 1_000);
        return socket;
    }

    /** A socket whose connect fails. */
    private static final class FailingSocket extends NioSocketChannel {

        private final IOException failure;

        FailingSocket(IOException failure) {
            this.failure = failure;
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            throw failure;
        }
    }

    private static IOException failure(String errno) {
        return switch (errno) {
            case "EADDRNOTAVAIL" -> new BindException("Cannot assign requested address");
            case "ENOBUFS" -> new SocketException("No buffer space available");
            case "ECONNREFUSED" -> new ConnectException("Connection refused");
            case "ETIMEDOUT" -> new ConnectException("Connection timed out");
            case "EHOSTUNREACH" -> new NoRouteToHostException("No route to host");
            case "ENETUNREACH" -> new SocketException("Network is unreachable");
            default -> throw new IllegalArgumentException(errno);
        };
    }

    private Outcome outcomeOfSend(Supplier<Channel> socketFactory) throws Exception {
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        try (Server one = host("one")) {
            loop.submit(() -> {
                EndpointGate gate = new EndpointGate();
                gate.apply(1, true, HostList.parse(com.fasterxml.jackson.jr.ob.JSON.std.anyFrom(
                        list(1, true, entry("s1", one.address(), "a", "in_service")))).entries());
                ConnectionPool pool = new ConnectionPool(loop, Clock.system()::now, Timers.of(loop),
                        DIAL_TIMEOUT_MICROS, IDLE_TIMEOUT_MICROS, 10, line -> { }, socketFactory);
                return pool.send(gate.find("s1"),
                        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"),
                        ATTEMPT_TIMEOUT_MICROS, ATTEMPT_TIMEOUT_MICROS,
                        (outcome, answer) -> outcomes.add(outcome));
            }).get();
            return await(outcomes);
        }
    }

    /**
     * A failure on this machine means that nothing was sent, and is no failure of the server; a failure on the way to
     * the server is.
     */
    @ParameterizedTest
    @CsvSource({"EADDRNOTAVAIL, UNUSED", "ENOBUFS, UNUSED", "ECONNREFUSED, DIAL_FAILED", "ETIMEDOUT, DIAL_FAILED", "EHOSTUNREACH, DIAL_FAILED", "ENETUNREACH, DIAL_FAILED"})
    void onlyRemoteDialFailureIsAttributedToTheServer(String errno, Outcome expected) throws Exception {
        assertEquals(expected, outcomeOfSend(() -> new FailingSocket(failure(errno))));
    }

    /** EMFILE, ENFILE: not even a socket can be opened. */
    @ParameterizedTest
    @ValueSource(strings = {"Too many open files", "Too many open files in system"})
    void socketOpenFailureIsNotAttributedToTheServer(String message) throws Exception {
        assertEquals(Outcome.UNUSED, outcomeOfSend(() -> {
            throw new ChannelException("Failed to open a socket.", new SocketException(message));
        }));
    }

    /** Reads and writes one byte at a time, like a socket whose buffer is full or whose calls are interrupted. */
    private static final class ShortReadWriteSocket extends NioSocketChannel {

        @Override
        protected int doWriteBytes(io.netty.buffer.ByteBuf bytes) throws Exception {
            return bytes.isReadable() ? bytes.readBytes(javaChannel(), 1) : 0;
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer out) throws Exception {
            for (Object next = out.current(); next != null; next = out.current()) {
                io.netty.buffer.ByteBuf bytes = (io.netty.buffer.ByteBuf) next;
                int written = doWriteBytes(bytes);
                out.progress(written);
                if (!bytes.isReadable()) {
                    out.remove();
                }
            }
        }

        @Override
        protected int doReadBytes(io.netty.buffer.ByteBuf into) throws Exception {
            return into.writeBytes(javaChannel(), 1);
        }
    }

    @Test
    void requestIsDeliveredDespiteShortReadsAndWrites() throws Exception {
        assertEquals(Outcome.DELIVERED, outcomeOfSend(ShortReadWriteSocket::new));
    }
}
