package mastdrift.zones;

/**
 * A configured budget for traffic to other zones. A selector (toZone, className, tenant, pool) that is null matches
 * all.
 *
 * @param name name in reports
 * @param window period that the amount applies to
 * @param unit unit of the amount
 * @param amount amount per window of all gateways together
 * @param toZone destination zone that the budget applies to
 * @param className class that the budget applies to
 * @param tenant tenant that the budget applies to
 * @param pool pool that the budget applies to
 * @param maxCarryFraction largest fraction of a gateway's allotment that carries over to the next window, 0 to 1
 * @param hard whether the budget holds also when the own zone is out or overloaded
 */
public record CrossingBudget(String name, BudgetWindow window, Unit unit, double amount, String toZone,
        String className, String tenant, String pool,
        double maxCarryFraction, boolean hard) {

    /** Unit of a budget's amount. */
    public enum Unit {
        /** Bytes of both directions. */
        BYTES,
        /** Attempts that cross. */
        REQUESTS,
        /** Cost by the configured prices. */
        MONEY
    }

    /** This budget with its amount multiplied by a factor. */
    public CrossingBudget scaledBy(double factor) {
        return new CrossingBudget(name, window, unit, amount * factor, toZone, className, tenant, pool,
                maxCarryFraction, hard);
    }

    boolean covers(String destinationZone, String requestClass, String requestTenant, String requestPool) {
        return (toZone == null || toZone.equals(destinationZone))
                && (className == null || className.equals(requestClass))
                && (tenant == null || tenant.equals(requestTenant)) && (pool == null || pool.equals(requestPool));
    }
}
