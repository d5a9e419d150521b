package mastdrift.lab.draw;

import mastdrift.Balancer.Repeat;

/**
 * How clients try again.
 *
 * @param most tries in all, 1 for none again
 * @param pause microseconds before the second try
 * @param growth by which each further pause is longer, 1 for none
 * @param jitter the part of a pause that is drawn evenly, 0 to 1
 * @param follows the part of clients that wait as long as a refusal asks, 0 to 1
 */
public record Tries(int most, long pause, double growth, double jitter, double follows) {

    /** None again. */
    public static final Tries ONE = new Tries(1, 0, 1, 0, 0);

    /** Throws IllegalArgumentException for what is out of range. */
    public Tries {
        if (most < 1 || most > 100 || pause < 0 || !(growth >= 1) || !(jitter >= 0 && jitter <= 1)
                || !(follows >= 0 && follows <= 1)) {
            throw new IllegalArgumentException("expected 1 to 100 tries, a pause of 0 or more, a growth of 1 or more, a jitter "
                    + "and a part that follows advice of 0 to 1, found " + most + ", " + pause + " us, " + growth + ", " + jitter
                    + " and " + follows);
        }
    }

    /** Whether a client asks again after {@code tries} tries of which the last was refused or not served. After a failure, what
        is unsafe to repeat stays where it is. */
    public boolean again(int tries, Repeat repeat, boolean refused) {
        return tries < most && (refused || repeat != Repeat.UNSAFE);
    }

    /** Microseconds to the next try; {@code advice} is what the refusal asked for, 0 for nothing, and the draws are even in
        [0, 1). */
    public long pause(int tries, long advice, double drawnPause, double drawnFollows) {
        if (advice > 0 && drawnFollows < follows) {
            return advice;
        }
        double whole = pause * Math.pow(growth, tries - 1);
        return (long) (whole * (1 - jitter + jitter * drawnPause));
    }
}
