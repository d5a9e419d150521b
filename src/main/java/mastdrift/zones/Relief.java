package mastdrift.zones;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether service goes before budgets, for one pool as seen from one zone: where the zone is out, for all classes of the written order; where
 * it can't do all that comes, for one class more each second that it goes on. docs/design/zones.md has the figures' reasons.
 *
 * <p>A slow host is no reason: it answers. What counts is hosts that answer nobody, and requests that were refused while a budget held them
 * back.
 */
public final class Relief {

    /** Microseconds that are judged together. */
    static final long SPAN = 500_000;
    static final int BAD_SPANS = 2;
    static final long STEP = 1_000_000;
    static final long AGAIN = 30_000_000;
    static final long WAIT_MOST = 60_000_000;
    static final long FUTILE_AFTER = 8_000_000;
    static final long FUTILE_FOR = 30_000_000;
    private static final double PART = 0.02;
    private static final int LEAST = 5;
    private static final double HELPS = 0.8;
    private static final double NEWEST = 0.2;
    private static final int FAILURES = 3;
    private static final long UNANSWERED = 1_000_000;

    private static final class Seen {
        private int failures;
        private long answeredAt;
    }

    private List<String> order;
    private long calm;
    private final Map<String, Seen> up = new HashMap<>();
    private boolean told;
    private boolean out;
    private long wholeSince = -1;
    private int level;
    private long wait;
    private long spanAt;
    private int offered;
    private int held;
    private int refused;
    private int badSpans;
    private double refusedPart;
    private double refusedBefore;
    private long givingSince;
    private long steppedAt = Long.MIN_VALUE / 2;
    private long downAt = Long.MIN_VALUE / 2;
    private long heldAt = Long.MIN_VALUE / 2;
    private long futileUntil = Long.MIN_VALUE;

    /** Classes in the order in which they give way, and microseconds without trouble before one of them is held again. */
    public Relief(List<String> order, long calm) {
        change(order, calm);
    }

    /** The operator has changed them. */
    void change(List<String> next, long nextCalm) {
        order = List.copyOf(next);
        calm = nextCalm;
        wait = nextCalm;
        level = Math.min(level, order.size());
    }

    /** The hosts of the own zone that take requests. */
    public void hosts(long now, Set<String> homeUp) {
        told = true;
        up.keySet().retainAll(homeUp);
        homeUp.forEach(uid -> up.computeIfAbsent(uid, any -> {
            Seen seen = new Seen();
            seen.answeredAt = now;
            return seen;
        }));
        judge(now);
    }

    /** A host of the own zone has answered, or has not. */
    public void outcome(long now, String uid, boolean answered) {
        Seen seen = up.get(uid);
        if (seen != null) {
            seen.failures = answered ? 0 : seen.failures + 1;
            seen.answeredAt = answered ? now : seen.answeredAt;
            judge(now);
        }
    }

    private void judge(long now) {
        long failing = up.values().stream().filter(s -> s.failures >= FAILURES && now - s.answeredAt > UNANSWERED).count();
        if (told && (up.isEmpty() || 2 * failing > up.size())) {
            if (!out && now - downAt < AGAIN) {
                wait = Math.min(WAIT_MOST, 2 * wait);
            }
            out = true;
            wholeSince = -1;
        } else if (out && wholeSince < 0) {
            wholeSince = now;
        }
    }

    /** A request has come in. */
    public void offered(long now) {
        advance(now);
        offered++;
    }

    /** A request was refused for the hosts; {@code byBudget} where one held back hosts that might have taken it. */
    public void refused(long now, boolean byBudget) {
        advance(now);
        refused++;
        held += byBudget ? 1 : 0;
    }

    /** Time goes by. */
    public void advance(long now) {
        if (out && wholeSince >= 0 && now - wholeSince >= calm) {
            out = false;
            level = order.size();  // cold hosts don't take all at once: back a class at a time
            steppedAt = now;
            givingSince = now;
            refusedBefore = 1;
        }
        if (now - spanAt >= SPAN) {
            span(now);
            offered = 0;
            held = 0;
            refused = 0;
            spanAt = now;
        }
    }

    private void span(long now) {
        boolean bad = held >= LEAST && held >= PART * offered;
        badSpans = bad ? badSpans + 1 : 0;
        if (held > 0) {
            heldAt = now;
        }
        double part = offered == 0 ? 0 : Math.min(1, (double) refused / offered);
        refusedPart += NEWEST * (part - refusedPart);
        if (out) {
            return;
        }
        if (badSpans >= BAD_SPANS && level < order.size() && now >= futileUntil && now - steppedAt >= STEP) {
            if (level == 0) {
                givingSince = now;
                refusedBefore = Math.max(refusedPart, part);
            }
            if (now - downAt < AGAIN) {
                wait = Math.min(WAIT_MOST, 2 * wait);
            }
            level++;
            steppedAt = now;
        } else if (level > 0 && now - givingSince >= FUTILE_AFTER && refusedPart > PART
                && refusedPart >= HELPS * refusedBefore) {
            level = 0;
            futileUntil = now + FUTILE_FOR;
        } else if (level > 0 && now - Math.max(heldAt, steppedAt) >= wait) {
            level--;
            steppedAt = now;
            downAt = now;
        } else if (level == 0 && now - downAt >= WAIT_MOST) {
            wait = calm;
        }
    }

    /** Whether a class may go beyond budgets now, those that aren't hard. */
    public boolean gives(String className) {
        int at = order.indexOf(className);
        return at >= 0 && (out || at < level);
    }

    /** Whether the own zone is out. */
    public boolean out() {
        return out;
    }

    /** Classes that give way now. */
    public List<String> giving() {
        return out ? order : order.subList(0, level);
    }
}
