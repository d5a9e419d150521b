import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** Clients of the class charger-status, each on a connection of its own, at a fixed rate together. */
final class StatusClients {

    private static final int DEFAULT_CLIENTS = 10;

    private final CaseRun run;
    private final int port;
    private final long pauseMillis;
    private final AtomicLong ids = new AtomicLong();
    private final Map<String, Integer> results = new TreeMap<>();
    private volatile boolean stopped;

    StatusClients(CaseRun run, int port, long perSecond) {
        this(run, port, perSecond, DEFAULT_CLIENTS);
    }

    StatusClients(CaseRun run, int port, long perSecond, int clients) {
        this.run = run;
        this.port = port;
        pauseMillis = 1_000L * clients / perSecond;
        for (int i = 0; i < clients; i++) {
            long delay = i * pauseMillis / clients;
            Thread thread = new Thread(() -> send(delay), "client-" + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void send(long delayMillis) {
        CaseRun.sleepUninterrupted(delayMillis);
        HttpClientConnection connection = null;
        while (!stopped) {
            long started = System.nanoTime();
            String id = "status-" + ids.incrementAndGet();
            String result;
            try {
                connection = connection == null ? new HttpClientConnection(port) : connection;
                HttpClientConnection.Response response = connection.exchange("GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: " + id
                        + "\r\nX-Qos: charger-status\r\nX-Customer: cantabrica-carga\r\nX-Object: session-" + ids.get() % 500 + "\r\nX-Expires-In-Ms: 1500\r\n\r\n", 2_500);
                result = Integer.toString(response.status());
                if (response.head().toLowerCase(java.util.Locale.ROOT).contains("connection: close")) {
                    connection.close();
                    connection = null;
                }
            } catch (IOException e) {
                result = "no answer";
                connection = null;
            }
            synchronized (results) {
                results.merge(result, 1, Integer::sum);
            }
            long left = pauseMillis - (System.nanoTime() - started) / 1_000_000;
            CaseRun.sleepUninterrupted(Math.max(0, left));
        }
    }

    /** Ends the clients and writes to the record what they were answered. */
    void stop() {
        stopped = true;
        synchronized (results) {
            run.log("clients: " + ids.get() + " requests sent, answers " + results);
        }
    }
}
