package mastdrift.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the first of many routes that matches a request, without a look at all of them.
 *
 * <p>A trie whose first two edges are class and tenant and whose others are the segments of the path prefix. A route that
 * names no class, or no tenant, goes by an edge for any, so a look-up has at most four active nodes (this class or any, with
 * this tenant or any), each on its way down the request's segments. The four are the tuples of tuple space search (Srinivasan,
 * Suri, Varghese, "Packet classification using tuple space search", SIGCOMM 1999); within each the path is a trie, in place
 * of one hash table for each length, since a trie ends where the request leaves the table: a path of a thousand slashes
 * costs no more than the longest prefix. A node knows the first route at or below it, so one is left as well where nothing
 * can come before what was found. Header and zone are not in the trie: it gives candidates, by node in their order, and
 * {@link Match#fits} decides on each, so that what a match means is said in one place.
 *
 * <p>Flat: one dictionary numbers the segments, edges are (node, segment) in one open-addressed table of longs, the
 * candidates of all nodes are one array; a map and a list for each node would be an object or more for every segment. A decision
 * tree over all fields would need fewer steps, but its size may grow with the square of the routes.
 *
 * <p>Cost: a look-up takes a substring and a look into the dictionary for each segment, four probes of the edges, and one
 * {@code fits} for each candidate that comes before the answer; routes that differ in header or zone alone are candidates of
 * one node and are gone through one by one, as in a list. To build takes time and memory in proportion to the segments of
 * all prefixes. Immutable; may be built on any thread and handed over. docs/measurements/tables.md has figures.
 */
final class RouteIndex {

    private static final int ROOT = 0;
    private static final int ANY = 0;
    private static final int ACTIVE_MOST = 4;

    private final List<Route> routes;
    private final Map<String, Integer> labels;
    private final long[] edges;
    private final int[] below;
    private final int[] lowest;
    private final int[] starts;
    private final int[] candidates;

    /** Routes in their order. */
    RouteIndex(List<Route> routes) {
        this.routes = routes;
        Builder builder = new Builder(routes);
        labels = builder.labels;
        lowest = Arrays.copyOf(builder.lowest, builder.nodes);
        int size = Integer.highestOneBit(builder.nodes) * 4;  // a quarter to a half of it is used
        edges = new long[size];
        below = new int[size];
        builder.children.forEach((edge, node) -> {
            int slot = slot(edge);
            edges[slot] = edge;
            below[slot] = node;
        });
        starts = new int[builder.nodes + 1];
        for (int node : builder.of) {
            starts[node + 1]++;
        }
        for (int i = 1; i < starts.length; i++) {
            starts[i] += starts[i - 1];
        }
        candidates = new int[routes.size()];
        int[] next = starts.clone();
        for (int order = 0; order < routes.size(); order++) {
            candidates[next[builder.of[order]]++] = order;
        }
    }

    /** The first route that matches, or null. */
    Route first(Traits request) {
        int[] active = new int[ACTIVE_MOST];
        int open = start(request, active);
        int best = routes.size();
        String path = request.path();
        for (int from = 0; open > 0; ) {
            for (int i = 0; i < open; i++) {
                best = candidate(active[i], request, best);
            }
            if (from >= path.length()) {
                break;  // an empty last segment leads to no node: a prefix that ends with / is at the node before it
            }
            int slash = path.indexOf('/', from);
            int to = slash < 0 ? path.length() : slash;
            open = step(active, open, labels.get(path.substring(from, to)), best);
            from = to + 1;
        }
        return best < routes.size() ? routes.get(best) : null;
    }

    /** Puts the nodes at which a request begins into {@code active}; returns how many they are. */
    private int start(Traits request, int[] active) {
        int open = 0;
        Integer className = request.className() == null ? null : labels.get(request.className());
        Integer tenant = request.tenant() == null ? null : labels.get(request.tenant());
        for (int of : new int[] {child(ROOT, ANY), className == null ? ROOT : child(ROOT, className)}) {
            if (of != ROOT) {
                open = add(active, open, child(of, ANY));
                open = tenant == null ? open : add(active, open, child(of, tenant));
            }
        }
        return open;
    }

    private static int add(int[] active, int open, int node) {
        if (node == ROOT) {
            return open;
        }
        active[open] = node;
        return open + 1;
    }

    /** Takes each active node on by a segment; those that end, or have nothing before {@code best}, leave. */
    private int step(int[] active, int open, Integer label, int best) {
        int still = 0;
        for (int i = 0; label != null && i < open; i++) {
            int node = child(active[i], label);
            if (node != ROOT && lowest[node] < best) {
                active[still++] = node;
            }
        }
        return still;
    }

    /** The order of the first candidate of a node that fits, if it comes before {@code best}; else that. */
    private int candidate(int node, Traits request, int best) {
        for (int i = starts[node]; i < starts[node + 1] && candidates[i] < best; i++) {
            if (routes.get(candidates[i]).match().fits(request)) {
                return candidates[i];
            }
        }
        return best;
    }

    /** The node at the end of an edge, {@link #ROOT} where there is none: no edge leads back to it. */
    private int child(int node, int label) {
        return below[slot(edge(node, label))];
    }

    private static long edge(int node, int label) {
        return (long) node << 32 | label;
    }

    /** Where an edge is, or would be. */
    private int slot(long edge) {
        int slot = (int) Hashing.mix(edge) & edges.length - 1;
        while (below[slot] != ROOT && edges[slot] != edge) {
            slot = slot + 1 & edges.length - 1;
        }
        return slot;
    }

    /** What grows while routes are added; dropped once it is packed. */
    private static final class Builder {

        private final Map<String, Integer> labels = new HashMap<>();
        private final Map<Long, Integer> children = new HashMap<>();
        private final int[] of;
        private int[] lowest = new int[64];
        private int nodes = 1;

        Builder(List<Route> routes) {
            of = new int[routes.size()];
            for (int order = 0; order < of.length; order++) {
                of[order] = node(routes.get(order).match(), order);
            }
        }

        /** The node that a route belongs to, with those on the way there. {@code /a} and {@code /a/} share one: both are met by
            paths whose first segments are these, and {@code fits} tells them apart. */
        private int node(Match match, int order) {
            int node = step(step(ROOT, match.className(), order), match.tenant(), order);
            String prefix = match.pathPrefix() == null ? "" : match.pathPrefix();
            int from = 0;
            for (int slash = prefix.indexOf('/'); slash >= 0; slash = prefix.indexOf('/', from)) {
                node = step(node, prefix.substring(from, slash), order);
                from = slash + 1;
            }
            return from == prefix.length() ? node : step(node, prefix.substring(from), order);
        }

        /** A null label is any. The route that makes a node is the first one at or below it. */
        private int step(int node, String text, int order) {
            int label = text == null ? ANY : labels.computeIfAbsent(text, t -> labels.size() + 1);
            return children.computeIfAbsent(edge(node, label), edge -> {
                if (nodes == lowest.length) {
                    lowest = Arrays.copyOf(lowest, 2 * nodes);
                }
                lowest[nodes] = order;
                return nodes++;
            });
        }
    }
}
