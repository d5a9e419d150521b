package mastdrift.lab.model;

/** Hears of every step of every request. */
@FunctionalInterface
public interface Trace {

    /** Nobody listens. */
    Trace NONE = (at, request, who, what) -> { };

    /** At so many microseconds from the beginning, {@code who} did something with a request (-1 where it is about none). */
    void step(long at, long request, String who, String what);
}
