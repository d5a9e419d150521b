package mastdrift.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.Settings;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.Exchange;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Member;
import mastdrift.engine.Pool;
import mastdrift.engine.HostListSource;
import mastdrift.engine.Timers;
import mastdrift.lab.draw.Streams;
import mastdrift.membership.Membership;
import mastdrift.membership.Node;
import mastdrift.membership.PoolList;
import mastdrift.peers.Digest;
import mastdrift.peers.LocalLoad;
import mastdrift.peers.PeerView;
import mastdrift.routing.RouteTable;
import mastdrift.routing.Router;
import mastdrift.routing.RouteCriteria;
import mastdrift.zones.Escrow;
import mastdrift.zones.ZoneSnapshot;
import mastdrift.zones.ZoneBudgetManager;

/** A gateway: the ledger, the router, the pools with their modules and, where the site says so, the membership, as they are in
    service. It may be killed and start again knowing nothing. */
final class ModelGateway {

    private static final int OPEN_MOST = 20_000;
    private static final long TICK = 100_000;
    // 2026-01-01T00:00:00Z, so that windows begin with the run.
    private static final long WALL = 1_767_225_600_000L;

    /** What a gateway is made of by the world that it is in. */
    interface Parts {
        /** Settings of a pool's module. */
        Settings settings(ModelGateway gateway, String pool, long seed);

        /** A module. */
        mastdrift.Balancer module();

        /** Whether it takes notice of hosts that drain; false only where the laboratory shows that it finds who breaks the third rule. */
        boolean heedsDrains();

        /** Connections. */
        ModelTransport transport(ModelGateway gateway, Timers timers, Settings settings, Streams streams);
    }

    /** One life of it. */
    private final class Life {
        private final RequestTracker ledger;
        private final Router router = new Router(Router.MAX_PINS);
        private final Map<String, Pool> pools = new LinkedHashMap<>();
        private final Membership membership;
        private final Map<String, Boolean> somebody = new HashMap<>();
        private final ZoneBudgetManager zoning;
        private final LocalLoad work;
        private final PeerView peers;
        private boolean over;
        private long busyUntil;

        Life(int number) {
            Timers timers = (micros, what) -> time.after(micros, () -> {
                if (!over) {
                    what.run();
                }
            });
            ledger = new RequestTracker(timers, time, OPEN_MOST, line -> { });
            router.setRoutes(new RouteTable(scenario.routes()));
            membership = scenario.site().membership() ? new Membership() : null;
            zoning = scenario.zones() == null ? null : new ZoneBudgetManager("gateway-" + ModelGateway.this.number, zone, scenario.site().gateways(),
                    scenario.zones().settings(), time.now(), wall());
            String name = "gateway-" + ModelGateway.this.number;
            work = scenario.peers() == null ? null : new LocalLoad(name, time.now());
            peers = scenario.peers() == null ? null : new PeerView(name);
            Map<String, Membership.ConfiguredPool> filed = new HashMap<>();
            for (String poolName : poolNames) {
                Streams own = streams.below("life-" + number).below(poolName);
                Settings settings = parts.settings(ModelGateway.this, poolName, own.number("module"));
                Pool pool = new Pool(poolName, ledger, parts.module(), settings,
                        parts.transport(ModelGateway.this, timers, settings, own));
                pools.put(poolName, pool);
                filed.put(poolName, new Membership.ConfiguredPool(List.of(), settings.rules().fallSpan(), settings.rules().warmWithin()));
                if (zoning != null) {
                    pool.setZones(zoning.pool(poolName));
                }
                if (peers != null) {
                    pool.setPeers(work, peers);
                }
                pool.start(HostListSource.PUSH_ONLY, List.of());
            }
            if (zoning != null) {
                tick(timers);
            }
            if (membership != null) {
                membership.applyFiles(time.now(), filed);
            }
        }

        private void tick(Timers timers) {
            zoning.tick(time.now(), wall());
            timers.after(TICK, () -> tick(timers));
        }

        private void told(ListForm form, List<Host> hosts) {
            Map<String, List<Host>> byPool = new LinkedHashMap<>();
            if (form != ListForm.DELTA) {
                poolNames.forEach(name -> byPool.put(name, new ArrayList<>()));
            }
            hosts.stream().map(this::heeded).forEach(host -> byPool.computeIfAbsent(poolOf.get(host.address()), name -> new ArrayList<>()).add(host));
            byPool.forEach((name, own) -> {
                if (membership == null) {
                    pools.get(name).updateHosts(form, members(own));
                    somebody.put(name, true);
                    return;
                }
                List<Node> nodes = own.stream().map(host -> new Node(host.address(), host.address(), host.zone(), host.cell(),
                        host.kind(), host.weight(), host.health(), host.born(), "")).toList();
                put(membership.applyReport(time.now(), name, "discovery", form != ListForm.DELTA, nodes));
            });
        }

        private Host heeded(Host told) {
            return parts.heedsDrains() ? told
                    : new Host(told.address(), told.zone(), told.cell(), told.kind(), told.weight(), Health.UP, told.born());
        }

        private void put(Map<String, PoolList> changed) {
            changed.forEach((name, list) -> {
                pools.get(name).updateHosts(ListForm.FULL, members(list.hosts().stream().map(listed -> listed.host()).toList()));
                somebody.put(name, list.hasAcceptingHost());
            });
            long due = membership.nextReleaseAt();
            if (due != Long.MAX_VALUE) {
                time.after(Math.max(1, due - time.now()), () -> {
                    if (!over && membership.nextReleaseAt() <= time.now()) {
                        put(membership.releaseHeld(time.now()));
                    }
                });
            }
        }

        private Exchange take(Try given) {
            RequestAttributes ask = given.ask();
            RouteCriteria traits = new RouteCriteria(ask.className(), ask.tenant(), "/api", zone, ask.key(), name -> List.of());
            String name = poolNames.size() == 1 && scenario.routes().isEmpty() ? poolNames.get(0)
                    : given.type().repeat() == Repeat.KEYED
                    ? router.selectPoolForKey(time.now(), traits, time.now() + given.type().deadline() + given.type().dedupWindow(),
                            this::somebody)
                    : router.selectPool(traits, this::somebody);
            Pool pool = name == null ? null : pools.get(name);
            if (pool == null) {
                given.sendFailure(false);
                return null;
            }
            return ledger.accept(pool, given, given, ask);
        }

        private boolean somebody(String pool) {
            return somebody.getOrDefault(pool, false);
        }
    }

    private final VirtualTime time;
    private final Scenario scenario;
    private final Parts parts;
    private final Streams streams;
    private final int number;
    private final String zone;
    private final List<String> poolNames;
    private final Map<String, String> poolOf;
    private final Map<String, Integer> indices;
    private Life life;
    private int lives;
    private double spentBefore;

    ModelGateway(VirtualTime time, Scenario scenario, Parts parts, Streams streams, int number, List<String> poolNames,
            Map<String, String> poolOf, Map<String, Integer> indices) {
        this.time = time;
        this.scenario = scenario;
        this.parts = parts;
        this.streams = streams;
        this.number = number;
        this.poolNames = poolNames;
        this.poolOf = poolOf;
        this.indices = indices;
        zone = scenario.site().zones().get(number % scenario.site().zones().size());
    }

    int number() {
        return number;
    }

    String zone() {
        return zone;
    }

    int index(String uid) {
        return indices.get(uid);
    }

    boolean up() {
        return life != null;
    }

    /** Starts, knowing nothing. */
    void start() {
        life = new Life(lives++);
    }

    /** Dies: what it holds is lost, and its connections break. */
    void kill() {
        if (life != null) {
            spentBefore += spentByLife();
            life.over = true;
            life = null;
        }
    }

    /** How many lives it has begun. */
    int lives() {
        return lives;
    }

    private long wall() {
        return WALL + (time.now() - VirtualTime.BEGIN) / 1_000;
    }

    private double spentByLife() {
        List<ZoneSnapshot.BudgetStatus> budgets = life == null || life.zoning == null ? List.of() : life.zoning.snapshot(time.now()).budgets();
        return budgets.isEmpty() ? 0 : budgets.get(0).spent();
    }

    /** What it has used of the first budget in this window, in all its lives. */
    double spent() {
        return spentBefore + spentByLife();
    }

    /** A window is over. */
    void windowOver() {
        spentBefore = 0;
    }

    /** Its word on budgets, or null where it is down. */
    Escrow.Announcement word() {
        return life == null ? null : life.zoning.announcement(time.now());
    }

    void heard(Escrow.Announcement word) {
        if (life != null) {
            life.zoning.receive(word);
        }
    }

    /** What it tells its peers now, having put together what they told; null where it is down. */
    Digest digest() {
        if (life == null) {
            return null;
        }
        Digest digest = life.work.nextDigest();
        life.peers.tick(time.now(), digest.outstandingTotal());
        return digest;
    }

    /** What a peer tells. */
    void heard(Digest digest) {
        if (life != null) {
            life.peers.addDigest(time.now(), digest);
        }
    }

    void told(ListForm form, List<Host> hosts) {
        life.told(form, hosts);
    }

    private static List<Member> members(List<Host> hosts) {
        return hosts.stream().map(host -> new Member(host, null)).toList();
    }

    /** A request is here whole. What its one core has no time for yet waits. */
    void take(Try given) {
        Life now = life;
        long cost = scenario.site().gatewayCost();
        if (cost == 0) {
            given.taken(now.take(given));
            return;
        }
        now.busyUntil = Math.max(now.busyUntil, time.now()) + cost;
        time.after(now.busyUntil - time.now(), () -> {
            if (!now.over && !given.over()) {
                given.taken(now.take(given));
            }
        });
    }

}
