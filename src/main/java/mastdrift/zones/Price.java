package mastdrift.zones;

/**
 * Price of traffic from one zone to another, in any one currency.
 *
 * @param fromZone the zone that sends
 * @param toZone the zone that receives
 * @param perGib price of 2^30 bytes
 * @param perMillionRequests price of a million requests
 */
public record Price(String fromZone, String toZone, double perGib, double perMillionRequests) {

    private static final double BYTES_PER_GIB = 1 << 30;

    double cost(long bytes, long requests) {
        return bytes / BYTES_PER_GIB * perGib + requests / 1e6 * perMillionRequests;
    }
}
