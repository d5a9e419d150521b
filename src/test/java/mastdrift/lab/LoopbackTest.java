package mastdrift.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The same experiment over loopback: a gateway of its own process, stand-in hosts, the load tool. */
class LoopbackTest {

    private static final String TEXT = Sample.fault("drain", "node = \"n-1\"").replace("seeds = 2", "seeds = 1")
            .replace("tries = 2", "tries = 1").replace("rate = \"300\"", "rate = \"150\"").replace("gateways = 2", "gateways = 1")
            .replace("count = 8", "count = 4").replace("length = \"8s\"", "length = \"6s\"").replace("aim = \"300ms\"", "aim = \"900ms\"")
            .replace("name = \"small\"", "name = \"small\"\nby = \"loopback\"");

    @Test
    void aDrainOverLoopbackKeepsTheRules() throws Exception {
        RunResult run = played().runs().get(0);
        assertEquals(0, run.count("broken_2"));
        assertEquals(0, run.count("broken_3"));
        assertTrue(run.count("asked") > 600, "asked " + run.count("asked"));
        assertTrue(run.goodput() > 0.7, "goodput " + run.goodput());
        assertEquals(4, run.nodes().size());
        assertTrue(run.nodes().stream().allMatch(served -> served > 10), run.nodes().toString());
    }

    /** A run that the load tool calls void, since the machine was busy, is played again. */
    private static Results played() throws Exception {
        for (int tries = 1; ; tries++) {
            try {
                return Sample.run(TEXT + "[[limit]]\nwhat = \"sends_after_drain\"\nmost = 0\n[[limit]]\nwhat = \"effects_twice\"\n"
                        + "most = 0\n");
            } catch (IOException e) {
                if (tries == 4 || !e.getMessage().contains("doesn't count")) {
                    throw e;
                }
            }
        }
    }

    @Test
    void whatLoopbackCantDoIsRefused() {
        String text = TEXT.replace("what = \"drain\"", "what = \"cut\"\nzone = \"oviedo\"").replace("cores = 2", "cores = 2\nslots = 4")
                .replace("tries = 1", "tries = 2").replace("count = 4", "count = 65");
        String problems = ExperimentReader.read("x.toml", text + "[[arm]]\nname = \"a\"\npolicy = \"random\"\n", Path.of("."), null, null).problems()
                .toString();
        for (String expected : new String[] {"expected one of slow, freeze, crash, drain, shed over loopback, found cut", "expected as many slots",
            "expected 1 over loopback, found 2", "expected at most 64 over loopback nodes, found 65", "expected module and nothing that breaks"}) {
            assertTrue(problems.contains(expected), expected + " in " + problems);
        }
    }
}
