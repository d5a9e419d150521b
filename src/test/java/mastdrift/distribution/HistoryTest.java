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

    /** Against a list: the last ones within both bounds, from whichever revision, as many as fit; a revision that isn't known, or is of another state, has nothing behind it. */
    @Property(tries = 200)
    void whatIsKeptIsTheEndOfAllWithinItsBounds(@ForAll long seed) {
        Random random = new Random(seed);
        int deltasMost = 1 + random.nextInt(200);
        long bytesMost = 500 + random.nextInt(60_000);
        Revision base = new Revision(2, random.nextInt(5), 1, 1);
        History history = new History(base, deltasMost, bytesMost);
        List<Delta> all = new ArrayList<>();
        Revision last = base;
        for (int i = random.nextInt(600); i >= 0; i--) {
            all.add(delta(random, last));
            last = all.get(all.size() - 1).to();
            history.add(all.get(all.size() - 1));
            assertTrue(history.size() <= deltasMost && history.bytes() <= bytesMost);
        }
        int size = 0;
        long bytes = 0;
        for (int i = all.size() - 1; i >= 0 && size < deltasMost && bytes + History.bytes(all.get(i)) <= bytesMost; i--) {
            bytes += History.bytes(all.get(i));
            size++;
        }
        assertEquals(size, history.size());
        assertEquals(bytes, history.bytes());
        assertEquals(last, history.latest());
        int kept = all.size() - size;
        for (int i = 0; i <= all.size(); i++) {
            Revision at = i == 0 ? base : all.get(i - 1).to();
            Revision other = new Revision(2, at.number(), at.high() + 1, at.low());
            assertNull(history.after(other, 1 << 30));
            assertNull(history.after(new Revision(1, at.number(), at.high(), at.low()), 1 << 30));
            assertEquals(i >= kept, history.forked(other));
            assertFalse(history.forked(at));
            assertEquals(i < kept ? null : all.subList(i, all.size()), history.after(at, 1 << 30));
            if (i >= kept && i < all.size()) {
                int most = random.nextInt(2_000);
                List<Delta> part = history.after(at, most);
                assertEquals(all.subList(i, i + part.size()), part);
                long sum = part.stream().mapToLong(History::bytes).sum();
                assertTrue(part.size() == 1 || sum <= most);
                assertTrue(i + part.size() == all.size() || sum + History.bytes(all.get(i + part.size())) > most);
                assertEquals(all.subList(i, all.size()).stream().mapToLong(History::bytes).sum(), history.bytesAfter(at.number()));
            }
        }
        assertNull(history.after(new Revision(2, last.number() + 1, 0, 0), 1 << 30), "later than all");
    }

    @Test
    void aDeltaThatDoesNotFollowIsRefused() {
        History history = new History(new Revision(1, 4, 0, 0));
        Delta one = new Delta(4, new Revision(1, 6, 1, 1), List.of(), List.of());
        history.add(one);
        assertThrows(IllegalArgumentException.class, () -> history.add(one));
        assertThrows(IllegalArgumentException.class, () -> history.add(new Delta(6, new Revision(2, 7, 1, 1), List.of(), List.of())));
        assertEquals(List.of(one), history.after(new Revision(1, 4, 0, 0), 1));
    }

    @Test
    void aDayOfTheTargetIsKept() {
        Revision at = Revision.none(1);
        History history = new History(at);
        for (int i = 1; i <= 40_000; i++) {
            Delta delta = new Delta(at.number(), new Revision(1, i, i, i), List.of(new Resource(ResourceKind.TENANT, "tenant-" + i, i, new byte[i % 20 == 0 ? 4_000 : 100])), List.of());
            history.add(delta);
            at = delta.to();
        }
        assertTrue(history.size() >= 15_000, history.size() + " deltas");
        assertTrue(history.bytes() <= History.BYTES_MOST);
    }
}
