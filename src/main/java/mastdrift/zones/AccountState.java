package mastdrift.zones;

import java.util.Map;

/**
 * A budget's account as it is kept over a restart; amounts in the limit's unit, times in milliseconds since 1970.
 *
 * @param windowStartMillis of its window
 * @param savedAtMillis when it was so
 * @param granted this gateway's part of the window
 * @param spent of it
 * @param reserved for crossings that were out
 * @param credit in the bucket
 * @param denied what would have been used with more room
 * @param owed what later windows pay
 * @param transferredOut to other gateways in this window, by name
 * @param transferredIn from others, likewise
 */
public record AccountState(long windowStartMillis, long savedAtMillis, double granted, double spent, double reserved, double credit, double denied, double owed,
        Map<String, Double> transferredOut, Map<String, Double> transferredIn) { }
