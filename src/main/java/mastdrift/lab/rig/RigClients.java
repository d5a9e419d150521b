package mastdrift.lab.rig;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import mastdrift.standin.StandInClient;

/** Clients of the rig: each asks one thing after another, half of them reads and half keyed starts, and repeats at another gateway what was refused or has no answer, as apps do. */
final class RigClients implements AutoCloseable {

    /** For how long a client waits for an answer, in milliseconds. */
    static final int EXPIRES = 1_500;
    // A client gives up a connection that much after the time that the gateway had: a later answer is none to the rule (STANDING, half a second).
    static final int GIVES_UP = EXPIRES + 600;
    private static final int TRIES = 3;
    private static final long PAUSE_MILLIS = 15;
    private static final long END_SECONDS = 30;

    private final List<InetSocketAddress> gateways;
    private final History history;
    private final CountDownLatch ended;
    private final int clients;
    private final long seed;
    private final AtomicLong ids = new AtomicLong();
    private volatile boolean over;

    RigClients(List<InetSocketAddress> gateways, int clients, long seed, History history) {
        this.gateways = gateways;
        this.history = history;
        this.clients = clients;
        this.seed = seed;
        ended = new CountDownLatch(clients);
    }

    /** They ask until {@link #close}. Once. */
    void start() {
        for (int i = 0; i < clients; i++) {
            Random random = new Random(seed * 1_000 + i);
            Thread thread = new Thread(() -> run(random), "rig-client-" + i);
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void run(Random random) {
        Map<Integer, StandInClient> open = new HashMap<>();
        try {
            while (!over) {
                one(random, open);
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.values().forEach(StandInClient::close);
            ended.countDown();
        }
    }

    private void one(Random random, Map<Integer, StandInClient> open) {
        boolean keyed = random.nextBoolean();
        String key = keyed ? "key-" + ids.incrementAndGet() : null;
        List<Integer> asked = new ArrayList<>();
        for (int i = 0; i < TRIES && !over; i++) {
            int at = random.nextInt(gateways.size());
            while (asked.contains(at) && asked.size() < gateways.size()) {
                at = random.nextInt(gateways.size());
            }
            asked.add(at);
            int gateway = at;
            String id = "id-" + ids.incrementAndGet();
            long sentAt = history.now();
            StandInClient.Answer answer = open.computeIfAbsent(at, to -> new StandInClient(gateways.get(gateway), GIVES_UP))
                    .ask(StandInClient.head(keyed ? "session-start" : "session-read", null, id, "object-" + random.nextInt(500), key, EXPIRES, 0), "");
            history.add(sentAt, "client", "asked", "id", id, "gateway", at, "key", key == null ? "" : key, "status", answer.status(),
                    "body", answer.body(), "micros", answer.micros());
            if (answer.status() == 200 || answer.status() != 0 && answer.status() != 503 && answer.status() != 429 && answer.status() < 500) {
                return;
            }
        }
    }

    /** No new requests; waits for the answers to those that are open. */
    @Override
    public void close() {
        over = true;
        try {
            ended.await(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
