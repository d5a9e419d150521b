package mastdrift.zones;

import java.util.Locale;

/** Why an attempt left its gateway's zone. Where several apply, the first in this order is recorded. */
public enum CrossingCause {
    /** Health probe; belongs to no request. */
    PROBE,
    /**
     * An earlier attempt with the same key may have run in that zone, and the key's deduplication window is still open.
     */
    KEY,
    /** Another attempt of the same request was made before. */
    REPEAT,
    /** The gateway's own zone is out of service. */
    ZONE_OUT,
    /** The gateway's own zone can't take all requests. */
    NO_CAPACITY,
    /** Hosts of the gateway's own zone are draining. */
    DRAIN,
    /** The module's weighted choice picked the zone within the budget. */
    WEIGHTS;

    /** The cause's name in reports: the constant's name in lower case. */
    public String reportName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
