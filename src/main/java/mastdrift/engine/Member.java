package mastdrift.engine;

import java.net.InetSocketAddress;
import mastdrift.Balancer.Host;

/**
 * A host of a pool.
 *
 * @param host the host as the decision module knows it, addressed by its uid
 * @param socketAddress where this gateway reaches it; null if that is unknown
 */
public record Member(Host host, InetSocketAddress socketAddress) { }
