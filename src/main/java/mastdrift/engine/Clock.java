package mastdrift.engine;

/** The gateway's clock, in microseconds: the Unix time of its start, run on evenly by the monotonic clock, since hosts'
    starts are told in Unix time and a module's time must not run back. */
public final class Clock {

    private final long startedAt = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    /** Microseconds. */
    public long now() {
        return startedAt + System.nanoTime() / 1000;
    }
}
