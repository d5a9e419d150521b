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
public final class ListGuard {

    // Limits far above those of any installation; they catch garbage and values in wrong units.
    private static final double WEIGHT_MOST = 1e6;
    // A time in the 23rd century. The machine's clock is not used as the limit, since it may be wrong.
    private static final long BORN_MOST = 10_000_000_000_000_000L;

    /** Reasons to reject a list. Only the last two can be overruled by repeating the list. */
    enum Doubt { NONE, TWICE, ABSURD, EMPTY, OLDER }

    /**
     * Result of a check: {@code fault} is null if the list is accepted, else what was expected where, and what was
     * found; {@code leaving} has the hosts of a rejected list that are draining or removed.
     */
    public record Finding(String fault, List<Host> leaving) {
        private static final Finding GOOD = new Finding(null, List.of());
    }

    private long rev;
    private boolean some;
    private Doubt told = Doubt.NONE;

    /** {@code version} is the current version, {@code hasHosts} whether the current list has hosts. */
    public ListGuard(long rev, boolean some) {
        this.rev = rev;
        this.some = some;
    }

    /** The current version: that of the last accepted list. */
    public long rev() {
        return rev;
    }

    /** Checks a full list or a change. An accepted one is current from here on. */
    public Finding check(long newer, boolean all, List<Host> hosts) {
        String[] fault = new String[1];
        Doubt doubt = doubt(newer, all, hosts, fault);
        boolean again = doubt == told && (doubt == Doubt.EMPTY || doubt == Doubt.OLDER);
        if (doubt == Doubt.NONE || again) {
            told = Doubt.NONE;
            rev = newer;
            some = all ? !hosts.isEmpty() : some || !hosts.isEmpty();
            return Finding.GOOD;
        }
        told = doubt;
        return new Finding(fault[0], hosts.stream().filter(host -> host.health() != Health.UP).toList());
    }

    private Doubt doubt(long newer, boolean all, List<Host> hosts, String[] fault) {
        Set<String> named = new HashSet<>();
        for (int i = 0; i < hosts.size(); i++) {
            Host host = hosts.get(i);
            String at = "targets[" + i + "] (" + host.address() + ")";
            if (!named.add(host.address())) {
                fault[0] = at + ": expected each uid once, found it again";
                return Doubt.TWICE;
            }
            if (!(host.weight() >= 0 && host.weight() <= WEIGHT_MOST)) {
                fault[0] = at + ".capacity_hint: expected 0 to " + (long) WEIGHT_MOST + ", found " + host.weight();
                return Doubt.ABSURD;
            }
            if (host.born() < 0 || host.born() > BORN_MOST) {
                fault[0] = at + ".boot_ms: expected 0 or a time in milliseconds, found " + host.born() / 1000;
                return Doubt.ABSURD;
            }
        }
        if (newer < rev) {
            fault[0] = "rev: expected " + rev + " or newer, found " + newer;
            return Doubt.OLDER;
        }
        if (all && hosts.isEmpty() && some) {
            fault[0] = "targets: expected hosts, found none";
            return Doubt.EMPTY;
        }
        return Doubt.NONE;
    }
}
