package mastdrift.engine;

import java.util.function.LongSupplier;

/** The gateway's clock, in microseconds; it never goes backwards. */
@FunctionalInterface
public interface Clock {

    /** The current time in microseconds. */
    long now();

    /**
     * A clock that starts at the Unix time of this call and is advanced by the monotonic clock: hosts report their
     * start in Unix time, and the time given to a decision module must not go backwards.
     */
    static Clock system() {
        return of(System::currentTimeMillis, System::nanoTime);
    }

    /**
     * As {@link #system}, with the given clocks. The wall clock is read once, so a later step of it, or an error in it,
     * changes no measured interval.
     */
    static Clock of(LongSupplier wallMillis, LongSupplier monotonicNanos) {
        long offsetMicros = wallMillis.getAsLong() * 1_000 - monotonicNanos.getAsLong() / 1_000;
        return () -> offsetMicros + monotonicNanos.getAsLong() / 1_000;
    }
}
