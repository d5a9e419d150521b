package mastdrift.serve;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import mastdrift.Balance;
import mastdrift.Balancer.Cpu;
import mastdrift.Balancer.Goal;
import mastdrift.Balancer.Habits;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Prices;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.Reports;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Site;
import mastdrift.Balancer.Value;
import mastdrift.Balancer.Weights;
import mastdrift.config.Configuration;
import mastdrift.config.GatewaySettings;
import mastdrift.config.PoolSettings;
import mastdrift.config.RadiusSettings;
import mastdrift.engine.Clock;
import mastdrift.engine.Ledger;
import mastdrift.engine.Member;
import mastdrift.engine.Pool;
import mastdrift.engine.ServiceCount;
import mastdrift.engine.Source;
import mastdrift.engine.Transport;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.files.StatusFile;
import mastdrift.files.FileWatcher;
import mastdrift.membership.PoolList;
import mastdrift.net.Addresses;
import mastdrift.net.ClientSide;
import mastdrift.net.HttpTransport;
import mastdrift.net.Rehearsal;
import mastdrift.net.TimedLoop;
import mastdrift.radius.Authenticators;
import mastdrift.radius.Resends;
import mastdrift.radius.edge.Drops;
import mastdrift.radius.edge.RadiusClients;
import mastdrift.radius.edge.RadiusFront;
import mastdrift.radius.edge.RadiusTransport;
import mastdrift.routing.Hashing;
import mastdrift.routing.RouteTable;
import mastdrift.routing.Router;
import mastdrift.routing.Traits;
import mastdrift.zones.Snapshot;

/** A gateway that serves as its files say, and goes on doing so as they change. */
public final class Service implements AutoCloseable {

    private static final int OPEN_MOST = 20_000;
    private static final long RETRY_AFTER_MOST = 2_000_000;
    private static final long RETIRE_MILLIS = 1_000;
    // Of the time that a stop is given: for the last answers, which come 0.4 s after the time that requests are given, and their way out.
    private static final long STOP_SPARE = 1_000_000;
    // Of answers that are kept for a listener's resends: what all may hold, for each that may be.
    private static final int KEPT_BYTES = 256;

    private boolean readNotifications() {
        boolean all = true;
        for (Served served : pools.values()) {
            all &= served.discovery == null || served.discovery.look();
        }
        return all;
    }

    /** A pool as requests find it. */
    private static final class Served {
        private final Pool pool;
        private final DiscoverySource discovery;
        private final boolean radius;
        private boolean somebody;
        private boolean retired;

        Served(Pool pool, DiscoverySource discovery, boolean radius) {
            this.pool = pool;
            this.discovery = discovery;
            this.radius = radius;
        }
    }

    private final Path file;
    private final Events events;
    private final TimedLoop timed = TimedLoop.start();
    private final EventLoop loop = timed.loop();
    private final Clock clock = timed.clock();
    private final SplittableRandom seeds = new SplittableRandom();
    private final Ledger ledger = new Ledger(timed.timers(), clock, timed.turns(), OPEN_MOST, this::log);
    private final Router router = new Router(Router.PINS_MOST);
    private final Map<String, Served> pools = new HashMap<>();
    private final Control control = new Control(new Loop(), clock::now);
    private final FileWatcher watcher;
    private final Secrets secrets;
    private Configuration started;
    private ZoneService zones;  // null where what crosses zones is neither counted nor bounded
    private PeerService peers;  // null where it knows of no other gateway
    private PeerWork peerWork;
    private AgreedService agreed;  // null where it agrees on nothing
    private DistributionService distribution;  // null where its routes are those of the file
    private GatewaySettings gateway;
    private List<RadiusSettings> listeners = List.of();
    private volatile StatusFile status;
    private ClientSide clients;
    private final List<RadiusFront> radius = new ArrayList<>();
    private final Drops drops = new Drops(clock::now, this::dropped);

    private Service(Path file, Events events) {
        this.file = file;
        this.events = events;
        secrets = new Secrets(file, System.getenv());
        ledger.notifications(this::readNotifications);
        watcher = new FileWatcher(file, new FileWatcher.Listener() {
            @Override
            public List<String> apply(Configuration configuration) {
                List<String> missing = secrets.read(configuration);
                missing = missing.isEmpty() && distribution != null ? distribution.problems(configuration) : missing;
                return missing.isEmpty() ? control.offer(configuration) : missing;
            }

            @Override
            public void onResult(List<String> problems) {
                report(problems);
            }
        });
    }

    /** Serves as a file says; throws IllegalArgumentException with all that speaks against it, a line each. The texts of events
        go to {@code out}. */
    public static Service start(Path file, PrintStream out) {
        return start(file, Events.printing(out), false);
    }

    /** Likewise, with events as they are. {@code rehearsed}: it listens only once the path of an HTTP request is loaded and
        compiled, about a second later. */
    public static Service start(Path file, Events events, boolean rehearsed) {
        Service service = new Service(file, events);
        try {
            List<String> problems = service.watcher.readInitial();
            if (!problems.isEmpty()) {
                throw new IllegalArgumentException(String.join("\n", problems));
            }
            if (rehearsed) {
                service.rehearse();
            }
            if (service.distribution != null) {
                service.distribution.await();
            }
            service.listen();
            service.meet();
            service.watcher.start();
            return service;
        } catch (IllegalArgumentException e) {
            service.close();
            throw e;
        } catch (InterruptedException e) {
            service.close();
            Thread.currentThread().interrupt();
            throw new IllegalArgumentException("interrupted while it waited for its configuration", e);
        }
    }

    /** On a loop of its own, with one pool of stand-ins, by the settings of the first pool for HTTP. */
    private void rehearse() {
        PoolSettings first = started.pools().values().stream().filter(pool -> !pool.isRadius()).findFirst().orElse(null);
        if (first == null) {
            return;
        }
        Settings module = settings(started, first);
        TimedLoop on = TimedLoop.start();
        EventLoop own = on.loop();
        Rehearsal.play((hosts, at) -> {
            Ledger rehearsed = new Ledger(on.timers(), on.clock(), on.turns(), OPEN_MOST, this::log);
            Pool pool = new Pool("rehearsal", rehearsed, new Balance(), module,
                    new HttpTransport(on, module, first.maxConnections(), line -> { }));
            pool.start(Source.TELLS, hosts);
            return new ClientSide(own, rehearsed, (type, tenant, message, key) -> pool, started.classes(), started.tenants(),
                    gateway.maxConnections(), line -> { });
        }, started.classes(), started.tenants(), gateway.zone(), Addresses.parse(gateway.listen()).getAddress(),
                own, this::log);
    }

    private void listen() {
        bound(gateway.listen(), clients.listen(Addresses.parse(gateway.listen())));
        events.event(Level.INFO, "listening", "listening on " + clients.address(), "protocol", "http", "address", clients.address());
        for (int i = 0; i < radius.size(); i++) {
            bound(listeners.get(i).listen(), radius.get(i).listen(Addresses.parse(listeners.get(i).listen())));
            events.event(Level.INFO, "listening", "listening for RADIUS on " + radius.get(i).address(), "protocol", "radius",
                    "address", radius.get(i).address());
        }
    }

    private void meet() {
        if (peers != null) {
            peers.listen();
        }
        if (started.agreed() != null) {
            agreed = new AgreedService(file, started, peers, events);
        }
    }

    private static void bound(String at, ChannelFuture bound) {
        if (!bound.awaitUninterruptibly().isSuccess()) {
            throw new IllegalArgumentException("no listening on " + at + ": " + bound.cause().getMessage());
        }
    }

    /** Where the RADIUS listeners are, in the order of the file. */
    public List<InetSocketAddress> radiusAddresses() {
        return radius.stream().map(RadiusFront::address).toList();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return clients.address();
    }

    /** Reads something of the service count on the loop's thread; waits. */
    public <T> T count(Function<ServiceCount, T> read) {
        return loop.submit(() -> read.apply(ledger.count())).syncUninterruptibly().getNow();
    }

    /** What crossed zones so far, read on the loop's thread; waits. Null where nobody counts. */
    public Snapshot crossed() {
        return loop.submit(() -> zones == null ? null : zones.snapshot()).syncUninterruptibly().getNow();
    }

    private void log(String line) {
        events.event(Level.INFO, "gateway", line);
    }

    private void dropped(String line) {
        events.event(Level.WARN, "radius_dropped", line);
    }

    // ---- changes

    /** Every word of the operator's: a log line, and the status file. */
    private void report(List<String> problems) {
        problems.forEach(problem -> events.event(Level.WARN, "change_refused", "refused: " + problem));
        StatusFile to = status;
        if (to == null) {
            return;
        }
        Map<String, Object> now = new TreeMap<>();
        now.put("gateway", gateway.name());
        now.put("at", Instant.now().toString());
        now.put("in_force", control.status());
        now.put("refused", problems);
        try {
            to.write(now);
        } catch (IOException e) {
            events.event(Level.ERROR, "status_unwritten", "status file not written: " + e);
        }
    }

    /** A pool's hosts as its transport takes them: made on the control thread, so that the loop only puts them in place. */
    private record Ready(List<Member> members, boolean somebody) {

        static Map<String, Ready> of(Map<String, PoolList> lists) {
            Map<String, Ready> ready = new TreeMap<>();
            lists.forEach((name, list) -> ready.put(name, new Ready(list.hosts().stream()
                    .map(host -> new Member(host.host(), Addresses.parse(host.endpoint()))).toList(), list.somebody())));
            return ready;
        }
    }

    /** What control asks, on its thread; done on the loop, in order. */
    private final class Loop implements Control.Loop {

        @Override
        public void configured(Configuration next, Map<String, PoolList> changed) {
            Map<String, Ready> ready = Ready.of(changed);
            if (gateway == null && next.peers() != null) {
                peers = new PeerService(file, next, secrets::get, seeds.nextLong(), events);
            }
            if (gateway == null && next.distribution() != null) {
                distribution = new DistributionService(file, next, secrets::get, seeds.nextLong(), loop, router::swap, events);
            }
            RouteTable routes = new RouteTable(next.routes());  // here, since a big one takes longer than the loop may
            loop.submit(() -> configure(next, routes, ready)).syncUninterruptibly();
            if (distribution != null) {
                distribution.configure(next, secrets::get);
            }
            Map<String, String> versions = next.nodeListVersions();
            events.event(Level.INFO, "in_force", "in force: " + next.pools().keySet().stream()
                    .map(pool -> pool + " " + versions.get(pool)).toList() + ", " + next.routes().size()
                    + " routes, changed pools " + changed.keySet(), "changed", changed.keySet());
        }

        @Override
        public void listed(Map<String, PoolList> changed) {
            Map<String, Ready> ready = Ready.of(changed);
            loop.execute(() -> ready.forEach((name, list) -> learn(pools.get(name), list)));
            events.event(Level.INFO, "list_changed", "list by discovery or time: changed pools " + changed.keySet(),
                    "changed", changed.keySet());
        }

        @Override
        public void leftOut(String pool, String line) {
            events.event(Level.WARN, "left_out", "pool " + pool + ": left out " + line, "pool", pool);
        }
    }

    /** One event of the loop: all of a change is in force once it returns, and nothing of it before. */
    private void configure(Configuration next, RouteTable routes, Map<String, Ready> changed) {
        if (gateway == null) {
            started = next;
            gateway = next.gateway();
            status = gateway.statusFile() == null ? null : new StatusFile(file, gateway.statusFile());
            clients = new ClientSide(loop, ledger, this::route, next.classes(), next.tenants(), gateway.maxConnections(),
                    gateway.bounds(), this::log);
            listeners = next.radiusListeners();
            listeners.forEach(each -> radius.add(radiusFront(next, each)));
            zones(next);
            if (peers != null) {
                peerWork = new PeerWork(loop, clock::now, peers, gateway.name());
            }
        } else {
            if (zones != null) {
                zones.configure(next);
            }
            if (peers != null) {
                peers.configure(next);
            }
        }
        pools.forEach((name, served) -> {
            if (!served.retired && !next.pools().containsKey(name)) {
                retire(name, served);
            }
        });
        next.pools().forEach((name, settings) -> {
            if (pools.get(name) == null || pools.get(name).retired) {
                pools.put(name, open(next, settings));
            }
        });
        changed.forEach((name, list) -> learn(pools.get(name), list));
        router.swap(distribution == null ? routes : distribution.table(routes));
    }

    private void zones(Configuration next) {
        if (next.zones() != null) {
            zones = new ZoneService(file, loop, clock::now, gateway, next.zones(),
                    line -> events.event(Level.WARN, "zones", line));
            clients.clientZones(zones::zone);
            radius.forEach(front -> front.clientZones(zones::zone));
        }
    }

    private static void learn(Served served, Ready list) {
        if (served == null || served.retired) {
            return;  // told while the pool was taken out
        }
        served.somebody = list.somebody();
        served.pool.learn(ListForm.FULL, list.members());
    }

    /** Of a pool that has its hosts from discovery alone: what files tell holds without it. */
    private static Source onlySource(DiscoverySource discovery) {
        return new Source() {
            @Override
            public void watch(boolean active) { }  // it is watched for as long as the pool is there

            @Override
            public void fetch() { }

            @Override
            public boolean listHolds() {
                return discovery.listHolds();
            }
        };
    }

    private Served open(Configuration next, PoolSettings settings) {
        Settings module = settings(next, settings);
        Transport transport = settings.isRadius() ? radiusTransport(settings)
                : new HttpTransport(timed, module, settings.maxConnections(), this::log);
        Pool pool = new Pool(settings.name(), ledger, new Balance(), module, transport);
        DiscoverySource discovery = settings.discovery() == null ? null
                : new DiscoverySource(loop, pool, Addresses.parse(settings.discovery()), control, this::log);
        if (zones != null) {
            pool.zones(zones.pool(settings.name()));
        }
        if (peerWork != null) {
            peerWork.of(pool);
        }
        pool.start(discovery == null || !settings.files().isEmpty() ? Source.TELLS : onlySource(discovery), List.of());
        if (discovery != null) {
            discovery.watch(true);
        }
        return new Served(pool, discovery, settings.isRadius());
    }

    private Transport radiusTransport(PoolSettings settings) {
        byte[] secret = secrets.get(settings.secret());
        return new RadiusTransport(loop, clock::now, uid -> secret, drops);
    }

    private Settings settings(Configuration next, PoolSettings pool) {
        GatewaySettings own = next.gateway();
        Limits limits = new Limits(true, pool.probesAllowed(), true, false, pool.maxAttempts(), OPEN_MOST, true, RETRY_AFTER_MOST);
        Site site = new Site(own.gatewayIndex(), own.gatewayCount(), own.zone(), own.zones(), List.of(), 0, List.of());
        Value value = new Value(new Goal(0.4, 0.1, 0.1, 0.4), new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 0.05, false);
        return new Settings(next.classes(), next.tenants(), limits, pool.links(), new Cpu(Long.MAX_VALUE, 0), pool.rules(),
                value, site, new Habits(true, false, Reports.OFF, List.of(), false), false, Weights.NOMINAL, "", 0,
                seeds.nextLong());
    }

    /** No longer in the files: its hosts are gone to its module; pinned keys find it until none is left. */
    private void retire(String name, Served served) {
        served.retired = true;
        served.somebody = false;
        if (served.discovery != null) {
            served.discovery.close();
        }
        served.pool.close();
        loop.schedule(() -> forget(name, served), RETIRE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void forget(String name, Served served) {
        if (pools.get(name) == served && router.holds(clock.now(), name)) {
            loop.schedule(() -> forget(name, served), RETIRE_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            pools.remove(name, served);
            if (zones != null) {
                zones.closed(name);
            }
        }
    }

    // ---- requests

    private Pool route(RequestClass type, String tenant, HttpRequest message, Long key) {
        String uri = message.uri();
        int query = uri.indexOf('?');
        long seed = key != null ? key : Hashing.text(message.headers().get("X-Trace-Id"));
        Traits traits = new Traits(type.name(), tenant, query < 0 ? uri : uri.substring(0, query), gateway.zone(), seed,
                message.headers()::getAll);
        return pool(type, traits, false);
    }

    private RadiusFront radiusFront(Configuration next, RadiusSettings settings) {
        Map<String, RequestClass> types = new HashMap<>();
        next.classes().forEach(type -> types.put(type.name(), type));
        RadiusClients chargers = new RadiusClients(settings.clients().stream().map(client -> new RadiusClients.Client(
                client.name(), client.range(),
                new Authenticators(secrets.get(client.secret())), client.tenant(), client.messageAuthenticatorRequired())).toList());
        return new RadiusFront(loop, ledger, (className, tenant, key) -> radiusPool(types.get(className), tenant, key), chargers,
                new RadiusFront.Classes(settings.accessClass(), settings.conversationClass(), settings.accountingClass(),
                        types.get(settings.accessClass()).deadline(), types.get(settings.accountingClass()).deadline()),
                new Resends(settings.replyRetentionMicros(), settings.maxRetainedReplies(), settings.maxRetainedReplies() * KEPT_BYTES), drops);
    }

    private Pool radiusPool(RequestClass type, String tenant, long key) {
        return pool(type, new Traits(type.name(), tenant, "/", gateway.zone(), key, name -> List.of()), true);
    }

    /** Null where no route fits, or one that leads to a pool of another protocol. */
    private Pool pool(RequestClass type, Traits traits, boolean asRadius) {
        long now = clock.now();
        String name = type.repeat() == Repeat.KEYED
                ? router.keyed(now, traits, now + type.deadline() + type.dedupWindow(), this::somebody)
                : router.pool(traits, this::somebody);
        Served served = name == null ? null : pools.get(name);
        return served == null || served.radius != asRadius ? null : served.pool;
    }

    private boolean somebody(String pool) {
        Served served = pools.get(pool);
        return served != null && served.somebody;
    }

    // ---- the end

    /** Stops as a gateway does at SIGTERM: serves on for a moment, answers what it has taken, then ends; waits at most so
        long, 1 s or more, and what is open 0.6 s before that (0.45 s of 1 s) has its answer. Returns whether all was answered. */
    public boolean stop(long seconds) throws InterruptedException {
        watcher.close();
        CountDownLatch answered = new CountDownLatch(1);
        loop.execute(() -> {
            radius.forEach(RadiusFront::close);  // chargers send again, to whoever is there
            clients.stop(Math.max(0, TimeUnit.SECONDS.toMicros(seconds) - STOP_SPARE), answered::countDown);
        });
        boolean all = answered.await(seconds, TimeUnit.SECONDS);
        close();
        return all;
    }

    /** Ends at once. */
    @Override
    public void close() {
        watcher.close();
        control.close();
        if (agreed != null) {
            agreed.close();
        }
        if (distribution != null) {
            distribution.close();
        }
        if (peers != null) {
            peers.close();
        }
        if (zones != null && !loop.isShuttingDown()) {
            loop.submit(zones::write).syncUninterruptibly();
            zones.close();
        }
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
