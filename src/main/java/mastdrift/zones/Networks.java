package mastdrift.zones;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The zones of clients, by their addresses; the longest network that holds an address decides. */
public final class Networks {

    /** Networks at most. */
    public static final int MOST = 256;

    /** A network: its address, the bits of it that count, and the zone of its clients. */
    public record Network(byte[] address, int prefix, String zone) {

        private boolean holds(byte[] other) {
            if (address.length != other.length) {
                return false;
            }
            for (int bit = 0; bit < prefix; bit += 8) {
                int shift = Math.max(0, 8 - (prefix - bit));
                if (((address[bit / 8] ^ other[bit / 8]) & 0xFF) >> shift != 0) {
                    return false;
                }
            }
            return true;
        }
    }

    private final List<Network> networks;

    /** In any order. */
    public Networks(List<Network> networks) {
        this.networks = new ArrayList<>(networks);
        this.networks.sort(Comparator.comparingInt(Network::prefix).reversed());
    }

    /** The zone of an address of 4 or 16 bytes; empty where no network holds it. */
    public String zone(byte[] address) {
        for (Network network : networks) {
            if (network.holds(address)) {
                return network.zone;
            }
        }
        return "";
    }
}
