package mastdrift.zones;

/**
 * A budget of the operator's. What is null covers all.
 *
 * @param name for reports
 * @param window for which the amount is
 * @param unit of the amount
 * @param amount of all gateways together
 * @param toZone the zone that is crossed to
 * @param className of this class alone
 * @param tenant of this tenant alone
 * @param pool of this pool alone
 * @param maxCarryFraction what a window may leave to the next, as a part of the amount, 0 to 1
 * @param hard whether service doesn't go before it
 */
public record CrossingBudget(String name, BudgetWindow window, Unit unit, double amount, String toZone, String className, String tenant, String pool,
        double maxCarryFraction, boolean hard) {

    /** What an amount counts. */
    public enum Unit {
        /** Of both directions. */
        BYTES,
        /** Attempts, for each of them crosses. */
        REQUESTS,
        /** By the prices. */
        MONEY
    }

    /** The same for so many times the amount. */
    public CrossingBudget scaledBy(double factor) {
        return new CrossingBudget(name, window, unit, amount * factor, toZone, className, tenant, pool, maxCarryFraction, hard);
    }

    boolean covers(String destinationZone, String requestClass, String requestTenant, String requestPool) {
        return (toZone == null || toZone.equals(destinationZone)) && (className == null || className.equals(requestClass))
                && (tenant == null || tenant.equals(requestTenant)) && (pool == null || pool.equals(requestPool));
    }
}
