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
import mastdrift.engine.Front;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Member;
import mastdrift.engine.Pool;
import mastdrift.engine.ServiceCount;
import mastdrift.engine.HostListSource;
import mastdrift.engine.Transport;
import mastdrift.limits.ByteBudget;
import mastdrift.limits.MessageMemory;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.files.StatusFile;
import mastdrift.files.FileWatcher;
import mastdrift.membership.PoolList;
import mastdrift.net.Addresses;
import mastdrift.net.HttpFront;
import mastdrift.net.HttpTransport;
import mastdrift.net.WarmUp;
import mastdrift.net.TimedEventLoop;
import mastdrift.radius.Authenticators;
import mastdrift.radius.DuplicateCache;
import mastdrift.radius.edge.DropCounters;
import mastdrift.radius.edge.RadiusClients;
import mastdrift.radius.edge.RadiusFront;
import mastdrift.radius.edge.RadiusTransport;
import mastdrift.routing.Hashing;
import mastdrift.routing.RouteTable;
import mastdrift.routing.Router;
import mastdrift.routing.RouteCriteria;
import mastdrift.zones.ZoneSnapshot;

/** A gateway that serves as its files say and applies changes of these files while it runs. */
public final class Service implements AutoCloseable {

    private static final int MAX_OPEN_REQUESTS = 20_000;
    private static final long MAX_RETRY_AFTER_MICROS = 2_000_000;
    private static final long RETIRE_CHECK_MILLIS = 1_000;
    // Part of a stop's time that is kept for the last answers, which are sent 0.4 s after the time that requests are
    // given, and for their transmission.
    private static final long STOP_RESERVE_MICROS = 1_000_000;
    private static final long FAILED_START_STOP_SECONDS = 30;
    // Memory for the answers that a listener keeps for retransmitted requests: bytes for each answer that may be kept.
    private static final int KEPT_ANSWER_BYTES = 256;

    private boolean readNotifications() {
        boolean allRead = true;
        for (PoolEntry entry : pools.values()) {
            allRead &= entry.discovery == null || entry.discovery.readUnread();
        }
        return allRead;
    }

    /** A pool, with what routing needs to know of it. */
    private static final class PoolEntry {
        private final Pool pool;
        private final DiscoverySource discovery;
        private final boolean radius;
        private boolean hasAvailableHost;
        private boolean retired;

        PoolEntry(Pool pool, DiscoverySource discovery, boolean radius) {
            this.pool = pool;
            this.discovery = discovery;
            this.radius = radius;
        }
    }

    private final Path file;
    private final Events events;
    private final TimedEventLoop timedLoop = TimedEventLoop.start(this::log);
    private final EventLoop loop = timedLoop.loop();
    private final Clock clock = timedLoop.clock();
    private final SplittableRandom seeds = new SplittableRandom();
    private final RequestTracker ledger = new RequestTracker(timedLoop.timers(), clock, timedLoop.turns(), MAX_OPEN_REQUESTS,
            this::log);
    private final MessageMemory messageMemory = MessageMemory.ofThisProcess();
    private final ByteBudget responseMemory = messageMemory.responseBudget();
    private final Router router = new Router(Router.MAX_PINS);
    private final Map<String, PoolEntry> pools = new HashMap<>();
    private final Control control = new Control(new ControlListener(), clock::now);
    private final FileWatcher watcher;
    private final Secrets secrets;
    private final Object lifecycle = new Object();
    private boolean stopping;  // guarded by lifecycle
    private boolean clientsCanConnect;  // used by the thread that opens the listeners
    private Configuration initialConfiguration;
    private ZoneService zones;  // null if traffic across zones is neither counted nor bounded
    private PeerService peers;  // null if no other gateways are configured
    private PeerLoadExchange peerLoad;
    private AgreedService agreed;  // null if there is no replicated log
    private DistributionService distribution;  // null if the routes are those of the file
    private GatewaySettings gateway;
    private List<RadiusSettings> radiusListeners = List.of();
    private volatile StatusFile statusFile;
    private HttpFront httpFront;
    private final List<RadiusFront> radiusFronts = new ArrayList<>();
    private final DropCounters drops = new DropCounters(clock::now, this::logDropped);

    private Service(Path file, Events events) {
        this.file = file;
        this.events = events;
        secrets = new Secrets(file, System.getenv());
        ledger.setNotificationReader(this::readNotifications);
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

    /**
     * Starts a gateway as a file says; throws IllegalArgumentException with all problems, a line each. The texts of
     * events are printed to {@code out}.
     */
    public static Service start(Path file, PrintStream out) {
        return start(file, Events.printing(out), false);
    }

    /**
     * Starts a gateway as a file says; throws IllegalArgumentException with all problems, a line each. With
     * {@code warmUp} it listens only after the path of an HTTP request has been loaded and compiled, which takes about
     * a second.
     */
    public static Service start(Path file, Events events, boolean warmUp) {
        Service service = prepare(file, events, warmUp);
        service.open();
        return service;
    }

    /**
     * As {@link #start}, but nobody can connect before {@link #open} is called: what has to happen before the first
     * request is taken, such as the handling of signals, comes between the two.
     */
    public static Service prepare(Path file, Events events, boolean warmUp) {
        Service service = new Service(file, events);
        try {
            List<String> problems = service.watcher.readInitial();
            if (!problems.isEmpty()) {
                throw new IllegalArgumentException(String.join("\n", problems));
            }
            if (warmUp) {
                service.warmUp();
            }
            if (service.distribution != null) {
                service.distribution.awaitReady();
            }
            return service;
        } catch (IllegalArgumentException e) {
            service.close();
            throw e;
        } catch (InterruptedException e) {
            service.close();
            Thread.currentThread().interrupt();
            throw new IllegalArgumentException("interrupted while waiting for the configuration", e);
        }
    }

    /**
     * Opens all listeners, that of HTTP last: a gateway that answers {@code /ready} serves every protocol. A shutdown
     * that begins meanwhile leaves out what is not open yet. Throws IllegalArgumentException if an address can't be
     * used, after a shutdown that answers what was taken by then.
     */
    public void open() {
        try {
            unlessStopping(this::listenForPeers);
            for (int i = 0; i < radiusFronts.size(); i++) {
                int number = i;
                unlessStopping(() -> listenForRadius(number));
            }
            unlessStopping(this::listenForHttp);
            unlessStopping(this::startAgreedLog);
            unlessStopping(watcher::start);
        } catch (IllegalArgumentException e) {
            closeFailedStart();
            throw e;
        }
    }

    private void unlessStopping(Runnable step) {
        synchronized (lifecycle) {
            if (!stopping) {
                step.run();
            }
        }
    }

    private void closeFailedStart() {
        if (!clientsCanConnect) {
            close();
            return;
        }
        try {
            stop(FAILED_START_STOP_SECONDS);
        } catch (InterruptedException e) {
            close();
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Warms up the HTTP path on an event loop of its own, with one pool of stand-in hosts, by the settings of the first
     * HTTP pool.
     */
    private void warmUp() {
        PoolSettings settings = initialConfiguration.pools().values().stream().filter(pool -> !pool.isRadius())
                .findFirst().orElse(null);
        if (settings == null) {
            return;
        }
        Settings moduleSettings = moduleSettings(initialConfiguration, settings);
        TimedEventLoop warmUpLoop = TimedEventLoop.start();
        EventLoop warmUpEventLoop = warmUpLoop.loop();
        WarmUp.run((hosts, at) -> {
            RequestTracker ledger = new RequestTracker(warmUpLoop.timers(), warmUpLoop.clock(), warmUpLoop.turns(), MAX_OPEN_REQUESTS,
                    this::log);
            Pool pool = new Pool("rehearsal", ledger, new Balance(), moduleSettings,
                    new HttpTransport(warmUpLoop, moduleSettings, settings.maxConnections(), messageMemory.responseBudget(), line -> { }));
            pool.start(HostListSource.PUSH_ONLY, hosts);
            return new HttpFront(warmUpEventLoop, ledger, (type, tenant, message, key) -> pool, initialConfiguration.classes(), initialConfiguration.tenants(),
                    gateway.maxConnections(), line -> { });
        }, initialConfiguration.classes(), initialConfiguration.tenants(), gateway.zone(),
                Addresses.parse(gateway.listen()).getAddress(),
                warmUpEventLoop, this::log);
    }

    private void listenForPeers() {
        if (peers != null) {
            peers.listen();
        }
    }

    private void listenForRadius(int number) {
        String address = radiusListeners.get(number).listen();
        RadiusFront front = radiusFronts.get(number);
        awaitBound(address, front.listen(Addresses.parse(address)));
        clientsCanConnect = true;
        events.event(Level.INFO, "listening", "listening for RADIUS on " + front.address(), "protocol", "radius", "address",
                front.address());
    }

    private void listenForHttp() {
        awaitBound(gateway.listen(), httpFront.listen(Addresses.parse(gateway.listen())));
        clientsCanConnect = true;
        events.event(Level.INFO, "listening", "listening on " + httpFront.address(), "protocol", "http", "address", httpFront.address());
    }

    private void startAgreedLog() {
        if (initialConfiguration.agreed() != null) {
            agreed = new AgreedService(file, initialConfiguration, peers, events);
        }
    }

    private static void awaitBound(String address, ChannelFuture future) {
        if (!future.awaitUninterruptibly().isSuccess()) {
            throw new IllegalArgumentException("no listening on " + address + ": " + future.cause().getMessage());
        }
    }

    /** Addresses of the RADIUS listeners, in the order of the file. */
    public List<InetSocketAddress> radiusAddresses() {
        return radiusFronts.stream().map(RadiusFront::address).toList();
    }

    /** Address of the HTTP listener. */
    public InetSocketAddress address() {
        return httpFront.address();
    }

    /** Reads from the service count on the event loop. Blocks. */
    public <T> T readCount(Function<ServiceCount, T> read) {
        return loop.submit(() -> read.apply(ledger.serviceCount())).syncUninterruptibly().getNow();
    }

    /** Counts of the traffic across zones so far, read on the event loop. Blocks. Null if nothing is counted. */
    public ZoneSnapshot zoneSnapshot() {
        return loop.submit(() -> zones == null ? null : zones.snapshot()).syncUninterruptibly().getNow();
    }

    private void log(String line) {
        events.event(Level.INFO, "gateway", line);
    }

    private void logDropped(String line) {
        events.event(Level.WARN, "radius_dropped", line);
    }

    // ---- changes

    /** Reports the result of a change of the operator's files: an event for each problem, and the status file. */
    private void report(List<String> problems) {
        problems.forEach(problem -> events.event(Level.WARN, "change_refused", "refused: " + problem));
        StatusFile currentStatusFile = statusFile;
        if (currentStatusFile == null) {
            return;
        }
        Map<String, Object> fields = new TreeMap<>();
        fields.put("gateway", gateway.name());
        fields.put("at", Instant.now().toString());
        fields.put("in_force", control.status());
        fields.put("refused", problems);
        try {
            currentStatusFile.write(fields);
        } catch (IOException e) {
            events.event(Level.ERROR, "status_unwritten", "status file not written: " + e);
        }
    }

    /**
     * A pool's hosts in the form that its transport takes: built on the control thread, so that the event loop only
     * puts them in place.
     */
    private record PoolHosts(List<Member> members, boolean hasAvailableHost) {

        static Map<String, PoolHosts> of(Map<String, PoolList> lists) {
            Map<String, PoolHosts> ready = new TreeMap<>();
            lists.forEach((name, list) -> ready.put(name, new PoolHosts(list.hosts().stream()
                    .map(host -> new Member(host.host(), Addresses.parse(host.endpoint()))).toList(), list.hasAcceptingHost())));
            return ready;
        }
    }

    /** Carries out the results of {@link Control}: called on its thread, executed in order on the event loop. */
    private final class ControlListener implements Control.Listener {

        @Override
        public void configured(Configuration next, Map<String, PoolList> changed) {
            Map<String, PoolHosts> hosts = PoolHosts.of(changed);
            if (gateway == null && next.peers() != null) {
                peers = new PeerService(file, next, secrets::get, seeds.nextLong(), events);
            }
            if (gateway == null && next.distribution() != null) {
                distribution = new DistributionService(file, next, secrets::get, seeds.nextLong(), loop, router::setRoutes, events);
            }
            // built here, since building a large table would hold up the event loop for too long
            RouteTable routes = new RouteTable(next.routes());
            loop.submit(() -> configure(next, routes, hosts)).syncUninterruptibly();
            if (distribution != null) {
                distribution.configure(next, secrets::get);
            }
            Map<String, String> versions = next.nodeListVersions();
            events.event(Level.INFO, "in_force", "in force: " + next.pools().keySet().stream()
                    .map(pool -> pool + " " + versions.get(pool)).toList() + ", " + next.routes().size()
                    + " routes, changed pools " + changed.keySet(), "changed", changed.keySet());
        }

        @Override
        public void listsChanged(Map<String, PoolList> changed) {
            Map<String, PoolHosts> hosts = PoolHosts.of(changed);
            loop.execute(() -> hosts.forEach((name, list) -> updateHosts(pools.get(name), list)));
            events.event(Level.INFO, "list_changed", "host lists changed by discovery or by time: changed pools "
                    + changed.keySet(),
                    "changed", changed.keySet());
        }

        @Override
        public void leftOut(String pool, String line) {
            events.event(Level.WARN, "left_out", "pool " + pool + ": left out " + line, "pool", pool);
        }
    }

    /** Puts a configuration in force in one event of the event loop: requests see all of it or nothing. */
    private void configure(Configuration next, RouteTable routes, Map<String, PoolHosts> changed) {
        if (gateway == null) {
            initialConfiguration = next;
            gateway = next.gateway();
            statusFile = gateway.statusFile() == null ? null : new StatusFile(file, gateway.statusFile());
            httpFront = new HttpFront(loop, ledger, this::route, next.classes(), next.tenants(), gateway.maxConnections(),
                    gateway.bounds(), messageMemory.requestBudget(), responseMemory, this::log);
            radiusListeners = next.radiusListeners();
            radiusListeners.forEach(each -> radiusFronts.add(radiusFront(next, each)));
            startZones(next);
            if (peers != null) {
                peerLoad = new PeerLoadExchange(loop, clock::now, peers, gateway.name());
            }
        } else {
            if (zones != null) {
                zones.configure(next);
            }
            if (peers != null) {
                peers.configure(next);
            }
        }
        pools.forEach((name, entry) -> {
            if (!entry.retired && !next.pools().containsKey(name)) {
                retire(name, entry);
            }
        });
        next.pools().forEach((name, settings) -> {
            if (pools.get(name) == null || pools.get(name).retired) {
                pools.put(name, openPool(next, settings));
            }
        });
        changed.forEach((name, list) -> updateHosts(pools.get(name), list));
        router.setRoutes(distribution == null ? routes : distribution.routesInForce(routes));
    }

    private void startZones(Configuration next) {
        if (next.zones() != null) {
            zones = new ZoneService(file, loop, clock::now, gateway, next.zones(),
                    line -> events.event(Level.WARN, "zones", line));
            httpFront.setClientZones(zones::zoneOf);
            radiusFronts.forEach(front -> front.setClientZones(zones::zoneOf));
        }
    }

    private static void updateHosts(PoolEntry entry, PoolHosts hosts) {
        if (entry == null || entry.retired) {
            return;  // reported while the pool was removed
        }
        entry.hasAvailableHost = hosts.hasAvailableHost();
        entry.pool.updateHosts(ListForm.FULL, hosts.members());
    }

    /**
     * The source of a pool whose hosts come from discovery alone. A pool with node files has a source whose list always
     * holds.
     */
    private static HostListSource onlySource(DiscoverySource discovery) {
        return new HostListSource() {
            @Override
            public void watch(boolean active) { }  // Service watches for as long as the pool exists

            @Override
            public void fetch() { }

            @Override
            public boolean isListValid() {
                return discovery.listHolds();
            }
        };
    }

    private PoolEntry openPool(Configuration next, PoolSettings settings) {
        Settings moduleSettings = moduleSettings(next, settings);
        Transport transport = settings.isRadius() ? radiusTransport(settings)
                : new HttpTransport(timedLoop, moduleSettings, settings.maxConnections(), responseMemory, this::log);
        Pool pool = new Pool(settings.name(), ledger, new Balance(), moduleSettings, transport);
        DiscoverySource discovery = settings.discovery() == null ? null
                : new DiscoverySource(loop, pool, Addresses.parse(settings.discovery()), control, this::log);
        if (zones != null) {
            pool.setZones(zones.pool(settings.name()));
        }
        if (peerLoad != null) {
            peerLoad.attach(pool);
        }
        pool.start(discovery == null || !settings.files().isEmpty() ? HostListSource.PUSH_ONLY : onlySource(discovery), List.of());
        if (discovery != null) {
            discovery.watch(true);
        }
        return new PoolEntry(pool, discovery, settings.isRadius());
    }

    private Transport radiusTransport(PoolSettings settings) {
        byte[] secret = secrets.get(settings.secret());
        return new RadiusTransport(loop, clock::now, uid -> secret, drops);
    }

    private Settings moduleSettings(Configuration next, PoolSettings pool) {
        GatewaySettings gateway = next.gateway();
        Limits limits = new Limits(true, pool.probesAllowed(), true, false, pool.maxAttempts(), MAX_OPEN_REQUESTS, true, MAX_RETRY_AFTER_MICROS);
        Site site = new Site(gateway.gatewayIndex(), gateway.gatewayCount(), gateway.zone(), gateway.zones(), List.of(), 0,
                List.of());
        Value value = new Value(new Goal(0.4, 0.1, 0.1, 0.4), new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 0.05, false);
        return new Settings(next.classes(), next.tenants(), limits, pool.links(), new Cpu(Long.MAX_VALUE, 0), pool.rules(),
                value, site, new Habits(true, false, Reports.OFF, List.of(), false), false, Weights.NOMINAL, "", 0,
                seeds.nextLong());
    }

    /**
     * Handles a pool that is no longer in the files: its module gets an empty list, and requests whose key is pinned to
     * the pool find it until no pin is left.
     */
    private void retire(String name, PoolEntry entry) {
        entry.retired = true;
        entry.hasAvailableHost = false;
        if (entry.discovery != null) {
            entry.discovery.close();
        }
        entry.pool.close();
        loop.schedule(() -> removeWhenUnpinned(name, entry), RETIRE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void removeWhenUnpinned(String name, PoolEntry entry) {
        if (pools.get(name) != entry) {
            return;  // put back meanwhile: what is known by the name belongs to the new pool
        }
        if (router.hasPinTo(clock.now(), name)) {
            loop.schedule(() -> removeWhenUnpinned(name, entry), RETIRE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        pools.remove(name);
        if (zones != null) {
            zones.poolClosed(name);
        }
    }

    // ---- requests

    private Pool route(RequestClass requestClass, String tenant, HttpRequest message, Long key) {
        String uri = message.uri();
        int query = uri.indexOf('?');
        long seed = key != null ? key : Hashing.hashText(message.headers().get("X-Trace-Id"));
        RouteCriteria traits = new RouteCriteria(requestClass.name(), tenant, query < 0 ? uri : uri.substring(0, query),
                gateway.zone(), seed,
                message.headers()::getAll);
        return poolFor(requestClass, traits, false);
    }

    private RadiusFront radiusFront(Configuration next, RadiusSettings settings) {
        Map<String, RequestClass> classes = new HashMap<>();
        next.classes().forEach(type -> classes.put(type.name(), type));
        RadiusClients radiusClients = new RadiusClients(settings.clients().stream()
                .map(client -> new RadiusClients.Client(
                client.name(), client.range(),
                new Authenticators(secrets.get(client.secret())), client.tenant(), client.messageAuthenticatorRequired())).toList());
        return new RadiusFront(loop, ledger, (className, tenant, key) -> radiusPool(classes.get(className), tenant, key), radiusClients,
                new RadiusFront.Classes(RadiusFront.TimedClass.of(classes.get(settings.accessClass())),
                        RadiusFront.TimedClass.of(classes.get(settings.conversationClass())),
                        RadiusFront.TimedClass.of(classes.get(settings.accountingClass()))),
                new DuplicateCache(settings.replyRetentionMicros(), settings.maxRetainedReplies(), settings.maxRetainedReplies() * KEPT_ANSWER_BYTES), drops);
    }

    private Pool radiusPool(RequestClass requestClass, String tenant, long key) {
        return poolFor(requestClass, new RouteCriteria(requestClass.name(), tenant, "/", gateway.zone(), key,
                name -> List.of()), true);
    }

    /** The pool for a request; null if no route matches, or if the route leads to a pool of another protocol. */
    private Pool poolFor(RequestClass requestClass, RouteCriteria traits, boolean isRadius) {
        long now = clock.now();
        String name = requestClass.repeat() == Repeat.KEYED
                ? router.selectPoolForKey(now, traits, now + requestClass.deadline() + requestClass.dedupWindow(),
                        this::hasAvailableHost)
                : router.selectPool(traits, this::hasAvailableHost);
        PoolEntry entry = name == null ? null : pools.get(name);
        return entry == null || entry.radius != isRadius ? null : entry.pool;
    }

    private boolean hasAvailableHost(String pool) {
        PoolEntry entry = pools.get(pool);
        return entry != null && entry.hasAvailableHost;
    }

    // ---- shutdown

    /**
     * Stops as a gateway does on SIGTERM: serves on for a moment, answers the requests that it has taken, then ends.
     * Changes of the operator's files and of discovery apply until then, so that no attempt goes to a host that drains.
     * Blocks for at most {@code seconds}, which must be 1 or more; requests that are open 0.6 s before the end (0.45 s
     * if {@code seconds} is 1) are answered then. Returns whether all were answered.
     */
    public boolean stop(long seconds) throws InterruptedException {
        synchronized (lifecycle) {
            stopping = true;
        }
        List<Front> fronts = new ArrayList<>(radiusFronts);
        fronts.add(httpFront);
        CountDownLatch answered = new CountDownLatch(fronts.size());
        long maxDeadlineMicros = Math.max(0, TimeUnit.SECONDS.toMicros(seconds) - STOP_RESERVE_MICROS);
        loop.execute(() -> fronts.forEach(front -> front.stop(maxDeadlineMicros, answered::countDown)));
        boolean allAnswered = answered.await(seconds, TimeUnit.SECONDS);
        close();
        return allAnswered;
    }

    /** Ends at once, without waiting for open requests. */
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
