package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import mastdrift.lab.rig.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Signed connections over loopback: authentic messages arrive, others are refused with their code. */
class PeerLinksTest {

    private static final int MAX_WAIT_SECONDS = 30;
    private static final byte[] KEY = "one key".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NEXT_KEY = "the next key".getBytes(StandardCharsets.UTF_8);
    private static final int MAX_CONNECTIONS = 8;
    // Netty itself pauses for a second after a failed accept.
    private static final long MAX_ACCEPT_MILLIS = 500;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<TestPeer> peers = new ArrayList<>();

    private final class TestPeer implements PeerLinks.Listener {
        private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> refusals = new LinkedBlockingQueue<>();
        private final AtomicInteger closedOutbound = new AtomicInteger();
        private final PeerLinks links;

        TestPeer(String installation, String name, byte[]... keys) {
            this(installation, name, NioServerSocketChannel::new, keys);
        }

        TestPeer(String installation, String name, Supplier<? extends ServerChannel> listener, byte[]... keys) {
            links = new PeerLinks(loop, installation, name, MAX_CONNECTIONS, this);
            loop.submit(() -> {
                links.setGeneration(name.hashCode() & 0xFF);
                links.setKeys(List.of(keys));
            }).syncUninterruptibly();
            links.setServerChannelFactory(listener::get);
            links.listen(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly();
            peers.add(this);
        }

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            received.add(from + " " + kind + " " + (message.length > 100 ? message.length
                    : new String(message, StandardCharsets.UTF_8)));
        }

        @Override
        public void refused(String code, String peer, String description) {
            refusals.add(code);
        }

        @Override
        public void outboundClosed(String to) {
            closedOutbound.incrementAndGet();
        }

        void setAddress(String name, InetSocketAddress address) {
            loop.submit(() -> links.setAddresses(Map.of(name, address))).syncUninterruptibly();
        }

        boolean send(String to, String text) {
            return loop.submit(() -> links.send(to, (byte) 7, text.getBytes(StandardCharsets.UTF_8)))
                    .syncUninterruptibly().getNow();
        }

        PeerLinks.Counts counts() {
            return loop.submit(links::counts).syncUninterruptibly().getNow();
        }
    }

    @AfterEach
    void close() {
        loop.submit(() -> peers.forEach(peer -> peer.links.close())).syncUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static String next(BlockingQueue<String> queue) throws InterruptedException {
        return queue.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends until one message arrives: a connection that was refused or reset is retried after a delay. */
    private static String sendUntilReceived(TestPeer sender, String to, TestPeer receiver,
            String text) throws InterruptedException {
        for (int tries = 0; tries < 100; tries++) {
            sender.send(to, text);
            String message = receiver.received.poll(100, TimeUnit.MILLISECONDS);
            if (message != null) {
                return message;
            }
        }
        return null;
    }

    @Test
    void messagesArriveInOrderWhileAKeyIsReplaced() throws Exception {
        TestPeer a = new TestPeer("norte", "a", KEY);
        TestPeer b = new TestPeer("norte", "b", KEY, NEXT_KEY);
        a.setAddress("b", b.links.address());
        for (int i = 0; i < 50; i++) {
            assertTrue(a.send("b", "m" + i));
        }
        for (int i = 0; i < 50; i++) {
            assertEquals("a 7 m" + i, next(b.received));
        }
        loop.submit(() -> {
            a.links.setKeys(List.of(NEXT_KEY));
            a.links.setGeneration(1_000);  // opens a new connection
        }).syncUninterruptibly();
        assertEquals("a 7 by the next key", sendUntilReceived(a, "b", b, "by the next key"));
        loop.submit(() -> b.links.setKeys(List.of(NEXT_KEY))).syncUninterruptibly();
        assertEquals("a 7 after it", sendUntilReceived(a, "b", b, "after it"));
        assertEquals(0, b.refusals.size());
    }

    @Test
    void connectionsWithAWrongKeyInstallationOrNameAreRefused() throws Exception {
        TestPeer b = new TestPeer("norte", "b", KEY);
        TestPeer stranger = new TestPeer("norte", "c", NEXT_KEY);
        stranger.setAddress("b", b.links.address());
        stranger.send("b", "x");
        assertEquals("peer_signature", next(b.refusals));
        TestPeer elsewhere = new TestPeer("sur", "c", KEY);
        elsewhere.setAddress("b", b.links.address());
        elsewhere.send("b", "x");
        assertEquals("peer_elsewhere", next(b.refusals));
        TestPeer twin = new TestPeer("norte", "b", KEY);
        twin.setAddress("b", b.links.address());
        twin.send("b", "x");
        assertEquals("peer_own_name", next(b.refusals));
        TestPeer misled = new TestPeer("norte", "d", KEY);
        misled.setAddress("e", b.links.address());
        misled.send("e", "x");
        assertEquals("peer_elsewhere", next(b.refusals));
        assertEquals(0, b.received.size());
        assertFalse(b.send("nobody", "x"), "unknown address");
    }

    /**
     * A scripted connector sends a valid hello, then messages that are replayed, of another connection, changed, of 10
     * MB or truncated.
     */
    @Test
    void messageThatIsForgedReplayedTooLargeOrTruncatedClosesTheConnection() throws Exception {
        TestPeer b = new TestPeer("norte", "b", KEY);
        byte[] first;
        try (ScriptedConnector connector = new ScriptedConnector(b)) {
            first = connector.message(1, "good");
            connector.out.write(first);
            assertEquals("hand 7 good", next(b.received));
            connector.out.write(first);  // replayed
            assertEquals("peer_signature", next(b.refusals));
            assertTrue(connector.awaitClosed());
        }
        try (ScriptedConnector connector = new ScriptedConnector(b)) {
            connector.out.write(first);  // of another connection
            assertEquals("peer_signature", next(b.refusals));
        }
        try (ScriptedConnector connector = new ScriptedConnector(b)) {
            byte[] changed = connector.message(1, "good");
            changed[6] ^= 1;
            connector.out.write(changed);
            assertEquals("peer_signature", next(b.refusals));
        }
        try (ScriptedConnector connector = new ScriptedConnector(b)) {
            connector.out.write(ByteBuffer.allocate(4).putInt(10 << 20).array());
            assertEquals("peer_too_large", next(b.refusals));
            assertTrue(connector.awaitClosed());
        }
        try (ScriptedConnector connector = new ScriptedConnector(b)) {
            connector.out.write(Arrays.copyOf(connector.message(1, "cut"), 9));
        }
        try (ScriptedConnector connector = new ScriptedConnector(b)) {
            connector.out.write(connector.message(1, "still there"));
            assertEquals("hand 7 still there", next(b.received));
        }
    }

    /** Connections that send no hello: no more than the bound are held, and authentic peers are still accepted. */
    @Test
    void numberOfUnauthenticatedConnectionsIsBounded() throws Exception {
        TestPeer b = new TestPeer("norte", "b", KEY);
        TestPeer a = new TestPeer("norte", "a", KEY);
        a.setAddress("b", b.links.address());
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * PeerLinks.MIN_UNAUTHENTICATED_LIMIT; i++) {
                Socket socket = new Socket();
                socket.connect(b.links.address());
                sockets.add(socket);
            }
            assertEquals("peer_flood", next(b.refusals));
            assertEquals("a 7 through", sendUntilReceived(a, "b", b, "through"));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /**
     * Guards against connections that send nothing and hold every place for a handshake: a genuine peer was refused for
     * as long. The oldest of them makes room.
     */
    @Test
    void silentConnectionsDoNotKeepAPeerOut() throws Exception {
        TestPeer b = new TestPeer("norte", "b", KEY);
        TestPeer a = new TestPeer("norte", "a", KEY);
        a.setAddress("b", b.links.address());
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < PeerLinks.MIN_UNAUTHENTICATED_LIMIT; i++) {
                Socket socket = new Socket();
                sockets.add(socket);
                socket.setSoTimeout(MAX_WAIT_SECONDS * 1_000);
                socket.connect(b.links.address());
                assertTrue(socket.getInputStream().read() >= 0, "challenged, so it holds a place");
            }
            assertEquals("a 7 through", sendUntilReceived(a, "b", b, "through"));
            assertEquals(0, a.closedOutbound.get(), "its connection was not refused");
            sockets.get(0).getInputStream().readAllBytes();
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /**
     * Guards against connections of gateways that have vanished without a word and hold every place: the gateways that
     * came in their stead were refused for good.
     */
    @Test
    void connectionsThatAreSilentMakeRoomForAnotherPeer() throws Exception {
        TestPeer b = new TestPeer("norte", "b", KEY);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            TestPeer earlier = new TestPeer("norte", "earlier" + i, KEY);
            earlier.setAddress("b", b.links.address());
            assertTrue(sendUntilReceived(earlier, "b", b, "x").startsWith("earlier" + i));
        }
        TestPeer a = new TestPeer("norte", "a", KEY);
        a.setAddress("b", b.links.address());
        assertEquals("a 7 through", sendUntilReceived(a, "b", b, "through"));
    }

    /** Connections on which messages arrive keep their places: who comes beside them is refused. */
    @Test
    void connectionsInUseDoNotMakeRoomForAnotherPeer() throws Exception {
        TestPeer b = new TestPeer("norte", "b", KEY);
        List<TestPeer> earlier = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            earlier.add(new TestPeer("norte", "earlier" + i, KEY));
            earlier.get(i).setAddress("b", b.links.address());
            assertTrue(sendUntilReceived(earlier.get(i), "b", b, "x").startsWith("earlier" + i));
        }
        TestPeer a = new TestPeer("norte", "a", KEY);
        a.setAddress("b", b.links.address());
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2 * PeerLinks.SILENCE_TIMEOUT_MILLIS);
        while (System.nanoTime() < deadlineNanos) {
            earlier.forEach(each -> each.send("b", "x"));
            a.send("b", "beside them");
            Thread.sleep(50);
        }
        assertTrue(b.refusals.contains("peer_too_many"));
        assertTrue(b.received.stream().noneMatch(message -> message.startsWith("a ")), b.received.toString());
        assertTrue(earlier.stream().allMatch(each -> each.closedOutbound.get() == 0), "no connection in use was closed");
    }

    /** A listener whose next accepts fail; waiting connections stay in the listen backlog. */
    private static final class FailingListener extends NioServerSocketChannel {

        private final AtomicInteger failures;

        FailingListener(AtomicInteger failures) {
            this.failures = failures;
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (failures.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
                throw new IOException("Too many open files");
            }
            return super.doReadMessages(accepted);
        }
    }

    /** A failed accept holds up the peers that wait for a moment, and not for a second. */
    @Test
    void peerConnectsSoonAfterAnAcceptFails() throws Exception {
        AtomicInteger failures = new AtomicInteger();
        TestPeer b = new TestPeer("norte", "b", () -> new FailingListener(failures), KEY);
        TestPeer first = new TestPeer("norte", "first", KEY);
        first.setAddress("b", b.links.address());
        assertTrue(first.send("b", "loads classes"));
        assertTrue(next(b.received).startsWith("first"));
        TestPeer second = new TestPeer("norte", "second", KEY);
        second.setAddress("b", b.links.address());
        failures.set(1);
        long startNanos = System.nanoTime();
        assertTrue(second.send("b", "x"));
        assertTrue(next(b.received).startsWith("second"));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(failures.get() == 0 && millis < MAX_ACCEPT_MILLIS, "received after " + millis + " ms");
    }

    /**
     * A peer that takes what is sent and no longer answers has vanished: its connection is closed, and a new one is
     * tried.
     */
    @Test
    void silentPeerIsDisconnectedAndReconnected() throws Exception {
        TestPeer a = new TestPeer("norte", "a", KEY);
        TestPeer b = new TestPeer("norte", "b", KEY);
        try (Relay relay = new Relay(loop, b.links.address(), 1)) {
            a.setAddress("b", relay.address());
            assertEquals("a 7 one", sendUntilReceived(a, "b", b, "one"));
            relay.weather(Relay.Weather.SILENT);
            a.send("b", "lost");
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
            while (loop.submit(() -> Boolean.TRUE.equals(a.links.outboundLinks().get("b"))).syncUninterruptibly()
                    .getNow()) {
                assertTrue(System.nanoTime() < deadlineNanos, "not disconnected");
                Thread.sleep(20);
            }
            relay.weather(Relay.Weather.FAIR);
            // a message that the relay held back may arrive late, before this one
            String message = sendUntilReceived(a, "b", b, "two");
            assertEquals("a 7 two", "a 7 lost".equals(message) ? sendUntilReceived(a, "b", b, "two") : message);
        }
    }

    /** A gateway's opening end, scripted after the protocol's specification. */
    private static final class ScriptedConnector implements AutoCloseable {
        private final Socket socket = new Socket();
        private final OutputStream out;
        private final DataInputStream in;
        private final MessageAuthenticator session;

        ScriptedConnector(TestPeer peer) throws IOException {
            socket.connect(peer.links.address());
            socket.setSoTimeout(MAX_WAIT_SECONDS * 1_000);
            out = socket.getOutputStream();
            in = new DataInputStream(socket.getInputStream());
            byte[] challenge = Arrays.copyOfRange(readFrame(), 2, 18);
            byte[] nonce = new byte[16];
            byte[] hello = com.fasterxml.jackson.jr.ob.JSON
                    .builder(new com.fasterxml.jackson.dataformat.cbor.CBORFactory()).build()
                    .asBytes(Arrays.asList("norte", "hand", 5L, "b", nonce));
            MessageAuthenticator key = new MessageAuthenticator(KEY);
            write((byte) 2, hello, key.sign(new byte[] {2}, challenge, hello));
            assertEquals(3, readFrame()[0]);
            session = key.deriveKey(new byte[] {'s'}, challenge, nonce);
        }

        private byte[] readFrame() throws IOException {
            return in.readNBytes(in.readInt());
        }

        private void write(byte type, byte[]... parts) throws IOException {
            out.write(framed(type, parts));
        }

        private static byte[] framed(byte type, byte[]... parts) {
            ByteBuffer frame = ByteBuffer.allocate(5 + Arrays.stream(parts).mapToInt(part -> part.length).sum());
            frame.putInt(frame.capacity() - 4).put(type);
            Arrays.stream(parts).forEach(frame::put);
            return frame.array();
        }

        byte[] message(long sequence, String text) {
            byte[] kind = {7};
            byte[] message = text.getBytes(StandardCharsets.UTF_8);
            return framed((byte) 4, kind, message, session.sign(sequence, new byte[] {'s'}, kind, message));
        }

        boolean awaitClosed() throws IOException {
            try {
                while (in.read() >= 0) {
                    continue;  // acknowledgements, perhaps
                }
            } catch (IOException e) {
                return true;
            }
            return true;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
