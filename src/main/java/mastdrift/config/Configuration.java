package mastdrift.config;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Tenant;
import mastdrift.membership.Membership.ConfiguredPool;
import mastdrift.membership.Node;
import mastdrift.membership.Overrides.Override;
import mastdrift.membership.ContentVersion;
import mastdrift.routing.Route;
import mastdrift.zones.ZoneSettings;

/**
 * A complete, validated configuration: the gateway's own file and the node lists that it includes. Immutable. {@code
 * zones} is null if cross-zone traffic is neither counted nor limited, {@code peers} if the gateway knows no other
 * gateway, {@code agreed} if it shares no replicated log with others, {@code distribution} if its routes come from the
 * files.
 */
public record Configuration(GatewaySettings gateway, List<RequestClass> classes, List<Tenant> tenants,
        Map<String, PoolSettings> pools, List<RadiusSettings> radiusListeners, List<Route> routes,
        List<Override> overrides,
        Map<String, List<Node>> nodes, ZoneSettings zones, PeerSettings peers, AgreedSettings agreed,
        DistributionSettings distribution) {

    /**
     * Maximum gateways that send to the same hosts: twice the number in the largest supported fleet (docs/CAPACITY.md).
     */
    public static final int MAX_GATEWAYS = 8_200;
    /** Maximum pools of one gateway: twice the number in the largest supported fleet. */
    public static final int MAX_POOLS = 1_620;
    /**
     * Maximum node list files that one gateway's file includes: one per pool, so also twice the number in the largest
     * supported fleet.
     */
    public static final int MAX_NODE_LIST_FILES = 1_620;
    /** Maximum nodes in all lists together: twice the number in the largest supported fleet. */
    public static final int MAX_NODES = 94_000;
    /**
     * Maximum nodes of one list. The memory needed for reading grows with the largest file: a list of this size does
     * not fit into a heap of 256 MiB.
     */
    public static final int MAX_NODES_PER_LIST = 20_000;
    /**
     * Maximum routes in one gateway's file; a {@link mastdrift.routing.RouteTable} filled from another source holds
     * more.
     */
    public static final int MAX_ROUTES = 1_000;

    /** The nodes that the files list for each pool, with the pool's time spans that membership needs. */
    public Map<String, ConfiguredPool> configuredNodes() {
        Map<String, ConfiguredPool> byPool = new TreeMap<>();
        pools.forEach((name, pool) -> byPool.put(name,
                new ConfiguredPool(nodes.get(name), pool.rules().fallSpan(), pool.rules().warmWithin())));
        return byPool;
    }

    /** The content version of each pool's node list. */
    public Map<String, String> nodeListVersions() {
        Map<String, String> versions = new TreeMap<>();
        nodes.forEach((pool, list) -> versions.put(pool, ContentVersion.of(list)));
        return versions;
    }
}
