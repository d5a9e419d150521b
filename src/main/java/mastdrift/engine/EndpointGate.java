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
 * Which instances of a pool's servers may be sent to: the one owner of that question.
 *
 * <p>From the moment in which a drain or a removal is heard nothing new begins there, whatever is left of the grace that the rule
 * gives: the grace pays for the time in which the notification was on its way, stood unread, or the process was held up. So there
 * is no comparison with a clock that could be late.
 *
 * <p>An instance is a server's uid and start. Each has the version of the list that ended its service, and comes back only by a
 * newer one: an older list on a second call, or a registry that was set back, reopens nobody. Instances whose service has ended
 * are remembered up to a bound, the oldest forgotten first.
 *
 * <p>Pure: no clock, no I/O. Not safe for use by several threads.
 */
public final class EndpointGate {

    /** Ended instances that are remembered at the least; twice as many as are in service where that is more. */
    static final int ENDED_KEPT = 8_192;

    private record Instance(String uid, long startedAt) { }

    private final Map<String, Endpoint> inService = new HashMap<>();
    private final Transitions transitions = new Transitions();
    private final Map<Instance, Long> endedBy = new LinkedHashMap<>();
    private final BooleanSupplier listHolds;
    private long newest;

    /** A gate whose lists hold until the next one. */
    public EndpointGate() {
        this(() -> true);
    }

    /** {@code listHolds}: whether the list in force may be relied on by now. While it may not, nothing new begins anywhere: whose drain
        was told and not heard can't be known. */
    public EndpointGate(BooleanSupplier listHolds) {
        this.listHolds = listHolds;
    }

    /** The server's instance in service; null where there is none. */
    public Endpoint find(String uid) {
        return inService.get(uid);
    }

    /** The uids of all servers that have an instance in service. */
    public Set<String> uids() {
        return Set.copyOf(inService.keySet());
    }

    /** What has begun and ended its service since this was asked last, in words; empty for nothing. */
    public String takeTransitions() {
        return transitions.take();
    }

    /** A version newer than any so far, for sources that have none of their own. */
    public long nextVersion() {
        return newest + 1;
    }

    /**
     * Puts a list in force.
     *
     * @param version the list's version
     * @param whole whether it is the whole list, so that whom it doesn't name is gone; or those that changed
     * @param entries each server once
     * @return the entries as they are in force: an instance that may not come back is draining, and what is said of an older
     *     start than the one in service is left out
     */
    public List<Member> take(long version, boolean whole, List<Member> entries) {
        newest = Math.max(newest, version);
        List<Member> inForce = new ArrayList<>(entries.size());
        Set<String> named = new HashSet<>();
        for (Member entry : entries) {
            named.add(entry.host().address());
            if (entry.host().health() != Health.UP) {
                end(entry.host(), version, entry.host().health() == Health.GONE ? Transitions.Cause.REMOVED : Transitions.Cause.DRAINING);
                inForce.add(entry);
            } else if (isOutdated(version, entry.host())) {
                continue;
            } else if (open(version, entry)) {
                inForce.add(entry);
            } else {
                inForce.add(with(Health.LEAVING, entry.host(), entry.at()));
            }
        }
        if (whole) {
            List.copyOf(inService.values()).stream().filter(endpoint -> !named.contains(endpoint.uid()))
                    .forEach(endpoint -> end(endpoint, version, Transitions.Cause.LEFT_OUT));
        }
        return inForce;
    }

    /**
     * Takes from a list that is not put in force what is certain in it: who drains, and who is gone. One too many costs capacity
     * until the next list, and a list of the same version that is put in force brings it back.
     *
     * @param version the list's version, possibly older than the one in force
     * @param named every server that the list names, in whatever state, where it is whole; null where it is not
     * @param leaving the entries that are draining or removed
     * @return whom this takes out of service, as changes
     */
    public List<Member> withdraw(long version, Set<String> named, List<Member> leaving) {
        List<Member> changes = new ArrayList<>();
        for (Member entry : leaving) {
            Endpoint known = inService.get(entry.host().address());
            if (known != null && entry.host().born() >= known.startedAt()) {
                end(known, version - 1, Transitions.Cause.DRAINING);
                changes.add(with(entry.host().health(), known.host(), known.address()));
            }
            remember(new Instance(entry.host().address(), entry.host().born()), version - 1);
        }
        if (named != null) {
            for (Endpoint endpoint : List.copyOf(inService.values())) {
                if (!named.contains(endpoint.uid()) && endpoint.openedBy() <= version) {
                    end(endpoint, version - 1, Transitions.Cause.LEFT_OUT);
                    changes.add(with(Health.LEAVING, endpoint.host(), endpoint.address()));
                }
            }
        }
        return changes;
    }

    private static Member with(Health health, Host host, InetSocketAddress at) {
        return new Member(new Host(host.address(), host.zone(), host.cell(), host.kind(), host.weight(), health, host.born()), at);
    }

    /** Whether it tells of an earlier start than the one in service, in a list no newer than the one that told of that. */
    private boolean isOutdated(long version, Host host) {
        Endpoint known = inService.get(host.address());
        return known != null && host.born() < known.startedAt() && version <= known.openedBy();
    }

    private boolean open(long version, Member entry) {
        Host host = entry.host();
        Instance instance = new Instance(host.address(), host.born());
        if (endedBy.getOrDefault(instance, Long.MIN_VALUE) >= version) {
            return false;
        }
        Endpoint known = inService.get(host.address());
        boolean same = known != null && known.startedAt() == host.born() && (entry.at() == null || entry.at().equals(known.address()));
        if (!same) {
            if (known != null) {
                known.endService();
                transitions.ended(known.uid(), Transitions.Cause.REPLACED);
            }
            endedBy.remove(instance);
            inService.put(host.address(), new Endpoint(entry, version, listHolds));
            transitions.began(host.address());
        } else {
            known.describe(host);
        }
        return true;
    }

    private void end(Host host, long version, Transitions.Cause cause) {
        Endpoint known = inService.get(host.address());
        if (known != null) {
            end(known, version, cause);
        }
        remember(new Instance(host.address(), host.born()), version);
    }

    private void end(Endpoint endpoint, long version, Transitions.Cause cause) {
        transitions.ended(endpoint.uid(), cause);
        endpoint.endService();
        inService.remove(endpoint.uid());
        remember(new Instance(endpoint.uid(), endpoint.startedAt()), version);
    }

    private void remember(Instance instance, long version) {
        Long before = endedBy.remove(instance);
        endedBy.put(instance, before == null ? version : Math.max(before, version));
        int most = Math.max(ENDED_KEPT, 2 * inService.size());
        while (endedBy.size() > most) {
            endedBy.remove(endedBy.keySet().iterator().next());
        }
    }
}
