package mastdrift.config;

import java.util.List;
import java.util.Map;

/**
 * How a gateway communicates with the other gateways of its installation ({@code [peers]}).
 *
 * @param listen address and port in digits on which other gateways connect
 * @param installation name shared by all gateways of the installation and by no other installation
 * @param keys locations of the keys for signing messages: the first one signs, and incoming messages may be signed by
 * any of them, so that keys can be rotated
 * @param gateways addresses of other gateways by name, as reached from this gateway; it may itself be among them
 * @param maxConnections with other gateways, in each direction
 * @param folder where it stores state that must survive its process; null for none
 * @param statusFile where it writes which gateways are present; null for none
 */
public record PeerSettings(String listen, String installation, List<SecretRef> keys, Map<String, String> gateways, int maxConnections, String folder,
        String statusFile) {

    /** Maximum keys that are valid at the same time. */
    public static final int MAX_KEYS = 4;
    /** Maximum gateways that a file names. */
    public static final int MAX_GATEWAYS = 2_000;

    /**
     * Whether {@code other} can replace these settings without a restart: only keys and the addresses of gateways
     * differ.
     */
    public boolean equalsExceptReloadable(PeerSettings other) {
        return other.equals(new PeerSettings(listen, installation, other.keys, other.gateways, maxConnections, folder, statusFile));
    }
}
