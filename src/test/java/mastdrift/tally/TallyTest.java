package mastdrift.tally;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Log lines of counts per second, and their aggregation over gateways. */
class TallyTest {

    private static SecondCounts randomCounts(Random random, long unixSeconds) {
        SecondCounts second = new SecondCounts(unixSeconds);
        for (Counter counter : Counter.values()) {
            second.add(counter, random.nextInt(3) * random.nextInt(1000));
        }
        for (int i = random.nextInt(6); i > 0; i--) {
            String uid = "h " + random.nextInt(4) + ":,%=";
            second.addSend(uid);
            if (random.nextBoolean()) {
                second.addLoss(uid);
            }
        }
        return second;
    }

    /** Lines parse back whatever the host's uid contains, and sums equal those of the counts. */
    @Property(tries = 200)
    void linesParseBackAndSumsAddUp(@ForAll long seed) {
        Random random = new Random(seed);
        FleetSummary fleet = new FleetSummary();
        SecondCounts expected = new SecondCounts(0);
        for (int i = 0; i < 20; i++) {
            SecondCounts second = randomCounts(random, 100 + random.nextInt(3));
            assertEquals(second.formatLine(), SecondCounts.parse("17.003 " + second.formatLine()).formatLine());
            fleet.readLine("n" + i % 4, i, i % 2 == 0 ? second.formatLine()
                    : "12.5 " + second.formatLine() + " later_name=7");
            expected.add(second);
        }
        assertEquals(expected.formatLine(), fleet.total().formatLine());
        SecondCounts gateways = new SecondCounts(0);
        fleet.gateways().values().forEach(gateways::add);
        assertEquals(expected.formatLine(), gateways.formatLine());
        assertEquals(0, fleet.parseErrorCount());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"nothing | expected tally at=, found none", "tally at=x | at: expected a whole number from 0, found x",
        "tally at=5 sends=-1 | sends: expected a whole number from 0, found -1", "tally at=5 sends | expected name=count, found sends",
        "tally at=5 hosts=a:1 | hosts: expected UID:sends:lost, found a:1"})
    void malformedLinesAreReportedAndOthersStillCount(String line, String expected) {
        assertEquals(expected,
                assertThrows(IllegalArgumentException.class, () -> SecondCounts.parse(line)).getMessage());
        FleetSummary fleet = new FleetSummary();
        for (int i = 1; i <= 30; i++) {
            fleet.readLine("n0", i, line);
        }
        fleet.readLine("n0", 31, "tally at=5 sends=2");
        assertEquals(2, fleet.total().count(Counter.SENDS));
        boolean noTallyLine = line.equals("nothing");
        assertEquals(noTallyLine ? 0 : 30, fleet.parseErrorCount());
        assertEquals(noTallyLine ? 0 : 20, fleet.parseErrors().size(), "number of errors kept");
        assertTrue(noTallyLine || fleet.parseErrors().get(0).equals("n0:1: " + expected));
    }

    @Test
    void hostsBeyondTheMaximumAreCountedTogether() {
        SecondCounts second = new SecondCounts(1);
        for (int i = 0; i < 1000; i++) {
            second.addSend("h" + i);
        }
        assertEquals(SecondCounts.MAX_HOSTS + 1, second.hosts().size());
        assertEquals(1000, second.hosts().values().stream().mapToLong(SecondCounts.HostCounts::sends).sum());
    }

    /** Events are counted from the lines that every gateway writes, with or without --tally. */
    @Test
    void eventLinesAreCounted() {
        FleetSummary fleet = new FleetSummary();
        String[] lines = {"2.9 list 0: 60 hosts", "3.0 listening on /10.0.0.1:9000", "10.5 discovery failed: no connection",
            "12.0 discovery failed: status 503", "16.25 list 3: 4 changes", "17.0 the gateway itself is late: whatever comes waits 106 ms at least",
            "18.0 discovery failed: no connection", "20.0 list 4: 60 hosts", "20.1 listening on /10.0.0.1:9000", "21.0 list 5: 1 changes"};
        for (int i = 0; i < lines.length; i++) {
            fleet.readLine("n0", i + 1, lines[i]);
        }
        FleetSummary.GatewayEvents events = fleet.events().get("n0");
        assertEquals(2, events.starts());
        assertEquals(4, events.listUpdates());
        assertEquals(3, events.failedCalls());
        assertEquals(106, events.maxLatenessMillis());
        assertEquals(5.75, events.maxListGapSeconds(), 1e-9);
    }
}
