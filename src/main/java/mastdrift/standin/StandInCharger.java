package mastdrift.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.MalformedPacketException;
import mastdrift.radius.Packet;

/** A site of chargers on one UDP port: sends cards and accounting starts in turn at an even rate, with up to 200 out at once,
    and each again, byte for byte, while no answer comes. Every identifier is used again only once it was answered. Counts
    what came; an answer that doesn't prove itself, or differs from the one before, is counted as such. */
public final class StandInCharger implements AutoCloseable {

    private static final int OUT_MOST = 200;

    private static final class Open {
        private final Packet request;
        private final byte[] bytes;
        private long sentAt;

        Open(Packet request) {
            this.request = request;
            bytes = request.encode();
        }
    }

    private final DatagramSocket socket;
    private final InetSocketAddress at;
    private final Authenticators own;
    private final int number;
    private final long resendNanos;
    private final Map<Integer, Open> open = new HashMap<>();
    private final Map<Integer, byte[]> last = new HashMap<>();
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong answered = new AtomicLong();
    private final AtomicLong wrong = new AtomicLong();
    private final Thread thread;

    /** Sends so many requests in all, at so many a second, to a gateway; a site's number makes its sessions its own. */
    public StandInCharger(InetSocketAddress at, byte[] secret, int number, int requests, double perSecond, int resendMillis)
            throws IOException {
        this.at = at;
        this.number = number;
        own = new Authenticators(secret);
        resendNanos = resendMillis * 1_000_000L;
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        socket.setReceiveBufferSize(1 << 20);
        thread = new Thread(() -> run(requests, (long) (1e9 / perSecond)), "charger-" + number);
        thread.setDaemon(true);
        thread.start();
    }

    private void run(int requests, long pauseNanos) {
        try {
            long next = System.nanoTime();
            int identifier = 0;
            while (answered.get() < requests && !socket.isClosed()) {
                while (asked.get() < requests && open.size() < OUT_MOST && System.nanoTime() >= next) {
                    while (open.containsKey(identifier)) {
                        identifier = identifier + 1 & 255;
                    }
                    Open request = new Open(request(identifier, (int) asked.getAndIncrement()));
                    open.put(identifier, request);
                    last.remove(identifier);
                    send(request);
                    identifier = identifier + 1 & 255;
                    next = Math.max(next + pauseNanos, System.nanoTime() - pauseNanos);
                }
                for (Open request : new ArrayList<>(open.values())) {
                    if (System.nanoTime() - request.sentAt > resendNanos) {
                        send(request);
                    }
                }
                socket.setSoTimeout(asked.get() < requests ? 1 : 20);
                receive();
            }
            socket.setSoTimeout(200);
            receive();  // what comes twice at the end
        } catch (IOException e) {
            return;  // closed
        }
    }

    private Packet request(int identifier, int count) {
        byte[] authenticator = ByteBuffer.allocate(16).putInt(number).putInt(count).array();
        if (count % 2 == 0) {
            return own.signRequest(new Packet(Code.ACCESS_REQUEST, identifier, authenticator,
                    List.of(new Attribute(1, new byte[] {1}))));
        }
        return own.signRequest(new Packet(Code.ACCOUNTING_REQUEST, identifier, new byte[16], List.of(
                new Attribute(Attribute.ACCT_STATUS_TYPE, new byte[] {0, 0, 0, 1}),
                new Attribute(Attribute.ACCT_SESSION_ID, Arrays.copyOf(authenticator, 8)))));
    }

    private void send(Open request) throws IOException {
        request.sentAt = System.nanoTime();
        socket.send(new DatagramPacket(request.bytes, request.bytes.length, at));
    }

    /** All that has come by now, or the first that comes in time. */
    private void receive() throws IOException {
        try {
            for (DatagramPacket datagram = new DatagramPacket(new byte[4096], 4096); ; socket.setSoTimeout(1)) {
                socket.receive(datagram);
                take(Arrays.copyOf(datagram.getData(), datagram.getLength()));
            }
        } catch (SocketTimeoutException e) {
            return;
        }
    }

    private void take(byte[] bytes) {
        int identifier = bytes.length > 1 ? bytes[1] & 0xFF : -1;
        Open request = open.get(identifier);
        byte[] before = last.get(identifier);
        if (before != null) {
            wrong.addAndGet(Arrays.equals(before, bytes) ? 0 : 1);
            return;
        }
        try {
            if (request != null && own.verifyResponse(Packet.decode(bytes), request.request.authenticator(), false)) {
                open.remove(identifier);
                last.put(identifier, bytes);
                answered.incrementAndGet();
            }  // else one to the identifier's request before, held back on its way
        } catch (MalformedPacketException e) {
            wrong.incrementAndGet();
        }
    }

    /** Requests so far, resends not counted. */
    public long asked() {
        return asked.get();
    }

    /** Requests that were answered so far. */
    public long answered() {
        return answered.get();
    }

    /** Answers that were none, or others than before. */
    public long wrong() {
        return wrong.get();
    }

    /** Waits for the last answer, at most so long; returns whether all came. */
    public boolean join(long millis) throws InterruptedException {
        thread.join(millis);
        return !thread.isAlive();
    }

    @Override
    public void close() {
        socket.close();
    }
}
