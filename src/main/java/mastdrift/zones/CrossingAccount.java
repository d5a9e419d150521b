package mastdrift.zones;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * This gateway's account of one budget in the current window: a token bucket that refills at the amount that remains
 * divided by the time that remains. What is not used early in the window raises the rate of the rest. The bucket holds
 * at most a sixtieth of the amount granted for the window (or one crossing, if that costs more), so that neither a jump
 * of the clock nor the end of an idle hour admits a large burst. Crossings reserve an estimated cost when they start
 * and settle the real cost when they end.
 *
 * <p>Amounts transferred to other gateways are subtracted before they are announced (see {@link Escrow}). All amounts
 * are in the budget's unit, all times in milliseconds of the wall clock since 1970.
 */
final class CrossingAccount {

    /** Bucket capacity as a fraction of the amount granted for the window. */
    static final double BUCKET_WINDOW_FRACTION = 1.0 / 60;
    /** Largest fraction of a window's allotment that repays debt of earlier windows. */
    static final double MAX_REPAYMENT_FRACTION = 0.5;
    // Over a shorter time a rate can't be extrapolated.
    private static final long MIN_FORECAST_SPAN_MILLIS = 1_000;

    private CrossingBudget budget;
    private double allotment;
    private long windowStartMillis;
    private long windowEndMillis;
    private long currentMillis;
    private double granted;
    private double spent;
    private double reserved;
    private double credit;
    private double owed;
    private double denied;
    private double recentMaxCost;
    private long usageSinceMillis;
    private final Map<String, Double> transferredOut = new TreeMap<>();
    private final Map<String, Double> transferredIn = new TreeMap<>();
    private boolean startedInWindow;  // an earlier process may have used the current window
    private final Set<String> peersHeard = new HashSet<>();  // in the window in which this process started

    /** Starts in the middle of a window; the allotment of the time that has passed is assumed spent. */
    CrossingAccount(CrossingBudget budget, int gatewayCount, long millis) {
        this.budget = budget;
        allotment = budget.amount() / gatewayCount;
        windowStartMillis = budget.window().startMillis(millis);
        windowEndMillis = budget.window().endMillis(millis);
        currentMillis = millis;
        usageSinceMillis = millis;
        granted = allotment * (windowEndMillis - millis) / (windowEndMillis - windowStartMillis);
        startedInWindow = millis > windowStartMillis;
    }

    CrossingBudget budget() {
        return budget;
    }

    /**
     * Applies a changed budget: what was spent stays spent, and the grant of the current window grows or shrinks at
     * once.
     */
    void updateBudget(CrossingBudget newBudget, int gatewayCount) {
        double previousAllotment = allotment;
        allotment = newBudget.amount() / gatewayCount;
        budget = newBudget;
        granted += allotment - previousAllotment;
        credit = Math.min(credit, Math.max(0, remaining()));
    }

    /**
     * Refills the bucket up to this time and starts the next window when this one has ended. A time before the last one
     * changes nothing.
     */
    void advance(long millis) {
        if (millis >= windowEndMillis) {
            startNextWindow(millis);
        }
        if (millis > currentMillis) {
            double capacity = Math.min(granted, Math.max(granted * BUCKET_WINDOW_FRACTION, recentMaxCost));
            double available = remaining() - reserved - Math.max(0, credit);
            if (credit < capacity && available > 0) {
                credit = Math.min(capacity,
                        credit + available
                                * Math.min(1, (double) (millis - currentMillis) / (windowEndMillis - currentMillis)));
            }
            currentMillis = millis;
        }
    }

    private void startNextWindow(long millis) {
        double remaining = remaining();
        double carried = Math.min(Math.max(0, remaining), budget.maxCarryFraction() * allotment);
        owed += Math.max(0, -remaining);
        double repayment = Math.min(owed, MAX_REPAYMENT_FRACTION * allotment);
        owed -= repayment;
        granted = allotment + carried - repayment;
        windowStartMillis = budget.window().startMillis(millis);
        windowEndMillis = budget.window().endMillis(millis);
        currentMillis = windowStartMillis;
        usageSinceMillis = windowStartMillis;
        spent = 0;
        denied = 0;
        credit = -reserved;  // crossings under way settle in the new window
        transferredOut.clear();
        transferredIn.clear();
        startedInWindow = false;
        peersHeard.clear();
    }

    /** What remains of the grant, reservations not subtracted; below 0 where more was spent than granted. */
    double remaining() {
        return granted - spent;
    }

    /**
     * The fraction of crossings of this cost to admit: 0 if it does not fit, rising to 1 when the bucket is half full.
     * Also records the cost, from which the bucket's capacity is sized.
     */
    double admissionFraction(double cost) {
        // Largest recent cost: decays by 1 % a call, so that the bucket can hold one crossing of this size.
        recentMaxCost = Math.max(cost, 0.99 * recentMaxCost);
        double capacity = Math.min(granted, Math.max(granted * BUCKET_WINDOW_FRACTION, cost));
        if (cost > credit || credit <= 0 || remaining() - reserved < cost) {
            return cost == 0 && budget.amount() > 0 ? 1 : 0;
        }
        return Math.min(1, 2 * credit / capacity);
    }

    void reserve(double cost) {
        reserved += cost;
        credit -= cost;
    }

    /** Replaces a reservation by the real cost. */
    void settle(double reservedCost, double realCost) {
        reserved = Math.max(0, reserved - reservedCost);
        credit += reservedCost - realCost;
        spent += realCost;
    }

    /** Counts a crossing that the budget held back as demand. */
    void recordDenied(double cost) {
        denied += cost;
    }

    /** What the window will have used at its end, extrapolated from the usage so far. */
    double forecast() {
        long elapsed = currentMillis - usageSinceMillis;
        return elapsed < MIN_FORECAST_SPAN_MILLIS ? spent : spent + spent / elapsed * (windowEndMillis - currentMillis);
    }

    // ---- transfers between gateways

    /** What it expects to use in the rest of the window beyond what it has; 0 or less is a surplus. */
    double expectedShortfall() {
        long elapsed = Math.max(MIN_FORECAST_SPAN_MILLIS, currentMillis - usageSinceMillis);
        return (spent + denied) / elapsed * (windowEndMillis - currentMillis) - (remaining() - reserved);
    }

    long windowStartMillis() {
        return windowStartMillis;
    }

    long windowEndMillis() {
        return windowEndMillis;
    }

    double spent() {
        return spent;
    }

    double granted() {
        return granted;
    }

    double owed() {
        return owed;
    }

    double credit() {
        return credit;
    }

    Map<String, Double> transferredOut() {
        return transferredOut;
    }

    /** Subtracts the amount before the peer is told of it, so that it can't be spent twice. */
    void transferOut(String peer, double amount) {
        granted -= amount;
        transferredOut.merge(peer, amount, Double::sum);
    }

    /**
     * Adds what a peer has transferred in total in the window that starts at windowStart. Ignores other windows and the
     * part of the total that was added before. What had been transferred when this process first hears of a peer, in the
     * window in which it started, may have been added and spent by an earlier process and is not added again.
     */
    void receiveTransfer(String peer, long windowStart, double total) {
        double increase = total - transferredIn.getOrDefault(peer, 0.0);
        if (windowStart != windowStartMillis) {
            return;
        }
        boolean mayBeSpent = startedInWindow && peersHeard.add(peer);
        if (increase > 0) {
            transferredIn.put(peer, total);
            granted += mayBeSpent ? 0 : increase;
        }
    }

    // ---- restart

    /**
     * Subtracts what an earlier process transferred to peers in the window that starts at windowStart, unless transfers
     * are already known.
     */
    void restoreTransfers(long windowStart, Map<String, Double> transfers) {
        if (windowStart == windowStartMillis && transferredOut.isEmpty()) {
            transfers.forEach(this::transferOut);
        }
    }

    AccountState state() {
        return new AccountState(windowStartMillis, currentMillis, granted, spent, reserved, credit, denied, owed,
                Map.copyOf(transferredOut), Map.copyOf(transferredIn));
    }

    /**
     * Continues from a saved state, less what may have been spent since it was saved: the open reservations, the
     * bucket's content, and the refill of at most {@code maxUnsavedMillis}. Of an earlier window only debt and
     * carry-over count.
     */
    void restore(AccountState saved, long maxUnsavedMillis) {
        long now = currentMillis;
        if (saved.windowStartMillis() > windowStartMillis) {
            return;  // from a later window than the current one: the clock was wrong then or is wrong now
        }
        windowStartMillis = budget.window().startMillis(saved.windowStartMillis());
        windowEndMillis = budget.window().endMillis(saved.windowStartMillis());
        granted = saved.granted();
        spent = saved.spent() + saved.reserved();
        owed = saved.owed();
        denied = saved.denied();
        transferredOut.putAll(saved.transferredOut());
        transferredIn.putAll(saved.transferredIn());
        usageSinceMillis = windowStartMillis;
        currentMillis = Math.max(windowStartMillis, Math.min(saved.savedAtMillis(), windowEndMillis - 1));
        double refillRate = Math.max(0, remaining()) / (windowEndMillis - currentMillis);
        spent += Math.min(Math.max(0, remaining()), Math.max(0, saved.credit())
                + refillRate * Math.max(0, Math.min(maxUnsavedMillis, now - currentMillis)));
        credit = 0;
        if (now >= windowEndMillis) {
            startNextWindow(now);
        }
        currentMillis = Math.max(currentMillis, now);
        startedInWindow = now > windowStartMillis;
    }
}
