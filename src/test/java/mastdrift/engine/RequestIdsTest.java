package mastdrift.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestIdsTest {

    private final RequestIds ids = new RequestIds(7);

    @Test
    void idIsInUseWhileOpenAndForItsRetention() {
        assertFalse(ids.isInUse(0, "a"));
        ids.begin("a");
        assertTrue(ids.isInUse(0, "a"));
        assertFalse(ids.isInUse(0, "b"));
        ids.end(10, "a", 100);
        assertTrue(ids.isInUse(109, "a"));
        assertFalse(ids.isInUse(110, "a"));
        ids.begin("b");
        ids.end(200, "b", 0);
        assertFalse(ids.isInUse(200, "b"));
        assertEquals(0, ids.retained());
    }

    /** Guards against ids that are forgotten early, so that they run again, and against a number of them without bound. */
    @Test
    void noneIsForgottenEarlyAtTheBound() {
        for (int i = 0; i < RequestIds.MAX_RETAINED; i++) {
            assertTrue(ids.hasRoom(i));
            ids.begin("id" + i);
            ids.end(i, "id" + i, 1_000_000);
        }
        assertFalse(ids.hasRoom(RequestIds.MAX_RETAINED));
        assertTrue(ids.isInUse(RequestIds.MAX_RETAINED, "id0"));
        assertTrue(ids.hasRoom(1_000_000));
        assertFalse(ids.isInUse(1_000_000, "id0"));
        assertTrue(ids.isInUse(1_000_000, "id1"));
    }
}
