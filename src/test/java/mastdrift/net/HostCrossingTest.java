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

/** What may cross on a connection to a host: its end, second answers and answers ahead of their request, with the next request. The clock is the test's. */
class HostCrossingTest {

    private static final long LONG = 60_000_000;

    private final EventLoop loop = TimedLoop.start().loop();
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final EndpointGate gate = new EndpointGate();
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private ConnectionPool pool(Server host) throws Exception {
        return onLoop(() -> {
            ConnectionPool pool = new ConnectionPool(loop, clock::get, Timers.of(loop), LONG, LONG, 10, line -> { });
            HostList list = HostList.parse(JSON.std.anyFrom(list(1, true, entry("s1", host.address(), "a", "in_service"))));
            gate.apply(list.rev(), true, list.entries());
            return pool;
        });
    }

    private void send(ConnectionPool pool, String id, int length) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/api", Unpooled.wrappedBuffer(new byte[length]));
        message.headers().set("X-Trace-Id", id).set("Content-Length", length);
        pool.send(gate.find("s1"), message, LONG, LONG, (outcome, given) ->
                outcomes.add(id + " " + outcome + (given == null ? "" : " " + given.content().toString(StandardCharsets.US_ASCII))));
    }

    private static Server naming() throws Exception {
        return new Server(message -> write(message.socket(), answer("200 OK", message.header("X-Trace-Id"))));
    }

    /** The next request leaves in the turn in which the host's end, its reset, or more than its answer stands there unread: it leaves on another connection,
        and has an answer of its own. */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "second", "half"})
    void whatStandsUnreadOnAnIdleConnectionIsSeenBeforeTheNextRequest(String what) throws Exception {
        try (Server host = naming()) {
            ConnectionPool pool = pool(host);
            onLoop(() -> {
                send(pool, "first", 0);
                return null;
            });
            assertEquals("first DELIVERED first", await(outcomes));
            Socket connection = await(host.received).socket();
            onLoop(() -> {
                clock.addAndGet(ConnectionPool.REST);
                if (what.equals("second") || what.equals("half")) {
                    String more = answer("200 OK", "first");
                    write(connection, what.equals("half") ? more.substring(0, 20) : more);
                } else {
                    connection.setSoLinger(what.equals("reset"), 0);
                    connection.close();
                    await(host.ended);  // a socket that another thread reads is let go by that thread
                }
                send(pool, "next", 0);
                return null;
            });
            assertEquals("next DELIVERED next", await(outcomes));
            assertEquals(2, host.accepted.size());
        }
    }

    /** A second answer comes some milliseconds late, when the next request has been sent: that one is not on the same connection yet. After a rest it would be. */
    @ParameterizedTest
    @ValueSource(longs = {0, ConnectionPool.REST - 1, ConnectionPool.REST})
    void aSecondAnswerSomeMillisecondsLateIsNobodys(long rest) throws Exception {
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
                clock.addAndGet(rest);
                send(pool, "next", 0);
                return null;
            });
            Message next = await(host.received);
            if (rest < ConnectionPool.REST) {
                write(connection, answer("200 OK", "first"));
                assertNotNull(await(host.ended), "more than an answer ends the connection");
            }
            write(next.socket(), answer("200 OK", "next"));
            assertEquals("next DELIVERED next", await(outcomes));
            assertEquals(rest < ConnectionPool.REST ? 2 : 1, host.accepted.size());
        }
    }

    /** The host says that it served a request of which it has not had the last byte yet: whatever that answers, it is not this one. */
    @Test
    void anAnswerAheadOfItsRequestServesNobody() throws Exception {
        try (ServerSocket host = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                Server unused = naming()) {
            ConnectionPool pool = pool(unused);
            onLoop(() -> {
                HostList list = HostList.parse(JSON.std.anyFrom(list(2, true, entry("s1", "127.0.0.1:" + host.getLocalPort(), "a", "in_service"))));
                gate.apply(list.rev(), true, list.entries());
                pool.closeEnded();
                send(pool, "large", 64 << 20);  // more than buffers hold
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
