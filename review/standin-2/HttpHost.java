import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A host: answers each request after a fixed time, and keeps when it got which. */
final class HttpHost implements AutoCloseable {

    /** A request to the API that came: its id, and System.nanoTime of its first byte. */
    record Seen(String id, long atNanos) { }

    final String name;
    private final ServerSocket server;
    private final long workMillis;
    private final List<Seen> seen = new ArrayList<>();

    HttpHost(String name, long workMillis) throws IOException {
        this.name = name;
        this.workMillis = workMillis;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(this::accept, "host-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    String endpoint() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    List<Seen> seen() {
        synchronized (seen) {
            return List.copyOf(seen);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket connection = server.accept();
                connection.setTcpNoDelay(true);
                Thread thread = new Thread(() -> serve(connection), "host-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = connection.getInputStream();
            while (true) {
                int first = in.read();
                long atNanos = System.nanoTime();
                if (first < 0) {
                    return;
                }
                String head = (char) first + HttpClientConnection.readHead(in);
                String id = header(head, "x-trace-id");
                String length = header(head, "content-length");
                in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
                boolean api = head.split(" ", 3)[1].startsWith("/api");
                if (api) {
                    synchronized (seen) {
                        seen.add(new Seen(id, atNanos));
                    }
                    Thread.sleep(workMillis);
                }
                String body = api ? name + " " + id : "";
                connection.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String header(String head, String name) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
                return line.substring(name.length() + 1).strip();
            }
        }
        return "";
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
