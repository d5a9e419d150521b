package mastdrift.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When, for which classes and how long budgets may be exceeded. */
class BudgetOverrideTest {

    private static final long SECOND_MICROS = 1_000_000;
    private static final Set<String> THREE_HOSTS = Set.of("a", "b", "c");

    private final BudgetOverride budgetOverride = new BudgetOverride(List.of("start", "read"), 5 * SECOND_MICROS);
    private long now = SECOND_MICROS;
    private long overridingMicros;

    BudgetOverrideTest() {
        budgetOverride.updateHosts(now, THREE_HOSTS);
    }

    /**
     * Runs for a number of seconds at 100 requests a second, a fraction of which is refused; refusals of classes that
     * are held to budgets count as held back by a budget.
     */
    private void runLoad(double seconds, double refusedFraction) {
        long until = now + (long) (seconds * SECOND_MICROS);
        for (int i = 0; now < until; i++, now += 10_000) {
            budgetOverride.recordRequest(now);
            String type = i % 2 == 0 ? "start" : "read";
            if (i / 2 * 7 % 100 < 100 * refusedFraction) {  // spread evenly over both classes
                budgetOverride.recordRefusal(now, !budgetOverride.mayExceedBudgets(type));
            }
            overridingMicros += budgetOverride.mayExceedBudgets("read") ? 10_000 : 0;
        }
        budgetOverride.advance(now);
    }

    private void fail(String uid, int times) {
        for (int i = 0; i < times; i++, now += 400_000) {
            budgetOverride.recordOutcome(now, uid, false);
        }
    }

    @Test
    void zoneIsOutOnlyWhenMostHostsDoNotAnswer() {
        fail("a", 20);
        assertFalse(budgetOverride.isZoneOut());
        fail("b", 2);
        budgetOverride.recordOutcome(now, "b", true);
        fail("b", 2);
        assertFalse(budgetOverride.isZoneOut(), "host b answered in between");
        fail("b", 4);
        assertTrue(budgetOverride.isZoneOut());
        assertTrue(budgetOverride.mayExceedBudgets("start") && budgetOverride.mayExceedBudgets("read")
                && !budgetOverride.mayExceedBudgets("report"), "the classes of the configured order, and no others");
    }

    @Test
    void zoneWithoutHostsIsOutAtOnceAndBackAfterTheRecoveryDelay() {
        budgetOverride.updateHosts(now, Set.of());
        assertEquals(List.of("start", "read"), budgetOverride.overridingClasses());
        now += SECOND_MICROS;
        budgetOverride.updateHosts(now, THREE_HOSTS);
        runLoad(4, 0);
        assertTrue(budgetOverride.isZoneOut(), "still out during the recovery delay");
        runLoad(2, 0);
        assertFalse(budgetOverride.isZoneOut());
        assertTrue(budgetOverride.mayExceedBudgets("read"), "cold hosts: classes return one at a time");
        runLoad(30, 0);
        assertEquals(List.of(), budgetOverride.overridingClasses());
    }

    /** One class more a second, the first of the order first; then fewer again, the last one first. */
    @Test
    void overloadLetsClassesExceedBudgetsOneByOne() {
        runLoad(1.2, 0.3);
        assertEquals(List.of("start"), budgetOverride.overridingClasses());
        runLoad(2, 0.3);
        assertEquals(List.of("start", "read"), budgetOverride.overridingClasses());
        runLoad(5.6, 0);
        assertEquals(List.of("start"), budgetOverride.overridingClasses());
        runLoad(5.6, 0);
        assertEquals(List.of(), budgetOverride.overridingClasses());
    }

    /** Fewer than 2 % refused, or too few requests to tell, is no overload. */
    @Test
    void fewRefusalsAreNoOverload() {
        runLoad(20, 0.01);
        assertEquals(List.of(), budgetOverride.overridingClasses());
    }

    /**
     * A step down that must be reversed lengthens the wait before the next one: over ten minutes of load that overloads
     * the zone whenever no class may exceed budgets, changes become rarer.
     */
    @Test
    void reversedStepsLengthenTheNextDelay() {
        int changes = 0;
        int early = 0;
        int before = 0;
        for (int second = 0; second < 600; second++) {
            runLoad(1, budgetOverride.overridingClasses().isEmpty() ? 0.3 : 0);
            changes += budgetOverride.overridingClasses().size() != before ? 1 : 0;
            before = budgetOverride.overridingClasses().size();
            early = second == 100 ? changes : early;
        }
        assertTrue(changes > 2 && changes - early < 5 * early, changes + " changes, " + early + " in the first 100 s");
        assertTrue(changes <= 60, changes + " changes");
    }

    /** Both zones are overloaded: crossing doesn't reduce refusals and is suspended for a while. */
    @Test
    void overrideThatDoesNotReduceRefusalsIsSuspended() {
        runLoad(3, 0.4);
        assertEquals(2, budgetOverride.overridingClasses().size());
        runLoad(9, 0.4);
        assertEquals(List.of(), budgetOverride.overridingClasses());
        overridingMicros = 0;
        runLoad(20, 0.4);
        assertEquals(0, overridingMicros);
        runLoad(20, 0.4);
        assertTrue(overridingMicros > 0, "tried again");
    }

    /** The zone is up and down for 10 s each, for two minutes: out while it is down, back while it is up. */
    @Test
    void flappingZoneIsOutOnlyWhileItIsDown() {
        for (int cycle = 0; cycle < 6; cycle++) {
            budgetOverride.updateHosts(now, Set.of());
            runLoad(10, 0);
            assertTrue(budgetOverride.isZoneOut());
            budgetOverride.updateHosts(now, THREE_HOSTS);
            runLoad(10, 0);
            assertFalse(budgetOverride.isZoneOut());
        }
    }
}
