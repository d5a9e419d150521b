package mastdrift.radius.edge;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mastdrift.radius.Authenticators;
import mastdrift.settings.AddressRange;

/** The clients that may send, by address range; the longest range that holds an address decides. */
public final class RadiusClients {

    /**
     * One client, or a site of chargers behind one range.
     *
     * @param name for counts and log
     * @param range its addresses
     * @param secret what its packets are signed with, from a file or the environment, never from the operator's file itself
     * @param tenant its tenant, or null
     * @param signed whether its Access-Requests must have a Message-Authenticator
     */
    public record Client(String name, AddressRange range, Authenticators secret, String tenant, boolean signed) { }

    private final List<Client> clients;

    /** In any order. */
    public RadiusClients(List<Client> clients) {
        this.clients = new ArrayList<>(clients);
        this.clients.sort(Comparator.comparingInt((Client client) -> client.range.prefixLength()).reversed());
    }

    /** The client of an address, or null. */
    public Client of(InetAddress address) {
        byte[] bytes = address.getAddress();
        for (Client client : clients) {
            if (client.range.contains(bytes)) {
                return client;
            }
        }
        return null;
    }
}
