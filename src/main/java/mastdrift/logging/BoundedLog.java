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
 * Passes events to a writer thread through a bounded queue; callers never block. Events that find the queue full are
 * dropped and counted, and so are events of one name beyond {@value #MAX_EVENTS_PER_SECOND} in a second. Both counts
 * are logged as events of their own once there is room again: {@code log_dropped} and {@code log_suppressed}.
 */
final class BoundedLog extends AsyncAppender {

    /** Events of one name in a second; further ones are suppressed. */
    static final int MAX_EVENTS_PER_SECOND = 50;
    /** Names with a rate limit of their own; all further names share one. */
    static final int MAX_LIMITED_NAMES = 256;

    /** The events of one name in the current second. */
    private static final class Rate {
        private long second = Long.MIN_VALUE;
        private int count;
        private long suppressed;
    }

    private final Logger logger;
    private final Map<String, Rate> rates = new HashMap<>();
    private long dropped;
    private long reportedDropped;

    /**
     * {@code queueCapacity} is the capacity of the queue; the events of this class itself are attributed to
     * {@code logger}.
     */
    BoundedLog(Logger logger, int queueCapacity) {
        this.logger = logger;
        setQueueSize(queueCapacity);
        setDiscardingThreshold(0);
        setNeverBlock(true);
    }

    /** Events that were dropped because the queue was full. */
    synchronized long dropped() {
        return dropped;
    }

    /**
     * Synchronized, so that room that was found in the queue is still there when the event is put; no I/O is done under
     * this lock.
     */
    @Override
    protected synchronized void append(ILoggingEvent event) {
        String name = eventName(event);
        Rate rate = rates.computeIfAbsent(rates.size() < MAX_LIMITED_NAMES || rates.containsKey(name) ? name : "", n -> new Rate());
        long second = Math.floorDiv(event.getTimeStamp(), 1000);
        if (rate.second != second) {
            rate.second = second;
            rate.count = 0;
            if (rate.suppressed > 0) {
                appendOwnEvent(event, "log_suppressed", rate.suppressed + " events " + name + " were suppressed, more than " + MAX_EVENTS_PER_SECOND
                        + " in a second", rate.suppressed);
                rate.suppressed = 0;
            }
        }
        if (++rate.count > MAX_EVENTS_PER_SECOND) {
            rate.suppressed++;
            return;
        }
        if (dropped > reportedDropped && getRemainingCapacity() > 1) {
            appendOwnEvent(event, "log_dropped", (dropped - reportedDropped)
                    + " events were dropped, the log queue was full", dropped - reportedDropped);
            reportedDropped = dropped;
        }
        enqueue(event);
    }

    private void enqueue(ILoggingEvent event) {
        if (getRemainingCapacity() == 0) {
            dropped++;
        } else {
            super.append(event);
        }
    }

    private void appendOwnEvent(ILoggingEvent cause, String name, String text, long count) {
        LoggingEvent event = new LoggingEvent(BoundedLog.class.getName(), logger, Level.WARN, text, null, null);
        event.setKeyValuePairs(List.of(new KeyValuePair("event", name), new KeyValuePair("count", count)));
        event.setTimeStamp(cause.getTimeStamp());
        enqueue(event);
    }

    private static String eventName(ILoggingEvent event) {
        List<KeyValuePair> pairs = event.getKeyValuePairs();
        return pairs == null || pairs.isEmpty() ? event.getLoggerName() : String.valueOf(pairs.get(0).value);
    }
}
