package mastdrift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How long a list may be used after each event of its watch and calls. */
class HostListLeaseTest {

    private static final long SECOND = 1_000_000;
    private static final long ASK = 10 * SECOND;

    private final ListLease lease = new ListLease(ASK);

    private void standsAt(long at) {
        lease.called(at);
        lease.watchBegan(at);
        lease.lineCame(at);
        lease.listed();
    }

    @Test
    void aListHoldsWhileItsWatchTells() {
        standsAt(0);
        for (long at = 0; at < 60 * SECOND; at += 2 * SECOND) {
            lease.lineCame(at);
            assertTrue(lease.holds(at + 2 * SECOND));
        }
    }

    @Test
    void anEndedWatchLeavesItForAWhileUntilAListComes() {
        standsAt(0);
        lease.watchEnded(SECOND);
        lease.called(SECOND + 200_000);
        assertTrue(lease.holds(SECOND + ListLease.ENDED - 1));
        assertFalse(lease.holds(SECOND + ListLease.ENDED));
        lease.watchBegan(4 * SECOND);
        assertFalse(lease.holds(4 * SECOND), "a response that has only started delivers nothing");
        lease.lineCame(4 * SECOND);
        lease.listed();
        assertTrue(lease.holds(4 * SECOND));
    }

    @Test
    void aSilentWatchCountsFromItsLastLine() {
        standsAt(0);
        lease.lineCame(2 * SECOND);
        lease.watchSilent();
        lease.called(5 * SECOND);
        assertTrue(lease.holds(2 * SECOND + ListLease.SILENT - 1));
        assertFalse(lease.holds(2 * SECOND + ListLease.SILENT));
    }

    @Test
    void aWatchThatNobodyFoundSilentCountsAsSoon() {
        standsAt(0);
        assertFalse(lease.holds(ListLease.SILENT));
    }

    @Test
    void aSecondEndDoesNotProlongTheFirst() {
        standsAt(0);
        lease.watchEnded(SECOND);
        lease.watchEnded(2 * SECOND);
        assertEquals(SECOND + ListLease.ENDED, lease.until());
    }

    @Test
    void aFailedCallMeansThatTheRegistryMayBeAway() {
        standsAt(0);
        lease.watchEnded(SECOND);
        lease.called(SECOND);
        lease.callFailed();
        assertTrue(lease.holds(SECOND + 4 * ASK - 1));
        assertFalse(lease.holds(SECOND + 4 * ASK), "four times the configured validity");
        lease.called(9 * SECOND);
        assertFalse(lease.holds(9 * SECOND + ASK));
    }

    @Test
    void withNoSettingAFailedCallLiftsItForGood() {
        ListLease plain = new ListLease(0);
        plain.lineCame(0);
        plain.watchEnded(SECOND);
        plain.callFailed();
        assertEquals(Long.MAX_VALUE, plain.until());
    }

    @Test
    void whatHasBegunHasToComeWhole() {
        standsAt(0);
        lease.listBegan(SECOND);
        assertTrue(lease.holds(SECOND + ListLease.UNFINISHED - 1));
        assertFalse(lease.holds(SECOND + ListLease.UNFINISHED));
        lease.nothingUnfinished();
        assertTrue(lease.holds(SECOND + ListLease.UNFINISHED));
    }

    @Test
    void anAgentThatIsSilentHasNothingToTellButWhatItHasBegun() {
        ListLease agents = ListLease.byAgent();
        agents.lineCame(0);
        agents.watchEnded(SECOND);
        assertTrue(agents.holds(60 * SECOND));
        agents.listBegan(60 * SECOND);
        assertFalse(agents.holds(60 * SECOND + ListLease.UNFINISHED));
    }

    @Test
    void aMoveHasItsTime() {
        standsAt(0);
        lease.moved(SECOND);
        lease.called(SECOND);
        assertTrue(lease.holds(SECOND + ListLease.MOVED - 1));
        assertFalse(lease.holds(SECOND + ListLease.MOVED));
    }

    @Test
    void aStartGoesByTheListThatWasKnown() {
        assertTrue(new ListLease(ASK).holds(5 * SECOND));
    }

    /** In any order of events: once a watch has ended, only a line, a list or a failed call extends the lease. */
    @Property
    void anEndIsNeverForgotten(@ForAll @Size(max = 12) List<@IntRange(min = 0, max = 5) Integer> events) {
        ListLease drawn = new ListLease(0);
        drawn.lineCame(0);
        drawn.watchEnded(0);
        long now = 0;
        for (int event : events) {
            now += 100_000;
            switch (event) {
                case 0 -> drawn.called(now);
                case 1 -> drawn.watchBegan(now);
                case 2 -> drawn.watchEnded(now);
                case 3 -> drawn.moved(now);
                case 4 -> drawn.listBegan(now);
                default -> drawn.nothingUnfinished();
            }
            assertTrue(drawn.until() <= ListLease.ENDED, () -> "after " + events);
        }
    }
}
