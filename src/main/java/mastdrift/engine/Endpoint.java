package mastdrift.engine;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import mastdrift.Balancer.Host;

/**
 * One start of one server at one address, in service since a version of the list. {@link EndpointGate} makes these and ends their
 * service; who holds one asks {@link #maySend} right before a first byte leaves. Once its service has ended it never begins again:
 * a server that comes back is another endpoint.
 */
public final class Endpoint {

    private final InetSocketAddress address;
    private final long openedBy;
    private final BooleanSupplier listHolds;
    private Host host;
    private boolean inService = true;

    Endpoint(Member member, long openedBy, BooleanSupplier listHolds) {
        host = member.host();
        address = member.at();
        this.openedBy = openedBy;
        this.listHolds = listHolds;
    }

    /** The server's name, the same over its starts. */
    public String uid() {
        return host.address();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** When the server started, in microseconds of Unix time as it was told; 0 for long ago. */
    public long startedAt() {
        return host.born();
    }

    /** Whether anything new may be sent there by now. */
    public boolean maySend() {
        return inService && listHolds.getAsBoolean();
    }

    /** Whether its service goes on, by the list in force; for a while nothing may be sent there all the same. */
    public boolean isInService() {
        return inService;
    }

    /** The version of the list that put it in service. */
    long openedBy() {
        return openedBy;
    }

    /** As it was listed last. */
    Host host() {
        return host;
    }

    void describe(Host listed) {
        host = listed;
    }

    void endService() {
        inService = false;
    }
}
