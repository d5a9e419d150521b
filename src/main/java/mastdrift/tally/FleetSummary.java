package mastdrift.tally;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Aggregates the log lines of many gateways by second, by gateway and by host. Lines that a gateway logs per event
 * (starts, host lists, failed discovery calls, its own lateness) are counted even if it writes no counts per second.
 * Keeps sums per second, gateway and host, but no lines.
 */
public final class FleetSummary {

    private static final int MAX_PARSE_ERRORS = 20;
    // Window over which sends to cold hosts are counted; the same as that of the platform's rule for cold hosts.
    private static final long COLD_WINDOW_MICROS = 2_000_000;
    // Timestamp in seconds at the beginning of a log line, if the log has any.
    private static final Pattern TIMESTAMP = Pattern.compile("^\\s*(\\d+(?:\\.\\d+)?)\\s");
    private static final Pattern HOST_LIST_LINE = Pattern.compile("\\blist (\\d+): (\\d+) (hosts|changes)");
    private static final Pattern LATENESS_LINE =
            Pattern.compile("the gateway itself is late: whatever comes waits (\\d+) ms");

    /** What one gateway logged per event, outside its counts per second. */
    public static final class GatewayEvents {
        private int starts;
        private int listUpdates;
        private int failedCalls;
        private long maxLatenessMillis;
        private double callsFailSinceSeconds = Double.NaN;
        private double maxListGapSeconds;

        /** How often it started to listen. */
        public int starts() {
            return starts;
        }

        /** Host lists received from discovery, full lists and changes. */
        public int listUpdates() {
            return listUpdates;
        }

        /** Discovery calls that failed. */
        public int failedCalls() {
            return failedCalls;
        }

        /** The gateway's own greatest lateness in milliseconds. */
        public long maxLatenessMillis() {
            return maxLatenessMillis;
        }

        /**
         * Longest time in seconds from a failed discovery call to the next host list; 0 if lines have no timestamp or
         * no call failed.
         */
        public double maxListGapSeconds() {
            return maxListGapSeconds;
        }
    }

    private final Map<Long, SecondCounts> seconds = new TreeMap<>();
    private final Map<Long, Integer> reportingGateways = new TreeMap<>();
    private final Map<String, SecondCounts> gateways = new TreeMap<>();
    private final Map<String, GatewayEvents> eventsByGateway = new TreeMap<>();
    private final List<String> parseErrors = new ArrayList<>();
    private final List<GatewayStep> tracedSteps = new ArrayList<>();
    private final RuleMargins margins = new RuleMargins(COLD_WINDOW_MICROS);
    private String tracedId = "";
    private int parseErrorCount;

    /** A step of a request, and the gateway that logged it. */
    public record GatewayStep(String gateway, RequestStep step) { }

    /** Keeps the steps of requests whose trace id contains {@code id}. Call it before reading lines. */
    public void traceRequest(String id) {
        tracedId = id;
    }

    /** Reads one line of a gateway's log. A malformed line is skipped and reported by {@link #parseErrors}. */
    public void readLine(String gateway, int lineNumber, String line) {
        GatewayEvents events = eventsByGateway.computeIfAbsent(gateway, name -> new GatewayEvents());
        boolean isStep = line.contains(RequestStep.LINE_MARKER);
        if (isStep || line.contains(SecondCounts.LINE_MARKER)) {
            try {
                if (isStep) {
                    addStep(gateway, RequestStep.parse(line));
                } else {
                    addSecond(gateway, SecondCounts.parse(line));
                }
            } catch (IllegalArgumentException e) {
                if (parseErrorCount++ < MAX_PARSE_ERRORS) {
                    parseErrors.add(gateway + ":" + lineNumber + ": " + e.getMessage());
                }
            }
            return;
        }
        Matcher timestamp = TIMESTAMP.matcher(line);
        double atSeconds = timestamp.find() ? Double.parseDouble(timestamp.group(1)) : Double.NaN;
        Matcher list = HOST_LIST_LINE.matcher(line);
        Matcher lateness = LATENESS_LINE.matcher(line);
        if (line.contains("listening on ")) {
            events.starts++;
            margins.endLog();
            events.callsFailSinceSeconds = Double.NaN;
        } else if (line.contains("discovery failed: ")) {
            events.failedCalls++;
            events.callsFailSinceSeconds = Double.isNaN(events.callsFailSinceSeconds) ? atSeconds
                    : events.callsFailSinceSeconds;
        } else if (list.find()) {
            events.listUpdates++;
            if (events.callsFailSinceSeconds <= atSeconds) {
                events.maxListGapSeconds = Math.max(events.maxListGapSeconds, atSeconds - events.callsFailSinceSeconds);
            }
            events.callsFailSinceSeconds = Double.NaN;
        } else if (lateness.find()) {
            events.maxLatenessMillis = Math.max(events.maxLatenessMillis, Long.parseLong(lateness.group(1)));
        }
    }

    private void addSecond(String gateway, SecondCounts second) {
        seconds.computeIfAbsent(second.unixSeconds(), SecondCounts::new).add(second);
        reportingGateways.merge(second.unixSeconds(), 1, Integer::sum);
        gateways.computeIfAbsent(gateway, name -> new SecondCounts(second.unixSeconds())).add(second);
    }

    private void addStep(String gateway, RequestStep step) {
        margins.readStep(step);
        if (!tracedId.isEmpty() && step.traceId().contains(tracedId)) {
            tracedSteps.add(new GatewayStep(gateway, step));
        }
    }

    /** Marks the end of the log that was being read. */
    public void endLog() {
        margins.endLog();
    }

    /** How close the fleet came to breaking its rules, from the logged steps of requests. */
    public RuleMargins margins() {
        return margins;
    }

    /** Steps of the traced requests from all gateways, ordered by time. */
    public List<GatewayStep> tracedSteps() {
        return tracedSteps.stream().sorted(Comparator.comparingLong(traced -> traced.step().unixMicros())).toList();
    }

    /** Sums over the fleet by second of Unix time. */
    public Map<Long, SecondCounts> seconds() {
        return seconds;
    }

    /** Number of gateways that logged counts for a second of Unix time. */
    public int reportingGateways(long second) {
        return reportingGateways.getOrDefault(second, 0);
    }

    /** Sums over all seconds by gateway, for gateways that log counts. */
    public Map<String, SecondCounts> gateways() {
        return gateways;
    }

    /** What each gateway logged per event, by gateway. */
    public Map<String, GatewayEvents> events() {
        return eventsByGateway;
    }

    /** Sums over all gateways and seconds. */
    public SecondCounts total() {
        SecondCounts total = new SecondCounts(0);
        seconds.values().forEach(total::add);
        return total;
    }

    /** Malformed lines: gateway, line number, what was expected and found. At most {@value #MAX_PARSE_ERRORS}. */
    public List<String> parseErrors() {
        return parseErrors;
    }

    /** Number of malformed lines, including those not kept. */
    public int parseErrorCount() {
        return parseErrorCount;
    }
}
