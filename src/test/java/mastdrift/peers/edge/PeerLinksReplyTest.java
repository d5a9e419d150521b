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

/** Messages back on the connection that the other end opened: theirs arrive, what isn't theirs ends the connection, and who doesn't read costs a bounded amount. */
class PeerLinksReplyTest {

    private static final int WAIT_SECONDS = 30;
    private static final byte[] KEY = "one key".getBytes(StandardCharsets.UTF_8);
    private static final byte[] OF_REPLY = {'r'};

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<End> ends = new ArrayList<>();
    private final AtomicLong clock = new AtomicLong(1_000_000);

    private final class End implements PeerLinks.Listener {
        private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> refused = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> over = new LinkedBlockingQueue<>();
        private final PeerLinks links;

        End(String name) {
            this(name, 8);
        }

        End(String name, int most) {
            links = new PeerLinks(loop, "norte", name, most, this, clock::get);
            on(() -> {
                links.generation(5);
                links.keys(List.of(KEY));
                return null;
            });
            ends.add(this);
        }

        End listens() {
            links.listen(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly();
            return this;
        }

        End knows(String name, InetSocketAddress at) {
            on(() -> {
                links.addresses(Map.of(name, at));
                return null;
            });
            return this;
        }

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            heard.add(from + " " + generation + " " + kind + " " + (message.length > 100 ? message.length : new String(message, StandardCharsets.UTF_8)));
        }

        @Override
        public void refused(String what, String who, String text) {
            refused.add(what + " " + who);
        }

        @Override
        public void outboundClosed(String to) {
            over.add("ended " + to);
        }

        @Override
        public void inboundClosed(String from) {
            over.add("gone " + from);
        }

        boolean send(String to, String text) {
            return on(() -> links.send(to, (byte) 7, text.getBytes(StandardCharsets.UTF_8)));
        }

        boolean reply(String to, String text) {
            return on(() -> links.reply(to, (byte) 8, text.getBytes(StandardCharsets.UTF_8)));
        }
    }

    private <T> T on(Callable<T> call) {
        return loop.submit(call).syncUninterruptibly().getNow();
    }

    /** Some time passes, and whatever is silent by then is found so. */
    private void passes(long millis) {
        for (long left = millis; left > 0; left -= PeerLinks.SWEEP_MILLIS) {
            jumps(Math.min(left, PeerLinks.SWEEP_MILLIS));
        }
    }

    /** As for a process that was stopped meanwhile. */
    private void jumps(long millis) {
        on(() -> {
            clock.addAndGet(millis);
            ends.forEach(end -> end.links.sweep());
            return null;
        });
    }

    @AfterEach
    void close() {
        loop.submit(() -> ends.forEach(end -> end.links.close())).syncUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static String next(BlockingQueue<String> queue) throws InterruptedException {
        return queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends until one arrives: a connection that was refused or has ended is tried again after a moment. */
    private void through(End from, String to, End at, String text) throws InterruptedException {
        String heard = null;
        for (int tries = 0; heard == null && tries < 300; tries++) {
            heard = from.send(to, text) ? next(at.heard) : null;
            clock.addAndGet(50);  // it may have to wait before it is tried again
        }
        assertTrue(heard != null && heard.endsWith(text), heard);
    }

    /** Who opens needs no listener; both directions run at once, up to the largest message. */
    @Test
    void repliesArriveInOrderByTheConnectionThatTheOtherOpened() throws Exception {
        End b = new End("b").listens();
        End a = new End("a").knows("b", b.links.address());
        assertFalse(b.reply("a", "too soon"), "nobody has opened a connection");
        assertTrue(a.send("b", "first"));
        assertEquals("a 5 7 first", next(b.heard));
        for (int i = 0; i < 100; i++) {
            assertTrue(b.reply("a", "r" + i));
            assertTrue(a.send("b", "m" + i));
        }
        for (int i = 0; i < 100; i++) {
            assertEquals("b 0 8 r" + i, next(a.heard));
            assertEquals("a 5 7 m" + i, next(b.heard));
        }
        assertTrue(on(() -> b.links.reply("a", (byte) 9, new byte[PeerLinks.MESSAGE_MOST])));
        assertEquals("b 0 9 " + PeerLinks.MESSAGE_MOST, next(a.heard));
        assertFalse(on(() -> b.links.reply("a", (byte) 9, new byte[PeerLinks.MESSAGE_MOST + 1])), "too large");
        PeerLinks.Counts counts = on(b.links::counts);
        assertEquals(101, counts.sent());
        assertEquals(on(a.links::counts).receivedBytes(), counts.sentBytes());
        assertTrue(a.refused.isEmpty() && b.refused.isEmpty() && a.over.isEmpty() && b.over.isEmpty());
    }

    @Test
    void whoeverEndsAConnectionTheOtherIsToldAndNothingGoesToItAnyMore() throws Exception {
        End b = new End("b").listens();
        End a = new End("a").knows("b", b.links.address());
        through(a, "b", b, "one");
        on(() -> {
            a.links.leave("b");
            return null;
        });
        assertEquals("gone a", next(b.over));
        assertFalse(b.reply("a", "lost"));
        assertTrue(a.send("b", "two"), "at once");
        assertEquals("a 5 7 two", next(b.heard));
        on(() -> {
            b.links.drop("a");
            return null;
        });
        assertFalse(b.reply("a", "lost"));
        assertEquals("ended b", next(a.over));
        through(a, "b", b, "three");
        End twin = new End("a").knows("b", b.links.address());
        through(twin, "b", b, "four");
        assertEquals("gone a", next(b.over), "the connection before it, and before the message");
        assertTrue(b.reply("a", "to the twin"));
        assertEquals("b 0 8 to the twin", next(twin.heard));
        assertEquals("ended b", next(a.over));
        on(() -> {
            b.links.close();
            return null;
        });
        assertEquals("ended b", next(twin.over));
        assertFalse(b.reply("a", "closed"));
        assertTrue(a.heard.isEmpty());
    }

    /** By hand: who accepts replies well, then with what is forged, comes again, is left out, swapped, or is the other direction's own. */
    @Test
    void aReplyThatIsNotTheNextOneEndsTheConnection() throws Exception {
        try (HandAccepts hand = new HandAccepts()) {
            End a = new End("a").knows("hand", hand.address());
            byte[] good = hand.session(a).reply(1, "good");
            hand.write(good);
            assertEquals("hand 0 8 good", next(a.heard));
            hand.write(good);
            ends(hand, a);
            hand.session(a).write(good);  // of another connection
            ends(hand, a);
            hand.session(a).write(hand.reply(2, "the first is left out"));
            ends(hand, a);
            byte[] first = hand.session(a).reply(1, "x");
            hand.write(hand.reply(2, "y"), first);
            ends(hand, a);
            byte[] changed = hand.session(a).reply(1, "good");
            changed[6] ^= 1;
            hand.write(changed);
            ends(hand, a);
            byte[] own = hand.session(a).heard.clone();  // what it said itself
            own[0] = 6;
            hand.write(HandAccepts.framed(own));
            ends(hand, a);
            hand.session(a).write(HandAccepts.framed(new byte[] {6, 8}));  // no signature
            assertEquals("peer_unknown hand", next(a.refused));
            assertEquals("ended hand", next(a.over));
            hand.session(a).write(ByteBuffer.allocate(4).putInt(10 << 20).array());
            assertEquals("ended hand", next(a.over));
            hand.session(a).write(hand.reply(1, "and still"));
            assertEquals("hand 0 8 and still", next(a.heard));
            assertTrue(a.heard.isEmpty());
        }
    }

    private void ends(HandAccepts hand, End a) throws Exception {
        assertEquals("peer_signature hand", next(a.refused));
        assertEquals("ended hand", next(a.over));
        assertTrue(hand.ended());
    }

    /** As a build from before replies takes one: a frame that it doesn't know is refused by name, the connection ends, the next one is made and serves. */
    @Test
    void aFrameOfALaterBuildEndsTheConnectionAndTheNextOneServes() throws Exception {
        try (HandAccepts hand = new HandAccepts()) {
            End a = new End("a").knows("hand", hand.address());
            hand.session(a).write(HandAccepts.framed(new byte[] {99, 1, 2, 3}));
            assertEquals("peer_unknown hand", next(a.refused));
            assertEquals("ended hand", next(a.over));
            assertTrue(hand.ended());
            hand.session(a).write(hand.reply(1, "as before"));
            assertEquals("hand 0 8 as before", next(a.heard));
        }
    }

    /** Forged news of how much was heard doesn't keep a connection. */
    @Test
    void forgedNewsOfWhatWasHeardEndsTheConnection() throws Exception {
        End b = new End("b").listens();
        try (HandOpens hand = new HandOpens(b)) {
            hand.write((byte) 7, new byte[24]);
            assertEquals("peer_signature hand", next(b.refused));
            assertEquals("gone hand", next(b.over));
        }
        try (HandOpens hand = new HandOpens(b)) {
            byte[] count = ByteBuffer.allocate(8).putLong(1).array();  // nothing was replied
            hand.write((byte) 7, count, hand.session.sign(-1, OF_REPLY, count));
            assertEquals("peer_signature hand", next(b.refused));
        }
    }

    /** Who takes nothing in costs no more than the bound, is told so to whoever replies, and is let go. */
    @Test
    void aSlowReaderCostsNoMoreThanTheBoundAndIsLetGo() throws Exception {
        End b = new End("b").listens();
        try (HandOpens hand = new HandOpens(b)) {
            hand.write((byte) 4, hand.message(1, "here"));
            assertEquals("hand 5 7 here", next(b.heard));
            byte[] large = new byte[64 << 10];
            int taken = 0;
            while (on(() -> b.links.reply("hand", (byte) 8, large))) {
                assertTrue(++taken < 1_024, "bounded");
            }
            assertTrue((long) taken * large.length > PeerLinks.WAITING_MOST, "not before");
            passes(PeerLinks.SILENT_MILLIS);
            assertTrue(b.over.isEmpty(), "not yet");
            passes(1);
            assertEquals("gone hand", next(b.over), "it doesn't move on");
            assertFalse(b.reply("hand", "x"));
            assertTrue(b.refused.isEmpty());
        }
    }

    /** One that only hears isn't taken for silent, nor is one that is told nothing for longer than that. */
    @Test
    void aConnectionThatOnlyHearsStays() throws Exception {
        End b = new End("b").listens();
        End a = new End("a").knows("b", b.links.address());
        End quiet = new End("quiet").knows("b", b.links.address());
        through(a, "b", b, "one");
        through(quiet, "b", b, "one");
        for (int i = 0; i < 10; i++) {
            assertTrue(b.reply("a", "r" + i));
            assertEquals("b 0 8 r" + i, next(a.heard));
            passes(PeerLinks.SILENT_MILLIS * 2 / 3);
            settled(a, b);
        }
        passes(PeerLinks.SILENT_MILLIS * 2);
        assertTrue(b.reply("quiet", "at last"));
        assertEquals("b 0 8 at last", next(quiet.heard));
        assertTrue(a.over.isEmpty() && b.over.isEmpty() && quiet.over.isEmpty());
    }

    /** Waits until each end knows what the other has read. */
    private void settled(End opened, End accepted) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (on(() -> opened.links.unread() + accepted.links.unread()) > 0) {
            assertTrue(System.nanoTime() < until, "settled");
            Thread.sleep(1);
        }
    }

    /** Both ends of a connection are stopped for longer than a silent one is kept, with something unread in each direction: it stays, and a silent one still ends. */
    @Test
    void aProcessThatWasStoppedHoldsItAgainstNobody() throws Exception {
        End b = new End("b").listens();
        try (HandAccepts accepts = new HandAccepts(); HandOpens opens = new HandOpens(b)) {
            End a = new End("a").knows("hand", accepts.address());
            accepts.session(a);  // sent something, which is never said to be read
            opens.write((byte) 4, opens.message(1, "here"));
            assertEquals("hand 5 7 here", next(b.heard));
            assertTrue(b.reply("hand", "never heard"));
            jumps(PeerLinks.SILENT_MILLIS * 4L);
            assertTrue(a.over.isEmpty() && b.over.isEmpty());
            passes(PeerLinks.SILENT_MILLIS + 1);
            assertEquals("ended hand", next(a.over));
            assertEquals("gone hand", next(b.over));
        }
    }

    /** As many may come at once as an eighth of those that there may be; from then on a connection that says nothing is one too many. */
    @Test
    void aMachineOfManyTakesManyAtOnce() throws Exception {
        End b = new End("b", 8 * (PeerLinks.UNKNOWN_MOST + 36)).listens();
        List<Socket> flood = new ArrayList<>();
        try {
            for (int i = 0; i < PeerLinks.UNKNOWN_MOST + 36; i++) {
                Socket socket = new Socket();
                flood.add(socket);
                socket.connect(b.links.address());
                assertEquals(1, frame(socket)[0], "challenged, and so counted");
            }
            assertTrue(b.refused.isEmpty());
            Socket more = new Socket();
            flood.add(more);
            more.connect(b.links.address());
            assertTrue(next(b.refused).startsWith("peer_flood"));
        } finally {
            for (Socket socket : flood) {
                socket.close();
            }
        }
    }

    /** Whoever vanished without a word: the one who replies to it lets it go, and so does the one who sends to it. */
    @Test
    void whoVanishedIsLetGoByBothEnds() throws Exception {
        End b = new End("b").listens();
        End a = new End("a");
        try (Relay relay = new Relay(loop, b.links.address(), 1)) {
            a.knows("b", relay.address());
            through(a, "b", b, "one");
            assertTrue(b.reply("a", "here"));
            assertEquals("b 0 8 here", next(a.heard));
            relay.weather(Relay.Weather.SILENT);
            b.reply("a", "lost");
            a.send("b", "lost");
            passes(PeerLinks.SILENT_MILLIS + 1);
            assertEquals("gone a", next(b.over));
            assertEquals("ended b", next(a.over));
        }
    }

    /** Replies come, but nothing of what is sent is read: not kept for good. */
    @Test
    void repliesAloneDoNotKeepAConnectionOnWhichNothingIsRead() throws Exception {
        try (HandAccepts hand = new HandAccepts()) {
            End a = new End("a").knows("hand", hand.address());
            hand.session(a);
            int number = 0;
            for (long passed = 0; passed < PeerLinks.UNREAD_MILLIS; passed += PeerLinks.SILENT_MILLIS / 2) {
                hand.write(hand.reply(++number, "r"));
                assertEquals("hand 0 8 r", next(a.heard));
                assertTrue(a.over.isEmpty(), "after " + passed);
                passes(PeerLinks.SILENT_MILLIS / 2);
            }
            passes(1);
            assertEquals("ended hand", next(a.over));
        }
    }

    private static byte[] framed(byte[]... parts) {
        ByteBuffer frame = ByteBuffer.allocate(4 + Arrays.stream(parts).mapToInt(part -> part.length).sum());
        frame.putInt(frame.capacity() - 4);
        Arrays.stream(parts).forEach(frame::put);
        return frame.array();
    }

    private static byte[] frame(Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        return in.readNBytes(in.readInt());
    }

    /** Who accepts, by hand, as the protocol is written down; one connection at a time. */
    private final class HandAccepts implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        private Socket socket = new Socket();
        private MessageAuthenticator session;
        private byte[] heard;

        HandAccepts() throws IOException {
            server.setSoTimeout(WAIT_SECONDS * 1_000);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        /** A new connection of an end, up to its first message. */
        HandAccepts session(End of) throws Exception {
            socket.close();
            for (int tries = 0; !of.send("hand", "hello"); tries++) {
                assertTrue(tries < 300, "no connection");
                clock.addAndGet(50);  // it has to wait before it is tried again
            }
            socket = server.accept();
            socket.setSoTimeout(WAIT_SECONDS * 1_000);
            byte[] challenge = new byte[16];
            Arrays.fill(challenge, (byte) 3);
            challenge[0] = (byte) System.nanoTime();
            write(PeerLinksReplyTest.framed(new byte[] {1, 1}, challenge));
            byte[] hello = frame(socket);
            Object said = JSON.builder(new CBORFactory()).build().anyFrom(Arrays.copyOfRange(hello, 1, hello.length - MessageAuthenticator.BYTES));
            byte[] nonce = (byte[]) ((List<?>) said).get(4);
            MessageAuthenticator key = new MessageAuthenticator(KEY);
            write(PeerLinksReplyTest.framed(new byte[] {3}, key.sign(new byte[] {3}, challenge, nonce)));
            session = key.derived(new byte[] {'s'}, challenge, nonce);
            heard = frame(socket);
            of.over.clear();
            return this;
        }

        static byte[] framed(byte[] frame) {
            return PeerLinksReplyTest.framed(frame);
        }

        byte[] reply(long number, String text) {
            byte[] kind = {8};
            byte[] message = text.getBytes(StandardCharsets.UTF_8);
            return PeerLinksReplyTest.framed(new byte[] {6}, kind, message, session.sign(number, OF_REPLY, kind, message));
        }

        void write(byte[]... frames) throws IOException {
            for (byte[] each : frames) {
                socket.getOutputStream().write(each);
            }
        }

        boolean ended() {
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

    /** Who opens, by hand, with little room for what it doesn't read. */
    private static final class HandOpens implements AutoCloseable {
        private final Socket socket = new Socket();
        private final MessageAuthenticator session;

        HandOpens(End at) throws IOException {
            socket.setReceiveBufferSize(4_096);
            socket.connect(at.links.address());
            socket.setSoTimeout(WAIT_SECONDS * 1_000);
            byte[] challenge = Arrays.copyOfRange(frame(socket), 2, 18);
            byte[] nonce = new byte[16];
            byte[] hello = JSON.builder(new CBORFactory()).build().asBytes(Arrays.asList("norte", "hand", 5L, "b", nonce));
            MessageAuthenticator key = new MessageAuthenticator(KEY);
            write((byte) 2, hello, key.sign(new byte[] {2}, challenge, hello));
            assertEquals(3, frame(socket)[0]);
            session = key.derived(new byte[] {'s'}, challenge, nonce);
        }

        byte[] message(long number, String text) {
            byte[] message = text.getBytes(StandardCharsets.UTF_8);
            byte[] kind = {7};
            byte[] signature = session.sign(number, new byte[] {'s'}, kind, message);
            return ByteBuffer.allocate(1 + message.length + signature.length).put(kind).put(message).put(signature).array();
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
