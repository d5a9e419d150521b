package mastdrift.config;

import java.util.List;
import java.util.Objects;

/**
 * How configuration reaches this process, a gateway or a control machine.
 *
 * @param epoch of the agreed log of configuration: the operator raises it, at all alike, where that begins anew
 * @param installation a word that all of them have, and those of another installation have not
 * @param keys where the keys are that messages are signed by: with the first, and any is good on those that come, so that one can take another's place
 * @param name this process's own, unique in the installation
 * @param zone its own
 * @param role what it does
 * @param listen where a control machine is reached, address and port in digits; null for a gateway, which only calls
 * @param folder where it keeps its copy
 * @param statusFile where a gateway writes what it has and since when it is alone; null for nowhere
 * @param connections that a control machine accepts, at most
 * @param machines the control machines that it may ask
 */
public record DistributionSettings(long epoch, String installation, List<SecretRef> keys, String name, String zone, Role role, String listen, String folder,
        String statusFile, int connections, List<Machine> machines) {

    /** Control machines that a file names, at most. */
    public static final int MACHINES_MOST = 64;
    /** The largest epoch: what a number in JSON holds. */
    public static final long EPOCH_MOST = 1L << 53;

    /** What a process of the tree does. */
    public enum Role {
        /** Takes what it is told into force. */
        GATEWAY,
        /** Passes on what voters tell. */
        RELAY,
        /** Agrees with the other voters on each change, and tells relays. */
        VOTER
    }

    /** A control machine: its address as it is reached from here, in digits, its zone and its role. */
    public record Machine(String name, String address, String zone, Role role) { }

    /** Whom this process subscribes to: a relay voters; a gateway relays, or voters where no relay is named. */
    public List<Machine> publishers() {
        List<Machine> relays = machines(Role.RELAY);
        return role != Role.GATEWAY || relays.isEmpty() ? machines(Role.VOTER) : relays;
    }

    /** Control machines of a role. */
    public List<Machine> machines(Role of) {
        return machines.stream().filter(each -> each.role() == of).toList();
    }

    /** Whether the other may take this one's place while the process runs: only keys and machines differ. */
    public boolean sameAtStart(DistributionSettings other) {
        return Objects.equals(other, new DistributionSettings(epoch, installation, other.keys, name, zone, role, listen, folder, statusFile, connections, other.machines));
    }
}
