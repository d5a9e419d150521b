package mastdrift.zones;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the zone in which a key's request may have run while its deduplication window is open, so that retries
 * don't run it in a second zone. Size is bounded: at the bound no new key is added until the oldest entry expires, and
 * requests with new keys stay in the gateway's own zone.
 */
final class KeyZoneTable {

    /** Largest number of keys that are remembered. */
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

    /** The zone in which the key may have run, or null if there is none. */
    String zone(long now, long key) {
        Entry entry = entries.get(key);
        if (entry != null && entry.expiresAt <= now) {
            entries.remove(key);
            return null;
        }
        return entry == null ? null : entry.zone;
    }

    /** Whether another key can be added; evicts the oldest entry if it has expired. */
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

    /** Records an attempt sent to a zone; {@code expiresAt} is the end of its deduplication window. */
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

    /** Withdraws an attempt that is proved not to have run; the key is forgotten when none remains. */
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
