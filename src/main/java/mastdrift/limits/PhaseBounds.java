package mastdrift.limits;

/**
 * The time that a connection may spend in each phase, in microseconds.
 *
 * @param silentMicros until the first request is complete; for a connection that sends nothing
 * @param requestMicros from the first byte of a request to its last; bytes that trickle in don't extend it
 * @param unreadMicros for a response that the client doesn't read
 * @param idleMicros between requests, as the sum of {@link #IDLE_BEFORE_DORMANT_MICROS} and the time in phase DORMANT
 */
public record PhaseBounds(long silentMicros, long requestMicros, long unreadMicros, long idleMicros) {

    /**
     * How long what is needed to read the next request is kept between requests, so that clients that send often don't
     * pay for setting it up again.
     */
    public static final long IDLE_BEFORE_DORMANT_MICROS = 1_000_000;
    /**
     * How long the first request of a connection may be on its way, so that the connection isn't closed to make room.
     * Longer than a round trip.
     */
    public static final long NEW_BEFORE_SILENT_MICROS = 100_000;
    /**
     * How long the rest of a request may be missing before its connection may be closed to make room. Longer than a
     * retransmission in the network takes.
     */
    public static final long PART_BEFORE_STALLED_MICROS = 500_000;
    /** The bounds of the platform's gateway, and the default where a configuration file gives none. */
    public static final PhaseBounds DEFAULT = new PhaseBounds(2_000_000, 2_000_000, 10_000_000, 10_000_000);

    /** Throws IllegalArgumentException for bounds that can't be kept. */
    public PhaseBounds {
        if (silentMicros <= 0 || requestMicros <= 0 || unreadMicros <= 0 || idleMicros <= IDLE_BEFORE_DORMANT_MICROS) {
            throw new IllegalArgumentException("expected bounds above 0, and above " + IDLE_BEFORE_DORMANT_MICROS
                    + " for idle, found " + silentMicros + ", " + requestMicros + ", " + unreadMicros + ", "
                    + idleMicros);
        }
    }

    /**
     * The bound of a phase in microseconds, if a response is owed for {@code responseOwedMicros} at most after it has
     * been written.
     */
    long boundMicros(ConnectionPhase phase, long responseOwedMicros) {
        return switch (phase) {
            case NEW -> Math.min(silentMicros, NEW_BEFORE_SILENT_MICROS);
            case SILENT -> silentMicros - NEW_BEFORE_SILENT_MICROS;
            case PART -> Math.min(requestMicros, PART_BEFORE_STALLED_MICROS);
            case STALLED -> requestMicros - PART_BEFORE_STALLED_MICROS;
            case BUSY -> Long.MAX_VALUE;
            case UNREAD -> Math.min(unreadMicros, responseOwedMicros);
            case ABANDONED -> unreadMicros - responseOwedMicros;
            case IDLE -> IDLE_BEFORE_DORMANT_MICROS;
            case DORMANT -> idleMicros - IDLE_BEFORE_DORMANT_MICROS;
        };
    }

    /** The phase that a connection enters at the bound of {@code phase}; null if it is to be closed. */
    ConnectionPhase successor(ConnectionPhase phase, long responseOwedMicros) {
        return switch (phase) {
            case NEW -> silentMicros > NEW_BEFORE_SILENT_MICROS ? ConnectionPhase.SILENT : null;
            case PART -> requestMicros > PART_BEFORE_STALLED_MICROS ? ConnectionPhase.STALLED : null;
            case UNREAD -> unreadMicros > responseOwedMicros ? ConnectionPhase.ABANDONED : null;
            case IDLE -> ConnectionPhase.DORMANT;
            default -> null;
        };
    }

    /**
     * The phase of a connection that has received a part of a request. A first request stays bounded like silence
     * where that bound is no longer, and a stalled one stays stalled: bytes that trickle in must not gain time.
     */
    ConnectionPhase afterPartialInput(ConnectionPhase phase) {
        boolean hadNoRequest = phase == ConnectionPhase.SILENT || phase == ConnectionPhase.NEW;
        boolean keepsPhase = phase == ConnectionPhase.STALLED || hadNoRequest && silentMicros <= requestMicros;
        return keepsPhase ? phase : ConnectionPhase.PART;
    }
}
