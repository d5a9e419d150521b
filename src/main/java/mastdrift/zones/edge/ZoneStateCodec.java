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
import mastdrift.zones.CrossingCause;
import mastdrift.zones.FlowCounts;
import mastdrift.zones.Escrow;
import mastdrift.zones.Flow;
import mastdrift.zones.AccountState;
import mastdrift.zones.CrossingBudget;
import mastdrift.zones.Price;
import mastdrift.zones.ZoneSnapshot;
import mastdrift.zones.BudgetWindow;

/**
 * Encodes snapshots and announcements as JSON, in an envelope where integrity matters: a header line that names format,
 * version, length and CRC-32C of the rest (RFC 3720, appendix B.4). Invalid input is an IOException that says what was
 * expected and found.
 */
public final class ZoneStateCodec {

    /** Format name of a state file. */
    public static final String STATE_FORMAT = "pewterlead-zones-state";
    /** Format name of an announcement file. */
    public static final String ANNOUNCEMENT_FORMAT = "pewterlead-zones-word";
    private static final int VERSION = 1;
    private static final int MAX_HEADER_BYTES = 200;
    private static final int MAX_LIST_ENTRIES = 1 << 16;

    private ZoneStateCodec() { }

    // ---- envelope

    /** Encodes a payload with its header line. */
    public static byte[] wrap(String format, Map<String, Object> payload) throws IOException {
        byte[] body = JSON.std.asBytes(payload);
        Map<String, Object> header = new LinkedHashMap<>();
        header.put("format", format);
        header.put("version", VERSION);
        header.put("bytes", body.length);
        header.put("crc32c", crc(body, 0));
        byte[] headerLine = (JSON.std.asString(header) + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] file = new byte[headerLine.length + body.length];
        System.arraycopy(headerLine, 0, file, 0, headerLine.length);
        System.arraycopy(body, 0, file, headerLine.length, body.length);
        return file;
    }

    private static long crc(byte[] bytes, int from) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return crc.getValue();
    }

    /** Checks the header line and returns the payload. */
    public static Map<String, Object> unwrap(String format, byte[] file) throws IOException {
        int headerLength = 0;
        while (headerLength < file.length && headerLength < MAX_HEADER_BYTES && file[headerLength] != '\n') {
            headerLength++;
        }
        if (headerLength == file.length || file[headerLength] != '\n') {
            throw new IOException("expected a first line with format and version, found none");
        }
        Map<String, Object> header = JSON.std.mapFrom(new String(file, 0, headerLength, StandardCharsets.UTF_8));
        int bodyLength = file.length - headerLength - 1;
        expect("format", format, header.get("format"));
        if (!(header.get("version") instanceof Integer version) || version > VERSION || version < 1) {
            throw new IOException("expected a version from 1 to " + VERSION + ", found " + header.get("version")
                    + "; it may have been written by a newer program");
        }
        expect("bytes", String.valueOf(bodyLength), header.get("bytes"));
        expect("crc32c", String.valueOf(crc(file, headerLength + 1)), header.get("crc32c"));
        return JSON.std.mapFrom(new String(file, headerLength + 1, bodyLength, StandardCharsets.UTF_8));
    }

    private static void expect(String field, String expected, Object found) throws IOException {
        if (!expected.equals(String.valueOf(found))) {
            throw new IOException("expected " + field + " " + expected + ", found " + found);
        }
    }

    // ---- snapshots

    /**
     * JSON fields of a snapshot, for the report and the state: those that {@link #snapshot} reads back, and derived
     * values for the reader.
     */
    public static Map<String, Object> toMap(ZoneSnapshot snapshot) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("gateway", snapshot.gateway());
        map.put("zone", snapshot.zone());
        map.put("at", Instant.ofEpochMilli(snapshot.timeMillis()).toString());
        map.put("giving_way", snapshot.overridingClasses());
        List<Object> prices = new ArrayList<>();
        for (Price price : snapshot.prices()) {
            prices.add(Map.of("from", price.fromZone(), "to", price.toZone(), "per_gib", price.perGib(),
                    "per_million_requests", price.perMillionRequests()));
        }
        map.put("prices", prices);
        List<Object> budgets = new ArrayList<>();
        snapshot.budgets().forEach(budget -> budgets.add(toMap(budget)));
        map.put("budgets", budgets);
        List<Object> flows = new ArrayList<>();
        snapshot.flows().forEach((flow, counts) -> flows.add(toMap(snapshot, flow, counts)));
        map.put("flows", flows);
        return map;
    }

    private static Map<String, Object> toMap(ZoneSnapshot.BudgetStatus budget) {
        CrossingBudget configured = budget.configured();
        AccountState account = budget.account();
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("name", configured.name());
        map.put("window", configured.window().settingName());
        map.put("unit", configured.unit().name().toLowerCase(Locale.ROOT));
        map.put("amount", configured.amount());
        map.put("to", configured.toZone());
        map.put("class", configured.className());
        map.put("tenant", configured.tenant());
        map.put("pool", configured.pool());
        map.put("carry_most", configured.maxCarryFraction());
        map.put("hard", configured.hard());
        map.put("begin", Instant.ofEpochMilli(account.windowStartMillis()).toString());
        map.put("end", Instant.ofEpochMilli(budget.endMillis()).toString());
        map.put("saved", Instant.ofEpochMilli(account.savedAtMillis()).toString());
        map.put("granted", account.granted());
        map.put("spent", account.spent());
        map.put("left", budget.remaining());
        map.put("forecast", budget.forecast());
        map.put("reserved", account.reserved());
        map.put("credit", account.credit());
        map.put("denied", account.denied());
        map.put("owed", account.owed());
        map.put("given", account.transferredOut());
        map.put("got", account.transferredIn());
        return map;
    }

    private static Map<String, Object> toMap(ZoneSnapshot snapshot, Flow flow, FlowCounts counts) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("from", flow.fromZone());
        map.put("to", flow.toZone());
        map.put("client", flow.clientZone());
        map.put("class", flow.className());
        map.put("pool", flow.pool());
        map.put("tenant", flow.tenant());
        map.put("requests", counts.requests());
        map.put("attempts", counts.attempts());
        map.put("probes", counts.probes());
        map.put("failed", counts.failed());
        map.put("sent", counts.bytesSent());
        map.put("received", counts.bytesReceived());
        Map<String, Object> causes = new LinkedHashMap<>();
        for (CrossingCause cause : CrossingCause.values()) {
            if (counts.attempts(cause) > 0 || counts.bytes(cause) > 0) {
                causes.put(cause.reportName(), Map.of(
                        "attempts", counts.attempts(cause), "bytes", counts.bytes(cause)));
            }
        }
        map.put("why", causes);
        map.put("money", snapshot.cost(flow, counts));
        return map;
    }

    /** Inverse of {@link #toMap(ZoneSnapshot)}. */
    public static ZoneSnapshot snapshot(Map<String, Object> map) throws IOException {
        try {
            Map<Flow, FlowCounts> flows = new LinkedHashMap<>();
            for (Map<String, Object> flow : requireTables(map, "flows", MAX_LIST_ENTRIES)) {
                flows.put(new Flow(requireString(flow, "from"), requireString(flow, "to"),
                        requireString(flow, "client"), requireString(flow, "class"), requireString(flow, "pool"),
                        requireString(flow, "tenant")), counts(flow));
            }
            List<ZoneSnapshot.BudgetStatus> budgets = new ArrayList<>();
            for (Map<String, Object> budget : requireTables(map, "budgets", MAX_LIST_ENTRIES)) {
                budgets.add(budget(budget));
            }
            List<Price> prices = new ArrayList<>();
            for (Map<String, Object> price : requireTables(map, "prices", MAX_LIST_ENTRIES)) {
                prices.add(new Price(requireString(price, "from"), requireString(price, "to"),
                        requireDouble(price, "per_gib"), requireDouble(price, "per_million_requests")));
            }
            Map<String, List<String>> overridingClasses = new TreeMap<>();
            requireTable(map, "giving_way").forEach((pool, classes) -> overridingClasses.put(pool,
                    classes instanceof List<?> list ? list.stream().map(String::valueOf).toList() : List.of()));
            return new ZoneSnapshot(requireString(map, "gateway"), requireString(map, "zone"),
                    requireTimeMillis(map, "at"), flows, budgets, prices, overridingClasses);
        } catch (IllegalArgumentException | DateTimeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static FlowCounts counts(Map<String, Object> flow) throws IOException {
        CrossingCause[] causes = CrossingCause.values();
        long[] values = new long[6 + 2 * causes.length];
        String[] totals = {"requests", "attempts", "probes", "failed", "sent", "received"};
        for (int i = 0; i < totals.length; i++) {
            values[i] = requireLong(flow, totals[i]);
        }
        Map<String, Object> causesTable = requireTable(flow, "why");
        for (int i = 0; i < causes.length; i++) {
            if (causesTable.containsKey(causes[i].reportName())) {
                Map<String, Object> causeTable = requireTable(causesTable, causes[i].reportName());
                values[6 + i] = requireLong(causeTable, "attempts");
                values[6 + causes.length + i] = requireLong(causeTable, "bytes");
            }
        }
        return FlowCounts.of(values);
    }

    private static ZoneSnapshot.BudgetStatus budget(Map<String, Object> map) throws IOException {
        CrossingBudget configured = new CrossingBudget(requireString(map, "name"),
                BudgetWindow.valueOf(requireString(map, "window").toUpperCase(Locale.ROOT)),
                CrossingBudget.Unit.valueOf(requireString(map, "unit").toUpperCase(Locale.ROOT)),
                requireDouble(map, "amount"), (String) map.get("to"),
                (String) map.get("class"), (String) map.get("tenant"), (String) map.get("pool"),
                requireDouble(map, "carry_most"),
                Boolean.TRUE.equals(map.get("hard")));
        AccountState account = new AccountState(requireTimeMillis(map, "begin"), requireTimeMillis(map, "saved"),
                requireDouble(map, "granted"), requireDouble(map, "spent"), requireDouble(map, "reserved"),
                requireDouble(map, "credit"), requireDouble(map, "denied"), requireDouble(map, "owed"),
                requireDoubles(map, "given"), requireDoubles(map, "got"));
        return new ZoneSnapshot.BudgetStatus(configured, requireTimeMillis(map, "end"), requireDouble(map, "forecast"),
                account);
    }

    // ---- announcements

    /** JSON fields of an announcement. */
    public static Map<String, Object> toMap(Escrow.Announcement announcement) {
        Map<String, Object> budgets = new TreeMap<>();
        announcement.budgets().forEach((name, budget) -> budgets.put(name, Map.of(
                "begin", Instant.ofEpochMilli(budget.windowStartMillis()).toString(),
                "wants", budget.expectedShortfall(), "given", budget.transferredOut())));
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("gateway", announcement.gateway());
        map.put("at", Instant.ofEpochMilli(announcement.sentAtMillis()).toString());
        map.put("budgets", budgets);
        return map;
    }

    /** Inverse of {@link #toMap(Escrow.Announcement)}. */
    public static Escrow.Announcement announcement(Map<String, Object> map) throws IOException {
        try {
            Map<String, Escrow.BudgetAnnouncement> budgets = new TreeMap<>();
            Map<String, Object> budgetsTable = requireTable(map, "budgets");
            for (String name : budgetsTable.keySet()) {
                Map<String, Object> budgetTable = requireTable(budgetsTable, name);
                Map<String, Double> transferredOut = requireDoubles(budgetTable, "given");
                if (transferredOut.values().stream().anyMatch(amount -> amount < 0)) {
                    throw new IOException("budgets." + name + ".given: expected 0 or more, found " + transferredOut);
                }
                budgets.put(name, new Escrow.BudgetAnnouncement(requireTimeMillis(budgetTable, "begin"),
                        requireDouble(budgetTable, "wants"), transferredOut));
            }
            return new Escrow.Announcement(requireString(map, "gateway"), requireTimeMillis(map, "at"), budgets);
        } catch (DateTimeException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    // ---- values

    private static IOException unexpectedValue(String key, String expected, Object found) {
        return new IOException(key + ": expected " + expected + ", found " + found);
    }

    private static String requireString(Map<String, Object> map, String key) throws IOException {
        if (map.get(key) instanceof String text) {
            return text;
        }
        throw unexpectedValue(key, "a text", map.get(key));
    }

    private static long requireTimeMillis(Map<String, Object> map, String key) throws IOException {
        return Instant.parse(requireString(map, key)).toEpochMilli();
    }

    private static long requireLong(Map<String, Object> map, String key) throws IOException {
        Object value = map.get(key);
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw unexpectedValue(key, "a whole number", value);
    }

    private static double requireDouble(Map<String, Object> map, String key) throws IOException {
        if (map.get(key) instanceof Number number && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw unexpectedValue(key, "a number", map.get(key));
    }

    private static Map<String, Object> requireTable(Map<String, Object> map, String key) throws IOException {
        Map<String, Object> table = new LinkedHashMap<>();
        if (!(map.get(key) instanceof Map<?, ?> found)) {
            throw unexpectedValue(key, "a table", map.get(key));
        }
        found.forEach((name, value) -> table.put(String.valueOf(name), value));
        return table;
    }

    private static Map<String, Double> requireDoubles(Map<String, Object> map, String key) throws IOException {
        Map<String, Object> table = requireTable(map, key);
        Map<String, Double> numbers = new TreeMap<>();
        for (String name : table.keySet()) {
            numbers.put(name, requireDouble(table, name));
        }
        return numbers;
    }

    private static List<Map<String, Object>> requireTables(Map<String, Object> map, String key, int maxEntries)
            throws IOException {
        if (!(map.get(key) instanceof List<?> list) || list.size() > maxEntries) {
            throw unexpectedValue(key, "a list of at most " + maxEntries,
                    map.get(key) instanceof List<?> longer ? longer.size() : map.get(key));
        }
        List<Map<String, Object>> tables = new ArrayList<>();
        for (Object each : list) {
            tables.add(requireTable(Map.of(key, each), key));
        }
        return tables;
    }
}
