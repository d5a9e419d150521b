package mastdrift.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a voter makes of the agreed log: a table, by decisions in their order, and what became of the last {@value #FATES_MOST} for who asks again. A revision's number is the place of a decision
 * among all decisions of the log; one that changes nothing (a conflict, or of another build) moves the number on too, so that of any two voters with the same number both have heard all up to it.
 *
 * <p>That an id is in only once is the log's to see to, since all members share its memory of them; a memory of its own would differ from voter to voter, and their tables with it.
 *
 * <p>A decision that doesn't follow (the log has forgotten what came between, or a folder is old) waits, {@value #WAITING_MOST} and {@value #WAITING_BYTES} bytes at most, the newest of them, until it is
 * {@linkplain #take given} another voter's table. Not safe for use by several threads.
 */
public final class Store {

    /** Outcomes that are remembered. */
    public static final int FATES_MOST = 4_096;
    /** Decisions that wait for a table, at most. */
    public static final int WAITING_MOST = 4_096;
    /** Bytes of those, about, at most. */
    public static final int WAITING_BYTES = 16 << 20;

    /** What became of a decision. */
    public sealed interface Fate {

        /** It is in, and made that revision. */
        record In(Revision revision) implements Fate { }

        /** It changed nothing, for that reason. */
        record Conflict(String reason) implements Fate { }

        /** It waits for those from {@code missing} on. */
        record Waiting(long missing) implements Fate { }
    }

    /** What it wants done. */
    public interface Out {

        /** The next table, and what led there from the one before; with no deltas, another voter's. */
        void table(Table next, List<Delta> deltas);

        /** Something that operators want to know. */
        void event(String name, String text);
    }

    private record Decided(long ordinal, String id, Change change, int bytes) { }

    private final Out out;
    private final Map<String, Fate> fates = new LinkedHashMap<>();
    private final Deque<Decided> waiting = new ArrayDeque<>();
    private long waitingBytes;
    private Table table;

    /** From a table, of the folder or empty. */
    public Store(Table table, Out out) {
        this.table = table;
        this.out = out;
    }

    /** As it is now. */
    public Table table() {
        return table;
    }

    /** A decision of the log: {@code ordinal} is its place among all decisions, from 1; {@code change} null where it holds none that this build can read. Null for one that the table has
        already and whose fate isn't remembered here. */
    public Fate decided(long ordinal, String id, Change change) {
        if (ordinal <= table.revision().number()) {
            return fates.get(id);
        }
        long last = waiting.isEmpty() ? table.revision().number() : waiting.peekLast().ordinal;
        if (ordinal <= last) {
            return new Fate.Waiting(missing());  // heard again
        }
        Decided decided = new Decided(ordinal, id, change, bytes(change));
        if (!waiting.isEmpty() || ordinal != table.revision().number() + 1) {
            if (waiting.isEmpty()) {
                out.event("config_gap", "expected decision " + (table.revision().number() + 1) + ", found " + ordinal + ": waits for another voter's table");
            }
            await(decided, ordinal != last + 1);
            return new Fate.Waiting(missing());
        }
        List<Delta> deltas = new ArrayList<>();
        Fate fate = apply(decided, deltas);
        out.table(table, deltas);
        return fate;
    }

    private static int bytes(Change change) {
        int bytes = 64;
        for (Edit each : change == null ? List.<Edit>of() : change.edits()) {
            bytes += 32 + each.name().length() + (each instanceof Edit.Upsert upsert ? upsert.value().length : 0);
        }
        return bytes;
    }

    private void await(Decided decided, boolean anew) {
        if (anew) {
            waiting.clear();  // what it needs a table for now makes those before it known too
            waitingBytes = 0;
        }
        waiting.add(decided);
        waitingBytes += decided.bytes;
        while (waiting.size() > WAITING_MOST || waitingBytes > WAITING_BYTES) {
            waitingBytes -= waiting.poll().bytes;
        }
    }

    private Fate apply(Decided decided, List<Delta> deltas) {
        Outcome outcome = decided.change == null ? new Outcome.Conflict("expected a change, found what this build can't read") : table.apply(decided.ordinal, decided.change);
        Outcome.Applied applied = outcome instanceof Outcome.Applied in ? in : table.passed(decided.ordinal);
        table = applied.table();
        deltas.add(applied.delta());
        Fate fate = outcome instanceof Outcome.Conflict conflict ? new Fate.Conflict(conflict.reason()) : new Fate.In(table.revision());
        fates.put(decided.id, fate);
        if (fates.size() > FATES_MOST) {
            fates.remove(fates.keySet().iterator().next());
        }
        return fate;
    }

    /** What became of a decision; null where it isn't remembered: not decided on, of before a table that was taken, or long ago. */
    public Fate fate(String id) {
        return fates.get(id);
    }

    /** The last ordinal of those that are missing; 0 where none are. A table of that number or a later one ends the gap. */
    public long missing() {
        return waiting.isEmpty() ? 0 : waiting.peek().ordinal - 1;
    }

    /** Decisions that wait. */
    public int waiting() {
        return waiting.size();
    }

    /** Another voter's table; whether it is taken: one that isn't later than the own never is. What waited and follows is applied to it. */
    public boolean take(Table other) {
        if (!other.revision().after(table.revision())) {
            return false;
        }
        table = other;
        out.table(table, List.of());
        while (!waiting.isEmpty() && waiting.peek().ordinal <= table.revision().number()) {
            waitingBytes -= waiting.poll().bytes;
        }
        List<Delta> deltas = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.peek().ordinal == table.revision().number() + 1) {
            Decided next = waiting.poll();
            waitingBytes -= next.bytes;
            apply(next, deltas);
        }
        if (!deltas.isEmpty()) {
            out.table(table, deltas);
        }
        return true;
    }
}
