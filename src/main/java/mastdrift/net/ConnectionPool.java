package mastdrift.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
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
import mastdrift.limits.ByteBudget;
import mastdrift.limits.IdleRetention;
import mastdrift.limits.MessageMemory;
import mastdrift.limits.TurnShares;

/**
 * Connections to endpoints: dials new ones, keeps idle ones for reuse for a bounded time, and bounds how many there
 * are. Sends each attempt at most once, on the endpoint that it is given, and reports its outcome; it doesn't retry.
 * Used on the event loop's thread only.
 */
final class ConnectionPool {

    static final String EXPIRES_HEADER = "X-Expires-In-Ms";
    // Fraction of the time after which endpoints close idle connections. A request written in the remaining time could
    // cross with that close.
    private static final double IDLE_TIMEOUT_FRACTION = 0.8;
    // How long a used connection stays idle before it is used again. An endpoint may send a second answer some
    // milliseconds after the first; on a connection that carries the next request by then it would be taken for that
    // request's answer. This is several times as long.
    static final long MIN_IDLE_BEFORE_REUSE_MICROS = 25_000;
    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 32 << 10;
    // Connections that have been idle for too long are closed at least this often.
    private static final long MAX_SWEEP_INTERVAL_MICROS = 250_000;

    /** The idle connections to one endpoint, the most recently used first. */
    private record IdleConnections(Endpoint endpoint, Deque<EndpointConnection> connections) { }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Timers timers;
    private final Bootstrap bootstrap;
    private final Future<?> sweepTask;
    private final IdleRetention idleLimit;
    private final int maxConnections;
    private final Map<String, IdleConnections> idleByUid = new HashMap<>();
    private final Consumer<String> faultLog;
    private final AnswerLimits answerLimits;
    private final TurnShares turnShares = new TurnShares();
    private final NextTurn nextTurn;
    private Transport.StrayBytesListener strayListener;  // null where bytes are not counted
    private int connectionCount;
    private boolean closed;

    /** What bounds the memory and the work that endpoints' answers cost. */
    record AnswerLimits(ByteBudget memory, LongSupplier turnNumber) {

        /** Memory by the size of this process's heap, and no bound on work. */
        static AnswerLimits defaults() {
            return new AnswerLimits(MessageMemory.ofThisProcess().responseBudget(), () -> 0);
        }
    }

    /** Opens {@code maxConnections} connections at most; durations are in microseconds. */
    ConnectionPool(EventLoop loop, LongSupplier clock, Timers timers, long dialTimeoutMicros, long idleTimeoutMicros,
            int maxConnections, Consumer<String> faultLog) {
        this(loop, clock, timers, dialTimeoutMicros, idleTimeoutMicros, maxConnections, AnswerLimits.defaults(), faultLog,
                NioSocketChannel::new);
    }

    /** As above, with sockets made by the given factory. */
    ConnectionPool(EventLoop loop, LongSupplier clock, Timers timers, long dialTimeoutMicros, long idleTimeoutMicros,
            int maxConnections, Consumer<String> faultLog, Supplier<? extends Channel> socketFactory) {
        this(loop, clock, timers, dialTimeoutMicros, idleTimeoutMicros, maxConnections, AnswerLimits.defaults(), faultLog,
                socketFactory);
    }

    /** As above, with the given limits on answers. */
    ConnectionPool(EventLoop loop, LongSupplier clock, Timers timers, long dialTimeoutMicros, long idleTimeoutMicros,
            int maxConnections, AnswerLimits answerLimits, Consumer<String> faultLog, Supplier<? extends Channel> socketFactory) {
        this.loop = loop;
        this.clock = clock;
        this.timers = timers;
        this.maxConnections = maxConnections;
        this.faultLog = faultLog;
        this.answerLimits = answerLimits;
        nextTurn = new NextTurn(loop);
        long maxIdleMicros = (long) (idleTimeoutMicros * IDLE_TIMEOUT_FRACTION);
        idleLimit = new IdleRetention(maxIdleMicros);
        bootstrap = new Bootstrap().group(loop).channelFactory(() -> strayListener == null ? socketFactory.get()
                : CountedChannel.create())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES,
                        MAX_READ_BYTES).maxMessagesPerRead(1))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeoutMicros / 1000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        EndpointConnection connection = new EndpointConnection(ConnectionPool.this, channel, strayListener != null);
                        channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder(),
                                new ResponseAssembler(answerLimits.memory, clock), connection);
                    }
                });
        long sweepMicros = Math.min(maxIdleMicros / 8 + 1, MAX_SWEEP_INTERVAL_MICROS);
        sweepTask = loop.scheduleWithFixedDelay(this::closeExpired, sweepMicros, sweepMicros, TimeUnit.MICROSECONDS);
    }

    /** Counts bytes from now on and reports those that belong to no attempt; call it before anything is sent. */
    void countBytes(Transport.StrayBytesListener listener) {
        strayListener = listener;
    }

    /** Closes the idle connections of endpoints that are no longer in service. */
    void closeIdleOutOfService() {
        idleByUid.values().removeIf(pooled -> {
            boolean outOfService = !pooled.endpoint.isInService();
            if (outOfService) {
                closeAll(pooled);
            }
            return outOfService;
        });
    }

    /**
     * Sends the message, which is released here, and waits for the answer for {@code timeoutMicros}. An attempt whose
     * first byte could not be written within {@code sendWithinMicros} ends as UNUSED.
     */
    HttpAttempt send(Endpoint endpoint, FullHttpRequest message, long timeoutMicros, long sendWithinMicros,
            HttpAttempt.Listener listener) {
        HttpAttempt attempt = new HttpAttempt(endpoint, message, clock, timeoutMicros, sendWithinMicros, listener);
        if (closed || timeoutMicros <= 0 || !endpoint.maySend()) {
            attempt.end(Outcome.UNUSED, null);
            return attempt;
        }
        attempt.startTimeout(timers, timeoutMicros);
        EndpointConnection idleConnection = takeIdle(endpoint);
        if (idleConnection != null) {
            idleConnection.write(attempt);
        } else if (connectionCount >= maxConnections && !closeOldestIdle()) {
            attempt.end(Outcome.DIAL_FAILED, null);
        } else {
            dial(attempt);
        }
        return attempt;
    }

    private void dial(HttpAttempt attempt) {
        connectionCount++;
        ChannelFuture connectFuture = bootstrap.connect(attempt.endpoint().address());
        Channel channel = connectFuture.channel();
        attempt.setChannel(channel);
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                // With no file descriptor left there is no channel that would close, and Netty completes the future on
                // a thread of its own.
                Outcome outcome = LocalSystemError.isCauseOf(done.cause()) ? Outcome.UNUSED : Outcome.DIAL_FAILED;
                if (loop.inEventLoop()) {
                    onDialFailed(attempt, outcome);
                } else {
                    loop.execute(() -> onDialFailed(attempt, outcome));
                }
                return;
            }
            EndpointConnection connection = channel.pipeline().get(EndpointConnection.class);
            connection.onConnected(attempt.endpoint());
            channel.closeFuture().addListener(closeFuture -> onClosed(connection));
            // Deferred until all input of this turn has been handled: the client that waits for this attempt may have
            // disconnected in it.
            loop.execute(() -> {
                if (!attempt.isEnded()) {
                    attempt.notifyConnected();
                    connection.write(attempt);
                }
            });
        });
    }

    private void onDialFailed(HttpAttempt attempt, Outcome outcome) {
        connectionCount--;
        attempt.end(outcome, null);
    }

    private void onClosed(EndpointConnection connection) {
        connectionCount--;
        if (strayListener != null) {
            connection.reportStrayBytes((sent, received) -> {
                if (sent + received > 0) {
                    strayListener.strayBytes(connection.endpoint().uid(), sent, received);
                }
            });
        }
    }

    private EndpointConnection takeIdle(Endpoint endpoint) {
        IdleConnections pooled = idleByUid.get(endpoint.uid());
        if (pooled == null || pooled.endpoint != endpoint) {
            return null;
        }
        long now = clock.getAsLong();
        long maxIdleMicros = idleLimit.retentionMicros(now);
        for (Iterator<EndpointConnection> candidates = pooled.connections.iterator(); candidates.hasNext(); ) {
            EndpointConnection candidate = candidates.next();
            if (candidate.isUsed() && now - candidate.idleSince() < MIN_IDLE_BEFORE_REUSE_MICROS) {
                continue;
            }
            candidates.remove();
            UnreadInput.read(candidate.channel());  // a close, or data beyond the answer, may be waiting there unread
            if (candidate.channel().isActive() && now - candidate.idleSince() < maxIdleMicros) {
                return candidate;
            }
            candidate.channel().close();
        }
        return null;
    }

    /** Keeps an idle connection for reuse; its endpoint is in service. */
    void addIdle(EndpointConnection connection) {
        Endpoint endpoint = connection.endpoint();
        IdleConnections pooled = idleByUid.get(endpoint.uid());
        if (pooled == null || pooled.endpoint != endpoint) {
            if (pooled != null) {
                closeAll(pooled);
            }
            pooled = new IdleConnections(endpoint, new ArrayDeque<>());
            idleByUid.put(endpoint.uid(), pooled);
        }
        pooled.connections.push(connection);
    }

    /** Removes a connection that has closed by itself. */
    void removeIdle(EndpointConnection connection) {
        IdleConnections pooled = idleByUid.get(connection.endpoint().uid());
        if (pooled != null) {
            pooled.connections.remove(connection);
        }
    }

    /**
     * Records that an attempt was answered, on a new or a reused connection, and whether the endpoint shed it. How long
     * connections are kept idle depends on it.
     */
    void recordAnswer(long now, boolean onNewConnection, boolean shed) {
        if (onNewConnection) {
            idleLimit.recordOnNewConnection(now, shed);
        } else {
            idleLimit.recordOnEstablishedConnection(now, shed);
        }
    }

    private boolean closeOldestIdle() {
        Optional<EndpointConnection> oldest = idleByUid.values().stream().map(pooled -> pooled.connections.peekLast())
                .filter(Objects::nonNull).min(Comparator.comparingLong(EndpointConnection::idleSince));
        oldest.ifPresent(connection -> {
            removeIdle(connection);
            connection.channel().close();
        });
        return oldest.isPresent();
    }

    private void closeExpired() {
        long now = clock.getAsLong();
        long idleSinceLimit = now - idleLimit.retentionMicros(now);
        for (IdleConnections pooled : idleByUid.values()) {
            while (!pooled.connections.isEmpty() && pooled.connections.peekLast().idleSince() <= idleSinceLimit) {
                pooled.connections.pollLast().channel().close();
            }
        }
    }

    /** Closes the idle connections to a host. */
    void closeIdle(String uid) {
        if (idleByUid.containsKey(uid)) {
            closeAll(idleByUid.get(uid));
        }
    }

    private static void closeAll(IdleConnections pooled) {
        for (EndpointConnection connection = pooled.connections.poll(); connection != null;
                connection = pooled.connections.poll()) {
            connection.channel().close();
        }
    }

    /** Closes the idle connections for good; whatever is sent afterwards ends as UNUSED. */
    void close() {
        closed = true;
        idleByUid.values().forEach(ConnectionPool::closeAll);
        sweepTask.cancel(false);
    }

    long now() {
        return clock.getAsLong();
    }

    Timers timers() {
        return timers;
    }

    /** The number of the event loop's turn. */
    long turnNumber() {
        return answerLimits.turnNumber.getAsLong();
    }

    /** The shares of the connections in the turns of the event loop. */
    TurnShares turnShares() {
        return turnShares;
    }

    /** Runs the task in the next turn of the event loop. */
    void inNextTurn(Runnable task) {
        nextTurn.add(task);
    }

    void logFault(String line) {
        faultLog.accept(line);
    }
}
