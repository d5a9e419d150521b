package mastdrift.distribution.edge;

import java.util.HashMap;
import java.util.Map;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;

/** What deciders and links have to say, as events: faults of one sender at most once an interval, whatever it sends. */
final class RateLimitedEvents {

    private static final long INTERVAL = 60_000_000;
    private static final int KEPT_MOST = 256;

    private final Events events;
    private final Map<String, Long> emittedAt = new HashMap<>();

    RateLimitedEvents(Events events) {
        this.events = events;
    }

    /** By a decider, which bounds them itself. */
    void event(String name, String text) {
        events.event(name.equals("config_forked") ? Level.ERROR : name.equals("config_snapshot") ? Level.INFO : Level.WARN, name, text);
    }

    /** A fault that may come with each message; emitted each {@value #INTERVAL} us at most, of a sender. */
    void fault(long now, String name, String of, String text) {
        String key = name + ' ' + of;
        Long last = emittedAt.get(key);
        if (last != null && now - last < INTERVAL) {
            return;
        }
        if (last == null && emittedAt.size() >= KEPT_MOST) {
            emittedAt.values().removeIf(at -> now - at >= INTERVAL);
            if (emittedAt.size() >= KEPT_MOST) {
                return;
            }
        }
        emittedAt.put(key, now);
        events.event(Level.WARN, name, of + ": " + text);
    }
}
