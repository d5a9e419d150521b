package mastdrift.lab.load;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.load.Counts.Of;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;

/** What came of a load run. Latencies in microseconds, from the time that a try was due to the last byte of its answer, of
    served tries. */
public final class LoadResult {

    private static final double UNSENT_MOST = 0.001;

    private final List<Mix.Part> parts;
    private final List<Counts[]> seconds;
    private final List<Histogram[]> latencies;
    private final List<Counts> totals = new ArrayList<>();
    private final List<Histogram> byPart = new ArrayList<>();
    private final Histogram all = new Histogram(3);
    private final Histogram lateness;
    private final List<String> faults;
    private final double length;

    private LoadResult(LoadPlan plan, List<Counts[]> seconds, List<Histogram[]> latencies, Histogram lateness, double length,
            long waited) {
        parts = plan.parts();
        this.seconds = seconds;
        this.latencies = latencies;
        this.lateness = lateness;
        this.length = length;
        for (int i = 0; i < parts.size(); i++) {
            Counts total = new Counts();
            Histogram histogram = new Histogram(3);
            for (Counts[] row : seconds) {
                total.add(row[i]);
            }
            for (Histogram[] row : latencies) {
                histogram.add(row[i]);
            }
            totals.add(total);
            byPart.add(histogram);
            all.add(histogram);
        }
        faults = faults(plan, waited);
    }

    static LoadResult of(LoadPlan plan, List<Counts[]> seconds, LoadTape tape, Tally tally, double length) {
        return new LoadResult(plan, seconds, tape.seconds(), tally.lateness(), length, tally.waited());
    }

    private List<String> faults(LoadPlan plan, long waited) {
        List<String> found = new ArrayList<>();
        long late = lateness.getValueAtPercentile(99);
        if (late > plan.lateMost()) {
            found.add(String.format(Locale.ROOT, "the load tool was late itself: expected 99%% of its requests within %.1f ms of "
                    + "their time, found %.1f ms; fewer requests a second, more threads or a quieter machine", plan.lateMost() / 1e3, late / 1e3));
        }
        long asked = count(Of.ASKED) + count(Of.REPEATS);
        if (count(Of.UNSENT) > UNSENT_MOST * asked) {
            found.add("the load tool ran out of connections: expected at most 0.1% of the requests unsent, found "
                    + count(Of.UNSENT) + " of " + asked + "; more connections than " + plan.connections());
        } else if (waited > UNSENT_MOST * asked && plan.closed() == 0) {
            found.add("the load tool ran short of connections: expected at most 0.1% of the requests to wait for one, found "
                    + waited + " of " + asked + "; more connections than " + plan.connections());
        }
        return List.copyOf(found);
    }

    /** Why the run says nothing about the gateway, since the tool was what was slow; none where it counts. */
    public List<String> faults() {
        return faults;
    }

    /** Events of one kind in all. */
    public long count(Of of) {
        return totals.stream().mapToLong(total -> total.get(of)).sum();
    }

    /** Events of one kind of a part, by its number in the plan. */
    public long count(int part, Of of) {
        return totals.get(part).get(of);
    }

    /** Tries that ended otherwise than served or refused. */
    public long failed() {
        return count(Of.FAILED) + count(Of.UNANSWERED) + count(Of.FOREIGN) + count(Of.UNSENT);
    }

    /** Served tries a second. */
    public double rate() {
        return count(Of.SERVED) / Math.max(1e-9, length);
    }

    /** The latency that this part (0 to 1) of the served tries stayed under; 0 where none was served. */
    public long quantile(double part) {
        return all.getValueAtPercentile(100 * part);
    }

    /** The longest of all. */
    public long longest() {
        return all.getMaxValue();
    }

    /** Likewise of one part of the plan. */
    public long quantile(int number, double part) {
        return byPart.get(number).getValueAtPercentile(100 * part);
    }

    /** How late the tool itself was: the lateness that this part of its sends and of its loops' timers stayed under. */
    public long ownLateness(double part) {
        return lateness.getValueAtPercentile(100 * part);
    }

    /** Seconds from the first request due to the end. */
    public double length() {
        return length;
    }

    /** Counts by second and part of the plan. */
    public List<Counts[]> seconds() {
        return seconds;
    }

    /** Latencies by second and part of the plan. */
    public List<Histogram[]> latencies() {
        return latencies;
    }

    /** One JSON object a line: one for each second and part in which anything was due, one for each part, and one for all. */
    public List<Map<String, Object>> lines() {
        List<Map<String, Object>> lines = new ArrayList<>();
        for (int second = 0; second < seconds.size(); second++) {
            for (int i = 0; i < parts.size(); i++) {
                Histogram histogram = second < latencies.size() ? latencies.get(second)[i] : new Histogram(3);
                lines.add(line("second", second, parts.get(i), seconds.get(second)[i], histogram));
            }
        }
        for (int i = 0; i < parts.size(); i++) {
            lines.add(line("part", null, parts.get(i), totals.get(i), byPart.get(i)));
        }
        Map<String, Object> last = new LinkedHashMap<>();
        last.put("kind", "all");
        last.put("seconds", length);
        last.put("counts", faults.isEmpty());
        last.put("faults", faults);
        last.put("own_lateness_p99_us", ownLateness(0.99));
        last.put("own_lateness_max_us", lateness.getMaxValue());
        for (Of of : Of.values()) {
            last.put(of.name().toLowerCase(Locale.ROOT), count(of));
        }
        quantiles(last, all);
        lines.add(last);
        return lines;
    }

    private static Map<String, Object> line(String kind, Integer second, Mix.Part part, Counts counts, Histogram histogram) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("kind", kind);
        if (second != null) {
            line.put("second", second);
        }
        line.put("class", part.className());
        line.put("tenant", part.tenant());
        for (Of of : Of.values()) {
            line.put(of.name().toLowerCase(Locale.ROOT), counts.get(of));
        }
        quantiles(line, histogram);
        return line;
    }

    private static void quantiles(Map<String, Object> line, Histogram histogram) {
        line.put("p50_us", histogram.getValueAtPercentile(50));
        line.put("p90_us", histogram.getValueAtPercentile(90));
        line.put("p99_us", histogram.getValueAtPercentile(99));
        line.put("p999_us", histogram.getValueAtPercentile(99.9));
        line.put("max_us", histogram.getMaxValue());
    }

    /** Writes {@code load.jsonl} and {@code load.hlog} to a folder, each whole or not at all. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        StringBuilder text = new StringBuilder();
        for (Map<String, Object> line : lines()) {
            text.append(JSON.std.asString(line)).append('\n');
        }
        Path aside = folder.resolve("load.jsonl.new");
        Files.writeString(aside, text);
        Files.move(aside, folder.resolve("load.jsonl"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        Path log = folder.resolve("load.hlog.new");
        try (OutputStream out = Files.newOutputStream(log); PrintStream printed = new PrintStream(out, false, StandardCharsets.UTF_8)) {
            HistogramLogWriter writer = new HistogramLogWriter(printed);
            writer.outputComment("latencies in microseconds from the time due, of served tries, by class and tenant");
            writer.outputLogFormatVersion();
            writer.outputLegend();
            for (Histogram[] row : latencies) {
                for (Histogram histogram : row) {
                    writer.outputIntervalHistogram(histogram.getStartTimeStamp() / 1e3, histogram.getEndTimeStamp() / 1e3,
                            histogram, 1000);
                }
            }
            if (printed.checkError()) {
                throw new IOException("load.hlog could not be written whole");
            }
        }
        Files.move(log, folder.resolve("load.hlog"), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
