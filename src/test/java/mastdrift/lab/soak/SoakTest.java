package mastdrift.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Two short draws of the soak; more of them, and larger ones, by {@code lab soak}. */
class SoakTest {

    private static final int PLAYS_MOST = 3;

    @TempDir
    private Path folder;

    /** A run that is void, since the machine held up the rig for longer than the pages have hold-ups, is no verdict: it is said, and played again a few times. */
    @ParameterizedTest
    @ValueSource(longs = {2, 5})
    void allRulesAreKept(long seed) throws Exception {
        SoakPlay.Report report = SoakPlay.play(SoakPlan.draw(seed), folder, System.out::println);
        for (int i = 1; i < PLAYS_MOST && !report.voidBecause().isEmpty(); i++) {
            System.out.println("soak, seed " + seed + " is void: " + report.voidBecause());
            report = SoakPlay.play(SoakPlan.draw(seed), folder, System.out::println);
        }
        assertEquals("", report.voidBecause(), "seed " + seed);
        assertEquals(List.of(), report.breaches(), "seed " + seed + ", the rig was late by " + report.latestMillis() + " ms at most");
        assertTrue(report.requests() > 500 && report.endsOfService() > 2, report.toString());
    }

    @Test
    void aSeedDrawsTheSameEachTime() {
        assertEquals(SoakPlan.draw(7), SoakPlan.draw(7));
        long large = LongStream.range(0, 300).filter(seed -> SoakPlan.draw(seed).gateways() >= 20).count();
        assertTrue(large > 70 && large < 130, "a third of the runs is large: " + large + " of 300");
    }
}
