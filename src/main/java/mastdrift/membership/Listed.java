package mastdrift.membership;

import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/**
 * A host of a pool, as it is in force.
 *
 * @param host as its module knows it; the weight is a part of the pool's largest
 * @param endpoint address and port in digits
 * @param says why it is as it is: each source and what it says, the one that was heard longest ago marked old
 */
public record Listed(Host host, String endpoint, String says) {

    /** Whether new requests may go there. */
    public boolean takesNew() {
        return host.health() == Health.UP;
    }
}
