package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;

/** Validates the values of resources by kind; docs/operations/distribution.md lists the keys. */
public final class ResourceValues {

    private static final long MAX_STARTED_MILLIS = Long.MAX_VALUE / 1_000;

    private ResourceValues() { }

    /**
     * All problems of a value, each with location, expectation and what was found, up to a maximum number; null if the
     * value is valid.
     */
    public static String findProblems(ResourceKind kind, String name, byte[] value) {
        List<String> problems = new ArrayList<>();
        if (!Tables.isName(name)) {
            problems.add("name: expected up to 64 letters, digits, dots, - and _");
        }
        if (value.length > Resource.MAX_VALUE_BYTES) {
            problems.add("expected at most " + Resource.MAX_VALUE_BYTES + " bytes, found " + value.length);
        }
        if (problems.isEmpty()) {
            switch (kind) {
                case ROUTE -> RouteValue.read(name, value, problems);
                case POOL -> checkPool(JsonObject.parse(value, problems));
                case TENANT -> checkTenant(JsonObject.parse(value, problems));
                case HOST -> checkHost(JsonObject.parse(value, problems));
            }
        }
        return problems.isEmpty() ? null : joinProblems(problems);
    }

    static String joinProblems(List<String> problems) {
        int reportedCount = Math.min(problems.size(), JsonObject.MAX_REPORTED_PROBLEMS);
        return String.join("; ", problems.subList(0, reportedCount)) + (problems.size() > reportedCount ? "; and " + (problems.size() - reportedCount) + " more" : "");
    }

    private static void checkPool(JsonObject object) {
        object.integer("max_attempts", 1, 16);
        object.integer("connections", 1, 1 << 16);
        object.flag("probes");
        object.rejectUnknownKeys();
    }

    private static void checkTenant(JsonObject object) {
        object.number("share", 0, 1);
        object.number("requests_per_second", 0.001, 1e7);
        object.rejectUnknownKeys();
    }

    private static void checkHost(JsonObject object) {
        object.requiredName("pool");
        object.requiredEndpoint("endpoint");
        object.requiredName("zone");
        object.integer("cell", 0, Integer.MAX_VALUE);
        object.name("kind");
        object.number("weight", 0, 1e6);
        object.oneOf("state", List.of("up", "drain"));
        object.integer("started_ms", 0, MAX_STARTED_MILLIS);
        object.rejectUnknownKeys();
    }
}
