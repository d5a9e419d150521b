package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class NotificationDeadlineTest {

    private static final long SECOND = 1_000_000;

    private final NotificationDeadline deadline = new NotificationDeadline(0);

    @Test
    void aCrowdedDiscoveryThatHasToldNothingFor6SecondsIsOverdue() {
        deadline.told(SECOND);
        deadline.refused(5 * SECOND, 2 * SECOND);
        assertFalse(deadline.isOverdue(7 * SECOND - 1));
        assertTrue(deadline.isOverdue(7 * SECOND));
        assertEquals(7 * SECOND, deadline.dueAt());
        deadline.told(8 * SECOND);
        assertFalse(deadline.isOverdue(100 * SECOND), "it has told, and refused nobody since");
    }

    @Test
    void whileDiscoveryIsAwayNothingIsOverdue() {
        deadline.told(SECOND);
        assertFalse(deadline.isOverdue(100 * SECOND), "no sign of a crowd");
        deadline.refused(101 * SECOND, 0);
        assertFalse(deadline.isOverdue(200 * SECOND), "refused at once: it is down");
        deadline.unreachable(201 * SECOND);
        deadline.refused(204 * SECOND, 2 * SECOND);
        assertFalse(deadline.isOverdue(207 * SECOND - 1), "it could not be reached until then");
        assertTrue(deadline.isOverdue(207 * SECOND));
        deadline.unreachable(208 * SECOND);
        assertFalse(deadline.isOverdue(300 * SECOND));
    }

    @Test
    void aMoveCountsAfter4Seconds() {
        deadline.told(10 * SECOND);
        deadline.moved(11 * SECOND);
        deadline.refused(14 * SECOND, 2 * SECOND);
        assertTrue(deadline.isOverdue(15 * SECOND));
        assertFalse(deadline.isOverdue(15 * SECOND - 1));
    }

    @Test
    void aMoveDoesNotPutOffWhatWasDueSooner() {
        deadline.told(10 * SECOND);
        deadline.moved(15 * SECOND);
        deadline.refused(15 * SECOND + 1, SECOND);
        assertTrue(deadline.isOverdue(16 * SECOND));
    }

    @Test
    void aStartCountsFromItsBegin() {
        deadline.refused(2 * SECOND, 2 * SECOND);
        assertFalse(deadline.isOverdue(6 * SECOND - 1));
        assertTrue(deadline.isOverdue(6 * SECOND));
    }

    @Test
    void whatIsKnownToBeDueIsOverdueWhereThereIsACrowd() {
        deadline.due(2 * SECOND);
        assertFalse(deadline.isOverdue(2 * SECOND));
        deadline.refused(3 * SECOND, 2 * SECOND);
        assertTrue(deadline.isOverdue(3 * SECOND));
    }
}
