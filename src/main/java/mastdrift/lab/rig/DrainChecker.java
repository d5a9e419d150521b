package mastdrift.lab.rig;

import java.util.ArrayList;
import java.util.List;

/**
 * Checks afterwards that no gateway sent anything to an endpoint once a drain or removal had counted as told for longer than the grace. A change counts as told
 * when the registry has written it to the gateway, and 6 s after the registry had it and could be reached, heard or not. An endpoint that is listed as in service
 * again may be sent to from that moment on. Pure; times are in microseconds of one clock.
 */
final class DrainChecker {

    /** From when the registry has a change and can be reached until it counts as told. */
    static final long TOLD_WITHIN = 6_000_000;

    /** The registry lists an endpoint as in service, or as draining or removed. */
    record Listed(String endpoint, boolean inService, long at) { }

    /** The registry has written to a gateway that an endpoint is draining or removed. */
    record Told(String gateway, String endpoint, long at) { }

    /** The registry could not be reached. */
    record Outage(long from, long until) { }

    /** A request of a gateway came to an endpoint. */
    record Arrival(String gateway, String endpoint, String request, long at) { }

    /** An arrival that should not have been: so long after the change had counted as told. */
    record Breach(Arrival arrival, long since) {

        @Override
        public String toString() {
            return arrival.request + " of " + arrival.gateway + " came to " + arrival.endpoint + " at " + arrival.at / 1_000 + " ms, "
                    + since / 1_000 + " ms after its end of service had counted as told";
        }
    }

    private final long allowed;
    private final List<Listed> listed = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();
    private final List<Outage> outages = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();

    /** {@code allowed}: the grace, and what the measuring side may be late by. */
    DrainChecker(long allowed) {
        this.allowed = allowed;
    }

    synchronized void listed(String endpoint, boolean inService, long at) {
        listed.add(new Listed(endpoint, inService, at));
    }

    synchronized void told(String gateway, String endpoint, long at) {
        told.add(new Told(gateway, endpoint, at));
    }

    synchronized void outage(long from, long until) {
        outages.add(new Outage(from, until));
    }

    synchronized void arrived(String gateway, String endpoint, String request, long at) {
        arrivals.add(new Arrival(gateway, endpoint, request, at));
    }

    synchronized int arrivals() {
        return arrivals.size();
    }

    /** Changes out of service that were listed. */
    synchronized int ends() {
        return (int) listed.stream().filter(each -> !each.inService).count();
    }

    /** All breaches, in the order of arrival. */
    synchronized List<Breach> breaches() {
        List<Breach> breaches = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            Listed last = lastListed(arrival);
            if (last != null && !last.inService) {
                long since = arrival.at - countedAt(arrival, last.at);
                if (since > allowed) {
                    breaches.add(new Breach(arrival, since));
                }
            }
        }
        return breaches;
    }

    /** What the registry had said of its endpoint as it came, where that is one end of service through several lists the first of them; null for nothing. */
    private Listed lastListed(Arrival arrival) {
        Listed last = null;
        for (Listed each : listed) {
            boolean own = each.endpoint.equals(arrival.endpoint) && each.at <= arrival.at;
            if (own && (last == null || last.inService != each.inService)) {
                last = each;
            }
        }
        return last;
    }

    private long countedAt(Arrival arrival, long listedAt) {
        long reachable = listedAt;
        for (Outage outage : outages) {
            if (outage.from <= reachable + TOLD_WITHIN && reachable < outage.until) {
                reachable = outage.until;
            }
        }
        long counted = reachable + TOLD_WITHIN;
        for (Told each : told) {
            if (each.gateway.equals(arrival.gateway) && each.endpoint.equals(arrival.endpoint) && each.at >= listedAt) {
                counted = Math.min(counted, each.at);
            }
        }
        return counted;
    }
}
