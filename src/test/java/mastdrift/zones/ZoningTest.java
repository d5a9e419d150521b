package mastdrift.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mastdrift.Balancer.Group;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Why;
import mastdrift.settings.AddressRange;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** What may cross, what is counted of it, and which zone a key belongs to. */
class ZoningTest {

    private static final long WALL_MILLIS = Instant.parse("2026-12-01T10:00:00Z").toEpochMilli();
    private static final long SECOND_MICROS = 1_000_000;
    private static final RequestClass READ = new RequestClass("read", SECOND_MICROS, 0, SECOND_MICROS, 1, 0, Repeat.SAFE, Group.ALL, 0, false);
    private static final RequestClass START = new RequestClass("start", SECOND_MICROS, 0, SECOND_MICROS, 1, 0, Repeat.KEYED, Group.ZONE, 2 * SECOND_MICROS,
            false);

    private long now = SECOND_MICROS;

    private static Host host(String uid, Health health) {
        return new Host(uid, uid.startsWith("b") ? "bilbao" : "oviedo", 0, "k", 1, health, 0);
    }

    private static Limit limit(String name, Limit.Unit unit, double amount, String className, boolean hard) {
        return new Limit(name, Window.MINUTE, unit, amount, null, className, null, null, 0, hard);
    }

    private static ZoneSettings settings(Limit... limits) {
        return new ZoneSettings(List.of(limits), List.of(new Price("bilbao", "oviedo", 2, 0), new Price("oviedo", "bilbao", 1, 0)),
                List.of(), List.of("start", "read"), 5 * SECOND_MICROS, null, null, null);
    }

    private Zoning manager(Limit... limits) {
        Zoning manager = new Zoning("g", "bilbao", 1, settings(limits), now, WALL_MILLIS);
        pool(manager).updateHosts(now, true, List.of(host("b1", Health.UP), host("b2", Health.UP), host("o1", Health.UP)));
        return manager;
    }

    private static PoolZones pool(Zoning manager) {
        return manager.pool("p");
    }

    private PoolZones.Pass startRequest(Zoning manager, RequestClass type, Long key) {
        return pool(manager).startRequest(now, type, "t", "", key);
    }

    private void advance(Zoning manager, long micros) {
        now += micros;
        manager.tick(now, WALL_MILLIS + now / 1_000);
    }

    /** Sums over a seeded hundred thousand steps equal what was told, by flow, by cause and by budget, beyond the bound on flows too. */
    @Property(tries = 5)
    void everyReportedByteAndAttemptIsCountedOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Zoning manager = manager(limit("all", Limit.Unit.BYTES, 1e15, null, false), limit("read", Limit.Unit.REQUESTS, 1e12, "read", false));
        List<PoolZones.Leg> underWay = new ArrayList<>();
        long sent = 0;
        long received = 0;
        long crossed = 0;
        long crossedReads = 0;
        long attempts = 0;
        Map<PoolZones.Leg, long[]> hostAndClass = new HashMap<>();
        String[] uids = {"b1", "b2", "o1"};
        for (int i = 0; i < 100_000; i++) {
            now += random.nextInt(200);
            int uid = random.nextInt(3);
            long outBytes = random.nextInt(4) == 0 ? 0 : random.nextInt(2_000);
            long inBytes = outBytes == 0 ? 0 : random.nextInt(5_000);
            switch (random.nextInt(8)) {
                case 0 -> {
                    pool(manager).recordProbe(now, uids[uid], Outcome.DELIVERED, outBytes, inBytes);
                    crossed += uid == 2 ? outBytes + inBytes : 0;
                    sent += outBytes;
                    received += inBytes;
                }
                case 1 -> {
                    pool(manager).recordUnattributedBytes(now, uids[uid], 0, inBytes);
                    crossed += uid == 2 ? inBytes : 0;
                    received += inBytes;
                }
                case 2, 3, 4, 5 -> {
                    boolean read = random.nextBoolean();
                    PoolZones.Pass request = pool(manager).startRequest(now, read ? READ : START, "t" + random.nextInt(5_000), "", (long) i);
                    PoolZones.Leg attempt = request.startAttempt(now, uids[uid], random.nextInt(2));
                    underWay.add(attempt);
                    hostAndClass.put(attempt, new long[] {uid, read ? 1 : 0});
                }
                default -> {
                    if (!underWay.isEmpty()) {
                        PoolZones.Leg attempt = underWay.remove(random.nextInt(underWay.size()));
                        long[] of = hostAndClass.remove(attempt);
                        attempt.end(now, random.nextBoolean() ? Outcome.DELIVERED : Outcome.DROPPED, outBytes, inBytes);
                        sent += outBytes;
                        received += inBytes;
                        attempts += outBytes > 0 ? 1 : 0;
                        crossed += of[0] == 2 ? outBytes + inBytes : 0;
                        crossedReads += of[0] == 2 && of[1] == 1 && outBytes > 0 ? 1 : 0;
                    }
                }
            }
        }
        Snapshot snapshot = manager.snapshot(now);
        Counts all = new Counts();
        Counts crossings = new Counts();
        snapshot.flows().forEach((flow, counts) -> {
            all.add(counts);
            if (flow.crosses()) {
                crossings.add(counts);
            }
        });
        assertEquals(sent, all.bytesSent());
        assertEquals(received, all.bytesReceived());
        assertEquals(attempts, all.attempts());
        assertEquals(crossed, crossings.bytesSent() + crossings.bytesReceived());
        long byCause = 0;
        for (Cause cause : Cause.values()) {
            byCause += crossings.bytes(cause);
        }
        assertEquals(crossed, byCause);
        assertTrue(snapshot.flows().size() <= Book.MAX_FLOWS + 4, "flows " + snapshot.flows().size());
        assertEquals(crossedReads, snapshot.budgets().get(1).spent(), 0.5);
    }

    @Test
    void crossingCountsAgainstEveryBudgetThatCoversIt() {
        Zoning manager = manager(limit("all", Limit.Unit.REQUESTS, 6_000, null, false), limit("reads", Limit.Unit.REQUESTS, 0, "read", false));
        advance(manager, SECOND_MICROS);
        assertEquals(0, startRequest(manager, READ, null).part(now, "oviedo"));
        assertEquals(1, startRequest(manager, READ, null).part(now, "bilbao"));
        PoolZones.Pass start = startRequest(manager, START, 1L);
        assertTrue(start.part(now, "oviedo") > 0);
        start.startAttempt(now, "o1", 0).end(now, Outcome.DELIVERED, 100, 100);
        assertEquals(List.of(1.0, 0.0), manager.snapshot(now).budgets().stream().map(Snapshot.Budget::spent).toList());
    }

    @Test
    void budgetCoversOnlyWhatItsSelectorsName() {
        Limit limit = new Limit("l", Window.DAY, Limit.Unit.REQUESTS, 1, "oviedo", "read", "t", "p", 0, false);
        Object[][] table = {{"oviedo", "read", "t", "p", true}, {"leon", "read", "t", "p", false}, {"oviedo", "start", "t", "p", false},
            {"oviedo", "read", "u", "p", false}, {"oviedo", "read", "t", "q", false}};
        for (Object[] row : table) {
            assertEquals(row[4], limit.covers((String) row[0], (String) row[1], (String) row[2], (String) row[3]));
        }
    }

    /** What is out has its part already: crossings that take two seconds each, asked for each 10 ms, don't overrun a window. */
    @Test
    void crossingsUnderWayAreReserved() {
        Zoning manager = manager(limit("r", Limit.Unit.REQUESTS, 60, null, false));
        List<PoolZones.Leg> underWay = new ArrayList<>();
        List<Long> ends = new ArrayList<>();
        long started = 0;
        for (long end = now + 60 * SECOND_MICROS; now < end; advance(manager, 10_000)) {
            while (!underWay.isEmpty() && ends.get(0) <= now) {
                underWay.remove(0).end(now, Outcome.DELIVERED, 100, 100);
                ends.remove(0);
            }
            PoolZones.Pass request = startRequest(manager, READ, null);
            if (request.part(now, "oviedo") > 0) {
                underWay.add(request.startAttempt(now, "o1", 0));
                ends.add(now + 2 * SECOND_MICROS);
                started++;
            }
        }
        assertTrue(started >= 55 && started <= 61, "begun " + started);
    }

    /** 2 and 1 a GiB, 2^29 bytes out and 2^30 in: 2 in all, and the budget of money says the same. */
    @Test
    void costIsComputedFromThePricesOfBothDirections() {
        Zoning manager = manager(limit("m", Limit.Unit.MONEY, 100, null, false));
        startRequest(manager, READ, null).startAttempt(now, "o1", 0).end(now, Outcome.DELIVERED, 1L << 29, 1L << 30);
        Snapshot snapshot = manager.snapshot(now);
        assertEquals(2, snapshot.flows().entrySet().stream().mapToDouble(e -> snapshot.cost(e.getKey(), e.getValue())).sum(), 1e-9);
        assertEquals(2, snapshot.budgets().get(0).spent(), 1e-9);
    }

    @Test
    void attemptThatWasNeverSentCostsNothing() {
        Zoning manager = manager(limit("r", Limit.Unit.REQUESTS, 60, null, false));
        advance(manager, 2 * SECOND_MICROS);
        startRequest(manager, READ, null).startAttempt(now, "o1", 0).end(now, Outcome.UNUSED, 0, 0);
        assertEquals(0, manager.snapshot(now).budgets().get(0).spent());
        assertTrue(startRequest(manager, READ, null).part(now, "oviedo") > 0);
    }

    /** A key keeps the zone that it may have run in, for its window: when the budget is gone, and when that zone is out. */
    @Test
    void keyKeepsItsZoneWhileItsWindowIsOpen() {
        Zoning manager = manager(limit("none", Limit.Unit.REQUESTS, 0, null, false));
        PoolZones.Leg inOwnZone = startRequest(manager, START, 7L).startAttempt(now, "b1", 0);
        pool(manager).updateHosts(now, true, List.of(host("o1", Health.UP)));
        assertEquals(1, startRequest(manager, START, 8L).part(now, "oviedo"), "the zone is out: another key may go");
        assertEquals(0, startRequest(manager, START, 7L).part(now, "oviedo"), "this one may have run");
        inOwnZone.end(now, Outcome.DROPPED, 100, 0);
        assertEquals(0, startRequest(manager, START, 7L).part(now, "oviedo"), "it still may have");
        startRequest(manager, START, 9L).startAttempt(now, "o1", 0);
        pool(manager).updateHosts(now, true, List.of(host("b1", Health.UP), host("o1", Health.UP)));
        assertEquals(0, startRequest(manager, START, 9L).part(now, "bilbao"), "nor back");
        assertEquals(1, startRequest(manager, START, 9L).part(now, "oviedo"), "whatever the budget");
        assertEquals(1, startRequest(manager, READ, 9L).part(now, "bilbao"), "another class's key is another");
        now += 2 * SECOND_MICROS;
        assertEquals(1, startRequest(manager, START, 9L).part(now, "bilbao"), "its window is over");
    }

    @Test
    void keyIsReleasedWhenItIsProvedNotToHaveRun() {
        Zoning manager = manager();
        PoolZones.Leg one = startRequest(manager, START, 7L).startAttempt(now, "o1", 0);
        PoolZones.Leg two = startRequest(manager, START, 7L).startAttempt(now, "o1", 0);
        one.end(now, Outcome.SHED, 100, 10);
        assertEquals(0, startRequest(manager, START, 7L).part(now, "bilbao"), "the other may have run");
        two.end(now, Outcome.DIAL_FAILED, 0, 0);
        assertEquals(1, startRequest(manager, START, 7L).part(now, "bilbao"));
    }

    /** At the bound new keys stay at home, and known ones keep their zone. */
    @Test
    void keysBeyondTheBoundStayInTheOwnZone() {
        KeyZones keys = new KeyZones(2);
        keys.recordSent(0, 1, "oviedo", 100);
        keys.recordSent(0, 2, "bilbao", 200);
        keys.recordSent(0, 3, "oviedo", 300);
        assertNull(keys.zone(1, 3));
        assertEquals("oviedo", keys.zone(1, 1));
        assertTrue(!keys.hasRoom(99) && keys.hasRoom(100) && keys.size() == 1);
        Zoning manager = manager();
        for (long key = 0; key < KeyZones.MAX_KEYS; key++) {
            manager.keyZones().recordSent(now, key, "bilbao", now + SECOND_MICROS);
        }
        assertEquals(0, startRequest(manager, START, -1L).part(now, "oviedo"));
        assertEquals(1, startRequest(manager, START, -1L).part(now, "bilbao"));
    }

    /** Why it crossed: the first cause that holds. */
    @Test
    void firstCauseThatAppliesIsRecorded() {
        Zoning manager = manager();
        cross(manager, READ, null, 0, Cause.WEIGHTS);
        cross(manager, READ, null, 1, Cause.REPEAT);
        cross(manager, START, 5L, 0, Cause.WEIGHTS);
        cross(manager, START, 5L, 0, Cause.KEY);
        pool(manager).updateHosts(now, false, List.of(host("b1", Health.LEAVING)));
        cross(manager, READ, null, 0, Cause.DRAIN);
        pool(manager).updateHosts(now, false, List.of(host("b2", Health.GONE)));
        cross(manager, READ, null, 0, Cause.ZONE_OUT);
        pool(manager).recordProbe(now, "o1", Outcome.DELIVERED, 10, 10);
        assertEquals(1, crossingCounts(manager).attempts(Cause.PROBE));
        Zoning overloaded = manager(limit("none", Limit.Unit.REQUESTS, 0, null, false));
        for (int i = 0; i < 300; i++, now += 10_000) {
            PoolZones.Pass request = startRequest(overloaded, READ, null);
            request.part(now, "oviedo");
            request.recordRefusal(now, Why.HOSTS);
        }
        cross(overloaded, READ, null, 0, Cause.NO_CAPACITY);
    }

    private void cross(Zoning manager, RequestClass type, Long key, int number, Cause cause) {
        long before = crossingCounts(manager).attempts(cause);
        startRequest(manager, type, key).startAttempt(now, "o1", number).end(now, Outcome.DELIVERED, 10, 10);
        assertEquals(before + 1, crossingCounts(manager).attempts(cause), cause.reportName());
    }

    private Counts crossingCounts(Zoning manager) {
        Counts crossings = new Counts();
        manager.snapshot(now).flows().forEach((flow, counts) -> {
            if (flow.crosses()) {
                crossings.add(counts);
            }
        });
        return crossings;
    }

    /** Before its first list a pool has no zone that could be out. */
    @Test
    void poolWithoutAHostListKeepsToItsBudgets() {
        Zoning manager = new Zoning("g", "bilbao", 1, settings(limit("l", Limit.Unit.REQUESTS, 0, null, false)), now, WALL_MILLIS);
        pool(manager).updateHosts(now, true, List.of());
        pool(manager).updateHosts(now, true, List.of(host("b1", Health.UP), host("o1", Health.UP)));
        assertEquals(0, startRequest(manager, READ, null).part(now, "oviedo"));
    }

    /** What a hard budget holds back is no overload that a soft one beside it could give way to. */
    @Test
    void refusalsByAHardBudgetAreNoOverload() {
        Zoning manager = manager(limit("soft", Limit.Unit.REQUESTS, 0, null, false), limit("hard", Limit.Unit.REQUESTS, 0, "read", true));
        for (int i = 0; i < 600; i++, now += 10_000) {
            PoolZones.Pass request = startRequest(manager, READ, null);
            assertEquals(0, request.part(now, "oviedo"));
            request.recordRefusal(now, Why.ZONES);
            assertEquals(List.of(), pool(manager).budgetOverride().overridingClasses());
        }
    }

    /** Service goes before a soft budget and not before a hard one, and what it took is owed. */
    @Test
    void onlySoftBudgetsMayBeExceeded() {
        for (boolean hard : new boolean[] {false, true}) {
            Zoning manager = manager(limit("l", Limit.Unit.REQUESTS, 0, null, hard));
            assertEquals(0, startRequest(manager, READ, null).part(now, "oviedo"));
            pool(manager).updateHosts(now, true, List.of(host("o1", Health.UP)));
            PoolZones.Pass request = startRequest(manager, READ, null);
            assertEquals(hard ? 0 : 1, request.part(now, "oviedo"));
            assertEquals(hard, request.heldBack());
            if (!hard) {
                request.startAttempt(now, "o1", 0).end(now, Outcome.DELIVERED, 10, 10);
                assertEquals(-1, manager.snapshot(now).budgets().get(0).remaining());
            }
        }
    }

    @Test
    void restartContinuesOnlyItsOwnCountsAndBudgets() {
        Zoning manager = manager(limit("l", Limit.Unit.REQUESTS, 600, null, false));
        advance(manager, 10 * SECOND_MICROS);
        startRequest(manager, READ, null).startAttempt(now, "o1", 0).end(now, Outcome.DELIVERED, 10, 20);
        Snapshot snapshot = manager.snapshot(now);
        Zoning next = manager(limit("l", Limit.Unit.REQUESTS, 600, null, false));
        next.restore(snapshot, 0);
        assertEquals(30, crossingCounts(next).bytesSent() + crossingCounts(next).bytesReceived());
        assertTrue(next.snapshot(now).budgets().get(0).spent() >= 1);
        Zoning other = new Zoning("other", "bilbao", 1, settings(), now, WALL_MILLIS);
        assertThrows(IllegalArgumentException.class, () -> other.restore(snapshot, 0));
        assertEquals(Map.of(), other.snapshot(now).flows());
    }

    @Test
    void longestMatchingNetworkDecides() {
        Networks networks = new Networks(List.of(new Networks.Network(AddressRange.parse("10.0.0.0/8"), "bilbao"),
                new Networks.Network(AddressRange.parse("10.1.64.0/18"), "oviedo")));
        Object[][] table = {{10, 1, 64, 1, "oviedo"}, {10, 1, 127, 1, "oviedo"}, {10, 1, 128, 1, "bilbao"}, {11, 1, 64, 1, ""}};
        for (Object[] row : table) {
            assertEquals(row[4], networks.zone(new byte[] {((Integer) row[0]).byteValue(), ((Integer) row[1]).byteValue(),
                ((Integer) row[2]).byteValue(), ((Integer) row[3]).byteValue()}));
        }
        assertEquals("", networks.zone(new byte[16]));
    }
}
