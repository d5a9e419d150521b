package mastdrift.net;

import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.Balancer.Outcome;
import mastdrift.net.Loopback.Message;
import mastdrift.net.Loopback.Server;
import mastdrift.engine.Endpoint;
import mastdrift.engine.EndpointGate;
import mastdrift.engine.Timers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections to hosts, with a clock that the test sets. */
class ConnectionPoolTest {

    private static final long DIAL_TIMEOUT_MICROS = 20_000_000;
    private static final long IDLE_TIMEOUT_MICROS = 5_000_000;
    private static final long DRAIN_GRACE_MICROS = 250_000;
    private static final long REQUEST_TIMEOUT_MICROS = 60_000_000;
    private static final long SEND_WITHIN_MICROS = 40_000_000;

    private final EventLoop loop = TimedEventLoop.start().loop();
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final EndpointGate gate = new EndpointGate();
    private Server one;
    private Server two;

    @BeforeEach
    void open() throws Exception {
        one = host("1");
        two = host("2");
    }

    @AfterEach
    void close() throws Exception {
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        one.close();
        two.close();
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private ConnectionPool pool(int maxConnections) throws Exception {
        return onLoop(() -> {
            ConnectionPool pool = new ConnectionPool(loop, clock::get, Timers.of(loop), DIAL_TIMEOUT_MICROS,
                    IDLE_TIMEOUT_MICROS, maxConnections, line -> { });
            update(pool, list(1, true, entry("s1", one.address(), "a", "in_service"),
                    entry("s2", two.address(), "a", "in_service")));
            return pool;
        });
    }

    private void update(ConnectionPool pool, String json) throws Exception {
        HostList list = HostList.parse(JSON.std.anyFrom(json));
        gate.apply(list.version(), list.full(), list.entries());
        pool.closeIdleOutOfService();
    }

    private HttpAttempt send(ConnectionPool pool, String uid) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
        return send(pool, uid, message, (outcome, answer) -> outcomes.add(outcome));
    }

    /** Sends as the engine's pool does: nothing to a host without an instance in service. */
    private HttpAttempt send(ConnectionPool pool, String uid, FullHttpRequest message, HttpAttempt.Listener listener) {
        Endpoint endpoint = gate.find(uid);
        if (endpoint == null) {
            listener.ended(Outcome.UNUSED, null);
            return null;
        }
        return pool.send(endpoint, message, REQUEST_TIMEOUT_MICROS, SEND_WITHIN_MICROS, listener);
    }

    /** The outcome of a send after connections have been idle long enough to be used again. */
    private Outcome outcome(ConnectionPool pool, String uid) throws Exception {
        clock.addAndGet(ConnectionPool.MIN_IDLE_BEFORE_REUSE_MICROS);
        onLoop(() -> send(pool, uid));
        return await(outcomes);
    }

    @Test
    void idleConnectionIsReused() throws Exception {
        ConnectionPool pool = pool(10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(1, one.accepted.size());
    }

    /** Guards against a request that crosses with a host's close of an idle connection, which ends as a reset. */
    @Test
    void connectionIdleForTooLongIsNotReused() throws Exception {
        ConnectionPool pool = pool(10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        clock.addAndGet(IDLE_TIMEOUT_MICROS * 9 / 10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(2, one.accepted.size());
        assertNotNull(await(one.ended));
    }

    /**
     * Guards against one gateway keeping unused connections while hosts shed those of others: a gateway whose new
     * connections are shed closes its idle ones elsewhere, much sooner than hosts would.
     */
    @Test
    void idleConnectionsCloseSoonerWhenNewOnesAreShed() throws Exception {
        try (Server full = new Server(message -> write(message.socket(), "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\n"
                + "Content-Length: 0\r\nConnection: close\r\n\r\n"))) {
            ConnectionPool pool = pool(10);
            onLoop(() -> {
                update(pool, list(2, false, entry("s2", full.address(), "a", "in_service")));
                return null;
            });
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            for (int i = 0; i < 3; i++) {
                assertEquals(Outcome.SHED, outcome(pool, "s2"));
            }
            clock.addAndGet(IDLE_TIMEOUT_MICROS / 4);
            assertNotNull(await(one.ended));
        }
    }

    @Test
    void closeIdleClosesIdleConnections() throws Exception {
        ConnectionPool pool = pool(10);
        outcome(pool, "s1");
        onLoop(() -> {
            pool.closeIdle("s1");
            return null;
        });
        assertNotNull(await(one.ended));
    }

    /** Guards against a send after the grace by an attempt that waited for its connection meanwhile. */
    @Test
    void attemptAwaitingConnectionIsUnusedAfterDrainGrace() throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            send(pool, "s1");
            update(pool, list(2, false, entry("s1", one.address(), "a", "terminating")));
            clock.addAndGet(DRAIN_GRACE_MICROS);
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(one.received.isEmpty());
    }

    /**
     * A gateway may be held up for 0.15 s between reading its clock and writing, so however much of the grace is left,
     * no first byte is sent once a drain has been received.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, DRAIN_GRACE_MICROS - 150_000, DRAIN_GRACE_MICROS - 51_000})
    void nothingIsSentAfterDrainIsReceived(long laterMicros) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            send(pool, "s1");
            update(pool, list(2, false, entry("s1", one.address(), "a", "terminating")));
            clock.addAndGet(laterMicros);
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(one.received.isEmpty());
    }

    /**
     * Guards against sending an attempt whose conditions changed while it waited for its connection: a repeat after its
     * time, or a request to a restarted host, which is cold, or to a host that has moved to another address.
     */
    @ParameterizedTest
    @ValueSource(strings = {"late", "born", "moved"})
    void attemptIsCheckedAgainWhenItsConnectionOpens(String change) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            send(pool, "s1");
            if (change.equals("late")) {
                clock.addAndGet(SEND_WITHIN_MICROS);
            } else {
                String entry = entry("s1", change.equals("moved") ? two.address() : one.address(), "a", "in_service");
                update(pool, list(2, false, change.equals("born")
                        ? entry.replaceFirst("\"boot_ms\":\\d+", "\"boot_ms\":1") : entry));
            }
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(one.received.isEmpty());
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
    }

    /**
     * Guards against a leaked connection: it opens for an attempt that is no longer wanted, within the grace of a host
     * that drains or is off the list, after that host's idle connections have been closed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "off the list"})
    void newConnectionOfUnwantedAttemptIsClosedWhenHostLeaves(String departure) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
            send(pool, "s1", message, new HttpAttempt.Listener() {
                @Override
                public void ended(Outcome outcome, FullHttpResponse answer) {
                    outcomes.add(outcome);
                }

                @Override
                public boolean isWanted() {
                    return false;
                }
            });
            update(pool, departure.equals("terminating")
                    ? list(2, false, entry("s1", one.address(), "a", "terminating"))
                    : list(2, true, entry("s2", two.address(), "a", "in_service")));
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertNotNull(await(one.ended));
        assertTrue(one.received.isEmpty());
    }

    @Test
    void nothingIsSentToRemovedHost() throws Exception {
        ConnectionPool pool = pool(10);
        outcome(pool, "s1");
        onLoop(() -> {
            update(pool, list(2, true, entry("s2", two.address(), "a", "in_service")));
            return null;
        });
        assertEquals(Outcome.UNUSED, outcome(pool, "s1"));
        assertNotNull(await(one.ended));
        assertEquals(1, one.received.size());
    }

    /** Guards the bound on descriptors: idle connections are closed at the bound, those in use are not. */
    @Test
    void oldestIdleConnectionIsClosedAtTheBound() throws Exception {
        ConnectionPool pool = pool(1);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        onLoop(() -> {
            send(pool, "s2");
            send(pool, "s1");
            return null;
        });
        assertEquals(Outcome.DIAL_FAILED, await(outcomes));
        assertEquals(Outcome.DELIVERED, await(outcomes));
        assertNotNull(await(one.ended));
    }

    @Test
    void cancelledAttemptEndsOnceAndSendsNothing() throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            HttpAttempt attempt = send(pool, "s1");
            attempt.cancel();
            attempt.cancel();
            return null;
        });
        assertEquals(Outcome.REVOKED, await(outcomes));
        assertEquals(Outcome.DELIVERED, outcome(pool, "s2"));
        assertTrue(one.received.isEmpty() && outcomes.isEmpty());
    }

    private ConnectionPool poolWithHost(Server host) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            update(pool, list(2, false, entry("s1", host.address(), "a", "in_service")));
            return null;
        });
        return pool;
    }

    /** Guards against data after an answer being taken for the next request's answer: it closes the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK~Content-Length: 1~~1", "noise", "HTTP/1.1 200 OK~Content-Length: 9~~"})
    void connectionWithDataAfterTheAnswerIsNotReused(String extraData) throws Exception {
        try (Server host = new Server(m -> write(m.socket(), answer("200 OK", "1") + extraData.replace("~", "\r\n")))) {
            ConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(2, host.accepted.size());
        }
    }

    /** The same for data that arrives later, while no request is in flight. */
    @Test
    void dataOnIdleConnectionClosesIt() throws Exception {
        try (Server host = host("1")) {
            ConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            write(await(host.received).socket(), "H");
            assertNotNull(await(host.ended));
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        }
    }

    /**
     * Guards against a request that waits until its timeout for an answer that never ends, and against one that is
     * served with what may be part of an answer. In either case the request may have run, and the connection is closed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"noise~~", "HTTP/1.1 2x0 OK~Content-Length: 1~~1", "ICY 200 OK~Content-Length: 1~~1",
        "HTTP/1.1 200 OK~no colon here~Content-Length: 1~~1", "HTTP/1.1 200 OK~Content-Length: 9~~part",
        "HTTP/1.1 200 OK~~1", "HTTP/1.1 200 OK~Content-Le", "HTTP/1.1 200 OK~Content-Length: 3000000000~~1",
        "HTTP/1.1 200 OK~Content-Length: 1~Content-Length: 2~~12", "HTTP/1.1 200 OK~Content-Length: -1~~1",
        "HTTP/1.1 200 OK~Content-Length: 1~Transfer-Encoding: chunked~~1~1~0~~",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~1~zz~1~0~~",
        "HTTP/1.1 101 Switching Protocols~Upgrade: other~Connection: upgrade~~HTTP/1.1 200 OK~Content-Length: 1~~1"})
    void malformedOrTruncatedAnswerEndsAsDropped(String malformed) throws Exception {
        try (Server host = new Server(m -> write(m.socket(), malformed.replace("~", "\r\n")))) {
            ConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DROPPED, outcome(pool, "s1"));
            assertNotNull(await(host.ended));
        }
    }

    /** An answer without a length is complete when its connection is closed in order; a reset doesn't complete it. */
    @ParameterizedTest
    @CsvSource({"close, DELIVERED, 20", "close, DELIVERED, 40000", "close, DELIVERED, 0", "reset, DROPPED, 20", "reset, DROPPED, 40000"})
    void answerWithoutLengthEndsWithOrderlyClose(String ending, Outcome expected, int length) throws Exception {
        try (Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + "x".repeat(length));
            if (ending.equals("reset")) {
                // input that is unread by then is lost by the reset; the answer is incomplete either way
                Thread.sleep(20);
                message.socket().setSoLinger(true, 0);
            }
            message.socket().close();
        })) {
            HttpAttempt[] none = new HttpAttempt[1];
            BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
            ConnectionPool pool = poolWithHost(host);
            onLoop(() -> none[0] = send(pool, "s1", new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api"), (outcome, answer) -> {
                bodies.add(answer == null ? "" : answer.content().toString(StandardCharsets.US_ASCII));
                outcomes.add(outcome);
            }));
            assertEquals(expected, await(outcomes));
            String body = await(bodies);
            assertTrue(expected != Outcome.DELIVERED || body.equals("x".repeat(length)), "a body of " + body.length());
            assertEquals(expected, outcome(pool, "s1"), "on another connection");
            assertEquals(2, host.accepted.size());
        }
    }

    @Test
    void endlessInterimAnswersEndAsDropped() throws Exception {
        try (Server host = new Server(m -> {
            while (true) {
                write(m.socket(), "HTTP/1.1 102 Processing\r\n\r\n");
            }
        })) {
            assertEquals(Outcome.DROPPED, outcome(poolWithHost(host), "s1"));
        }
    }

    @Test
    void interimAnswersBeforeTheFinalOneAreIgnored() throws Exception {
        try (Server host = new Server(m -> write(m.socket(), "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                + "HTTP/1.1 102 Processing\r\n\r\n" + answer("200 OK", "1")))) {
            ConnectionPool pool = poolWithHost(host);
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(1, host.accepted.size());
        }
    }

    /**
     * Guards against a request that reaches the former address of a host that has moved, where another host may be by
     * now.
     */
    @Test
    void connectionToFormerAddressIsNotReused() throws Exception {
        try (Server old = new Server(message -> { })) {
            ConnectionPool pool = poolWithHost(old);
            onLoop(() -> send(pool, "s1"));
            Message held = await(old.received);
            onLoop(() -> {
                update(pool, list(3, false, entry("s1", one.address(), "a", "in_service")));
                return null;
            });
            write(held.socket(), answer("200 OK", "1"));
            assertEquals(Outcome.DELIVERED, await(outcomes));
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(1, one.received.size());
        }
    }

    /** Guards against failed dials that use up the bound on connections. */
    @Test
    void failedDialFreesItsConnection() throws Exception {
        ConnectionPool pool = pool(1);
        onLoop(() -> {  // nobody listens on port 1; one that was just closed may be another test's by now
            update(pool, list(2, false, entry("s1", "127.0.0.1:1", "a", "in_service")));
            return null;
        });
        assertEquals(Outcome.DIAL_FAILED, outcome(pool, "s1"));
        assertEquals(Outcome.DELIVERED, outcome(pool, "s2"));
    }
}
