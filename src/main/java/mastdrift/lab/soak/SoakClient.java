package mastdrift.lab.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import mastdrift.lab.soak.SoakRecord.Asked;
import mastdrift.lab.soak.SoakRecord.Effect;
import mastdrift.lab.soak.SoakRecord.End;

/** One client of a gateway: asks one thing after the other on the connection that it has for as long as that is open, of every class, at once again where it is refused. Some leave early. A
    request that crosses the end of a used connection is sent once more on a new one. */
final class SoakClient extends Thread {

    /** Where a gateway listens by now. */
    interface Gateway {
        /** The process to connect to; null where none takes connections. */
        Target target();
    }

    /** A process of a gateway, and where it listens. */
    record Target(String name, InetSocketAddress at) { }

    /** For how long clients wait, in milliseconds. */
    record Waits(int least, int most) { }

    private static final int LEAVES_OF = 12;
    private static final int LATE_MILLIS = 700;
    private static final int PAUSE_MILLIS = 6;
    private static final int NOBODY_MILLIS = 20;
    private static final int KEYS = 500;

    private final String name;
    private final SoakRecord record;
    private final Gateway gateway;
    private final Waits waits;
    private final Random random;
    private volatile boolean over;
    private Socket socket;
    private InputStream in;
    private Target target;
    private boolean used;

    SoakClient(String name, SoakRecord record, Gateway gateway, Waits waits, long seed) {
        super("soak-client-" + name);
        this.name = name;
        this.record = record;
        this.gateway = gateway;
        this.waits = waits;
        random = new Random(seed);
        setDaemon(true);
    }

    void end() {
        over = true;
    }

    @Override
    public void run() {
        try {
            for (int i = 0; !over; i++) {
                ask(name + "-" + i);
                Thread.sleep(random.nextInt(2 * PAUSE_MILLIS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private void ask(String id) throws InterruptedException {
        Effect effect = Effect.values()[random.nextInt(Effect.values().length)];
        int millis = waits.least + random.nextInt(waits.most - waits.least + 1);
        int leavesAfter = random.nextInt(LEAVES_OF) == 0 ? 1 + random.nextInt(millis / 2) : Integer.MAX_VALUE;
        String request = request(id, effect, millis);
        Asked asked = once(id, effect, request, millis, leavesAfter);
        if (asked.end() == End.NONE && asked.used() && asked.endedAt() - asked.sentAt() < millis * 1_000L) {
            record.crossed.add(new SoakRecord.Crossed(id, asked.gateway(), asked.sentAt(), asked.endedAt()));
            asked = once(id, effect, request, millis, leavesAfter);
        }
        if (asked.end() == End.NOT_TAKEN) {
            Thread.sleep(NOBODY_MILLIS);
        } else {
            record.asked.add(asked);
        }
    }

    private String request(String id, Effect effect, int millis) {
        String method = effect == Effect.SAFE ? "GET" : "POST";
        String key = effect == Effect.KEYED ? "Idempotency-Key: key-" + id + "\r\n" : "";
        return method + " /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + effect.name().toLowerCase(java.util.Locale.ROOT) + "\r\nX-Object: " + random.nextInt(KEYS)
                + "\r\nX-Expires-In-Ms: " + millis + "\r\n" + key + (effect == Effect.SAFE ? "" : "Content-Length: 0\r\n") + "\r\n";
    }

    private Asked once(String id, Effect effect, String request, int millis, int leavesAfter) {
        if (!connect()) {
            return new Asked(id, target == null ? "" : target.name, effect, null, record.now(), millis * 1_000L, false, End.NOT_TAKEN, record.now(), "");
        }
        boolean kept = used;
        used = true;
        byte[] bytes = request.getBytes(StandardCharsets.ISO_8859_1);
        long sentAt = record.now();
        End end;
        String odd = "";
        try {
            socket.getOutputStream().write(bytes);
            sentAt = record.now();  // this thread may have been late with it: what it waits for counts from the last byte
            Answer answer = read(sentAt, Math.min(millis + LATE_MILLIS, leavesAfter));
            end = answer.status == 200 ? End.SERVED : answer.status == 503 || answer.status == 429 ? End.REFUSED : End.FAILED;
            odd = odd(answer, id);
            if (answer.closes || !odd.isEmpty()) {
                disconnect();
            }
        } catch (SocketTimeoutException e) {
            end = leavesAfter < millis ? End.LEFT : End.NONE;
            disconnect();
        } catch (IOException e) {
            end = End.NONE;
            disconnect();
        }
        return new Asked(id, target.name, effect, null, sentAt, millis * 1_000L, kept, end, record.now(), odd);
    }

    private String odd(Answer answer, String id) throws IOException {
        if (answer.status == 200 && !answer.body.endsWith(" " + id)) {
            return "expected the answer to it, found \"" + answer.body + "\"";
        }
        return in.available() > 0 ? "expected one answer, found more bytes behind it" : "";
    }

    private boolean connect() {
        if (socket != null) {
            return true;
        }
        target = gateway.target();
        if (target == null) {
            return false;
        }
        try {
            Socket next = new Socket();
            next.setTcpNoDelay(true);
            next.connect(target.at, waits.most);
            socket = next;
            in = new BufferedInputStream(next.getInputStream());
            used = false;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void disconnect() {
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

    private record Answer(int status, String body, boolean closes) { }

    private Answer read(long sentAt, int withinMillis) throws IOException {
        String head = head(sentAt, withinMillis);
        int length = 0;
        boolean closes = false;
        for (String line : head.split("\r\n")) {
            String lower = line.toLowerCase(java.util.Locale.ROOT);
            length = lower.startsWith("content-length:") ? Integer.parseInt(line.substring("content-length:".length()).strip()) : length;
            closes |= lower.equals("connection: close");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the connection ended within an answer");
        }
        return new Answer(Integer.parseInt(head.split(" ", 3)[1]), new String(body, StandardCharsets.UTF_8), closes);
    }

    private String head(long sentAt, int withinMillis) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            socket.setSoTimeout((int) Math.max(1, withinMillis - (record.now() - sentAt) / 1_000));
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }
}
