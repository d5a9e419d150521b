package mastdrift.zones;

import java.util.List;
import java.util.Map;

/**
 * What one gateway knows of its traffic across zones at one moment: for the report, and to go on from after a restart.
 *
 * @param gateway its name
 * @param zone its zone
 * @param timeMillis milliseconds since 1970
 * @param flows counts since the book was begun
 * @param budgets of this window
 * @param prices by which money is reckoned
 * @param overridingClasses classes that give way, by pool; only pools where any does
 */
public record ZoneSnapshot(String gateway, String zone, long timeMillis, Map<Flow, FlowCounts> flows, List<BudgetStatus> budgets, List<Price> prices,
        Map<String, List<String>> overridingClasses) {

    /**
     * A budget as it stands.
     *
     * @param limit the operator's
     * @param end of the window, in milliseconds since 1970
     * @param forecast what it will have used at the window's end, as it goes
     * @param kept the rest, as an account goes on from it
     */
    public record BudgetStatus(CrossingBudget configured, long endMillis, double forecast, AccountState account) {

        /** The beginning of the window, in milliseconds since 1970. */
        public long startMillis() {
            return account.windowStartMillis();
        }

        /** This gateway's part of it, with what others gave and without what it gave. */
        public double granted() {
            return account.granted();
        }

        /** Of that, used. */
        public double spent() {
            return account.spent();
        }

        /** What later windows pay for. */
        public double owed() {
            return account.owed();
        }

        /** What was left of the part; below 0 where service went before the budget. */
        public double remaining() {
            return account.granted() - account.spent();
        }
    }

    /** What a flow costs by the prices, both ways; 0 where none is given. */
    public double cost(Flow flow, FlowCounts counts) {
        return flow.crosses() ? cost(prices, flow.fromZone(), flow.toZone(), counts.bytesSent(), counts.bytesReceived(), counts.attempts()) : 0;
    }

    static double cost(List<Price> prices, String fromZone, String toZone, long bytesSent, long bytesReceived, long attempts) {
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
