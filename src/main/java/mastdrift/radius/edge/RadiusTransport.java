package mastdrift.radius.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Member;
import mastdrift.engine.Transport;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.HiddenAttributes;
import mastdrift.radius.IdentifierPool;
import mastdrift.radius.IdentifierPool.Slot;
import mastdrift.radius.MalformedPacketException;
import mastdrift.radius.Packet;
import mastdrift.radius.ServerInstance;

/**
 * Sends requests to RADIUS servers over UDP. An attempt is one packet to one server, retransmitted byte for byte until
 * a response arrives (RFC 5080, 2.2.1: the server detects the duplicate), but only for as long as the server is sure to
 * recognize it. It ends with a response that verifies, or at
 * its timeout. All other packets are dropped and counted, and do not end an attempt. Runs on the event loop's thread
 * only.
 */
public final class RadiusTransport implements Transport {

    // Delay before the first retransmission; doubled each time.
    private static final long INITIAL_RETRANSMIT_DELAY_MICROS = 400_000;
    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    // As long as a server may take to respond: the identifier of an abandoned request is not reused earlier.
    private static final long IDENTIFIER_QUARANTINE_MICROS = 30_000_000;
    private static final int MAX_PORTS_PER_SERVER = 16;
    private static final int PROXY_STATE_BYTES = 8;
    // Of one server, each with its packet: the response to the oldest is no longer awaited beyond that.
    private static final int MAX_ABANDONED_ATTEMPTS = 512;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Function<String, byte[]> secretByUid;
    private final DropCounters dropCounters;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, Server> servers = new HashMap<>();
    private StrayBytesListener strayCounter = (uid, sent, received) -> { };

    /** One server: its identifiers, the local ports that they belong to, and the attempts in progress on each. */
    private final class Server {
        private final String uid;
        private final Authenticators authenticators;
        private final IdentifierPool identifiers = new IdentifierPool(MAX_PORTS_PER_SERVER,
                IDENTIFIER_QUARANTINE_MICROS);
        private final List<ChannelFuture> channels = new ArrayList<>();
        private final Map<Slot, UdpAttempt> attemptsInProgress = new HashMap<>();
        private final Map<Slot, UdpAttempt> abandonedAttempts = new LinkedHashMap<>();  // oldest first
        private final InetSocketAddress address;
        private final long born;

        Server(byte[] secret, Member member) {
            uid = member.host().address();
            this.authenticators = new Authenticators(secret);
            address = member.socketAddress();
            born = member.host().born();
        }

        /**
         * A server with another address or another start time is another server, which has no record of the packets
         * sent to this one: it would treat a retransmission as new, and must not answer attempts in progress.
         */
        private boolean isSameServer(Member member) {
            return (member.socketAddress() == null || member.socketAddress().equals(address)) && member.host().born() == born;
        }

        /** Opens a connected socket, so that the kernel drops packets from other addresses. */
        private ChannelFuture openPort(int number) {
            if (number == channels.size()) {
                channels.add(new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Packet.MAX_BYTES + 1))
                        .handler(new ResponseHandler(this, number)).connect(address));
            }
            return channels.get(number);
        }

        /** The response to an attempt that was given up is awaited until another one takes its identifier. */
        private void awaitLateResponse(UdpAttempt attempt) {
            abandonedAttempts.put(attempt.slot, attempt);
            if (abandonedAttempts.size() > MAX_ABANDONED_ATTEMPTS) {
                abandonedAttempts.remove(abandonedAttempts.keySet().iterator().next());
            }
        }

        private void close() {
            channels.forEach(port -> port.channel().close());
        }
    }

    /** {@code secretByUid} gives a server's shared secret by uid, null for a server that has none. */
    public RadiusTransport(EventLoop loop, LongSupplier clock, Function<String, byte[]> secretByUid,
            DropCounters dropCounters) {
        this.loop = loop;
        this.clock = clock;
        this.secretByUid = secretByUid;
        this.dropCounters = dropCounters;
    }

    @Override
    public void countBytes(StrayBytesListener to) {
        strayCounter = to;
    }

    @Override
    public void update(boolean isFullList, List<Member> members) {
        Set<String> listed = new HashSet<>();
        for (Member member : members) {
            String uid = member.host().address();
            listed.add(uid);
            Server server = servers.get(uid);
            if (server != null && !server.isSameServer(member)) {
                remove(uid);
                server = null;
            }
            byte[] secret = server == null ? secretByUid.apply(uid) : null;
            if (server == null && secret != null) {
                server = new Server(secret, member);
                servers.put(uid, server);
            }
            if (member.host().health() == Health.GONE) {
                remove(uid);
            }
        }
        if (isFullList) {
            List.copyOf(servers.keySet()).stream().filter(uid -> !listed.contains(uid)).forEach(uid -> remove(uid));
        }
    }

    /** Removes a server. Attempts in progress may still be answered; the ports are closed once there are none. */
    private void remove(String uid) {
        Server server = servers.remove(uid);
        if (server != null) {
            if (server.attemptsInProgress.isEmpty()) {
                server.close();
            }
        }
    }

    /** The packet is sent at once, and retransmitted only within {@code maxSendDelayMicros}, too. */
    @Override
    public Attempt send(Endpoint to, RequestMessage call, long timeoutMicros, long maxSendDelayMicros, CompletionListener ended) {
        RadiusRequestMessage message = (RadiusRequestMessage) call;
        Packet request = message.request();
        if (message.requiredServer() != null && !message.requiredServer().equals(instance(to))) {
            // Another server, or another start of this one, would not know the State and would answer Access-Reject for no fault of the user.
            ended.completed(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        long transmitWithinMicros = message.transmitUntilMicros() - clock.getAsLong();
        if (transmitWithinMicros <= 0) {
            ended.completed(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        long retransmitWithinMicros = Math.min(message.retransmissionWindowMicros(), Math.min(transmitWithinMicros, maxSendDelayMicros));
        return send(to, timeoutMicros, retransmitWithinMicros, message.lateResponseListener(), (server, slot) -> {
            byte[] authenticator = new byte[Packet.AUTHENTICATOR_BYTES];
            random.nextBytes(authenticator);
            List<Attribute> attributes = HiddenAttributes.reencrypt(request.attributes(),
                    new HiddenAttributes.Hop(message.authenticators(), request.authenticator()),
                    new HiddenAttributes.Hop(server.authenticators, authenticator));
            if (attributes == null) {
                return null;
            }
            attributes.removeIf(attribute -> attribute.type() == Attribute.MESSAGE_AUTHENTICATOR);
            if (request.firstValue(Attribute.CHAP_PASSWORD) != null
                    && request.firstValue(Attribute.CHAP_CHALLENGE) == null) {
                // RFC 2865, 5.40: the challenge was the Request Authenticator, which differs on the next hop.
                attributes.add(new Attribute(Attribute.CHAP_CHALLENGE, request.authenticator()));
            }
            return new Packet(request.code(), slot.identifier(), authenticator, attributes);
        }, ended);
    }

    private static ServerInstance instance(Endpoint endpoint) {
        return new ServerInstance(endpoint.uid(), endpoint.startedAt());
    }

    /** Creates the packet for a slot of a server; null if the request cannot be forwarded. */
    private interface PacketFactory {
        Packet create(Server server, Slot slot);
    }

    private Attempt send(Endpoint to, long timeoutMicros, long retransmitWithinMicros,
            Consumer<RadiusResponseMessage> lateResponseListener, PacketFactory factory, CompletionListener ended) {
        String uid = to.uid();
        Server server = servers.get(uid);
        if (server == null || timeoutMicros <= 0 || !ended.isWanted() || !to.maySend()) {
            ended.completed(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        Slot slot = server.identifiers.acquire(clock.getAsLong());
        if (slot == null) {  // each identifier may still get a response: nothing was sent
            ended.completed(Outcome.DIAL_FAILED, null, LoadReport.NONE);
            return () -> { };
        }
        Packet packet = factory.create(server, slot);
        byte[] proxyState = new byte[PROXY_STATE_BYTES];
        random.nextBytes(proxyState);
        int addedBytes = 2 + PROXY_STATE_BYTES + Authenticators.MESSAGE_AUTHENTICATOR_BYTES;
        if (packet == null || packet.length() + addedBytes > Packet.MAX_BYTES) {
            server.identifiers.releaseAnswered(slot);
            dropCounters.recordDrop(packet == null ? DropCounters.Cause.HIDDEN : DropCounters.Cause.TOO_LONG, uid,
                    "a request that can't be forwarded");
            ended.completed(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        List<Attribute> attributes = new ArrayList<>(packet.attributes());
        attributes.add(new Attribute(Attribute.PROXY_STATE, proxyState));
        UdpAttempt attempt = new UdpAttempt(to, server, slot,
                server.authenticators.signRequest(packet.withAttributes(attributes)), proxyState, lateResponseListener, ended);
        server.attemptsInProgress.put(slot, attempt);
        server.abandonedAttempts.remove(slot);
        attempt.start(timeoutMicros, retransmitWithinMicros);
        return attempt;
    }

    /** Sends a Status-Server (RFC 5997). */
    @Override
    public void probe(Endpoint to, ProbeListener probed) {
        send(to, PROBE_TIMEOUT_MICROS, PROBE_TIMEOUT_MICROS, null, (server, slot) -> {
            byte[] authenticator = new byte[Packet.AUTHENTICATOR_BYTES];
            random.nextBytes(authenticator);
            return new Packet(Code.STATUS_SERVER, slot.identifier(), authenticator, List.of());
        }, new CompletionListener() {
            @Override
            public void completed(Outcome outcome, ResponseMessage answer, LoadReport report) {
                probed.probed(outcome, report);
            }

            @Override
            public void transferred(long sent, long received) {
                probed.transferred(sent, received);
            }
        });
    }

    /** Does nothing: UDP has no idle connections to close. */
    @Override
    public void closeIdle(String uid) { }

    @Override
    public void close() {
        update(true, List.of());
    }

    /** One attempt in progress. */
    private final class UdpAttempt implements Attempt {

        private final Endpoint endpoint;
        private final Server server;
        private final Slot slot;
        private final Packet packet;
        private final byte[] bytes;
        private final byte[] proxyState;
        private final Consumer<RadiusResponseMessage> lateResponseListener;  // null if a late response is of no use
        private final CompletionListener ended;
        private Future<?> timeoutTimer;
        private Future<?> retransmitTimer;
        private long startedAtMicros;
        private long retransmitWithinMicros;
        private long retransmitDelayMicros = INITIAL_RETRANSMIT_DELAY_MICROS;
        private long sentBytes;
        private long receivedBytes;
        private boolean completed;

        UdpAttempt(Endpoint endpoint, Server server, Slot slot, Packet packet, byte[] proxyState,
                Consumer<RadiusResponseMessage> lateResponseListener, CompletionListener ended) {
            this.endpoint = endpoint;
            this.server = server;
            this.slot = slot;
            this.packet = packet;
            this.proxyState = proxyState;
            this.lateResponseListener = lateResponseListener;
            this.ended = ended;
            bytes = packet.encode();
        }

        private void start(long timeoutMicros, long retransmitWithin) {
            startedAtMicros = clock.getAsLong();
            retransmitWithinMicros = retransmitWithin;
            timeoutTimer = loop.schedule(() -> complete(Outcome.EXPIRED, null), timeoutMicros, TimeUnit.MICROSECONDS);
            transmit();
        }

        private void retransmit() {
            if (clock.getAsLong() - startedAtMicros < retransmitWithinMicros) {
                transmit();
            }
        }

        /**
         * Sends the packet, the same bytes each time. Not to a draining server, which would count the packet as a new
         * request if it has not seen it.
         */
        private void transmit() {
            if (endpoint.maySend()) {
                // A port opened just now is connected by the event loop's next turn.
                server.openPort(slot.port()).addListener((ChannelFutureListener) this::transmitOn);
                retransmitTimer = loop.schedule(this::retransmit, retransmitDelayMicros, TimeUnit.MICROSECONDS);
                retransmitDelayMicros *= 2;
            }
        }

        private void transmitOn(ChannelFuture port) {
            if (endpoint.maySend()) {
                port.channel().writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener(this::onWritten);
            } else if (sentBytes == 0) {
                complete(Outcome.UNUSED, null);
            }
        }

        private void onWritten(io.netty.util.concurrent.Future<? super Void> done) {
            if (!done.isSuccess()) {
                return;  // an ICMP port unreachable that an earlier packet caused
            }
            if (completed) {
                strayCounter.strayBytes(endpoint.uid(), bytes.length, 0);
            } else {
                sentBytes += bytes.length;
            }
        }

        @Override
        public void cancel() {
            complete(Outcome.REVOKED, null);
        }

        private void complete(Outcome outcome, RadiusResponseMessage response) {
            if (completed) {
                return;
            }
            completed = true;
            timeoutTimer.cancel(false);
            if (retransmitTimer != null) {
                retransmitTimer.cancel(false);
            }
            server.attemptsInProgress.remove(slot);
            if (response != null) {
                server.identifiers.releaseAnswered(slot);
            } else {
                server.identifiers.releaseAbandoned(clock.getAsLong(), slot);
                if (lateResponseListener != null && sentBytes > 0) {
                    server.awaitLateResponse(this);
                }
            }
            if (server.attemptsInProgress.isEmpty() && !servers.containsValue(server)) {
                server.close();
            }
            ended.transferred(sentBytes, receivedBytes);
            ended.completed(outcome, response, LoadReport.NONE);
        }

        private void onResponse(InetSocketAddress from, Packet response) {
            if (!response.code().isResponseTo(packet.code())) {
                dropCounters.recordDrop(DropCounters.Cause.WRONG_CODE, from, "expected a response to " + packet.code()
                        + ", found " + response.code());
            } else if (!server.authenticators.verifyResponse(response, packet.authenticator(), false)) {
                dropCounters.recordDrop(DropCounters.Cause.NOT_SIGNED, from, "a response with a wrong authenticator");
            } else {
                List<Attribute> attributes = new ArrayList<>(response.attributes());
                int last = attributes.size() - 1;
                while (last >= 0 && attributes.get(last).type() != Attribute.PROXY_STATE) {
                    last--;
                }
                if (last < 0 || !Arrays.equals(attributes.get(last).value(), proxyState)) {
                    dropCounters.recordDrop(DropCounters.Cause.NO_PROXY_STATE, from,
                            "a response without the gateway's Proxy-State as its last one");
                    return;
                }
                // The other Proxy-State attributes are the client's own; the front restores them from its request.
                attributes.removeIf(a -> a.type() == Attribute.PROXY_STATE
                        || a.type() == Attribute.MESSAGE_AUTHENTICATOR);
                RadiusResponseMessage message = new RadiusResponseMessage(instance(endpoint), response.code(), attributes,
                        new HiddenAttributes.Hop(server.authenticators, packet.authenticator()));
                if (completed) {
                    server.abandonedAttempts.remove(slot);
                    lateResponseListener.accept(message);
                } else {
                    complete(Outcome.DELIVERED, message);
                }
            }
        }
    }

    /** Receives packets on one port. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        private final Server server;
        private final int port;

        ResponseHandler(Server server, int port) {
            this.server = server;
            this.port = port;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
            int bytes = datagram.content().readableBytes();
            Packet response;
            try {
                response = Packet.decode(ByteBufUtil.getBytes(datagram.content()));
            } catch (MalformedPacketException e) {
                dropCounters.recordDrop(DropCounters.Cause.MALFORMED, datagram.sender(), e.getMessage());
                strayCounter.strayBytes(server.uid, 0, bytes);
                return;
            }
            Slot slot = new Slot(port, response.identifier());
            UdpAttempt attempt = server.attemptsInProgress.getOrDefault(slot, server.abandonedAttempts.get(slot));
            if (attempt == null) {
                strayCounter.strayBytes(server.uid, 0, bytes);
                dropCounters.recordDrop(DropCounters.Cause.NOT_ASKED, datagram.sender(),
                        "a response to no request in progress");
            } else {
                if (attempt.completed) {
                    strayCounter.strayBytes(server.uid, 0, bytes);
                }
                attempt.receivedBytes += bytes;
                attempt.onResponse(datagram.sender(), response);
            }
        }

        /** A port that nobody listens on is reported here (ICMP port unreachable); the attempt ends at its timeout. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            dropCounters.recordDrop(DropCounters.Cause.MALFORMED, server.address, cause.toString());
        }
    }
}
