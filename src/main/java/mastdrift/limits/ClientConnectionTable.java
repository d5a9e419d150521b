package mastdrift.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The connections that a front holds: which have been in their phase for too long, and which one makes room when there are too many.
 *
 * <p>Each phase has one bound, so those in it lie in the order in which they entered it, and what is overdue is found at the
 * head: a look costs what is due, not what is held. Room is made by whoever holds most without using it: of the address with
 * the most connections that wait for nothing, those that never asked first, then the longest unused. A flood from one address makes
 * room for itself, and a connection with a request out, with a part of one, or with an answer to take is never closed for it.
 *
 * <p>A connection costs one {@link Entry} (56 bytes with the usual layout of objects) and nothing else here. Not safe for use by
 * several threads; times are in microseconds of one clock that doesn't run back.
 *
 * @param <C> a connection
 */
public final class ClientConnectionTable<C> {

    /** One connection. */
    public static final class Entry<C> {

        private final C connection;
        private final Holder<C> holder;
        private ConnectionPhase phase;
        private long since;
        private Entry<C> before;  // in its phase
        private Entry<C> next;
        private Entry<C> elder;  // among those of its holder that give way alike
        private Entry<C> younger;

        private Entry(C connection, Holder<C> holder) {
            this.connection = connection;
            this.holder = holder;
        }

        /** Where it is. */
        public ConnectionPhase phase() {
            return phase;
        }
    }

    /** An address and those of its connections that may give way. */
    private static final class Holder<C> {
        private final long address;
        private int connections;
        private int giving;
        private Entry<C> silentEldest;
        private Entry<C> silentYoungest;
        private Entry<C> usedEldest;
        private Entry<C> usedYoungest;
        private Holder<C> before;  // among holders of as many
        private Holder<C> next;

        Holder(long address) {
            this.address = address;
        }
    }

    private static final ConnectionPhase[] PHASES = ConnectionPhase.values();

    private final PhaseBounds bounds;
    private final List<Entry<C>> heads = new ArrayList<>();
    private final List<Entry<C>> tails = new ArrayList<>();
    private final int[] sizes = new int[PHASES.length];
    private final Map<Long, Holder<C>> holders = new HashMap<>();
    private final List<Holder<C>> byGiving = new ArrayList<>();  // holders of so many that give way
    private int mostGiving;
    private int size;

    /** For connections that may be in each phase for so long. */
    public ClientConnectionTable(PhaseBounds bounds) {
        this.bounds = bounds;
        for (int i = 0; i < PHASES.length; i++) {
            heads.add(null);
            tails.add(null);
        }
        byGiving.add(null);
    }

    /** How many are held. */
    public int size() {
        return size;
    }

    /** How many of them are in a phase. */
    public int size(ConnectionPhase phase) {
        return sizes[phase.ordinal()];
    }

    /** From how many addresses they are. */
    public int addresses() {
        return holders.size();
    }

    /** A connection was opened, by a client at an address (whatever number stands for it). */
    public Entry<C> opened(long now, C connection, long address) {
        Holder<C> holder = holders.computeIfAbsent(address, Holder::new);
        Entry<C> entry = new Entry<>(connection, holder);
        holder.connections++;
        size++;
        enter(now, entry, ConnectionPhase.SILENT);
        return entry;
    }

    /** It goes over to a phase; to the one that it is in, nothing changes, and its time there goes on. */
    public void moved(long now, Entry<C> entry, ConnectionPhase phase) {
        if (entry.phase != phase && entry.phase != null) {
            leave(entry);
            enter(now, entry, phase);
        }
    }

    /** It is closed. Heard once; a second time nothing happens. */
    public void closed(Entry<C> entry) {
        if (entry.phase == null) {
            return;
        }
        leave(entry);
        entry.phase = null;
        size--;
        if (--entry.holder.connections == 0) {
            holders.remove(entry.holder.address);
        }
    }

    /** Names those that have been in their phase for longer than its bound, with that phase. Whoever is named has to be moved or
        closed before the next look, or is named again; at most {@code most} of each phase are. */
    public void overdue(long now, int most, BiConsumer<C, ConnectionPhase> due) {
        for (ConnectionPhase phase : PHASES) {
            long bound = bounds.of(phase);
            Entry<C> entry = heads.get(phase.ordinal());
            for (int named = 0; entry != null && named < most && now - entry.since > bound; named++) {
                Entry<C> next = entry.next;  // this one may be gone by then; others are not touched by naming it
                due.accept(entry.connection, phase);
                entry = next;
            }
        }
    }

    /** Those that are in a phase, the one that entered it first ahead; each may be moved or closed as it is named. */
    public void each(ConnectionPhase phase, Consumer<C> named) {
        for (Entry<C> entry = heads.get(phase.ordinal()); entry != null; ) {
            Entry<C> next = entry.next;
            named.accept(entry.connection);
            entry = next;
        }
    }

    /** Who makes room, other than a {@code newcomer} that has asked nothing yet (or null for any); null where nobody can. */
    public C givesWay(Entry<C> newcomer) {
        Holder<C> most = byGiving.get(mostGiving);
        if (mostGiving == 0 || most == null) {
            return null;
        }
        Entry<C> entry = first(most, newcomer);
        if (entry == null) {  // the newcomer is the one connection of every holder that has as many: another holder's, if any
            entry = most.next == null ? null : first(most.next, newcomer);
        }
        return entry == null ? null : entry.connection;
    }

    private static <C> Entry<C> first(Holder<C> holder, Entry<C> newcomer) {
        Entry<C> silent = holder.silentEldest == newcomer && newcomer != null ? newcomer.younger : holder.silentEldest;
        return silent != null ? silent : holder.usedEldest;
    }

    // ---- phases

    private void enter(long now, Entry<C> entry, ConnectionPhase phase) {
        int at = phase.ordinal();
        entry.phase = phase;
        entry.since = now;
        entry.before = tails.get(at);
        entry.next = null;
        if (entry.before == null) {
            heads.set(at, entry);
        } else {
            entry.before.next = entry;
        }
        tails.set(at, entry);
        sizes[at]++;
        if (phase.gives()) {
            joins(entry);
        }
    }

    private void leave(Entry<C> entry) {
        int at = entry.phase.ordinal();
        if (entry.before == null) {
            heads.set(at, entry.next);
        } else {
            entry.before.next = entry.next;
        }
        if (entry.next == null) {
            tails.set(at, entry.before);
        } else {
            entry.next.before = entry.before;
        }
        sizes[at]--;
        if (entry.phase.gives()) {
            parts(entry);
        }
    }

    // ---- holders

    private void joins(Entry<C> entry) {
        Holder<C> holder = entry.holder;
        boolean silent = entry.phase == ConnectionPhase.SILENT;
        entry.elder = silent ? holder.silentYoungest : holder.usedYoungest;
        entry.younger = null;
        if (entry.elder != null) {
            entry.elder.younger = entry;
        } else if (silent) {
            holder.silentEldest = entry;
        } else {
            holder.usedEldest = entry;
        }
        if (silent) {
            holder.silentYoungest = entry;
        } else {
            holder.usedYoungest = entry;
        }
        count(holder, 1);
    }

    private void parts(Entry<C> entry) {
        Holder<C> holder = entry.holder;
        boolean silent = entry.phase == ConnectionPhase.SILENT;
        if (entry.elder != null) {
            entry.elder.younger = entry.younger;
        } else if (silent) {
            holder.silentEldest = entry.younger;
        } else {
            holder.usedEldest = entry.younger;
        }
        if (entry.younger != null) {
            entry.younger.elder = entry.elder;
        } else if (silent) {
            holder.silentYoungest = entry.elder;
        } else {
            holder.usedYoungest = entry.elder;
        }
        count(holder, -1);
    }

    private void count(Holder<C> holder, int change) {
        if (holder.giving > 0) {
            if (holder.before == null) {
                byGiving.set(holder.giving, holder.next);
            } else {
                holder.before.next = holder.next;
            }
            if (holder.next != null) {
                holder.next.before = holder.before;
            }
        }
        holder.giving += change;
        if (holder.giving > 0) {
            if (holder.giving == byGiving.size()) {
                byGiving.add(null);
            }
            holder.before = null;
            holder.next = byGiving.get(holder.giving);
            if (holder.next != null) {
                holder.next.before = holder;
            }
            byGiving.set(holder.giving, holder);
            mostGiving = Math.max(mostGiving, holder.giving);
        }
        while (mostGiving > 0 && byGiving.get(mostGiving) == null) {
            mostGiving--;
        }
    }
}
