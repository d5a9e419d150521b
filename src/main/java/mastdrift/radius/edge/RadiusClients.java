package mastdrift.radius.edge;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mastdrift.radius.Authenticators;

/** The clients that may send, by address range; the longest range that holds an address decides. */
public final class RadiusClients {

    /**
     * One client, or a site of chargers behind one range.
     *
     * @param name for counts and log
     * @param network the range's first address
     * @param prefix how many of its bits count
     * @param secret what its packets are signed with, from a file or the environment, never from the operator's file itself
     * @param tenant its tenant, or null
     * @param signed whether its Access-Requests must have a Message-Authenticator
     */
    public record Client(String name, InetAddress network, int prefix, Authenticators secret, String tenant,
            boolean signed) {

        /** Throws IllegalArgumentException for a prefix that the address can't have. */
        public Client {
            if (prefix < 0 || prefix > 8 * network.getAddress().length) {
                throw new IllegalArgumentException("expected a prefix of 0 to " + 8 * network.getAddress().length + ", found "
                        + prefix);
            }
        }

        private boolean holds(byte[] address) {
            byte[] own = network.getAddress();
            if (own.length != address.length) {
                return false;
            }
            int whole = prefix / 8;
            for (int i = 0; i < whole; i++) {
                if (own[i] != address[i]) {
                    return false;
                }
            }
            int rest = prefix % 8;
            return rest == 0 || ((own[whole] ^ address[whole]) & 0xFF) >> 8 - rest == 0;
        }
    }

    private final List<Client> clients;

    /** In any order. */
    public RadiusClients(List<Client> clients) {
        this.clients = new ArrayList<>(clients);
        this.clients.sort(Comparator.comparingInt(Client::prefix).reversed());
    }

    /** The client of an address, or null. */
    public Client of(InetAddress address) {
        byte[] bytes = address.getAddress();
        for (Client client : clients) {
            if (client.holds(bytes)) {
                return client;
            }
        }
        return null;
    }
}
