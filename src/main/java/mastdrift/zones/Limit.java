package mastdrift.zones;

/**
 * A budget of the operator's. What is null covers all.
 *
 * @param name for reports
 * @param window for which the amount is
 * @param unit of the amount
 * @param amount of all gateways together
 * @param to the zone that is crossed to
 * @param className of this class alone
 * @param tenant of this tenant alone
 * @param pool of this pool alone
 * @param carryMost what a window may leave to the next, as a part of the amount, 0 to 1
 * @param hard whether service doesn't go before it
 */
public record Limit(String name, Window window, Unit unit, double amount, String to, String className, String tenant, String pool,
        double carryMost, boolean hard) {

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
    public Limit times(double factor) {
        return new Limit(name, window, unit, amount * factor, to, className, tenant, pool, carryMost, hard);
    }

    boolean covers(String zone, String ofClass, String ofTenant, String ofPool) {
        return (to == null || to.equals(zone)) && (className == null || className.equals(ofClass))
                && (tenant == null || tenant.equals(ofTenant)) && (pool == null || pool.equals(ofPool));
    }
}
