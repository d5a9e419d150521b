package mastdrift.lab.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Random;
import mastdrift.distribution.Change;
import mastdrift.distribution.Edit;
import mastdrift.distribution.Outcome;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Table;

/** Tables of made-up resources, the same for the same seed, and changes of them whose values tell when they were asked for. */
public final class Tables {

    private static final String AT = "{\"at\":";
    private static final int EDIT_BYTES = 128;  // beside its value, at most

    private Tables() { }

    /** With so many resources of each kind. */
    public static Table made(long seed, Map<ResourceKind, Integer> counts, int valueBytes) {
        Random random = new Random(seed);
        Table table = Table.empty(1);
        int batch = Math.max(1, Math.min(Change.EDITS_MOST, Change.BYTES_MOST / (valueBytes + EDIT_BYTES)));
        long number = 0;
        for (ResourceKind kind : ResourceKind.values()) {
            List<Edit> edits = new ArrayList<>();
            for (int i = 0; i < counts.getOrDefault(kind, 0); i++) {
                edits.add(new Edit.Upsert(kind, name(kind, i), value(random, 0, valueBytes), Edit.ANY));
                if (edits.size() == batch || i + 1 == counts.get(kind)) {
                    table = with(table, ++number, new Change("begin-" + number, edits));
                    edits.clear();
                }
            }
        }
        return table;
    }

    /** What a change makes of a table; throws IllegalStateException where it can't be applied. */
    static Table with(Table table, long number, Change change) {
        Outcome outcome = table.apply(number, change);
        if (outcome instanceof Outcome.Conflict conflict) {
            throw new IllegalStateException("expected change " + change.id() + " to be applied, found: " + conflict.reason());
        }
        return ((Outcome.Applied) outcome).table();
    }

    static String name(ResourceKind kind, int number) {
        return kind.name().toLowerCase(java.util.Locale.ROOT) + "-" + number;
    }

    /** A change of one resource, asked for at a time by the clock that processes of a machine share. */
    public static Change change(long seed, int number, ResourceKind kind, int count, long at, int valueBytes) {
        return new Change("change-" + number, List.of(new Edit.Upsert(kind, name(kind, number % count), value(new Random(seed + number), at, valueBytes), Edit.ANY)));
    }

    /** Drawn letters, so that squeezing them brings no more than it would of true ones. */
    private static byte[] value(Random random, long at, int bytes) {
        byte[] drawn = new byte[bytes];
        random.nextBytes(drawn);
        String head = AT + at + ",\"drawn\":\"";
        return (head + Base64.getEncoder().encodeToString(drawn).substring(0, Math.max(1, bytes - head.length() - 2)) + "\"}").getBytes(StandardCharsets.UTF_8);
    }

    /** When the change was asked for that made a value; 0 for one of the beginning. */
    static long at(byte[] value) {
        long at = 0;
        for (int i = AT.length(); i < value.length && value[i] >= '0' && value[i] <= '9'; i++) {
            at = at * 10 + value[i] - '0';
        }
        return at;
    }
}
