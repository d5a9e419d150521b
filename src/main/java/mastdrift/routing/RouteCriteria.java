package mastdrift.routing;

import java.util.List;

/**
 * The properties of a request that routes can match on.
 *
 * @param className the request's class
 * @param tenant the request's tenant, or null
 * @param path the request's path as sent, without the query
 * @param zone the zone of the gateway that received the request
 * @param key seed of the weighted choice of a pool; the same for all repeats of a request
 * @param headers the request's headers
 */
public record RouteCriteria(String className, String tenant, String path, String zone, long key, Headers headers) {

    /** Looks up headers, case-insensitively. */
    public interface Headers {
        /** The values of all lines of a header; empty if the request does not have it. */
        List<String> values(String name);
    }
}
