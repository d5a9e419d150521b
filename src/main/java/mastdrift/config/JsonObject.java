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

/** The value of a resource, one object in JSON, read key by key: what is missing, of another type or out of range is a problem with its place, and reads as what stands for it,
    so that all problems of a value are found at once. */
final class JsonObject {

    /** Problems of one value that are told. */
    static final int PROBLEMS_MOST = 8;
    private static final int SHOWN_MOST = 60;
    private static final JsonFactory FACTORY = JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
    private static final JSON JSON_TEXT = JSON.builder(FACTORY).build();

    private final String path;
    private final Map<String, Object> fields;
    private final List<String> problems;
    private final TreeSet<String> known = new TreeSet<>();

    private JsonObject(String path, Map<String, Object> fields, List<String> problems) {
        this.path = path;
        this.fields = fields;
        this.problems = problems;
    }

    /** Of bytes in UTF-8; problems go to the list. Empty where they are no object. */
    static JsonObject of(byte[] value, List<String> problems) {
        Map<String, Object> fields = Map.of();
        try (JsonParser parser = FACTORY.createParser(value)) {
            if (parser.nextToken() == null || !parser.isExpectedStartObjectToken()) {
                problems.add("expected one object in JSON, found something else");
            } else {
                fields = JSON_TEXT.mapFrom(parser);
                if (parser.nextToken() != null) {
                    problems.add("expected one object in JSON, found more behind it");
                }
            }
        } catch (Exception e) {  // of the parser: there is no stream that could fail
            problems.add("expected one object in JSON, found " + (e instanceof JacksonException at && at.getLocation() != null
                    ? at.getOriginalMessage().lines().findFirst().orElse("") + " at line " + at.getLocation().getLineNr() + ", column " + at.getLocation().getColumnNr() : e.getClass().getSimpleName()));
        }
        return new JsonObject("", fields, problems);
    }

    boolean has(String key) {
        known.add(key);
        return fields.get(key) != null;
    }

    void problem(String key, String text) {
        problems.add(path + key + ": " + text);
    }

    private static String found(Object value) {
        String text = value == null ? "nothing" : value instanceof Map ? "an object" : value instanceof List ? "an array" : value instanceof String string ? '"' + string + '"'
                : String.valueOf(value);
        return text.length() > SHOWN_MOST ? text.substring(0, SHOWN_MOST) + "..." : text;
    }

    private <T> T value(String key, String expected, Class<T> type, Predicate<T> fits) {
        known.add(key);
        Object value = fields.get(key);
        if (value == null && !fields.containsKey(key)) {
            return null;
        }
        T cast = type.isInstance(value) ? type.cast(value) : null;
        if (cast == null || !fits.test(cast)) {
            problem(key, "expected " + expected + ", found " + found(value));
            return null;
        }
        return cast;
    }

    private <T> T there(String key, String expected, T value) {
        if (value == null && !fields.containsKey(key)) {
            problem(key, "expected " + expected + ", found nothing");
        }
        return value;
    }

    /** Null where it is not there. */
    String text(String key, int most) {
        return value(key, "a text of 1 to " + most + " characters", String.class, text -> !text.isBlank() && text.length() <= most);
    }

    /** A name; null where it is not there. */
    String word(String key) {
        return value(key, "up to 64 letters, digits, dots, - and _", String.class, Tables::isWord);
    }

    /** A name; a problem where it is not there, and null then. */
    String requiredWord(String key) {
        return there(key, "a name", word(key));
    }

    /** An address and a port in digits; a problem where it is not there, and null then. */
    String requiredEndpoint(String key) {
        return there(key, "ADDRESS:PORT in digits", value(key, "ADDRESS:PORT in digits", String.class, Tables::isEndpoint));
    }

    /** A text that begins with /; null where it is not there. */
    String path(String key, int most) {
        return value(key, "a path of at most " + most + " characters that begins with /", String.class, text -> text.startsWith("/") && text.length() <= most);
    }

    /** One of these words; null where it is not there. */
    String among(String key, List<String> words) {
        return value(key, "one of " + String.join(", ", words), String.class, words::contains);
    }

    /** True or false; null where it is not there. */
    Boolean flag(String key) {
        return value(key, "true or false", Boolean.class, flag -> true);
    }

    /** Null where it is not there. */
    Long whole(String key, long least, long most) {
        Number number = value(key, "a whole number from " + least + " to " + most, Number.class,
                each -> (each instanceof Integer || each instanceof Long) && each.longValue() >= least && each.longValue() <= most);
        return number == null ? null : number.longValue();
    }

    /** Likewise; a problem where it is not there. */
    Long requiredWhole(String key, long least, long most) {
        return there(key, "a whole number from " + least + " to " + most, whole(key, least, most));
    }

    /** Null where it is not there. */
    Double real(String key, double least, double most) {
        Number number = value(key, "a number from " + Section.shown(least) + " to " + Section.shown(most), Number.class,
                each -> each.doubleValue() >= least && each.doubleValue() <= most);
        return number == null ? null : number.doubleValue();
    }

    /** Likewise; a problem where it is not there. */
    Double requiredReal(String key, double least, double most) {
        return there(key, "a number from " + Section.shown(least) + " to " + Section.shown(most), real(key, least, most));
    }

    /** Objects of an array, none where it is not there. */
    List<JsonObject> objects(String key, int most) {
        List<?> array = value(key, "an array of 1 to " + most + " objects", List.class,
                list -> !list.isEmpty() && list.size() <= most && ((List<?>) list).stream().allMatch(Map.class::isInstance));
        List<JsonObject> objects = new ArrayList<>();
        for (int i = 0; array != null && i < array.size(); i++) {
            @SuppressWarnings("unchecked")  // the keys of an object are texts
            Map<String, Object> each = (Map<String, Object>) array.get(i);
            objects.add(new JsonObject(path + key + "[" + i + "].", each, problems));
        }
        there(key, "an array of 1 to " + most + " objects", array);
        return objects;
    }

    /** Whatever was not asked for is a problem; call it last. */
    void noMore() {
        for (String key : fields.keySet()) {
            if (!known.contains(key)) {
                String nearest = Section.nearest(key, known);
                problem(key.length() > SHOWN_MOST ? key.substring(0, SHOWN_MOST) + "..." : key, "expected one of " + String.join(", ", known) + ", found another key"
                        + (nearest == null ? "" : "; did you mean " + nearest + "?"));
            }
        }
    }
}
