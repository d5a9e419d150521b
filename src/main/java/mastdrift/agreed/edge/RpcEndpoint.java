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

/** Remote procedure calls over links that may lose requests and responses. Bounded: {@value #PENDING_MOST} calls that wait for a response, {@value #QUEUED_MOST} requests that wait to be handled; beyond, they fail or are dropped. */
final class RpcEndpoint implements AutoCloseable {

    static final int PENDING_MOST = 1_024;
    static final int QUEUED_MOST = 256;
    private static final int THREADS = 4;
    private static final int RESPONSE = 0x80;
    private static final int ERROR = 0x40;
    private static final int HEADER = 1 + Long.BYTES;

    /** Handles a request of a kind; throws what the caller is to be told. May wait. */
    interface Handler {
        byte[] handle(String from, byte kind, byte[] request) throws Exception;
    }

    private record PendingCall(String to, CompletableFuture<byte[]> response) { }

    private final LogTransport transport;
    private final Handler handler;
    private final Map<Long, PendingCall> pending = new ConcurrentHashMap<>();
    // Ids of calls of an earlier start must not be taken for this one's.
    private final AtomicLong callIds = new AtomicLong(System.nanoTime());
    private final ScheduledThreadPoolExecutor timer;
    private final ThreadPoolExecutor handlers;

    RpcEndpoint(LogTransport transport, ScheduledThreadPoolExecutor timer, Handler handler) {
        this.transport = transport;
        this.timer = timer;
        this.handler = handler;
        handlers = new ThreadPoolExecutor(THREADS, THREADS, 10, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUED_MOST), task -> {
            Thread thread = new Thread(task, "agreed-serves");
            thread.setDaemon(true);
            return thread;
        });
        handlers.allowCoreThreadTimeOut(true);
        transport.onMessage(this::received);
    }

    /** Calls; the future fails where no response came in time, or a fault did. */
    CompletableFuture<byte[]> call(String to, byte kind, byte[] request, long millis) {
        CompletableFuture<byte[]> response = new CompletableFuture<>();
        if (pending.size() >= PENDING_MOST) {
            response.completeExceptionally(new IllegalStateException("expected at most " + PENDING_MOST + " pending calls"));
            return response;
        }
        long callId = callIds.incrementAndGet();
        pending.put(callId, new PendingCall(to, response));
        transport.send(to, message(kind, callId, request));
        try {
            timer.schedule(() -> {
                if (pending.remove(callId) != null) {
                    response.completeExceptionally(new TimeoutException("no response from " + to + " in " + millis + " ms"));
                }
            }, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            pending.remove(callId);
            response.completeExceptionally(e);
        }
        return response;
    }

    private static byte[] message(int kind, long callId, byte[] body) {
        return ByteBuffer.allocate(HEADER + body.length).put((byte) kind).putLong(callId).put(body).array();
    }

    private void received(String from, byte[] message) {
        if (message.length < HEADER) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        int kind = in.get() & 0xFF;
        long callId = in.getLong();
        byte[] body = new byte[in.remaining()];
        in.get(body);
        if ((kind & RESPONSE) != 0) {
            PendingCall call = pending.get(callId);
            if (call != null && call.to.equals(from) && pending.remove(callId) != null) {
                if ((kind & ERROR) != 0) {
                    call.response.completeExceptionally(new IllegalStateException(new String(body, StandardCharsets.UTF_8)));
                } else {
                    call.response.complete(body);
                }
            }
            return;
        }
        try {
            handlers.execute(() -> {
                byte[] response;
                int type = kind | RESPONSE;
                try {
                    response = handler.handle(from, (byte) kind, body);
                } catch (Exception e) {
                    type |= ERROR;
                    response = String.valueOf(e).getBytes(StandardCharsets.UTF_8);
                }
                transport.send(from, message(type, callId, response));
            });
        } catch (RejectedExecutionException e) {
            return;  // as if it had been lost
        }
    }

    @Override
    public void close() {
        handlers.shutdownNow();
        pending.values().forEach(each -> each.response.completeExceptionally(new IllegalStateException("closed")));
    }
}
