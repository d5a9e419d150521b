package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;

/** What the values of resources have to say, by kind; docs/operations/distribution.md lists the keys. */
public final class ResourceValues {

    private static final long MICROS_MOST = Long.MAX_VALUE / 1_000;

    private ResourceValues() { }

    /** What is wrong with a value, with place, expected and found, all of it up to a bound; null for nothing. */
    public static String problem(ResourceKind kind, String name, byte[] value) {
        List<String> problems = new ArrayList<>();
        if (!Tables.isWord(name)) {
            problems.add("name: expected up to 64 letters, digits, dots, - and _");
        }
        if (value.length > Resource.MAX_VALUE_BYTES) {
            problems.add("expected at most " + Resource.MAX_VALUE_BYTES + " bytes, found " + value.length);
        }
        if (problems.isEmpty()) {
            switch (kind) {
                case ROUTE -> RouteValue.read(name, value, problems);
                case POOL -> pool(JsonObject.of(value, problems));
                case TENANT -> tenant(JsonObject.of(value, problems));
                case HOST -> host(JsonObject.of(value, problems));
            }
        }
        return problems.isEmpty() ? null : text(problems);
    }

    static String text(List<String> problems) {
        int most = Math.min(problems.size(), JsonObject.PROBLEMS_MOST);
        return String.join("; ", problems.subList(0, most)) + (problems.size() > most ? "; and " + (problems.size() - most) + " more" : "");
    }

    private static void pool(JsonObject object) {
        object.whole("max_attempts", 1, 16);
        object.whole("connections", 1, 1 << 16);
        object.flag("probes");
        object.noMore();
    }

    private static void tenant(JsonObject object) {
        object.real("share", 0, 1);
        object.real("requests_per_second", 0.001, 1e7);
        object.noMore();
    }

    private static void host(JsonObject object) {
        object.requiredWord("pool");
        object.requiredEndpoint("endpoint");
        object.requiredWord("zone");
        object.whole("cell", 0, Integer.MAX_VALUE);
        object.word("kind");
        object.real("weight", 0, 1e6);
        object.among("state", List.of("up", "drain"));
        object.whole("started_ms", 0, MICROS_MOST);
        object.noMore();
    }
}
