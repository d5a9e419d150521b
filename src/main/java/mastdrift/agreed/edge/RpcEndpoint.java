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

/**
 * Remote procedure calls over a transport that may lose requests and responses. Bounded: {@value #MAX_PENDING_CALLS}
 * calls that wait for a response and {@value #MAX_QUEUED_REQUESTS} requests that wait to be handled; beyond, calls fail
 * and requests are dropped.
 */
final class RpcEndpoint implements AutoCloseable {

    static final int MAX_PENDING_CALLS = 1_024;
    static final int MAX_QUEUED_REQUESTS = 256;
    private static final int HANDLER_THREADS = 4;
    private static final int RESPONSE_FLAG = 0x80;
    private static final int ERROR_FLAG = 0x40;
    private static final int HEADER_BYTES = 1 + Long.BYTES;

    /** Handles a request; an exception is sent to the caller as an error response. May block. */
    interface Handler {
        byte[] handle(String from, byte type, byte[] request) throws Exception;
    }

    private record PendingCall(String to, CompletableFuture<byte[]> response) { }

    private final LogTransport transport;
    private final Handler handler;
    /** Calls that wait for their responses, by call id. */
    private final Map<Long, PendingCall> pendingCalls = new ConcurrentHashMap<>();
    // A response to a call of an earlier process must not match a call of this one.
    private final AtomicLong callIds = new AtomicLong(System.nanoTime());
    private final ScheduledThreadPoolExecutor timer;
    private final ThreadPoolExecutor handlerExecutor;

    RpcEndpoint(LogTransport transport, ScheduledThreadPoolExecutor timer, Handler handler) {
        this.transport = transport;
        this.timer = timer;
        this.handler = handler;
        handlerExecutor = new ThreadPoolExecutor(HANDLER_THREADS, HANDLER_THREADS, 10, TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(MAX_QUEUED_REQUESTS), task -> {
            Thread thread = new Thread(task, "agreed-serves");
            thread.setDaemon(true);
            return thread;
        });
        handlerExecutor.allowCoreThreadTimeOut(true);
        transport.onMessage(this::onMessage);
    }

    /**
     * Calls another gateway; the future fails on a time-out, on an error response, or if too many calls are pending.
     */
    CompletableFuture<byte[]> call(String to, byte type, byte[] request, long timeoutMillis) {
        CompletableFuture<byte[]> response = new CompletableFuture<>();
        if (pendingCalls.size() >= MAX_PENDING_CALLS) {
            response.completeExceptionally(new IllegalStateException("expected at most " + MAX_PENDING_CALLS
                    + " pending calls"));
            return response;
        }
        long callId = callIds.incrementAndGet();
        pendingCalls.put(callId, new PendingCall(to, response));
        transport.send(to, encodeMessage(type, callId, request));
        try {
            timer.schedule(() -> {
                if (pendingCalls.remove(callId) != null) {
                    response.completeExceptionally(new TimeoutException("no response from " + to + " in "
                            + timeoutMillis + " ms"));
                }
            }, timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            pendingCalls.remove(callId);
            response.completeExceptionally(e);
        }
        return response;
    }

    private static byte[] encodeMessage(int type, long callId, byte[] body) {
        return ByteBuffer.allocate(HEADER_BYTES + body.length).put((byte) type).putLong(callId).put(body).array();
    }

    private void onMessage(String from, byte[] message) {
        if (message.length < HEADER_BYTES) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(message);
        int type = in.get() & 0xFF;
        long callId = in.getLong();
        byte[] body = new byte[in.remaining()];
        in.get(body);
        if ((type & RESPONSE_FLAG) != 0) {
            PendingCall call = pendingCalls.get(callId);
            if (call != null && call.to.equals(from) && pendingCalls.remove(callId) != null) {
                if ((type & ERROR_FLAG) != 0) {
                    call.response.completeExceptionally(
                            new IllegalStateException(new String(body, StandardCharsets.UTF_8)));
                } else {
                    call.response.complete(body);
                }
            }
            return;
        }
        try {
            handlerExecutor.execute(() -> {
                byte[] response;
                int responseType = type | RESPONSE_FLAG;
                try {
                    response = handler.handle(from, (byte) type, body);
                } catch (Exception e) {
                    responseType |= ERROR_FLAG;
                    response = String.valueOf(e).getBytes(StandardCharsets.UTF_8);
                }
                transport.send(from, encodeMessage(responseType, callId, response));
            });
        } catch (RejectedExecutionException e) {
            return;  // dropped, as if it had been lost
        }
    }

    @Override
    public void close() {
        handlerExecutor.shutdownNow();
        pendingCalls.values().forEach(each -> each.response.completeExceptionally(new IllegalStateException("closed")));
    }
}
