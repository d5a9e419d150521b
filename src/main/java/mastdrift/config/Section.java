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

/**
 * A table of a TOML file, read key by key. A missing key, a wrong type or a value out of range is recorded as a problem
 * with its location and reads as a placeholder value, so that all problems of a file are found in one pass.
 */
public final class Section {

    private static final Pattern DURATION_PATTERN = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)(us|ms|s|m)");

    private static final Pattern SIZE_PATTERN = Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?)(B|KiB|MiB|GiB|TiB)");
    private static final List<String> SIZE_UNITS = List.of("B", "KiB", "MiB", "GiB", "TiB");
    // Represents an absent table; parsed once, since every route of a file may lack an optional table.
    private static final TomlTable EMPTY = Toml.parse("");

    private final String file;
    private final String name;
    private final TomlTable table;
    private final TomlPosition position;
    private final Problems problems;
    private final Set<String> knownKeys = new TreeSet<>();

    /** {@code name} is used in messages; {@code position} is where the table begins. */
    Section(String file, String name, TomlTable table, TomlPosition position, Problems problems) {
        this.file = file;
        this.name = name;
        this.table = table;
        this.position = position;
        this.problems = problems;
    }

    /** The root table of a file; null, after adding the problems, if the text is not valid TOML. */
    public static Section root(String file, String text, Problems problems) {
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            problems.add(new Problem(file, error.position().line(), error.position().column(), error.getMessage()));
        }
        return parsed.hasErrors() ? null : new Section(file, "", parsed, TomlPosition.positionAt(1, 1), problems);
    }

    /** File, line and column where the table begins. */
    public String location() {
        return file + ":" + position.line() + ":" + position.column();
    }

    /** Whether the table has a key; marks the key as known. */
    public boolean has(String key) {
        knownKeys.add(key);
        return table.get(List.of(key)) != null;
    }

    /** Adds a problem of the table as a whole. */
    public void addProblem(String text) {
        problems.add(new Problem(file, position.line(), position.column(), name + ": " + text));
    }

    /** Adds a problem of one key, at the key's position, or at the table's if it is absent. */
    public void addProblem(String key, String text) {
        TomlPosition keyPosition = table.get(List.of(key)) == null ? position : table.inputPositionOf(List.of(key));
        problems.add(new Problem(file, keyPosition.line(), keyPosition.column(), name + "." + key + ": " + text));
    }

    private static String describe(Object value) {
        String text = value instanceof TomlTable ? "a table" : value instanceof TomlArray ? "an array"
                : value instanceof String string ? '"' + string + '"' : String.valueOf(value);
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private <T> T read(String key, String expected, T defaultValue, Function<Object, T> parser) {
        knownKeys.add(key);
        Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        T result = parser.apply(value);
        if (result == null) {
            addProblem(key, "expected " + expected + ", found " + describe(value));
            return defaultValue;
        }
        return result;
    }

    private <T> T requirePresent(String key, String expected, T result, T placeholder) {
        if (result != null) {
            return result;
        }
        if (table.get(List.of(key)) == null) {
            addProblem(key, "expected " + expected + ", found nothing");
        }
        return placeholder;
    }

    /** The text of a key; null if absent. */
    public String text(String key) {
        return read(key, "a text", null, value -> value instanceof String text && !text.isBlank() ? text : null);
    }

    /** The text of a key, or {@code defaultValue} if absent. */
    public String text(String key, String defaultValue) {
        String text = text(key);
        return text == null ? defaultValue : text;
    }

    /** The text of a key; adds a problem and returns {@code "?"} if absent. */
    public String requiredText(String key) {
        return requirePresent(key, "a text", text(key), "?");
    }

    /** True or false, or {@code defaultValue} if absent. */
    public boolean flag(String key, boolean defaultValue) {
        return read(key, "true or false", defaultValue, value -> value instanceof Boolean flag ? flag : null);
    }

    /** An integer from {@code min} to {@code max}, or {@code defaultValue} if absent. */
    public long integer(String key, long defaultValue, long min, long max) {
        return read(key, "a whole number from " + min + " to " + max, defaultValue,
                value -> value instanceof Long number && number >= min && number <= max ? number : null);
    }

    /** A number from {@code min} to {@code max}; null if absent. */
    public Double number(String key, double min, double max) {
        return read(key, "a number from " + formatNumber(min) + " to " + formatNumber(max), null, value -> {
            Double number = value instanceof Long integer ? Double.valueOf(integer) : value instanceof Double real ? real : null;
            return number != null && number >= min && number <= max ? number : null;
        });
    }

    /** A number from {@code min} to {@code max}, or {@code defaultValue} if absent. */
    public double number(String key, double defaultValue, double min, double max) {
        Double number = number(key, min, max);
        return number == null ? defaultValue : number;
    }

    /** A number from {@code min} to {@code max}; adds a problem and returns {@code min} if absent. */
    public double requiredNumber(String key, double min, double max) {
        return requirePresent(key, "a number from " + formatNumber(min) + " to " + formatNumber(max),
                number(key, min, max), min);
    }

    /** Formats a number without a fraction if it is an integer. */
    public static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    /** A duration with its unit, {@code "250ms"}, {@code "1.5s"}, in microseconds; null if absent. */
    private Long durationMicros(String key, long min, long max) {
        String expected = "a time with a unit (us, ms, s, m) from " + formatMicros(min) + " to " + formatMicros(max);
        return read(key, expected, null, value -> {
            Matcher matcher = DURATION_PATTERN.matcher(value instanceof String text ? text : "");
            if (!matcher.matches()) {
                return null;
            }
            double unitMicros = switch (matcher.group(2)) {
                case "us" -> 1;
                case "ms" -> 1e3;
                case "s" -> 1e6;
                default -> 60e6;
            };
            long micros = Math.round(Double.parseDouble(matcher.group(1)) * unitMicros);
            return micros >= min && micros <= max ? micros : null;
        });
    }

    /** A duration in microseconds from {@code min} to {@code max}, or {@code defaultValue} if absent. */
    public long durationMicros(String key, long defaultValue, long min, long max) {
        Long micros = durationMicros(key, min, max);
        return micros == null ? defaultValue : micros;
    }

    /** A duration in microseconds from {@code min} to {@code max}; adds a problem and returns {@code min} if absent. */
    public long requiredDurationMicros(String key, long min, long max) {
        return requirePresent(key, "a time such as \"250ms\"", durationMicros(key, min, max), min);
    }

    private static String formatMicros(long micros) {
        return micros % 1_000_000 == 0 ? micros / 1_000_000 + "s" : micros % 1000 == 0 ? micros / 1000 + "ms"
                : micros + "us";
    }

    /** A size in bytes, given with its unit, {@code "200GiB"}; null if absent. */
    public Double bytes(String key) {
        return read(key, "an amount with a unit (B, KiB, MiB, GiB, TiB) of at most 2^53 bytes", null, value -> {
            Matcher matcher = SIZE_PATTERN.matcher(value instanceof String text ? text : "");
            if (!matcher.matches()) {
                return null;
            }
            double bytes = Double.parseDouble(matcher.group(1)) * (1L << 10 * SIZE_UNITS.indexOf(matcher.group(2)));
            return bytes <= 1L << 53 ? bytes : null;
        });
    }

    /** The value named by one of these words; {@code words} and {@code values} have the same order. */
    public <T> T oneOf(String key, T defaultValue, List<String> words, List<T> values) {
        return read(key, "one of " + String.join(", ", words), defaultValue, value -> {
            int index = value instanceof String text ? words.indexOf(text) : -1;
            return index < 0 ? null : values.get(index);
        });
    }

    /** The texts of an array; empty if absent. */
    public List<String> texts(String key, int maxSize) {
        return read(key, "an array of at most " + maxSize + " texts", List.of(), value -> {
            if (!(value instanceof TomlArray array) || array.size() > maxSize
                    || array.toList().stream().anyMatch(item -> !(item instanceof String))) {
                return null;
            }
            return array.toList().stream().map(String.class::cast).toList();
        });
    }

    /** The table of a key; an empty one if absent. */
    public Section section(String key) {
        TomlTable subtable = read(key, "a table", null, value -> value instanceof TomlTable found ? found : null);
        return new Section(file, name.isEmpty() ? key : name + "." + key,
                subtable == null ? EMPTY : subtable,
                subtable == null ? position : table.inputPositionOf(List.of(key)), problems);
    }

    /** The table of a key as a JSON object in UTF-8, with dates and times as strings; null if absent. */
    byte[] jsonBytes(String key) {
        TomlTable subtable = read(key, "a table", null, value -> value instanceof TomlTable found ? found : null);
        if (subtable == null) {
            return null;
        }
        try {
            return JSON.std.asBytes(toJsonValue(subtable));
        } catch (Exception e) {  // writing to memory has no I/O that could fail
            throw new IllegalStateException(e);
        }
    }

    private static Object toJsonValue(Object value) {
        if (value instanceof TomlTable table) {
            Map<String, Object> fields = new LinkedHashMap<>();
            table.keySet().forEach(key -> fields.put(key, toJsonValue(table.get(List.of(key)))));
            return fields;
        }
        if (value instanceof TomlArray array) {
            return array.toList().stream().map(Section::toJsonValue).toList();
        }
        return value instanceof Long || value instanceof Double || value instanceof Boolean ? value : String.valueOf(value);
    }

    /** The tables of an array of tables, {@code [[key]]}, in order; empty if absent. */
    public List<Section> sections(String key, int maxSize) {
        List<Section> sections = new ArrayList<>();
        TomlArray array = read(key, "at most " + maxSize + " tables", null, value -> value instanceof TomlArray found
                && found.size() <= maxSize && found.toList().stream().allMatch(TomlTable.class::isInstance) ? found : null);
        for (int i = 0; array != null && i < array.size(); i++) {
            sections.add(new Section(file, key + "[" + (i + 1) + "]", array.getTable(i), array.inputPositionOf(i), problems));
        }
        return sections;
    }

    /** The tables below a key by name, {@code [key.name]}. */
    public Map<String, Section> namedSections(String key, int maxSize) {
        Section parent = section(key);
        if (parent.table.size() > maxSize) {
            addProblem(key, "expected at most " + maxSize + " tables, found " + parent.table.size());
            return Map.of();
        }
        Map<String, Section> sections = new TreeMap<>();
        for (String each : parent.table.keySet()) {
            sections.put(each, parent.section(each));
        }
        return sections;
    }

    /** The keys of the table; this does not mark them as known. */
    Set<String> keys() {
        return table.keySet();
    }

    /** Adds a problem for each key that was not read; call it last. */
    public void rejectUnknownKeys() {
        rejectUnknownKeys(Set.of());
    }

    /** Adds a problem for each key that was neither read nor is in {@code additionalKeys}. */
    void rejectUnknownKeys(Set<String> additionalKeys) {
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key) && !additionalKeys.contains(key)) {
                Set<String> allKeys = new TreeSet<>(knownKeys);
                allKeys.addAll(additionalKeys);
                String nearest = nearest(key, allKeys);
                addProblem(key, "expected one of the known keys, found " + key
                        + (nearest == null ? "" : "; did you mean " + nearest + "?"));
            }
        }
    }

    /**
     * The word with the smallest edit distance, where a word that begins with this one has distance 1; null if none is
     * close.
     */
    public static String nearest(String word, Collection<String> words) {
        String best = null;
        int smallestDistance = Math.max(2, word.length() / 3) + 1;
        for (String each : words) {
            int distance = word.length() > 2 && each.startsWith(word) ? 1 : editDistance(word, each);
            if (distance < smallestDistance) {
                smallestDistance = distance;
                best = each;
            }
        }
        return best;
    }

    /** The Levenshtein distance. */
    private static int editDistance(String one, String other) {
        int[] row = new int[other.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= one.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int substitution = diagonal + (one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(substitution, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[other.length()];
    }

    /** Adds a problem at the key if the value was seen before. */
    public void requireUnique(String key, String value, Set<String> seen) {
        if (!seen.add(value)) {
            addProblem(key, "expected each once, found " + describe(value) + " again");
        }
    }

    /** A new, empty set for {@link #requireUnique}. */
    public static Set<String> newSeenSet() {
        return new HashSet<>();
    }
}
