package mastdrift.limits;

/** The phase of a client's connection; each but {@link #BUSY} has a time bound of its own. */
public enum ConnectionPhase {

    /** Opened, and nothing has been received yet. */
    SILENT,
    /** A part of a request has been received. */
    PART,
    /** A request is in progress, bounded by its own deadline. */
    BUSY,
    /** A response has been written, and the client has not read it yet. */
    UNREAD,
    /** Between requests, and ready for the next. */
    IDLE,
    /** Between requests for so long that the buffers and decoder for reading one were released. */
    DORMANT;

    /** Whether a connection in this phase may be closed to make room: no request would be lost. */
    boolean isEvictable() {
        return this == SILENT || this == IDLE || this == DORMANT;
    }
}
