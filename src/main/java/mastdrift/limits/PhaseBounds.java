package mastdrift.limits;

/**
 * For how long a connection may be in a phase, in microseconds.
 *
 * @param silent until the first request is whole; a connection that asks nothing
 * @param whole from the first byte of a request to its last; not moved by what trickles in
 * @param unread for an answer that the client doesn't take
 * @param idle between requests, {@link #AWAKE} and what comes after it together
 */
public record PhaseBounds(long silent, long whole, long unread, long idle) {

    /** Between requests, what reading the next one needs is kept for so long: clients that ask often don't pay for it anew. */
    public static final long AWAKE = 1_000_000;
    /** Those of the platform's gateway, and where a file says nothing. */
    public static final PhaseBounds USUAL = new PhaseBounds(2_000_000, 2_000_000, 10_000_000, 10_000_000);

    /** Throws IllegalArgumentException for what can't be kept. */
    public PhaseBounds {
        if (silent <= 0 || whole <= 0 || unread <= 0 || idle <= AWAKE) {
            throw new IllegalArgumentException("expected bounds above 0, and above " + AWAKE + " for idle, found " + silent + ", "
                    + whole + ", " + unread + ", " + idle);
        }
    }

    long of(ConnectionPhase phase) {
        return switch (phase) {
            case SILENT -> silent;
            case PART -> whole;
            case BUSY -> Long.MAX_VALUE;
            case UNREAD -> unread;
            case IDLE -> AWAKE;
            case DORMANT -> idle - AWAKE;
        };
    }
}
