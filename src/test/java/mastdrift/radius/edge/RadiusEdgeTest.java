package mastdrift.radius.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import mastdrift.Balance;
import mastdrift.Balancer.Cpu;
import mastdrift.Balancer.Goal;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Habits;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Prices;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.Reports;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Site;
import mastdrift.Balancer.Value;
import mastdrift.Balancer.Weights;
import mastdrift.engine.Clock;
import mastdrift.engine.Ledger;
import mastdrift.engine.Member;
import mastdrift.engine.Pool;
import mastdrift.engine.Source;
import mastdrift.engine.Timers;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.settings.AddressRange;
import mastdrift.radius.Code;
import mastdrift.radius.Packet;
import mastdrift.radius.DuplicateCache;
import mastdrift.standin.Effects;
import mastdrift.standin.LossyRelay;
import mastdrift.standin.StandInCharger;
import mastdrift.standin.StandInRadiusServer;
import mastdrift.standin.StandInRadiusServer.Manner;
import org.aaa4j.radius.client.IntervalRetransmissionStrategy;
import org.aaa4j.radius.client.clients.UdpRadiusClient;
import org.aaa4j.radius.core.attribute.EnumData;
import org.aaa4j.radius.core.attribute.StringData;
import org.aaa4j.radius.core.attribute.TextData;
import org.aaa4j.radius.core.attribute.attributes.AcctSessionId;
import org.aaa4j.radius.core.attribute.attributes.AcctStatusType;
import org.aaa4j.radius.core.attribute.attributes.ChapPassword;
import org.aaa4j.radius.core.attribute.attributes.MessageAuthenticator;
import org.aaa4j.radius.core.attribute.attributes.UserName;
import org.aaa4j.radius.core.attribute.attributes.UserPassword;
import org.aaa4j.radius.core.dictionary.dictionaries.StandardDictionary;
import org.aaa4j.radius.core.packet.packets.AccessAccept;
import org.aaa4j.radius.core.packet.packets.AccessRequest;
import org.aaa4j.radius.core.packet.packets.AccountingRequest;
import org.aaa4j.radius.core.packet.packets.AccountingResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The front and the transport over loopback: scripted servers, and chargers by hand and by a library of others. */
class RadiusEdgeTest {

    private static final int WAIT_SECONDS = 30;
    private static final byte[] CHARGER = "the charger's".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SERVER = "the servers'".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] STRANGER = "a stranger's".getBytes(StandardCharsets.US_ASCII);

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Clock clock = Clock.system();
    private final Effects effects = new Effects(60_000_000);
    private final List<StandInRadiusServer> servers = new ArrayList<>();
    private final List<DatagramSocket> sockets = new ArrayList<>();
    private final Authenticators charger = new Authenticators(CHARGER);
    private Ledger ledger;
    private Pool pool;
    private DropCounters drops;
    private RadiusFront front;

    @BeforeEach
    void start() throws Exception {
        onLoop(() -> {
            drops = new DropCounters(clock::now, line -> { });
            ledger = new Ledger(Timers.of(loop), clock, 1000, line -> { });
            pool = new Pool("radius", ledger, new Balance(), settings(), new RadiusTransport(loop, clock::now,
                    uid -> SERVER, drops));
            pool.start(Source.TELLS, List.of());
            RadiusClients clients = new RadiusClients(List.of(new RadiusClients.Client("chargers",
                    AddressRange.parse("127.0.0.0/30"), new Authenticators(CHARGER), null, true)));
            front = new RadiusFront(loop, ledger, (name, tenant, key) -> pool, clients,
                    new RadiusFront.Classes("access", "conversation", "accounting", 4_000_000, 4_000_000),
                    new DuplicateCache(30_000_000, 1 << 16, 16 << 20), drops);
            return front.listen(new InetSocketAddress("127.0.0.1", 0));
        }).sync();
    }

    @AfterEach
    void stop() {
        servers.forEach(StandInRadiusServer::close);
        sockets.forEach(DatagramSocket::close);
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(Callable<T> what) throws Exception {
        return loop.submit(what).get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static Settings settings() {
        List<RequestClass> classes = List.of(
                new RequestClass("access", 1_000_000, 0, 4_000_000, 1, 0.5, Repeat.SAFE, Group.ALL, 0, false),
                new RequestClass("conversation", 1_000_000, 0, 4_000_000, 1, 0.5, Repeat.UNSAFE, Group.ALL, 0, false),
                new RequestClass("accounting", 1_000_000, 0, 4_000_000, 1, 0.5, Repeat.UNSAFE, Group.ALL, 0, false));
        return new Settings(classes, List.of(), new Limits(true, false, true, false, 4, 1000, true, 1_000_000),
                new Links(250_000, 15_000_000, 1), new Cpu(Long.MAX_VALUE, 0),
                new Rules(50_000, 250_000, 0, 0.13, 24_000_000, 3, 2_000_000),
                new Value(new Goal(1, 0, 0, 0), new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 0.05, false),
                new Site(0, 1, "a", List.of("a"), List.of(), 0, List.of()),
                new Habits(true, false, Reports.OFF, List.of(), false), false, Weights.NOMINAL, "", 0, 1);
    }

    /** One that drops nobody's repeats but its own. */
    private StandInRadiusServer server(String name, long work) throws IOException {
        return server(name, name, work);
    }

    private StandInRadiusServer server(String name, String group, long work) throws IOException {
        StandInRadiusServer server = new StandInRadiusServer(name, group, effects, SERVER, work);
        servers.add(server);
        return server;
    }

    /** The pool's servers, all of which but these are up. */
    private void list(String... leaving) throws Exception {
        List<Member> members = servers.stream().map(server -> new Member(new Host(server.name(), "a", 0, "", 1,
                List.of(leaving).contains(server.name()) ? Health.LEAVING : Health.UP, 0),
                new InetSocketAddress("127.0.0.1", server.port()))).toList();
        onLoop(() -> {
            pool.learn(ListForm.FULL, members);
            return null;
        });
    }

    private DatagramSocket socket() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        socket.setSoTimeout(WAIT_SECONDS * 1000);
        sockets.add(socket);
        return socket;
    }

    private void send(DatagramSocket from, byte[] bytes) throws IOException {
        from.send(new DatagramPacket(bytes, bytes.length, front.address()));
    }

    private static byte[] receive(DatagramSocket socket) throws IOException {
        DatagramPacket datagram = new DatagramPacket(new byte[5000], 5000);
        socket.receive(datagram);
        return Arrays.copyOf(datagram.getData(), datagram.getLength());
    }

    /** That nothing more has come once the gateway and the servers have done what they were asked before. */
    private void nothingMore(DatagramSocket socket) throws Exception {
        onLoop(() -> null);
        socket.setSoTimeout(50);
        try {
            assertNull(receive(socket), "nothing more");
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(WAIT_SECONDS * 1000);
        }
    }

    private static void await(BooleanSupplier holds, String what) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(2);
        }
    }

    private static byte[] authenticator(int seed) {
        byte[] bytes = new byte[16];
        Arrays.fill(bytes, (byte) seed);
        return bytes;
    }

    private Packet access(int identifier, Attribute... attributes) {
        return charger.signRequest(new Packet(Code.ACCESS_REQUEST, identifier, authenticator(identifier + 1),
                List.of(attributes)));
    }

    private Packet accounting(int identifier, String session, int delay) {
        return charger.signRequest(new Packet(Code.ACCOUNTING_REQUEST, identifier, new byte[16], List.of(
                new Attribute(Attribute.ACCT_STATUS_TYPE, new byte[] {0, 0, 0, 1}),
                new Attribute(Attribute.ACCT_SESSION_ID, session.getBytes(StandardCharsets.US_ASCII)),
                new Attribute(Attribute.ACCT_DELAY_TIME, new byte[] {0, 0, 0, (byte) delay}))));
    }

    private Packet answered(DatagramSocket socket, Packet request) throws Exception {
        Packet answer = Packet.read(receive(socket));
        assertEquals(request.identifier(), answer.identifier());
        assertTrue(charger.answers(answer, request.authenticator(), request.code() == Code.ACCESS_REQUEST));
        return answer;
    }

    /** That one accounting request has failed. */
    private void awaitFailed() throws InterruptedException {
        await(() -> {
            try {
                return onLoop(() -> ledger.count().of("accounting").failed()) == 1;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }, "it fails in time");
    }

    private long dropped(DropCounters.Cause cause) throws Exception {
        return onLoop(() -> drops.count(cause));
    }

    // ---- by a library of others

    /** A PAP, a CHAP and an accounting exchange, by a client that others wrote. */
    @Test
    void aLibrarysClientIsServed() throws Exception {
        StandInRadiusServer server = server("one", 1_000);
        list();
        try (UdpRadiusClient client = UdpRadiusClient.newBuilder().address(front.address()).secret(CHARGER)
                .dictionary(new StandardDictionary())
                .retransmissionStrategy(new IntervalRetransmissionStrategy(3, Duration.ofSeconds(5))).build()) {
            byte[] password = "arctangent".getBytes(StandardCharsets.US_ASCII);
            assertTrue(client.send(new AccessRequest(List.of(new MessageAuthenticator(), new UserName(new TextData("nemo")),
                    new UserPassword(new StringData(password))))) instanceof AccessAccept);
            byte[] hidden = server.requests().get(0).first(Attribute.USER_PASSWORD);
            MessageDigest md5 = MessageDigest.getInstance("MD5");
            md5.update(SERVER);
            byte[] stream = md5.digest(server.requests().get(0).authenticator());
            for (int i = 0; i < password.length; i++) {
                assertEquals(password[i], (byte) (hidden[i] ^ stream[i]), "hidden with the server's secret");
            }
            assertTrue(client.send(new AccessRequest(List.of(new MessageAuthenticator(), new UserName(new TextData("nemo")),
                    new ChapPassword(new StringData(new byte[17]))))) instanceof AccessAccept);
            assertEquals(16, server.requests().get(1).first(Attribute.CHAP_CHALLENGE).length, "its authenticator goes along");
            assertTrue(client.send(new AccountingRequest(List.of(new AcctStatusType(new EnumData(1)),
                    new AcctSessionId(new TextData("s1"))))) instanceof AccountingResponse);
        }
        assertEquals(3, server.runs());
    }

    // ---- resends

    @Test
    void aResendJoinsAndThenGetsTheSameBytes() throws Exception {
        StandInRadiusServer server = server("one", 200_000);
        list();
        DatagramSocket socket = socket();
        Packet request = access(5);
        for (int i = 0; i < 4; i++) {
            send(socket, request.write());
        }
        byte[] answer = receive(socket);
        nothingMore(socket);
        send(socket, request.write());
        assertArrayEquals(answer, receive(socket));
        assertEquals(1, server.runs());
        Packet other = charger.signRequest(new Packet(Code.ACCESS_REQUEST, 5, authenticator(99), List.of()));
        send(socket, other.write());
        answered(socket, other);
        DatagramSocket another = socket();
        send(another, request.write());
        answered(another, request);
        assertEquals(3, server.runs(), "another authenticator and another port are other requests");
    }

    /** The hard case of a start that comes again with a new identifier, since its delay went up. */
    @Test
    void aStartWithAnotherDelayRunsOnceAndEachPacketIsAnswered() throws Exception {
        StandInRadiusServer server = server("one", 200_000);
        list();
        DatagramSocket socket = socket();
        Packet first = accounting(1, "s1", 0);
        Packet second = accounting(2, "s1", 3);
        send(socket, first.write());
        send(socket, second.write());
        answered(socket, first);
        answered(socket, second);
        Packet third = accounting(3, "s1", 6);
        send(socket, third.write());
        answered(socket, third);
        assertEquals(1, server.runs());
        assertEquals(0, effects.twice() + effects.dropped());
        Packet other = accounting(4, "s2", 0);
        send(socket, other.write());
        answered(socket, other);
        assertEquals(2, server.runs());
    }

    /** A conversation keeps its server: any other would reject its State, and a reject would be the gateway's making. */
    @Test
    void conversationsKeepTheirServer() throws Exception {
        for (String name : List.of("one", "two", "three")) {
            server(name, 1_000).manner(Manner.CHALLENGE);
        }
        list();
        DatagramSocket socket = socket();
        int identifier = 0;
        for (int i = 0; i < 30; i++) {
            byte[] state = null;
            Code code = Code.ACCESS_CHALLENGE;
            for (int round = 0; code == Code.ACCESS_CHALLENGE; round++) {
                Packet request = charger.signRequest(new Packet(Code.ACCESS_REQUEST, identifier, authenticator(identifier + 3),
                        state == null ? List.of() : List.of(new Attribute(Attribute.STATE, state))));
                identifier = identifier + 1 & 255;
                send(socket, request.write());
                Packet answer = answered(socket, request);
                code = answer.code();
                state = answer.first(Attribute.STATE);
                assertTrue(round < 3);
            }
            assertEquals(Code.ACCESS_ACCEPT, code, "conversation " + i);
        }
        assertTrue(servers.stream().allMatch(server -> server.runs() > 0), "each held some");
        assertEquals(90, servers.stream().mapToLong(StandInRadiusServer::runs).sum());
    }

    /** Where its server drains, a conversation ends in silence: another server's reject would be for no card. */
    @Test
    void aConversationWhoseServerDrainsIsTakenToNoOther() throws Exception {
        for (String name : List.of("one", "two", "three")) {
            server(name, 1_000).manner(Manner.CHALLENGE);
        }
        list();
        DatagramSocket socket = socket();
        Packet first = access(1);
        send(socket, first.write());
        byte[] state = answered(socket, first).first(Attribute.STATE);
        list(new String(state, StandardCharsets.US_ASCII).split(" ")[0]);
        send(socket, charger.signRequest(new Packet(Code.ACCESS_REQUEST, 2, authenticator(2),
                List.of(new Attribute(Attribute.STATE, state)))).write());
        await(() -> {
            try {
                return onLoop(() -> ledger.count().of("conversation").refused() + ledger.count().of("conversation").failed()) == 1;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }, "given up at once");
        nothingMore(socket);
        assertEquals(1, servers.stream().mapToLong(StandInRadiusServer::runs).sum());
    }

    /** Three servers behind a network that loses, doubles and holds back a twentieth each, both ways on both sides, one server
        slowed, one drained: everything is answered once, and counts at chargers and ledger agree. */
    @Test
    void aNetworkThatLosesOnBothSides() throws Exception {
        server("fast", "all", 2_000);
        server("slow", "all", 20_000);
        StandInRadiusServer leaving = server("leaving", "all", 2_000);
        List<LossyRelay> relays = new ArrayList<>();
        try (LossyRelay network = new LossyRelay(front.address(), 0.05, 1)) {
            List<Member> members = new ArrayList<>();
            for (StandInRadiusServer server : servers) {
                LossyRelay relay = new LossyRelay(new InetSocketAddress("127.0.0.1", server.port()), 0.05, 2);
                relays.add(relay);
                members.add(new Member(new Host(server.name(), "a", 0, "", 1, Health.UP, 0), relay.address()));
            }
            learn(members);
            try (StandInCharger site = new StandInCharger(network.address(), CHARGER, 1, 1000, 400, 700)) {
                await(() -> leaving.runs() > 20, "it serves");
                members.set(2, new Member(new Host("leaving", "a", 0, "", 1, Health.LEAVING, 0), relays.get(2).address()));
                learn(members);
                long told = System.nanoTime();
                assertTrue(site.join(WAIT_SECONDS * 1000), "answered " + site.answered());
                assertEquals(1000, site.answered());
                assertEquals(0, site.wrong());
                assertTrue(leaving.lastAt() - told < 250_000_000L + 30_000_000L, "nothing new after the grace and the relay's hold");
            }
            assertTrue(network.lost() > 20, "lost " + network.lost());
        } finally {
            relays.forEach(LossyRelay::close);
        }
        assertEquals(0, effects.twice());
        assertEquals(0, onLoop(() -> ledger.open()));
        long served = onLoop(() -> ledger.count().of("access").served() + ledger.count().of("accounting").served());
        long failed = onLoop(() -> ledger.count().of("access").failed() + ledger.count().of("accounting").failed());
        assertEquals(1000, served, "each once; failed meanwhile " + failed);
    }

    private void learn(List<Member> members) throws Exception {
        List<Member> all = List.copyOf(members);
        onLoop(() -> {
            pool.learn(ListForm.FULL, all);
            return null;
        });
    }

    // ---- answers that are none

    @Test
    void whatIsNoAnswerIsDroppedAndTheRightOneGetsThrough() throws Exception {
        StandInRadiusServer server = server("one", 20_000);
        server.manner(Manner.LIE);
        list();
        DatagramSocket socket = socket();
        for (Packet request : List.of(access(1), accounting(2, "s", 0))) {
            send(socket, request.write());
            Code code = answered(socket, request).code();
            assertEquals(request.code() == Code.ACCESS_REQUEST ? Code.ACCESS_ACCEPT : Code.ACCOUNTING_RESPONSE, code);
        }
        assertEquals(1, dropped(DropCounters.Cause.NOT_SIGNED), "of the access request; of the other it is the wrong code first");
        assertEquals(1, dropped(DropCounters.Cause.NO_PROXY_STATE));
        assertEquals(4, dropped(DropCounters.Cause.WRONG_CODE));
        assertEquals(2, dropped(DropCounters.Cause.MALFORMED));
        server.manner(Manner.TWICE);
        Packet request = access(3);
        send(socket, request.write());
        answered(socket, request);
        await(() -> {
            try {
                return dropped(DropCounters.Cause.NOT_ASKED) == 1;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }, "the second answer is dropped");
        nothingMore(socket);
    }

    // ---- requests that are none

    @Test
    void whatIsNoRequestIsDroppedAndCounted() throws Exception {
        StandInRadiusServer server = server("one", 1_000);
        list();
        DatagramSocket socket = socket();
        Packet bare = new Packet(Code.ACCESS_REQUEST, 1, authenticator(1), List.of());
        send(socket, bare.write());
        send(socket, new Authenticators(STRANGER).signRequest(bare).write());
        send(socket, new Authenticators(STRANGER).signRequest(accounting(2, "s", 0)).write());
        send(socket, new byte[] {1, 2, 3});
        send(socket, new byte[5000]);
        send(socket, new Packet(Code.ACCESS_ACCEPT, 1, authenticator(1), List.of()).write());
        DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.9"));
        sockets.add(stranger);
        send(stranger, access(1).write());
        Packet status = charger.signRequest(new Packet(Code.STATUS_SERVER, 7, authenticator(7), List.of()));
        send(socket, status.write());
        assertEquals(Code.ACCESS_ACCEPT, answered(socket, status).code(), "asked whether it is there, the front answers itself");
        assertEquals(3, dropped(DropCounters.Cause.NOT_SIGNED));
        assertEquals(2, dropped(DropCounters.Cause.MALFORMED));
        assertEquals(1, dropped(DropCounters.Cause.WRONG_CODE));
        assertEquals(1, dropped(DropCounters.Cause.UNKNOWN_CLIENT));
        assertEquals(0, server.requests().size());
        nothingMore(socket);
    }

    /** What the gateway doesn't know goes on unchanged and in order; one Proxy-State is added behind, and taken off again. */
    @Test
    void attributesAndProxyStatesStayInOrder() throws Exception {
        StandInRadiusServer server = server("one", 1_000);
        list();
        DatagramSocket socket = socket();
        List<Attribute> attributes = List.of(new Attribute(241, new byte[] {1}), new Attribute(Attribute.PROXY_STATE,
                new byte[] {2}), new Attribute(1, new byte[] {3}), new Attribute(241, new byte[] {4}),
                new Attribute(Attribute.PROXY_STATE, new byte[] {5}));
        Packet request = access(1, attributes.toArray(new Attribute[0]));
        send(socket, request.write());
        Packet answer = answered(socket, request);
        List<Attribute> came = server.requests().get(0).attributes();
        assertEquals(Attribute.MESSAGE_AUTHENTICATOR, came.get(0).type());
        assertEquals(attributes, came.subList(1, 6));
        assertEquals(Attribute.PROXY_STATE, came.get(6).type());
        assertEquals(7, came.size());
        assertEquals(List.of(attributes.get(1), attributes.get(4)), answer.attributes().stream()
                .filter(a -> a.type() == Attribute.PROXY_STATE).toList());
    }

    /** What a server says of its refusal passes on as it is: Error-Cause (RFC 5176, 3.6) and Reply-Message, in their order. */
    @Test
    void aRejectKeepsItsCause() throws Exception {
        server("one", 1_000).manner(Manner.REJECT);
        list();
        DatagramSocket socket = socket();
        Packet request = access(1);
        send(socket, request.write());
        Packet answer = answered(socket, request);
        assertEquals(Code.ACCESS_REJECT, answer.code());
        assertEquals(List.of(new Attribute(18, "one".getBytes(StandardCharsets.US_ASCII)),
                new Attribute(101, new byte[] {0, 0, 1, (byte) 0x91}),
                new Attribute(18, "card unknown here".getBytes(StandardCharsets.US_ASCII))), answer.attributes().stream()
                        .filter(a -> a.type() != Attribute.MESSAGE_AUTHENTICATOR).toList());
    }

    // ---- the rules

    /** The hard case of a server that was restarted between two tries: it knows nothing of the packet that it ran before, so
        the same packet is not sent to it again, and the start fails without a second run. */
    @Test
    void aServerThatWasRestartedGetsNoResend() throws Exception {
        StandInRadiusServer server = server("one", 1_000);
        server.manner(Manner.SILENT);
        list();
        DatagramSocket socket = socket();
        send(socket, accounting(1, "s1", 0).write());
        await(() -> server.runs() == 1, "it runs");
        server.restart();
        server.manner(Manner.SERVE);
        learn(List.of(new Member(new Host("one", "a", 0, "", 1, Health.UP, clock.now()),
                new InetSocketAddress("127.0.0.1", server.port()))));
        awaitFailed();
        assertEquals(1, server.runs(), "the same packet was not sent to what is another server now");
        assertEquals(0, effects.twice());
        nothingMore(socket);
    }

    /** Silence for a failure: an accounting packet that may have run goes nowhere else, and the ledger has one answer. */
    @Test
    void accountingThatMayHaveRunGoesNowhereElse() throws Exception {
        server("one", 1_000).manner(Manner.SILENT);
        server("two", 1_000).manner(Manner.SILENT);
        list();
        DatagramSocket socket = socket();
        send(socket, accounting(1, "s1", 0).write());
        awaitFailed();
        assertEquals(1, servers.get(0).runs() + servers.get(1).runs());
        nothingMore(socket);
        assertEquals(0, onLoop(() -> ledger.open()));
    }

    /** Three servers, one slowed ten times, one drained in the middle of a burst, one silent from then on, with packets lost
        and doubled on the way: every charger that resends gets exactly one answer, and nothing runs twice. */
    @Test
    void aBurstThroughADrain() throws Exception {
        StandInRadiusServer fast = server("fast", 2_000);
        StandInRadiusServer slow = server("slow", 20_000);
        StandInRadiusServer leaving = server("leaving", 2_000);
        list();
        DatagramSocket socket = socket();
        Map<Integer, Packet> requests = new HashMap<>();
        Map<Integer, byte[]> answers = new HashMap<>();
        long told = Long.MAX_VALUE;
        for (int i = 0; i < 200; i++) {
            Packet request = i % 2 == 0 ? access(i) : accounting(i, "s" + i, 0);
            requests.put(i, request);
            byte[] bytes = request.write();
            for (int copies = i % 20 == 7 ? 0 : i % 20 == 13 ? 2 : 1; copies > 0; copies--) {
                send(socket, bytes);
            }
            if (i == 100) {
                await(() -> leaving.runs() > 3, "it serves");
                list("leaving");
                told = System.nanoTime();
            }
            TimeUnit.MICROSECONDS.sleep(1_000);
        }
        socket.setSoTimeout(300);
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (answers.size() < requests.size()) {
            assertTrue(System.nanoTime() < until, "answered " + answers.size());
            try {
                byte[] answer = receive(socket);
                byte[] before = answers.put(answer[1] & 0xFF, answer);
                assertTrue(before == null || Arrays.equals(before, answer), "the same bytes again or none");
            } catch (SocketTimeoutException e) {
                for (Map.Entry<Integer, Packet> missing : requests.entrySet()) {
                    if (!answers.containsKey(missing.getKey())) {
                        send(socket, missing.getValue().write());
                    }
                }
            }
        }
        for (Map.Entry<Integer, Packet> request : requests.entrySet()) {
            assertTrue(charger.answers(Packet.read(answers.get(request.getKey())), request.getValue().authenticator(), false));
        }
        assertEquals(0, effects.twice() + effects.dropped());
        assertEquals(200, fast.runs() + slow.runs() + leaving.runs());
        assertEquals(200, onLoop(() -> ledger.count().of("access").served() + ledger.count().of("accounting").served()));
        assertTrue(leaving.lastAt() - told < 250_000_000L, "nothing new after the grace");
        assertEquals(0, onLoop(() -> ledger.open()));
    }
}
