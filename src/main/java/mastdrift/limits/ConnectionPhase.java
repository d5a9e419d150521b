package mastdrift.limits;

/** Where a client's connection is; each phase but {@link #BUSY} has a bound of its own in time. */
public enum ConnectionPhase {

    /** Opened, and nothing came yet. */
    SILENT,
    /** A part of a request came, the rest has not. */
    PART,
    /** A request is out: its own deadline bounds that. */
    BUSY,
    /** An answer has been written and not been taken yet. */
    UNREAD,
    /** Between requests, and ready for the next. */
    IDLE,
    /** Between requests for so long that what reading one needs was given back. */
    DORMANT;

    /** Whether a connection may be closed in it to make room: nothing of a request would be lost. */
    boolean gives() {
        return this == SILENT || this == IDLE || this == DORMANT;
    }
}
