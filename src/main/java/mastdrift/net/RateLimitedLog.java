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
final class RateLimitedLog {

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final LongSupplier clockMicros;
    private final Consumer<String> log;
    private final int maxLinesPerSecond;
    private final Map<String, Integer> suppressedByKind = new TreeMap<>();
    private long currentSecond;
    private int linesThisSecond;

    /** The clock is in microseconds and must be monotonic. */
    RateLimitedLog(LongSupplier clockMicros, int maxLinesPerSecond, Consumer<String> log) {
        this.clockMicros = clockMicros;
        this.maxLinesPerSecond = maxLinesPerSecond;
        this.log = log;
    }

    /** Logs an event in one line, or counts it by its kind. */
    void logEvent(String kind, String line) {
        long nowSecond = clockMicros.getAsLong() / MICROS_PER_SECOND;
        if (nowSecond != currentSecond) {
            logSuppressed();
            currentSecond = nowSecond;
            linesThisSecond = 0;
        }
        if (linesThisSecond < maxLinesPerSecond) {
            linesThisSecond++;
            log.accept(line);
        } else {
            suppressedByKind.merge(kind, 1, Integer::sum);
        }
    }

    private void logSuppressed() {
        if (!suppressedByKind.isEmpty()) {
            log.accept("log lines suppressed: " + suppressedByKind);
            suppressedByKind.clear();
        }
    }
}
