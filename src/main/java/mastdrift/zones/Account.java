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
final class Account {

    /** A bucket holds the pace of so much of a window. */
    static final double BUCKET = 1.0 / 60;
    /** Of a window's part, what may go into paying debts. */
    static final double REPAID = 0.5;
    // A rate over a shorter time would be none.
    private static final long FORECAST_LEAST = 1_000;

    private Limit limit;
    private double part;
    private long begin;
    private long end;
    private long at;
    private double granted;
    private double spent;
    private double reserved;
    private double credit;
    private double owed;
    private double denied;
    private double asked;
    private long openedAt;
    private final Map<String, Double> given = new TreeMap<>();
    private final Map<String, Double> got = new TreeMap<>();

    /** Opens in the middle of a window, of which the past part is taken for spent. */
    Account(Limit limit, int gateways, long millis) {
        this.limit = limit;
        part = limit.amount() / gateways;
        begin = limit.window().begin(millis);
        end = limit.window().end(millis);
        at = millis;
        openedAt = millis;
        granted = part * (end - millis) / (end - begin);
    }

    Limit limit() {
        return limit;
    }

    /** The operator has changed it: what was spent stays spent, and the window's part grows or shrinks at once. */
    void change(Limit next, int gateways) {
        double before = part;
        part = next.amount() / gateways;
        limit = next;
        granted += part - before;
        credit = Math.min(credit, Math.max(0, left()));
    }

    /** A clock that runs back changes nothing. */
    void advance(long millis) {
        if (millis >= end) {
            roll(millis);
        }
        if (millis > at) {
            double most = Math.min(granted, Math.max(granted * BUCKET, asked));
            double rest = left() - reserved - Math.max(0, credit);
            if (credit < most && rest > 0) {
                credit = Math.min(most, credit + rest * Math.min(1, (double) (millis - at) / (end - at)));
            }
            at = millis;
        }
    }

    private void roll(long millis) {
        double left = left();
        double carried = Math.min(Math.max(0, left), limit.carryMost() * part);
        owed += Math.max(0, -left);
        double paid = Math.min(owed, REPAID * part);
        owed -= paid;
        granted = part + carried - paid;
        begin = limit.window().begin(millis);
        end = limit.window().end(millis);
        at = begin;
        openedAt = begin;
        spent = 0;
        denied = 0;
        credit = -reserved;  // what is out is settled on this window
        given.clear();
        got.clear();
    }

    /** What this window's part has left, without what is reserved; below 0 for what is owed. */
    double left() {
        return granted - spent;
    }

    /** How easily a crossing of a cost fits: 0 not at all, 1 from half a bucket on. */
    double ease(double cost) {
        asked = Math.max(cost, 0.99 * asked);
        double full = Math.min(granted, Math.max(granted * BUCKET, cost));
        if (cost > credit || credit <= 0 || left() - reserved < cost) {
            return cost == 0 && limit.amount() > 0 ? 1 : 0;
        }
        return Math.min(1, 2 * credit / full);
    }

    void reserve(double cost) {
        reserved += cost;
        credit -= cost;
    }

    /** Ends a reserve with what it really cost. */
    void settle(double cost, double real) {
        reserved = Math.max(0, reserved - cost);
        credit += cost - real;
        spent += real;
    }

    /** A crossing that would have been made with more room. */
    void deny(double cost) {
        denied += cost;
    }

    /** What the window will have used at its end, as it goes. */
    double forecast() {
        long passed = at - openedAt;
        return passed < FORECAST_LEAST ? spent : spent + spent / passed * (end - at);
    }

    // ---- parts of other gateways

    /** What it would use of the rest of the window beyond what it has; 0 or less for what it has too much of. */
    double wants() {
        long passed = Math.max(FORECAST_LEAST, at - openedAt);
        return (spent + denied) / passed * (end - at) - (left() - reserved);
    }

    long begin() {
        return begin;
    }

    long end() {
        return end;
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

    Map<String, Double> given() {
        return given;
    }

    /** Takes it off at once: only then may it be told. */
    void give(String peer, double amount) {
        granted -= amount;
        given.merge(peer, amount, Double::sum);
    }

    /** A peer has given so much in all in the window that begins then; other windows' and what was taken before don't count. */
    void take(String peer, long windowBegin, double inAll) {
        double more = inAll - got.getOrDefault(peer, 0.0);
        if (windowBegin == begin && more > 0) {
            got.put(peer, inAll);
            granted += more;
        }
    }

    // ---- over a restart

    /** What an earlier process gave away in the window that begins then, where nothing else is known of it. */
    void gaveBefore(long windowBegin, Map<String, Double> before) {
        if (windowBegin == begin && given.isEmpty()) {
            before.forEach(this::give);
        }
    }

    Kept keep() {
        return new Kept(begin, at, granted, spent, reserved, credit, denied, owed, Map.copyOf(given), Map.copyOf(got));
    }

    /** Goes on from what was kept, less what may have been spent since: what was out, a bucket, and the pace of at most {@code unsaved} milliseconds.
        Of an earlier window only what is owed counts, and what it has left. */
    void restore(Kept kept, long unsaved) {
        long now = at;
        if (kept.begin() > begin) {
            return;  // from a later window than this: a clock that was wrong, then or now
        }
        begin = limit.window().begin(kept.begin());
        end = limit.window().end(kept.begin());
        granted = kept.granted();
        spent = kept.spent() + kept.reserved();
        owed = kept.owed();
        denied = kept.denied();
        given.putAll(kept.given());
        got.putAll(kept.got());
        openedAt = begin;
        at = Math.max(begin, Math.min(kept.savedAt(), end - 1));
        double pace = Math.max(0, left()) / (end - at);
        spent += Math.min(Math.max(0, left()), Math.max(0, kept.credit()) + pace * Math.max(0, Math.min(unsaved, now - at)));
        credit = 0;
        if (now >= end) {
            roll(now);
        }
        at = Math.max(at, now);
    }
}
