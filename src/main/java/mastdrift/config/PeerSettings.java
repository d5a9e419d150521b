package mastdrift.config;

import java.util.List;
import java.util.Map;

/**
 * How a gateway meets the others of its installation.
 *
 * @param listen where they come, address and port in digits
 * @param installation a word that all of them have, and gateways of another installation have not
 * @param keys where the keys are that messages are signed by: with the first, and any is good on those that come, so that one can take another's place
 * @param gateways addresses of others, by name, as this gateway reaches them; itself may be among them
 * @param connections with others, in each direction, at most
 * @param folder where it keeps what has to outlive its process; null for nowhere
 * @param statusFile where it writes who is there; null for nowhere
 */
public record PeerSettings(String listen, String installation, List<SecretRef> keys, Map<String, String> gateways, int connections, String folder,
        String statusFile) {

    /** Keys that are good at a time. */
    public static final int KEYS_MOST = 4;
    /** Gateways that a file names. */
    public static final int GATEWAYS_MOST = 2_000;

    /** Whether the other may take this one's place while the gateway runs: only keys and the others' addresses differ. */
    public boolean sameAtStart(PeerSettings other) {
        return other.equals(new PeerSettings(listen, installation, other.keys, other.gateways, connections, folder, statusFile));
    }
}
