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

    private static final PhaseBounds BOUNDS = new PhaseBounds(2_000, 3_000, 4_000,
            PhaseBounds.IDLE_BEFORE_DORMANT_MICROS + 5_000);

    /** A connection of the reference model, kept in a plain map. */
    private static final class ModelConnection {
        private final int id;
        private final long address;
        private ConnectionPhase phase = ConnectionPhase.SILENT;
        private long phaseEnteredAt;
        private int order;  // sequence number of entering the phase

        ModelConnection(int id, long address) {
            this.id = id;
            this.address = address;
        }
    }

    /**
     * Compares the table with a reference model that searches plain lists, through random courses of events: the same
     * connections are overdue, and the one to close is of an address with the most evictable connections, a silent one
     * if there is any, and the oldest of those.
     */
    @Property(tries = 150)
    void agreesWithReferenceModel(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int addresses) {
        Random random = new Random(seed);
        ClientConnectionTable<Integer> connections = new ClientConnectionTable<>(BOUNDS);
        Map<Integer, ModelConnection> model = new LinkedHashMap<>();
        Map<Integer, ClientConnectionTable.Entry<Integer>> entries = new HashMap<>();
        long now = 0;
        int order = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(300);
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
                    ConnectionPhase phase = ConnectionPhase.values()[random.nextInt(ConnectionPhase.values().length)];
                    connections.moveTo(now, entries.get(connection.id), phase);
                    if (phase != connection.phase) {
                        connection.phase = phase;
                        connection.phaseEnteredAt = now;
                        connection.order = order++;
                    }
                }
            }
            List<ModelConnection> silent = model.values().stream().filter(p -> p.phase == ConnectionPhase.SILENT)
                    .toList();
            check(now, connections, model, random.nextBoolean() || silent.isEmpty() ? null
                    : entries.get(silent.get(random.nextInt(silent.size())).id), entries);
        }
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
            assertEquals(now - connection.phaseEnteredAt > BOUNDS.boundMicros(connection.phase),
                    overdue.contains(connection.id));
        }
        Integer candidate = connections.evictionCandidate(newcomer);
        Map<Long, List<ModelConnection>> evictableByAddress = new HashMap<>();
        model.values().stream().filter(p -> p.phase.isEvictable()).forEach(
                p -> evictableByAddress.computeIfAbsent(p.address, a -> new ArrayList<>()).add(p));
        int maxEvictable = evictableByAddress.values().stream().mapToInt(List::size).max().orElse(0);
        if (candidate == null) {
            assertTrue(evictableByAddress.values().stream()
                    .allMatch(list -> list.stream().allMatch(p -> entries.get(p.id) == newcomer)
                            || list.size() < maxEvictable),
                    "only the newcomer, among the addresses with the most evictable connections");
            return;
        }
        ModelConnection connection = model.get(candidate);
        assertTrue(connection.phase.isEvictable() && entries.get(connection.id) != newcomer);
        List<ModelConnection> ofSameAddress = evictableByAddress.get(connection.address);
        assertEquals(maxEvictable, ofSameAddress.size());
        ModelConnection oldest = ofSameAddress.stream().filter(p -> entries.get(p.id) != newcomer).min(Comparator
                .comparing((ModelConnection p) -> p.phase != ConnectionPhase.SILENT).thenComparing(p -> p.order))
                .orElseThrow();
        assertEquals(oldest.id, connection.id);
    }

    /**
     * One address opens ten thousand connections; another has one that has been idle for longer than all of them. Only
     * connections of the flooding address are closed.
     */
    @Test
    void floodingAddressEvictsItsOwnConnections() {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(PhaseBounds.DEFAULT);
        ClientConnectionTable.Entry<String> quiet = connections.add(0, "quiet", 1);
        connections.moveTo(1, quiet, ConnectionPhase.IDLE);
        for (int i = 0; i < 10_000; i++) {
            ClientConnectionTable.Entry<String> newcomer = connections.add(1_000 + i, "flood", 2);
            if (connections.size() > 100) {
                assertEquals("flood", connections.evictionCandidate(newcomer));
                connections.remove(newcomer);
            }
        }
        assertEquals(ConnectionPhase.IDLE, quiet.phase());
    }

    /**
     * A connection with a request in progress, a partial request or an unread response is never closed to make room.
     */
    @ParameterizedTest
    @CsvSource({"PART", "BUSY", "UNREAD"})
    void connectionInUseIsNeverEvicted(ConnectionPhase phase) {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(PhaseBounds.DEFAULT);
        for (int i = 0; i < 10; i++) {
            connections.moveTo(i, connections.add(i, "used", 1), phase);
        }
        assertNull(connections.evictionCandidate(connections.add(100, "new", 2)));
    }

    /** A check of many overdue connections stops at its limit, so that it doesn't block the event loop. */
    @Test
    void overdueCheckStopsAtLimit() {
        ClientConnectionTable<Integer> connections = new ClientConnectionTable<>(PhaseBounds.DEFAULT);
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
