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

/** A whole set of files, checked: the gateway's own file and the node lists that it includes. Immutable. {@code zones} is null where
    what crosses zones is neither counted nor bounded, {@code peers} where the gateway knows of no other, {@code agreed}
    where it agrees on nothing with them, {@code distribution} where its routes are those of the files. */
public record Configuration(GatewaySettings gateway, List<RequestClass> classes, List<Tenant> tenants,
        Map<String, PoolSettings> pools, List<RadiusSettings> radius, List<Route> routes, List<Override> overrides,
        Map<String, List<Node>> nodes, ZoneSettings zones, PeerSettings peers, AgreedSettings agreed,
        DistributionSettings distribution) {

    /** Gateways that send to the same hosts: twice what the largest fleet that this is made for has (docs/CAPACITY.md). */
    public static final int GATEWAYS_MOST = 8_200;
    /** Pools of one gateway, likewise. */
    public static final int POOLS_MOST = 1_620;
    /** Node lists that one gateway's file includes, likewise: one a pool. */
    public static final int FILES_MOST = 1_620;
    /** Nodes in all lists together, likewise. */
    public static final int NODES_MOST = 94_000;
    /** Nodes of one list. What reading takes goes by the largest file: a list of this many does not fit a heap of 256 MiB. */
    public static final int LIST_NODES_MOST = 20_000;
    /** Routes of one gateway's file; a {@link mastdrift.routing.RouteTable} of another source holds more. */
    public static final int ROUTES_MOST = 1_000;

    /** What the files say of each pool. */
    public Map<String, ConfiguredPool> filed() {
        Map<String, ConfiguredPool> filed = new TreeMap<>();
        pools.forEach((name, pool) -> filed.put(name,
                new ConfiguredPool(nodes.get(name), pool.rules().fallSpan(), pool.rules().warmWithin())));
        return filed;
    }

    /** The version of each pool's nodes. */
    public Map<String, String> versions() {
        Map<String, String> versions = new TreeMap<>();
        nodes.forEach((pool, list) -> versions.put(pool, ContentVersion.of(list)));
        return versions;
    }
}
