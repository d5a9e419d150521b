package mastdrift.net;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Limits the log lines of events that may occur in any number: writes up to a given number of lines per second and
 * counts the others by kind. The counts are logged in one line at the first event of a later second. Call it on the
 * event loop.
 */
final class BoundedLog {

    private static final long SECOND = 1_000_000;

    private final LongSupplier clock;
    private final Consumer<String> log;
    private final int linesMost;
    private final Map<String, Integer> beyond = new TreeMap<>();
    private long second;
    private int lines;

    /** The clock is in microseconds and must be monotonic. */
    BoundedLog(LongSupplier clock, int linesMost, Consumer<String> log) {
        this.clock = clock;
        this.linesMost = linesMost;
        this.log = log;
    }

    /** Logs an event in one line, or counts it by its kind. */
    void event(String kind, String line) {
        long now = clock.getAsLong() / SECOND;
        if (now != second) {
            tellBeyond();
            second = now;
            lines = 0;
        }
        if (lines < linesMost) {
            lines++;
            log.accept(line);
        } else {
            beyond.merge(kind, 1, Integer::sum);
        }
    }

    private void tellBeyond() {
        if (!beyond.isEmpty()) {
            log.accept("log lines suppressed: " + beyond);
            beyond.clear();
        }
    }
}
