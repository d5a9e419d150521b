package mastdrift.zones;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import mastdrift.Balancer.Crossing;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Why;

/**
 * Traffic of one pool across zones: tracks the zones of its hosts, decides which requests may cross, and counts what
 * crossed and why.
 */
public final class PoolCrossings {

    private final ZoneBudgetManager manager;
    private final String poolName;
    private final BudgetOverride budgetOverride;
    private final Map<String, String> zoneByHost = new HashMap<>();
    private final Map<String, String> zoneByRemovedHost = new HashMap<>();
    private final Set<String> ownZoneHostsUp = new HashSet<>();
    private final Set<String> ownZoneHostsDraining = new HashSet<>();

    PoolCrossings(ZoneBudgetManager manager, String poolName, BudgetOverride budgetOverride) {
        this.manager = manager;
        this.poolName = poolName;
        this.budgetOverride = budgetOverride;
    }

    BudgetOverride budgetOverride() {
        return budgetOverride;
    }

    /**
     * Updates the hosts; with {@code all} the list replaces the previous one, otherwise it holds only the hosts that
     * changed.
     */
    public void updateHosts(long now, boolean all, List<Host> hosts) {
        if (all) {
            zoneByRemovedHost.clear();
            zoneByRemovedHost.putAll(zoneByHost);
            zoneByHost.clear();
            ownZoneHostsUp.clear();
            ownZoneHostsDraining.clear();
        }
        for (Host host : hosts) {
            if (host.health() == Health.GONE) {
                zoneByRemovedHost.put(host.address(), host.zone());
                zoneByHost.remove(host.address());
            } else {
                zoneByHost.put(host.address(), host.zone());
            }
            boolean inOwnZone = host.zone().equals(manager.zone());
            setMember(ownZoneHostsUp, host, inOwnZone && host.health() == Health.UP);
            setMember(ownZoneHostsDraining, host, inOwnZone && host.health() == Health.LEAVING);
        }
        // before the first host list arrives, an empty pool must not count as an outage of the zone
        if (!zoneByHost.isEmpty()) {
            budgetOverride.updateHosts(now, ownZoneHostsUp);
        }
    }

    private static void setMember(Set<String> set, Host host, boolean member) {
        if (member) {
            set.add(host.address());
        } else {
            set.remove(host.address());
        }
    }

    /** Also finds hosts that have left the list, since attempts may end after their host is gone. */
    private String zoneOf(String hostAddress) {
        String zone = zoneByHost.get(hostAddress);
        return zone != null ? zone : zoneByRemovedHost.getOrDefault(hostAddress, "");
    }

    /**
     * Starts a request. {@code clientZone} is empty if unknown; {@code effectKey} identifies the effect that the
     * request and its retries share, or is null.
     */
    public RequestCrossing startRequest(long now, RequestClass requestClass, String tenant, String clientZone,
            Long effectKey) {
        budgetOverride.recordRequest(now);
        boolean boundToZone = effectKey != null && requestClass.repeat() == Repeat.KEYED
                && requestClass.group() != Group.ALL;
        return new RequestCrossing(requestClass, tenant == null ? "" : tenant, clientZone,
                boundToZone ? effectKey * 31 + requestClass.name().hashCode() : null);
    }

    /** Decides whether one request may cross zones, over all its attempts. */
    public final class RequestCrossing implements Crossing {

        private final RequestClass requestClass;
        private final String tenant;
        private final String clientZone;
        private final Long key;
        private String heldBackZone;
        private boolean heldBackBySoftBudget;  // a soft budget is one that is not hard
        private boolean denialRecorded;
        private long cachedAt = Long.MIN_VALUE;
        private String cachedZone;
        private double cachedFraction;

        RequestCrossing(RequestClass requestClass, String tenant, String clientZone, Long key) {
            this.requestClass = requestClass;
            this.tenant = tenant;
            this.clientZone = clientZone;
            this.key = key;
        }

        /** This object if any budget is configured; null if traffic is only counted. */
        public Crossing asCrossing() {
            return manager.hasBudgets() ? this : null;
        }

        @Override
        public double part(long now, String toZone) {
            // cached, since one choice of a host asks for the same zone many times
            if (now != cachedAt || !toZone.equals(cachedZone)) {
                cachedFraction = admissionFraction(now, toZone);
                cachedAt = now;
                cachedZone = toZone;
            }
            return cachedFraction;
        }

        private double admissionFraction(long now, String toZone) {
            String boundZone = key == null ? null : manager.keyZones().zone(now, key);
            if (boundZone != null && !boundZone.equals(toZone)) {
                return 0;
            }
            if (toZone.equals(manager.zone())) {
                return 1;
            }
            if (boundZone == null && key != null && !manager.keyZones().hasRoom(now)) {
                return 0;
            }
            // retries of a key and overriding classes may exceed budgets that are not hard
            boolean mayOverride = boundZone != null || budgetOverride.mayExceedBudgets(requestClass.name());
            double fraction = manager.admissionFraction(now, toZone, requestClass.name(), tenant, poolName,
                    mayOverride);
            if (fraction == 0) {
                heldBackZone = toZone;
                heldBackBySoftBudget |= !mayOverride && manager.admissionFraction(now, toZone, requestClass.name(),
                        tenant, poolName, true) > 0;
            }
            return mayOverride && fraction > 0 ? 1 : fraction;
        }

        @Override
        public boolean heldBack() {
            return heldBackZone != null;
        }

        /** Reports the held-back demand to the budgets, once a request. */
        private void recordDenial() {
            if (heldBackZone != null && !denialRecorded) {
                denialRecorded = true;
                manager.recordDenied(heldBackZone, requestClass.name(), tenant, poolName);
            }
        }

        /** Records that the request was refused; only refusals for hosts or zones count as overload. */
        public void recordRefusal(long now, Why why) {
            recordDenial();
            if (why == Why.HOSTS || why == Why.ZONES) {
                budgetOverride.recordRefusal(now, heldBackBySoftBudget);
            }
        }

        /** Records that an attempt was sent; {@code attemptNumber} counts from 0. */
        public TrackedAttempt startAttempt(long now, String hostAddress, int attemptNumber) {
            recordDenial();
            return new TrackedAttempt(this, now, hostAddress, attemptNumber);
        }
    }

    private CrossingCause cause(RequestCrossing request, boolean keyBound, int attemptNumber) {
        return keyBound ? CrossingCause.KEY : attemptNumber > 0 ? CrossingCause.REPEAT
                : budgetOverride.isZoneOut() ? CrossingCause.ZONE_OUT
                : budgetOverride.mayExceedBudgets(request.requestClass.name()) ? CrossingCause.NO_CAPACITY
                : !ownZoneHostsDraining.isEmpty() ? CrossingCause.DRAIN : CrossingCause.WEIGHTS;
    }

    /** Tracks one attempt until it ends. */
    public final class TrackedAttempt {

        private final RequestCrossing request;
        private final String hostAddress;
        private final String toZone;
        private final int attemptNumber;
        private final boolean crosses;
        private final CrossingCause cause;
        private final ZoneBudgetManager.CrossingReservation reservation;

        TrackedAttempt(RequestCrossing request, long now, String hostAddress, int attemptNumber) {
            this.request = request;
            this.hostAddress = hostAddress;
            this.attemptNumber = attemptNumber;
            toZone = zoneOf(hostAddress);
            crosses = !toZone.equals(manager.zone());
            boolean keyBound = request.key != null && toZone.equals(manager.keyZones().zone(now, request.key));
            cause = cause(request, keyBound, attemptNumber);
            reservation = crosses ? manager.new CrossingReservation(now, toZone, request.requestClass.name(),
                    request.tenant, poolName) : null;
            if (request.key != null) {
                manager.keyZones().recordSent(now, request.key, toZone, now + request.requestClass.dedupWindow());
            }
        }

        /** Records the end of the attempt, with its bytes in both directions. */
        public void end(long now, Outcome outcome, long bytesSent, long bytesReceived) {
            FlowCounts counts = manager.counts(new Flow(manager.zone(), toZone, request.clientZone,
                    request.requestClass.name(), poolName, request.tenant));
            if (bytesSent > 0) {
                counts.addAttempt(attemptNumber == 0);
                if (outcome != Outcome.DELIVERED) {
                    counts.addFailure();
                }
            }
            counts.bytes(bytesSent, bytesReceived);
            if (crosses) {
                counts.addByCause(cause, bytesSent > 0 ? 1 : 0, bytesSent + bytesReceived);
                reservation.settle(now, bytesSent, bytesReceived);
            }
            if (request.key != null && outcome.neverRan()) {
                manager.keyZones().recordNeverRan(request.key, toZone);
            }
            recordOutcome(now, hostAddress, outcome);
        }
    }

    private void recordOutcome(long now, String hostAddress, Outcome outcome) {
        if (outcome != Outcome.REVOKED && outcome != Outcome.UNUSED) {
            budgetOverride.recordOutcome(now, hostAddress, outcome == Outcome.DELIVERED || outcome == Outcome.ERROR
                    || outcome == Outcome.SHED);
        }
    }

    /** Records the end of a probe, with its bytes in both directions. */
    public void recordProbe(long now, String hostAddress, Outcome outcome, long bytesSent, long bytesReceived) {
        addUnrequested(now, hostAddress, bytesSent, bytesReceived, bytesSent > 0);
        recordOutcome(now, hostAddress, outcome);
    }

    /** Records bytes that belong to no attempt. */
    public void recordUnattributedBytes(long now, String hostAddress, long bytesSent, long bytesReceived) {
        addUnrequested(now, hostAddress, bytesSent, bytesReceived, false);
    }

    private void addUnrequested(long now, String hostAddress, long bytesSent, long bytesReceived, boolean probe) {
        String toZone = zoneOf(hostAddress);
        FlowCounts counts = manager.counts(new Flow(manager.zone(), toZone, "", Flow.NO_CLASS, poolName, ""));
        counts.bytes(bytesSent, bytesReceived);
        if (probe) {
            counts.addProbe();
        }
        if (!toZone.equals(manager.zone())) {
            counts.addByCause(CrossingCause.PROBE, probe ? 1 : 0, bytesSent + bytesReceived);
            manager.charge(now, toZone, poolName, bytesSent, bytesReceived, probe ? 1 : 0);
        }
    }
}
