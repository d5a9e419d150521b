package mastdrift.lab;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.LongStream;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;
import mastdrift.Balancer.Tenant;
import mastdrift.config.Problem;
import mastdrift.config.Problems;
import mastdrift.config.Section;
import mastdrift.config.Tables;
import mastdrift.config.ZonesReader;
import mastdrift.lab.Experiment.Arm;
import mastdrift.lab.Experiment.Limit;
import mastdrift.lab.Experiment.Quantity;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Curve;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Tries;
import mastdrift.lab.draw.Work;
import mastdrift.lab.model.Policy;
import mastdrift.lab.model.Scenario;
import mastdrift.lab.model.Scenario.Fault;
import mastdrift.lab.model.Scenario.Population;
import mastdrift.lab.model.Scenario.What;
import mastdrift.routing.Match;
import mastdrift.routing.Route;
import mastdrift.zones.ZoneSettings;

/** Reads an experiment's file. All that is wrong with it is said at once, each with its place. */
public final class ExperimentReader {

    private static final long MILLI = 1000;
    private static final long SECOND = 1000 * MILLI;
    private static final long MINUTE = 60 * SECOND;
    private static final int FILE_MOST = 1 << 20;
    /** Bounds of an experiment: nodes, gateways, seeds. */
    public static final int NODES_MOST = 20_000;
    /** Likewise. */
    public static final int GATEWAYS_MOST = 2_000;
    private static final int SEEDS_MOST = 1_000;
    private static final int LOOPBACK_NODES_MOST = 64;
    private static final int LOOPBACK_GATEWAYS_MOST = 8;
    private static final Set<What> LOOPBACK_FAULTS = Set.of(What.SLOW, What.CRASH, What.DRAIN, What.SHED, What.FREEZE);

    private final Path folder;
    private final String by;
    private final Long seedsGiven;
    private final Problems problems = new Problems();
    private GridReader.Axes axes;

    private ExperimentReader(Path folder, String by, Long seeds) {
        this.folder = folder;
        this.by = by;
        this.seedsGiven = seeds;
    }

    /** An experiment, with the grid that its file lays out, if it does; or null and what is wrong. */
    public record Result(Experiment experiment, Grid grid, List<String> problems) { }

    /** Reads a file; {@code by} and {@code seeds} go before what it says of them, where they are not null. */
    public static Result read(Path file, String by, Long seeds) {
        String name = Objects.toString(file.getFileName());
        try {
            if (!Files.isRegularFile(file) || Files.size(file) > FILE_MOST) {
                return new Result(null, null, List.of(name + ": expected a file of at most 1 MiB, found "
                        + (Files.isRegularFile(file) ? "a larger one" : "none")));
            }
            return read(name, Files.readString(file, StandardCharsets.UTF_8), file.toAbsolutePath().getParent(), by, seeds);
        } catch (IOException e) {
            return new Result(null, null, List.of(name + ": expected a text in UTF-8 that can be read, found " + e));
        }
    }

    /** Reads a text; jars of other builds are looked for from the folder. */
    static Result read(String name, String text, Path folder, String by, Long seeds) {
        ExperimentReader reader = new ExperimentReader(folder, by, seeds);
        Section root = Section.root(name, text, reader.problems);
        Experiment experiment = null;
        if (root != null) {
            try {
                experiment = reader.experiment(root);
            } catch (IllegalArgumentException e) {
                root.addProblem(e.getMessage());
            }
        }
        boolean whole = reader.problems.isEmpty();
        GridReader.Axes axes = reader.axes;
        return new Result(whole ? experiment : null, !whole || axes == null ? null : new Grid(experiment, axes.gateways(), axes.nodes(),
                axes.nodeRate(), axes.keys(), axes.days(), Long.MAX_VALUE), reader.problems.lines());
    }

    private Experiment experiment(Section root) {
        Section head = root.section("experiment");
        String name = Tables.checkName(head, "name", head.requiredText("name"));
        boolean said = head.oneOf("by", Boolean.TRUE, List.of("model", "loopback"), List.of(true, false));
        boolean byModel = by == null ? said : by.equals("model");
        long length = head.requiredDurationMicros("length", SECOND, 60 * MINUTE);
        long warm = head.durationMicros("warm", 0, 0, 60 * MINUTE);
        if (warm >= length) {
            head.addProblem("warm", "expected less than the length");
        }
        long first = head.integer("first_seed", 1, 0, Long.MAX_VALUE / 2);
        long many = head.integer("seeds", 1, 1, SEEDS_MOST);
        List<Long> seeds = LongStream.range(first, first + (seedsGiven == null ? many : seedsGiven)).boxed().toList();
        head.rejectUnknownKeys();
        Scenario.Site site = site(root.section("site"));
        List<RequestClass> classes = Tables.readClasses(root);
        List<String> classNames = classes.stream().map(RequestClass::name).toList();
        List<Tenant> tenants = Tables.readTenants(root);
        List<Scenario.Kind> kinds = kinds(root, byModel);
        List<Scenario.Group> groups = groups(root, kinds);
        List<String> pools = groups.stream().map(Scenario.Group::pool).distinct().toList();
        Map<String, Work> works = works(root, classNames);
        List<Route> routes = routes(root, classNames, pools);
        List<Population> populations = populations(root, classes, tenants, site.zones(), length, byModel);
        List<Fault> faults = faults(root, site, kinds, pools, groups, length, byModel);
        Scenario scenario = new Scenario(site, kinds, groups, classes, works, tenants, routes, populations, faults, length, warm,
                zones(root, site.zones(), classes, tenants, pools), peers(root));
        int nodes = groups.stream().mapToInt(Scenario.Group::count).sum();
        if (nodes > (byModel ? NODES_MOST : LOOPBACK_NODES_MOST)) {
            root.addProblem("nodes", "expected at most " + (byModel ? NODES_MOST : LOOPBACK_NODES_MOST + " over loopback") + " nodes, found "
                    + nodes);
        }
        if (!byModel && scenario.peers() != null) {
            root.addProblem("peers", "expected none over loopback, found some");
        }
        if (!byModel && scenario.zones() != null) {
            root.addProblem("zones", "expected none over loopback, found some");
        }
        if (!byModel && site.gateways() > LOOPBACK_GATEWAYS_MOST) {
            root.addProblem("site", "expected at most " + LOOPBACK_GATEWAYS_MOST + " gateways over loopback, found " + site.gateways());
        }
        List<Arm> arms = arms(root, scenario, byModel);
        List<Limit> limits = limits(root, arms.stream().map(Arm::name).toList());
        if (root.has("grid")) {
            axes = GridReader.read(root.section("grid"), day -> faults(day, site, kinds, pools, groups, length, byModel));
            if (!byModel) {
                root.addProblem("grid", "expected a grid by the model, found one over loopback");
            }
        }
        root.rejectUnknownKeys();
        return new Experiment(name, byModel, seeds, arms, limits);
    }

    private static Scenario.Peers peers(Section root) {
        Section section = root.section("peers");
        Scenario.Peers peers = root.has("peers") ? new Scenario.Peers(section.durationMicros("delay", 5 * MILLI, 0, MINUTE), section.number("loss", 0, 0, 1),
                section.number("silent", 0, 0, 1), section.number("lying", 0, 0, 1)) : null;
        section.rejectUnknownKeys();
        return peers;
    }

    /** As the file's, with more loss, silence or lies, or none at all. */
    private static Scenario.Peers peers(Section section, Scenario.Peers peers) {
        boolean on = section.flag("peers", peers != null);
        Double loss = section.number("peers_loss", 0, 1);
        Double silent = section.number("peers_silent", 0, 1);
        Double lying = section.number("peers_lying", 0, 1);
        if (peers == null) {
            if (on || loss != null || silent != null || lying != null) {
                section.addProblem("peers", "expected a table peers in the file, found none");
            }
            return null;
        }
        return !on ? null : new Scenario.Peers(peers.delay(), loss == null ? peers.loss() : loss, silent == null ? peers.silent() : silent,
                lying == null ? peers.lying() : lying);
    }

    private static Scenario.Zones zones(Section root, List<String> zones, List<RequestClass> classes, List<Tenant> tenants,
            List<String> pools) {
        ZoneSettings settings = ZonesReader.read(root, null, zones, classes, tenants, pools);
        Section section = root.section("crossing");
        Scenario.Zones crossing = settings == null ? null : new Scenario.Zones(settings, section.flag("shared", false),
                section.integer("request_bytes", 500, 1, 1 << 20), section.integer("answer_bytes", 1_000, 1, 1 << 20));
        if (settings == null && root.has("crossing")) {
            root.addProblem("crossing", "expected a table zones beside it, found none");
        }
        if (settings != null && (settings.reportFile() != null || settings.stateFolder() != null || settings.sharedFolder() != null)) {
            root.addProblem("zones", "expected no files in an experiment, found some");
        }
        section.rejectUnknownKeys();
        return crossing;
    }

    private Scenario.Site site(Section section) {
        List<String> zones = section.texts("zones", 16);
        if (zones.isEmpty()) {
            section.addProblem("zones", "expected the names of all data centres, found none");
        }
        Rules rules = Tables.readRules(section);
        Scenario.Site site = new Scenario.Site(zones, (int) section.integer("gateways", 1, 1, GATEWAYS_MOST),
                section.durationMicros("within", 250, 1, SECOND), section.durationMicros("across", 4 * MILLI, 1, SECOND),
                section.number("jitter", 0.2, 0, 1), section.number("loss", 0, 0, 1), section.number("resets", 0, 0, 1),
                section.durationMicros("list_delay", SECOND, 0, MINUTE), section.durationMicros("list_spread", SECOND, 0, MINUTE),
                section.number("list_missed", 0, 0, 1), section.number("list_doubled", 0, 0, 1),
                section.durationMicros("list_every", 0, 0, 10 * MINUTE), section.flag("membership", false),
                section.durationMicros("gateway_cost", 0, 0, SECOND), section.durationMicros("front_notice", 2 * SECOND, 0, MINUTE),
                (int) section.integer("max_attempts", 4, 1, 16), section.durationMicros("retry_after", 2 * SECOND, 0, MINUTE),
                section.flag("marks_retry", false), section.flag("probes", true), rules);
        section.rejectUnknownKeys();
        return site;
    }

    private static List<Scenario.Kind> kinds(Section root, boolean byModel) {
        List<Scenario.Kind> kinds = new ArrayList<>();
        Set<String> met = Section.newSeenSet();
        for (Section section : root.sections("kind", 64)) {
            String name = Tables.checkName(section, "name", section.requiredText("name"));
            section.requireUnique("name", name, met);
            int cores = (int) section.integer("cores", 2, 1, 1024);
            int slots = (int) section.integer("slots", cores, 1, 1 << 16);
            double gain = section.number("gain", 0, 0, 1);
            if (!byModel && (slots != cores || gain > 0)) {
                section.addProblem("slots", "expected as many slots as cores and no gain over loopback, found " + slots + " slots, "
                        + cores + " cores and a gain of " + Section.formatNumber(gain));
            }
            kinds.add(new Scenario.Kind(name, cores, section.number("speed", 1, 0.001, 1000), slots,
                    (int) section.integer("queue", 64, 0, 1 << 20), gain, section.durationMicros("key_for", 5 * SECOND, 0, 10 * MINUTE),
                    (int) section.integer("keys_most", 200, 1, 1 << 20)));
            section.rejectUnknownKeys();
        }
        if (kinds.isEmpty()) {
            root.addProblem("kind", "expected at least one machine kind, [[kind]], found none");
        }
        return kinds;
    }

    private static List<Scenario.Group> groups(Section root, List<Scenario.Kind> kinds) {
        List<Scenario.Group> groups = new ArrayList<>();
        List<String> names = kinds.stream().map(Scenario.Kind::name).toList();
        for (Section section : root.sections("nodes", 256)) {
            String kind = Tables.readDefinedName(section, "kind", names);
            if (kind == null) {
                section.addProblem("kind", "expected the name of a kind, found nothing");
            }
            groups.add(new Scenario.Group(Tables.checkName(section, "pool", section.text("pool", "main")), kind,
                    (int) section.integer("count", 1, 1, NODES_MOST), (int) section.integer("cell", 0, 0, NODES_MOST)));
            section.rejectUnknownKeys();
        }
        if (groups.isEmpty()) {
            root.addProblem("nodes", "expected at least one group of nodes, [[nodes]], found none");
        }
        return groups;
    }

    private static Map<String, Work> works(Section root, List<String> classes) {
        Map<String, Work> works = new HashMap<>();
        Set<String> met = Section.newSeenSet();
        for (Section section : root.sections("work", 64)) {
            String name = Tables.readDefinedName(section, "class", classes);
            section.requireUnique("class", String.valueOf(name), met);
            List<Work.Shape> shapes = List.of(Work.Shape.values());
            Work.Shape shape = section.oneOf("shape", Work.Shape.EXPONENTIAL, words(shapes), shapes);
            double mean = section.requiredDurationMicros("mean", 1, 10 * MINUTE);
            double cv = section.number("cv", 1, 0, 100);
            try {
                works.put(name, new Work(mean, shape, cv));
            } catch (IllegalArgumentException e) {
                section.addProblem("cv", e.getMessage());
            }
            section.rejectUnknownKeys();
        }
        classes.stream().filter(name -> !met.contains(name)).forEach(name ->
                root.addProblem("work", "expected how long class " + name + " takes, [[work]], found nothing"));
        return works;
    }

    private static <E extends Enum<E>> List<String> words(List<E> values) {
        return values.stream().map(value -> value.name().toLowerCase(Locale.ROOT)).toList();
    }

    private static List<Route> routes(Section root, List<String> classes, List<String> pools) {
        List<Route> routes = new ArrayList<>();
        for (Section section : root.sections("route", 64)) {
            String type = Tables.readDefinedName(section, "class", classes);
            String fallback = Tables.readDefinedName(section, "fallback", pools);
            List<Route.Target> targets = Tables.readTargets(section, new LinkedHashSet<>(pools));
            if (targets.stream().noneMatch(target -> target.weight() > 0)) {
                section.addProblem("pools", "expected a pool with a weight above 0, found none");
            } else {
                routes.add(new Route("route-" + (routes.size() + 1), new Match(type, null, null, null, null, null), targets, fallback));
            }
            section.rejectUnknownKeys();
        }
        if (routes.isEmpty() && pools.size() > 1) {
            root.addProblem("route", "expected at least one route, [[route]], where there are " + pools.size() + " pools, found none");
        }
        return routes;
    }

    private static List<Population> populations(Section root, List<RequestClass> classes, List<Tenant> tenants, List<String> zones,
            long length, boolean byModel) {
        List<Population> populations = new ArrayList<>();
        Set<String> met = Section.newSeenSet();
        for (Section section : root.sections("population", 64)) {
            String name = Tables.checkName(section, "name", section.requiredText("name"));
            section.requireUnique("name", name, met);
            String tenant = Tables.readDefinedName(section, "tenant", tenants.stream().map(Tenant::name).toList());
            long tryFor = section.durationMicros("try_for", 0, MILLI, 10 * MINUTE);
            Section weights = section.section("classes");
            List<Mix.Part> parts = new ArrayList<>();
            for (RequestClass type : classes) {
                double weight = weights.has(type.name()) ? weights.number(type.name(), 0, 0, 1e6) : 0;
                if (weight > 0) {
                    parts.add(new Mix.Part(type.name(), tenant, type.repeat(), weight, tryFor > 0 ? tryFor : type.deadline(), 0));
                }
            }
            weights.rejectUnknownKeys();
            if (parts.isEmpty()) {
                section.addProblem("classes", "expected a class with a weight above 0, found none");
            }
            List<Arrivals.Kind> kinds = List.of(Arrivals.Kind.values());
            Arrivals.Kind arrivals = section.oneOf("arrivals", Arrivals.Kind.POISSON, words(kinds), kinds);
            Mix.Keys keys = GridReader.keys(section);
            Tries tries = new Tries((int) section.integer("tries", 1, 1, 20), section.durationMicros("pause", 100 * MILLI, 0, MINUTE),
                    section.number("growth", 1, 1, 10), section.number("jitter", 0.5, 0, 1), section.number("follows", 0, 0, 1));
            if (!byModel && tries.most() > 1) {
                section.addProblem("tries", "expected 1 over loopback, found " + tries.most());
            }
            Curve curve = null;
            try {
                curve = Curve.parse(section.requiredText("rate"), length / 1e6);
            } catch (IllegalArgumentException e) {
                section.addProblem("rate", e.getMessage());
            }
            populations.add(new Population(name, Tables.readDefinedName(section, "zone", zones), curve, arrivals, parts, keys, tries));
            section.rejectUnknownKeys();
        }
        if (populations.isEmpty()) {
            root.addProblem("population", "expected at least one population of clients, [[population]], found none");
        }
        return populations;
    }

    private static List<Fault> faults(Section root, Scenario.Site site, List<Scenario.Kind> kinds, List<String> pools,
            List<Scenario.Group> groups, long length, boolean byModel) {
        List<Fault> faults = new ArrayList<>();
        List<What> whats = List.of(What.values());
        int nodes = groups.stream().mapToInt(Scenario.Group::count).sum();
        for (Section section : root.sections("fault", 256)) {
            What what = section.oneOf("what", null, words(whats), whats);
            if (what == null && !section.has("what")) {
                section.addProblem("what", "expected one of " + String.join(", ", words(whats)) + ", found nothing");
            }
            if (what != null && !byModel && !LOOPBACK_FAULTS.contains(what)) {
                section.addProblem("what", "expected one of " + String.join(", ", words(LOOPBACK_FAULTS.stream().sorted().toList()))
                        + " over loopback, found " + words(List.of(what)).get(0));
            }
            long at = section.requiredDurationMicros("at", 0, 60 * MINUTE);
            long lasts = section.requiredDurationMicros("for", MILLI, 60 * MINUTE);
            if (at + lasts > length) {
                section.addProblem("at", "expected its end within the length of " + length / SECOND + " s, found " + (at + lasts) / 1e6 + " s");
            }
            String node = section.text("node");
            if (node != null && !known(node, what, nodes, site.gateways())) {
                section.addProblem("node", "expected a node from n-0 to n-" + (nodes - 1) + (what == What.GATEWAYS
                        ? " or a gateway from gateway-0 to gateway-" + (site.gateways() - 1) : "") + ", found \"" + node + "\"");
            }
            double size = section.number("size", what == What.DEPLOY ? 0.1 : what == What.ERRORS ? 1 : 2, 0.0001, 1000);
            if ((what == What.DEPLOY || what == What.ERRORS) && size > 1) {
                section.addProblem("size", "expected a part, up to 1, found " + Section.formatNumber(size));
            }
            String zone = Tables.readDefinedName(section, "zone", site.zones());
            if (what == What.CUT && zone == null) {
                section.addProblem("zone", "expected the zone that is cut off, found nothing");
            }
            faults.add(new Fault(what, at, lasts, size, new Scenario.Where(zone, Tables.readDefinedName(section, "kind",
                    kinds.stream().map(Scenario.Kind::name).toList()), Tables.readDefinedName(section, "pool", pools), node,
                    section.number("part", 1, 0.0001, 1))));
            section.rejectUnknownKeys();
        }
        return faults;
    }

    private static boolean known(String node, What what, int nodes, int gateways) {
        boolean gateway = what == What.GATEWAYS;
        String head = gateway ? "gateway-" : "n-";
        String number = node.startsWith(head) ? node.substring(head.length()) : "";
        return number.matches("\\d{1,6}") && Integer.parseInt(number) < (gateway ? gateways : nodes);
    }

    // ---- arms and limits

    private List<Arm> arms(Section root, Scenario scenario, boolean byModel) {
        List<Arm> arms = new ArrayList<>();
        Set<String> met = Section.newSeenSet();
        List<List<Object>> differences = new ArrayList<>();
        for (Section section : root.sections("arm", 32)) {
            String name = Tables.checkName(section, "name", section.requiredText("name"));
            section.requireUnique("name", name, met);
            String policy = section.text("policy", "module");
            Policy.Breaks breaks = section.oneOf("breaks", Policy.Breaks.NOTHING, List.of("group", "drain", "twice"),
                    List.of(Policy.Breaks.GROUP, Policy.Breaks.DRAIN, Policy.Breaks.TWICE));
            Scenario own = changed(section, scenario);
            if (!byModel && (!policy.equals("module") || breaks != Policy.Breaks.NOTHING)) {
                section.addProblem("policy", "expected module and nothing that breaks over loopback, found " + policy);
            }
            List<Object> difference = Arrays.asList(policy, breaks, own.site(), rates(own), own.zones(), own.peers());
            int same = differences.indexOf(difference);
            if (same >= 0) {
                section.addProblem("expected something that differs from arm " + arms.get(same).name() + ", found nothing");
            }
            differences.add(difference);
            arms.add(new Arm(name, policy(section, policy).breaking(breaks), own));
            section.rejectUnknownKeys();
        }
        return arms.isEmpty() ? List.of(new Arm("module", Policy.module(), scenario)) : arms;
    }

    private static List<Object> rates(Scenario scenario) {
        List<Object> rates = new ArrayList<>();
        scenario.populations().forEach(population -> {
            rates.add(population.curve() == null ? 0 : population.curve().total());
            rates.add(population.tries());
        });
        return rates;
    }

    private Policy policy(Section section, String policy) {
        switch (policy) {
            case "module" -> {
                return Policy.module();
            }
            case "random" -> {
                return Policy.random();
            }
            case "two" -> {
                return Policy.twoChoices();
            }
            default -> {
                if (!policy.endsWith(".jar")) {
                    section.addProblem("policy", "expected module, random, two or the path of another build's jar, found \"" + policy + "\"");
                    return Policy.module();
                }
                try {
                    return Builds.of(folder.resolve(policy));
                } catch (IllegalArgumentException e) {
                    section.addProblem("policy", e.getMessage());
                    return Policy.module();
                }
            }
        }
    }

    /** What an arm may set otherwise than the file's site and populations. */
    private static Scenario changed(Section section, Scenario scenario) {
        Scenario.Site site = scenario.site();
        double factor = section.number("rate_times", 1, 0.0001, 10_000);
        Scenario.Site own = new Scenario.Site(site.zones(), (int) section.integer("gateways", site.gateways(), 1, GATEWAYS_MOST),
                site.within(), site.across(), site.jitter(), site.loss(), site.resets(),
                section.durationMicros("list_delay", site.listDelay(), 0, MINUTE), site.listSpread(),
                section.number("list_missed", site.listMissed(), 0, 1), site.listDoubled(), site.listEvery(),
                section.flag("membership", site.membership()), section.durationMicros("gateway_cost", site.gatewayCost(), 0, SECOND),
                site.frontNotice(), (int) section.integer("max_attempts", site.maxAttempts(), 1, 16),
                section.durationMicros("retry_after", site.retryAfter(), 0, MINUTE), section.flag("marks_retry", site.marksRetry()),
                section.flag("probes", site.probes()), site.rules());
        Double follows = section.number("follows", 0, 1);
        List<Population> populations = scenario.populations().stream().map(population -> new Population(population.name(),
                population.zone(), population.curve() == null ? null : population.curve().times(factor), population.arrivals(),
                population.parts(), population.keys(), follows == null ? population.tries() : new Tries(population.tries().most(),
                        population.tries().pause(), population.tries().growth(), population.tries().jitter(), follows))).toList();
        return new Scenario(own, scenario.kinds(), scenario.groups(), scenario.classes(), scenario.works(), scenario.tenants(),
                scenario.routes(), populations, scenario.faults(), scenario.length(), scenario.warm(), budgets(section, scenario.zones()),
                peers(section, scenario.peers()));
    }

    /** The budgets' amounts times so much, sharing or not, giving way or not, or no counting at all. */
    private static Scenario.Zones budgets(Section section, Scenario.Zones zones) {
        double times = section.number("budget_times", 1, 0, 1e9);
        boolean on = section.flag("zones", zones != null);
        if (zones == null) {
            if (on || section.has("budget_times")) {
                section.addProblem("zones", "expected a table zones in the file, found none");
            }
            return null;
        }
        boolean shared = section.flag("shared", zones.shared());
        boolean gives = section.flag("gives", true);
        ZoneSettings all = zones.settings();
        List<mastdrift.zones.CrossingBudget> limits = all.budgets().stream().map(limit -> limit.scaledBy(times)).toList();
        return !on ? null : new Scenario.Zones(new ZoneSettings(limits, all.prices(), all.networks(), gives ? all.overrideClasses() : List.of(), all.recoveryDelayMicros(), null, null,
                null), shared, zones.requestBytes(), zones.answerBytes());
    }

    private static List<Limit> limits(Section root, List<String> arms) {
        List<Limit> limits = new ArrayList<>();
        List<Quantity> quantities = List.of(Quantity.values());
        for (Section section : root.sections("limit", 256)) {
            Quantity what = section.oneOf("what", null, quantities.stream().map(Quantity::word).toList(), quantities);
            if (what == null && !section.has("what")) {
                section.addProblem("what", "expected what is limited, found nothing");
            }
            boolean time = what != null && what.time();
            Double least = bound(section, "least", time);
            Double most = bound(section, "most", time);
            if (least == null && most == null && !section.has("least") && !section.has("most")) {
                section.addProblem("expected least or most, found neither");
            }
            limits.add(new Limit(Tables.readDefinedName(section, "arm", arms), what, least, most, section.location()));
            section.rejectUnknownKeys();
        }
        return limits;
    }

    private static Double bound(Section section, String key, boolean time) {
        if (!section.has(key)) {
            return null;
        }
        return time ? Double.valueOf(section.requiredDurationMicros(key, 0, 60 * MINUTE)) : section.number(key, 0, 1e12);
    }
}
