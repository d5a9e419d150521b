package mastdrift.tally;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Log lines of request steps, and the margins computed from them. */
class RequestStepTest {

    @Property(tries = 300)
    void lineParsesBackForAnyIdAndHost(@ForAll String id, @ForAll String host, @ForAll long seed) {
        Random random = new Random(seed);
        RequestStep step = new RequestStep(random.nextLong() >>> 1, id.replaceAll("[\\ud800-\\udfff]", ""),
                RequestStep.Kind.values()[random.nextInt(RequestStep.Kind.values().length)], random.nextInt(9) - 1, host.replaceAll("[\\ud800-\\udfff]", ""), "a word",
                random.nextInt());
        assertEquals(step, RequestStep.parse("12.5 " + step.formatLine()));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"step at=1 id=a | expected 7 words from at= to us=, found 2",
        "step at=1 id=a kind=sent n=0 host=h of=warm ms=0 | expected us=, found ms=0",
        "step at=1 id=a kind=flown n=0 host=h of=warm us=0 | kind: expected taken, sent, opened, ended or answered, found flown",
        "step at=x id=a kind=sent n=0 host=h of=warm us=0 | at: expected a whole number, found x"})
    void malformedLineIsReportedAndSkipped(String line, String expected) {
        assertEquals(expected,
                assertThrows(IllegalArgumentException.class, () -> RequestStep.parse(line)).getMessage());
        FleetSummary fleet = new FleetSummary();
        fleet.readLine("n3", 7, line);
        assertEquals(List.of("n3:7: " + expected), fleet.parseErrors());
    }

    private static String row(RuleMargins margins, String name) {
        return margins.rows().stream().filter(row -> row.get(0).equals(name)).map(row -> row.get(1) + " " + row.get(2)).findFirst().orElse("none");
    }

    /**
     * Each row that the margins report, from a log with retries, a draining host, an unanswered request and a cold
     * host.
     */
    @Test
    void marginsAreComputedFromSteps() {
        String[] lines = {
            "1000000 id=a kind=taken n=-1 host= of=pay:KEYED us=400000", "1000000 id=a kind=sent n=0 host=h1 of=leaving us=90000",
            "1030000 id=a kind=opened n=0 host=h1 of=leaving us=120000", "1100000 id=a kind=ended n=0 host=h1 of=SHED us=0",
            "1100000 id=a kind=sent n=1 host=h2 of=warm us=0", "1415000 id=a kind=ended n=1 host=h2 of=EXPIRED us=0",
            "1415000 id=a kind=answered n=-1 host= of=LATE us=415000",
            "1500000 id=b kind=taken n=-1 host= of=buy:UNSAFE us=400000", "1500000 id=b kind=sent n=0 host=h1 of=leaving us=240000",
            "1500000 id=b kind=ended n=0 host=h1 of=UNUSED us=0", "1500000 id=b kind=answered n=-1 host= of=FAILED us=0",
            "1600000 id=c kind=taken n=-1 host= of=buy:UNSAFE us=400000"};
        FleetSummary fleet = new FleetSummary();
        for (String line : lines) {
            fleet.readLine("n0", 1, "step at=" + line);
        }
        for (int i = 0; i < 6; i++) {  // 3 in any two seconds, 6 in all
            long sendMicros = 2_000_000 + i * 900_000L;
            fleet.readLine("n0", 1,
                    new RequestStep(sendMicros, "k" + i, RequestStep.Kind.TAKEN, -1, "", "read:SAFE", 1).formatLine());
            fleet.readLine("n0", 1,
                    new RequestStep(sendMicros, "k" + i, RequestStep.Kind.SENT, 0, "h9", RequestStep.STATE_COLD,
                            i * 900_000L).formatLine());
            fleet.readLine("n0", 1,
                    new RequestStep(sendMicros, "k" + i, RequestStep.Kind.ANSWERED, -1, "", "LEFT", 900_000)
                            .formatLine());
        }
        fleet.endLog();
        RuleMargins margins = fleet.margins();
        assertEquals(List.of(), fleet.parseErrors());
        assertEquals("9 ", row(margins, "requests followed"));
        assertEquals("1 ", row(margins, "taken, no answer in the log"));
        assertEquals("1 ", row(margins, "never sent, FAILED"));
        assertEquals("none", row(margins, "never sent, LATE"));
        assertEquals("15 a", row(margins, "latest answer against its time, ms"));
        assertEquals("1 ", row(margins, "sends to hosts that leave"));
        assertEquals("120 a at h1", row(margins, "last of them after it was told, ms"));
        assertEquals("1 ", row(margins, "repeats, KEYED after SHED"));
        assertEquals("3 h9 1800 ms after its start", row(margins, "most sent to a cold host in 2000 ms"));
        assertEquals("3 h9 1800 ms after its start", row(margins, "likewise in its first 5 s"));
        assertTrue(margins.rows().stream().allMatch(row -> row.size() == 3));
    }
}
