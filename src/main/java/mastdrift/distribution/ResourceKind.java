package mastdrift.distribution;

/**
 * Kind of a resource. The ordinals are the codes in messages and in stored copies: new kinds are appended at the end.
 */
public enum ResourceKind {
    /** Selects the pool that a request is sent to. */
    ROUTE,
    /** A group of equivalent hosts. */
    POOL,
    /** A tenant of the service and its limits. */
    TENANT,
    /** A host of a pool. */
    HOST
}
