package mastdrift.distribution;

import static mastdrift.distribution.TestChanges.bytes;
import static mastdrift.distribution.TestChanges.put;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.agreed.AgreedLog;
import mastdrift.agreed.Decisions;
import mastdrift.distribution.Store.ChangeOutcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StoreTest {

    /** Records callbacks and asserts that tables only advance, each by the reported deltas. */
    private static final class RecordingActions implements Store.Actions {
        private final List<String> events = new ArrayList<>();
        private Table table;
        private int tablesWithoutDeltas;

        @Override
        public void table(Table next, List<Delta> deltas) {
            if (table != null) {
                assertTrue(next.revision().isAfter(table.revision()));
                if (!deltas.isEmpty()) {
                    Table rebuilt = table;
                    for (Delta each : deltas) {
                        rebuilt = rebuilt.applyDelta(each);
                    }
                    assertEquals(next.revision(), rebuilt.revision());
                }
            }
            tablesWithoutDeltas += deltas.isEmpty() ? 1 : 0;
            table = next;
        }

        @Override
        public void event(String name, String text) {
            events.add(name + " " + text);
        }
    }

    /**
     * A writer that does not know the outcome retries: the log contains the change once, and the table applies it once.
     */
    @Test
    void aChangeRetriedUnderOneIdIsAppliedOnce() {
        Decisions log = new Decisions();
        Store store = new Store(Table.empty(1), 1, new RecordingActions());
        Map<String, Change> requested = Map.of("one", TestChanges.of("one", new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("1"), Edit.NOT_PRESENT)), "two", TestChanges.of("two", put("s", "1")));
        long index = 0;
        for (String id : List.of("one", "two", "one", "one", "two")) {
            long before = log.decisionCount();
            assertInstanceOf(AgreedLog.AppendOutcome.Committed.class, log.apply(++index, Decisions.appendEntry(id, bytes(id))));
            if (log.decisionCount() > before) {
                assertInstanceOf(ChangeOutcome.Applied.class, store.applyEntry(log.decisionCount(), id, requested.get(id)));
            }
        }
        assertEquals(2, store.table().revision().number());
        assertEquals(1, store.table().get(ResourceKind.ROUTE, "r").version());
        assertEquals(new ChangeOutcome.Applied(store.table().revision()), store.outcome("two"), "outcome for a retry");
        assertEquals(store.outcome("one"), store.applyEntry(1, "one", requested.get("one")), "duplicate entry");
        assertEquals(2, store.table().size());
    }

    /**
     * Writers in two partitioned regions both expect the same version of a resource: the first in the agreed order is
     * applied, the other gets a conflict that names the actual version.
     */
    @Test
    void theSecondOfTwoConcurrentChangesToAResourceConflicts() {
        Store store = new Store(Table.empty(1), 1, new RecordingActions());
        store.applyEntry(1, "before", TestChanges.of("before", put("r", "0")));
        ChangeOutcome first = store.applyEntry(2, "east", TestChanges.of("east", new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("east"), 1)));
        ChangeOutcome second = store.applyEntry(3, "west", TestChanges.of("west", put("also", "1"), new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("west"), 1)));
        assertInstanceOf(ChangeOutcome.Applied.class, first);
        assertEquals(new ChangeOutcome.Conflict("edits[1] (route r): expected version 1, found version 2"), second);
        assertEquals("east", new String(store.table().get(ResourceKind.ROUTE, "r").value(), StandardCharsets.UTF_8));
        assertNull(store.table().get(ResourceKind.ROUTE, "also"), "the change is atomic");
        assertEquals(3, store.table().revision().number(), "the number of the log entry");
        assertEquals(new ChangeOutcome.Conflict("expected a change, found an entry that this build cannot read"), store.applyEntry(4, "newer", null));
        assertEquals(4, store.table().revision().number());
    }

    /**
     * A store that sees the log late, repeated, with gaps, from an older table or via another voter's table has the
     * same state at the same number, and never goes back.
     */
    @Property(tries = 150)
    void theSameNumberMeansTheSameStateWithGapsAndDuplicates(@ForAll long seed) {
        Random random = new Random(seed);
        Store reference = new Store(Table.empty(1), 1, new RecordingActions());
        List<Table> tables = new ArrayList<>(List.of(reference.table()));
        List<Change> log = new ArrayList<>();
        for (int i = 1; i <= 80; i++) {
            Change change = random.nextInt(15) == 0 ? null : TestChanges.randomChange(random, "c" + i);
            log.add(change);
            reference.applyEntry(i, "c" + i, change);
            tables.add(reference.table());
        }
        RecordingActions recorded = new RecordingActions();
        Store store = new Store(tables.get(random.nextInt(20)), 1, recorded);
        Map<String, ChangeOutcome> outcomes = new HashMap<>();
        for (int ordinal = 1; ordinal <= 80; ordinal++) {
            if (random.nextInt(12) == 0) {
                ordinal = Math.min(80, ordinal + random.nextInt(10));  // a gap
            }
            if (random.nextInt(10) == 0) {
                ordinal = Math.max(1, ordinal - random.nextInt(10));  // duplicates
            }
            ChangeOutcome outcome = store.applyEntry(ordinal, "c" + ordinal, log.get(ordinal - 1));
            if (outcome != null && !(outcome instanceof ChangeOutcome.Pending)) {
                outcomes.put("c" + ordinal, outcome);
            }
            if (store.lastMissingOrdinal() != 0 && random.nextInt(4) == 0) {
                store.installTable(tables.get(Math.min(80, random.nextInt(ordinal + 20))));
            }
            assertEquals(tables.get((int) store.table().revision().number()).revision(), store.table().revision());
        }
        while (store.lastMissingOrdinal() != 0) {
            assertTrue(store.installTable(tables.get((int) store.lastMissingOrdinal())), "a table that closes the gap");
        }
        store.applyEntry(80, "c80", log.get(79));
        assertEquals(tables.get(80).revision(), store.table().revision());
        outcomes.forEach((id, outcome) -> assertEquals(reference.outcome(id), outcome));
        assertFalse(store.installTable(tables.get(79)), "an earlier table is not installed");
    }

    @Test
    void pendingEntriesAndOutcomesAreBounded() {
        RecordingActions recorded = new RecordingActions();
        Store store = new Store(Table.empty(1), 1, recorded);
        Store other = new Store(Table.empty(1), 1, new RecordingActions());
        for (int i = 1; i <= 9_000; i++) {
            Change change = TestChanges.of("c" + i, put("r", "" + i));
            other.applyEntry(i, "c" + i, change);
            if (i > 10) {
                assertInstanceOf(ChangeOutcome.Pending.class, store.applyEntry(i, "c" + i, change));
            }
        }
        assertEquals(Store.MAX_PENDING, store.pending());
        assertEquals(9_000 - Store.MAX_PENDING, store.lastMissingOrdinal());
        assertEquals(List.of("config_gap expected log entry 1, found 11: waiting for another voter's table"), recorded.events);
        assertTrue(store.installTable(other.table()));
        assertEquals(0, store.lastMissingOrdinal());
        assertEquals(0, store.pending());
        assertEquals(1, recorded.tablesWithoutDeltas);
        assertNull(other.outcome("c" + (9_000 - Store.MAX_OUTCOMES)));
        assertInstanceOf(ChangeOutcome.Applied.class, other.outcome("c" + (9_001 - Store.MAX_OUTCOMES)));
        Store large = new Store(Table.empty(1), 1, recorded);
        for (int i = 2; i < 1_000; i++) {
            large.applyEntry(i, "c" + i, TestChanges.of("c" + i, new Edit.Upsert(ResourceKind.POOL, "p", new byte[60_000], Edit.ANY_VERSION)));
        }
        assertTrue(large.pending() < 290 && large.pending() > 250, large.pending() + " entries of 60 kB are queued");
    }

    private static Table tableAfter(int changes) {
        Table table = Table.empty(1);
        for (int i = 1; i <= changes; i++) {
            table = TestChanges.requireApplied(table.apply(i, TestChanges.of("c" + i, put("r" + i, "" + i)))).table();
        }
        return table;
    }

    /**
     * A voter that has the state that the first entry names continues from it, whatever its number; until then its
     * table is still of the previous epoch, and the epoch has not started there.
     */
    @Test
    void anEpochStartsFromTheRevisionThatItsFirstEntryNames() {
        RecordingActions recorded = new RecordingActions();
        Table initial = tableAfter(7);
        Store store = new Store(initial, 2, recorded);
        assertFalse(store.isEpochStarted());
        assertEquals(initial.revision(), store.epochStartCandidate());
        assertEquals(initial.revision(), store.table().revision(), "the table does not change before the epoch start is agreed on");
        ChangeOutcome outcome = store.applyEntry(1, "begin", new EpochStart(initial.revision()));
        assertEquals(new ChangeOutcome.Applied(new Revision(2, 1, initial.revision().high(), initial.revision().low())), outcome);
        assertTrue(store.isEpochStarted());
        assertNull(store.epochStartCandidate());
        assertInstanceOf(ChangeOutcome.Applied.class, store.applyEntry(2, "next", TestChanges.of("next", put("r1", "new"))));
        Store advanced = new Store(initial.advanceTo(9).table(), 2, new RecordingActions());
        advanced.applyEntry(1, "begin", new EpochStart(initial.revision()));
        advanced.applyEntry(2, "next", TestChanges.of("next", put("r1", "new")));
        assertEquals(store.table().revision(), advanced.table().revision(), "the same resources at another number");
        assertEquals(new ChangeOutcome.Conflict("expected a change, found an epoch start after the first entry"), store.applyEntry(3, "late", new EpochStart(initial.revision())));
        assertEquals(3, store.table().revision().number());
    }

    /**
     * Voters at other revisions and one without a stored table wait, queue the following entries, and install the table
     * of a voter that has it.
     */
    @Test
    void aVoterWithAnotherTableWaitsForTheTableOfTheEpoch() {
        Table initial = tableAfter(7);
        Store upToDate = new Store(initial, 2, new RecordingActions());
        upToDate.applyEntry(1, "begin", new EpochStart(initial.revision()));
        Table firstOfEpoch = upToDate.table();
        Change next = TestChanges.of("next", put("r1", "new"));
        upToDate.applyEntry(2, "next", next);
        for (Table other : List.of(tableAfter(5), tableAfter(9), Store.initialTable(2))) {
            RecordingActions recorded = new RecordingActions();
            Store store = new Store(other, 2, recorded);
            assertEquals(new ChangeOutcome.Pending(1), store.applyEntry(1, "begin", new EpochStart(initial.revision())));
            assertEquals(new ChangeOutcome.Pending(1), store.applyEntry(2, "next", next));
            assertEquals(new ChangeOutcome.Pending(1), store.applyEntry(1, "begin", new EpochStart(initial.revision())), "duplicate entry");
            assertFalse(store.isEpochStarted());
            assertEquals(1, store.lastMissingOrdinal());
            assertNull(store.epochStartCandidate(), "the epoch start is already known");
            assertEquals(other.revision(), store.table().revision());
            assertFalse(store.installTable(tableAfter(11)), "of the previous epoch");
            assertFalse(store.installTable(initial.withEpoch(2)), "of this epoch before its start");
            assertFalse(store.installTable(initial.withEpoch(3)), "of a later epoch");
            assertTrue(store.installTable(firstOfEpoch));
            assertEquals(upToDate.table().revision(), store.table().revision());
            assertEquals(0, store.lastMissingOrdinal());
            assertTrue(store.isEpochStarted());
            assertEquals(1, recorded.events.stream().filter(each -> each.startsWith("config_gap epoch 2 begins from")).count(), recorded.events::toString);
            assertEquals(other.revision().number() == 9, recorded.events.stream().anyMatch(each -> each.startsWith("config_epoch_lost")), "lost changes are reported");
        }
    }

    /**
     * A voter without a table proposes no epoch start, or all would adopt its empty table. Its own revision is earlier
     * than that of any other.
     */
    @Test
    void aVoterWithoutATableProposesNoEpochStart() {
        assertNull(new Store(Store.initialTable(2), 2, new RecordingActions()).epochStartCandidate());
        assertTrue(tableAfter(1).revision().isAfter(Store.initialTable(2).revision()));
        Store first = new Store(Store.initialTable(1), 1, new RecordingActions());
        assertTrue(first.isEpochStarted(), "a first epoch begins with an empty table");
        assertInstanceOf(ChangeOutcome.Applied.class, first.applyEntry(1, "one", TestChanges.of("one", put("r", "1"))));
    }

    /**
     * Stored tables and logs of builds without {@link EpochStart}: a table that is already of the epoch, at number 0,
     * and a log that starts with a change.
     */
    @Test
    void tablesAndLogsOfBuildsWithoutEpochStartAreAccepted() {
        Table initial = tableAfter(7).withEpoch(2);
        Store store = new Store(initial, 2, new RecordingActions());
        assertEquals(initial.revision(), store.epochStartCandidate());
        Change change = TestChanges.of("one", put("r", "1"));
        assertInstanceOf(ChangeOutcome.Applied.class, store.applyEntry(1, "one", change));
        assertEquals(TestChanges.requireApplied(initial.apply(1, change)).table().revision(), store.table().revision());
        Store named = new Store(initial, 2, new RecordingActions());
        named.applyEntry(1, "begin", new EpochStart(tableAfter(7).revision()));
        assertEquals(initial.advanceTo(1).table().revision(), named.table().revision());
        Store withoutTable = new Store(Store.initialTable(2), 2, new RecordingActions());
        assertEquals(new ChangeOutcome.Pending(1), withoutTable.applyEntry(1, "one", change), "the table that the epoch started from is unknown");
        assertEquals(new ChangeOutcome.Pending(1), new Store(tableAfter(7), 2, new RecordingActions()).applyEntry(1, "later", null), "an epoch start of a later build may name any table");
        Store started = new Store(TestChanges.requireApplied(initial.apply(1, change)).table(), 2, new RecordingActions());
        assertTrue(started.isEpochStarted());
        assertInstanceOf(ChangeOutcome.Applied.class, started.applyEntry(2, "two", TestChanges.of("two", put("r", "2"))));
        assertThrows(IllegalArgumentException.class, () -> new Store(initial, 1, new RecordingActions()));
    }
}
