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

    private static final PhaseBounds BOUNDS = new PhaseBounds(2_000, 3_000, 4_000, PhaseBounds.AWAKE + 5_000);

    /** A connection as a plain list would keep it. */
    private static final class Plain {
        private final int id;
        private final long address;
        private ConnectionPhase phase = ConnectionPhase.SILENT;
        private long since;
        private int order;  // of entering the phase

        Plain(int id, long address) {
            this.id = id;
            this.address = address;
        }
    }

    /** Against plain lists that are searched from end to end: the same are overdue, and who makes room is of an address that holds
        most unused, a silent one if it has any, and the eldest of those; through any course of events. */
    @Property(tries = 150)
    void actsAsPlainListsWould(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int addresses) {
        Random random = new Random(seed);
        ClientConnectionTable<Integer> connections = new ClientConnectionTable<>(BOUNDS);
        Map<Integer, Plain> plain = new LinkedHashMap<>();
        Map<Integer, ClientConnectionTable.Entry<Integer>> entries = new HashMap<>();
        long now = 0;
        int order = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(300);
            if (plain.isEmpty() || random.nextInt(3) == 0) {
                Plain one = new Plain(i, random.nextInt(addresses));
                one.since = now;
                one.order = order++;
                plain.put(i, one);
                entries.put(i, connections.opened(now, i, one.address));
            } else {
                Plain one = new ArrayList<>(plain.values()).get(random.nextInt(plain.size()));
                if (random.nextInt(6) == 0) {
                    connections.closed(entries.get(one.id));
                    connections.closed(entries.get(one.id));
                    plain.remove(one.id);
                } else {
                    ConnectionPhase phase = ConnectionPhase.values()[random.nextInt(ConnectionPhase.values().length)];
                    connections.moved(now, entries.get(one.id), phase);
                    if (phase != one.phase) {
                        one.phase = phase;
                        one.since = now;
                        one.order = order++;
                    }
                }
            }
            List<Plain> silent = plain.values().stream().filter(p -> p.phase == ConnectionPhase.SILENT).toList();
            check(now, connections, plain, random.nextBoolean() || silent.isEmpty() ? null
                    : entries.get(silent.get(random.nextInt(silent.size())).id), entries);
        }
    }

    private static void check(long now, ClientConnectionTable<Integer> connections, Map<Integer, Plain> plain,
            ClientConnectionTable.Entry<Integer> newcomer, Map<Integer, ClientConnectionTable.Entry<Integer>> entries) {
        assertEquals(plain.size(), connections.size());
        for (ConnectionPhase phase : ConnectionPhase.values()) {
            List<Integer> in = new ArrayList<>();
            connections.each(phase, in::add);
            assertEquals(plain.values().stream().filter(p -> p.phase == phase).sorted(Comparator.comparing(p -> p.order))
                    .map(p -> p.id).toList(), in);
            assertEquals(in.size(), connections.size(phase));
        }
        assertEquals(plain.values().stream().map(p -> p.address).distinct().count(), connections.addresses());
        Set<Integer> overdue = new HashSet<>();
        connections.overdue(now, Integer.MAX_VALUE, (id, phase) -> {
            assertEquals(plain.get(id).phase, phase);
            assertTrue(overdue.add(id));
        });
        for (Plain one : plain.values()) {
            assertEquals(now - one.since > BOUNDS.of(one.phase), overdue.contains(one.id));
        }
        Integer gives = connections.givesWay(newcomer);
        Map<Long, List<Plain>> giving = new HashMap<>();
        plain.values().stream().filter(p -> p.phase.gives()).forEach(
                p -> giving.computeIfAbsent(p.address, a -> new ArrayList<>()).add(p));
        int most = giving.values().stream().mapToInt(List::size).max().orElse(0);
        if (gives == null) {
            assertTrue(giving.values().stream().allMatch(list -> list.stream().allMatch(p -> entries.get(p.id) == newcomer)
                    || list.size() < most), "nobody but the newcomer among those that hold most");
            return;
        }
        Plain one = plain.get(gives);
        assertTrue(one.phase.gives() && entries.get(one.id) != newcomer);
        List<Plain> own = giving.get(one.address);
        assertEquals(most, own.size());
        Plain eldest = own.stream().filter(p -> entries.get(p.id) != newcomer).min(Comparator
                .comparing((Plain p) -> p.phase != ConnectionPhase.SILENT).thenComparing(p -> p.order)).orElseThrow();
        assertEquals(eldest.id, one.id);
    }

    /** One address opens ten thousand; another has one, idle for longer than all of them: the flood makes room for itself. */
    @Test
    void aFloodMakesRoomForItself() {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(PhaseBounds.USUAL);
        ClientConnectionTable.Entry<String> quiet = connections.opened(0, "quiet", 1);
        connections.moved(1, quiet, ConnectionPhase.IDLE);
        for (int i = 0; i < 10_000; i++) {
            ClientConnectionTable.Entry<String> newcomer = connections.opened(1_000 + i, "flood", 2);
            if (connections.size() > 100) {
                assertEquals("flood", connections.givesWay(newcomer));
                connections.closed(newcomer);
            }
        }
        assertEquals(ConnectionPhase.IDLE, quiet.phase());
    }

    /** Whoever waits for an answer, sends one or is to take one stays, whatever comes. */
    @ParameterizedTest
    @CsvSource({"PART", "BUSY", "UNREAD"})
    void whatIsInUseNeverGivesWay(ConnectionPhase phase) {
        ClientConnectionTable<String> connections = new ClientConnectionTable<>(PhaseBounds.USUAL);
        for (int i = 0; i < 10; i++) {
            connections.moved(i, connections.opened(i, "used", 1), phase);
        }
        assertNull(connections.givesWay(connections.opened(100, "new", 2)));
    }

    /** A look at many that are overdue stops at its bound, so that it holds nobody up. */
    @Test
    void aLookIsBounded() {
        ClientConnectionTable<Integer> connections = new ClientConnectionTable<>(PhaseBounds.USUAL);
        for (int i = 0; i < 1_000; i++) {
            connections.opened(0, i, 1);
        }
        List<Integer> named = new ArrayList<>();
        connections.overdue(3_000_000, 64, (id, phase) -> named.add(id));
        assertEquals(64, named.size());
    }

    @ParameterizedTest
    @CsvSource({"0,1,1,2000000", "1,0,1,2000000", "1,1,0,2000000", "1,1,1,1000000"})
    void boundsThatCantBeKeptAreRefused(long silent, long whole, long unread, long idle) {
        assertThrows(IllegalArgumentException.class, () -> new PhaseBounds(silent, whole, unread, idle));
    }
}
