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

    /** Notes what a store wants, and that its tables only go forward, each by what was told. */
    private static final class RecordingActions implements Store.Actions {
        private final List<String> events = new ArrayList<>();
        private Table table;
        private int jumps;

        @Override
        public void table(Table next, List<Delta> deltas) {
            if (table != null) {
                assertTrue(next.revision().after(table.revision()));
                if (!deltas.isEmpty()) {
                    Table by = table;
                    for (Delta each : deltas) {
                        by = by.with(each);
                    }
                    assertEquals(next.revision(), by.revision());
                }
            }
            jumps += deltas.isEmpty() ? 1 : 0;
            table = next;
        }

        @Override
        public void event(String name, String text) {
            events.add(name + " " + text);
        }
    }

    /** The writer doesn't know what became of it and asks again: the log has it in once, and so has the table. */
    @Test
    void aChangeAskedTwiceUnderOneIdIsInOnce() {
        Decisions log = new Decisions();
        Store store = new Store(Table.empty(1), 1, new RecordingActions());
        Map<String, Change> asked = Map.of("one", TestChanges.of("one", new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("1"), Edit.NONE)), "two", TestChanges.of("two", put("s", "1")));
        long index = 0;
        for (String id : List.of("one", "two", "one", "one", "two")) {
            long before = log.count();
            assertInstanceOf(AgreedLog.AppendOutcome.Committed.class, log.apply(++index, Decisions.append(id, bytes(id))));
            if (log.count() > before) {
                assertInstanceOf(ChangeOutcome.Applied.class, store.decided(log.count(), id, asked.get(id)));
            }
        }
        assertEquals(2, store.table().revision().number());
        assertEquals(1, store.table().get(ResourceKind.ROUTE, "r").version());
        assertEquals(new ChangeOutcome.Applied(store.table().revision()), store.outcome("two"), "told to who asks again");
        assertEquals(store.outcome("one"), store.decided(1, "one", asked.get("one")), "read once more");
        assertEquals(2, store.table().size());
    }

    /** Writers in two regions that were apart both believe the resource to be as it was: the first in the agreed order is in, the other is told what there is. */
    @Test
    void ofTwoChangesToOneResourceOfRegionsThatWereApartOneConflictIsTold() {
        Store store = new Store(Table.empty(1), 1, new RecordingActions());
        store.decided(1, "before", TestChanges.of("before", put("r", "0")));
        ChangeOutcome first = store.decided(2, "east", TestChanges.of("east", new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("east"), 1)));
        ChangeOutcome second = store.decided(3, "west", TestChanges.of("west", put("also", "1"), new Edit.Upsert(ResourceKind.ROUTE, "r", bytes("west"), 1)));
        assertInstanceOf(ChangeOutcome.Applied.class, first);
        assertEquals(new ChangeOutcome.Conflict("edits[1] (route r): expected version 1, found version 2"), second);
        assertEquals("east", new String(store.table().get(ResourceKind.ROUTE, "r").value(), StandardCharsets.UTF_8));
        assertNull(store.table().get(ResourceKind.ROUTE, "also"), "nothing of it");
        assertEquals(3, store.table().revision().number(), "the place of what was decided");
        assertEquals(new ChangeOutcome.Conflict("expected a change, found what this build can't read"), store.decided(4, "newer", null));
        assertEquals(4, store.table().revision().number());
    }

    /** Whoever hears the log late, twice, with gaps, from an older table or by another's: the same state at the same number, and never back. */
    @Property(tries = 150)
    void allWhoHearTheLogHaveTheSameHoweverTheyHeardIt(@ForAll long seed) {
        Random random = new Random(seed);
        Store whole = new Store(Table.empty(1), 1, new RecordingActions());
        List<Table> tables = new ArrayList<>(List.of(whole.table()));
        List<Change> log = new ArrayList<>();
        for (int i = 1; i <= 80; i++) {
            Change change = random.nextInt(15) == 0 ? null : TestChanges.drawn(random, "c" + i);
            log.add(change);
            whole.decided(i, "c" + i, change);
            tables.add(whole.table());
        }
        RecordingActions noted = new RecordingActions();
        Store store = new Store(tables.get(random.nextInt(20)), 1, noted);
        Map<String, ChangeOutcome> outcomes = new HashMap<>();
        for (int at = 1; at <= 80; at++) {
            if (random.nextInt(12) == 0) {
                at = Math.min(80, at + random.nextInt(10));  // a gap
            }
            if (random.nextInt(10) == 0) {
                at = Math.max(1, at - random.nextInt(10));  // again
            }
            ChangeOutcome outcome = store.decided(at, "c" + at, log.get(at - 1));
            if (outcome != null && !(outcome instanceof ChangeOutcome.Pending)) {
                outcomes.put("c" + at, outcome);
            }
            if (store.missing() != 0 && random.nextInt(4) == 0) {
                store.take(tables.get(Math.min(80, random.nextInt(at + 20))));
            }
            assertEquals(tables.get((int) store.table().revision().number()).revision(), store.table().revision());
        }
        while (store.missing() != 0) {
            assertTrue(store.take(tables.get((int) store.missing())), "one that has all that is missing");
        }
        store.decided(80, "c80", log.get(79));
        assertEquals(tables.get(80).revision(), store.table().revision());
        outcomes.forEach((id, outcome) -> assertEquals(whole.outcome(id), outcome));
        assertFalse(store.take(tables.get(79)), "never back");
    }

    @Test
    void whatWaitsAndWhatIsRememberedIsBounded() {
        RecordingActions noted = new RecordingActions();
        Store store = new Store(Table.empty(1), 1, noted);
        Store other = new Store(Table.empty(1), 1, new RecordingActions());
        for (int i = 1; i <= 9_000; i++) {
            Change change = TestChanges.of("c" + i, put("r", "" + i));
            other.decided(i, "c" + i, change);
            if (i > 10) {
                assertInstanceOf(ChangeOutcome.Pending.class, store.decided(i, "c" + i, change));
            }
        }
        assertEquals(Store.PENDING_MOST, store.pending());
        assertEquals(9_000 - Store.PENDING_MOST, store.missing());
        assertEquals(List.of("config_gap expected decision 1, found 11: waits for another voter's table"), noted.events);
        assertTrue(store.take(other.table()));
        assertEquals(0, store.missing());
        assertEquals(0, store.pending());
        assertEquals(1, noted.jumps);
        assertNull(other.outcome("c" + (9_000 - Store.OUTCOMES_MOST)));
        assertInstanceOf(ChangeOutcome.Applied.class, other.outcome("c" + (9_001 - Store.OUTCOMES_MOST)));
        Store large = new Store(Table.empty(1), 1, noted);
        for (int i = 2; i < 1_000; i++) {
            large.decided(i, "c" + i, TestChanges.of("c" + i, new Edit.Upsert(ResourceKind.POOL, "p", new byte[60_000], Edit.ANY)));
        }
        assertTrue(large.pending() < 290 && large.pending() > 250, large.pending() + " of 60 kB wait");
    }

    private static Table after(int changes) {
        Table table = Table.empty(1);
        for (int i = 1; i <= changes; i++) {
            table = TestChanges.applied(table.apply(i, TestChanges.of("c" + i, put("r" + i, "" + i)))).table();
        }
        return table;
    }

    /** Who has the state that the first decision names goes on from it, whatever the number; until then its table is still of the epoch before, and it has not begun. */
    @Test
    void anEpochBeginsFromTheRevisionThatItsFirstDecisionNames() {
        RecordingActions noted = new RecordingActions();
        Table had = after(7);
        Store store = new Store(had, 2, noted);
        assertFalse(store.begun());
        assertEquals(had.revision(), store.toBegin());
        assertEquals(had.revision(), store.table().revision(), "nothing new is shown before it is agreed on");
        ChangeOutcome outcome = store.decided(1, "begin", new EpochStart(had.revision()));
        assertEquals(new ChangeOutcome.Applied(new Revision(2, 1, had.revision().high(), had.revision().low())), outcome);
        assertTrue(store.begun());
        assertNull(store.toBegin());
        assertInstanceOf(ChangeOutcome.Applied.class, store.decided(2, "next", TestChanges.of("next", put("r1", "new"))));
        Store passed = new Store(had.passed(9).table(), 2, new RecordingActions());
        passed.decided(1, "begin", new EpochStart(had.revision()));
        passed.decided(2, "next", TestChanges.of("next", put("r1", "new")));
        assertEquals(store.table().revision(), passed.table().revision(), "the same resources at another number");
        assertEquals(new ChangeOutcome.Conflict("expected a change, found an epoch's beginning behind its first decision"), store.decided(3, "late", new EpochStart(had.revision())));
        assertEquals(3, store.table().revision().number());
    }

    /** Voters that were stopped at different revisions and one without a folder: they wait, hold back what follows, and take the table of one that has it. */
    @Test
    void aVoterWithAnotherTableThanTheEpochBeginsFromWaitsForOne() {
        Table had = after(7);
        Store right = new Store(had, 2, new RecordingActions());
        right.decided(1, "begin", new EpochStart(had.revision()));
        Table begun = right.table();
        Change next = TestChanges.of("next", put("r1", "new"));
        right.decided(2, "next", next);
        for (Table other : List.of(after(5), after(9), Store.nothing(2))) {
            RecordingActions noted = new RecordingActions();
            Store store = new Store(other, 2, noted);
            assertEquals(new ChangeOutcome.Pending(1), store.decided(1, "begin", new EpochStart(had.revision())));
            assertEquals(new ChangeOutcome.Pending(1), store.decided(2, "next", next));
            assertEquals(new ChangeOutcome.Pending(1), store.decided(1, "begin", new EpochStart(had.revision())), "heard again");
            assertFalse(store.begun());
            assertEquals(1, store.missing());
            assertNull(store.toBegin(), "it was told what it begins from");
            assertEquals(other.revision(), store.table().revision());
            assertFalse(store.take(after(11)), "of the epoch before");
            assertFalse(store.take(had.begun(2)), "of an epoch before it began");
            assertFalse(store.take(had.begun(3)), "of a later epoch");
            assertTrue(store.take(begun));
            assertEquals(right.table().revision(), store.table().revision());
            assertEquals(0, store.missing());
            assertTrue(store.begun());
            assertEquals(1, noted.events.stream().filter(each -> each.startsWith("config_gap epoch 2 begins from")).count(), noted.events::toString);
            assertEquals(other.revision().number() == 9, noted.events.stream().anyMatch(each -> each.startsWith("config_epoch_lost")), "loud where this one had more");
        }
    }

    /** A voter that knows nothing names nothing, or all would take its empty table. Its own is earlier than whatever others had. */
    @Test
    void aVoterWithoutAFolderAsksForNoBeginning() {
        assertNull(new Store(Store.nothing(2), 2, new RecordingActions()).toBegin());
        assertTrue(after(1).revision().after(Store.nothing(2).revision()));
        Store first = new Store(Store.nothing(1), 1, new RecordingActions());
        assertTrue(first.begun(), "a first epoch begins with an empty table");
        assertInstanceOf(ChangeOutcome.Applied.class, first.decided(1, "one", TestChanges.of("one", put("r", "1"))));
    }

    /** Folders and logs of builds that knew no such decision: a copy that is of the epoch already, at number 0, and a log that begins with a change. */
    @Test
    void foldersAndLogsOfBuildsBeforeAreReadAsTheyWere() {
        Table had = after(7).begun(2);
        Store store = new Store(had, 2, new RecordingActions());
        assertEquals(had.revision(), store.toBegin());
        Change change = TestChanges.of("one", put("r", "1"));
        assertInstanceOf(ChangeOutcome.Applied.class, store.decided(1, "one", change));
        assertEquals(TestChanges.applied(had.apply(1, change)).table().revision(), store.table().revision());
        Store named = new Store(had, 2, new RecordingActions());
        named.decided(1, "begin", new EpochStart(after(7).revision()));
        assertEquals(had.passed(1).table().revision(), named.table().revision());
        Store without = new Store(Store.nothing(2), 2, new RecordingActions());
        assertEquals(new ChangeOutcome.Pending(1), without.decided(1, "one", change), "nobody says what it began from");
        assertEquals(new ChangeOutcome.Pending(1), new Store(after(7), 2, new RecordingActions()).decided(1, "later", null), "a later build's beginning may be any");
        Store on = new Store(TestChanges.applied(had.apply(1, change)).table(), 2, new RecordingActions());
        assertTrue(on.begun());
        assertInstanceOf(ChangeOutcome.Applied.class, on.decided(2, "two", TestChanges.of("two", put("r", "2"))));
        assertThrows(IllegalArgumentException.class, () -> new Store(had, 1, new RecordingActions()));
    }
}
