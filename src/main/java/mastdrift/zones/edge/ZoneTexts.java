package mastdrift.zones.edge;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import mastdrift.zones.Cause;
import mastdrift.zones.Counts;
import mastdrift.zones.Escrow;
import mastdrift.zones.Flow;
import mastdrift.zones.Kept;
import mastdrift.zones.Limit;
import mastdrift.zones.Price;
import mastdrift.zones.Snapshot;
import mastdrift.zones.Window;

/** Snapshots and words as JSON, and the seal around what has to be whole: a first line that names format, version, length and CRC-32C of
    the rest (RFC 3720, appendix B.4). Whatever is not as it should be is an IOException that says what was expected and found. */
public final class ZoneTexts {

    /** The format of a state. */
    public static final String STATE = "pewterlead-zones-state";
    /** The format of a word. */
    public static final String WORD = "pewterlead-zones-word";
    private static final int VERSION = 1;
    private static final int HEAD_MOST = 200;
    private static final int FLOWS_MOST = 1 << 16;

    private ZoneTexts() { }

    // ---- the seal

    /** A payload with its seal. */
    public static byte[] sealed(String format, Map<String, Object> payload) throws IOException {
        byte[] body = JSON.std.asBytes(payload);
        Map<String, Object> head = new LinkedHashMap<>();
        head.put("format", format);
        head.put("version", VERSION);
        head.put("bytes", body.length);
        head.put("crc32c", crc(body, 0));
        byte[] first = (JSON.std.asString(head) + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] whole = new byte[first.length + body.length];
        System.arraycopy(first, 0, whole, 0, first.length);
        System.arraycopy(body, 0, whole, first.length, body.length);
        return whole;
    }

    private static long crc(byte[] bytes, int from) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return crc.getValue();
    }

    /** The payload of what was sealed. */
    public static Map<String, Object> opened(String format, byte[] whole) throws IOException {
        int end = 0;
        while (end < whole.length && end < HEAD_MOST && whole[end] != '\n') {
            end++;
        }
        if (end == whole.length || whole[end] != '\n') {
            throw new IOException("expected a first line with format and version, found none");
        }
        Map<String, Object> head = JSON.std.mapFrom(new String(whole, 0, end, StandardCharsets.UTF_8));
        int body = whole.length - end - 1;
        expect("format", format, head.get("format"));
        if (!(head.get("version") instanceof Integer version) || version > VERSION || version < 1) {
            throw new IOException("expected a version from 1 to " + VERSION + ", found " + head.get("version")
                    + "; it may be of a newer program");
        }
        expect("bytes", String.valueOf(body), head.get("bytes"));
        expect("crc32c", String.valueOf(crc(whole, end + 1)), head.get("crc32c"));
        return JSON.std.mapFrom(new String(whole, end + 1, body, StandardCharsets.UTF_8));
    }

    private static void expect(String what, String expected, Object found) throws IOException {
        if (!expected.equals(String.valueOf(found))) {
            throw new IOException("expected " + what + " " + expected + ", found " + found);
        }
    }

    // ---- snapshots

    /** As the report and the state have it: what can be read back, and what a person wants beside it. */
    public static Map<String, Object> map(Snapshot snapshot) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("gateway", snapshot.gateway());
        map.put("zone", snapshot.zone());
        map.put("at", Instant.ofEpochMilli(snapshot.at()).toString());
        map.put("giving_way", snapshot.giving());
        List<Object> prices = new ArrayList<>();
        for (Price price : snapshot.prices()) {
            prices.add(Map.of("from", price.from(), "to", price.to(), "per_gib", price.perGib(), "per_million_requests", price.perMillion()));
        }
        map.put("prices", prices);
        List<Object> budgets = new ArrayList<>();
        snapshot.budgets().forEach(budget -> budgets.add(map(budget)));
        map.put("budgets", budgets);
        List<Object> flows = new ArrayList<>();
        snapshot.flows().forEach((flow, counts) -> flows.add(map(snapshot, flow, counts)));
        map.put("flows", flows);
        return map;
    }

    private static Map<String, Object> map(Snapshot.Budget budget) {
        Limit limit = budget.limit();
        Kept kept = budget.kept();
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", limit.name());
        map.put("window", limit.window().word());
        map.put("unit", limit.unit().name().toLowerCase(Locale.ROOT));
        map.put("amount", limit.amount());
        map.put("to", limit.to());
        map.put("class", limit.className());
        map.put("tenant", limit.tenant());
        map.put("pool", limit.pool());
        map.put("carry_most", limit.carryMost());
        map.put("hard", limit.hard());
        map.put("begin", Instant.ofEpochMilli(kept.begin()).toString());
        map.put("end", Instant.ofEpochMilli(budget.end()).toString());
        map.put("saved", Instant.ofEpochMilli(kept.savedAt()).toString());
        map.put("granted", kept.granted());
        map.put("spent", kept.spent());
        map.put("left", budget.left());
        map.put("forecast", budget.forecast());
        map.put("reserved", kept.reserved());
        map.put("credit", kept.credit());
        map.put("denied", kept.denied());
        map.put("owed", kept.owed());
        map.put("given", kept.given());
        map.put("got", kept.got());
        return map;
    }

    private static Map<String, Object> map(Snapshot snapshot, Flow flow, Counts counts) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("from", flow.from());
        map.put("to", flow.to());
        map.put("client", flow.client());
        map.put("class", flow.className());
        map.put("pool", flow.pool());
        map.put("tenant", flow.tenant());
        map.put("requests", counts.requests());
        map.put("attempts", counts.attempts());
        map.put("probes", counts.probes());
        map.put("failed", counts.failed());
        map.put("sent", counts.sent());
        map.put("received", counts.received());
        Map<String, Object> why = new LinkedHashMap<>();
        for (Cause cause : Cause.values()) {
            if (counts.attempts(cause) > 0 || counts.bytes(cause) > 0) {
                why.put(cause.word(), Map.of("attempts", counts.attempts(cause), "bytes", counts.bytes(cause)));
            }
        }
        map.put("why", why);
        map.put("money", snapshot.money(flow, counts));
        return map;
    }

    /** Reads {@link #map(Snapshot)}. */
    public static Snapshot snapshot(Map<String, Object> map) throws IOException {
        try {
            Map<Flow, Counts> flows = new LinkedHashMap<>();
            for (Map<String, Object> flow : tables(map, "flows", FLOWS_MOST)) {
                flows.put(new Flow(text(flow, "from"), text(flow, "to"), text(flow, "client"), text(flow, "class"), text(flow, "pool"),
                        text(flow, "tenant")), counts(flow));
            }
            List<Snapshot.Budget> budgets = new ArrayList<>();
            for (Map<String, Object> budget : tables(map, "budgets", FLOWS_MOST)) {
                budgets.add(budget(budget));
            }
            List<Price> prices = new ArrayList<>();
            for (Map<String, Object> price : tables(map, "prices", FLOWS_MOST)) {
                prices.add(new Price(text(price, "from"), text(price, "to"), real(price, "per_gib"), real(price, "per_million_requests")));
            }
            Map<String, List<String>> giving = new TreeMap<>();
            table(map, "giving_way").forEach((pool, classes) -> giving.put(pool,
                    classes instanceof List<?> list ? list.stream().map(String::valueOf).toList() : List.of()));
            return new Snapshot(text(map, "gateway"), text(map, "zone"), time(map, "at"), flows, budgets, prices, giving);
        } catch (IllegalArgumentException | DateTimeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static Counts counts(Map<String, Object> flow) throws IOException {
        Cause[] causes = Cause.values();
        long[] values = new long[6 + 2 * causes.length];
        String[] first = {"requests", "attempts", "probes", "failed", "sent", "received"};
        for (int i = 0; i < first.length; i++) {
            values[i] = whole(flow, first[i]);
        }
        Map<String, Object> why = table(flow, "why");
        for (int i = 0; i < causes.length; i++) {
            if (why.containsKey(causes[i].word())) {
                Map<String, Object> of = table(why, causes[i].word());
                values[6 + i] = whole(of, "attempts");
                values[6 + causes.length + i] = whole(of, "bytes");
            }
        }
        return Counts.of(values);
    }

    private static Snapshot.Budget budget(Map<String, Object> map) throws IOException {
        Limit limit = new Limit(text(map, "name"), Window.valueOf(text(map, "window").toUpperCase(Locale.ROOT)),
                Limit.Unit.valueOf(text(map, "unit").toUpperCase(Locale.ROOT)), real(map, "amount"), (String) map.get("to"),
                (String) map.get("class"), (String) map.get("tenant"), (String) map.get("pool"), real(map, "carry_most"),
                Boolean.TRUE.equals(map.get("hard")));
        Kept kept = new Kept(time(map, "begin"), time(map, "saved"), real(map, "granted"), real(map, "spent"), real(map, "reserved"),
                real(map, "credit"), real(map, "denied"), real(map, "owed"), reals(map, "given"), reals(map, "got"));
        return new Snapshot.Budget(limit, time(map, "end"), real(map, "forecast"), kept);
    }

    // ---- words

    /** As a file has it. */
    public static Map<String, Object> map(Escrow.Word word) {
        Map<String, Object> budgets = new TreeMap<>();
        word.budgets().forEach((name, says) -> budgets.put(name, Map.of("begin", Instant.ofEpochMilli(says.begin()).toString(),
                "wants", says.wants(), "given", says.given())));
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("gateway", word.gateway());
        map.put("at", Instant.ofEpochMilli(word.at()).toString());
        map.put("budgets", budgets);
        return map;
    }

    /** Reads {@link #map(Escrow.Word)}. */
    public static Escrow.Word word(Map<String, Object> map) throws IOException {
        try {
            Map<String, Escrow.Says> budgets = new TreeMap<>();
            Map<String, Object> told = table(map, "budgets");
            for (String name : told.keySet()) {
                Map<String, Object> says = table(told, name);
                Map<String, Double> given = reals(says, "given");
                if (given.values().stream().anyMatch(amount -> amount < 0)) {
                    throw new IOException("budgets." + name + ".given: expected 0 or more, found " + given);
                }
                budgets.put(name, new Escrow.Says(time(says, "begin"), real(says, "wants"), given));
            }
            return new Escrow.Word(text(map, "gateway"), time(map, "at"), budgets);
        } catch (DateTimeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    // ---- values

    private static IOException wrong(String key, String expected, Object found) {
        return new IOException(key + ": expected " + expected + ", found " + found);
    }

    private static String text(Map<String, Object> map, String key) throws IOException {
        if (map.get(key) instanceof String text) {
            return text;
        }
        throw wrong(key, "a text", map.get(key));
    }

    private static long time(Map<String, Object> map, String key) throws IOException {
        return Instant.parse(text(map, key)).toEpochMilli();
    }

    private static long whole(Map<String, Object> map, String key) throws IOException {
        Object value = map.get(key);
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw wrong(key, "a whole number", value);
    }

    private static double real(Map<String, Object> map, String key) throws IOException {
        if (map.get(key) instanceof Number number && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw wrong(key, "a number", map.get(key));
    }

    private static Map<String, Object> table(Map<String, Object> map, String key) throws IOException {
        Map<String, Object> table = new LinkedHashMap<>();
        if (!(map.get(key) instanceof Map<?, ?> found)) {
            throw wrong(key, "a table", map.get(key));
        }
        found.forEach((name, value) -> table.put(String.valueOf(name), value));
        return table;
    }

    private static Map<String, Double> reals(Map<String, Object> map, String key) throws IOException {
        Map<String, Object> table = table(map, key);
        Map<String, Double> reals = new TreeMap<>();
        for (String name : table.keySet()) {
            reals.put(name, real(table, name));
        }
        return reals;
    }

    private static List<Map<String, Object>> tables(Map<String, Object> map, String key, int most) throws IOException {
        if (!(map.get(key) instanceof List<?> list) || list.size() > most) {
            throw wrong(key, "a list of at most " + most, map.get(key) instanceof List<?> longer ? longer.size() : map.get(key));
        }
        List<Map<String, Object>> tables = new ArrayList<>();
        for (Object each : list) {
            tables.add(table(Map.of(key, each), key));
        }
        return tables;
    }
}
