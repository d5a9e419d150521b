package mastdrift.engine;

/**
 * The times of a graceful shutdown, in microseconds of the clock of the {@link RequestTracker}.
 *
 * @param serveUntilMicros until when new requests are served, since other gateways may be unavailable as well
 * @param answerByMicros by when all requests are answered; what is open then is answered at once
 */
public record ShutdownSchedule(long serveUntilMicros, long answerByMicros) {

    private static final long SERVE_MICROS = 1_500_000;
    // Time beyond the longest deadline for the last answers, before the process may be killed.
    private static final long ANSWER_MARGIN_MICROS = 400_000;

    /**
     * A shutdown that begins now. With short deadlines it lasts for {@code minDurationMicros} at least.
     */
    public static ShutdownSchedule starting(long now, long longestDeadlineMicros, long minDurationMicros) {
        long answerByMicros = now + Math.max(longestDeadlineMicros + ANSWER_MARGIN_MICROS, minDurationMicros);
        return new ShutdownSchedule(Math.min(now + SERVE_MICROS, answerByMicros), answerByMicros);
    }
}
