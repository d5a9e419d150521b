package mastdrift.distribution;

/**
 * Identifies a state of the table. Revisions are ordered by epoch, then by number. Two revisions with the same epoch
 * and number but different hashes are forked: at most one of them is the state that was agreed on.
 * @param epoch epoch of the replicated log; the operator raises it when the log is started anew
 * @param number position of the change that made this revision in the agreed order; 0 for the start of an epoch
 * @param high high half of the hash of all resources, which is independent of the order in which they were added
 * @param low low half of that hash
 */
public record Revision(long epoch, long number, long high, long low) {

    /** Revision of an empty table. */
    public static Revision empty(long epoch) {
        return new Revision(epoch, 0, 0, 0);
    }

    /** Whether this revision is later than the other. */
    public boolean isAfter(Revision other) {
        return epoch != other.epoch ? epoch > other.epoch : number > other.number;
    }

    /** Whether both have the same epoch and number but different states. */
    public boolean isForkOf(Revision other) {
        return epoch == other.epoch && number == other.number && !sameState(other);
    }

    /** Whether both have the same resources, compared by hash, at whatever epoch and number. */
    public boolean sameState(Revision other) {
        return high == other.high && low == other.low;
    }
}
