package mastdrift.tally;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * How close a fleet came to breaking its rules, computed from the request steps that its gateways logged. Steps of one
 * gateway are read in the order of its log, one gateway after the other. Keeps the unanswered requests of the gateway
 * being read, and the times at which attempts were sent to each host.
 *
 * <p>The greatest number of attempts that a host got in any window is found with two pointers over the sorted times.
 * The logs don't tell a host's capacity. So the count of a cold host is shown next to the mean that warm hosts got in a
 * window of the same length, and the reader who knows the share of a starting host compares the two.
 */
public final class RuleMargins {

    /** A request that was accepted and isn't answered yet; attempts by number. */
    private static final class PendingRequest {
        private final RequestStep acceptedStep;
        private final Map<Integer, String> outcomes = new HashMap<>();
        // By attempt, the step at which its first byte was sent.
        private final Map<Integer, RequestStep> firstByteSteps = new HashMap<>();
        private int lastAttempt = -1;

        PendingRequest(RequestStep acceptedStep) {
            this.acceptedStep = acceptedStep;
        }
    }

    // Hosts have the least capacity just after their start.
    private static final long EARLY_PERIOD_MICROS = 5_000_000;

    private final long windowMicros;
    private final Map<String, PendingRequest> pending = new HashMap<>();
    private final Map<String, List<Long>> coldSendTimes = new HashMap<>();
    private final Map<String, Long> bornMicros = new HashMap<>();
    private final Map<String, List<Long>> warmSendTimes = new HashMap<>();
    private final Map<String, Long> answerCounts = new TreeMap<>();
    private final Map<String, Long> unsentCounts = new TreeMap<>();
    private final Map<String, Long> retryCounts = new TreeMap<>();
    private long acceptedCount;
    private long unansweredCount;
    private long maxOverrunMicros = Long.MIN_VALUE;
    private String maxOverrunTraceId = "";
    private long maxSendAfterDrainMicros;
    private String maxSendAfterDrainWhere = "";
    private long sendsToLeavingHosts;

    /** Counts sends to cold hosts in windows of {@code windowMicros}. */
    public RuleMargins(long windowMicros) {
        this.windowMicros = windowMicros;
    }

    /** Reads the next step of the gateway whose log is being read. */
    public void readStep(RequestStep step) {
        if (step.kind() == RequestStep.Kind.TAKEN) {
            acceptedCount++;
            pending.put(step.traceId(), new PendingRequest(step));
            return;
        }
        PendingRequest request = pending.get(step.traceId());
        if (request == null) {
            return;  // the request's beginning was not traced, or the attempt ended after the request was answered
        }
        switch (step.kind()) {
            case SENT -> {
                request.firstByteSteps.put(step.attempt(), step);
                if (request.lastAttempt >= 0) {
                    String repeatRule = request.acceptedStep.detail()
                            .substring(request.acceptedStep.detail().lastIndexOf(':') + 1);
                    retryCounts.merge(repeatRule + " after " + request.outcomes
                            .getOrDefault(request.lastAttempt, "nothing yet"), 1L, Long::sum);
                }
                request.lastAttempt = step.attempt();
            }
            case OPENED -> request.firstByteSteps.put(step.attempt(), step);
            case ENDED -> {
                request.outcomes.put(step.attempt(), step.detail());
                RequestStep firstByteStep = request.firstByteSteps.remove(step.attempt());
                if (firstByteStep != null && !step.detail().equals("UNUSED")) {
                    recordFirstByte(firstByteStep);
                }
            }
            default -> recordAnswer(request, step);
        }
    }

    /** Records that the first byte of an attempt was sent. */
    private void recordFirstByte(RequestStep step) {
        if (step.detail().equals(RequestStep.STATE_LEAVING)) {
            sendsToLeavingHosts++;
            if (step.spanMicros() > maxSendAfterDrainMicros) {
                maxSendAfterDrainMicros = step.spanMicros();
                maxSendAfterDrainWhere = step.traceId() + " at " + step.host();
            }
        }
        if (step.detail().equals(RequestStep.STATE_COLD)) {
            bornMicros.merge(step.host(), step.unixMicros() - step.spanMicros(), Math::max);
        }
        (step.detail().equals(RequestStep.STATE_COLD) ? coldSendTimes : warmSendTimes)
                .computeIfAbsent(step.host(), host -> new ArrayList<>()).add(step.unixMicros());
    }

    private void recordAnswer(PendingRequest request, RequestStep step) {
        pending.remove(step.traceId());
        answerCounts.merge(step.detail(), 1L, Long::sum);
        boolean neverSent = request.lastAttempt < 0 || request.outcomes.size() > request.lastAttempt
                && request.outcomes.values().stream().allMatch("UNUSED"::equals);
        if (neverSent && (step.detail().equals("FAILED") || step.detail().equals("LATE"))) {
            unsentCounts.merge(step.detail(), 1L, Long::sum);
        }
        if (!step.detail().equals("LEFT") && step.spanMicros() - request.acceptedStep.spanMicros() > maxOverrunMicros) {
            maxOverrunMicros = step.spanMicros() - request.acceptedStep.spanMicros();
            maxOverrunTraceId = step.traceId();
        }
        // Attempts still in flight have sent their first byte, too.
        request.firstByteSteps.values().forEach(this::recordFirstByte);
    }

    /** Marks the end of the log that was being read: its requests without an answer are counted as unanswered. */
    public void endLog() {
        unansweredCount += pending.size();
        pending.clear();
    }

    /** The greatest number of {@code times} in any window, and the end of the first such window. */
    private long[] maxInWindow(List<Long> times) {
        long[] sorted = times.stream().mapToLong(Long::longValue).sorted().toArray();
        long[] max = {0, 0};
        int first = 0;
        for (int last = 0; last < sorted.length; last++) {
            while (sorted[last] - sorted[first] > windowMicros) {
                first++;
            }
            if (last - first + 1 > max[0]) {
                max[0] = last - first + 1;
                max[1] = sorted[last];
            }
        }
        return max;
    }

    private void addColdHostRow(List<List<String>> rows, String name, long periodMicros) {
        String seenAt = "";
        long figure = 0;
        for (Map.Entry<String, List<Long>> host : coldSendTimes.entrySet()) {
            long startMicros = bornMicros.get(host.getKey());
            long[] max = maxInWindow(host.getValue().stream()
                    .filter(sendMicros -> sendMicros - startMicros <= periodMicros).toList());
            if (max[0] > figure) {
                figure = max[0];
                seenAt = host.getKey() + " " + (max[1] - startMicros) / 1000 + " ms after its start";
            }
        }
        addRow(rows, name, figure, seenAt);
    }

    /** Mean number of sends to a host that is not cold, per window. */
    private double meanWarmSends() {
        long[] sendTimes = warmSendTimes.values().stream().flatMap(List::stream).mapToLong(Long::longValue).toArray();
        if (sendTimes.length == 0) {
            return 0;
        }
        double windows = Math.max(1,
                (LongStream.of(sendTimes).max().orElse(0) - LongStream.of(sendTimes).min().orElse(0))
                        / (double) windowMicros);
        return sendTimes.length / windows / warmSendTimes.size();
    }

    /** Rows of name, figure and where it was seen; times are in milliseconds. */
    public List<List<String>> rows() {
        List<List<String>> rows = new ArrayList<>(List.of(List.of("margin", "figure", "seen")));
        addRow(rows, "requests followed", acceptedCount, "");
        answerCounts.forEach((answer, count) -> addRow(rows, "answered " + answer, count, ""));
        addRow(rows, "taken, no answer in the log", unansweredCount, "");
        unsentCounts.forEach((answer, count) -> addRow(rows, "never sent, " + answer, count, ""));
        if (maxOverrunMicros > Long.MIN_VALUE) {
            addRow(rows, "latest answer against its time, ms", Math.round(maxOverrunMicros / 1e3), maxOverrunTraceId);
        }
        addRow(rows, "sends to hosts that leave", sendsToLeavingHosts, "");
        addRow(rows, "last of them after it was told, ms", Math.round(maxSendAfterDrainMicros / 1e3),
                maxSendAfterDrainWhere);
        retryCounts.forEach((reason, count) -> addRow(rows, "repeats, " + reason, count, ""));
        String inWindow = " in " + windowMicros / 1000 + " ms";
        addRow(rows, "cold hosts", coldSendTimes.size(), "");
        addColdHostRow(rows, "most sent to a cold host" + inWindow, Long.MAX_VALUE);
        addColdHostRow(rows, "likewise in its first " + EARLY_PERIOD_MICROS / 1_000_000 + " s", EARLY_PERIOD_MICROS);
        rows.add(Arrays.asList("mean sent to a host not cold" + inWindow, String.format("%.1f", meanWarmSends()), ""));
        return rows;
    }

    private static void addRow(List<List<String>> rows, String name, long figure, String seenAt) {
        rows.add(List.of(name, Long.toString(figure), seenAt));
    }
}
