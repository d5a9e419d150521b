package mastdrift.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/** Whether what discovery told can be meant. A list that can't is refused whole, and the last good one stays in force; what it says
    of hosts that leave or are gone is heeded all the same, since a drain that was told is told (rule 3) and heeding one too many costs
    capacity alone, until the next list. Two things look wrong and may be right, a list of nothing and one older than the last (a registry that was
    set back): these are refused once and believed when the next call tells the same. */
public final class ListGuard {

    // Beyond these no installation lies; they catch figures that are garbage or in other units.
    private static final double WEIGHT_MOST = 1e6;
    private static final long BORN_MOST = 10_000_000_000_000_000L;  // in the 23rd century; no clock of this machine's is asked, which may be wrong

    /** What speaks against a list: of every kind but the last two it stays refused however often it is told. */
    enum Doubt { NONE, TWICE, ABSURD, EMPTY, OLDER }

    /** What came of a check; {@code fault} is null where the list may be taken, else what was expected where, and found. */
    public record Finding(String fault, List<Host> leaving) {
        private static final Finding GOOD = new Finding(null, List.of());
    }

    private long rev;
    private boolean some;
    private Doubt told = Doubt.NONE;

    /** {@code rev} is the version in force, {@code some} whether it has hosts. */
    public ListGuard(long rev, boolean some) {
        this.rev = rev;
        this.some = some;
    }

    /** The version in force: that of the last list that was taken. */
    public long rev() {
        return rev;
    }

    /** Checks a whole list or a change. One that is found good is in force from here on. */
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
