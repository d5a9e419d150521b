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

/** Reads an instance's settings from paths and their values, as its {@code init} line has them. */
public final class Facts {

    private final Map<String, String> values;

    /** Lists of plain values are joined by commas; lists of objects have a count and items by number. */
    public Facts(Map<String, String> values) {
        this.values = values;
    }

    /** Settings that a module can't do without are required; the others have a default that changes nothing.
        Throws IllegalArgumentException that names what it lacks. */
    public Settings settings(long seed) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < number("classes.count"); i++) {
            classes.add(requestClass("classes." + i + "."));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < number("tenants.count", 0); i++) {
            String path = "tenants." + i + ".";
            tenants.add(new Tenant(text(path + "name"), real(path + "fraction", 0), real(path + "quota_per_s")));
        }
        boolean onRequest = oneOf("registry_mode", "pushed", "on_request") == 1;
        Limits limits = new Limits(flag("allowed.cancel"), flag("allowed.probes"), flag("allowed.parallel_tries"),
                flag("allowed.may_tell", false), whole("allowed.max_attempts"),
                whole("allowed.max_open", Integer.MAX_VALUE), flag("allowed.retry_after"),
                number("allowed.max_retry_after"));
        Links links = new Links(number("allowed.dial_timeout"), number("allowed.conn_idle", Long.MAX_VALUE),
                whole("allowed.streams_per_conn", 1));
        Cpu cpu = new Cpu(number("allowed.cpu_us_per_s", Long.MAX_VALUE), real("allowed.cpu_us_per_request", 0));
        Rules rules = new Rules(number("guarantees.answer_slack", 0), number("guarantees.drain_grace", 0),
                onRequest ? number("guarantees.must_ask_in") : 0, real("guarantees.cold_from"),
                number("guarantees.warm_within"), real("guarantees.tip_multiple"), number("guarantees.fall"));
        Site site = new Site(whole("me", 0), whole("balancers"), text("locality"), list("dcs"), list("skus"),
                whole("layer", 0), list("stages"));
        boolean byWork = values.containsKey("worth_by") && oneOf("worth_by", "request", "work") == 1;
        Value value = new Value(goal(), prices(), real("over_share_worth", 1), byWork);
        Reports reports = values.containsKey("stats.how")
                ? Reports.values()[oneOf("stats.how", "inline", "on_probe", "off")] : Reports.OFF;
        Habits habits = new Habits(flag("family_info.warm_keys", false), flag("family_info.passes_deadline", false),
                reports, list("stats.names"), flag("client_habits.marks_retry", false));
        Weights weights = Weights.values()[oneOf("weights", "off", "nominal", "rough", "live")];
        return new Settings(classes, tenants, limits, links, cpu, rules, value, site, habits, onRequest, weights,
                values.getOrDefault("service_type", ""), number("resolution", 0), seed);
    }

    private RequestClass requestClass(String path) {
        Repeat repeat = Repeat.values()[oneOf(path + "repeat", "read_like", "idempotency_key", "non_idempotent")];
        boolean keyed = repeat == Repeat.KEYED;
        Group group = keyed ? Group.values()[oneOf(path + "group", "all", "zone", "cell")] : Group.ALL;
        return new RequestClass(text(path + "name"), number(path + "target"), real(path + "aim_stretch", 0),
                number(path + "deadline"), real(path + "credit"), real(path + "late_share"), repeat, group,
                keyed ? number(path + "dedup_window") : 0, flag(path + "stream", false));
    }

    private Goal goal() {
        return new Goal(real("goal.whole", 1), real("goal.worst_window", 0), real("goal.worst_class", 0),
                real("goal.worst_tenant", 0));
    }

    private Prices prices() {
        return new Prices(price("cross_zone"), price("waste"), price("connection"), price("handshake"),
                price("origin"), price("probe"), price("peer"), price("late_fail"), price("moves"),
                price("registry_mode"), price("fleet"));
    }

    private double price(String name) {
        return real("prices." + name, 0);
    }

    private List<String> list(String path) {
        String joined = values.getOrDefault(path, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    private String text(String path) {
        String value = values.get(path);
        if (value == null) {
            throw expected("the setting " + path);
        }
        return value;
    }

    private long number(String path) {
        try {
            return Long.parseLong(text(path));
        } catch (NumberFormatException e) {
            throw expected(path + " as a whole number, not " + text(path));
        }
    }

    private long number(String path, long absent) {
        return values.containsKey(path) ? number(path) : absent;
    }

    private int whole(String path) {
        long value = number(path);
        if (value != (int) value) {
            throw expected(path + " as a number of 32 bits, not " + value);
        }
        return (int) value;
    }

    private int whole(String path, int absent) {
        return values.containsKey(path) ? whole(path) : absent;
    }

    private double real(String path) {
        try {
            double value = Double.parseDouble(text(path));
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw expected(path + " as a number, not " + text(path));
        }
        throw expected(path + " as a finite number");
    }

    private double real(String path, double absent) {
        return values.containsKey(path) ? real(path) : absent;
    }

    private boolean flag(String path) {
        return oneOf(path, "false", "true") == 1;
    }

    private boolean flag(String path, boolean absent) {
        return values.containsKey(path) ? flag(path) : absent;
    }

    private int oneOf(String path, String... words) {
        int found = List.of(words).indexOf(text(path));
        if (found < 0) {
            throw expected(path + " as one of " + String.join(", ", words) + ", not " + text(path));
        }
        return found;
    }

    private static IllegalArgumentException expected(String what) {
        return new IllegalArgumentException(what);
    }
}
