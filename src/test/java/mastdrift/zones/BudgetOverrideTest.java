package mastdrift.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When service goes before budgets, for whom, and until when. */
class BudgetOverrideTest {

    private static final long SECOND_MICROS = 1_000_000;
    private static final Set<String> THREE_HOSTS = Set.of("a", "b", "c");

    private final BudgetOverride budgetOverride = new BudgetOverride(List.of("start", "read"), 5 * SECOND_MICROS);
    private long now = SECOND_MICROS;
    private long overridingMicros;

    BudgetOverrideTest() {
        budgetOverride.updateHosts(now, THREE_HOSTS);
    }

    /** So many seconds at 100 requests a second, of which a part is refused, held back by a budget for classes that don't give way. */
    private void runLoad(double seconds, double refusedFraction) {
        long until = now + (long) (seconds * SECOND_MICROS);
        for (int i = 0; now < until; i++, now += 10_000) {
            budgetOverride.recordRequest(now);
            String type = i % 2 == 0 ? "start" : "read";
            if (i / 2 * 7 % 100 < 100 * refusedFraction) {  // spread evenly, over both classes
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
        assertFalse(budgetOverride.isZoneOut(), "it answered in between");
        fail("b", 4);
        assertTrue(budgetOverride.isZoneOut());
        assertTrue(budgetOverride.mayExceedBudgets("start") && budgetOverride.mayExceedBudgets("read") && !budgetOverride.mayExceedBudgets("report"), "those of the order, and no other");
    }

    @Test
    void zoneWithoutHostsIsOutAtOnceAndBackAfterTheRecoveryDelay() {
        budgetOverride.updateHosts(now, Set.of());
        assertEquals(List.of("start", "read"), budgetOverride.overridingClasses());
        now += SECOND_MICROS;
        budgetOverride.updateHosts(now, THREE_HOSTS);
        runLoad(4, 0);
        assertTrue(budgetOverride.isZoneOut(), "it may go again");
        runLoad(2, 0);
        assertFalse(budgetOverride.isZoneOut());
        assertTrue(budgetOverride.mayExceedBudgets("read"), "it is cold: back a class at a time");
        runLoad(30, 0);
        assertEquals(List.of(), budgetOverride.overridingClasses());
    }

    /** One class a second, the first of the order first; then held again, the last one first. */
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

    /** Fewer than 2%, or too few to tell, are no overload. */
    @Test
    void fewRefusalsAreNoOverload() {
        runLoad(20, 0.01);
        assertEquals(List.of(), budgetOverride.overridingClasses());
    }

    /** Each step that has to be taken back makes the next wait longer: over ten minutes of a load that overloads whoever is held, ever less change. */
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

    /** Both zones overloaded: crossing buys nothing, and is given up for a while. */
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

    /** Up and away for 10 s each, for two minutes: out while away, and not a word more than one change a turn. */
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
