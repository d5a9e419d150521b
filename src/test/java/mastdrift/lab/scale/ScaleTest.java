package mastdrift.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Hollow gateways and control machines as processes, over loopback. */
class ScaleTest {

    @TempDir
    private Path folder;

    private static double value(Figures figures, String phase, String role, String quantity) {
        return figures.all().stream().filter(each -> each.phase().equals(phase) && each.role().equals(role) && each.quantity().equals(quantity)).findFirst().orElseThrow(() ->
                new AssertionError(phase + " " + role + " " + quantity + " in " + figures.all())).value();
    }

    /** Two sizes; changes, all at once, and some that come back with nothing: all get all of it, and nothing of a run is left behind. */
    @Test
    void aSmallFleetIsPlayedAndNothingIsLeft() throws Exception {
        ScalePlan.Result read = ScalePlan.read("small.toml", """
                name = "small"
                voters = 1
                relays = 1
                zones = 2
                [[size]]
                hollow = 8
                routes = 4
                tenants = 20
                [[phase]]
                what = "burst"
                count = 25
                for = "2s"
                [[phase]]
                what = "cut"
                rate = 5.0
                for = "3s"
                [[phase]]
                what = "return"
                count = 3
                for = "2s"
                """, null);
        assertEquals(List.of(), read.problems());
        List<String> said = new ArrayList<>();
        Figures figures = Scale.play(read.plan(), folder, said::add);
        assertEquals(List.of(), figures.shortfalls());
        assertEquals(8 * 25, value(figures, "burst", "hollow", "in force, counted"), "each change is seen by each gateway");
        assertTrue(value(figures, "burst", "hollow", "in force, the last, ms") < 30_000);
        assertTrue(value(figures, "burst", "hollow", "bytes in/s") > 25 * 100 / 3.0, "changes come over sockets");
        assertEquals(1 + 8 + 1 + 1, value(figures, "burst", "relay", "sockets"), "a listener, a link to each gateway, one to the voter, and one that Java keeps to end others by");
        assertEquals(0, value(figures, "cut", "hollow", "snapshots"), "what was missed comes as changes");
        assertTrue(value(figures, "cut", "hollow", "in force, the last, ms") > 300, "half of the gateways hear nothing for 1.5 s");
        assertTrue(value(figures, "cut", "hollow", "the last has returned, s") < 30);
        assertEquals(3, value(figures, "return", "hollow", "snapshots"));
        assertEquals(4, said.size(), said::toString);
        assertTrue(figures.csv().startsWith("resources,phase,role,quantity,value\n24,start,relay,"), figures.csv());
        assertTrue(figures.json().contains("\"foretold\""));
        assertTrue(figures.html().contains("<svg"));
        assertEquals(0, ProcessHandle.current().descendants().filter(each -> each.info().commandLine().orElse("").contains(Node.class.getName())).count());
    }

    /** A process that has nobody any more to tell it what to do ends by itself. */
    @Test
    void aProcessEndsWithItsInput() throws Exception {
        Process process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp", System.getProperty("java.class.path"), Node.class.getName()).start();
        try {
            process.getOutputStream().close();
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
    }
}
