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
    public static final int GONE_MOST = 20_000;
    private static final String FILES = "files";

    /** What one source last reported of one pool. */
    private static final class Said {
        private final Map<String, Node> nodes = new LinkedHashMap<>();
        private final LinkedHashSet<String> gone = new LinkedHashSet<>();
        private boolean silent;
    }

    /** What is known of a uid during a merge, before it becomes a host. */
    private static final class Merged {
        private String endpoint;
        private String zone;
        private Integer cell;
        private String kind;
        private Double weight;
        private Health state = Health.UP;
        private long born;
        private final StringBuilder says = new StringBuilder();
    }

    /**
     * The nodes that the files list for one pool, and its settings.
     * @param nodes its nodes
     * @param fallSpanMicros how long a cold host that comes from another pool is held back, microseconds
     * @param warmWithinMicros the time after its start within which a host counts as cold, microseconds
     */
    public record Filed(Collection<Node> nodes, long fallSpan, long warmWithin) { }

    private Map<String, Filed> filed = Map.of();
    private final Map<String, Map<String, Said>> pools = new TreeMap<>();
    private Map<String, PoolList> lists = new TreeMap<>();
    private final Map<String, Long> heldUntil = new HashMap<>();

    /** A copy for previews. */
    private Membership copy() {
        Membership copy = new Membership();
        pools.forEach((pool, sources) -> sources.forEach((source, said) -> {
            Said to = copy.said(pool, source);
            to.nodes.putAll(said.nodes);
            to.gone.addAll(said.gone);
            to.silent = said.silent;
        }));
        copy.lists = new TreeMap<>(lists);
        copy.heldUntil.putAll(heldUntil);
        return copy;
    }

    /** The current lists, by pool. */
    public Map<String, PoolList> lists() {
        return lists;
    }

    /** The lists that this set of files would give; changes nothing. */
    public Map<String, PoolList> preview(long now, Map<String, Filed> byPool) {
        Membership copy = copy();
        copy.files(now, byPool);
        return copy.lists;
    }

    /** Applies a complete set of files, with exactly these pools; returns the lists that changed. */
    public Map<String, PoolList> files(long now, Map<String, Filed> byPool) {
        filed = byPool;
        pools.keySet().retainAll(byPool.keySet());
        byPool.forEach((pool, given) -> {
            Said said = said(pool, FILES);
            said.nodes.clear();
            given.nodes().forEach(node -> said.nodes.put(node.uid(), node));
        });
        return merge(now);
    }

    /**
     * Applies the nodes that a source other than the files reports for a pool, all of them ({@code full}) or those that
     * changed; returns the lists that changed. Reports for a pool that does not exist are ignored.
     */
    public Map<String, PoolList> told(long now, String pool, String source, boolean all, Collection<Node> nodes) {
        if (!pools.containsKey(pool)) {
            return Map.of();
        }
        Said said = said(pool, source);
        said.silent = false;
        if (all) {
            Set<String> named = new HashSet<>();
            nodes.forEach(node -> named.add(node.uid()));
            said.nodes.keySet().stream().filter(uid -> !named.contains(uid)).forEach(said.gone::add);
            said.nodes.clear();
        }
        for (Node node : nodes) {
            if (node.state() == Health.GONE) {
                said.nodes.remove(node.uid());
                said.gone.add(node.uid());
            } else {
                said.nodes.put(node.uid(), node);
                said.gone.remove(node.uid());
            }
        }
        for (Iterator<String> eldest = said.gone.iterator(); said.gone.size() > GONE_MOST; ) {
            eldest.next();
            eldest.remove();
        }
        return merge(now);
    }

    /** A source no longer reports: its last report is kept, marked old. */
    public void silent(String pool, String source) {
        if (pools.containsKey(pool)) {
            said(pool, source).silent = true;
        }
    }

    /** When {@link #releaseHeld} has something to do, in microseconds; Long.MAX_VALUE for never. */
    public long dueAt() {
        return heldUntil.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }

    /** Releases hosts whose holding time is over; returns the lists that changed. */
    public Map<String, PoolList> due(long now) {
        return merge(now);
    }

    private Said said(String pool, String source) {
        return pools.computeIfAbsent(pool, p -> new LinkedHashMap<>()).computeIfAbsent(source, s -> new Said());
    }

    // ---- merging

    private Map<String, PoolList> merge(long now) {
        heldUntil.values().removeIf(until -> until <= now);
        Map<String, String> before = new HashMap<>();
        lists.values().forEach(list -> list.hosts().forEach(host -> before.put(host.host().address(), list.pool())));
        Map<String, String> owners = owners();
        Map<String, String> endpoints = new HashMap<>();
        Map<String, PoolList> next = new TreeMap<>();
        Map<String, PoolList> changed = new TreeMap<>();
        pools.keySet().forEach(pool -> {
            PoolList list = list(now, pool, owners, endpoints, before);
            next.put(pool, list);
            if (!list.equals(lists.get(pool))) {
                changed.put(pool, list);
            }
        });
        lists = next;
        return changed;
    }

    /**
     * The pool that each uid belongs to: a pool whose files name it before those of other sources, in the order of the
     * pools.
     */
    private Map<String, String> owners() {
        Map<String, String> owners = new HashMap<>();
        pools.forEach((pool, sources) -> {
            if (sources.containsKey(FILES)) {
                sources.get(FILES).nodes.keySet().forEach(uid -> owners.putIfAbsent(uid, pool));
            }
        });
        pools.forEach((pool, sources) -> sources.forEach((source, said) ->
                said.nodes.keySet().forEach(uid -> owners.putIfAbsent(uid, pool))));
        return owners;
    }

    private PoolList list(long now, String pool, Map<String, String> owners, Map<String, String> endpoints,
            Map<String, String> before) {
        List<String> leftOut = new ArrayList<>();
        Map<String, Merged> merged = new TreeMap<>();
        pools.get(pool).forEach((source, said) -> {
            said.nodes.values().forEach(node -> {
                if (pool.equals(owners.get(node.uid()))) {
                    add(merged.computeIfAbsent(node.uid(), uid -> new Merged()), source, said, node);
                } else {
                    leftOut.add(node.uid() + " of " + source + ": it belongs to pool " + owners.get(node.uid()));
                }
            });
        });
        pools.get(pool).forEach((source, said) -> merged.forEach((uid, host) -> {
            if (said.gone.contains(uid)) {
                host.state = Health.GONE;
                host.says.append(", ").append(source).append(": gone");
            }
        }));
        double largest = merged.values().stream().mapToDouble(host -> host.weight == null ? 1 : host.weight).max().orElse(1);
        List<Listed> hosts = new ArrayList<>(merged.size());
        merged.forEach((uid, host) -> {
            if (host.endpoint == null) {
                leftOut.add(uid + " of files: no source gives an endpoint");
            } else if (host.state != Health.GONE) {
                String other = endpoints.putIfAbsent(host.endpoint, uid);
                if (other != null) {
                    leftOut.add(uid + ": its endpoint " + host.endpoint + " is that of " + other);
                } else {
                    hosts.add(listed(now, pool, uid, host, largest, before.get(uid)));
                }
            }
        });
        return new PoolList(pool, List.copyOf(hosts), List.copyOf(leftOut));
    }

    private static void add(Merged host, String source, Said said, Node node) {
        host.endpoint = host.endpoint == null ? node.endpoint() : host.endpoint;
        host.zone = host.zone == null ? node.zone() : host.zone;
        host.cell = host.cell == null ? node.cell() : host.cell;
        host.kind = host.kind == null ? node.kind() : host.kind;
        host.weight = host.weight == null ? node.weight() : host.weight;
        host.born = Math.max(host.born, node.born());
        Health state = node.takesNew() || node.state() == Health.GONE ? node.state() : Health.LEAVING;
        host.state = state.compareTo(host.state) > 0 ? state : host.state;
        host.says.append(host.says.length() == 0 ? "" : ", ").append(source).append(": ")
                .append(state == Health.UP ? "up" : state == Health.GONE ? "gone" : "leaving")
                .append(node.weight() != null && node.weight() == 0 ? " (weight 0)" : "")
                .append(said.silent ? " (old)" : "");
    }

    private Listed listed(long now, String pool, String uid, Merged host, double largest, String poolBefore) {
        boolean cold = host.born > 0 && now - host.born < filed.get(pool).warmWithin();
        if (cold && poolBefore != null && !poolBefore.equals(pool)) {
            heldUntil.put(uid, now + filed.get(pool).fallSpan());
        }
        boolean held = heldUntil.containsKey(uid);
        Health state = held && host.state == Health.UP ? Health.LEAVING : host.state;
        double weight = (host.weight == null ? 1 : host.weight) / (largest > 0 ? largest : 1);
        String says = host.says + (held ? ", held: it came cold from another pool" : "");
        return new Listed(new Host(uid, host.zone == null ? "" : host.zone, host.cell == null ? 0 : host.cell,
                host.kind == null ? "" : host.kind, weight, state, host.born), host.endpoint, says);
    }
}
