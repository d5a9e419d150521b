package mastdrift.engine;

/** What a front knows of a request: its class, tenant (or null), key (or null), the microseconds that its client still
    waits, whether it is a client's repeat, whether it writes, a guess at its work in microseconds (0 for none), the zone of its client
    (empty where it isn't told), and what all repeats of its effect share (or null). */
public record RequestAttributes(String className, String tenant, Long key, long left, boolean repeated, boolean write, long work, String clientZone,
        Long effect) {

    /** Without a client's zone or an effect. */
    public RequestAttributes(String className, String tenant, Long key, long left, boolean repeated, boolean write, long work) {
        this(className, tenant, key, left, repeated, write, work, "", null);
    }
}
