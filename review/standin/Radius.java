import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** RADIUS accounting (RFC 2866) over UDP on loopback: servers of one group, and chargers. JDK only. */
final class Radius {

    static final int ACCOUNTING_REQUEST = 4;
    static final int ACCOUNTING_RESPONSE = 5;
    static final int STATUS_SERVER = 12;
    static final int NAS_IDENTIFIER = 32;
    static final int PROXY_STATE = 33;
    static final int ACCT_STATUS_TYPE = 40;
    static final int ACCT_SESSION_ID = 44;
    static final int ACCESS_REQUEST = 1;
    static final int ACCESS_ACCEPT = 2;
    static final int ACCESS_REJECT = 3;
    static final int ACCESS_CHALLENGE = 11;
    static final int USER_NAME = 1;
    static final int STATE = 24;
    static final int HEADER_BYTES = 20;
    static final int MAX_BYTES = 4_096;
    private static final int MESSAGE_AUTHENTICATOR = 80;

    private Radius() { }

    private static byte[] md5(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("MD5");
            for (byte[] part : parts) {
                digest.update(part);
            }
            return digest.digest();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] packet(int code, int identifier, byte[] authenticator, byte[] attributes) {
        return ByteBuffer.allocate(HEADER_BYTES + attributes.length).put((byte) code).put((byte) identifier)
                .putShort((short) (HEADER_BYTES + attributes.length)).put(authenticator).put(attributes).array();
    }

    static byte[] attribute(int type, byte[] value) {
        return ByteBuffer.allocate(2 + value.length).put((byte) type).put((byte) (2 + value.length)).put(value).array();
    }

    static byte[] value(byte[] packet, int type) {
        for (int at = HEADER_BYTES; at + 2 <= packet.length; at += packet[at + 1] & 0xFF) {
            if ((packet[at] & 0xFF) == type) {
                return Arrays.copyOfRange(packet, at + 2, at + (packet[at + 1] & 0xFF));
            }
        }
        return null;
    }

    /** A response to a request, with these attributes and its Proxy-State attributes in their order. */
    static byte[] response(int code, byte[] request, byte[] secret, byte[]... own) {
        ByteBuffer attributes = ByteBuffer.allocate(MAX_BYTES);
        for (byte[] each : own) {
            attributes.put(each);
        }
        for (int at = HEADER_BYTES; at + 2 <= request.length; at += request[at + 1] & 0xFF) {
            if ((request[at] & 0xFF) == PROXY_STATE) {
                attributes.put(request, at, request[at + 1] & 0xFF);
            }
        }
        byte[] proxyStates = Arrays.copyOf(attributes.array(), attributes.position());
        byte[] unsigned = packet(code, request[1] & 0xFF, Arrays.copyOfRange(request, 4, HEADER_BYTES), proxyStates);
        return packet(code, request[1] & 0xFF, md5(unsigned, secret), proxyStates);
    }

    /** Whether these bytes are a response to this request, signed with the secret. */
    static boolean isResponse(byte[] answer, byte[] request, byte[] secret) {
        byte[] unsigned = answer.clone();
        System.arraycopy(request, 4, unsigned, 4, 16);
        return answer[1] == request[1] && MessageDigest.isEqual(md5(unsigned, secret), Arrays.copyOfRange(answer, 4, HEADER_BYTES));
    }

    /** An Access-Request with a Message-Authenticator (RFC 3579, 3.2), and with a State unless that is null. */
    static byte[] accessRequest(int identifier, String user, byte[] state, byte[] secret) {
        byte[] name = user.getBytes(StandardCharsets.UTF_8);
        ByteBuffer all = ByteBuffer.allocate(MAX_BYTES).put(attribute(MESSAGE_AUTHENTICATOR, new byte[16]))
                .put(attribute(NAS_IDENTIFIER, name)).put(attribute(USER_NAME, name));
        if (state != null) {
            all.put(attribute(STATE, state));
        }
        byte[] authenticator = new byte[16];
        new SecureRandom().nextBytes(authenticator);
        byte[] request = packet(ACCESS_REQUEST, identifier, authenticator, Arrays.copyOf(all.array(), all.position()));
        try {
            Mac mac = Mac.getInstance("HmacMD5");
            mac.init(new SecretKeySpec(secret, "HmacMD5"));
            System.arraycopy(mac.doFinal(request), 0, request, HEADER_BYTES + 2, 16);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
        return request;
    }

    /** An Accounting-Request with the status type Start. */
    static byte[] accountingStart(int identifier, String charger, String session, byte[] secret) {
        ByteBuffer all = ByteBuffer.allocate(MAX_BYTES).put(attribute(NAS_IDENTIFIER, charger.getBytes(StandardCharsets.UTF_8)))
                .put(attribute(ACCT_STATUS_TYPE, new byte[] {0, 0, 0, 1}))
                .put(attribute(ACCT_SESSION_ID, session.getBytes(StandardCharsets.UTF_8)));
        byte[] attributes = Arrays.copyOf(all.array(), all.position());
        byte[] blank = packet(ACCOUNTING_REQUEST, identifier, new byte[16], attributes);
        return packet(ACCOUNTING_REQUEST, identifier, md5(blank, secret), attributes);
    }

    /**
     * What the servers of one pool know together: sessions whose start has run, kept for the window of the class. A
     * repeat within the window is dropped: it is answered and not run.
     */
    static final class Group {
        final Kit.Log log;
        private final long windowMillis;
        private final Map<String, Double> startedAt = new HashMap<>();
        private final Map<String, List<String>> runs = new HashMap<>();
        private final Set<String> answered = new HashSet<>();

        Group(Kit.Log log, long windowMillis) {
            this.log = log;
            this.windowMillis = windowMillis;
        }

        /** Whether this start runs now; else it is a repeat. */
        synchronized boolean runs(String server, String session) {
            double now = log.millis();
            Double before = startedAt.get(session);
            if (before != null && now - before < windowMillis) {
                log.line("server %s drops a repeat of the start of %s, %.0f ms after it ran", server, session, now - before);
                return false;
            }
            startedAt.put(session, now);
            runs.computeIfAbsent(session, key -> new ArrayList<>()).add(server);
            log.line("server %s runs the start of %s%s", server, session, before == null ? "" : String.format(" AGAIN, %.0f ms after it ran", now - before));
            return true;
        }

        synchronized void answered(String session) {
            answered.add(session);
        }

        /** Whether a server has sent its answer for this session. */
        synchronized boolean isAnswered(String session) {
            return answered.contains(session);
        }

        synchronized List<String> runs(String session) {
            return List.copyOf(runs.getOrDefault(session, List.of()));
        }
    }

    /**
     * A server. It runs a request when it comes and answers after its work. A packet of the same source, identifier and
     * authenticator is a retransmission (RFC 5080, 2.2.2): it gets the same answer, once there is one.
     */
    static final class Server implements Closeable {
        final String name;
        final DatagramSocket socket;
        volatile long workMillis;
        private final byte[] secret;
        private final Group group;
        private final Map<String, byte[]> answers = new HashMap<>();
        private final ScheduledThreadPoolExecutor later = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "radius-later");
            thread.setDaemon(true);
            return thread;
        });

        Server(String name, Group group, byte[] secret, long workMillis) throws IOException {
            this.name = name;
            this.group = group;
            this.secret = secret;
            this.workMillis = workMillis;
            socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
            Kit.daemon("radius-server", this::receive);
        }

        private void receive() {
            byte[] buffer = new byte[MAX_BYTES];
            try {
                while (true) {
                    DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
                    socket.receive(datagram);
                    handle(Arrays.copyOf(buffer, datagram.getLength()), datagram.getSocketAddress());
                }
            } catch (IOException e) {
                return;  // closed
            }
        }

        private synchronized void handle(byte[] request, SocketAddress from) throws IOException {
            if (request[0] == STATUS_SERVER) {
                send(response(ACCESS_ACCEPT, request, secret), from);
                return;
            }
            String identity = from + "/" + HexFormat.of().formatHex(request, 1, HEADER_BYTES);
            if (answers.containsKey(identity)) {
                if (answers.get(identity) != null) {
                    send(answers.get(identity), from);
                }
                return;
            }
            answers.put(identity, null);
            String session = new String(value(request, ACCT_SESSION_ID), StandardCharsets.UTF_8);
            boolean runs = group.runs(name, session);
            later.schedule(() -> answer(identity, session, response(ACCOUNTING_RESPONSE, request, secret), from), runs ? workMillis : 0, TimeUnit.MILLISECONDS);
        }

        private synchronized void answer(String identity, String session, byte[] answer, SocketAddress to) {
            answers.put(identity, answer);
            group.log.line("server %s answers for %s", name, session);
            group.answered(session);
            send(answer, to);
        }

        private void send(byte[] bytes, SocketAddress to) {
            try {
                socket.send(new DatagramPacket(bytes, bytes.length, to));
            } catch (IOException e) {
                group.log.line("server %s: its answer can't be sent: %s", name, e);
            }
        }

        @Override
        public void close() {
            socket.close();
            later.shutdownNow();
        }
    }

    /**
     * Sends a start and, until it is answered, the same packet again at the given times (milliseconds from the first).
     * Returns the milliseconds from the first packet to the answer, or -1 if none came by {@code untilMillis}.
     */
    static long start(Kit.Log log, int port, String charger, String session, byte[] secret, long[] resendAtMillis, long untilMillis)
            throws IOException {
        byte[] request = accountingStart(session.hashCode() & 0xFF, charger, session, secret);
        byte[] buffer = new byte[MAX_BYTES];
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            socket.connect(new InetSocketAddress("127.0.0.1", port));
            long startNanos = System.nanoTime();
            int sent = 0;
            while (true) {
                long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                if (elapsed >= untilMillis) {
                    log.line("charger %s has no answer for %s after %d ms", charger, session, elapsed);
                    return -1;
                }
                long next = sent == 0 ? 0 : sent <= resendAtMillis.length ? resendAtMillis[sent - 1] : untilMillis;
                if (elapsed >= next) {
                    log.line("charger %s sends the start of %s%s", charger, session, sent == 0 ? "" : ", the same packet again");
                    sent++;
                    try {
                        socket.send(new DatagramPacket(request, request.length));
                    } catch (PortUnreachableException e) {
                        log.line("charger %s: nobody listens there", charger);
                    }
                    continue;
                }
                socket.setSoTimeout((int) Math.max(1, Math.min(next, untilMillis) - elapsed));
                try {
                    DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
                    socket.receive(datagram);
                    byte[] answer = Arrays.copyOf(buffer, datagram.getLength());
                    byte[] unsigned = answer.clone();
                    System.arraycopy(request, 4, unsigned, 4, 16);
                    if (answer[0] == ACCOUNTING_RESPONSE && answer[1] == request[1]
                            && MessageDigest.isEqual(md5(unsigned, secret), Arrays.copyOfRange(answer, 4, HEADER_BYTES))) {
                        long answeredMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                        log.line("charger %s has its answer for %s after %d ms", charger, session, answeredMillis);
                        return answeredMillis;
                    }
                } catch (SocketTimeoutException e) {
                    continue;  // time to send again, or to end
                } catch (PortUnreachableException e) {
                    log.line("charger %s: nobody listens there", charger);
                }
            }
        }
    }
}
