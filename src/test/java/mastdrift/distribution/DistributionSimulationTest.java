package mastdrift.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.distribution.DistributionSimulation.FaultKind;
import mastdrift.distribution.DistributionSimulation.Plan;
import org.junit.jupiter.api.Test;

/** Distribution of changes to all gateways under seeded schedules of faults on a virtual clock. */
class DistributionSimulationTest {

    /**
     * Under any schedule no process takes a state that was not agreed on, none goes back, and 12 s after the last fault
     * all have the last change.
     */
    @Test
    void allConvergeAndNoneGoesBackUnderRandomFaults() {
        for (long seed = 1; seed <= 200; seed++) {
            DistributionSimulation.simulate(Plan.random(seed, false), seed);
        }
    }

    /**
     * The log is lost and the epoch raised while voters are at different revisions, in half of the runs one without a
     * stored table: all converge on the revision that the first entry names and what followed, and no two ever have
     * different states at one revision.
     */
    @Test
    void allVotersStartARaisedEpochFromTheSameTable() {
        int waited = 0;
        int withoutTable = 0;
        for (long seed = 2_001; seed <= 2_200; seed++) {
            Plan plan = Plan.withRaisedEpoch(seed);
            DistributionSimulation simulation = DistributionSimulation.simulate(plan, seed);
            List<String> events = simulation.nodes.values().stream().flatMap(each -> each.events.stream()).toList();
            assertEquals(List.of(), events.stream().filter(each -> each.startsWith("config_forked")).toList(), "seed " + seed + " " + plan);
            waited += events.stream().anyMatch(each -> each.startsWith("config_gap epoch 2 begins from")) ? 1 : 0;
            withoutTable += events.stream().anyMatch(each -> each.startsWith("config_gap epoch 2 begins from") && each.contains("found " + Revision.empty(0))) ? 1 : 0;
        }
        assertTrue(waited > 130 && withoutTable > 50, "of 200 runs at least one voter waited in " + waited + ", one without a stored table in " + withoutTable);
    }

    /**
     * A part of the fleet is partitioned for an hour at the daily rate of changes: 12 s after the partition heals it is
     * up to date, by deltas alone and without a snapshot, and never has another state meanwhile.
     */
    @Test
    void anHourOfPartitionIsCaughtUpByDeltasAlone() {
        long entries = 0;
        for (long seed = 3_001; seed <= 3_200; seed++) {
            Plan plan = Plan.longPartition(seed);
            DistributionSimulation simulation = DistributionSimulation.simulate(plan, seed);
            entries += simulation.logLength;
            for (DistributionSimulation.Node each : simulation.nodes.values()) {
                assertEquals(0, each.snapshotCount, "seed " + seed + " " + each.name + " " + each.events);
            }
        }
        assertTrue(entries > 200 * 500, entries + " changes in 200 hours");
    }

    /** Stored tables with a different state at the same number are put in place: the fork is reported and resolved. */
    @Test
    void aForkIsReportedAndResolved() {
        int reported = 0;
        int runs = 0;
        for (long seed = 1_001; runs < 80; seed++) {
            Plan plan = Plan.random(seed, true);
            if (plan.faults().stream().anyMatch(each -> each.kind() == FaultKind.FORK)) {
                DistributionSimulation simulation = DistributionSimulation.simulate(plan, seed);
                reported += simulation.nodes.values().stream().anyMatch(each -> each.events.stream().anyMatch(event -> event.startsWith("config_forked"))) ? 1 : 0;
                runs++;
            }
        }
        assertTrue(reported > 40, reported + " of 80 forks reported");
    }
}
