package mastdrift.zones;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides for one pool, as seen from one zone, which request classes may exceed budgets that are not hard. While the
 * zone is out, all classes of the configured order may; while the zone is overloaded, one class more may each second
 * that the overload lasts. The reasons for the constants are in docs/design/zones.md.
 *
 * <p>A slow host does not count, since it answers. What counts is hosts that answer no requests, and requests that were
 * refused while a budget held them back.
 */
public final class BudgetOverride {

    /** Length of an evaluation interval. */
    static final long EVALUATION_INTERVAL_MICROS = 500_000;
    /** Consecutive overloaded intervals before one more class may exceed budgets. */
    static final int MIN_OVERLOADED_INTERVALS = 2;
    /** Least time between two steps up. */
    static final long MIN_STEP_INTERVAL_MICROS = 1_000_000;
    /** An overload or outage this soon after a step down doubles the delay before the next step down. */
    static final long RELAPSE_WINDOW_MICROS = 30_000_000;
    /** Upper bound of the step-down delay, and the time without a step down after which the delay is reset. */
    static final long MAX_STEP_DOWN_DELAY_MICROS = 60_000_000;
    /** Time after the first step up from which the effect on refusals is checked. */
    static final long FUTILITY_CHECK_DELAY_MICROS = 8_000_000;
    /** Time without steps up after exceeding budgets has not reduced refusals. */
    static final long FUTILITY_BACKOFF_MICROS = 30_000_000;
    // An interval is overloaded if budgets held back this fraction of its requests, and at least MIN_OVERLOAD_REFUSALS.
    private static final double OVERLOAD_REFUSED_FRACTION = 0.02;
    private static final int MIN_OVERLOAD_REFUSALS = 5;
    // Exceeding budgets is futile if this fraction of the earlier refusals remains.
    private static final double FUTILE_REMAINING_FRACTION = 0.8;
    // Weight of the newest interval in the moving average of the refused fraction.
    private static final double EWMA_WEIGHT = 0.2;
    // A host fails after this many consecutive failures without an answer for MIN_UNANSWERED_MICROS.
    private static final int MIN_CONSECUTIVE_FAILURES = 3;
    private static final long MIN_UNANSWERED_MICROS = 1_000_000;

    private static final class HostHealth {
        private int consecutiveFailures;
        private long lastAnswerMicros;
    }

    private List<String> classOrder;
    private long recoveryDelayMicros;
    private final Map<String, HostHealth> healthByHost = new HashMap<>();
    private boolean hostsKnown;
    private boolean zoneOut;
    private long recoveredSince = -1;
    private int overridingClassCount;
    private long stepDownDelayMicros;
    private long intervalStart;
    private int requestCount;
    private int heldBackCount;
    private int refusedCount;
    private int overloadedIntervals;
    private double refusedFraction;
    private double refusedFractionBefore;
    private long overridingSince;
    private long lastStepAt = Long.MIN_VALUE / 2;
    private long lastStepDownAt = Long.MIN_VALUE / 2;
    private long lastHeldBackAt = Long.MIN_VALUE / 2;
    private long suspendedUntil = Long.MIN_VALUE;

    /**
     * {@code classOrder} lists the classes in the order in which they may exceed budgets; {@code recoveryDelayMicros}
     * is the time without trouble after which the last of them is held to its budgets again.
     */
    public BudgetOverride(List<String> classOrder, long recoveryDelayMicros) {
        configure(classOrder, recoveryDelayMicros);
    }

    /** Applies changed settings. */
    void configure(List<String> newClassOrder, long newRecoveryDelayMicros) {
        classOrder = List.copyOf(newClassOrder);
        recoveryDelayMicros = newRecoveryDelayMicros;
        stepDownDelayMicros = newRecoveryDelayMicros;
        overridingClassCount = Math.min(overridingClassCount, classOrder.size());
    }

    /** Updates the hosts of the own zone that take requests. */
    public void updateHosts(long now, Set<String> hostsUp) {
        hostsKnown = true;
        healthByHost.keySet().retainAll(hostsUp);
        hostsUp.forEach(hostAddress -> healthByHost.computeIfAbsent(hostAddress, any -> {
            HostHealth health = new HostHealth();
            health.lastAnswerMicros = now;
            return health;
        }));
        evaluateHosts(now);
    }

    /** Records whether a host of the own zone answered. */
    public void recordOutcome(long now, String hostAddress, boolean answered) {
        HostHealth health = healthByHost.get(hostAddress);
        if (health != null) {
            health.consecutiveFailures = answered ? 0 : health.consecutiveFailures + 1;
            health.lastAnswerMicros = answered ? now : health.lastAnswerMicros;
            evaluateHosts(now);
        }
    }

    private void evaluateHosts(long now) {
        long failing = healthByHost.values().stream()
                .filter(s -> s.consecutiveFailures >= MIN_CONSECUTIVE_FAILURES
                        && now - s.lastAnswerMicros > MIN_UNANSWERED_MICROS).count();
        if (hostsKnown && (healthByHost.isEmpty() || 2 * failing > healthByHost.size())) {
            if (!zoneOut && now - lastStepDownAt < RELAPSE_WINDOW_MICROS) {
                stepDownDelayMicros = Math.min(MAX_STEP_DOWN_DELAY_MICROS, 2 * stepDownDelayMicros);
            }
            zoneOut = true;
            recoveredSince = -1;
        } else if (zoneOut && recoveredSince < 0) {
            recoveredSince = now;
        }
    }

    /** Records an incoming request. */
    public void recordRequest(long now) {
        advance(now);
        requestCount++;
    }

    /**
     * Records a request refused for lack of hosts; {@code heldBackByBudget} if a budget that is not hard held back
     * hosts that might have taken it.
     */
    public void recordRefusal(long now, boolean heldBackByBudget) {
        advance(now);
        refusedCount++;
        heldBackCount += heldBackByBudget ? 1 : 0;
    }

    /**
     * Advances to the given time: ends an outage after the recovery delay, and evaluates an interval that is complete.
     */
    public void advance(long now) {
        if (zoneOut && recoveredSince >= 0 && now - recoveredSince >= recoveryDelayMicros) {
            zoneOut = false;
            // hosts are cold after an outage: classes return to the zone one at a time
            overridingClassCount = classOrder.size();
            lastStepAt = now;
            overridingSince = now;
            refusedFractionBefore = 1;
        }
        if (now - intervalStart >= EVALUATION_INTERVAL_MICROS) {
            evaluateInterval(now);
            requestCount = 0;
            heldBackCount = 0;
            refusedCount = 0;
            intervalStart = now;
        }
    }

    private void evaluateInterval(long now) {
        boolean overloaded = heldBackCount >= MIN_OVERLOAD_REFUSALS
                && heldBackCount >= OVERLOAD_REFUSED_FRACTION * requestCount;
        overloadedIntervals = overloaded ? overloadedIntervals + 1 : 0;
        if (heldBackCount > 0) {
            lastHeldBackAt = now;
        }
        double fraction = requestCount == 0 ? 0 : Math.min(1, (double) refusedCount / requestCount);
        refusedFraction += EWMA_WEIGHT * (fraction - refusedFraction);
        if (zoneOut) {
            return;
        }
        if (overloadedIntervals >= MIN_OVERLOADED_INTERVALS && overridingClassCount < classOrder.size()
                && now >= suspendedUntil && now - lastStepAt >= MIN_STEP_INTERVAL_MICROS) {
            if (overridingClassCount == 0) {
                overridingSince = now;
                refusedFractionBefore = Math.max(refusedFraction, fraction);
            }
            if (now - lastStepDownAt < RELAPSE_WINDOW_MICROS) {
                stepDownDelayMicros = Math.min(MAX_STEP_DOWN_DELAY_MICROS, 2 * stepDownDelayMicros);
            }
            overridingClassCount++;
            lastStepAt = now;
        } else if (overridingClassCount > 0 && now - overridingSince >= FUTILITY_CHECK_DELAY_MICROS
                && refusedFraction > OVERLOAD_REFUSED_FRACTION
                && refusedFraction >= FUTILE_REMAINING_FRACTION * refusedFractionBefore) {
            overridingClassCount = 0;
            suspendedUntil = now + FUTILITY_BACKOFF_MICROS;
        } else if (overridingClassCount > 0 && now - Math.max(lastHeldBackAt, lastStepAt) >= stepDownDelayMicros) {
            overridingClassCount--;
            lastStepAt = now;
            lastStepDownAt = now;
        } else if (overridingClassCount == 0 && now - lastStepDownAt >= MAX_STEP_DOWN_DELAY_MICROS) {
            stepDownDelayMicros = recoveryDelayMicros;
        }
    }

    /** Whether a class may exceed budgets that are not hard at present. */
    public boolean mayExceedBudgets(String className) {
        int position = classOrder.indexOf(className);
        return position >= 0 && (zoneOut || position < overridingClassCount);
    }

    /** Whether the own zone is out. */
    public boolean isZoneOut() {
        return zoneOut;
    }

    /** The classes that may exceed budgets at present. */
    public List<String> overridingClasses() {
        return zoneOut ? classOrder : classOrder.subList(0, overridingClassCount);
    }
}
