package mastdrift.standin;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** What keyed requests have done, over all stand-in hosts of a test: a group of hosts drops repeats of a key for a window,
    and a run of a key in another group, or after the window, is an effect that happened twice. */
public final class Effects {

    private final long windowNanos;
    private final Map<String, Run> runs = new HashMap<>();
    private final AtomicLong twice = new AtomicLong();
    private final AtomicLong dropped = new AtomicLong();

    private record Run(String group, long at) { }

    /** Groups drop repeats for so many microseconds. */
    public Effects(long windowMicros) {
        windowNanos = windowMicros * 1000;
    }

    /** A host of a group begins to run a key. */
    synchronized void run(String key, String group) {
        long now = System.nanoTime();
        Run before = runs.putIfAbsent(key, new Run(group, now));
        if (before == null) {
            return;
        }
        if (before.group.equals(group) && now - before.at < windowNanos) {
            dropped.incrementAndGet();
        } else {
            twice.incrementAndGet();
        }
    }

    /** Effects that happened more than once. */
    public long twice() {
        return twice.get();
    }

    /** Repeats that a group dropped. */
    public long dropped() {
        return dropped.get();
    }
}
