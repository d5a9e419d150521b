package mastdrift.net;

/**
 * By when discovery has to have told again, or the list in force may be out of date by the platform's rules: a change counts as told
 * 6 s after discovery had it and could be reached, and 4 s after it has moved, heard or not. Where discovery can't be reached nothing
 * counts, and the gateway goes on by what it has. Where it can be, but has so many callers that it refuses some, a change may be in
 * force that nobody could hear: then no endpoint is certain to be in service.
 *
 * <p>A call that is refused after it has waited is the sign of that. One that fails at once, or hangs for longer than calls wait, is a
 * sign that discovery is away. Times are in microseconds of one clock that doesn't run back. Pure; not safe for use by several threads.
 */
final class NotificationDeadline {

    /** From the last word, or from when discovery could not be reached, to when changes since count as told (PROTOCOL, Figures). */
    static final long TOLD_WITHIN = 6_000_000;
    /** Likewise, from a move. */
    static final long MOVED_WITHIN = 4_000_000;
    /** A call that is refused sooner has not waited for its turn. */
    static final long WAITED = 500_000;

    private long dueAt;
    private boolean crowded;

    /** The gateway starts. */
    NotificationDeadline(long now) {
        dueAt = now + TOLD_WITHIN;
    }

    /** Discovery has told something, that nothing has changed maybe. */
    void told(long now) {
        dueAt = now + TOLD_WITHIN;
        crowded = false;
    }

    /** Discovery could not be reached. */
    void unreachable(long now) {
        dueAt = now + TOLD_WITHIN;
        crowded = false;
    }

    /** A call was refused after it had waited for so long. */
    void refused(long now, long waited) {
        if (waited >= WAITED) {
            crowded = true;
        } else {
            unreachable(now);
        }
    }

    /** Discovery is elsewhere from now on. */
    void moved(long now) {
        dueAt = Math.min(dueAt, now + MOVED_WITHIN);
        crowded = false;
    }

    /** What was listed before now counts as told. */
    void due(long now) {
        dueAt = Math.min(dueAt, now);
    }

    /** Whether a change may count as told that was not heard. */
    boolean isOverdue(long now) {
        return crowded && now >= dueAt;
    }

    /** When {@link #isOverdue} may become true; the largest number where it does not by time alone. */
    long dueAt() {
        return crowded ? dueAt : Long.MAX_VALUE;
    }
}
