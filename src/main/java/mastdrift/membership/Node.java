package mastdrift.membership;

import mastdrift.Balancer.Health;

/**
 * A host as one source reports it. Attributes that the source leaves open are null.
 * @param uid the same in all sources and at all gateways
 * @param endpoint numeric address and port; null in an entry that only adds attributes to a host whose endpoint another
 * source gives
 * @param zone its data centre, or null
 * @param cell its group within the zone, or null
 * @param kind its machine kind, or null
 * @param weight its size relative to others of the pool, or null; with 0 it gets no new requests
 * @param state its state according to the source
 * @param born the start of its process in microseconds of Unix time, 0 for long ago
 * @param location where the source has the entry, for messages; not part of the content
 */
public record Node(String uid, String endpoint, String zone, Integer cell, String kind, Double weight, Health state,
        long born, String location) {

    /** Whether this source allows new requests to the host. */
    public boolean acceptsNewRequests() {
        return state == Health.UP && (weight == null || weight > 0);
    }
}
