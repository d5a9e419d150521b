package mastdrift.net;

import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import mastdrift.engine.EndpointGate;
import mastdrift.engine.Timers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What may arrive on a connection to a host while it is reused: its close, a second answer, or an answer before its
 * request is complete. The clock is the test's.
 */
class ConnectionReuseTest {

    private static final long TIMEOUT_MICROS = 60_000_000;

    private final EventLoop loop = TimedEventLoop.start().loop();
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final EndpointGate gate = new EndpointGate();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private ConnectionPool pool(Server host) throws Exception {
        return onLoop(() -> {
            ConnectionPool pool = new ConnectionPool(loop, clock::get, Timers.of(loop), TIMEOUT_MICROS, TIMEOUT_MICROS,
                    10, line -> { });
            HostList list = HostList.parse(JSON.std.anyFrom(list(1, true, entry("s1", host.address(), "a", "in_service"))));
            gate.apply(list.version(), true, list.entries());
            return pool;
        });
    }

    private void send(ConnectionPool pool, String id, int length) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api", Unpooled.wrappedBuffer(new byte[length]));
        message.headers().set("X-Trace-Id", id).set("Content-Length", length);
        pool.send(gate.find("s1"), message, TIMEOUT_MICROS, TIMEOUT_MICROS, (outcome, answer) ->
                outcomes.add(id + " " + outcome + (answer == null ? "" : " "
                        + answer.content().toString(StandardCharsets.US_ASCII))));
    }

    private static Server hostAnsweringWithTraceId() throws Exception {
        return new Server(message -> write(message.socket(), answer("200 OK", message.header("X-Trace-Id"))));
    }

    /**
     * The next request is sent in the turn in which the host's close, its reset, or data beyond its answer is waiting
     * unread: it is sent on another connection, and gets its own answer.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "second", "half"})
    void unreadInputOnIdleConnectionIsSeenBeforeReuse(String unread) throws Exception {
        try (Server host = hostAnsweringWithTraceId()) {
            ConnectionPool pool = pool(host);
            onLoop(() -> {
                send(pool, "first", 0);
                return null;
            });
            assertEquals("first DELIVERED first", await(outcomes));
            Socket connection = await(host.received).socket();
            onLoop(() -> {
                clock.addAndGet(ConnectionPool.MIN_IDLE_BEFORE_REUSE_MICROS);
                if (unread.equals("second") || unread.equals("half")) {
                    String secondAnswer = answer("200 OK", "first");
                    write(connection, unread.equals("half") ? secondAnswer.substring(0, 20) : secondAnswer);
                } else {
                    connection.setSoLinger(unread.equals("reset"), 0);
                    connection.close();
                    await(host.ended);  // a socket that another thread reads is closed by that thread
                }
                send(pool, "next", 0);
                return null;
            });
            assertEquals("next DELIVERED next", await(outcomes));
            assertEquals(2, host.accepted.size());
        }
    }

    /**
     * A second answer arrives some milliseconds late, when the next request has been sent: that one uses another
     * connection, unless the first has been idle for long enough.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, ConnectionPool.MIN_IDLE_BEFORE_REUSE_MICROS - 1,
            ConnectionPool.MIN_IDLE_BEFORE_REUSE_MICROS})
    void lateSecondAnswerIsNotTakenForTheNextRequest(long idleMicros) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        try (Server host = new Server(message -> {
            if (requests.getAndIncrement() == 0) {
                write(message.socket(), answer("200 OK", "first"));
            }
        })) {
            ConnectionPool pool = pool(host);
            onLoop(() -> {
                send(pool, "first", 0);
                return null;
            });
            assertEquals("first DELIVERED first", await(outcomes));
            Socket connection = await(host.received).socket();
            onLoop(() -> {
                clock.addAndGet(idleMicros);
                send(pool, "next", 0);
                return null;
            });
            Message next = await(host.received);
            if (idleMicros < ConnectionPool.MIN_IDLE_BEFORE_REUSE_MICROS) {
                write(connection, answer("200 OK", "first"));
                assertNotNull(await(host.ended), "data beyond the answer closes the connection");
            }
            write(next.socket(), answer("200 OK", "next"));
            assertEquals("next DELIVERED next", await(outcomes));
            assertEquals(idleMicros < ConnectionPool.MIN_IDLE_BEFORE_REUSE_MICROS ? 2 : 1, host.accepted.size());
        }
    }

    /**
     * The host answers 200 to a request of which it has not received the last byte yet: that is the answer to something
     * else.
     */
    @Test
    void answerBeforeItsRequestIsCompleteIsDropped() throws Exception {
        try (ServerSocket host = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                Server unused = hostAnsweringWithTraceId()) {
            ConnectionPool pool = pool(unused);
            onLoop(() -> {
                HostList list = HostList.parse(JSON.std.anyFrom(list(2, true, entry("s1", "127.0.0.1:" + host.getLocalPort(), "a", "in_service"))));
                gate.apply(list.version(), true, list.entries());
                pool.closeIdleOutOfService();
                send(pool, "large", 64 << 20);  // more than socket buffers hold
                return null;
            });
            try (Socket connection = host.accept()) {
                assertEquals('P', connection.getInputStream().read());
                write(connection, answer("200 OK", "other"));
                assertEquals("large DROPPED other", await(outcomes));
            }
        }
    }
}
