package mastdrift.distribution;

/** What became of a change at a table. */
public sealed interface Outcome {

    /** It is in. */
    record Applied(Table table, Delta delta) implements Outcome { }

    /** It isn't, and nothing of it; the reason names place, expected and found. */
    record Conflict(String reason) implements Outcome { }
}
