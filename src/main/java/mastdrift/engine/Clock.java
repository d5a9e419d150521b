package mastdrift.engine;

/** The gateway's clock, in microseconds; it never runs back. */
@FunctionalInterface
public interface Clock {

    /** Microseconds. */
    long now();

    /** The Unix time of this call, run on evenly by the monotonic clock, since hosts' starts are told in Unix time and a
        module's time must not run back. */
    static Clock system() {
        long startedAt = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
        return () -> startedAt + System.nanoTime() / 1000;
    }
}
