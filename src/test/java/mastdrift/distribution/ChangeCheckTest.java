package mastdrift.distribution;

import static mastdrift.distribution.TestChanges.put;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ChangeCheckTest {

    private static final ChangeCheck CHECK = new ChangeCheck((kind, name, value) -> value.length == 13 ? "order: expected a number, found thirteen bytes" : null);

    private static Edit upsert(String name, byte[] value) {
        return new Edit.Upsert(ResourceKind.POOL, name, value, Edit.ANY_VERSION);
    }

    @Test
    void aValidChangeHasNoProblem() {
        assertEquals(List.of(), CHECK.problems(TestChanges.of("a", put("r", "{}"), new Edit.Delete(ResourceKind.HOST, "r", 0), upsert("\ud83d\udc22 żółw", new byte[Resource.MAX_VALUE_BYTES]))));
    }

    @Test
    void allProblemsAreReportedWithPlaceExpectedAndFound() {
        Change change = TestChanges.of("", put("", "1"), put("x".repeat(129), "1"), put("a\nb", "1"), put("\ud800", "1"), put("r", "1"), put("r", "2"),
                new Edit.Delete(ResourceKind.ROUTE, "e", -2), upsert("big", new byte[Resource.MAX_VALUE_BYTES + 1]), upsert("bytes", new byte[] {'a', 'b', (byte) 0xff}),
                put("thirteen", "1234567890123"));
        assertEquals(List.of("id: expected 1 to 64 characters, found 0", "edits[0]: name: expected 1 to 128 characters, found 0",
                "edits[1]: name: expected 1 to 128 characters, found 129", "edits[2]: name: expected text without control characters, found \\u000a",
                "edits[3]: name: expected text without control characters, found \\ud800", "edits[5] (route r): expected each resource once, found a duplicate",
                "edits[6] (route e): expected: expected a version, 0 for none there or -1 for any, found -2", "edits[7] (pool big): value: expected at most 16384 bytes, found 16385",
                "edits[8] (pool bytes): value: expected UTF-8, found an invalid byte at 2", "edits[9] (route thirteen): value: order: expected a number, found thirteen bytes"),
                CHECK.problems(change));
    }

    @Test
    void sizesAndNumberOfReportedProblemsAreBounded() {
        assertEquals(List.of("edits: expected 1 to 1024, found 0"), CHECK.problems(TestChanges.of("a")));
        List<Edit> tooMany = new ArrayList<>(IntStream.range(0, 1_025).mapToObj(i -> put("n" + i, "")).toList());
        assertEquals(List.of("edits: expected 1 to 1024, found 1025"), CHECK.problems(new Change("a", tooMany)));
        Change large = TestChanges.of("a", IntStream.range(0, 4).mapToObj(i -> upsert("p" + i, new byte[Resource.MAX_VALUE_BYTES])).toArray(Edit[]::new));
        assertEquals(List.of("change: expected at most 65536 bytes, found 65707"), CHECK.problems(large));
        Change bad = TestChanges.of("a", IntStream.range(0, 1_000).mapToObj(i -> put("n", "")).toArray(Edit[]::new));
        assertEquals(ChangeCheck.MAX_PROBLEMS, CHECK.problems(bad).size());
    }

    /**
     * A change that passes the check can only fail at a table because of versions and the table's total bounds; a
     * malformed change is applied to no table and causes no exception.
     */
    @Property(tries = 500)
    void aChangeWithoutProblemsCanBeApplied(@ForAll long seed) {
        Random random = new Random(seed);
        Change change = TestChanges.randomChange(random, random.nextInt(9) == 0 ? "" : "id");
        if (random.nextInt(3) == 0 && !change.edits().isEmpty()) {
            List<Edit> withDuplicate = new ArrayList<>(change.edits());
            withDuplicate.add(change.edits().get(0));
            change = new Change(change.id(), withDuplicate);
        }
        Outcome outcome = Table.empty(1).apply(1, change);
        boolean hasVersions = change.edits().stream().anyMatch(each -> each.expectedVersion() > 0);
        if (!CHECK.problems(change).isEmpty()) {
            assertInstanceOf(Outcome.Conflict.class, outcome);
        } else {
            assertTrue(hasVersions || outcome instanceof Outcome.Applied);
        }
    }
}
