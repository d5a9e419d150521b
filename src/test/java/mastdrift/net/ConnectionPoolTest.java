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

/** Connections to hosts, on a clock that the test moves. */
class ConnectionPoolTest {

    private static final long DIAL = 20_000_000;
    private static final long IDLE = 5_000_000;
    private static final long GRACE = 250_000;
    private static final long LONG = 60_000_000;
    private static final long LEAVE = 40_000_000;

    private final EventLoop loop = TimedLoop.start().loop();
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

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get(Loopback.WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private ConnectionPool pool(int most) throws Exception {
        return onLoop(() -> {
            ConnectionPool pool = new ConnectionPool(loop, clock::get, Timers.of(loop), DIAL, IDLE, most, line -> { });
            update(pool, list(1, true, entry("s1", one.address(), "a", "in_service"),
                    entry("s2", two.address(), "a", "in_service")));
            return pool;
        });
    }

    private void update(ConnectionPool pool, String json) throws Exception {
        HostList list = HostList.parse(JSON.std.anyFrom(json));
        gate.apply(list.rev(), list.all(), list.entries());
        pool.closeEnded();
    }

    private HttpAttempt send(ConnectionPool pool, String uid) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
        return send(pool, uid, message, (outcome, answer) -> outcomes.add(outcome));
    }

    /** As a pool of the engine does: nobody is sent to who has no instance in service. */
    private HttpAttempt send(ConnectionPool pool, String uid, FullHttpRequest message, HttpAttempt.Listener listener) {
        Endpoint endpoint = gate.find(uid);
        if (endpoint == null) {
            listener.ended(Outcome.UNUSED, null);
            return null;
        }
        return pool.send(endpoint, message, LONG, LEAVE, listener);
    }

    /** Of a send on connections that have rested. */
    private Outcome outcome(ConnectionPool pool, String uid) throws Exception {
        clock.addAndGet(ConnectionPool.REST);
        onLoop(() -> send(pool, uid));
        return await(outcomes);
    }

    @Test
    void aConnectionIsUsedAgain() throws Exception {
        ConnectionPool pool = pool(10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(1, one.accepted.size());
    }

    /** Guards against a request that meets a host's closing of an idle connection, which ends as a reset. */
    @Test
    void anAgedIdleConnectionIsNotUsedAgain() throws Exception {
        ConnectionPool pool = pool(10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        clock.addAndGet(IDLE * 9 / 10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(2, one.accepted.size());
        assertNotNull(await(one.ended));
    }

    /** Guards against places that one gateway keeps for nothing while others are turned away: one that is itself turned away as soon as it
        comes gives back what it has idle elsewhere, much sooner than hosts would close it. */
    @Test
    void idleConnectionsAreGivenBackWhereNewOnesAreTurnedAway() throws Exception {
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
            clock.addAndGet(IDLE / 4);
            assertNotNull(await(one.ended));
        }
    }

    @Test
    void idleConnectionsCloseWhenAskedTo() throws Exception {
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
    void anAttemptThatWaitsForAConnectionEndsWithTheGrace() throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            send(pool, "s1");
            update(pool, list(2, false, entry("s1", one.address(), "a", "terminating")));
            clock.addAndGet(GRACE);
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(one.received.isEmpty());
    }

    /** A gateway may be held up for 0.15 s between reading its clock and writing: whatever is left of the grace, no first byte leaves once a drain is heard. */
    @ParameterizedTest
    @ValueSource(longs = {0, 1_000, GRACE - 150_000, GRACE - 51_000})
    void nothingLeavesOnceADrainIsHeard(long later) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            send(pool, "s1");
            update(pool, list(2, false, entry("s1", one.address(), "a", "terminating")));
            clock.addAndGet(later);
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(one.received.isEmpty());
    }

    /** Guards against a repeat that leaves after its window, or a request that meets another start of its host, cold and not asked for, or
        another host: decided on before, and written after it had waited for its connection. */
    @ParameterizedTest
    @ValueSource(strings = {"late", "born", "moved"})
    void whatWaitedForAConnectionIsLookedAtAgainBeforeItLeaves(String what) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            send(pool, "s1");
            if (what.equals("late")) {
                clock.addAndGet(LEAVE);
            } else {
                String entry = entry("s1", what.equals("moved") ? two.address() : one.address(), "a", "in_service");
                update(pool, list(2, false, what.equals("born") ? entry.replaceFirst("\"boot_ms\":\\d+", "\"boot_ms\":1") : entry));
            }
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(one.received.isEmpty());
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
    }

    /** Guards against a connection that nobody looks at any more: it came up for nobody, within the grace of a host that leaves or is off the list, which has
        lost its idle ones by then. */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "off the list"})
    void aConnectionThatComesUpForNobodyIsNotKeptForAHostThatLeaves(String how) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
            send(pool, "s1", message, new HttpAttempt.Listener() {
                @Override
                public void ended(Outcome outcome, FullHttpResponse answer) {
                    outcomes.add(outcome);
                }

                @Override
                public boolean wanted() {
                    return false;
                }
            });
            update(pool, how.equals("terminating") ? list(2, false, entry("s1", one.address(), "a", "terminating"))
                    : list(2, true, entry("s2", two.address(), "a", "in_service")));
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertNotNull(await(one.ended));
        assertTrue(one.received.isEmpty());
    }

    @Test
    void aHostThatIsGoneGetsNothing() throws Exception {
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

    /** Guards the bound on descriptors: idle connections make room, those in use stay. */
    @Test
    void atTheBoundTheEldestIdleConnectionMakesRoom() throws Exception {
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
    void aCancelledAttemptEndsOnceAndNothingIsSent() throws Exception {
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

    private ConnectionPool poolOf(Server host) throws Exception {
        ConnectionPool pool = pool(10);
        onLoop(() -> {
            update(pool, list(2, false, entry("s1", host.address(), "a", "in_service")));
            return null;
        });
        return pool;
    }

    /** Guards against an answer that is taken for the next request's: what comes behind one ends the connection. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 OK~Content-Length: 1~~1", "noise", "HTTP/1.1 200 OK~Content-Length: 9~~"})
    void aConnectionOnWhichMoreCameIsNotUsedAgain(String more) throws Exception {
        try (Server host = new Server(m -> write(m.socket(), answer("200 OK", "1") + more.replace("~", "\r\n")))) {
            ConnectionPool pool = poolOf(host);
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(2, host.accepted.size());
        }
    }

    /** The same for what comes later, while no request is out. */
    @Test
    void aByteOnAnIdleConnectionClosesIt() throws Exception {
        try (Server host = host("1")) {
            ConnectionPool pool = poolOf(host);
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            write(await(host.received).socket(), "H");
            assertNotNull(await(host.ended));
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        }
    }

    /** Guards against a request that waits its whole time for an answer that won't end, and against one that is served
        with what can't be told from a part of an answer: each may have run, and the connection is of no further use. */
    @ParameterizedTest
    @ValueSource(strings = {"noise~~", "HTTP/1.1 2x0 OK~Content-Length: 1~~1", "ICY 200 OK~Content-Length: 1~~1",
        "HTTP/1.1 200 OK~no colon here~Content-Length: 1~~1", "HTTP/1.1 200 OK~Content-Length: 9~~part",
        "HTTP/1.1 200 OK~~1", "HTTP/1.1 200 OK~Content-Le", "HTTP/1.1 200 OK~Content-Length: 3000000000~~1",
        "HTTP/1.1 200 OK~Content-Length: 1~Content-Length: 2~~12", "HTTP/1.1 200 OK~Content-Length: -1~~1",
        "HTTP/1.1 200 OK~Content-Length: 1~Transfer-Encoding: chunked~~1~1~0~~",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1~1~zz~1~0~~",
        "HTTP/1.1 101 Switching Protocols~Upgrade: other~Connection: upgrade~~HTTP/1.1 200 OK~Content-Length: 1~~1"})
    void aSpoiltAnswerIsADroppedAttempt(String spoilt) throws Exception {
        try (Server host = new Server(m -> write(m.socket(), spoilt.replace("~", "\r\n")))) {
            ConnectionPool pool = poolOf(host);
            assertEquals(Outcome.DROPPED, outcome(pool, "s1"));
            assertNotNull(await(host.ended));
        }
    }

    /** The length of an answer may not be told: it is whole where its connection ends in order, and a reset is no end. */
    @ParameterizedTest
    @CsvSource({"close, DELIVERED, 20", "close, DELIVERED, 40000", "close, DELIVERED, 0", "reset, DROPPED, 20", "reset, DROPPED, 40000"})
    void anAnswerOfNoLengthEndsWithItsConnection(String how, Outcome expected, int length) throws Exception {
        try (Server host = new Server(message -> {
            write(message.socket(), "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + "x".repeat(length));
            if (how.equals("reset")) {
                Thread.sleep(20);  // what is not read by then goes with the reset, and the answer is none either way
                message.socket().setSoLinger(true, 0);
            }
            message.socket().close();
        })) {
            HttpAttempt[] none = new HttpAttempt[1];
            BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
            ConnectionPool pool = poolOf(host);
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
    void endlessInterimAnswersAreADroppedAttempt() throws Exception {
        try (Server host = new Server(m -> {
            while (true) {
                write(m.socket(), "HTTP/1.1 102 Processing\r\n\r\n");
            }
        })) {
            assertEquals(Outcome.DROPPED, outcome(poolOf(host), "s1"));
        }
    }

    @Test
    void interimAnswersAheadChangeNothing() throws Exception {
        try (Server host = new Server(m -> write(m.socket(), "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                + "HTTP/1.1 102 Processing\r\n\r\n" + answer("200 OK", "1")))) {
            ConnectionPool pool = poolOf(host);
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
            assertEquals(1, host.accepted.size());
        }
    }

    /** Guards against a request that reaches the old address of a host that has moved, which may be another by now. */
    @Test
    void aConnectionToWhereAHostWasIsNotUsedAgain() throws Exception {
        try (Server old = new Server(message -> { })) {
            ConnectionPool pool = poolOf(old);
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

    /** Guards against a bound that failed dials use up. */
    @Test
    void aFailedDialFreesItsPlace() throws Exception {
        ConnectionPool pool = pool(1);
        onLoop(() -> {  // a port that nobody has: one that was just closed may be another test's by now
            update(pool, list(2, false, entry("s1", "127.0.0.1:1", "a", "in_service")));
            return null;
        });
        assertEquals(Outcome.DIAL_FAILED, outcome(pool, "s1"));
        assertEquals(Outcome.DELIVERED, outcome(pool, "s2"));
    }
}
