package mastdrift.engine;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import mastdrift.Balancer;

/** The ledger of requests and attempts, whatever their protocol and pool: one life and one final answer a request, and
    events one after the other. Everything happens on the loop's thread. */
public final class Ledger {

    // The time left counts from the client's send and the answer has to travel: so much of it is kept back.
    private static final long MARGIN = 5_000;
    // A request still open so long after the module's time for it is failed, whatever the module thinks.
    private static final long BACKSTOP = 2_000;

    private final Timers timers;
    private final Clock clock;
    private final int openMost;
    private final Consumer<String> log;
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final ServiceCount count = new ServiceCount();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean inEvent;
    private long nextId = 1;
    private int open;

    /** Holds {@code openMost} requests that are not answered; its timers come on the thread that drives it. */
    public Ledger(Timers timers, Clock clock, int openMost, Consumer<String> log) {
        this.timers = timers;
        this.clock = clock;
        this.openMost = openMost;
        this.log = log;
    }

    /** Microseconds. */
    public long now() {
        return clock.now();
    }

    /** Final answers so far. */
    public ServiceCount count() {
        return count;
    }

    /** Requests that are not answered yet. */
    public int open() {
        return open;
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
        long kept = ask.left() - MARGIN;
        if (open >= Math.min(openMost, pool.settings().limits().maxOpen())) {
            call.release();
            count.refused(ask.className());
            client.refused(pool.settings().limits().maxRetryAfter());
            return null;
        }
        if (kept <= 0) {
            call.release();
            count.failed(ask.className());
            client.failed(true);
            return null;
        }
        Exchange exchange = new Exchange(nextId++, pool, client, call, ask.className());
        open++;
        pool.began();
        exchanges.put(exchange.id, exchange);
        exchange.backstop = timers.after(kept + BACKSTOP, () -> overdue(exchange));
        event(exchange, now -> pool.module().request(now, new Balancer.Request(exchange.id, ask.className(), ask.tenant(),
                ask.key(), kept, ask.work(), ask.repeated(), ask.write())));
        return exchange.ended ? null : exchange;
    }

    // ---- events: one after the other, never one inside another

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
        if (inEvent) {
            return;
        }
        inEvent = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                next.run();
            }
        } finally {
            inEvent = false;  // or no event would ever be heard again
        }
    }

    // ---- ends

    void served(Exchange exchange, Answer answer) {
        finish(exchange);
        count.served(exchange.className);
        exchange.client.served(answer);
    }

    void refuse(Exchange exchange, long retryAfter) {
        finish(exchange);
        count.refused(exchange.className);
        exchange.client.refused(retryAfter);
    }

    void fail(Exchange exchange, boolean late) {
        finish(exchange);
        count.failed(exchange.className);
        exchange.client.failed(late);
    }

    void departed(Exchange exchange) {
        if (!exchange.ended) {
            finish(exchange);
            departedFrom(exchange);
        }
    }

    /** The module owes an answer in time, and this keeps the promise where it doesn't. */
    private void overdue(Exchange exchange) {
        if (!exchange.ended) {
            fail(exchange, true);
            departedFrom(exchange);
        }
    }

    private void departedFrom(Exchange exchange) {
        event(null, now -> exchange.pool.module().departed(now, exchange.id));
    }

    private void finish(Exchange exchange) {
        exchange.ended = true;
        exchange.backstop.cancel();
        exchange.call.release();
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
