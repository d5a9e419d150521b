package mastdrift.limits;

/** What a connection is closed for, which decides who may be closed. */
public enum EvictionPurpose {

    /**
     * A connection that has just been opened. Connections between requests stay open, or a flood of connections would
     * close those that clients use.
     */
    CONNECTION,
    /** A request that has been received on a connection for which there was no room. */
    REQUEST,
    /** Nobody else can be accepted until a connection is closed. */
    LAST_RESORT
}
