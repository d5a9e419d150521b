package mastdrift.zones;

/** What goes from one zone to another costs, in any one currency.
 *
 * @param from the zone that bytes leave
 * @param to the zone that they reach
 * @param perGib for 2^30 bytes
 * @param perMillion for a million requests */
public record Price(String from, String to, double perGib, double perMillion) {

    private static final double GIB = 1 << 30;

    double of(long bytes, long requests) {
        return bytes / GIB * perGib + requests / 1e6 * perMillion;
    }
}
