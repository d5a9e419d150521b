package mastdrift.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a voter makes of the agreed log: a table, by decisions in their order, and what became of the last {@value #OUTCOMES_MOST} for who asks again. A revision's number is the place of a decision
 * among all decisions of the log; one that changes nothing (a conflict, or of another build) moves the number on too, so that of any two voters with the same number both have heard all up to it.
 *
 * <p>An epoch after the first begins with a decision that names the revision it begins from ({@link EpochStart}), asked for by a voter that {@linkplain #toBegin has a table}. Who has that state goes on from it, who has another
 * waits for a table as behind a gap; until then its table stays what it was in the epoch before, so that no two voters have different states by one revision. Logs of builds that know no such decision begin with a change: who
 * has a table goes on from that, since nothing says which one was meant; who has none waits.
 *
 * <p>That an id is in only once is the log's to see to, since all members share its memory of them; a memory of its own would differ from voter to voter, and their tables with it.
 *
 * <p>A decision that doesn't follow (the log has forgotten what came between, or a folder is old) waits, {@value #PENDING_MOST} and {@value #PENDING_BYTES} bytes at most, the newest of them, until it is
 * {@linkplain #take given} another voter's table. Not safe for use by several threads.
 */
public final class Store {

    /** Outcomes that are remembered. */
    public static final int OUTCOMES_MOST = 4_096;
    /** Decisions that wait for a table, at most. */
    public static final int PENDING_MOST = 4_096;
    /** Bytes of those, about, at most. */
    public static final int PENDING_BYTES = 16 << 20;

    /** What became of a decision. */
    public sealed interface ChangeOutcome {

        /** It is in, and made that revision. */
        record Applied(Revision revision) implements ChangeOutcome { }

        /** It changed nothing, for that reason. */
        record Conflict(String reason) implements ChangeOutcome { }

        /** It waits for those from {@code missing} on. */
        record Pending(long missing) implements ChangeOutcome { }
    }

    /** What it wants done. */
    public interface Actions {

        /** The next table, and what led there from the one before; with no deltas, another voter's or the first of an epoch. */
        void table(Table next, List<Delta> deltas);

        /** Something that operators want to know. */
        void event(String name, String text);
    }

    private record LogEntry(long ordinal, String id, Command command, int bytes) { }

    private static final long FIRST_EPOCH = 1;  // begins with an empty table at all, so nothing has to be named

    private final long epoch;
    private final Actions actions;
    private final Map<String, ChangeOutcome> outcomes = new LinkedHashMap<>();
    private final Deque<LogEntry> pending = new ArrayDeque<>();
    private long pendingBytes;
    private Table table;
    private boolean elsewhere;  // the epoch began from another table than the one here

    /** In an epoch, from a table of it or of an earlier one: that of the folder, or {@linkplain #nothing none}. Throws IllegalArgumentException for a table of a later epoch. */
    public Store(Table table, long epoch, Actions actions) {
        if (table.revision().epoch() > epoch) {
            throw new IllegalArgumentException("expected a table of epoch " + epoch + " at most, found one of epoch " + table.revision().epoch());
        }
        this.table = table;
        this.epoch = epoch;
        this.actions = actions;
    }

    /** What a control machine without a folder has in an epoch: it must not be later than what others had before, or who asks it would take an empty table for the newest. */
    public static Table nothing(long epoch) {
        return Table.empty(epoch == FIRST_EPOCH ? FIRST_EPOCH : 0);
    }

    /** As it is now. */
    public Table table() {
        return table;
    }

    /** Whether the table is one of this epoch. */
    public boolean begun() {
        return table.revision().epoch() == epoch && (epoch == FIRST_EPOCH || table.revision().number() > 0);
    }

    /** Decisions of this epoch that the table has. */
    public long number() {
        return begun() ? table.revision().number() : 0;
    }

    /** What this voter would have the epoch begin from, where it hasn't heard that it has begun; null where it has, or where there is no table here: an empty folder is no state that was agreed on. */
    public Revision toBegin() {
        return begun() || missing() != 0 || isNothing() ? null : table.revision();
    }

    private boolean isNothing() {
        return table.revision().equals(Revision.none(table.revision().epoch()));
    }

    /** A decision of the log: {@code ordinal} is its place among all decisions of this epoch, from 1; {@code command} null where it holds none that this build can read. Null for one that the table has
        already and whose outcome isn't remembered here. */
    public ChangeOutcome decided(long ordinal, String id, Command command) {
        if (ordinal <= number()) {
            return outcomes.get(id);
        }
        long last = pending.isEmpty() ? Math.max(number(), missing()) : pending.peekLast().ordinal;
        if (ordinal <= last) {
            return new ChangeOutcome.Pending(missing());  // heard again
        }
        LogEntry decided = new LogEntry(ordinal, id, command, bytes(command));
        if (missing() != 0 || ordinal != number() + 1) {
            if (missing() == 0) {
                actions.event("config_gap", "expected decision " + (number() + 1) + ", found " + ordinal + ": waits for another voter's table");
            }
            await(decided, ordinal != last + 1);
            return new ChangeOutcome.Pending(missing());
        }
        if (!begun()) {
            return begin(decided);
        }
        List<Delta> deltas = new ArrayList<>();
        ChangeOutcome outcome = apply(decided, deltas);
        actions.table(table, deltas);
        return outcome;
    }

    /** The first decision of an epoch after the first one. */
    private ChangeOutcome begin(LogEntry first) {
        Revision have = table.revision();
        if (first.command instanceof EpochStart start ? !start.from().sameState(have) : first.command == null || isNothing()) {
            elsewhere = true;
            actions.event("config_gap", "epoch " + epoch + " begins from " + (first.command instanceof EpochStart start ? start.from() : "a table that its first decision doesn't name") + ", found " + have
                    + ": waits for another voter's table");
            if (first.command instanceof EpochStart start && start.from().epoch() == have.epoch() && have.after(start.from())) {
                actions.event("config_epoch_lost", "epoch " + epoch + " begins from revision " + start.from().number() + " of epoch " + have.epoch() + ": what came behind it up to revision " + have.number()
                        + ", which this voter has, is not in it");
            }
            return new ChangeOutcome.Pending(missing());
        }
        table = have.epoch() == epoch ? table : table.begun(epoch);
        ChangeOutcome outcome;
        if (first.command instanceof EpochStart) {
            table = table.passed(first.ordinal).table();
            outcome = remember(first.id, new ChangeOutcome.Applied(table.revision()));
        } else {
            outcome = apply(first, new ArrayList<>());
        }
        actions.event("config_epoch", "epoch " + epoch + " begins from revision " + have.number() + " of epoch " + have.epoch() + ", which is here");
        actions.table(table, List.of());
        return outcome;
    }

    private static int bytes(Command command) {
        int bytes = 64;
        for (Edit each : command instanceof Change change ? change.edits() : List.<Edit>of()) {
            bytes += 32 + each.name().length() + (each instanceof Edit.Upsert upsert ? upsert.value().length : 0);
        }
        return bytes;
    }

    private void await(LogEntry decided, boolean anew) {
        if (anew) {
            pending.clear();  // what it needs a table for now makes those before it known too
            pendingBytes = 0;
        }
        pending.add(decided);
        pendingBytes += decided.bytes;
        while (pending.size() > PENDING_MOST || pendingBytes > PENDING_BYTES) {
            pendingBytes -= pending.poll().bytes;
        }
    }

    private ChangeOutcome apply(LogEntry decided, List<Delta> deltas) {
        Outcome outcome = decided.command instanceof Change change ? table.apply(decided.ordinal, change)
                : new Outcome.Conflict("expected a change, found " + (decided.command == null ? "what this build can't read" : "an epoch's beginning behind its first decision"));
        Outcome.Applied applied = outcome instanceof Outcome.Applied in ? in : table.passed(decided.ordinal);
        table = applied.table();
        deltas.add(applied.delta());
        return remember(decided.id, outcome instanceof Outcome.Conflict conflict ? new ChangeOutcome.Conflict(conflict.reason()) : new ChangeOutcome.Applied(table.revision()));
    }

    private ChangeOutcome remember(String id, ChangeOutcome outcome) {
        outcomes.put(id, outcome);
        if (outcomes.size() > OUTCOMES_MOST) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
        return outcome;
    }

    /** What became of a decision; null where it isn't remembered: not decided on, of before a table that was taken, or long ago. */
    public ChangeOutcome outcome(String id) {
        return outcomes.get(id);
    }

    /** The last ordinal of those that are missing; 0 where none are. A table of that number or a later one ends the gap. */
    public long missing() {
        return pending.isEmpty() ? elsewhere ? 1 : 0 : pending.peek().ordinal - 1;
    }

    /** Decisions that wait. */
    public int pending() {
        return pending.size();
    }

    /** Another voter's table; whether it is taken: one that isn't later than the own, or not of this epoch since it began, never is. What waited and follows is applied to it. */
    public boolean take(Table other) {
        Revision revision = other.revision();
        if (!revision.after(table.revision()) || revision.epoch() != epoch || revision.number() == 0) {
            return false;
        }
        table = other;
        elsewhere = false;
        actions.table(table, List.of());
        while (!pending.isEmpty() && pending.peek().ordinal <= table.revision().number()) {
            pendingBytes -= pending.poll().bytes;
        }
        List<Delta> deltas = new ArrayList<>();
        while (!pending.isEmpty() && pending.peek().ordinal == table.revision().number() + 1) {
            LogEntry next = pending.poll();
            pendingBytes -= next.bytes;
            apply(next, deltas);
        }
        if (!deltas.isEmpty()) {
            actions.table(table, deltas);
        }
        return true;
    }
}
