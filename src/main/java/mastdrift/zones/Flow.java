package mastdrift.zones;

/**
 * What is counted together.
 *
 * @param from the gateway's zone
 * @param to the host's
 * @param client the client's zone, empty where it isn't told
 * @param className the class; {@link #NONE} for probes and for bytes that belong to no attempt, {@link #OTHER} beyond the bound
 * @param pool the pool
 * @param tenant the tenant, empty for none
 */
public record Flow(String from, String to, String client, String className, String pool, String tenant) {

    /** Nobody's class. */
    public static final String NONE = "(none)";
    /** Classes, pools and tenants beyond the bound. */
    public static final String OTHER = "(other)";

    /** Whether it leaves the zone. */
    public boolean crosses() {
        return !from.equals(to);
    }

    Flow folded() {
        return new Flow(from, to, "", OTHER, OTHER, "");
    }
}
