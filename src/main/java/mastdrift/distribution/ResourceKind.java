package mastdrift.distribution;

/** What a resource is. Their order is that of their codes in messages and copies: new ones come at the end. */
public enum ResourceKind {
    /** Which pool a request goes to. */
    ROUTE,
    /** A group of hosts that serve alike. */
    POOL,
    /** Who shares the service, and what it may take. */
    TENANT,
    /** A host of a pool. */
    HOST
}
