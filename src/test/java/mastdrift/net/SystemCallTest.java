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

/** System calls that fail as Linux documents, by channels of the test's own. */
class SystemCallTest {

    private static final long DIAL = 20_000_000;
    private static final long IDLE = 5_000_000;
    private static final long LONG = 60_000_000;
    private static final int EXPIRES = 5_000;
    // The library's own pause after a failed accept is a second.
    private static final long ACCEPTED_MILLIS = 500;

    @TempDir
    private Path folder;

    private final TimedLoop timed = TimedLoop.start();
    private final EventLoop loop = timed.loop();

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** A listener of which the next accepts fail; who waits in the system's queue stays there. */
    private static final class FailingListener extends NioServerSocketChannel {

        private final AtomicInteger failures;
        private final String why;

        FailingListener(AtomicInteger failures, String why) {
            this.failures = failures;
            this.why = why;
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (failures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IOException(why);
            }
            return super.doReadMessages(accepted);
        }
    }

    /** ECONNABORTED, EMFILE, ENFILE, ENOBUFS: whoever waits has its answer soon, once or many times in a row. */
    @ParameterizedTest
    @CsvSource({"Software caused connection abort, 1", "Too many open files, 5", "Too many open files in system, 1", "No buffer space available, 5"})
    void anAcceptThatFailsHoldsUpNobodyForLong(String why, int times) throws Exception {
        try (Server discovery = discovery(); Server one = host("one")) {
            Config config = Config.read(environment(folder, discovery, list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS));
            PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
            Main.Started started = Main.prepare(config, timed, false, out);
            AtomicInteger failures = new AtomicInteger();
            started.clients().listener(() -> new FailingListener(failures, why));
            Main.listen(started, config, out);
            try (Socket first = connect(started)) {  // loads classes
                write(first, read(EXPIRES).replace("9b1f", "first"));
                assertEquals(200, Loopback.read(first).status());
            }
            failures.set(times);
            long began = System.nanoTime();
            try (Socket second = connect(started)) {
                write(second, read(EXPIRES));
                assertEquals(200, Loopback.read(second).status());
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
                assertTrue(failures.get() == 0 && millis < ACCEPTED_MILLIS, "answered after " + millis + " ms");
            }
        }
    }

    private static Socket connect(Main.Started started) throws IOException {
        Socket socket = new Socket();
        socket.connect(started.clients().address());
        socket.setSoTimeout(Loopback.WAIT_SECONDS * 1_000);
        return socket;
    }

    /** A socket whose connect fails. */
    private static final class FailingSocket extends NioSocketChannel {

        private final IOException why;

        FailingSocket(IOException why) {
            this.why = why;
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            throw why;
        }
    }

    private static IOException failure(String of) {
        return switch (of) {
            case "EADDRNOTAVAIL" -> new BindException("Cannot assign requested address");
            case "ENOBUFS" -> new SocketException("No buffer space available");
            case "ECONNREFUSED" -> new ConnectException("Connection refused");
            case "ETIMEDOUT" -> new ConnectException("Connection timed out");
            case "EHOSTUNREACH" -> new NoRouteToHostException("No route to host");
            case "ENETUNREACH" -> new SocketException("Network is unreachable");
            default -> throw new IllegalArgumentException(of);
        };
    }

    private Outcome outcome(Supplier<Channel> sockets) throws Exception {
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        try (Server one = host("one")) {
            loop.submit(() -> {
                EndpointGate gate = new EndpointGate();
                gate.apply(1, true, HostList.parse(com.fasterxml.jackson.jr.ob.JSON.std.anyFrom(
                        list(1, true, entry("s1", one.address(), "a", "in_service")))).entries());
                ConnectionPool pool = new ConnectionPool(loop, Clock.system()::now, Timers.of(loop), DIAL, IDLE, 10, line -> { }, sockets);
                return pool.send(gate.find("s1"), new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"), LONG, LONG,
                        (outcome, answer) -> outcomes.add(outcome));
            }).get();
            return await(outcomes);
        }
    }

    /** What failed here was never sent, and is no failure of the server; what failed on the way there is. */
    @ParameterizedTest
    @CsvSource({"EADDRNOTAVAIL, UNUSED", "ENOBUFS, UNUSED", "ECONNREFUSED, DIAL_FAILED", "ETIMEDOUT, DIAL_FAILED", "EHOSTUNREACH, DIAL_FAILED", "ENETUNREACH, DIAL_FAILED"})
    void aDialThatFailsHereIsNotTheServersFault(String of, Outcome expected) throws Exception {
        assertEquals(expected, outcome(() -> new FailingSocket(failure(of))));
    }

    /** EMFILE, ENFILE: there is not even a socket. */
    @ParameterizedTest
    @ValueSource(strings = {"Too many open files", "Too many open files in system"})
    void aSocketThatCantBeOpenedIsNotTheServersFault(String why) throws Exception {
        assertEquals(Outcome.UNUSED, outcome(() -> {
            throw new ChannelException("Failed to open a socket.", new SocketException(why));
        }));
    }

    /** Takes a byte at each write, as a socket whose buffer is full, or an interrupted call. */
    private static final class ShortWrites extends NioSocketChannel {

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
    void shortReadsAndWritesChangeNothing() throws Exception {
        assertEquals(Outcome.DELIVERED, outcome(ShortWrites::new));
    }
}
