import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary clients send one request at a time, while other clients send several commands at once, each with a body of
 * 64 KiB, and go. Every request of the ordinary clients has to get its final answer.
 */
final class BodyBurst {

    private static final int HOSTS = 6;
    private static final int SOCKETS = 1_024;
    private static final int MEMORY_MB = 192;
    private static final int ORDINARY_CLIENTS = 10;
    private static final long ORDINARY_PAUSE_MILLIS = 50;
    private static final long ORDINARY_EXPIRES_MILLIS = 1_500;
    // A final answer counts for up to half a second after the request's time; each time limit is 50 ms longer.
    private static final long LATE_MILLIS = 550;
    private static final int BURST_CLIENTS = 200;
    private static final int COMMANDS_AT_ONCE = 8;
    private static final int BODY_BYTES = 64 << 10;
    private static final long BURST_EXPIRES_MILLIS = 1_500;
    private static final long BURST_CLIENT_STAYS_MILLIS = 1_000;
    // A gateway has taken a request once its last byte is written to a connection that its machine accepted.
    private static final String NOT_TAKEN = "not taken";
    private static final long CALM_MILLIS = 3_000;
    private static final long WATCHED_MILLIS = 20_000;

    private final Kit.Log log;
    private final int port;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final Map<String, AtomicInteger> ordinary = new ConcurrentSkipListMap<>();
    private final Map<String, AtomicInteger> burst = new ConcurrentSkipListMap<>();

    private BodyBurst(Kit.Log log, int port) {
        this.log = log;
        this.port = port;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review");
        int status = Kit.NOT_RUN;
        Kit.Program gateway = null;
        try (Kit.Log log = new Kit.Log(Path.of(arguments[0]))) {
            List<Kit.Host> hosts = new ArrayList<>();
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new Kit.Host("s-" + i, (host, request, socket) -> {
                    log.line("host %s runs %s", host.uid, request.field("x-trace-id"));
                    Kit.sleep(request.method().equals("GET") ? 30 : 400);
                    socket.getOutputStream().write(Kit.answer(200, "", request.field("x-trace-id").getBytes()));
                    return true;
                }));
            }
            Kit.Discovery discovery = new Kit.Discovery(hosts, "bilbao");
            int port = Kit.freePort();
            gateway = Kit.startGateway(folder, "n1", port, discovery.address(), discovery.list(), SOCKETS, MEMORY_MB,
                    Kit.settings("on_request", 1_500_000));
            if (!Kit.awaitReady(gateway, port)) {
                log.line("the gateway is not in service: %s", gateway.text());
            } else {
                status = new BodyBurst(log, port).play(gateway);
                log.line("requests that hosts got: %d", hosts.stream().mapToInt(host -> host.requests.get()).sum());
            }
            gateway.end();
            log.line("the gateway's log, without calls to discovery and refusals:");
            gateway.text().lines().filter(line -> !line.startsWith("call ") && !line.contains(" REFUSED ")).limit(60)
                    .forEach(line -> log.line("  %s", line));
            log.line("exit status %d", status);
        } finally {
            if (gateway != null) {
                gateway.end();
            }
            Kit.deleteTree(folder);
        }
        System.exit(status);
    }

    private int play(Kit.Program gateway) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            threads.add(Kit.daemon("ordinary", this::runOrdinaryClient));
        }
        Kit.sleep(CALM_MILLIS);
        log.line("ordinary clients before the burst: %s", ordinary);
        if (lost.get() > 0 || !ordinary.containsKey("200")) {
            return Kit.NOT_RUN;
        }
        if (Kit.trouble()) {
            log.line("%d clients send %d commands at once, with bodies of %d bytes, and go %d ms later", BURST_CLIENTS, COMMANDS_AT_ONCE,
                    BODY_BYTES, BURST_CLIENT_STAYS_MILLIS);
            for (int i = 0; i < BURST_CLIENTS; i++) {
                Kit.daemon("burst", this::runBurstClient);
            }
        }
        for (int i = 0; i < WATCHED_MILLIS / 1_000; i++) {
            Kit.sleep(1_000);
            log.line("ordinary clients: %s, lost %d; clients of the burst: %s", ordinary, lost.get(), burst);
        }
        ended.set(true);
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(10));
        }
        log.line("in the end: ordinary clients: %s, lost %d, foreign answers %d; clients of the burst: %s; gateway %s", ordinary, lost.get(),
                foreign.get(), burst, gateway.process.isAlive() ? "runs" : "has ended");
        return lost.get() > 0 || foreign.get() > 0 || !gateway.process.isAlive() ? Kit.RULE_BROKEN : Kit.RULE_HELD;
    }

    private static void count(Map<String, AtomicInteger> counts, String what) {
        counts.computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
    }

    /** One request at a time on a connection that is kept. */
    private void runOrdinaryClient() {
        Socket[] kept = new Socket[1];
        while (!ended.get()) {
            String id = Kit.newTraceId();
            double sentAt = log.millis();
            String outcome;
            try {
                outcome = send(kept, id);
            } catch (SocketTimeoutException e) {
                outcome = "no answer";
            } catch (IOException e) {
                outcome = "connection ended with no whole answer: " + e;
            }
            count(ordinary, outcome.startsWith("connection") ? "connection ended" : outcome);
            log.line("ordinary request %s: %s after %.0f ms", id, outcome, log.millis() - sentAt);
            if (outcome.equals(NOT_TAKEN)) {
                close(kept);
            } else if (!Character.isDigit(outcome.charAt(0))) {
                lost.incrementAndGet();
                log.line("lost: request %s, sent at %.0f ms: %s", id, sentAt, outcome);
                close(kept);
            }
            Kit.sleep(ORDINARY_PAUSE_MILLIS);
        }
        close(kept);
    }

    /** Sends once more, on a new connection, if a kept one ends before any byte of an answer has come. */
    private String send(Socket[] kept, String id) throws IOException {
        if (kept[0] != null) {
            try {
                write(kept[0], id);
                return readAnswer(kept[0], id);
            } catch (SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                log.line("request %s goes once more, on a new connection: %s", id, e);
                close(kept);
            }
        }
        try {
            kept[0] = new Socket("127.0.0.1", port);
            write(kept[0], id);
        } catch (IOException e) {
            log.line("request %s could not be written: %s", id, e);
            return NOT_TAKEN;
        }
        return readAnswer(kept[0], id);
    }

    private static void write(Socket socket, String id) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) (ORDINARY_EXPIRES_MILLIS + LATE_MILLIS));
        socket.getOutputStream().write(Kit.request("charger-status", id, ORDINARY_EXPIRES_MILLIS, null, null));
    }

    private String readAnswer(Socket socket, String id) throws IOException {
        Kit.Message answer = Kit.readMessage(socket.getInputStream());
        if (answer.status() == 200 && !new String(answer.body()).equals(id)) {
            foreign.incrementAndGet();
            log.line("foreign answer to %s: %s", id, new String(answer.body()));
        }
        return Integer.toString(answer.status());
    }

    private static void close(Socket[] kept) {
        try {
            if (kept[0] != null) {
                kept[0].close();
            }
        } catch (IOException e) {
            return;  // closed all the same
        } finally {
            kept[0] = null;
        }
    }

    /** Sends all its commands at once, and goes 1 s later. */
    private void runBurstClient() {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'b');
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setTcpNoDelay(true);
            ByteArrayOutputStream commands = new ByteArrayOutputStream();
            for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
                commands.write(Kit.request("session-start", Kit.newTraceId(), BURST_EXPIRES_MILLIS, Kit.newTraceId(), body));
            }
            Kit.daemon("burst-write", () -> {
                try {
                    socket.getOutputStream().write(commands.toByteArray());
                    count(burst, "sent all commands");
                } catch (IOException e) {
                    count(burst, "left before all was sent");
                }
            });
            Kit.sleep(BURST_CLIENT_STAYS_MILLIS);
        } catch (IOException e) {
            count(burst, "not connected");
        }
        count(burst, "gone");
    }
}
