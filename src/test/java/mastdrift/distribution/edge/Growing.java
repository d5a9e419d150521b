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

/** A table that changes as a seed has it. */
final class Growing {

    private static final byte[] TEXT = "0123456789abcdefghijklmnopqrstuv".getBytes(StandardCharsets.UTF_8);

    private final Random random;
    private final Map<Long, Table> all = new HashMap<>();
    private Table table;

    Growing(long seed) {
        this(Table.empty(1), seed);
    }

    Growing(Table from, long seed) {
        table = from;
        random = new Random(seed);
        all.put(from.revision().number(), from);
    }

    /** As it was at a number. */
    Table at(long number) {
        return all.get(number);
    }

    Table table() {
        return table;
    }

    /** Text in JSON that doesn't shrink much. */
    private byte[] value(int bytes) {
        byte[] value = new byte[bytes];
        random.nextBytes(value);
        for (int i = 0; i < bytes; i++) {
            value[i] = i == 0 || i == bytes - 1 ? (byte) '"' : TEXT[value[i] & TEXT.length - 1];
        }
        return value;
    }

    /** One or two resources come or change, with values of so many bytes, and one may go. */
    Delta change(int bytes) {
        List<Edit> edits = new ArrayList<>();
        int first = random.nextInt(400);
        for (int i = 0; i <= random.nextInt(2); i++) {
            edits.add(new Edit.Upsert(ResourceKind.ROUTE, "r" + (first + i), value(bytes), Edit.ANY_VERSION));
        }
        edits.add(new Edit.Delete(ResourceKind.TENANT, "t" + random.nextInt(50), Edit.ANY_VERSION));
        edits.add(new Edit.Upsert(ResourceKind.HOST, "h" + random.nextInt(50), value(20), Edit.ANY_VERSION));
        Outcome.Applied applied = (Outcome.Applied) table.apply(table.revision().number() + 1, new Change("c" + random.nextLong(), edits));
        table = applied.table();
        all.put(table.revision().number(), table);
        return applied.delta();
    }

    /** So many changes, of which nobody is told one by one. */
    void jump(int changes) {
        for (int i = 0; i < changes; i++) {
            change(50);
        }
    }
}
