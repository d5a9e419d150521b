package mastdrift.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Rules;
import mastdrift.Balancer.Tenant;
import mastdrift.routing.Route;
import mastdrift.settings.AddressRange;

/** Readers for tables and values that several kinds of files have in common: a gateway's file and an experiment's. */
public final class Tables {

    private static final long MICROS_PER_MILLI = 1000;
    private static final long MICROS_PER_SECOND = 1000 * MICROS_PER_MILLI;
    private static final long MICROS_PER_MINUTE = 60 * MICROS_PER_SECOND;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private static final Pattern ENDPOINT_PATTERN = Pattern.compile(
            "(?:\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]{2,45}\\]):(\\d{1,5})");

    private Tables() { }

    /** The classes of requests, {@code [[class]]}; adds a problem if there are none. */
    public static List<RequestClass> readClasses(Section root) {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> seen = Section.newSeenSet();
        for (Section section : root.sections("class", 64)) {
            String name = checkName(section, "name", section.requiredText("name"));
            section.requireUnique("name", name, seen);
            Repeat repeat = section.oneOf("effect", null, List.of("safe", "keyed", "unsafe"), List.of(Repeat.values()));
            if (repeat == null && !section.has("effect")) {
                section.addProblem("effect", "expected safe, keyed or unsafe, found nothing");
            }
            boolean keyed = repeat == Repeat.KEYED;
            if (!keyed && (section.has("group") || section.has("dedup_window"))) {
                section.addProblem("group and dedup_window are for keyed classes only");
            }
            Group group = section.oneOf("group", keyed ? Group.ZONE : Group.ALL, List.of("all", "zone", "cell"),
                    List.of(Group.values()));
            long dedupWindowMicros = keyed
                    ? section.requiredDurationMicros("dedup_window", MICROS_PER_MILLI, 60 * MICROS_PER_MINUTE) : 0;
            long aimMicros = section.requiredDurationMicros("aim", MICROS_PER_MILLI, 10 * MICROS_PER_MINUTE);
            long deadlineMicros = section.requiredDurationMicros("deadline", MICROS_PER_MILLI, 10 * MICROS_PER_MINUTE);
            if (aimMicros > deadlineMicros) {
                section.addProblem("aim", "expected no more than the deadline");
            }
            classes.add(new RequestClass(name, aimMicros, 0, deadlineMicros, section.number("worth", 1, 0.001, 1e6),
                    section.number("late_worth", 0.5, 0, 1), repeat == null ? Repeat.UNSAFE : repeat, group, dedupWindowMicros, false));
            section.rejectUnknownKeys();
        }
        if (classes.isEmpty()) {
            root.addProblem("class", "expected at least one class, [[class]], found none");
        }
        return classes;
    }

    /** The tenants, {@code [[tenant]]}. */
    public static List<Tenant> readTenants(Section root) {
        List<Tenant> tenants = new ArrayList<>();
        Set<String> seen = Section.newSeenSet();
        for (Section section : root.sections("tenant", 1000)) {
            String name = checkName(section, "name", section.requiredText("name"));
            section.requireUnique("name", name, seen);
            tenants.add(new Tenant(name, section.number("share", 1, 0, 1),
                    section.requiredNumber("requests_per_second", 0.001, 1e7)));
            section.rejectUnknownKeys();
        }
        return tenants;
    }

    /** The parameters of the four rules that a pool may set. */
    public static Rules readRules(Section section) {
        return new Rules(50 * MICROS_PER_MILLI,
                section.durationMicros("drain_grace", 250 * MICROS_PER_MILLI, 60 * MICROS_PER_MILLI, MICROS_PER_MINUTE),
                0,
                section.number("cold_from", 0.13, 0.001, 1),
                section.durationMicros("warm_within", 24 * MICROS_PER_SECOND, MICROS_PER_MILLI, 60 * MICROS_PER_MINUTE),
                section.number("fall_multiple", 3, 0.1, 1000),
                section.durationMicros("fall_span", 2 * MICROS_PER_SECOND, MICROS_PER_MILLI, 10 * MICROS_PER_MINUTE));
    }

    /** The pools of a route and their weights, {@code pools = { a = 1 }}. */
    public static List<Route.Target> readTargets(Section route, Set<String> pools) {
        Section weights = route.section("pools");
        Set<String> givenPools = weights.keys();
        List<Route.Target> targets = pools.stream().filter(givenPools::contains)
                .map(pool -> new Route.Target(pool, weights.number(pool, 0, 0, 1e6))).toList();
        weights.rejectUnknownKeys(pools);
        return targets;
    }

    /** An address range; adds a problem and returns null if there is none. */
    static AddressRange readAddressRange(Section section, String key) {
        String text = section.requiredText(key);
        try {
            return text.equals("?") ? null : AddressRange.parse(text);
        } catch (IllegalArgumentException e) {
            section.addProblem(key, e.getMessage());
            return null;
        }
    }

    /** Whether a text is a name: up to 64 letters, digits, dots, - and _. */
    static boolean isName(String text) {
        return NAME_PATTERN.matcher(text).matches();
    }

    /** Returns {@code name}, after adding a problem if it is not a valid name. */
    public static String checkName(Section section, String key, String name) {
        if (!name.equals("?") && !isName(name)) {
            section.addProblem(key, "expected up to 64 letters, digits, dots, - and _, found \"" + name + "\"");
        }
        return name;
    }

    /**
     * The text of a key that must be one of the defined names, or null if absent; an unknown name is returned after
     * adding a problem.
     */
    public static String readDefinedName(Section section, String key, List<String> names) {
        String name = section.text(key);
        if (name != null && !names.contains(name)) {
            section.addProblem(key, expectedOneOf("those defined", names, name));
        }
        return name;
    }

    /** Whether a text is an address and a port in digits. */
    static boolean isEndpoint(String text) {
        Matcher matcher = ENDPOINT_PATTERN.matcher(text);
        boolean valid = matcher.matches() && Integer.parseInt(matcher.group(1)) <= 65_535;
        if (valid && !text.startsWith("[")) {
            for (String part : text.substring(0, text.indexOf(':')).split("\\.")) {
                valid &= Integer.parseInt(part) <= 255;
            }
        }
        return valid;
    }

    /** Returns {@code text}, after adding a problem if it is not an address and a port in digits. */
    static String checkEndpoint(Section section, String key, String text) {
        if (!text.equals("?") && !isEndpoint(text)) {
            section.addProblem(key, "expected ADDRESS:PORT in digits, found \"" + text + "\"");
        }
        return text;
    }

    /** The location of a secret, given by {@code secret_file} or {@code secret_variable}; null if both are absent. */
    static SecretRef readSecretRef(Section section) {
        String file = section.text("secret_file");
        String variable = section.text("secret_variable");
        if (file != null && variable != null) {
            section.addProblem("secret_file", "expected secret_file or secret_variable, found both");
        }
        return file != null ? new SecretRef(true, file) : variable != null ? new SecretRef(false, variable) : null;
    }

    /**
     * The keys that are valid at the same time, the signing key first: the tables {@code key} of the table {@code
     * table}.
     */
    static List<SecretRef> readSigningKeys(Section section, String table) {
        List<SecretRef> keys = new ArrayList<>();
        for (Section each : section.sections("key", PeerSettings.MAX_KEYS)) {
            SecretRef key = readSecretRef(each);
            if (key == null) {
                each.addProblem("expected secret_file or secret_variable, found neither");
            } else {
                keys.add(key);
            }
            each.rejectUnknownKeys();
        }
        if (keys.isEmpty()) {
            section.addProblem("key", "expected at least one key, [[" + table + ".key]], found none");
        }
        return List.copyOf(keys);
    }

    static String expectedOneOf(String what, List<String> names, String found) {
        String nearest = Section.nearest(found, names);
        String listed = names.size() <= 8 ? " (" + String.join(", ", names) + ")" : "";
        return "expected one of " + what + listed + ", found \"" + found + "\""
                + (nearest == null ? "" : "; did you mean " + nearest + "?");
    }
}
