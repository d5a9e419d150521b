package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Tenant;
import mastdrift.engine.Front;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Pool;
import mastdrift.engine.ShutdownSchedule;
import mastdrift.limits.ByteBudget;
import mastdrift.limits.ClientConnectionTable;
import mastdrift.limits.ConnectionLimit;
import mastdrift.limits.ConnectionPhase;
import mastdrift.limits.MessageMemory;
import mastdrift.limits.PhaseBounds;
import mastdrift.limits.TurnShares;

/**
 * The HTTP/1.1 server that clients connect to: accepts connections, decodes and validates requests, hands them to the
 * {@link RequestTracker} and writes the final responses. It bounds the number of connections and the time that each may spend
 * in a {@link ConnectionPhase}.
 */
public final class HttpFront implements Front {

    /** Chooses the pool that a request is for. */
    public interface Router {
        /** Returns null if no route matches. The key (or null) is the same in all repeats of a request. */
        Pool pool(RequestClass requestClass, String tenant, HttpRequest message, Long key);
    }

    private static final int LISTEN_BACKLOG = 1024;
    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 1_024;
    private static final int MAX_READ_BYTES = 8_192;
    // During a shutdown, new connections keep arriving for a while until it has been noticed that this gateway stops.
    private static final long STOP_ACCEPT_MILLIS = 500;
    // When serving has ended, a connection closes with its next response; those that rest close only this long after the
    // shutdown began, when few clients are left whose next request could cross the close.
    private static final long STOP_REST_MILLIS = 3500;
    // Minimum time for clients that connect just before the listener closes, however short the deadlines are.
    private static final long STOP_MIN_LAST_CONNECTION_MICROS = 50_000;
    // Connections that are still open this long after all requests should have been answered are logged.
    private static final long STOP_LOG_DELAY_MICROS = 50_000;
    private static final int MAX_LOGGED_IDS = 20;
    private static final long LOG_INTERVAL_MICROS = 10_000_000;
    // Interval at which connections that exceeded the time bound of their phase are searched for, and how many of each
    // phase are closed at a time: closing ten thousand at once would delay everything else on the loop.
    private static final long SWEEP_INTERVAL_MILLIS = 250;
    private static final int MAX_CLOSES_PER_SWEEP = 1_000;
    // A response is worth nothing to its client this long after the request's deadline.
    private static final long RESPONSE_LATENESS_MICROS = 550_000;

    final EventLoop loop;
    final RequestTracker ledger;
    final Router router;
    final Consumer<String> log;
    final ApiRequest.Reader requestReader;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private ChannelFactory<? extends ServerChannel> serverChannelFactory = NioServerSocketChannel::new;
    private Function<InetAddress, String> clientZoneByAddress;  // zone of a client address; null if zones are not used
    final ClientConnectionTable<ClientConnection> connections;
    final Acceptor acceptor;
    final TurnShares turnShares = new TurnShares();
    final NextTurn nextTurn;
    final ByteBudget requestMemory;
    final ByteBudget responseMemory;
    private long memoryLoggedAtMicros = -LOG_INTERVAL_MICROS;
    final ConnectionAdmission<ClientConnection> admission;
    private boolean stopping;
    private boolean servingEnded;
    private long answerDeadlineMicros = Long.MAX_VALUE;
    private Runnable stopCallback;

    /** Holds about {@code maxConnections} connections, with the default {@link PhaseBounds}. */
    public HttpFront(EventLoop loop, RequestTracker ledger, Router router, List<RequestClass> classes, List<Tenant> tenants,
            int maxConnections, Consumer<String> log) {
        this(loop, ledger, router, classes, tenants, maxConnections, PhaseBounds.DEFAULT, log);
    }

    /** Holds about {@code maxConnections} connections, with the given time bounds. */
    public HttpFront(EventLoop loop, RequestTracker ledger, Router router, List<RequestClass> classes, List<Tenant> tenants,
            int maxConnections, PhaseBounds phaseBounds, Consumer<String> log) {
        this(loop, ledger, router, classes, tenants, maxConnections, phaseBounds, MessageMemory.ofThisProcess().requestBudget(),
                MessageMemory.ofThisProcess().responseBudget(), log);
    }

    /**
     * As above; {@code requestMemory} bounds the memory for requests of all connections together, {@code responseMemory} that
     * for responses, which transports may use too.
     */
    public HttpFront(EventLoop loop, RequestTracker ledger, Router router, List<RequestClass> classes, List<Tenant> tenants,
            int maxConnections, PhaseBounds phaseBounds, ByteBudget requestMemory, ByteBudget responseMemory, Consumer<String> log) {
        classes.forEach(type -> this.classes.put(type.name(), type));
        connections = new ClientConnectionTable<>(phaseBounds, longestDeadlineMicros() + RESPONSE_LATENESS_MICROS);
        this.loop = loop;
        this.ledger = ledger;
        this.router = router;
        this.log = log;
        nextTurn = new NextTurn(loop);
        this.requestMemory = requestMemory;
        this.responseMemory = responseMemory;
        acceptor = new Acceptor(loop, ledger, this::closeOneToAccept, log);
        admission = new ConnectionAdmission<>(connections, new ConnectionLimit(maxConnections), acceptor, ledger::now, log);
        requestReader = new ApiRequest.Reader(this.classes, tenants.stream().map(Tenant::name).collect(Collectors.toSet()));
    }

    /** Requests from now on carry the zone of their client's address. */
    public void setClientZones(Function<InetAddress, String> zoneByAddress) {
        clientZoneByAddress = zoneByAddress;
    }

    /** Uses another kind of server channel; call it before {@link #listen}. */
    void setServerChannelFactory(ChannelFactory<? extends ServerChannel> factory) {
        serverChannelFactory = factory;
    }

    /** The address it listens on, once it is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) acceptor.channel().localAddress();
    }

    /** Number of open client connections. Call it on the event loop. */
    int connectionCount() {
        return connections.size();
    }

    /**
     * Number of connections that have the HTTP handlers in their pipeline, or of those that don't. Call it on the event
     * loop.
     */
    int connectionCount(boolean withHttpHandlers) {
        int withoutHandlers = connections.size(ConnectionPhase.DORMANT) + connections.size(ConnectionPhase.SILENT)
                + connections.size(ConnectionPhase.NEW);
        return withHttpHandlers ? connections.size() - withoutHandlers : withoutHandlers;
    }

    /** Number of open client connections in a phase. Call it on the event loop. */
    int connectionCount(ConnectionPhase phase) {
        return connections.size(phase);
    }

    /** Whether the listener is closed, so that nobody can connect any more. Call it on the event loop. */
    boolean isListenerClosed() {
        return acceptor.isClosed();
    }

    /** Number of requests, on all connections, that are only counted and will be refused. Call it on the event loop. */
    int overflowRequestCount() {
        int[] total = new int[1];
        connections.forEach(ConnectionPhase.BUSY, connection -> total[0] += connection.overflowCount());
        return total[0];
    }

    /** Binds the listener; the future tells whether that succeeded. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channelFactory(serverChannelFactory)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Acceptor.MAX_ACCEPTS_PER_TURN))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                // one read of a connection in a turn: its next input waits until the others have been read
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES,
                        INITIAL_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(1))
                .handler(acceptor)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new ClientConnection(HttpFront.this, channel));
                    }
                }).bind(address);
        loop.scheduleWithFixedDelay(this::closeOverdueConnections, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return bound;
    }

    /**
     * As for every front; new connections are accepted for a short time, and {@code onStopped} runs once all connections
     * are closed.
     */
    @Override
    public void stop(long maxDeadlineMicros, Runnable onStopped) {
        stopping = true;
        ShutdownSchedule schedule = ShutdownSchedule.starting(ledger.now(),
                Math.min(maxDeadlineMicros, longestDeadlineMicros()),
                STOP_ACCEPT_MILLIS * 1_000 + STOP_MIN_LAST_CONNECTION_MICROS);
        answerDeadlineMicros = schedule.answerByMicros();
        stopCallback = onStopped;
        if (acceptor.channel() == null) {  // stopped before it listened: it never will
            acceptor.close();
            servingEnded = true;
            completeStopIfDone();
            return;
        }
        loop.schedule(() -> acceptor.closeOnceBacklogIsEmpty(() -> ledger.now() >= answerDeadlineMicros,
                this::completeStopIfDone), STOP_ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
        long answeredInMicros = answerDeadlineMicros - ledger.now();
        loop.schedule(this::endServing, schedule.serveUntilMicros() - ledger.now(), TimeUnit.MICROSECONDS);
        loop.schedule(this::closeRestingConnections, Math.min(STOP_REST_MILLIS * 1_000, answeredInMicros),
                TimeUnit.MICROSECONDS);
        loop.schedule(() -> {
            connections.forEach(ConnectionPhase.BUSY, ClientConnection::failOpenRequest);
            // the time to complete partial requests, and to read abandoned responses, is over
            List.of(ConnectionPhase.NEW, ConnectionPhase.SILENT, ConnectionPhase.PART, ConnectionPhase.STALLED,
                    ConnectionPhase.ABANDONED).forEach(phase -> closeUnlessRequested(phase, true));
        }, answeredInMicros, TimeUnit.MICROSECONDS);
        // Connections that are still open by then are logged, since the process may be killed next.
        loop.schedule(this::logOpenConnections, answeredInMicros + STOP_LOG_DELAY_MICROS, TimeUnit.MICROSECONDS);
    }

    /** Something was given up since the memory for messages of its kind is used up. */
    void memoryUsedUp(ByteBudget budget) {
        if (ledger.now() - memoryLoggedAtMicros >= LOG_INTERVAL_MICROS) {
            memoryLoggedAtMicros = ledger.now();
            log.accept("memory for " + (budget == requestMemory ? "requests" : "responses") + " is used up: " + budget.usedBytes()
                    + " of " + budget.capacityBytes() + " bytes beside " + budget.freeBytesPerOwner()
                    + " for each connection; given up so far: " + budget.rejections());
        }
    }

    /** Whether the shutdown has begun. */
    boolean isStopping() {
        return stopping;
    }

    /** Whether connections close with the last response that they are owed. */
    boolean isServingEnded() {
        return servingEnded;
    }

    /** The time by which everything has to be answered, because of a shutdown. */
    long answerDeadlineMicros() {
        return answerDeadlineMicros;
    }

    /** The zone of a client's address; empty if zones are not used. */
    String clientZone(SocketAddress remote) {
        return clientZoneByAddress == null || !(remote instanceof InetSocketAddress client) ? ""
                : clientZoneByAddress.apply(client.getAddress());
    }

    private long longestDeadlineMicros() {
        return classes.values().stream().mapToLong(RequestClass::deadline).max().orElse(0);
    }

    private void logOpenConnections() {
        if (connections.size() > 0) {
            log.accept("shutdown is waiting for connections: " + connections.phaseCounts() + "; unanswered requests: "
                    + unansweredIds());
        }
    }

    private List<String> unansweredIds() {
        List<String> ids = new ArrayList<>();
        connections.forEach(ConnectionPhase.BUSY, connection -> {
            if (connection.requestId() != null && ids.size() < MAX_LOGGED_IDS) {
                ids.add(connection.requestId());
            }
        });
        return ids;
    }

    /**
     * From now on each connection closes after the last response that it is owed, and connections that never sent a
     * request close now. One that rests stays open for a while, and one with a partial request, since the rest of it is
     * on its way.
     */
    void endServing() {
        servingEnded = true;
        List.of(ConnectionPhase.NEW, ConnectionPhase.SILENT)
                .forEach(phase -> closeUnlessRequested(phase, false));
        completeStopIfDone();
    }

    private void closeRestingConnections() {
        List.of(ConnectionPhase.IDLE, ConnectionPhase.DORMANT).forEach(phase -> closeUnlessRequested(phase, false));
    }

    private void closeUnlessRequested(ConnectionPhase phase, boolean includePartial) {
        connections.forEach(phase, connection -> connection.closeUnlessRequested(phase, includePartial));
    }

    private void closeOverdueConnections() {
        connections.forEachOverdue(ledger.now(), MAX_CLOSES_PER_SWEEP, ClientConnection::handleOverdue);
        admission.closeExcess();
    }

    private void closeOneToAccept() {
        admission.closeOne();
    }

    /**
     * The client that a connection counts for: its address, or the first 64 bits of an IPv6 address, since one client
     * may use any number of addresses with that prefix (RFC 4291, section 2.5).
     */
    static long addressPrefix(SocketAddress remote) {
        byte[] addressBytes = remote instanceof InetSocketAddress inetAddress ? inetAddress.getAddress().getAddress()
                : new byte[0];
        long prefix = 0;
        for (int i = 0; i < Math.min(Long.BYTES, addressBytes.length); i++) {
            prefix = prefix << Byte.SIZE | addressBytes[i] & 0xFF;
        }
        return prefix;
    }

    /**
     * Completes the shutdown only once nobody can connect any more, since a client that connected in between would be
     * reset.
     */
    void completeStopIfDone() {
        if (servingEnded && stopCallback != null && connections.size() == 0 && acceptor.isClosedForGood()) {
            stopCallback.run();
        }
    }
}
