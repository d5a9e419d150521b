package mastdrift.distribution;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** Builders of changes and tables for tests. */
final class TestChanges {

    private TestChanges() { }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static Edit put(String name, String value) {
        return new Edit.Upsert(ResourceKind.ROUTE, name, bytes(value), Edit.ANY_VERSION);
    }

    static Change of(String id, Edit... edits) {
        return new Change(id, List.of(edits));
    }

    /** A random change of up to four edits of sixty resources, sometimes with a precondition that fails. */
    static Change randomChange(Random random, String id) {
        List<Edit> edits = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            ResourceKind kind = ResourceKind.values()[random.nextInt(4)];
            String name = "n" + random.nextInt(15);
            if (seen.add(kind + name)) {
                long expected = random.nextInt(12) == 0 ? random.nextInt(40) : Edit.ANY_VERSION;
                edits.add(random.nextInt(4) == 0 ? new Edit.Delete(kind, name, expected) : new Edit.Upsert(kind, name, bytes("v" + random.nextInt(1_000)), expected));
            }
        }
        return new Change(id, edits);
    }

    static Outcome.Applied requireApplied(Outcome outcome) {
        if (outcome instanceof Outcome.Conflict conflict) {
            throw new AssertionError(conflict.reason());
        }
        return (Outcome.Applied) outcome;
    }

    /** A table of so many resources with values of some 100 bytes, made by changes numbered from 1. */
    static Table table(int resources) {
        Table table = Table.empty(1);
        String padding = "x".repeat(80);
        for (int i = 0; i < resources; ) {
            List<Edit> edits = new ArrayList<>();
            for (int end = Math.min(resources, i + 300); i < end; i++) {
                edits.add(new Edit.Upsert(ResourceKind.values()[i % 4], "resource-" + i, bytes("{\"number\":" + i + padding + "}"), Edit.ANY_VERSION));
            }
            table = requireApplied(table.apply(table.revision().number() + 1, new Change("c" + i, edits))).table();
        }
        return table;
    }
}
