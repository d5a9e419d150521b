package mastdrift.zones;

/**
 * What is counted together.
 *
 * @param fromZone the gateway's zone
 * @param toZone the host's
 * @param clientZone the client's zone, empty where it isn't told
 * @param className the class; {@link #NO_CLASS} for probes and for bytes that belong to no attempt, {@link #OTHER} beyond the bound
 * @param pool the pool
 * @param tenant the tenant, empty for none
 */
public record Flow(String fromZone, String toZone, String clientZone, String className, String pool, String tenant) {

    /** Nobody's class. */
    public static final String NO_CLASS = "(none)";
    /** Classes, pools and tenants beyond the bound. */
    public static final String OTHER = "(other)";

    /** Whether it leaves the zone. */
    public boolean crosses() {
        return !fromZone.equals(toZone);
    }

    Flow aggregated() {
        return new Flow(fromZone, toZone, "", OTHER, OTHER, "");
    }
}
