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
import mastdrift.State.PendingRequest;
import mastdrift.State.KindStats;
import mastdrift.State.Server;
import mastdrift.State.Session;

/**
 * Headroom split: the decision module of one gateway. It selects the server of each request, admits or
 * refuses requests, spends the retry and probe budgets, and limits what cold hosts are sent. Its interface,
 * types and units are in {@link Balancer}, its data in {@link State}; docs/design.md says what follows
 * Bartolini et al., "Distributed Server Selection and Admission Control in Replicated Web Systems", and where
 * and when this departs from the paper.
 * <p>Times and spans are in microseconds unless a name says otherwise. Latencies without a unit are
 * normalized: multiples of the typical latency of the request's class.
 */
public final class Balance implements Balancer {

    /** T_obs: the time between two refreshes. Faults last seconds, so the shares have to follow sooner. */
    private static final long REFRESH_INTERVAL_MICROS = 500_000;
    /** T: samples older than most faults last would mislead the estimate. */
    private static final long SAMPLE_WINDOW_MICROS = 10_000_000;
    /** A key that has not been seen for this long begins a new session. */
    private static final long SESSION_TTL_MICROS = 30_000_000;
    /** A queue length that was reported longer ago than this is ignored. */
    private static final long MAX_REPORT_AGE_MICROS = 1_000_000;
    /**
     * A failed connect, or unanswered attempts, mark a server as down once it has not answered for this long.
     */
    private static final long DOWN_TIMEOUT_MICROS = 1_000_000;
    /** Longest time that discovery takes to report a change; it counts as known by then, received or not. */
    private static final long MAX_DISCOVERY_DELAY_MICROS = 6_000_000;
    /** Longest delay between reading the clock for a send and its first byte. */
    private static final long MAX_SEND_DELAY_MICROS = 150_000;
    /** Unanswered attempts from which on a server counts as silent. */
    private static final int MIN_SILENT_ATTEMPTS = 3;
    /** The gateway's own lag above which a client's departure says little about the host. */
    private static final long MAX_TRUSTED_LAG_MICROS = 100_000;
    /** Without probes, a server that is down is tried again this long after the last send to it. */
    private static final long DOWN_RETRY_INTERVAL_MICROS = 3_000_000;
    /**
     * How long a server that answers again is treated as cold: by then the registry has reported a restart.
     */
    private static final long RESTART_SUSPICION_MICROS = 6_000_000;
    /** Samples kept for each server: enough for a 95th percentile. */
    private static final int MAX_SAMPLES = 32;
    /**
     * Samples that the mean of the kind counts for in an estimate: three of them lie above a 95th percentile.
     */
    private static final double PRIOR_SAMPLES = 60;
    /** Failures beyond this fraction of the attempts, a twentieth, make the 95th percentile unbounded. */
    private static final double MAX_FAILURE_FRACTION = 0.05;
    /** Multiple of the fleet's failure fraction beyond which a server's failures count as its own. */
    private static final double FLEET_FAILURE_MULTIPLE = 2;
    /** Normalized latency that stands for a failure: beyond any real one. */
    private static final double UNBOUNDED_LATENCY = 1e6;
    /** Quantile of the servers' resp_time that stands for r~, so that no single server decides it. */
    private static final double R_TILDE_QUANTILE = 0.1;
    /** Most share that a server regains in a refresh: it recovers without being flooded. */
    private static final double MAX_SHARE_RISE = 0.1;
    /** Lateness (1 at the aim, 2 at the deadline) at which refusals begin. */
    private static final double T_AC = 1.0;
    /** Lateness at which every new session is refused. */
    private static final double T_AC_FULL = 1.6;
    /** Admission looks at what was served within this span. */
    private static final long SERVED_SPAN_MICROS = 2_000_000;
    /** The longest span that admission looks at, where requests are few. */
    private static final long MAX_SERVED_SPAN_MICROS = 8_000_000;
    /** Latencies of served requests that are kept for admission. */
    private static final int MAX_SERVED_SAMPLES = 256;
    /** Lateness of a request that failed. */
    private static final double FAILED_LATENESS = 2;
    /** Served requests that a 95th percentile takes at a busy gateway. */
    private static final double MIN_SERVED_SAMPLES_BUSY = 20;
    /** Served requests that it takes at a gateway with little traffic, which can't wait for as many. */
    private static final double MIN_SERVED_SAMPLES_QUIET = 8;
    /**
     * More full servers than this fraction of the sampled ones are an overload of the fleet, not a few bad
     * servers.
     */
    private static final double MANY_FULL_FRACTION = 0.2;
    /** Queue wait, as a fraction of the tightest aim, at which refusals begin. */
    private static final double QUEUE_AC_FRACTION = 0.15;
    /** Queue wait, as a fraction of the tightest aim, at which little more would be served in time. */
    private static final double QUEUE_FULL_FRACTION = 0.5;
    /** The gateway's own delay, as a fraction of the tightest aim, at which refusals begin. */
    private static final double OWN_DELAY_AC_FRACTION = 0.5;
    /**
     * The gateway's own delay, as a fraction of the tightest aim, at which nothing would be served in time.
     */
    private static final double OWN_DELAY_FULL_FRACTION = 1.0;
    /** Requests beyond a tenant's share are refused with the pressure times this as their probability. */
    private static final double OVER_SHARE_REFUSAL_MULTIPLE = 10;
    /** Pressure up to which only requests beyond a tenant's share are refused. */
    private static final double OVER_SHARE_ONLY_PRESSURE = 0.5;
    /** Requests that a tenant may save up at the least, however small its share. */
    private static final double MIN_BURST_REQUESTS = 6;
    /** Answers of which the shortest shows the queue's wait. */
    private static final int ANSWERS_PER_WAIT_ESTIMATE = 4;
    /** Outstanding requests that a server may have, as a multiple of its part by share of all. */
    private static final double MAX_OUTSTANDING_RATIO = 1.25;
    /** Recent sends that a server may have, as a multiple of its part by share of all. */
    private static final double MAX_RECENT_SENDS_RATIO = 1.25;
    /**
     * Burden up to which a session stays at its server; more than the 1 of other requests, since a warm key
     * saves work.
     */
    private static final double MAX_SESSION_BURDEN = 1.3;
    /** A key with more than this fraction of a server's mean traffic is split. */
    private static final double MAX_KEY_TRAFFIC_FRACTION = 0.3;
    /** Requests counted for a key beyond those that this gateway has seen; see {@link #splitKey}. */
    private static final double UNSEEN_KEY_REQUESTS = 1 / Math.E;
    /**
     * Departed or restarted servers in the table, as a fraction of all servers, above which it is rewritten.
     */
    private static final double MAX_STALE_FRACTION = 0.1;
    /** Sends per server that count as recent. */
    private static final double RECENT_SENDS_PER_SERVER = 4;
    /** Servers of S* that are considered before the least burdened of them is taken. */
    private static final int MAX_CANDIDATES = 6;
    /** Slots of the table, at the least: enough for even parts of 500 servers. */
    private static final int MIN_TABLE_SLOTS = 4096;
    /** Draws for the gateway's own zone alone, where crossing zones has a cost. */
    private static final int OWN_ZONE_DRAWS = 32;
    /** Draws for a request in all: bounds the work that it costs. */
    private static final int MAX_DRAWS = 64;
    /**
     * Draws that are expected to fit, at the least, or all servers are searched: with 8, one request in 3,000
     * finds none.
     */
    private static final double MIN_EXPECTED_HITS = 8;
    /** Retries allowed, as a fraction of the requests that came in. */
    private static final double RETRY_BUDGET_FRACTION = 0.1;
    /** Probes allowed, as a fraction of the requests that came in. */
    private static final double PROBE_BUDGET_FRACTION = 0.02;
    /** Retries or probes that an unused budget may save up. */
    private static final double MAX_BUDGET = 20;
    /** Remembered keys: bounds the memory. */
    private static final int MAX_SESSIONS = 50_000;
    /**
     * Fraction of its part of the warm rate that a cold host is sent: requests cost it more, since their keys
     * are new to it.
     */
    private static final double COLD_RATE_FRACTION = 0.8;
    /** Work of a heavy request, as a multiple of the typical one: two requests in 100,000 are heavier. */
    private static final double HEAVY_REQUEST_MULTIPLE = 11;
    /** Weight of the newest refresh in moving averages of rates. */
    private static final double RATE_EWMA_WEIGHT = 0.2;
    /** Weight of one sample in a class's typical latency. */
    private static final double LATENCY_EWMA_WEIGHT = 0.01;
    /** Weight of one report in its kind's CPU use. */
    private static final double CPU_EWMA_WEIGHT = 0.1;
    /** Fraction of a server's share that counts if it is in another zone. */
    private static final double OTHER_ZONE_FRACTION = 0.3;
    /**
     * Exponent of the correction of kind sizes: the part of the way to even CPU use that one refresh goes.
     */
    private static final double KIND_SIZE_EXPONENT = 0.2;
    /** Largest size factor of a kind; the smallest is its inverse. */
    private static final double MAX_KIND_SIZE_FACTOR = 8;
    /** Gateways that start together spread their first watch calls over {@code mustAskIn} divided by this. */
    private static final int FIRST_WATCH_SPREAD_DIVISOR = 20;
    /** The mean pause after a failed watch call is {@code mustAskIn} divided by this, at the least. */
    private static final int WATCH_PAUSE_DIVISOR = 40;
    /** How often the mean pause is doubled while watch calls go on failing. */
    private static final int MAX_WATCH_PAUSE_DOUBLINGS = 3;
    /** Mean pause after a failed watch call, at the least; where the registry pushes, at the most. */
    private static final long WATCH_PAUSE_MICROS = 250_000;
    /** Mean pause after a failed watch call where the registry pushes, at the least. */
    private static final long MIN_PUSH_WATCH_PAUSE_MICROS = 10_000;
    private static final String REFRESH_TIMER = "refresh";
    private static final String WATCH_TIMER = "ask";

    /**
     * A tenant's token bucket at this gateway. Only admitted requests draw on it: clients whose requests are
     * refused try again, and these retries must not make a tenant of little traffic look greedy.
     */
    private static final class TenantShare {
        private final double evenPerSecond;  // requests a second if all gateways have the same traffic
        private double perSecond;
        private double tokens;
        private double recentRequests;  // requests lately, admitted or not, with exponential decay
        private long refilledAt;

        TenantShare(double evenPerSecond, long now) {
            this.evenPerSecond = evenPerSecond;
            perSecond = evenPerSecond;
            tokens = Math.max(evenPerSecond, MIN_BURST_REQUESTS);
            refilledAt = now;
        }

        /** Refills the bucket and returns whether it holds a request. */
        boolean refillAndCheck(long now) {
            tokens = Math.min(Math.max(perSecond, MIN_BURST_REQUESTS),
                    tokens + perSecond * (now - refilledAt) / 1e6);
            refilledAt = now;
            return tokens >= 1;
        }
    }

    private Settings settings;
    private Actions actions;
    private SplittableRandom random;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, TenantShare> tenants = new HashMap<>();
    // latency of each class, a moving average: the unit of normalized latencies
    private double[] typicalLatencyMicros;
    private double maxWorth;
    private boolean usesWeights;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final Map<String, KindStats> kinds = new LinkedHashMap<>();
    // all servers as an array: iterating over the map costs far more where the list is long
    private Server[] serverArray = new Server[0];
    // has one empty slot where there are no servers, so that any hash masked by its length is an index of it
    private Server[] table = new Server[1];
    private double shareSum;
    private double maxShare;
    // whether draws may miss hosts that take requests, in all zones or in the own one: see hosts()
    private boolean sparse;
    private boolean ownZoneSparse;
    private double queueSum;
    private int outstandingSum;
    private long lastSentAt;  // to any server
    private double recentSendsSum;
    private double fleetPressure;
    private boolean manyServersFull;
    // the threshold of S* and the tightest aim, normalized
    private double theta = UNBOUNDED_LATENCY;
    private double normalizedAim = UNBOUNDED_LATENCY;
    private double fleetFailureFraction;
    // requests of the last SESSION_TTL_MICROS, with exponential decay
    private double recentRequests;
    private long startedAt;
    private int serversInSet;
    // departed and restarted servers with slots in the table
    private int departedInTable;
    private int restartedInTable;
    private final Map<String, Server> departedServers = new HashMap<>();  // departed, but still in the table
    // cold servers that this gateway may now send one request
    private final List<Server> readyColdServers = new ArrayList<>();
    private double[] sampleBuffer = new double[MAX_SAMPLES];
    private double[] fleetBuffer = new double[0];
    private final Map<Long, PendingRequest> pendingRequests = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Session> sessions = new LinkedHashMap<>(64, 0.75f, true);
    private final long[] servedAt = new long[MAX_SERVED_SAMPLES];
    private final double[] servedLateness = new double[MAX_SERVED_SAMPLES];
    private int servedCount;
    private int requestsSinceRefresh;
    // served requests needed for a percentile, by the gateway's traffic
    private double minServedSamples = MIN_SERVED_SAMPLES_QUIET;
    private long tightestAimMicros = Long.MAX_VALUE;
    private double retryBudget = MAX_BUDGET / 2;
    private double probeBudget;
    private long refreshedAt;
    private int watchFailures;
    private double servedPerSecond;
    private final IdleTimeout idleTimeout = new IdleTimeout();
    // Discovery has sent a list: hosts that it reports from then on as started did so since.
    private boolean discoveryHeard;
    private Elsewhere otherGateways;
    // how late the gateway itself is: the wait of what comes to it, and the span whose events may be missing
    private long ownQueueDelayMicros;
    private long ownLagMicros;

    // ---- events

    @Override
    public void start(long now, Settings startSettings, Actions gatewayActions) {
        validate(startSettings);
        settings = startSettings;
        actions = gatewayActions;
        random = new SplittableRandom(startSettings.seed());
        typicalLatencyMicros = new double[startSettings.classes().size()];
        for (RequestClass requestClass : startSettings.classes()) {
            typicalLatencyMicros[classes.size()] = requestClass.aim() / 4.0;
            classes.put(requestClass.name(), classes.size());
            maxWorth = Math.max(maxWorth, requestClass.worth());
            tightestAimMicros = Math.min(tightestAimMicros, requestClass.aim());
        }
        for (Tenant tenant : startSettings.tenants()) {
            tenants.put(tenant.name(),
                    new TenantShare(tenant.quotaPerSecond() / startSettings.site().gateways(), now));
        }
        refreshedAt = now;
        startedAt = now;
        actions.timer(now + 1 + random.nextLong(REFRESH_INTERVAL_MICROS), REFRESH_TIMER);
        usesWeights = startSettings.weights() == Weights.NOMINAL || startSettings.weights() == Weights.ROUGH;
        if (startSettings.registryOnRequest()) {
            actions.timer(now + 1 + random.nextLong(
                    startSettings.rules().mustAskIn() / FIRST_WATCH_SPREAD_DIVISOR + 1), WATCH_TIMER);
        }
    }

    private static void validate(Settings startSettings) {
        requirePositive(startSettings.classes().size(), "classes");
        for (RequestClass requestClass : startSettings.classes()) {
            requirePositive(requestClass.aim(), requestClass.name() + " aim");
            requirePositive(requestClass.deadline(), requestClass.name() + " deadline");
        }
        requirePositive(startSettings.site().gateways(), "gateways");
        requirePositive(startSettings.limits().maxAttempts(), "max attempts");
        requirePositive(startSettings.rules().coldFrom(), "cold from");
        requirePositive(startSettings.rules().fallMultiple(), "fall multiple");
    }

    private static void requirePositive(double value, String name) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " can't be " + value);
        }
    }

    @Override
    public void own(long now, long queueDelay, long lag) {
        ownQueueDelayMicros = queueDelay;
        ownLagMicros = lag;
    }

    @Override
    public void elsewhere(Elsewhere gateways) {
        otherGateways = gateways;
    }

    @Override
    public void request(long now, Request request) {
        Integer classIndex = classes.get(request.className());
        if (classIndex == null || pendingRequests.containsKey(request.id())) {
            throw new IllegalArgumentException("unknown class or repeated id: " + request);
        }
        long key = request.key() == null ? random.nextLong() : request.key();
        PendingRequest pending = new PendingRequest(request, settings.classes().get(classIndex), classIndex,
                key, now);
        pendingRequests.put(pending.id, pending);
        TenantShare tenantShare = request.tenant() == null ? null : tenants.get(request.tenant());
        if (tenantShare != null) {
            tenantShare.recentRequests++;
        }
        pending.withinShare = tenantShare != null ? tenantShare.refillAndCheck(now)
                : pending.crossing == null;
        requestsSinceRefresh++;
        retryBudget = Math.min(MAX_BUDGET, retryBudget + RETRY_BUDGET_FRACTION);
        probeBudget = Math.min(MAX_BUDGET, probeBudget + PROBE_BUDGET_FRACTION);
        if (pending.expiresAt - now <= ownQueueDelayMicros) {  // no host's answer could be read in time
            pending.refusalReason = Why.GATEWAY;
            refuseOrFail(pending);
            return;
        }
        Session session = pending.hasKey ? sessions.get(key) : null;
        splitKey(now, pending, session);
        Server server = session == null ? null : sessionServer(now, pending, session);
        boolean leavesQueue = server != null && tenantShare == null
                && queueFill(now, server) > OVER_SHARE_ONLY_PRESSURE;
        // moves on, as its server would refuse it
        server = server == null ? takeReadyColdServer(now, pending) : leavesQueue ? null : server;
        server = server == null ? drawServer(now, pending) : server;
        boolean isRefused = server == null || shouldRefuse(now, pending, tenantShare, session != null,
                server);
        sendOrAnswer(now, pending, isRefused ? null : server);
    }

    private void sendOrAnswer(long now, PendingRequest pending, Server server) {
        if (server == null || !send(now, pending, server)) {
            refuseOrFail(pending);
        } else if (pending.hasKey) {
            sessions.put(pending.key, new Session(server, now, pending.recentKeyRequests));
        }
    }

    @Override
    public void streaming(long now, long id, int attempt) {
        if (pendingRequests.containsKey(id)) {
            pendingRequests.get(id).streaming = true;
        }
    }

    @Override
    public void resolved(long now, long id, int attemptIndex, String address, Outcome outcome, long elapsed,
            boolean requestEnded, LoadReport report) {
        PendingRequest pending = pendingRequests.get(id);
        recordLoadReport(now, servers.get(address), report);
        boolean known = pending != null && attemptIndex >= 0 && attemptIndex < pending.attempts.size();
        Attempt attempt = known ? pending.attempts.get(attemptIndex) : null;
        if (attempt == null || !attempt.outstanding) {
            return;  // late or repeated event: counted once, or the sums of outstanding attempts would drift
        }
        recordOutcome(now, pending, attempt, outcome, elapsed);
        if (countsForAdmission(now, attempt.server) && outcome != Outcome.REVOKED
                && outcome != Outcome.UNUSED) {
            servedAt[servedCount % MAX_SERVED_SAMPLES] = now;
            servedLateness[servedCount++ % MAX_SERVED_SAMPLES] = outcome == Outcome.DELIVERED
                    ? lateness(now, pending) : FAILED_LATENESS;
        }
        if (requestEnded) {
            finish(pending);
        } else if (pending.attempts.stream().noneMatch(a -> a.outstanding)) {
            retry(now, pending);
        }
    }

    @Override
    public void departed(long now, long id) {
        PendingRequest pending = pendingRequests.get(id);
        if (pending != null) {
            for (Attempt attempt : pending.attempts) {
                if (attempt.outstanding && ownLagMicros > MAX_TRUSTED_LAG_MICROS
                        && 2 * ownLagMicros > now - attempt.sentAt) {
                    uncountUnanswered(attempt.server);
                }
            }
            finish(pending);
        }
    }

    /**
     * Takes back one unanswered attempt. Whether the server would have answered is unknown by the gateway's
     * own doing (its lag, or since it withdrew or never sent the attempt), so that the missing answer does
     * not count as silence.
     */
    private static void uncountUnanswered(Server server) {
        server.unansweredAttempts = Math.max(0, server.unansweredAttempts - 1);
    }

    @Override
    public void timer(long now, String handle) {
        if (handle.equals(REFRESH_TIMER)) {
            // set first: an exception in what follows must not end the refreshes
            actions.timer(now + REFRESH_INTERVAL_MICROS, REFRESH_TIMER);
            refresh(now);
            sendProbes();
        } else if (handle.equals(WATCH_TIMER)) {
            actions.watch(true);
        }
    }

    // ---- server estimate: resp_time(s)

    private void recordOutcome(long now, PendingRequest pending, Attempt attempt, Outcome outcome,
            long elapsed) {
        Server server = attempt.server;
        attempt.outstanding = false;
        attempt.neverRan = outcome.neverRan();
        server.outstanding.remove(attempt);
        outstandingSum--;
        if (outcome == Outcome.DELIVERED || outcome == Outcome.DROPPED || outcome == Outcome.EXPIRED) {
            idleTimeout.recordAttempt(now, attempt.connectionIdleMicros, outcome != Outcome.DELIVERED);
        }
        if (outcome == Outcome.SHED || outcome == Outcome.DIAL_FAILED) {
            setWait(now, server, tightestAimMicros);
        } else if (outcome == Outcome.DELIVERED || outcome == Outcome.EXPIRED) {
            recordWait(now, server, elapsed);
        }
        switch (outcome) {
            case DELIVERED -> {
                server.lastDeliveredAt = now;
                typicalLatencyMicros[pending.classIndex] += LATENCY_EWMA_WEIGHT
                        * (elapsed - typicalLatencyMicros[pending.classIndex]);
                server.deliveredSinceRefresh++;
                server.overtakenBefore = Math.max(server.overtakenBefore, attempt.sentAt - elapsed);
                recordAnswer(now, server);
                addSample(now, server, elapsed / typicalLatencyMicros[pending.classIndex]);
            }
            case REVOKED, UNUSED -> uncountUnanswered(server);
            default -> recordFailure(now, server, outcome);
        }
    }

    private void recordFailure(long now, Server server, Outcome outcome) {
        if (outcome == Outcome.ERROR || outcome == Outcome.SHED) {
            recordAnswer(now, server);
        } else if (outcome == Outcome.DIAL_FAILED && now - server.lastAnsweredAt > DOWN_TIMEOUT_MICROS) {
            markDown(now, server);
        }
        addSample(now, server, UNBOUNDED_LATENCY);
        measureWindow(now, server);
        estimateRespTime(server);
        server.share = Math.min(server.share, targetShare(now, server));
    }

    /**
     * Marks a server as down. Once more than half of a zone is down, so is each server in it that has not
     * answered for {@link #DOWN_TIMEOUT_MICROS}: a zone that is cut off or lost should not cost a request for
     * each of its servers.
     */
    private void markDown(long now, Server server) {
        server.down = true;
        String zoneName = server.host.zone();
        List<Server> zoneServers = servers.values().stream().filter(s -> s.host.zone().equals(zoneName))
                .toList();
        if (2 * zoneServers.stream().filter(s -> s.down).count() > zoneServers.size()) {
            zoneServers.stream().filter(s -> now - s.lastAnsweredAt > DOWN_TIMEOUT_MICROS)
                    .forEach(s -> s.down = true);
        }
        zoneServers.stream().filter(s -> s.down).forEach(s -> s.share = 0);
    }

    /**
     * Records an answer. A server that was silent may have restarted before the registry reports it, so that
     * it returns as if cold.
     */
    private void recordAnswer(long now, Server server) {
        server.lastAnsweredAt = now;
        server.unansweredAttempts = 0;
        if (server.down) {
            server.down = false;
            markCold(now, server, now, RESTART_SUSPICION_MICROS);
        }
    }

    private void addSample(long now, Server server, double value) {
        if (server.sampledAt.length == 0) {
            server.sampledAt = new long[MAX_SAMPLES];
            server.sampleValues = new double[MAX_SAMPLES];
        }
        int index = server.sampleCount++ % MAX_SAMPLES;
        server.sampledAt[index] = now;
        server.sampleValues[index] = value;
    }

    private static void recordLoadReport(long now, Server server, LoadReport report) {
        if (server != null && !Double.isNaN(report.cpu()) && server.coldSince == 0) {
            KindStats kind = server.kind;
            kind.cpuUse += (kind.reportCount++ == 0 ? 1 : CPU_EWMA_WEIGHT) * (report.cpu() - kind.cpuUse);
        }
        if (server != null && !Double.isNaN(report.waiting())) {
            server.reportedQueue = report.waiting();
            server.queueReportedAt = now;
        }
    }

    /**
     * Computes the figures of a server's own window. Outstanding attempts count with at least their age, so
     * that a stalled server shows early.
     */
    private void measureWindow(long now, Server server) {
        if (isIdle(now, server)) {
            server.ownP95 = server.ownSampleCount = server.ownFailures = 0;
            return;  // the case for nearly all servers of a long list
        }
        if (sampleBuffer.length < MAX_SAMPLES + server.outstanding.size()) {
            sampleBuffer = new double[2 * (MAX_SAMPLES + server.outstanding.size())];
        }
        int count = 0;
        int failures = 0;
        for (int i = 0; i < Math.min(MAX_SAMPLES, server.sampleCount); i++) {
            if (now - server.sampledAt[i] > SAMPLE_WINDOW_MICROS) {
                continue;
            }
            if (server.sampleValues[i] >= UNBOUNDED_LATENCY) {
                failures++;
            } else {
                sampleBuffer[count++] = server.sampleValues[i];
            }
        }
        for (Attempt attempt : server.outstanding) {
            double age = (now - ownLagMicros - attempt.sentAt) / typicalLatencyMicros[attempt.classIndex];
            if (age > server.respTime) {
                sampleBuffer[count++] = age;
            }
        }
        Arrays.sort(sampleBuffer, 0, count);
        server.ownP95 = count == 0 ? 0 : sampleBuffer[(int) Math.ceil(0.95 * count) - 1];
        server.ownSampleCount = count;
        server.ownFailures = failures;
    }

    private static boolean isIdle(long now, Server server) {
        return server.outstanding.isEmpty()
                && (server.sampleCount == 0
                || now - server.sampledAt[(server.sampleCount - 1) % MAX_SAMPLES] > SAMPLE_WINDOW_MICROS);
    }

    /**
     * Blends the server's own window with the mean of its kind; the fewer its samples, the more the kind
     * counts.
     */
    private void estimateRespTime(Server server) {
        int sampleCount = server.ownSampleCount;
        KindStats kind = server.kind;
        double kindLatency = kind.sampleCount == 0 ? 1 : kind.latencySum / kind.sampleCount;
        double blended = (sampleCount * server.ownP95
                + PRIOR_SAMPLES * (kindLatency + (sampleCount == 0 ? server.probeLatency : 0)))
                / (sampleCount + PRIOR_SAMPLES);
        server.respTime = isFailing(server) ? UNBOUNDED_LATENCY : blended;
        server.servingFraction = (sampleCount + PRIOR_SAMPLES)
                / (sampleCount + server.ownFailures + PRIOR_SAMPLES);
    }

    /**
     * Whether more than a twentieth of the attempts failed, beyond random variation. Where the whole fleet
     * fails more often, as in an overload, the limit rises with it: emptying S* would overload the few
     * servers left in it.
     */
    private boolean isFailing(Server server) {
        double expected = Math.max(MAX_FAILURE_FRACTION, FLEET_FAILURE_MULTIPLE * fleetFailureFraction)
                * (server.ownSampleCount + server.ownFailures);
        return server.ownFailures - 1 > expected + Math.sqrt(expected);
    }

    // ---- shares and S*

    private void refresh(long now) {
        double elapsedSeconds = Math.max(1, now - refreshedAt) / 1e6;
        refreshedAt = now;
        minServedSamples += RATE_EWMA_WEIGHT
                * (Math.max(MIN_SERVED_SAMPLES_QUIET, Math.min(MIN_SERVED_SAMPLES_BUSY, requestsSinceRefresh))
                - minServedSamples);
        recentRequests = recentRequests * Math.exp(-elapsedSeconds * 1e6 / SESSION_TTL_MICROS)
                + requestsSinceRefresh;
        requestsSinceRefresh = 0;
        scaleTenantShares(now, elapsedSeconds);
        kinds.values().forEach(KindStats::clearSums);
        if (fleetBuffer.length < serverArray.length) {
            fleetBuffer = new double[serverArray.length];
        }
        int measuredServers = 0;
        for (Server server : serverArray) {
            long silentMicros = now - ownLagMicros - server.unansweredSince;
            if (server.unansweredAttempts >= MIN_SILENT_ATTEMPTS && silentMicros > DOWN_TIMEOUT_MICROS
                    && !server.down) {
                markDown(now, server);
            }
            if (server.down && !settings.limits().probes()
                    && now - server.lastSentAt > DOWN_RETRY_INTERVAL_MICROS) {
                // as if cold; without probes nothing else would show that it is back
                recordAnswer(now, server);
            }
            measureWindow(now, server);
            for (Attempt attempt : server.outstanding) {
                if (attempt.sentAt > server.overtakenBefore) {
                    long age = now - ownLagMicros - attempt.sentAt;
                    if (age > currentWaitMicros(now, server)) {
                        setWait(now, server, age);
                    }
                    break;
                }
            }
            server.kind.latencySum += server.ownSampleCount * server.ownP95;
            server.kind.sampleCount += server.ownSampleCount;
            if (server.coldSince == 0 && server.host.health() == Health.UP) {
                server.kind.warmServers++;
                server.kind.delivered += server.deliveredSinceRefresh;
            }
            server.deliveredSinceRefresh = 0;
            int attempts = server.ownSampleCount + server.ownFailures;
            if (!server.down && attempts > 0) {
                fleetBuffer[measuredServers++] = (double) server.ownFailures / attempts;
            }
        }
        Arrays.sort(fleetBuffer, 0, measuredServers);
        fleetFailureFraction = measuredServers == 0 ? 0 : fleetBuffer[measuredServers / 2];
        for (KindStats kind : kinds.values()) {
            double rate = kind.warmServers == 0 ? 0 : kind.delivered / kind.warmServers / elapsedSeconds;
            double weight = rate > kind.servedPerSecond ? RATE_EWMA_WEIGHT
                    : REFRESH_INTERVAL_MICROS / (double) settings.rules().warmWithin();
            kind.servedPerSecond += kind.warmServers == 0 ? 0 : weight * (rate - kind.servedPerSecond);
        }
        idleTimeout.expireLimit(now);
        updateKindSizes();
        updateThreshold();
        double decay = Math.min(1, RECENT_SENDS_PER_SERVER * servers.size() / Math.max(1, recentSendsSum));
        recentSendsSum = 0;
        shareSum = 0;
        maxShare = 0;
        queueSum = 0;
        serversInSet = 0;
        int sampledServers = 0;
        int fullServers = 0;
        readyColdServers.clear();
        for (Server server : serverArray) {
            double target = targetShare(now, server);
            server.share = Math.min(target, server.share + MAX_SHARE_RISE);
            server.inServerSet = target > 0;
            shareSum += server.share;
            maxShare = Math.max(maxShare, server.share);
            queueSum += freshReportedQueue(now, server);
            server.recentSends *= decay;
            recentSendsSum += server.recentSends;
            serversInSet += server.inServerSet ? 1 : 0;
            sampledServers += server.ownSampleCount + server.ownFailures > 0 ? 1 : 0;
            fullServers += isFull(now, server) ? 1 : 0;
            if (server.coldSince > 0 && server.inServerSet && refillColdCredit(now, server) >= 1
                    && coldRatePerSecond(now, server) * maxDelaySeconds() < 1) {
                readyColdServers.add(server);
            }
        }
        manyServersFull = fullServers > MANY_FULL_FRACTION * sampledServers;
        updateFleetPressure(now);
        evictSessions(now);
    }

    /**
     * Scales the tenants' shares with this gateway's part of the traffic. A gateway with several times the
     * mean traffic has as much more of every tenant's, and an even share there would refuse tenants that use
     * little of the whole. The scale is that of the median tenant: its recent requests over its even share;
     * greedy tenants are beyond the median at every gateway. In an overload the requests of all tenants are
     * many, since clients retry, so the shares together are at most what is served here.
     */
    private void scaleTenantShares(long now, double elapsedSeconds) {
        double windowFilled = 1 - Math.exp(
                -Math.max(SERVED_SPAN_MICROS, now - startedAt) / (double) MAX_SERVED_SPAN_MICROS);
        double[] multiples = new double[tenants.size()];
        double evenSum = 0;
        int count = 0;
        for (TenantShare share : tenants.values()) {
            evenSum += share.evenPerSecond;
            multiples[count++] = share.recentRequests / (windowFilled * MAX_SERVED_SPAN_MICROS / 1e6)
                    / Math.max(share.evenPerSecond, 1e-9);
            share.recentRequests *= Math.exp(-elapsedSeconds * 1e6 / MAX_SERVED_SPAN_MICROS);
        }
        Arrays.sort(multiples);
        double deliveredPerSecond = Arrays.stream(serverArray)
                .mapToInt(server -> server.deliveredSinceRefresh).sum() / elapsedSeconds;
        servedPerSecond += Math.min(1, elapsedSeconds * 1e6 / MAX_SERVED_SPAN_MICROS)
                * (deliveredPerSecond - servedPerSecond);
        double maxScale = servedPerSecond / Math.max(evenSum, 1e-9);
        double scale = count == 0 ? 1 : Math.max(1, Math.min(maxScale, multiples[(count - 1) / 2]));
        tenants.values().forEach(share -> share.perSecond = scale * share.evenPerSecond);
    }

    /**
     * Adapts the size factors of kinds until all report the same CPU use, for fleets whose list carries no
     * weights: at full size no gateway sees enough reports of one server, but soon enough of a kind.
     */
    private void updateKindSizes() {
        double meanCpuUse = kinds.values().stream().filter(k -> k.reportCount > 0).mapToDouble(k -> k.cpuUse)
                .average().orElse(0);
        for (KindStats kind : kinds.values()) {
            if (kind.reportCount > 0 && meanCpuUse > 0) {
                double correction = Math.pow(
                        meanCpuUse / Math.max(kind.cpuUse, meanCpuUse / MAX_KIND_SIZE_FACTOR),
                        KIND_SIZE_EXPONENT);
                kind.sizeFactor = Math.max(1 / MAX_KIND_SIZE_FACTOR,
                        Math.min(MAX_KIND_SIZE_FACTOR, kind.sizeFactor * correction));
            }
        }
    }

    /**
     * theta = k * T_SS with k = ceil(r~ / T_SS). T_SS is the tightest deadline, the upper end of what the
     * design allows: S* holds every server that still answers in time, and the shares of healthy servers
     * don't follow the noise of a 95th percentile, which would move keys away from the servers that have them
     * warm.
     */
    private void updateThreshold() {
        int count = 0;
        for (Server server : serverArray) {
            estimateRespTime(server);
            if (!server.down && server.host.health() == Health.UP) {
                fleetBuffer[count++] = server.respTime;
            }
        }
        if (count == 0) {
            return;
        }
        Arrays.sort(fleetBuffer, 0, count);
        double tss = UNBOUNDED_LATENCY;
        normalizedAim = UNBOUNDED_LATENCY;
        for (int i = 0; i < typicalLatencyMicros.length; i++) {
            tss = Math.min(tss, settings.classes().get(i).deadline() / typicalLatencyMicros[i]);
            normalizedAim = Math.min(normalizedAim,
                    settings.classes().get(i).aim() / typicalLatencyMicros[i]);
        }
        theta = tss * Math.ceil(fleetBuffer[(int) (R_TILDE_QUANTILE * count)] * 1.01 / tss);
    }

    /**
     * (theta - resp_time(s)) / theta, scaled by the server's size, by the capacity that it has while cold,
     * and by the fraction of attempts that it serves (failures leave no latencies); less in another zone,
     * since crossing costs time and counts against the result.
     */
    private double targetShare(long now, Server server) {
        if (server.down || server.host.health() != Health.UP || server.respTime > theta) {
            return 0;
        }
        double size = (isInOwnZone(server) ? 1 : OTHER_ZONE_FRACTION)
                * server.kind.sizeFactor * weightOf(server.host);
        return (theta - server.respTime) / theta * size
                * minCapacityFraction(now, server) * server.servingFraction;
    }

    private boolean isInOwnZone(Server server) {
        return server.host.zone().equals(settings.site().zone());
    }

    private double weightOf(Host host) {
        return usesWeights ? host.weight() : 1;
    }

    private double freshReportedQueue(long now, Server server) {
        return now - server.queueReportedAt < MAX_REPORT_AGE_MICROS ? server.reportedQueue : 0;
    }

    // ---- server selection and session affinity

    /**
     * Splits a popular key over several servers. The traffic of a key here is compared with the mean traffic
     * that a server gets from here: the number of gateways cancels out, so that it need not be known. A key
     * with more than {@link #MAX_KEY_TRAFFIC_FRACTION} of a server's traffic is split into as many parts as
     * keep each below that, and a request belongs to one of them at random.
     * <p>A key that each of n gateways meets less than once in T (the session TTL) goes unseen: by its first
     * request at each gateway, a key of r requests a second brings its first server r e^(-r T / n), at most n
     * / (e T); this is counted as if each gateway had met it 1 / e times.
     */
    private void splitKey(long now, PendingRequest pending, Session session) {
        pending.drawSeed = pending.key;
        if (!pending.hasKey || hasNoServers()) {
            return;
        }
        pending.recentKeyRequests = session == null ? 1
                : 1 + session.recentRequests()
                * Math.exp((session.lastUsedAt() - now) / (double) SESSION_TTL_MICROS);
        double windowFilled = 1 - Math.exp(
                -Math.max(REFRESH_INTERVAL_MICROS, now - startedAt) / (double) SESSION_TTL_MICROS);
        double meanPerServer = (recentRequests + requestsSinceRefresh) / windowFilled
                / Math.max(1, serversInSet == 0 ? servers.size() : serversInSet);
        double parts = Math.min(servers.size(),
                (pending.recentKeyRequests - 1 + UNSEEN_KEY_REQUESTS)
                / (MAX_KEY_TRAFFIC_FRACTION * meanPerServer));
        if (parts > 1 && session != null && pending.requestClass.repeat() == Repeat.KEYED) {
            // a repeat has to stay in the group that would drop it
            pending.groupHost = session.server().host;
        }
        int part = parts <= 1 ? 0 : (int) (random.nextDouble() * parts);
        if (part > 0) {
            pending.drawSeed = mixBits(pending.key ^ part * 0xD1342543DE82EF95L);
        }
    }

    /**
     * Takes a cold server that this gateway may send one request now: in a long list, draws would seldom hit
     * it in time.
     */
    private Server takeReadyColdServer(long now, PendingRequest pending) {
        while (!readyColdServers.isEmpty() && pending.groupHost == null) {
            Server server = readyColdServers.get(readyColdServers.size() - 1);
            if (!isListed(server) || refillColdCredit(now, server) < 1 || queueFill(now, server) > 0) {
                readyColdServers.remove(readyColdServers.size() - 1);
                continue;
            }
            boolean fits = crossingFraction(now, pending, server) == 1 && maySend(now, pending, server);
            if (fits) {
                readyColdServers.remove(readyColdServers.size() - 1);
            }
            return fits ? server : null;
        }
        return null;
    }

    /**
     * Draws a server by the shares. The key seeds the draw, so that gateways that agree on the shares draw
     * the same server for a key. A request within its tenant's share avoids servers with a queue: it would be
     * refused there while other servers have none. Requests beyond a share don't, since they would crowd
     * these others.
     */
    private Server drawServer(long now, PendingRequest pending) {
        Server leastBurdened = null;
        // the first of the own zone with a queue: taken if no server of another zone is without
        Server queuedInOwnZone = null;
        double leastBurden = Double.MAX_VALUE;
        int candidates = 0;
        for (int i = 0; i < MAX_DRAWS && candidates < MAX_CANDIDATES && !hasNoServers(); i++) {
            long hash = mixBits(pending.drawSeed + i * 0x9E3779B97F4A7C15L);
            Server server = currentServer(table[(int) hash & (table.length - 1)]);
            boolean otherZone = pending.crossing != null && !isInOwnZone(server);
            if (otherZone && queuedInOwnZone == null && (i < OWN_ZONE_DRAWS || candidates > 0)) {
                // crossing has a cost: the own zone first, other zones only if there are queues in it
                continue;
            }
            if (pending.groupHost != null && !sameGroup(pending.requestClass.group(), pending.groupHost,
                    server.host)) {
                continue;
            }
            double share = server.share * crossingFraction(now, pending, server);
            if ((mixBits(hash) >>> 11) * 0x1.0p-53 * maxShare >= share || !maySend(now, pending, server)) {
                continue;
            }
            candidates++;
            double burden = burden(now, server)
                    + (pending.withinShare || otherZone ? Math.max(0, queueFill(now, server)) : 0);
            if (burden <= 1 && pending.crossing != null && !otherZone && pressure(now, server) > 0) {
                queuedInOwnZone = queuedInOwnZone == null ? server : queuedInOwnZone;
                continue;
            }
            if (burden <= 1) {
                return server;
            }
            if (burden < leastBurden) {
                leastBurdened = server;
                leastBurden = burden;
            }
        }
        if (queuedInOwnZone != null) {
            return queuedInOwnZone;
        }
        if (candidates == 0 && pending.groupHost != null) {
            // its group has no free server, or is too small to be drawn
            pending.groupHost = null;
            pending.drawSeed = pending.key;
            return drawServer(now, pending);
        }
        return candidates == 0 && (pending.crossing == null ? sparse : ownZoneSparse)
                ? searchAllServers(now, pending) : leastBurdened;
    }

    /**
     * For sparse lists: most servers take nothing, or few have nearly all of the weight, so that draws may
     * miss them. Every server is looked at, and the lowest -ln(u) / share wins, with u from the key (weighted
     * rendezvous hashing, as in routing), so that gateways still agree and traffic is divided by the shares.
     * In other lists, draws that find no server mean that few may be sent to, and a search would send
     * everything to those.
     */
    private Server searchAllServers(long now, PendingRequest pending) {
        Server best = null;
        double lowestScore = Double.MAX_VALUE;
        for (Server server : serverArray) {
            if (server.share > 0 && maySend(now, pending, server)) {
                long hash = mixBits(pending.drawSeed ^ mixBits(server.host.address().hashCode()));
                double share = server.share * crossingFraction(now, pending, server);
                double score = -Math.log(((hash >>> 11) + 0.5) * 0x1.0p-53) / share;
                if (score < lowestScore) {
                    lowestScore = score;
                    best = server;
                }
            }
        }
        return best;
    }

    /**
     * A server's outstanding requests, with one more, over its part by share of all outstanding requests; up
     * to two always pass. Where there are many gateways, each has few outstanding requests, so that recent
     * sends are weighed in the same way: every gateway then spreads a popular key over the next servers in
     * the key's order, even if it never has many requests outstanding.
     */
    private double burden(long now, Server server) {
        double outstanding = server.outstanding.size() + freshReportedQueue(now, server) + 1;
        double allOutstanding = outstandingSum + queueSum + 1;
        if (otherGateways != null) {
            outstanding += otherGateways.out(server.host.address());
            allOutstanding += otherGateways.total();
        }
        double shareFraction = server.share / Math.max(shareSum, 1e-9);
        double recentRatio = (server.recentSends + 1) / (recentSendsSum * shareFraction + 1);
        double burden = outstanding <= 2 ? outstanding / 2
                : outstanding / Math.max(allOutstanding * shareFraction, 1);
        return Math.max(recentRatio / MAX_RECENT_SENDS_RATIO, burden / MAX_OUTSTANDING_RATIO);
    }

    private Server sessionServer(long now, PendingRequest pending, Session session) {
        Server server = session.server();
        // A warm key is no reason to cross zones, unless crossing is free.
        boolean fits = server.inServerSet && !server.down && crossingFraction(now, pending, server) == 1
                && maySend(now, pending, server);
        return fits && burden(now, server) <= MAX_SESSION_BURDEN ? server : null;
    }

    private void evictSessions(long now) {
        Iterator<Session> eldest = sessions.values().iterator();
        while (eldest.hasNext()) {
            if (now - eldest.next().lastUsedAt() < SESSION_TTL_MICROS && sessions.size() <= MAX_SESSIONS) {
                return;
            }
            eldest.remove();
        }
    }

    /**
     * Gives all servers the same number of slots, give or take one. Servers take slots in turn, each in an
     * order of its own (as in Maglev hashing): the table is the same at every gateway whatever the order of
     * its list, and a server that joins or leaves moves few slots of others.
     */
    private void buildTable() {
        departedServers.clear();
        departedInTable = 0;
        restartedInTable = 0;
        Server[] sorted = servers.values().toArray(new Server[0]);
        Arrays.sort(sorted, Comparator.comparing(server -> server.host.address()));
        int slots = MIN_TABLE_SLOTS;
        while (slots < 8 * sorted.length) {
            slots *= 2;
        }
        table = new Server[sorted.length == 0 ? 1 : slots];
        if (sorted.length == 0) {
            return;
        }
        long[] nextStep = new long[sorted.length];
        for (int filledSlots = 0; filledSlots < table.length; filledSlots++) {
            int index = filledSlots % sorted.length;
            long hash = mixBits(sorted[index].host.address().hashCode() + 0x9E3779B97F4A7C15L);
            int slot;
            do {
                slot = (int) (hash + nextStep[index]++ * (hash >>> 32 | 1)) & slots - 1;
            } while (table[slot] != null);
            table[slot] = sorted[index];
        }
    }

    /** Whether the table was built for no servers; a table for servers has all slots filled. */
    private boolean hasNoServers() {
        return table[0] == null;
    }

    /** The server that owns a slot now: a restarted server keeps the slots of its address. */
    private static Server currentServer(Server slotOwner) {
        Server server = slotOwner;
        while (server.successor != null) {
            server = server.successor;
        }
        return server;
    }

    private static long mixBits(long value) {
        long z = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    // ---- admission

    /**
     * Sets the fleet's pressure by the design's figure: the 95th percentile of the lateness of what S* served
     * just now. Where only few servers are full, these are left out: otherwise a tenth of the servers would
     * have every request refused. A pending request that is late and was not overtaken counts as served.
     * Failures count only once half of all requests is late or failed: then nothing is served.
     */
    private void updateFleetPressure(long now) {
        int keptCount = Math.min(MAX_SERVED_SAMPLES, servedCount);
        double[] served = new double[keptCount + pendingRequests.size()];
        double[] withFailures = new double[keptCount + pendingRequests.size()];
        int servedCountInSpan = 0;
        int withFailuresCount = 0;
        for (int i = servedCount - 1; i >= servedCount - keptCount; i--) {
            long age = now - servedAt[i % MAX_SERVED_SAMPLES];
            if (age >= SERVED_SPAN_MICROS && (withFailuresCount >= minServedSamples
                    || age >= MAX_SERVED_SPAN_MICROS)) {
                break;
            }
            withFailures[withFailuresCount++] = servedLateness[i % MAX_SERVED_SAMPLES];
            if (servedLateness[i % MAX_SERVED_SAMPLES] < FAILED_LATENESS) {
                served[servedCountInSpan++] = servedLateness[i % MAX_SERVED_SAMPLES];
            }
        }
        // A busy gateway keeps the answers of only a part of the span: the same part of the pending requests
        // counts.
        long keptSpanMicros = keptCount == MAX_SERVED_SAMPLES
                ? now - servedAt[servedCount % MAX_SERVED_SAMPLES] : SERVED_SPAN_MICROS;
        double keptFraction = Math.min(1, Math.max(1, keptSpanMicros) / (double) SERVED_SPAN_MICROS);
        double selected = 0;
        for (PendingRequest pending : pendingRequests.values()) {
            selected += keptFraction;
            if (selected < 1) {
                continue;
            }
            selected--;
            Attempt attempt = pending.attempts.get(pending.attempts.size() - 1);
            if (now - pending.arrivedAt > pending.requestClass.aim()
                    && countsForAdmission(now, attempt.server)) {
                withFailures[withFailuresCount++] = lateness(now, pending);
                if (attempt.sentAt > attempt.server.overtakenBefore) {
                    served[servedCountInSpan++] = lateness(now, pending);
                }
            }
        }
        double lateness = Math.max(quantile(served, servedCountInSpan, 0.95),
                quantile(withFailures, withFailuresCount, 0.5));
        fleetPressure = Math.max(0, Math.min(1, (lateness - T_AC) / (T_AC_FULL - T_AC)));
    }

    private double quantile(double[] values, int count, double fraction) {
        Arrays.sort(values, 0, count);
        return count < minServedSamples ? 0
                : values[Math.min(count - 2, (int) Math.ceil(fraction * count) - 1)];
    }

    /**
     * Waiting time over the aim, up to 1; from there on 1 plus the part of the way from the aim to the
     * deadline.
     */
    private static double lateness(long now, PendingRequest pending) {
        double waited = now - pending.arrivedAt;
        long aim = pending.requestClass.aim();
        return waited <= aim ? waited / aim
                : 1 + (waited - aim) / Math.max(1, pending.requestClass.deadline() - aim);
    }

    /**
     * The pressure at a server, from 0 to 1: the fleet's, or that of its own queue if higher. Queues are
     * judged for each server by its shortest answer: long requests raise a percentile, only a queue raises
     * the shortest.
     */
    private double pressure(long now, Server server) {
        return Math.max(fleetPressure, Math.min(1, queueFill(now, server)));
    }

    private boolean countsForAdmission(long now, Server server) {
        return server.inServerSet && (manyServersFull || !isFull(now, server));
    }

    /**
     * By its queue, or by its own 95th percentile: a slow server that gets few requests soon shows no queue.
     */
    private boolean isFull(long now, Server server) {
        return queueFill(now, server) > 0 || server.ownP95 > normalizedAim;
    }

    /**
     * How far a server's queue fills the tightest aim: 0 or less up to {@link #QUEUE_AC_FRACTION}, 1 or more
     * from {@link #QUEUE_FULL_FRACTION} on.
     */
    private double queueFill(long now, Server server) {
        return (currentWaitMicros(now, server) / tightestAimMicros - QUEUE_AC_FRACTION)
                / (QUEUE_FULL_FRACTION - QUEUE_AC_FRACTION);
    }

    /**
     * Takes the shortest of every {@link #ANSWERS_PER_WAIT_ESTIMATE} answers; one that is below the present
     * estimate counts at once.
     */
    private void recordWait(long now, Server server, double wait) {
        server.shortestAnswerMicros = Math.min(server.shortestAnswerMicros, wait);
        if (++server.answersSinceEstimate >= ANSWERS_PER_WAIT_ESTIMATE
                || wait < currentWaitMicros(now, server)) {
            setWait(now, server, server.shortestAnswerMicros);
        }
    }

    private void setWait(long now, Server server, double wait) {
        server.queueWaitMicros = wait;
        server.queueWaitSetAt = now;
        server.shortestAnswerMicros = Double.MAX_VALUE;
        server.answersSinceEstimate = 0;
    }

    /** The present wait: a queue to which nothing is added drains as time passes. */
    private static double currentWaitMicros(long now, Server server) {
        return Math.max(0, server.queueWaitMicros - (now - server.queueWaitSetAt));
    }

    /**
     * Decides whether a request is refused. The gateway's own delay counts twice, on the way to the host and
     * back; unlike a server's queue, it can't be avoided by another choice, so that refusals begin only where
     * it uses up the aim.
     * <p>Requests beyond a tenant's share are refused first, and up to {@link #OVER_SHARE_ONLY_PRESSURE} only
     * those; then new keys, with rising probability; remembered keys only where refusing all new ones is not
     * enough. A gateway that refuses everything learns nothing any more, so a request passes if nothing was
     * sent within {@link #SERVED_SPAN_MICROS}.
     */
    private boolean shouldRefuse(long now, PendingRequest pending, TenantShare tenantShare,
            boolean remembered, Server server) {
        boolean beyondShare = tenantShare != null && !pending.withinShare;
        double ownPressure = Math.min(1,
                (2.0 * ownQueueDelayMicros / tightestAimMicros - OWN_DELAY_AC_FRACTION)
                / (OWN_DELAY_FULL_FRACTION - OWN_DELAY_AC_FRACTION));
        double pressure = Math.max(pressure(now, server), ownPressure);
        double pressureWithinShares = tenantShare == null ? pressure
                : Math.max(0, (pressure - OVER_SHARE_ONLY_PRESSURE) / (1 - OVER_SHARE_ONLY_PRESSURE));
        double probability = beyondShare ? OVER_SHARE_REFUSAL_MULTIPLE * pressure
                : remembered ? 2 * pressureWithinShares - 1 : 2 * pressureWithinShares;
        if (probability > 0 && now - lastSentAt < SERVED_SPAN_MICROS
                && random.nextDouble() < probability
                * (1.2 - 0.4 * pending.requestClass.worth() / maxWorth)) {
            pending.refusalReason = beyondShare ? Why.SHARE
                    : ownPressure > 0 && ownPressure >= queueFill(now, server) ? Why.GATEWAY : Why.HOSTS;
            return true;
        }
        if (tenantShare != null && !beyondShare) {
            tenantShare.tokens--;
        }
        return false;
    }

    // ---- the guards of the four rules

    /**
     * The only place that sends: drains, repeats, parallel tries and cold hosts are checked here for every
     * attempt.
     */
    private boolean send(long now, PendingRequest pending, Server server) {
        if (!maySend(now, pending, server)) {
            return false;
        }
        if (server.coldSince > 0) {
            server.coldCredit--;
        }
        Attempt attempt = new Attempt(server, pending.classIndex, now);
        pending.attempts.add(attempt);
        server.outstanding.add(attempt);
        closeStaleConnections(now, server, attempt);
        server.unansweredSince = server.unansweredAttempts++ == 0 ? now : server.unansweredSince;
        server.lastSentAt = lastSentAt = now;
        server.recentSends++;
        recentSendsSum++;
        outstandingSum++;
        actions.send(pending.id, server.host.address(), pending.expiresAt - now, timeToLeave(now, pending));
        return true;
    }

    /** For how long the newest attempt may still leave: hosts drop repeats only within their dedup window. */
    private static long timeToLeave(long now, PendingRequest pending) {
        long leaveBy = pending.expiresAt;
        for (Attempt earlier : pending.attempts.subList(0, pending.attempts.size() - 1)) {
            boolean mayHaveRun = pending.requestClass.repeat() == Repeat.KEYED && !earlier.neverRan;
            leaveBy = mayHaveRun
                    ? Math.min(leaveBy,
                            earlier.sentAt + pending.requestClass.dedupWindow() - MAX_SEND_DELAY_MICROS)
                    : leaveBy;
        }
        return leaveBy - now;
    }

    /** Closes connections before the send that have been idle for longer than the observed losses allow. */
    private void closeStaleConnections(long now, Server server, Attempt attempt) {
        long idle = server.outstanding.size() > 1 || server.lastDeliveredAt == 0 ? 0
                : now - server.lastDeliveredAt;
        if (idleTimeout.isTooLong(idle)) {
            actions.closeIdle(server.host.address());
        } else if (idle < settings.links().idle()) {
            attempt.connectionIdleMicros = idle;
        }
    }

    private boolean maySend(long now, PendingRequest pending, Server server) {
        return isListed(server) && pending.expiresAt > now && !pending.streaming
                && pending.attempts.size() < settings.limits().maxAttempts()
                && crossingFraction(now, pending, server) > 0 && mayRepeat(now, pending, server)
                && coldHostAllows(now, pending, server);
    }

    /** The fraction of its share that a server has for a request, by the server's zone. */
    private static double crossingFraction(long now, PendingRequest pending, Server server) {
        return pending.crossing == null ? 1 : pending.crossing.part(now, server.host.zone());
    }

    private boolean isListed(Server server) {
        return server.host.health() == Health.UP && servers.get(server.host.address()) == server;
    }

    /**
     * An attempt that may have run restricts the next one: to none, or to its group within the dedup window.
     */
    private boolean mayRepeat(long now, PendingRequest pending, Server server) {
        for (Attempt attempt : pending.attempts) {
            if (attempt.outstanding && !settings.limits().parallelTries() || attempt.server == server) {
                return false;
            }
            if (attempt.neverRan || pending.requestClass.repeat() == Repeat.SAFE) {
                continue;
            }
            if (pending.requestClass.repeat() == Repeat.UNSAFE
                    || now - attempt.sentAt >= pending.requestClass.dedupWindow() - MAX_SEND_DELAY_MICROS
                    || !sameGroup(pending.requestClass.group(), attempt.server.host, server.host)) {
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

    /** The only place that refuses and fails: refuses only where a retry by the client is proved harmless. */
    private void refuseOrFail(PendingRequest pending) {
        boolean retryIsHarmless = pending.requestClass.repeat() == Repeat.SAFE
                || pending.requestClass.repeat() == Repeat.KEYED && pending.requestClass.group() == Group.ALL
                || pending.attempts.stream().allMatch(a -> a.neverRan);
        if (retryIsHarmless) {
            if (pending.refusalReason == Why.HOSTS && pending.crossing != null
                    && pending.crossing.heldBack()) {
                pending.refusalReason = Why.ZONES;
            }
            long retryAfter = settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0;
            actions.refuse(pending.id, retryAfter, pending.refusalReason);
        } else {
            actions.fail(pending.id);
        }
        finish(pending);
    }

    private void finish(PendingRequest pending) {
        pendingRequests.remove(pending.id);
        for (int i = 0; i < pending.attempts.size(); i++) {
            Attempt attempt = pending.attempts.get(i);
            if (attempt.outstanding) {
                attempt.outstanding = false;
                attempt.server.outstanding.remove(attempt);
                outstandingSum--;
                if (settings.limits().cancel()) {
                    actions.cancel(pending.id, i);
                }
            }
        }
    }

    /**
     * A cold host may be sent its part of what warm hosts of its kind serve, and no more than it answers:
     * keys that warm hosts know and requests that clients give up make that part a guess in any surge.
     */
    private boolean coldHostAllows(long now, PendingRequest pending, Server server) {
        if (server.coldSince == 0 || minCapacityFraction(now, server) == 1) {
            return true;
        }
        double usuallyOutstanding = 2 * coldRatePerSecond(now, server)
                * typicalLatencyMicros[pending.classIndex] / 1e6;
        return bearsHeavyRequest(now, pending, server) && refillColdCredit(now, server) >= 1
                && (server.unansweredAttempts == 0 || server.unansweredAttempts < usuallyOutstanding
                || now - server.lastSentAt >= settings.rules().fallSpan());
    }

    /**
     * Whether the host bears a single heavy request: what it can take in {@code fallSpan} without being
     * overloaded has to be at least {@link #HEAVY_REQUEST_MULTIPLE} typical requests. When warm, it serves at
     * least one request at a time, each in the typical latency, and as much as all gateways are served by a
     * warm host of its kind.
     */
    private boolean bearsHeavyRequest(long now, PendingRequest pending, Server server) {
        double capacityPerSecond = Math.max(warmRatePerSecond(server) * settings.site().gateways(),
                1e6 / typicalLatencyMicros[pending.classIndex]);
        Rules rules = settings.rules();
        return rules.fallMultiple() * minCapacityFraction(now, server) * capacityPerSecond
                * rules.fallSpan() / 1e6 >= HEAVY_REQUEST_MULTIPLE;
    }

    /** Requests a second that this gateway may send to a cold server. */
    private double coldRatePerSecond(long now, Server server) {
        return COLD_RATE_FRACTION * minCapacityFraction(now, server) * warmRatePerSecond(server);
    }

    /**
     * How long, in seconds, one of many gateways may delay what it may send: the server bears at once what
     * all of them may send in that time, on top of what goes on; half of that allows for random phases and
     * work.
     */
    private double maxDelaySeconds() {
        Rules rules = settings.rules();
        return 0.5 * Math.max(0, rules.fallMultiple() - COLD_RATE_FRACTION) / COLD_RATE_FRACTION
                * rules.fallSpan() / 1e6;
    }

    /**
     * Refills and returns the number of requests that a cold server may be sent now. Where this is less than
     * one request in {@link #maxDelaySeconds}, credit that is not used in its time is not saved up: gateways
     * with one request each in hand would all spend it on one popular key.
     */
    private double refillColdCredit(long now, Server server) {
        double rate = coldRatePerSecond(now, server);
        server.coldCredit += rate * (now - server.creditUpdatedAt) / 1e6;
        server.creditUpdatedAt = now;
        double slotFraction = rate * maxDelaySeconds();
        if (slotFraction >= 1) {
            double maxCredit = Math.max(1, rate * settings.rules().fallSpan() / 2e6);
            server.coldCredit = Math.min(maxCredit, server.coldCredit);
        } else if (server.coldCredit >= 1) {
            double phase = server.coldCredit % 1;
            server.coldCredit = phase <= slotFraction ? 1 + phase : phase;
        }
        return server.coldCredit;
    }

    /**
     * Requests a second that a warm host of the kind last served here. Served, not sent: in an overload,
     * hosts are sent many times what they can serve, and a cold host given its part of that would be
     * overloaded. The rate is kept while no host is warm, and for about the warm-up time when they serve
     * less: in a collapse, only the new hosts end it.
     */
    private double warmRatePerSecond(Server server) {
        if (server.kind.servedPerSecond > 0) {
            return server.kind.servedPerSecond;
        }
        return kinds.values().stream().filter(k -> k.servedPerSecond > 0).mapToDouble(k -> k.servedPerSecond)
                .min().orElse(0);
    }

    /** The smallest fraction of its capacity that a host can have by now. */
    private double minCapacityFraction(long now, Server server) {
        if (server.down) {
            server.coldSince = now;
        }
        if (server.coldSince == 0 || now - server.coldSince >= server.coldSpanMicros) {
            server.coldSince = 0;
            return 1;
        }
        double from = settings.rules().coldFrom();
        return from + (1 - from) * (now - server.coldSince) / settings.rules().warmWithin();
    }

    private void markCold(long now, Server server, long since, long span) {
        if (now - since < span) {
            server.coldSince = Math.max(1, since);
            server.coldSpanMicros = span;
            // Gateways take turns, with another first one at each host, so that their single requests don't
            // coincide.
            int gateways = settings.site().gateways();
            int slot = Math.floorMod(mixBits(server.host.address().hashCode()) + settings.site().me(),
                    gateways);
            server.coldCredit = 1 - (slot + random.nextDouble()) / gateways;
            server.creditUpdatedAt = now;
        }
    }

    // ---- retries

    private void retry(long now, PendingRequest pending) {
        boolean timeIsLeft = pending.expiresAt - now > typicalLatencyMicros[pending.classIndex] / 2;
        // Only a retry after a failure at a server that is down is free: dials fail by full connection
        // tables, too, and free retries would keep these full.
        double cost = pending.attempts.get(pending.attempts.size() - 1).server.down ? 0 : 1;
        Server server = timeIsLeft && retryBudget >= cost ? drawServer(now, pending) : null;
        if (server != null) {
            retryBudget -= cost;
        }
        sendOrAnswer(now, pending, server);
    }

    // ---- probes and registry

    /**
     * Probes servers that are down, then servers without samples, within the budget. Starts at a random
     * server, so that the last entries of a long list don't starve, and sends a server one probe at a time.
     */
    private void sendProbes() {
        if (!settings.limits().probes()) {
            return;
        }
        int count = serverArray.length;
        int first = random.nextInt(Math.max(1, count));
        for (int i = 0; i < 2 * count && probeBudget >= 1; i++) {
            Server server = serverArray[(first + i) % count];
            boolean wanted = i < count ? server.down : server.ownSampleCount == 0;
            if (wanted && !server.probeOutstanding && server.host.health() == Health.UP) {
                probeBudget--;
                server.probeOutstanding = true;
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
        server.probeOutstanding = false;
        recordLoadReport(now, server, report);
        if (outcome == Outcome.DELIVERED) {
            recordAnswer(now, server);
            server.probeLatency = elapsed / typicalLatencyMicros[0];
        } else {
            recordFailure(now, server, outcome);
        }
    }

    @Override
    public void hosts(long now, ListForm form, List<Host> hosts) {
        if (form == ListForm.FAILED) {
            // Changes count as known some seconds later, received or not: ask again soon, then less often,
            // after random pauses, or gateways whose calls failed together would ask together. What an agent
            // that pushes receives once it is back counts at once, so that the pause is within the drain
            // grace.
            long minPause = Math.max(WATCH_PAUSE_MICROS, settings.rules().mustAskIn() / WATCH_PAUSE_DIVISOR);
            long meanPause = settings.registryOnRequest()
                    ? minPause << Math.min(MAX_WATCH_PAUSE_DOUBLINGS, watchFailures++)
                    : Math.max(MIN_PUSH_WATCH_PAUSE_MICROS,
                    Math.min(WATCH_PAUSE_MICROS, settings.rules().drainGrace() / 4));
            actions.timer(now + 1 + meanPause / 2 + random.nextLong(meanPause + 1), WATCH_TIMER);
            return;
        }
        watchFailures = 0;
        if (form != ListForm.DELTA) {
            Set<String> listed = new HashSet<>();
            hosts.forEach(host -> listed.add(host.address()));
            List.copyOf(servers.keySet()).stream().filter(a -> !listed.contains(a))
                    .forEach(this::removeServer);
        }
        boolean needsSlots = false;
        for (Host host : hosts) {
            needsSlots |= addOrUpdate(now, host);
        }
        if (needsSlots || departedInTable > MAX_STALE_FRACTION * servers.size()) {
            buildTable();  // costs as much as thousands of requests where lists are long
        } else if (restartedInTable > MAX_STALE_FRACTION * servers.size()) {
            restartedInTable = 0;
            Arrays.setAll(table, i -> currentServer(table[i]));
        }
        discoveryHeard |= form != ListForm.CACHED;
        serverArray = servers.values().toArray(
                serverArray.length == servers.size() ? serverArray : new Server[0]);
        // Whether the draws for a request are too few to reliably hit a host that has weight in the list.
        // Judged by the list alone: where hosts are cold or failing, draws that find no server protect the
        // rest.
        double weightSum = 0;
        double ownZoneWeight = 0;
        double maxWeight = 0;
        for (Server server : serverArray) {
            boolean up = server.host.health() == Health.UP;
            double weight = up ? weightOf(server.host) : 0;
            // or weights would not count before the next refresh
            maxShare = Math.max(maxShare, up ? server.share : 0);
            weightSum += weight;
            ownZoneWeight += isInOwnZone(server) ? weight : 0;
            maxWeight = Math.max(maxWeight, weight);
        }
        sparse = MAX_DRAWS * weightSum < MIN_EXPECTED_HITS * maxWeight * servers.size();
        // for requests that may not leave the zone
        ownZoneSparse = MAX_DRAWS * ownZoneWeight < MIN_EXPECTED_HITS * maxWeight * servers.size();
    }

    /**
     * Removes a server. Its slots stay until a new server needs slots or too many are vacant: draws skip
     * them.
     */
    private void removeServer(String address) {
        Server server = servers.remove(address);
        if (server != null) {
            departedServers.put(address, server);
            departedInTable++;
        }
    }

    /**
     * The earliest time at which a host can have started. The host reports its start in Unix time, and this
     * machine's clock may have been wrong when the gateway started: if it was fast, every start looks old and
     * the host warm. But a start that is first reported now was listed no longer ago than discovery takes to
     * report it. What was listed when the gateway started may be of any age, and the host's report is all
     * there is.
     */
    private long earliestStart(long now, Host host) {
        return Math.max(Math.min(now, host.born()), discoveryHeard ? now - MAX_DISCOVERY_DELAY_MICROS : 0);
    }

    /** Adds or updates a host of the list; returns whether it has no slot in the table yet. */
    private boolean addOrUpdate(long now, Host host) {
        if (host.health() == Health.GONE) {
            removeServer(host.address());
            return false;
        }
        Server known = servers.get(host.address());
        Server slotOwner = known == null ? departedServers.remove(host.address()) : known;
        Server server = known;
        if (server == null || host.born() > server.host.born()) {
            server = new Server();
            server.lastAnsweredAt = now;
            server.share = 0.5 * weightOf(host);
            if (slotOwner != null) {
                slotOwner.successor = server;
                restartedInTable++;
            }
        }
        boolean isNewStart = server != known;
        departedInTable -= known == null && slotOwner != null ? 1 : 0;
        server.host = host;
        server.kind = kinds.computeIfAbsent(host.kind(), k -> new KindStats());
        servers.put(host.address(), server);
        if (isNewStart && host.born() > 0) {
            markCold(now, server, earliestStart(now, host), settings.rules().warmWithin());
            server.share = 0;
        }
        return slotOwner == null;
    }
}
