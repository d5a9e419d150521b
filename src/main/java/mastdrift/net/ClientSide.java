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
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.Responder;
import mastdrift.engine.Exchange;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Pool;
import mastdrift.limits.ClientConnectionTable;
import mastdrift.limits.ConnectionPhase;
import mastdrift.limits.PhaseBounds;

/** The server that clients connect to: reads requests, refuses what is none, writes the final answers. */
public final class ClientSide {

    /** Which pool a request is for. */
    public interface Router {
        /** Null where no route fits; the key (or null) is the same in repeats of a request. */
        Pool pool(RequestClass type, String tenant, HttpRequest message, Long key);
    }

    private static final int BODY_MOST = 64 << 10;
    private static final int BACKLOG = 1024;
    // Connections that are taken from the system's queue in one turn: more would hold up everybody else.
    private static final int ACCEPTED_MOST = 16;
    // Behind the current request so many are kept, and so many more are counted, to be refused in their turn. Reading goes on all the while, or
    // the end of a connection would not be heard while its requests wait to be sent on. Where it has to pause, all that stands unread is refused.
    private static final int PIPELINED_MOST = 8;
    static final int COUNTED_MOST = 1_024;
    // Stands for one of those that were only counted.
    private static final FullHttpRequest COUNTED = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "", Unpooled.EMPTY_BUFFER);
    // Where reading had to pause, an end stands behind all that is unread: it is looked for by so many reads of 64 KiB at the most, and whoever has sent more
    // counts as gone.
    private static final int PAUSED_LOOKS = 16;
    // At a stop, new connections go on coming for a while before the front has noticed.
    private static final long STOP_ACCEPTING_MILLIS = 500;
    // For so long clients are served on the connections that they have, since other gateways may be away as well; and
    // all is answered so long after the longest deadline, before the program may be killed.
    private static final long STOP_SERVING_MILLIS = 1500;
    private static final long STOP_ANSWERED = 400_000;
    // Who connects as the listener closes has that long at the least, with deadlines however short.
    private static final long STOP_LAST = 50_000;
    private static final long STOP_SAID = 50_000;
    private static final int STOP_NAMED = 20;
    // Connections that have been in their phase for too long are looked for so often, and so many closed at a time: closing ten
    // thousand at once would hold up everybody else.
    private static final long SWEEP_MILLIS = 250;
    private static final int SWEEP_MOST = 1_000;
    // Connections that are looked at before one of them makes room.
    private static final int GIVING_WAY_LOOKS = 4;
    // After an accept that failed for want of something of this machine's own: it would fail again at once, and again.
    private static final long ACCEPT_PAUSE_MILLIS = 10;
    private static final long ACCEPT_SAID = 10_000_000;

    private final EventLoop loop;
    private final RequestTracker ledger;
    private final Router router;
    private final Consumer<String> log;
    private final int most;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Set<String> tenants = new HashSet<>();
    private ChannelFactory<? extends ServerChannel> listener = NioServerSocketChannel::new;
    private Function<InetAddress, String> zones;  // of clients; null where nobody asks
    private final PhaseBounds bounds;
    private final ClientConnectionTable<Connection> connections;
    private final Set<String> open = new HashSet<>();  // the ids of requests that are not answered yet
    private volatile Channel server;  // from before it accepts anybody
    private boolean queueSeen = true;  // to its end, by the last look at the system's queue of new connections
    private long acceptedIn;  // the last turn that found somebody there, or in which accepting went on after a pause
    private long queuedSince;  // the earliest moment at which what is taken from it now may have come
    private long acceptSaidAt = -ACCEPT_SAID;
    private boolean stopping;
    private boolean closing;
    private long answerBy = Long.MAX_VALUE;
    private Runnable stopped;

    /** Holds about {@code most} connections, by the usual bounds in time. */
    public ClientSide(EventLoop loop, RequestTracker ledger, Router router, List<RequestClass> classes, List<Tenant> tenants,
            int most, Consumer<String> log) {
        this(loop, ledger, router, classes, tenants, most, PhaseBounds.DEFAULT, log);
    }

    /** Likewise, by others. */
    public ClientSide(EventLoop loop, RequestTracker ledger, Router router, List<RequestClass> classes, List<Tenant> tenants,
            int most, PhaseBounds bounds, Consumer<String> log) {
        this.bounds = bounds;
        connections = new ClientConnectionTable<>(bounds);
        this.loop = loop;
        this.ledger = ledger;
        this.router = router;
        this.log = log;
        this.most = most;
        classes.forEach(type -> this.classes.put(type.name(), type));
        tenants.stream().map(Tenant::name).forEach(this.tenants::add);
    }

    /** From now on requests say which zone their client's address is in. */
    public void clientZones(Function<InetAddress, String> byAddress) {
        zones = byAddress;
    }

    /** Listens by a channel of another kind; before {@link #listen}. */
    void listener(ChannelFactory<? extends ServerChannel> kind) {
        listener = kind;
    }

    /** Where it listens, once it does. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Connections that clients have; on the loop's thread. */
    int connections() {
        return connections.size();
    }

    /** Those of them that hold what reading a request needs, or those that don't; on the loop's thread. */
    int connections(boolean awake) {
        int bare = connections.size(ConnectionPhase.DORMANT) + connections.size(ConnectionPhase.SILENT);
        return awake ? connections.size() - bare : bare;
    }

    /** Whether nobody can connect any more; on the loop's thread. */
    boolean closed() {
        return server != null && !server.isOpen();
    }

    /** Requests that are only counted, on all connections; on the loop's thread. */
    int counted() {
        int[] all = new int[1];
        connections.forEach(ConnectionPhase.BUSY, connection -> all[0] += connection.counted);
        return all[0];
    }

    /** Binds; whether that went well is in the future. */
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

    /** Goes on serving for a moment, then finishes what was taken and closes; {@code then} runs once all is answered. That waits for the
        longest deadline, but no more than {@code longest} microseconds: what is open 0.4 s later has its answer at once, since a program
        that is killed answers nobody. */
    public void stop(long longest, Runnable then) {
        stopping = true;
        long deadline = Math.min(longest, classes.values().stream().mapToLong(RequestClass::deadline).max().orElse(0));
        answerBy = ledger.now() + Math.max(deadline + STOP_ANSWERED, STOP_ACCEPTING_MILLIS * 1_000 + STOP_LAST);
        stopped = then;
        if (server == null) {  // told so before it listened: now it never will
            closing = true;
            checkStopped();
            return;
        }
        loop.schedule(() -> closeServer(ledger.turnNumber()), STOP_ACCEPTING_MILLIS, TimeUnit.MILLISECONDS);
        // With short deadlines the program may be killed sooner than that.
        long answered = answerBy - ledger.now();
        loop.schedule(this::endServing, Math.min(STOP_SERVING_MILLIS * 1_000, answered), TimeUnit.MICROSECONDS);
        loop.schedule(() -> {
            connections.forEach(ConnectionPhase.BUSY, Connection::end);
            List.of(ConnectionPhase.SILENT, ConnectionPhase.PART).forEach(phase -> closeUnasked(phase, true));  // what lacks its rest has had its time
        }, answered, TimeUnit.MICROSECONDS);
        // Whoever is still there then is worth a line: the program may be killed next.
        loop.schedule(this::sayWaiting, answered + STOP_SAID, TimeUnit.MICROSECONDS);
    }

    /** Who waits in the system's queue of new connections has been taken, and closing the listener would reset them: only once the wait of a turn behind
        {@code since} has found nobody there, or when all is answered anyway. */
    private void closeServer(long since) {
        boolean empty = ledger.turnNumber() > since && acceptedIn < ledger.turnNumber() && queueEmpty() && server.config().isAutoRead();
        if (empty || ledger.turnNumber() == 0 || ledger.now() >= answerBy) {
            server.close();
            checkStopped();
        } else {
            loop.schedule(() -> closeServer(since), 1, TimeUnit.MILLISECONDS);
        }
    }

    private void sayWaiting() {
        if (connections.size() > 0) {
            StringJoiner phases = new StringJoiner(", ");
            for (ConnectionPhase phase : ConnectionPhase.values()) {
                if (connections.size(phase) > 0) {
                    phases.add(connections.size(phase) + " " + phase);
                }
            }
            log.accept("the stop waits for connections: " + phases + "; requests without an answer: "
                    + open.stream().limit(STOP_NAMED).toList());
        }
    }

    /** From here on each connection ends with its next answer, and those that are owed none end now. One with a part of a request goes on: the rest of
        it is on its way. */
    void endServing() {
        closing = true;
        List.of(ConnectionPhase.SILENT, ConnectionPhase.IDLE, ConnectionPhase.DORMANT).forEach(phase -> closeUnasked(phase, false));
        checkStopped();
    }

    private void closeUnasked(ConnectionPhase phase, boolean parts) {
        connections.forEach(phase, connection -> connection.closeUnasked(phase, parts));
    }

    private void closeOverdue() {
        connections.forEachOverdue(ledger.now(), SWEEP_MOST, Connection::overdue);
    }

    /** Looks at the system's queue of new connections. What waits there has been taken, by the platform's rules, and its time runs: while
        a look doesn't come to the queue's end, the next one finds what may have come before it. */
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
                queuedSince = ledger.earliestArrivalAt();
            }
            acceptedIn = ledger.turnNumber();
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

    /** An accept failed. That a client gave up as it waited (ECONNABORTED) concerns nobody else; where descriptors or buffers are out, an idle connection
        makes room, and the next try comes soon. The library by itself would accept nobody for a second. */
    private void acceptFailed(Throwable cause) {
        if (ledger.now() - acceptSaidAt >= ACCEPT_SAID) {
            acceptSaidAt = ledger.now();
            log.accept("a connection could not be accepted: " + cause);
        }
        if (server.config().isAutoRead()) {
            makeRoom(null);
            server.config().setAutoRead(false);
            loop.schedule(this::goOnAccepting, ACCEPT_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Whether nobody was left in the system's queue by the last wait, but for who has come since: a look came to its end, or, where it found as many as
        are taken at a time, the wait of a turn behind it has found nobody. */
    private boolean queueEmpty() {
        return queueSeen || ledger.turnNumber() > acceptedIn + 1;
    }

    private void goOnAccepting() {
        if (!server.config().isAutoRead()) {
            queueSeen = false;  // whoever is there may have come during the pause
            acceptedIn = ledger.turnNumber();
            server.config().setAutoRead(true);
        }
    }

    /** Closes one that is owed nothing, also once what stands unread on it has been read: a request may be there. */
    private boolean makeRoom(ClientConnectionTable.Entry<Connection> newcomer) {
        for (int i = 0; i < GIVING_WAY_LOOKS; i++) {
            Connection gives = connections.evictionCandidate(newcomer);
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

    /** Whom a connection counts for: an address, or 64 bits of it where one client has as many as it likes (RFC 4291, section 2.5). */
    private static long holder(SocketAddress of) {
        byte[] address = of instanceof InetSocketAddress at ? at.getAddress().getAddress() : new byte[0];
        long holder = 0;
        for (int i = 0; i < Math.min(Long.BYTES, address.length); i++) {
            holder = holder << Byte.SIZE | address[i] & 0xFF;
        }
        return holder;
    }

    /** Over only once nobody can connect any more, or who did in between would be reset. */
    private void checkStopped() {
        if (closing && stopped != null && connections.size() == 0 && (server == null || !server.isOpen())) {
            stopped.run();
        }
    }

    /** Whole requests; one that is too long is passed on as such, to be answered in its turn. */
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

    /** A request, since when it may have waited, and the turn in which it was read. */
    private record Arrived(FullHttpRequest message, long at, long turn) { }

    /** One client's connection. While it says nothing it is all that the pipeline has: what reads and writes HTTP is put ahead of it
        by the first byte, and taken out again once the connection has been idle for a while. */
    private final class Connection extends ChannelInboundHandlerAdapter implements Responder {

        private final Channel channel;
        private ClientConnectionTable.Entry<Connection> entry;
        private StrictDecoder decoder;  // null while there is none
        private ArrayDeque<Arrived> waiting;  // requests behind the current one, null until there is one
        private int counted;  // behind those
        private boolean flooded;  // reading had to pause: what is read may stand far ahead of its client's end, until all has been read
        private FullHttpRequest current;
        private Exchange exchange;
        private String id;
        private boolean read;
        private boolean unreadable;  // what stands behind the current request can't be read as one
        private boolean finished;  // its last answer is out
        private long openedIn;  // the turn
        private long openedSince;  // the earliest moment at which it may have been there

        Connection(Channel channel) {
            this.channel = channel;
        }

        /** At the bound another one makes room; where none can, no more are accepted for now. */
        @Override
        public void channelActive(ChannelHandlerContext context) {
            openedIn = ledger.turnNumber();
            openedSince = queuedSince;
            entry = connections.add(ledger.now(), this, holder(channel.remoteAddress()));
            if (connections.size() > most && !makeRoom(entry)) {
                server.config().setAutoRead(false);
            }
        }

        /** Without a word: a 408 might cross a request, and be taken for its answer. */
        private void overdue(ConnectionPhase phase) {
            if (phase == ConnectionPhase.IDLE && decoder.isEmpty()) {
                connections.moveTo(ledger.now(), entry, ConnectionPhase.DORMANT);
                channel.pipeline().remove(StrictDecoder.class);
                channel.pipeline().remove(HttpResponseEncoder.class);
                channel.pipeline().remove(Requests.class);
                decoder = null;
                waiting = null;
            } else {
                closeUnasked(phase, true);
            }
        }

        /** Closes it in a phase in which it is owed no answer, unless what stands unread there changes that: a request that was there before the close
            would be reset by it. Where a part of one has come, if {@code parts} alone. */
        private void closeUnasked(ConnectionPhase phase, boolean parts) {
            if (entry.phase() == phase) {
                Look.at(channel);
            }
            if (entry.phase() == phase && (parts || !hasPart())) {
                close();
            }
        }

        /** Whether a part of a request has come that is not whole yet. */
        private boolean hasPart() {
            return decoder != null && !decoder.isEmpty();
        }

        /** What is open is answered now. */
        private void end() {
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
            open.remove(id);
            if (connections.size() <= most) {
                goOnAccepting();
            }
            if (waiting != null) {
                dropWaiting();
            }
            if (exchange != null) {
                exchange.clientDisconnected();
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

        /** Takes over the message. */
        private void arrived(FullHttpRequest message) {
            if (finished) {
                message.release();
                return;
            }
            read = true;
            // What the first wait after the accept finds may have been there as long as the connection.
            long at = ledger.turnNumber() == openedIn + 1 ? Math.min(openedSince, ledger.earliestArrivalAt()) : ledger.earliestArrivalAt();
            Arrived arrived = new Arrived(message, at, ledger.turnNumber());
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
            if (++counted >= COUNTED_MOST) {  // an end would be heard no more: then nothing of this connection may wait to be sent on
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

        /** The next in order; null where there is none. */
        private Arrived poll() {
            Arrived next = waiting == null ? null : waiting.poll();
            if (next == null && counted > 0) {
                counted--;
                return new Arrived(COUNTED, ledger.now(), ledger.turnNumber());
            }
            return next;
        }

        /** What was read without a whole request coming of it is a part of one. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (!read && current == null && !finished) {
                // Where silence ends as soon, that bound goes on: what trickles in must not gain by its first byte.
                boolean goesOn = entry.phase() == ConnectionPhase.SILENT && bounds.silentMicros() <= bounds.requestMicros();
                connections.moveTo(ledger.now(), entry, goesOn ? ConnectionPhase.SILENT : ConnectionPhase.PART);
            }
            read = false;
        }

        private void next(Arrived arrived) {
            if (arrived == null) {
                channel.config().setAutoRead(true);
                connections.moveTo(ledger.now(), entry, decoder.isEmpty() ? ConnectionPhase.IDLE : ConnectionPhase.PART);
                if (closing && entry.phase() == ConnectionPhase.IDLE) {
                    close();  // its answer was on the way when the others were closed
                } else if (connections.size() > most) {  // or accepting, once paused, would never go on
                    makeRoom(null);
                }
                return;
            }
            connections.moveTo(ledger.now(), entry, ConnectionPhase.BUSY);
            current = arrived.message;
            // Since it was read, an end has been heard in the turn in which it came.
            long unheard = arrived.turn == ledger.turnNumber() ? Math.max(ledger.now() - arrived.at, ledger.maxUnreadMicros()) : ledger.maxUnreadMicros();
            if (flooded && current != COUNTED) {
                loop.execute(() -> {  // where all behind it has been read, it is as good as any
                    flooded = !Look.through(channel, PAUSED_LOOKS);
                    beginNow(arrived, flooded);
                });
            } else {
                boolean late = unheard > RequestTracker.CHECK_INPUT_AFTER_MICROS;
                loop.execute(() -> {  // not within the read that brought it: a look at the connection would find nothing there
                    if (late) {
                        Look.at(channel);
                    }
                    beginNow(arrived, false);  // read ahead of a pause that its own read may have brought
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
                sendRefusal(0);
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

        /** Whether the target is this path, with a query or without. */
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
                plain(HttpResponseStatus.BAD_REQUEST, true);  // hosts that pass a body over would read it as a request
            } else if (!message.method().equals(HttpMethod.GET) && !message.method().equals(HttpMethod.POST)
                    || !bad && message.method().equals(HttpMethod.GET) != (type.repeat() == Repeat.SAFE)) {
                plain(HttpResponseStatus.METHOD_NOT_ALLOWED, false);
            } else if (bad) {
                plain(HttpResponseStatus.BAD_REQUEST, false);
            } else if (!open.add(trace)) {
                plain(HttpResponseStatus.CONFLICT, false);  // whose answer would it be?
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
                exchange = ledger.accept(pool, this, new HttpCall(message.retain()), new RequestAttributes(type.name(), tenant, key, left,
                        head.again(), message.method().equals(HttpMethod.POST), work, zone(), effect), waited);
            }
        }

        private String zone() {
            return zones == null || !(channel.remoteAddress() instanceof InetSocketAddress remote) ? "" : zones.apply(remote.getAddress());
        }

        /** Whether it goes on as it came: other than visible ASCII would be changed on the way. */
        private static boolean passable(String text) {
            for (int i = 0; text != null && i < text.length(); i++) {
                if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                    return false;
                }
            }
            return text != null && !text.isEmpty();
        }

        /** The same at every gateway, whatever the form of the name. */
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

        /** Its end may stand unread: it is looked for each time, since the process may have been held up since it was read last. */
        @Override
        public boolean isClientConnected() {
            if (!channel.config().isAutoRead()) {
                return Look.through(channel, PAUSED_LOOKS) && channel.isActive();
            }
            Look.at(channel);
            return channel.isActive();
        }

        @Override
        public boolean isClientGone() {
            return !channel.isActive();
        }

        @Override
        public void sendResponse(ResponseMessage given) {
            FullHttpResponse answer = ((HttpAnswer) given).message();
            ByteBuf body = answer.content().retain();
            FullHttpResponse response = Unchecked.response(HttpResponseStatus.OK, body);
            String type = answer.headers().get(HttpHeaderNames.CONTENT_TYPE);
            if (type != null) {
                response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            }
            write(response, false);
        }

        /** Whole seconds, as HTTP has them; no word of when to come back where none is to be given. */
        @Override
        public void sendRefusal(long retryAfter) {
            FullHttpResponse response = empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
            if (retryAfter > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER, (retryAfter + 999_999) / 1_000_000);
            }
            write(response, false);
        }

        @Override
        public void sendFailure(boolean late) {
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
            // At a stop the connection ends with the last answer that it is owed.
            boolean more = counted > 0 || waiting != null && !waiting.isEmpty();
            boolean keep = !close && !unreadable && (more || !closing) && HttpUtil.isKeepAlive(current);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            HttpUtil.setKeepAlive(response, keep);
            connections.moveTo(ledger.now(), entry, ConnectionPhase.UNREAD);
            channel.writeAndFlush(response).addListener((ChannelFutureListener) done -> {
                current = null;
                if (keep && done.isSuccess()) {
                    next(poll());
                } else {
                    finish();
                }
            });
        }

        /** Ends it behind its last answer. What stands unread there by now would make a reset of the end, and that may take the answer with it: it is
            read, and let go. */
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

        /** A break ends the connection. A request that is being answered, and any other fault, of the codec or of this program, still leave it its answer. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            boolean clients = cause instanceof IOException || cause instanceof CodecException;
            if (!clients) {
                log.accept("fault at a client's connection: " + cause);
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
