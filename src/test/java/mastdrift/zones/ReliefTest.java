package mastdrift.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** When service goes before budgets, for whom, and until when. */
class ReliefTest {

    private static final long SECOND = 1_000_000;
    private static final Set<String> THREE = Set.of("a", "b", "c");

    private final Relief relief = new Relief(List.of("start", "read"), 5 * SECOND);
    private long now = SECOND;
    private long gaveFor;

    ReliefTest() {
        relief.hosts(now, THREE);
    }

    /** So many seconds at 100 requests a second, of which a part is refused, held back by a budget for classes that don't give way. */
    private void play(double seconds, double refused) {
        long until = now + (long) (seconds * SECOND);
        for (int i = 0; now < until; i++, now += 10_000) {
            relief.offered(now);
            String type = i % 2 == 0 ? "start" : "read";
            if (i / 2 * 7 % 100 < 100 * refused) {  // spread evenly, over both classes
                relief.refused(now, !relief.gives(type));
            }
            gaveFor += relief.gives("read") ? 10_000 : 0;
        }
        relief.advance(now);
    }

    private void fail(String uid, int times) {
        for (int i = 0; i < times; i++, now += 400_000) {
            relief.outcome(now, uid, false);
        }
    }

    @Test
    void oneHostOfThreeIsNoZone() {
        fail("a", 20);
        assertFalse(relief.out());
        fail("b", 2);
        relief.outcome(now, "b", true);
        fail("b", 2);
        assertFalse(relief.out(), "it answered in between");
        fail("b", 4);
        assertTrue(relief.out());
        assertTrue(relief.gives("start") && relief.gives("read") && !relief.gives("report"), "those of the order, and no other");
    }

    @Test
    void aZoneWithoutHostsIsOutAtOnceAndBackAfterACalm() {
        relief.hosts(now, Set.of());
        assertEquals(List.of("start", "read"), relief.giving());
        now += SECOND;
        relief.hosts(now, THREE);
        play(4, 0);
        assertTrue(relief.out(), "it may go again");
        play(2, 0);
        assertFalse(relief.out());
        assertTrue(relief.gives("read"), "it is cold: back a class at a time");
        play(30, 0);
        assertEquals(List.of(), relief.giving());
    }

    /** One class a second, the first of the order first; then held again, the last one first. */
    @Test
    void anOverloadedZoneGivesWayClassByClass() {
        play(1.2, 0.3);
        assertEquals(List.of("start"), relief.giving());
        play(2, 0.3);
        assertEquals(List.of("start", "read"), relief.giving());
        play(5.6, 0);
        assertEquals(List.of("start"), relief.giving());
        play(5.6, 0);
        assertEquals(List.of(), relief.giving());
    }

    /** Fewer than 2%, or too few to tell, are no overload. */
    @Test
    void aFewRefusalsAreNoOverload() {
        play(20, 0.01);
        assertEquals(List.of(), relief.giving());
    }

    /** Each step that has to be taken back makes the next wait longer: over ten minutes of a load that overloads whoever is held, ever less change. */
    @Test
    void stepsThatAreTakenBackWaitLonger() {
        int changes = 0;
        int early = 0;
        int before = 0;
        for (int second = 0; second < 600; second++) {
            play(1, relief.giving().isEmpty() ? 0.3 : 0);
            changes += relief.giving().size() != before ? 1 : 0;
            before = relief.giving().size();
            early = second == 100 ? changes : early;
        }
        assertTrue(changes > 2 && changes - early < 5 * early, changes + " changes, " + early + " in the first 100 s");
        assertTrue(changes <= 60, changes + " changes");
    }

    /** Both zones overloaded: crossing buys nothing, and is given up for a while. */
    @Test
    void whatBuysNothingIsGivenUp() {
        play(3, 0.4);
        assertEquals(2, relief.giving().size());
        play(9, 0.4);
        assertEquals(List.of(), relief.giving());
        gaveFor = 0;
        play(20, 0.4);
        assertEquals(0, gaveFor);
        play(20, 0.4);
        assertTrue(gaveFor > 0, "tried again");
    }

    /** Up and away for 10 s each, for two minutes: out while away, and not a word more than one change a turn. */
    @Test
    void aZoneThatFlapsIsOutWhileItIsAway() {
        for (int turn = 0; turn < 6; turn++) {
            relief.hosts(now, Set.of());
            play(10, 0);
            assertTrue(relief.out());
            relief.hosts(now, THREE);
            play(10, 0);
            assertFalse(relief.out());
        }
    }
}
