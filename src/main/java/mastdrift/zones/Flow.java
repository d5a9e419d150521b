package mastdrift.zones;

/**
 * The labels that traffic is counted by.
 *
 * @param fromZone the gateway's zone
 * @param toZone the host's zone
 * @param clientZone the client's zone, empty if unknown
 * @param className the request class; {@link #NO_CLASS} for probes and for bytes that belong to no attempt, {@link
 * #OTHER} for flows beyond the bound
 * @param pool the pool
 * @param tenant the tenant, empty for none
 */
public record Flow(String fromZone, String toZone, String clientZone, String className, String pool, String tenant) {

    /** Class name of traffic that belongs to no request. */
    public static final String NO_CLASS = "(none)";
    /** Stands for all classes and pools of flows beyond the bound. */
    public static final String OTHER = "(other)";

    /** Whether the traffic leaves the gateway's zone. */
    public boolean crosses() {
        return !fromZone.equals(toZone);
    }

    /** The flow under which this one is counted when no more flows can be told apart: only the zones are kept. */
    Flow aggregated() {
        return new Flow(fromZone, toZone, "", OTHER, OTHER, "");
    }
}
