package mastdrift.net;

import static mastdrift.net.Loopback.await;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.host;
import static mastdrift.net.Loopback.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.Balancer.Outcome;
import mastdrift.net.Loopback.Server;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Connections to hosts, on a clock that the test moves. */
class HostPoolTest {

    private static final long DIAL = 20_000_000;
    private static final long IDLE = 5_000_000;
    private static final long GRACE = 250_000;
    private static final long LONG = 60_000_000;

    private final EventLoop loop = Main.loop();
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
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

    private HostPool pool(int most) throws Exception {
        return onLoop(() -> {
            HostPool pool = new HostPool(loop, clock::get, DIAL, IDLE, GRACE, most, line -> { });
            update(pool, list(1, true, entry("s1", one.address(), "a", "in_service"),
                    entry("s2", two.address(), "a", "in_service")));
            return pool;
        });
    }

    private static void update(HostPool pool, String json) throws Exception {
        pool.update(HostList.parse(Config.JSON.readTree(json)));
    }

    private HostPool.Attempt send(HostPool pool, String uid) {
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
        return pool.send(uid, message, LONG, (outcome, answer) -> outcomes.add(outcome));
    }

    private Outcome outcome(HostPool pool, String uid) throws Exception {
        onLoop(() -> send(pool, uid));
        return await(outcomes);
    }

    @Test
    void aConnectionIsUsedAgain() throws Exception {
        HostPool pool = pool(10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(1, one.accepted.size());
    }

    /** Guards against a request that meets a host's closing of an idle connection, which ends as a reset. */
    @Test
    void anAgedIdleConnectionIsNotUsedAgain() throws Exception {
        HostPool pool = pool(10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        clock.addAndGet(IDLE * 9 / 10);
        assertEquals(Outcome.DELIVERED, outcome(pool, "s1"));
        assertEquals(2, one.accepted.size());
        assertNotNull(await(one.ended));
    }

    @Test
    void idleConnectionsCloseWhenAskedTo() throws Exception {
        HostPool pool = pool(10);
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
        HostPool pool = pool(10);
        onLoop(() -> {
            send(pool, "s1");
            update(pool, list(2, false, entry("s1", one.address(), "a", "terminating")));
            clock.addAndGet(GRACE);
            return null;
        });
        assertEquals(Outcome.UNUSED, await(outcomes));
        assertTrue(one.received.isEmpty());
    }

    @Test
    void aHostThatIsGoneGetsNothing() throws Exception {
        HostPool pool = pool(10);
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
        HostPool pool = pool(1);
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
        HostPool pool = pool(10);
        onLoop(() -> {
            HostPool.Attempt attempt = send(pool, "s1");
            attempt.cancel();
            attempt.cancel();
            return null;
        });
        assertEquals(Outcome.REVOKED, await(outcomes));
        assertEquals(Outcome.DELIVERED, outcome(pool, "s2"));
        assertTrue(one.received.isEmpty() && outcomes.isEmpty());
    }
}
