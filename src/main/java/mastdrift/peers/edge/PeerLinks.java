package mastdrift.peers.edge;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Connections between gateways, one for each direction of each pair: messages from A to B use the one that A opened.
 * Each message is signed. The accepting end may {@link #reply} on a connection, so that an end that only opens
 * connections can receive too.
 *
 * <p>Handshake: the accepting end sends a nonce (challenge); the connecting end answers with its installation, name and
 * generation, the name of the gateway it wants, a nonce of its own and a signature over all of that and the challenge
 * (hello); the accepting end signs both nonces in return (welcome). From then on both sign with a key derived from the
 * nonces, each message with its sequence number: a message that is replayed, omitted, reordered or changed fails the
 * check and ends the connection. Nothing is encrypted; only the key is secret.
 *
 * <p>Replies are signed with the same key under another label and have their own sequence numbers, so that bytes of one
 * direction are not valid in the other. A build from before replies refuses the first one as an unknown frame and ends
 * the connection; it is sent none, since it sends no message that is answered by a reply.
 *
 * <p>The accepting end acknowledges now and then how many messages it has read, and so does the opening end for
 * replies. A connection with unacknowledged messages and no progress for {@value #SILENCE_TIMEOUT_MILLIS} ms is closed:
 * the other end may have vanished without closing, and what is written would only accumulate. A reply that arrives
 * shows that the other end is alive, but messages have to be acknowledged within {@value #UNREAD_TIMEOUT_MILLIS} ms all
 * the same: one direction may be cut alone. Time in which this process was paused isn't held against the others.
 *
 * <p>A message to a gateway that can't be reached is dropped, and {@link #send} reports it where it is known; callers
 * must tolerate the loss of any message. Bounds: connections in each direction, beyond which one that is unused or
 * silent makes room; connections that are not yet
 * authenticated ({@value #MIN_UNAUTHENTICATED_LIMIT}, or an eighth of the maximum of connections, for {@value
 * #HANDSHAKE_TIMEOUT_MILLIS} ms at most; beyond that the oldest makes room); the size of a message ({@value #MAX_MESSAGE_BYTES} bytes); messages read per second
 * from one gateway ({@value #MAX_MESSAGES_PER_SECOND}; reading pauses beyond that); bytes that wait for a slow reader
 * ({@value #MAX_PENDING_WRITE_BYTES}).
 *
 * <p>All methods are called on the event loop's thread, and so is the listener.
 */
public final class PeerLinks implements AutoCloseable {

    /** Maximum size of a message. */
    public static final int MAX_MESSAGE_BYTES = 512 << 10;
    /**
     * Limit of connections that are not yet authenticated; an eighth of the maximum of connections where that is more,
     * since the many subscribers of one machine may all reconnect at once.
     */
    public static final int MIN_UNAUTHENTICATED_LIMIT = 64;
    private static final int CONNECTIONS_PER_UNAUTHENTICATED = 8;
    /** Messages a second that are read from one gateway. */
    public static final int MAX_MESSAGES_PER_SECOND = 4_000;
    static final int HANDSHAKE_TIMEOUT_MILLIS = 2_000;
    static final int SILENCE_TIMEOUT_MILLIS = 3_000;
    static final int UNREAD_TIMEOUT_MILLIS = 4 * SILENCE_TIMEOUT_MILLIS;
    /** Bytes that may wait for a slow reader; the message that crosses the limit is still accepted. */
    public static final int MAX_PENDING_WRITE_BYTES = 2 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int RETRY_DELAY_MILLIS = 200;
    static final int SWEEP_INTERVAL_MILLIS = 250;
    private static final int MIN_PAUSE_MILLIS = 1_000;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int MAX_QUEUED_MESSAGES = 64;
    private static final int NONCE_BYTES = 16;
    private static final int MAX_HELLO_BYTES = 1_024;
    private static final int PROTOCOL_VERSION = 1;
    private static final int FRAME_OVERHEAD_BYTES = 64;
    private static final int MIN_ACCEPT_BACKLOG = 128;
    private static final byte CHALLENGE = 1;
    private static final byte HELLO = 2;
    private static final byte WELCOME = 3;
    private static final byte MESSAGE = 4;
    private static final byte ACK = 5;
    private static final byte REPLY = 6;
    private static final byte REPLY_ACK = 7;
    private static final byte[] HELLO_LABEL = {HELLO};
    private static final byte[] WELCOME_LABEL = {WELCOME};
    private static final byte[] SESSION_LABEL = {'s'};
    private static final byte[] REPLY_LABEL = {'r'};
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();

    /** Receives messages and events of the connections. */
    public interface Listener {
        /**
         * A message from a gateway, in one of its generations; 0 for a reply, since the accepting end doesn't send its
         * generation.
         */
        void received(String from, long generation, byte kind, byte[] message);

        /**
         * A connection was refused or broke the protocol: a stable code, the other end's name or address, and a
         * description for people.
         */
        void refused(String code, String peer, String description);

        /**
         * The outbound connection to a gateway has ended, or could not be opened: the last messages may be lost, and no
         * more replies arrive on it. Called in the event loop turn in which it ends; not for connections that {@link
         * #closeOutbound} or {@link #close} ends.
         */
        default void outboundClosed(String to) { }

        /**
         * The connection that a gateway opened has ended: no reply reaches it until it opens another; this is called
         * before the first message of that one. Not for connections that {@link #closeInbound} or {@link #close} ends.
         */
        default void inboundClosed(String from) { }
    }

    /** Counts since the start of the process. */
    public record Counts(long sent, long sentBytes, long received, long receivedBytes, long dropped, long refused) { }

    private final EventLoop loop;
    private final String installation;
    private final String ownName;
    private final int maxConnections;
    private final PendingHandshakes pendingHandshakes;
    private final Listener listener;
    private final LongSupplier clockMillis;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, Outbound> outbound = new HashMap<>();
    private final Map<String, Inbound> inbound = new HashMap<>();
    private final Set<Channel> acceptedChannels = new HashSet<>();
    private final Map<String, Long> retryAtMillis = new HashMap<>();
    private final Future<?> sweepTask;
    private List<MessageAuthenticator> keys = List.of();
    private long generation;
    private long sweptAtMillis;
    private ChannelFactory<? extends ServerChannel> serverChannelFactory = NioServerSocketChannel::new;
    private Channel serverChannel;
    private boolean closed;
    private long sent;
    private long sentBytes;
    private long received;
    private long receivedBytes;
    private long dropped;
    private long refused;

    /** For a gateway of an installation, with a maximum of connections in each direction. */
    public PeerLinks(EventLoop loop, String installation, String ownName, int maxConnections, Listener listener) {
        this(loop, installation, ownName, maxConnections, listener, () -> System.nanoTime() / 1_000_000);
    }

    /** With a clock in milliseconds, which tests control. */
    PeerLinks(EventLoop loop, String installation, String ownName, int maxConnections, Listener listener,
            LongSupplier clockMillis) {
        this.loop = loop;
        this.clockMillis = clockMillis;
        this.installation = installation;
        this.ownName = ownName;
        this.maxConnections = maxConnections;
        pendingHandshakes = new PendingHandshakes(
                Math.max(MIN_UNAUTHENTICATED_LIMIT, maxConnections / CONNECTIONS_PER_UNAUTHENTICATED));
        this.listener = listener;
        sweptAtMillis = nowMillis();
        sweepTask = loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Replaces the accepted keys; the first one signs. Existing connections stay: they were made with a key that was
     * accepted then.
     */
    public void setKeys(List<byte[]> accepted) {
        keys = accepted.stream().map(MessageAuthenticator::new).toList();
    }

    /**
     * Sets the own generation; outbound connections that were opened in another one are closed, and opened again by the
     * next message.
     */
    public void setGeneration(long newGeneration) {
        if (newGeneration != generation) {
            generation = newGeneration;
            List.copyOf(outbound.values()).forEach(each -> each.end("a new generation"));
        }
    }

    /** Replaces the addresses of the other gateways. */
    public void setAddresses(Map<String, InetSocketAddress> newAddresses) {
        addresses.clear();
        addresses.putAll(newAddresses);
        List.copyOf(outbound.values()).stream().filter(each -> !each.address.equals(addresses.get(each.to)))
                .forEach(each -> each.end("another address"));
    }

    /** Uses another kind of server channel; call it before {@link #listen}. */
    void setServerChannelFactory(ChannelFactory<? extends ServerChannel> factory) {
        serverChannelFactory = factory;
    }

    /** Binds to an address; the future has the result. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channelFactory(serverChannelFactory)
                .option(ChannelOption.SO_BACKLOG, Math.max(MIN_ACCEPT_BACKLOG, pendingHandshakes.limit()))
                .handler(new AcceptRetryHandler())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(frameDecoder(MAX_HELLO_BYTES), new Inbound(channel));
                    }
                }).bind(address);
        serverChannel = bound.channel();
        return bound;
    }

    /** The address that it listens on, once it is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** The counts so far. */
    public Counts counts() {
        return new Counts(sent, sentBytes, received, receivedBytes, dropped, refused);
    }

    /** Messages and replies that the other ends have not acknowledged yet. */
    long unacknowledged() {
        return outbound.values().stream().mapToLong(each -> each.sequence - each.ackedSequence).sum()
                + inbound.values().stream().mapToLong(each -> each.repliesSent - each.repliesAcked).sum();
    }

    /** The gateways with an outbound connection, by name, and whether its handshake is complete. */
    public Map<String, Boolean> outboundLinks() {
        Map<String, Boolean> states = new TreeMap<>();
        outbound.forEach((name, each) -> states.put(name, each.sessionKey != null));
        return states;
    }

    private static LengthFieldBasedFrameDecoder frameDecoder(int maxBodyBytes) {
        return new LengthFieldBasedFrameDecoder(maxBodyBytes
                + FRAME_OVERHEAD_BYTES, 0, Integer.BYTES, 0, Integer.BYTES);
    }

    private static ByteBuf frame(Channel channel, byte type, byte[]... parts) {
        int length = 1;
        for (byte[] part : parts) {
            length += part.length;
        }
        ByteBuf frame = channel.alloc().buffer(Integer.BYTES + length).writeInt(length).writeByte(type);
        for (byte[] part : parts) {
            frame.writeBytes(part);
        }
        return frame;
    }

    private byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    private long nowMillis() {
        return clockMillis.getAsLong();
    }

    private static byte[] encodeCount(long count) {
        return ByteBuffer.allocate(Long.BYTES).putLong(count).array();
    }

    // ---- sending

    /** Sends a message to a gateway; false if it is known that it will not arrive. */
    public boolean send(String to, byte kind, byte[] message) {
        Outbound link = message.length > MAX_MESSAGE_BYTES || closed ? null : outbound.get(to);
        if (link == null && !closed && message.length <= MAX_MESSAGE_BYTES) {
            link = openOutbound(to);
        }
        if (link == null || !link.send(new byte[] {kind}, message)) {
            dropped++;
            return false;
        }
        return true;
    }

    /**
     * Sends a message back on the connection that a gateway opened. False if there is none, if more than {@link
     * #MAX_PENDING_WRITE_BYTES} bytes already wait on it, or if the message is too large: it isn't sent then, and the
     * caller decides. Even if true, it may be lost with its connection.
     */
    public boolean reply(String to, byte kind, byte[] message) {
        Inbound link = message.length > MAX_MESSAGE_BYTES || closed ? null : inbound.get(to);
        if (link == null || !link.reply(new byte[] {kind}, message)) {
            dropped++;
            return false;
        }
        return true;
    }

    /** Closes the connection that a gateway opened, if there is one. */
    public void closeInbound(String from) {
        Inbound link = inbound.get(from);
        if (link != null) {
            link.ended = true;
            inbound.remove(from, link);
            link.channel.close();
        }
    }

    /** Closes the outbound connection to a gateway, if there is one; the next message to it opens another at once. */
    public void closeOutbound(String to) {
        Outbound link = outbound.remove(to);
        if (link != null) {
            link.end("left");
        }
    }

    /** Whether more bytes wait in a channel than the limit. */
    private static boolean isOverPendingLimit(Channel channel) {
        return pendingWriteBytes(channel) > MAX_PENDING_WRITE_BYTES;
    }

    /** Bytes that wait in a channel for the other end to read; infinite (MAX_VALUE) for a closed one. */
    private static long pendingWriteBytes(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? Long.MAX_VALUE : buffer.totalPendingWriteBytes();
    }

    private Outbound openOutbound(String to) {
        InetSocketAddress address = addresses.get(to);
        if (address == null || keys.isEmpty() || nowMillis() < retryAtMillis.getOrDefault(to, Long.MIN_VALUE)) {
            return null;
        }
        if (outbound.size() >= maxConnections) {
            Outbound oldest = null;
            for (Outbound each : outbound.values()) {
                oldest = oldest == null || each.usedAtMillis < oldest.usedAtMillis ? each : oldest;
            }
            if (oldest != null) {
                oldest.end("room for another");
            }
            if (outbound.size() >= maxConnections || outbound.containsKey(to)) {
                return outbound.get(to);  // the listener may have opened one when it was told of the end
            }
        }
        Outbound link = new Outbound(to, address);
        outbound.put(to, link);
        link.connect();
        return link;
    }

    /**
     * Closes the connection, of those that other gateways opened, from which nothing was received for the longest time,
     * to make room for another. The gateway behind it may have vanished without a word; one that is there opens another
     * connection with its next message. Returns false if something was received from each a short time ago.
     */
    private boolean closeSilentInbound() {
        Inbound silent = null;
        for (Inbound each : inbound.values()) {
            silent = silent == null || each.lastHeardMillis < silent.lastHeardMillis ? each : silent;
        }
        long silentMillis = silent == null ? 0 : nowMillis() - silent.lastHeardMillis;
        if (silentMillis < SILENCE_TIMEOUT_MILLIS) {
            return false;
        }
        refuse("peer_too_many", silent.peerName, "closed to make room for another gateway, silent for " + silentMillis + " ms");
        silent.unregister();
        silent.channel.close();
        return true;
    }

    /** Closes connections without progress; runs every {@value #SWEEP_INTERVAL_MILLIS} ms. */
    void sweep() {
        long nowMillis = nowMillis();
        long lateMillis = nowMillis - sweptAtMillis - SWEEP_INTERVAL_MILLIS;
        sweptAtMillis = nowMillis;
        if (lateMillis > MIN_PAUSE_MILLIS) {  // messages that arrived during the pause may still be unread
            outbound.values().forEach(each -> each.compensateForPause(nowMillis, lateMillis));
            inbound.values().forEach(each -> each.compensateForPause(nowMillis, lateMillis));
        }
        List.copyOf(outbound.values()).forEach(each -> each.sweep(nowMillis));
        List.copyOf(inbound.values()).forEach(each -> each.sweep(nowMillis));
        retryAtMillis.values().removeIf(at -> at < nowMillis);
    }

    /** The connection that this gateway opened to another. */
    private final class Outbound extends SimpleChannelInboundHandler<ByteBuf> {

        private final String to;
        private final InetSocketAddress address;
        private long openedAtMillis = nowMillis();
        private final Deque<byte[][]> queuedMessages = new ArrayDeque<>();
        private Channel channel;
        private MessageAuthenticator handshakeKey;
        private MessageAuthenticator sessionKey;  // null until the handshake is complete
        private byte[] nonce;
        private byte[] challenge;
        private long sequence;
        private long ackedSequence;
        private long progressAtMillis;
        private long usedAtMillis = openedAtMillis;
        private long repliesReceived;
        private long replyAtMillis = openedAtMillis;
        private boolean ackScheduled;
        private final RateLimiter rateLimiter = new RateLimiter();
        private boolean ended;

        Outbound(String to, InetSocketAddress address) {
            this.to = to;
            this.address = address;
        }

        void connect() {
            ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel newChannel) {
                            newChannel.pipeline().addLast(frameDecoder(MAX_HELLO_BYTES), Outbound.this);
                        }
                    }).connect(address);
            channel = connecting.channel();
            connecting.addListener((ChannelFutureListener) done -> {
                if (!done.isSuccess()) {
                    end("no connection");
                }
            });
        }

        boolean send(byte[] kind, byte[] message) {
            usedAtMillis = nowMillis();
            if (sessionKey == null) {
                if (queuedMessages.size() >= MAX_QUEUED_MESSAGES) {
                    queuedMessages.poll();
                    dropped++;
                }
                return queuedMessages.add(new byte[][] {kind, message});
            }
            if (isOverPendingLimit(channel)) {
                return false;
            }
            if (sequence == ackedSequence) {
                progressAtMillis = usedAtMillis;
            }
            byte[] signature = sessionKey.sign(++sequence, SESSION_LABEL, kind, message);
            channel.writeAndFlush(frame(channel, MESSAGE, kind, message, signature));
            sent++;
            sentBytes += Integer.BYTES + 2 + message.length + MessageAuthenticator.SIGNATURE_BYTES;
            return true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
            byte type = frame.readableBytes() > 0 ? frame.readByte() : 0;
            byte[] body = ByteBufUtil.getBytes(frame);
            if (type == CHALLENGE && challenge == null && body.length == NONCE_BYTES + 1
                    && body[0] == PROTOCOL_VERSION) {
                challenge = Arrays.copyOfRange(body, 1, body.length);
                nonce = newNonce();
                handshakeKey = keys.get(0);
                byte[] hello = CBOR.asBytes(Arrays.asList(installation, ownName, generation, to, nonce));
                channel.writeAndFlush(frame(channel, HELLO, hello, handshakeKey.sign(HELLO_LABEL, challenge, hello)));
            } else if (type == WELCOME && sessionKey == null && challenge != null
                    && MessageAuthenticator.signaturesEqual(body, handshakeKey.sign(WELCOME_LABEL, challenge, nonce))) {
                sessionKey = handshakeKey.deriveKey(SESSION_LABEL, challenge, nonce);
                progressAtMillis = nowMillis();
                channel.pipeline().replace(LengthFieldBasedFrameDecoder.class, "frames",
                        frameDecoder(MAX_MESSAGE_BYTES));
                for (byte[][] each = queuedMessages.poll(); each != null; each = queuedMessages.poll()) {
                    send(each[0], each[1]);
                }
            } else if (type == ACK && sessionKey != null && body.length == Long.BYTES
                    + MessageAuthenticator.SIGNATURE_BYTES
                    && MessageAuthenticator.signaturesEqual(Arrays.copyOfRange(body, Long.BYTES, body.length),
                    sessionKey.sign(-1, Arrays.copyOf(body, Long.BYTES)))) {
                long ackedCount = ByteBuffer.wrap(body).getLong();
                if (ackedCount > ackedSequence && ackedCount <= sequence) {
                    ackedSequence = ackedCount;
                    progressAtMillis = nowMillis();
                }
            } else if (type == REPLY && sessionKey != null && body.length > MessageAuthenticator.SIGNATURE_BYTES
                    && !ended) {
                handleReply(body);
            } else if (!ended) {
                refuse("peer_unknown", to,
                        "expected a handshake or acknowledgement signed with the shared key, found another frame");
                end("another answer");
            }
        }

        private void handleReply(byte[] body) {
            byte[] kind = {body[0]};
            byte[] message = Arrays.copyOfRange(body, 1, body.length - MessageAuthenticator.SIGNATURE_BYTES);
            if (!MessageAuthenticator.signaturesEqual(Arrays.copyOfRange(body,
                    body.length - MessageAuthenticator.SIGNATURE_BYTES, body.length),
                    sessionKey.sign(++repliesReceived, REPLY_LABEL, kind, message))) {
                refuse("peer_signature", to, "expected the signature of reply " + repliesReceived
                        + ", found a different one");
                end("another signature");
                return;
            }
            received++;
            receivedBytes += Integer.BYTES + 1 + body.length;
            replyAtMillis = nowMillis();
            usedAtMillis = replyAtMillis;
            if (!ackScheduled) {
                ackScheduled = true;
                loop.schedule(this::sendAck, SWEEP_INTERVAL_MILLIS / 2, TimeUnit.MILLISECONDS);
            }
            rateLimiter.countMessage(channel);
            listener.received(to, 0, kind[0], message);
        }

        private void sendAck() {
            ackScheduled = false;
            if (!ended) {
                byte[] count = encodeCount(repliesReceived);
                channel.writeAndFlush(frame(channel, REPLY_ACK, count, sessionKey.sign(-1, REPLY_LABEL, count)));
            }
        }

        void compensateForPause(long nowMillis, long lateMillis) {
            openedAtMillis = Math.min(nowMillis, openedAtMillis + lateMillis);
            progressAtMillis = Math.min(nowMillis, progressAtMillis + lateMillis);
            replyAtMillis = Math.min(nowMillis, replyAtMillis + lateMillis);
        }

        void sweep(long nowMillis) {
            if (sessionKey == null ? nowMillis - openedAtMillis > HANDSHAKE_TIMEOUT_MILLIS
                    : sequence > ackedSequence
                            && (nowMillis - Math.max(progressAtMillis, replyAtMillis) > SILENCE_TIMEOUT_MILLIS
                                    || nowMillis - progressAtMillis > UNREAD_TIMEOUT_MILLIS)) {
                end("silent");
            } else if (nowMillis - usedAtMillis > IDLE_TIMEOUT_MILLIS) {
                end("idle");
            }
        }

        void end(String reason) {
            if (!ended) {
                ended = true;
                dropped += queuedMessages.size();
                queuedMessages.clear();
                boolean registered = outbound.remove(to, this);
                if (registered && !reason.equals("idle")) {
                    retryAtMillis.put(to, nowMillis() + RETRY_DELAY_MILLIS);
                }
                channel.close();
                if (registered && !closed) {
                    listener.outboundClosed(to);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            end("ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end("broken");
        }
    }

    private void refuse(String code, String peer, String description) {
        refused++;
        listener.refused(code, peer, description);
    }

    /** Pauses reading from a channel that exceeds its rate until the next second. */
    private final class RateLimiter {

        private long currentSecond;
        private int messagesInSecond;

        void countMessage(Channel channel) {
            long nowMillis = nowMillis();
            if (nowMillis / 1_000 != currentSecond) {
                currentSecond = nowMillis / 1_000;
                messagesInSecond = 0;
            }
            if (++messagesInSecond >= MAX_MESSAGES_PER_SECOND) {
                channel.config().setAutoRead(false);
                loop.schedule(() -> channel.config().setAutoRead(true), 1_000 - nowMillis % 1_000,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    // ---- receiving

    /** A connection that another gateway opened. */
    private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {

        private final Channel channel;
        private final byte[] challenge = newNonce();
        private String peerName;  // null until it is authenticated
        private long peerGeneration;
        private MessageAuthenticator sessionKey;
        private long sequence;
        private long ackedSequence;
        private boolean ackScheduled;
        private long lastHeardMillis = nowMillis();
        private final RateLimiter rateLimiter = new RateLimiter();
        private long repliesSent;
        private long repliesAcked;
        private long progressAtMillis;
        private long pendingAtSweepBytes;
        private long writtenSinceSweepBytes;
        private boolean ended;

        Inbound(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            acceptedChannels.add(channel);
            Channel oldest = pendingHandshakes.add(channel);
            if (oldest != null) {
                refuse("peer_flood", String.valueOf(oldest.remoteAddress()), "expected at most "
                        + pendingHandshakes.limit() + " unauthenticated connections");
                oldest.close();
            }
            channel.writeAndFlush(frame(channel, CHALLENGE, new byte[] {PROTOCOL_VERSION}, challenge));
            loop.schedule(() -> {
                if (peerName == null) {
                    channel.close();
                }
            }, HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte type = frame.readableBytes() > 0 ? frame.readByte() : 0;
            byte[] body = ByteBufUtil.getBytes(frame);
            lastHeardMillis = nowMillis();
            if (peerName == null) {
                handleHello(type, body);
            } else if (type == REPLY_ACK && body.length == Long.BYTES + MessageAuthenticator.SIGNATURE_BYTES) {
                handleReplyAck(body);
            } else if (type != MESSAGE || body.length < 1 + MessageAuthenticator.SIGNATURE_BYTES) {
                refuseAndClose("peer_malformed", "expected a message frame, found type " + type + " of " + body.length
                        + " bytes");
            } else {
                handleMessage(body);
            }
        }

        private void handleMessage(byte[] body) {
            byte[] kind = {body[0]};
            byte[] message = Arrays.copyOfRange(body, 1, body.length - MessageAuthenticator.SIGNATURE_BYTES);
            byte[] signature = Arrays.copyOfRange(body, body.length - MessageAuthenticator.SIGNATURE_BYTES,
                    body.length);
            if (!MessageAuthenticator.signaturesEqual(signature,
                    sessionKey.sign(++sequence, SESSION_LABEL, kind, message))) {
                refuseAndClose("peer_signature", "expected the signature of message " + sequence
                        + ", found a different one");
                return;
            }
            received++;
            receivedBytes += Integer.BYTES + 1 + body.length;
            if (!ackScheduled) {
                ackScheduled = true;
                loop.schedule(this::sendAck, SWEEP_INTERVAL_MILLIS / 2, TimeUnit.MILLISECONDS);
            }
            rateLimiter.countMessage(channel);
            if (!ended) {
                listener.received(peerName, peerGeneration, kind[0], message);
            }
        }

        private void handleReplyAck(byte[] body) {
            byte[] count = Arrays.copyOf(body, Long.BYTES);
            long ackedCount = ByteBuffer.wrap(count).getLong();
            if (!MessageAuthenticator.signaturesEqual(Arrays.copyOfRange(body, Long.BYTES, body.length),
                    sessionKey.sign(-1, REPLY_LABEL, count)) || ackedCount > repliesSent) {
                refuseAndClose("peer_signature", "expected a signed acknowledgement of at most " + repliesSent
                        + " replies, found a different one");
            } else if (ackedCount > repliesAcked) {
                repliesAcked = ackedCount;
                progressAtMillis = nowMillis();
            }
        }

        boolean reply(byte[] kind, byte[] message) {
            if (isOverPendingLimit(channel)) {
                return false;
            }
            if (repliesSent == repliesAcked) {
                progressAtMillis = nowMillis();
            }
            byte[] signature = sessionKey.sign(++repliesSent, REPLY_LABEL, kind, message);
            channel.writeAndFlush(frame(channel, REPLY, kind, message, signature));
            int bytes = Integer.BYTES + 2 + message.length + MessageAuthenticator.SIGNATURE_BYTES;
            writtenSinceSweepBytes += bytes;
            sent++;
            sentBytes += bytes;
            return true;
        }

        /** Doesn't count a pause of this process as silence of the other end. */
        void compensateForPause(long nowMillis, long pauseMillis) {
            progressAtMillis = Math.min(nowMillis, progressAtMillis + pauseMillis);
            lastHeardMillis = Math.min(nowMillis, lastHeardMillis + pauseMillis);
        }

        /**
         * A large reply on a slow connection is acknowledged late, but its bytes drain: if fewer bytes wait than waited
         * before plus those written since, there is progress.
         */
        void sweep(long nowMillis) {
            long pendingBytes = pendingWriteBytes(channel);
            if (pendingAtSweepBytes > 0 && pendingBytes < pendingAtSweepBytes + writtenSinceSweepBytes) {
                progressAtMillis = nowMillis;
            }
            pendingAtSweepBytes = pendingBytes;
            writtenSinceSweepBytes = 0;
            if (repliesSent > repliesAcked && nowMillis - progressAtMillis > SILENCE_TIMEOUT_MILLIS) {
                channel.close();
            }
        }

        private void sendAck() {
            ackScheduled = false;
            if (sequence > ackedSequence && channel.isActive()) {
                ackedSequence = sequence;
                byte[] count = encodeCount(sequence);
                channel.writeAndFlush(frame(channel, ACK, count, sessionKey.sign(-1, count)));
            }
        }

        private void handleHello(byte type, byte[] body) {
            if (type != HELLO || body.length < MessageAuthenticator.SIGNATURE_BYTES) {
                refuseAndClose("peer_malformed", "expected a hello frame, found type " + type + " of " + body.length
                        + " bytes");
                return;
            }
            byte[] hello = Arrays.copyOf(body, body.length - MessageAuthenticator.SIGNATURE_BYTES);
            byte[] signature = Arrays.copyOfRange(body, hello.length, body.length);
            MessageAuthenticator signingKey = null;
            for (MessageAuthenticator each : keys) {
                signingKey = MessageAuthenticator.signaturesEqual(signature, each.sign(HELLO_LABEL, challenge, hello))
                        && signingKey == null ? each : signingKey;
            }
            if (signingKey == null) {
                refuseAndClose("peer_signature", "expected a signature by an accepted key, found a different one");
                return;
            }
            Object decoded;
            try {
                decoded = CBOR.anyFrom(hello);
            } catch (IOException e) {
                decoded = null;
            }
            if (!(decoded instanceof List<?> fields) || fields.size() != 5
                    || !(fields.get(0) instanceof String peerInstallation) || !(fields.get(1) instanceof String name)
                    || !(fields.get(2) instanceof Number startedGeneration)
                    || !(fields.get(3) instanceof String recipient) || !(fields.get(4) instanceof byte[] nonce)) {
                refuseAndClose("peer_malformed",
                        "expected installation, name, generation, recipient and nonce, found a different hello");
                return;
            }
            if (!peerInstallation.equals(installation) || !recipient.equals(ownName) || name.equals(ownName)
                    || name.isEmpty()) {
                refuseAndClose(name.equals(ownName) ? "peer_own_name" : "peer_elsewhere", "expected a gateway of "
                        + installation + " addressing " + ownName + ", found " + name + " of " + peerInstallation
                        + " addressing " + recipient);
                return;
            }
            if (inbound.size() >= maxConnections && !inbound.containsKey(name) && !closeSilentInbound()) {
                refuseAndClose("peer_too_many", "expected at most " + maxConnections + " gateways, found " + name
                        + " beside them");
                return;
            }
            peerName = name;
            peerGeneration = startedGeneration.longValue();
            pendingHandshakes.remove(channel);
            sessionKey = signingKey.deriveKey(SESSION_LABEL, challenge, nonce);
            Inbound previous = inbound.get(peerName);
            if (previous != null) {
                previous.unregister();
                previous.channel.close();
            }
            inbound.put(peerName, this);
            channel.pipeline().replace(LengthFieldBasedFrameDecoder.class, "frames", frameDecoder(MAX_MESSAGE_BYTES));
            channel.writeAndFlush(frame(channel, WELCOME, signingKey.sign(WELCOME_LABEL, challenge, nonce)));
        }

        private void refuseAndClose(String code, String description) {
            refuse(code, peerName == null ? String.valueOf(channel.remoteAddress()) : peerName, description);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            acceptedChannels.remove(channel);
            pendingHandshakes.remove(channel);
            if (peerName != null) {
                unregister();
            }
        }

        private void unregister() {
            inbound.remove(peerName, this);
            if (!ended && !closed) {
                ended = true;
                listener.inboundClosed(peerName);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                refuseAndClose("peer_too_large", "expected a message of at most " + MAX_MESSAGE_BYTES
                        + " bytes, found a larger one");
            } else {
                channel.close();
            }
        }
    }

    /** Closes all connections and the listening socket at once. */
    @Override
    public void close() {
        closed = true;
        sweepTask.cancel(false);
        List.copyOf(outbound.values()).forEach(each -> each.end("closed"));
        if (serverChannel != null) {
            serverChannel.close();
        }
        List.copyOf(acceptedChannels).forEach(Channel::close);
    }
}
