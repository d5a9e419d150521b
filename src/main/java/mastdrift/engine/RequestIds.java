package mastdrift.engine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The ids of requests that must not be forwarded again: those of open requests, and for a while those of requests that may have
 * had an effect. A client that has left, or lost its connection, may send a request again with its id, and doesn't know whether
 * the first copy has run.
 *
 * <p>The number of ids kept after their requests is bounded. Where it is reached, none is forgotten early: {@link #hasRoom} says
 * no, and a request whose id might have to be kept is refused.
 *
 * <p>Ids are kept as hashes of 64 bits, since clients choose their length. The hash has a seed of its own, so that clients can't
 * make ids collide with those of others. Times are in microseconds. Not thread-safe.
 */
final class RequestIds {

    /** Ids kept after their requests, at most. */
    static final int MAX_RETAINED = 32_768;

    private final long seed;
    private final Set<Long> open = new HashSet<>();
    private final Map<Long, Long> retainedUntil = new LinkedHashMap<>();

    RequestIds(long seed) {
        this.seed = seed;
    }

    /** Whether a request with this id is open, or may have had an effect a while ago. */
    boolean isInUse(long now, String id) {
        long hash = hash(id);
        Long until = retainedUntil.get(hash);
        return open.contains(hash) || until != null && now < until;
    }

    /** Whether another id could be kept. */
    boolean hasRoom(long now) {
        removeExpired(now);
        return retainedUntil.size() + open.size() < MAX_RETAINED;
    }

    /** A request with this id has been accepted. */
    void begin(String id) {
        open.add(hash(id));
    }

    /** The request and all its attempts have ended; the id is kept for {@code retentionMicros}. */
    void end(long now, String id, long retentionMicros) {
        long hash = hash(id);
        open.remove(hash);
        removeExpired(now);
        if (retentionMicros > 0) {
            retainedUntil.put(hash, now + retentionMicros);
        }
    }

    /** Number of ids kept after their requests. */
    int retained() {
        return retainedUntil.size();
    }

    /** Removes the oldest that have expired; those with a shorter retention behind a longer one wait for that. */
    private void removeExpired(long now) {
        Iterator<Long> oldestFirst = retainedUntil.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next() <= now) {
            oldestFirst.remove();
        }
    }

    /** FNV-1a over the characters, with a final mix. */
    private long hash(String id) {
        long hash = seed ^ 0xCBF29CE484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
            hash ^= hash >>> 32;
        }
        return hash * 0x9E3779B97F4A7C15L;
    }
}
