package mastdrift.zones;

import java.util.Map;

/**
 * State of a {@link CrossingAccount} that is saved over a restart; amounts in the budget's unit, times in milliseconds
 * since 1970.
 *
 * @param windowStartMillis start of the window
 * @param savedAtMillis time of the state
 * @param granted what this gateway may use in the window, transfers included
 * @param spent what it has used
 * @param reserved estimated cost of the crossings under way
 * @param credit content of the token bucket
 * @param denied cost of the crossings that the budget held back
 * @param owed debt that later windows repay
 * @param transferredOut totals transferred to other gateways in this window, by gateway
 * @param transferredIn totals received from other gateways in this window, by gateway
 */
public record AccountState(long windowStartMillis, long savedAtMillis, double granted, double spent, double reserved,
        double credit, double denied, double owed,
        Map<String, Double> transferredOut, Map<String, Double> transferredIn) { }
