package mastdrift.distribution;

/**
 * Which state a table is in. Of two the one with the larger epoch is later, in one epoch the one with the larger number. Two with the same epoch and number and another
 * hash are forked: at most one of them is what was agreed on.
 *
 * @param epoch of the agreed log: the operator raises it where that begins anew
 * @param number of the change that made it, in the order in which changes were agreed on; 0 for an empty table
 * @param high half of the hash of all resources, which doesn't depend on how they came
 * @param low the other half
 */
public record Revision(long epoch, long number, long high, long low) {

    /** Of an empty table. */
    public static Revision none(long epoch) {
        return new Revision(epoch, 0, 0, 0);
    }

    /** Whether this one is later. */
    public boolean after(Revision other) {
        return epoch != other.epoch ? epoch > other.epoch : number > other.number;
    }

    /** Whether both claim the same place and differ. */
    public boolean forkedFrom(Revision other) {
        return epoch == other.epoch && number == other.number && !sameState(other);
    }

    /** Whether both are of the same resources, by their hashes, at whatever place. */
    public boolean sameState(Revision other) {
        return high == other.high && low == other.low;
    }
}
