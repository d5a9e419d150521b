package mastdrift.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DrainPlayTest {

    private static final long ALLOWED = 300_000;

    @TempDir
    private Path folder;

    /** A short draw; longer ones, of other seeds, by {@code lab drains}. */
    @Test
    void nothingNewComesToWhoIsOutOfService() throws Exception {
        DrainPlay.Report report = DrainPlay.play(new DrainPlay.Size(3, 6, 10), 4_711, folder, System.out);
        assertEquals(List.of(), report.breaches(), "seed " + report.seed());
        assertTrue(report.requests() > 100 && report.endsOfService() > 2, report.toString());
    }

    @Test
    void theCheckerCatchesAPlantedBreach() {
        DrainChecker checker = new DrainChecker(ALLOWED);
        checker.listed("s1", true, 0);
        checker.listed("s1", false, 1_000_000);
        checker.told("g1", "s1", 1_010_000);
        checker.arrived("g1", "s1", "g1-1", 1_010_000 + ALLOWED);
        checker.arrived("g2", "s1", "g2-1", 2_000_000);
        assertEquals(List.of(), checker.breaches(), "within the grace, and at a gateway that was told nothing yet");
        checker.arrived("g1", "s1", "g1-2", 1_010_001 + ALLOWED);
        assertEquals(List.of("g1-2 of g1 came to s1 at 1310 ms, 300 ms after its end of service had counted as told"),
                checker.breaches().stream().map(DrainChecker.Breach::toString).toList());
    }

    @Test
    void whatWasNotHeardCountsAfter6Seconds() {
        DrainChecker checker = new DrainChecker(ALLOWED);
        checker.listed("s1", false, 1_000_000);
        checker.outage(3_000_000, 5_000_000);
        checker.arrived("g1", "s1", "g1-1", 5_000_000 + DrainChecker.TOLD_WITHIN + ALLOWED);
        assertEquals(List.of(), checker.breaches());
        checker.arrived("g1", "s1", "g1-2", 5_000_001 + DrainChecker.TOLD_WITHIN + ALLOWED);
        assertEquals(1, checker.breaches().size());
    }

    @Test
    void whoIsBackInServiceMayBeSentTo() {
        DrainChecker checker = new DrainChecker(ALLOWED);
        checker.listed("s1", false, 1_000_000);
        checker.told("g1", "s1", 1_000_000);
        checker.listed("s1", true, 1_500_000);
        checker.arrived("g1", "s1", "g1-1", 1_600_000);
        assertEquals(List.of(), checker.breaches());
        checker.listed("s1", false, 2_000_000);
        checker.told("g1", "s1", 2_000_000);
        checker.arrived("g1", "s1", "g1-2", 2_500_000);
        assertEquals(1, checker.breaches().size());
    }
}
