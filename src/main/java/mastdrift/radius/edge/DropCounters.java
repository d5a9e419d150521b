package mastdrift.radius.edge;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Packets that were dropped, by cause, with a log line for each cause at most once a second: floods are counted, not
    written. */
public final class DropCounters {

    /** Why a packet was dropped. */
    public enum Cause {
        /** From an address that is no client's. */
        UNKNOWN_CLIENT,
        /** No packet by its bytes. */
        MALFORMED,
        /** A code that doesn't belong there. */
        WRONG_CODE,
        /** An authenticator that is wrong, or none where one is needed. */
        NOT_SIGNED,
        /** An answer to nothing that is out: late, twice, or made up. */
        NOT_ASKED,
        /** An answer without the Proxy-State that went with the request. */
        NO_PROXY_STATE,
        /** A hidden value that can be none. */
        HIDDEN,
        /** What would be longer than a packet may be. */
        TOO_LONG,
        /** No route for it. */
        NO_ROUTE
    }

    private static final long LOG_EVERY = 1_000_000;

    private final LongSupplier clock;
    private final Consumer<String> log;
    private final Map<Cause, Long> counts = new EnumMap<>(Cause.class);
    private final Map<Cause, Long> loggedAt = new EnumMap<>(Cause.class);

    /** The clock is in microseconds. */
    public DropCounters(LongSupplier clock, Consumer<String> log) {
        this.clock = clock;
        this.log = log;
    }

    void drop(Cause cause, Object from, String why) {
        long count = counts.merge(cause, 1L, Long::sum);
        long now = clock.getAsLong();
        if (now - loggedAt.getOrDefault(cause, now - LOG_EVERY) >= LOG_EVERY) {
            loggedAt.put(cause, now);
            log.accept("radius: dropped " + cause + " from " + from + ": " + why + " (" + count + " so far)");
        }
    }

    /** How many were dropped for a cause; on the loop's thread. */
    public long count(Cause cause) {
        return counts.getOrDefault(cause, 0L);
    }
}
