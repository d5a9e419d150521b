package mastdrift.radius.edge;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mastdrift.radius.Authenticators;
import mastdrift.settings.AddressRange;

/** The configured RADIUS clients by address range. The longest prefix that contains an address decides. */
public final class RadiusClients {

    /**
     * One client, or a site of clients behind one address range.
     *
     * @param name for counters and logs
     * @param range the client's addresses
     * @param authenticators of its shared secret, which comes from a file or the environment, never from the
     *     configuration file itself
     * @param tenant the client's tenant, or null
     * @param requiresMessageAuthenticator whether its Access-Requests must have a Message-Authenticator
     */
    public record Client(String name, AddressRange range, Authenticators authenticators, String tenant,
            boolean requiresMessageAuthenticator) { }

    private final List<Client> clients;

    /** The clients may be given in any order. */
    public RadiusClients(List<Client> clients) {
        this.clients = new ArrayList<>(clients);
        this.clients.sort(Comparator.comparingInt((Client client) -> client.range.prefixLength()).reversed());
    }

    /** The client that an address belongs to, or null. */
    public Client find(InetAddress address) {
        byte[] bytes = address.getAddress();
        for (Client client : clients) {
            if (client.range.contains(bytes)) {
                return client;
            }
        }
        return null;
    }
}
