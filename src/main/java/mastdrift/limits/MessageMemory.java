package mastdrift.limits;

/**
 * How many bytes of messages a process may hold, derived from its limits: a part of the Java heap, and of the memory limit of
 * the process where there is one. The rest is for connections, the modules, and what the garbage collector has not collected yet.
 *
 * @param requestBytes for what clients have sent: parts of requests, requests that wait, and those in progress
 * @param responseBytes for what hosts have sent: parts of responses, and those that clients have not read yet
 */
public record MessageMemory(long requestBytes, long responseBytes) {

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

    /** Of this process, without a memory limit but its heap. */
    public static MessageMemory ofThisProcess() {
        return of(Runtime.getRuntime().maxMemory(), Long.MAX_VALUE);
    }
}
