package mastdrift.distribution;

/** Result of applying a change to a table. */
public sealed interface Outcome {

    /** The change was applied. */
    record Applied(Table table, Delta delta) implements Outcome { }

    /** Nothing of the change was applied; the reason names the place, the expected and the actual value. */
    record Conflict(String reason) implements Outcome { }
}
