package mastdrift.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client with one connection, one request at a time; it waits for each answer. One thread at a time. */
public final class StandInClient implements AutoCloseable {

    private static final int HEAD_MOST = 1 << 14;
    private static final int WAIT_MILLIS = 10_000;

    /** An answer: status 0 where the connection ended with none, the body, and the time it took in microseconds. */
    public record Answer(int status, String body, long micros) { }

    private final InetSocketAddress at;
    private final int waitMillis;
    private Socket socket;
    private InputStream in;

    /** Connects when it is first asked to. */
    public StandInClient(InetSocketAddress at) {
        this(at, WAIT_MILLIS);
    }

    /** Likewise; waits so long for a connection, and for each read. */
    public StandInClient(InetSocketAddress at, int waitMillis) {
        this.at = at;
        this.waitMillis = waitMillis;
    }

    /** Asks once, and once more on a new connection where a kept one had been closed before the request was read. */
    public Answer ask(String head, String body) {
        long since = System.nanoTime();
        boolean kept = socket != null;
        Answer answer = once(head, body, since);
        return answer.status == 0 && kept && answer.body.isEmpty() ? once(head, body, since) : answer;
    }

    /** The head of a request as the platform's clients send it; the repeat key may be null. */
    public static String head(String className, String tenant, String id, String object, String repeatKey, int millis,
            int length) {
        return (length > 0 || repeatKey != null ? "POST" : "GET") + " /api HTTP/1.1\r\nHost: demo\r\nX-Trace-Id: " + id
                + "\r\nX-Qos: " + className + (tenant == null ? "" : "\r\nX-Customer: " + tenant) + "\r\nX-Object: " + object
                + "\r\nX-Expires-In-Ms: " + millis + (repeatKey == null ? "" : "\r\nIdempotency-Key: " + repeatKey)
                + (length > 0 || repeatKey != null ? "\r\nContent-Length: " + length : "") + "\r\n\r\n";
    }

    private Answer once(String head, String body, long since) {
        try {
            if (socket == null) {
                socket = new Socket();
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(waitMillis);
                socket.connect(at, waitMillis);
                in = new BufferedInputStream(socket.getInputStream());
            }
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
            String answer = head();
            int length = 0;
            boolean closes = false;
            for (String line : answer.split("\r\n")) {
                String lower = line.toLowerCase(Locale.ROOT);
                length = lower.startsWith("content-length:") ? Integer.parseInt(line.substring(15).strip()) : length;
                closes |= lower.equals("connection: close");
            }
            String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
            if (closes) {
                close();
            }
            return new Answer(Integer.parseInt(answer.split(" ", 3)[1]), text, (System.nanoTime() - since) / 1000);
        } catch (IOException e) {
            close();
            return new Answer(0, e instanceof SocketTimeoutException ? "time-out" : "",
                    (System.nanoTime() - since) / 1000);
        }
    }

    private String head() throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < HEAD_MOST) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            head.append((char) next);
            if (next == '\n' && head.toString().endsWith("\r\n\r\n")) {
                return head.toString();
            }
        }
        throw new IOException("a head without end");
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            return;  // it was closed, or is now
        } finally {
            socket = null;
        }
    }
}
