package mastdrift.zones;

import java.util.Map;
import java.util.TreeMap;

/**
 * This gateway's part of one budget, in the window that is open: a bucket that fills at what is left over the time that is left. What a
 * quiet time leaves raises the rate of the rest; a bucket holds no more than a sixtieth of the window's amount, so that neither a
 * jump of the clock nor the end of a quiet hour lets much go at once. Crossings reserve ahead and settle afterwards.
 *
 * <p>Parts given away are taken off first (see {@link Escrow}). All amounts in the limit's unit, times in milliseconds of the wall.
 */
final class CrossingAccount {

    /** A bucket holds the pace of so much of a window. */
    static final double BUCKET_WINDOW_FRACTION = 1.0 / 60;
    /** Of a window's part, what may go into paying debts. */
    static final double MAX_REPAYMENT_FRACTION = 0.5;
    // A rate over a shorter time would be none.
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

    /** Opens in the middle of a window, of which the past part is taken for spent. */
    CrossingAccount(CrossingBudget budget, int gatewayCount, long millis) {
        this.budget = budget;
        allotment = budget.amount() / gatewayCount;
        windowStartMillis = budget.window().startMillis(millis);
        windowEndMillis = budget.window().endMillis(millis);
        currentMillis = millis;
        usageSinceMillis = millis;
        granted = allotment * (windowEndMillis - millis) / (windowEndMillis - windowStartMillis);
    }

    CrossingBudget budget() {
        return budget;
    }

    /** The operator has changed it: what was spent stays spent, and the window's part grows or shrinks at once. */
    void updateBudget(CrossingBudget newBudget, int gatewayCount) {
        double previousAllotment = allotment;
        allotment = newBudget.amount() / gatewayCount;
        budget = newBudget;
        granted += allotment - previousAllotment;
        credit = Math.min(credit, Math.max(0, remaining()));
    }

    /** A clock that runs back changes nothing. */
    void advance(long millis) {
        if (millis >= windowEndMillis) {
            startNextWindow(millis);
        }
        if (millis > currentMillis) {
            double capacity = Math.min(granted, Math.max(granted * BUCKET_WINDOW_FRACTION, recentMaxCost));
            double available = remaining() - reserved - Math.max(0, credit);
            if (credit < capacity && available > 0) {
                credit = Math.min(capacity, credit + available * Math.min(1, (double) (millis - currentMillis) / (windowEndMillis - currentMillis)));
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
        credit = -reserved;  // what is out is settled on this window
        transferredOut.clear();
        transferredIn.clear();
    }

    /** What this window's part has left, without what is reserved; below 0 for what is owed. */
    double remaining() {
        return granted - spent;
    }

    /** How easily a crossing of a cost fits: 0 not at all, 1 from half a bucket on. */
    double admissionFraction(double cost) {
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

    /** Ends a reserve with what it really cost. */
    void settle(double reservedCost, double realCost) {
        reserved = Math.max(0, reserved - reservedCost);
        credit += reservedCost - realCost;
        spent += realCost;
    }

    /** A crossing that would have been made with more room. */
    void recordDenied(double cost) {
        denied += cost;
    }

    /** What the window will have used at its end, as it goes. */
    double forecast() {
        long elapsed = currentMillis - usageSinceMillis;
        return elapsed < MIN_FORECAST_SPAN_MILLIS ? spent : spent + spent / elapsed * (windowEndMillis - currentMillis);
    }

    // ---- parts of other gateways

    /** What it would use of the rest of the window beyond what it has; 0 or less for what it has too much of. */
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

    /** Takes it off at once: only then may it be told. */
    void transferOut(String peer, double amount) {
        granted -= amount;
        transferredOut.merge(peer, amount, Double::sum);
    }

    /** A peer has given so much in all in the window that begins then; other windows' and what was taken before don't count. */
    void receiveTransfer(String peer, long windowStart, double total) {
        double increase = total - transferredIn.getOrDefault(peer, 0.0);
        if (windowStart == windowStartMillis && increase > 0) {
            transferredIn.put(peer, total);
            granted += increase;
        }
    }

    // ---- over a restart

    /** What an earlier process gave away in the window that begins then, where nothing else is known of it. */
    void restoreTransfers(long windowStart, Map<String, Double> transfers) {
        if (windowStart == windowStartMillis && transferredOut.isEmpty()) {
            transfers.forEach(this::transferOut);
        }
    }

    AccountState state() {
        return new AccountState(windowStartMillis, currentMillis, granted, spent, reserved, credit, denied, owed, Map.copyOf(transferredOut), Map.copyOf(transferredIn));
    }

    /** Goes on from what was kept, less what may have been spent since: what was out, a bucket, and the pace of at most {@code unsaved} milliseconds.
        Of an earlier window only what is owed counts, and what it has left. */
    void restore(AccountState saved, long maxUnsavedMillis) {
        long now = currentMillis;
        if (saved.windowStartMillis() > windowStartMillis) {
            return;  // from a later window than this: a clock that was wrong, then or now
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
        spent += Math.min(Math.max(0, remaining()), Math.max(0, saved.credit()) + refillRate * Math.max(0, Math.min(maxUnsavedMillis, now - currentMillis)));
        credit = 0;
        if (now >= windowEndMillis) {
            startNextWindow(now);
        }
        currentMillis = Math.max(currentMillis, now);
    }
}
