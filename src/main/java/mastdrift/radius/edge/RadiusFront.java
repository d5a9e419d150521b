package mastdrift.radius.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.engine.Exchange;
import mastdrift.engine.Front;
import mastdrift.engine.Pool;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Responder;
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.ShutdownSchedule;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.ConversationTable;
import mastdrift.radius.AccountingEvent;
import mastdrift.radius.HiddenAttributes;
import mastdrift.radius.MalformedPacketException;
import mastdrift.radius.Packet;
import mastdrift.radius.RetransmissionWindow;
import mastdrift.radius.ServerInstance;
import mastdrift.radius.DuplicateCache;
import mastdrift.radius.DuplicateCache.LookupResult;
import mastdrift.radius.DuplicateCache.Source;
import mastdrift.radius.DuplicateCache.WaitingPacket;

/**
 * Receives requests from RADIUS clients on one UDP port. Verifies each packet, detects retransmissions, gives new
 * requests to the ledger and sends one response for each, which is repeated byte for byte on a retransmission. A
 * refused or failed request gets no response: RADIUS has no response for these cases that a client would not take for
 * an Access-Reject (docs/design/radius.md).
 *
 * <p>The port stays open during a shutdown until all requests are answered: the answers are sent from it, and a client
 * that retransmits meanwhile gets its answer too.
 */
public final class RadiusFront implements Front {

    private static final int RECEIVE_BUFFER_BYTES = 1 << 20;
    private static final int MAX_PACKETS_PER_READ = 16;
    private static final long STOP_CHECK_INTERVAL_MILLIS = 1;
    private static final int MAX_CONVERSATIONS = 1 << 14;
    // a user asked for further input at a charging station waits no longer
    private static final long CONVERSATION_RETENTION_MICROS = 60_000_000;

    /** Chooses the pool for a request of a class. */
    public interface Router {
        /** The pool, or null if no route matches. {@code key} is the same for all packets that belong together. */
        Pool selectPool(String className, String tenant, long key);
    }

    /**
     * A request class, with the longest time that one of its requests may take, and that for which its packet may be
     * retransmitted to a server, in microseconds.
     */
    public record TimedClass(String name, Repeat repeat, long timeoutMicros, long retransmissionWindowMicros) {

        /** The class as it is configured. */
        public static TimedClass of(RequestClass requestClass) {
            return new TimedClass(requestClass.name(), requestClass.repeat(), requestClass.deadline(),
                    RetransmissionWindow.of(requestClass));
        }
    }

    /**
     * The request classes. A conversation is an Access-Request with State or EAP-Message; it has a class of its own, since
     * it is not safe to send it to another server.
     */
    public record Classes(TimedClass access, TimedClass conversation, TimedClass accounting) {

        private long longestTimeoutMicros() {
            return Math.max(access.timeoutMicros, Math.max(conversation.timeoutMicros, accounting.timeoutMicros));
        }
    }

    private final EventLoop loop;
    private final RequestTracker ledger;
    private final Router router;
    private final RadiusClients clients;
    private final Classes classes;
    private final DuplicateCache duplicateCache;
    private final ConversationTable conversations = new ConversationTable(MAX_CONVERSATIONS,
            CONVERSATION_RETENTION_MICROS);
    private final DropCounters dropCounters;
    private Function<InetAddress, String> zoneByAddress = address -> "";
    private final Set<ResponseSender> openRequests = new LinkedHashSet<>();  // have no final answer yet
    private int unsentPackets;
    private volatile Channel channel;  // set before the port is bound
    private ShutdownSchedule shutdown;  // null before the shutdown
    private long lastReceiveTurn;
    private boolean receiveBufferEmptied = true;  // whether the last read of the port emptied its receive buffer

    /** All methods and callbacks run on the event loop's thread. */
    public RadiusFront(EventLoop loop, RequestTracker ledger, Router router, RadiusClients clients, Classes classes,
            DuplicateCache duplicateCache, DropCounters dropCounters) {
        this.loop = loop;
        this.ledger = ledger;
        this.router = router;
        this.clients = clients;
        this.classes = classes;
        this.duplicateCache = duplicateCache;
        this.dropCounters = dropCounters;
    }

    /** Binds the port; the returned future tells whether that succeeded. */
    public ChannelFuture listen(InetSocketAddress address) {
        return new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Packet.MAX_BYTES + 1)
                        .maxMessagesPerRead(MAX_PACKETS_PER_READ))
                .handler(new DatagramHandler()).bind(address);
    }

    /** Sets the function that gives the zone of a client's address, which is passed on with each request. */
    public void setClientZones(Function<InetAddress, String> zoneLookup) {
        zoneByAddress = zoneLookup;
    }

    /** The local address that the front is bound to. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * As for every front; a new request that arrives after the time to serve is dropped, which its client takes for a
     * refusal, while retransmissions are answered until the port closes.
     */
    @Override
    public void stop(long maxDeadlineMicros, Runnable onStopped) {
        if (channel == null) {
            onStopped.run();
            return;
        }
        shutdown = ShutdownSchedule.starting(ledger.now(), Math.min(maxDeadlineMicros, classes.longestTimeoutMicros()), 0);
        scheduleAt(shutdown.serveUntilMicros(), () -> closeOnceAnswered(ledger.turnNumber(), onStopped));
        scheduleAt(shutdown.answerByMicros(), () -> List.copyOf(openRequests).forEach(ResponseSender::timeOut));
    }

    private void scheduleAt(long atMicros, Runnable task) {
        loop.schedule(task, atMicros - ledger.now(), TimeUnit.MICROSECONDS);
    }

    /**
     * Closes the port once every request that arrived in time to be served has been read and answered. What has arrived
     * is read by the first wait of a later turn than {@code sinceTurn} that empties the receive buffer.
     */
    private void closeOnceAnswered(long sinceTurn, Runnable onStopped) {
        boolean reportsTurns = ledger.turnNumber() > 0;
        boolean allRead = !reportsTurns || ledger.turnNumber() > sinceTurn
                && (receiveBufferEmptied || ledger.turnNumber() > lastReceiveTurn + 1);
        boolean allAnswered = openRequests.isEmpty() && unsentPackets == 0;
        if (allRead && allAnswered) {
            channel.close();
            onStopped.run();
        } else {
            loop.schedule(() -> closeOnceAnswered(sinceTurn, onStopped), STOP_CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private boolean mayServe() {
        return shutdown == null || ledger.earliestArrivalAt() <= shutdown.serveUntilMicros();
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        private int packetsInRead;

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            channel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
            packetsInRead++;
            lastReceiveTurn = ledger.turnNumber();
            receiveDatagram(datagram.sender(), ByteBufUtil.getBytes(datagram.content()));
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            receiveBufferEmptied = packetsInRead < MAX_PACKETS_PER_READ;
            packetsInRead = 0;
        }

        /** A failure on one datagram must not close the port. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            dropCounters.recordDrop(DropCounters.Cause.MALFORMED, "?", cause.toString());
        }
    }

    private void receiveDatagram(InetSocketAddress from, byte[] bytes) {
        RadiusClients.Client client = clients.find(from.getAddress());
        if (client == null) {
            dropCounters.recordDrop(DropCounters.Cause.UNKNOWN_CLIENT, from,
                    "no client is configured for this address");
            return;
        }
        Packet request;
        try {
            request = Packet.decode(bytes);
        } catch (MalformedPacketException e) {
            dropCounters.recordDrop(DropCounters.Cause.MALFORMED, from, e.getMessage());
            return;
        }
        if (!request.code().isRequest()) {
            dropCounters.recordDrop(DropCounters.Cause.WRONG_CODE, from, "expected a request, found " + request.code());
        } else if (!client.authenticators().verifyRequest(request, client.requiresMessageAuthenticator())) {
            dropCounters.recordDrop(DropCounters.Cause.NOT_SIGNED, from, "an authenticator is wrong or missing");
        } else if (request.code() == Code.STATUS_SERVER) {
            answerStatusServer(from, client, request);
        } else {
            handleRequest(from, client, request);
        }
    }

    /**
     * RFC 5997, 3: a Status-Server is answered by its receiver and never forwarded. One that takes no new requests any
     * more gives no answer, so that its client turns to another.
     */
    private void answerStatusServer(InetSocketAddress from, RadiusClients.Client client, Packet request) {
        if (!mayServe()) {
            dropCounters.recordDrop(DropCounters.Cause.STOPPING, from, "a Status-Server while the gateway stops");
            return;
        }
        send(from, client.authenticators().signResponse(buildResponse(Code.ACCESS_ACCEPT, request, List.of()),
                request.authenticator(), true).encode());
    }

    private void handleRequest(InetSocketAddress from, RadiusClients.Client client, Packet request) {
        LookupResult result = duplicateCache.lookUp(ledger.now(),
                new Source(from.getAddress().getAddress(), from.getPort()), request);
        switch (result.disposition()) {
            case CACHED -> send(from, result.response());
            case SAME_EVENT_ANSWERED -> {
                ResponseSender responseSender = new ResponseSender(result.entry(), client, classes.accounting, 0);
                responseSender.sendResponse(new WaitingPacket(new Source(from.getAddress().getAddress(),
                        from.getPort()), request), Code.ACCOUNTING_RESPONSE, List.of());
            }
            case FORWARD -> forward(from, client, request, result);
            case REFUSED -> dropCounters.recordDrop(DropCounters.Cause.BUSY, from,
                    "all requests that are held for this address, or for all, are in progress");
            default -> { }  // JOINED: the response is sent to all waiting packets
        }
    }

    private void forward(InetSocketAddress from, RadiusClients.Client client, Packet request, LookupResult result) {
        boolean isAccounting = request.code() == Code.ACCOUNTING_REQUEST;
        byte[] address = from.getAddress().getAddress();
        byte[] state = request.firstValue(Attribute.STATE);
        boolean isConversation = !isAccounting && (state != null || request.count(Attribute.EAP_MESSAGE) > 0);
        ConversationTable.Conversation conversation = isConversation && state != null
                ? conversations.find(ledger.now(), address, state) : null;
        long key = isAccounting ? AccountingEvent.of(address, request).routingKey() : conversation != null
                ? conversation.key()
                : 31L * Arrays.hashCode(state != null ? state : request.authenticator()) + Arrays.hashCode(address);
        TimedClass requestClass = isAccounting ? classes.accounting : isConversation ? classes.conversation : classes.access;
        ResponseSender responseSender = new ResponseSender(result.entry(), client, requestClass, key);
        if (!mayServe()) {
            dropCounters.recordDrop(DropCounters.Cause.STOPPING, from, "a new request while the gateway stops");
            responseSender.sendRefusal(0);
            return;
        }
        Pool pool = router.selectPool(requestClass.name, client.tenant(), key);
        if (pool == null) {
            dropCounters.recordDrop(DropCounters.Cause.NO_ROUTE, from, "no route for " + requestClass.name);
            responseSender.sendRefusal(0);
            return;
        }
        responseSender.accept(pool, new RadiusRequestMessage(request, client.authenticators(),
                conversation == null ? null : conversation.server(), requestClass.retransmissionWindowMicros,
                result.entry().isNewTry() ? responseSender.newTriesUntilMicros() : Long.MAX_VALUE,
                requestClass.repeat == Repeat.UNSAFE ? responseSender::sendLateResponse : null), new RequestAttributes(null, requestClass.name, client.tenant(), key,
                timeLeftMicros(requestClass.timeoutMicros), false, isAccounting, 0, zoneByAddress.apply(from.getAddress()),
                isAccounting ? key : null));
    }

    /** The time left for a request that is being received, which is bounded by the shutdown, too. */
    private long timeLeftMicros(long timeoutMicros) {
        long timeLeftMicros = timeoutMicros - (ledger.now() - ledger.earliestArrivalAt());
        return shutdown == null ? timeLeftMicros : Math.min(timeLeftMicros, shutdown.answerByMicros() - ledger.now());
    }

    /**
     * Builds an unsigned response that ends with the request's Proxy-State attributes in their order (RFC 2865, 5.33).
     */
    private static Packet buildResponse(Code code, Packet request, List<Attribute> attributes) {
        List<Attribute> all = new ArrayList<>(attributes);
        request.attributes().stream().filter(a -> a.type() == Attribute.PROXY_STATE).forEach(all::add);
        return new Packet(code, request.identifier(), new byte[Packet.AUTHENTICATOR_BYTES], all);
    }

    private static InetSocketAddress address(Source source) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(source.address()), source.port());
        } catch (UnknownHostException e) {
            throw new IllegalStateException("expected the address that a datagram came from", e);
        }
    }

    private void send(InetSocketAddress to, byte[] bytes) {
        if (!channel.isOpen()) {
            dropCounters.recordDrop(DropCounters.Cause.PORT_CLOSED, to, "an answer that came after the port was closed");
            return;
        }
        unsentPackets++;
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to))
                .addListener((ChannelFutureListener) sent -> unsentPackets--);
    }

    /** Sends the final response of a request to every packet that waits for it. */
    private final class ResponseSender implements Responder {

        private final DuplicateCache.Entry entry;
        private final RadiusClients.Client client;
        private final TimedClass requestClass;
        private final long key;
        private Exchange exchange;  // null before the request is accepted, and if it was answered at once

        ResponseSender(DuplicateCache.Entry entry, RadiusClients.Client client, TimedClass requestClass, long key) {
            this.entry = entry;
            this.client = client;
            this.requestClass = requestClass;
            this.key = key;
        }

        void accept(Pool pool, RadiusRequestMessage message, RequestAttributes attributes) {
            openRequests.add(this);
            exchange = ledger.accept(pool, this, message, attributes);
        }

        /** Ends the request now, as if its time were up. */
        void timeOut() {
            if (exchange != null) {
                exchange.timeOut();
            }
        }

        @Override
        public void sendResponse(ResponseMessage answer) {
            openRequests.remove(this);
            duplicateCache.recordCompleted(ledger.now(), entry);
            List<WaitingPacket> waiting = entry.waiting();
            respond((RadiusResponseMessage) answer, waiting, waiting);
        }

        /**
         * A server has answered after the request was given up. The answer is for duplicates: those that have come since
         * then, and those to come.
         */
        void sendLateResponse(RadiusResponseMessage response) {
            List<WaitingPacket> askedSince = entry.waiting();
            respond(response, duplicateCache.recordLateAnswer(entry), askedSince);
        }

        private void respond(RadiusResponseMessage response, List<WaitingPacket> packets, List<WaitingPacket> sentTo) {
            if (response.code() == Code.ACCESS_CHALLENGE) {
                response.attributes().stream().filter(a -> a.type() == Attribute.STATE)
                        .forEach(state -> recordChallenge(packets, response.server(), state.value()));
            }
            for (WaitingPacket packet : packets) {
                List<Attribute> reencrypted = HiddenAttributes.reencrypt(response.attributes(), response.hop(),
                        new HiddenAttributes.Hop(client.authenticators(), packet.request().authenticator()));
                if (reencrypted == null) {
                    dropCounters.recordDrop(DropCounters.Cause.HIDDEN, client.name(),
                            "a server's response has a hidden attribute of an invalid length");
                } else {
                    recordResponse(packet, response.code(), reencrypted, sentTo.contains(packet));
                }
            }
        }

        /** The client may go on from any of the addresses that wait for the challenge. */
        private void recordChallenge(List<WaitingPacket> packets, ServerInstance server, byte[] state) {
            for (WaitingPacket waitingPacket : packets) {
                conversations.recordChallenge(ledger.now(), waitingPacket.source().address(), state,
                        new ConversationTable.Conversation(server, key));
            }
        }

        void sendResponse(WaitingPacket waiting, Code code, List<Attribute> attributes) {
            recordResponse(waiting, code, attributes, true);
        }

        private void recordResponse(WaitingPacket waiting, Code code, List<Attribute> attributes, boolean sends) {
            Packet packet = RadiusFront.buildResponse(code, waiting.request(), attributes);
            if (packet.length() + Authenticators.MESSAGE_AUTHENTICATOR_BYTES > Packet.MAX_BYTES) {
                dropCounters.recordDrop(DropCounters.Cause.TOO_LONG, client.name(),
                        "a response with its Proxy-State attributes would exceed the maximum length");
                return;
            }
            byte[] bytes = client.authenticators().signResponse(packet, waiting.request().authenticator(),
                    waiting.request().code() != Code.ACCOUNTING_REQUEST).encode();
            duplicateCache.recordResponse(entry, waiting, bytes);
            if (sends) {
                send(address(waiting.source()), bytes);
            }
        }

        /** The request never reached a server. */
        @Override
        public void sendRefusal(long retryAfter) {
            end(false);
        }

        @Override
        public void sendFailure(boolean late) {
            end(false);
        }

        @Override
        public void sendRefusal(long retryAfter, boolean mayHaveRun) {
            end(mayHaveRun);
        }

        @Override
        public void sendFailure(boolean late, boolean mayHaveRun) {
            end(mayHaveRun);
        }

        /** No response is sent; a retransmission is treated as a new request, if running twice would do no harm. */
        private void end(boolean mayHaveRun) {
            openRequests.remove(this);
            if (requestClass.repeat != Repeat.SAFE && (mayHaveRun || entry.isNewTry())) {
                recordUnanswered();
            } else {
                duplicateCache.recordNoResponse(entry);
            }
        }

        private void recordUnanswered() {
            duplicateCache.recordUnanswered(ledger.now(), entry, newTriesUntilMicros());
        }

        /** Until when a packet of a request that may have run may leave again: keyed ones within their window. */
        private long newTriesUntilMicros() {
            return requestClass.repeat == Repeat.KEYED
                    ? entry.firstForwardedAtMicros() + requestClass.retransmissionWindowMicros : 0;
        }
    }
}
