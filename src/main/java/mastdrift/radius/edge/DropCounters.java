package mastdrift.radius.edge;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Counts dropped packets by cause and logs at most one line per second for each cause, so that a flood does not flood
 * the log.
 */
public final class DropCounters {

    /** Why a packet was dropped. */
    public enum Cause {
        /** The source address belongs to no configured client. */
        UNKNOWN_CLIENT,
        /** Not a valid packet. */
        MALFORMED,
        /** A code that is not expected here. */
        WRONG_CODE,
        /** A wrong authenticator, or none where one is required. */
        NOT_SIGNED,
        /** A response to no request in progress: late, duplicate or forged. */
        NOT_ASKED,
        /** A response without the Proxy-State that was sent with the request. */
        NO_PROXY_STATE,
        /** A hidden attribute value of an invalid length. */
        HIDDEN,
        /** The packet to be sent would exceed the maximum length. */
        TOO_LONG,
        /** No route matches. */
        NO_ROUTE,
        /** A new request beyond the bound on requests that are held, all of which are in progress. */
        BUSY,
        /** A new request after the time in which a gateway that stops still serves. */
        STOPPING,
        /** An answer to a client whose port is closed already. */
        PORT_CLOSED
    }

    private static final long LOG_INTERVAL_MICROS = 1_000_000;

    private final LongSupplier clock;
    private final Consumer<String> log;
    private final Map<Cause, Long> counts = new EnumMap<>(Cause.class);
    private final Map<Cause, Long> lastLoggedMicros = new EnumMap<>(Cause.class);

    /** The clock is in microseconds. */
    public DropCounters(LongSupplier clock, Consumer<String> log) {
        this.clock = clock;
        this.log = log;
    }

    void recordDrop(Cause cause, Object from, String reason) {
        long count = counts.merge(cause, 1L, Long::sum);
        long nowMicros = clock.getAsLong();
        if (nowMicros - lastLoggedMicros.getOrDefault(cause, nowMicros - LOG_INTERVAL_MICROS) >= LOG_INTERVAL_MICROS) {
            lastLoggedMicros.put(cause, nowMicros);
            log.accept("radius: dropped " + cause + " from " + from + ": " + reason + " (" + count + " so far)");
        }
    }

    /** Number of packets dropped for a cause. To be called on the event loop only. */
    public long count(Cause cause) {
        return counts.getOrDefault(cause, 0L);
    }
}
