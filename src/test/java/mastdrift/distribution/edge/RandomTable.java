package mastdrift.distribution.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.distribution.Change;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Edit;
import mastdrift.distribution.Outcome;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Table;

/** A table that is changed at random from a seed; remembers each of its revisions. */
final class RandomTable {

    private static final byte[] VALUE_ALPHABET = "0123456789abcdefghijklmnopqrstuv".getBytes(StandardCharsets.UTF_8);

    private final Random random;
    private final Map<Long, Table> tablesByNumber = new HashMap<>();
    private Table table;

    RandomTable(long seed) {
        this(Table.empty(1), seed);
    }

    RandomTable(Table from, long seed) {
        table = from;
        random = new Random(seed);
        tablesByNumber.put(from.revision().number(), from);
    }

    /** The table at a revision number. */
    Table tableAt(long number) {
        return tablesByNumber.get(number);
    }

    Table table() {
        return table;
    }

    /** Random JSON string that compresses poorly. */
    private byte[] value(int bytes) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        for (int i = 0; i < bytes; i++) {
            value[i] = i == 0 || i == bytes - 1 ? (byte) '"' : VALUE_ALPHABET[value[i] & VALUE_ALPHABET.length - 1];
        }
        return value;
    }

    /**
     * Upserts one or two routes with values of {@code bytes} bytes and one host, and deletes a tenant that may exist.
     */
    Delta applyChange(int bytes) {
        List<Edit> edits = new ArrayList<>();
        int first = random.nextInt(400);
        for (int i = 0; i <= random.nextInt(2); i++) {
            edits.add(new Edit.Upsert(ResourceKind.ROUTE, "r" + (first + i), value(bytes), Edit.ANY_VERSION));
        }
        edits.add(new Edit.Delete(ResourceKind.TENANT, "t" + random.nextInt(50), Edit.ANY_VERSION));
        edits.add(new Edit.Upsert(ResourceKind.HOST, "h" + random.nextInt(50), value(20), Edit.ANY_VERSION));
        Outcome.Applied applied = (Outcome.Applied) table.apply(table.revision().number() + 1, new Change("c" + random.nextLong(), edits));
        table = applied.table();
        tablesByNumber.put(table.revision().number(), table);
        return applied.delta();
    }

    /** Applies changes without returning their deltas. */
    void applyChanges(int changes) {
        for (int i = 0; i < changes; i++) {
            applyChange(50);
        }
    }
}
