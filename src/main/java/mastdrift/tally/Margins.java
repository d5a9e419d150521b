package mastdrift.tally;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * How near a fleet came to its rules, from the steps that its gateways logged: figures beside the verdicts. Steps of one gateway come in
 * the order of its log, gateways one after the other. Holds the requests of one gateway that aren't answered yet, and the times of what
 * was sent to each host.
 *
 * <p>What a host got is counted in any span by two pointers over its sorted times. A host's capacity is told to nobody: a cold one's
 * count stands beside what warm hosts got in the same span on the mean, with which whoever knows the share of the start compares it.
 */
public final class Margins {

    private static final class Open {
        private final Step taken;
        private final Map<Integer, String> ended = new HashMap<>();
        private final Map<Integer, Step> first = new HashMap<>();  // the step at which its first byte left
        private int last = -1;

        Open(Step taken) {
            this.taken = taken;
        }
    }

    // Hosts bear least just after their start.
    private static final long EARLY = 5_000_000;

    private final long span;
    private final Map<String, Open> open = new HashMap<>();
    private final Map<String, List<Long>> cold = new HashMap<>();
    private final Map<String, Long> born = new HashMap<>();
    private final Map<String, List<Long>> warm = new HashMap<>();
    private final Map<String, Long> answers = new TreeMap<>();
    private final Map<String, Long> unsent = new TreeMap<>();
    private final Map<String, Long> repeats = new TreeMap<>();
    private long taken;
    private long unanswered;
    private long latest = Long.MIN_VALUE;
    private String latestId = "";
    private long afterDrain;
    private String afterDrainOf = "";
    private long leaving;

    /** Cold hosts are looked at in spans of {@code span} microseconds. */
    public Margins(long span) {
        this.span = span;
    }

    /** The next step of the gateway that is being read. */
    public void read(Step step) {
        if (step.kind() == Step.Kind.TAKEN) {
            taken++;
            open.put(step.id(), new Open(step));
            return;
        }
        Open of = open.get(step.id());
        if (of == null) {
            return;  // its beginning was not followed, or its end of an attempt came behind its answer
        }
        switch (step.kind()) {
            case SENT -> {
                of.first.put(step.attempt(), step);
                if (of.last >= 0) {
                    String rule = of.taken.word().substring(of.taken.word().lastIndexOf(':') + 1);
                    repeats.merge(rule + " after " + of.ended.getOrDefault(of.last, "nothing yet"), 1L, Long::sum);
                }
                of.last = step.attempt();
            }
            case OPENED -> of.first.put(step.attempt(), step);
            case ENDED -> {
                of.ended.put(step.attempt(), step.word());
                Step left = of.first.remove(step.attempt());
                if (left != null && !step.word().equals("UNUSED")) {
                    left(left);
                }
            }
            default -> answered(of, step);
        }
    }

    /** The first byte of an attempt. */
    private void left(Step step) {
        if (step.word().equals(Step.LEAVING)) {
            leaving++;
            if (step.span() > afterDrain) {
                afterDrain = step.span();
                afterDrainOf = step.id() + " at " + step.host();
            }
        }
        if (step.word().equals(Step.COLD)) {
            born.merge(step.host(), step.at() - step.span(), Math::max);
        }
        (step.word().equals(Step.COLD) ? cold : warm).computeIfAbsent(step.host(), host -> new ArrayList<>()).add(step.at());
    }

    private void answered(Open of, Step step) {
        open.remove(step.id());
        answers.merge(step.word(), 1L, Long::sum);
        boolean never = of.last < 0 || of.ended.size() > of.last && of.ended.values().stream().allMatch("UNUSED"::equals);
        if (never && (step.word().equals("FAILED") || step.word().equals("LATE"))) {
            unsent.merge(step.word(), 1L, Long::sum);
        }
        if (!step.word().equals("LEFT") && step.span() - of.taken.span() > latest) {
            latest = step.span() - of.taken.span();
            latestId = step.id();
        }
        of.first.values().forEach(this::left);  // what is still out has left
    }

    /** The log that was being read has ended: what it had taken and not answered is counted. */
    public void end() {
        unanswered += open.size();
        open.clear();
    }

    /** The most in any span, and when the first such span ended. */
    private long[] most(List<Long> times) {
        long[] sorted = times.stream().mapToLong(Long::longValue).sorted().toArray();
        long[] most = {0, 0};
        int from = 0;
        for (int to = 0; to < sorted.length; to++) {
            while (sorted[to] - sorted[from] > span) {
                from++;
            }
            if (to - from + 1 > most[0]) {
                most[0] = to - from + 1;
                most[1] = sorted[to];
            }
        }
        return most;
    }

    private void addCold(List<List<String>> rows, String name, long within) {
        String seen = "";
        long figure = 0;
        for (Map.Entry<String, List<Long>> host : cold.entrySet()) {
            long start = born.get(host.getKey());
            long[] got = most(host.getValue().stream().filter(at -> at - start <= within).toList());
            if (got[0] > figure) {
                figure = got[0];
                seen = host.getKey() + " " + (got[1] - start) / 1000 + " ms after its start";
            }
        }
        add(rows, name, figure, seen);
    }

    private double meanOfWarm() {
        long[] all = warm.values().stream().flatMap(List::stream).mapToLong(Long::longValue).toArray();
        if (all.length == 0) {
            return 0;
        }
        double spans = Math.max(1, (LongStream.of(all).max().orElse(0) - LongStream.of(all).min().orElse(0)) / (double) span);
        return all.length / spans / warm.size();
    }

    /** Rows of name, figure and what it was seen at; figures of time in milliseconds. */
    public List<List<String>> rows() {
        List<List<String>> rows = new ArrayList<>(List.of(List.of("margin", "figure", "seen")));
        add(rows, "requests followed", taken, "");
        answers.forEach((word, count) -> add(rows, "answered " + word, count, ""));
        add(rows, "taken, no answer in the log", unanswered, "");
        unsent.forEach((word, count) -> add(rows, "never sent, " + word, count, ""));
        if (latest > Long.MIN_VALUE) {
            add(rows, "latest answer against its time, ms", Math.round(latest / 1e3), latestId);
        }
        add(rows, "sends to hosts that leave", leaving, "");
        add(rows, "last of them after it was told, ms", Math.round(afterDrain / 1e3), afterDrainOf);
        repeats.forEach((reason, count) -> add(rows, "repeats, " + reason, count, ""));
        String in = " in " + span / 1000 + " ms";
        add(rows, "cold hosts", cold.size(), "");
        addCold(rows, "most sent to a cold host" + in, Long.MAX_VALUE);
        addCold(rows, "likewise in its first " + EARLY / 1_000_000 + " s", EARLY);
        rows.add(Arrays.asList("mean sent to a host not cold" + in, String.format("%.1f", meanOfWarm()), ""));
        return rows;
    }

    private static void add(List<List<String>> rows, String name, long figure, String seen) {
        rows.add(List.of(name, Long.toString(figure), seen));
    }
}
