package mastdrift.engine;

import java.net.InetSocketAddress;
import mastdrift.Balancer.Host;

/** A host as the module knows it, by its uid, and where this gateway reaches it. */
public record Member(Host host, InetSocketAddress at) { }
