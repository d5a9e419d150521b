package mastdrift.config;

import com.fasterxml.jackson.jr.ob.JSON;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** A table of a TOML file, read key by key. What is missing, of another type or out of range is a problem with its place,
    and reads as the value that stands for it, so that all problems of a file are found at once. */
public final class Section {

    private static final Pattern SPAN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m)");

    private static final Pattern BYTES = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?)(B|KiB|MiB|GiB|TiB)");
    private static final List<String> UNITS = List.of("B", "KiB", "MiB", "GiB", "TiB");
    // Stands for a table that is not there; parsed once, since each route of a file may lack one.
    private static final TomlTable EMPTY = Toml.parse("");

    private final String file;
    private final String name;
    private final TomlTable table;
    private final TomlPosition place;
    private final Problems problems;
    private final Set<String> known = new TreeSet<>();

    /** {@code name} is for messages; {@code place} is where the table begins. */
    Section(String file, String name, TomlTable table, TomlPosition place, Problems problems) {
        this.file = file;
        this.name = name;
        this.table = table;
        this.place = place;
        this.problems = problems;
    }

    /** The whole of a file; null where it is no TOML, which is a problem then. */
    public static Section root(String file, String text, Problems problems) {
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            problems.add(new Problem(file, error.position().line(), error.position().column(), error.getMessage()));
        }
        return parsed.hasErrors() ? null : new Section(file, "", parsed, TomlPosition.positionAt(1, 1), problems);
    }

    /** File, line and column of its beginning. */
    public String place() {
        return file + ":" + place.line() + ":" + place.column();
    }

    /** Whether it has a key, which is then a known one. */
    public boolean has(String key) {
        known.add(key);
        return table.get(List.of(key)) != null;
    }

    /** A problem of the table as a whole. */
    public void problem(String text) {
        problems.add(new Problem(file, place.line(), place.column(), name + ": " + text));
    }

    /** A problem of one key, at its place where it is there. */
    public void problem(String key, String text) {
        TomlPosition at = table.get(List.of(key)) == null ? place : table.inputPositionOf(List.of(key));
        problems.add(new Problem(file, at.line(), at.column(), name + "." + key + ": " + text));
    }

    private static String found(Object value) {
        String text = value instanceof TomlTable ? "a table" : value instanceof TomlArray ? "an array"
                : value instanceof String string ? '"' + string + '"' : String.valueOf(value);
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private <T> T value(String key, String expected, T absent, Function<Object, T> read) {
        known.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return absent;
        }
        T result = read.apply(value);
        if (result == null) {
            problem(key, "expected " + expected + ", found " + found(value));
            return absent;
        }
        return result;
    }

    private <T> T required(String key, String expected, T result, T instead) {
        if (result != null) {
            return result;
        }
        if (table.get(List.of(key)) == null) {
            problem(key, "expected " + expected + ", found nothing");
        }
        return instead;
    }

    /** Null where it is not there. */
    public String text(String key) {
        return value(key, "a text", null, value -> value instanceof String text && !text.isBlank() ? text : null);
    }

    /** The text of a key, or {@code absent}. */
    public String text(String key, String absent) {
        String text = text(key);
        return text == null ? absent : text;
    }

    /** The text of a key; a problem where it is not there, and then {@code "?"}. */
    public String requiredText(String key) {
        return required(key, "a text", text(key), "?");
    }

    /** True or false. */
    public boolean flag(String key, boolean absent) {
        return value(key, "true or false", absent, value -> value instanceof Boolean flag ? flag : null);
    }

    /** A whole number within bounds. */
    public long whole(String key, long absent, long least, long most) {
        return value(key, "a whole number from " + least + " to " + most, absent,
                value -> value instanceof Long number && number >= least && number <= most ? number : null);
    }

    /** Null where it is not there. */
    public Double real(String key, double least, double most) {
        return value(key, "a number from " + shown(least) + " to " + shown(most), null, value -> {
            Double number = value instanceof Long whole ? Double.valueOf(whole) : value instanceof Double real ? real : null;
            return number != null && number >= least && number <= most ? number : null;
        });
    }

    /** A number within bounds. */
    public double real(String key, double absent, double least, double most) {
        Double number = real(key, least, most);
        return number == null ? absent : number;
    }

    /** A number within bounds; a problem where it is not there. */
    public double requiredReal(String key, double least, double most) {
        return required(key, "a number from " + shown(least) + " to " + shown(most), real(key, least, most), least);
    }

    /** A number as a person writes it. */
    public static String shown(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** A time with its unit, {@code "250ms"}, {@code "1.5s"}, in microseconds; null where it is not there. */
    private Long span(String key, long least, long most) {
        String expected = "a time with a unit (us, ms, s, m) from " + micros(least) + " to " + micros(most);
        return value(key, expected, null, value -> {
            Matcher matcher = SPAN.matcher(value instanceof String text ? text : "");
            if (!matcher.matches()) {
                return null;
            }
            double unit = switch (matcher.group(2)) {
                case "us" -> 1;
                case "ms" -> 1e3;
                case "s" -> 1e6;
                default -> 60e6;
            };
            long span = Math.round(Double.parseDouble(matcher.group(1)) * unit);
            return span >= least && span <= most ? span : null;
        });
    }

    /** A time with its unit, in microseconds, within bounds. */
    public long span(String key, long absent, long least, long most) {
        Long span = span(key, least, most);
        return span == null ? absent : span;
    }

    /** Likewise; a problem where it is not there. */
    public long requiredSpan(String key, long least, long most) {
        return required(key, "a time such as \"250ms\"", span(key, least, most), least);
    }

    private static String micros(long span) {
        return span % 1_000_000 == 0 ? span / 1_000_000 + "s" : span % 1000 == 0 ? span / 1000 + "ms" : span + "us";
    }

    /** An amount of bytes with its unit, {@code "200GiB"}; null where it is not there. */
    public Double bytes(String key) {
        return value(key, "an amount with a unit (B, KiB, MiB, GiB, TiB) of at most 2^53 bytes", null, value -> {
            Matcher matcher = BYTES.matcher(value instanceof String text ? text : "");
            if (!matcher.matches()) {
                return null;
            }
            double bytes = Double.parseDouble(matcher.group(1)) * (1L << 10 * UNITS.indexOf(matcher.group(2)));
            return bytes <= 1L << 53 ? bytes : null;
        });
    }

    /** One of these words, which stand in the order of the values that they name. */
    public <T> T word(String key, T absent, List<String> words, List<T> values) {
        return value(key, "one of " + String.join(", ", words), absent, value -> {
            int at = value instanceof String text ? words.indexOf(text) : -1;
            return at < 0 ? null : values.get(at);
        });
    }

    /** Texts of an array, none where it is not there. */
    public List<String> texts(String key, int most) {
        return value(key, "an array of at most " + most + " texts", List.of(), value -> {
            if (!(value instanceof TomlArray array) || array.size() > most
                    || array.toList().stream().anyMatch(item -> !(item instanceof String))) {
                return null;
            }
            return array.toList().stream().map(String.class::cast).toList();
        });
    }

    /** A table below this one, empty where it is not there. */
    public Section section(String key) {
        TomlTable below = value(key, "a table", null, value -> value instanceof TomlTable found ? found : null);
        return new Section(file, name.isEmpty() ? key : name + "." + key,
                below == null ? EMPTY : below,
                below == null ? place : table.inputPositionOf(List.of(key)), problems);
    }

    /** The table of a key as one object in JSON, in UTF-8; null where it is not there. Dates and times are texts there. */
    byte[] json(String key) {
        TomlTable below = value(key, "a table", null, value -> value instanceof TomlTable found ? found : null);
        if (below == null) {
            return null;
        }
        try {
            return JSON.std.asBytes(plain(below));
        } catch (Exception e) {  // of bytes in memory: there is no stream that could fail
            throw new IllegalStateException(e);
        }
    }

    private static Object plain(Object value) {
        if (value instanceof TomlTable table) {
            Map<String, Object> fields = new LinkedHashMap<>();
            table.keySet().forEach(key -> fields.put(key, plain(table.get(List.of(key)))));
            return fields;
        }
        if (value instanceof TomlArray array) {
            return array.toList().stream().map(Section::plain).toList();
        }
        return value instanceof Long || value instanceof Double || value instanceof Boolean ? value : String.valueOf(value);
    }

    /** The tables of an array, {@code [[key]]}, in their order; none where it is not there. */
    public List<Section> sections(String key, int most) {
        List<Section> sections = new ArrayList<>();
        TomlArray array = value(key, "at most " + most + " tables", null, value -> value instanceof TomlArray found
                && found.size() <= most && found.toList().stream().allMatch(TomlTable.class::isInstance) ? found : null);
        for (int i = 0; array != null && i < array.size(); i++) {
            sections.add(new Section(file, key + "[" + (i + 1) + "]", array.getTable(i), array.inputPositionOf(i), problems));
        }
        return sections;
    }

    /** The tables below a key by their names, {@code [key.name]}. */
    public Map<String, Section> named(String key, int most) {
        Section below = section(key);
        if (below.table.size() > most) {
            problem(key, "expected at most " + most + " tables, found " + below.table.size());
            return Map.of();
        }
        Map<String, Section> sections = new TreeMap<>();
        for (String each : below.table.keySet()) {
            sections.put(each, below.section(each));
        }
        return sections;
    }

    /** The keys that are there; none is a known one by that. */
    Set<String> keys() {
        return table.keySet();
    }

    /** Whatever was not asked for is a problem; call it last. */
    public void noMore() {
        noMore(Set.of());
    }

    /** Likewise for whatever is not among these either. */
    void noMore(Set<String> also) {
        for (String key : table.keySet()) {
            if (!known.contains(key) && !also.contains(key)) {
                Set<String> all = new TreeSet<>(known);
                all.addAll(also);
                String nearest = nearest(key, all);
                problem(key, "expected one of the known keys, found " + key
                        + (nearest == null ? "" : "; did you mean " + nearest + "?"));
            }
        }
    }

    /** The word at the least edit distance, or that begins with this one; null where none is near. */
    public static String nearest(String word, Collection<String> words) {
        String best = null;
        int least = Math.max(2, word.length() / 3) + 1;
        for (String each : words) {
            int distance = word.length() > 2 && each.startsWith(word) ? 1 : distance(word, each);
            if (distance < least) {
                least = distance;
                best = each;
            }
        }
        return best;
    }

    /** Levenshtein's. */
    private static int distance(String one, String other) {
        int[] row = new int[other.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= one.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int change = diagonal + (one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[other.length()];
    }

    /** Whether a value was met before; says so at the key where it was. */
    public void once(String key, String value, Set<String> met) {
        if (!met.add(value)) {
            problem(key, "expected each once, found " + found(value) + " again");
        }
    }

    /** A fresh set for {@link #once}. */
    public static Set<String> met() {
        return new HashSet<>();
    }
}
