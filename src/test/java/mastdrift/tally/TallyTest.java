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

class TallyTest {

    private static Second drawn(Random random, long at) {
        Second second = new Second(at);
        for (Count count : Count.values()) {
            second.add(count, random.nextInt(3) * random.nextInt(1000));
        }
        for (int i = random.nextInt(6); i > 0; i--) {
            String uid = "h " + random.nextInt(4) + ":,%=";
            second.sent(uid);
            if (random.nextBoolean()) {
                second.lost(uid);
            }
        }
        return second;
    }

    /** What is written is read again, whatever a host is called, and sums are those of what was counted. */
    @Property(tries = 200)
    void linesReadBackAndAddUp(@ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet();
        Second expected = new Second(0);
        for (int i = 0; i < 20; i++) {
            Second second = drawn(random, 100 + random.nextInt(3));
            assertEquals(second.line(), Second.parse("17.003 " + second.line()).line());
            fleet.read("n" + i % 4, i, i % 2 == 0 ? second.line() : "12.5 " + second.line() + " later_name=7");
            expected.add(second);
        }
        assertEquals(expected.line(), fleet.all().line());
        Second gateways = new Second(0);
        fleet.gateways().values().forEach(gateways::add);
        assertEquals(expected.line(), gateways.line());
        assertEquals(0, fleet.faulty());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"nothing | expected tally at=, found none", "tally at=x | at: expected a whole number from 0, found x",
        "tally at=5 sends=-1 | sends: expected a whole number from 0, found -1", "tally at=5 sends | expected name=count, found sends",
        "tally at=5 hosts=a:1 | hosts: expected UID:sends:lost, found a:1"})
    void whatCantBeReadIsNamedAndTheRestCounts(String line, String expected) {
        assertEquals(expected, assertThrows(IllegalArgumentException.class, () -> Second.parse(line)).getMessage());
        Fleet fleet = new Fleet();
        for (int i = 1; i <= 30; i++) {
            fleet.read("n0", i, line);
        }
        fleet.read("n0", 31, "tally at=5 sends=2");
        assertEquals(2, fleet.all().of(Count.SENDS));
        boolean other = line.equals("nothing");
        assertEquals(other ? 0 : 30, fleet.faulty());
        assertEquals(other ? 0 : 20, fleet.faults().size(), "bounded");
        assertTrue(other || fleet.faults().get(0).equals("n0:1: " + expected));
    }

    @Test
    void hostsAreBoundedAndNoneIsLost() {
        Second second = new Second(1);
        for (int i = 0; i < 1000; i++) {
            second.sent("h" + i);
        }
        assertEquals(Second.HOSTS_MOST + 1, second.hosts().size());
        assertEquals(1000, second.hosts().values().stream().mapToLong(Second.OfHost::sends).sum());
    }

    /** By the lines that every gateway writes, counting or not. */
    @Test
    void whatIsSaidOnceIsCounted() {
        Fleet fleet = new Fleet();
        String[] lines = {"2.9 list 0: 60 hosts", "3.0 listening on /10.0.0.1:9000", "10.5 discovery failed: no connection",
            "12.0 discovery failed: status 503", "16.25 list 3: 4 changes", "17.0 the gateway itself is late: whatever comes waits 106 ms at least",
            "18.0 discovery failed: no connection", "20.0 list 4: 60 hosts", "20.1 listening on /10.0.0.1:9000", "21.0 list 5: 1 changes"};
        for (int i = 0; i < lines.length; i++) {
            fleet.read("n0", i + 1, lines[i]);
        }
        Fleet.Said said = fleet.said().get("n0");
        assertEquals(2, said.starts());
        assertEquals(4, said.changes());
        assertEquals(3, said.callsFailed());
        assertEquals(106, said.lateMost());
        assertEquals(5.75, said.unheardMost(), 1e-9);
    }
}
