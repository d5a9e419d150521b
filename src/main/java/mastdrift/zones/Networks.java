package mastdrift.zones;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import mastdrift.settings.AddressRange;

/** The zones of clients, by their addresses; the longest network that holds an address decides. */
public final class Networks {

    /** Networks at most. */
    public static final int MOST = 256;

    /** A network and the zone of its clients. */
    public record Network(AddressRange range, String zone) { }

    private final List<Network> networks;

    /** In any order. */
    public Networks(List<Network> networks) {
        this.networks = new ArrayList<>(networks);
        this.networks.sort(Comparator.comparingInt((Network network) -> network.range.prefixLength()).reversed());
    }

    /** The zone of an address of 4 or 16 bytes; empty where no network holds it. */
    public String zone(byte[] address) {
        for (Network network : networks) {
            if (network.range.contains(address)) {
                return network.zone;
            }
        }
        return "";
    }
}
