package mastdrift.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import mastdrift.distribution.ResourceKind;
import mastdrift.lab.scale.Requirements.Capacity;
import mastdrift.lab.scale.ScalePlan.Kind;
import mastdrift.lab.scale.ScalePlan.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The file of a scale run, and what is refused before anything is started. */
class ScalePlanTest {

    private static final long GIB = 1L << 30;
    private static final Capacity LARGE = new Capacity(64 * GIB, 64 * GIB, 1 << 20);

    private static ScalePlan.Result read(String text) {
        return ScalePlan.read("x.toml", text, null);
    }

    private static ScalePlan plan(String text) {
        ScalePlan.Result result = read(text);
        assertEquals(List.of(), result.problems());
        return result.plan();
    }

    @Test
    void aFileIsRead() {
        ScalePlan plan = plan("""
                name = "sizes"
                seed = 7
                voters = 3
                relays = 4
                [[size]]
                hollow = 256
                routes = 28
                tenants = 170
                [[size]]
                hollow = 1024
                routes = 28
                tenants = 170
                [[phase]]
                what = "idle"
                for = "30s"
                [[phase]]
                name = "tenfold"
                what = "changes"
                rate = 1.7
                for = "2m"
                [[phase]]
                what = "burst"
                count = 500
                for = "15s"
                """);
        assertEquals("sizes", plan.name());
        assertEquals(7, plan.seed());
        assertEquals(2, plan.sizes().size());
        assertEquals(298, plan.sizes().get(0).all(), "100 hosts where none are named");
        assertEquals(170, plan.sizes().get(1).resources().get(ResourceKind.TENANT));
        assertEquals(List.of(Kind.IDLE, Kind.CHANGES, Kind.BURST), plan.phases().stream().map(ScalePlan.Phase::kind).toList());
        assertEquals(List.of(30, 120, 15), plan.phases().stream().map(ScalePlan.Phase::seconds).toList());
        assertEquals("tenfold", plan.phases().get(1).name());
        assertEquals(500, plan.phases().get(2).count());
        assertEquals(9, ScalePlan.read("x.toml", "[[size]]\nhollow = 8\n", 9L).plan().seed());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "voters = 5 | at least one table [[size]]",
        "voters = 4\\n[[size]] | expected 1, 3, 5 or 7, found 4",
        "[[size]]\\nhosts = 0 | hosts",
        "[[size]]\\nhollow = 9000 | expected a whole number from 1 to 8200",
        "[[size]]\\nholow = 9 | hollow",
        "[[size]]\\nroutes = 300000\\ntenants = 300000 | expected at most 500000 resources",
        "[[size]]\\nhollow = 9\\n[[size]]\\nhollow = 8 | each size to be larger",
        "[[size]]\\nhollow = 9\\n[[size]]\\nhollow = 9 | each size to be larger",
        "[[size]]\\n[[phase]]\\nfor = \"1s\" | expected what it does, found nothing",
        "[[size]]\\n[[phase]]\\nwhat = \"sleep\"\\nfor = \"1s\" | idle",
        "[[size]]\\n[[phase]]\\nwhat = \"changes\"\\nfor = \"1s\" | rate",
        "[[size]]\\n[[phase]]\\nwhat = \"idle\"\\nrate = 3.0\\nfor = \"1s\" | rate",
        "[[size]]\\n[[phase]]\\nwhat = \"idle\"\\nfor = \"90m\" | for",
        "[[size]]\\n[[phase]]\\nwhat = \"idle\"\\nfor = \"1s\"\\n[[phase]]\\nwhat = \"idle\"\\nfor = \"1s\" | phases of different names",
        "[[size]]\\nhollow = | "})
    void aFileThatIsNotOneIsRefusedWithItsPlace(String text, String expected) {
        ScalePlan.Result result = read(text.replace("\\n", "\n"));
        assertNull(result.plan());
        assertTrue(result.problems().get(0).matches("x\\.toml:\\d+:\\d+: .*"), result.problems().get(0));
        assertTrue(expected == null || result.problems().stream().anyMatch(line -> line.contains(expected)), () -> expected + " in " + result.problems());
    }

    @Test
    void aFileThatIsNotThereIsNamed() {
        assertEquals(List.of("away.toml: expected a file that can be read, found NoSuchFileException"), ScalePlan.read(Path.of("away.toml"), null).problems());
    }

    /** Every file of the repository that is one. */
    @Test
    void thoseInTheRepositoryAreRead() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("experiments"))) {
            List<Path> plans = files.filter(file -> file.getFileName().toString().startsWith("scale-fleet")).toList();
            assertTrue(plans.size() >= 3, plans::toString);
            for (Path each : plans) {
                ScalePlan.Result result = ScalePlan.read(each, null);
                assertNotNull(result.plan(), () -> result.problems().toString());
                result.plan().sizes().forEach(size -> assertEquals(List.of(), Requirements.of(result.plan(), size).refusals(new Capacity(23 * GIB, 23 * GIB, 20_000))));
            }
        }
    }

    // ---- guards

    private static Requirements requirements(String more, int hollow, int routes) {
        ScalePlan plan = plan(more + "\n[[size]]\nhollow = " + hollow + "\nroutes = " + routes + "\n");
        return Requirements.of(plan, plan.sizes().get(0));
    }

    @Test
    void moreThanHalfOfTheMemoryIsRefused() {
        Requirements requirements = requirements("relays = 12", 4_100, 1_000);
        assertEquals(List.of(), requirements.refusals(LARGE));
        List<String> lines = requirements.refusals(new Capacity(2 * requirements.memory() - 2, LARGE.free(), LARGE.descriptors()));
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("expected to need at most half of this machine's memory, "), lines.get(0));
        assertEquals(List.of(), requirements.refusals(new Capacity(2 * requirements.memory(), requirements.memory(), LARGE.descriptors())));
    }

    @Test
    void memoryThatOthersUseIsRefused() {
        Requirements requirements = requirements("", 100, 100);
        List<String> lines = requirements.refusals(new Capacity(LARGE.memory(), requirements.memory() - 1, LARGE.descriptors()));
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).contains("that nobody uses now"), lines.get(0));
    }

    @Test
    void moreProcessesThanAFewHundredAreRefused() {
        assertEquals(List.of("expected fewer than 200 processes, found that it needs 1047; raise per_process"), requirements("per_process = 4", 4_100, 10).refusals(new Capacity(4_000 * GIB,
                4_000 * GIB, 1 << 20)));
        Requirements most = requirements("per_process = 1\nrelays = 2", 187, 10);
        assertEquals(199, most.processes());
        assertEquals(List.of(), most.refusals(LARGE));
        assertEquals(1, requirements("per_process = 1\nrelays = 2", 188, 10).refusals(LARGE).size());
    }

    @Test
    void tooFewDescriptorsAreRefused() {
        Requirements requirements = requirements("voters = 1\nrelays = 0\nper_process = 8200", 4_100, 10);
        assertTrue(requirements.descriptors() > 8_200, requirements::toString);
        List<String> lines = requirements.refusals(new Capacity(LARGE.memory(), LARGE.free(), requirements.descriptors() - 1));
        assertEquals(List.of("expected at least " + requirements.descriptors() + " descriptors for a process (ulimit -n), found " + (requirements.descriptors() - 1)), lines);
        assertEquals(List.of(), requirements.refusals(new Capacity(LARGE.memory(), LARGE.free(), requirements.descriptors())));
    }

    @Test
    void moreOfEverythingNeedsMoreMemory() {
        long least = requirements("", 100, 100).memory();
        assertTrue(requirements("", 1_000, 100).memory() > least);
        assertTrue(requirements("", 100, 10_000).memory() > least);
        assertTrue(requirements("gateways = 9", 100, 100).memory() > least);
        assertTrue(requirements("relays = 20", 100, 100).memory() > least);
    }

    @Test
    void sizesKeepTheirOwnCounts() {
        java.util.Map<ResourceKind, Integer> counts = new java.util.TreeMap<>(java.util.Map.of(ResourceKind.HOST, 3));
        Size size = new Size(1, counts);
        counts.clear();
        assertEquals(3, size.all());
    }
}
