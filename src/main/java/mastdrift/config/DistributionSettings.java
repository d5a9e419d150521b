package mastdrift.config;

import java.util.List;
import java.util.Objects;

/**
 * How configuration is distributed to this process, a gateway or a control machine.
 *
 * @param epoch of the replicated configuration log; the operator raises it on all processes alike when the log is
 * started anew
 * @param installation name shared by all processes of the installation and by no other installation
 * @param keys locations of the keys for signing messages: the first one signs, and incoming messages may be signed by
 * any of them, so that keys can be rotated
 * @param name of this process, unique in the installation
 * @param zone of this process
 * @param role of this process
 * @param listen address and port in digits on which a control machine listens; null for a gateway, which only opens
 * connections
 * @param folder where it stores its copy of the configuration
 * @param statusFile where a gateway writes its version and since when it has been without a publisher; null for none
 * @param maxConnections that a control machine accepts
 * @param machines the control machines that it may connect to
 */
public record DistributionSettings(long epoch, String installation, List<SecretRef> keys, String name, String zone, Role role, String listen, String folder,
        String statusFile, int maxConnections, List<Machine> machines) {

    /** Maximum control machines that a file names. */
    public static final int MAX_MACHINES = 64;
    /** The largest epoch: up to this bound a JSON number holds every integer exactly. */
    public static final long MAX_EPOCH = 1L << 53;

    /** The function of a process in the distribution tree. */
    public enum Role {
        /** Applies the configuration that it receives. */
        GATEWAY,
        /** Forwards what voters publish. */
        RELAY,
        /** Agrees with the other voters on each change, and publishes to relays. */
        VOTER
    }

    /** A control machine: its address in digits as reached from this process, its zone and its role. */
    public record Machine(String name, String address, String zone, Role role) { }

    /**
     * The machines that this process subscribes to: voters for a relay; relays for a gateway, or voters if no relay is
     * named.
     */
    public List<Machine> publishers() {
        List<Machine> relays = machines(Role.RELAY);
        return role != Role.GATEWAY || relays.isEmpty() ? machines(Role.VOTER) : relays;
    }

    /** The control machines that have this role. */
    public List<Machine> machines(Role wantedRole) {
        return machines.stream().filter(each -> each.role() == wantedRole).toList();
    }

    /** Whether {@code other} can replace these settings without a restart: only keys and machines differ. */
    public boolean equalsExceptReloadable(DistributionSettings other) {
        return Objects.equals(other, new DistributionSettings(epoch, installation, other.keys, name, zone, role, listen, folder, statusFile, maxConnections, other.machines));
    }
}
