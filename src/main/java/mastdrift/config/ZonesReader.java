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

/**
 * Reads the table {@code [zones]} of a gateway's file or of an experiment's; docs/operations/zones.md lists the keys.
 */
public final class ZonesReader {

    private static final int MAX_TABLES = 64;

    private final Section section;
    private final String ownZone;
    private final List<String> zones;
    private final List<String> classes;
    private final List<String> tenants;
    private final List<String> pools;

    private ZonesReader(Section section, String ownZone, List<String> zones, List<RequestClass> classes, List<Tenant> tenants,
            Collection<String> pools) {
        this.section = section;
        this.ownZone = ownZone;
        this.zones = zones;
        this.classes = classes.stream().map(RequestClass::name).toList();
        this.tenants = tenants.stream().map(Tenant::name).toList();
        this.pools = List.copyOf(pools);
    }

    /**
     * Reads the table; null if absent: cross-zone traffic is then neither counted nor limited. {@code ownZone} is the
     * gateway's zone, or null if the settings are for the gateways of all zones.
     */
    public static ZoneSettings read(Section root, String ownZone, List<String> zones, List<RequestClass> classes, List<Tenant> tenants,
            Collection<String> pools) {
        return root.has("zones") ? new ZonesReader(root.section("zones"), ownZone, zones, classes, tenants, pools).readSettings() : null;
    }

    private ZoneSettings readSettings() {
        List<String> giveWayOrder = section.texts("give_way", MAX_TABLES);
        Set<String> seen = Section.newSeenSet();
        giveWayOrder.forEach(name -> {
            section.requireUnique("give_way", name, seen);
            if (!classes.contains(name)) {
                section.addProblem("give_way", Tables.expectedOneOf("the classes", classes, name));
            }
        });
        List<CrossingBudget> limits = new ArrayList<>();
        Set<String> names = Section.newSeenSet();
        for (Section each : section.sections("budget", MAX_TABLES)) {
            limits.add(readLimit(each, names));
        }
        ZoneSettings settings = new ZoneSettings(limits, readPrices(), readNetworks(), giveWayOrder,
                section.durationMicros("calm", 5_000_000, 1_000_000, 600_000_000), section.text("report_file"), section.text("state_folder"),
                section.text("shared_folder"));
        if (limits.stream().anyMatch(limit -> limit.unit() == Unit.MONEY) && settings.prices().isEmpty()) {
            section.addProblem("budget", "expected prices, [[zones.price]], for a budget of money, found none");
        }
        section.rejectUnknownKeys();
        return settings;
    }

    private CrossingBudget readLimit(Section each, Set<String> names) {
        String name = Tables.checkName(each, "name", each.requiredText("name"));
        each.requireUnique("name", name, names);
        List<BudgetWindow> windows = List.of(BudgetWindow.values());
        BudgetWindow window = each.oneOf("window", null, windows.stream().map(BudgetWindow::settingName).toList(), windows);
        if (window == null && !each.has("window")) {
            each.addProblem("window", "expected minute, hour, day or month, found nothing");
        }
        Double bytes = each.bytes("bytes");
        Double requests = each.number("requests", 0, 1e12);
        Double money = each.number("money", 0, 1e12);
        List<String> given = Arrays.stream(Unit.values()).map(unit -> unit.name().toLowerCase(Locale.ROOT)).filter(each::has).toList();
        if (given.size() != 1) {
            each.addProblem("expected one of bytes, requests and money, found " + (given.isEmpty() ? "none" : String.join(", ", given)));
        }
        Unit unit = bytes != null ? Unit.BYTES : requests != null ? Unit.REQUESTS : Unit.MONEY;
        double amount = bytes != null ? bytes : requests != null ? requests : money != null ? money : 0;
        String to = readZone(each, "to");
        if (to != null && to.equals(ownZone)) {
            each.addProblem("to", "expected another zone than the gateway's own, found \"" + to + "\"");
        }
        CrossingBudget limit = new CrossingBudget(name, window == null ? BudgetWindow.MONTH : window, unit, amount, to, Tables.readDefinedName(each, "class", classes),
                Tables.readDefinedName(each, "tenant", tenants), Tables.readDefinedName(each, "pool", pools), each.number("carry_most", 0, 0, 1),
                each.flag("hard", false));
        each.rejectUnknownKeys();
        return limit;
    }

    private String readZone(Section each, String key) {
        String zone = each.text(key);
        if (zone != null && !zones.contains(zone)) {
            each.addProblem(key, Tables.expectedOneOf("zones", zones, zone));
        }
        return zone;
    }

    private String readRequiredZone(Section each, String key) {
        String zone = readZone(each, key);
        if (zone == null) {
            each.requiredText(key);
        }
        return zone == null ? "?" : zone;
    }

    private List<Price> readPrices() {
        List<Price> prices = new ArrayList<>();
        Set<String> seen = Section.newSeenSet();
        for (Section each : section.sections("price", MAX_TABLES)) {
            Price price = new Price(readRequiredZone(each, "from"), readRequiredZone(each, "to"), each.number("per_gib", 0, 0, 1e9),
                    each.number("per_million_requests", 0, 0, 1e9));
            each.requireUnique("to", price.fromZone() + " to " + price.toZone(), seen);
            if (price.fromZone().equals(price.toZone()) && !price.fromZone().equals("?")) {
                each.addProblem("to", "expected two zones, found \"" + price.toZone() + "\" twice");
            }
            prices.add(price);
            each.rejectUnknownKeys();
        }
        return prices;
    }

    private List<ClientNetworks.Network> readNetworks() {
        List<ClientNetworks.Network> networks = new ArrayList<>();
        Set<String> seen = Section.newSeenSet();
        for (Section each : section.sections("client", ClientNetworks.MAX_NETWORKS)) {
            AddressRange range = Tables.readAddressRange(each, "network");
            String zone = readRequiredZone(each, "zone");
            if (range != null) {
                each.requireUnique("network", each.text("network"), seen);
                networks.add(new ClientNetworks.Network(range, zone));
            }
            each.rejectUnknownKeys();
        }
        return networks;
    }
}
