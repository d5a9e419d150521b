package mastdrift.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.event.KeyValuePair;

/**
 * Hands events to a thread of its own through a bounded queue, and nobody ever waits: what finds the queue full is dropped and
 * counted, and so is what one event's name has beyond {@value #A_SECOND} in a second. Both counts are logged as events of their
 * own once there is room again: {@code log_dropped} and {@code log_suppressed}.
 */
final class BoundedLog extends AsyncAppender {

    /** Events of one name in a second; more are suppressed. */
    static final int A_SECOND = 50;
    /** Names that are told apart; further ones share a bound. */
    static final int NAMES_MOST = 256;

    /** What one name had in the present second. */
    private static final class Rate {
        private long second = Long.MIN_VALUE;
        private int count;
        private long suppressed;
    }

    private final Logger logger;
    private final Map<String, Rate> rates = new HashMap<>();
    private long dropped;
    private long told;

    /** Holds {@code most} events at once; its own come from {@code logger}. */
    BoundedLog(Logger logger, int most) {
        this.logger = logger;
        setQueueSize(most);
        setDiscardingThreshold(0);
        setNeverBlock(true);
    }

    /** Events that were dropped since the queue was full. */
    synchronized long dropped() {
        return dropped;
    }

    /** One producer at a time, so that what is found room for gets it; no I/O is done under this lock. */
    @Override
    protected synchronized void append(ILoggingEvent event) {
        String name = name(event);
        Rate rate = rates.computeIfAbsent(rates.size() < NAMES_MOST || rates.containsKey(name) ? name : "", n -> new Rate());
        long second = Math.floorDiv(event.getTimeStamp(), 1000);
        if (rate.second != second) {
            rate.second = second;
            rate.count = 0;
            if (rate.suppressed > 0) {
                own(event, "log_suppressed", rate.suppressed + " events " + name + " were suppressed, more than " + A_SECOND
                        + " in a second", rate.suppressed);
                rate.suppressed = 0;
            }
        }
        if (++rate.count > A_SECOND) {
            rate.suppressed++;
            return;
        }
        if (dropped > told && getRemainingCapacity() > 1) {
            own(event, "log_dropped", (dropped - told) + " events were dropped, the log was full", dropped - told);
            told = dropped;
        }
        put(event);
    }

    private void put(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            dropped++;
        } else {
            super.append(event);
        }
    }

    private void own(ILoggingEvent cause, String name, String text, long count) {
        LoggingEvent event = new LoggingEvent(BoundedLog.class.getName(), logger, Level.WARN, text, null, null);
        event.setKeyValuePairs(List.of(new KeyValuePair("event", name), new KeyValuePair("count", count)));
        event.setTimeStamp(cause.getTimeStamp());
        put(event);
    }

    private static String name(ILoggingEvent event) {
        List<KeyValuePair> pairs = event.getKeyValuePairs();
        return pairs == null || pairs.isEmpty() ? event.getLoggerName() : String.valueOf(pairs.get(0).value);
    }
}
