package mastdrift.zones;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The zone that a key's effect belongs to while its window is open: the one in which it may have run. Bounded; at the bound nothing more
    is taken in until the eldest window closes, and keys that couldn't be stay where they need not be remembered, in the own zone. */
final class KeyZones {

    /** Keys. */
    static final int MOST = 1 << 16;

    private static final class Entry {
        private final String zone;
        private long until;
        private int mayHaveRun;

        Entry(String zone) {
            this.zone = zone;
        }
    }

    private final int most;
    private final Map<Long, Entry> keys = new LinkedHashMap<>();

    KeyZones(int most) {
        this.most = most;
    }

    /** Null where it belongs to none. */
    String zone(long now, long key) {
        Entry entry = keys.get(key);
        if (entry != null && entry.until <= now) {
            keys.remove(key);
            return null;
        }
        return entry == null ? null : entry.zone;
    }

    /** Whether another key can be remembered. */
    boolean room(long now) {
        if (keys.size() < most) {
            return true;
        }
        Iterator<Entry> eldest = keys.values().iterator();
        if (eldest.next().until <= now) {
            eldest.remove();
        }
        return keys.size() < most;
    }

    /** An attempt goes to a zone; its window is open until then. */
    void sent(long now, long key, String zone, long until) {
        String known = zone(now, key);
        if (known == null && !room(now)) {
            return;
        }
        Entry entry = keys.computeIfAbsent(key, any -> new Entry(zone));
        if (entry.zone.equals(zone)) {
            entry.mayHaveRun++;
            entry.until = Math.max(entry.until, until);
        }
    }

    /** An attempt there is proved not to have run. */
    void neverRan(long key, String zone) {
        Entry entry = keys.get(key);
        if (entry != null && entry.zone.equals(zone) && --entry.mayHaveRun <= 0) {
            keys.remove(key);
        }
    }

    int size() {
        return keys.size();
    }
}
