package mastdrift.engine;

/**
 * Receives the one final answer of a request. Exactly one of the {@code send} methods is called, once, unless the
 * client disconnected first.
 */
public interface Responder {

    /**
     * Whether the client is still connected, as far as this can be known now. Checked just before the first byte of an
     * attempt leaves for a host, which may be before the event that reports a disconnect has been handled.
     */
    default boolean isClientConnected() {
        return true;
    }

    /**
     * Whether the client is known to have disconnected, even if the event that reports it is still to come: the request
     * isn't retried then.
     */
    default boolean isClientGone() {
        return false;
    }

    /** Sends a host's response, which the caller releases. */
    void sendResponse(ResponseMessage response);

    /**
     * Sends a refusal: the request had no effect, so a retry is harmless. {@code retryAfterMicros} is 0 if nothing is
     * known.
     */
    void sendRefusal(long retryAfterMicros);

    /** Sends a failure, with no claim about any effect of the request; {@code timedOut} if its time ran out. */
    void sendFailure(boolean timedOut);

    /**
     * As {@link #sendRefusal(long)}. {@code mayHaveRun}: whether an attempt may have had its effect, which hosts keep a
     * retry from repeating only for a time.
     */
    default void sendRefusal(long retryAfterMicros, boolean mayHaveRun) {
        sendRefusal(retryAfterMicros);
    }

    /** As {@link #sendFailure(boolean)}. {@code mayHaveRun}: whether an attempt may have had its effect. */
    default void sendFailure(boolean timedOut, boolean mayHaveRun) {
        sendFailure(timedOut);
    }
}
