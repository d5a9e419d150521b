package mastdrift.routing;

import java.util.List;

/**
 * What routes can tell of a request.
 *
 * @param className its class
 * @param tenant its tenant, or null
 * @param path its path as it was sent, without the query
 * @param zone the zone of the gateway that took it
 * @param key seeds the weighted choice: the same in repeats of a request
 * @param headers its headers
 */
public record RouteCriteria(String className, String tenant, String path, String zone, long key, Headers headers) {

    /** Looks headers up, whatever their case. */
    public interface Headers {
        /** The values of all lines of a header, none where there is none. */
        List<String> values(String name);
    }
}
