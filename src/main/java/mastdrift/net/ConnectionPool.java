package mastdrift.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;
import mastdrift.limits.IdleRetention;

/** Connections to endpoints: dials, keeps what is idle for a while, bounds how many there are. Carries out each send on the endpoint that it is
    told, once, and says how that ended. On the loop's thread. */
final class ConnectionPool {

    static final String EXPIRES = "X-Expires-In-Ms";
    // Bodies hold no more, so this is what one attempt can hold.
    private static final int BODY_MOST = 64 << 10;
    // Of the time after which endpoints close idle connections: a request written in the rest might meet that close.
    private static final double IDLE_PART = 0.8;
    // An endpoint may send a second answer some milliseconds behind the first: on a connection that carries the next request by then it would pass
    // for that one's. So a connection rests for several times as long.
    static final long REST = 25_000;
    private static final long SWEEP = 250_000;  // idle connections are looked through so often

    /** The idle ones to an endpoint, the most recently used first. */
    private record Idle(Endpoint endpoint, Deque<EndpointConnection> connections) { }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Timers timers;
    private final Bootstrap bootstrap;
    private final Future<?> sweeps;
    private final IdleRetention keep;
    private final int most;
    private final Map<String, Idle> idle = new HashMap<>();
    private final Consumer<String> faults;
    private Transport.StrayBytesListener strays;  // null where bytes aren't counted
    private int connections;
    private boolean closed;

    /** Holds {@code most} connections; spans are in microseconds. */
    ConnectionPool(EventLoop loop, LongSupplier clock, Timers timers, long dialTimeout, long idleTimeout, int most, Consumer<String> faults) {
        this(loop, clock, timers, dialTimeout, idleTimeout, most, faults, NioSocketChannel::new);
    }

    /** Likewise, by sockets of a kind. */
    ConnectionPool(EventLoop loop, LongSupplier clock, Timers timers, long dialTimeout, long idleTimeout, int most, Consumer<String> faults,
            Supplier<? extends Channel> sockets) {
        this.loop = loop;
        this.clock = clock;
        this.timers = timers;
        this.most = most;
        this.faults = faults;
        long idleMost = (long) (idleTimeout * IDLE_PART);
        keep = new IdleRetention(idleMost);
        bootstrap = new Bootstrap().group(loop).channelFactory(() -> strays == null ? sockets.get() : CountedChannel.create())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeout / 1000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        AnswerDecoder answers = new AnswerDecoder();
                        channel.pipeline().addLast(new HttpRequestEncoder(), answers, new HttpObjectAggregator(BODY_MOST),
                                new EndpointConnection(ConnectionPool.this, channel, answers, strays != null));
                    }
                });
        long sweep = Math.min(idleMost / 8 + 1, SWEEP);
        sweeps = loop.scheduleWithFixedDelay(this::closeAged, sweep, sweep, TimeUnit.MICROSECONDS);
    }

    /** Bytes are counted from now on; before anything is sent. */
    void count(Transport.StrayBytesListener to) {
        strays = to;
    }

    /** Endpoints that may be sent nothing any more lose their idle connections at once. */
    void closeEnded() {
        idle.values().removeIf(held -> {
            boolean ended = !held.endpoint.isInService();
            if (ended) {
                closeAll(held);
            }
            return ended;
        });
    }

    /** Sends the message, which it releases, and waits for as long as the timeout; what has not left after {@code leaveWithin} is
        UNUSED. */
    HttpAttempt send(Endpoint to, FullHttpRequest message, long timeout, long leaveWithin, HttpAttempt.Listener listener) {
        HttpAttempt attempt = new HttpAttempt(to, message, clock, timeout, leaveWithin, listener);
        if (closed || timeout <= 0 || !to.maySend()) {
            attempt.end(Outcome.UNUSED, null);
            return attempt;
        }
        attempt.startTimeout(timers, timeout);
        EndpointConnection kept = takeIdle(to);
        if (kept != null) {
            kept.write(attempt);
        } else if (connections >= most && !closeEldest()) {
            attempt.end(Outcome.DIAL_FAILED, null);
        } else {
            dial(attempt);
        }
        return attempt;
    }

    private void dial(HttpAttempt attempt) {
        connections++;
        ChannelFuture dialled = bootstrap.connect(attempt.endpoint().address());
        Channel channel = dialled.channel();
        attempt.carriedBy(channel);
        dialled.addListener(done -> {
            if (!done.isSuccess()) {
                // Where no descriptor was left there is no channel that would close, and the library says so on a thread of its own.
                Outcome outcome = LocalFault.is(done.cause()) ? Outcome.UNUSED : Outcome.DIAL_FAILED;
                if (loop.inEventLoop()) {
                    undialled(attempt, outcome);
                } else {
                    loop.execute(() -> undialled(attempt, outcome));
                }
                return;
            }
            EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
            connection.connected(attempt.endpoint());
            channel.closeFuture().addListener(ended -> ended(connection));
            // Once all that this turn found has been read: the end of who waited may be among it.
            loop.execute(() -> {
                if (!attempt.isOver()) {
                    attempt.connected();
                    connection.write(attempt);
                }
            });
        });
    }

    private void undialled(HttpAttempt attempt, Outcome outcome) {
        connections--;
        attempt.end(outcome, null);
    }

    private void ended(EndpointConnection connection) {
        connections--;
        if (strays != null) {
            connection.tellStrays((sent, received) -> {
                if (sent + received > 0) {
                    strays.strayBytes(connection.endpoint().uid(), sent, received);
                }
            });
        }
    }

    private EndpointConnection takeIdle(Endpoint to) {
        Idle held = idle.get(to.uid());
        if (held == null || held.endpoint != to) {
            return null;
        }
        long now = clock.getAsLong();
        long longest = keep.retentionMicros(now);
        for (Iterator<EndpointConnection> kept = held.connections.iterator(); kept.hasNext(); ) {
            EndpointConnection next = kept.next();
            if (next.isUsed() && now - next.idleSince() < REST) {
                continue;
            }
            kept.remove();
            Look.at(next.channel());  // its end, or more than an answer, may stand there unread
            if (next.channel().isActive() && now - next.idleSince() < longest) {
                return next;
            }
            next.channel().close();
        }
        return null;
    }

    /** It is idle, and its endpoint in service. */
    void offer(EndpointConnection connection) {
        Endpoint endpoint = connection.endpoint();
        Idle held = idle.get(endpoint.uid());
        if (held == null || held.endpoint != endpoint) {
            if (held != null) {
                closeAll(held);
            }
            held = new Idle(endpoint, new ArrayDeque<>());
            idle.put(endpoint.uid(), held);
        }
        held.connections.push(connection);
    }

    /** It has ended by itself. */
    void withdraw(EndpointConnection connection) {
        Idle held = idle.get(connection.endpoint().uid());
        if (held != null) {
            held.connections.remove(connection);
        }
    }

    /** An attempt was answered, on a new connection or not, and possibly turned away. */
    void answered(long now, boolean fresh, boolean turnedAway) {
        if (fresh) {
            keep.recordOnNewConnection(now, turnedAway);
        } else {
            keep.recordOnEstablishedConnection(now, turnedAway);
        }
    }

    private boolean closeEldest() {
        Optional<EndpointConnection> eldest = idle.values().stream().map(held -> held.connections.peekLast())
                .filter(Objects::nonNull).min(Comparator.comparingLong(EndpointConnection::idleSince));
        eldest.ifPresent(connection -> {
            withdraw(connection);
            connection.channel().close();
        });
        return eldest.isPresent();
    }

    private void closeAged() {
        long now = clock.getAsLong();
        long before = now - keep.retentionMicros(now);
        for (Idle held : idle.values()) {
            while (!held.connections.isEmpty() && held.connections.peekLast().idleSince() <= before) {
                held.connections.pollLast().channel().close();
            }
        }
    }

    void closeIdle(String uid) {
        if (idle.containsKey(uid)) {
            closeAll(idle.get(uid));
        }
    }

    private static void closeAll(Idle held) {
        for (EndpointConnection connection = held.connections.poll(); connection != null; connection = held.connections.poll()) {
            connection.channel().close();
        }
    }

    /** For good: nothing new is sent. */
    void close() {
        closed = true;
        idle.values().forEach(ConnectionPool::closeAll);
        sweeps.cancel(false);
    }

    long now() {
        return clock.getAsLong();
    }

    Timers timers() {
        return timers;
    }

    void fault(String line) {
        faults.accept(line);
    }
}
