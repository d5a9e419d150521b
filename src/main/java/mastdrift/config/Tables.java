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

/** Tables that files of several kinds have alike: a gateway's file and an experiment's. */
public final class Tables {

    private static final long MILLI = 1000;
    private static final long SECOND = 1000 * MILLI;
    private static final long MINUTE = 60 * SECOND;
    private static final Pattern WORD = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private static final Pattern ENDPOINT = Pattern.compile(
            "(?:\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]{2,45}\\]):(\\d{1,5})");

    private Tables() { }

    /** The classes of requests, {@code [[class]]}; a problem where there are none. */
    public static List<RequestClass> classes(Section root) {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> met = Section.met();
        for (Section section : root.sections("class", 64)) {
            String name = word(section, "name", section.requiredText("name"));
            section.once("name", name, met);
            Repeat repeat = section.word("effect", null, List.of("safe", "keyed", "unsafe"), List.of(Repeat.values()));
            if (repeat == null && !section.has("effect")) {
                section.problem("effect", "expected safe, keyed or unsafe, found nothing");
            }
            boolean keyed = repeat == Repeat.KEYED;
            if (!keyed && (section.has("group") || section.has("dedup_window"))) {
                section.problem("group and dedup_window are for keyed classes alone");
            }
            Group group = section.word("group", keyed ? Group.ZONE : Group.ALL, List.of("all", "zone", "cell"),
                    List.of(Group.values()));
            long window = keyed ? section.requiredSpan("dedup_window", MILLI, 60 * MINUTE) : 0;
            long aim = section.requiredSpan("aim", MILLI, 10 * MINUTE);
            long deadline = section.requiredSpan("deadline", MILLI, 10 * MINUTE);
            if (aim > deadline) {
                section.problem("aim", "expected no more than the deadline");
            }
            classes.add(new RequestClass(name, aim, 0, deadline, section.real("worth", 1, 0.001, 1e6),
                    section.real("late_worth", 0.5, 0, 1), repeat == null ? Repeat.UNSAFE : repeat, group, window, false));
            section.noMore();
        }
        if (classes.isEmpty()) {
            root.problem("class", "expected at least one class, [[class]], found none");
        }
        return classes;
    }

    /** The tenants, {@code [[tenant]]}. */
    public static List<Tenant> tenants(Section root) {
        List<Tenant> tenants = new ArrayList<>();
        Set<String> met = Section.met();
        for (Section section : root.sections("tenant", 1000)) {
            String name = word(section, "name", section.requiredText("name"));
            section.once("name", name, met);
            tenants.add(new Tenant(name, section.real("share", 1, 0, 1),
                    section.requiredReal("requests_per_second", 0.001, 1e7)));
            section.noMore();
        }
        return tenants;
    }

    /** The figures of the four rules that a pool may set. */
    public static Rules rules(Section section) {
        return new Rules(50 * MILLI, section.span("drain_grace", 250 * MILLI, 60 * MILLI, MINUTE), 0,
                section.real("cold_from", 0.13, 0.001, 1), section.span("warm_within", 24 * SECOND, MILLI, 60 * MINUTE),
                section.real("fall_multiple", 3, 0.1, 1000), section.span("fall_span", 2 * SECOND, MILLI, 10 * MINUTE));
    }

    /** Pools and their weights, {@code pools = { a = 1 }}. */
    public static List<Route.Target> targets(Section route, Set<String> pools) {
        Section weights = route.section("pools");
        Set<String> given = weights.keys();
        List<Route.Target> targets = pools.stream().filter(given::contains)
                .map(pool -> new Route.Target(pool, weights.real(pool, 0, 0, 1e6))).toList();
        weights.noMore(pools);
        return targets;
    }

    /** A range of addresses; null, and a problem, where there is none. */
    static AddressRange range(Section section, String key) {
        String text = section.requiredText(key);
        try {
            return text.equals("?") ? null : AddressRange.parse(text);
        } catch (IllegalArgumentException e) {
            section.problem(key, e.getMessage());
            return null;
        }
    }

    /** Whether a text is a name: up to 64 letters, digits, dots, - and _. */
    static boolean isWord(String text) {
        return WORD.matcher(text).matches();
    }

    /** A name: a problem where it is not one word. */
    public static String word(Section section, String key, String word) {
        if (!word.equals("?") && !isWord(word)) {
            section.problem(key, "expected up to 64 letters, digits, dots, - and _, found \"" + word + "\"");
        }
        return word;
    }

    /** The text of a key that has to be one of these names; null where it is not there. */
    public static String among(Section section, String key, List<String> names) {
        String name = section.text(key);
        if (name != null && !names.contains(name)) {
            section.problem(key, expectedOne("those defined", names, name));
        }
        return name;
    }

    /** Whether a text is an address and a port in digits. */
    static boolean isEndpoint(String text) {
        Matcher matcher = ENDPOINT.matcher(text);
        boolean fits = matcher.matches() && Integer.parseInt(matcher.group(1)) <= 65_535;
        if (fits && !text.startsWith("[")) {
            for (String part : text.substring(0, text.indexOf(':')).split("\\.")) {
                fits &= Integer.parseInt(part) <= 255;
            }
        }
        return fits;
    }

    /** An address and a port in digits: a problem where it is none. */
    static String endpoint(Section section, String key, String text) {
        if (!text.equals("?") && !isEndpoint(text)) {
            section.problem(key, "expected ADDRESS:PORT in digits, found \"" + text + "\"");
        }
        return text;
    }

    /** Where a secret is, by {@code secret_file} or {@code secret_variable}; null where there is neither. */
    static SecretRef secret(Section section) {
        String file = section.text("secret_file");
        String variable = section.text("secret_variable");
        if (file != null && variable != null) {
            section.problem("secret_file", "expected secret_file or secret_variable, found both");
        }
        return file != null ? new SecretRef(true, file) : variable != null ? new SecretRef(false, variable) : null;
    }

    /** Keys that are good at a time, the first one to sign by: the tables {@code key} of the one that operators call {@code table}. */
    static List<SecretRef> keys(Section section, String table) {
        List<SecretRef> keys = new ArrayList<>();
        for (Section each : section.sections("key", PeerSettings.KEYS_MOST)) {
            SecretRef key = secret(each);
            if (key == null) {
                each.problem("expected secret_file or secret_variable, found neither");
            } else {
                keys.add(key);
            }
            each.noMore();
        }
        if (keys.isEmpty()) {
            section.problem("key", "expected at least one key, [[" + table + ".key]], found none");
        }
        return List.copyOf(keys);
    }

    static String expectedOne(String what, List<String> names, String found) {
        String nearest = Section.nearest(found, names);
        String listed = names.size() <= 8 ? " (" + String.join(", ", names) + ")" : "";
        return "expected one of " + what + listed + ", found \"" + found + "\""
                + (nearest == null ? "" : "; did you mean " + nearest + "?");
    }
}
