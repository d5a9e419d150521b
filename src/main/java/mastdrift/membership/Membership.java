package mastdrift.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;

/**
 * Merges the nodes that several sources report into one list per pool. No I/O and no clock: events are passed in with
 * {@code now} (microseconds), and lists come out.
 * <ul>
 * <li>Nodes are identified by uid. A source that reports a node as leaving or gone always wins; a weight of 0 means
 * leaving.
 * <li>Where sources differ in zone, kind, cell, endpoint or weight the files win; of start times the latest wins.
 * <li>If discovery has named a uid and no longer does, the node is gone until it is named again. Files that no longer
 * name a uid say nothing about it.
 * <li>A uid and an endpoint belong to one pool: to the one whose files name it, else to the first that has it. Other
 * pools omit it and report the omission.
 * <li>A host that changes pools while it is cold is held back for a fall span: what the old pool sent to it within that
 * span is known only to that pool's decision module, and the slow start budgets of both modules together would overload
 * it.
 * </ul>
 */
public final class Membership {

    /** Bounds the removed uids that are remembered per pool and source; beyond it the oldest is forgotten. */
    public static final int MAX_GONE_UIDS = 20_000;
    private static final String FILE_SOURCE = "files";

    /** What one source last reported of one pool. */
    private static final class SourceState {
        private final Map<String, Node> nodes = new LinkedHashMap<>();
        private final LinkedHashSet<String> goneUids = new LinkedHashSet<>();
        private boolean stale;
    }

    /** What is known of a uid during a merge, before it becomes a host. */
    private static final class MergedNode {
        private String endpoint;
        private String zone;
        private Integer cell;
        private String kind;
        private Double weight;
        private Health state = Health.UP;
        private long born;
        private final StringBuilder explanation = new StringBuilder();
    }

    /**
     * The nodes that the files list for one pool, and its settings.
     * @param nodes its nodes
     * @param fallSpanMicros how long a cold host that comes from another pool is held back, microseconds
     * @param warmWithinMicros the time after its start within which a host counts as cold, microseconds
     */
    public record ConfiguredPool(Collection<Node> nodes, long fallSpanMicros, long warmWithinMicros) { }

    private Map<String, ConfiguredPool> configuredPools = Map.of();
    private final Map<String, Map<String, SourceState>> sourcesByPool = new TreeMap<>();
    private Map<String, PoolList> listsByPool = new TreeMap<>();
    private final Map<String, Long> heldUntilByUid = new HashMap<>();

    /** A copy for previews. */
    private Membership copy() {
        Membership copy = new Membership();
        sourcesByPool.forEach((pool, sources) -> sources.forEach((source, state) -> {
            SourceState copiedState = copy.stateOf(pool, source);
            copiedState.nodes.putAll(state.nodes);
            copiedState.goneUids.addAll(state.goneUids);
            copiedState.stale = state.stale;
        }));
        copy.listsByPool = new TreeMap<>(listsByPool);
        copy.heldUntilByUid.putAll(heldUntilByUid);
        return copy;
    }

    /** The current lists, by pool. */
    public Map<String, PoolList> lists() {
        return listsByPool;
    }

    /** The lists that this set of files would give; changes nothing. */
    public Map<String, PoolList> preview(long now, Map<String, ConfiguredPool> byPool) {
        Membership copy = copy();
        copy.applyFiles(now, byPool);
        return copy.listsByPool;
    }

    /** Applies a complete set of files, with exactly these pools; returns the lists that changed. */
    public Map<String, PoolList> applyFiles(long now, Map<String, ConfiguredPool> byPool) {
        configuredPools = byPool;
        sourcesByPool.keySet().retainAll(byPool.keySet());
        byPool.forEach((pool, configured) -> {
            SourceState state = stateOf(pool, FILE_SOURCE);
            state.nodes.clear();
            configured.nodes().forEach(node -> state.nodes.put(node.uid(), node));
        });
        return merge(now);
    }

    /**
     * Applies the nodes that a source other than the files reports for a pool, all of them ({@code full}) or those that
     * changed; returns the lists that changed. Reports for a pool that does not exist are ignored.
     */
    public Map<String, PoolList> applyReport(long now, String pool, String source, boolean full,
            Collection<Node> nodes) {
        if (!sourcesByPool.containsKey(pool)) {
            return Map.of();
        }
        SourceState sourceState = stateOf(pool, source);
        sourceState.stale = false;
        if (full) {
            Set<String> namedUids = new HashSet<>();
            nodes.forEach(node -> namedUids.add(node.uid()));
            sourceState.nodes.keySet().stream().filter(uid -> !namedUids.contains(uid))
                    .forEach(sourceState.goneUids::add);
            sourceState.nodes.clear();
        }
        for (Node node : nodes) {
            if (node.state() == Health.GONE) {
                sourceState.nodes.remove(node.uid());
                sourceState.goneUids.add(node.uid());
            } else {
                sourceState.nodes.put(node.uid(), node);
                sourceState.goneUids.remove(node.uid());
            }
        }
        for (Iterator<String> oldest = sourceState.goneUids.iterator(); sourceState.goneUids.size() > MAX_GONE_UIDS; ) {
            oldest.next();
            oldest.remove();
        }
        return merge(now);
    }

    /** A source no longer reports: its last report is kept, marked old. */
    public void markStale(String pool, String source) {
        if (sourcesByPool.containsKey(pool)) {
            stateOf(pool, source).stale = true;
        }
    }

    /** When {@link #releaseHeld} has something to do, in microseconds; Long.MAX_VALUE for never. */
    public long nextReleaseAt() {
        return heldUntilByUid.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }

    /** Releases hosts whose holding time is over; returns the lists that changed. */
    public Map<String, PoolList> releaseHeld(long now) {
        return merge(now);
    }

    private SourceState stateOf(String pool, String source) {
        return sourcesByPool.computeIfAbsent(pool, p -> new LinkedHashMap<>())
                .computeIfAbsent(source, s -> new SourceState());
    }

    // ---- merging

    private Map<String, PoolList> merge(long now) {
        heldUntilByUid.values().removeIf(until -> until <= now);
        Map<String, String> previousPools = new HashMap<>();
        listsByPool.values().forEach(list -> list.hosts().forEach(host ->
                previousPools.put(host.host().address(), list.pool())));
        Map<String, String> owners = poolsByUid();
        Map<String, String> uidByEndpoint = new HashMap<>();
        Map<String, PoolList> mergedLists = new TreeMap<>();
        Map<String, PoolList> changed = new TreeMap<>();
        sourcesByPool.keySet().forEach(pool -> {
            PoolList list = mergePool(now, pool, owners, uidByEndpoint, previousPools);
            mergedLists.put(pool, list);
            if (!list.equals(listsByPool.get(pool))) {
                changed.put(pool, list);
            }
        });
        listsByPool = mergedLists;
        return changed;
    }

    /**
     * The pool that each uid belongs to: a pool whose files name it before those of other sources, in the order of the
     * pools.
     */
    private Map<String, String> poolsByUid() {
        Map<String, String> owners = new HashMap<>();
        sourcesByPool.forEach((pool, sources) -> {
            if (sources.containsKey(FILE_SOURCE)) {
                sources.get(FILE_SOURCE).nodes.keySet().forEach(uid -> owners.putIfAbsent(uid, pool));
            }
        });
        sourcesByPool.forEach((pool, sources) -> sources.forEach((source, state) ->
                state.nodes.keySet().forEach(uid -> owners.putIfAbsent(uid, pool))));
        return owners;
    }

    private PoolList mergePool(long now, String pool, Map<String, String> owners, Map<String, String> uidByEndpoint,
            Map<String, String> previousPools) {
        List<String> omissions = new ArrayList<>();
        Map<String, MergedNode> merged = new TreeMap<>();
        sourcesByPool.get(pool).forEach((source, state) -> {
            state.nodes.values().forEach(node -> {
                if (pool.equals(owners.get(node.uid()))) {
                    mergeNode(merged.computeIfAbsent(node.uid(), uid -> new MergedNode()), source, state, node);
                } else {
                    omissions.add(node.uid() + " of " + source + ": it belongs to pool " + owners.get(node.uid()));
                }
            });
        });
        sourcesByPool.get(pool).forEach((source, state) -> merged.forEach((uid, host) -> {
            if (state.goneUids.contains(uid)) {
                host.state = Health.GONE;
                host.explanation.append(", ").append(source).append(": gone");
            }
        }));
        double largestWeight = merged.values().stream().mapToDouble(host -> host.weight == null ? 1 : host.weight).max()
                .orElse(1);
        List<ListedHost> hosts = new ArrayList<>(merged.size());
        merged.forEach((uid, host) -> {
            if (host.endpoint == null) {
                omissions.add(uid + " of files: no source gives an endpoint");
            } else if (host.state != Health.GONE) {
                String otherUid = uidByEndpoint.putIfAbsent(host.endpoint, uid);
                if (otherUid != null) {
                    omissions.add(uid + ": its endpoint " + host.endpoint + " is that of " + otherUid);
                } else {
                    hosts.add(toListedHost(now, pool, uid, host, largestWeight, previousPools.get(uid)));
                }
            }
        });
        return new PoolList(pool, List.copyOf(hosts), List.copyOf(omissions));
    }

    private static void mergeNode(MergedNode merged, String source, SourceState sourceState, Node node) {
        merged.endpoint = merged.endpoint == null ? node.endpoint() : merged.endpoint;
        merged.zone = merged.zone == null ? node.zone() : merged.zone;
        merged.cell = merged.cell == null ? node.cell() : merged.cell;
        merged.kind = merged.kind == null ? node.kind() : merged.kind;
        merged.weight = merged.weight == null ? node.weight() : merged.weight;
        merged.born = Math.max(merged.born, node.born());
        Health nodeState = node.acceptsNewRequests() || node.state() == Health.GONE ? node.state() : Health.LEAVING;
        merged.state = nodeState.compareTo(merged.state) > 0 ? nodeState : merged.state;
        merged.explanation.append(merged.explanation.length() == 0 ? "" : ", ").append(source).append(": ")
                .append(nodeState == Health.UP ? "up" : nodeState == Health.GONE ? "gone" : "leaving")
                .append(node.weight() != null && node.weight() == 0 ? " (weight 0)" : "")
                .append(sourceState.stale ? " (old)" : "");
    }

    private ListedHost toListedHost(long now, String pool, String uid, MergedNode merged, double largestWeight,
            String previousPool) {
        boolean cold = merged.born > 0 && now - merged.born < configuredPools.get(pool).warmWithinMicros();
        if (cold && previousPool != null && !previousPool.equals(pool)) {
            heldUntilByUid.put(uid, now + configuredPools.get(pool).fallSpanMicros());
        }
        boolean held = heldUntilByUid.containsKey(uid);
        Health state = held && merged.state == Health.UP ? Health.LEAVING : merged.state;
        double weight = (merged.weight == null ? 1 : merged.weight) / (largestWeight > 0 ? largestWeight : 1);
        String explanation = merged.explanation + (held ? ", held: it came cold from another pool" : "");
        return new ListedHost(new Host(uid, merged.zone == null ? "" : merged.zone, merged.cell == null ? 0
                : merged.cell,
                merged.kind == null ? "" : merged.kind, weight, state, merged.born), merged.endpoint, explanation);
    }
}
