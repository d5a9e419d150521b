package mastdrift.tally;

import java.util.Locale;

/** What is counted. The names of its values, in small letters, are those of the line. */
public enum Count {
    /** Attempts at hosts. */
    SENDS,
    /** Ends of attempts, as {@code Balancer.Outcome} has them. */
    DELIVERED, ERROR, SHED, EXPIRED, DIAL_FAILED, DROPPED, REVOKED, UNUSED,
    /** Connections opened for attempts; those refused are DIAL_FAILED. */
    OPENED,
    /** Attempts at hosts that started less than a warm-up ago. */
    COLD,
    PROBES, PROBES_FAILED,
    /** Calls to discovery, those that failed, and lists that came, whole or changes. */
    CALLS, CALLS_FAILED, LISTS,
    /** Final answers. */
    SERVED, REFUSED_HOSTS, REFUSED_SHARE, REFUSED_GATEWAY, REFUSED_ZONES, REFUSED_LIST, FAILED,
    /** Requests that were taken and not followed: more came in that second than are. */
    UNFOLLOWED;

    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
