package mastdrift.lab.flood;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One client that sends requests of one {@link FloodKind} on one connection as fast as the gateway takes them, and reads
 * and drops the answers meanwhile. It connects again when its connection ends.
 */
public final class FloodClient implements AutoCloseable {

    private static final int REQUESTS_PER_WRITE = 50;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int RECONNECT_DELAY_MILLIS = 1;

    private final InetSocketAddress gateway;
    private final FloodKind kind;
    private final String name;
    private final AtomicLong sentRequests = new AtomicLong();
    private final Thread writer;
    private volatile Socket socket;
    private volatile boolean ended;

    private FloodClient(InetSocketAddress gateway, FloodKind kind, String name) {
        this.gateway = gateway;
        this.kind = kind;
        this.name = name;
        writer = new Thread(this::sendUntilEnded, "flood-" + name);
        writer.setDaemon(true);
    }

    /** Starts a client; {@code name} is part of the ids and object names that it sends. */
    public static FloodClient start(InetSocketAddress gateway, FloodKind kind, String name) {
        FloodClient client = new FloodClient(gateway, kind, name);
        client.writer.start();
        return client;
    }

    /** Requests written so far. */
    public long sentRequests() {
        return sentRequests.get();
    }

    private void sendUntilEnded() {
        while (!ended) {
            try (Socket connection = new Socket()) {
                socket = connection;
                connection.connect(gateway, CONNECT_TIMEOUT_MILLIS);
                startReader(connection);
                while (!ended) {
                    connection.getOutputStream().write(nextRequests());
                    sentRequests.addAndGet(REQUESTS_PER_WRITE);
                }
            } catch (IOException e) {
                pause();  // the gateway closed the connection, or doesn't accept
            }
        }
    }

    private byte[] nextRequests() {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
            requests.append(kind.request(name, sentRequests.get() + i));
        }
        return requests.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void startReader(Socket connection) {
        Thread reader = new Thread(() -> {
            byte[] dropped = new byte[1 << 16];
            try (InputStream in = connection.getInputStream()) {
                while (in.read(dropped) >= 0) {
                    continue;
                }
            } catch (IOException e) {
                return;  // the connection has ended
            }
        }, "flood-reader");
        reader.setDaemon(true);
        reader.start();
    }

    private static void pause() {
        try {
            Thread.sleep(RECONNECT_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        ended = true;
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            return;  // it was closed already
        }
    }
}
