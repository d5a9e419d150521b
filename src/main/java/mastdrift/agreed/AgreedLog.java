package mastdrift.agreed;

import java.util.function.Consumer;

/** A log that gateways agree on: whoever reads it reads the same decisions in the same order, each once. Answers come when they come, also out of turn, and never if the process ends first. */
public interface AgreedLog {

    /** Bytes of a decision, at most. */
    int DECISION_MOST = 64 << 10;
    /** Characters of a decision's id. */
    int ID_MOST = 128;

    /** What became of an append. */
    sealed interface AppendOutcome {

        /** It is in, for good, at that place. */
        record Committed(long index) implements AppendOutcome { }

        /** It isn't in, and never will be under this id. */
        record Rejected(String why) implements AppendOutcome { }

        /** It may be in, or may yet come in: ask again under the same id, or have it {@linkplain AgreedLog#settle settled}. */
        record Unknown(String why) implements AppendOutcome { }
    }

    /**
     * A decision as it is read.
     *
     * @param index of its entry in the log; entries between two decisions may have been something else
     * @param ordinal its place among all decisions: the first is 1 and each follows the one before, so that a reader can tell a gap
     * @param id the writer's
     * @param command not to be changed
     */
    record Decision(long index, long ordinal, String id, byte[] command) { }

    /** Appends a decision. The same id appended again is in once, at its first place. Larger ones than {@link #DECISION_MOST} are out. */
    void append(String id, byte[] command, Consumer<AppendOutcome> then);

    /** Makes sure: an id that is not in yet can't come in any more. {@link AppendOutcome.Committed} where it was in before. */
    void settle(String id, Consumer<AppendOutcome> then);
}
