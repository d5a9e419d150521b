package mastdrift.zones;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mastdrift.settings.AddressRange;

/** Maps client addresses to zones by longest prefix match. */
public final class ClientNetworks {

    /** Largest number of networks. */
    public static final int MAX_NETWORKS = 256;

    /** An address range and the zone of the clients in it. */
    public record Network(AddressRange range, String zone) { }

    private final List<Network> networks;

    /** The networks may be in any order. */
    public ClientNetworks(List<Network> networks) {
        this.networks = new ArrayList<>(networks);
        this.networks.sort(Comparator.comparingInt((Network network) -> network.range.prefixLength()).reversed());
    }

    /** The zone of an address of 4 or 16 bytes; empty if no network contains it. */
    public String zone(byte[] address) {
        for (Network network : networks) {
            if (network.range.contains(address)) {
                return network.zone;
            }
        }
        return "";
    }
}
