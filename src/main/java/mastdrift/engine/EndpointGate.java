package mastdrift.engine;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/**
 * Decides which instances of a pool's servers may be sent to; nothing else decides that.
 *
 * <p>From the moment in which a drain or a removal is received nothing new begins there, whatever is left of the drain
 * grace: the grace covers the time in which the notification was in transit or unread, or the process was paused. So
 * there is no comparison with a clock that could be late.
 *
 * <p>An instance is a server's uid and start time. For each ended instance the gate keeps the version of the host list
 * that ended its service, and only a newer version puts it back in service: neither an older list from a second
 * discovery call nor a registry that was restored to an earlier state reopens it. The number of ended instances kept is
 * bounded; the oldest are forgotten first.
 *
 * <p>An address belongs to the server that started there last. A list may still name the one that was there before, or say
 * nothing of it: its service ends all the same, since its requests would reach the other.
 *
 * <p>Does no I/O and reads no clock. Not thread-safe.
 */
public final class EndpointGate {

    /** The least limit on remembered ended instances; the limit is twice the number in service if that is more. */
    static final int MIN_REMEMBERED_LIMIT = 8_192;

    private record Instance(String uid, long startedAt) { }

    private final Map<String, Endpoint> inServiceByUid = new HashMap<>();
    private final Transitions transitions = new Transitions();
    private final Map<Instance, Long> endedByVersion = new LinkedHashMap<>();
    private final BooleanSupplier listIsValid;
    private long newestVersion;

    /** A gate whose host list stays valid until it is replaced. */
    public EndpointGate() {
        this(() -> true);
    }

    /**
     * A gate whose host list can become invalid.
     *
     * @param listIsValid whether the list in force is valid now. While it isn't, nothing may be sent anywhere: drains
     * may have been announced and not received.
     */
    public EndpointGate(BooleanSupplier listIsValid) {
        this.listIsValid = listIsValid;
    }

    /** The server's instance in service, or null if there is none. */
    public Endpoint find(String uid) {
        return inServiceByUid.get(uid);
    }

    /** The uids of all servers that have an instance in service. */
    public Set<String> uids() {
        return Set.copyOf(inServiceByUid.keySet());
    }

    /** The changes of service since the last call, as text for a log; empty if there were none. */
    public String takeTransitions() {
        return transitions.take();
    }

    /** A version newer than any so far, for sources whose lists carry no version. */
    public long nextVersion() {
        return newestVersion + 1;
    }

    /**
     * Puts a list in force.
     *
     * @param version the list's version
     * @param isFullList whether the list is complete, so that servers it doesn't name are gone; otherwise it holds
     * changes
     * @param entries one entry for each server
     * @return the entries as they are in force: an instance that must not come back is draining, and an outdated entry,
     * about an earlier start than the one in service, is left out
     */
    public List<Member> apply(long version, boolean isFullList, List<Member> entries) {
        newestVersion = Math.max(newestVersion, version);
        List<Member> inForce = new ArrayList<>(entries.size());
        Set<String> listedUids = new HashSet<>();
        Map<InetSocketAddress, Long> latestStarts = latestStarts(version, entries);
        for (Member entry : entries) {
            listedUids.add(entry.host().address());
            if (entry.host().health() != Health.UP) {
                endService(entry.host(), version,
                        entry.host().health() == Health.GONE ? Transitions.Cause.REMOVED : Transitions.Cause.DRAINING);
                inForce.add(entry);
            } else if (isSuperseded(entry.socketAddress(), entry.host().born(), latestStarts)) {
                endService(entry.host(), version, Transitions.Cause.REPLACED);
                inForce.add(withHealth(Health.LEAVING, entry.host(), entry.socketAddress()));
            } else if (isOutdated(version, entry.host())) {
                continue;
            } else if (openEndpoint(version, entry)) {
                inForce.add(entry);
            } else {
                inForce.add(withHealth(Health.LEAVING, entry.host(), entry.socketAddress()));
            }
        }
        for (Endpoint endpoint : List.copyOf(inServiceByUid.values())) {
            if (isFullList && !listedUids.contains(endpoint.uid())) {
                endService(endpoint, version, Transitions.Cause.LEFT_OUT);
            } else if (isSuperseded(endpoint.address(), endpoint.startedAt(), latestStarts)) {
                endService(endpoint, version, Transitions.Cause.REPLACED);
                inForce.add(withHealth(Health.LEAVING, endpoint.host(), endpoint.address()));
            }
        }
        return inForce;
    }

    /** The latest start of a server at each address, by the entries that may be in service. */
    private Map<InetSocketAddress, Long> latestStarts(long version, List<Member> entries) {
        Map<InetSocketAddress, Long> latestStarts = new HashMap<>();
        for (Member entry : entries) {
            if (entry.host().health() == Health.UP && entry.socketAddress() != null && entry.host().born() > 0
                    && !hasEnded(new Instance(entry.host().address(), entry.host().born()), version)) {
                latestStarts.merge(entry.socketAddress(), entry.host().born(), Math::max);
            }
        }
        return latestStarts;
    }

    /** Whether another server has started since at the address: what is sent there would reach that one. */
    private static boolean isSuperseded(InetSocketAddress address, long startedAt, Map<InetSocketAddress, Long> latestStarts) {
        return address != null && startedAt < latestStarts.getOrDefault(address, Long.MIN_VALUE);
    }

    /**
     * Applies the certain part of a list that is not put in force: which servers drain or are gone. An error in it
     * costs capacity until the next list, and a list of the same version that is put in force reverses it.
     *
     * @param version the list's version, possibly older than the one in force
     * @param listedUids the uids of all servers on the list, in whatever state, if the list is complete; null otherwise
     * @param leaving the entries that are draining or removed
     * @return the instances that this takes out of service, as changes
     */
    public List<Member> withdraw(long version, Set<String> listedUids, List<Member> leaving) {
        List<Member> changes = new ArrayList<>();
        for (Member entry : leaving) {
            Endpoint current = inServiceByUid.get(entry.host().address());
            if (current != null && entry.host().born() >= current.startedAt()) {
                endService(current, version - 1, Transitions.Cause.DRAINING);
                changes.add(withHealth(entry.host().health(), current.host(), current.address()));
            }
            rememberEnded(new Instance(entry.host().address(), entry.host().born()), version - 1);
        }
        if (listedUids != null) {
            for (Endpoint endpoint : List.copyOf(inServiceByUid.values())) {
                if (!listedUids.contains(endpoint.uid()) && endpoint.openedByVersion() <= version) {
                    endService(endpoint, version - 1, Transitions.Cause.LEFT_OUT);
                    changes.add(withHealth(Health.LEAVING, endpoint.host(), endpoint.address()));
                }
            }
        }
        return changes;
    }

    private static Member withHealth(Health health, Host host, InetSocketAddress socketAddress) {
        return new Member(
                new Host(host.address(), host.zone(), host.cell(), host.kind(), host.weight(), health, host.born()),
                socketAddress);
    }

    /**
     * Whether the entry is about an earlier start than the one in service, and its list is no newer than the one that
     * announced that start.
     */
    private boolean isOutdated(long version, Host host) {
        Endpoint current = inServiceByUid.get(host.address());
        return current != null && host.born() < current.startedAt() && version <= current.openedByVersion();
    }

    /** Whether the service of an instance was ended by this version or a newer one. */
    private boolean hasEnded(Instance instance, long version) {
        return endedByVersion.getOrDefault(instance, Long.MIN_VALUE) >= version;
    }

    private boolean openEndpoint(long version, Member entry) {
        Host host = entry.host();
        Instance instance = new Instance(host.address(), host.born());
        if (hasEnded(instance, version)) {
            return false;
        }
        Endpoint current = inServiceByUid.get(host.address());
        boolean unchanged = current != null && current.startedAt() == host.born()
                && (entry.socketAddress() == null || entry.socketAddress().equals(current.address()));
        if (!unchanged) {
            if (current != null) {
                current.endService();
                transitions.addEnded(current.uid(), Transitions.Cause.REPLACED);
            }
            endedByVersion.remove(instance);
            inServiceByUid.put(host.address(), new Endpoint(entry, version, listIsValid));
            transitions.addInService(host.address());
        } else {
            current.updateHost(host);
        }
        return true;
    }

    private void endService(Host host, long version, Transitions.Cause cause) {
        Endpoint current = inServiceByUid.get(host.address());
        if (current != null) {
            endService(current, version, cause);
        }
        rememberEnded(new Instance(host.address(), host.born()), version);
    }

    private void endService(Endpoint endpoint, long version, Transitions.Cause cause) {
        transitions.addEnded(endpoint.uid(), cause);
        endpoint.endService();
        inServiceByUid.remove(endpoint.uid());
        rememberEnded(new Instance(endpoint.uid(), endpoint.startedAt()), version);
    }

    private void rememberEnded(Instance instance, long version) {
        Long previousVersion = endedByVersion.remove(instance);
        endedByVersion.put(instance, previousVersion == null ? version : Math.max(previousVersion, version));
        int maxRemembered = Math.max(MIN_REMEMBERED_LIMIT, 2 * inServiceByUid.size());
        while (endedByVersion.size() > maxRemembered) {
            endedByVersion.remove(endedByVersion.keySet().iterator().next());
        }
    }
}
