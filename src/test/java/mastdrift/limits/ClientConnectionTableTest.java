package mastdrift.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClientConnectionTableTest {

    private static final PhaseBounds BOUNDS = new PhaseBounds(200_000, 800_000, 900_000,
            PhaseBounds.IDLE_BEFORE_DORMANT_MICROS + 500_000);
    private static final long RESPONSE_OWED_MICROS = 300_000;
    private static final int MAX_STEP_MICROS = 30_000;
    // The phases that a connection enters by an event, and those that follow at the bound of another phase.
    private static final List<ConnectionPhase> ENTERED_BY_EVENT = List.of(ConnectionPhase.PART, ConnectionPhase.BUSY,
            ConnectionPhase.UNREAD, ConnectionPhase.IDLE);
    private static final Map<ConnectionPhase, ConnectionPhase> SUCCESSORS = Map.of(
            ConnectionPhase.NEW, ConnectionPhase.SILENT, ConnectionPhase.PART, ConnectionPhase.STALLED, ConnectionPhase.UNREAD, ConnectionPhase.ABANDONED,
            ConnectionPhase.IDLE, ConnectionPhase.DORMANT);
    private static final List<List<ConnectionPhase>> EVICTION_ORDER = List.of(
            List.of(ConnectionPhase.STALLED, ConnectionPhase.ABANDONED), List.of(ConnectionPhase.SILENT),
            List.of(ConnectionPhase.IDLE, ConnectionPhase.DORMANT));

    /** A connection of the reference model, kept in a plain map. */
    private static final class ModelConnection {
        private final int id;
        private final long address;
        private ConnectionPhase phase = ConnectionPhase.NEW;
        private long phaseEnteredAt;
        private int order;  // sequence number of entering the phase

        ModelConnection(int id, long address) {
            this.id = id;
            this.address = address;
        }

        boolean isEvictable() {
            return EVICTION_ORDER.stream().anyMatch(phases -> phases.contains(phase));
        }

        boolean isEvictableForConnection() {
            return isEvictable() && evictionRank() < EVICTION_ORDER.size() - 1;
        }

        int evictionRank() {
            return EVICTION_ORDER.indexOf(EVICTION_ORDER.stream().filter(phases -> phases.contains(phase)).findFirst()
                    .orElseThrow());
        }

        long boundMicros() {
            return BOUNDS.boundMicros(phase, RESPONSE_OWED_MICROS);
        }

        void enter(ConnectionPhase next, long at, int nextOrder) {
            phase = next;
            phaseEnteredAt = at;
            order = nextOrder;
        }
    }

    /**
     * Compares the table with a reference model that searches plain lists, through random courses of events: the same
     * connections are overdue, they enter the same phases at their bounds, and the one to close is of an address with
     * the most evictable connections, a stalled one if there is any, else a silent one, else, for a request, an idle one,
     * and the oldest of those.
     */
    @Property(tries = 150)
    void agreesWithReferenceModel(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int addresses) {
        Random random = new Random(seed);
        ClientConnectionTable<Integer> connections = new ClientConnectionTable<>(BOUNDS, RESPONSE_OWED_MICROS);
        Map<Integer, ModelConnection> model = new LinkedHashMap<>();
        Map<Integer, ClientConnectionTable.Entry<Integer>> entries = new HashMap<>();
        long now = 0;
        int order = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(MAX_STEP_MICROS);
            if (random.nextInt(8) == 0) {
                order = advanceOverdue(now, connections, model, entries, order);
            }
            if (model.isEmpty() || random.nextInt(3) == 0) {
                ModelConnection connection = new ModelConnection(i, random.nextInt(addresses));
                connection.phaseEnteredAt = now;
                connection.order = order++;
                model.put(i, connection);
                entries.put(i, connections.add(now, i, connection.address));
            } else {
                ModelConnection connection = new ArrayList<>(model.values()).get(random.nextInt(model.size()));
                if (random.nextInt(6) == 0) {
                    connections.remove(entries.get(connection.id));
                    connections.remove(entries.get(connection.id));
                    model.remove(connection.id);
                } else {
                    ConnectionPhase phase = ENTERED_BY_EVENT.get(random.nextInt(ENTERED_BY_EVENT.size()));
                    connections.moveTo(now, entries.get(connection.id), phase);
                    if (phase != connection.phase) {
                        connection.enter(phase, now, order++);
                    }
                }
            }
            List<ModelConnection> fresh = model.values().stream().filter(p -> p.phase == ConnectionPhase.NEW).toList();
            check(now, connections, model, random.nextBoolean() || fresh.isEmpty() ? null
                    : entries.get(fresh.get(random.nextInt(fresh.size())).id), entries);
        }
    }

    /** Moves all overdue connections on, or removes them, in the table and in the model. */
    private static int advanceOverdue(long now, ClientConnectionTable<Integer> connections,
            Map<Integer, ModelConnection> model, Map<Integer, ClientConnectionTable.Entry<Integer>> entries, int order) {
        List<Integer> overdue = new ArrayList<>();
        connections.forEachOverdue(now, Integer.MAX_VALUE, (id, phase) -> overdue.add(id));
        int nextOrder = order;
        for (Integer id : overdue) {
            ModelConnection connection = model.get(id);
            ConnectionPhase next = SUCCESSORS.get(connection.phase);
            assertEquals(next != null, connections.advance(entries.get(id)));
            if (next == null) {
                connections.remove(entries.get(id));
                model.remove(id);
            } else {
                connection.enter(next, connection.phaseEnteredAt + connection.boundMicros(), nextOrder++);
                assertEquals(next, entries.get(id).phase());
            }
        }
        return nextOrder;
    }

    private static void check(long now, ClientConnectionTable<Integer> connections, Map<Integer, ModelConnection> model,
            ClientConnectionTable.Entry<Integer> newcomer, Map<Integer, ClientConnectionTable.Entry<Integer>> entries) {
        assertEquals(model.size(), connections.size());
        for (ConnectionPhase phase : ConnectionPhase.values()) {
            List<Integer> in = new ArrayList<>();
            connections.forEach(phase, in::add);
            assertEquals(model.values().stream().filter(p -> p.phase == phase)
                    .sorted(Comparator.comparing(p -> p.order))
                    .map(p -> p.id).toList(), in);
            assertEquals(in.size(), connections.size(phase));
        }
        assertEquals(model.values().stream().map(p -> p.address).distinct().count(), connections.addressCount());
        Set<Integer> overdue = new HashSet<>();
        connections.forEachOverdue(now, Integer.MAX_VALUE, (id, phase) -> {
            assertEquals(model.get(id).phase, phase);
            assertTrue(overdue.add(id));
        });
        for (ModelConnection connection : model.values()) {
            assertEquals(now - connection.phaseEnteredAt > connection.boundMicros(),
                    overdue.contains(connection.id));
        }
        checkEvictionCandidates(connections, model, newcomer, entries);
    }

    private static void checkEvictionCandidates(ClientConnectionTable<Integer> connections,
            Map<Integer, ModelConnection> model, ClientConnectionTable.Entry<Integer> newcomer,
            Map<Integer, ClientConnectionTable.Entry<Integer>> entries) {
        Integer forRequest = connections.evictionCandidate(EvictionPurpose.REQUEST, newcomer);
        Integer forConnection = connections.evictionCandidate(EvictionPurpose.CONNECTION, newcomer);
        Integer lastResort = connections.evictionCandidate(EvictionPurpose.LAST_RESORT, newcomer);
        Map<Long, List<ModelConnection>> evictableByAddress = new HashMap<>();
        model.values().stream().filter(ModelConnection::isEvictable).forEach(
                p -> evictableByAddress.computeIfAbsent(p.address, a -> new ArrayList<>()).add(p));
        if (evictableByAddress.isEmpty()) {
            assertNull(forRequest);
        } else {
            List<ModelConnection> ofSameAddress = evictableByAddress.get(model.get(forRequest).address);
            assertEquals(evictableByAddress.values().stream().mapToInt(List::size).max().orElseThrow(),
                    ofSameAddress.size());
            assertEquals(ofSameAddress.stream().min(Comparator.comparing(ModelConnection::evictionRank)
                    .thenComparing(p -> p.order)).orElseThrow().id, forRequest);
        }
        Integer expectedForConnection = forRequest != null && model.get(forRequest).isEvictableForConnection() ? forRequest : null;
        assertEquals(expectedForConnection, forConnection);
        Integer expectedLastResort = forConnection;
        expectedLastResort = expectedLastResort != null ? expectedLastResort : oldest(model, ConnectionPhase.SILENT, null);
        expectedLastResort = expectedLastResort != null ? expectedLastResort
                : oldest(model, ConnectionPhase.NEW, newcomer == null ? null : idOf(newcomer, entries));
        expectedLastResort = expectedLastResort != null ? expectedLastResort : forRequest;
        expectedLastResort = expectedLastResort != null ? expectedLastResort : oldest(model, ConnectionPhase.PART, null);
        assertEquals(expectedLastResort, lastResort);
    }

    private static Integer idOf(ClientConnectionTable.Entry<Integer> entry,
            Map<Integer, ClientConnectionTable.Entry<Integer>> entries) {
        return entries.keySet().stream().filter(id -> entries.get(id) == entry).findFirst().orElseThrow();
    }

    private static Integer oldest(Map<Integer, ModelConnection> model, ConnectionPhase phase, Integer excluded) {
        return model.values().stream().filter(p -> p.phase == phase && (excluded == null || p.id != excluded))
                .min(Comparator.comparing(p -> p.order)).map(p -> p.id).orElse(null);
    }

    /**
     * One address opens ten thousand connections; another has one that has been idle for longer than all of them. Only
     * connections of the flooding address are closed.
     */
    @Test
    void floodingAddressEvictsItsOwnConnections() {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(PhaseBounds.DEFAULT, RESPONSE_OWED_MICROS);
        ClientConnectionTable.Entry<String> quiet = connections.add(0, "quiet", 1);
        connections.moveTo(1, quiet, ConnectionPhase.IDLE);
        for (int i = 0; i < 10_000; i++) {
            ClientConnectionTable.Entry<String> newcomer = connections.add(1_000 + i, "flood", 2);
            if (connections.size() > 100) {
                assertNull(connections.evictionCandidate(EvictionPurpose.CONNECTION, newcomer), "first requests may be on their way");
                assertEquals("flood", connections.evictionCandidate(EvictionPurpose.LAST_RESORT, newcomer));
                connections.remove(newcomer);
            }
        }
        assertEquals(ConnectionPhase.IDLE, quiet.phase());
        List<ClientConnectionTable.Entry<String>> flood = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            flood.add(connections.add(20_000 + i, "flood", 2));
        }
        flood.forEach(connections::advance);
        for (EvictionPurpose purpose : EvictionPurpose.values()) {
            assertEquals("flood", connections.evictionCandidate(purpose, null));
        }
    }

    /**
     * A connection with a request in progress, with a partial request whose rest may be on its way, with a response that
     * is still owed, or that was opened just now, is not closed to make room.
     */
    @ParameterizedTest
    @CsvSource({"PART", "BUSY", "UNREAD", "NEW"})
    void connectionInUseIsNeverEvicted(ConnectionPhase phase) {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(PhaseBounds.DEFAULT, RESPONSE_OWED_MICROS);
        for (int i = 0; i < 10; i++) {
            connections.moveTo(i, connections.add(i, "used", 1), phase);
        }
        ClientConnectionTable.Entry<String> newcomer = connections.add(100, "new", 2);
        assertNull(connections.evictionCandidate(EvictionPurpose.CONNECTION, newcomer));
        assertNull(connections.evictionCandidate(EvictionPurpose.REQUEST, newcomer));
    }

    /** A connection between requests makes room for a request, and not for a connection that has sent none yet. */
    @Test
    void idleConnectionIsClosedForARequestAlone() {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(PhaseBounds.DEFAULT, RESPONSE_OWED_MICROS);
        connections.moveTo(0, connections.add(0, "idle", 1), ConnectionPhase.IDLE);
        ClientConnectionTable.Entry<String> newcomer = connections.add(100, "new", 2);
        assertNull(connections.evictionCandidate(EvictionPurpose.CONNECTION, newcomer));
        assertEquals("idle", connections.evictionCandidate(EvictionPurpose.REQUEST, newcomer));
        assertEquals("idle", connections.evictionCandidate(EvictionPurpose.LAST_RESORT, newcomer));
    }

    /**
     * A client that stops within a request, or that doesn't read its response, holds its place for a while and not for
     * the whole bound of the phase; it loses it before a client that rests between requests.
     */
    @ParameterizedTest
    @CsvSource({"PART, STALLED", "UNREAD, ABANDONED"})
    void stalledConnectionIsEvictedBeforeIdleOnes(ConnectionPhase phase, ConnectionPhase stalled) {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(BOUNDS, RESPONSE_OWED_MICROS);
        ClientConnectionTable.Entry<String> stalling = connections.add(0, "stalling", 1);
        connections.moveTo(0, stalling, phase);
        long stalledAt = BOUNDS.boundMicros(phase, RESPONSE_OWED_MICROS);
        connections.forEachOverdue(stalledAt, 1, (id, overduePhase) -> connections.advance(stalling));
        assertEquals(phase, stalling.phase());
        assertNull(connections.evictionCandidate(EvictionPurpose.REQUEST, null));
        connections.forEachOverdue(stalledAt + 1, 1, (id, overduePhase) -> connections.advance(stalling));
        assertEquals(stalled, stalling.phase());
        connections.moveTo(0, connections.add(0, "idle", 1), ConnectionPhase.IDLE);
        assertEquals("stalling", connections.evictionCandidate(EvictionPurpose.CONNECTION, null));
        List<String> closed = new ArrayList<>();
        connections.forEachOverdue(Long.MAX_VALUE / 2, 1, (id, overduePhase) -> closed.add(id + " " + overduePhase));
        assertTrue(closed.contains("stalling " + stalled), "bounded all the same: " + closed);
    }

    /** Bytes that trickle in neither free a stalled connection nor prolong the time for a first request. */
    @Test
    void trickledBytesGainNoTime() {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(BOUNDS, RESPONSE_OWED_MICROS);
        ClientConnectionTable.Entry<String> first = connections.add(0, "first", 1);
        connections.receivedPart(1, first);
        assertEquals(ConnectionPhase.NEW, first.phase());
        assertTrue(connections.advance(first));
        connections.receivedPart(PhaseBounds.NEW_BEFORE_SILENT_MICROS + 1, first);
        assertEquals(ConnectionPhase.SILENT, first.phase());
        ClientConnectionTable.Entry<String> later = connections.add(0, "later", 1);
        connections.moveTo(0, later, ConnectionPhase.IDLE);
        connections.receivedPart(1, later);
        connections.receivedPart(2, later);
        assertEquals(ConnectionPhase.PART, later.phase());
        assertTrue(connections.advance(later));
        connections.receivedPart(PhaseBounds.PART_BEFORE_STALLED_MICROS + 10, later);
        assertEquals(ConnectionPhase.STALLED, later.phase());
    }

    /** A check of many overdue connections stops at its limit, so that it doesn't block the event loop. */
    @Test
    void overdueCheckStopsAtLimit() {
        ClientConnectionTable<Integer> connections = new ClientConnectionTable<>(PhaseBounds.DEFAULT, RESPONSE_OWED_MICROS);
        for (int i = 0; i < 1_000; i++) {
            connections.add(0, i, 1);
        }
        List<Integer> overdue = new ArrayList<>();
        connections.forEachOverdue(3_000_000, 64, (id, phase) -> overdue.add(id));
        assertEquals(64, overdue.size());
    }

    @ParameterizedTest
    @CsvSource({"0,1,1,2000000", "1,0,1,2000000", "1,1,0,2000000", "1,1,1,1000000"})
    void invalidBoundsAreRejected(long silentMicros, long requestMicros, long unreadMicros, long idleMicros) {
        assertThrows(IllegalArgumentException.class,
                () -> new PhaseBounds(silentMicros, requestMicros, unreadMicros, idleMicros));
    }
}
