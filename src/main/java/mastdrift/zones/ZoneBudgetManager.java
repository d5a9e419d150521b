package mastdrift.zones;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One gateway's traffic across zones: counters, budgets, and the per-pool views. A crossing counts against every budget
 * that covers it. Times are in microseconds of the gateway's clock unless stated otherwise. Not thread-safe.
 */
public final class ZoneBudgetManager {

    // Estimated bytes in each direction before the first crossing of a class; more than small requests move.
    private static final double INITIAL_SIZE_BYTES = 4_096;
    // Decay per crossing of the estimate, which is the largest recent size: the fraction of its distance to the current
    // size.
    private static final double SIZE_DECAY_FRACTION = 0.02;
    private static final int MAX_CLASSES = 256;

    private static final class SizeEstimate {
        private double bytesSent = INITIAL_SIZE_BYTES;
        private double bytesReceived = INITIAL_SIZE_BYTES;

        void update(long actualBytesSent, long actualBytesReceived) {
            bytesSent = Math.max(actualBytesSent, bytesSent + SIZE_DECAY_FRACTION * (actualBytesSent - bytesSent));
            bytesReceived = Math.max(actualBytesReceived,
                    bytesReceived + SIZE_DECAY_FRACTION * (actualBytesReceived - bytesReceived));
        }
    }

    /** One crossing's reservation in one budget. */
    private record BudgetReservation(CrossingAccount account, double cost) { }

    private final String gateway;
    private final String zone;
    private final int gatewayCount;
    private final StepFilteredClock clock;
    private final FlowCounters counters = new FlowCounters();
    private final KeyZoneTable keyZones = new KeyZoneTable(KeyZoneTable.MAX_KEYS);
    private final Map<String, SizeEstimate> sizeEstimates = new HashMap<>();
    private final Map<String, CrossingAccount> accountByBudget = new LinkedHashMap<>();
    private final Map<String, PoolCrossings> pools = new TreeMap<>();
    private final Escrow escrow;
    private ZoneSettings settings;
    private long lastNowMicros;

    /**
     * {@code gateway} is this gateway's name, {@code gatewayCount} the number of gateways that share the budgets,
     * {@code wallMillis} the wall clock in milliseconds since 1970.
     */
    public ZoneBudgetManager(String gateway, String zone, int gatewayCount, ZoneSettings settings, long now,
            long wallMillis) {
        this.gateway = gateway;
        this.zone = zone;
        this.gatewayCount = gatewayCount;
        lastNowMicros = now;
        clock = new StepFilteredClock(now, wallMillis);
        escrow = new Escrow(gateway);
        configure(settings);
    }

    /**
     * Applies changed budgets, prices or class orders; counts and what was spent stay. A budget continues if its name,
     * window and unit are unchanged.
     */
    public void configure(ZoneSettings newSettings) {
        Map<String, CrossingAccount> previousAccounts = new LinkedHashMap<>(accountByBudget);
        accountByBudget.clear();
        for (CrossingBudget budget : newSettings.budgets()) {
            CrossingAccount known = previousAccounts.get(budget.name());
            if (known != null && known.budget().window() == budget.window() && known.budget().unit() == budget.unit()) {
                known.updateBudget(budget, gatewayCount);
                accountByBudget.put(budget.name(), known);
            } else {
                accountByBudget.put(budget.name(), new CrossingAccount(budget, gatewayCount,
                        clock.wallMillis(lastNowMicros)));
            }
        }
        settings = newSettings;
        pools.values().forEach(pool -> pool.budgetOverride()
                .configure(newSettings.overrideClasses(), newSettings.recoveryDelayMicros()));
    }

    /** Advances to the given time; {@code wallMillis} is the wall clock. Must be called several times a second. */
    public void tick(long now, long wallMillis) {
        lastNowMicros = Math.max(lastNowMicros, now);
        clock.tick(now, wallMillis);
        long filteredMillis = clock.wallMillis(now);
        accountByBudget.values().forEach(account -> account.advance(filteredMillis));
        escrow.rebalance(filteredMillis, accountByBudget.values());
        pools.values().forEach(pool -> pool.budgetOverride().advance(now));
    }

    /** The view of a pool; the same object for the same name. */
    public PoolCrossings pool(String name) {
        return pools.computeIfAbsent(name, any -> new PoolCrossings(this, name,
                new BudgetOverride(settings.overrideClasses(), settings.recoveryDelayMicros())));
    }

    /** Removes a pool; its counts stay. */
    public void removePool(String name) {
        pools.remove(name);
    }

    String zone() {
        return zone;
    }

    boolean hasBudgets() {
        return !accountByBudget.isEmpty();
    }

    KeyZoneTable keyZones() {
        return keyZones;
    }

    FlowCounts counts(Flow flow) {
        return counters.counts(flow);
    }

    // ---- budgets

    private SizeEstimate sizeEstimate(String className) {
        SizeEstimate known = sizeEstimates.get(className);
        if (known == null) {
            known = sizeEstimates.size() < MAX_CLASSES
                    ? sizeEstimates.computeIfAbsent(className, any -> new SizeEstimate()) : new SizeEstimate();
        }
        return known;
    }

    private double cost(CrossingBudget budget, String toZone, double bytesSent, double bytesReceived) {
        return switch (budget.unit()) {
            case BYTES -> bytesSent + bytesReceived;
            case REQUESTS -> 1;
            case MONEY -> ZoneSnapshot.cost(settings.prices(), zone, toZone, (long) bytesSent, (long) bytesReceived, 1);
        };
    }

    /**
     * The fraction of crossings to admit by all budgets that cover them, 0 to 1; with {@code hardOnly}, only hard
     * budgets are considered.
     */
    double admissionFraction(long now, String toZone, String className, String tenant, String pool, boolean hardOnly) {
        double fraction = 1;
        SizeEstimate estimate = sizeEstimate(className);
        for (CrossingAccount account : accountByBudget.values()) {
            CrossingBudget budget = account.budget();
            if (budget.covers(toZone, className, tenant, pool) && (budget.hard() || !hardOnly)) {
                account.advance(clock.wallMillis(now));
                fraction = Math.min(fraction, account.admissionFraction(cost(budget, toZone, estimate.bytesSent,
                        estimate.bytesReceived)));
            }
        }
        return fraction;
    }

    /** Counts a crossing that a budget held back as demand. */
    void recordDenied(String toZone, String className, String tenant, String pool) {
        SizeEstimate estimate = sizeEstimate(className);
        accountByBudget.values().stream().filter(account -> account.budget().covers(toZone, className, tenant, pool))
                .forEach(account -> account.recordDenied(cost(account.budget(), toZone, estimate.bytesSent,
                        estimate.bytesReceived)));
    }

    /** One crossing's reservations in all budgets that cover it. */
    final class CrossingReservation {
        private final String toZone;
        private final String className;
        private final List<BudgetReservation> reservations = new ArrayList<>(2);

        CrossingReservation(long now, String toZone, String className, String tenant, String pool) {
            this.toZone = toZone;
            this.className = className;
            SizeEstimate estimate = sizeEstimate(className);
            for (CrossingAccount account : accountByBudget.values()) {
                if (account.budget().covers(toZone, className, tenant, pool)) {
                    account.advance(clock.wallMillis(now));
                    double cost = cost(account.budget(), toZone, estimate.bytesSent, estimate.bytesReceived);
                    account.reserve(cost);
                    reservations.add(new BudgetReservation(account, cost));
                }
            }
        }

        /** Replaces the reservations by the real cost, which is 0 if nothing was sent. */
        void settle(long now, long bytesSent, long bytesReceived) {
            boolean anySent = bytesSent > 0;
            if (anySent) {
                sizeEstimate(className).update(bytesSent, bytesReceived);
            }
            for (BudgetReservation reservation : reservations) {
                reservation.account.advance(clock.wallMillis(now));
                reservation.account.settle(reservation.cost, anySent
                        ? cost(reservation.account.budget(), toZone, bytesSent, bytesReceived) : 0);
            }
        }
    }

    /**
     * Charges bytes that no request reserved for: probes and bytes that belong to no attempt. No budget holds them
     * back.
     */
    void charge(long now, String toZone, String pool, long bytesSent, long bytesReceived, int attempts) {
        for (CrossingAccount account : accountByBudget.values()) {
            CrossingBudget budget = account.budget();
            if (budget.covers(toZone, Flow.NO_CLASS, "", pool)) {
                account.advance(clock.wallMillis(now));
                account.settle(0, switch (budget.unit()) {
                    case BYTES -> bytesSent + bytesReceived;
                    case REQUESTS -> attempts;
                    case MONEY -> ZoneSnapshot.cost(settings.prices(), zone, toZone, bytesSent, bytesReceived,
                            attempts);
                });
            }
        }
    }

    // ---- other gateways, and restart

    /** Takes another gateway's announcement; returns whether it was stored. */
    public boolean receive(Escrow.Announcement announcement) {
        return escrow.receive(announcement);
    }

    /**
     * Applies the last announcement of an earlier process of this gateway to budgets for which no transfers are known.
     */
    public void restoreTransfers(Escrow.Announcement earlier) {
        earlier.budgets().forEach((name, budget) -> {
            CrossingAccount account = accountByBudget.get(name);
            if (account != null && earlier.gateway().equals(gateway)) {
                account.restoreTransfers(budget.windowStartMillis(), budget.transferredOut());
            }
        });
    }

    /** This gateway's own announcement. */
    public Escrow.Announcement announcement(long now) {
        return escrow.announcement(clock.wallMillis(now), accountByBudget.values());
    }

    /** A snapshot of counts and budgets at this moment. */
    public ZoneSnapshot snapshot(long now) {
        long wallMillis = clock.wallMillis(now);
        List<ZoneSnapshot.BudgetStatus> budgets = new ArrayList<>();
        for (CrossingAccount account : accountByBudget.values()) {
            account.advance(wallMillis);
            budgets.add(new ZoneSnapshot.BudgetStatus(account.budget(), account.windowEndMillis(), account.forecast(),
                    account.state()));
        }
        Map<String, List<String>> overridingClasses = new TreeMap<>();
        pools.forEach((name, pool) -> {
            if (!pool.budgetOverride().overridingClasses().isEmpty()) {
                overridingClasses.put(name, List.copyOf(pool.budgetOverride().overridingClasses()));
            }
        });
        return new ZoneSnapshot(gateway, zone, wallMillis, counters.copy(), budgets, settings.prices(),
                overridingClasses);
    }

    /**
     * Continues from the snapshot of an earlier process of the same gateway; {@code maxUnsavedMillis} is the longest
     * time between two saves. Must be called before anything is counted. Throws IllegalArgumentException, with nothing
     * changed, for a snapshot of another gateway or zone.
     */
    public void restore(ZoneSnapshot earlier, long maxUnsavedMillis) {
        if (!earlier.gateway().equals(gateway) || !earlier.zone().equals(zone)) {
            throw new IllegalArgumentException("expected the state of gateway " + gateway + " in " + zone
                    + ", found that of "
                    + earlier.gateway() + " in " + earlier.zone());
        }
        counters.add(earlier.flows());
        for (ZoneSnapshot.BudgetStatus budget : earlier.budgets()) {
            CrossingAccount account = accountByBudget.get(budget.configured().name());
            if (account != null && account.budget().window() == budget.configured().window()
                    && account.budget().unit() == budget.configured().unit()) {
                AccountState saved = budget.account();
                CrossingBudget configured = account.budget();
                // the saved grant was computed from the amount at that time
                account.updateBudget(budget.configured(), gatewayCount);
                account.restore(saved, maxUnsavedMillis);
                account.updateBudget(configured, gatewayCount);
            }
        }
    }
}
