package mastdrift.zones;

/** What goes from one zone to another costs, in any one currency.
 *
 * @param fromZone the zone that bytes leave
 * @param toZone the zone that they reach
 * @param perGib for 2^30 bytes
 * @param perMillionRequests for a million requests */
public record Price(String fromZone, String toZone, double perGib, double perMillionRequests) {

    private static final double BYTES_PER_GIB = 1 << 30;

    double cost(long bytes, long requests) {
        return bytes / BYTES_PER_GIB * perGib + requests / 1e6 * perMillionRequests;
    }
}
