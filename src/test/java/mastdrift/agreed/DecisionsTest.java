package mastdrift.agreed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import mastdrift.agreed.AgreedLog.Decision;
import mastdrift.agreed.AgreedLog.AppendOutcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Ordinals of decisions: the same at whoever reads, however he came by them, and without a gap. */
class DecisionsTest {

    private static List<Long> ordinals(Decisions of) {
        return of.kept().stream().map(Decision::ordinal).toList();
    }

    private static List<Long> from(long first, long last) {
        return LongStream.rangeClosed(first, last).boxed().toList();
    }

    /** Entries that decide nothing (repeats, settlements, bytes of another build) have an index and no ordinal; a member that goes on from a snapshot and one that follows give the same. */
    @Property(tries = 200)
    void decisionsAreCountedAlikeByAllWhoRead(@ForAll long seed) {
        Random random = new Random(seed);
        Decisions own = new Decisions();
        Decisions other = new Decisions();
        List<Decision> followed = new ArrayList<>();
        long behind = 0;
        long decided = 0;
        long index = 0;
        for (int i = 0; i < 300; i++) {
            index += 1 + random.nextInt(3);
            String id = "id-" + random.nextInt(200);
            byte[] entry = switch (random.nextInt(8)) {
                case 0 -> Decisions.settle(id);
                case 1 -> new byte[] {9, 9};
                default -> Decisions.append(id, new byte[random.nextInt(50_000)]);
            };
            AppendOutcome outcome = own.apply(index, entry);
            assertEquals(outcome, other.apply(index, entry));
            if (outcome instanceof AppendOutcome.Committed committed && committed.index() == index) {
                decided++;
                assertEquals(decided, own.kept().get(own.kept().size() - 1).ordinal());
            }
            assertEquals(decided, own.count());
            if (random.nextInt(20) == 0) {
                other = Decisions.restored(other.snapshot());
            }
            if (random.nextInt(10) == 0) {
                Decisions part = Decisions.restored(own.part(behind, 5).snapshot());
                List<Decision> more = part.kept();
                assertTrue(more.size() <= 5 || own.after(behind, 5) == null, "as many as were asked for, or all where some are gone");
                for (Decision each : more) {
                    if (each.index() > behind) {
                        followed.add(each);
                        behind = each.index();
                    }
                }
            }
        }
        assertEquals(ordinals(own), ordinals(other));
        assertEquals(from(decided - own.kept().size() + 1, decided), ordinals(own), "the last ones, without a gap");
        for (Decision each : followed) {
            own.kept().stream().filter(mine -> mine.index() == each.index()).forEach(mine -> assertEquals(mine.ordinal(), each.ordinal()));
        }
        for (int i = 1; i < followed.size(); i++) {
            assertTrue(followed.get(i).ordinal() > followed.get(i - 1).ordinal());
        }
    }

    @Test
    void aReaderFromFarBehindSeesTheGap() {
        Decisions own = new Decisions();
        for (int i = 1; i <= Decisions.KEPT_MOST + 10; i++) {
            assertInstanceOf(AppendOutcome.Committed.class, own.apply(i * 2L, Decisions.append("id-" + i, new byte[1])));
        }
        Decisions part = own.part(2, 5);
        assertEquals(11, part.kept().get(0).ordinal(), "the one before was of ordinal 1");
        assertEquals(Decisions.KEPT_MOST + 10L, part.count());
        assertEquals(from(21, 25), ordinals(own.part(40, 5)));
        assertEquals(0, own.part(own.last(), 5).kept().size());
    }

    @Test
    void aSnapshotOfMoreDecisionsThanThereWereIsRefused() {
        Decisions own = new Decisions();
        own.apply(1, Decisions.append("one", new byte[1]));
        own.apply(2, Decisions.append("two", new byte[1]));
        byte[] spoilt = own.snapshot();
        ByteBuffer.wrap(spoilt).putLong(4 + 8, 1);
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Decisions.restored(spoilt)).getMessage().contains("expected 0 to 1 of 1 decisions, found 2"));
    }
}
