package mastdrift.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.radius.Attribute;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Code;
import mastdrift.radius.MalformedPacketException;
import mastdrift.radius.Packet;

/**
 * A RADIUS server by script on a loopback port: accepts every card, takes all accounting, tells retransmissions by source,
 * identifier and authenticator, and answers them as before; those of a request in progress are answered with it.
 */
public final class StandInRadiusServer implements AutoCloseable {

    private static final int REQUESTS_MOST = 1000;
    private static final int ERROR_CAUSE = 101;
    // Stands for the response to a request that has none yet.
    private static final byte[] NO_RESPONSE = {};

    /** What it does with a request. */
    public enum Manner {
        /** Runs and answers it. */
        SERVE,
        /** Runs it and says nothing. */
        SILENT,
        /** Runs it and first sends what is no answer: signed wrong, of another code, without Proxy-State; then the answer. */
        LIE,
        /** Runs it and answers twice. */
        TWICE,
        /** Rejects every card, and says why in an Error-Cause (RFC 5176, 3.6) and a Reply-Message. */
        REJECT,
        /** Challenges a card twice before it accepts it, and rejects a State that it did not give. */
        CHALLENGE
    }

    private final String name;
    private final String group;
    private final Effects effects;
    private final byte[] secret;
    private final DatagramSocket socket;
    private final ScheduledThreadPoolExecutor later = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "radius-server-later");
        thread.setDaemon(true);
        return thread;
    });
    private final Map<String, byte[]> responses = new ConcurrentHashMap<>();
    private final List<Packet> requests = new ArrayList<>();
    private final AtomicLong runs = new AtomicLong();
    private final AtomicLong bytesIn = new AtomicLong();
    private final AtomicLong bytesOut = new AtomicLong();
    private volatile long lastAt;
    private volatile long work;
    private volatile Manner manner = Manner.SERVE;
    private volatile boolean restarted;

    /** Listens on a free port of 127.0.0.1; {@code work} in microseconds. Servers of one {@code group} drop one another's
        repeats of an accounting effect. */
    public StandInRadiusServer(String name, String group, Effects effects, byte[] secret, long work) throws IOException {
        this.name = name;
        this.group = group;
        this.effects = effects;
        this.secret = secret.clone();
        this.work = work;
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::receive, "radius-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void receive() {
        Authenticators own = new Authenticators(secret);
        byte[] buffer = new byte[Packet.MAX_BYTES];
        while (!socket.isClosed()) {
            try {
                DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
                socket.receive(datagram);
                bytesIn.addAndGet(datagram.getLength());
                Packet request = Packet.decode(Arrays.copyOf(buffer, datagram.getLength()));
                if (own.verifyRequest(request, request.code() == Code.ACCESS_REQUEST)) {
                    take(own, datagram, request);
                }
            } catch (IOException | MalformedPacketException e) {
                continue;  // closed, or not for it
            }
        }
    }

    private void take(Authenticators own, DatagramPacket from, Packet request) throws IOException {
        if (restarted) {
            restarted = false;
            responses.clear();
        }
        String identity = from.getSocketAddress() + "/" + request.identifier() + "/" + Arrays.toString(request.authenticator());
        byte[] known = responses.putIfAbsent(identity, NO_RESPONSE);
        if (known != null) {
            if (known != NO_RESPONSE) {
                reply(known, from);
            }
            return;
        }
        lastAt = System.nanoTime();
        synchronized (requests) {
            if (requests.size() < REQUESTS_MOST) {
                requests.add(request);
            }
        }
        if (request.code() != Code.STATUS_SERVER) {
            runs.incrementAndGet();
        }
        if (request.code() == Code.ACCOUNTING_REQUEST) {
            effects.run(Arrays.toString(request.firstValue(Attribute.ACCT_SESSION_ID))
                    + Arrays.toString(request.firstValue(Attribute.ACCT_STATUS_TYPE)), group);
        }
        List<Attribute> back = new ArrayList<>();
        back.add(new Attribute(18, name.getBytes(StandardCharsets.US_ASCII)));
        request.attributes().stream().filter(a -> a.type() == Attribute.PROXY_STATE).forEach(back::add);
        boolean accounting = request.code() == Code.ACCOUNTING_REQUEST;
        if (manner == Manner.REJECT) {
            back.add(new Attribute(ERROR_CAUSE, new byte[] {0, 0, 1, (byte) 0x91}));  // 401: unsupported attribute
            back.add(new Attribute(18, "card unknown here".getBytes(StandardCharsets.US_ASCII)));
        }
        Code accepts = manner == Manner.REJECT ? Code.ACCESS_REJECT : manner == Manner.CHALLENGE && request.code() == Code.ACCESS_REQUEST ? challenge(request, back)
                : Code.ACCESS_ACCEPT;
        byte[] answer = own.signResponse(new Packet(accounting ? Code.ACCOUNTING_RESPONSE : accepts,
                request.identifier(), request.authenticator(), back), request.authenticator(), !accounting).encode();
        if (manner == Manner.SILENT) {
            return;
        }
        if (manner == Manner.LIE) {
            lie(own, from, request, back);
        }
        boolean twice = manner == Manner.TWICE;
        later.schedule(() -> {
            responses.put(identity, answer);
            reply(answer, from);
            if (twice) {
                reply(answer, from);
            }
            return null;
        }, work, TimeUnit.MICROSECONDS);
    }

    /** Its State is its name and how often it was asked, with a number that makes it one of a kind. */
    private Code challenge(Packet request, List<Attribute> back) {
        byte[] state = request.firstValue(Attribute.STATE);
        String given = state == null ? name + " 0" : new String(state, StandardCharsets.US_ASCII);
        if (!given.startsWith(name + " ")) {
            return Code.ACCESS_REJECT;
        }
        int round = given.charAt(name.length() + 1) - '0' + 1;
        if (round > 2) {
            return Code.ACCESS_ACCEPT;
        }
        back.add(new Attribute(Attribute.STATE, (name + " " + round + " " + runs.get()).getBytes(StandardCharsets.US_ASCII)));
        return Code.ACCESS_CHALLENGE;
    }

    private void lie(Authenticators own, DatagramPacket from, Packet request, List<Attribute> back) throws IOException {
        byte[] asked = request.authenticator();
        Packet reject = new Packet(Code.ACCESS_REJECT, request.identifier(), asked, back);
        byte[] wrong = own.signResponse(reject, asked, true).encode();
        wrong[10] ^= 1;
        reply(wrong, from);
        reply(own.signResponse(reject.withAttributes(List.of()), asked, true).encode(), from);
        reply(own.signResponse(new Packet(request.code() == Code.ACCOUNTING_REQUEST ? Code.ACCESS_REJECT
                : Code.ACCOUNTING_RESPONSE, request.identifier(), asked, back), asked, false).encode(), from);
        reply(new byte[] {2, (byte) request.identifier(), 0, 3}, from);
        try (DatagramSocket other = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            byte[] right = own.signResponse(reject, asked, true).encode();
            other.send(new DatagramPacket(right, right.length, from.getSocketAddress()));  // from a wrong address
        }
    }

    private void reply(byte[] bytes, DatagramPacket to) throws IOException {
        socket.send(new DatagramPacket(bytes, bytes.length, to.getSocketAddress()));
        bytesOut.addAndGet(bytes.length);
    }

    /** Bytes of the datagrams that came. */
    public long bytesIn() {
        return bytesIn.get();
    }

    /** Bytes of the datagrams that it sent from its own port. */
    public long bytesOut() {
        return bytesOut.get();
    }

    /** As it is configured. */
    public String endpoint() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Its port. */
    public int port() {
        return socket.getLocalPort();
    }

    /** Its name. */
    public String name() {
        return name;
    }

    /** From now on it does so. */
    public void manner(Manner next) {
        manner = next;
    }

    /** As after a restart on the same port: it knows none of the packets that it took, so that a resend is new to it. */
    public void restart() {
        restarted = true;
    }

    /** From now on a request takes so many microseconds. */
    public void work(long micros) {
        work = micros;
    }

    /** Requests that it ran, resends not counted, Status-Server neither. */
    public long runs() {
        return runs.get();
    }

    /** The first {@value #REQUESTS_MOST} requests that it took, in their order, resends not counted. */
    public List<Packet> requests() {
        synchronized (requests) {
            return List.copyOf(requests);
        }
    }

    /** When the last new request came (System.nanoTime). */
    public long lastAt() {
        return lastAt;
    }

    @Override
    public void close() {
        socket.close();
        later.shutdownNow();
    }
}
