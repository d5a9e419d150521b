package mastdrift.settings;

import mastdrift.Balancer.Cpu;
import mastdrift.Balancer.Goal;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Habits;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.Prices;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.Reports;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Site;
import mastdrift.Balancer.Tenant;
import mastdrift.Balancer.Value;
import mastdrift.Balancer.Weights;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads the settings of a decision module's instance from paths and their values, as given by its {@code init} line.
 */
public final class ModuleSettingsReader {

    private final Map<String, String> values;

    /** Lists of plain values are joined by commas; lists of objects have a count and numbered items. */
    public ModuleSettingsReader(Map<String, String> values) {
        this.values = values;
    }

    /**
     * Reads the settings. Those that a module can't do without are required; the others have a neutral default. Throws
     * IllegalArgumentException that names the first missing or invalid one.
     */
    public Settings read(long seed) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < longInteger("classes.count"); i++) {
            classes.add(readRequestClass("classes." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < longInteger("tenants.count", 0); i++) {
            String path = "tenants." + i + ".";
            tenants.add(new Tenant(text(path + "name"), number(path + "fraction", 0), number(path + "quota_per_s")));
        }
        boolean onRequest = oneOf("registry_mode", "pushed", "on_request") == 1;
        Limits limits = new Limits(flag("allowed.cancel"), flag("allowed.probes"), flag("allowed.parallel_tries"),
                flag("allowed.may_tell", false), integer("allowed.max_attempts"),
                integer("allowed.max_open", Integer.MAX_VALUE), flag("allowed.retry_after"),
                longInteger("allowed.max_retry_after"));
        Links links = new Links(longInteger("allowed.dial_timeout"), longInteger("allowed.conn_idle", Long.MAX_VALUE),
                integer("allowed.streams_per_conn", 1));
        Cpu cpu = new Cpu(longInteger("allowed.cpu_us_per_s", Long.MAX_VALUE), number("allowed.cpu_us_per_request", 0));
        Rules rules = new Rules(longInteger("guarantees.answer_slack", 0), longInteger("guarantees.drain_grace", 0),
                onRequest ? longInteger("guarantees.must_ask_in") : 0, number("guarantees.cold_from"),
                longInteger("guarantees.warm_within"), number("guarantees.tip_multiple"),
                longInteger("guarantees.fall"));
        Site site = new Site(integer("me", 0), integer("balancers"), text("locality"), list("dcs"), list("skus"),
                integer("layer", 0), list("stages"));
        boolean byWork = values.containsKey("worth_by") && oneOf("worth_by", "request", "work") == 1;
        Value value = new Value(readGoal(), readPrices(), number("over_share_worth", 1), byWork);
        Reports reports = values.containsKey("stats.how")
                ? Reports.values()[oneOf("stats.how", "inline", "on_probe", "off")] : Reports.OFF;
        Habits habits = new Habits(flag("family_info.warm_keys", false), flag("family_info.passes_deadline", false),
                reports, list("stats.names"), flag("client_habits.marks_retry", false));
        Weights weights = Weights.values()[oneOf("weights", "off", "nominal", "rough", "live")];
        return new Settings(classes, tenants, limits, links, cpu, rules, value, site, habits, onRequest, weights,
                values.getOrDefault("service_type", ""), longInteger("resolution", 0), seed);
    }

    private RequestClass readRequestClass(String path) {
        Repeat repeat = Repeat.values()[oneOf(path + "repeat", "read_like", "idempotency_key", "non_idempotent")];
        boolean keyed = repeat == Repeat.KEYED;
        Group group = keyed ? Group.values()[oneOf(path + "group", "all", "zone", "cell")] : Group.ALL;
        return new RequestClass(text(path + "name"), longInteger(path + "target"), number(path + "aim_stretch", 0),
                longInteger(path + "deadline"), number(path + "credit"), number(path + "late_share"), repeat, group,
                keyed ? longInteger(path + "dedup_window") : 0, flag(path + "stream", false));
    }

    private Goal readGoal() {
        return new Goal(number("goal.whole", 1), number("goal.worst_window", 0), number("goal.worst_class", 0),
                number("goal.worst_tenant", 0));
    }

    private Prices readPrices() {
        return new Prices(readPrice("cross_zone"), readPrice("waste"), readPrice("connection"), readPrice("handshake"),
                readPrice("origin"), readPrice("probe"), readPrice("peer"), readPrice("late_fail"), readPrice("moves"),
                readPrice("registry_mode"), readPrice("fleet"));
    }

    private double readPrice(String name) {
        return number("prices." + name, 0);
    }

    private List<String> list(String path) {
        String joined = values.getOrDefault(path, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    private String text(String path) {
        String value = values.get(path);
        if (value == null) {
            throw invalidSetting("the setting " + path);
        }
        return value;
    }

    private long longInteger(String path) {
        try {
            return Long.parseLong(text(path));
        } catch (NumberFormatException e) {
            throw invalidSetting(path + " as a whole number, not " + text(path));
        }
    }

    private long longInteger(String path, long defaultValue) {
        return values.containsKey(path) ? longInteger(path) : defaultValue;
    }

    private int integer(String path) {
        long value = longInteger(path);
        if (value != (int) value) {
            throw invalidSetting(path + " as a 32-bit whole number, not " + value);
        }
        return (int) value;
    }

    private int integer(String path, int defaultValue) {
        return values.containsKey(path) ? integer(path) : defaultValue;
    }

    private double number(String path) {
        try {
            double value = Double.parseDouble(text(path));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw invalidSetting(path + " as a number, not " + text(path));
        }
        throw invalidSetting(path + " as a finite number");
    }

    private double number(String path, double defaultValue) {
        return values.containsKey(path) ? number(path) : defaultValue;
    }

    private boolean flag(String path) {
        return oneOf(path, "false", "true") == 1;
    }

    private boolean flag(String path, boolean defaultValue) {
        return values.containsKey(path) ? flag(path) : defaultValue;
    }

    private int oneOf(String path, String... words) {
        int index = List.of(words).indexOf(text(path));
        if (index < 0) {
            throw invalidSetting(path + " as one of " + String.join(", ", words) + ", not " + text(path));
        }
        return index;
    }

    private static IllegalArgumentException invalidSetting(String what) {
        return new IllegalArgumentException(what);
    }
}
