package mastdrift.agreed.edge;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/** Questions and answers over links that may lose both. Bounded: {@value #OPEN_MOST} questions that wait for an answer, {@value #SERVED_MOST} that wait to be answered; beyond, they fail or are dropped. */
final class Calls implements AutoCloseable {

    static final int OPEN_MOST = 1_024;
    static final int SERVED_MOST = 256;
    private static final int THREADS = 4;
    private static final int ANSWER = 0x80;
    private static final int FAULT = 0x40;
    private static final int HEAD = 1 + Long.BYTES;

    /** Answers a question of a kind; throws what the asker is to hear. May wait. */
    interface Server {
        byte[] answer(String from, byte kind, byte[] question) throws Exception;
    }

    private record Open(String to, CompletableFuture<byte[]> answer) { }

    private final Wires wires;
    private final Server server;
    private final Map<Long, Open> open = new ConcurrentHashMap<>();
    // Numbers of an earlier life's questions must not be taken for this one's.
    private final AtomicLong numbers = new AtomicLong(System.nanoTime());
    private final ScheduledThreadPoolExecutor timer;
    private final ThreadPoolExecutor servers;

    Calls(Wires wires, ScheduledThreadPoolExecutor timer, Server server) {
        this.wires = wires;
        this.timer = timer;
        this.server = server;
        servers = new ThreadPoolExecutor(THREADS, THREADS, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(SERVED_MOST), task -> {
            Thread thread = new Thread(task, "agreed-serves");
            thread.setDaemon(true);
            return thread;
        });
        servers.allowCoreThreadTimeOut(true);
        wires.ears(this::heard);
    }

    /** Asks; the future fails where no answer came in time, or a fault did. */
    CompletableFuture<byte[]> ask(String to, byte kind, byte[] question, long millis) {
        CompletableFuture<byte[]> answer = new CompletableFuture<>();
        if (open.size() >= OPEN_MOST) {
            answer.completeExceptionally(new IllegalStateException("expected at most " + OPEN_MOST + " open questions"));
            return answer;
        }
        long number = numbers.incrementAndGet();
        open.put(number, new Open(to, answer));
        wires.send(to, message(kind, number, question));
        try {
            timer.schedule(() -> {
                if (open.remove(number) != null) {
                    answer.completeExceptionally(new TimeoutException("no answer from " + to + " in " + millis + " ms"));
                }
            }, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            open.remove(number);
            answer.completeExceptionally(e);
        }
        return answer;
    }

    private static byte[] message(int kind, long number, byte[] body) {
        return ByteBuffer.allocate(HEAD + body.length).put((byte) kind).putLong(number).put(body).array();
    }

    private void heard(String from, byte[] message) {
        if (message.length < HEAD) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        int kind = in.get() & 0xFF;
        long number = in.getLong();
        byte[] body = new byte[in.remaining()];
        in.get(body);
        if ((kind & ANSWER) != 0) {
            Open asked = open.get(number);
            if (asked != null && asked.to.equals(from) && open.remove(number) != null) {
                if ((kind & FAULT) != 0) {
                    asked.answer.completeExceptionally(new IllegalStateException(new String(body, StandardCharsets.UTF_8)));
                } else {
                    asked.answer.complete(body);
                }
            }
            return;
        }
        try {
            servers.execute(() -> {
                byte[] answer;
                int as = kind | ANSWER;
                try {
                    answer = server.answer(from, (byte) kind, body);
                } catch (Exception e) {
                    as |= FAULT;
                    answer = String.valueOf(e).getBytes(StandardCharsets.UTF_8);
                }
                wires.send(from, message(as, number, answer));
            });
        } catch (RejectedExecutionException e) {
            return;  // as if it had been lost
        }
    }

    @Override
    public void close() {
        servers.shutdownNow();
        open.values().forEach(each -> each.answer.completeExceptionally(new IllegalStateException("closed")));
    }
}
