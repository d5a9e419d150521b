package mastdrift.membership;

import java.util.List;

/** The merged list of one pool: its hosts by uid, and messages about reported nodes that were omitted. */
public record PoolList(String pool, List<ListedHost> hosts, List<String> omissions) {

    /** A list without hosts. */
    public static PoolList empty(String pool) {
        return new PoolList(pool, List.of(), List.of());
    }

    /** Whether any host accepts new requests. */
    public boolean hasAcceptingHost() {
        return hosts.stream().anyMatch(ListedHost::acceptsNewRequests);
    }
}
