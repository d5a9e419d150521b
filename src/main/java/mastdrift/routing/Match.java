package mastdrift.routing;

/**
 * Conditions that a request must meet for a route to apply. All non-null components must match; null matches any value.
 *
 * @param className the request's class
 * @param tenant the request's tenant
 * @param pathPrefix the request's path or a prefix of it that ends at a segment boundary; compared as sent, without
 *     percent-decoding
 * @param headerName a header that the request must have
 * @param headerValue the whole value of that header, in any one of its lines
 * @param zone the zone of the gateway that received the request
 */
public record Match(String className, String tenant, String pathPrefix, String headerName, String headerValue,
        String zone) {

    /** Matches every request. */
    public static final Match ANY = new Match(null, null, null, null, null, null);

    /** Whether a request meets all conditions. The request's path must not be null if there is a path prefix. */
    public boolean matches(RouteCriteria request) {
        return anyOrEqual(className, request.className()) && anyOrEqual(tenant, request.tenant())
                && anyOrEqual(zone, request.zone())
                && (pathPrefix == null || hasPathPrefix(pathPrefix, request.path()))
                && (headerName == null || request.headers().values(headerName).stream()
                        .anyMatch(value -> anyOrEqual(headerValue, value)));
    }

    private static boolean anyOrEqual(String expected, String actual) {
        return expected == null || expected.equals(actual);
    }

    /** Compares by whole segments: {@code /a} is a prefix of {@code /a} and {@code /a/b}, but not of {@code /ab}. */
    private static boolean hasPathPrefix(String prefix, String path) {
        return path.startsWith(prefix) && (path.length() == prefix.length() || prefix.endsWith("/")
                || path.charAt(prefix.length()) == '/');
    }
}
