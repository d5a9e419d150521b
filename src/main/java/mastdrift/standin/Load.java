package mastdrift.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.locks.LockSupport;

/** Traffic by several clients, each on a thread of its own, for a bounded time: two reads and one keyed start in turn, at an
    even rate. Counts what came back; an answer that is not that of its own request is counted as such. */
public final class Load implements AutoCloseable {

    private static final int SAMPLES_MOST = 1 << 20;
    private static final int JOIN_MILLIS = 15_000;

    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLongArray statuses = new AtomicLongArray(600);
    private final AtomicLong foreign = new AtomicLong();
    private final AtomicLong asked = new AtomicLong();
    private final long[] micros = new long[SAMPLES_MOST];
    private final AtomicLong samples = new AtomicLong();
    private final InetSocketAddress at;
    private final int millis;
    private final long pauseNanos;
    private final long endsAt;
    private volatile boolean stopped;

    /** Starts: so many clients, together so many requests a second (0 for as fast as answers come), each given
        {@code millis} to be answered, for so many seconds at most. */
    public Load(InetSocketAddress at, int clients, double perSecond, int millis, int seconds) {
        this.at = at;
        this.millis = millis;
        pauseNanos = perSecond <= 0 ? 0 : (long) (1e9 * clients / perSecond);
        endsAt = System.nanoTime() + seconds * 1_000_000_000L;
        for (int i = 0; i < clients; i++) {
            int number = i;
            Thread thread = new Thread(() -> run(number), "load-" + i);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(int number) {
        try (StandInClient client = new StandInClient(at)) {
            long next = System.nanoTime() + (long) (pauseNanos * (number / (double) threads.size()));
            for (long i = 0; !stopped && System.nanoTime() < endsAt; i++) {
                long wait = next - System.nanoTime();
                if (pauseNanos > 0 && wait > 0) {
                    LockSupport.parkNanos(wait);
                }
                next = Math.max(next + pauseNanos, System.nanoTime() - pauseNanos);
                ask(client, number + "-" + i, i % 3 == 2);
            }
        }
    }

    private void ask(StandInClient client, String id, boolean keyed) {
        asked.incrementAndGet();
        StandInClient.Answer answer = client.ask(StandInClient.head(keyed ? "session-start" : "session-read", null, id,
                "object-" + id.hashCode() % 500, keyed ? "key-" + id : null, millis, 0), "");
        statuses.incrementAndGet(answer.status());
        if (answer.status() == 200 && !answer.body().endsWith(" " + id)) {
            foreign.incrementAndGet();
        }
        if (answer.status() == 200) {
            int at = (int) samples.getAndIncrement();
            if (at < SAMPLES_MOST) {
                micros[at] = answer.micros();
            }
        }
    }

    /** Requests sent so far. */
    public long asked() {
        return asked.get();
    }

    /** Answers with a status so far; 0 is for connections that ended with none. */
    public long status(int status) {
        return statuses.get(status);
    }

    /** Answers that were refusals so far. */
    public long refused() {
        return status(503) + status(429);
    }

    /** Answers so far that were neither 200 nor a refusal, and requests that got none. */
    public long failed() {
        long all = 0;
        for (int i = 0; i < statuses.length(); i++) {
            all += statuses.get(i);
        }
        return all - status(200) - refused();
    }

    /** Answers with 200 that were not those of their requests. */
    public long foreign() {
        return foreign.get();
    }

    /** Of the answers with 200, the time that this part of them stayed under, in microseconds; 0 where there was none. */
    public long quantile(double part) {
        long[] all = Arrays.copyOf(micros, (int) Math.min(SAMPLES_MOST, samples.get()));
        Arrays.sort(all);
        return all.length == 0 ? 0 : all[Math.min(all.length - 1, (int) (part * all.length))];
    }

    /** Waits until the time is over. */
    public void join() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Ends at once, but for answers that are out, which it waits for. */
    public void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(JOIN_MILLIS);
        }
    }

    /** Ends without waiting. */
    @Override
    public void close() {
        stopped = true;
    }
}
