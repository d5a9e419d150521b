package mastdrift.distribution.edge;

import java.util.HashMap;
import java.util.Map;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;

/**
 * Emits the events of publishers, subscribers and links. Faults are limited to one per event name and sender in each
 * interval, however many messages the sender sends.
 */
final class RateLimitedEvents {

    private static final long INTERVAL_MICROS = 60_000_000;
    private static final int MAX_TRACKED_KEYS = 256;

    private final Events events;
    private final Map<String, Long> lastEmittedMicrosByKey = new HashMap<>();

    RateLimitedEvents(Events events) {
        this.events = events;
    }

    /** Emits an event of a publisher or subscriber, which limits their rate itself. */
    void event(String name, String text) {
        events.event(name.equals("config_forked") ? Level.ERROR : name.equals("config_snapshot") ? Level.INFO : Level.WARN, name, text);
    }

    /**
     * Emits a fault that may occur with every message, at most once in {@value #INTERVAL_MICROS} µs for each event name
     * and sender. If {@value #MAX_TRACKED_KEYS} such pairs had a fault within the interval, faults of further pairs are
     * suppressed.
     */
    void fault(long nowMicros, String name, String sender, String text) {
        String key = name + ' ' + sender;
        Long previousMicros = lastEmittedMicrosByKey.get(key);
        if (previousMicros != null && nowMicros - previousMicros < INTERVAL_MICROS) {
            return;
        }
        if (previousMicros == null && lastEmittedMicrosByKey.size() >= MAX_TRACKED_KEYS) {
            lastEmittedMicrosByKey.values().removeIf(at -> nowMicros - at >= INTERVAL_MICROS);
            if (lastEmittedMicrosByKey.size() >= MAX_TRACKED_KEYS) {
                return;
            }
        }
        lastEmittedMicrosByKey.put(key, nowMicros);
        events.event(Level.WARN, name, sender + ": " + text);
    }
}
