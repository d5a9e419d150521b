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
import mastdrift.agreed.AgreedLog.AppendOutcome;
import mastdrift.agreed.AgreedLog.Decision;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Ordinals of decisions are the same for every reader, however it obtained them, and have no gap. */
class DecisionsTest {

    private static List<Long> ordinals(Decisions decisions) {
        return decisions.retained().stream().map(Decision::ordinal).toList();
    }

    private static List<Long> range(long first, long last) {
        return LongStream.rangeClosed(first, last).boxed().toList();
    }

    /**
     * Entries without a decision (repeated ids, settlements, entries of another build) have an index and no ordinal; a
     * member that continues from a snapshot and a reader that fetches see the same ordinals.
     */
    @Property(tries = 200)
    void ordinalsAreTheSameForAllReadersAndHaveNoGap(@ForAll long seed) {
        Random random = new Random(seed);
        Decisions own = new Decisions();
        Decisions other = new Decisions();
        List<Decision> fetched = new ArrayList<>();
        long fetchedIndex = 0;
        long decisionCount = 0;
        long index = 0;
        for (int i = 0; i < 300; i++) {
            index += 1 + random.nextInt(3);
            String id = "id-" + random.nextInt(200);
            byte[] entry = switch (random.nextInt(8)) {
                case 0 -> Decisions.settleEntry(id);
                case 1 -> new byte[] {9, 9};
                default -> Decisions.appendEntry(id, new byte[random.nextInt(50_000)]);
            };
            AppendOutcome outcome = own.apply(index, entry);
            assertEquals(outcome, other.apply(index, entry));
            if (outcome instanceof AppendOutcome.Committed committed && committed.index() == index) {
                decisionCount++;
                assertEquals(decisionCount, own.retained().get(own.retained().size() - 1).ordinal());
            }
            assertEquals(decisionCount, own.decisionCount());
            if (random.nextInt(20) == 0) {
                other = Decisions.fromSnapshot(other.snapshot());
            }
            if (random.nextInt(10) == 0) {
                Decisions slice = Decisions.fromSnapshot(own.sliceAfter(fetchedIndex, 5).snapshot());
                List<Decision> received = slice.retained();
                assertTrue(received.size() <= 5
                        || own.decisionsAfter(fetchedIndex, 5) == null,
                        "at most the limit, or all where some are no longer retained");
                for (Decision each : received) {
                    if (each.index() > fetchedIndex) {
                        fetched.add(each);
                        fetchedIndex = each.index();
                    }
                }
            }
        }
        assertEquals(ordinals(own), ordinals(other));
        assertEquals(range(decisionCount - own.retained().size() + 1, decisionCount), ordinals(own),
                "the last decisions, without a gap");
        for (Decision each : fetched) {
            own.retained().stream().filter(retained -> retained.index() == each.index())
                    .forEach(retained -> assertEquals(retained.ordinal(), each.ordinal()));
        }
        for (int i = 1; i < fetched.size(); i++) {
            assertTrue(fetched.get(i).ordinal() > fetched.get(i - 1).ordinal());
        }
    }

    @Test
    void aReaderFarBehindSeesAGapInTheOrdinals() {
        Decisions own = new Decisions();
        for (int i = 1; i <= Decisions.MAX_RETAINED_DECISIONS + 10; i++) {
            assertInstanceOf(AppendOutcome.Committed.class, own.apply(i * 2L,
                    Decisions.appendEntry("id-" + i, new byte[1])));
        }
        Decisions slice = own.sliceAfter(2, 5);
        assertEquals(11, slice.retained().get(0).ordinal(), "the first retained decision after a gap");
        assertEquals(Decisions.MAX_RETAINED_DECISIONS + 10L, slice.decisionCount());
        assertEquals(range(21, 25), ordinals(own.sliceAfter(40, 5)));
        assertEquals(0, own.sliceAfter(own.lastAppliedIndex(), 5).retained().size());
    }

    @Test
    void aSnapshotThatRetainsMoreDecisionsThanItCountsIsRejected() {
        Decisions own = new Decisions();
        own.apply(1, Decisions.appendEntry("one", new byte[1]));
        own.apply(2, Decisions.appendEntry("two", new byte[1]));
        byte[] malformed = own.snapshot();
        ByteBuffer.wrap(malformed).putLong(4 + 8, 1);
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Decisions.fromSnapshot(malformed)).getMessage()
                .contains("expected 0 to 1 of 1 decisions, found 2"));
    }
}
