package mastdrift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.membership.ChangeGuards.Guard;
import mastdrift.membership.ChangeGuards.Limits;
import mastdrift.membership.ChangeGuards.Violation;
import mastdrift.membership.Overrides.Override;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Lists that are well-formed but probably a mistake, and the overrides that allow one. */
class ChangeGuardsTest {

    private static final Limits UNLIMITED = new Limits(1, 1, true, true);

    /**
     * {@code "b6 o4 !b1"}: six hosts in bilbao, four in oviedo, one in bilbao that gets no new requests; numbered from
     * 0 by zone, {@code b6-2} begins at 2.
     */
    private static PoolList list(String text) {
        List<ListedHost> hosts = new ArrayList<>();
        for (String part : text.isBlank() ? new String[0] : text.split(" ")) {
            boolean accepts = !part.startsWith("!");
            String[] counts = part.substring(accepts ? 1 : 2).split("-");
            String zone = part.substring(accepts ? 0 : 1).startsWith("b") ? "bilbao" : "oviedo";
            int from = counts.length > 1 ? Integer.parseInt(counts[1]) : 0;
            for (int i = from; i < from + Integer.parseInt(counts[0]); i++) {
                hosts.add(new ListedHost(new Host(zone + i, zone, 0, "", 1, accepts ? Health.UP : Health.LEAVING, 0),
                        "127.0.0.1:" + hosts.size(), ""));
            }
        }
        return new PoolList("p", hosts, List.of());
    }

    private static String violations(Limits limits, String before, String after) {
        return String.join(" ", ChangeGuards.findViolations(limits, before == null ? null : list(before), list(after))
                .stream().map(violation -> violation.guard().configName()).sorted().toList());
    }

    @ParameterizedTest
    @CsvSource(nullValues = "start", value = {
        "b6 o4, b6 o4, ''",
        "b6 o4, b3 o4, ''",
        "b6 o4, b1 o4, zone-drop",                       // 5 of 6 in bilbao, 5 of 10 in all
        "b6 o4, b0 o4, pool-drop zone-drop zone-empty",
        "b6 o4, b6, zone-drop zone-empty",               // a list that drops every node in oviedo
        "b6 o4, !b6 !o4, pool-drop weight-zero zone-drop zone-drop zone-empty zone-empty",
        "b6 o4, '', pool-drop zone-drop zone-drop zone-empty zone-empty",
        "b6 o4, b6-6 o4-4, pool-drop zone-drop zone-drop",  // as many hosts, but with other uids
        "b6 o4, b6 o4 b90-6, ''",
        "b2, b1, ''", "b1, !b1, pool-drop weight-zero zone-empty",
        "b2 o2, b2 o1 !o1-1, ''", "b2 o2, b2 !o2, zone-empty",  // two of four are the half that may be dropped
        "start, b1, ''", "start, !b2, weight-zero", "start, '', ''", "'', b6, ''", "!b4, !b4, weight-zero"})
    void defaultLimitsAreEnforced(String before, String after, String expected) {
        assertEquals(expected, violations(Limits.DEFAULTS, before, after));
    }

    @ParameterizedTest
    @CsvSource({"b6 o4, ''", "b6 o4, !b6 !o4", "b6 o4, b6"})
    void unlimitedChangeViolatesNoGuard(String before, String after) {
        assertEquals("", violations(UNLIMITED, before, after));
    }

    @ParameterizedTest
    @CsvSource({"0.2, b8 o10, ''", "0.09, b8 o10, pool-drop", "0, b9 o10, pool-drop", "0, b10 o10, ''"})
    void poolDropLimitIsConfigurable(double maxDropFraction, String after, String expected) {
        assertEquals(expected, violations(new Limits(maxDropFraction, 1, false, false), "b10 o10", after));
    }

    private final Overrides overrides = new Overrides();

    private static Violation violation(Guard guard) {
        return new Violation(guard, "p", "why");
    }

    private List<Violation> remaining(String version, Override... lines) {
        return overrides.remainingViolations(List.of(violation(Guard.POOL_DROP)), List.of(lines), Map.of("p", version));
    }

    @Test
    void overrideAppliesOnlyToItsGuardPoolAndVersion() {
        assertEquals(0, remaining("v1", new Override(Guard.POOL_DROP, "p", "v1", "here")).size());
        assertEquals(1, remaining("v2", new Override(Guard.POOL_DROP, "p", "v1", "here")).size());
        assertEquals(1, remaining("v1", new Override(Guard.ZONE_DROP, "p", "v1", "here")).size());
        assertEquals(1, remaining("v1", new Override(Guard.POOL_DROP, "q", "v1", "here")).size());
        assertEquals(1, remaining("v1").size());
    }

    /** Guards against an override that is left in the file and allows the same mistake a month later. */
    @Test
    void overrideAppliesOnce() {
        Override line = new Override(Guard.POOL_DROP, "p", "v1", "here");
        assertEquals(0, remaining("v1", line).size());
        overrides.markUsed(Set.of(violation(Guard.POOL_DROP)), Map.of("p", "v1"));
        assertEquals(1, remaining("v1", line).size());
    }

    @Test
    void usedOverridesAreRememberedUpToABound() {
        Override line = new Override(Guard.POOL_DROP, "p", "v0", "here");
        for (int i = 0; i <= Overrides.MAX_USED_OVERRIDES; i++) {
            assertEquals(i == 0 ? 0 : 1, remaining("v0", line).size());
            overrides.markUsed(List.of(violation(Guard.POOL_DROP)), Map.of("p", "v" + i));
        }
        assertEquals(0, remaining("v0", line).size(), "the oldest was forgotten");
    }
}
