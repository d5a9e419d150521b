package mastdrift.distribution.edge;

import java.util.HashMap;
import java.util.Map;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;

/** What deciders and links have to say, as events: faults of one sender once in a while, whatever it sends. */
final class Notices {

    private static final long AGAIN = 60_000_000;
    private static final int KEPT_MOST = 256;

    private final Events events;
    private final Map<String, Long> saidAt = new HashMap<>();

    Notices(Events events) {
        this.events = events;
    }

    /** By a decider, which bounds them itself. */
    void event(String name, String text) {
        events.event(name.equals("config_forked") ? Level.ERROR : name.equals("config_snapshot") ? Level.INFO : Level.WARN, name, text);
    }

    /** A fault that may come with each message; said each {@value #AGAIN} us at most, of a sender. */
    void fault(long now, String name, String of, String text) {
        String key = name + ' ' + of;
        Long said = saidAt.get(key);
        if (said != null && now - said < AGAIN) {
            return;
        }
        if (said == null && saidAt.size() >= KEPT_MOST) {
            saidAt.values().removeIf(at -> now - at >= AGAIN);
            if (saidAt.size() >= KEPT_MOST) {
                return;
            }
        }
        saidAt.put(key, now);
        events.event(Level.WARN, name, of + ": " + text);
    }
}
