package mastdrift;

/**
 * For how long a connection may have been idle and still be used, learned from losses. Idle connections can be lost unseen (a
 * firewall's or a host's own shorter limit): what is sent on one is reset or never answered. Losses are counted by how long the
 * connection was idle, in steps of two. A lower limit costs a handshake where the losses had another cause, and is forgotten after a
 * while. Times are in microseconds.
 */
final class IdleTimeout {

    /** Steps: one for each power of two that a span may have. */
    private static final int STEPS = Long.SIZE;
    /** Of what idle connections told before, after one more has told. */
    private static final double KEPT = 0.9;
    /** Of the connections of a step: from so many losses on it is too long. */
    private static final double LOST_LEAST = 0.5;
    /** Times the losses on busy connections. */
    private static final double LOST_FAR = 2;
    /** A limit takes about two losses. */
    private static final double LOSSES_LEAST = 1.5;
    private static final long REMEMBERED = 60_000_000;

    private final double[] lost = new double[STEPS];
    private final double[] seen = new double[STEPS];
    private long limit = Long.MAX_VALUE;
    private long until;

    /** Whether connections that have been idle for so long are to be closed ahead of a send. */
    boolean isTooLong(long idle) {
        return idle >= limit;
    }

    /** An attempt on a connection that had been idle for so long, 0 for a busy or a new one, was lost or not. */
    void learn(long now, long idle, boolean wasLost) {
        int step = idle <= 0 ? 0 : Long.SIZE - 1 - Long.numberOfLeadingZeros(idle);
        lost[step] = (wasLost ? 1 : 0) + lost[step] * KEPT;
        seen[step] = 1 + seen[step] * KEPT;
        if (wasLost) {
            lower(now);
        }
    }

    /** From the longest down, each step where half was lost, and far more than on busy connections (step 0), lowers the limit. */
    private void lower(long now) {
        double bar = Math.max(LOST_LEAST, LOST_FAR * lost[0] / Math.max(1, seen[0]));
        double losses = 0;
        for (int step = STEPS - 1; step > 0; step--) {
            losses += lost[step];
            boolean tooLong = lost[step] > LOST_LEAST && lost[step] >= bar * seen[step] && losses > LOSSES_LEAST;
            if (tooLong && 1L << step < limit) {
                limit = 1L << step;
                until = now + REMEMBERED;
            }
        }
    }

    /** Time goes by. */
    void advance(long now) {
        if (now > until) {
            limit = Long.MAX_VALUE;
        }
    }
}
