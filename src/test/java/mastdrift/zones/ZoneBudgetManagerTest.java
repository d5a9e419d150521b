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

/** Which requests may cross, what is counted of them, and which zone a key is bound to. */
class ZoneBudgetManagerTest {

    private static final long WALL_MILLIS = Instant.parse("2026-12-01T10:00:00Z").toEpochMilli();
    private static final long SECOND_MICROS = 1_000_000;
    private static final RequestClass READ = new RequestClass("read", SECOND_MICROS, 0, SECOND_MICROS, 1, 0,
            Repeat.SAFE, Group.ALL, 0, false);
    private static final RequestClass START = new RequestClass("start", SECOND_MICROS, 0, SECOND_MICROS, 1, 0,
            Repeat.KEYED, Group.ZONE, 2 * SECOND_MICROS,
            false);

    private long now = SECOND_MICROS;

    private static Host host(String uid, Health health) {
        return new Host(uid, uid.startsWith("b") ? "bilbao" : "oviedo", 0, "k", 1, health, 0);
    }

    private static CrossingBudget budget(String name, CrossingBudget.Unit unit, double amount, String className,
            boolean hard) {
        return new CrossingBudget(name, BudgetWindow.MINUTE, unit, amount, null, className, null, null, 0, hard);
    }

    private static ZoneSettings settings(CrossingBudget... budgets) {
        return new ZoneSettings(List.of(budgets), List.of(new Price("bilbao", "oviedo", 2, 0),
                new Price("oviedo", "bilbao", 1, 0)),
                List.of(), List.of("start", "read"), 5 * SECOND_MICROS, null, null, null);
    }

    private ZoneBudgetManager manager(CrossingBudget... budgets) {
        ZoneBudgetManager manager = new ZoneBudgetManager("g", "bilbao", 1, settings(budgets), now, WALL_MILLIS);
        pool(manager).updateHosts(now, true, List.of(host("b1", Health.UP), host("b2", Health.UP),
                host("o1", Health.UP)));
        return manager;
    }

    private static PoolCrossings pool(ZoneBudgetManager manager) {
        return manager.pool("p");
    }

    private PoolCrossings.RequestCrossing startRequest(ZoneBudgetManager manager, RequestClass requestClass, Long key) {
        return pool(manager).startRequest(now, requestClass, "t", "", key);
    }

    private void advance(ZoneBudgetManager manager, long micros) {
        now += micros;
        manager.tick(now, WALL_MILLIS + now / 1_000);
    }

    /**
     * Over a hundred thousand random steps, the sums by flow, by cause and by budget equal what was reported, also
     * beyond the bound on the number of flows.
     */
    @Property(tries = 5)
    void everyReportedByteAndAttemptIsCountedOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ZoneBudgetManager manager = manager(budget("all", CrossingBudget.Unit.BYTES, 1e15, null, false),
                budget("read", CrossingBudget.Unit.REQUESTS, 1e12, "read", false));
        List<PoolCrossings.TrackedAttempt> underWay = new ArrayList<>();
        long sent = 0;
        long received = 0;
        long crossed = 0;
        long crossedReads = 0;
        long attempts = 0;
        Map<PoolCrossings.TrackedAttempt, long[]> hostAndClass = new HashMap<>();
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
                    PoolCrossings.RequestCrossing request = pool(manager)
                            .startRequest(now, read ? READ : START, "t" + random.nextInt(5_000), "", (long) i);
                    PoolCrossings.TrackedAttempt attempt = request.startAttempt(now, uids[uid], random.nextInt(2));
                    underWay.add(attempt);
                    hostAndClass.put(attempt, new long[] {uid, read ? 1 : 0});
                }
                default -> {
                    if (!underWay.isEmpty()) {
                        PoolCrossings.TrackedAttempt attempt = underWay.remove(random.nextInt(underWay.size()));
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
        ZoneSnapshot snapshot = manager.snapshot(now);
        FlowCounts all = new FlowCounts();
        FlowCounts crossings = new FlowCounts();
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
        for (CrossingCause cause : CrossingCause.values()) {
            byCause += crossings.bytes(cause);
        }
        assertEquals(crossed, byCause);
        assertTrue(snapshot.flows().size() <= FlowCounters.MAX_FLOWS + 4, "flows " + snapshot.flows().size());
        assertEquals(crossedReads, snapshot.budgets().get(1).spent(), 0.5);
    }

    @Test
    void crossingCountsAgainstEveryBudgetThatCoversIt() {
        ZoneBudgetManager manager = manager(budget("all", CrossingBudget.Unit.REQUESTS, 6_000, null, false),
                budget("reads", CrossingBudget.Unit.REQUESTS, 0, "read", false));
        advance(manager, SECOND_MICROS);
        assertEquals(0, startRequest(manager, READ, null).part(now, "oviedo"));
        assertEquals(1, startRequest(manager, READ, null).part(now, "bilbao"));
        PoolCrossings.RequestCrossing start = startRequest(manager, START, 1L);
        assertTrue(start.part(now, "oviedo") > 0);
        start.startAttempt(now, "o1", 0).end(now, Outcome.DELIVERED, 100, 100);
        assertEquals(List.of(1.0, 0.0), manager.snapshot(now).budgets().stream().map(ZoneSnapshot.BudgetStatus::spent)
                .toList());
    }

    @Test
    void budgetCoversOnlyWhatItsSelectorsName() {
        CrossingBudget budget = new CrossingBudget("l", BudgetWindow.DAY, CrossingBudget.Unit.REQUESTS, 1, "oviedo",
                "read", "t", "p", 0, false);
        Object[][] table = {{"oviedo", "read", "t", "p", true}, {"leon", "read", "t", "p", false},
                {"oviedo", "start", "t", "p", false},
            {"oviedo", "read", "u", "p", false}, {"oviedo", "read", "t", "q", false}};
        for (Object[] row : table) {
            assertEquals(row[4], budget.covers((String) row[0], (String) row[1], (String) row[2], (String) row[3]));
        }
    }

    /**
     * Crossings under way are reserved: crossings that take two seconds each, asked for every 10 ms, don't overrun a
     * window.
     */
    @Test
    void crossingsUnderWayAreReserved() {
        ZoneBudgetManager manager = manager(budget("r", CrossingBudget.Unit.REQUESTS, 60, null, false));
        List<PoolCrossings.TrackedAttempt> underWay = new ArrayList<>();
        List<Long> ends = new ArrayList<>();
        long started = 0;
        for (long end = now + 60 * SECOND_MICROS; now < end; advance(manager, 10_000)) {
            while (!underWay.isEmpty() && ends.get(0) <= now) {
                underWay.remove(0).end(now, Outcome.DELIVERED, 100, 100);
                ends.remove(0);
            }
            PoolCrossings.RequestCrossing request = startRequest(manager, READ, null);
            if (request.part(now, "oviedo") > 0) {
                underWay.add(request.startAttempt(now, "o1", 0));
                ends.add(now + 2 * SECOND_MICROS);
                started++;
            }
        }
        assertTrue(started >= 55 && started <= 61, "started " + started);
    }

    /**
     * Prices of 2 and 1 per GiB, 2^29 bytes out and 2^30 in: a cost of 2 in all, and the budget in money says the same.
     */
    @Test
    void costIsComputedFromThePricesOfBothDirections() {
        ZoneBudgetManager manager = manager(budget("m", CrossingBudget.Unit.MONEY, 100, null, false));
        startRequest(manager, READ, null).startAttempt(now, "o1", 0).end(now, Outcome.DELIVERED, 1L << 29, 1L << 30);
        ZoneSnapshot snapshot = manager.snapshot(now);
        assertEquals(2, snapshot.flows().entrySet().stream().mapToDouble(e -> snapshot.cost(e.getKey(), e.getValue()))
                .sum(), 1e-9);
        assertEquals(2, snapshot.budgets().get(0).spent(), 1e-9);
    }

    @Test
    void attemptThatWasNeverSentCostsNothing() {
        ZoneBudgetManager manager = manager(budget("r", CrossingBudget.Unit.REQUESTS, 60, null, false));
        advance(manager, 2 * SECOND_MICROS);
        startRequest(manager, READ, null).startAttempt(now, "o1", 0).end(now, Outcome.UNUSED, 0, 0);
        assertEquals(0, manager.snapshot(now).budgets().get(0).spent());
        assertTrue(startRequest(manager, READ, null).part(now, "oviedo") > 0);
    }

    /**
     * A key stays in the zone in which its request may have run, for its window: also without budget, and when that
     * zone is out.
     */
    @Test
    void keyKeepsItsZoneWhileItsWindowIsOpen() {
        ZoneBudgetManager manager = manager(budget("none", CrossingBudget.Unit.REQUESTS, 0, null, false));
        PoolCrossings.TrackedAttempt inOwnZone = startRequest(manager, START, 7L).startAttempt(now, "b1", 0);
        pool(manager).updateHosts(now, true, List.of(host("o1", Health.UP)));
        assertEquals(1, startRequest(manager, START, 8L).part(now, "oviedo"), "the zone is out: another key may cross");
        assertEquals(0, startRequest(manager, START, 7L).part(now, "oviedo"), "this key's request may have run");
        inOwnZone.end(now, Outcome.DROPPED, 100, 0);
        assertEquals(0, startRequest(manager, START, 7L).part(now, "oviedo"), "it still may have run");
        startRequest(manager, START, 9L).startAttempt(now, "o1", 0);
        pool(manager).updateHosts(now, true, List.of(host("b1", Health.UP), host("o1", Health.UP)));
        assertEquals(0, startRequest(manager, START, 9L).part(now, "bilbao"), "nor back to the own zone");
        assertEquals(1, startRequest(manager, START, 9L).part(now, "oviedo"), "whatever the budget allows");
        assertEquals(1, startRequest(manager, READ, 9L).part(now, "bilbao"),
                "keys of different classes are independent");
        now += 2 * SECOND_MICROS;
        assertEquals(1, startRequest(manager, START, 9L).part(now, "bilbao"), "its deduplication window is over");
    }

    @Test
    void keyIsReleasedWhenItIsProvedNotToHaveRun() {
        ZoneBudgetManager manager = manager();
        PoolCrossings.TrackedAttempt one = startRequest(manager, START, 7L).startAttempt(now, "o1", 0);
        PoolCrossings.TrackedAttempt two = startRequest(manager, START, 7L).startAttempt(now, "o1", 0);
        one.end(now, Outcome.SHED, 100, 10);
        assertEquals(0, startRequest(manager, START, 7L).part(now, "bilbao"), "the other attempt may have run");
        two.end(now, Outcome.DIAL_FAILED, 0, 0);
        assertEquals(1, startRequest(manager, START, 7L).part(now, "bilbao"));
    }

    /** At the bound, requests with new keys stay in the own zone, and known keys keep theirs. */
    @Test
    void keysBeyondTheBoundStayInTheOwnZone() {
        KeyZoneTable keys = new KeyZoneTable(2);
        keys.recordSent(0, 1, "oviedo", 100);
        keys.recordSent(0, 2, "bilbao", 200);
        keys.recordSent(0, 3, "oviedo", 300);
        assertNull(keys.zone(1, 3));
        assertEquals("oviedo", keys.zone(1, 1));
        assertTrue(!keys.hasRoom(99) && keys.hasRoom(100) && keys.size() == 1);
        ZoneBudgetManager manager = manager();
        for (long key = 0; key < KeyZoneTable.MAX_KEYS; key++) {
            manager.keyZones().recordSent(now, key, "bilbao", now + SECOND_MICROS);
        }
        assertEquals(0, startRequest(manager, START, -1L).part(now, "oviedo"));
        assertEquals(1, startRequest(manager, START, -1L).part(now, "bilbao"));
    }

    /** The first cause that applies is recorded. */
    @Test
    void firstCauseThatAppliesIsRecorded() {
        ZoneBudgetManager manager = manager();
        cross(manager, READ, null, 0, CrossingCause.WEIGHTS);
        cross(manager, READ, null, 1, CrossingCause.REPEAT);
        cross(manager, START, 5L, 0, CrossingCause.WEIGHTS);
        cross(manager, START, 5L, 0, CrossingCause.KEY);
        pool(manager).updateHosts(now, false, List.of(host("b1", Health.LEAVING)));
        cross(manager, READ, null, 0, CrossingCause.DRAIN);
        pool(manager).updateHosts(now, false, List.of(host("b2", Health.GONE)));
        cross(manager, READ, null, 0, CrossingCause.ZONE_OUT);
        pool(manager).recordProbe(now, "o1", Outcome.DELIVERED, 10, 10);
        assertEquals(1, crossingCounts(manager).attempts(CrossingCause.PROBE));
        ZoneBudgetManager overloaded = manager(budget("none", CrossingBudget.Unit.REQUESTS, 0, null, false));
        for (int i = 0; i < 300; i++, now += 10_000) {
            PoolCrossings.RequestCrossing request = startRequest(overloaded, READ, null);
            request.part(now, "oviedo");
            request.recordRefusal(now, Why.HOSTS);
        }
        cross(overloaded, READ, null, 0, CrossingCause.NO_CAPACITY);
    }

    private void cross(ZoneBudgetManager manager, RequestClass requestClass, Long key, int number,
            CrossingCause cause) {
        long before = crossingCounts(manager).attempts(cause);
        startRequest(manager, requestClass, key).startAttempt(now, "o1", number).end(now, Outcome.DELIVERED, 10, 10);
        assertEquals(before + 1, crossingCounts(manager).attempts(cause), cause.reportName());
    }

    private FlowCounts crossingCounts(ZoneBudgetManager manager) {
        FlowCounts crossings = new FlowCounts();
        manager.snapshot(now).flows().forEach((flow, counts) -> {
            if (flow.crosses()) {
                crossings.add(counts);
            }
        });
        return crossings;
    }

    /** A pool that has not received a host list has no zone that could be out. */
    @Test
    void poolWithoutAHostListKeepsToItsBudgets() {
        ZoneBudgetManager manager = new ZoneBudgetManager("g", "bilbao", 1,
                settings(budget("l", CrossingBudget.Unit.REQUESTS, 0, null, false)), now, WALL_MILLIS);
        pool(manager).updateHosts(now, true, List.of());
        pool(manager).updateHosts(now, true, List.of(host("b1", Health.UP), host("o1", Health.UP)));
        assertEquals(0, startRequest(manager, READ, null).part(now, "oviedo"));
    }

    /** Refusals caused by a hard budget are not an overload for which a soft budget beside it may be exceeded. */
    @Test
    void refusalsByAHardBudgetAreNoOverload() {
        ZoneBudgetManager manager = manager(budget("soft", CrossingBudget.Unit.REQUESTS, 0, null, false),
                budget("hard", CrossingBudget.Unit.REQUESTS, 0, "read", true));
        for (int i = 0; i < 600; i++, now += 10_000) {
            PoolCrossings.RequestCrossing request = startRequest(manager, READ, null);
            assertEquals(0, request.part(now, "oviedo"));
            request.recordRefusal(now, Why.ZONES);
            assertEquals(List.of(), pool(manager).budgetOverride().overridingClasses());
        }
    }

    /**
     * Soft budgets may be exceeded when the own zone is out, hard ones not; the excess shows as a negative remainder.
     */
    @Test
    void onlySoftBudgetsMayBeExceeded() {
        for (boolean hard : new boolean[] {false, true}) {
            ZoneBudgetManager manager = manager(budget("l", CrossingBudget.Unit.REQUESTS, 0, null, hard));
            assertEquals(0, startRequest(manager, READ, null).part(now, "oviedo"));
            pool(manager).updateHosts(now, true, List.of(host("o1", Health.UP)));
            PoolCrossings.RequestCrossing request = startRequest(manager, READ, null);
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
        ZoneBudgetManager manager = manager(budget("l", CrossingBudget.Unit.REQUESTS, 600, null, false));
        advance(manager, 10 * SECOND_MICROS);
        startRequest(manager, READ, null).startAttempt(now, "o1", 0).end(now, Outcome.DELIVERED, 10, 20);
        ZoneSnapshot snapshot = manager.snapshot(now);
        ZoneBudgetManager next = manager(budget("l", CrossingBudget.Unit.REQUESTS, 600, null, false));
        next.restore(snapshot, 0);
        assertEquals(30, crossingCounts(next).bytesSent() + crossingCounts(next).bytesReceived());
        assertTrue(next.snapshot(now).budgets().get(0).spent() >= 1);
        ZoneBudgetManager other = new ZoneBudgetManager("other", "bilbao", 1, settings(), now, WALL_MILLIS);
        assertThrows(IllegalArgumentException.class, () -> other.restore(snapshot, 0));
        assertEquals(Map.of(), other.snapshot(now).flows());
    }

    @Test
    void longestMatchingNetworkDecides() {
        ClientNetworks networks =
                new ClientNetworks(List.of(new ClientNetworks.Network(AddressRange.parse("10.0.0.0/8"), "bilbao"),
                new ClientNetworks.Network(AddressRange.parse("10.1.64.0/18"), "oviedo")));
        Object[][] table = {{10, 1, 64, 1, "oviedo"}, {10, 1, 127, 1, "oviedo"}, {10, 1, 128, 1, "bilbao"},
                {11, 1, 64, 1, ""}};
        for (Object[] row : table) {
            assertEquals(row[4], networks.zone(new byte[] {((Integer) row[0]).byteValue(),
                ((Integer) row[1]).byteValue(),
                ((Integer) row[2]).byteValue(), ((Integer) row[3]).byteValue()}));
        }
        assertEquals("", networks.zone(new byte[16]));
    }
}
