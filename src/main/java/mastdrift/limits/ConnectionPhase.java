package mastdrift.limits;

/**
 * The phase of a client's connection; each but {@link #BUSY} has a time bound of its own. Connections in {@link #NEW},
 * {@link #PART}, {@link #UNREAD} and {@link #IDLE} enter another phase at that bound, the others are closed.
 */
public enum ConnectionPhase {

    /** Opened a moment ago: its first request may be on its way. */
    NEW,
    /** Opened for longer, and no whole request has been received yet. */
    SILENT,
    /** A part of a request has been received. */
    PART,
    /** A part of a request has been received, and the rest has been missing for a while. */
    STALLED,
    /** A request is in progress, bounded by its own deadline. */
    BUSY,
    /** A response has been written, and the client has not read it yet. */
    UNREAD,
    /** A response has been written, and the client has not read it within the time of its request. */
    ABANDONED,
    /** Between requests, and ready for the next. */
    IDLE,
    /** Between requests for so long that the buffers and decoder for reading one were released. */
    DORMANT;

    /** Whether a connection in this phase may be closed to make room: no request would be lost. */
    boolean isEvictable() {
        return evictionRank() != null;
    }

    /** Which of an address's evictable connections are closed first; null if none in this phase may be closed. */
    EvictionRank evictionRank() {
        return switch (this) {
            case SILENT -> EvictionRank.SILENT;
            case IDLE, DORMANT -> EvictionRank.IDLE;
            case STALLED, ABANDONED -> EvictionRank.STALLED;
            case NEW, PART, BUSY, UNREAD -> null;
        };
    }
}
