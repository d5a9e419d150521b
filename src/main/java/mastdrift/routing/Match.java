package mastdrift.routing;

/**
 * What a request has to be for a route; null in a component is any.
 *
 * @param className its class
 * @param tenant its tenant
 * @param pathPrefix its path or the head of it, up to the end of a segment; compared as it was sent, undecoded
 * @param headerName a header that it has
 * @param headerValue the whole value of that header, in one of its lines
 * @param zone the zone of the gateway that took it
 */
public record Match(String className, String tenant, String pathPrefix, String headerName, String headerValue,
        String zone) {

    /** Fits every request. */
    public static final Match ANY = new Match(null, null, null, null, null, null);

    /** Whether a request is all of this; a path that is compared is not null. */
    public boolean fits(RouteCriteria request) {
        return is(className, request.className()) && is(tenant, request.tenant()) && is(zone, request.zone())
                && (pathPrefix == null || under(pathPrefix, request.path()))
                && (headerName == null || request.headers().values(headerName).stream()
                        .anyMatch(value -> is(headerValue, value)));
    }

    private static boolean is(String wanted, String given) {
        return wanted == null || wanted.equals(given);
    }

    /** {@code /a} is the head of {@code /a} and {@code /a/b}, not of {@code /ab}. */
    private static boolean under(String prefix, String path) {
        return path.startsWith(prefix) && (path.length() == prefix.length() || prefix.endsWith("/")
                || path.charAt(prefix.length()) == '/');
    }
}
