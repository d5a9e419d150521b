package mastdrift.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Member;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;
import mastdrift.limits.IdleKeep;

/** Connections to hosts. Carries out what it is told on the host that it is told, once, and says how that ended. */
final class HostPool {

    static final String EXPIRES = "X-Expires-In-Ms";
    private static final AsciiString EXPIRES_NAME = AsciiString.cached(EXPIRES);
    private static final AsciiString NEVER_RAN = AsciiString.cached("X-Never-Ran");
    // Bodies hold no more, so this is what one attempt can hold.
    private static final int BODY_MOST = 64 << 10;
    // Of the time after which hosts close idle connections: a request written in the rest might meet that close.
    private static final double IDLE_PART = 0.8;
    // A first byte may leave later than it was written: drains are kept with this to spare.
    private static final long GRACE_SPARE = 50_000;
    // An answer of this size has come at once but for a lost packet, which is sent again after 200 ms: one that stalls
    // for longer won't end.
    private static final long STALL = 250_000;
    // A host may send a second answer some milliseconds behind the first: on a connection that carries the next request by then it would pass
    // for that one's. So a connection rests for several times as long.
    static final long REST = 25_000;
    private static final long SWEEP = 250_000;  // idle connections are looked through so often
    private static final int INTERIM_MOST = 16;  // 1xx answers ahead of the real one

    /** Hears how an attempt ended, exactly once; the answer is there where the host gave one. */
    interface Ended {
        void ended(Outcome outcome, FullHttpResponse answer);

        /** Whether anybody waits for it: what nobody waits for doesn't leave. */
        default boolean wanted() {
            return true;
        }

        /** A connection for it was opened. */
        default void connected() { }

        /** So many bytes passed for it, told ahead of its end where bytes are counted. */
        default void passed(long sent, long received) { }
    }

    private static final class Peer {
        private final String uid;
        private InetSocketAddress at;
        private long born;
        private long sendUntil = Long.MAX_VALUE;
        private final Deque<Connection> idle = new ArrayDeque<>();  // the most recently used first

        Peer(String uid) {
            this.uid = uid;
        }
    }

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Timers timers;
    private final Bootstrap bootstrap;
    private final Future<?> sweeps;
    private final IdleKeep keep;
    private final long grace;
    private final int most;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Consumer<String> faults;
    private Transport.Strays strays;  // null where bytes aren't counted
    private int connections;

    /** Holds {@code most} connections; spans are in microseconds. */
    HostPool(EventLoop loop, LongSupplier clock, Timers timers, long dialTimeout, long idle, long grace, int most,
            Consumer<String> faults) {
        this.loop = loop;
        this.clock = clock;
        this.timers = timers;
        this.grace = Math.max(0, grace - GRACE_SPARE);
        this.most = most;
        this.faults = faults;
        long idleMost = (long) (idle * IDLE_PART);
        keep = new IdleKeep(idleMost);
        bootstrap = new Bootstrap().group(loop).channelFactory(() -> strays == null ? new NioSocketChannel() : CountedChannel.create())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, dialTimeout / 1000))
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        Answers answers = new Answers();
                        channel.pipeline().addLast(new HttpRequestEncoder(), answers,
                                new HttpObjectAggregator(BODY_MOST), new Connection(channel, answers));
                    }
                });
        long sweep = Math.min(idleMost / 8 + 1, SWEEP);
        sweeps = loop.scheduleWithFixedDelay(this::closeAged, sweep, sweep, TimeUnit.MICROSECONDS);
    }

    /** Bytes are counted from now on; before anything is sent. */
    void count(Transport.Strays to) {
        strays = to;
    }

    /** Hosts that leave, are gone or have started anew lose their idle connections at once. */
    void update(boolean all, List<Member> members, long toldAt) {
        Set<String> named = new HashSet<>();
        for (Member entry : members) {
            Host host = entry.host();
            named.add(host.address());
            Peer peer = peers.computeIfAbsent(host.address(), Peer::new);
            if (host.health() != Health.UP) {
                leave(peer, toldAt);
            } else {
                if (!entry.at().equals(peer.at) || host.born() != peer.born) {
                    closeIdle(peer);
                }
                peer.sendUntil = Long.MAX_VALUE;
            }
            peer.at = entry.at();
            peer.born = host.born();
            if (host.health() == Health.GONE) {
                peers.remove(host.address());
            }
        }
        if (all) {
            peers.entrySet().removeIf(known -> {
                boolean gone = !named.contains(known.getKey());
                if (gone) {
                    leave(known.getValue(), toldAt);
                }
                return gone;
            });
        }
    }

    private void leave(Peer peer, long toldAt) {
        peer.sendUntil = Math.min(peer.sendUntil, toldAt + grace);
        closeIdle(peer);
    }

    /** Sends the message, which it releases, and waits for as long as the timeout; what has not left after {@code leaveWithin} is
        UNUSED. */
    Attempt send(String uid, FullHttpRequest message, long timeout, long leaveWithin, Ended ended) {
        Attempt attempt = new Attempt(message, timeout, leaveWithin, ended);
        Peer peer = peers.get(uid);
        if (peer == null || timeout <= 0) {
            attempt.end(Outcome.UNUSED, null);
            return attempt;
        }
        attempt.timer = timers.after(timeout, attempt::expire);
        Connection idle = takeIdle(peer);
        if (idle != null) {
            idle.write(attempt);
        } else if (connections >= most && !closeEldest()) {
            attempt.end(Outcome.DIAL_FAILED, null);
        } else {
            dial(peer, attempt);
        }
        return attempt;
    }

    private void dial(Peer peer, Attempt attempt) {
        InetSocketAddress at = peer.at;
        long born = peer.born;
        connections++;
        ChannelFuture dialled = bootstrap.connect(at);
        attempt.channel = dialled.channel();
        dialled.addListener(done -> {
            if (!done.isSuccess()) {
                // Where no descriptor was left there is no channel that would close, and the library says so on a thread of its own.
                if (loop.inEventLoop()) {
                    undialled(attempt);
                } else {
                    loop.execute(() -> undialled(attempt));
                }
                return;
            }
            dialled.channel().closeFuture().addListener(closed -> {
                connections--;
                if (strays != null) {
                    stray(peer.uid, dialled.channel());
                }
            });
            Connection connection = dialled.channel().pipeline().get(Connection.class);
            connection.peer = peer;
            connection.at = at;
            connection.name = NetUtil.toSocketAddressString(at);
            connection.born = born;
            // Once all that this turn found has been read: the end of who waited may be among it.
            loop.execute(() -> {
                if (!attempt.over) {
                    attempt.ended.connected();
                    connection.write(attempt);
                }
            });
        });
    }

    private void undialled(Attempt attempt) {
        connections--;
        attempt.end(Outcome.DIAL_FAILED, null);
    }

    /** What passed after the last attempt had ended. */
    private void stray(String uid, Channel channel) {
        CountedChannel counted = (CountedChannel) channel;
        Connection connection = channel.pipeline().get(Connection.class);
        if (connection != null && connection.attempt != null && !connection.attempt.over) {
            return;  // it ends in a moment, by this, and tells by itself
        }
        long sent = counted.sent() - (connection == null ? 0 : connection.toldSent);
        long received = counted.received() - (connection == null ? 0 : connection.toldReceived);
        if (sent + received > 0) {
            strays.stray(uid, sent, received);
        }
    }

    private Connection takeIdle(Peer peer) {
        long now = clock.getAsLong();
        long most = keep.most(now);
        for (Iterator<Connection> idles = peer.idle.iterator(); idles.hasNext(); ) {
            Connection idle = idles.next();
            if (idle.used && now - idle.idleSince < REST) {
                continue;
            }
            idles.remove();
            Look.at(idle.channel);  // its end, or more than an answer, may stand there unread
            if (idle.channel.isActive() && now - idle.idleSince < most) {
                return idle;
            }
            idle.channel.close();
        }
        return null;
    }

    private boolean closeEldest() {
        Optional<Connection> eldest = peers.values().stream().map(peer -> peer.idle.peekLast())
                .filter(Objects::nonNull).min(Comparator.comparingLong(idle -> idle.idleSince));
        eldest.ifPresent(idle -> {
            idle.peer.idle.remove(idle);
            idle.channel.close();
        });
        return eldest.isPresent();
    }

    private void closeAged() {
        long now = clock.getAsLong();
        long before = now - keep.most(now);
        for (Peer peer : peers.values()) {
            while (!peer.idle.isEmpty() && peer.idle.peekLast().idleSince <= before) {
                peer.idle.pollLast().channel.close();
            }
        }
    }

    void closeIdle(String uid) {
        if (peers.containsKey(uid)) {
            closeIdle(peers.get(uid));
        }
    }

    /** For good: no host is known any more. */
    void close() {
        update(true, List.of(), clock.getAsLong());
        sweeps.cancel(false);
    }

    private static void closeIdle(Peer peer) {
        for (Connection idle = peer.idle.poll(); idle != null; idle = peer.idle.poll()) {
            idle.channel.close();
        }
    }

    /** One send: its message until it is written, and who hears of its end. */
    final class Attempt implements Transport.Attempt {

        private FullHttpRequest message;
        private final long ends;
        private final long leaveBy;
        private final Ended ended;
        private Timers.Timer timer;
        private Timers.Timer stall;
        private Channel channel;
        private Connection connection;  // once it is sending
        private boolean sending;
        private boolean written;
        private boolean over;

        private Attempt(FullHttpRequest message, long timeout, long leaveWithin, Ended ended) {
            this.message = message;
            this.ended = ended;
            ends = clock.getAsLong() + timeout;
            leaveBy = clock.getAsLong() + leaveWithin;
        }

        /** Stops waiting: the connection closes, by which the host hears of it. */
        @Override
        public void cancel() {
            stop(Outcome.REVOKED);
        }

        private void expire() {
            stop(sending ? Outcome.EXPIRED : Outcome.DIAL_FAILED);
        }

        private void stop(Outcome outcome) {
            if (!over) {
                end(outcome, null);
                channel.close();
            }
        }

        private void end(Outcome outcome, FullHttpResponse answer) {
            if (over) {
                return;
            }
            over = true;
            if (timer != null) {
                timer.cancel();
            }
            if (stall != null) {
                stall.cancel();
            }
            if (!sending) {
                message.release();
            } else if (strays != null) {
                connection.tell(ended);
            }
            ended.ended(outcome, answer);
        }
    }

    /** Reads answers; one whose length is told twice or not at all can't be told from a broken or a longer one. */
    private static final class Answers extends HttpResponseDecoder {

        private boolean begun;

        @Override
        protected HttpMessage createMessage(String[] line) {
            begun = true;
            return super.createMessage(line);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean empty = super.isContentAlwaysEmpty(message);
            if (!empty && HttpUtil.isContentLengthSet(message) == HttpUtil.isTransferEncodingChunked(message)) {
                throw new IllegalArgumentException("an answer with no length, or with two");
            }
            return empty;
        }

        /** A line without a colon would pass for a header with no value. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("a header without a colon");
            }
            return super.splitHeaderName(line, start, length);
        }

        /** Whether an answer, or what comes in place of one, has begun and not ended. */
        boolean midway() {
            return begun || actualReadableBytes() > 0;
        }
    }

    /** One connection, which carries one attempt at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

        private final Channel channel;
        private final Answers answers;
        private Peer peer;
        private InetSocketAddress at;
        private String name;
        private long born;
        private Attempt attempt;
        private boolean answered;
        private boolean used;
        private boolean idling;  // it is offered, or was until just now
        private boolean fresh;  // what is on it is the first
        private int interim;
        private long idleSince;
        private long toldSent;
        private long toldReceived;

        Connection(Channel channel, Answers answers) {
            this.channel = channel;
            this.answers = answers;
        }

        private void write(Attempt next) {
            long now = clock.getAsLong();
            next.channel = channel;
            // It waited for its connection meanwhile: the host was drained, the time for a repeat is over, whoever asked has left or been
            // answered, or what listens there is another start of the host, or another host, which nobody decided on.
            boolean good = now < peer.sendUntil && born == peer.born && at.equals(peer.at);
            boolean wanted = next.ended.wanted();
            if (!good || !wanted || now >= next.leaveBy) {
                next.end(Outcome.UNUSED, null);
                // It was paid for, and carried nothing that could still be answered; but who leaves has lost its idle ones, and nobody looks for more.
                if (good && !wanted && peer.sendUntil == Long.MAX_VALUE && channel.isActive()) {
                    idleSince = now;
                    rest();
                } else {
                    channel.close();
                }
                return;
            }
            fresh = !used;
            used = true;
            idling = false;
            attempt = next;
            next.connection = this;
            next.sending = true;
            next.message.headers().add(HttpHeaderNames.HOST, name).add(EXPIRES_NAME, Math.max(1, (next.ends - now) / 1000));
            channel.writeAndFlush(next.message).addListener(done -> {
                next.written = done.isSuccess();
                if (!done.isSuccess()) {
                    channel.close();
                }
            });
        }

        private void rest() {
            idling = true;
            peer.idle.push(this);
        }

        private void tell(Ended of) {
            CountedChannel counted = (CountedChannel) channel;
            of.passed(counted.sent() - toldSent, counted.received() - toldReceived);
            toldSent = counted.sent();
            toldReceived = counted.received();
        }

        /** The connection isn't offered again from here: behind the answer there may be more, which would be taken for
            the answer to the next request. */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            answers.begun = false;
            boolean whole = answer.decoderResult().isSuccess()
                    && !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            if (whole && answer.status().codeClass() == HttpStatusClass.INFORMATIONAL && ++interim <= INTERIM_MOST) {
                return;
            }
            whole &= answer.status().codeClass() != HttpStatusClass.INFORMATIONAL;
            Attempt mine = attempt;
            attempt = null;
            answered = mine != null && !mine.over && mine.written && whole && HttpUtil.isKeepAlive(answer);
            idleSince = clock.getAsLong();
            if (!answered) {
                channel.close();
            }
            if (mine != null) {
                // A host begins with a request's last byte: what it says was served ahead of that is an answer to something else.
                boolean early = answer.status().code() == 200 && !mine.written;
                Outcome outcome = whole && !early ? outcome(answer) : Outcome.DROPPED;
                if (fresh) {
                    keep.opened(idleSince, outcome == Outcome.SHED);
                } else {
                    keep.again(idleSince, outcome == Outcome.SHED);
                }
                mine.end(outcome, answer);
            }
        }

        /** All that came has been read: a connection is good for the next request if nothing came but the answer. What
            comes while none is out belongs to nobody, and what has begun must end. */
        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (attempt != null) {
                if (answers.midway() && attempt.stall == null) {
                    Attempt stalled = attempt;
                    stalled.stall = timers.after(STALL, () -> stalled.stop(Outcome.DROPPED));
                }
            } else if (answered && !answers.midway() && peer.sendUntil == Long.MAX_VALUE && at.equals(peer.at)
                    && born == peer.born) {
                interim = 0;
                rest();
            } else if (!idling || answers.midway()) {  // else it was looked at, and nothing stood there
                channel.close();
            }
            answered = false;
        }

        private Outcome outcome(FullHttpResponse answer) {
            return switch (answer.status().code()) {
                case 200 -> Outcome.DELIVERED;
                case 503, 504 -> "1".equals(answer.headers().get(NEVER_RAN)) ? Outcome.SHED : Outcome.ERROR;
                default -> Outcome.ERROR;
            };
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (attempt != null) {
                attempt.end(attempt.written ? Outcome.DROPPED : Outcome.DIAL_FAILED, null);
            } else if (peer != null) {
                peer.idle.remove(this);
            }
        }

        /** A break, or an answer that can't be read: the end of the connection tells the attempt. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException || cause instanceof DecoderException
                    || cause instanceof PrematureChannelClosureException)) {
                faults.accept("fault at a host's connection: " + cause);
            }
            context.close();
        }
    }
}
