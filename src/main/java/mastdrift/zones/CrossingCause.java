package mastdrift.zones;

import java.util.Locale;

/** Why an attempt left its gateway's zone. The first that holds, in this order. */
public enum CrossingCause {
    /** Nobody's attempt: a probe. */
    PROBE,
    /** Its key was first sent to that zone, and its window is open. */
    KEY,
    /** An attempt of the same request went before. */
    REPEAT,
    /** The own zone is out. */
    ZONE_OUT,
    /** The own zone can't do all that comes. */
    NO_CAPACITY,
    /** Hosts of the own zone are draining. */
    DRAIN,
    /** The draw of the module's shares, within the budget. */
    WEIGHTS;

    /** As reports write it. */
    public String reportName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
