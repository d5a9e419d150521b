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

    /** A voter, a relay, a real gateway and hollow ones: many changes at once, half of the gateways cut off for a moment, some that come back with nothing. All get all of it, and nothing of the
        run is left behind. */
    @Test
    void aSmallFleetIsPlayedAndNothingIsLeft() throws Exception {
        ScalePlan.Result read = ScalePlan.read("small.toml", """
                name = "small"
                voters = 1
                relays = 1
                gateways = 1
                zones = 2
                [[size]]
                hollow = 8
                routes = 4
                pools = 2
                tenants = 20
                hosts = 30
                [[phase]]
                what = "burst"
                count = 25
                for = "1s"
                [[phase]]
                what = "cut"
                rate = 10.0
                for = "2s"
                [[phase]]
                what = "return"
                count = 3
                for = "1s"
                """, null);
        assertEquals(List.of(), read.problems());
        List<String> said = new ArrayList<>();
        Figures figures = Scale.play(read.plan(), folder, said::add);
        assertEquals(List.of(), figures.shortfalls());
        assertEquals(8 * 25, value(figures, "burst", "hollow", "in force, counted"), "each change is seen by each gateway");
        assertTrue(value(figures, "burst", "hollow", "in force, the last, ms") < 30_000);
        assertEquals(1 + 9 + 1 + 1 + 1, value(figures, "burst", "relay", "sockets"), "a listener, nine gateways, the voter, the run itself, and one that Java keeps to end others by");
        assertEquals(0, value(figures, "cut", "hollow", "snapshots"), "what was missed comes as changes");
        assertTrue(value(figures, "cut", "hollow", "in force, the last, ms") > 300, "half of the gateways hear nothing for a second");
        assertTrue(value(figures, "cut", "hollow", "the last has returned, s") < 30);
        assertTrue(value(figures, "return", "hollow", "the last has returned, s") < 30, "with all of it, by changes: the relay still knows all that there were");
        assertTrue(value(figures, "return", "gateway", "disk, KiB") > 1, "a real gateway keeps its copy");
        assertEquals(4, said.size(), said::toString);
        assertTrue(figures.csv().startsWith("resources,phase,role,quantity,value\n56,start,voter,"), figures.csv());
        assertTrue(figures.json().contains("\"foretold\""));
        assertTrue(figures.html().contains("<svg"));
        assertEquals(0, ProcessHandle.current().descendants().filter(each -> each.info().commandLine().orElse("").contains("mastdrift.")).count());
    }

    /** A process that has nobody any more to tell it what to do ends by itself. */
    @Test
    void aProcessEndsWithItsInput() throws Exception {
        Process process = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-cp", System.getProperty("java.class.path"), HollowWorker.class.getName()).start();
        try {
            process.getOutputStream().close();
            assertTrue(process.waitFor(30, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
    }
}
