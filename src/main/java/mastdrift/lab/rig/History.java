package mastdrift.lab.rig;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What all processes of a run did, by the machine's monotonic clock. Bounded: {@value #LINES_MOST} lines; beyond, the run says that it can't be judged. */
public final class History {

    /** Lines that it holds. */
    public static final int LINES_MOST = 500_000;

    /**
     * A line.
     *
     * @param slot microseconds of the monotonic clock since the run began
     * @param who a process, {@code client}, {@code host} or {@code rig}
     * @param what a stable word
     * @param more what belongs to it, by name
     */
    public record Line(long at, String who, String what, Map<String, Object> more) {

        /** A text of what belongs to it; empty where it has none of that name. */
        public String text(String name) {
            Object value = more.get(name);
            return value == null ? "" : value.toString();
        }

        /** A number of what belongs to it; 0 where it has none of that name. */
        public long number(String name) {
            return more.get(name) instanceof Number number ? number.longValue() : 0;
        }

        @Override
        public String toString() {
            return at / 1_000 + " ms " + who + " " + what + " " + more;
        }
    }

    private final long began = System.nanoTime() / 1_000;
    private final List<Line> lines = new ArrayList<>();
    private boolean full;

    /** Now, as lines have it. */
    public long now() {
        return System.nanoTime() / 1_000 - began;
    }

    /** A time of the monotonic clock in microseconds, as lines have it. */
    public long at(long monotonic) {
        return monotonic - began;
    }

    /** Something happened; names and values in turn. */
    public synchronized void add(long at, String who, String what, Object... more) {
        if (lines.size() >= LINES_MOST) {
            full = true;
            return;
        }
        Map<String, Object> fields = new LinkedHashMap<>();
        for (int i = 0; i + 1 < more.length; i += 2) {
            fields.put(String.valueOf(more[i]), more[i + 1]);
        }
        lines.add(new Line(at, who, what, fields));
    }

    /** Whether lines are missing. */
    public synchronized boolean full() {
        return full;
    }

    /** All lines in the order of their times. */
    public synchronized List<Line> lines() {
        List<Line> sorted = new ArrayList<>(lines);
        sorted.sort(Comparator.comparingLong(Line::at));
        return sorted;
    }

    /** Writes a JSON object a line. */
    public void save(Path file) throws IOException {
        try {
            Files.write(file, (Iterable<String>) lines().stream().map(line -> {
                Map<String, Object> all = new LinkedHashMap<>();
                all.put("at_us", line.at);
                all.put("who", line.who);
                all.put("what", line.what);
                all.putAll(line.more);
                try {
                    return JSON.std.asString(all);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            })::iterator);
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }
}
