package mastdrift.zones;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One gateway's traffic across zones: the book, the budgets, and what pools ask of them. A crossing goes by every budget that covers it.
 * Times in microseconds of the gateway's clock where nothing else is said; one thread.
 */
public final class Zoning {

    // What a crossing is thought to move before any of its class has: more than small requests do.
    private static final double GUESS = 4_096;
    // The largest of late counts: it falls by this part of the way a crossing.
    private static final double FADE = 0.02;
    private static final int CLASSES_MOST = 256;

    private static final class Usual {
        private double sent = GUESS;
        private double received = GUESS;

        void learn(long out, long in) {
            sent = Math.max(out, sent + FADE * (out - sent));
            received = Math.max(in, received + FADE * (in - received));
        }
    }

    /** What one crossing holds of one budget. */
    private record Hold(Account account, double cost) { }

    private final String gateway;
    private final String zone;
    private final int gateways;
    private final SteadyClock clock;
    private final Book book = new Book();
    private final KeyZones keys = new KeyZones(KeyZones.MOST);
    private final Map<String, Usual> usual = new HashMap<>();
    private final Map<String, Account> accounts = new LinkedHashMap<>();
    private final Map<String, PoolZones> pools = new TreeMap<>();
    private final Escrow escrow;
    private ZoneSettings settings;
    private long lastNow;

    /** {@code gateway} is its name among {@code gateways}, {@code millis} the wall clock's since 1970. */
    public Zoning(String gateway, String zone, int gateways, ZoneSettings settings, long now, long millis) {
        this.gateway = gateway;
        this.zone = zone;
        this.gateways = gateways;
        lastNow = now;
        clock = new SteadyClock(now, millis);
        escrow = new Escrow(gateway);
        configure(settings);
    }

    /** Other budgets, prices or orders: what was counted and spent stays. Budgets go on by name, window and unit. */
    public void configure(ZoneSettings next) {
        Map<String, Account> before = new LinkedHashMap<>(accounts);
        accounts.clear();
        for (Limit limit : next.limits()) {
            Account known = before.get(limit.name());
            if (known != null && known.limit().window() == limit.window() && known.limit().unit() == limit.unit()) {
                known.change(limit, gateways);
                accounts.put(limit.name(), known);
            } else {
                accounts.put(limit.name(), new Account(limit, gateways, clock.millis(lastNow)));
            }
        }
        settings = next;
        pools.values().forEach(pool -> pool.relief().change(next.giveWay(), next.calm()));
    }

    /** The wall clock's milliseconds; to be told several times a second. */
    public void tick(long now, long millis) {
        lastNow = Math.max(lastNow, now);
        clock.tick(now, millis);
        long wall = clock.millis(now);
        accounts.values().forEach(account -> account.advance(wall));
        escrow.settle(wall, accounts.values());
        pools.values().forEach(pool -> pool.relief().advance(now));
    }

    /** The view of one pool, the same for the same name. */
    public PoolZones pool(String name) {
        return pools.computeIfAbsent(name, any -> new PoolZones(this, name, new Relief(settings.giveWay(), settings.calm())));
    }

    /** A pool is gone; its counts stay. */
    public void closed(String name) {
        pools.remove(name);
    }

    String zone() {
        return zone;
    }

    boolean bounds() {
        return !accounts.isEmpty();
    }

    KeyZones keys() {
        return keys;
    }

    Counts counts(Flow flow) {
        return book.of(flow);
    }

    // ---- budgets

    private Usual usual(String className) {
        Usual known = usual.get(className);
        if (known == null) {
            known = usual.size() < CLASSES_MOST ? usual.computeIfAbsent(className, any -> new Usual()) : new Usual();
        }
        return known;
    }

    private double cost(Limit limit, String to, double sent, double received) {
        return switch (limit.unit()) {
            case BYTES -> sent + received;
            case REQUESTS -> 1;
            case MONEY -> Snapshot.money(settings.prices(), zone, to, (long) sent, (long) received, 1);
        };
    }

    /** How easily a crossing fits all budgets that cover it, 0 to 1; with {@code hardOnly}, those that service doesn't go before. */
    double ease(long now, String to, String className, String tenant, String pool, boolean hardOnly) {
        double ease = 1;
        Usual moves = usual(className);
        for (Account account : accounts.values()) {
            Limit limit = account.limit();
            if (limit.covers(to, className, tenant, pool) && (limit.hard() || !hardOnly)) {
                account.advance(clock.millis(now));
                ease = Math.min(ease, account.ease(cost(limit, to, moves.sent, moves.received)));
            }
        }
        return ease;
    }

    /** A crossing that a budget held back. */
    void deny(String to, String className, String tenant, String pool) {
        Usual moves = usual(className);
        accounts.values().stream().filter(account -> account.limit().covers(to, className, tenant, pool))
                .forEach(account -> account.deny(cost(account.limit(), to, moves.sent, moves.received)));
    }

    /** What a crossing holds until it ends. */
    final class Reserve {
        private final String to;
        private final String className;
        private final List<Hold> holds = new ArrayList<>(2);

        Reserve(long now, String to, String className, String tenant, String pool) {
            this.to = to;
            this.className = className;
            Usual moves = usual(className);
            for (Account account : accounts.values()) {
                if (account.limit().covers(to, className, tenant, pool)) {
                    account.advance(clock.millis(now));
                    double cost = cost(account.limit(), to, moves.sent, moves.received);
                    account.reserve(cost);
                    holds.add(new Hold(account, cost));
                }
            }
        }

        /** With nothing sent it costs nothing. */
        void settle(long now, long sent, long received) {
            boolean went = sent > 0;
            if (went) {
                usual(className).learn(sent, received);
            }
            for (Hold hold : holds) {
                hold.account.advance(clock.millis(now));
                hold.account.settle(hold.cost, went ? cost(hold.account.limit(), to, sent, received) : 0);
            }
        }
    }

    /** Bytes that crossed without a crossing that had asked: probes, and what belongs to no attempt. No budget holds them back, and all are charged. */
    void charge(long now, String to, String pool, long sent, long received, int attempts) {
        for (Account account : accounts.values()) {
            Limit limit = account.limit();
            if (limit.covers(to, Flow.NONE, "", pool)) {
                account.advance(clock.millis(now));
                account.settle(0, switch (limit.unit()) {
                    case BYTES -> sent + received;
                    case REQUESTS -> attempts;
                    case MONEY -> Snapshot.money(settings.prices(), zone, to, sent, received, attempts);
                });
            }
        }
    }

    // ---- other gateways, and a restart

    /** Another gateway's word; returns whether it was taken. */
    public boolean heard(Escrow.Word word) {
        return escrow.heard(word);
    }

    /** What an earlier process of this name said last; counts for budgets that nothing was restored for. */
    public void told(Escrow.Word earlier) {
        earlier.budgets().forEach((name, says) -> {
            Account account = accounts.get(name);
            if (account != null && earlier.gateway().equals(gateway)) {
                account.gaveBefore(says.begin(), says.given());
            }
        });
    }

    /** Its own word for the others. */
    public Escrow.Word word(long now) {
        return escrow.word(clock.millis(now), accounts.values());
    }

    /** What it knows at this moment. */
    public Snapshot snapshot(long now) {
        long wall = clock.millis(now);
        List<Snapshot.Budget> budgets = new ArrayList<>();
        for (Account account : accounts.values()) {
            account.advance(wall);
            budgets.add(new Snapshot.Budget(account.limit(), account.end(), account.forecast(), account.keep()));
        }
        Map<String, List<String>> giving = new TreeMap<>();
        pools.forEach((name, pool) -> {
            if (!pool.relief().giving().isEmpty()) {
                giving.put(name, List.copyOf(pool.relief().giving()));
            }
        });
        return new Snapshot(gateway, zone, wall, book.copy(), budgets, settings.prices(), giving);
    }

    /** Goes on from what an earlier process of the same name had written; {@code unsaved} milliseconds are the longest between two writes. To be
        called before anything is counted. Throws IllegalArgumentException, with nothing changed, for another gateway's or zone's. */
    public void restore(Snapshot earlier, long unsaved) {
        if (!earlier.gateway().equals(gateway) || !earlier.zone().equals(zone)) {
            throw new IllegalArgumentException("expected the state of gateway " + gateway + " in " + zone + ", found that of "
                    + earlier.gateway() + " in " + earlier.zone());
        }
        book.add(earlier.flows());
        for (Snapshot.Budget budget : earlier.budgets()) {
            Account account = accounts.get(budget.limit().name());
            if (account != null && account.limit().window() == budget.limit().window()
                    && account.limit().unit() == budget.limit().unit()) {
                Kept kept = budget.kept();
                Limit now = account.limit();
                account.change(budget.limit(), gateways);  // what was granted was by the amount of then
                account.restore(kept, unsaved);
                account.change(now, gateways);
            }
        }
    }
}
