package mastdrift.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;
import mastdrift.Balancer.Tenant;
import mastdrift.limits.PhaseBounds;
import mastdrift.membership.ChangeGuards;
import mastdrift.membership.ChangeGuards.Guard;
import mastdrift.membership.Node;
import mastdrift.membership.Overrides.Override;
import mastdrift.routing.Match;
import mastdrift.routing.Route;
import mastdrift.settings.AddressRange;
import mastdrift.zones.ZoneSettings;

/**
 * Reads the gateway's file and the node lists that it includes (TOML 1.0). All problems are reported at once, each with
 * its place; a set with a problem gives no configuration. docs/operations/pools.md lists the keys.
 */
public final class ConfigurationReader {

    private static final long MILLI = 1000;
    private static final long SECOND = 1000 * MILLI;
    private static final long MINUTE = 60 * SECOND;

    /** Where texts come from: the file system, or a test. */
    public interface Texts {
        /** The text of a file, as it is named in the gateway's file; null where there is none, for a reason that was added
            to the problems. */
        String text(String file, Problems problems);
    }

    private final Texts texts;
    private final Problems problems = new Problems();

    private ConfigurationReader(Texts texts) {
        this.texts = texts;
    }

    /** What came of a set of files: a configuration, or null and the problems; and the files that belong to the set, as far
        as they could be told, to be watched either way. */
    public record Result(Configuration configuration, List<String> problems, List<String> files) { }

    /** Reads a set; the configuration is null exactly where there are problems. */
    public static Result read(String file, Texts texts) {
        ConfigurationReader reader = new ConfigurationReader(texts);
        Set<String> files = new LinkedHashSet<>(List.of(file));
        Configuration configuration = reader.whole(file, files);
        return new Result(reader.problems.none() ? configuration : null, reader.problems.lines(), List.copyOf(files));
    }

    private Configuration whole(String file, Set<String> files) {
        String text = texts.text(file, problems);
        if (text == null) {
            return null;
        }
        Closing.check(file, text, -1, problems);
        Section root = Section.root(file, text, problems);
        if (root == null) {
            return null;
        }
        GatewaySettings gateway = gateway(root.section("gateway"));
        List<RequestClass> classes = Tables.classes(root);
        List<Tenant> tenants = Tables.tenants(root);
        Map<String, PoolSettings> pools = new TreeMap<>();
        root.named("pool", Configuration.POOLS_MOST).forEach((name, section) -> pools.put(name, pool(name, section)));
        if (pools.isEmpty()) {
            root.problem("pool", "expected at least one pool, [pool.NAME], found none");
        }
        List<RadiusSettings> radius = radius(root, classes, tenants);
        List<Route> routes = routes(root, pools.keySet(), gateway.zones(), classes, tenants);
        List<Override> overrides = overrides(root);
        ZoneSettings zones = ZonesReader.read(root, gateway.zone(), gateway.zones(), classes, tenants, pools.keySet());
        PeerSettings peers = PeersReader.read(root, gateway);
        AgreedSettings agreed = PeersReader.agreed(root, gateway, peers);
        DistributionSettings distribution = DistributionReader.read(root, gateway);
        root.noMore();
        Map<String, List<Node>> nodes = nodes(pools, gateway.zones(), files);
        RouteChecks checks = new RouteChecks(radius, pools);
        routes.forEach(route -> checks.fits(route, wrong -> root.problem("route", wrong)));
        checks.alike(routes, wrong -> root.problem("route", wrong));
        return new Configuration(gateway, classes, tenants, pools, radius, routes, overrides, nodes, zones, peers, agreed, distribution);
    }

    // ---- the gateway's own file

    private GatewaySettings gateway(Section section) {
        List<String> zones = section.texts("zones", 64);
        String zone = section.requiredText("zone");
        if (zones.isEmpty()) {
            section.problem("zones", "expected the names of all data centres, found none");
        } else if (!zones.contains(zone)) {
            section.problem("zone", Tables.expectedOne("zones", zones, zone));
        }
        int gateways = (int) section.whole("gateways", 1, 1, Configuration.GATEWAYS_MOST);
        GatewaySettings gateway = new GatewaySettings(Tables.word(section, "name", section.text("name", "gateway")),
                Tables.endpoint(section, "listen", section.requiredText("listen")), zone, zones,
                (int) section.whole("number", 0, 0, gateways - 1), gateways,
                (int) section.whole("connections", 1024, 8, 1 << 20), bounds(section), section.text("status_file"),
                section.span("settle", 50 * MILLI, 20 * MILLI, 10 * SECOND));
        section.noMore();
        return gateway;
    }

    private static PhaseBounds bounds(Section section) {
        PhaseBounds usual = PhaseBounds.DEFAULT;
        return new PhaseBounds(section.span("silent_most", usual.silentMicros(), 100 * MILLI, 3600 * SECOND),
                section.span("whole_in", usual.requestMicros(), 100 * MILLI, 60 * SECOND),
                section.span("unread_most", usual.unreadMicros(), 100 * MILLI, 600 * SECOND),
                section.span("idle_most", usual.idleMicros(), PhaseBounds.IDLE_BEFORE_DORMANT_MICROS + 100 * MILLI, 24 * 3600 * SECOND));
    }

    // ---- RADIUS

    private List<RadiusSettings> radius(Section root, List<RequestClass> classes, List<Tenant> tenants) {
        List<RadiusSettings> listeners = new ArrayList<>();
        Set<String> met = Section.met();
        for (Section section : root.sections("radius", 16)) {
            String name = Tables.word(section, "name", section.requiredText("name"));
            section.once("name", name, met);
            List<RadiusSettings.Client> clients = new ArrayList<>();
            for (Section client : section.sections("client", 1000)) {
                clients.add(radiusClient(client, tenants));
            }
            if (clients.isEmpty()) {
                section.problem("client", "expected at least one client, [[radius.client]], found none");
            }
            listeners.add(new RadiusSettings(name, Tables.endpoint(section, "listen", section.requiredText("listen")),
                    radiusClass(section, "access_class", classes, Repeat.SAFE),
                    radiusClass(section, "conversation_class", classes, Repeat.UNSAFE),
                    radiusClass(section, "accounting_class", classes, Repeat.KEYED), clients,
                    section.span("kept", 30 * SECOND, SECOND, 10 * MINUTE),
                    (int) section.whole("kept_most", 1 << 16, 1 << 10, 1 << 20)));
            section.noMore();
        }
        return listeners;
    }

    private static String radiusClass(Section section, String key, List<RequestClass> classes, Repeat repeat) {
        String name = Tables.among(section, key, classes.stream().map(RequestClass::name).toList());
        if (name == null) {
            section.problem(key, "expected the name of a class, found nothing");
        }
        classes.stream().filter(type -> type.name().equals(name) && type.repeat() != repeat).forEach(type ->
                section.problem(key, "expected a class whose effect is " + repeat.name().toLowerCase(Locale.ROOT) + ", found "
                        + type.name() + ", which is " + type.repeat().name().toLowerCase(Locale.ROOT)));
        return name;
    }

    private static RadiusSettings.Client radiusClient(Section section, List<Tenant> tenants) {
        AddressRange range = Tables.range(section, "network");
        SecretRef secret = Tables.secret(section);
        if (secret == null) {
            section.problem("expected secret_file or secret_variable, found neither");
        }
        RadiusSettings.Client client = new RadiusSettings.Client(Tables.word(section, "name", section.requiredText("name")),
                range, secret,
                Tables.among(section, "tenant", tenants.stream().map(Tenant::name).toList()),
                section.flag("message_authenticator", true));
        section.noMore();
        return client;
    }

    private PoolSettings pool(String name, Section section) {
        Tables.word(section, "", name);
        List<String> files = section.texts("nodes", Configuration.FILES_MOST);
        Set<String> met = Section.met();
        files.forEach(file -> section.once("nodes", file, met));
        String discovery = section.text("discovery");
        if (files.isEmpty() && discovery == null) {
            section.problem("expected nodes = [\"FILE\"] or discovery = \"ADDRESS:PORT\", found neither");
        }
        Links links = new Links(section.span("dial_timeout", 250 * MILLI, MILLI, MINUTE),
                section.span("idle", 15 * SECOND, 100 * MILLI, 60 * MINUTE), 1);
        Rules rules = Tables.rules(section);
        Section below = section.section("guards");
        ChangeGuards.Limits usual = ChangeGuards.Limits.DEFAULTS;
        ChangeGuards.Limits guards = new ChangeGuards.Limits(below.real("pool_drop_most", usual.maxPoolDropFraction(), 0, 1),
                below.real("zone_drop_most", usual.maxZoneDropFraction(), 0, 1),
                below.flag("zone_may_empty", usual.zoneMayEmpty()),
                below.flag("weights_may_be_zero", usual.weightsMayBeZero()));
        below.noMore();
        PoolSettings pool = new PoolSettings(name, files,
                discovery == null ? null : Tables.endpoint(section, "discovery", discovery),
                (int) section.whole("max_attempts", 4, 1, 16),
                (int) section.whole("connections", 1024, 1, 1 << 16), section.flag("probes", true), links, rules,
                Tables.secret(section), guards);
        section.noMore();
        return pool;
    }

    private List<Route> routes(Section root, Set<String> pools, List<String> zones, List<RequestClass> classes,
            List<Tenant> tenants) {
        List<Route> routes = new ArrayList<>();
        Set<String> met = Section.met();
        List<String> classNames = classes.stream().map(RequestClass::name).toList();
        List<String> tenantNames = tenants.stream().map(Tenant::name).toList();
        List<String> poolNames = List.copyOf(pools);
        List<Section> sections = root.sections("route", Configuration.ROUTES_MOST);
        for (Section section : sections) {
            String name = Tables.word(section, "name", section.requiredText("name"));
            section.once("name", name, met);
            Section header = section.section("header");
            boolean byHeader = section.has("header");
            Match match = new Match(Tables.among(section, "class", classNames), Tables.among(section, "tenant", tenantNames),
                    path(section), byHeader ? Tables.word(header, "name", header.requiredText("name")) : null,
                    byHeader ? header.text("value") : null, Tables.among(section, "zone", zones));
            header.noMore();
            String fallback = Tables.among(section, "fallback", poolNames);
            List<Route.Target> targets = Tables.targets(section, pools);
            if (targets.stream().noneMatch(target -> target.weight() > 0)) {
                section.problem("pools", "expected a pool with a weight above 0, found none");
            } else {
                routes.add(new Route(name, match, targets, fallback));
            }
            section.noMore();
        }
        if (sections.isEmpty()) {
            if (pools.size() == 1) {  // nothing to choose from: what every newcomer means
                return List.of(new Route("all", Match.ANY, List.of(new Route.Target(pools.iterator().next(), 1)), null));
            }
            root.problem("route", "expected at least one route, [[route]], where there are " + pools.size()
                    + " pools, found none");
        }
        return routes;
    }

    private static String path(Section section) {
        String path = section.text("path");
        if (path != null && !path.startsWith("/")) {
            section.problem("path", "expected a path that begins with /, found \"" + path + "\"");
        }
        return path;
    }

    private List<Override> overrides(Section root) {
        List<Override> overrides = new ArrayList<>();
        List<Guard> guards = List.of(Guard.values());
        for (Section section : root.sections("override", 64)) {
            Guard guard = section.word("guard", null, guards.stream().map(Guard::configName).toList(), guards);
            String pool = section.text("pool");
            String version = section.requiredText("version");
            if (!section.has("guard") || !section.has("pool")) {
                section.problem("expected guard, pool and version, found not all of them");
            } else if (guard != null && pool != null) {
                overrides.add(new Override(guard, pool, version, section.place()));
            }
            section.noMore();
        }
        return overrides;
    }

    // ---- node lists

    private Map<String, List<Node>> nodes(Map<String, PoolSettings> pools, List<String> zones, Set<String> files) {
        Map<String, List<Node>> nodes = new TreeMap<>();
        Map<String, String> uids = new HashMap<>();
        Map<String, String> endpoints = new HashMap<>();
        int[] count = new int[1];
        pools.forEach((name, pool) -> {
            List<Node> list = new ArrayList<>();
            for (String file : pool.files()) {
                if (!files.add(file)) {
                    problems.add(new Problem(file, 0, 0, "expected in one pool once, found again in pool " + name));
                } else if (files.size() <= Configuration.FILES_MOST + 1) {
                    list(file, pool, zones, list, uids, endpoints);
                } else {
                    problems.add(new Problem(file, 0, 0, "expected at most " + Configuration.FILES_MOST + " files"));
                }
            }
            count[0] += list.size();
            nodes.put(name, list);
        });
        if (count[0] > Configuration.NODES_MOST) {
            problems.add(new Problem("all lists", 0, 0, "expected at most " + Configuration.NODES_MOST + " nodes, found "
                    + count[0]));
        }
        return nodes;
    }

    private void list(String file, PoolSettings pool, List<String> zones, List<Node> list, Map<String, String> uids,
            Map<String, String> endpoints) {
        String text = texts.text(file, problems);
        if (text == null) {
            return;
        }
        Section root = Section.root(file, text, problems);
        if (root == null) {
            Closing.present(file, text, problems);
            return;
        }
        List<Section> sections = root.sections("node", Configuration.LIST_NODES_MOST);
        root.noMore();
        Closing.check(file, text, sections.size(), problems);
        for (Section section : sections) {
            Node node = node(section, pool, zones);
            met(section, "uid", node.uid(), uids);
            if (node.endpoint() != null) {
                met(section, "endpoint", node.endpoint(), endpoints);
            }
            list.add(node);
        }
    }

    private static void met(Section section, String key, String value, Map<String, String> places) {
        String before = places.putIfAbsent(value, section.place());
        if (before != null) {
            section.problem(key, "expected in one place alone, found \"" + value + "\" at " + before + " too");
        }
    }

    private Node node(Section section, PoolSettings pool, List<String> zones) {
        String uid = Tables.word(section, "uid", section.requiredText("uid"));
        String endpoint = section.text("endpoint");
        boolean whole = pool.discovery() == null || endpoint != null;
        String zone = Tables.among(section, "zone", zones);
        if (whole && endpoint == null) {
            section.problem("endpoint", "expected ADDRESS:PORT, found nothing");
        }
        if (whole && !section.has("zone")) {
            section.problem("zone", "expected one of the zones, found nothing");
        }
        long cell = section.whole("cell", -1, 0, Integer.MAX_VALUE);
        Node node = new Node(uid, endpoint == null ? null : Tables.endpoint(section, "endpoint", endpoint), zone,
                cell < 0 ? null : Integer.valueOf((int) cell), section.text("kind"), section.real("weight", 0, 1e6),
                section.word("state", Health.UP, List.of("up", "drain"), List.of(Health.UP, Health.LEAVING)),
                section.whole("started_ms", 0, 0, Long.MAX_VALUE / MILLI) * MILLI, section.place());
        section.noMore();
        return node;
    }
}
