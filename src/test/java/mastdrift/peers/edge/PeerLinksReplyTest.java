package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.lab.rig.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Replies on a connection that the other end opened: authentic ones arrive, others close the connection, and a peer
 * that doesn't read costs a bounded amount.
 */
class PeerLinksReplyTest {

    private static final int MAX_WAIT_SECONDS = 30;
    private static final byte[] KEY = "one key".getBytes(StandardCharsets.UTF_8);
    private static final byte[] REPLY_LABEL = {'r'};

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<TestPeer> peers = new ArrayList<>();
    private final AtomicLong clockMillis = new AtomicLong(1_000_000);

    private final class TestPeer implements PeerLinks.Listener {
        private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> refusals = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> closures = new LinkedBlockingQueue<>();
        private final PeerLinks links;

        TestPeer(String name) {
            this(name, 8);
        }

        TestPeer(String name, int maxConnections) {
            links = new PeerLinks(loop, "norte", name, maxConnections, this, clockMillis::get);
            onLoop(() -> {
                links.setGeneration(5);
                links.setKeys(List.of(KEY));
                return null;
            });
            peers.add(this);
        }

        TestPeer listen() {
            links.listen(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly();
            return this;
        }

        TestPeer setAddress(String name, InetSocketAddress address) {
            onLoop(() -> {
                links.setAddresses(Map.of(name, address));
                return null;
            });
            return this;
        }

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            received.add(from + " " + generation + " " + kind + " "
                    + (message.length > 100 ? message.length : new String(message, StandardCharsets.UTF_8)));
        }

        @Override
        public void refused(String code, String peer, String description) {
            refusals.add(code + " " + peer);
        }

        @Override
        public void outboundClosed(String to) {
            closures.add("outbound closed " + to);
        }

        @Override
        public void inboundClosed(String from) {
            closures.add("inbound closed " + from);
        }

        boolean send(String to, String text) {
            return onLoop(() -> links.send(to, (byte) 7, text.getBytes(StandardCharsets.UTF_8)));
        }

        boolean reply(String to, String text) {
            return onLoop(() -> links.reply(to, (byte) 8, text.getBytes(StandardCharsets.UTF_8)));
        }
    }

    private <T> T onLoop(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    /** Advances the clock in steps of the sweep interval, with a sweep after each. */
    private void advanceTime(long millis) {
        for (long remaining = millis; remaining > 0; remaining -= PeerLinks.SWEEP_INTERVAL_MILLIS) {
            jumpTime(Math.min(remaining, PeerLinks.SWEEP_INTERVAL_MILLIS));
        }
    }

    /** Advances the clock at once with a single sweep, as for a process that was paused meanwhile. */
    private void jumpTime(long millis) {
        onLoop(() -> {
            clockMillis.addAndGet(millis);
            peers.forEach(peer -> peer.links.sweep());
            return null;
        });
    }

    @AfterEach
    void close() {
        loop.submit(() -> peers.forEach(peer -> peer.links.close())).syncUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static String next(BlockingQueue<String> queue) throws InterruptedException {
        return queue.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends until one message arrives: a connection that was refused or has ended is retried after a delay. */
    private void sendUntilReceived(TestPeer sender, String to, TestPeer receiver,
            String text) throws InterruptedException {
        String message = null;
        for (int tries = 0; message == null && tries < 300; tries++) {
            message = sender.send(to, text) ? next(receiver.received) : null;
            clockMillis.addAndGet(50);  // the retry delay may not be over yet
        }
        assertTrue(message != null && message.endsWith(text), message);
    }

    /** The opening end needs no listening socket; both directions run at once, up to the largest message. */
    @Test
    void repliesArriveInOrderOnTheConnectionThatTheOtherEndOpened() throws Exception {
        TestPeer b = new TestPeer("b").listen();
        TestPeer a = new TestPeer("a").setAddress("b", b.links.address());
        assertFalse(b.reply("a", "too soon"), "no connection open yet");
        assertTrue(a.send("b", "first"));
        assertEquals("a 5 7 first", next(b.received));
        for (int i = 0; i < 100; i++) {
            assertTrue(b.reply("a", "r" + i));
            assertTrue(a.send("b", "m" + i));
        }
        for (int i = 0; i < 100; i++) {
            assertEquals("b 0 8 r" + i, next(a.received));
            assertEquals("a 5 7 m" + i, next(b.received));
        }
        assertTrue(onLoop(() -> b.links.reply("a", (byte) 9, new byte[PeerLinks.MAX_MESSAGE_BYTES])));
        assertEquals("b 0 9 " + PeerLinks.MAX_MESSAGE_BYTES, next(a.received));
        assertFalse(onLoop(() -> b.links.reply("a", (byte) 9, new byte[PeerLinks.MAX_MESSAGE_BYTES + 1])), "too large");
        PeerLinks.Counts counts = onLoop(b.links::counts);
        assertEquals(101, counts.sent());
        assertEquals(onLoop(a.links::counts).receivedBytes(), counts.sentBytes());
        assertTrue(a.refusals.isEmpty() && b.refusals.isEmpty() && a.closures.isEmpty() && b.closures.isEmpty());
    }

    @Test
    void closingAConnectionIsReportedToTheOtherEndAndStopsReplies() throws Exception {
        TestPeer b = new TestPeer("b").listen();
        TestPeer a = new TestPeer("a").setAddress("b", b.links.address());
        sendUntilReceived(a, "b", b, "one");
        onLoop(() -> {
            a.links.closeOutbound("b");
            return null;
        });
        assertEquals("inbound closed a", next(b.closures));
        assertFalse(b.reply("a", "lost"));
        assertTrue(a.send("b", "two"), "at once");
        assertEquals("a 5 7 two", next(b.received));
        onLoop(() -> {
            b.links.closeInbound("a");
            return null;
        });
        assertFalse(b.reply("a", "lost"));
        assertEquals("outbound closed b", next(a.closures));
        sendUntilReceived(a, "b", b, "three");
        TestPeer twin = new TestPeer("a").setAddress("b", b.links.address());
        sendUntilReceived(twin, "b", b, "four");
        assertEquals("inbound closed a", next(b.closures),
                "the previous connection is reported closed before the message");
        assertTrue(b.reply("a", "to the twin"));
        assertEquals("b 0 8 to the twin", next(twin.received));
        assertEquals("outbound closed b", next(a.closures));
        onLoop(() -> {
            b.links.close();
            return null;
        });
        assertEquals("outbound closed b", next(twin.closures));
        assertFalse(b.reply("a", "closed"));
        assertTrue(a.received.isEmpty());
    }

    /**
     * A scripted acceptor sends a valid reply, then ones that are replayed, of another connection, after an omitted
     * one, reordered, changed, reflected from the other direction, unsigned or too large.
     */
    @Test
    void replyThatIsForgedReplayedOrOutOfOrderClosesTheConnection() throws Exception {
        try (ScriptedAcceptor peer = new ScriptedAcceptor()) {
            TestPeer a = new TestPeer("a").setAddress("hand", peer.address());
            byte[] good = peer.acceptSession(a).reply(1, "good");
            peer.write(good);
            assertEquals("hand 0 8 good", next(a.received));
            peer.write(good);
            assertRefusedAndClosed(peer, a);
            peer.acceptSession(a).write(good);  // of another connection
            assertRefusedAndClosed(peer, a);
            peer.acceptSession(a).write(peer.reply(2, "the first is left out"));
            assertRefusedAndClosed(peer, a);
            byte[] first = peer.acceptSession(a).reply(1, "x");
            peer.write(peer.reply(2, "y"), first);
            assertRefusedAndClosed(peer, a);
            byte[] changed = peer.acceptSession(a).reply(1, "good");
            changed[6] ^= 1;
            peer.write(changed);
            assertRefusedAndClosed(peer, a);
            byte[] own = peer.acceptSession(a).firstMessage.clone();  // the opening end's own message
            own[0] = 6;
            peer.write(ScriptedAcceptor.framed(own));
            assertRefusedAndClosed(peer, a);
            peer.acceptSession(a).write(ScriptedAcceptor.framed(new byte[] {6, 8}));  // no signature
            assertEquals("peer_unknown hand", next(a.refusals));
            assertEquals("outbound closed hand", next(a.closures));
            peer.acceptSession(a).write(ByteBuffer.allocate(4).putInt(10 << 20).array());
            assertEquals("outbound closed hand", next(a.closures));
            peer.acceptSession(a).write(peer.reply(1, "and still"));
            assertEquals("hand 0 8 and still", next(a.received));
            assertTrue(a.received.isEmpty());
        }
    }

    private void assertRefusedAndClosed(ScriptedAcceptor peer, TestPeer a) throws Exception {
        assertEquals("peer_signature hand", next(a.refusals));
        assertEquals("outbound closed hand", next(a.closures));
        assertTrue(peer.awaitClosed());
    }

    /**
     * As a build from before replies treats one: a frame of an unknown type is refused with its code and the connection
     * closed; the next one is opened and works.
     */
    @Test
    void unknownFrameTypeClosesTheConnectionAndTheNextOneWorks() throws Exception {
        try (ScriptedAcceptor peer = new ScriptedAcceptor()) {
            TestPeer a = new TestPeer("a").setAddress("hand", peer.address());
            peer.acceptSession(a).write(ScriptedAcceptor.framed(new byte[] {99, 1, 2, 3}));
            assertEquals("peer_unknown hand", next(a.refusals));
            assertEquals("outbound closed hand", next(a.closures));
            assertTrue(peer.awaitClosed());
            peer.acceptSession(a).write(peer.reply(1, "as before"));
            assertEquals("hand 0 8 as before", next(a.received));
        }
    }

    /**
     * An acknowledgement of replies that is forged, or that counts more than were sent, doesn't keep a connection open.
     */
    @Test
    void forgedReplyAckClosesTheConnection() throws Exception {
        TestPeer b = new TestPeer("b").listen();
        try (ScriptedConnector peer = new ScriptedConnector(b)) {
            peer.write((byte) 7, new byte[24]);
            assertEquals("peer_signature hand", next(b.refusals));
            assertEquals("inbound closed hand", next(b.closures));
        }
        try (ScriptedConnector peer = new ScriptedConnector(b)) {
            byte[] count = ByteBuffer.allocate(8).putLong(1).array();  // nothing was replied
            peer.write((byte) 7, count, peer.session.sign(-1, REPLY_LABEL, count));
            assertEquals("peer_signature hand", next(b.refusals));
        }
    }

    /**
     * A peer that reads nothing costs no more than the bound, replies to it are refused then, and it is disconnected.
     */
    @Test
    void slowReaderIsBoundedInPendingBytesAndDisconnected() throws Exception {
        TestPeer b = new TestPeer("b").listen();
        try (ScriptedConnector peer = new ScriptedConnector(b)) {
            peer.write((byte) 4, peer.message(1, "here"));
            assertEquals("hand 5 7 here", next(b.received));
            byte[] large = new byte[64 << 10];
            int acceptedReplies = 0;
            while (onLoop(() -> b.links.reply("hand", (byte) 8, large))) {
                assertTrue(++acceptedReplies < 1_024, "bounded");
            }
            assertTrue((long) acceptedReplies * large.length > PeerLinks.MAX_PENDING_WRITE_BYTES,
                    "accepted up to the limit");
            advanceTime(PeerLinks.SILENCE_TIMEOUT_MILLIS);
            assertTrue(b.closures.isEmpty(), "before the timeout");
            advanceTime(1);
            assertEquals("inbound closed hand", next(b.closures), "no progress");
            assertFalse(b.reply("hand", "x"));
            assertTrue(b.refusals.isEmpty());
        }
    }

    /**
     * Neither an end that only receives nor one that receives nothing for longer than the silence timeout is taken for
     * silent.
     */
    @Test
    void connectionThatOnlyReceivesStaysOpen() throws Exception {
        TestPeer b = new TestPeer("b").listen();
        TestPeer a = new TestPeer("a").setAddress("b", b.links.address());
        TestPeer quiet = new TestPeer("quiet").setAddress("b", b.links.address());
        sendUntilReceived(a, "b", b, "one");
        sendUntilReceived(quiet, "b", b, "one");
        for (int i = 0; i < 10; i++) {
            assertTrue(b.reply("a", "r" + i));
            assertEquals("b 0 8 r" + i, next(a.received));
            advanceTime(PeerLinks.SILENCE_TIMEOUT_MILLIS * 2 / 3);
            awaitAcknowledged(a, b);
        }
        advanceTime(PeerLinks.SILENCE_TIMEOUT_MILLIS * 2);
        assertTrue(b.reply("quiet", "at last"));
        assertEquals("b 0 8 at last", next(quiet.received));
        assertTrue(a.closures.isEmpty() && b.closures.isEmpty() && quiet.closures.isEmpty());
    }

    /** Waits until each end knows what the other has read. */
    private void awaitAcknowledged(TestPeer opened, TestPeer accepted) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_SECONDS);
        while (onLoop(() -> opened.links.unacknowledged() + accepted.links.unacknowledged()) > 0) {
            assertTrue(System.nanoTime() < deadlineNanos, "not all acknowledged");
            Thread.sleep(1);
        }
    }

    /**
     * Both ends of a connection are paused for longer than the silence timeout, with unread messages in each direction:
     * it stays; a connection that is silent afterwards still ends.
     */
    @Test
    void pauseOfThisProcessClosesNoConnection() throws Exception {
        TestPeer b = new TestPeer("b").listen();
        try (ScriptedAcceptor acceptor = new ScriptedAcceptor();
                ScriptedConnector connector = new ScriptedConnector(b)) {
            TestPeer a = new TestPeer("a").setAddress("hand", acceptor.address());
            acceptor.acceptSession(a);  // sends a message that is never acknowledged
            connector.write((byte) 4, connector.message(1, "here"));
            assertEquals("hand 5 7 here", next(b.received));
            assertTrue(b.reply("hand", "never heard"));
            jumpTime(PeerLinks.SILENCE_TIMEOUT_MILLIS * 4L);
            assertTrue(a.closures.isEmpty() && b.closures.isEmpty());
            advanceTime(PeerLinks.SILENCE_TIMEOUT_MILLIS + 1);
            assertEquals("outbound closed hand", next(a.closures));
            assertEquals("inbound closed hand", next(b.closures));
        }
    }

    /**
     * As many unauthenticated connections are held at once as an eighth of the connection limit; for one more the oldest
     * is refused.
     */
    @Test
    void unauthenticatedLimitGrowsWithTheConnectionLimit() throws Exception {
        TestPeer b = new TestPeer("b", 8 * (PeerLinks.MIN_UNAUTHENTICATED_LIMIT + 36)).listen();
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < PeerLinks.MIN_UNAUTHENTICATED_LIMIT + 36; i++) {
                Socket socket = new Socket();
                sockets.add(socket);
                socket.connect(b.links.address());
                assertEquals(1, readFrame(socket)[0], "challenge received, so the connection is counted");
            }
            assertTrue(b.refusals.isEmpty());
            Socket more = new Socket();
            sockets.add(more);
            more.connect(b.links.address());
            assertTrue(next(b.refusals).startsWith("peer_flood"));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /**
     * A peer that vanished without closing is disconnected by the end that replies to it and by the end that sends to
     * it.
     */
    @Test
    void vanishedPeerIsDisconnectedByBothEnds() throws Exception {
        TestPeer b = new TestPeer("b").listen();
        TestPeer a = new TestPeer("a");
        try (Relay relay = new Relay(loop, b.links.address(), 1)) {
            a.setAddress("b", relay.address());
            sendUntilReceived(a, "b", b, "one");
            assertTrue(b.reply("a", "here"));
            assertEquals("b 0 8 here", next(a.received));
            relay.weather(Relay.Weather.SILENT);
            b.reply("a", "lost");
            a.send("b", "lost");
            advanceTime(PeerLinks.SILENCE_TIMEOUT_MILLIS + 1);
            assertEquals("inbound closed a", next(b.closures));
            assertEquals("outbound closed b", next(a.closures));
        }
    }

    /** Replies arrive, but no message is acknowledged: the connection isn't kept for ever. */
    @Test
    void repliesAloneDoNotKeepAConnectionWithUnreadMessagesOpen() throws Exception {
        try (ScriptedAcceptor peer = new ScriptedAcceptor()) {
            TestPeer a = new TestPeer("a").setAddress("hand", peer.address());
            peer.acceptSession(a);
            int number = 0;
            for (long passed = 0; passed < PeerLinks.UNREAD_TIMEOUT_MILLIS;
                    passed += PeerLinks.SILENCE_TIMEOUT_MILLIS / 2) {
                peer.write(peer.reply(++number, "r"));
                assertEquals("hand 0 8 r", next(a.received));
                assertTrue(a.closures.isEmpty(), "after " + passed);
                advanceTime(PeerLinks.SILENCE_TIMEOUT_MILLIS / 2);
            }
            advanceTime(1);
            assertEquals("outbound closed hand", next(a.closures));
        }
    }

    private static byte[] framed(byte[]... parts) {
        ByteBuffer frame = ByteBuffer.allocate(4 + Arrays.stream(parts).mapToInt(part -> part.length).sum());
        frame.putInt(frame.capacity() - 4);
        Arrays.stream(parts).forEach(frame::put);
        return frame.array();
    }

    private static byte[] readFrame(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        return in.readNBytes(in.readInt());
    }

    /** The accepting end, scripted after the protocol's specification; one connection at a time. */
    private final class ScriptedAcceptor implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        private Socket socket = new Socket();
        private MessageAuthenticator session;
        private byte[] firstMessage;

        ScriptedAcceptor() throws IOException {
            server.setSoTimeout(MAX_WAIT_SECONDS * 1_000);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        /** Accepts a new connection of a peer, up to its first message. */
        ScriptedAcceptor acceptSession(TestPeer peer) throws Exception {
            socket.close();
            for (int tries = 0; !peer.send("hand", "hello"); tries++) {
                assertTrue(tries < 300, "no connection");
                clockMillis.addAndGet(50);  // the retry delay has to pass first
            }
            socket = server.accept();
            socket.setSoTimeout(MAX_WAIT_SECONDS * 1_000);
            byte[] challenge = new byte[16];
            Arrays.fill(challenge, (byte) 3);
            challenge[0] = (byte) System.nanoTime();
            write(PeerLinksReplyTest.framed(new byte[] {1, 1}, challenge));
            byte[] hello = readFrame(socket);
            Object decoded = JSON.builder(new CBORFactory()).build()
                    .anyFrom(Arrays.copyOfRange(hello, 1, hello.length - MessageAuthenticator.SIGNATURE_BYTES));
            byte[] nonce = (byte[]) ((List<?>) decoded).get(4);
            MessageAuthenticator key = new MessageAuthenticator(KEY);
            write(PeerLinksReplyTest.framed(new byte[] {3}, key.sign(new byte[] {3}, challenge, nonce)));
            session = key.deriveKey(new byte[] {'s'}, challenge, nonce);
            firstMessage = readFrame(socket);
            peer.closures.clear();
            return this;
        }

        static byte[] framed(byte[] frame) {
            return PeerLinksReplyTest.framed(frame);
        }

        byte[] reply(long sequence, String text) {
            byte[] kind = {8};
            byte[] message = text.getBytes(StandardCharsets.UTF_8);
            return PeerLinksReplyTest.framed(new byte[] {6}, kind, message,
                    session.sign(sequence, REPLY_LABEL, kind, message));
        }

        void write(byte[]... frames) throws IOException {
            for (byte[] each : frames) {
                socket.getOutputStream().write(each);
            }
        }

        boolean awaitClosed() {
            try {
                while (socket.getInputStream().read() >= 0) {
                    continue;
                }
            } catch (IOException e) {
                return !(e instanceof java.net.SocketTimeoutException);
            }
            return true;
        }

        @Override
        public void close() throws IOException {
            socket.close();
            server.close();
        }
    }

    /** The opening end, scripted, with a small receive buffer for what it doesn't read. */
    private static final class ScriptedConnector implements AutoCloseable {
        private final Socket socket = new Socket();
        private final MessageAuthenticator session;

        ScriptedConnector(TestPeer peer) throws IOException {
            socket.setReceiveBufferSize(4_096);
            socket.connect(peer.links.address());
            socket.setSoTimeout(MAX_WAIT_SECONDS * 1_000);
            byte[] challenge = Arrays.copyOfRange(readFrame(socket), 2, 18);
            byte[] nonce = new byte[16];
            byte[] hello = JSON.builder(new CBORFactory()).build()
                    .asBytes(Arrays.asList("norte", "hand", 5L, "b", nonce));
            MessageAuthenticator key = new MessageAuthenticator(KEY);
            write((byte) 2, hello, key.sign(new byte[] {2}, challenge, hello));
            assertEquals(3, readFrame(socket)[0]);
            session = key.deriveKey(new byte[] {'s'}, challenge, nonce);
        }

        byte[] message(long sequence, String text) {
            byte[] message = text.getBytes(StandardCharsets.UTF_8);
            byte[] kind = {7};
            byte[] signature = session.sign(sequence, new byte[] {'s'}, kind, message);
            return ByteBuffer.allocate(1 + message.length + signature.length).put(kind).put(message).put(signature)
                    .array();
        }

        void write(byte type, byte[]... parts) throws IOException {
            byte[][] all = new byte[parts.length + 1][];
            all[0] = new byte[] {type};
            System.arraycopy(parts, 0, all, 1, parts.length);
            socket.getOutputStream().write(framed(all));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
