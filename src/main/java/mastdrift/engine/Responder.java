package mastdrift.engine;

/** Where the one final answer of a request goes. Exactly one of these is called, once, unless the client left first. */
public interface Responder {

    /** Whether it is still there to be answered, as far as this can be known by now. Asked where a first byte is about to leave for it, which may
        be ahead of the event that tells of its end. */
    default boolean there() {
        return true;
    }

    /** Whether it is known to have left, though the event that tells so may be still to come: nothing more is tried for it. */
    default boolean left() {
        return false;
    }

    /** With a host's answer, which the caller releases. */
    void served(ResponseMessage answer);

    /** Trying again does no harm; {@code retryAfter} in microseconds, 0 where nothing is known. */
    void refused(long retryAfter);

    /** No claim about any effect; {@code late} where the time was up. */
    void failed(boolean late);
}
