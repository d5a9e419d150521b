package mastdrift.engine;

/** A server of one protocol: takes requests of clients, gives them to a {@link RequestTracker}, and sends the answers. */
public interface Front {

    /**
     * Shuts down gracefully: serves on for a short time, then finishes the requests that were taken, each of which gets
     * its final answer by {@link ShutdownSchedule#answerByMicros}. {@code onStopped} runs once all are answered and
     * nothing can arrive any more. The shutdown waits for the longest deadline of a request, but for no more than {@code
     * maxDeadlineMicros} microseconds and a margin, since a process that is killed answers nobody. Called on the event
     * loop's thread, once.
     */
    void stop(long maxDeadlineMicros, Runnable onStopped);
}
