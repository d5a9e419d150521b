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
 * its location; a set of files with any problem yields no configuration. docs/operations/pools.md lists the keys.
 */
public final class ConfigurationReader {

    private static final long MICROS_PER_MILLI = 1000;
    private static final long MICROS_PER_SECOND = 1000 * MICROS_PER_MILLI;
    private static final long MICROS_PER_MINUTE = 60 * MICROS_PER_SECOND;

    /** Provides the text of files: the file system, or memory in tests. */
    public interface FileSource {
        /**
         * The text of a file, named as in the gateway's file; null if it can't be read, after adding the reason to the
         * problems.
         */
        String text(String file, Problems problems);
    }

    private final FileSource fileSource;
    private final Problems problems = new Problems();

    private ConfigurationReader(FileSource fileSource) {
        this.fileSource = fileSource;
    }

    /**
     * The outcome of reading a set of files: a configuration, or null and the problems. {@code files} are the files of
     * the set as far as they could be determined; they are to be watched in both cases.
     */
    public record Result(Configuration configuration, List<String> problems, List<String> files) { }

    /** Reads a set of files; the configuration is null if and only if there are problems. */
    public static Result read(String file, FileSource fileSource) {
        ConfigurationReader reader = new ConfigurationReader(fileSource);
        Set<String> files = new LinkedHashSet<>(List.of(file));
        Configuration configuration = reader.readFiles(file, files);
        return new Result(reader.problems.isEmpty() ? configuration : null, reader.problems.lines(),
                List.copyOf(files));
    }

    private Configuration readFiles(String file, Set<String> files) {
        String text = fileSource.text(file, problems);
        if (text == null) {
            return null;
        }
        ClosingLine.check(file, text, -1, problems);
        Section root = Section.root(file, text, problems);
        if (root == null) {
            return null;
        }
        GatewaySettings gateway = readGateway(root.section("gateway"));
        List<RequestClass> classes = Tables.readClasses(root);
        List<Tenant> tenants = Tables.readTenants(root);
        Map<String, PoolSettings> pools = new TreeMap<>();
        root.namedSections("pool", Configuration.MAX_POOLS)
                .forEach((name, section) -> pools.put(name, readPool(name, section)));
        if (pools.isEmpty()) {
            root.addProblem("pool", "expected at least one pool, [pool.NAME], found none");
        }
        List<RadiusSettings> radiusListeners = readRadiusListeners(root, classes, tenants);
        List<Route> routes = readRoutes(root, pools.keySet(), gateway.zones(), classes, tenants);
        List<Override> overrides = readOverrides(root);
        ZoneSettings zones = ZonesReader.read(root, gateway.zone(), gateway.zones(), classes, tenants, pools.keySet());
        PeerSettings peers = PeersReader.readPeers(root, gateway);
        AgreedSettings agreed = PeersReader.readAgreed(root, gateway, peers);
        DistributionSettings distribution = DistributionReader.read(root, gateway);
        root.rejectUnknownKeys();
        Map<String, List<Node>> nodes = readNodeLists(pools, gateway.zones(), files);
        RouteChecks checks = new RouteChecks(radiusListeners, pools);
        routes.forEach(route -> checks.checkPoolProtocol(route, problem -> root.addProblem("route", problem)));
        checks.checkConversationRouting(routes, problem -> root.addProblem("route", problem));
        return new Configuration(gateway, classes, tenants, pools, radiusListeners, routes, overrides, nodes, zones, peers, agreed, distribution);
    }

    // ---- the gateway's own file

    private GatewaySettings readGateway(Section section) {
        List<String> zones = section.texts("zones", 64);
        String zone = section.requiredText("zone");
        if (zones.isEmpty()) {
            section.addProblem("zones", "expected the names of all data centres, found none");
        } else if (!zones.contains(zone)) {
            section.addProblem("zone", Tables.expectedOneOf("zones", zones, zone));
        }
        int gatewayCount = (int) section.integer("gateways", 1, 1, Configuration.MAX_GATEWAYS);
        GatewaySettings gateway = new GatewaySettings(Tables.checkName(section, "name",
                section.text("name", "gateway")),
                Tables.checkEndpoint(section, "listen", section.requiredText("listen")), zone, zones,
                (int) section.integer("number", 0, 0, gatewayCount - 1), gatewayCount,
                (int) section.integer("connections", 1024, 8, 1 << 20), readPhaseBounds(section),
                section.text("status_file"),
                section.durationMicros("settle", 50 * MICROS_PER_MILLI, 20 * MICROS_PER_MILLI, 10 * MICROS_PER_SECOND));
        section.rejectUnknownKeys();
        return gateway;
    }

    private static PhaseBounds readPhaseBounds(Section section) {
        PhaseBounds defaults = PhaseBounds.DEFAULT;
        return new PhaseBounds(section.durationMicros("silent_most", defaults.silentMicros(), 100 * MICROS_PER_MILLI,
                3600 * MICROS_PER_SECOND),
                section.durationMicros("whole_in", defaults.requestMicros(), 100 * MICROS_PER_MILLI, 60 * MICROS_PER_SECOND),
                section.durationMicros("unread_most", defaults.unreadMicros(), 100 * MICROS_PER_MILLI,
                600 * MICROS_PER_SECOND),
                section.durationMicros("idle_most", defaults.idleMicros(), PhaseBounds.IDLE_BEFORE_DORMANT_MICROS + 100 * MICROS_PER_MILLI,
                24 * 3600 * MICROS_PER_SECOND));
    }

    // ---- RADIUS

    private List<RadiusSettings> readRadiusListeners(Section root, List<RequestClass> classes, List<Tenant> tenants) {
        List<RadiusSettings> listeners = new ArrayList<>();
        Set<String> seen = Section.newSeenSet();
        for (Section section : root.sections("radius", 16)) {
            String name = Tables.checkName(section, "name", section.requiredText("name"));
            section.requireUnique("name", name, seen);
            List<RadiusSettings.Client> clients = new ArrayList<>();
            for (Section client : section.sections("client", 1000)) {
                clients.add(readRadiusClient(client, tenants));
            }
            if (clients.isEmpty()) {
                section.addProblem("client", "expected at least one client, [[radius.client]], found none");
            }
            listeners.add(new RadiusSettings(name,
                    Tables.checkEndpoint(section, "listen", section.requiredText("listen")),
                    readRadiusClass(section, "access_class", classes, Repeat.SAFE),
                    readRadiusClass(section, "conversation_class", classes, Repeat.UNSAFE),
                    readRadiusClass(section, "accounting_class", classes, Repeat.KEYED), clients,
                    section.durationMicros("kept", 30 * MICROS_PER_SECOND, MICROS_PER_SECOND, 10 * MICROS_PER_MINUTE),
                    (int) section.integer("kept_most", 1 << 16, 1 << 10, 1 << 20)));
            section.rejectUnknownKeys();
        }
        return listeners;
    }

    private static String readRadiusClass(Section section, String key, List<RequestClass> classes, Repeat repeat) {
        String name = Tables.readDefinedName(section, key, classes.stream().map(RequestClass::name).toList());
        if (name == null) {
            section.addProblem(key, "expected the name of a class, found nothing");
        }
        classes.stream().filter(requestClass -> requestClass.name().equals(name) && requestClass.repeat() != repeat)
                .forEach(requestClass ->
                section.addProblem(key, "expected a class whose effect is " + repeat.name().toLowerCase(Locale.ROOT) + ", found "
                        + requestClass.name() + ", which is " + requestClass.repeat().name().toLowerCase(Locale.ROOT)));
        return name;
    }

    private static RadiusSettings.Client readRadiusClient(Section section, List<Tenant> tenants) {
        AddressRange range = Tables.readAddressRange(section, "network");
        SecretRef secret = Tables.readSecretRef(section);
        if (secret == null) {
            section.addProblem("expected secret_file or secret_variable, found neither");
        }
        RadiusSettings.Client client = new RadiusSettings.Client(Tables.checkName(section, "name", section.requiredText("name")),
                range, secret,
                Tables.readDefinedName(section, "tenant", tenants.stream().map(Tenant::name).toList()),
                section.flag("message_authenticator", true));
        section.rejectUnknownKeys();
        return client;
    }

    private PoolSettings readPool(String name, Section section) {
        Tables.checkName(section, "", name);
        List<String> files = section.texts("nodes", Configuration.MAX_NODE_LIST_FILES);
        Set<String> seen = Section.newSeenSet();
        files.forEach(file -> section.requireUnique("nodes", file, seen));
        String discovery = section.text("discovery");
        if (files.isEmpty() && discovery == null) {
            section.addProblem("expected nodes = [\"FILE\"] or discovery = \"ADDRESS:PORT\", found neither");
        }
        Links links = new Links(section.durationMicros("dial_timeout", 250 * MICROS_PER_MILLI, MICROS_PER_MILLI,
                MICROS_PER_MINUTE),
                section.durationMicros("idle", 15 * MICROS_PER_SECOND, 100 * MICROS_PER_MILLI, 60 * MICROS_PER_MINUTE),
                1);
        Rules rules = Tables.readRules(section);
        Section guardsSection = section.section("guards");
        ChangeGuards.Limits defaults = ChangeGuards.Limits.DEFAULTS;
        ChangeGuards.Limits guards = new ChangeGuards.Limits(guardsSection.number("pool_drop_most", defaults.maxPoolDropFraction(), 0, 1),
                guardsSection.number("zone_drop_most", defaults.maxZoneDropFraction(), 0, 1),
                guardsSection.flag("zone_may_empty", defaults.zoneMayEmpty()),
                guardsSection.flag("weights_may_be_zero", defaults.weightsMayBeZero()));
        guardsSection.rejectUnknownKeys();
        PoolSettings pool = new PoolSettings(name, files,
                discovery == null ? null : Tables.checkEndpoint(section, "discovery", discovery),
                (int) section.integer("max_attempts", 4, 1, 16),
                (int) section.integer("connections", 1024, 1, 1 << 16), section.flag("probes", true), links, rules,
                Tables.readSecretRef(section), guards);
        section.rejectUnknownKeys();
        return pool;
    }

    private List<Route> readRoutes(Section root, Set<String> pools, List<String> zones, List<RequestClass> classes,
            List<Tenant> tenants) {
        List<Route> routes = new ArrayList<>();
        Set<String> seen = Section.newSeenSet();
        List<String> classNames = classes.stream().map(RequestClass::name).toList();
        List<String> tenantNames = tenants.stream().map(Tenant::name).toList();
        List<String> poolNames = List.copyOf(pools);
        List<Section> sections = root.sections("route", Configuration.MAX_ROUTES);
        for (Section section : sections) {
            String name = Tables.checkName(section, "name", section.requiredText("name"));
            section.requireUnique("name", name, seen);
            Section header = section.section("header");
            boolean hasHeader = section.has("header");
            Match match = new Match(Tables.readDefinedName(section, "class", classNames), Tables.readDefinedName(section, "tenant", tenantNames),
                    readPath(section), hasHeader ? Tables.checkName(header, "name", header.requiredText("name")) : null,
                    hasHeader ? header.text("value") : null, Tables.readDefinedName(section, "zone", zones));
            header.rejectUnknownKeys();
            String fallback = Tables.readDefinedName(section, "fallback", poolNames);
            List<Route.Target> targets = Tables.readTargets(section, pools);
            if (targets.stream().noneMatch(target -> target.weight() > 0)) {
                section.addProblem("pools", "expected a pool with a weight above 0, found none");
            } else {
                routes.add(new Route(name, match, targets, fallback));
            }
            section.rejectUnknownKeys();
        }
        if (sections.isEmpty()) {
            if (pools.size() == 1) {  // a single pool leaves no choice: all requests go to it
                return List.of(new Route("all", Match.ANY, List.of(new Route.Target(pools.iterator().next(), 1)), null));
            }
            root.addProblem("route", "expected at least one route, [[route]], where there are " + pools.size()
                    + " pools, found none");
        }
        return routes;
    }

    private static String readPath(Section section) {
        String path = section.text("path");
        if (path != null && !path.startsWith("/")) {
            section.addProblem("path", "expected a path that begins with /, found \"" + path + "\"");
        }
        return path;
    }

    private List<Override> readOverrides(Section root) {
        List<Override> overrides = new ArrayList<>();
        List<Guard> guards = List.of(Guard.values());
        for (Section section : root.sections("override", 64)) {
            Guard guard = section.oneOf("guard", null, guards.stream().map(Guard::configName).toList(), guards);
            String pool = section.text("pool");
            String version = section.requiredText("version");
            if (!section.has("guard") || !section.has("pool")) {
                section.addProblem("expected guard, pool and version, found at least one of them missing");
            } else if (guard != null && pool != null) {
                overrides.add(new Override(guard, pool, version, section.location()));
            }
            section.rejectUnknownKeys();
        }
        return overrides;
    }

    // ---- node lists

    private Map<String, List<Node>> readNodeLists(Map<String, PoolSettings> pools, List<String> zones,
            Set<String> files) {
        Map<String, List<Node>> nodes = new TreeMap<>();
        Map<String, String> uids = new HashMap<>();
        Map<String, String> endpoints = new HashMap<>();
        int[] nodeCount = new int[1];
        pools.forEach((name, pool) -> {
            List<Node> list = new ArrayList<>();
            for (String file : pool.files()) {
                if (!files.add(file)) {
                    problems.add(new Problem(file, 0, 0, "expected in exactly one pool, found again in pool " + name));
                } else if (files.size() <= Configuration.MAX_NODE_LIST_FILES + 1) {
                    readNodeList(file, pool, zones, list, uids, endpoints);
                } else {
                    problems.add(new Problem(file, 0, 0, "expected at most " + Configuration.MAX_NODE_LIST_FILES
                            + " files"));
                }
            }
            nodeCount[0] += list.size();
            nodes.put(name, list);
        });
        if (nodeCount[0] > Configuration.MAX_NODES) {
            problems.add(new Problem("all lists", 0, 0, "expected at most " + Configuration.MAX_NODES + " nodes, found "
                    + nodeCount[0]));
        }
        return nodes;
    }

    private void readNodeList(String file, PoolSettings pool, List<String> zones, List<Node> list,
            Map<String, String> uids,
            Map<String, String> endpoints) {
        String text = fileSource.text(file, problems);
        if (text == null) {
            return;
        }
        Section root = Section.root(file, text, problems);
        if (root == null) {
            ClosingLine.checkPresent(file, text, problems);
            return;
        }
        List<Section> sections = root.sections("node", Configuration.MAX_NODES_PER_LIST);
        root.rejectUnknownKeys();
        ClosingLine.check(file, text, sections.size(), problems);
        for (Section section : sections) {
            Node node = readNode(section, pool, zones);
            requireUniqueInAllLists(section, "uid", node.uid(), uids);
            if (node.endpoint() != null) {
                requireUniqueInAllLists(section, "endpoint", node.endpoint(), endpoints);
            }
            list.add(node);
        }
    }

    private static void requireUniqueInAllLists(Section section, String key, String value,
            Map<String, String> locations) {
        String firstLocation = locations.putIfAbsent(value, section.location());
        if (firstLocation != null) {
            section.addProblem(key, "expected in one place alone, found \"" + value + "\" at " + firstLocation
                    + " too");
        }
    }

    private Node readNode(Section section, PoolSettings pool, List<String> zones) {
        String uid = Tables.checkName(section, "uid", section.requiredText("uid"));
        String endpoint = section.text("endpoint");
        boolean complete = pool.discovery() == null || endpoint != null;
        String zone = Tables.readDefinedName(section, "zone", zones);
        if (complete && endpoint == null) {
            section.addProblem("endpoint", "expected ADDRESS:PORT, found nothing");
        }
        if (complete && !section.has("zone")) {
            section.addProblem("zone", "expected one of the zones, found nothing");
        }
        long cell = section.integer("cell", -1, 0, Integer.MAX_VALUE);
        Node node = new Node(uid, endpoint == null ? null : Tables.checkEndpoint(section, "endpoint", endpoint), zone,
                cell < 0 ? null : Integer.valueOf((int) cell), section.text("kind"), section.number("weight", 0, 1e6),
                section.oneOf("state", Health.UP, List.of("up", "drain"), List.of(Health.UP, Health.LEAVING)),
                section.integer("started_ms", 0, 0, Long.MAX_VALUE / MICROS_PER_MILLI) * MICROS_PER_MILLI,
                section.location());
        section.rejectUnknownKeys();
        return node;
    }
}
