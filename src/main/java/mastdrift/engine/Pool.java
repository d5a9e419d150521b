package mastdrift.engine;

import java.util.List;
import java.util.Set;
import mastdrift.Balancer;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Why;
import mastdrift.peers.LocalLoad;
import mastdrift.zones.PoolCrossings;

/**
 * A host list, the decision module that chooses among the hosts, and the transport to them. Drives the module: passes
 * events to it and carries out its actions. Everything runs on the event loop's thread.
 */
public final class Pool implements Balancer.Actions {

    private static final Transport.Attempt NOT_SENT = () -> { };
    // The least time attributed to a host when all of an attempt's time may have been the gateway's own lateness.
    // Precise enough, and not zero, since hosts are compared by ratios of their usual times.
    private static final long MIN_HOST_TIME_MICROS = 1_000;
    // Lateness of the gateway up to this uses up no request's time: an attempt that failed then failed by itself,
    // however early.
    private static final long MAX_HARMLESS_LATENESS_MICROS = 100_000;

    private final String name;
    private final RequestTracker requestTracker;
    private final Balancer module;
    private final Settings settings;
    private final Transport transport;
    private final EndpointGate gate = new EndpointGate(this::isHostListValid);
    private PoolCrossings zones;
    private LocalLoad ownWork;
    private HostListSource hostListSource = HostListSource.PUSH_ONLY;
    private int liveExchanges;
    private boolean closed;

    /** Creates a pool; {@link #start} comes before all other events. */
    public Pool(String name, RequestTracker requestTracker, Balancer module, Settings settings, Transport transport) {
        this.name = name;
        this.requestTracker = requestTracker;
        this.module = module;
        this.settings = settings;
        this.transport = transport;
    }

    /** Counts and bounds the traffic that crosses zones from now on. Called before {@link #start}. */
    public void setZones(PoolCrossings poolZones) {
        zones = poolZones;
        transport.countBytes((uid, sentBytes, receivedBytes) ->
                poolZones.recordUnattributedBytes(requestTracker.now(), uid, sentBytes, receivedBytes));
    }

    /**
     * Counts requests in flight for the digests to peers, and gives the module what peers have in flight. Called before
     * {@link #start}.
     */
    public void setPeers(LocalLoad work, Balancer.Elsewhere peerWork) {
        ownWork = work;
        module.elsewhere(peerWork);
    }

    PoolCrossings.RequestCrossing newCrossing(RequestAttributes attributes) {
        if (zones == null) {
            return null;
        }
        for (RequestClass requestClass : settings.classes()) {
            if (requestClass.name().equals(attributes.className())) {
                return zones.startRequest(requestTracker.now(), requestClass, attributes.tenant(), attributes.clientZone(),
                        attributes.idempotencyKey());
            }
        }
        return null;
    }

    /**
     * Starts the module with the hosts known so far. Throws IllegalArgumentException for settings that it can't run
     * with.
     */
    public void start(HostListSource listSource, List<Member> members) {
        start(listSource, gate.nextVersion(), members);
    }

    /** As above, for a host list that has a version. */
    public void start(HostListSource listSource, long version, List<Member> members) {
        hostListSource = listSource;
        module.start(requestTracker.now(), settings, this);
        updateHosts(ListForm.CACHED, version, members);
    }

    /** The pool's name for operators. */
    public String name() {
        return name;
    }

    /** The settings of the pool's module. */
    public Settings settings() {
        return settings;
    }

    /** Whether the host list in force is valid, so that hosts may be sent to. */
    boolean isHostListValid() {
        return hostListSource.isListValid();
    }

    Balancer module() {
        return module;
    }

    RequestTracker requestTracker() {
        return requestTracker;
    }

    void exchangeBegan() {
        liveExchanges++;
    }

    void exchangeEnded() {
        liveExchanges--;
        if (closed && liveExchanges == 0) {
            transport.close();
        }
    }

    /** Puts a host list, or changes to it, in force as the newest version; done when this returns. */
    public void updateHosts(ListForm form, List<Member> members) {
        updateHosts(form, gate.nextVersion(), members);
    }

    /**
     * As above, for a list with a version. If that is older than the one in force, instances that a newer list took out
     * of service don't come back.
     */
    public void updateHosts(ListForm form, long version, List<Member> members) {
        List<Member> inForce = gate.apply(version, form != ListForm.DELTA, members);
        logTransitions("version " + version);
        applyHosts(form, inForce);
    }

    /**
     * Takes out of service the hosts that a list which isn't put in force says are draining or gone; see {@link
     * EndpointGate#withdraw}. Returns how many.
     */
    public int withdraw(long version, Set<String> listedUids, List<Member> leaving) {
        List<Member> changes = gate.withdraw(version, listedUids, leaving);
        logTransitions("version " + version + " (withdrawals only)");
        if (!changes.isEmpty()) {
            applyHosts(ListForm.DELTA, changes);
        }
        return changes.size();
    }

    /** As above, for a list that will be in force once it has been merged with others. */
    public void withdraw(List<Member> leaving) {
        withdraw(gate.nextVersion(), null, leaving);
    }

    private void logTransitions(String cause) {
        String transitions = gate.takeTransitions();
        if (!transitions.isEmpty()) {
            requestTracker.log("host list " + cause + ": " + transitions);
        }
    }

    private void applyHosts(ListForm form, List<Member> members) {
        transport.update(form != ListForm.DELTA, members);
        List<Host> hosts = members.stream().map(Member::host).toList();
        if (zones != null) {
            zones.updateHosts(requestTracker.now(), form != ListForm.DELTA, hosts);
        }
        requestTracker.submitEvent(null, now -> module.hosts(now, form, hosts));
    }

    /** Reports to the module that a query of the host list source failed. */
    public void hostListFailed() {
        requestTracker.submitEvent(null, now -> module.hosts(now, ListForm.FAILED, List.of()));
    }

    /** Sends nothing new to any host; the connections close once the requests in flight have ended. */
    public void close() {
        closed = true;
        hostListSource.watch(false);
        updateHosts(ListForm.FULL, List.of());
        if (liveExchanges == 0) {
            transport.close();
        }
    }

    /** Reports the event loop's lateness to the module, before events whose interpretation depends on it. */
    void reportLateness(long now) {
        module.own(now, requestTracker.lateness().standingQueueMicros(), requestTracker.lateness().queuedMicros(now));
    }

    /** One attempt of a request: the part of its time that was the gateway's own lateness, and its end. */
    private final class AttemptListener implements Transport.CompletionListener {

        private final Exchange exchange;
        private final int attemptNumber;
        private final String uid;
        private final long sentAt = requestTracker.now();
        private final PoolCrossings.TrackedAttempt attemptTraffic;
        private long ownLatenessMicros;
        private long sentBytes;
        private long receivedBytes;

        AttemptListener(Exchange exchange, String uid) {
            this.exchange = exchange;
            this.uid = uid;
            attemptNumber = exchange.attempts.size();
            attemptTraffic = exchange.crossing == null ? null : exchange.crossing.startAttempt(sentAt, uid, attemptNumber);
            if (ownWork != null) {
                ownWork.requestSent(uid);
            }
        }

        @Override
        public void transferred(long totalSentBytes, long totalReceivedBytes) {
            sentBytes = totalSentBytes;
            receivedBytes = totalReceivedBytes;
        }

        @Override
        public boolean isWanted() {
            requestTracker.readNotifications();  // a drain received meanwhile applies to what has not been sent yet
            return !exchange.ended && exchange.responder.isClientConnected();
        }

        @Override
        public void progressed() {
            long now = requestTracker.now();
            ownLatenessMicros += Math.min(requestTracker.lateness().queuedMicros(now), now - sentAt);
        }

        @Override
        public void completed(Outcome outcome, ResponseMessage response, LoadReport report) {
            if (ownWork != null) {
                ownWork.requestEnded(uid);
            }
            long now = requestTracker.now();
            long totalMicros = now - sentAt;
            ownLatenessMicros += outcome == Outcome.EXPIRED ? requestTracker.lateness().microsSinceWait(now)
                    : requestTracker.lateness().queuedMicros(now);
            long hostMicros = Math.max(totalMicros - ownLatenessMicros, Math.min(totalMicros, MIN_HOST_TIME_MICROS));
            exchange.lastAttemptExpired = outcome == Outcome.EXPIRED;
            exchange.mayHaveRun |= outcome != Outcome.SHED && outcome != Outcome.DIAL_FAILED && outcome != Outcome.UNUSED;
            requestTracker.attemptEnded(exchange, uid, outcome);
            if (outcome == Outcome.DELIVERED && !exchange.ended) {
                requestTracker.serve(exchange, response);
            } else if (exchange.responder.isClientGone()) {
                requestTracker.clientDisconnected(exchange);  // before the event below, on which the module would retry
            }
            Outcome reportedOutcome = ownLatenessMicros > MAX_HARMLESS_LATENESS_MICROS
                    && 2 * ownLatenessMicros > totalMicros ? inconclusive(outcome) : outcome;
            if (attemptTraffic != null) {
                attemptTraffic.end(now, reportedOutcome, sentBytes, receivedBytes);
            }
            requestTracker.submitEvent(exchange, eventTime -> {
                exchange.attemptsInFlight--;
                requestTracker.forgetIfDone(exchange);
                reportLateness(eventTime);
                module.resolved(eventTime, exchange.id, attemptNumber, uid, reportedOutcome, hostMicros, exchange.ended,
                        report);
            });
        }
    }

    /**
     * The outcome of an attempt for most of whose time the event loop was late, so that the host isn't known to be at
     * fault. What may have run may still have run.
     */
    private static Outcome inconclusive(Outcome outcome) {
        return switch (outcome) {
            case EXPIRED, DROPPED -> Outcome.REVOKED;
            case DIAL_FAILED -> Outcome.UNUSED;
            default -> outcome;
        };
    }

    // ---- actions of the module

    @Override
    public void send(long id, String uid, long timeoutMicros, long maxSendDelayMicros) {
        Exchange exchange = requestTracker.find(id);
        AttemptListener listener = new AttemptListener(exchange, uid);
        Endpoint endpoint = gate.find(uid);
        if (endpoint == null || exchange.ended || listener.attemptNumber >= settings.limits().maxAttempts()) {
            exchange.attempts.add(NOT_SENT);
            listener.completed(Outcome.UNUSED, null, LoadReport.NONE);
        } else {
            exchange.attempts.add(transport.send(endpoint, exchange.message,
                    Math.min(timeoutMicros, exchange.hostDeadlineMicros - requestTracker.now()),
                    maxSendDelayMicros, listener));
        }
        exchange.attemptsInFlight++;  // only now: an attempt that could not be sent has reported its end above
    }

    @Override
    public void cancel(long id, int attempt) {
        Exchange exchange = requestTracker.find(id);
        if (exchange != null && attempt < exchange.attempts.size()) {
            exchange.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long id, long retryAfterMicros, Why reason) {
        Exchange exchange = requestTracker.find(id);
        if (exchange != null && !exchange.ended) {
            requestTracker.refuse(exchange, retryAfterMicros, reason);
        }
    }

    @Override
    public void fail(long id) {
        Exchange exchange = requestTracker.find(id);
        if (exchange != null && !exchange.ended) {
            requestTracker.fail(exchange, exchange.lastAttemptExpired);
        }
    }

    @Override
    public void timer(long dueAt, String handle) {
        requestTracker.timers().after(Math.max(1, dueAt - requestTracker.now()), () -> {
            if (!closed || liveExchanges > 0) {  // otherwise the module of a closed pool would go on for good
                requestTracker.submitEvent(null, now -> {
                    reportLateness(now);
                    module.timer(now, handle);
                });
            }
        });
    }

    @Override
    public void probe(String uid) {
        Endpoint endpoint = gate.find(uid);
        if (endpoint == null) {
            requestTracker.submitEvent(null, now -> module.probed(now, uid, Outcome.UNUSED, 0, LoadReport.NONE));
            return;
        }
        long sentAt = requestTracker.now();
        transport.probe(endpoint, new Transport.ProbeListener() {
            private long sentBytes;
            private long receivedBytes;

            @Override
            public void transferred(long totalSentBytes, long totalReceivedBytes) {
                sentBytes = totalSentBytes;
                receivedBytes = totalReceivedBytes;
            }

            @Override
            public void probed(Outcome outcome, LoadReport report) {
                if (zones != null) {
                    zones.recordProbe(requestTracker.now(), uid, outcome, sentBytes, receivedBytes);
                }
                long totalMicros = requestTracker.now() - sentAt;
                long hostMicros = Math.max(totalMicros - requestTracker.lateness().queuedMicros(requestTracker.now()),
                        Math.min(totalMicros, MIN_HOST_TIME_MICROS));
                requestTracker.submitEvent(null, now -> module.probed(now, uid, outcome, hostMicros, report));
            }
        });
    }

    @Override
    public void watch(boolean active) {
        hostListSource.watch(active);
    }

    @Override
    public void fetch() {
        hostListSource.fetch();
    }

    @Override
    public void closeIdle(String uid) {
        transport.closeIdle(uid);
    }

    /** Not supported: the settings allow no messages between gateways, and the module sends none. */
    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("messages between gateways are not supported");
    }

    @Override
    public void log(String line) {
        requestTracker.log(line);
    }
}
