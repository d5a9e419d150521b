package mastdrift.membership;

import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/**
 * A host in the merged list of a pool.
 * @param host as the decision module sees it; the weight is relative to the largest of the pool
 * @param endpoint numeric address and port
 * @param explanation why it has this state: each source with the state that it reports, a stale one marked old
 */
public record ListedHost(Host host, String endpoint, String explanation) {

    /** Whether new requests may be sent to the host. */
    public boolean acceptsNewRequests() {
        return host.health() == Health.UP;
    }
}
