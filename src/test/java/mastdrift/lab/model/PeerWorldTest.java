package mastdrift.lab.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mastdrift.lab.model.PeerFault.Kind;
import mastdrift.lab.model.PeerWorld.Plan;
import mastdrift.peers.MembershipSettings;
import org.junit.jupiter.api.Test;

/** Gateways that know of each other, by seeded schedules on a virtual clock. */
class PeerWorldTest {

    private static final long SECOND = 1_000_000;

    private static Plan plan(int gateways, long seconds, PeerFault... faults) {
        return new Plan(gateways, seconds * SECOND, 1_000, List.of(faults), MembershipSettings.DEFAULT, 2 * SECOND, true);
    }

    /** Whatever happened, views agree with the truth a while after it is over, and who had no fault was wronged by nobody. */
    @Test
    void afterAnyScheduleAllAgreeAndNobodyWellWasCalledGone() {
        for (long seed = 1; seed <= 1_500; seed++) {
            int gateways = 3 + (int) (seed % 5);
            PeerRun run = PeerWorld.play(Plan.drawn(seed, gateways, 100 * SECOND, 40 * SECOND), seed);
            assertEquals(List.of(), run.apart(), "seed " + seed);
            assertEquals(0, run.wronged(), "seed " + seed);
        }
    }

    @Test
    void oneSeedIsOneRun() {
        assertEquals(PeerWorld.play(Plan.drawn(7, 7, 60 * SECOND, 40 * SECOND), 7), PeerWorld.play(Plan.drawn(7, 7, 60 * SECOND, 40 * SECOND), 7));
    }

    /** The aim: a death is known within 5 s by 99% of a hundred gateways. */
    @Test
    void aDeathIsKnownInTimeAmongAHundred() {
        List<Long> deaths = new ArrayList<>();
        for (long seed = 1; seed <= 6; seed++) {
            PeerRun run = PeerWorld.play(plan(100, 30, new PeerFault(Kind.KILL, 10 * SECOND, 25 * SECOND, 3, -1, 0)), seed);
            deaths.addAll(run.deaths());
            assertEquals(0, run.falseDeaths(), "seed " + seed);
        }
        deaths.replaceAll(each -> each < 0 ? Long.MAX_VALUE : each);
        deaths.sort(null);
        assertTrue(deaths.size() >= 500, "known by " + deaths.size());
        long late = deaths.get(deaths.size() * 99 / 100);
        assertTrue(late <= 5 * SECOND, "99% know after " + late + " us");
    }

    /** The aim: no false death with 5% of all messages lost and a tenth of a hundred gateways starved to a tenth of a core; here for two minutes. */
    @Test
    void lossAndStarvationKillNobody() {
        List<PeerFault> faults = new ArrayList<>(List.of(new PeerFault(Kind.LOSS, 0, 120 * SECOND, 0, -1, 0.05)));
        for (int i = 0; i < 10; i++) {
            faults.add(new PeerFault(Kind.STARVE, 10 * SECOND, 120 * SECOND, i * 10, -1, 0.1));
        }
        PeerRun run = PeerWorld.play(plan(100, 120, faults.toArray(new PeerFault[0])), 1);
        assertEquals(0, run.falseDeaths());
    }

    /** Stopped for 10 s and woken: the others gave it up, and it gives up none of them. */
    @Test
    void whoWasStoppedDoubtsItselfFirst() {
        for (long seed = 1; seed <= 20; seed++) {
            PeerRun run = PeerWorld.play(plan(5, 60, new PeerFault(Kind.PAUSE, 10 * SECOND, 20 * SECOND, 2, -1, 0)), seed);
            assertTrue(run.events().stream().anyMatch(line -> line.contains(": GONE g2")), "the others notice");
            assertFalse(run.events().stream().anyMatch(line -> line.contains("g2: GONE")), "it gives up nobody: seed " + seed);
            assertEquals(List.of(), run.apart());
        }
    }

    /** One pair that can't hear in one direction: others ask for them, and nobody is gone. */
    @Test
    void aLinkThatFailsOneWayKillsNobody() {
        for (long seed = 1; seed <= 20; seed++) {
            PeerRun run = PeerWorld.play(plan(5, 60, new PeerFault(Kind.ONE_WAY, 10 * SECOND, 50 * SECOND, 1, 3, 0)), seed);
            assertEquals(0, run.falseDeaths(), "seed " + seed);
        }
    }

    /** Who says that it ends is called gone by nobody. */
    @Test
    void whoLeavesIsNotMissed() {
        for (long seed = 1; seed <= 20; seed++) {
            PeerRun run = PeerWorld.play(plan(6, 60, new PeerFault(Kind.LEAVE, 10 * SECOND, 40 * SECOND, 2, -1, 0)), seed);
            assertFalse(run.events().stream().anyMatch(line -> line.contains(": GONE ")), "seed " + seed);
            assertEquals(List.of(), run.apart());
        }
    }

    /** Cut in two for half a minute: each half goes on, and they meet again. */
    @Test
    void halvesThatWereCutApartMeetAgain() {
        for (long seed = 1; seed <= 10; seed++) {
            PeerRun run = PeerWorld.play(plan(6, 90, new PeerFault(Kind.CUT, 10 * SECOND, 50 * SECOND, 3, -1, 0)), seed);
            assertTrue(run.events().stream().anyMatch(line -> line.contains("GONE")));
            assertEquals(List.of(), run.apart(), "seed " + seed);
        }
    }

    /** A start whose clock is an hour behind, without its folder, is there again once its earlier start is over. */
    @Test
    void aClockSetBackKeepsNobodyOut() {
        for (long seed = 1; seed <= 10; seed++) {
            PeerRun run = PeerWorld.play(plan(4, 60, new PeerFault(Kind.CLOCK, 5 * SECOND, 60 * SECOND, 1, -1, -3.6e9),
                    new PeerFault(Kind.KILL, 10 * SECOND, 11 * SECOND, 1, -1, 0)), seed);
            assertEquals(List.of(), run.apart(), "seed " + seed);
        }
    }
}
