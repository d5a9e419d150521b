package mastdrift.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A hundred gateways that know nothing of each other and two hundred nodes, by the model: what comes cold, and gateways that start anew in
    the middle of it. The files hold more seeds than are played here. */
class FullFleetTest {

    @ParameterizedTest
    @ValueSource(strings = {"one", "eighth", "six", "zone", "zone-slow"})
    void nobodyIsPushedOverAndNothingRunsTwice(String what) throws Exception {
        ExperimentReader.Result read = ExperimentReader.read(Path.of("experiments", "full-fleet-" + what + ".toml"), null, 2L);
        assertEquals(List.of(), read.problems());
        Results results = new Runner(read.experiment(), 2, result -> { }).run();
        assertEquals(2, results.runs().size());
        assertEquals(List.of(), results.broken());
        for (RunResult run : results.runs()) {
            assertTrue(run.goodput() > 0.7, "seed " + run.seed() + ": served in time " + run.goodput());
        }
    }
}
