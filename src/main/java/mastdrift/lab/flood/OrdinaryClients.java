package mastdrift.lab.flood;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * Clients that behave: each sends one request at a time on a connection that it keeps, waits for the answer, and connects
 * again only where the gateway has closed the connection. Every request and its end is recorded.
 */
public final class OrdinaryClients implements AutoCloseable {

    /** How a request ended. */
    public enum End {
        SERVED, REFUSED, FAILED,
        /** It was written whole, and no whole answer came in time, or none at all. */
        LOST,
        /** It was written on a connection that the gateway ended without an answer; it is sent once more on another one. */
        CROSSED,
        /** The gateway accepted no connection for it. */
        NOT_TAKEN
    }

    /** A request: when its last byte was written, by {@link System#nanoTime}, and how long its answer took. */
    public record Request(String id, long sentNanos, int waitMillis, End end, long tookMicros) { }

    /** An answer may be so late before its request counts as lost: half a second, and 50 ms for the network. */
    private static final int LATE_MILLIS = 550;
    private static final int CONNECT_TIMEOUT_MILLIS = 3_000;
    private static final int MAX_PAUSE_MILLIS = 20;
    private static final int LARGE_BODY_ONE_IN = 8;
    private static final int LARGE_BODY_BYTES = 40_000;

    private final InetSocketAddress gateway;
    private final int waitMillis;
    private final List<Request> requests = Collections.synchronizedList(new ArrayList<>());
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ended;

    private OrdinaryClients(InetSocketAddress gateway, int waitMillis) {
        this.gateway = gateway;
        this.waitMillis = waitMillis;
    }

    /** Starts so many clients, which wait for {@code waitMillis} for an answer; {@code seed} draws their pauses and requests. */
    public static OrdinaryClients start(InetSocketAddress gateway, int clients, int waitMillis, long seed) {
        OrdinaryClients all = new OrdinaryClients(gateway, waitMillis);
        for (int i = 0; i < clients; i++) {
            Client client = all.new Client("ordinary" + i, new Random(seed * 1_000 + i));
            Thread thread = new Thread(client, "ordinary-" + i);
            thread.setDaemon(true);
            all.threads.add(thread);
            thread.start();
        }
        return all;
    }

    /** The requests that were sent from a time on, by {@link System#nanoTime}, and have ended. */
    public List<Request> requestsSince(long nanos) {
        synchronized (requests) {
            return requests.stream().filter(request -> request.sentNanos - nanos >= 0).toList();
        }
    }

    /** Ends all clients, once the request of each has ended. */
    @Override
    public void close() {
        ended = true;
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One client. */
    private final class Client implements Runnable {

        private final String name;
        private final Random random;
        private Socket socket;
        private InputStream input;
        private boolean usedBefore;

        Client(String name, Random random) {
            this.name = name;
            this.random = random;
        }

        @Override
        public void run() {
            try {
                for (int i = 0; !ended; i++) {
                    request(name + "-" + i);
                    Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                disconnect();
            }
        }

        private void request(String id) {
            byte[] message = message(id);
            Request request = send(id, message);
            if (request.end == End.CROSSED) {
                requests.add(request);
                request = send(id, message);
            }
            requests.add(request);
        }

        private byte[] message(String id) {
            String head = " /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + id + "\r\nX-Customer: tenant\r\nX-Object: " + random.nextInt(500)
                    + "\r\nX-Expires-In-Ms: " + waitMillis + "\r\n";
            String body = random.nextInt(LARGE_BODY_ONE_IN) == 0 ? "y".repeat(LARGE_BODY_BYTES) : "";
            String message = switch (random.nextInt(3)) {
                case 0 -> "GET" + head + "X-Qos: safe\r\n\r\n";
                case 1 -> "POST" + head + "X-Qos: keyed\r\nIdempotency-Key: key-" + id + "\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body;
                default -> "POST" + head + "X-Qos: unsafe\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            };
            return message.getBytes(StandardCharsets.ISO_8859_1);
        }

        private Request send(String id, byte[] message) {
            long sentNanos = System.nanoTime();
            if (!connect()) {
                return new Request(id, sentNanos, waitMillis, End.NOT_TAKEN, 0);
            }
            boolean reused = usedBefore;
            usedBefore = true;
            End end;
            try {
                socket.getOutputStream().write(message);
                sentNanos = System.nanoTime();
                end = readAnswer(sentNanos);
            } catch (SocketTimeoutException e) {
                end = End.LOST;
                disconnect();
            } catch (IOException e) {
                end = reused ? End.CROSSED : End.LOST;
                disconnect();
            }
            return new Request(id, sentNanos, waitMillis, end, (System.nanoTime() - sentNanos) / 1_000);
        }

        private boolean connect() {
            if (socket != null) {
                return true;
            }
            try {
                Socket next = new Socket();
                next.setTcpNoDelay(true);
                next.connect(gateway, CONNECT_TIMEOUT_MILLIS);
                socket = next;
                input = new BufferedInputStream(next.getInputStream());
                usedBefore = false;
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        private End readAnswer(long sentNanos) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                long leftMillis = waitMillis + LATE_MILLIS - (System.nanoTime() - sentNanos) / 1_000_000;
                socket.setSoTimeout((int) Math.max(1, leftMillis));
                int next = input.read();
                if (next < 0) {
                    throw new IOException("the connection ended");
                }
                head.append((char) next);
            }
            String[] lines = head.toString().toLowerCase(Locale.ROOT).split("\r\n");
            int length = 0;
            boolean closes = false;
            for (String line : lines) {
                length = line.startsWith("content-length:") ? Integer.parseInt(line.substring(15).strip()) : length;
                closes |= line.equals("connection: close");
            }
            if (input.readNBytes(length).length < length) {
                throw new IOException("the connection ended within an answer");
            }
            if (closes) {
                disconnect();
            }
            return switch (Integer.parseInt(lines[0].split(" ")[1])) {
                case 200 -> End.SERVED;
                case 429, 503 -> End.REFUSED;
                default -> End.FAILED;
            };
        }

        private void disconnect() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                return;  // it was closed already
            } finally {
                socket = null;
            }
        }
    }
}
