package mastdrift.engine;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import mastdrift.Balancer.Host;

/**
 * One run of one server at one address, in service since a version of the host list. {@link EndpointGate} creates
 * endpoints and ends their service; whoever holds one checks {@link #maySend} right before a first byte leaves. Once
 * its service has ended it never resumes: a server that comes back is another endpoint.
 */
public final class Endpoint {

    private final InetSocketAddress address;
    private final long openedByVersion;
    private final BooleanSupplier listIsValid;
    private Host host;
    private boolean inService = true;

    Endpoint(Member member, long openedByVersion, BooleanSupplier listIsValid) {
        host = member.host();
        address = member.socketAddress();
        this.openedByVersion = openedByVersion;
        this.listIsValid = listIsValid;
    }

    /** The server's identifier, which stays the same over restarts. */
    public String uid() {
        return host.address();
    }

    /** The socket address that the server listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** When the server started, in microseconds of Unix time as reported by the host list; 0 if it started long ago. */
    public long startedAt() {
        return host.born();
    }

    /** Whether anything new may be sent there now. */
    public boolean maySend() {
        return inService && listIsValid.getAsBoolean();
    }

    /**
     * Whether the host list in force has it in service. While that list is not valid, nothing may be sent there all the
     * same.
     */
    public boolean isInService() {
        return inService;
    }

    /** The version of the host list that put it in service. */
    long openedByVersion() {
        return openedByVersion;
    }

    /** Its most recent entry in the host list. */
    Host host() {
        return host;
    }

    void updateHost(Host entry) {
        host = entry;
    }

    void endService() {
        inService = false;
    }
}
