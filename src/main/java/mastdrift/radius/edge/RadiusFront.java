package mastdrift.radius.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.util.List;
import java.util.function.Function;
import mastdrift.engine.Answer;
import mastdrift.engine.Ask;
import mastdrift.engine.Client;
import mastdrift.engine.Ledger;
import mastdrift.engine.Pool;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.ConversationTable;
import mastdrift.radius.AccountingEvent;
import mastdrift.radius.HiddenAttributes;
import mastdrift.radius.MalformedPacketException;
import mastdrift.radius.Packet;
import mastdrift.radius.DuplicateCache;
import mastdrift.radius.DuplicateCache.LookupResult;
import mastdrift.radius.DuplicateCache.Source;
import mastdrift.radius.DuplicateCache.WaitingPacket;

/** One UDP port that chargers send requests to. Proves each packet, tells resends from requests, gives requests to the ledger
    and sends the one answer of each, byte for byte the same again on a resend. A refusal and a failure are silence: RADIUS has
    no word for them that a charger wouldn't take for a refused card (docs/design/radius.md). */
public final class RadiusFront {

    private static final int RECEIVE_BYTES = 1 << 20;
    private static final int CONVERSATIONS_MOST = 1 << 14;
    private static final long CONVERSATION_KEPT = 60_000_000;  // a driver at a charger that asks for more waits no longer

    /** Which pool a request is for, and as which class. */
    public interface Router {
        /** Null where no route fits; {@code key} is the same for all packets that belong together. */
        Pool pool(String className, String tenant, long key);
    }

    /** What the front calls its classes, and how long each may take in microseconds. A conversation is an Access-Request with
        State or EAP-Message: it has a class of its own, which is not safe to send elsewhere. */
    public record Classes(String access, String conversation, String accounting, long accessTime, long accountingTime) { }

    private final EventLoop loop;
    private final Ledger ledger;
    private final Router router;
    private final RadiusClients clients;
    private final Classes classes;
    private final DuplicateCache resends;
    private final ConversationTable conversations = new ConversationTable(CONVERSATIONS_MOST, CONVERSATION_KEPT);
    private final DropCounters drops;
    private Function<InetAddress, String> zones = address -> "";
    private Channel channel;

    /** All on the loop's thread. */
    public RadiusFront(EventLoop loop, Ledger ledger, Router router, RadiusClients clients, Classes classes, DuplicateCache resends,
            DropCounters drops) {
        this.loop = loop;
        this.ledger = ledger;
        this.router = router;
        this.clients = clients;
        this.classes = classes;
        this.resends = resends;
        this.drops = drops;
    }

    /** Binds; whether that went well is in the future. */
    public ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = new Bootstrap().group(loop).channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(Packet.MOST + 1))
                .handler(new DatagramHandler()).bind(at);
        channel = bound.channel();
        return bound;
    }

    /** From now on requests say which zone their client's address is in. */
    public void clientZones(Function<InetAddress, String> byAddress) {
        zones = byAddress;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Takes no more; what is out is no longer answered. */
    public void close() {
        channel.close();
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket datagram) {
            come(datagram.sender(), ByteBufUtil.getBytes(datagram.content()));
        }

        /** One datagram's fault is not the port's end. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            drops.drop(DropCounters.Cause.MALFORMED, "?", cause.toString());
        }
    }

    private void come(InetSocketAddress from, byte[] bytes) {
        RadiusClients.Client client = clients.of(from.getAddress());
        if (client == null) {
            drops.drop(DropCounters.Cause.UNKNOWN_CLIENT, from, "no client has this address");
            return;
        }
        Packet request;
        try {
            request = Packet.read(bytes);
        } catch (MalformedPacketException e) {
            drops.drop(DropCounters.Cause.MALFORMED, from, e.getMessage());
            return;
        }
        if (!request.code().asks()) {
            drops.drop(DropCounters.Cause.WRONG_CODE, from, "expected a request, found " + request.code());
        } else if (!client.secret().signed(request, client.signed())) {
            drops.drop(DropCounters.Cause.NOT_SIGNED, from, "an authenticator is wrong or missing");
        } else if (request.code() == Code.STATUS_SERVER) {
            // RFC 5997, 3: answered by who is asked, never passed on.
            send(from, client.secret().signAnswer(answer(Code.ACCESS_ACCEPT, request, List.of()), request.authenticator(),
                    true).write());
        } else {
            met(from, client, request);
        }
    }

    private void met(InetSocketAddress from, RadiusClients.Client client, Packet request) {
        LookupResult met = resends.met(ledger.now(), new Source(from.getAddress().getAddress(), from.getPort()), request);
        switch (met.what()) {
            case KEPT -> send(from, met.answer());
            case REPEATED -> {
                ResponseSender reply = new ResponseSender(met.entry(), client, 0);
                reply.answer(new WaitingPacket(new Source(from.getAddress().getAddress(), from.getPort()), request),
                        Code.ACCOUNTING_RESPONSE, List.of());
            }
            case PASS_ON -> passOn(from, client, request, met);
            default -> { }  // joined: the answer goes to all that wait
        }
    }

    private void passOn(InetSocketAddress from, RadiusClients.Client client, Packet request, LookupResult met) {
        boolean accounting = request.code() == Code.ACCOUNTING_REQUEST;
        byte[] state = request.first(Attribute.STATE);
        boolean conversation = !accounting && (state != null || request.count(Attribute.EAP_MESSAGE) > 0);
        ConversationTable.Conversation held = conversation && state != null ? conversations.held(ledger.now(), state) : null;
        byte[] address = from.getAddress().getAddress();
        long key = accounting ? AccountingEvent.of(address, request).key() : held != null ? held.key()
                : 31L * Arrays.hashCode(state != null ? state : request.authenticator()) + Arrays.hashCode(address);
        String className = accounting ? classes.accounting : conversation ? classes.conversation : classes.access;
        ResponseSender reply = new ResponseSender(met.entry(), client, key);
        Pool pool = router.pool(className, client.tenant(), key);
        if (pool == null) {
            drops.drop(DropCounters.Cause.NO_ROUTE, from, "no route for " + className);
            reply.failed(false);
            return;
        }
        ledger.take(pool, reply, new RadiusRequestMessage(request, client.secret(),
                held == null ? null : held.uid()), new Ask(className, client.tenant(), key,
                (accounting ? classes.accountingTime : classes.accessTime) - (ledger.now() - ledger.arrived()), false, accounting, 0,
                zones.apply(from.getAddress()), accounting ? key : null));
    }

    /** Its Proxy-States go back in their order (RFC 2865, 5.33). */
    private static Packet answer(Code code, Packet request, List<Attribute> attributes) {
        List<Attribute> all = new ArrayList<>(attributes);
        request.attributes().stream().filter(a -> a.type() == Attribute.PROXY_STATE).forEach(all::add);
        return new Packet(code, request.identifier(), new byte[Packet.AUTHENTICATOR], all);
    }

    private static InetSocketAddress address(Source source) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(source.address()), source.port());
        } catch (UnknownHostException e) {
            throw new IllegalStateException("expected the address that a datagram came from", e);
        }
    }

    private void send(InetSocketAddress to, byte[] bytes) {
        channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), channel.voidPromise());
    }

    /** Where the final answer of a request goes: to every packet that waits for it. */
    private final class ResponseSender implements Client {

        private final DuplicateCache.Entry entry;
        private final RadiusClients.Client client;
        private final long key;

        ResponseSender(DuplicateCache.Entry entry, RadiusClients.Client client, long key) {
            this.entry = entry;
            this.client = client;
            this.key = key;
        }

        @Override
        public void served(Answer answer) {
            RadiusResponseMessage given = (RadiusResponseMessage) answer;
            if (given.code() == Code.ACCESS_CHALLENGE) {
                given.attributes().stream().filter(a -> a.type() == Attribute.STATE).forEach(state -> conversations.challenged(
                        ledger.now(), state.value(), new ConversationTable.Conversation(given.uid(), key)));
            }
            for (WaitingPacket waiting : entry.waiting()) {
                List<Attribute> anew = HiddenAttributes.anew(given.attributes(), given.hop(),
                        new HiddenAttributes.Hop(client.secret(), waiting.request().authenticator()));
                if (anew == null) {
                    drops.drop(DropCounters.Cause.HIDDEN, client.name(), "a server's answer holds what can't be hidden");
                } else {
                    answer(waiting, given.code(), anew);
                }
            }
        }

        void answer(WaitingPacket to, Code code, List<Attribute> attributes) {
            Packet packet = RadiusFront.answer(code, to.request(), attributes);
            if (packet.length() + Authenticators.MESSAGE_BYTES > Packet.MOST) {
                drops.drop(DropCounters.Cause.TOO_LONG, client.name(), "an answer with its Proxy-States is too long");
                return;
            }
            byte[] bytes = client.secret().signAnswer(packet, to.request().authenticator(),
                    to.request().code() != Code.ACCOUNTING_REQUEST).write();
            resends.answered(entry, to, bytes);
            send(address(to.source()), bytes);
        }

        /** Silence; a resend is a new try. */
        @Override
        public void refused(long retryAfter) {
            resends.unanswered(entry);
        }

        /** Likewise. */
        @Override
        public void failed(boolean late) {
            resends.unanswered(entry);
        }
    }
}
