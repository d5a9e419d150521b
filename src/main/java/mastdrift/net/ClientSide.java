package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Tenant;
import mastdrift.engine.Answer;
import mastdrift.engine.Ask;
import mastdrift.engine.Client;
import mastdrift.engine.Exchange;
import mastdrift.engine.Ledger;
import mastdrift.engine.Pool;
import mastdrift.limits.Connections;
import mastdrift.limits.Phase;
import mastdrift.limits.PhaseBounds;

/**
 * The HTTP/1.1 server that clients connect to: accepts connections, decodes and validates requests, hands them to the
 * {@link Ledger} and writes the final responses. It bounds the number of connections and the time that each may spend
 * in a {@link Phase}.
 */
public final class ClientSide {

    /** Chooses the pool that a request is for. */
    public interface Router {
        /** Returns null if no route matches. The key (or null) is the same in all repeats of a request. */
        Pool pool(RequestClass type, String tenant, HttpRequest message, Long key);
    }

    private static final int BODY_MOST = 64 << 10;
    private static final int BACKLOG = 1024;
    // Connections accepted in one turn of the event loop: more would delay everything else on the loop.
    private static final int ACCEPTED_MOST = 16;
    // Requests that are queued on a connection behind the current one. Up to MAX_OVERFLOW_REQUESTS more are only
    // counted, and refused in their turn. Reading goes on meanwhile, since the close of a connection would otherwise go
    // unnoticed while its requests wait to be forwarded. When reading has to pause, the queued requests and all unread
    // ones are refused.
    private static final int PIPELINED_MOST = 8;
    static final int COUNTED_MOST = 1_024;
    // Stands for a request that was only counted.
    private static final FullHttpRequest COUNTED = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "", Unpooled.EMPTY_BUFFER);
    // When reading has paused, a close of the connection is behind all unread input. It is searched for with at most
    // this many reads of 64 KiB; a client that has sent more than that is treated as gone.
    private static final int PAUSED_LOOKS = 16;
    // During a shutdown, new connections keep arriving for a while until it has been noticed that this gateway stops.
    private static final long STOP_ACCEPTING_MILLIS = 500;
    // During a shutdown, clients are served on their existing connections for this long, since other gateways may be
    // unavailable as well. All requests are answered at the latest STOP_ANSWER_MARGIN_MICROS after the longest
    // deadline, before the process may be killed.
    private static final long STOP_SERVING_MILLIS = 1500;
    private static final long STOP_ANSWERED = 400_000;
    // Minimum time for clients that connect just before the listener closes, however short the deadlines are.
    private static final long STOP_LAST = 50_000;
    // Connections that are still open this long after all requests should have been answered are logged.
    private static final long STOP_SAID = 50_000;
    private static final int STOP_NAMED = 20;
    // Interval at which connections that exceeded the time bound of their phase are searched for, and how many of each
    // phase are closed at a time: closing ten thousand at once would delay everything else on the loop.
    private static final long SWEEP_MILLIS = 250;
    private static final int SWEEP_MOST = 1_000;
    // Connections examined before the search for one to evict is given up.
    private static final int GIVING_WAY_LOOKS = 4;
    // Pause after an accept that failed for lack of a local resource: an immediate retry would fail again.
    private static final long ACCEPT_PAUSE_MILLIS = 10;
    private static final long ACCEPT_SAID = 10_000_000;

    private final EventLoop loop;
    private final Ledger ledger;
    private final Router router;
    private final Consumer<String> log;
    private final int most;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private ChannelFactory<? extends ServerChannel> listener = NioServerSocketChannel::new;
    private Function<InetAddress, String> zones;  // zone of a client address; null if zones are not used
    private final PhaseBounds bounds;
    private final Connections<Connection> connections;
    private final Set<String> open = new HashSet<>();  // ids of requests that have no final answer yet
    private volatile Channel server;  // set before the first connection is accepted
    private boolean queueSeen = true;  // whether the last read of the listen backlog emptied it
    private long acceptedIn;  // turn of the last accept, or in which accepting resumed after a pause
    private long queuedSince;  // earliest time at which a connection that is accepted now may have arrived
    private long acceptSaidAt = -ACCEPT_SAID;
    private boolean stopping;
    private boolean closing;
    private long answerBy = Long.MAX_VALUE;
    private Runnable stopped;

    /** Holds about {@code maxConnections} connections, with the default {@link PhaseBounds}. */
    public ClientSide(EventLoop loop, Ledger ledger, Router router, List<RequestClass> classes, List<Tenant> tenants,
            int most, Consumer<String> log) {
        this(loop, ledger, router, classes, tenants, most, PhaseBounds.USUAL, log);
    }

    /** Holds about {@code maxConnections} connections, with the given time bounds. */
    public ClientSide(EventLoop loop, Ledger ledger, Router router, List<RequestClass> classes, List<Tenant> tenants,
            int most, PhaseBounds bounds, Consumer<String> log) {
        this.bounds = bounds;
        connections = new Connections<>(bounds);
        this.loop = loop;
        this.ledger = ledger;
        this.router = router;
        this.log = log;
        this.most = most;
        classes.forEach(type -> this.classes.put(type.name(), type));
        tenants.stream().map(Tenant::name).forEach(this.tenants::add);
    }

    /** Requests from now on carry the zone of their client's address. */
    public void clientZones(Function<InetAddress, String> byAddress) {
        zones = byAddress;
    }

    /** Uses another kind of server channel; call it before {@link #listen}. */
    void listener(ChannelFactory<? extends ServerChannel> kind) {
        listener = kind;
    }

    /** The address it listens on, once it is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Number of open client connections. Call it on the event loop. */
    int connections() {
        return connections.size();
    }

    /**
     * Number of connections that have the HTTP handlers in their pipeline, or of those that don't. Call it on the event
     * loop.
     */
    int connections(boolean awake) {
        int bare = connections.size(Phase.DORMANT) + connections.size(Phase.SILENT);
        return awake ? connections.size() - bare : bare;
    }

    /** Whether the listener is closed, so that nobody can connect any more. Call it on the event loop. */
    boolean closed() {
        return server != null && !server.isOpen();
    }

    /** Number of requests, on all connections, that are only counted and will be refused. Call it on the event loop. */
    int counted() {
        int[] all = new int[1];
        connections.each(Phase.BUSY, connection -> all[0] += connection.counted);
        return all[0];
    }

    /** Binds the listener; the future tells whether that succeeded. */
    public ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channelFactory(listener)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTED_MOST))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new Queue())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Connection(channel));
                    }
                }).bind(at);
        loop.scheduleWithFixedDelay(this::closeOverdue, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return bound;
    }

    /**
     * Shuts down gracefully: keeps serving for a short time, then finishes the requests that were taken and closes the
     * connections. {@code onStopped} runs once everything is answered and closed. The shutdown waits for the longest
     * deadline of a class, but no more than {@code maxDeadlineMicros} microseconds: a request that is open 0.4 s later
     * is answered at once, since a process that is killed answers nobody.
     */
    public void stop(long longest, Runnable then) {
        stopping = true;
        long deadline = Math.min(longest, classes.values().stream().mapToLong(RequestClass::deadline).max().orElse(0));
        answerBy = ledger.now() + Math.max(deadline + STOP_ANSWERED, STOP_ACCEPTING_MILLIS * 1_000 + STOP_LAST);
        stopped = then;
        if (server == null) {  // stopped before it listened: it never will
            closing = true;
            checkStopped();
            return;
        }
        loop.schedule(() -> closeServer(ledger.turn()), STOP_ACCEPTING_MILLIS, TimeUnit.MILLISECONDS);
        // With short deadlines the process may be killed sooner than that.
        long answered = answerBy - ledger.now();
        loop.schedule(this::endServing, Math.min(STOP_SERVING_MILLIS * 1_000, answered), TimeUnit.MICROSECONDS);
        loop.schedule(() -> {
            connections.each(Phase.BUSY, Connection::end);
            // the time to complete partial requests is over
            List.of(Phase.SILENT, Phase.PART).forEach(phase -> closeUnasked(phase, true));
        }, answered, TimeUnit.MICROSECONDS);
        // Connections that are still open by then are logged, since the process may be killed next.
        loop.schedule(this::sayWaiting, answered + STOP_SAID, TimeUnit.MICROSECONDS);
    }

    /**
     * Closes the listener once the listen backlog is empty. Clients in the backlog count as connected, and closing the
     * listener would reset them. It is therefore closed only after the wait of a turn later than {@code sinceTurn} has
     * found no new connection, or when all requests have been answered anyway.
     */
    private void closeServer(long since) {
        boolean empty = ledger.turn() > since && acceptedIn < ledger.turn() && queueEmpty() && server.config().isAutoRead();
        if (empty || ledger.turn() == 0 || ledger.now() >= answerBy) {
            server.close();
            checkStopped();
        } else {
            loop.schedule(() -> closeServer(since), 1, TimeUnit.MILLISECONDS);
        }
    }

    private void sayWaiting() {
        if (connections.size() > 0) {
            StringJoiner phases = new StringJoiner(", ");
            for (Phase phase : Phase.values()) {
                if (connections.size(phase) > 0) {
                    phases.add(connections.size(phase) + " " + phase);
                }
            }
            log.accept("shutdown is waiting for connections: " + phases + "; unanswered requests: "
                    + open.stream().limit(STOP_NAMED).toList());
        }
    }

    /**
     * From now on each connection closes after the last response that it is owed, and connections that are owed none
     * close now. A connection with a partial request stays open, since the rest of it is on its way.
     */
    void endServing() {
        closing = true;
        List.of(Phase.SILENT, Phase.IDLE, Phase.DORMANT).forEach(phase -> closeUnasked(phase, false));
        checkStopped();
    }

    private void closeUnasked(Phase phase, boolean parts) {
        connections.each(phase, connection -> connection.closeUnasked(phase, parts));
    }

    private void closeOverdue() {
        connections.overdue(ledger.now(), SWEEP_MOST, Connection::overdue);
    }

    /**
     * Observes the accepts from the listen backlog. By the platform's rules a connection in the backlog has been taken,
     * so its time is running. If a read does not empty the backlog, the connections found by the next read may have
     * arrived before that read.
     */
    private final class Queue extends ChannelInboundHandlerAdapter {

        private int accepted;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            server = context.channel();
            if (stopping) {
                server.close();
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object child) {
            if (accepted++ == 0 && queueEmpty()) {
                queuedSince = ledger.arrived();
            }
            acceptedIn = ledger.turn();
            context.fireChannelRead(child);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            queueSeen = accepted < ACCEPTED_MOST && context.channel().config().isAutoRead();
            accepted = 0;
            context.fireChannelReadComplete();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            acceptFailed(cause);
        }
    }

    /**
     * Handles a failed accept. A connection that its client aborted while it waited (ECONNABORTED) affects nobody else;
     * if descriptors or buffers are exhausted, an idle connection is evicted, and accepting is retried soon. Netty by
     * itself would not accept again for a second.
     */
    private void acceptFailed(Throwable cause) {
        if (ledger.now() - acceptSaidAt >= ACCEPT_SAID) {
            acceptSaidAt = ledger.now();
            log.accept("failed to accept a connection: " + cause);
        }
        if (server.config().isAutoRead()) {
            makeRoom(null);
            server.config().setAutoRead(false);
            loop.schedule(this::goOnAccepting, ACCEPT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Whether the listen backlog was empty as of the last wait, not counting connections that have arrived since. That
     * is so if a read has emptied it, or if, after a read that accepted as many as one turn may, the wait of the next
     * turn found none.
     */
    private boolean queueEmpty() {
        return queueSeen || ledger.turn() > acceptedIn + 1;
    }

    private void goOnAccepting() {
        if (!server.config().isAutoRead()) {
            queueSeen = false;  // the connections in the backlog may have arrived during the pause
            acceptedIn = ledger.turn();
            server.config().setAutoRead(true);
        }
    }

    /**
     * Closes a connection that is owed no response. Its unread input is read first, since it may contain a request.
     * Returns false if no connection could be closed.
     */
    private boolean makeRoom(Connections.Entry<Connection> newcomer) {
        for (int i = 0; i < GIVING_WAY_LOOKS; i++) {
            Connection gives = connections.givesWay(newcomer);
            if (gives == null) {
                return false;
            }
            boolean part = gives.hasPart();
            Look.at(gives.channel);
            if (gives.current == null && gives.hasPart() == part) {
                gives.close();
                return true;
            }
        }
        return false;
    }

    /**
     * The client that a connection counts for: its address, or the first 64 bits of an IPv6 address, since one client
     * may use any number of addresses with that prefix (RFC 4291, section 2.5).
     */
    private static long holder(SocketAddress of) {
        byte[] address = of instanceof InetSocketAddress at ? at.getAddress().getAddress() : new byte[0];
        long holder = 0;
        for (int i = 0; i < Math.min(Long.BYTES, address.length); i++) {
            holder = holder << Byte.SIZE | address[i] & 0xFF;
        }
        return holder;
    }

    /**
     * Completes the shutdown only once nobody can connect any more, since a client that connected in between would be
     * reset.
     */
    private void checkStopped() {
        if (closing && stopped != null && connections.size() == 0 && (server == null || !server.isOpen())) {
            stopped.run();
        }
    }

    /**
     * Aggregates whole requests. One that is too large is passed on as a failed message, to be answered in its turn.
     */
    private static final class Requests extends HttpObjectAggregator {

        Requests() {
            super(BODY_MOST);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            HttpRequest request = (HttpRequest) oversized;
            FullHttpRequest failed = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
                    request.uri(), Unpooled.EMPTY_BUFFER);
            failed.setDecoderResult(DecoderResult.failure(new TooLongFrameException("body")));
            context.fireChannelRead(failed);
        }
    }

    /** A request, the earliest time from which it may have been waiting, and the turn in which it was read. */
    private record Arrived(FullHttpRequest message, long at, long turn) { }

    /**
     * One client's connection. Until its first byte arrives, this is the only handler in the pipeline: the first byte
     * adds the HTTP handlers in front of it, and they are removed again once the connection has been idle for a while.
     */
    private final class Connection extends ChannelInboundHandlerAdapter implements Client {

        private final Channel channel;
        private Connections.Entry<Connection> entry;
        private StrictDecoder decoder;  // null while the HTTP handlers are not in the pipeline
        private ArrayDeque<Arrived> waiting;  // requests behind the current one; null until there is one
        private int counted;  // requests behind those, which will be refused
        // reading had to pause: the client's close may be far behind what was read, until all input has been read
        private boolean flooded;
        private FullHttpRequest current;
        private Exchange exchange;
        private String id;
        // whether the current read has completed a request
        private boolean read;
        private boolean unreadable;  // no request can be read any more behind the current one
        private boolean finished;
        private long openedIn;
        private long openedSince;  // earliest time at which it may have been in the listen backlog

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** Above the connection limit another connection is evicted; if none can be, accepting pauses. */
        @Override
        public void channelActive(ChannelHandlerContext context) {
            openedIn = ledger.turn();
            openedSince = queuedSince;
            entry = connections.opened(ledger.now(), this, holder(channel.remoteAddress()));
            if (connections.size() > most && !makeRoom(entry)) {
                server.config().setAutoRead(false);
            }
        }

        /**
         * Removes the HTTP handlers of a connection that has been idle for a while; closes it in any other case. It
         * closes without a response, since a 408 might cross a request and be taken for its answer.
         */
        private void overdue(Phase phase) {
            if (phase == Phase.IDLE && decoder.isEmpty()) {
                connections.moved(ledger.now(), entry, Phase.DORMANT);
                channel.pipeline().remove(StrictDecoder.class);
                channel.pipeline().remove(HttpResponseEncoder.class);
                channel.pipeline().remove(Requests.class);
                decoder = null;
                waiting = null;
            } else {
                closeUnasked(phase, true);
            }
        }

        /**
         * Closes the connection if it is in {@code phase}, in which it is owed no response, unless its unread input
         * changes that: the close would reset a request that had arrived before it. Closes one with a partial request
         * only if {@code includePartial}.
         */
        private void closeUnasked(Phase phase, boolean parts) {
            if (entry.phase() == phase) {
                Look.at(channel);
            }
            if (entry.phase() == phase && (parts || !hasPart())) {
                close();
            }
        }

        /** Whether a request has arrived in part, but not completely. */
        private boolean hasPart() {
            return decoder != null && !decoder.isEmpty();
        }

        /** Ends the open request now, as if its deadline had passed. */
        private void end() {
            if (exchange != null) {
                exchange.overdue();
            }
        }

        private void close() {
            connections.closed(entry);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (entry != null) {
                connections.closed(entry);
            }
            open.remove(id);
            if (connections.size() <= most) {
                goOnAccepting();
            }
            if (waiting != null) {
                dropWaiting();
            }
            if (exchange != null) {
                exchange.departed();
            }
            checkStopped();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof FullHttpRequest request) {
                arrived(request);
            } else {
                decoder = new StrictDecoder();
                channel.pipeline().addFirst(decoder, new HttpResponseEncoder(), new Requests());
                channel.pipeline().fireChannelRead(message);
            }
        }

        /** Takes ownership of the message. */
        private void arrived(FullHttpRequest message) {
            if (finished) {
                message.release();
                return;
            }
            read = true;
            // A request found by the first wait after the accept may have been there as long as the connection.
            long at = ledger.turn() == openedIn + 1 ? Math.min(openedSince, ledger.arrived()) : ledger.arrived();
            Arrived arrived = new Arrived(message, at, ledger.turn());
            if (current == null) {
                next(arrived);
                return;
            }
            if (waiting == null) {
                waiting = new ArrayDeque<>(2);
            }
            if (!flooded && counted == 0 && waiting.size() < PIPELINED_MOST) {
                waiting.add(arrived);
                return;
            }
            message.release();
            // a close would no longer be noticed: then no request of this connection may wait to be forwarded
            if (++counted >= COUNTED_MOST) {
                channel.config().setAutoRead(false);
                flooded = true;
                counted += waiting.size();
                dropWaiting();
            }
        }

        private void dropWaiting() {
            waiting.forEach(arrived -> arrived.message.release());
            waiting.clear();
        }

        /** The next request in order; null if there is none. */
        private Arrived poll() {
            Arrived next = waiting == null ? null : waiting.poll();
            if (next == null && counted > 0) {
                counted--;
                return new Arrived(COUNTED, ledger.now(), ledger.turn());
            }
            return next;
        }

        /** Input that did not complete a request is part of one. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!read && current == null && !finished) {
                // If the bound for silence is no longer, it stays in force: a client that trickles must not gain time
                // by its first byte.
                boolean goesOn = entry.phase() == Phase.SILENT && bounds.silent() <= bounds.whole();
                connections.moved(ledger.now(), entry, goesOn ? Phase.SILENT : Phase.PART);
            }
            read = false;
        }

        private void next(Arrived arrived) {
            if (arrived == null) {
                channel.config().setAutoRead(true);
                connections.moved(ledger.now(), entry, decoder.isEmpty() ? Phase.IDLE : Phase.PART);
                if (closing && entry.phase() == Phase.IDLE) {
                    close();  // its response was on the way when the other connections were closed
                } else if (connections.size() > most) {  // else accepting, once paused, never resumes
                    makeRoom(null);
                }
                return;
            }
            connections.moved(ledger.now(), entry, Phase.BUSY);
            current = arrived.message;
            // How long a close of the connection may have gone unnoticed: after the turn in which the request was read,
            // a close is noticed in the turn in which it arrives.
            long unheard = arrived.turn == ledger.turn() ? Math.max(ledger.now() - arrived.at, ledger.unseen()) : ledger.unseen();
            if (flooded && current != COUNTED) {
                loop.execute(() -> {  // once all input behind it has been read, it is served like any other
                    flooded = !Look.through(channel, PAUSED_LOOKS);
                    beginNow(arrived, flooded);
                });
            } else {
                boolean late = unheard > Ledger.LOOK_AFTER;
                loop.execute(() -> {  // not within the read that delivered it, where reading again would find nothing
                    if (late) {
                        Look.at(channel);
                    }
                    // false, since it was read before a pause that its own read may have caused
                    beginNow(arrived, false);
                });
            }
        }

        private void beginNow(Arrived arrived, boolean behindPause) {
            try {
                if (channel.isActive()) {
                    begin(arrived, behindPause);
                }
            } finally {
                arrived.message.release();
            }
        }

        private void begin(Arrived arrived, boolean behindPause) {
            FullHttpRequest message = arrived.message;
            if (message == COUNTED || behindPause) {
                refused(0);
                return;
            }
            Throwable fault = message.decoderResult().cause();
            if (fault != null) {
                boolean body = fault instanceof TooLongFrameException && "body".equals(fault.getMessage());
                plain(body ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                        : fault instanceof StrictDecoder.Unsupported ? HttpResponseStatus.NOT_IMPLEMENTED
                        : HttpResponseStatus.BAD_REQUEST, true);
            } else if (isPath(message.uri(), "/ready")) {
                boolean get = message.method().equals(HttpMethod.GET);
                plain(!get ? HttpResponseStatus.METHOD_NOT_ALLOWED
                        : stopping ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, false);
            } else if (isPath(message.uri(), "/api") || message.uri().startsWith("/api/")) {
                take(message, ledger.now() - arrived.at);
            } else {
                plain(HttpResponseStatus.NOT_FOUND, false);
            }
        }

        /** Whether the request target is this path, with a query or without. */
        private static boolean isPath(String uri, String path) {
            return uri.startsWith(path) && (uri.length() == path.length() || "?#".indexOf(uri.charAt(path.length())) >= 0);
        }

        private void take(FullHttpRequest message, long waited) {
            Head head = new Head(message.headers());
            RequestClass type = head.qos() == null ? null : classes.get(head.qos());
            String tenant = head.customer();
            long expires = head.expires();
            String trace = head.trace();
            boolean keyed = type != null && type.repeat() == Repeat.KEYED;
            boolean bad = type == null || expires <= 0 || !tenants.isEmpty() && !tenants.contains(tenant)
                    || !passable(trace) || !passable(message.uri()) || !(head.key() == null ? !keyed : passable(head.key()))
                    || head.doubled();
            if (message.method().equals(HttpMethod.GET) && message.content().isReadable()) {
                // hosts that ignore the body would read it as another request
                plain(HttpResponseStatus.BAD_REQUEST, true);
            } else if (!message.method().equals(HttpMethod.GET) && !message.method().equals(HttpMethod.POST)
                    || !bad && message.method().equals(HttpMethod.GET) != (type.repeat() == Repeat.SAFE)) {
                plain(HttpResponseStatus.METHOD_NOT_ALLOWED, false);
            } else if (bad) {
                plain(HttpResponseStatus.BAD_REQUEST, false);
            } else if (!open.add(trace)) {
                // Else the answers of two requests could be confused
                plain(HttpResponseStatus.CONFLICT, false);
            } else {
                id = trace;
                long left = Math.min(Math.min(expires * 1000, type.deadline()) - waited, answerBy - ledger.now());
                long work = Math.max(0, head.size());
                Long key = key(head.object());
                Long effect = keyed ? key(head.key()) : null;
                Pool pool = router.pool(type, tenant, message, keyed ? effect : key);
                if (pool == null) {
                    plain(HttpResponseStatus.NOT_FOUND, false);
                    return;
                }
                exchange = ledger.take(pool, this, new HttpCall(message.retain()), new Ask(type.name(), tenant, key, left,
                        head.again(), message.method().equals(HttpMethod.POST), work, zone(), effect), waited);
            }
        }

        private String zone() {
            return zones == null || !(channel.remoteAddress() instanceof InetSocketAddress remote) ? "" : zones.apply(remote.getAddress());
        }

        /** Whether the text is forwarded unchanged: anything but visible ASCII would be altered on the way. */
        private static boolean passable(String text) {
            for (int i = 0; text != null && i < text.length(); i++) {
                if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                    return false;
                }
            }
            return text != null && !text.isEmpty();
        }

        /** Hash of a name of any form; the same at every gateway. */
        private static Long key(String object) {
            if (object == null) {
                return null;
            }
            long hash = 0xCBF29CE484222325L;  // FNV-1a
            for (int i = 0; i < object.length(); i++) {
                hash = (hash ^ object.charAt(i)) * 0x100000001B3L;
            }
            return hash;
        }

        /**
         * The client's close may be in unread input, which is read at each call, since the process may have been
         * stalled since the last read.
         */
        @Override
        public boolean there() {
            if (!channel.config().isAutoRead()) {
                return Look.through(channel, PAUSED_LOOKS) && channel.isActive();
            }
            Look.at(channel);
            return channel.isActive();
        }

        @Override
        public boolean left() {
            return !channel.isActive();
        }

        @Override
        public void served(Answer given) {
            FullHttpResponse answer = ((HttpAnswer) given).message();
            ByteBuf body = answer.content().retain();
            FullHttpResponse response = Unchecked.response(HttpResponseStatus.OK, body);
            String type = answer.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            write(response, false);
        }

        /** Retry-After is in whole seconds, as HTTP defines it; 0 omits it. */
        @Override
        public void refused(long retryAfter) {
            FullHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
            if (retryAfter > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, (retryAfter + 999_999) / 1_000_000);
            }
            write(response, false);
        }

        @Override
        public void failed(boolean late) {
            plain(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, false);
        }

        private void plain(HttpResponseStatus status, boolean close) {
            write(empty(status), close);
        }

        private static FullHttpResponse empty(HttpResponseStatus status) {
            return Unchecked.response(status, Unpooled.EMPTY_BUFFER);
        }

        private void write(FullHttpResponse response, boolean close) {
            exchange = null;
            open.remove(id);
            id = null;
            // During a shutdown the connection closes with the last response that it is owed.
            boolean more = counted > 0 || waiting != null && !waiting.isEmpty();
            boolean keep = !close && !unreadable && (more || !closing) && HttpUtil.isKeepAlive(current);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keep);
            connections.moved(ledger.now(), entry, Phase.UNREAD);
            channel.writeAndFlush(response).addListener((ChannelFutureListener) done -> {
                current = null;
                if (keep && done.isSuccess()) {
                    next(poll());
                } else {
                    finish();
                }
            });
        }

        /**
         * Closes the connection after its last response. Unread input would turn the close into a reset, which may
         * discard the response, so it is read and dropped first.
         */
        private void finish() {
            finished = true;
            if (waiting != null) {
                dropWaiting();
            }
            loop.execute(() -> {
                Look.at(channel);
                close();
            });
        }

        /**
         * An I/O error closes the connection. After any other fault, of the codec or of this program, a request that is
         * being answered still gets its response.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean clients = cause instanceof IOException || cause instanceof CodecException;
            if (!clients) {
                log.accept("fault on a client connection: " + cause);
            }
            if (cause instanceof IOException || current == null || finished) {
                context.close();
            } else if (exchange != null) {
                unreadable = true;
                channel.config().setAutoRead(false);
            } else {
                plain(HttpResponseStatus.INTERNAL_SERVER_ERROR, true);
            }
        }
    }
}
