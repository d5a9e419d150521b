package mastdrift.engine;

import java.util.function.LongSupplier;

/** The gateway's clock, in microseconds; it never runs back. */
@FunctionalInterface
public interface Clock {

    /** Microseconds. */
    long now();

    /** The Unix time of this call, run on evenly by the monotonic clock, since hosts' starts are told in Unix time and a
        module's time must not run back. */
    static Clock system() {
        return of(System::currentTimeMillis, System::nanoTime);
    }

    /** Likewise, by other clocks. The wall clock is read once: that it is set, or was wrong, moves no span. */
    static Clock of(LongSupplier wallMillis, LongSupplier monotonicNanos) {
        long startedAt = wallMillis.getAsLong() * 1_000 - monotonicNanos.getAsLong() / 1_000;
        return () -> startedAt + monotonicNanos.getAsLong() / 1_000;
    }
}
