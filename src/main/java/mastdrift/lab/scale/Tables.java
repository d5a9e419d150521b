package mastdrift.lab.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import mastdrift.distribution.Change;
import mastdrift.distribution.Edit;
import mastdrift.distribution.Outcome;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Table;

/** Made-up resources as the program checks them, the same for the same seed, and changes of hosts whose values tell when they were asked for. */
public final class Tables {

    private static final String STARTED = "{\"started_ms\":";
    private static final int EDIT_BYTES = 96;  // of an edit beside its value, at most

    private Tables() { }

    /** Changes that bring so many resources of each kind into an empty table. */
    public static List<Change> base(long seed, Map<ResourceKind, Integer> counts) {
        return puts("begin-", seed, counts);
    }

    /** Changes that replace all tenants, as large as changes may be; another seed gives other values. */
    public static List<Change> replaced(long seed, int tenants) {
        return puts("replaced-" + seed + "-", seed, Map.of(ResourceKind.TENANT, tenants));
    }

    private static List<Change> puts(String id, long seed, Map<ResourceKind, Integer> counts) {
        Random random = new Random(seed);
        List<Change> changes = new ArrayList<>();
        List<Edit> edits = new ArrayList<>();
        int bytes = 0;
        for (ResourceKind kind : ResourceKind.values()) {
            for (int i = 0; i < counts.getOrDefault(kind, 0); i++) {
                byte[] value = value(kind, i, random).getBytes(StandardCharsets.UTF_8);
                if (edits.size() == Change.MAX_EDITS || bytes + value.length + EDIT_BYTES > Change.MAX_BYTES) {
                    changes.add(new Change(id + changes.size(), edits));
                    edits.clear();
                    bytes = 0;
                }
                edits.add(new Edit.Upsert(kind, name(kind, i), value, Edit.ANY_VERSION));
                bytes += value.length + EDIT_BYTES;
            }
        }
        changes.add(new Change(id + changes.size(), edits));
        return changes;
    }

    /** The table that these make. */
    public static Table made(long seed, Map<ResourceKind, Integer> counts) {
        Table table = Table.empty(1);
        for (Change each : base(seed, counts)) {
            Outcome outcome = table.apply(table.revision().number() + 1, each);
            if (outcome instanceof Outcome.Conflict conflict) {
                throw new IllegalStateException("expected change " + each.id() + " to be applied, found: " + conflict.reason());
            }
            table = ((Outcome.Applied) outcome).table();
        }
        return table;
    }

    /** A host of so many starts anew: a change that is asked for at a time in nanoseconds, by the clock that processes of a machine share. */
    public static Change change(int number, int hosts, long at) {
        int host = number % hosts;
        return new Change("change-" + number, List.of(new Edit.Upsert(ResourceKind.HOST, name(ResourceKind.HOST, host), host(host, at / 1_000).getBytes(StandardCharsets.UTF_8),
                Edit.ANY_VERSION)));
    }

    /** Microseconds, by that clock, at which the change was asked for that made a value; 0 for one of the beginning or of another kind. */
    static long at(byte[] value) {
        long at = 0;
        if (value.length > 3 && value[2] == 's' && value[3] == 't') {
            for (int i = STARTED.length(); i < value.length && value[i] >= '0' && value[i] <= '9'; i++) {
                at = at * 10 + value[i] - '0';
            }
        }
        return at;
    }

    private static String name(ResourceKind kind, int number) {
        return kind.name().toLowerCase(Locale.ROOT) + "-" + number;
    }

    private static String value(ResourceKind kind, int number, Random random) {
        return switch (kind) {
            case ROUTE -> "{\"order\":" + number + ",\"class\":\"session-read\",\"tenant\":\"tenant-" + random.nextInt(170_000) + "\",\"path\":\"/v1/" + Integer.toHexString(random.nextInt())
                    + "\",\"pools\":[{\"pool\":\"nodes\",\"weight\":1}]}";
            case POOL -> "{\"max_attempts\":3,\"connections\":" + (1 + random.nextInt(256)) + ",\"probes\":true}";
            case TENANT -> "{\"share\":" + random.nextInt(1_000) / 1e3 + ",\"requests_per_second\":" + (1 + random.nextInt(10_000)) + "}";
            case HOST -> host(number, 0);
        };
    }

    private static String host(int number, long at) {
        return STARTED + at + ",\"pool\":\"pool-" + number % 810 + "\",\"endpoint\":\"127." + (64 + number / 62_500) + "." + number / 250 % 250 + "." + (1 + number % 250)
                + ":8080\",\"zone\":\"region" + number % 4 + "-" + number % 11 + "\",\"weight\":1,\"state\":\"up\"}";
    }
}
