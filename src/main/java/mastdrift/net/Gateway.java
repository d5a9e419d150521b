package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.Future;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import mastdrift.Balancer;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Reports;
import mastdrift.Balancer.Settings;

/** Drives the module: its clock, its timers, the ledger of requests and attempts, and one final answer a request.
    Everything happens on the event loop's thread. */
final class Gateway implements Balancer.Actions {

    // The time left counts from the client's send and the answer has to travel: so much of it is kept back.
    private static final long MARGIN = 5_000;
    // A request still open so long after the module's time for it is failed, whatever the module thinks.
    private static final long BACKSTOP = 2_000;
    // A probe is answered beside the queue: no answer by then is none.
    private static final long PROBE_TIMEOUT = 250_000;
    private static final String[] PASSED_ON = {"X-Trace-Id", "Idempotency-Key"};

    /** Where the one final answer goes. */
    interface Client {
        /** With a host's answer, which the caller releases. */
        void served(FullHttpResponse answer);

        void refused(long retryAfter);

        void failed(boolean late);
    }

    /** A request that was taken, until it has ended and all its attempts have. */
    final class Exchange {
        private final long id = nextId++;
        private final Client client;
        private final FullHttpRequest message;
        private final List<HostPool.Attempt> attempts = new ArrayList<>(2);
        private Future<?> backstop;
        private int out;
        private boolean late;
        private boolean ended;

        private Exchange(Client client, FullHttpRequest message) {
            this.client = client;
            this.message = message;
        }

        /** The client went away: nothing more is owed. */
        void departed() {
            if (!ended) {
                finish(this);
                event(null, now -> module.departed(now, id));
            }
        }
    }

    private final EventLoop loop;
    private final Balancer module;
    private final PrintStream out;
    private final HostPool hosts;
    private final Discovery discovery;
    private final Settings settings;
    private final int openMost;
    private final Map<Long, Exchange> ledger = new HashMap<>();
    private final Queue<Runnable> events = new ArrayDeque<>();
    private boolean inEvent;
    private long nextId = 1;
    private int open;
    private final long startedAt = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;

    /** Starts the module; on the loop's thread. */
    Gateway(Config config, EventLoop loop, Balancer module, int hostConnections, int openMost, PrintStream out) {
        this.loop = loop;
        this.module = module;
        this.out = out;
        settings = config.settings();
        this.openMost = Math.min(openMost, settings.limits().maxOpen());
        hosts = new HostPool(loop, this::now, settings.links().dialTimeout(), settings.links().idle(),
                settings.rules().drainGrace(), hostConnections, this::log);
        discovery = new Discovery(loop, config.discovery(), config.known().rev(),
                list -> learn(list, list.all() ? ListForm.FULL : ListForm.DELTA), this::listFailed);
        module.start(now(), settings, this);
        learn(config.known(), ListForm.CACHED);
        if (!settings.registryOnRequest()) {
            discovery.watch(true);
        }
    }

    /** Microseconds; runs on evenly from the Unix time at the start, in which hosts' starts are told. */
    long now() {
        return startedAt + System.nanoTime() / 1000;
    }

    /** Discovery is to be asked at another address. */
    void discoverAt(InetSocketAddress at) {
        log("discovery at " + NetUtil.toSocketAddressString(at));
        discovery.move(at);
    }

    // ---- events: one after the other, never one inside another

    private void event(Exchange exchange, LongConsumer event) {
        events.add(() -> {
            try {
                event.accept(now());
            } catch (RuntimeException | Error fault) {  // memory may run out for one request and be there for the next
                log("fault in an event: " + fault + Arrays.stream(fault.getStackTrace()).limit(1).toList());
                if (exchange != null && !exchange.ended) {
                    finish(exchange);
                    exchange.client.failed(false);
                    event(null, now -> module.departed(now, exchange.id));
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

    private void learn(HostList list, ListForm form) {
        hosts.update(list);
        log("list " + list.rev() + ": " + list.entries().size() + (list.all() ? " hosts" : " changes"));
        event(null, now -> module.hosts(now, form, list.entries().stream().map(HostList.Entry::host).toList()));
    }

    private void listFailed(String cause) {
        log("discovery failed: " + cause);
        event(null, now -> module.hosts(now, ListForm.FAILED, List.of()));
    }

    /** Takes a request, which keeps its message; null where it was answered at once. */
    Exchange take(Client client, FullHttpRequest message, String className, String tenant, Long key, long left,
            boolean repeated, long work) {
        if (open >= openMost) {
            client.refused(settings.limits().maxRetryAfter());
            return null;
        }
        long kept = left - MARGIN;
        if (kept <= 0) {
            client.failed(true);
            return null;
        }
        Exchange exchange = new Exchange(client, message.retain());
        open++;
        ledger.put(exchange.id, exchange);
        exchange.backstop = loop.schedule(() -> overdue(exchange), kept + BACKSTOP, TimeUnit.MICROSECONDS);
        boolean write = message.method().equals(HttpMethod.POST);
        event(exchange, now -> module.request(now,
                new Balancer.Request(exchange.id, className, tenant, key, kept, work, repeated, write)));
        return exchange.ended ? null : exchange;
    }

    /** The module owes an answer in time, and this keeps the promise where it doesn't. */
    private void overdue(Exchange exchange) {
        if (!exchange.ended) {
            finish(exchange);
            exchange.client.failed(true);
            event(null, now -> module.departed(now, exchange.id));
        }
    }

    private void finish(Exchange exchange) {
        exchange.ended = true;
        exchange.backstop.cancel(false);
        exchange.message.release();
        open--;
        forget(exchange);
    }

    private void forget(Exchange exchange) {
        if (exchange.ended && exchange.out == 0) {
            ledger.remove(exchange.id);
        }
    }

    private void resolved(Exchange exchange, int number, String uid, long sentAt, Outcome outcome,
            FullHttpResponse answer) {
        long elapsed = now() - sentAt;
        LoadReport report = report(answer);
        exchange.late = outcome == Outcome.EXPIRED;
        if (outcome == Outcome.DELIVERED && !exchange.ended) {
            finish(exchange);
            exchange.client.served(answer);
        }
        event(exchange, now -> {
            exchange.out--;
            forget(exchange);
            module.resolved(now, exchange.id, number, uid, outcome, elapsed, exchange.ended, report);
        });
    }

    private LoadReport report(FullHttpResponse answer) {
        boolean given = answer != null && settings.habits().reports() == Reports.INLINE;
        return LoadReports.parse(given ? answer.headers().get("Endpoint-Load-Metrics") : null);
    }

    // ---- actions

    @Override
    public void send(long id, String uid, long timeout) {
        Exchange exchange = ledger.get(id);
        int number = exchange.attempts.size();
        long sentAt = now();
        boolean refused = exchange.ended || number >= settings.limits().maxAttempts();
        FullHttpRequest message = onward(exchange);
        exchange.attempts.add(hosts.send(uid, message, refused ? 0 : timeout,
                (outcome, answer) -> resolved(exchange, number, uid, sentAt, outcome, answer)));
        exchange.out++;  // only now: of what could not be sent there is no outcome
    }

    private static FullHttpRequest onward(Exchange exchange) {
        FullHttpRequest from = exchange.message;
        ByteBuf body = exchange.ended ? Unpooled.EMPTY_BUFFER : from.content().retainedDuplicate();
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), body);
        for (String name : PASSED_ON) {
            if (from.headers().contains(name)) {
                message.headers().set(name, from.headers().get(name));
            }
        }
        if (body.isReadable() || from.method().equals(HttpMethod.POST)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        if (from.headers().contains(HttpHeaderNames.CONTENT_TYPE)) {
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, from.headers().get(HttpHeaderNames.CONTENT_TYPE));
        }
        return message;
    }

    @Override
    public void cancel(long id, int attempt) {
        Exchange exchange = ledger.get(id);
        if (exchange != null && attempt < exchange.attempts.size()) {
            exchange.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long id, long retryAfter) {
        Exchange exchange = ledger.get(id);
        if (exchange != null && !exchange.ended) {
            finish(exchange);
            exchange.client.refused(retryAfter);
        }
    }

    @Override
    public void fail(long id) {
        Exchange exchange = ledger.get(id);
        if (exchange != null && !exchange.ended) {
            finish(exchange);
            exchange.client.failed(exchange.late);
        }
    }

    @Override
    public void timer(long at, String handle) {
        loop.schedule(() -> event(null, now -> module.timer(now, handle)), Math.max(1, at - now()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(String uid) {
        boolean reports = settings.habits().reports() != Reports.OFF;
        FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                reports ? "/status/load" : "/health");
        long sentAt = now();
        hosts.send(uid, message, PROBE_TIMEOUT, (outcome, answer) -> {
            long elapsed = now() - sentAt;
            LoadReport report = LoadReports.parse(answer == null || !reports ? null
                    : answer.content().toString(StandardCharsets.UTF_8));
            event(null, now -> module.probed(now, uid, outcome, elapsed, report));
        });
    }

    @Override
    public void watch(boolean active) {
        discovery.watch(active);
    }

    @Override
    public void fetch() {
        discovery.fetch();
    }

    @Override
    public void closeIdle(String uid) {
        hosts.closeIdle(uid);
    }

    /** The settings allow no messages between gateways; the module sends none. */
    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("gateways share nothing");
    }

    @Override
    public void log(String line) {
        out.println(line.replace('\n', ' '));
    }
}
