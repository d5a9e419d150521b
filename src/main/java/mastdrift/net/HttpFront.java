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
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Tenant;
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.Responder;
import mastdrift.engine.Exchange;
import mastdrift.engine.Front;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Pool;
import mastdrift.engine.ShutdownSchedule;
import mastdrift.limits.ClientConnectionTable;
import mastdrift.limits.ConnectionLimit;
import mastdrift.limits.ConnectionPhase;
import mastdrift.limits.PhaseBounds;

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

    private static final int MAX_BODY_BYTES = 64 << 10;
    private static final int LISTEN_BACKLOG = 1024;
    // Requests that are queued on a connection behind the current one. Up to MAX_OVERFLOW_REQUESTS more are only
    // counted, and refused in their turn. Reading continues, since the close of a connection would otherwise go
    // unnoticed while its requests wait to be forwarded. When reading has to pause, the queued requests and all unread
    // ones are refused.
    private static final int MAX_PIPELINED_REQUESTS = 8;
    static final int MAX_OVERFLOW_REQUESTS = 1_024;
    // Stands for a request that was only counted.
    private static final FullHttpRequest OVERFLOW_REQUEST =
            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "", Unpooled.EMPTY_BUFFER);
    // When reading has paused, a close of the connection is behind all unread input. It is searched for with at most
    // this many reads of 64 KiB; a client that has sent more than that is treated as gone.
    private static final int MAX_READS_AFTER_PAUSE = 16;
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
    // Interval at which connections that exceeded the time bound of their phase are searched for, and how many of each
    // phase are closed at a time: closing ten thousand at once would delay everything else on the loop.
    private static final long SWEEP_INTERVAL_MILLIS = 250;
    private static final int MAX_CLOSES_PER_SWEEP = 1_000;
    // A response is worth nothing to its client this long after the request's deadline.
    private static final long RESPONSE_LATENESS_MICROS = 550_000;

    private final EventLoop loop;
    private final RequestTracker ledger;
    private final Router router;
    private final Consumer<String> log;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private ChannelFactory<? extends ServerChannel> serverChannelFactory = NioServerSocketChannel::new;
    private Function<InetAddress, String> clientZoneByAddress;  // zone of a client address; null if zones are not used
    private final ClientConnectionTable<Connection> connections;
    private final Set<String> openRequestIds = new HashSet<>();  // ids of requests that have no final answer yet
    private final Acceptor acceptor;
    private final ConnectionAdmission<Connection> admission;
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
        classes.forEach(type -> this.classes.put(type.name(), type));
        connections = new ClientConnectionTable<>(phaseBounds, longestDeadlineMicros() + RESPONSE_LATENESS_MICROS);
        this.loop = loop;
        this.ledger = ledger;
        this.router = router;
        this.log = log;
        acceptor = new Acceptor(loop, ledger, this::closeOneToAccept, log);
        admission = new ConnectionAdmission<>(connections, new ConnectionLimit(maxConnections), acceptor, ledger::now, log);
        tenants.stream().map(Tenant::name).forEach(this.tenants::add);
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
        connections.forEach(ConnectionPhase.BUSY, connection -> total[0] += connection.overflowCount);
        return total[0];
    }

    /** Binds the listener; the future tells whether that succeeded. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channelFactory(serverChannelFactory)
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Acceptor.MAX_ACCEPTS_PER_TURN))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(acceptor)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Connection(channel));
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
            connections.forEach(ConnectionPhase.BUSY, Connection::failOpenRequest);
            // the time to complete partial requests, and to read abandoned responses, is over
            List.of(ConnectionPhase.NEW, ConnectionPhase.SILENT, ConnectionPhase.PART, ConnectionPhase.STALLED,
                    ConnectionPhase.ABANDONED).forEach(phase -> closeUnlessRequested(phase, true));
        }, answeredInMicros, TimeUnit.MICROSECONDS);
        // Connections that are still open by then are logged, since the process may be killed next.
        loop.schedule(this::logOpenConnections, answeredInMicros + STOP_LOG_DELAY_MICROS, TimeUnit.MICROSECONDS);
    }

    private long longestDeadlineMicros() {
        return classes.values().stream().mapToLong(RequestClass::deadline).max().orElse(0);
    }

    private void logOpenConnections() {
        if (connections.size() > 0) {
            log.accept("shutdown is waiting for connections: " + connections.phaseCounts() + "; unanswered requests: "
                    + openRequestIds.stream().limit(MAX_LOGGED_IDS).toList());
        }
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
        connections.forEachOverdue(ledger.now(), MAX_CLOSES_PER_SWEEP, Connection::handleOverdue);
        admission.closeExcess();
    }

    private void closeOneToAccept() {
        admission.closeOne();
    }

    /**
     * The client that a connection counts for: its address, or the first 64 bits of an IPv6 address, since one client
     * may use any number of addresses with that prefix (RFC 4291, section 2.5).
     */
    private static long addressPrefix(SocketAddress remote) {
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
    private void completeStopIfDone() {
        if (servingEnded && stopCallback != null && connections.size() == 0 && acceptor.isClosedForGood()) {
            stopCallback.run();
        }
    }

    /**
     * Aggregates whole requests. One that is too large is passed on as a failed message, to be answered in its turn.
     */
    private static final class RequestAggregator extends HttpObjectAggregator {

        RequestAggregator() {
            super(MAX_BODY_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            HttpRequest request = (HttpRequest) oversized;
            FullHttpRequest failedRequest = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
                    request.uri(), Unpooled.EMPTY_BUFFER);
            failedRequest.setDecoderResult(DecoderResult.failure(new TooLongFrameException("body")));
            context.fireChannelRead(failedRequest);
        }
    }

    /** A request, the earliest time from which it may have been waiting, and the turn in which it was read. */
    private record ReceivedRequest(FullHttpRequest message, long waitingSinceMicros, long readTurn) { }

    /**
     * One client's connection. Until its first byte arrives, this is the only handler in the pipeline: the first byte
     * adds the HTTP handlers in front of it, and they are removed again once the connection has been idle for a while.
     */
    private final class Connection extends ChannelInboundHandlerAdapter implements Responder, ConnectionAdmission.Evictable {

        private final Channel channel;
        private ClientConnectionTable.Entry<Connection> entry;
        private StrictDecoder decoder;  // null while the HTTP handlers are not in the pipeline
        private ArrayDeque<ReceivedRequest> pipelined;  // requests behind the current one; null until there is one
        private int overflowCount;  // requests behind those, which will be refused
        // reading had to pause: the client's close may be far behind what was read, until all input has been read
        private boolean overflowed;
        private FullHttpRequest currentRequest;
        private Exchange exchange;
        private String requestId;
        // whether the current read has completed a request
        private boolean requestCompleted;
        private boolean inputFailed;  // no request can be read any more behind the current one
        private boolean lastResponseWritten;
        private boolean surplus;  // opened when there was no room for it, and no request of it has been served yet
        private boolean closesToMakeRoom;
        private long openedTurn;
        private long earliestOpenMicros;  // earliest time at which it may have been in the listen backlog

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            openedTurn = ledger.turnNumber();
            earliestOpenMicros = acceptor.earliestArrivalMicros();
            entry = connections.add(ledger.now(), this, addressPrefix(channel.remoteAddress()));
            surplus = !admission.admit(entry);
        }

        /**
         * Moves a connection to the phase that follows, without its HTTP handlers if it has been idle for a while;
         * closes it if none follows. It closes without a response, since a 408 might cross a request and be taken for
         * its answer.
         */
        private void handleOverdue(ConnectionPhase phase) {
            if (phase == ConnectionPhase.IDLE && hasPartialRequest() || !connections.advance(entry)) {
                closeUnlessRequested(phase, true);
            } else if (phase == ConnectionPhase.IDLE) {
                channel.pipeline().remove(StrictDecoder.class);
                channel.pipeline().remove(HttpResponseEncoder.class);
                channel.pipeline().remove(RequestAggregator.class);
                decoder = null;
                pipelined = null;
            }
        }

        /**
         * Closes the connection if it is in {@code phase}, in which it is owed no response, unless its unread input
         * changes that: the close would reset a request that had arrived before it. Closes one with a partial request
         * only if {@code includePartial}.
         */
        private void closeUnlessRequested(ConnectionPhase phase, boolean includePartial) {
            if (entry.phase() == phase) {
                UnreadInput.read(channel);
            }
            if (entry.phase() == phase && (includePartial || !hasPartialRequest())) {
                close();
            }
        }

        @Override
        public boolean closeUnlessInputArrived() {
            ConnectionPhase phase = entry.phase();
            boolean hadPartialRequest = hasPartialRequest();
            UnreadInput.read(channel);
            if (entry.phase() != phase || hasPartialRequest() != hadPartialRequest) {
                return false;
            }
            close();
            return true;
        }

        /** Whether a request has arrived in part, but not completely. */
        private boolean hasPartialRequest() {
            return decoder != null && !decoder.isBetweenRequests();
        }

        /** Ends the open request now, as if its deadline had passed. */
        private void failOpenRequest() {
            if (exchange != null) {
                exchange.timeOut();
            }
        }

        private void close() {
            connections.remove(entry);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (entry != null) {
                connections.remove(entry);
            }
            openRequestIds.remove(requestId);
            admission.connectionClosed();
            if (pipelined != null) {
                releasePipelined();
            }
            if (exchange != null) {
                exchange.clientDisconnected();
            }
            completeStopIfDone();
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof FullHttpRequest request) {
                receiveRequest(request);
            } else {
                decoder = new StrictDecoder();
                channel.pipeline().addFirst(decoder, new HttpResponseEncoder(), new RequestAggregator());
                channel.pipeline().fireChannelRead(message);
            }
        }

        /** Takes ownership of the message. */
        private void receiveRequest(FullHttpRequest message) {
            if (lastResponseWritten) {
                message.release();
                return;
            }
            requestCompleted = true;
            // A request found by the first wait after the accept may have been there as long as the connection.
            long waitingSinceMicros = ledger.turnNumber() == openedTurn + 1 ? Math.min(earliestOpenMicros, ledger.earliestArrivalAt())
                    : ledger.earliestArrivalAt();
            ReceivedRequest received = new ReceivedRequest(message, waitingSinceMicros, ledger.turnNumber());
            if (currentRequest == null) {
                startNext(received);
                return;
            }
            if (pipelined == null) {
                pipelined = new ArrayDeque<>(2);
            }
            if (!overflowed && overflowCount == 0 && pipelined.size() < MAX_PIPELINED_REQUESTS) {
                pipelined.add(received);
                return;
            }
            message.release();
            // a close would no longer be noticed: then no request of this connection may wait to be forwarded
            if (++overflowCount >= MAX_OVERFLOW_REQUESTS) {
                channel.config().setAutoRead(false);
                overflowed = true;
                overflowCount += pipelined.size();
                releasePipelined();
            }
        }

        private void releasePipelined() {
            pipelined.forEach(request -> request.message.release());
            pipelined.clear();
        }

        /** The next request in order; null if there is none. */
        private ReceivedRequest pollNext() {
            ReceivedRequest next = pipelined == null ? null : pipelined.poll();
            if (next == null && overflowCount > 0) {
                overflowCount--;
                return new ReceivedRequest(OVERFLOW_REQUEST, ledger.now(), ledger.turnNumber());
            }
            return next;
        }

        /** Input that did not complete a request is part of one. A read may also have found no input at all. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!requestCompleted && currentRequest == null && !lastResponseWritten && hasPartialRequest()) {
                connections.receivedPart(ledger.now(), entry);
            }
            requestCompleted = false;
        }

        private void startNext(ReceivedRequest request) {
            if (request == null) {
                channel.config().setAutoRead(true);
                connections.moveTo(ledger.now(), entry, decoder.isBetweenRequests() ? ConnectionPhase.IDLE : ConnectionPhase.PART);
                if (servingEnded && entry.phase() == ConnectionPhase.IDLE) {
                    close();  // its response was on the way when the other connections were closed
                } else {
                    admission.connectionIdle();
                }
                return;
            }
            connections.moveTo(ledger.now(), entry, ConnectionPhase.BUSY);
            currentRequest = request.message;
            // How long a close of the connection may have gone unnoticed: after the turn in which the request was read,
            // a close is noticed in the turn in which it arrives.
            long closeUnnoticedMicros = request.readTurn == ledger.turnNumber()
                    ? Math.max(ledger.now() - request.waitingSinceMicros, ledger.maxUnreadMicros()) : ledger.maxUnreadMicros();
            if (overflowed && currentRequest != OVERFLOW_REQUEST) {
                loop.execute(() -> {  // once all input behind it has been read, it is served like any other
                    overflowed = !UnreadInput.readAll(channel, MAX_READS_AFTER_PAUSE);
                    processAndRelease(request, overflowed);
                });
            } else {
                boolean readFirst = closeUnnoticedMicros > RequestTracker.CHECK_INPUT_AFTER_MICROS;
                loop.execute(() -> {  // not within the read that delivered it, where reading again would find nothing
                    if (readFirst) {
                        UnreadInput.read(channel);
                    }
                    // false, since it was read before a pause that its own read may have caused
                    processAndRelease(request, false);
                });
            }
        }

        private void processAndRelease(ReceivedRequest request, boolean behindPause) {
            try {
                if (channel.isActive()) {
                    process(request, behindPause);
                }
            } finally {
                request.message.release();
            }
        }

        private void process(ReceivedRequest request, boolean behindPause) {
            FullHttpRequest message = request.message;
            if (message == OVERFLOW_REQUEST || behindPause) {
                sendRefusal(0);
                return;
            }
            Throwable fault = message.decoderResult().cause();
            if (fault != null) {
                boolean bodyTooLarge = fault instanceof TooLongFrameException && "body".equals(fault.getMessage());
                writeEmptyResponse(bodyTooLarge ? HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
                        : fault instanceof StrictDecoder.UnsupportedTransferCodingException
                        ? HttpResponseStatus.NOT_IMPLEMENTED
                        : HttpResponseStatus.BAD_REQUEST, true);
            } else if (matchesPath(message.uri(), "/ready")) {
                boolean isGet = message.method().equals(HttpMethod.GET);
                writeEmptyResponse(!isGet ? HttpResponseStatus.METHOD_NOT_ALLOWED
                        : stopping ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK, false);
            } else if (matchesPath(message.uri(), "/api") || message.uri().startsWith("/api/")) {
                handleApiRequest(message, ledger.now() - request.waitingSinceMicros);
            } else {
                writeEmptyResponse(HttpResponseStatus.NOT_FOUND, false);
            }
        }

        /** Whether the request target is this path, with a query or without. */
        private static boolean matchesPath(String uri, String path) {
            return uri.startsWith(path) && (uri.length() == path.length() || "?#".indexOf(uri.charAt(path.length())) >= 0);
        }

        private void handleApiRequest(FullHttpRequest message, long waitedMicros) {
            RequestHead head = new RequestHead(message.headers());
            RequestClass requestClass = head.className() == null ? null : classes.get(head.className());
            String tenant = head.tenant();
            long expiresMillis = head.expiresMillis();
            String traceId = head.traceId();
            boolean keyed = requestClass != null && requestClass.repeat() == Repeat.KEYED;
            boolean invalid = requestClass == null || expiresMillis <= 0
                    || !tenants.isEmpty() && !tenants.contains(tenant)
                    || !isForwardedUnchanged(traceId) || !isForwardedUnchanged(message.uri())
                    || !(head.idempotencyKey() == null ? !keyed : isForwardedUnchanged(head.idempotencyKey()))
                    || head.hasDuplicates();
            if (message.method().equals(HttpMethod.GET) && message.content().isReadable()) {
                // hosts that ignore the body would read it as another request
                writeEmptyResponse(HttpResponseStatus.BAD_REQUEST, true);
            } else if (!message.method().equals(HttpMethod.GET) && !message.method().equals(HttpMethod.POST)
                    || !invalid && message.method().equals(HttpMethod.GET) != (requestClass.repeat() == Repeat.SAFE)) {
                writeEmptyResponse(HttpResponseStatus.METHOD_NOT_ALLOWED, false);
            } else if (invalid) {
                writeEmptyResponse(HttpResponseStatus.BAD_REQUEST, false);
            } else if (!openRequestIds.add(traceId)) {
                // Else the answers of two requests could be confused
                writeEmptyResponse(HttpResponseStatus.CONFLICT, false);
            } else {
                requestId = traceId;
                long timeLeftMicros = Math.min(Math.min(expiresMillis * 1000, requestClass.deadline()) - waitedMicros,
                        answerDeadlineMicros - ledger.now());
                long workMicros = Math.max(0, head.workMicros());
                Long affinityKey = hash(head.objectName());
                Long effectKey = keyed ? hash(head.idempotencyKey()) : null;
                Pool pool = router.pool(requestClass, tenant, message, keyed ? effectKey : affinityKey);
                if (pool == null) {
                    writeEmptyResponse(HttpResponseStatus.NOT_FOUND, false);
                    return;
                }
                HttpCall call = new HttpCall(message.retain());
                RequestAttributes attributes = new RequestAttributes(requestClass.name(), tenant, affinityKey, timeLeftMicros,
                        head.isRepeat(), message.method().equals(HttpMethod.POST), workMicros, clientZone(), effectKey);
                surplus = surplus && !admission.hasRoomForRequest();
                if (surplus) {
                    refuseForLackOfRoom(pool, call, attributes);
                } else {
                    exchange = ledger.accept(pool, this, call, attributes, waitedMicros);
                }
            }
        }

        /** Refuses the request and closes the connection, once all requests that have arrived on it are answered. */
        private void refuseForLackOfRoom(Pool pool, HttpCall call, RequestAttributes attributes) {
            UnreadInput.read(channel);
            closesToMakeRoom = true;
            ledger.refuse(pool, this, call, attributes);
        }

        private String clientZone() {
            return clientZoneByAddress == null || !(channel.remoteAddress() instanceof InetSocketAddress remote) ? ""
                    : clientZoneByAddress.apply(remote.getAddress());
        }

        /** Whether the text is forwarded unchanged: anything but visible ASCII would be altered on the way. */
        private static boolean isForwardedUnchanged(String text) {
            for (int i = 0; text != null && i < text.length(); i++) {
                if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                    return false;
                }
            }
            return text != null && !text.isEmpty();
        }

        /** Hash of a name of any form; the same at every gateway. */
        private static Long hash(String name) {
            if (name == null) {
                return null;
            }
            long hash = 0xCBF29CE484222325L;  // FNV-1a
            for (int i = 0; i < name.length(); i++) {
                hash = (hash ^ name.charAt(i)) * 0x100000001B3L;
            }
            return hash;
        }

        /**
         * The client's close may be in unread input, which is read at each call, since the process may have been
         * stalled since the last read.
         */
        @Override
        public boolean isClientConnected() {
            if (!channel.config().isAutoRead()) {
                return UnreadInput.readAll(channel, MAX_READS_AFTER_PAUSE) && channel.isActive();
            }
            UnreadInput.read(channel);
            return channel.isActive();
        }

        @Override
        public boolean isClientGone() {
            return !channel.isActive();
        }

        @Override
        public void sendResponse(ResponseMessage hostAnswer) {
            FullHttpResponse hostResponse = ((HttpAnswer) hostAnswer).message();
            ByteBuf body = hostResponse.content().retain();
            FullHttpResponse response = UncheckedHeaders.newResponse(HttpResponseStatus.OK, body);
            String contentType = hostResponse.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (contentType != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            writeResponse(response, false);
        }

        /** Retry-After is in whole seconds, as HTTP defines it; 0 omits it. */
        @Override
        public void sendRefusal(long retryAfterMicros) {
            FullHttpResponse response = emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
            if (retryAfterMicros > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, (retryAfterMicros + 999_999) / 1_000_000);
            }
            writeResponse(response, false);
        }

        @Override
        public void sendFailure(boolean late) {
            writeEmptyResponse(late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, false);
        }

        private void writeEmptyResponse(HttpResponseStatus status, boolean close) {
            writeResponse(emptyResponse(status), close);
        }

        private static FullHttpResponse emptyResponse(HttpResponseStatus status) {
            return UncheckedHeaders.newResponse(status, Unpooled.EMPTY_BUFFER);
        }

        private void writeResponse(FullHttpResponse response, boolean close) {
            exchange = null;
            openRequestIds.remove(requestId);
            requestId = null;
            // During a shutdown, or to make room, the connection closes with the last response that it is owed.
            boolean moreRequests = overflowCount > 0 || pipelined != null && !pipelined.isEmpty();
            boolean keepAlive = !close && !inputFailed && (moreRequests || !servingEnded && !closesToMakeRoom)
                    && HttpUtil.isKeepAlive(currentRequest);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keepAlive);
            connections.moveTo(ledger.now(), entry, ConnectionPhase.UNREAD);
            channel.writeAndFlush(response).addListener((ChannelFutureListener) written -> {
                currentRequest = null;
                if (keepAlive && written.isSuccess()) {
                    startNext(pollNext());
                } else {
                    closeAfterResponse();
                }
            });
        }

        /**
         * Closes the connection after its last response. Unread input would turn the close into a reset, which may
         * discard the response, so it is read and dropped first.
         */
        private void closeAfterResponse() {
            lastResponseWritten = true;
            if (pipelined != null) {
                releasePipelined();
            }
            loop.execute(() -> {
                UnreadInput.read(channel);
                close();
            });
        }

        /**
         * An I/O error closes the connection. After any other fault, of the codec or of this program, a request that is
         * being answered still gets its response.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean clientFault = cause instanceof IOException || cause instanceof CodecException;
            if (!clientFault) {
                log.accept("fault on a client connection: " + cause);
            }
            if (cause instanceof IOException || currentRequest == null || lastResponseWritten) {
                context.close();
            } else if (exchange != null) {
                inputFailed = true;
                channel.config().setAutoRead(false);
            } else {
                writeEmptyResponse(HttpResponseStatus.INTERNAL_SERVER_ERROR, true);
            }
        }
    }
}
