package mastdrift.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import mastdrift.Balancer;
import mastdrift.Balancer.Cpu;
import mastdrift.Balancer.Goal;
import mastdrift.Balancer.Habits;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Limits;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Prices;
import mastdrift.Balancer.Reports;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Site;
import mastdrift.Balancer.Value;
import mastdrift.Balancer.Weights;
import mastdrift.engine.Timers;
import mastdrift.lab.draw.Streams;
import mastdrift.lab.model.Scenario.Fault;
import mastdrift.lab.model.Scenario.Where;
import mastdrift.peers.Digest;
import mastdrift.peers.PeerView;
import mastdrift.zones.Escrow;
import mastdrift.zones.CrossingBudget;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/** A scenario played once, by one policy, with one seed. All that is drawn depends on the seed and not on the policy, so that
    policies meet the same requests and the same faults. */
public final class World {

    private static final long STEP = 100_000;
    private static final long WORDS_EVERY = 1_000_000;
    private static final Links LINKS = new Links(250_000, 15_000_000, 1);
    // What a gateway remembers of a node, for a bound on memory: the module's figures, its place, connections; windows of samples
    // have room only where there are some.
    private static final long NODE_BYTES = 480;
    private static final int LIE = 10_000;
    private static final long FIXED_BYTES = 16 << 20;

    private final Scenario scenario;
    private final Policy policy;
    private final Streams streams;
    private final Trace trace;
    private final VirtualTime time = new VirtualTime();
    private final Watch watch;
    private final ModelNetwork network;
    private final ModelNode[] nodes;
    private final Host[] listed;
    private final Map<String, Integer> indices = new HashMap<>();
    private final Map<String, String> poolOf = new HashMap<>();
    private final List<String> poolNames;
    private final List<ModelGateway> gateways = new ArrayList<>();
    private final List<ModelClients> populations = new ArrayList<>();
    private final ModelLists lists;
    private final Measured measured;
    private long attempts;
    private long crossed;

    /** Builds it; nothing has happened yet. */
    public World(Scenario scenario, Policy policy, long seed, Trace trace) {
        this.scenario = scenario;
        this.policy = policy;
        this.trace = trace;
        streams = Streams.of(seed);
        watch = new Watch(time, scenario.site().rules(), scenario.classes());
        network = new ModelNetwork(scenario.site());
        Set<String> pools = new LinkedHashSet<>();
        scenario.groups().forEach(group -> pools.add(group.pool()));
        poolNames = List.copyOf(pools);
        nodes = new ModelNode[scenario.groups().stream().mapToInt(Scenario.Group::count).sum()];
        listed = new Host[nodes.length];
        nodes();
        for (int i = 0; i < scenario.site().gateways(); i++) {
            gateways.add(new ModelGateway(time, scenario, new Parts(), streams.below("gateway-" + i), i, poolNames, poolOf,
                    indices));
        }
        lists = new ModelLists(time, scenario.site(), watch, gateways, listed, streams.stream("lists"));
        for (int i = 0; i < scenario.populations().size(); i++) {
            populations.add(new ModelClients(this, time, watch, trace, scenario, i, gateways,
                    streams.below("population/" + scenario.populations().get(i).name())));
        }
        measured = new Measured(ModelClients.names(scenario), (int) Math.max(1, (scenario.length() + 999_999) / 1_000_000));
    }

    /** Bytes of memory that a world of a scenario needs at most, but for what its requests hold. */
    public static long bytes(Scenario scenario) {
        long nodes = scenario.groups().stream().mapToLong(Scenario.Group::count).sum();
        return FIXED_BYTES + nodes * scenario.site().gateways() * NODE_BYTES + nodes * 2_000;
    }

    private void nodes() {
        double largest = scenario.kinds().stream().mapToDouble(kind -> kind.cores() * kind.speed()).max().orElse(1);
        Map<String, Scenario.Kind> kinds = new HashMap<>();
        scenario.kinds().forEach(kind -> kinds.put(kind.name(), kind));
        List<String> zones = scenario.site().zones();
        int index = 0;
        for (Scenario.Group group : scenario.groups()) {
            Scenario.Kind kind = kinds.get(group.kind());
            for (int i = 0; i < group.count(); i++, index++) {
                String uid = "n-" + index;
                String zone = zones.get(index % zones.size());
                int cell = group.cell() == 0 ? 0 : i / zones.size() / group.cell();
                nodes[index] = new ModelNode(time, watch, scenario.site().rules(), kind, index, uid, group.pool(), zone, cell,
                        streams.stream("node/" + uid), this::fell);
                listed[index] = new Host(uid, zone, cell, kind.name(), kind.cores() * kind.speed() / largest, Health.UP, 0);
                indices.put(uid, index);
                poolOf.put(uid, group.pool());
            }
        }
    }

    /** What gateways are made of. */
    private final class Parts implements ModelGateway.Parts {

        @Override
        public Settings settings(ModelGateway gateway, String pool, long seed) {
            Scenario.Site site = scenario.site();
            Limits limits = new Limits(true, site.probes(), true, false, site.maxAttempts(), 20_000, site.retryAfter() > 0,
                    site.retryAfter());
            List<String> kinds = scenario.kinds().stream().map(Scenario.Kind::name).toList();
            Value value = new Value(new Goal(0.4, 0.1, 0.1, 0.4), new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 0.05, false);
            return new Settings(scenario.classes(), scenario.tenants(), limits, LINKS, new Cpu(Long.MAX_VALUE, 0), site.rules(),
                    value, new Site(gateway.number(), site.gateways(), gateway.zone(), site.zones(), kinds, 0, List.of()),
                    new Habits(true, false, Reports.OFF, List.of(), site.marksRetry()), false, Weights.NOMINAL, "", 0, seed);
        }

        @Override
        public Balancer module() {
            return policy.modules().get();
        }

        @Override
        public boolean heedsDrains() {
            return policy.breaks() != Policy.Breaks.DRAIN;
        }

        @Override
        public ModelTransport transport(ModelGateway gateway, Timers timers, Settings settings, Streams own) {
            return new ModelTransport(time, timers, network, network.new Way(own.stream("network")), watch, trace, LINKS,
                    gateway.number(), gateway.zone(), nodes, indices, scenario.zones());
        }
    }

    // ---- what gateways tell each other

    private void peers() {
        if (scenario.peers() == null) {
            return;
        }
        UniformRandomProvider telling = streams.stream("peers");
        long every = PeerView.digestIntervalMicros(gateways.size());
        for (ModelGateway gateway : gateways) {
            boolean silent = telling.nextDouble() < scenario.peers().silent();
            boolean lying = telling.nextDouble() < scenario.peers().lying();
            time.after(telling.nextLong(every), () -> tell(gateway, every, silent, lying, telling));
        }
    }

    private void tell(ModelGateway gateway, long every, boolean silent, boolean lying, UniformRandomProvider telling) {
        time.after(every, () -> tell(gateway, every, silent, lying, telling));
        Digest digest = gateway.digest();
        if (digest == null || silent) {
            return;
        }
        Map<String, Integer> out = new HashMap<>();
        digest.outstandingByHost().forEach((uid, count) -> out.put(uid, lying ? LIE * count : count));
        Digest told = new Digest(digest.name(), digest.generation(), digest.sequence(), out, lying ? LIE * digest.outstandingTotal() : digest.outstandingTotal());
        time.after(scenario.peers().delay(), () -> gateways.forEach(other -> {
            if (other != gateway && telling.nextDouble() >= scenario.peers().loss()) {
                other.heard(told);
            }
        }));
    }

    // ---- budgets of what crosses zones

    private void budgets() {
        if (scenario.zones() == null) {
            return;
        }
        if (scenario.zones().shared()) {
            time.after(WORDS_EVERY, this::words);
        }
        if (!scenario.zones().settings().budgets().isEmpty()) {
            CrossingBudget first = scenario.zones().settings().budgets().get(0);
            long span = (first.window().endMillis(0) - first.window().startMillis(0)) * 1_000;
            for (long end = span; end <= scenario.length(); end += span) {
                time.after(end - 1_000, () -> window(first.amount()));
            }
        }
    }

    private void words() {
        List<Escrow.Announcement> words = gateways.stream().map(ModelGateway::word).filter(Objects::nonNull).toList();
        time.after(WORDS_EVERY / 2, () -> gateways.forEach(gateway -> words.forEach(gateway::heard)));
        time.after(WORDS_EVERY, this::words);
    }

    /** A millisecond ahead of its end. */
    private void window(double amount) {
        double spent = gateways.stream().mapToDouble(ModelGateway::spent).sum();
        gateways.forEach(ModelGateway::windowOver);
        Map<String, Long> counts = measured.counts();
        counts.merge("budget_windows", 1L, Long::sum);
        counts.merge("budget_spent", Math.round(spent), Long::sum);
        counts.merge("budget_overrun_ppm", Math.round(Math.max(0, spent - amount) / Math.max(1, amount) * 1e6), Math::max);
    }

    /** Plays it to its end, or until it is told to stop; returns null where it was stopped. */
    public Measured run(BooleanSupplier stopped) {
        gateways.forEach(ModelGateway::start);
        List<Host> all = lists.all();
        gateways.forEach(gateway -> lists.told(gateway, ListForm.CACHED, all));
        for (int i = 0; i < scenario.faults().size(); i++) {
            schedule(scenario.faults().get(i), streams.below("fault-" + i));
        }
        populations.forEach(ModelClients::start);
        budgets();
        peers();
        long rest = scenario.populations().stream().mapToLong(population -> population.tries().most()
                * (population.parts().stream().mapToLong(part -> part.deadline()).max().orElse(0)
                + population.tries().pause() * 4)).max().orElse(0);
        long end = VirtualTime.BEGIN + scenario.length() + rest + 1_000_000;
        for (long until = VirtualTime.BEGIN; until < end; until += STEP) {
            time.run(Math.min(end, until + STEP));
            if (stopped.getAsBoolean()) {
                return null;
            }
        }
        long[] ran = new long[nodes.length];
        for (int i = 0; i < nodes.length; i++) {
            ran[i] = nodes[i].ran();
        }
        measured.worked(ran);
        measured.seen(watch);
        measured.counts().put("attempts", attempts);
        measured.counts().put("attempts_across_zones", crossed);
        measured.counts().put("events", time.done());
        return measured;
    }

    // ---- what clients and nodes tell

    private boolean counts(long askedAt) {
        return askedAt - VirtualTime.BEGIN >= scenario.warm();
    }

    void count(long askedAt, int type, Measured.Of of) {
        if (counts(askedAt)) {
            measured.add((int) ((askedAt - VirtualTime.BEGIN) / 1_000_000), type, of);
        }
    }

    void served(long askedAt, int type, long latency) {
        if (counts(askedAt)) {
            measured.served(type, latency);
        }
    }

    void ran(long askedAt, String from, ModelNode node) {
        if (counts(askedAt)) {
            attempts++;
            crossed += from.equals(node.zone()) ? 0 : 1;
        }
    }

    boolean twice() {
        return policy.breaks() == Policy.Breaks.TWICE;
    }

    private void fell(ModelNode node) {
        note(node.uid(), "is pushed over");
        lists.change(List.of(node), Health.GONE);
    }

    private void note(String who, String what) {
        if (trace != Trace.NONE) {
            trace.step(time.now() - VirtualTime.BEGIN, -1, who, what);
        }
    }

    // ---- faults

    private List<ModelNode> struck(Fault fault, Streams own) {
        Where where = fault.where();
        List<ModelNode> found = new ArrayList<>();
        for (ModelNode node : nodes) {
            if ((where.zone() == null || where.zone().equals(node.zone()))
                    && (where.kind() == null || where.kind().equals(node.kind().name()))
                    && (where.pool() == null || where.pool().equals(node.pool()))
                    && (where.node() == null || where.node().equals(node.uid()))) {
                found.add(node);
            }
        }
        return part(found, where.part(), own);
    }

    private static <T> List<T> part(List<T> found, double part, Streams own) {
        if (part >= 1 || found.isEmpty()) {
            return found;
        }
        ListSampler.shuffle(own.stream("part"), found);
        return new ArrayList<>(found.subList(0, (int) Math.ceil(part * found.size())));
    }

    private void schedule(Fault fault, Streams own) {
        List<ModelNode> struck = struck(fault, own);
        long ends = fault.at() + fault.length();
        switch (fault.what()) {
            case SLOW -> both(fault, ends, struck, node -> node.slower(fault.size()), node -> node.slower(1));
            case ERRORS -> both(fault, ends, struck, node -> node.errors(fault.size()), node -> node.errors(0));
            case FREEZE -> both(fault, ends, struck, node -> node.freeze(true), node -> node.freeze(false));
            case SHED -> both(fault, ends, struck, node -> node.shed(true), node -> node.shed(false));
            case CRASH -> {
                at(fault.at(), fault, () -> crash(struck));
                at(ends, fault, () -> restart(struck));
            }
            case DRAIN -> {
                at(fault.at(), fault, () -> lists.change(struck, Health.LEAVING));
                at(ends, fault, () -> crash(struck));
            }
            case DEPLOY -> deploy(fault, struck);
            case CUT -> {
                at(fault.at(), fault, () -> network.cut(fault.where().zone(), true));
                at(ends, fault, () -> network.cut(fault.where().zone(), false));
            }
            case LISTED_OUT -> {
                at(fault.at(), fault, () -> lists.change(struck, Health.LEAVING));
                at(ends, fault, () -> lists.change(struck, Health.UP));
            }
            case LIST_DOWN -> {
                at(fault.at(), fault, () -> lists.down(true));
                at(ends, fault, () -> lists.down(false));
            }
            default -> gateways(fault, ends, own);
        }
    }

    private void at(long when, Fault fault, Runnable what) {
        time.after(when, () -> {
            note("fault", fault.what() + (when == fault.at() ? " begins" : when == fault.at() + fault.length() ? " ends" : " goes on"));
            what.run();
        });
    }

    private void both(Fault fault, long ends, List<ModelNode> struck, java.util.function.Consumer<ModelNode> begin,
            java.util.function.Consumer<ModelNode> end) {
        at(fault.at(), fault, () -> struck.forEach(begin));
        at(ends, fault, () -> struck.forEach(end));
    }

    private void crash(List<ModelNode> struck) {
        struck.stream().filter(ModelNode::up).forEach(ModelNode::stop);
        lists.change(struck, Health.GONE);
    }

    private void restart(List<ModelNode> struck) {
        struck.forEach(ModelNode::start);
        lists.change(struck.stream().filter(ModelNode::up).toList(), Health.UP);
    }

    /** Batch by batch: told to leave, gone after six tenths of a batch's time, and back cold at once. */
    private void deploy(Fault fault, List<ModelNode> struck) {
        int size = Math.max(1, (int) Math.ceil(fault.size() * struck.size()));
        int batches = (struck.size() + size - 1) / size;
        for (int i = 0; i < batches; i++) {
            List<ModelNode> batch = struck.subList(i * size, Math.min(struck.size(), (i + 1) * size));
            long begin = fault.at() + fault.length() * i / batches;
            at(begin, fault, () -> lists.change(batch, Health.LEAVING));
            at(begin + fault.length() * 6 / 10 / batches, fault, () -> {
                crash(batch);
                restart(batch);
            });
        }
    }

    private void gateways(Fault fault, long ends, Streams own) {
        List<ModelGateway> struck = new ArrayList<>();
        for (ModelGateway gateway : gateways) {
            if ((fault.where().zone() == null || fault.where().zone().equals(gateway.zone()))
                    && (fault.where().node() == null || fault.where().node().equals("gateway-" + gateway.number()))) {
                struck.add(gateway);
            }
        }
        List<ModelGateway> dying = part(struck, fault.where().part(), own);
        at(fault.at(), fault, () -> dying.forEach(gateway -> {
            gateway.kill();
            watch.forget(gateway.number());
            populations.forEach(population -> population.died(gateway));
            time.after(Math.min(scenario.site().frontNotice(), fault.length()), () -> {
                if (!gateway.up()) {
                    populations.forEach(population -> population.front(gateway, false));
                }
            });
        }));
        at(ends, fault, () -> dying.forEach(gateway -> {
            gateway.start();
            lists.told(gateway, ListForm.CACHED, lists.all());
            populations.forEach(population -> population.front(gateway, true));
        }));
    }
}
