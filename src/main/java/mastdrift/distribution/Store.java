package mastdrift.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * State machine of a voter: applies the entries of the replicated log in order to a table, and remembers the last
 * {@value #MAX_OUTCOMES} outcomes for writers that retry. A revision's number is the position of an entry in the log;
 * an entry that changes nothing (a conflict, or one that this build cannot read) also advances the number, so that two
 * voters with the same number have both seen all entries up to it.
 * <p>Every epoch after the first starts with an entry that names the revision it starts from ({@link EpochStart}),
 * proposed by a voter that {@linkplain #epochStartCandidate has a table}. A voter with that state continues from it; a
 * voter with another state waits for a table as after a gap, and keeps its table of the previous epoch until then, so
 * that no two voters have different states at one revision. The log of a build that does not have this entry starts
 * with a change: a voter that has a table continues from it, since nothing names the intended one; a voter without a
 * table waits.
 * <p>Duplicate ids are removed by the log, whose memory of ids is shared by all members; a separate memory here would
 * differ between voters, and so would their tables.
 * <p>An entry that does not directly follow (the log was truncated, or the stored table is old) is queued, at most
 * {@value #MAX_PENDING} entries and {@value #MAX_PENDING_BYTES} bytes of the newest, until another voter's table is
 * {@linkplain #installTable installed}. Not thread-safe.
 */
public final class Store {

    /** Maximum number of outcomes that are remembered. */
    public static final int MAX_OUTCOMES = 4_096;
    /** Maximum number of entries that are queued until a table is installed. */
    public static final int MAX_PENDING = 4_096;
    /** Maximum total size of the queued entries, approximate. */
    public static final int MAX_PENDING_BYTES = 16 << 20;

    /** Outcome of a log entry. */
    public sealed interface ChangeOutcome {

        /** It was applied and made this revision. */
        record Applied(Revision revision) implements ChangeOutcome { }

        /** It changed nothing, for this reason. */
        record Conflict(String reason) implements ChangeOutcome { }

        /** It is queued because entries up to {@code missing} have not been seen. */
        record Pending(long missing) implements ChangeOutcome { }
    }

    /** Callbacks to the caller. */
    public interface Actions {

        /**
         * The table was replaced by {@code next}; {@code deltas} lead to it from the previous one. Empty if it is
         * another voter's table or the first of an epoch.
         */
        void table(Table next, List<Delta> deltas);

        /** Reports an event to operators. */
        void event(String name, String text);
    }

    /** An entry of the replicated log; {@code bytes} is its approximate size, {@code command} null if unreadable. */
    private record LogEntry(long ordinal, String id, Command command, int bytes) { }

    // starts with an empty table on every machine, so it needs no EpochStart
    private static final long FIRST_EPOCH = 1;

    private final long epoch;
    private final Actions actions;
    private final Map<String, ChangeOutcome> outcomes = new LinkedHashMap<>();
    private final Deque<LogEntry> pending = new ArrayDeque<>();
    private long pendingBytes;
    private Table table;
    private boolean awaitsEpochTable;  // the epoch started from another table than the local one

    /**
     * Creates a store for an epoch, from a table of that epoch or an earlier one: the stored table, or the {@linkplain
     * #initialTable initial one}. Throws IllegalArgumentException for a table of a later epoch.
     */
    public Store(Table table, long epoch, Actions actions) {
        if (table.revision().epoch() > epoch) {
            throw new IllegalArgumentException("expected a table of epoch " + epoch + " at most, found one of epoch " + table.revision().epoch());
        }
        this.table = table;
        this.epoch = epoch;
        this.actions = actions;
    }

    /**
     * The table of a control machine that has no stored table. In epochs after the first its revision precedes those of
     * all other machines; otherwise peers that compare revisions would take an empty table for the newest.
     */
    public static Table initialTable(long epoch) {
        return Table.empty(epoch == FIRST_EPOCH ? FIRST_EPOCH : 0);
    }

    /** The current table. */
    public Table table() {
        return table;
    }

    /** Whether the table belongs to this epoch. */
    public boolean isEpochStarted() {
        return table.revision().epoch() == epoch && (epoch == FIRST_EPOCH || table.revision().number() > 0);
    }

    /** Number of log entries of this epoch that the table includes. */
    public long appliedOrdinal() {
        return isEpochStarted() ? table.revision().number() : 0;
    }

    /**
     * The revision that this voter proposes as the start of the epoch, as long as it has not seen the epoch start; null
     * if the epoch has started or there is no local table: a missing stored table is not an agreed state.
     */
    public Revision epochStartCandidate() {
        return isEpochStarted() || lastMissingOrdinal() != 0 || hasNoState() ? null : table.revision();
    }

    private boolean hasNoState() {
        return table.revision().equals(Revision.empty(table.revision().epoch()));
    }

    /**
     * Handles a log entry: {@code ordinal} is its position among all entries of this epoch, from 1; {@code command} is
     * null if this build cannot read it. Returns null if the table already includes the entry and its outcome is not
     * remembered.
     */
    public ChangeOutcome applyEntry(long ordinal, String id, Command command) {
        if (ordinal <= appliedOrdinal()) {
            return outcomes.get(id);
        }
        long lastOrdinal = pending.isEmpty() ? Math.max(appliedOrdinal(), lastMissingOrdinal()) : pending.peekLast().ordinal;
        if (ordinal <= lastOrdinal) {
            return new ChangeOutcome.Pending(lastMissingOrdinal());  // duplicate
        }
        LogEntry entry = new LogEntry(ordinal, id, command, sizeBytes(command));
        if (lastMissingOrdinal() != 0 || ordinal != appliedOrdinal() + 1) {
            if (lastMissingOrdinal() == 0) {
                actions.event("config_gap", "expected log entry " + (appliedOrdinal() + 1) + ", found " + ordinal + ": waiting for another voter's table");
            }
            enqueue(entry, ordinal != lastOrdinal + 1);
            return new ChangeOutcome.Pending(lastMissingOrdinal());
        }
        if (!isEpochStarted()) {
            return startEpoch(entry);
        }
        List<Delta> deltas = new ArrayList<>();
        ChangeOutcome outcome = applyToTable(entry, deltas);
        actions.table(table, deltas);
        return outcome;
    }

    /** Handles the first entry of an epoch after the first one. */
    private ChangeOutcome startEpoch(LogEntry firstEntry) {
        Revision localRevision = table.revision();
        if (firstEntry.command instanceof EpochStart start ? !start.from().sameState(localRevision) : firstEntry.command == null || hasNoState()) {
            awaitsEpochTable = true;
            actions.event("config_gap", "epoch " + epoch + " begins from " + (firstEntry.command instanceof EpochStart start ? start.from() : "a table that its first entry does not name") + ", found " + localRevision
                    + ": waiting for another voter's table");
            if (firstEntry.command instanceof EpochStart start && start.from().epoch() == localRevision.epoch() && localRevision.isAfter(start.from())) {
                actions.event("config_epoch_lost", "epoch " + epoch + " begins from revision " + start.from().number() + " of epoch " + localRevision.epoch() + ": the changes after it up to revision " + localRevision.number()
                        + ", which this voter has, are not part of it");
            }
            return new ChangeOutcome.Pending(lastMissingOrdinal());
        }
        table = localRevision.epoch() == epoch ? table : table.withEpoch(epoch);
        ChangeOutcome outcome;
        if (firstEntry.command instanceof EpochStart) {
            table = table.advanceTo(firstEntry.ordinal).table();
            outcome = recordOutcome(firstEntry.id, new ChangeOutcome.Applied(table.revision()));
        } else {
            outcome = applyToTable(firstEntry, new ArrayList<>());
        }
        actions.event("config_epoch", "epoch " + epoch + " begins from revision " + localRevision.number() + " of epoch " + localRevision.epoch() + ", the local table");
        actions.table(table, List.of());
        return outcome;
    }

    private static int sizeBytes(Command command) {
        int bytes = 64;
        for (Edit each : command instanceof Change change ? change.edits() : List.<Edit>of()) {
            bytes += 32 + each.name().length() + (each instanceof Edit.Upsert upsert ? upsert.value().length : 0);
        }
        return bytes;
    }

    private void enqueue(LogEntry entry, boolean newGap) {
        if (newGap) {
            pending.clear();  // the entries queued before the new gap are superseded by the table that is now needed
            pendingBytes = 0;
        }
        pending.add(entry);
        pendingBytes += entry.bytes;
        while (pending.size() > MAX_PENDING || pendingBytes > MAX_PENDING_BYTES) {
            pendingBytes -= pending.poll().bytes;
        }
    }

    private ChangeOutcome applyToTable(LogEntry entry, List<Delta> deltas) {
        Outcome outcome = entry.command instanceof Change change ? table.apply(entry.ordinal, change)
                : new Outcome.Conflict("expected a change, found " + (entry.command == null ? "an entry that this build cannot read" : "an epoch start after the first entry"));
        Outcome.Applied applied = outcome instanceof Outcome.Applied in ? in : table.advanceTo(entry.ordinal);
        table = applied.table();
        deltas.add(applied.delta());
        return recordOutcome(entry.id, outcome instanceof Outcome.Conflict conflict ? new ChangeOutcome.Conflict(conflict.reason()) : new ChangeOutcome.Applied(table.revision()));
    }

    private ChangeOutcome recordOutcome(String id, ChangeOutcome outcome) {
        outcomes.put(id, outcome);
        if (outcomes.size() > MAX_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
        return outcome;
    }

    /**
     * Outcome of an entry; null if it is not remembered: not decided yet, decided before an installed table, or too
     * long ago.
     */
    public ChangeOutcome outcome(String id) {
        return outcomes.get(id);
    }

    /**
     * Ordinal of the last missing entry; 0 if none is missing. A table with that number or a later one closes the gap.
     */
    public long lastMissingOrdinal() {
        return pending.isEmpty() ? awaitsEpochTable ? 1 : 0 : pending.peek().ordinal - 1;
    }

    /** Number of queued entries. */
    public int pending() {
        return pending.size();
    }

    /**
     * Installs another voter's table and applies the queued entries that follow it. Returns false for a table that is
     * not later than the local one, of another epoch, or at number 0, which is never installed.
     */
    public boolean installTable(Table peerTable) {
        Revision revision = peerTable.revision();
        if (!revision.isAfter(table.revision()) || revision.epoch() != epoch || revision.number() == 0) {
            return false;
        }
        table = peerTable;
        awaitsEpochTable = false;
        actions.table(table, List.of());
        while (!pending.isEmpty() && pending.peek().ordinal <= table.revision().number()) {
            pendingBytes -= pending.poll().bytes;
        }
        List<Delta> deltas = new ArrayList<>();
        while (!pending.isEmpty() && pending.peek().ordinal == table.revision().number() + 1) {
            LogEntry entry = pending.poll();
            pendingBytes -= entry.bytes;
            applyToTable(entry, deltas);
        }
        if (!deltas.isEmpty()) {
            actions.table(table, deltas);
        }
        return true;
    }
}
