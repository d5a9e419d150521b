package mastdrift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Which lists are accepted, which are rejected, and what is kept of rejected ones. */
class ListGuardTest {

    private static final long NOW = 1_800_000_000_000_000L;

    private static Host host(String uid, double weight, Health health, long born) {
        return new Host(uid, "a", 0, "m", weight, health, born);
    }

    private static Host up(String uid) {
        return host(uid, 1, Health.UP, 0);
    }

    /** A registry that lost all its hosts or was rolled back sends the same again; a glitch does not repeat. */
    @Test
    void nothingAndOlderAreBelievedWhenToldTwice() {
        ListGuard guard = new ListGuard(5, true);
        assertNotNull(guard.check(6, true, List.of()).fault());
        assertNull(guard.check(6, true, List.of(up("a"))).fault(), "the empty list was a glitch");
        assertNotNull(guard.check(7, true, List.of()).fault(), "a valid list in between resets the confirmation");
        assertNull(guard.check(7, true, List.of()).fault());
        assertNotNull(guard.check(2, true, List.of(up("a"))).fault());
        assertEquals(7, guard.rev());
        assertNull(guard.check(2, true, List.of(up("a"))).fault());
        assertEquals(2, guard.rev());
        for (int i = 0; i < 5; i++) {
            assertNotNull(guard.check(9, true, List.of(up("a"), up("a"))).fault(), "a duplicate uid is never accepted");
        }
    }

    /**
     * With random lists: an accepted list names each host once with values in range, and no drain of a rejected one is
     * lost.
     */
    @Property(tries = 300)
    void whatIsTakenIsSaneAndDrainsAreHeeded(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int lists) {
        Random random = new Random(seed);
        ListGuard guard = new ListGuard(0, false);
        double[] weights = {1, 1, 1, 0, 2.5, -1, Double.NaN, Double.POSITIVE_INFINITY, 1e9};
        long[] births = {0, 0, NOW - 5, NOW + 5, -1, Long.MIN_VALUE, NOW * 1_000};
        for (int i = 0; i < lists; i++) {
            List<Host> hosts = new ArrayList<>();
            for (int j = random.nextInt(5); j > 0; j--) {
                hosts.add(host("h" + random.nextInt(8), weights[random.nextInt(weights.length)], Health.values()[random.nextInt(3)],
                        births[random.nextInt(births.length)]));
            }
            long before = guard.rev();
            long rev = Math.max(0, before + random.nextInt(4) - 1);
            ListGuard.Finding found = guard.check(rev, random.nextBoolean(), hosts);
            boolean sane = hosts.stream().map(Host::address).distinct().count() == hosts.size()
                    && hosts.stream().allMatch(h -> h.weight() >= 0 && h.weight() <= 1e6 && h.born() >= 0 && h.born() <= 10 * NOW);
            if (found.fault() == null) {
                assertEquals(true, sane, hosts.toString());
                assertEquals(rev, guard.rev());
            } else {
                assertEquals(before, guard.rev());
                long told = hosts.stream().filter(h -> h.health() != Health.UP).count();
                assertEquals(told, found.leaving().size(), found.fault());
            }
        }
    }
}
