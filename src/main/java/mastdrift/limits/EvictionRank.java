package mastdrift.limits;

/** Groups of evictable connections, in the order in which they are closed to make room. */
enum EvictionRank {

    /** Began a request that it doesn't complete, or was sent a response that it doesn't read: it is owed nothing. */
    STALLED,
    /** Never sent a whole request. */
    SILENT,
    /** Between requests. */
    IDLE
}
