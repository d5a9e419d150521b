import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A RADIUS server on a port of 127.0.0.1 that does with each packet what its handler says. */
final class RadiusServer implements AutoCloseable {

    /** What a server does with a packet. */
    interface Handler {
        void handle(RadiusServer server, RadiusPacket packet, SocketAddress from, long atNanos) throws IOException;
    }

    final String name;
    final byte[] secret;
    final DatagramSocket socket;
    private final Handler handler;
    private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "radius-later");
        thread.setDaemon(true);
        return thread;
    });
    /** Memory of the packets that it has seen, by source and identity, with the response or an empty array. */
    final Map<String, byte[]> seen = new ConcurrentHashMap<>();

    RadiusServer(String name, String secret, Handler handler) throws IOException {
        this.name = name;
        this.secret = secret.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        this.handler = handler;
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::receive, "radius-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return socket.getLocalPort();
    }

    private void receive() {
        byte[] buffer = new byte[4096];
        while (!socket.isClosed()) {
            try {
                DatagramPacket datagram = new DatagramPacket(buffer, buffer.length);
                socket.receive(datagram);
                long atNanos = System.nanoTime();
                RadiusPacket packet = RadiusPacket.decode(Arrays.copyOf(buffer, datagram.getLength()), datagram.getLength());
                if (packet.code == RadiusPacket.STATUS_SERVER) {
                    send(packet.response(RadiusPacket.ACCESS_ACCEPT, java.util.List.of(), secret), datagram.getSocketAddress());
                } else {
                    handler.handle(this, packet, datagram.getSocketAddress(), atNanos);
                }
            } catch (IOException e) {
                return;
            }
        }
    }

    void send(byte[] bytes, SocketAddress to) throws IOException {
        socket.send(new DatagramPacket(bytes, bytes.length, to));
    }

    /** What a server does later. */
    interface Task {
        void run() throws IOException;
    }

    void later(long millis, Task task) {
        later.schedule(() -> {
            task.run();
            return null;
        }, millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        socket.close();
        later.shutdownNow();
    }
}
