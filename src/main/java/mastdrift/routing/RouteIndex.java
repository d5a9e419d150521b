package mastdrift.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Finds the first of many routes that matches a request without testing all of them. Immutable and persistent: adding
 * or removing a route returns a new index that shares all nodes with this one but those on the route's path.
 *
 * <p>A trie whose first two levels are class and tenant and whose further levels are the segments of the path prefix. A
 * route that names no class, or no tenant, is stored under a wildcard edge, so a look-up has at most four active nodes
 * (this class or any, each with this tenant or any), each of which descends along the request's path segments. The four
 * correspond to the tuples of tuple space search (Srinivasan, Suri, Varghese, "Packet classification using tuple space
 * search", SIGCOMM 1999). Within each tuple the path is a trie rather than one hash table per prefix length, since a
 * trie walk ends where the request leaves the table: a path of a thousand slashes costs no more than the longest
 * prefix. Each node knows the first route in its subtree, so a subtree that cannot improve on the best match so far is
 * abandoned. Headers and zones are not in the trie: the trie yields candidates, sorted within each node, and
 * {@link Match#matches} decides on each, so that the meaning of a match is defined in one place.
 *
 * <p>The edges of a node are a hash array mapped trie (Bagwell, "Ideal hash trees", 2001) with 32 branches a level,
 * whose inner nodes also know the first route below them. A change copies the path to the changed node: about six
 * nodes, and for each one to three arrays of at most 32 references. Flat tables of numbered nodes would be smaller but
 * have to be rebuilt for each change, which takes a tenth of a second for 28,000 routes.
 *
 * <p>Cost: a look-up takes one substring for each segment, four edge look-ups, and one {@code matches} for each
 * candidate that precedes the result. Routes that differ only in header or zone are candidates of one node; they are
 * scanned linearly and copied when one of them changes. An index may be built on any thread and then handed over.
 * docs/measurements/tables.md has figures.
 */
final class RouteIndex {

    private static final int MAX_ACTIVE_NODES = 4;
    private static final int BITS_PER_LEVEL = 5;
    private static final int HASH_BITS = 32;
    private static final OrderedRoute[] NO_CANDIDATES = {};

    /** The index without routes. */
    static final RouteIndex EMPTY = new RouteIndex(new Node(null, NO_CANDIDATES, null));

    /** A trie node. {@code edges} is null, the only child {@link Node}, or a {@link Branch}. */
    private static final class Node {

        private final String label;  // label of the edge to this node; null for the wildcard
        private final OrderedRoute[] candidates;
        private final Object edges;
        private final OrderedRoute firstRoute;  // first route in this subtree; null only at an empty root

        Node(String label, OrderedRoute[] candidates, Object edges) {
            this.label = label;
            this.candidates = candidates;
            this.edges = edges;
            firstRoute = earlierOf(candidates.length == 0 ? null : candidates[0], edges == null ? null
                    : firstRoute(edges));
        }
    }

    /**
     * Inner node of an edge map: children indexed by five bits of their labels' hashes. Once all hash bits are used up,
     * a list of all children with that hash.
     */
    private static final class Branch {

        private final int bitmap;
        private final Object[] children;  // nodes and branches
        private final OrderedRoute firstRoute;

        Branch(int bitmap, Object[] children) {
            this.bitmap = bitmap;
            this.children = children;
            OrderedRoute earliest = null;
            for (Object each : children) {
                earliest = earlierOf(earliest, firstRoute(each));
            }
            firstRoute = earliest;
        }
    }

    private final Node root;

    private RouteIndex(Node root) {
        this.root = root;
    }

    private static OrderedRoute firstRoute(Object edges) {
        return edges instanceof Branch branch ? branch.firstRoute : ((Node) edges).firstRoute;
    }

    private static OrderedRoute earlierOf(OrderedRoute one, OrderedRoute other) {
        return one == null || other != null && OrderedRoute.compare(other, one) < 0 ? other : one;
    }

    // ---- look-ups

    /** The first route that matches, or null. */
    Route firstRoute(RouteCriteria request) {
        Node[] active = new Node[MAX_ACTIVE_NODES];
        int activeCount = initialNodes(request, active);
        OrderedRoute best = null;
        String path = request.path();
        for (int segmentStart = 0; activeCount > 0; ) {
            for (int i = 0; i < activeCount; i++) {
                best = earlierMatch(active[i], request, best);
            }
            if (segmentStart >= path.length()) {
                // an empty last segment leads to no node: a prefix that ends with / is stored at the node before it
                break;
            }
            int slash = path.indexOf('/', segmentStart);
            int segmentEnd = slash < 0 ? path.length() : slash;
            activeCount = advance(active, activeCount, path.substring(segmentStart, segmentEnd), best);
            segmentStart = segmentEnd + 1;
        }
        return best == null ? null : best.route();
    }

    /** Stores the nodes at which a request's walk begins in {@code active}; returns their number. */
    private int initialNodes(RouteCriteria request, Node[] active) {
        int activeCount = 0;
        for (Node classNode : new Node[] {child(root, null), request.className() == null ? null
                : child(root, request.className())}) {
            if (classNode != null) {
                activeCount = addIfPresent(active, activeCount, child(classNode, null));
                activeCount = request.tenant() == null ? activeCount
                        : addIfPresent(active, activeCount, child(classNode, request.tenant()));
            }
        }
        return activeCount;
    }

    private static int addIfPresent(Node[] active, int activeCount, Node node) {
        if (node == null) {
            return activeCount;
        }
        active[activeCount] = node;
        return activeCount + 1;
    }

    /**
     * Advances each active node by one segment. Nodes without such a child, or whose subtree has no route before
     * {@code best}, are dropped.
     */
    private static int advance(Node[] active, int activeCount, String segment, OrderedRoute best) {
        int remaining = 0;
        int hash = hash(segment);
        for (int i = 0; i < activeCount; i++) {
            Node node = child(active[i].edges, segment, hash);
            if (node != null && (best == null || OrderedRoute.compare(node.firstRoute, best) < 0)) {
                active[remaining++] = node;
            }
        }
        return remaining;
    }

    /** The first matching candidate of a node if it precedes {@code best}, else {@code best}. */
    private static OrderedRoute earlierMatch(Node node, RouteCriteria request, OrderedRoute best) {
        for (OrderedRoute each : node.candidates) {
            if (best != null && OrderedRoute.compare(each, best) >= 0) {
                return best;
            }
            if (each.route().match().matches(request)) {
                return each;
            }
        }
        return best;
    }

    // ---- edges

    private static Node child(Node node, String label) {
        return child(node.edges, label, hash(label));
    }

    /** The child node for a label, or null if there is none. */
    private static Node child(Object edges, String label, int hash) {
        Object current = edges;
        for (int shift = 0; current instanceof Branch branch; shift += BITS_PER_LEVEL) {
            if (shift >= HASH_BITS) {
                int index = collisionIndex(branch, label);
                return index < 0 ? null : (Node) branch.children[index];
            }
            int bit = branchBit(hash, shift);
            if ((branch.bitmap & bit) == 0) {
                return null;
            }
            current = branch.children[childIndex(branch, bit)];
        }
        return current != null && labelsEqual(((Node) current).label, label) ? (Node) current : null;
    }

    /**
     * The finalizer of MurmurHash3, so that labels that differ in few characters differ in the lowest bits. Hashes are
     * equal if and only if the strings' hash codes are.
     */
    private static int hash(String label) {
        int hash = label == null ? 0 : label.hashCode();
        hash = (hash ^ hash >>> 16) * 0x85ebca6b;
        hash = (hash ^ hash >>> 13) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }

    private static boolean labelsEqual(String one, String other) {
        return one == null ? other == null : one.equals(other);
    }

    private static int branchBit(int hash, int shift) {
        return 1 << (hash >>> shift & (1 << BITS_PER_LEVEL) - 1);
    }

    private static int childIndex(Branch branch, int bit) {
        return Integer.bitCount(branch.bitmap & bit - 1);
    }

    /** Index of a label among children with the same hash, or -1. */
    private static int collisionIndex(Branch branch, String label) {
        int index = branch.children.length - 1;
        while (index >= 0 && !labelsEqual(((Node) branch.children[index]).label, label)) {
            index--;
        }
        return index;
    }

    /** Returns the edges with this node added, replacing a node with the same label. */
    private static Object with(Object edges, Node node, int hash, int shift) {
        if (edges == null) {
            return node;
        }
        if (edges instanceof Node other) {
            return labelsEqual(other.label, node.label) ? node : branchOf(other, node, hash, shift);
        }
        Branch branch = (Branch) edges;
        if (shift >= HASH_BITS) {
            int index = collisionIndex(branch, node.label);
            return new Branch(0, index < 0 ? copyWithInserted(branch.children, branch.children.length, node)
                    : copyWithReplaced(branch.children, index, node));
        }
        int bit = branchBit(hash, shift);
        int index = childIndex(branch, bit);
        return (branch.bitmap & bit) == 0
                ? new Branch(branch.bitmap | bit, copyWithInserted(branch.children, index, node))
                : new Branch(branch.bitmap, copyWithReplaced(branch.children, index,
                        with(branch.children[index], node, hash, shift + BITS_PER_LEVEL)));
    }

    private static Branch branchOf(Node one, Node other, int otherHash, int shift) {
        if (shift >= HASH_BITS) {
            return new Branch(0, new Object[] {one, other});
        }
        int oneBit = branchBit(hash(one.label), shift);
        int otherBit = branchBit(otherHash, shift);
        if (oneBit == otherBit) {
            return new Branch(oneBit, new Object[] {branchOf(one, other, otherHash, shift + BITS_PER_LEVEL)});
        }
        boolean inOrder = Integer.compareUnsigned(oneBit, otherBit) < 0;
        return new Branch(oneBit | otherBit, inOrder ? new Object[] {one, other} : new Object[] {other, one});
    }

    /** Returns the edges without the node of a label, which must be present; null if none is left. */
    private static Object without(Object edges, String label, int hash, int shift) {
        if (!(edges instanceof Branch branch)) {
            return null;
        }
        boolean hashExhausted = shift >= HASH_BITS;
        int bit = hashExhausted ? 0 : branchBit(hash, shift);
        int index = hashExhausted ? collisionIndex(branch, label) : childIndex(branch, bit);
        Object remaining = hashExhausted ? null : without(branch.children[index], label, hash, shift + BITS_PER_LEVEL);
        Object[] children = remaining == null ? copyWithRemoved(branch.children, index)
                : copyWithReplaced(branch.children, index, remaining);
        if (children.length == 0) {
            return null;
        }
        return children.length == 1 && children[0] instanceof Node ? children[0]
                : new Branch(remaining == null ? branch.bitmap & ~bit : branch.bitmap, children);
    }

    private static <T> T[] copyWithInserted(T[] all, int index, T element) {
        T[] longer = Arrays.copyOf(all, all.length + 1);
        System.arraycopy(all, index, longer, index + 1, all.length - index);
        longer[index] = element;
        return longer;
    }

    private static <T> T[] copyWithReplaced(T[] all, int index, T element) {
        T[] copy = all.clone();
        copy[index] = element;
        return copy;
    }

    private static <T> T[] copyWithRemoved(T[] all, int index) {
        T[] shorter = Arrays.copyOf(all, all.length - 1);
        System.arraycopy(all, index + 1, shorter, index, shorter.length - index);
        return shorter;
    }

    // ---- changes

    /** Returns an index with one more route. Throws IllegalArgumentException if another route has its position. */
    RouteIndex with(OrderedRoute route) {
        return withChange(route.route().match(), route, true);
    }

    /** Returns an index without a route. Throws IllegalArgumentException if the route is not present. */
    RouteIndex without(OrderedRoute route) {
        return withChange(route.route().match(), route, false);
    }

    /**
     * Walks down from the root along the labels, then copies each node on the way back up. A loop rather than a
     * recursion, since a prefix may have as many segments as characters.
     */
    private RouteIndex withChange(Match match, OrderedRoute route, boolean adding) {
        List<String> labels = labels(match);
        Node[] nodes = new Node[labels.size() + 1];
        nodes[0] = root;
        for (int i = 0; i < labels.size() && nodes[i] != null; i++) {
            nodes[i + 1] = child(nodes[i], labels.get(i));
        }
        Node oldNode = nodes[labels.size()];
        OrderedRoute[] existing = oldNode == null ? NO_CANDIDATES : oldNode.candidates;
        int position = Arrays.binarySearch(existing, route, OrderedRoute::compare);
        if (adding == position >= 0) {
            throw new IllegalArgumentException("route " + route.route().name() + ": expected "
                    + (adding ? "a free position to add it" : "it at its position to remove it") + ", found "
                    + (adding ? "another route there" : "none"));
        }
        OrderedRoute[] candidates = adding ? copyWithInserted(existing, -position - 1, route)
                : copyWithRemoved(existing, position);
        Object edges = oldNode == null ? null : oldNode.edges;
        for (int i = labels.size() - 1; i >= 0; i--) {
            String label = labels.get(i);
            Node parent = nodes[i];
            Node child = candidates.length == 0 && edges == null ? null : new Node(label, candidates, edges);
            candidates = parent == null ? NO_CANDIDATES : parent.candidates;
            edges = parent == null ? null : parent.edges;
            edges = child == null ? without(edges, label, hash(label), 0) : with(edges, child, hash(label), 0);
        }
        return new RouteIndex(new Node(null, candidates, edges));
    }

    /**
     * The labels on the path to the node that holds a route. {@code /a} and {@code /a/} share a node: paths whose first
     * segment is {@code a} reach it for both, and {@link Match#matches} distinguishes them.
     */
    private static List<String> labels(Match match) {
        List<String> labels = new ArrayList<>();
        labels.add(match.className());
        labels.add(match.tenant());
        String prefix = match.pathPrefix() == null ? "" : match.pathPrefix();
        int segmentStart = 0;
        for (int slash = prefix.indexOf('/'); slash >= 0; slash = prefix.indexOf('/', segmentStart)) {
            labels.add(prefix.substring(segmentStart, slash));
            segmentStart = slash + 1;
        }
        if (segmentStart < prefix.length()) {
            labels.add(prefix.substring(segmentStart));
        }
        return labels;
    }
}
