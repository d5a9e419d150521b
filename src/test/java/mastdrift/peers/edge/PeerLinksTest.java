package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import mastdrift.lab.rig.Relay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Signed connections over loopback: what is theirs arrives, what is not is refused and named. */
class PeerLinksTest {

    private static final int WAIT_SECONDS = 30;
    private static final byte[] KEY = "one key".getBytes(StandardCharsets.UTF_8);
    private static final byte[] NEXT = "the next key".getBytes(StandardCharsets.UTF_8);

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<End> ends = new ArrayList<>();

    private final class End implements PeerLinks.Listener {
        private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> refused = new LinkedBlockingQueue<>();
        private final PeerLinks links;

        End(String installation, String name, byte[]... keys) {
            links = new PeerLinks(loop, installation, name, 8, this);
            loop.submit(() -> {
                links.generation(name.hashCode() & 0xFF);
                links.keys(List.of(keys));
            }).syncUninterruptibly();
            links.listen(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly();
            ends.add(this);
        }

        @Override
        public void received(String from, long generation, byte kind, byte[] message) {
            heard.add(from + " " + kind + " " + (message.length > 100 ? message.length : new String(message, StandardCharsets.UTF_8)));
        }

        @Override
        public void refused(String what, String who, String text) {
            refused.add(what);
        }

        void knows(String name, InetSocketAddress at) {
            loop.submit(() -> links.addresses(Map.of(name, at))).syncUninterruptibly();
        }

        boolean send(String to, String text) {
            return loop.submit(() -> links.send(to, (byte) 7, text.getBytes(StandardCharsets.UTF_8))).syncUninterruptibly().getNow();
        }

        PeerLinks.Counts counts() {
            return loop.submit(links::counts).syncUninterruptibly().getNow();
        }
    }

    @AfterEach
    void close() {
        loop.submit(() -> ends.forEach(end -> end.links.close())).syncUninterruptibly();
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static String next(BlockingQueue<String> queue) throws InterruptedException {
        return queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends until one arrives: a connection that was refused or reset is tried again after a moment. */
    private static String through(End from, String to, End at, String text) throws InterruptedException {
        for (int tries = 0; tries < 100; tries++) {
            from.send(to, text);
            String heard = at.heard.poll(100, TimeUnit.MILLISECONDS);
            if (heard != null) {
                return heard;
            }
        }
        return null;
    }

    @Test
    void messagesArriveInOrderAndAKeyIsReplacedWhileTheyRun() throws Exception {
        End a = new End("norte", "a", KEY);
        End b = new End("norte", "b", KEY, NEXT);
        a.knows("b", b.links.address());
        for (int i = 0; i < 50; i++) {
            assertTrue(a.send("b", "m" + i));
        }
        for (int i = 0; i < 50; i++) {
            assertEquals("a 7 m" + i, next(b.heard));
        }
        loop.submit(() -> {
            a.links.keys(List.of(NEXT));
            a.links.generation(1_000);  // opens anew
        }).syncUninterruptibly();
        assertEquals("a 7 by the next key", through(a, "b", b, "by the next key"));
        loop.submit(() -> b.links.keys(List.of(NEXT))).syncUninterruptibly();
        assertEquals("a 7 after it", through(a, "b", b, "after it"));
        assertEquals(0, b.refused.size());
    }

    @Test
    void whoDoesNotBelongIsRefusedByName() throws Exception {
        End b = new End("norte", "b", KEY);
        End stranger = new End("norte", "c", NEXT);
        stranger.knows("b", b.links.address());
        stranger.send("b", "x");
        assertEquals("peer_signature", next(b.refused));
        End elsewhere = new End("sur", "c", KEY);
        elsewhere.knows("b", b.links.address());
        elsewhere.send("b", "x");
        assertEquals("peer_elsewhere", next(b.refused));
        End twin = new End("norte", "b", KEY);
        twin.knows("b", b.links.address());
        twin.send("b", "x");
        assertEquals("peer_own_name", next(b.refused));
        End misled = new End("norte", "d", KEY);
        misled.knows("e", b.links.address());
        misled.send("e", "x");
        assertEquals("peer_elsewhere", next(b.refused));
        assertEquals(0, b.heard.size());
        assertFalse(b.send("nobody", "x"), "an address that isn't known");
    }

    /** By hand: a good hello, then messages that are forged, of 10 MB, cut short, or none at all. */
    @Test
    void whatIsForgedReplayedTooLargeOrCutShortEndsItsConnection() throws Exception {
        End b = new End("norte", "b", KEY);
        byte[] first;
        try (Hand hand = new Hand(b)) {
            first = hand.message(1, "good");
            hand.out.write(first);
            assertEquals("hand 7 good", next(b.heard));
            hand.out.write(first);  // again
            assertEquals("peer_signature", next(b.refused));
            assertTrue(hand.ended());
        }
        try (Hand hand = new Hand(b)) {
            hand.out.write(first);  // of another connection
            assertEquals("peer_signature", next(b.refused));
        }
        try (Hand hand = new Hand(b)) {
            byte[] changed = hand.message(1, "good");
            changed[6] ^= 1;
            hand.out.write(changed);
            assertEquals("peer_signature", next(b.refused));
        }
        try (Hand hand = new Hand(b)) {
            hand.out.write(ByteBuffer.allocate(4).putInt(10 << 20).array());
            assertEquals("peer_too_large", next(b.refused));
            assertTrue(hand.ended());
        }
        try (Hand hand = new Hand(b)) {
            hand.out.write(Arrays.copyOf(hand.message(1, "cut"), 9));
        }
        try (Hand hand = new Hand(b)) {
            hand.out.write(hand.message(1, "still there"));
            assertEquals("hand 7 still there", next(b.heard));
        }
    }

    /** Connections that say nothing: no more than the bound are held, and those who belong come through. */
    @Test
    void aFloodOfSilentConnectionsIsBounded() throws Exception {
        End b = new End("norte", "b", KEY);
        End a = new End("norte", "a", KEY);
        a.knows("b", b.links.address());
        List<Socket> flood = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * PeerLinks.UNKNOWN_MOST; i++) {
                Socket socket = new Socket();
                socket.connect(b.links.address());
                flood.add(socket);
            }
            assertEquals("peer_flood", next(b.refused));
            assertEquals("a 7 through", through(a, "b", b, "through"));
        } finally {
            for (Socket socket : flood) {
                socket.close();
            }
        }
    }

    /** Who takes what is sent and says nothing any more has vanished: its connection is closed, and the next one tried. */
    @Test
    void aSilentEndIsLetGo() throws Exception {
        End a = new End("norte", "a", KEY);
        End b = new End("norte", "b", KEY);
        try (Relay relay = new Relay(loop, b.links.address(), 1)) {
            a.knows("b", relay.address());
            assertEquals("a 7 one", through(a, "b", b, "one"));
            relay.weather(Relay.Weather.SILENT);
            a.send("b", "lost");
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
            while (loop.submit(() -> Boolean.TRUE.equals(a.links.links().get("b"))).syncUninterruptibly().getNow()) {
                assertTrue(System.nanoTime() < until, "let go");
                Thread.sleep(20);
            }
            relay.weather(Relay.Weather.FAIR);
            String heard = through(a, "b", b, "two");  // what was held back on the way may come late, ahead of it
            assertEquals("a 7 two", "a 7 lost".equals(heard) ? through(a, "b", b, "two") : heard);
        }
    }

    /** A gateway by hand, as the protocol is written down. */
    private static final class Hand implements AutoCloseable {
        private final Socket socket = new Socket();
        private final OutputStream out;
        private final DataInputStream in;
        private final MessageAuthenticator session;

        Hand(End at) throws IOException {
            socket.connect(at.links.address());
            socket.setSoTimeout(WAIT_SECONDS * 1_000);
            out = socket.getOutputStream();
            in = new DataInputStream(socket.getInputStream());
            byte[] challenge = Arrays.copyOfRange(frame(), 2, 18);
            byte[] nonce = new byte[16];
            byte[] hello = com.fasterxml.jackson.jr.ob.JSON.builder(new com.fasterxml.jackson.dataformat.cbor.CBORFactory()).build()
                    .asBytes(Arrays.asList("norte", "hand", 5L, "b", nonce));
            MessageAuthenticator key = new MessageAuthenticator(KEY);
            write((byte) 2, hello, key.sign(new byte[] {2}, challenge, hello));
            assertEquals(3, frame()[0]);
            session = key.derived(new byte[] {'s'}, challenge, nonce);
        }

        private byte[] frame() throws IOException {
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

        byte[] message(long number, String text) {
            byte[] kind = {7};
            byte[] message = text.getBytes(StandardCharsets.UTF_8);
            return framed((byte) 4, kind, message, session.sign(number, new byte[] {'s'}, kind, message));
        }

        boolean ended() throws IOException {
            try {
                while (in.read() >= 0) {
                    continue;  // how much it had read, perhaps
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
