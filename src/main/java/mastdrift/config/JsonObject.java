package mastdrift.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.jr.ob.JSON;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The value of a resource, a single JSON object, read key by key. A missing key, a wrong type or a value out of range
 * is recorded as a problem with its location and reads as null, so that all problems of a value are found in one pass.
 */
final class JsonObject {

    /** Maximum problems of one value that are reported. */
    static final int MAX_REPORTED_PROBLEMS = 8;
    private static final int MAX_QUOTED_CHARS = 60;
    private static final JsonFactory FACTORY = JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
    private static final JSON JSON_TEXT = JSON.builder(FACTORY).build();

    private final String pathPrefix;
    private final Map<String, Object> fields;
    private final List<String> problems;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    private JsonObject(String pathPrefix, Map<String, Object> fields, List<String> problems) {
        this.pathPrefix = pathPrefix;
        this.fields = fields;
        this.problems = problems;
    }

    /**
     * Parses UTF-8 bytes; problems are added to the list. The result has no fields if the bytes are not a single
     * object.
     */
    static JsonObject parse(byte[] value, List<String> problems) {
        Map<String, Object> fields = Map.of();
        try (JsonParser parser = FACTORY.createParser(value)) {
            if (parser.nextToken() == null || !parser.isExpectedStartObjectToken()) {
                problems.add("expected one object in JSON, found something else");
            } else {
                fields = JSON_TEXT.mapFrom(parser);
                if (parser.nextToken() != null) {
                    problems.add("expected one object in JSON, found more after it");
                }
            }
        } catch (Exception e) {  // from the parser: reading from memory has no I/O that could fail
            problems.add("expected one object in JSON, found " + (e instanceof JacksonException jacksonException && jacksonException.getLocation() != null
                    ? jacksonException.getOriginalMessage().lines().findFirst().orElse("") + " at line " + jacksonException.getLocation().getLineNr() + ", column " + jacksonException.getLocation().getColumnNr() : e.getClass().getSimpleName()));
        }
        return new JsonObject("", fields, problems);
    }

    boolean has(String key) {
        knownKeys.add(key);
        return fields.get(key) != null;
    }

    void addProblem(String key, String text) {
        problems.add(pathPrefix + key + ": " + text);
    }

    private static String describe(Object value) {
        String text = value == null ? "nothing" : value instanceof Map ? "an object" : value instanceof List ? "an array" : value instanceof String string ? '"' + string + '"'
                : String.valueOf(value);
        return text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
    }

    private <T> T read(String key, String expected, Class<T> type, Predicate<T> fits) {
        knownKeys.add(key);
        Object value = fields.get(key);
        if (value == null && !fields.containsKey(key)) {
            return null;
        }
        T cast = type.isInstance(value) ? type.cast(value) : null;
        if (cast == null || !fits.test(cast)) {
            addProblem(key, "expected " + expected + ", found " + describe(value));
            return null;
        }
        return cast;
    }

    private <T> T requirePresent(String key, String expected, T value) {
        if (value == null && !fields.containsKey(key)) {
            addProblem(key, "expected " + expected + ", found nothing");
        }
        return value;
    }

    /** The text of a key; null if absent. */
    String text(String key, int maxLength) {
        return read(key, "a text of 1 to " + maxLength + " characters", String.class, text -> !text.isBlank() && text.length() <= maxLength);
    }

    /** A name; null if absent. */
    String name(String key) {
        return read(key, "up to 64 letters, digits, dots, - and _", String.class, Tables::isName);
    }

    /** A name; adds a problem and returns null if absent. */
    String requiredName(String key) {
        return requirePresent(key, "a name", name(key));
    }

    /** An address and a port in digits; adds a problem and returns null if absent. */
    String requiredEndpoint(String key) {
        return requirePresent(key, "ADDRESS:PORT in digits", read(key, "ADDRESS:PORT in digits", String.class, Tables::isEndpoint));
    }

    /** A text that begins with /; null if absent. */
    String path(String key, int maxLength) {
        return read(key, "a path of at most " + maxLength + " characters that begins with /", String.class, text -> text.startsWith("/") && text.length() <= maxLength);
    }

    /** One of these words; null if absent. */
    String oneOf(String key, List<String> words) {
        return read(key, "one of " + String.join(", ", words), String.class, words::contains);
    }

    /** True or false; null if absent. */
    Boolean flag(String key) {
        return read(key, "true or false", Boolean.class, flag -> true);
    }

    /** An integer from {@code min} to {@code max}; null if absent. */
    Long integer(String key, long min, long max) {
        Number number = read(key, "a whole number from " + min + " to " + max, Number.class,
                each -> (each instanceof Integer || each instanceof Long) && each.longValue() >= min && each.longValue() <= max);
        return number == null ? null : number.longValue();
    }

    /** An integer from {@code min} to {@code max}; adds a problem and returns null if absent. */
    Long requiredInteger(String key, long min, long max) {
        return requirePresent(key, "a whole number from " + min + " to " + max, integer(key, min, max));
    }

    /** A number from {@code min} to {@code max}; null if absent. */
    Double number(String key, double min, double max) {
        Number number = read(key, "a number from " + Section.formatNumber(min) + " to " + Section.formatNumber(max),
                Number.class,
                each -> each.doubleValue() >= min && each.doubleValue() <= max);
        return number == null ? null : number.doubleValue();
    }

    /** A number from {@code min} to {@code max}; adds a problem and returns null if absent. */
    Double requiredNumber(String key, double min, double max) {
        return requirePresent(key, "a number from " + Section.formatNumber(min) + " to " + Section.formatNumber(max), number(key, min, max));
    }

    /** The objects of an array; adds a problem and returns an empty list if absent. */
    List<JsonObject> objects(String key, int maxSize) {
        List<?> array = read(key, "an array of 1 to " + maxSize + " objects", List.class,
                list -> !list.isEmpty() && list.size() <= maxSize && ((List<?>) list).stream().allMatch(Map.class::isInstance));
        List<JsonObject> objects = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            @SuppressWarnings("unchecked")  // the keys of a JSON object are strings
            Map<String, Object> each = (Map<String, Object>) array.get(i);
            objects.add(new JsonObject(pathPrefix + key + "[" + i + "].", each, problems));
        }
        requirePresent(key, "an array of 1 to " + maxSize + " objects", array);
        return objects;
    }

    /** Adds a problem for each key that was not read; call it last. */
    void rejectUnknownKeys() {
        for (String key : fields.keySet()) {
            if (!knownKeys.contains(key)) {
                String nearest = Section.nearest(key, knownKeys);
                addProblem(key.length() > MAX_QUOTED_CHARS ? key.substring(0, MAX_QUOTED_CHARS) + "..." : key, "expected one of " + String.join(", ", knownKeys) + ", found another key"
                        + (nearest == null ? "" : "; did you mean " + nearest + "?"));
            }
        }
    }
}
