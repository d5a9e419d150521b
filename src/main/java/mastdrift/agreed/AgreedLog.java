package mastdrift.agreed;

import java.util.function.Consumer;

/**
 * A replicated log: every reader reads the same decisions in the same order, each exactly once. Callbacks may be called
 * in another order than their calls were made, and are never called if the process ends first.
 */
public interface AgreedLog {

    int MAX_DECISION_BYTES = 64 << 10;
    int MAX_ID_CHARS = 128;

    /** Outcome of an append. */
    sealed interface AppendOutcome {

        /** The decision is committed at this index. */
        record Committed(long index) implements AppendOutcome { }

        /** The decision is not committed, and never will be under this id. */
        record Rejected(String reason) implements AppendOutcome { }

        /**
         * The decision may be committed, or may be committed later: append it again under the same id, or {@linkplain
         * AgreedLog#settle settle} the id.
         */
        record Unknown(String reason) implements AppendOutcome { }
    }

    /**
     * A committed decision.
     *
     * @param index index of its entry in the log; entries between two decisions may be of another kind
     * @param ordinal position among all decisions: the first is 1 and each next one follows without a gap, so that a
     * reader can detect a missing one
     * @param id chosen by the writer
     * @param command must not be modified
     */
    record Decision(long index, long ordinal, String id, byte[] command) { }

    /**
     * Appends a decision. Appending the same id again has no effect: the outcome then names the first entry. A decision
     * of more than {@link #MAX_DECISION_BYTES} bytes is rejected.
     */
    void append(String id, byte[] command, Consumer<AppendOutcome> callback);

    /**
     * Makes sure that an id that is not committed yet can't be committed later. The outcome is {@link
     * AppendOutcome.Committed} where it was committed before, and {@link AppendOutcome.Rejected} otherwise.
     */
    void settle(String id, Consumer<AppendOutcome> callback);
}
