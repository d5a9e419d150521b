package mastdrift.radius;

import mastdrift.Balancer.RequestClass;

/**
 * For how long after its first transmission the packet of a request may be retransmitted to its server. The first one may
 * have run unseen, so a later one must arrive while the server still recognizes it.
 */
public final class RetransmissionWindow {

    /** A server recognizes a packet that comes again for at least this long (RFC 5080, 2.2.2). */
    private static final long MIN_DUPLICATE_DETECTION_MICROS = 5_000_000;
    /** The longest time between reading the clock and the packet leaving. */
    private static final long MAX_SEND_DELAY_MICROS = 150_000;

    private RetransmissionWindow() { }

    /** In microseconds; {@code Long.MAX_VALUE} for a class whose requests may run any number of times. */
    public static long of(RequestClass requestClass) {
        return switch (requestClass.repeat()) {
            case SAFE -> Long.MAX_VALUE;
            case KEYED -> Math.max(0, requestClass.dedupWindow() - MAX_SEND_DELAY_MICROS);
            case UNSAFE -> MIN_DUPLICATE_DETECTION_MICROS - MAX_SEND_DELAY_MICROS;
        };
    }
}
