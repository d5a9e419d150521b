package mastdrift.engine;

/**
 * What a front knows about a request.
 *
 * @param id its id, under which it must not run twice; null if its protocol has none
 * @param className name of the request's class
 * @param tenant name of its tenant, or null
 * @param key its affinity key, or null
 * @param timeLeftMicros how long its client still waits
 * @param repeated whether the client marked it as a retry
 * @param write whether it writes
 * @param estimatedWorkMicros an estimate of its work; 0 for none
 * @param clientZone the zone of its client; empty if unknown
 * @param idempotencyKey a number shared by all retries that must take effect only once, or null
 */
public record RequestAttributes(String id, String className, String tenant, Long key, long timeLeftMicros, boolean repeated,
        boolean write, long estimatedWorkMicros, String clientZone, Long idempotencyKey) {

    /** A request without an id, a client zone or an idempotency key. */
    public RequestAttributes(String className, String tenant, Long key, long timeLeftMicros, boolean repeated,
            boolean write, long estimatedWorkMicros) {
        this(null, className, tenant, key, timeLeftMicros, repeated, write, estimatedWorkMicros, "", null);
    }
}
