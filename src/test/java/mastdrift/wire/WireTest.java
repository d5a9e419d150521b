package mastdrift.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the adapter through its input and output streams. */
class WireTest {

    private static final String SETTINGS = "allowed.cancel=true allowed.dial_timeout=60000 allowed.max_attempts=3"
            + " allowed.max_retry_after=750000 allowed.parallel_tries=true allowed.probes=true"
            + " allowed.retry_after=true balancers=1 classes.count=1 classes.0.credit=5.0"
            + " classes.0.deadline=400000 classes.0.dedup_window=0 classes.0.group=all classes.0.late_share=0.2"
            + " classes.0.name=read classes.0.repeat=read_like classes.0.target=120000 dcs=a guarantees.cold_from=0.2"
            + " guarantees.fall=2000000 guarantees.tip_multiple=3.0 guarantees.warm_within=9000000"
            + " guarantees.must_ask_in=10000000 locality=a registry_mode=pushed tenants= weights=rough"
            + " a.setting.nobody.knows=7";
    private static final String INIT = "init gateway/1 42 " + SETTINGS + "\n";
    private static final String HOST_LIST = "discovery gateway/1 cached 1 2\nentry 0 h1:1 a 1 std U -\n"
            + "entry 0 h2:1 a 1.5 std U 6100000\n";
    private static final String START = "tick 100 1\n" + INIT + HOST_LIST + "your_turn\n";

    private record Run(int status, String out, String err) { }

    private static Run run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = Main.run(new String[] {"adapter"},
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out, new PrintStream(err, true));
        return new Run(status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void requestIsPlacedAndEndsWithItsOutcome() throws IOException {
        Run run = run(START + "tick 200 2\ncall gateway/1 7 read - 4711 240000 12000 1\nyour_turn\n"
                + "tick 20200 3\nresolved gateway/1 7 0 h1:1 delivered 20000 1 cpu:0.62,waiting:3,other:9\nyour_turn\n");
        assertEquals(0, run.status());
        String[] lines = run.out().split("\n");
        assertTrue(lines[0].startsWith("after gateway/1 "), run.out());
        assertEquals("end 1", lines[1]);
        assertTrue(lines[2].matches("place gateway/1 7 h[12]:1 240000"), lines[2]);
        assertEquals("end 2", lines[3]);
        assertEquals("end 3", lines[4]);
        assertEquals("", run.err());
    }

    @ParameterizedTest
    @ValueSource(strings = {"app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused"})
    void safeRequestIsRetriedOrRefusedAfterFailure(String outcome) throws IOException {
        Run run = run(START + "tick 200 2\ncall gateway/1 7 read - 4711 240000 - 0\nyour_turn\n"
                + "tick 300 3\nresolved gateway/1 7 0 h1:1 " + outcome + " 100 0 -\nyour_turn\n");
        String last = run.out().substring(run.out().indexOf("end 2\n") + 6);
        assertTrue(last.startsWith("place gateway/1 7 ") || last.startsWith("decline gateway/1 7 "), run.out());
    }

    @Test
    void unknownMessagesAndDetachedInstancesAreAccepted() throws IOException {
        Run run = run(START + "tick 200 2\nweather gateway/1 sunny\ndetach gateway/1\n" + INIT + HOST_LIST
                + "gone gateway/1 99\ntimer gateway/1 nothing\necho gateway/1 h1:1 delivered 5 cpu:0.1\n"
                + "under_way gateway/1 7 0 h1:1 5\ndiscovery gateway/1 failed - -\nyour_turn\n");
        assertEquals(0, run.status());
        assertTrue(run.out().endsWith("end 2\n") && run.err().isEmpty());
    }

    @Test
    void exceptionInModuleIsReportedAsPanicOfInstance() throws IOException {
        Run run = run(START + "tick 200 2\ncall gateway/1 7 unheard - 1 240000 - 0\nyour_turn\n");
        assertEquals(0, run.status());
        assertTrue(run.out().contains("panic gateway/1 java.lang.IllegalArgumentException: unknown class"));
        assertFalse(run.err().contains("\tat "));
    }

    static Stream<String[]> malformed() {
        return Stream.of(
                new String[] {"call gateway/1 7\n", "a tick line first"},
                new String[] {"tick x 1\n", "the clock, a whole number"},
                new String[] {"tick 1 1\n", "your_turn, to end batch 1"},
                new String[] {"tick 1 1\ncall gateway/9 7 read - 1 1 - 0\n", "an instance that was started"},
                new String[] {"tick 1 1\ninit gateway/1 42 a\n", "settings as path=value"},
                new String[] {"tick 1 1\ninit gateway/1 42 a=b\n", "the setting"},
                new String[] {"tick 1 1\n" + INIT.replace("balancers=1", "balancers=0"), "gateways can't be 0"},
                new String[] {"tick 1 1\n" + INIT.replace("read_like", "often"), "classes.0.repeat as one of"},
                new String[] {START + "tick 2 2\ncall gateway/1 7\n", "a class"},
                new String[] {START + "tick 2 2\ncall gateway/1 7 read - k 5 - 0\n", "a key, a whole number"},
                new String[] {START + "tick 2 2\nresolved gateway/1 7 0 h1:1 fine 1 1 -\n", "a known outcome"},
                new String[] {START + "tick 2 2\nresolved gateway/1 7 0 h1:1 shed 1 2 -\n", "over, 0 or 1"},
                new String[] {START + "tick 2 2\nresolved gateway/1 7 0 h1:1 shed 1 1 cpu\n", "a load report"},
                new String[] {START + "tick 2 2\ndiscovery gateway/1 some 1 0\n", "delta, full, cached or failed"},
                new String[] {START + "tick 2 2\ndiscovery gateway/1 full 1 1\ncall x\n", "an entry line"},
                new String[] {START + "tick 2 2\ndiscovery gateway/1 full 1 1\nentry 0 h a 1 std X -\n", "a health"});
    }

    @ParameterizedTest
    @MethodSource("malformed")
    void malformedLineExitsWithStatus2AndOneErrorLine(String input, String expected) throws IOException {
        Run run = run(input);
        assertEquals(2, run.status());
        assertEquals(1, run.err().strip().lines().count(), run.err());
        assertTrue(run.err().startsWith("malformed line: ") && run.err().contains(expected), run.err());
    }

    @Test
    void unknownCommandPrintsUsage() throws IOException {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        assertEquals(2, Main.run(new String[0], new ByteArrayInputStream(new byte[0]), new ByteArrayOutputStream(),
                new PrintStream(err, true)));
        assertEquals("usage: java -jar mastdrift.jar adapter\n", err.toString(StandardCharsets.UTF_8));
    }
}
