package mastdrift.limits;

/**
 * How many bytes of messages a process may hold, derived from its limits: a part of the Java heap, and of the memory limit of
 * the process where there is one. The rest is for connections, the modules, and what the garbage collector has not collected yet.
 *
 * @param requestBytes for what clients have sent: parts of requests, requests that wait, and those in progress
 * @param responseBytes for what hosts have sent: parts of responses, and those that clients have not read yet
 */
public record MessageMemory(long requestBytes, long responseBytes) {

    // What every connection may hold, however much others hold: a message as they usually are.
    private static final int FREE_BYTES_PER_CONNECTION = 4_096;
    // A request that is complete after this, or in progress by then, isn't given up for others.
    private static final long REQUEST_MIN_RECLAIM_AGE_MICROS = 250_000;

    private static final int HEAP_FRACTION = 8;
    private static final int PROCESS_FRACTION = 20;
    private static final long MIN_BYTES = 1 << 20;
    private static final long MAX_BYTES = 256L << 20;

    /** Of a process with this heap; {@code processBytes} is its memory limit, {@link Long#MAX_VALUE} for none. */
    public static MessageMemory of(long heapBytes, long processBytes) {
        long bytes = Math.min(heapBytes / HEAP_FRACTION, processBytes / PROCESS_FRACTION);
        long bounded = Math.max(MIN_BYTES, Math.min(MAX_BYTES, bytes));
        return new MessageMemory(bounded, bounded);
    }

    /** The budget for requests. */
    public ByteBudget requestBudget() {
        return new ByteBudget(requestBytes, FREE_BYTES_PER_CONNECTION, REQUEST_MIN_RECLAIM_AGE_MICROS);
    }

    /** The budget for responses. A response that isn't taken at once by its client's system is unread, and may be given up. */
    public ByteBudget responseBudget() {
        return new ByteBudget(responseBytes, FREE_BYTES_PER_CONNECTION, 0);
    }

    /** Of this process, without a memory limit but its heap. */
    public static MessageMemory ofThisProcess() {
        return of(Runtime.getRuntime().maxMemory(), Long.MAX_VALUE);
    }
}
