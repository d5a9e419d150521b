package mastdrift.serve;

/** Tracks for how long a process has had no contact with the source of its configuration. Not thread-safe. */
final class IsolationTracker {

    /** Isolation up to this long is not reported: switching from one machine to another takes less. */
    static final long REPORT_AFTER_MILLIS = 6_000;

    private long sinceMillis;  // 0 while there is contact
    private boolean reported;

    /**
     * Records the present state. Returns true if the change should be reported: the isolation has lasted longer than
     * {@link #REPORT_AFTER_MILLIS}, or a reported one has ended.
     */
    boolean update(boolean isolated) {
        sinceMillis = !isolated ? 0 : sinceMillis == 0 ? System.nanoTime() / 1_000_000 | 1 : sinceMillis;
        boolean report = isolatedMillis() > REPORT_AFTER_MILLIS;
        boolean changed = report != reported && (report || sinceMillis == 0);
        reported = changed ? report : reported;
        return changed;
    }

    /** Milliseconds since contact was lost; 0 while there is contact. */
    long isolatedMillis() {
        return sinceMillis == 0 ? 0 : System.nanoTime() / 1_000_000 - sinceMillis + 1;
    }
}
