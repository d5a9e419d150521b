package mastdrift.membership;

import mastdrift.Balancer.Health;

/**
 * A host as one source tells it. What a source leaves open is null.
 *
 * @param uid the same in all sources and at all gateways
 * @param endpoint address and port in digits; null in a line that only says something of a host that another source names
 * @param zone its data centre, or null
 * @param cell its group within the zone, or null
 * @param kind its machine kind, or null
 * @param weight its size in relation to others of the pool, or null; 0 takes nothing new
 * @param state what the source says of it
 * @param born the start of its process in microseconds of Unix time, 0 for long ago
 * @param place where the source says it, for messages; not part of what is said
 */
public record Node(String uid, String endpoint, String zone, Integer cell, String kind, Double weight, Health state,
        long born, String place) {

    /** Whether new requests may go there as far as this source goes. */
    public boolean takesNew() {
        return state == Health.UP && (weight == null || weight > 0);
    }
}
