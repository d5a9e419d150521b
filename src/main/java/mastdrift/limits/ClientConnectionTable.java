package mastdrift.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The client connections of a front: finds those that have been in their phase for too long, and the one to close when
 * there are too many.
 *
 * <p>Each phase has one time bound, so the connections in a phase are kept in the order in which they entered it, and
 * overdue ones are at the head: a check costs what is overdue, not what is open. The connection to close for a new one
 * is taken from the address with the most evictable connections: first those whose clients have stopped in the middle
 * of a request or of reading a response, then those that never sent a request, then, for a request alone, the one unused
 * for the longest. So a flood from one address evicts its own connections. Never evicted are a connection with a request
 * in progress or with a response that is still owed, nor, but as a last resort, one whose first request, or the rest of
 * one, may be on its way.
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
        // in the order of its address's evictable connections of the same rank
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

    /** The evictable connections of one address and rank, in the order in which they became so. */
    private static final class EvictableConnections<C> {

        private Entry<C> oldest;
        private Entry<C> newest;

        void append(Entry<C> entry) {
            entry.older = newest;
            entry.newer = null;
            if (newest == null) {
                oldest = entry;
            } else {
                newest.newer = entry;
            }
            newest = entry;
        }

        void remove(Entry<C> entry) {
            if (entry.older == null) {
                oldest = entry.newer;
            } else {
                entry.older.newer = entry.newer;
            }
            if (entry.newer == null) {
                newest = entry.older;
            } else {
                entry.newer.older = entry.older;
            }
        }
    }

    /** A client address and its evictable connections. */
    private static final class ClientAddress<C> {
        private final long id;
        private int connectionCount;
        private int evictableCount;
        private final EvictableConnections<C> silent = new EvictableConnections<>();
        private final EvictableConnections<C> idle = new EvictableConnections<>();
        private final EvictableConnections<C> stalled = new EvictableConnections<>();
        // among addresses with the same number of evictable connections
        private ClientAddress<C> previousWithSameCount;
        private ClientAddress<C> nextWithSameCount;

        ClientAddress(long id) {
            this.id = id;
        }

        EvictableConnections<C> evictable(EvictionRank rank) {
            return switch (rank) {
                case SILENT -> silent;
                case IDLE -> idle;
                case STALLED -> stalled;
            };
        }

        /** The first to be closed, of the ranks up to the last one given; null if there is none. */
        Entry<C> firstEvictable(EvictionRank lastRank) {
            for (EvictionRank rank : RANKS) {
                Entry<C> entry = evictable(rank).oldest;
                if (entry != null || rank == lastRank) {
                    return entry;
                }
            }
            return null;
        }
    }

    private static final EvictionRank[] RANKS = EvictionRank.values();
    private static final ConnectionPhase[] PHASES = ConnectionPhase.values();

    private final PhaseBounds bounds;
    private final long responseOwedMicros;
    private final List<Entry<C>> phaseHeads = new ArrayList<>();
    private final List<Entry<C>> phaseTails = new ArrayList<>();
    private final int[] phaseSizes = new int[PHASES.length];
    private final Map<Long, ClientAddress<C>> addressesById = new HashMap<>();
    // indexed by the number of evictable connections
    private final List<ClientAddress<C>> byEvictableCount = new ArrayList<>();
    private int maxEvictableCount;
    private int size;

    /**
     * A table with the given bounds on the time in each phase, for requests whose responses are owed for at most {@code
     * responseOwedMicros} after they have been written.
     */
    public ClientConnectionTable(PhaseBounds bounds, long responseOwedMicros) {
        this.bounds = bounds;
        this.responseOwedMicros = responseOwedMicros;
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

    /** The number of connections in each phase that has some, as text. */
    public String phaseCounts() {
        StringJoiner counts = new StringJoiner(", ");
        for (ConnectionPhase phase : PHASES) {
            if (size(phase) > 0) {
                counts.add(size(phase) + " " + phase);
            }
        }
        return counts.toString();
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
        enterPhase(now, entry, ConnectionPhase.NEW);
        return entry;
    }

    /** Moves a connection to a phase. If it is in that phase already, nothing changes, and its time there goes on. */
    public void moveTo(long now, Entry<C> entry, ConnectionPhase phase) {
        if (entry.phase != phase && entry.phase != null) {
            leavePhase(entry);
            enterPhase(now, entry, phase);
        }
    }

    /** Records input that didn't complete a request. */
    public void receivedPart(long now, Entry<C> entry) {
        if (entry.phase != null) {
            moveTo(now, entry, bounds.afterPartialInput(entry.phase));
        }
    }

    /**
     * Moves a connection that has reached the bound of its phase to the phase that follows, whose time counts from that
     * bound. Returns false if none follows: the connection is to be closed.
     */
    public boolean advance(Entry<C> entry) {
        ConnectionPhase next = bounds.successor(entry.phase, responseOwedMicros);
        if (next == null) {
            return false;
        }
        long boundReachedAt = entry.phaseEnteredAt + bounds.boundMicros(entry.phase, responseOwedMicros);
        leavePhase(entry);
        enterPhase(boundReachedAt, entry, next);
        return true;
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
            long boundMicros = bounds.boundMicros(phase, responseOwedMicros);
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
     * The connection to close to make room, or null if none can be closed. It is of the address with the most evictable
     * connections, and never {@code newcomer}, which has just been added; null for no exception.
     */
    public C evictionCandidate(EvictionPurpose purpose, Entry<C> newcomer) {
        Entry<C> entry = switch (purpose) {
            case CONNECTION -> firstEvictable(EvictionRank.SILENT);
            case REQUEST -> firstEvictable(EvictionRank.IDLE);
            case LAST_RESORT -> lastResort(newcomer);
        };
        return entry == null ? null : entry.connection;
    }

    private Entry<C> firstEvictable(EvictionRank lastRank) {
        return maxEvictableCount == 0 ? null : byEvictableCount.get(maxEvictableCount).firstEvictable(lastRank);
    }

    /**
     * Beside those that are closed for any connection, in this order: the one of any address that has been silent for
     * the longest, the one that has been new for the longest, one between requests, the oldest with a partial request.
     */
    private Entry<C> lastResort(Entry<C> newcomer) {
        Entry<C> entry = firstEvictable(EvictionRank.SILENT);
        entry = entry != null ? entry : phaseHeads.get(ConnectionPhase.SILENT.ordinal());
        entry = entry != null ? entry : oldestNew(newcomer);
        entry = entry != null ? entry : firstEvictable(EvictionRank.IDLE);
        return entry != null ? entry : phaseHeads.get(ConnectionPhase.PART.ordinal());
    }

    private Entry<C> oldestNew(Entry<C> newcomer) {
        Entry<C> oldest = phaseHeads.get(ConnectionPhase.NEW.ordinal());
        return oldest != null && oldest == newcomer ? oldest.nextInPhase : oldest;
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
        entry.address.evictable(entry.phase.evictionRank()).append(entry);
        changeEvictableCount(entry.address, 1);
    }

    private void removeEvictable(Entry<C> entry) {
        entry.address.evictable(entry.phase.evictionRank()).remove(entry);
        changeEvictableCount(entry.address, -1);
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
