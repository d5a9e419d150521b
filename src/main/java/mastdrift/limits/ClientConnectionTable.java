package mastdrift.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The client connections of a front: finds those that have been in their phase for too long, and the one to close when
 * there are too many.
 *
 * <p>Each phase has one time bound, so the connections in a phase are kept in the order in which they entered it, and
 * overdue ones are at the head: a check costs what is overdue, not what is open. The connection to close for a new one
 * is taken from the address with the most evictable connections: first those that never sent a request, then the one
 * unused for the longest. So a flood from one address evicts its own connections, and a connection with a request in
 * progress, with a partial request, or with an unread response is never evicted.
 *
 * <p>A connection costs one {@link Entry} (56 bytes with the usual object layout) and nothing else here. Not
 * thread-safe; times are in microseconds of one clock that doesn't go backwards.
 *
 * @param <C> type of a connection
 */
public final class ClientConnectionTable<C> {

    /** One connection in the table. */
    public static final class Entry<C> {

        private final C connection;
        private final ClientAddress<C> address;
        private ConnectionPhase phase;
        private long phaseEnteredAt;
        private Entry<C> previousInPhase;  // in the order of its phase
        private Entry<C> nextInPhase;
        // in the order of its address's evictable connections of the same state: silent, or used before
        private Entry<C> older;
        private Entry<C> newer;

        private Entry(C connection, ClientAddress<C> address) {
            this.connection = connection;
            this.address = address;
        }

        /** The connection's phase; null once it has been removed. */
        public ConnectionPhase phase() {
            return phase;
        }
    }

    /** A client address and its evictable connections. */
    private static final class ClientAddress<C> {
        private final long id;
        private int connectionCount;
        private int evictableCount;
        private Entry<C> oldestSilent;
        private Entry<C> newestSilent;
        private Entry<C> oldestUsed;
        private Entry<C> newestUsed;
        // among addresses with the same number of evictable connections
        private ClientAddress<C> previousWithSameCount;
        private ClientAddress<C> nextWithSameCount;

        ClientAddress(long id) {
            this.id = id;
        }
    }

    private static final ConnectionPhase[] PHASES = ConnectionPhase.values();

    private final PhaseBounds bounds;
    private final List<Entry<C>> phaseHeads = new ArrayList<>();
    private final List<Entry<C>> phaseTails = new ArrayList<>();
    private final int[] phaseSizes = new int[PHASES.length];
    private final Map<Long, ClientAddress<C>> addressesById = new HashMap<>();
    // indexed by the number of evictable connections
    private final List<ClientAddress<C>> byEvictableCount = new ArrayList<>();
    private int maxEvictableCount;
    private int size;

    /** A table with the given bounds on the time in each phase. */
    public ClientConnectionTable(PhaseBounds bounds) {
        this.bounds = bounds;
        for (int i = 0; i < PHASES.length; i++) {
            phaseHeads.add(null);
            phaseTails.add(null);
        }
        byEvictableCount.add(null);
    }

    /** The number of connections. */
    public int size() {
        return size;
    }

    /** The number of connections in a phase. */
    public int size(ConnectionPhase phase) {
        return phaseSizes[phase.ordinal()];
    }

    /** The number of distinct client addresses. */
    public int addressCount() {
        return addressesById.size();
    }

    /** Adds a connection that was opened by a client at an address, given as any number that identifies it. */
    public Entry<C> add(long now, C connection, long addressId) {
        ClientAddress<C> address = addressesById.computeIfAbsent(addressId, ClientAddress::new);
        Entry<C> entry = new Entry<>(connection, address);
        address.connectionCount++;
        size++;
        enterPhase(now, entry, ConnectionPhase.SILENT);
        return entry;
    }

    /** Moves a connection to a phase. If it is in that phase already, nothing changes, and its time there goes on. */
    public void moveTo(long now, Entry<C> entry, ConnectionPhase phase) {
        if (entry.phase != phase && entry.phase != null) {
            leavePhase(entry);
            enterPhase(now, entry, phase);
        }
    }

    /** Removes a connection that was closed. A second call has no effect. */
    public void remove(Entry<C> entry) {
        if (entry.phase == null) {
            return;
        }
        leavePhase(entry);
        entry.phase = null;
        size--;
        if (--entry.address.connectionCount == 0) {
            addressesById.remove(entry.address.id);
        }
    }

    /**
     * Passes each connection that has been in its phase for longer than the bound, with that phase, to the action; at
     * most {@code limit} in each phase. One that is neither moved nor removed is passed again at the next check.
     */
    public void forEachOverdue(long now, int limit, BiConsumer<C, ConnectionPhase> action) {
        for (ConnectionPhase phase : PHASES) {
            long boundMicros = bounds.boundMicros(phase);
            Entry<C> entry = phaseHeads.get(phase.ordinal());
            for (int count = 0; entry != null && count < limit && now - entry.phaseEnteredAt > boundMicros; count++) {
                // read first: the action may remove this entry, but touches no other
                Entry<C> next = entry.nextInPhase;
                action.accept(entry.connection, phase);
                entry = next;
            }
        }
    }

    /**
     * Passes the connections in a phase to the action, in the order in which they entered it. The action may move or
     * remove the connection that it is given.
     */
    public void forEach(ConnectionPhase phase, Consumer<C> action) {
        for (Entry<C> entry = phaseHeads.get(phase.ordinal()); entry != null; ) {
            Entry<C> next = entry.nextInPhase;
            action.accept(entry.connection);
            entry = next;
        }
    }

    /**
     * The connection to close to make room, or null if none can be closed. It is not {@code newcomer}, a connection
     * that has sent no request yet; null for no exception.
     */
    public C evictionCandidate(Entry<C> newcomer) {
        ClientAddress<C> address = byEvictableCount.get(maxEvictableCount);
        if (maxEvictableCount == 0 || address == null) {
            return null;
        }
        Entry<C> entry = oldestEvictable(address, newcomer);
        // every address with as many connections has just one, and the first one's is the newcomer: take another's
        if (entry == null) {
            entry = address.nextWithSameCount == null ? null : oldestEvictable(address.nextWithSameCount, newcomer);
        }
        return entry == null ? null : entry.connection;
    }

    private static <C> Entry<C> oldestEvictable(ClientAddress<C> address, Entry<C> newcomer) {
        Entry<C> silent = address.oldestSilent == newcomer && newcomer != null ? newcomer.newer : address.oldestSilent;
        return silent != null ? silent : address.oldestUsed;
    }

    // ---- phase lists

    private void enterPhase(long now, Entry<C> entry, ConnectionPhase phase) {
        int index = phase.ordinal();
        entry.phase = phase;
        entry.phaseEnteredAt = now;
        entry.previousInPhase = phaseTails.get(index);
        entry.nextInPhase = null;
        if (entry.previousInPhase == null) {
            phaseHeads.set(index, entry);
        } else {
            entry.previousInPhase.nextInPhase = entry;
        }
        phaseTails.set(index, entry);
        phaseSizes[index]++;
        if (phase.isEvictable()) {
            addEvictable(entry);
        }
    }

    private void leavePhase(Entry<C> entry) {
        int index = entry.phase.ordinal();
        if (entry.previousInPhase == null) {
            phaseHeads.set(index, entry.nextInPhase);
        } else {
            entry.previousInPhase.nextInPhase = entry.nextInPhase;
        }
        if (entry.nextInPhase == null) {
            phaseTails.set(index, entry.previousInPhase);
        } else {
            entry.nextInPhase.previousInPhase = entry.previousInPhase;
        }
        phaseSizes[index]--;
        if (entry.phase.isEvictable()) {
            removeEvictable(entry);
        }
    }

    // ---- evictable connections by address

    private void addEvictable(Entry<C> entry) {
        ClientAddress<C> address = entry.address;
        boolean silent = entry.phase == ConnectionPhase.SILENT;
        entry.older = silent ? address.newestSilent : address.newestUsed;
        entry.newer = null;
        if (entry.older != null) {
            entry.older.newer = entry;
        } else if (silent) {
            address.oldestSilent = entry;
        } else {
            address.oldestUsed = entry;
        }
        if (silent) {
            address.newestSilent = entry;
        } else {
            address.newestUsed = entry;
        }
        changeEvictableCount(address, 1);
    }

    private void removeEvictable(Entry<C> entry) {
        ClientAddress<C> address = entry.address;
        boolean silent = entry.phase == ConnectionPhase.SILENT;
        if (entry.older != null) {
            entry.older.newer = entry.newer;
        } else if (silent) {
            address.oldestSilent = entry.newer;
        } else {
            address.oldestUsed = entry.newer;
        }
        if (entry.newer != null) {
            entry.newer.older = entry.older;
        } else if (silent) {
            address.newestSilent = entry.older;
        } else {
            address.newestUsed = entry.older;
        }
        changeEvictableCount(address, -1);
    }

    private void changeEvictableCount(ClientAddress<C> address, int change) {
        if (address.evictableCount > 0) {
            if (address.previousWithSameCount == null) {
                byEvictableCount.set(address.evictableCount, address.nextWithSameCount);
            } else {
                address.previousWithSameCount.nextWithSameCount = address.nextWithSameCount;
            }
            if (address.nextWithSameCount != null) {
                address.nextWithSameCount.previousWithSameCount = address.previousWithSameCount;
            }
        }
        address.evictableCount += change;
        if (address.evictableCount > 0) {
            if (address.evictableCount == byEvictableCount.size()) {
                byEvictableCount.add(null);
            }
            address.previousWithSameCount = null;
            address.nextWithSameCount = byEvictableCount.get(address.evictableCount);
            if (address.nextWithSameCount != null) {
                address.nextWithSameCount.previousWithSameCount = address;
            }
            byEvictableCount.set(address.evictableCount, address);
            maxEvictableCount = Math.max(maxEvictableCount, address.evictableCount);
        }
        while (maxEvictableCount > 0 && byEvictableCount.get(maxEvictableCount) == null) {
            maxEvictableCount--;
        }
    }
}
