package mastdrift.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.distribution.DistributionSimulation.FaultKind;
import mastdrift.distribution.DistributionSimulation.Plan;
import org.junit.jupiter.api.Test;

/** Changes on their way to all gateways, by seeded schedules of faults on a virtual clock. */
class DistributionSimulationTest {

    /** Whatever happened: no process took what was never agreed on, none went back, and 12 s after the last fault all have the last change. */
    @Test
    void afterAnyScheduleAllHaveTheLastChangeAndNoneWentBack() {
        for (long seed = 1; seed <= 200; seed++) {
            DistributionSimulation.play(Plan.drawn(seed, false), seed);
        }
    }

    /**
     * The log is lost and the epoch raised with voters that were stopped at different revisions, one without a folder in half of the plays: all end at what the first decision named and what followed, and none
     * ever shows another state by the same revision.
     */
    @Test
    void anEpochThatIsRaisedBeginsFromOneTable() {
        int waited = 0;
        int without = 0;
        for (long seed = 2_001; seed <= 2_200; seed++) {
            Plan plan = Plan.raised(seed);
            DistributionSimulation world = DistributionSimulation.play(plan, seed);
            List<String> events = world.nodes.values().stream().flatMap(each -> each.events.stream()).toList();
            assertEquals(List.of(), events.stream().filter(each -> each.startsWith("config_forked")).toList(), "seed " + seed + " " + plan);
            waited += events.stream().anyMatch(each -> each.startsWith("config_gap epoch 2 begins from")) ? 1 : 0;
            without += events.stream().anyMatch(each -> each.startsWith("config_gap epoch 2 begins from") && each.contains("found " + Revision.none(0))) ? 1 : 0;
        }
        assertTrue(waited > 130 && without > 50, "of 200 plays one voter or more waited in " + waited + ", one without a folder in " + without);
    }

    /** A part of the fleet hears nobody for an hour at the day's rate: 12 s after the cut it has all of it, by changes alone and without a snapshot, and is at no other state meanwhile. */
    @Test
    void anHourApartIsCaughtUpByChangesAlone() {
        long decided = 0;
        for (long seed = 3_001; seed <= 3_200; seed++) {
            Plan plan = Plan.apart(seed);
            DistributionSimulation world = DistributionSimulation.play(plan, seed);
            decided += world.decided;
            for (DistributionSimulation.Node each : world.nodes.values()) {
                assertEquals(0, each.jumps, "seed " + seed + " " + each.name + " " + each.events);
            }
        }
        assertTrue(decided > 200 * 500, decided + " changes in 200 hours");
    }

    /** Folders of another state by the same number are put in place: that is told, and ends. */
    @Test
    void aForkIsToldAndEnds() {
        int told = 0;
        int played = 0;
        for (long seed = 1_001; played < 80; seed++) {
            Plan plan = Plan.drawn(seed, true);
            if (plan.faults().stream().anyMatch(each -> each.kind() == FaultKind.FORGE)) {
                DistributionSimulation world = DistributionSimulation.play(plan, seed);
                told += world.nodes.values().stream().anyMatch(each -> each.events.stream().anyMatch(event -> event.startsWith("config_forked"))) ? 1 : 0;
                played++;
            }
        }
        assertTrue(told > 40, told + " of 80 told");
    }
}
