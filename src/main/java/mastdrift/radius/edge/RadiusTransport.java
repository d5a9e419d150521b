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
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Answer;
import mastdrift.engine.Call;
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

/** UDP to RADIUS servers. An attempt is one packet to one server, sent again byte for byte while no answer comes (RFC 5080,
    2.2.1: the server tells it as a resend); its outcome is the answer that proves itself, or the end of its time. What else
    comes is dropped and counted, and ends no wait. All on the loop's thread. */
public final class RadiusTransport implements Transport {

    // A resend after a lost packet; doubled each time.
    private static final long RESEND = 400_000;
    private static final long PROBE_TIMEOUT = 250_000;
    // As long as a server may take and still answer: an identifier that was given up is not used again before.
    private static final long REST = 30_000_000;
    private static final int PORTS_MOST = 16;
    private static final int PROXY_STATE_BYTES = 8;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Function<String, byte[]> secrets;
    private final DropCounters drops;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, Server> peers = new HashMap<>();
    private Strays strays = (uid, sent, received) -> { };

    /** One server: its identifiers, the ports that they are on, and what is out on each. */
    private final class Server {
        private final String uid;
        private final Authenticators secret;
        private final IdentifierPool identifiers = new IdentifierPool(PORTS_MOST, REST);
        private final List<ChannelFuture> ports = new ArrayList<>();
        private final Map<Slot, UdpAttempt> out = new HashMap<>();
        private final InetSocketAddress at;
        private final long born;

        Server(byte[] secret, Member member) {
            uid = member.host().address();
            this.secret = new Authenticators(secret);
            at = member.at();
            born = member.host().born();
        }

        /** Another address or another start is another server, which knows nothing of what was sent to this one: it would
            take a resend as new, and nothing that is out may be answered from there. */
        private boolean same(Member member) {
            return (member.at() == null || member.at().equals(at)) && member.host().born() == born;
        }

        /** Connected, so that the kernel drops what comes from elsewhere. */
        private ChannelFuture port(int number) {
            if (number == ports.size()) {
                ports.add(new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Packet.MOST + 1))
                        .handler(new ResponseHandler(this, number)).connect(at));
            }
            return ports.get(number);
        }

        private void close() {
            ports.forEach(port -> port.channel().close());
        }
    }

    /** Secrets by uid, null for a server that has none. */
    public RadiusTransport(EventLoop loop, LongSupplier clock, Function<String, byte[]> secrets, DropCounters drops) {
        this.loop = loop;
        this.clock = clock;
        this.secrets = secrets;
        this.drops = drops;
    }

    @Override
    public void count(Strays to) {
        strays = to;
    }

    @Override
    public void update(boolean all, List<Member> members) {
        Set<String> named = new HashSet<>();
        for (Member member : members) {
            String uid = member.host().address();
            named.add(uid);
            Server peer = peers.get(uid);
            if (peer != null && !peer.same(member)) {
                remove(uid);
                peer = null;
            }
            byte[] secret = peer == null ? secrets.apply(uid) : null;
            if (peer == null && secret != null) {
                peer = new Server(secret, member);
                peers.put(uid, peer);
            }
            if (member.host().health() == Health.GONE) {
                remove(uid);
            }
        }
        if (all) {
            List.copyOf(peers.keySet()).stream().filter(uid -> !named.contains(uid)).forEach(uid -> remove(uid));
        }
    }

    /** What is out may still be answered; its ports close once nothing is. */
    private void remove(String uid) {
        Server peer = peers.remove(uid);
        if (peer != null) {
            if (peer.out.isEmpty()) {
                peer.close();
            }
        }
    }

    @Override
    public Attempt send(Endpoint to, Call call, long timeout, long leaveWithin, Ended ended) {  // leaves at once
        RadiusRequestMessage given = (RadiusRequestMessage) call;
        Packet request = given.request();
        if (given.onlyAt() != null && !given.onlyAt().equals(to.uid())) {
            // No other server could make anything of its State, and a reject would be one of the gateway's making.
            ended.ended(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        return send(to, timeout, (peer, slot) -> {
            byte[] authenticator = new byte[Packet.AUTHENTICATOR];
            random.nextBytes(authenticator);
            List<Attribute> attributes = HiddenAttributes.anew(request.attributes(),
                    new HiddenAttributes.Hop(given.secret(), request.authenticator()), new HiddenAttributes.Hop(peer.secret, authenticator));
            if (attributes == null) {
                return null;
            }
            attributes.removeIf(attribute -> attribute.type() == Attribute.MESSAGE_AUTHENTICATOR);
            if (request.first(Attribute.CHAP_PASSWORD) != null && request.first(Attribute.CHAP_CHALLENGE) == null) {
                // RFC 2865, 5.40: its challenge was the authenticator, and that is another from here on.
                attributes.add(new Attribute(Attribute.CHAP_CHALLENGE, request.authenticator()));
            }
            return new Packet(request.code(), slot.identifier(), authenticator, attributes);
        }, ended);
    }

    /** Makes the packet for a slot of a server; null where the request can be none. */
    private interface PacketFactory {
        Packet make(Server peer, Slot slot);
    }

    private Attempt send(Endpoint to, long timeout, PacketFactory making, Ended ended) {
        String uid = to.uid();
        Server peer = peers.get(uid);
        if (peer == null || timeout <= 0 || !ended.wanted() || !to.maySend()) {
            ended.ended(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        Slot slot = peer.identifiers.take(clock.getAsLong());
        if (slot == null) {  // each may still be answered: nothing was sent
            ended.ended(Outcome.DIAL_FAILED, null, LoadReport.NONE);
            return () -> { };
        }
        Packet packet = making.make(peer, slot);
        byte[] mark = new byte[PROXY_STATE_BYTES];
        random.nextBytes(mark);
        int own = 2 + PROXY_STATE_BYTES + Authenticators.MESSAGE_BYTES;
        if (packet == null || packet.length() + own > Packet.MOST) {
            peer.identifiers.answered(slot);
            drops.drop(packet == null ? DropCounters.Cause.HIDDEN : DropCounters.Cause.TOO_LONG, uid, "a request that can't go on");
            ended.ended(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        List<Attribute> attributes = new ArrayList<>(packet.attributes());
        attributes.add(new Attribute(Attribute.PROXY_STATE, mark));
        UdpAttempt sent = new UdpAttempt(to, peer, slot, peer.secret.signRequest(packet.with(attributes)), mark, ended);
        peer.out.put(slot, sent);
        sent.begin(timeout);
        return sent;
    }

    /** RFC 5997: a Status-Server. */
    @Override
    public void probe(Endpoint to, Probed probed) {
        send(to, PROBE_TIMEOUT, (peer, slot) -> {
            byte[] authenticator = new byte[Packet.AUTHENTICATOR];
            random.nextBytes(authenticator);
            return new Packet(Code.STATUS_SERVER, slot.identifier(), authenticator, List.of());
        }, new Ended() {
            @Override
            public void ended(Outcome outcome, Answer answer, LoadReport report) {
                probed.probed(outcome, report);
            }

            @Override
            public void passed(long sent, long received) {
                probed.passed(sent, received);
            }
        });
    }

    /** There is none. */
    @Override
    public void closeIdle(String uid) { }

    @Override
    public void close() {
        update(true, List.of());
    }

    /** One packet that is out. */
    private final class UdpAttempt implements Attempt {

        private final Endpoint endpoint;
        private final Server peer;
        private final Slot slot;
        private final Packet packet;
        private final byte[] bytes;
        private final byte[] mark;
        private final Ended ended;
        private Future<?> timer;
        private Future<?> resend;
        private long pause = RESEND;
        private long sent;
        private long received;
        private boolean over;

        UdpAttempt(Endpoint endpoint, Server peer, Slot slot, Packet packet, byte[] mark, Ended ended) {
            this.endpoint = endpoint;
            this.peer = peer;
            this.slot = slot;
            this.packet = packet;
            this.mark = mark;
            this.ended = ended;
            bytes = packet.write();
        }

        private void begin(long timeout) {
            timer = loop.schedule(() -> end(Outcome.EXPIRED, null), timeout, TimeUnit.MICROSECONDS);
            write();
        }

        /** The same bytes; not to a server that drains, which would count it as new if it has not seen it. */
        private void write() {
            if (endpoint.maySend()) {
                // A port that was opened just now is connected by the loop's next turn.
                peer.port(slot.port()).addListener((ChannelFutureListener) this::writeTo);
                resend = loop.schedule(this::write, pause, TimeUnit.MICROSECONDS);
                pause *= 2;
            }
        }

        private void writeTo(ChannelFuture port) {
            if (endpoint.maySend()) {
                port.channel().writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener(this::written);
            } else if (sent == 0) {
                end(Outcome.UNUSED, null);
            }
        }

        private void written(io.netty.util.concurrent.Future<? super Void> done) {
            if (!done.isSuccess()) {
                return;  // a port that nobody listens on told of an earlier packet
            }
            if (over) {
                strays.stray(endpoint.uid(), bytes.length, 0);
            } else {
                sent += bytes.length;
            }
        }

        @Override
        public void cancel() {
            end(Outcome.REVOKED, null);
        }

        private void end(Outcome outcome, RadiusResponseMessage answer) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel(false);
            if (resend != null) {
                resend.cancel(false);
            }
            peer.out.remove(slot);
            if (answer != null) {
                peer.identifiers.answered(slot);
            } else {
                peer.identifiers.givenUp(clock.getAsLong(), slot);
            }
            if (peer.out.isEmpty() && !peers.containsValue(peer)) {
                peer.close();
            }
            ended.passed(sent, received);
            ended.ended(outcome, answer, LoadReport.NONE);
        }

        private void come(InetSocketAddress from, Packet answer) {
            if (!answer.code().answers(packet.code())) {
                drops.drop(DropCounters.Cause.WRONG_CODE, from, "expected an answer to " + packet.code() + ", found " + answer.code());
            } else if (!peer.secret.answers(answer, packet.authenticator(), false)) {
                drops.drop(DropCounters.Cause.NOT_SIGNED, from, "an answer whose authenticator is wrong");
            } else {
                List<Attribute> attributes = new ArrayList<>(answer.attributes());
                int last = attributes.size() - 1;
                while (last >= 0 && attributes.get(last).type() != Attribute.PROXY_STATE) {
                    last--;
                }
                if (last < 0 || !Arrays.equals(attributes.get(last).value(), mark)) {
                    drops.drop(DropCounters.Cause.NO_PROXY_STATE, from, "an answer without the last Proxy-State");
                    return;
                }
                // Those of others are the client's own, and the front gives them back by its request.
                attributes.removeIf(a -> a.type() == Attribute.PROXY_STATE || a.type() == Attribute.MESSAGE_AUTHENTICATOR);
                end(Outcome.DELIVERED, new RadiusResponseMessage(endpoint.uid(), answer.code(), attributes,
                        new HiddenAttributes.Hop(peer.secret, packet.authenticator())));
            }
        }
    }

    /** What comes on one port. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        private final Server peer;
        private final int port;

        ResponseHandler(Server peer, int port) {
            this.peer = peer;
            this.port = port;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
            int bytes = datagram.content().readableBytes();
            Packet answer;
            try {
                answer = Packet.read(ByteBufUtil.getBytes(datagram.content()));
            } catch (MalformedPacketException e) {
                drops.drop(DropCounters.Cause.MALFORMED, datagram.sender(), e.getMessage());
                strays.stray(peer.uid, 0, bytes);
                return;
            }
            UdpAttempt sent = peer.out.get(new Slot(port, answer.identifier()));
            if (sent == null) {
                strays.stray(peer.uid, 0, bytes);
                drops.drop(DropCounters.Cause.NOT_ASKED, datagram.sender(), "an answer to nothing that is out");
            } else {
                sent.received += bytes;
                sent.come(datagram.sender(), answer);
            }
        }

        /** A port that nobody listens on tells so here; the attempt ends by its time. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            drops.drop(DropCounters.Cause.MALFORMED, peer.at, cause.toString());
        }
    }
}
