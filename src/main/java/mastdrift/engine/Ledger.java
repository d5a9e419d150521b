package mastdrift.engine;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import mastdrift.Balancer;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;
import mastdrift.lateness.Turns;

/** The ledger of requests and attempts, whatever their protocol and pool: one life and one final answer a request, and
    events one after the other. Everything happens on the loop's thread. */
public final class Ledger {

    // The time left counts from the client's send and the answer has to travel: so much of it is kept back.
    private static final long MARGIN = 5_000;
    // A request still open so long after the module's time for it is failed, whatever the module thinks.
    private static final long BACKSTOP = 2_000;
    // Of the 250 ms in which a drain has to be heard. What may have waited for longer waits until all that came is read: a
    // list may be behind it.
    private static final long LATE = 100_000;
    /** What may have stood unread for longer, in microseconds, is looked at before something is decided that it would change: a client's end, news of hosts.
        Longer than the loop ever waits, so that it costs nothing while the loop keeps up, and short enough to leave 40 ms for the ways from a client and to
        a host where no attempt may begin more than 0.1 s after its client has left; less than any grace seen. */
    public static final long LOOK_AFTER = 60_000;
    // A standing queue of the gateway's own is said from here on, once in a while.
    private static final long LATE_SAID = 50_000;
    private static final long SAID_EVERY = 10_000_000;

    private final Timers timers;
    private final Clock clock;
    private final Turns turns;
    private final int openMost;
    private final Consumer<String> log;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final ServiceCount count = new ServiceCount();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private Witness witness;  // null where nobody asks
    private BooleanSupplier unreadNotifications = () -> true;
    private long notificationsReadAt;
    private boolean inEvent;
    private boolean deferred;
    private long saidAt = -SAID_EVERY;
    private long nextId = 1;
    private int open;

    /** Holds {@code openMost} requests that are not answered; its timers come on the thread that drives it, which is never late. */
    public Ledger(Timers timers, Clock clock, int openMost, Consumer<String> log) {
        this(timers, clock, new Turns(), openMost, log);
    }

    /** Likewise, on a loop that is as late as its turns say. */
    public Ledger(Timers timers, Clock clock, Turns turns, int openMost, Consumer<String> log) {
        this.timers = timers;
        this.clock = clock;
        this.turns = turns;
        this.openMost = openMost;
        this.log = log;
    }

    /** Microseconds. */
    public long now() {
        return clock.now();
    }

    /** Since when at the earliest what is being handled now may have waited for the loop, in microseconds. */
    public long arrived() {
        long now = now();
        return now - turns.own(now);
    }

    /** For how long at the most what is being handled now may have been there, in microseconds, whatever the loop waited for meanwhile. */
    public long unseen() {
        return turns.most(now());
    }

    /** Which of its turns the loop is in, from 1 up; 0 where nobody tells of turns. */
    public long turn() {
        return turns.turn();
    }

    /** Every request from now on is told to it. */
    public void witness(Witness by) {
        witness = by;
    }

    /** {@code read} reads what has been told of hosts and stands unread, and returns whether nothing more can stand there. It is called on the loop's
        thread, ahead of events and of first bytes, where a turn has taken long: what was told since the turn began would otherwise be heard only in the
        next one. */
    public void notifications(BooleanSupplier read) {
        unreadNotifications = read;
    }

    /** Final answers so far. */
    public ServiceCount count() {
        return count;
    }

    /** Requests that are not answered yet. */
    public int open() {
        return open;
    }

    Turns turns() {
        return turns;
    }

    Timers timers() {
        return timers;
    }

    void log(String line) {
        log.accept(line.replace('\n', ' '));
    }

    Exchange find(long id) {
        return exchanges.get(id);
    }

    /** Takes a request for a pool, and with it the call, which it releases; null where it was answered at once. */
    public Exchange take(Pool pool, Client client, Call call, Ask ask) {
        return take(pool, client, call, ask, turns.own(now()));
    }

    /** Likewise, one that has waited here for up to {@code waited} microseconds. */
    public Exchange take(Pool pool, Client client, Call call, Ask ask, long waited) {
        long now = now();
        long kept = ask.left() - MARGIN;
        if (witness != null) {
            witness.taken(call, ask);
        }
        if (open >= Math.min(openMost, pool.settings().limits().maxOpen())) {
            turnedAway(pool, client, call, ask);
            return null;
        }
        if (kept <= 0) {
            if (waited > MARGIN) {  // its time may be up: it waited here, and a new try does no harm
                turnedAway(pool, client, call, ask);
            } else {
                over(call, Witness.End.LATE, null);
                count.failed(ask.className());
                client.failed(true);
            }
            return null;
        }
        sayLate();
        Exchange exchange = new Exchange(nextId++, pool, client, call, ask.className());
        open++;
        pool.began();
        exchanges.put(exchange.id, exchange);
        exchange.pass = pool.pass(ask);
        exchange.endsAt = now + kept;
        exchange.backstop = timers.after(kept + BACKSTOP, () -> overdue(exchange));
        event(exchange, at -> {
            if (exchange.ended) {
                return;  // it was held back, and its client left meanwhile: nobody is to be asked, and no host found for it
            }
            if (!pool.listHolds()) {  // nobody could be sent to: a new try, maybe at another gateway, does no harm
                refuse(exchange, retryAfter(pool), Why.LIST);
                return;
            }
            pool.own(at);
            long left = Math.max(0, exchange.endsAt - at);  // of which it may have spent some held back
            pool.module().request(at, new Balancer.Request(exchange.id, ask.className(), ask.tenant(), ask.key(), left,
                    ask.work(), ask.repeated(), ask.write(), exchange.pass == null ? null : exchange.pass.asCrossing()));
        });
        return exchange.ended ? null : exchange;
    }

    private void turnedAway(Pool pool, Client client, Call call, Ask ask) {
        over(call, Witness.End.REFUSED, Why.GATEWAY);
        count.refused(ask.className(), Why.GATEWAY);
        client.refused(retryAfter(pool));
    }

    private static long retryAfter(Pool pool) {
        Balancer.Limits limits = pool.settings().limits();
        return limits.retryAfter() ? limits.maxRetryAfter() : 0;
    }

    private void over(Call call, Witness.End end, Why why) {
        if (witness != null) {
            witness.ended(call, end, why);
        }
        call.release();
    }

    /** An attempt has ended, which may end its request next. */
    void attemptEnded(Exchange exchange, String uid, Outcome outcome) {
        if (witness != null && !exchange.ended) {
            witness.attemptEnded(exchange.call, uid, outcome);
        }
    }

    private void sayLate() {
        if (turns.standing() >= LATE_SAID && now() - saidAt >= SAID_EVERY) {
            saidAt = now();
            log("the gateway itself is late: whatever comes waits " + turns.standing() / 1000 + " ms at least");
        }
    }

    // ---- events: one after the other, never one inside another, and none on what may be out of date

    void event(Exchange exchange, LongConsumer event) {
        events.add(() -> {
            try {
                event.accept(now());
            } catch (RuntimeException | Error fault) {  // memory may run out for one request and be there for the next
                log("fault in an event: " + fault + Arrays.stream(fault.getStackTrace()).limit(1).toList());
                if (exchange != null && !exchange.ended) {
                    fail(exchange, false);
                    departedFrom(exchange);
                }
            }
        });
        if (inEvent || deferred) {
            return;
        }
        if (turns.own(now()) > LATE) {
            deferred = true;
            timers.after(1, () -> {  // timers come once all that is there has been read
                deferred = false;
                play();
            });
        } else {
            play();
        }
    }

    private void play() {
        inEvent = true;
        try {
            while (!events.isEmpty()) {
                readNotifications();
                events.poll().run();
            }
        } finally {
            inEvent = false;  // or no event would ever be heard again
        }
    }

    /** Hears what may have been told too long ago to be unread; what comes of it is played ahead of what waits. */
    void readNotifications() {
        long now = now();
        if (turns.most(now) <= LOOK_AFTER || now - notificationsReadAt <= LOOK_AFTER) {
            return;
        }
        boolean within = inEvent;
        int waiting = events.size();
        inEvent = true;
        try {
            if (unreadNotifications.getAsBoolean()) {
                notificationsReadAt = now;
            }
        } finally {
            inEvent = within;
        }
        for (int i = 0; i < waiting; i++) {
            events.add(events.poll());
        }
        if (!within && !deferred) {
            play();
        }
    }

    // ---- ends

    void served(Exchange exchange, Answer answer) {
        finish(exchange, Witness.End.SERVED, null);
        count.served(exchange.className);
        exchange.client.served(answer);
    }

    void refuse(Exchange exchange, long retryAfter, Why why) {
        finish(exchange, Witness.End.REFUSED, why);
        count.refused(exchange.className, why);
        if (exchange.pass != null) {
            exchange.pass.recordRefusal(now(), why);
        }
        exchange.client.refused(retryAfter);
    }

    void fail(Exchange exchange, boolean late) {
        finish(exchange, late ? Witness.End.LATE : Witness.End.FAILED, null);
        count.failed(exchange.className);
        exchange.client.failed(late);
    }

    void departed(Exchange exchange) {
        if (!exchange.ended) {
            finish(exchange, Witness.End.LEFT, null);
            departedFrom(exchange);
        }
    }

    /** The module owes an answer in time, and this keeps the promise where it doesn't. What it would answer by may have been held back: timers come once all
        that is there has been read, so that is played first. */
    void overdue(Exchange exchange) {
        if (deferred && !inEvent) {
            play();
        }
        if (!exchange.ended) {
            fail(exchange, true);
            departedFrom(exchange);
        }
    }

    private void departedFrom(Exchange exchange) {
        event(null, now -> {
            exchange.pool.own(now);
            exchange.pool.module().departed(now, exchange.id);
        });
    }

    private void finish(Exchange exchange, Witness.End end, Why why) {
        exchange.ended = true;
        exchange.backstop.cancel();
        over(exchange.call, end, why);
        open--;
        forget(exchange);
    }

    /** Once it has ended and none of its attempts is out. */
    void forget(Exchange exchange) {
        if (exchange.ended && exchange.out == 0 && exchanges.remove(exchange.id) != null) {
            exchange.pool.ended();
        }
    }
}
