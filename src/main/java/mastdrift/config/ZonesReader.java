package mastdrift.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Tenant;
import mastdrift.settings.AddressRange;
import mastdrift.zones.CrossingBudget;
import mastdrift.zones.CrossingBudget.Unit;
import mastdrift.zones.ClientNetworks;
import mastdrift.zones.Price;
import mastdrift.zones.BudgetWindow;
import mastdrift.zones.ZoneSettings;

/** Reads the table {@code [zones]}, of a gateway's file and of an experiment's; docs/operations/zones.md lists its keys. */
public final class ZonesReader {

    private static final int MOST = 64;

    private final Section section;
    private final String own;
    private final List<String> zones;
    private final List<String> classes;
    private final List<String> tenants;
    private final List<String> pools;

    private ZonesReader(Section section, String own, List<String> zones, List<RequestClass> classes, List<Tenant> tenants,
            Collection<String> pools) {
        this.section = section;
        this.own = own;
        this.zones = zones;
        this.classes = classes.stream().map(RequestClass::name).toList();
        this.tenants = tenants.stream().map(Tenant::name).toList();
        this.pools = List.copyOf(pools);
    }

    /** Null where there is no such table: what crosses zones is neither counted nor bounded then. {@code own} is the gateway's zone, or null
        for gateways of all. */
    public static ZoneSettings read(Section root, String own, List<String> zones, List<RequestClass> classes, List<Tenant> tenants,
            Collection<String> pools) {
        return root.has("zones") ? new ZonesReader(root.section("zones"), own, zones, classes, tenants, pools).settings() : null;
    }

    private ZoneSettings settings() {
        List<String> order = section.texts("give_way", MOST);
        Set<String> met = Section.met();
        order.forEach(name -> {
            section.once("give_way", name, met);
            if (!classes.contains(name)) {
                section.problem("give_way", Tables.expectedOne("the classes", classes, name));
            }
        });
        List<CrossingBudget> limits = new ArrayList<>();
        Set<String> names = Section.met();
        for (Section each : section.sections("budget", MOST)) {
            limits.add(limit(each, names));
        }
        ZoneSettings settings = new ZoneSettings(limits, prices(), networks(), order,
                section.span("calm", 5_000_000, 1_000_000, 600_000_000), section.text("report_file"), section.text("state_folder"),
                section.text("shared_folder"));
        if (limits.stream().anyMatch(limit -> limit.unit() == Unit.MONEY) && settings.prices().isEmpty()) {
            section.problem("budget", "expected prices, [[zones.price]], for a budget of money, found none");
        }
        section.noMore();
        return settings;
    }

    private CrossingBudget limit(Section each, Set<String> names) {
        String name = Tables.word(each, "name", each.requiredText("name"));
        each.once("name", name, names);
        List<BudgetWindow> windows = List.of(BudgetWindow.values());
        BudgetWindow window = each.word("window", null, windows.stream().map(BudgetWindow::settingName).toList(), windows);
        if (window == null && !each.has("window")) {
            each.problem("window", "expected minute, hour, day or month, found nothing");
        }
        Double bytes = each.bytes("bytes");
        Double requests = each.real("requests", 0, 1e12);
        Double money = each.real("money", 0, 1e12);
        List<String> given = Arrays.stream(Unit.values()).map(unit -> unit.name().toLowerCase(Locale.ROOT)).filter(each::has).toList();
        if (given.size() != 1) {
            each.problem("expected one of bytes, requests and money, found " + (given.isEmpty() ? "none" : String.join(", ", given)));
        }
        Unit unit = bytes != null ? Unit.BYTES : requests != null ? Unit.REQUESTS : Unit.MONEY;
        double amount = bytes != null ? bytes : requests != null ? requests : money != null ? money : 0;
        String to = zone(each, "to");
        if (to != null && to.equals(own)) {
            each.problem("to", "expected another zone than the gateway's own, found \"" + to + "\"");
        }
        CrossingBudget limit = new CrossingBudget(name, window == null ? BudgetWindow.MONTH : window, unit, amount, to, Tables.among(each, "class", classes),
                Tables.among(each, "tenant", tenants), Tables.among(each, "pool", pools), each.real("carry_most", 0, 0, 1),
                each.flag("hard", false));
        each.noMore();
        return limit;
    }

    private String zone(Section each, String key) {
        String zone = each.text(key);
        if (zone != null && !zones.contains(zone)) {
            each.problem(key, Tables.expectedOne("zones", zones, zone));
        }
        return zone;
    }

    private String requiredZone(Section each, String key) {
        String zone = zone(each, key);
        if (zone == null) {
            each.requiredText(key);
        }
        return zone == null ? "?" : zone;
    }

    private List<Price> prices() {
        List<Price> prices = new ArrayList<>();
        Set<String> met = Section.met();
        for (Section each : section.sections("price", MOST)) {
            Price price = new Price(requiredZone(each, "from"), requiredZone(each, "to"), each.real("per_gib", 0, 0, 1e9),
                    each.real("per_million_requests", 0, 0, 1e9));
            each.once("to", price.fromZone() + " to " + price.toZone(), met);
            if (price.fromZone().equals(price.toZone()) && !price.fromZone().equals("?")) {
                each.problem("to", "expected two zones, found \"" + price.toZone() + "\" twice");
            }
            prices.add(price);
            each.noMore();
        }
        return prices;
    }

    private List<ClientNetworks.Network> networks() {
        List<ClientNetworks.Network> networks = new ArrayList<>();
        Set<String> met = Section.met();
        for (Section each : section.sections("client", ClientNetworks.MAX_NETWORKS)) {
            AddressRange range = Tables.range(each, "network");
            String zone = requiredZone(each, "zone");
            if (range != null) {
                each.once("network", each.text("network"), met);
                networks.add(new ClientNetworks.Network(range, zone));
            }
            each.noMore();
        }
        return networks;
    }
}
