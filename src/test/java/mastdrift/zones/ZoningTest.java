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

    private static final long WALL = Instant.parse("2026-12-01T10:00:00Z").toEpochMilli();
    private static final long SECOND = 1_000_000;
    private static final RequestClass READ = new RequestClass("read", SECOND, 0, SECOND, 1, 0, Repeat.SAFE, Group.ALL, 0, false);
    private static final RequestClass START = new RequestClass("start", SECOND, 0, SECOND, 1, 0, Repeat.KEYED, Group.ZONE, 2 * SECOND,
            false);

    private long now = SECOND;

    private static Host host(String uid, Health health) {
        return new Host(uid, uid.startsWith("b") ? "bilbao" : "oviedo", 0, "k", 1, health, 0);
    }

    private static Limit limit(String name, Limit.Unit unit, double amount, String className, boolean hard) {
        return new Limit(name, Window.MINUTE, unit, amount, null, className, null, null, 0, hard);
    }

    private static ZoneSettings settings(Limit... limits) {
        return new ZoneSettings(List.of(limits), List.of(new Price("bilbao", "oviedo", 2, 0), new Price("oviedo", "bilbao", 1, 0)),
                List.of(), List.of("start", "read"), 5 * SECOND, null, null, null);
    }

    private Zoning zoning(Limit... limits) {
        Zoning zoning = new Zoning("g", "bilbao", 1, settings(limits), now, WALL);
        pool(zoning).hosts(now, true, List.of(host("b1", Health.UP), host("b2", Health.UP), host("o1", Health.UP)));
        return zoning;
    }

    private static PoolZones pool(Zoning zoning) {
        return zoning.pool("p");
    }

    private PoolZones.Pass pass(Zoning zoning, RequestClass type, Long key) {
        return pool(zoning).pass(now, type, "t", "", key);
    }

    private void go(Zoning zoning, long micros) {
        now += micros;
        zoning.tick(now, WALL + now / 1_000);
    }

    /** Sums over a seeded hundred thousand steps equal what was told, by flow, by cause and by budget, beyond the bound on flows too. */
    @Property(tries = 5)
    void whatIsToldIsCountedOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Zoning zoning = zoning(limit("all", Limit.Unit.BYTES, 1e15, null, false), limit("read", Limit.Unit.REQUESTS, 1e12, "read", false));
        List<PoolZones.Leg> out = new ArrayList<>();
        long sent = 0;
        long received = 0;
        long crossed = 0;
        long crossedReads = 0;
        long attempts = 0;
        Map<PoolZones.Leg, long[]> what = new HashMap<>();
        String[] uids = {"b1", "b2", "o1"};
        for (int i = 0; i < 100_000; i++) {
            now += random.nextInt(200);
            int uid = random.nextInt(3);
            long outBytes = random.nextInt(4) == 0 ? 0 : random.nextInt(2_000);
            long inBytes = outBytes == 0 ? 0 : random.nextInt(5_000);
            switch (random.nextInt(8)) {
                case 0 -> {
                    pool(zoning).probed(now, uids[uid], Outcome.DELIVERED, outBytes, inBytes);
                    crossed += uid == 2 ? outBytes + inBytes : 0;
                    sent += outBytes;
                    received += inBytes;
                }
                case 1 -> {
                    pool(zoning).stray(now, uids[uid], 0, inBytes);
                    crossed += uid == 2 ? inBytes : 0;
                    received += inBytes;
                }
                case 2, 3, 4, 5 -> {
                    boolean read = random.nextBoolean();
                    PoolZones.Pass pass = pool(zoning).pass(now, read ? READ : START, "t" + random.nextInt(5_000), "", (long) i);
                    PoolZones.Leg leg = pass.sent(now, uids[uid], random.nextInt(2));
                    out.add(leg);
                    what.put(leg, new long[] {uid, read ? 1 : 0});
                }
                default -> {
                    if (!out.isEmpty()) {
                        PoolZones.Leg leg = out.remove(random.nextInt(out.size()));
                        long[] of = what.remove(leg);
                        leg.ended(now, random.nextBoolean() ? Outcome.DELIVERED : Outcome.DROPPED, outBytes, inBytes);
                        sent += outBytes;
                        received += inBytes;
                        attempts += outBytes > 0 ? 1 : 0;
                        crossed += of[0] == 2 ? outBytes + inBytes : 0;
                        crossedReads += of[0] == 2 && of[1] == 1 && outBytes > 0 ? 1 : 0;
                    }
                }
            }
        }
        Snapshot snapshot = zoning.snapshot(now);
        Counts all = new Counts();
        Counts over = new Counts();
        snapshot.flows().forEach((flow, counts) -> {
            all.add(counts);
            if (flow.crosses()) {
                over.add(counts);
            }
        });
        assertEquals(sent, all.sent());
        assertEquals(received, all.received());
        assertEquals(attempts, all.attempts());
        assertEquals(crossed, over.sent() + over.received());
        long byCause = 0;
        for (Cause cause : Cause.values()) {
            byCause += over.bytes(cause);
        }
        assertEquals(crossed, byCause);
        assertTrue(snapshot.flows().size() <= Book.FLOWS_MOST + 4, "flows " + snapshot.flows().size());
        assertEquals(crossedReads, snapshot.budgets().get(1).spent(), 0.5);
    }

    @Test
    void aCrossingGoesByEveryBudgetThatCoversIt() {
        Zoning zoning = zoning(limit("all", Limit.Unit.REQUESTS, 6_000, null, false), limit("reads", Limit.Unit.REQUESTS, 0, "read", false));
        go(zoning, SECOND);
        assertEquals(0, pass(zoning, READ, null).part(now, "oviedo"));
        assertEquals(1, pass(zoning, READ, null).part(now, "bilbao"));
        PoolZones.Pass start = pass(zoning, START, 1L);
        assertTrue(start.part(now, "oviedo") > 0);
        start.sent(now, "o1", 0).ended(now, Outcome.DELIVERED, 100, 100);
        assertEquals(List.of(1.0, 0.0), zoning.snapshot(now).budgets().stream().map(Snapshot.Budget::spent).toList());
    }

    @Test
    void aBudgetCoversWhatItNames() {
        Limit limit = new Limit("l", Window.DAY, Limit.Unit.REQUESTS, 1, "oviedo", "read", "t", "p", 0, false);
        Object[][] table = {{"oviedo", "read", "t", "p", true}, {"leon", "read", "t", "p", false}, {"oviedo", "start", "t", "p", false},
            {"oviedo", "read", "u", "p", false}, {"oviedo", "read", "t", "q", false}};
        for (Object[] row : table) {
            assertEquals(row[4], limit.covers((String) row[0], (String) row[1], (String) row[2], (String) row[3]));
        }
    }

    /** What is out has its part already: crossings that take two seconds each, asked for each 10 ms, don't overrun a window. */
    @Test
    void whatIsOutIsReserved() {
        Zoning zoning = zoning(limit("r", Limit.Unit.REQUESTS, 60, null, false));
        List<PoolZones.Leg> out = new ArrayList<>();
        List<Long> ends = new ArrayList<>();
        long begun = 0;
        for (long end = now + 60 * SECOND; now < end; go(zoning, 10_000)) {
            while (!out.isEmpty() && ends.get(0) <= now) {
                out.remove(0).ended(now, Outcome.DELIVERED, 100, 100);
                ends.remove(0);
            }
            PoolZones.Pass pass = pass(zoning, READ, null);
            if (pass.part(now, "oviedo") > 0) {
                out.add(pass.sent(now, "o1", 0));
                ends.add(now + 2 * SECOND);
                begun++;
            }
        }
        assertTrue(begun >= 55 && begun <= 61, "begun " + begun);
    }

    /** 2 and 1 a GiB, 2^29 bytes out and 2^30 in: 2 in all, and the budget of money says the same. */
    @Test
    void moneyIsByThePricesOfBothDirections() {
        Zoning zoning = zoning(limit("m", Limit.Unit.MONEY, 100, null, false));
        pass(zoning, READ, null).sent(now, "o1", 0).ended(now, Outcome.DELIVERED, 1L << 29, 1L << 30);
        Snapshot snapshot = zoning.snapshot(now);
        assertEquals(2, snapshot.flows().entrySet().stream().mapToDouble(e -> snapshot.money(e.getKey(), e.getValue())).sum(), 1e-9);
        assertEquals(2, snapshot.budgets().get(0).spent(), 1e-9);
    }

    @Test
    void whatWasNeverSentCostsNothing() {
        Zoning zoning = zoning(limit("r", Limit.Unit.REQUESTS, 60, null, false));
        go(zoning, 2 * SECOND);
        pass(zoning, READ, null).sent(now, "o1", 0).ended(now, Outcome.UNUSED, 0, 0);
        assertEquals(0, zoning.snapshot(now).budgets().get(0).spent());
        assertTrue(pass(zoning, READ, null).part(now, "oviedo") > 0);
    }

    /** A key keeps the zone that it may have run in, for its window: when the budget is gone, and when that zone is out. */
    @Test
    void aKeyKeepsItsZoneWhileItsWindowIsOpen() {
        Zoning zoning = zoning(limit("none", Limit.Unit.REQUESTS, 0, null, false));
        PoolZones.Leg home = pass(zoning, START, 7L).sent(now, "b1", 0);
        pool(zoning).hosts(now, true, List.of(host("o1", Health.UP)));
        assertEquals(1, pass(zoning, START, 8L).part(now, "oviedo"), "the zone is out: another key may go");
        assertEquals(0, pass(zoning, START, 7L).part(now, "oviedo"), "this one may have run");
        home.ended(now, Outcome.DROPPED, 100, 0);
        assertEquals(0, pass(zoning, START, 7L).part(now, "oviedo"), "it still may have");
        pass(zoning, START, 9L).sent(now, "o1", 0);
        pool(zoning).hosts(now, true, List.of(host("b1", Health.UP), host("o1", Health.UP)));
        assertEquals(0, pass(zoning, START, 9L).part(now, "bilbao"), "nor back");
        assertEquals(1, pass(zoning, START, 9L).part(now, "oviedo"), "whatever the budget");
        assertEquals(1, pass(zoning, READ, 9L).part(now, "bilbao"), "another class's key is another");
        now += 2 * SECOND;
        assertEquals(1, pass(zoning, START, 9L).part(now, "bilbao"), "its window is over");
    }

    @Test
    void aKeyThatIsProvedNotToHaveRunIsFree() {
        Zoning zoning = zoning();
        PoolZones.Leg one = pass(zoning, START, 7L).sent(now, "o1", 0);
        PoolZones.Leg two = pass(zoning, START, 7L).sent(now, "o1", 0);
        one.ended(now, Outcome.SHED, 100, 10);
        assertEquals(0, pass(zoning, START, 7L).part(now, "bilbao"), "the other may have run");
        two.ended(now, Outcome.DIAL_FAILED, 0, 0);
        assertEquals(1, pass(zoning, START, 7L).part(now, "bilbao"));
    }

    /** At the bound new keys stay at home, and known ones keep their zone. */
    @Test
    void keysBeyondTheBoundStayAtHome() {
        KeyZones keys = new KeyZones(2);
        keys.sent(0, 1, "oviedo", 100);
        keys.sent(0, 2, "bilbao", 200);
        keys.sent(0, 3, "oviedo", 300);
        assertNull(keys.zone(1, 3));
        assertEquals("oviedo", keys.zone(1, 1));
        assertTrue(!keys.room(99) && keys.room(100) && keys.size() == 1);
        Zoning zoning = zoning();
        for (long key = 0; key < KeyZones.MOST; key++) {
            zoning.keys().sent(now, key, "bilbao", now + SECOND);
        }
        assertEquals(0, pass(zoning, START, -1L).part(now, "oviedo"));
        assertEquals(1, pass(zoning, START, -1L).part(now, "bilbao"));
    }

    /** Why it crossed: the first cause that holds. */
    @Test
    void theCauseIsToldByWhatHeld() {
        Zoning zoning = zoning();
        cross(zoning, READ, null, 0, Cause.WEIGHTS);
        cross(zoning, READ, null, 1, Cause.REPEAT);
        cross(zoning, START, 5L, 0, Cause.WEIGHTS);
        cross(zoning, START, 5L, 0, Cause.KEY);
        pool(zoning).hosts(now, false, List.of(host("b1", Health.LEAVING)));
        cross(zoning, READ, null, 0, Cause.DRAIN);
        pool(zoning).hosts(now, false, List.of(host("b2", Health.GONE)));
        cross(zoning, READ, null, 0, Cause.ZONE_OUT);
        pool(zoning).probed(now, "o1", Outcome.DELIVERED, 10, 10);
        assertEquals(1, over(zoning).attempts(Cause.PROBE));
        Zoning full = zoning(limit("none", Limit.Unit.REQUESTS, 0, null, false));
        for (int i = 0; i < 300; i++, now += 10_000) {
            PoolZones.Pass pass = pass(full, READ, null);
            pass.part(now, "oviedo");
            pass.refused(now, Why.HOSTS);
        }
        cross(full, READ, null, 0, Cause.NO_CAPACITY);
    }

    private void cross(Zoning zoning, RequestClass type, Long key, int number, Cause cause) {
        long before = over(zoning).attempts(cause);
        pass(zoning, type, key).sent(now, "o1", number).ended(now, Outcome.DELIVERED, 10, 10);
        assertEquals(before + 1, over(zoning).attempts(cause), cause.word());
    }

    private Counts over(Zoning zoning) {
        Counts over = new Counts();
        zoning.snapshot(now).flows().forEach((flow, counts) -> {
            if (flow.crosses()) {
                over.add(counts);
            }
        });
        return over;
    }

    /** Before its first list a pool has no zone that could be out. */
    @Test
    void aPoolThatHasHeardNothingGivesWayToNothing() {
        Zoning zoning = new Zoning("g", "bilbao", 1, settings(limit("l", Limit.Unit.REQUESTS, 0, null, false)), now, WALL);
        pool(zoning).hosts(now, true, List.of());
        pool(zoning).hosts(now, true, List.of(host("b1", Health.UP), host("o1", Health.UP)));
        assertEquals(0, pass(zoning, READ, null).part(now, "oviedo"));
    }

    /** What a hard budget holds back is no overload that a soft one beside it could give way to. */
    @Test
    void refusalsByAHardBudgetMoveNothing() {
        Zoning zoning = zoning(limit("soft", Limit.Unit.REQUESTS, 0, null, false), limit("hard", Limit.Unit.REQUESTS, 0, "read", true));
        for (int i = 0; i < 600; i++, now += 10_000) {
            PoolZones.Pass pass = pass(zoning, READ, null);
            assertEquals(0, pass.part(now, "oviedo"));
            pass.refused(now, Why.ZONES);
            assertEquals(List.of(), pool(zoning).relief().giving());
        }
    }

    /** Service goes before a soft budget and not before a hard one, and what it took is owed. */
    @Test
    void serviceGoesBeforeSoftBudgetsAlone() {
        for (boolean hard : new boolean[] {false, true}) {
            Zoning zoning = zoning(limit("l", Limit.Unit.REQUESTS, 0, null, hard));
            assertEquals(0, pass(zoning, READ, null).part(now, "oviedo"));
            pool(zoning).hosts(now, true, List.of(host("o1", Health.UP)));
            PoolZones.Pass pass = pass(zoning, READ, null);
            assertEquals(hard ? 0 : 1, pass.part(now, "oviedo"));
            assertEquals(hard, pass.heldBack());
            if (!hard) {
                pass.sent(now, "o1", 0).ended(now, Outcome.DELIVERED, 10, 10);
                assertEquals(-1, zoning.snapshot(now).budgets().get(0).left());
            }
        }
    }

    @Test
    void aRestartGoesOnWithCountsAndBudgetsOfItsOwnAlone() {
        Zoning zoning = zoning(limit("l", Limit.Unit.REQUESTS, 600, null, false));
        go(zoning, 10 * SECOND);
        pass(zoning, READ, null).sent(now, "o1", 0).ended(now, Outcome.DELIVERED, 10, 20);
        Snapshot snapshot = zoning.snapshot(now);
        Zoning next = zoning(limit("l", Limit.Unit.REQUESTS, 600, null, false));
        next.restore(snapshot, 0);
        assertEquals(30, over(next).sent() + over(next).received());
        assertTrue(next.snapshot(now).budgets().get(0).spent() >= 1);
        Zoning other = new Zoning("other", "bilbao", 1, settings(), now, WALL);
        assertThrows(IllegalArgumentException.class, () -> other.restore(snapshot, 0));
        assertEquals(Map.of(), other.snapshot(now).flows());
    }

    @Test
    void theLongestNetworkDecides() {
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
