package mastdrift.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Finds the first of many routes that matches a request, without a look at all of them. Immutable: another route makes another index that shares with this one all but its own way.
 *
 * <p>A trie whose first two edges are class and tenant and whose others are the segments of the path prefix. A route that names no class, or no tenant, goes by an edge for any, so a look-up has at most four
 * active nodes (this class or any, with this tenant or any), each on its way down the request's segments. The four are the tuples of tuple space search (Srinivasan, Suri, Varghese, "Packet classification using
 * tuple space search", SIGCOMM 1999); within each the path is a trie, in place of one hash table for each length, since a trie ends where the request leaves the table: a path of a thousand slashes costs no more
 * than the longest prefix. A node knows the first route at or below it, so one is left as well where nothing can come before what was found. Header and zone are not in the trie: it gives candidates, by node in
 * their order, and {@link Match#fits} decides on each, so that what a match means is said in one place.
 *
 * <p>The edges of a node are a hash array mapped trie (Bagwell, "Ideal hash trees", 2001) of 32 branches, whose parts know the first route below them, too. A change copies the path to what it touches: some six
 * nodes, and for each one to three arrays of at most 32 references. Flat tables of numbered nodes are smaller and have to be made anew for each change, 28,000 routes in a tenth of a second.
 *
 * <p>Cost: a look-up takes a substring for each segment, four looks into edges, and one {@code fits} for each candidate that comes before the answer; routes that differ in header or zone alone are candidates of
 * one node and are gone through one by one, as in a list, and copied when one of them changes. May be built on any thread and handed over. docs/measurements/tables.md has figures.
 */
final class RouteIndex {

    private static final int ACTIVE_MOST = 4;
    private static final int BITS = 5;
    private static final int HASH_BITS = 32;
    private static final OrderedRoute[] NONE = {};

    /** Of no routes. */
    static final RouteIndex EMPTY = new RouteIndex(new Node(null, NONE, null));

    /** Where a trie branches. {@code edges} is nothing, the one {@link Node} that there is, or a {@link Branch}. */
    private static final class Node {

        private final String label;  // of the edge to it; null for any
        private final OrderedRoute[] candidates;
        private final Object edges;
        private final OrderedRoute first;  // at or below it; null at an empty root alone

        Node(String label, OrderedRoute[] candidates, Object edges) {
            this.label = label;
            this.candidates = candidates;
            this.edges = edges;
            first = earlier(candidates.length == 0 ? null : candidates[0], edges == null ? null : first(edges));
        }
    }

    /** Of a map of edges: what is below it by five bits of their labels' hashes; all that there are where no bits are left. */
    private static final class Branch {

        private final int bits;
        private final Object[] below;  // nodes and branches
        private final OrderedRoute first;

        Branch(int bits, Object[] below) {
            this.bits = bits;
            this.below = below;
            OrderedRoute least = null;
            for (Object each : below) {
                least = earlier(least, first(each));
            }
            first = least;
        }
    }

    private final Node root;

    private RouteIndex(Node root) {
        this.root = root;
    }

    private static OrderedRoute first(Object edges) {
        return edges instanceof Branch branch ? branch.first : ((Node) edges).first;
    }

    private static OrderedRoute earlier(OrderedRoute one, OrderedRoute other) {
        return one == null || other != null && OrderedRoute.compare(other, one) < 0 ? other : one;
    }

    // ---- look-ups

    /** The first route that matches, or null. */
    Route first(RouteCriteria request) {
        Node[] active = new Node[ACTIVE_MOST];
        int open = start(request, active);
        OrderedRoute best = null;
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
            open = step(active, open, path.substring(from, to), best);
            from = to + 1;
        }
        return best == null ? null : best.route();
    }

    /** Puts the nodes at which a request begins into {@code active}; returns how many they are. */
    private int start(RouteCriteria request, Node[] active) {
        int open = 0;
        for (Node of : new Node[] {child(root, null), request.className() == null ? null : child(root, request.className())}) {
            if (of != null) {
                open = add(active, open, child(of, null));
                open = request.tenant() == null ? open : add(active, open, child(of, request.tenant()));
            }
        }
        return open;
    }

    private static int add(Node[] active, int open, Node node) {
        if (node == null) {
            return open;
        }
        active[open] = node;
        return open + 1;
    }

    /** Takes each active node on by a segment; those that end, or have nothing before {@code best}, leave. */
    private static int step(Node[] active, int open, String segment, OrderedRoute best) {
        int still = 0;
        int hash = hash(segment);
        for (int i = 0; i < open; i++) {
            Node node = child(active[i].edges, segment, hash);
            if (node != null && (best == null || OrderedRoute.compare(node.first, best) < 0)) {
                active[still++] = node;
            }
        }
        return still;
    }

    /** The first candidate of a node that fits, if it comes before {@code best}; else that. */
    private static OrderedRoute candidate(Node node, RouteCriteria request, OrderedRoute best) {
        for (OrderedRoute each : node.candidates) {
            if (best != null && OrderedRoute.compare(each, best) >= 0) {
                return best;
            }
            if (each.route().match().fits(request)) {
                return each;
            }
        }
        return best;
    }

    // ---- edges

    private static Node child(Node node, String label) {
        return child(node.edges, label, hash(label));
    }

    /** The node at the end of an edge; null where there is none. */
    private static Node child(Object edges, String label, int hash) {
        Object at = edges;
        for (int shift = 0; at instanceof Branch branch; shift += BITS) {
            if (shift >= HASH_BITS) {
                int alike = alike(branch, label);
                return alike < 0 ? null : (Node) branch.below[alike];
            }
            int bit = bit(hash, shift);
            if ((branch.bits & bit) == 0) {
                return null;
            }
            at = branch.below[slot(branch, bit)];
        }
        return at != null && same(((Node) at).label, label) ? (Node) at : null;
    }

    /** Spread, so that labels that differ in few characters differ in the lowest bits (the end of MurmurHash3); two are alike where the strings' are. */
    private static int hash(String label) {
        int hash = label == null ? 0 : label.hashCode();
        hash = (hash ^ hash >>> 16) * 0x85ebca6b;
        hash = (hash ^ hash >>> 13) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }

    private static boolean same(String one, String other) {
        return one == null ? other == null : one.equals(other);
    }

    private static int bit(int hash, int shift) {
        return 1 << (hash >>> shift & (1 << BITS) - 1);
    }

    private static int slot(Branch branch, int bit) {
        return Integer.bitCount(branch.bits & bit - 1);
    }

    /** Where a label is among those with one hash; -1 for nowhere. */
    private static int alike(Branch branch, String label) {
        int at = branch.below.length - 1;
        while (at >= 0 && !same(((Node) branch.below[at]).label, label)) {
            at--;
        }
        return at;
    }

    /** Edges with this node's among them, in place of one with its label. */
    private static Object with(Object edges, Node node, int hash, int shift) {
        if (edges == null) {
            return node;
        }
        if (edges instanceof Node other) {
            return same(other.label, node.label) ? node : both(other, node, hash, shift);
        }
        Branch branch = (Branch) edges;
        if (shift >= HASH_BITS) {
            int alike = alike(branch, node.label);
            return new Branch(0, alike < 0 ? inserted(branch.below, branch.below.length, node) : replaced(branch.below, alike, node));
        }
        int bit = bit(hash, shift);
        int slot = slot(branch, bit);
        return (branch.bits & bit) == 0 ? new Branch(branch.bits | bit, inserted(branch.below, slot, node))
                : new Branch(branch.bits, replaced(branch.below, slot, with(branch.below[slot], node, hash, shift + BITS)));
    }

    private static Branch both(Node one, Node other, int otherHash, int shift) {
        if (shift >= HASH_BITS) {
            return new Branch(0, new Object[] {one, other});
        }
        int oneBit = bit(hash(one.label), shift);
        int otherBit = bit(otherHash, shift);
        if (oneBit == otherBit) {
            return new Branch(oneBit, new Object[] {both(one, other, otherHash, shift + BITS)});
        }
        boolean inOrder = Integer.compareUnsigned(oneBit, otherBit) < 0;
        return new Branch(oneBit | otherBit, inOrder ? new Object[] {one, other} : new Object[] {other, one});
    }

    /** Edges without that of a label, which is there; null for none left. */
    private static Object without(Object edges, String label, int hash, int shift) {
        if (!(edges instanceof Branch branch)) {
            return null;
        }
        boolean spent = shift >= HASH_BITS;
        int bit = spent ? 0 : bit(hash, shift);
        int slot = spent ? alike(branch, label) : slot(branch, bit);
        Object left = spent ? null : without(branch.below[slot], label, hash, shift + BITS);
        Object[] below = left == null ? removed(branch.below, slot) : replaced(branch.below, slot, left);
        if (below.length == 0) {
            return null;
        }
        return below.length == 1 && below[0] instanceof Node ? below[0] : new Branch(left == null ? branch.bits & ~bit : branch.bits, below);
    }

    private static <T> T[] inserted(T[] all, int at, T one) {
        T[] longer = Arrays.copyOf(all, all.length + 1);
        System.arraycopy(all, at, longer, at + 1, all.length - at);
        longer[at] = one;
        return longer;
    }

    private static <T> T[] replaced(T[] all, int at, T one) {
        T[] next = all.clone();
        next[at] = one;
        return next;
    }

    private static <T> T[] removed(T[] all, int at) {
        T[] shorter = Arrays.copyOf(all, all.length - 1);
        System.arraycopy(all, at + 1, shorter, at, shorter.length - at);
        return shorter;
    }

    // ---- changes

    /** With one more route. Throws IllegalArgumentException where one has its place already. */
    RouteIndex with(OrderedRoute route) {
        return changed(route.route().match(), route, true);
    }

    /** Without a route. Throws IllegalArgumentException where it isn't there. */
    RouteIndex without(OrderedRoute route) {
        return changed(route.route().match(), route, false);
    }

    /** From the root down along the labels, and back up with a copy of each node; a loop, since a prefix may have as many segments as characters. */
    private RouteIndex changed(Match match, OrderedRoute route, boolean come) {
        List<String> labels = labels(match);
        Node[] way = new Node[labels.size() + 1];
        way[0] = root;
        for (int i = 0; i < labels.size() && way[i] != null; i++) {
            way[i + 1] = child(way[i], labels.get(i));
        }
        Node old = way[labels.size()];
        OrderedRoute[] there = old == null ? NONE : old.candidates;
        int at = Arrays.binarySearch(there, route, OrderedRoute::compare);
        if (come == at >= 0) {
            throw new IllegalArgumentException("route " + route.route().name() + ": expected " + (come ? "a place of its own" : "it in its place") + ", found " + (come ? "another there" : "none"));
        }
        OrderedRoute[] candidates = come ? inserted(there, -at - 1, route) : removed(there, at);
        Object edges = old == null ? null : old.edges;
        for (int i = labels.size() - 1; i >= 0; i--) {
            String label = labels.get(i);
            Node above = way[i];
            Node below = candidates.length == 0 && edges == null ? null : new Node(label, candidates, edges);
            candidates = above == null ? NONE : above.candidates;
            edges = above == null ? null : above.edges;
            edges = below == null ? without(edges, label, hash(label), 0) : with(edges, below, hash(label), 0);
        }
        return new RouteIndex(new Node(null, candidates, edges));
    }

    /** The way to the node that a route belongs to. {@code /a} and {@code /a/} share one: both are met by paths whose first segments are these, and {@code fits} tells them apart. */
    private static List<String> labels(Match match) {
        List<String> labels = new ArrayList<>();
        labels.add(match.className());
        labels.add(match.tenant());
        String prefix = match.pathPrefix() == null ? "" : match.pathPrefix();
        int from = 0;
        for (int slash = prefix.indexOf('/'); slash >= 0; slash = prefix.indexOf('/', from)) {
            labels.add(prefix.substring(from, slash));
            from = slash + 1;
        }
        if (from < prefix.length()) {
            labels.add(prefix.substring(from));
        }
        return labels;
    }
}
