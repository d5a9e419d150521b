package mastdrift.tally;

import java.util.Locale;

/** Counters of a {@link SecondCounts}. Their names in lower case are the keys of the log line. */
public enum Counter {
    /** Attempts sent to hosts. */
    SENDS,
    /** Outcomes of attempts, as in {@code Balancer.Outcome}. */
    DELIVERED, ERROR, SHED, EXPIRED, DIAL_FAILED, DROPPED, REVOKED, UNUSED,
    /** Connections opened for attempts; refused ones count as DIAL_FAILED. */
    OPENED,
    /** Attempts at hosts that started less than the warm-up time ago. */
    COLD,
    /** Health probes, and those that failed. */
    PROBES, PROBES_FAILED,
    /** Calls to discovery, failed calls, and host lists received (full lists and changes). */
    CALLS, CALLS_FAILED, LISTS,
    /** Final answers to clients. */
    SERVED, REFUSED_HOSTS, REFUSED_SHARE, REFUSED_GATEWAY, REFUSED_ZONES, REFUSED_LIST, FAILED,
    /** Requests that were accepted but not traced, because more arrived in that second than are traced. */
    UNFOLLOWED;

    /** The key in the log line. */
    String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
