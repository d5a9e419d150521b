import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery that is asked, as the protocol page and the site file have it: one service for all gateways that works
 * through calls in turn, each of which takes it a fixed time. A call whose answer would take longer than the time-out is
 * turned away with 503. A watch gets the whole list, then changes, and an empty line every 2 s.
 */
final class DiscoveryService implements AutoCloseable {

    /** A host as it is listed. */
    record Target(String endpoint, String zone, String state, long bootMillis) { }

    /** norte-recarga.toml, [discovery]: timeout_ms = 3000; BENCH: overbook = 1. */
    private static final long TIMEOUT_MILLIS = 3_000;
    /** BENCH, [discovery]: all_call_s is 8 s at most, in which nine gateways (big_balancers) are answered once. */
    private static final long TURN_MILLIS = 880;
    private static final int OTHER_GATEWAYS = 8;
    private static final long OTHERS_RETRY_MILLIS = 100;

    private final CaseRun run;
    private final ServerSocket server;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final List<Socket> watches = new ArrayList<>();
    private long version = 1;
    private long idleAtNanos = System.nanoTime();  // when it has worked through the calls that wait now

    DiscoveryService(CaseRun run) throws IOException {
        this.run = run;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        daemon("discovery", this::accept);
        daemon("discovery-beat", this::beat);
    }

    private static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    private static String json(String uid, Target target) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + target.endpoint + "\",\"az\":\"" + target.zone + "\",\"model\":\"mid-3c\",\"pod_group\":1,\"state\":\"" + target.state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + target.bootMillis + "}";
    }

    /** The whole list in discovery's form, on one line. */
    synchronized String list() {
        List<String> entries = new ArrayList<>();
        targets.forEach((uid, target) -> entries.add(json(uid, target)));
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
    }

    /** Lists a host, or changes its entry; open watches are told. */
    synchronized void put(String uid, Target target) {
        targets.put(uid, target);
        version++;
        run.log("discovery: version " + version + ", " + uid + " is " + target.state);
        tell("{\"rev\":" + version + ",\"all\":false,\"targets\":[" + json(uid, target) + "]}");
    }

    private synchronized void tell(String line) {
        watches.removeIf(watch -> {
            try {
                writeLine(watch, line);
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    private static void writeLine(Socket watch, String line) throws IOException {
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        watch.getOutputStream().write((Integer.toHexString(bytes.length) + "\r\n" + line + "\n\r\n").getBytes(StandardCharsets.UTF_8));
    }

    /** The other gateways of the deployment call now, each until it has been answered. */
    void callAsOtherGateways() {
        run.log("discovery: " + OTHER_GATEWAYS + " other gateways call");
        for (int i = 1; i <= OTHER_GATEWAYS; i++) {
            String name = "other gateway " + i;
            daemon(name, () -> callUntilAnswered(name));
        }
    }

    private void callUntilAnswered(String name) {
        while (true) {
            try (HttpClientConnection call = new HttpClientConnection(port())) {
                HttpClientConnection.Response response = call.exchange("GET /v1/endpoints HTTP/1.1\r\nHost: " + name.replace(' ', '-') + "\r\n\r\n", 10_000);
                if (response.status() == 200) {
                    run.log(name + ": is answered by discovery, " + response.body().substring(0, response.body().indexOf(',')) + "}");
                    return;
                }
            } catch (IOException e) {
                run.log(name + ": " + e.getMessage());
            }
            CaseRun.sleepUninterrupted(OTHERS_RETRY_MILLIS);
        }
    }

    /** All open watches are reset. */
    synchronized void resetWatches() throws IOException {
        run.log("discovery: resets " + watches.size() + " watches");
        for (Socket each : watches) {
            each.setSoLinger(true, 0);
            each.close();
        }
        watches.clear();
    }

    private void beat() {
        while (!server.isClosed()) {
            CaseRun.sleepUninterrupted(2_000);
            tell("");
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket caller = server.accept();
                caller.setTcpNoDelay(true);
                daemon("discovery-call", () -> serve(caller));
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Takes a place in the queue; returns when the call's turn is over, or -1 if it is turned away. */
    private synchronized long enqueue() {
        long now = System.nanoTime();
        long answeredAt = Math.max(now, idleAtNanos) + TURN_MILLIS * 1_000_000;
        if (answeredAt - now > TIMEOUT_MILLIS * 1_000_000) {
            return -1;
        }
        idleAtNanos = answeredAt;
        return answeredAt;
    }

    private void serve(Socket caller) {
        try {
            String head = HttpClientConnection.readHead(caller.getInputStream());
            String line = head.substring(0, head.indexOf("\r\n"));
            boolean isWatch = line.contains("watch=1");
            long answeredAt = enqueue();
            if (isWatch) {
                run.log("discovery: the gateway calls, " + line + (answeredAt < 0 ? ", and is turned away: 503" : ", and waits for its turn"));
            }
            if (answeredAt < 0) {
                caller.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                caller.close();
                return;
            }
            Thread.sleep(Math.max(0, (answeredAt - System.nanoTime()) / 1_000_000));
            synchronized (this) {
                String list = list();
                if (isWatch) {
                    run.log("discovery: answers the gateway with version " + version);
                    caller.getOutputStream().write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                    writeLine(caller, list);
                    watches.add(caller);
                } else {
                    caller.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\nConnection: close\r\n\r\n" + list).getBytes(StandardCharsets.UTF_8));
                    caller.close();
                }
            }
        } catch (IOException e) {
            run.log("discovery: a call ended: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
