package mastdrift.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import mastdrift.Balancer.Repeat;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.MalformedPacketException;
import mastdrift.radius.Packet;

/** RADIUS as chargers speak it: cards and accounting starts from several ports, 256 out on each, sent again byte for byte
    while no answer comes. An answer that doesn't prove itself is passed over. All on the loop's thread. */
final class RadiusDriver implements Driver {

    private static final long RESEND = 700_000;

    private final EventLoop loop;
    private final LoadPlan plan;
    private final int ports;
    private final Ear ear;
    private final Authenticators own;
    private final List<Channel> channels = new ArrayList<>();
    private final Deque<Slot> free = new ArrayDeque<>();
    private final Deque<Shot> waiting = new ArrayDeque<>();

    /** {@code ports} of the plan's are this one's. */
    RadiusDriver(EventLoop loop, LoadPlan plan, int ports, Ear ear) {
        this.loop = loop;
        this.plan = plan;
        this.ports = ports;
        this.ear = ear;
        own = new Authenticators(plan.secret());
    }

    @Override
    public void open() {
        for (int i = 0; i < ports; i++) {
            Port port = new Port();
            // A connect of a datagram channel asks nobody: it is done by the loop's next turn.
            Channel channel = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Packet.MAX_BYTES))
                    .option(ChannelOption.SO_RCVBUF, 1 << 20).handler(port).connect(plan.to()).channel();
            channels.add(channel);
            for (int j = 0; j < port.slots.length; j++) {
                port.slots[j] = new Slot(channel, j);
                free.add(port.slots[j]);
            }
        }
    }

    @Override
    public boolean opened() {
        return channels.size() == ports && channels.stream().allMatch(Channel::isActive);
    }

    @Override
    public void fire(Shot shot) {
        // Longest free first: no identifier is used again while its last answer may still come twice.
        Slot slot = free.poll();
        if (slot == null) {
            waiting.add(shot);
        } else {
            slot.ask(shot, false);
        }
    }

    private void next() {
        while (!free.isEmpty() && !waiting.isEmpty()) {
            Shot shot = waiting.poll();
            if (System.nanoTime() - shot.due() > shot.part().deadline() * 1000) {
                ear.ended(shot, Ended.UNSENT, 0);
            } else {
                free.poll().ask(shot, true);
            }
        }
    }

    @Override
    public void close() {
        waiting.clear();
        channels.forEach(Channel::close);
    }

    /** An identifier of a port, with what is out on it. */
    private final class Slot {

        private final Channel channel;
        private final int identifier;
        private Shot shot;
        private Packet packet;
        private byte[] bytes;
        private Future<?> timer;
        private Future<?> resend;

        Slot(Channel channel, int identifier) {
            this.channel = channel;
            this.identifier = identifier;
        }

        private void ask(Shot given, boolean waited) {
            shot = given;
            packet = own.signRequest(given.part().repeat() == Repeat.SAFE ? card() : start());
            bytes = packet.encode();
            long left = given.part().deadline() - (System.nanoTime() - given.due()) / 1000;
            ear.left(given, waited);
            timer = loop.schedule(() -> end(Ended.UNANSWERED), Math.max(1, left), TimeUnit.MICROSECONDS);
            write();
        }

        private Packet card() {
            byte[] authenticator = ByteBuffer.allocate(Packet.AUTHENTICATOR_BYTES).putLong(shot.chain()).putLong(shot.due()).array();
            return new Packet(Code.ACCESS_REQUEST, identifier, authenticator,
                    List.of(new Attribute(1, ("card-" + shot.key()).getBytes(StandardCharsets.US_ASCII))));
        }

        private Packet start() {
            return new Packet(Code.ACCOUNTING_REQUEST, identifier, new byte[Packet.AUTHENTICATOR_BYTES], List.of(
                    new Attribute(Attribute.ACCT_STATUS_TYPE, new byte[] {0, 0, 0, 1}),
                    new Attribute(Attribute.ACCT_SESSION_ID, shot.repeatKey().getBytes(StandardCharsets.US_ASCII))));
        }

        private void write() {
            channel.writeAndFlush(Unpooled.wrappedBuffer(bytes), channel.voidPromise());
            resend = loop.schedule(this::write, RESEND, TimeUnit.MICROSECONDS);
        }

        private void come(Packet answer) {
            if (shot != null && answer.code().isResponseTo(packet.code()) && own.verifyResponse(answer, packet.authenticator(), false)) {
                end(Ended.SERVED);
            }
        }

        private void end(Ended how) {
            Shot asked = shot;
            shot = null;
            timer.cancel(false);
            resend.cancel(false);
            free.addLast(this);
            ear.ended(asked, how, 0);
            next();
        }
    }

    private final class Port extends SimpleChannelInboundHandler<DatagramPacket> {

        private final Slot[] slots = new Slot[256];

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
            try {
                Packet answer = Packet.decode(ByteBufUtil.getBytes(datagram.content()));
                slots[answer.identifier()].come(answer);
            } catch (MalformedPacketException e) {
                return;  // no answer; the right one may still come
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            return;  // nobody listens there: the request ends by its time
        }
    }
}
