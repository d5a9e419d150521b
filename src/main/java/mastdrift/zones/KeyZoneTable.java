package mastdrift.zones;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The zone that a key's effect belongs to while its window is open: the one in which it may have run. Bounded; at the bound nothing more
    is taken in until the eldest window closes, and keys that couldn't be stay where they need not be remembered, in the own zone. */
final class KeyZoneTable {

    /** Keys. */
    static final int MAX_KEYS = 1 << 16;

    private static final class Entry {
        private final String zone;
        private long expiresAt;
        private int possiblyRunAttempts;

        Entry(String zone) {
            this.zone = zone;
        }
    }

    private final int maxKeys;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();

    KeyZoneTable(int maxKeys) {
        this.maxKeys = maxKeys;
    }

    /** Null where it belongs to none. */
    String zone(long now, long key) {
        Entry entry = entries.get(key);
        if (entry != null && entry.expiresAt <= now) {
            entries.remove(key);
            return null;
        }
        return entry == null ? null : entry.zone;
    }

    /** Whether another key can be remembered. */
    boolean hasRoom(long now) {
        if (entries.size() < maxKeys) {
            return true;
        }
        Iterator<Entry> oldest = entries.values().iterator();
        if (oldest.next().expiresAt <= now) {
            oldest.remove();
        }
        return entries.size() < maxKeys;
    }

    /** An attempt goes to a zone; its window is open until then. */
    void recordSent(long now, long key, String zone, long expiresAt) {
        String knownZone = zone(now, key);
        if (knownZone == null && !hasRoom(now)) {
            return;
        }
        Entry entry = entries.computeIfAbsent(key, any -> new Entry(zone));
        if (entry.zone.equals(zone)) {
            entry.possiblyRunAttempts++;
            entry.expiresAt = Math.max(entry.expiresAt, expiresAt);
        }
    }

    /** An attempt there is proved not to have run. */
    void recordNeverRan(long key, String zone) {
        Entry entry = entries.get(key);
        if (entry != null && entry.zone.equals(zone) && --entry.possiblyRunAttempts <= 0) {
            entries.remove(key);
        }
    }

    int size() {
        return entries.size();
    }
}
