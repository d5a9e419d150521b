package mastdrift.zones;

import java.util.List;
import java.util.Map;

/**
 * One gateway's counts and budgets of traffic across zones at one moment: the content of the report, and the state that
 * is restored after a restart.
 *
 * @param gateway the gateway's name
 * @param zone the gateway's zone
 * @param timeMillis time of the snapshot, in milliseconds since 1970
 * @param flows counts since the counters were first created
 * @param budgets the budgets in their current windows
 * @param prices prices by which cost is computed
 * @param overridingClasses classes that may exceed budgets, by pool; pools without any are left out
 */
public record ZoneSnapshot(String gateway, String zone, long timeMillis, Map<Flow, FlowCounts> flows,
        List<BudgetStatus> budgets, List<Price> prices,
        Map<String, List<String>> overridingClasses) {

    /**
     * Status of one budget.
     *
     * @param configured the configured budget
     * @param endMillis end of the window, in milliseconds since 1970
     * @param forecast what it will have used at the window's end, extrapolated from the usage so far
     * @param account state of its account, which a restart continues from
     */
    public record BudgetStatus(CrossingBudget configured, long endMillis, double forecast, AccountState account) {

        /** Start of the window, in milliseconds since 1970. */
        public long startMillis() {
            return account.windowStartMillis();
        }

        /** What this gateway may use in the window, transfers between gateways included. */
        public double granted() {
            return account.granted();
        }

        /** What it has used of the grant. */
        public double spent() {
            return account.spent();
        }

        /** Debt that later windows repay. */
        public double owed() {
            return account.owed();
        }

        /** What remains of the grant; negative where requests exceeded the budget. */
        public double remaining() {
            return account.granted() - account.spent();
        }
    }

    /** Cost of a flow by the configured prices, both directions; 0 where no price is configured. */
    public double cost(Flow flow, FlowCounts counts) {
        return flow.crosses() ? cost(prices, flow.fromZone(), flow.toZone(), counts.bytesSent(), counts.bytesReceived(),
                counts.attempts()) : 0;
    }

    static double cost(List<Price> prices, String fromZone, String toZone, long bytesSent, long bytesReceived,
            long attempts) {
        double cost = 0;
        for (Price price : prices) {
            if (price.fromZone().equals(fromZone) && price.toZone().equals(toZone)) {
                cost += price.cost(bytesSent, attempts);
            } else if (price.fromZone().equals(toZone) && price.toZone().equals(fromZone)) {
                cost += price.cost(bytesReceived, 0);
            }
        }
        return cost;
    }
}
