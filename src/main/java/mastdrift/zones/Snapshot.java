package mastdrift.zones;

import java.util.List;
import java.util.Map;

/**
 * What one gateway knows of its traffic across zones at one moment: for the report, and to go on from after a restart.
 *
 * @param gateway its name
 * @param zone its zone
 * @param at milliseconds since 1970
 * @param flows counts since the book was begun
 * @param budgets of this window
 * @param prices by which money is reckoned
 * @param giving classes that give way, by pool; only pools where any does
 */
public record Snapshot(String gateway, String zone, long at, Map<Flow, Counts> flows, List<Budget> budgets, List<Price> prices,
        Map<String, List<String>> giving) {

    /**
     * A budget as it stands.
     *
     * @param limit the operator's
     * @param end of the window, in milliseconds since 1970
     * @param forecast what it will have used at the window's end, as it goes
     * @param kept the rest, as an account goes on from it
     */
    public record Budget(Limit limit, long end, double forecast, Kept kept) {

        /** The beginning of the window, in milliseconds since 1970. */
        public long begin() {
            return kept.begin();
        }

        /** This gateway's part of it, with what others gave and without what it gave. */
        public double granted() {
            return kept.granted();
        }

        /** Of that, used. */
        public double spent() {
            return kept.spent();
        }

        /** What later windows pay for. */
        public double owed() {
            return kept.owed();
        }

        /** What was left of the part; below 0 where service went before the budget. */
        public double left() {
            return kept.granted() - kept.spent();
        }
    }

    /** What a flow costs by the prices, both ways; 0 where none is given. */
    public double money(Flow flow, Counts counts) {
        return flow.crosses() ? money(prices, flow.from(), flow.to(), counts.sent(), counts.received(), counts.attempts()) : 0;
    }

    static double money(List<Price> prices, String from, String to, long sent, long received, long attempts) {
        double money = 0;
        for (Price price : prices) {
            if (price.from().equals(from) && price.to().equals(to)) {
                money += price.of(sent, attempts);
            } else if (price.from().equals(to) && price.to().equals(from)) {
                money += price.of(received, 0);
            }
        }
        return money;
    }
}
