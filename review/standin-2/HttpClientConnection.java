import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client: sends a request and reads its response. Not thread-safe. */
final class HttpClientConnection implements AutoCloseable {

    /** A response. */
    record Response(int status, String head, String body) { }

    private final Socket socket = new Socket();

    HttpClientConnection(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
    }

    Response exchange(String request, int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = socket.getInputStream();
        String head = readHead(in);
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("response cut short");
        }
        return new Response(Integer.parseInt(head.split(" ", 3)[1]), head, new String(body, StandardCharsets.UTF_8));
    }

    /** Reads a head up to its empty line. */
    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection ended");
            }
            head.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
