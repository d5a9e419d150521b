package mastdrift;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import mastdrift.State.Attempt;
import mastdrift.State.Held;
import mastdrift.State.Pool;
import mastdrift.State.Server;
import mastdrift.State.Session;

/**
 * Headroom split: every decision of one gateway. Its interface, types and units are in Balancer.java;
 * docs/design.md says what follows Bartolini et al. and where and when this departs from it.
 */
public final class Balance implements Balancer {

    // Spans in microseconds.
    private static final long REFRESH = 500_000;        // T_obs: troubles last seconds, so must the shares
    private static final long WINDOW = 10_000_000;      // T: samples older than most troubles mislead
    private static final long KEY_MEMORY = 30_000_000;  // a key unseen for this long is a new session
    private static final long REPORT_FRESH = 1_000_000; // a queue reported earlier than this says nothing
    private static final long DOWN_AFTER = 1_000_000;   // no answer for this long makes a refusal a sign
    private static final long TOLD_WITHIN = 6_000_000;  // a change counts as told by then, heard or not
    private static final long HELD_UP = 150_000;        // between a clock's reading and a first byte, at most
    private static final int SILENT = 3;                // attempts with no answer for so long: it is silent
    private static final long UNSURE = 100_000;        // own lateness that makes leaving say little
    private static final long TRIAL = 3_000_000;        // without probes, who is down is tried so much later
    private static final long SUSPECT_SPAN = 6_000_000; // by then the registry has told of a restart
    // Counts and ratios.
    private static final int SAMPLES = 32;              // kept a server: enough for a 95th percentile
    private static final double PRIOR = 60;             // samples that hold three above a 95th percentile
    private static final double FAILING = 0.05;         // failures beyond a twentieth: p95 is unbounded
    private static final double FAR = 2;                // times the fleet's failures: a failure of its own
    private static final double UNBOUNDED = 1e6;        // in usual latencies: beyond any real one
    private static final double LOWEST = 0.1;           // quantile that stands for r~: no one server decides
    private static final double RISE = 0.1;             // share regained a refresh: a way back, no flood
    private static final double T_AC = 1.0;             // lateness at which refusals begin
    private static final double T_FULL = 1.6;           // lateness at which every new session is refused
    private static final long SERVED_SPAN = 2_000_000;  // admission looks at what was served just now
    private static final long SERVED_MOST = 8_000_000;  // or, where requests are few, in up to this time
    private static final int SERVED = 256;              // served latencies kept for admission
    private static final double LOST = 2;               // lateness of what came to nothing
    private static final double SERVED_FEW = 20;        // fewer than this carry no 95th percentile
    private static final double SERVED_LEAST = 8;       // but a quiet gateway can't wait for so many
    private static final double MANY = 0.2;             // of the servers known full: no few bad ones
    private static final double QUEUE_AC = 0.15;        // of the tightest aim: such a queue starts refusals
    private static final double QUEUE_FULL = 0.5;       // of the tightest aim: little more would be in time
    private static final double OWN_AC = 0.5;           // of the tightest aim: own lateness, refusals begin
    private static final double OWN_FULL = 1.0;         // of the tightest aim: nothing would be in time
    private static final double OVER = 10;              // times the pressure: refusals beyond a share
    private static final double FIRST = 0.5;            // pressure below which refusals are beyond shares
    private static final double BURST = 6;              // requests a tenant may save up at any size
    private static final int LEAST_OF = 4;              // answers whose shortest shows the queue
    private static final double BOUND = 1.25;           // of the mean burden: what one server may hold
    private static final double CROWD = 1.25;           // of its part of what was sent lately: likewise
    private static final double STICKY = 1.3;           // a warm key saves work, so it gets more
    private static final double SPLIT = 0.3;            // of a server's mean traffic: more splits a key
    private static final double UNSEEN = 1 / Math.E;    // what a key had that was never met: see split
    private static final double DEAD = 0.1;            // places of servers that are gone, before all move
    private static final double HISTORY = 4;            // sends a server that count as lately
    private static final int CANDIDATES = 6;            // draws within S* before the least burdened is taken
    private static final int PLACES = 4096;             // of the table: enough for even parts of 500 servers
    private static final int NEAR_FIRST = 32;           // draws for the own zone alone, where crossing costs
    private static final int DRAWS = 64;                // draws in all, a bound on the work a request costs
    private static final double SURE = 8;               // draws expected to fit: one in 3,000 finds none
    private static final double RETRY_SHARE = 0.1;      // retry budget: of the requests that came in
    private static final double PROBE_SHARE = 0.02;     // probe budget: likewise
    private static final double BUDGET_MOST = 20;       // what an unused budget may save up
    private static final int KEYS_MOST = 50_000;        // remembered keys, a bound on memory
    private static final double CREDIT = 0.8;           // part of that for cold hosts: their keys cost more
    private static final double HEAVY = 11;             // times the usual work: two in 100,000 are heavier
    private static final double EWMA = 0.2;             // weight of the newest refresh in send rates
    private static final double USUAL = 0.01;           // weight of one sample in a class's usual latency
    private static final double USUAL_CPU = 0.1;        // weight of one report in its kind's use of cores
    private static final double AWAY = 0.3;             // of a share, in another zone
    private static final double EVEN = 0.2;             // part of the way to even use that a refresh goes
    private static final double UNEVEN = 8;             // kinds differ by no more than this
    // Of the time in which the registry must be asked: what gateways that start together spread their first
    // calls over, and the least mean of a pause after a failed call, which doubles so often.
    private static final int ASK_SPREAD = 20;
    private static final int ASK_LEAST = 40;
    private static final int ASK_DOUBLED = 3;
    private static final long ASK_PAUSE = 250_000;      // likewise, at the least
    private static final long ASK_SOON = 10_000;        // likewise where the registry pushes
    private static final String TIMER = "refresh";
    private static final String ASK = "ask";

    /** A tenant's share at this gateway. Only what is admitted draws on it: clients whose requests are
        refused try again, and their tries must not make a quiet tenant look greedy. */
    private static final class Share {
        private final double even;  // requests a second where all gateways have as many
        private double perSecond;
        private double left;
        private double came;  // lately, whatever became of it
        private long at;

        Share(double even, long now) {
            this.even = even;
            perSecond = even;
            left = Math.max(even, BURST);
            at = now;
        }

        boolean holds(long now) {
            left = Math.min(Math.max(perSecond, BURST), left + perSecond * (now - at) / 1e6);
            at = now;
            return left >= 1;
        }
    }

    private Settings settings;
    private Actions actions;
    private SplittableRandom random;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Share> tenants = new HashMap<>();
    private double[] usual;
    private double mostWorth;
    private boolean weighted;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, Pool> kinds = new LinkedHashMap<>();
    private Server[] order = new Server[0];  // all servers: to walk through a long list, a map costs far more
    private Server[] table = new Server[0];
    private double shareSum;
    private double shareMost;
    private boolean sparse;
    private boolean homeSparse;
    private double queueSum;
    private int outSum;
    private long sentAt;  // to any server
    private double recentSum;
    private double fleetPressure;
    private boolean manyFull;
    private double theta = UNBOUNDED;
    private double aimUsual = UNBOUNDED;
    private double fleetFailing;
    private double traffic;
    private long startedAt;
    private int sharing;
    private int dead;
    private int restarted;
    private final Map<String, Server> left = new HashMap<>();  // gone, with a place in the table
    private final List<Server> ready = new ArrayList<>();  // cold, and it is this gateway's turn
    private double[] values = new double[SAMPLES];
    private double[] times = new double[0];
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>(64, 0.75f, true);
    private final long[] servedAt = new long[SERVED];
    private final double[] served = new double[SERVED];
    private int servedCount;
    private int arrived;
    private double few = SERVED_LEAST;
    private long tightestAim = Long.MAX_VALUE;
    private double retryBudget = BUDGET_MOST / 2;
    private double probeBudget;
    private long refreshedAt;
    private int askFailures;
    private double servedRate;
    private final IdleTimeout idleTimeout = new IdleTimeout();
    private boolean told;  // discovery has told the list: what it tells from then on has come about since
    private Elsewhere others;
    private long ownStanding;
    private long ownBehind;

    // ---- events

    @Override
    public void start(long now, Settings given, Actions asked) {
        check(given);
        settings = given;
        actions = asked;
        random = new SplittableRandom(given.seed());
        usual = new double[given.classes().size()];
        for (RequestClass type : given.classes()) {
            usual[classes.size()] = type.aim() / 4.0;
            classes.put(type.name(), classes.size());
            mostWorth = Math.max(mostWorth, type.worth());
            tightestAim = Math.min(tightestAim, type.aim());
        }
        for (Tenant tenant : given.tenants()) {
            tenants.put(tenant.name(), new Share(tenant.quotaPerSecond() / given.site().gateways(), now));
        }
        refreshedAt = now;
        startedAt = now;
        actions.timer(now + 1 + random.nextLong(REFRESH), TIMER);
        weighted = given.weights() == Weights.NOMINAL || given.weights() == Weights.ROUGH;
        if (given.registryOnRequest()) {
            actions.timer(now + 1 + random.nextLong(given.rules().mustAskIn() / ASK_SPREAD + 1), ASK);
        }
    }

    private static void check(Settings given) {
        require(given.classes().size(), "classes");
        for (RequestClass type : given.classes()) {
            require(type.aim(), type.name() + " aim");
            require(type.deadline(), type.name() + " deadline");
        }
        require(given.site().gateways(), "gateways");
        require(given.limits().maxAttempts(), "max attempts");
        require(given.rules().coldFrom(), "cold from");
        require(given.rules().fallMultiple(), "fall multiple");
    }

    private static void require(double value, String name) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " can't be " + value);
        }
    }

    @Override
    public void own(long now, long standing, long behind) {
        ownStanding = standing;
        ownBehind = behind;
    }

    @Override
    public void elsewhere(Elsewhere told) {
        others = told;
    }

    @Override
    public void request(long now, Request request) {
        Integer cls = classes.get(request.className());
        if (cls == null || held.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or repeated id: " + request);
        }
        long key = request.key() == null ? random.nextLong() : request.key();
        Held req = new Held(request, settings.classes().get(cls), cls, key, now);
        held.put(req.id, req);
        Share share = request.tenant() == null ? null : tenants.get(request.tenant());
        if (share != null) {
            share.came++;
        }
        req.within = share != null ? share.holds(now) : req.crossing == null;
        arrived++;
        retryBudget = Math.min(BUDGET_MOST, retryBudget + RETRY_SHARE);
        probeBudget = Math.min(BUDGET_MOST, probeBudget + PROBE_SHARE);
        if (req.ends - now <= ownStanding) {  // no host's answer would be read in time
            req.why = Why.GATEWAY;
            answer(req);
            return;
        }
        Session session = req.keyed ? sessions.get(key) : null;
        split(now, req, session);
        Server server = session == null ? null : stick(now, req, session);
        boolean queued = server != null && share == null && filled(now, server) > FIRST;
        server = server == null ? turn(now, req) : queued ? null : server;  // before it is refused there
        server = server == null ? draw(now, req) : server;
        boolean refused = server == null || refuses(now, req, share, session != null, server);
        place(now, req, refused ? null : server);
    }

    private void place(long now, Held req, Server server) {
        if (server == null || !send(now, req, server)) {
            answer(req);
        } else if (req.keyed) {
            sessions.put(req.key, new Session(server, now, req.seen));
        }
    }

    @Override
    public void streaming(long now, long id, int attempt) {
        if (held.containsKey(id)) {
            held.get(id).streaming = true;
        }
    }

    @Override
    public void resolved(long now, long id, int number, String address, Outcome outcome, long elapsed,
            boolean over, LoadReport report) {
        Held req = held.get(id);
        learnReport(now, servers.get(address), report);
        boolean known = req != null && number >= 0 && number < req.attempts.size();
        Attempt attempt = known ? req.attempts.get(number) : null;
        if (attempt == null || !attempt.out) {
            return;  // late or repeated: counted once, or the sums of what is out drift
        }
        settle(now, req, attempt, outcome, elapsed);
        if (counts(now, attempt.server) && outcome != Outcome.REVOKED && outcome != Outcome.UNUSED) {
            servedAt[servedCount % SERVED] = now;
            served[servedCount++ % SERVED] = outcome == Outcome.DELIVERED ? lateness(now, req) : LOST;
        }
        if (over) {
            end(req);
        } else if (req.attempts.stream().noneMatch(a -> a.out)) {
            retry(now, req);
        }
    }

    @Override
    public void departed(long now, long id) {
        Held req = held.get(id);
        if (req != null) {
            for (Attempt attempt : req.attempts) {
                if (attempt.out && ownBehind > UNSURE && 2 * ownBehind > now - attempt.sentAt) {
                    unheard(attempt.server);
                }
            }
            end(req);
        }
    }

    /** Whether it would have answered isn't known, by the gateway's own fault: that is no silence. */
    private static void unheard(Server server) {
        server.unanswered = Math.max(0, server.unanswered - 1);
    }

    @Override
    public void timer(long now, String handle) {
        if (handle.equals(TIMER)) {
            actions.timer(now + REFRESH, TIMER);  // first: a fault in what follows must not end the refreshes
            refresh(now);
            probeSome();
        } else if (handle.equals(ASK)) {
            actions.watch(true);
        }
    }

    // ---- server estimate: resp_time(s)

    private void settle(long now, Held req, Attempt attempt, Outcome outcome, long elapsed) {
        Server server = attempt.server;
        attempt.out = false;
        attempt.neverRan = outcome.neverRan();
        server.out.remove(attempt);
        outSum--;
        if (outcome == Outcome.DELIVERED || outcome == Outcome.DROPPED || outcome == Outcome.EXPIRED) {
            idleTimeout.learn(now, attempt.idle, outcome != Outcome.DELIVERED);
        }
        if (outcome == Outcome.SHED || outcome == Outcome.DIAL_FAILED) {
            setWait(now, server, tightestAim);
        } else if (outcome == Outcome.DELIVERED || outcome == Outcome.EXPIRED) {
            learnWait(now, server, elapsed);
        }
        switch (outcome) {
            case DELIVERED -> {
                server.usedAt = now;
                usual[req.cls] += USUAL * (elapsed - usual[req.cls]);
                server.delivered++;
                server.overtook = Math.max(server.overtook, attempt.sentAt - elapsed);
                answered(now, server);
                learn(now, server, elapsed / usual[req.cls]);
            }
            case REVOKED, UNUSED -> unheard(server);
            default -> failed(now, server, outcome);
        }
    }

    private void failed(long now, Server server, Outcome outcome) {
        if (outcome == Outcome.ERROR || outcome == Outcome.SHED) {
            answered(now, server);
        } else if (outcome == Outcome.DIAL_FAILED && now - server.answeredAt > DOWN_AFTER) {
            markDown(now, server);
        }
        learn(now, server, UNBOUNDED);
        measure(now, server);
        estimate(server);
        server.share = Math.min(server.share, target(now, server));
    }

    /** Once half of a zone is down, so is what has been silent there as long: a zone cut off or lost should
        not cost a request for each of its servers. */
    private void markDown(long now, Server server) {
        server.down = true;
        String name = server.host.zone();
        List<Server> zone = servers.values().stream().filter(s -> s.host.zone().equals(name)).toList();
        if (2 * zone.stream().filter(s -> s.down).count() > zone.size()) {
            zone.stream().filter(s -> now - s.answeredAt > DOWN_AFTER).forEach(s -> s.down = true);
        }
        zone.stream().filter(s -> s.down).forEach(s -> s.share = 0);
    }

    /** A server that was silent may have restarted before the registry knows: it comes back as if cold. */
    private void answered(long now, Server server) {
        server.answeredAt = now;
        server.unanswered = 0;
        if (server.down) {
            server.down = false;
            chill(now, server, now, SUSPECT_SPAN);
        }
    }

    private void learn(long now, Server server, double value) {
        if (server.sampleAt.length == 0) {
            server.sampleAt = new long[SAMPLES];
            server.sample = new double[SAMPLES];
        }
        int at = server.samples++ % SAMPLES;
        server.sampleAt[at] = now;
        server.sample[at] = value;
    }

    private static void learnReport(long now, Server server, LoadReport report) {
        if (server != null && !Double.isNaN(report.cpu()) && server.coldSince == 0) {
            Pool kind = server.kind;
            kind.cpu += (kind.reports++ == 0 ? 1 : USUAL_CPU) * (report.cpu() - kind.cpu);
        }
        if (server != null && !Double.isNaN(report.waiting())) {
            server.queue = report.waiting();
            server.queueAt = now;
        }
    }

    /** The server's own window; attempts still out count as at least their age, so a freeze shows early. */
    private void measure(long now, Server server) {
        if (quiet(now, server)) {
            server.ownP95 = server.ownCount = server.ownFailures = 0;
            return;  // of a long list nearly all
        }
        if (values.length < SAMPLES + server.out.size()) {
            values = new double[2 * (SAMPLES + server.out.size())];
        }
        int count = 0;
        int failures = 0;
        for (int i = 0; i < Math.min(SAMPLES, server.samples); i++) {
            if (now - server.sampleAt[i] > WINDOW) {
                continue;
            }
            if (server.sample[i] >= UNBOUNDED) {
                failures++;
            } else {
                values[count++] = server.sample[i];
            }
        }
        for (Attempt attempt : server.out) {
            double age = (now - ownBehind - attempt.sentAt) / usual[attempt.cls];
            if (age > server.respTime) {
                values[count++] = age;
            }
        }
        Arrays.sort(values, 0, count);
        server.ownP95 = count == 0 ? 0 : values[(int) Math.ceil(0.95 * count) - 1];
        server.ownCount = count;
        server.ownFailures = failures;
    }

    private static boolean quiet(long now, Server server) {
        return server.out.isEmpty()
                && (server.samples == 0 || now - server.sampleAt[(server.samples - 1) % SAMPLES] > WINDOW);
    }

    /** Blends the own window with that of the kind, the fewer samples the more. */
    private void estimate(Server server) {
        int n = server.ownCount;
        Pool kind = server.kind;
        double peers = kind.samples == 0 ? 1 : kind.latency / kind.samples;
        double finite = (n * server.ownP95 + PRIOR * (peers + (n == 0 ? server.probeTrip : 0))) / (n + PRIOR);
        server.respTime = failing(server) ? UNBOUNDED : finite;
        server.serving = (n + PRIOR) / (n + server.ownFailures + PRIOR);
    }

    /** Over a twentieth of attempts, and beyond what chance makes of that. Where the whole fleet fails more,
        as in an overload, the bar goes with it: emptying S* would crush the few servers left in it. */
    private boolean failing(Server server) {
        double expected = Math.max(FAILING, FAR * fleetFailing) * (server.ownCount + server.ownFailures);
        return server.ownFailures - 1 > expected + Math.sqrt(expected);
    }

    // ---- shares and S*

    private void refresh(long now) {
        double span = Math.max(1, now - refreshedAt) / 1e6;
        refreshedAt = now;
        few += EWMA * (Math.max(SERVED_LEAST, Math.min(SERVED_FEW, arrived)) - few);
        traffic = traffic * Math.exp(-span * 1e6 / KEY_MEMORY) + arrived;
        arrived = 0;
        shareOut(now, span);
        kinds.values().forEach(Pool::clear);
        if (times.length < order.length) {
            times = new double[order.length];
        }
        int failing = 0;
        for (Server server : order) {
            long silent = now - ownBehind - server.unansweredSince;
            if (server.unanswered >= SILENT && silent > DOWN_AFTER && !server.down) {
                markDown(now, server);
            }
            if (server.down && !settings.limits().probes() && now - server.sentAt > TRIAL) {
                answered(now, server);  // as if cold, or nothing would ever tell that it is back
            }
            measure(now, server);
            for (Attempt attempt : server.out) {
                if (attempt.sentAt > server.overtook) {
                    long age = now - ownBehind - attempt.sentAt;
                    if (age > waiting(now, server)) {
                        setWait(now, server, age);
                    }
                    break;
                }
            }
            server.kind.latency += server.ownCount * server.ownP95;
            server.kind.samples += server.ownCount;
            if (server.coldSince == 0 && server.host.health() == Health.UP) {
                server.kind.warm++;
                server.kind.delivered += server.delivered;
            }
            server.delivered = 0;
            int seen = server.ownCount + server.ownFailures;
            if (!server.down && seen > 0) {
                times[failing++] = (double) server.ownFailures / seen;
            }
        }
        Arrays.sort(times, 0, failing);
        fleetFailing = failing == 0 ? 0 : times[failing / 2];
        for (Pool kind : kinds.values()) {
            double rate = kind.warm == 0 ? 0 : kind.delivered / kind.warm / span;
            double weight = rate > kind.rate ? EWMA : REFRESH / (double) settings.rules().warmWithin();
            kind.rate += kind.warm == 0 ? 0 : weight * (rate - kind.rate);
        }
        idleTimeout.advance(now);
        sizeKinds();
        setThreshold();
        double fade = Math.min(1, HISTORY * servers.size() / Math.max(1, recentSum));
        recentSum = 0;
        shareSum = 0;
        shareMost = 0;
        queueSum = 0;
        sharing = 0;
        int known = 0;
        int full = 0;
        ready.clear();
        for (Server server : order) {
            double target = target(now, server);
            server.share = Math.min(target, server.share + RISE);
            server.inSet = target > 0;
            shareSum += server.share;
            shareMost = Math.max(shareMost, server.share);
            queueSum += queue(now, server);
            server.recent *= fade;
            recentSum += server.recent;
            sharing += server.inSet ? 1 : 0;
            known += server.ownCount + server.ownFailures > 0 ? 1 : 0;
            full += full(now, server) ? 1 : 0;
            if (server.coldSince > 0 && server.inSet && credit(now, server) >= 1
                    && rate(now, server) * lapse() < 1) {
                ready.add(server);
            }
        }
        manyFull = full > MANY * known;
        setPressure(now);
        forget(now);
    }

    /** A gateway that has several times its part of the traffic has that part of every tenant's: an even
        share there refuses those whose use of the whole is small. How much it has tells the tenant in the
        middle, by what comes of it against its even share; who is greedy is beyond that one everywhere. In an
        overload all come often, since they try again: shares hold no more than what is served here. */
    private void shareOut(long now, double span) {
        double filled = 1 - Math.exp(-Math.max(SERVED_SPAN, now - startedAt) / (double) SERVED_MOST);
        double[] parts = new double[tenants.size()];
        double even = 0;
        int count = 0;
        for (Share share : tenants.values()) {
            even += share.even;
            parts[count++] = share.came / (filled * SERVED_MOST / 1e6) / Math.max(share.even, 1e-9);
            share.came *= Math.exp(-span * 1e6 / SERVED_MOST);
        }
        Arrays.sort(parts);
        double done = Arrays.stream(order).mapToInt(server -> server.delivered).sum() / span;
        servedRate += Math.min(1, span * 1e6 / SERVED_MOST) * (done - servedRate);
        double most = servedRate / Math.max(even, 1e-9);
        double has = count == 0 ? 1 : Math.max(1, Math.min(most, parts[(count - 1) / 2]));
        tenants.values().forEach(share -> share.perSecond = has * share.even);
    }

    /** Where reports tell how busy cores are and no weight tells sizes, kinds are given more or less until
        all are alike busy: at full size no gateway sees enough of one server, but soon enough of a kind. */
    private void sizeKinds() {
        double mean = kinds.values().stream().filter(k -> k.reports > 0).mapToDouble(k -> k.cpu)
                .average().orElse(0);
        for (Pool kind : kinds.values()) {
            if (kind.reports > 0 && mean > 0) {
                double turn = Math.pow(mean / Math.max(kind.cpu, mean / UNEVEN), EVEN);
                kind.size = Math.max(1 / UNEVEN, Math.min(UNEVEN, kind.size * turn));
            }
        }
    }

    /** theta = k * T_SS with k = ceil(r~ / T_SS). T_SS is the tightest deadline, the upper end of what the
        design allows: S* holds every server that still answers in time, and shares of sound ones don't follow
        the noise of a 95th percentile, which would move keys away from the servers that have them warm. */
    private void setThreshold() {
        int count = 0;
        for (Server server : order) {
            estimate(server);
            if (!server.down && server.host.health() == Health.UP) {
                times[count++] = server.respTime;
            }
        }
        if (count == 0) {
            return;
        }
        Arrays.sort(times, 0, count);
        double tss = UNBOUNDED;
        aimUsual = UNBOUNDED;
        for (int i = 0; i < usual.length; i++) {
            tss = Math.min(tss, settings.classes().get(i).deadline() / usual[i]);
            aimUsual = Math.min(aimUsual, settings.classes().get(i).aim() / usual[i]);
        }
        theta = tss * Math.ceil(times[(int) (LOWEST * count)] * 1.01 / tss);
    }

    /** (theta - resp_time(s)) / theta, no more than the capacity there is while cold, in the part in which it
        serves (failures leave no latencies), and less in another zone: crossing costs time and points. */
    private double target(long now, Server server) {
        if (server.down || server.host.health() != Health.UP || server.respTime > theta) {
            return 0;
        }
        double size = (near(server) ? 1 : AWAY) * server.kind.size * size(server.host);
        return (theta - server.respTime) / theta * size * warmth(now, server) * server.serving;
    }

    private boolean near(Server server) {
        return server.host.zone().equals(settings.site().zone());
    }

    private double size(Host host) {
        return weighted ? host.weight() : 1;
    }

    private double queue(long now, Server server) {
        return now - server.queueAt < REPORT_FRESH ? server.queue : 0;
    }

    // ---- draw and stickiness

    /** What a key has is judged by what it has here, against what a server has from here on the mean: how
        many gateways there are cancels out, so nobody needs to know. A key with more than SPLIT of a
        server's is split into as many keys as keep each to that, and a request is of any of them. What each
        of n gateways meets less than once a memory T goes unseen: by its first sight at each, a key of r
        requests a second brings its first server r e^(-r T / n), at most n / (e T); as if each had met it 1
        / e times. */
    private void split(long now, Held req, Session session) {
        req.seed = req.key;
        if (!req.keyed || table.length == 0) {
            return;
        }
        req.seen = session == null ? 1
                : 1 + session.seen() * Math.exp((session.at() - now) / (double) KEY_MEMORY);
        double filled = 1 - Math.exp(-Math.max(REFRESH, now - startedAt) / (double) KEY_MEMORY);
        double mean = (traffic + arrived) / filled / Math.max(1, sharing == 0 ? servers.size() : sharing);
        double parts = Math.min(servers.size(), (req.seen - 1 + UNSEEN) / (SPLIT * mean));
        if (parts > 1 && session != null && req.type.repeat() == Repeat.KEYED) {
            req.home = session.server().host;  // a repeat has to stay where it is dropped
        }
        int part = parts <= 1 ? 0 : (int) (random.nextDouble() * parts);
        if (part > 0) {
            req.seed = mix(req.key ^ part * 0xD1342543DE82EF95L);
        }
    }

    /** A cold server whose turn it is here: in a long list draws would seldom meet it in that time. */
    private Server turn(long now, Held req) {
        while (!ready.isEmpty() && req.home == null) {
            Server server = ready.get(ready.size() - 1);
            if (!listed(server) || credit(now, server) < 1 || filled(now, server) > 0) {
                ready.remove(ready.size() - 1);
                continue;
            }
            boolean fits = crossing(now, req, server) == 1 && maySend(now, req, server);
            if (fits) {
                ready.remove(ready.size() - 1);
            }
            return fits ? server : null;
        }
        return null;
    }

    /** Gateways that agree on the shares draw the same server for a key, since the key seeds the draw. Within
        a share, a request passes on from a server with a queue: it would be refused while others have none.
        What is beyond shares doesn't: that would crowd these. */
    private Server draw(long now, Held req) {
        Server least = null;
        Server crowded = null;  // the first of the own zone with a queue: taken where the other has no better
        double leastBurden = Double.MAX_VALUE;
        int found = 0;
        for (int i = 0; i < DRAWS && found < CANDIDATES && table.length > 0; i++) {
            long hash = mix(req.seed + i * 0x9E3779B97F4A7C15L);
            Server server = present(table[(int) hash & (table.length - 1)]);
            boolean far = req.crossing != null && !near(server);
            if (far && crowded == null && (i < NEAR_FIRST || found > 0)) {
                continue;  // a crossing costs: the own zone first, the other one for its queues
            }
            if (req.home != null && !sameGroup(req.type.group(), req.home, server.host)) {
                continue;
            }
            double share = server.share * crossing(now, req, server);
            if ((mix(hash) >>> 11) * 0x1.0p-53 * shareMost >= share || !maySend(now, req, server)) {
                continue;
            }
            found++;
            double burden = burden(now, server) + (req.within || far ? Math.max(0, filled(now, server)) : 0);
            if (burden <= 1 && req.crossing != null && !far && pressure(now, server) > 0) {
                crowded = crowded == null ? server : crowded;
                continue;
            }
            if (burden <= 1) {
                return server;
            }
            if (burden < leastBurden) {
                least = server;
                leastBurden = burden;
            }
        }
        if (crowded != null) {
            return crowded;
        }
        if (found == 0 && req.home != null) {  // its group has nobody free, or is too small to be met
            req.home = null;
            req.seed = req.key;
            return draw(now, req);
        }
        return found == 0 && (req.crossing == null ? sparse : homeSparse) ? search(now, req) : least;
    }

    /** For lists that are sparse: most servers take nothing, or few have nearly all of the weight, so that
        draws may miss them. Every server is looked at: the lowest -ln(u) / share wins, with u from the key
        (weighted rendezvous, as in routing), so that gateways still agree and parts are as the shares say.
        Elsewhere draws that find nobody say that few may be sent to, and all that comes would crush those. */
    private Server search(long now, Held req) {
        Server best = null;
        double lowest = Double.MAX_VALUE;
        for (Server server : order) {
            if (server.share > 0 && maySend(now, req, server)) {
                long hash = mix(req.seed ^ mix(server.host.address().hashCode()));
                double share = server.share * crossing(now, req, server);
                double score = -Math.log(((hash >>> 11) + 0.5) * 0x1.0p-53) / share;
                if (score < lowest) {
                    lowest = score;
                    best = server;
                }
            }
        }
        return best;
    }

    /** What a server holds with one more, against its part by share of what all hold; small counts pass.
        Of many gateways none holds much, so what it was sent lately is weighed alike: a popular key is
        spread over the servers next in its order at every gateway, though none sees a crowd. */
    private double burden(long now, Server server) {
        double holds = server.out.size() + queue(now, server) + 1;
        double all = outSum + queueSum + 1;
        if (others != null) {
            holds += others.out(server.host.address());
            all += others.total();
        }
        double part = server.share / Math.max(shareSum, 1e-9);
        double crowd = (server.recent + 1) / (recentSum * part + 1);
        double burden = holds <= 2 ? holds / 2 : holds / Math.max(all * part, 1);
        return Math.max(crowd / CROWD, burden / BOUND);
    }

    private Server stick(long now, Held req, Session session) {
        Server server = session.server();
        // What a warm key saves is no reason to cross, unless crossing weighs nothing.
        boolean fits = server.inSet && !server.down && crossing(now, req, server) == 1
                && maySend(now, req, server);
        return fits && burden(now, server) <= STICKY ? server : null;
    }

    private void forget(long now) {
        Iterator<Session> eldest = sessions.values().iterator();
        while (eldest.hasNext()) {
            if (now - eldest.next().at() < KEY_MEMORY && sessions.size() <= KEYS_MOST) {
                return;
            }
            eldest.remove();
        }
    }

    /** Gives every server as many places as the next, taken in turn in an order of its own: the same at every
        gateway whatever the order of its list, and a server that comes or goes moves few places of others. */
    private void seat() {
        left.clear();
        dead = 0;
        restarted = 0;
        Server[] order = servers.values().toArray(new Server[0]);
        Arrays.sort(order, Comparator.comparing(server -> server.host.address()));
        int size = PLACES;
        while (size < 8 * order.length) {
            size *= 2;
        }
        table = new Server[order.length == 0 ? 0 : size];
        long[] next = new long[order.length];
        for (int taken = 0; taken < table.length; taken++) {
            int turn = taken % order.length;
            long own = mix(order[turn].host.address().hashCode() + 0x9E3779B97F4A7C15L);
            int place;
            do {
                place = (int) (own + next[turn]++ * (own >>> 32 | 1)) & size - 1;
            } while (table[place] != null);
            table[place] = order[turn];
        }
    }

    /** Who has a place now: a server that started again keeps the place of its address. */
    private static Server present(Server seated) {
        Server server = seated;
        while (server.successor != null) {
            server = server.successor;
        }
        return server;
    }

    private static long mix(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    // ---- admission

    /** The design's figure: the 95th percentile of what S* served just now. Where few servers are full by
        their own queue, without those: a tenth would have all refuse. What waits late and isn't overtaken
        counts as served; what failed does only once half of all is late or lost: then nothing is served. */
    private void setPressure(long now) {
        int kept = Math.min(SERVED, servedCount);
        double[] values = new double[kept + held.size()];
        double[] all = new double[kept + held.size()];
        int count = 0;
        int total = 0;
        for (int i = servedCount - 1; i >= servedCount - kept; i--) {
            long age = now - servedAt[i % SERVED];
            if (age >= SERVED_SPAN && (total >= few || age >= SERVED_MOST)) {
                break;
            }
            all[total++] = served[i % SERVED];
            if (served[i % SERVED] < LOST) {
                values[count++] = served[i % SERVED];
            }
        }
        // A busy gateway's kept answers are of a part of the span: that part counts of those that wait, too.
        long back = kept == SERVED ? now - servedAt[servedCount % SERVED] : SERVED_SPAN;
        double part = Math.min(1, Math.max(1, back) / (double) SERVED_SPAN);
        double taken = 0;
        for (Held req : held.values()) {
            taken += part;
            if (taken < 1) {
                continue;
            }
            taken--;
            Attempt attempt = req.attempts.get(req.attempts.size() - 1);
            if (now - req.since > req.type.aim() && counts(now, attempt.server)) {
                all[total++] = lateness(now, req);
                if (attempt.sentAt > attempt.server.overtook) {
                    values[count++] = lateness(now, req);
                }
            }
        }
        double late = Math.max(quantile(values, count, 0.95), quantile(all, total, 0.5));
        fleetPressure = Math.max(0, Math.min(1, (late - T_AC) / (T_FULL - T_AC)));
    }

    private double quantile(double[] values, int count, double part) {
        Arrays.sort(values, 0, count);
        return count < few ? 0 : values[Math.min(count - 2, (int) Math.ceil(part * count) - 1)];
    }

    /** Up to the aim its part of that, then 1 plus the part of the way on to the deadline. */
    private static double lateness(long now, Held req) {
        double waited = now - req.since;
        long aim = req.type.aim();
        return waited <= aim ? waited / aim : 1 + (waited - aim) / Math.max(1, req.type.deadline() - aim);
    }

    /** How far a server's queue fills the tightest aim: 0 up to QUEUE_AC, 1 from QUEUE_FULL. Judged server by
        server by its shortest answer: long requests lift a percentile, only a queue lifts the shortest. */
    private double pressure(long now, Server server) {
        return Math.max(fleetPressure, Math.min(1, filled(now, server)));
    }

    private boolean counts(long now, Server server) {
        return server.inSet && (manyFull || !full(now, server));
    }

    /** By its queue, or by its own 95th percentile: a slow server that gets little soon shows no queue. */
    private boolean full(long now, Server server) {
        return filled(now, server) > 0 || server.ownP95 > aimUsual;
    }

    private double filled(long now, Server server) {
        return (waiting(now, server) / tightestAim - QUEUE_AC) / (QUEUE_FULL - QUEUE_AC);
    }

    /** Takes the shortest of every few answers; a shorter one counts at once. */
    private void learnWait(long now, Server server, double wait) {
        server.least = Math.min(server.least, wait);
        if (++server.leastOf >= LEAST_OF || wait < waiting(now, server)) {
            setWait(now, server, server.least);
        }
    }

    private void setWait(long now, Server server, double wait) {
        server.wait = wait;
        server.waitAt = now;
        server.least = Double.MAX_VALUE;
        server.leastOf = 0;
    }

    /** A queue that nobody adds to drains as time goes by. */
    private static double waiting(long now, Server server) {
        return Math.max(0, server.wait - (now - server.waitAt));
    }

    /** What the gateway itself is late by counts on the way there and back; unlike a server's queue, another
        place wouldn't be better, so refusals begin only where it uses up the aim.
        What is beyond a share first, up to FIRST that alone. Then new keys, rising; remembered ones only when
        refusing all new ones isn't enough. Whoever refuses all learns no more: one goes where nothing
        was sent in the span that admission looks at. */
    private boolean refuses(long now, Held req, Share share, boolean remembered, Server server) {
        boolean over = share != null && !req.within;
        double own = Math.min(1, (2.0 * ownStanding / tightestAim - OWN_AC) / (OWN_FULL - OWN_AC));
        double pressure = Math.max(pressure(now, server), own);
        double rest = share == null ? pressure : Math.max(0, (pressure - FIRST) / (1 - FIRST));
        double chance = over ? OVER * pressure : remembered ? 2 * rest - 1 : 2 * rest;
        if (chance > 0 && now - sentAt < SERVED_SPAN
                && random.nextDouble() < chance * (1.2 - 0.4 * req.type.worth() / mostWorth)) {
            req.why = over ? Why.SHARE : own > 0 && own >= filled(now, server) ? Why.GATEWAY : Why.HOSTS;
            return true;
        }
        if (share != null && !over) {
            share.left--;
        }
        return false;
    }

    // ---- the guards of the four rules

    /** The one gate of every send: drains, repeats, parallel tries and cold hosts are kept here. */
    private boolean send(long now, Held req, Server server) {
        if (!maySend(now, req, server)) {
            return false;
        }
        if (server.coldSince > 0) {
            server.coldCredit--;
        }
        Attempt attempt = new Attempt(server, req.cls, now);
        req.attempts.add(attempt);
        server.out.add(attempt);
        freshen(now, server, attempt);
        server.unansweredSince = server.unanswered++ == 0 ? now : server.unansweredSince;
        server.sentAt = sentAt = now;
        server.recent++;
        recentSum++;
        outSum++;
        actions.send(req.id, server.host.address(), req.ends - now, repeatable(now, req));
        return true;
    }

    /** For how long the newest attempt may leave: repeats are dropped in their window alone. */
    private static long repeatable(long now, Held req) {
        long until = req.ends;
        for (Attempt before : req.attempts.subList(0, req.attempts.size() - 1)) {
            boolean mayHaveRun = req.type.repeat() == Repeat.KEYED && !before.neverRan;
            until = mayHaveRun ? Math.min(until, before.sentAt + req.type.dedupWindow() - HELD_UP) : until;
        }
        return until - now;
    }

    /** Connections idle for longer than losses on such allow are closed before the send. */
    private void freshen(long now, Server server, Attempt attempt) {
        long idle = server.out.size() > 1 || server.usedAt == 0 ? 0 : now - server.usedAt;
        if (idleTimeout.isTooLong(idle)) {
            actions.closeIdle(server.host.address());
        } else if (idle < settings.links().idle()) {
            attempt.idle = idle;
        }
    }

    private boolean maySend(long now, Held req, Server server) {
        return listed(server) && req.ends > now && !req.streaming
                && req.attempts.size() < settings.limits().maxAttempts()
                && crossing(now, req, server) > 0 && mayRepeat(now, req, server)
                && coldAllows(now, req, server);
    }

    /** The part of its share that a server has for a request, by the zone that it is in. */
    private static double crossing(long now, Held req, Server server) {
        return req.crossing == null ? 1 : req.crossing.part(now, server.host.zone());
    }

    private boolean listed(Server server) {
        return server.host.health() == Health.UP && servers.get(server.host.address()) == server;
    }

    /** An attempt that may have run binds what follows: never, or to its group within the window. */
    private boolean mayRepeat(long now, Held req, Server server) {
        for (Attempt attempt : req.attempts) {
            if (attempt.out && !settings.limits().parallelTries() || attempt.server == server) {
                return false;
            }
            if (attempt.neverRan || req.type.repeat() == Repeat.SAFE) {
                continue;
            }
            if (req.type.repeat() == Repeat.UNSAFE || now - attempt.sentAt >= req.type.dedupWindow() - HELD_UP
                    || !sameGroup(req.type.group(), attempt.server.host, server.host)) {
                return false;
            }
        }
        return true;
    }

    private static boolean sameGroup(Group group, Host one, Host other) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> one.zone().equals(other.zone());
            case CELL -> one.cell() == other.cell();
        };
    }

    /** The one gate of every refusal and failure: a refusal only where a new try is proved harmless. */
    private void answer(Held req) {
        boolean harmless = req.type.repeat() == Repeat.SAFE
                || req.type.repeat() == Repeat.KEYED && req.type.group() == Group.ALL
                || req.attempts.stream().allMatch(a -> a.neverRan);
        if (harmless) {
            if (req.why == Why.HOSTS && req.crossing != null && req.crossing.heldBack()) {
                req.why = Why.ZONES;
            }
            long after = settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0;
            actions.refuse(req.id, after, req.why);
        } else {
            actions.fail(req.id);
        }
        end(req);
    }

    private void end(Held req) {
        held.remove(req.id);
        for (int i = 0; i < req.attempts.size(); i++) {
            Attempt attempt = req.attempts.get(i);
            if (attempt.out) {
                attempt.out = false;
                attempt.server.out.remove(attempt);
                outSum--;
                if (settings.limits().cancel()) {
                    actions.cancel(req.id, i);
                }
            }
        }
    }

    /** A cold host may take its part of what warm hosts of its kind take, and no more than it answers: keys
        that warm hosts know, requests that clients give up, all make the part a guess in any surge. */
    private boolean coldAllows(long now, Held req, Server server) {
        if (server.coldSince == 0 || warmth(now, server) == 1) {
            return true;
        }
        double answering = 2 * rate(now, server) * usual[req.cls] / 1e6;
        return bears(now, req, server) && credit(now, server) >= 1
                && (server.unanswered == 0 || server.unanswered < answering
                || now - server.sentAt >= settings.rules().fallSpan());
    }

    /** Whether it bears a single heavy request: what it has in store holds HEAVY usual ones. It does at least
        one at a time in the usual time, and what all gateways have its like do. */
    private boolean bears(long now, Held req, Server server) {
        double able = Math.max(likeRate(server) * settings.site().gateways(), 1e6 / usual[req.cls]);
        Rules rules = settings.rules();
        return rules.fallMultiple() * warmth(now, server) * able * rules.fallSpan() / 1e6 >= HEAVY;
    }

    /** Requests a second that a cold server may have from here. */
    private double rate(long now, Server server) {
        return CREDIT * warmth(now, server) * likeRate(server);
    }

    /** How long, in seconds, one of many gateways may put off what it may send: what all may send in that
        time, the server bears at once beside what goes on; half of it is for chance in phases and work. */
    private double lapse() {
        Rules rules = settings.rules();
        return 0.5 * Math.max(0, rules.fallMultiple() - CREDIT) / CREDIT * rules.fallSpan() / 1e6;
    }

    /** What a cold server may be sent now. Where that is less than one request a lapse, what is not sent in
        its time is not saved up: gateways with one in hand each would all spend it on one popular key. */
    private double credit(long now, Server server) {
        double rate = rate(now, server);
        server.coldCredit += rate * (now - server.creditAt) / 1e6;
        server.creditAt = now;
        double slot = rate * lapse();
        if (slot >= 1) {
            double most = Math.max(1, rate * settings.rules().fallSpan() / 2e6);
            server.coldCredit = Math.min(most, server.coldCredit);
        } else if (server.coldCredit >= 1) {
            double phase = server.coldCredit % 1;
            server.coldCredit = phase <= slot ? 1 + phase : phase;
        }
        return server.coldCredit;
    }

    /** What warm hosts of the kind last served a second. Not what they were sent: in an overload that is many
        times what they can do, and a cold host given its part of it falls. Kept while no host is warm, and
        for about a warm-up when they serve less: in a collapse the newcomers are what ends it. */
    private double likeRate(Server server) {
        if (server.kind.rate > 0) {
            return server.kind.rate;
        }
        return kinds.values().stream().filter(k -> k.rate > 0).mapToDouble(k -> k.rate).min().orElse(0);
    }

    /** The least part of its capacity that a host can have by now. */
    private double warmth(long now, Server server) {
        if (server.down) {
            server.coldSince = now;
        }
        if (server.coldSince == 0 || now - server.coldSince >= server.coldSpan) {
            server.coldSince = 0;
            return 1;
        }
        double from = settings.rules().coldFrom();
        return from + (1 - from) * (now - server.coldSince) / settings.rules().warmWithin();
    }

    private void chill(long now, Server server, long since, long span) {
        if (now - since < span) {
            server.coldSince = Math.max(1, since);
            server.coldSpan = span;
            // Gateways in turn, another first at each host, so that their single requests don't coincide.
            int all = settings.site().gateways();
            int slot = Math.floorMod(mix(server.host.address().hashCode()) + settings.site().me(), all);
            server.coldCredit = 1 - (slot + random.nextDouble()) / all;
            server.creditAt = now;
        }
    }

    // ---- retries

    private void retry(long now, Held req) {
        boolean pays = req.ends - now > usual[req.cls] / 2;
        // Only what failed at a silent server is free: a full table fails too, and free retries keep it full.
        double cost = req.attempts.get(req.attempts.size() - 1).server.down ? 0 : 1;
        Server server = pays && retryBudget >= cost ? draw(now, req) : null;
        if (server != null) {
            retryBudget -= cost;
        }
        place(now, req, server);
    }

    // ---- probes and registry

    /** Servers that are down, then servers short of samples, within the budget; from a random place, so that
        late entries of a long list don't starve, and one probe at a time. */
    private void probeSome() {
        if (!settings.limits().probes()) {
            return;
        }
        int all = order.length;
        int from = random.nextInt(Math.max(1, all));
        for (int i = 0; i < 2 * all && probeBudget >= 1; i++) {
            Server server = order[(from + i) % all];
            boolean wanted = i < all ? server.down : server.ownCount == 0;
            if (wanted && !server.probing && server.host.health() == Health.UP) {
                probeBudget--;
                server.probing = true;
                actions.probe(server.host.address());
            }
        }
    }

    @Override
    public void probed(long now, String address, Outcome outcome, long elapsed, LoadReport report) {
        Server server = servers.get(address);
        if (server == null) {
            return;
        }
        server.probing = false;
        learnReport(now, server, report);
        if (outcome == Outcome.DELIVERED) {
            answered(now, server);
            server.probeTrip = elapsed / usual[0];
        } else {
            failed(now, server, outcome);
        }
    }

    @Override
    public void hosts(long now, ListForm form, List<Host> hosts) {
        if (form == ListForm.FAILED) {
            // Told seconds later, heard or not: soon again, then more seldom; spread, or who failed together
            // would ask together. What an agent hears once it is back counts at once: within the grace.
            long least = Math.max(ASK_PAUSE, settings.rules().mustAskIn() / ASK_LEAST);
            long mean = settings.registryOnRequest() ? least << Math.min(ASK_DOUBLED, askFailures++)
                    : Math.max(ASK_SOON, Math.min(ASK_PAUSE, settings.rules().drainGrace() / 4));
            actions.timer(now + 1 + mean / 2 + random.nextLong(mean + 1), ASK);
            return;
        }
        askFailures = 0;
        if (form != ListForm.DELTA) {
            Set<String> named = new HashSet<>();
            hosts.forEach(host -> named.add(host.address()));
            List.copyOf(servers.keySet()).stream().filter(a -> !named.contains(a)).forEach(this::gone);
        }
        boolean news = false;
        for (Host host : hosts) {
            news |= admit(now, host);
        }
        if (news || dead > DEAD * servers.size()) {
            seat();  // costs as much as thousands of requests where lists are long
        } else if (restarted > DEAD * servers.size()) {
            restarted = 0;
            Arrays.setAll(table, i -> present(table[i]));
        }
        told |= form != ListForm.CACHED;
        order = servers.values().toArray(order.length == servers.size() ? order : new Server[0]);
        // Whether the draws for a request are too few to be sure of a host that the list gives weight. By
        // the list alone: where hosts are cold or failing, draws that find nobody keep the rest upright.
        double sum = 0;
        double home = 0;
        double most = 0;
        for (Server server : order) {
            boolean up = server.host.health() == Health.UP;
            double size = up ? size(server.host) : 0;
            shareMost = Math.max(shareMost, up ? server.share : 0);  // or weights would not count yet
            sum += size;
            home += near(server) ? size : 0;
            most = Math.max(most, size);
        }
        sparse = DRAWS * sum < SURE * most * servers.size();
        homeSparse = DRAWS * home < SURE * most * servers.size();  // for who may not leave the zone
    }

    /** Its place stays until somebody needs one, or too many are empty: draws pass over it. */
    private void gone(String address) {
        Server server = servers.remove(address);
        if (server != null) {
            left.put(address, server);
            dead++;
        }
    }

    /** When a host started at the earliest. Its own word is in Unix time, and this machine's clock may have
        been wrong as the gateway began: by a fast one every start looks old, and the host warm. But a start
        that is heard of only now was listed no longer ago than discovery takes to tell; what was listed when
        the gateway began may be of any age, and its own word is all there is. */
    private long startedAt(long now, Host host) {
        return Math.max(Math.min(now, host.born()), told ? now - TOLD_WITHIN : 0);
    }

    /** Returns whether it has no place yet. */
    private boolean admit(long now, Host host) {
        if (host.health() == Health.GONE) {
            gone(host.address());
            return false;
        }
        Server known = servers.get(host.address());
        Server seated = known == null ? left.remove(host.address()) : known;
        Server server = known;
        if (server == null || host.born() > server.host.born()) {
            server = new Server();
            server.answeredAt = now;
            server.share = 0.5 * size(host);
            if (seated != null) {
                seated.successor = server;
                restarted++;
            }
        }
        boolean fresh = server != known;
        dead -= known == null && seated != null ? 1 : 0;
        server.host = host;
        server.kind = kinds.computeIfAbsent(host.kind(), k -> new Pool());
        servers.put(host.address(), server);
        if (fresh && host.born() > 0) {
            chill(now, server, startedAt(now, host), settings.rules().warmWithin());
            server.share = 0;
        }
        return seated == null;
    }
}
