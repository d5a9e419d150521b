package mastdrift.peers.edge;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
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
 * Connections between gateways, one a direction and pair: what A tells B goes on the one that A opened. Each message is signed. Who accepted a connection may {@link #reply}
 * on it, so that one who opens connections only hears too.
 *
 * <p>Who accepts sends a nonce; who connects answers with who it is, whom it means, a nonce of its own and a signature over all; who accepts signs that. From
 * then on both sign by a key derived from the nonces, each message with its sequence number: what is replayed, left out, swapped or changed fails, and ends the
 * connection. Nothing is secret but the key.
 *
 * <p>Replies are signed by the same key with another label and have sequence numbers of their own, so that neither direction's bytes pass in the other. A build from before replies
 * refuses the first one as an unknown frame and ends the connection; it gets none, since it sends no message that is answered so.
 *
 * <p>Who accepts says now and then how much it has read, and so does who opened, where there are replies. A connection on which that doesn't move on for
 * {@value #SILENT_MILLIS} ms is closed: the other may have vanished without a word, and what is written would only pile up. A reply that arrives shows that the other is
 * there, but what was sent has to be read within {@value #UNREAD_MILLIS} ms all the same: one direction may be cut alone.
 * Time in which this process didn't run isn't held against the others.
 *
 * <p>A message to who can't be reached is dropped, and {@link #send} says so where it is known; whoever sends has to bear that any message may be lost. What is bounded: connections in each direction, those
 * not yet known ({@value #UNKNOWN_MOST} or an eighth of the known ones, for {@value #HELLO_MILLIS} ms), a message ({@value #MESSAGE_MOST} bytes), messages read a second from one ({@value #RATE}; then it is read no faster), bytes that wait for a slow
 * one ({@value #WAITING_MOST}).
 *
 * <p>All methods are called on the loop's thread, and so is the listener.
 */
public final class PeerLinks implements AutoCloseable {

    /** A message holds at most so many bytes. */
    public static final int MESSAGE_MOST = 512 << 10;
    /** Connections whose other end isn't known yet, at most; an eighth of those that may be known, where that is more: a machine's subscribers may all come back at once. */
    public static final int UNKNOWN_MOST = 64;
    private static final int UNKNOWN_SHARE = 8;
    /** Messages a second that are read from one gateway. */
    public static final int RATE = 4_000;
    static final int HELLO_MILLIS = 2_000;
    static final int SILENT_MILLIS = 3_000;
    static final int UNREAD_MILLIS = 4 * SILENT_MILLIS;
    /** Bytes that wait for a slow one, at most, but for the message that goes over it. */
    public static final int WAITING_MOST = 2 << 20;
    private static final int CONNECT_MILLIS = 1_000;
    private static final int RETRY_MILLIS = 200;
    static final int SWEEP_MILLIS = 250;
    private static final int STOPPED_MILLIS = 1_000;
    private static final int IDLE_MILLIS = 60_000;
    private static final int QUEUED_MOST = 64;
    private static final int NONCE = 16;
    private static final int HELLO_MOST = 1_024;
    private static final int VERSION = 1;
    private static final int OVERHEAD = 64;
    private static final int BACKLOG = 128;
    private static final byte CHALLENGE = 1;
    private static final byte HELLO = 2;
    private static final byte WELCOME = 3;
    private static final byte MESSAGE = 4;
    private static final byte ACK = 5;
    private static final byte REPLY = 6;
    private static final byte REPLY_ACK = 7;
    private static final byte[] OF_HELLO = {HELLO};
    private static final byte[] OF_WELCOME = {WELCOME};
    private static final byte[] OF_SESSION = {'s'};
    private static final byte[] OF_REPLY = {'r'};
    private static final JSON CBOR = JSON.builder(new CBORFactory()).build();

    /** Is told of what comes. */
    public interface Listener {
        /** A message of a gateway, in one of its generations; 0 for a reply, since who accepts a connection doesn't tell its generation. */
        void received(String from, long generation, byte kind, byte[] message);

        /** Something is wrong with a connection: a stable word for what, the other's name or address, and more for a person. */
        void refused(String what, String who, String text);

        /** The connection that was opened to a gateway has ended, or could not be made: what was sent last may be lost, and no more replies come by it. Called in
            the turn in which it ends; not for those that {@link #leave} or {@link #close} ends. */
        default void outboundClosed(String to) { }

        /** The connection that a gateway opened has ended: no reply reaches it until it opens another, which is told of first. Not for those that {@link #drop} or
            {@link #close} ends. */
        default void inboundClosed(String from) { }
    }

    /** Counts since the start. */
    public record Counts(long sent, long sentBytes, long received, long receivedBytes, long dropped, long refused) { }

    private final EventLoop loop;
    private final String installation;
    private final String own;
    private final int most;
    private final int unknownMost;
    private final Listener listener;
    private final LongSupplier clock;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, Outbound> out = new HashMap<>();
    private final Map<String, Inbound> in = new HashMap<>();
    private final Set<Channel> accepted = new HashSet<>();
    private final Map<String, Long> retryAt = new HashMap<>();
    private final Future<?> sweeps;
    private List<MessageAuthenticator> keys = List.of();
    private long generation;
    private long sweptAt;
    private int unknown;
    private Channel server;
    private boolean closed;
    private long sent;
    private long sentBytes;
    private long received;
    private long receivedBytes;
    private long dropped;
    private long refused;

    /** Of a gateway of an installation, with so many connections in each direction. */
    public PeerLinks(EventLoop loop, String installation, String own, int most, Listener listener) {
        this(loop, installation, own, most, listener, () -> System.nanoTime() / 1_000_000);
    }

    /** With a clock in milliseconds, which tests move. */
    PeerLinks(EventLoop loop, String installation, String own, int most, Listener listener, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
        this.installation = installation;
        this.own = own;
        this.most = most;
        unknownMost = Math.max(UNKNOWN_MOST, most / UNKNOWN_SHARE);
        this.listener = listener;
        sweptAt = millis();
        sweeps = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Keys that are good from now on, the first for what is sent. Connections stay: they were made by a key that was good. */
    public void keys(List<byte[]> good) {
        keys = good.stream().map(MessageAuthenticator::new).toList();
    }

    /** The own generation from now on; connections that were opened in another are opened anew. */
    public void generation(long now) {
        if (now != generation) {
            generation = now;
            List.copyOf(out.values()).forEach(each -> each.end("a new generation"));
        }
    }

    /** Where the others are, from now on. */
    public void addresses(Map<String, InetSocketAddress> now) {
        addresses.clear();
        addresses.putAll(now);
        List.copyOf(out.values()).stream().filter(each -> !each.at.equals(addresses.get(each.to))).forEach(each -> each.end("another address"));
    }

    /** Binds; whether that went well is in the future. */
    public ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, Math.max(BACKLOG, unknownMost))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(frames(HELLO_MOST), new Inbound(channel));
                    }
                }).bind(at);
        server = bound.channel();
        return bound;
    }

    /** Where it listens, once it does. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** What passed so far. */
    public Counts counts() {
        return new Counts(sent, sentBytes, received, receivedBytes, dropped, refused);
    }

    /** Messages and replies on their way: the other ends haven't said yet that they have read them. */
    long unread() {
        return out.values().stream().mapToLong(each -> each.sequence - each.acked).sum() + in.values().stream().mapToLong(each -> each.replies - each.repliesAcked).sum();
    }

    /** Gateways that messages go to now, by name. */
    public Map<String, Boolean> links() {
        Map<String, Boolean> links = new TreeMap<>();
        out.forEach((name, each) -> links.put(name, each.session != null));
        return links;
    }

    private static LengthFieldBasedFrameDecoder frames(int body) {
        return new LengthFieldBasedFrameDecoder(body + OVERHEAD, 0, Integer.BYTES, 0, Integer.BYTES);
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

    private byte[] nonce() {
        byte[] nonce = new byte[NONCE];
        random.nextBytes(nonce);
        return nonce;
    }

    private long millis() {
        return clock.getAsLong();
    }

    private static byte[] eight(long count) {
        return ByteBuffer.allocate(Long.BYTES).putLong(count).array();
    }

    // ---- sending

    /** Sends a message to a gateway; false where it is known not to arrive. */
    public boolean send(String to, byte kind, byte[] message) {
        Outbound link = message.length > MESSAGE_MOST || closed ? null : out.get(to);
        if (link == null && !closed && message.length <= MESSAGE_MOST) {
            link = open(to);
        }
        if (link == null || !link.send(new byte[] {kind}, message)) {
            dropped++;
            return false;
        }
        return true;
    }

    /** Sends a message back on the connection that a gateway opened. False where there is none, where more than {@link #WAITING_MOST} bytes wait on it already, or the
        message is too large: it isn't sent then, and whoever sends decides. It may be lost all the same, with its connection. */
    public boolean reply(String to, byte kind, byte[] message) {
        Inbound link = message.length > MESSAGE_MOST || closed ? null : in.get(to);
        if (link == null || !link.reply(new byte[] {kind}, message)) {
            dropped++;
            return false;
        }
        return true;
    }

    /** Ends the connection that a gateway opened, where there is one. */
    public void drop(String from) {
        Inbound link = in.get(from);
        if (link != null) {
            link.over = true;
            in.remove(from, link);
            link.channel.close();
        }
    }

    /** Ends the connection that was opened to a gateway, where there is one; the next message to it opens another at once. */
    public void leave(String to) {
        Outbound link = out.remove(to);
        if (link != null) {
            link.end("left");
        }
    }

    /** Whether more waits in a channel than may. */
    private static boolean full(Channel channel) {
        return waiting(channel) > WAITING_MOST;
    }

    /** Bytes that wait in a channel for the other end to read; what a closed one held counts as endless. */
    private static long waiting(Channel channel) {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? Long.MAX_VALUE : buffer.totalPendingWriteBytes();
    }

    private Outbound open(String to) {
        InetSocketAddress at = addresses.get(to);
        if (at == null || keys.isEmpty() || millis() < retryAt.getOrDefault(to, Long.MIN_VALUE)) {
            return null;
        }
        if (out.size() >= most) {
            Outbound oldest = null;
            for (Outbound each : out.values()) {
                oldest = oldest == null || each.usedAt < oldest.usedAt ? each : oldest;
            }
            if (oldest != null) {
                oldest.end("room for another");
            }
            if (out.size() >= most || out.containsKey(to)) {
                return out.get(to);  // whoever heard of the end has opened one
            }
        }
        Outbound link = new Outbound(to, at);
        out.put(to, link);
        link.connect();
        return link;
    }

    /** Ends what is silent; runs every {@value #SWEEP_MILLIS} ms. */
    void sweep() {
        long now = millis();
        long late = now - sweptAt - SWEEP_MILLIS;
        sweptAt = now;
        if (late > STOPPED_MILLIS) {  // what the others said meanwhile may be lying unread
            out.values().forEach(each -> each.stopped(now, late));
            in.values().forEach(each -> each.movedAt = Math.min(now, each.movedAt + late));
        }
        List.copyOf(out.values()).forEach(each -> each.sweep(now));
        List.copyOf(in.values()).forEach(each -> each.sweep(now));
        retryAt.values().removeIf(at -> at < now);
    }

    /** What goes to one gateway. */
    private final class Outbound extends SimpleChannelInboundHandler<ByteBuf> {

        private final String to;
        private final InetSocketAddress at;
        private long openedAt = millis();
        private final Deque<byte[][]> queued = new ArrayDeque<>();
        private Channel channel;
        private MessageAuthenticator key;
        private MessageAuthenticator session;  // null until the other is known
        private byte[] nonce;
        private byte[] challenge;
        private long sequence;
        private long acked;
        private long movedAt;
        private long usedAt = openedAt;
        private long replies;
        private long repliesAt = openedAt;
        private boolean ackScheduled;
        private final RateLimiter rateLimiter = new RateLimiter();
        private boolean over;

        Outbound(String to, InetSocketAddress at) {
            this.to = to;
            this.at = at;
        }

        void connect() {
            ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel made) {
                            made.pipeline().addLast(frames(HELLO_MOST), Outbound.this);
                        }
                    }).connect(at);
            channel = connecting.channel();
            connecting.addListener((ChannelFutureListener) done -> {
                if (!done.isSuccess()) {
                    end("no connection");
                }
            });
        }

        boolean send(byte[] kind, byte[] message) {
            usedAt = millis();
            if (session == null) {
                if (queued.size() >= QUEUED_MOST) {
                    queued.poll();
                    dropped++;
                }
                return queued.add(new byte[][] {kind, message});
            }
            if (full(channel)) {
                return false;
            }
            if (sequence == acked) {
                movedAt = usedAt;
            }
            byte[] signature = session.sign(++sequence, OF_SESSION, kind, message);
            channel.writeAndFlush(frame(channel, MESSAGE, kind, message, signature));
            sent++;
            sentBytes += Integer.BYTES + 2 + message.length + MessageAuthenticator.BYTES;
            return true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
            byte type = frame.readableBytes() > 0 ? frame.readByte() : 0;
            byte[] body = ByteBufUtil.getBytes(frame);
            if (type == CHALLENGE && challenge == null && body.length == NONCE + 1 && body[0] == VERSION) {
                challenge = Arrays.copyOfRange(body, 1, body.length);
                nonce = nonce();
                key = keys.get(0);
                byte[] hello = CBOR.asBytes(Arrays.asList(installation, own, generation, to, nonce));
                channel.writeAndFlush(frame(channel, HELLO, hello, key.sign(OF_HELLO, challenge, hello)));
            } else if (type == WELCOME && session == null && challenge != null && MessageAuthenticator.same(body, key.sign(OF_WELCOME, challenge, nonce))) {
                session = key.derived(OF_SESSION, challenge, nonce);
                movedAt = millis();
                channel.pipeline().replace(LengthFieldBasedFrameDecoder.class, "frames", frames(MESSAGE_MOST));
                for (byte[][] each = queued.poll(); each != null; each = queued.poll()) {
                    send(each[0], each[1]);
                }
            } else if (type == ACK && session != null && body.length == Long.BYTES + MessageAuthenticator.BYTES
                    && MessageAuthenticator.same(Arrays.copyOfRange(body, Long.BYTES, body.length), session.sign(-1, Arrays.copyOf(body, Long.BYTES)))) {
                long until = ByteBuffer.wrap(body).getLong();
                if (until > acked && until <= sequence) {
                    acked = until;
                    movedAt = millis();
                }
            } else if (type == REPLY && session != null && body.length > MessageAuthenticator.BYTES && !over) {
                reply(body);
            } else if (!over) {
                refuse("peer_unknown", to, "expected a gateway that knows the key, found another answer");
                end("another answer");
            }
        }

        private void reply(byte[] body) {
            byte[] kind = {body[0]};
            byte[] message = Arrays.copyOfRange(body, 1, body.length - MessageAuthenticator.BYTES);
            if (!MessageAuthenticator.same(Arrays.copyOfRange(body, body.length - MessageAuthenticator.BYTES, body.length), session.sign(++replies, OF_REPLY, kind, message))) {
                refuse("peer_signature", to, "expected the signature of reply " + replies + ", found another");
                end("another signature");
                return;
            }
            received++;
            receivedBytes += Integer.BYTES + 1 + body.length;
            repliesAt = millis();
            usedAt = repliesAt;
            if (!ackScheduled) {
                ackScheduled = true;
                loop.schedule(this::sendAck, SWEEP_MILLIS / 2, TimeUnit.MILLISECONDS);
            }
            rateLimiter.read(channel);
            listener.received(to, 0, kind[0], message);
        }

        private void sendAck() {
            ackScheduled = false;
            if (!over) {
                byte[] count = eight(replies);
                channel.writeAndFlush(frame(channel, REPLY_ACK, count, session.sign(-1, OF_REPLY, count)));
            }
        }

        void stopped(long now, long late) {
            openedAt = Math.min(now, openedAt + late);
            movedAt = Math.min(now, movedAt + late);
            repliesAt = Math.min(now, repliesAt + late);
        }

        void sweep(long now) {
            if (session == null ? now - openedAt > HELLO_MILLIS
                    : sequence > acked && (now - Math.max(movedAt, repliesAt) > SILENT_MILLIS || now - movedAt > UNREAD_MILLIS)) {
                end("silent");
            } else if (now - usedAt > IDLE_MILLIS) {
                end("idle");
            }
        }

        void end(String why) {
            if (!over) {
                over = true;
                dropped += queued.size();
                queued.clear();
                boolean held = out.remove(to, this);
                if (held && !why.equals("idle")) {
                    retryAt.put(to, millis() + RETRY_MILLIS);
                }
                channel.close();
                if (held && !closed) {
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

    private void refuse(String what, String who, String text) {
        refused++;
        listener.refused(what, who, text);
    }

    /** Who says more than its rate is read again in the next second. */
    private final class RateLimiter {

        private long second;
        private int inSecond;

        void read(Channel channel) {
            long now = millis();
            if (now / 1_000 != second) {
                second = now / 1_000;
                inSecond = 0;
            }
            if (++inSecond >= RATE) {
                channel.config().setAutoRead(false);
                loop.schedule(() -> channel.config().setAutoRead(true), 1_000 - now % 1_000, TimeUnit.MILLISECONDS);
            }
        }
    }

    // ---- receiving

    /** What comes from one gateway. */
    private final class Inbound extends SimpleChannelInboundHandler<ByteBuf> {

        private final Channel channel;
        private final byte[] challenge = nonce();
        private String from;  // null until it is known
        private long peerGeneration;
        private MessageAuthenticator session;
        private long sequence;
        private long ackSent;
        private boolean ackScheduled;
        private final RateLimiter rateLimiter = new RateLimiter();
        private long replies;
        private long repliesAcked;
        private long movedAt;
        private long waited;  // at the last sweep
        private long since;  // bytes written since then
        private boolean over;

        Inbound(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            accepted.add(channel);
            if (++unknown > unknownMost) {
                refuse("peer_flood", String.valueOf(channel.remoteAddress()), "expected at most " + unknownMost + " connections that say nothing");
                channel.close();
                return;
            }
            channel.writeAndFlush(frame(channel, CHALLENGE, new byte[] {VERSION}, challenge));
            loop.schedule(() -> {
                if (from == null) {
                    channel.close();
                }
            }, HELLO_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            byte type = frame.readableBytes() > 0 ? frame.readByte() : 0;
            byte[] body = ByteBufUtil.getBytes(frame);
            if (from == null) {
                hello(type, body);
            } else if (type == REPLY_ACK && body.length == Long.BYTES + MessageAuthenticator.BYTES) {
                replyAck(body);
            } else if (type != MESSAGE || body.length < 1 + MessageAuthenticator.BYTES) {
                fails("peer_malformed", "expected a message, found type " + type + " of " + body.length + " bytes");
            } else {
                message(body);
            }
        }

        private void message(byte[] body) {
            byte[] kind = {body[0]};
            byte[] message = Arrays.copyOfRange(body, 1, body.length - MessageAuthenticator.BYTES);
            byte[] signature = Arrays.copyOfRange(body, body.length - MessageAuthenticator.BYTES, body.length);
            if (!MessageAuthenticator.same(signature, session.sign(++sequence, OF_SESSION, kind, message))) {
                fails("peer_signature", "expected the signature of message " + sequence + ", found another");
                return;
            }
            received++;
            receivedBytes += Integer.BYTES + 1 + body.length;
            if (!ackScheduled) {
                ackScheduled = true;
                loop.schedule(this::sendAck, SWEEP_MILLIS / 2, TimeUnit.MILLISECONDS);
            }
            rateLimiter.read(channel);
            if (!over) {
                listener.received(from, peerGeneration, kind[0], message);
            }
        }

        private void replyAck(byte[] body) {
            byte[] count = Arrays.copyOf(body, Long.BYTES);
            long until = ByteBuffer.wrap(count).getLong();
            if (!MessageAuthenticator.same(Arrays.copyOfRange(body, Long.BYTES, body.length), session.sign(-1, OF_REPLY, count)) || until > replies) {
                fails("peer_signature", "expected the signature of how many of " + replies + " replies were read, found another");
            } else if (until > repliesAcked) {
                repliesAcked = until;
                movedAt = millis();
            }
        }

        boolean reply(byte[] kind, byte[] message) {
            if (full(channel)) {
                return false;
            }
            if (replies == repliesAcked) {
                movedAt = millis();
            }
            byte[] signature = session.sign(++replies, OF_REPLY, kind, message);
            channel.writeAndFlush(frame(channel, REPLY, kind, message, signature));
            int bytes = Integer.BYTES + 2 + message.length + MessageAuthenticator.BYTES;
            since += bytes;
            sent++;
            sentBytes += bytes;
            return true;
        }

        /** A large reply on a slow way is acknowledged late, but the bytes before it move: what waits grows less than what is written. */
        void sweep(long now) {
            long waiting = waiting(channel);
            if (waited > 0 && waiting < waited + since) {
                movedAt = now;
            }
            waited = waiting;
            since = 0;
            if (replies > repliesAcked && now - movedAt > SILENT_MILLIS) {
                channel.close();
            }
        }

        private void sendAck() {
            ackScheduled = false;
            if (sequence > ackSent && channel.isActive()) {
                ackSent = sequence;
                byte[] count = eight(sequence);
                channel.writeAndFlush(frame(channel, ACK, count, session.sign(-1, count)));
            }
        }

        private void hello(byte type, byte[] body) {
            if (type != HELLO || body.length < MessageAuthenticator.BYTES) {
                fails("peer_malformed", "expected who it is, found type " + type + " of " + body.length + " bytes");
                return;
            }
            byte[] hello = Arrays.copyOf(body, body.length - MessageAuthenticator.BYTES);
            byte[] signature = Arrays.copyOfRange(body, hello.length, body.length);
            MessageAuthenticator by = null;
            for (MessageAuthenticator each : keys) {
                by = MessageAuthenticator.same(signature, each.sign(OF_HELLO, challenge, hello)) && by == null ? each : by;
            }
            if (by == null) {
                fails("peer_signature", "expected a signature by a key that is good here, found another");
                return;
            }
            Object read;
            try {
                read = CBOR.anyFrom(hello);
            } catch (IOException e) {
                read = null;
            }
            if (!(read instanceof List<?> said) || said.size() != 5 || !(said.get(0) instanceof String of) || !(said.get(1) instanceof String name)
                    || !(said.get(2) instanceof Number started) || !(said.get(3) instanceof String to) || !(said.get(4) instanceof byte[] nonce)) {
                fails("peer_malformed", "expected installation, name, generation, whom it means and a nonce, found another hello");
                return;
            }
            if (!of.equals(installation) || !to.equals(own) || name.equals(own) || name.isEmpty()) {
                fails(name.equals(own) ? "peer_own_name" : "peer_elsewhere", "expected a gateway of " + installation + " that means " + own + ", found " + name + " of " + of
                        + " that means " + to);
                return;
            }
            if (in.size() >= most && !in.containsKey(name)) {
                fails("peer_too_many", "expected at most " + most + " gateways, found " + name + " beside them");
                return;
            }
            from = name;
            peerGeneration = started.longValue();
            unknown--;
            session = by.derived(OF_SESSION, challenge, nonce);
            Inbound before = in.get(from);
            if (before != null) {
                before.unregister();
                before.channel.close();
            }
            in.put(from, this);
            channel.pipeline().replace(LengthFieldBasedFrameDecoder.class, "frames", frames(MESSAGE_MOST));
            channel.writeAndFlush(frame(channel, WELCOME, by.sign(OF_WELCOME, challenge, nonce)));
        }

        private void fails(String what, String text) {
            refuse(what, from == null ? String.valueOf(channel.remoteAddress()) : from, text);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (accepted.remove(channel) && from == null) {
                unknown--;
            }
            if (from != null) {
                unregister();
            }
        }

        private void unregister() {
            in.remove(from, this);
            if (!over && !closed) {
                over = true;
                listener.inboundClosed(from);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                fails("peer_too_large", "expected a message of at most " + MESSAGE_MOST + " bytes, found a larger one");
            } else {
                channel.close();
            }
        }
    }

    /** Ends at once. */
    @Override
    public void close() {
        closed = true;
        sweeps.cancel(false);
        List.copyOf(out.values()).forEach(each -> each.end("closed"));
        if (server != null) {
            server.close();
        }
        List.copyOf(accepted).forEach(Channel::close);
    }
}
