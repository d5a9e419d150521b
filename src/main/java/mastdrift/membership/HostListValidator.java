package mastdrift.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/**
 * Decides whether a list from discovery is plausible. A list that is not is rejected as a whole, and the last accepted
 * one stays current; its entries for draining or removed hosts are applied all the same, since a drain that was sent
 * counts as received (rule 3), and applying one too many costs only capacity, until the next list. Two kinds of list
 * look wrong but may be right, an empty one and one older than the last (from a registry that was rolled back): these
 * are rejected once and accepted if the next list is of the same kind again.
 */
public final class HostListValidator {

    // Limits far above those of any installation; they catch garbage and values in wrong units.
    private static final double MAX_WEIGHT = 1e6;
    // A time in the 23rd century. The machine's clock is not used as the limit, since it may be wrong.
    private static final long MAX_BORN_MICROS = 10_000_000_000_000_000L;

    /** Reasons to reject a list. Only the last two can be overruled by repeating the list. */
    enum Rejection { NONE, DUPLICATE_UID, OUT_OF_RANGE, EMPTY, OLDER_VERSION }

    /**
     * Result of a check: {@code fault} is null if the list is accepted, else what was expected where, and what was
     * found; {@code leaving} has the hosts of a rejected list that are draining or removed.
     */
    public record CheckResult(String fault, List<Host> leaving) {
        private static final CheckResult ACCEPTED = new CheckResult(null, List.of());
    }

    private long version;
    private boolean hasHosts;
    private Rejection lastRejection = Rejection.NONE;

    /** {@code version} is the current version, {@code hasHosts} whether the current list has hosts. */
    public HostListValidator(long version, boolean hasHosts) {
        this.version = version;
        this.hasHosts = hasHosts;
    }

    /** The current version: that of the last accepted list. */
    public long version() {
        return version;
    }

    /** Checks a full list or a change. An accepted one is current from here on. */
    public CheckResult check(long listVersion, boolean full, List<Host> hosts) {
        String[] fault = new String[1];
        Rejection rejection = findFault(listVersion, full, hosts, fault);
        boolean confirmed = rejection == lastRejection && (rejection == Rejection.EMPTY
                || rejection == Rejection.OLDER_VERSION);
        if (rejection == Rejection.NONE || confirmed) {
            lastRejection = Rejection.NONE;
            version = listVersion;
            hasHosts = full ? !hosts.isEmpty() : hasHosts || !hosts.isEmpty();
            return CheckResult.ACCEPTED;
        }
        lastRejection = rejection;
        return new CheckResult(fault[0], hosts.stream().filter(host -> host.health() != Health.UP).toList());
    }

    private Rejection findFault(long listVersion, boolean full, List<Host> hosts, String[] fault) {
        Set<String> seenUids = new HashSet<>();
        for (int i = 0; i < hosts.size(); i++) {
            Host host = hosts.get(i);
            String location = "targets[" + i + "] (" + host.address() + ")";
            if (!seenUids.add(host.address())) {
                fault[0] = location + ": expected each uid once, found it again";
                return Rejection.DUPLICATE_UID;
            }
            if (!(host.weight() >= 0 && host.weight() <= MAX_WEIGHT)) {
                fault[0] = location + ".capacity_hint: expected 0 to " + (long) MAX_WEIGHT + ", found " + host.weight();
                return Rejection.OUT_OF_RANGE;
            }
            if (host.born() < 0 || host.born() > MAX_BORN_MICROS) {
                fault[0] = location + ".boot_ms: expected 0 or a time in milliseconds, found " + host.born() / 1000;
                return Rejection.OUT_OF_RANGE;
            }
        }
        if (listVersion < version) {
            fault[0] = "rev: expected " + version + " or newer, found " + listVersion;
            return Rejection.OLDER_VERSION;
        }
        if (full && hosts.isEmpty() && hasHosts) {
            fault[0] = "targets: expected hosts, found none";
            return Rejection.EMPTY;
        }
        return Rejection.NONE;
    }
}
