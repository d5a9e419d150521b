package mastdrift.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import mastdrift.limits.TurnShares.Share;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TurnSharesTest {

    private static final int PER_TURN = 100;
    private static final int PER_CONNECTION = 20;
    private static final int GUARANTEED = 3;

    private final TurnShares shares = new TurnShares(PER_TURN, PER_CONNECTION, GUARANTEED, 10);

    private int workInTurn(long turn, Share share, int wanted) {
        int done = 0;
        while (done < wanted && shares.mayWork(turn, share)) {
            shares.recordWork(turn, share, 1);
            done++;
        }
        return done;
    }

    /** Guards against a turn that lasts for as long as one connection, or all together, have work. */
    @Property
    void turnIsBoundedAndNobodyStarves(@ForAll @IntRange(min = 1, max = 200) int connections, @ForAll @IntRange(min = 1, max = 400) int wanted) {
        TurnSharesTest each = new TurnSharesTest();
        int total = 0;
        for (int i = 0; i < connections; i++) {
            int done = each.workInTurn(7, new Share(), wanted);
            assertTrue(done >= Math.min(GUARANTEED, wanted), "connection " + i + " has its guaranteed part");
            assertTrue(done <= PER_CONNECTION, "connection " + i + " has no more than its share");
            total += done;
        }
        assertTrue(total <= PER_TURN + GUARANTEED * connections, "units in the turn: " + total);
    }

    @Test
    void everyTurnBeginsAnew() {
        Share share = new Share();
        assertEquals(PER_CONNECTION, workInTurn(1, share, 50));
        assertFalse(shares.mayWork(1, share));
        assertEquals(PER_CONNECTION, workInTurn(2, share, 50));
    }

    @Test
    void firstConnectionsLeaveTheGuaranteedPartToTheOthers() {
        List<Integer> done = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            done.add(workInTurn(1, new Share(), 50));
        }
        assertEquals(List.of(20, 20, 20, 20, 20, 3, 3, 3), done);
    }

    @Test
    void searchHasABoundOfItsOwn() {
        Share share = new Share();
        shares.recordSearch(1, 9);
        assertTrue(shares.maySearch(1));
        shares.recordSearch(1, 1);
        assertFalse(shares.maySearch(1));
        assertTrue(shares.mayWork(1, share));
        assertTrue(shares.maySearch(2));
    }
}
