package mastdrift.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class HistoryTest {

    private static Delta delta(Random random, Revision from) {
        long number = from.number() + 1 + random.nextInt(3);
        return new Delta(from.number(), new Revision(from.epoch(), number, random.nextLong(), number),
                List.of(new Resource(ResourceKind.HOST, "h" + random.nextInt(9), number, new byte[random.nextInt(200)])), List.of());
    }

    /**
     * Compared with a list: the history has the newest deltas within both bounds and returns those after any of its
     * revisions, as many as fit; for an unknown or forked revision it returns null.
     */
    @Property(tries = 200)
    void theNewestDeltasWithinTheBoundsAreKept(@ForAll long seed) {
        Random random = new Random(seed);
        int maxDeltas = 1 + random.nextInt(200);
        long maxBytes = 500 + random.nextInt(60_000);
        Revision base = new Revision(2, random.nextInt(5), 1, 1);
        History history = new History(base, maxDeltas, maxBytes);
        List<Delta> all = new ArrayList<>();
        Revision last = base;
        for (int i = random.nextInt(600); i >= 0; i--) {
            all.add(delta(random, last));
            last = all.get(all.size() - 1).to();
            history.add(all.get(all.size() - 1));
            assertTrue(history.size() <= maxDeltas && history.sizeBytes() <= maxBytes);
        }
        int size = 0;
        long bytes = 0;
        for (int i = all.size() - 1; i >= 0 && size < maxDeltas && bytes + History.sizeBytes(all.get(i)) <= maxBytes; i--) {
            bytes += History.sizeBytes(all.get(i));
            size++;
        }
        assertEquals(size, history.size());
        assertEquals(bytes, history.sizeBytes());
        assertEquals(last, history.latest());
        int firstKept = all.size() - size;
        for (int i = 0; i <= all.size(); i++) {
            Revision revision = i == 0 ? base : all.get(i - 1).to();
            Revision other = new Revision(2, revision.number(), revision.high() + 1, revision.low());
            assertNull(history.deltasAfter(other, 1 << 30));
            assertNull(history.deltasAfter(new Revision(1, revision.number(), revision.high(), revision.low()), 1 << 30));
            assertEquals(i >= firstKept, history.isForked(other));
            assertFalse(history.isForked(revision));
            assertEquals(i < firstKept ? null : all.subList(i, all.size()), history.deltasAfter(revision, 1 << 30));
            if (i >= firstKept && i < all.size()) {
                int limitBytes = random.nextInt(2_000);
                List<Delta> part = history.deltasAfter(revision, limitBytes);
                assertEquals(all.subList(i, i + part.size()), part);
                long sum = part.stream().mapToLong(History::sizeBytes).sum();
                assertTrue(part.size() == 1 || sum <= limitBytes);
                assertTrue(i + part.size() == all.size() || sum + History.sizeBytes(all.get(i + part.size())) > limitBytes);
                assertEquals(all.subList(i, all.size()).stream().mapToLong(History::sizeBytes).sum(), history.bytesAfter(revision.number()));
            }
        }
        assertNull(history.deltasAfter(new Revision(2, last.number() + 1, 0, 0), 1 << 30), "later than the latest");
    }

    @Test
    void aDeltaThatDoesNotStartAtTheLatestRevisionIsRejected() {
        History history = new History(new Revision(1, 4, 0, 0));
        Delta one = new Delta(4, new Revision(1, 6, 1, 1), List.of(), List.of());
        history.add(one);
        assertThrows(IllegalArgumentException.class, () -> history.add(one));
        assertThrows(IllegalArgumentException.class, () -> history.add(new Delta(6, new Revision(2, 7, 1, 1), List.of(), List.of())));
        assertEquals(List.of(one), history.deltasAfter(new Revision(1, 4, 0, 0), 1));
    }

    @Test
    void aDayOfChangesAtTheTargetLoadIsKept() {
        Revision revision = Revision.empty(1);
        History history = new History(revision);
        for (int i = 1; i <= 40_000; i++) {
            Delta delta = new Delta(revision.number(), new Revision(1, i, i, i), List.of(new Resource(ResourceKind.TENANT, "tenant-" + i, i, new byte[i % 20 == 0 ? 4_000 : 100])), List.of());
            history.add(delta);
            revision = delta.to();
        }
        assertTrue(history.size() >= 15_000, history.size() + " deltas");
        assertTrue(history.sizeBytes() <= History.MAX_BYTES);
    }
}
