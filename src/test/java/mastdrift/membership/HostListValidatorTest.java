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
class HostListValidatorTest {

    private static final long NOW_MICROS = 1_800_000_000_000_000L;

    private static Host host(String uid, double weight, Health health, long born) {
        return new Host(uid, "a", 0, "m", weight, health, born);
    }

    private static Host up(String uid) {
        return host(uid, 1, Health.UP, 0);
    }

    /** A registry that lost all its hosts or was rolled back sends the same again; a glitch does not repeat. */
    @Test
    void emptyAndOlderListsAreAcceptedWhenRepeated() {
        HostListValidator validator = new HostListValidator(5, true);
        assertNotNull(validator.check(6, true, List.of()).fault());
        assertNull(validator.check(6, true, List.of(up("a"))).fault(), "the empty list was a glitch");
        assertNotNull(validator.check(7, true, List.of()).fault(), "a valid list in between resets the confirmation");
        assertNull(validator.check(7, true, List.of()).fault());
        assertNotNull(validator.check(2, true, List.of(up("a"))).fault());
        assertEquals(7, validator.version());
        assertNull(validator.check(2, true, List.of(up("a"))).fault());
        assertEquals(2, validator.version());
        for (int i = 0; i < 5; i++) {
            assertNotNull(validator.check(9, true, List.of(up("a"), up("a"))).fault(),
                    "a duplicate uid is never accepted");
        }
    }

    /**
     * With random lists: an accepted list names each host once with values in range, and no drain of a rejected one is
     * lost.
     */
    @Property(tries = 300)
    void acceptedListsAreValidAndDrainsOfRejectedOnesAreKept(@ForAll long seed,
            @ForAll @IntRange(min = 1, max = 40) int lists) {
        Random random = new Random(seed);
        HostListValidator validator = new HostListValidator(0, false);
        double[] weights = {1, 1, 1, 0, 2.5, -1, Double.NaN, Double.POSITIVE_INFINITY, 1e9};
        long[] startTimes = {0, 0, NOW_MICROS - 5, NOW_MICROS + 5, -1, Long.MIN_VALUE, NOW_MICROS * 1_000};
        for (int i = 0; i < lists; i++) {
            List<Host> hosts = new ArrayList<>();
            for (int j = random.nextInt(5); j > 0; j--) {
                hosts.add(host("h" + random.nextInt(8), weights[random.nextInt(weights.length)],
                        Health.values()[random.nextInt(3)], startTimes[random.nextInt(startTimes.length)]));
            }
            long before = validator.version();
            long listVersion = Math.max(0, before + random.nextInt(4) - 1);
            HostListValidator.CheckResult result = validator.check(listVersion, random.nextBoolean(), hosts);
            boolean valid = hosts.stream().map(Host::address).distinct().count() == hosts.size()
                    && hosts.stream().allMatch(h -> h.weight() >= 0 && h.weight() <= 1e6 && h.born() >= 0
                            && h.born() <= 10 * NOW_MICROS);
            if (result.fault() == null) {
                assertEquals(true, valid, hosts.toString());
                assertEquals(listVersion, validator.version());
            } else {
                assertEquals(before, validator.version());
                long leaving = hosts.stream().filter(h -> h.health() != Health.UP).count();
                assertEquals(leaving, result.leaving().size(), result.fault());
            }
        }
    }
}
