package mastdrift.net;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A log of events that may come in any number: so many lines a second are written, and those beyond are counted by their kind and
 * told in one line once the second is over. On the loop's thread.
 */
final class BoundedLog {

    private static final long SECOND = 1_000_000;

    private final LongSupplier clock;
    private final Consumer<String> log;
    private final int linesMost;
    private final Map<String, Integer> beyond = new TreeMap<>();
    private long second;
    private int lines;

    /** The clock is in microseconds and doesn't run back; {@code linesMost} lines a second are written. */
    BoundedLog(LongSupplier clock, int linesMost, Consumer<String> log) {
        this.clock = clock;
        this.linesMost = linesMost;
        this.log = log;
    }

    /** An event of a kind, in one line. */
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
            log.accept("not told one by one: " + beyond);
            beyond.clear();
        }
    }
}
