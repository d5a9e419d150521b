package mastdrift.distribution;

import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.distribution.DistributionWorld.Kind;
import mastdrift.distribution.DistributionWorld.Plan;
import org.junit.jupiter.api.Test;

/** Changes on their way to all gateways, by seeded schedules of faults on a virtual clock. */
class DistributionWorldTest {

    /** Whatever happened: no process took what was never agreed on, none went back, and 12 s after the last fault all have the last change. */
    @Test
    void afterAnyScheduleAllHaveTheLastChangeAndNoneWentBack() {
        for (long seed = 1; seed <= 200; seed++) {
            DistributionWorld.play(Plan.drawn(seed, false), seed);
        }
    }

    /** Folders of another state by the same number are put in place: that is told, and ends. */
    @Test
    void aForkIsToldAndEnds() {
        int told = 0;
        int played = 0;
        for (long seed = 1_001; played < 80; seed++) {
            Plan plan = Plan.drawn(seed, true);
            if (plan.faults().stream().anyMatch(each -> each.kind() == Kind.FORGE)) {
                DistributionWorld world = DistributionWorld.play(plan, seed);
                told += world.nodes.values().stream().anyMatch(each -> each.events.stream().anyMatch(event -> event.startsWith("config_forked"))) ? 1 : 0;
                played++;
            }
        }
        assertTrue(told > 40, told + " of 80 told");
    }
}
