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
import mastdrift.zones.PoolZones;

/** A list of hosts, the one module that decides on them, and the transport to them. Drives the module: hands it events and
    carries out what it asks. Everything happens on the loop's thread. */
public final class Pool implements Balancer.Actions {

    private static final Transport.Attempt NOT_SENT = () -> { };
    // What is left of a host's time where all of it may have passed here: as exact as need be, and not nothing, since
    // hosts are compared by parts of what is usual.
    private static final long LEAST = 1_000;
    // Less lateness than that has nobody's time run out: what failed then failed by itself, however soon.
    private static final long UNSURE = 100_000;

    private final String name;
    private final Ledger ledger;
    private final Balancer module;
    private final Settings settings;
    private final Transport transport;
    private final EndpointGate gate = new EndpointGate(this::listHolds);
    private PoolZones zones;
    private LocalLoad work;
    private Source source = Source.TELLS;
    private int living;
    private boolean closed;

    /** {@link #start} comes first of all events. */
    public Pool(String name, Ledger ledger, Balancer module, Settings settings, Transport transport) {
        this.name = name;
        this.ledger = ledger;
        this.module = module;
        this.settings = settings;
        this.transport = transport;
    }

    /** What crosses zones is counted and bounded from now on; before {@link #start}. */
    public void zones(PoolZones counted) {
        zones = counted;
        transport.count((uid, sent, received) -> counted.stray(ledger.now(), uid, sent, received));
    }

    /** What is out is counted for peers, and the module sees what they have out; before {@link #start}. */
    public void peers(LocalLoad counted, Balancer.Elsewhere others) {
        work = counted;
        module.elsewhere(others);
    }

    PoolZones.Pass pass(Ask ask) {
        if (zones == null) {
            return null;
        }
        for (RequestClass type : settings.classes()) {
            if (type.name().equals(ask.className())) {
                return zones.pass(ledger.now(), type, ask.tenant(), ask.clientZone(), ask.effect());
            }
        }
        return null;
    }

    /** Starts the module with the hosts known so far; throws IllegalArgumentException for settings it can't run with. */
    public void start(Source from, List<Member> known) {
        start(from, gate.nextVersion(), known);
    }

    /** Likewise, where the list of those has a version. */
    public void start(Source from, long version, List<Member> known) {
        source = from;
        module.start(ledger.now(), settings, this);
        learn(ListForm.CACHED, version, known);
    }

    /** What operators call it. */
    public String name() {
        return name;
    }

    /** The settings of its module. */
    public Settings settings() {
        return settings;
    }

    /** Whether anybody may be sent to by the list in force. */
    boolean listHolds() {
        return source.listHolds();
    }

    Balancer module() {
        return module;
    }

    Ledger ledger() {
        return ledger;
    }

    void began() {
        living++;
    }

    void ended() {
        living--;
        if (closed && living == 0) {
            transport.close();
        }
    }

    /** Hosts, or changes of them, newer than any before: in force once this returns. */
    public void learn(ListForm form, List<Member> members) {
        learn(form, gate.nextVersion(), members);
    }

    /** Likewise, of a version, which may be older than the one in force: then no instance that a newer one took out of service comes back. */
    public void learn(ListForm form, long version, List<Member> members) {
        List<Member> inForce = gate.take(version, form != ListForm.DELTA, members);
        logTransitions("version " + version);
        putInForce(form, inForce);
    }

    /** Takes out of service whom a list that is not taken says is draining or gone; see {@link EndpointGate#withdraw}. Returns how many. */
    public int withdraw(long version, Set<String> named, List<Member> leaving) {
        List<Member> changes = gate.withdraw(version, named, leaving);
        logTransitions("version " + version + ", which is not put in force,");
        if (!changes.isEmpty()) {
            putInForce(ListForm.DELTA, changes);
        }
        return changes.size();
    }

    /** Likewise, of a list that will be in force once it has been put together with others. */
    public void withdraw(List<Member> leaving) {
        withdraw(gate.nextVersion(), null, leaving);
    }

    private void logTransitions(String by) {
        String transitions = gate.takeTransitions();
        if (!transitions.isEmpty()) {
            ledger.log("by " + by + " " + transitions);
        }
    }

    private void putInForce(ListForm form, List<Member> members) {
        transport.update(form != ListForm.DELTA, members);
        List<Host> hosts = members.stream().map(Member::host).toList();
        if (zones != null) {
            zones.hosts(ledger.now(), form != ListForm.DELTA, hosts);
        }
        ledger.event(null, now -> module.hosts(now, form, hosts));
    }

    /** The source was asked and failed. */
    public void unheard() {
        ledger.event(null, now -> module.hosts(now, ListForm.FAILED, List.of()));
    }

    /** Nobody is sent anything new any more; what is out ends, then its connections close. */
    public void close() {
        closed = true;
        source.watch(false);
        learn(ListForm.FULL, List.of());
        if (living == 0) {
            transport.close();
        }
    }

    /** Tells the module how late the loop is, ahead of what may be judged by it. */
    void own(long now) {
        module.own(now, ledger.turns().standing(), ledger.turns().own(now));
    }

    /** An attempt: what of its time was this program's own, and its end. */
    private final class Sending implements Transport.Ended {

        private final Exchange exchange;
        private final int number;
        private final String uid;
        private final long sentAt = ledger.now();
        private final PoolZones.Leg leg;
        private long own;
        private long sent;
        private long received;

        Sending(Exchange exchange, String uid) {
            this.exchange = exchange;
            this.uid = uid;
            number = exchange.attempts.size();
            leg = exchange.pass == null ? null : exchange.pass.sent(sentAt, uid, number);
            if (work != null) {
                work.requestSent(uid);
            }
        }

        @Override
        public void passed(long out, long in) {
            sent = out;
            received = in;
        }

        @Override
        public boolean wanted() {
            ledger.readNotifications();  // a drain told meanwhile is one for what has not left yet
            return !exchange.ended && exchange.client.there();
        }

        @Override
        public void step() {
            long now = ledger.now();
            own += Math.min(ledger.turns().own(now), now - sentAt);
        }

        @Override
        public void ended(Outcome outcome, Answer answer, LoadReport report) {
            if (work != null) {
                work.requestEnded(uid);
            }
            long now = ledger.now();
            long all = now - sentAt;
            own += outcome == Outcome.EXPIRED ? ledger.turns().behind(now) : ledger.turns().own(now);
            long elapsed = Math.max(all - own, Math.min(all, LEAST));
            exchange.late = outcome == Outcome.EXPIRED;
            ledger.attemptEnded(exchange, uid, outcome);
            if (outcome == Outcome.DELIVERED && !exchange.ended) {
                ledger.served(exchange, answer);
            } else if (exchange.client.left()) {
                ledger.departed(exchange);  // ahead of what would have the module try again
            }
            Outcome told = own > UNSURE && 2 * own > all ? unblamed(outcome) : outcome;
            if (leg != null) {
                leg.ended(now, told, sent, received);
            }
            ledger.event(exchange, at -> {
                exchange.out--;
                ledger.forget(exchange);
                own(at);
                module.resolved(at, exchange.id, number, uid, told, elapsed, exchange.ended, report);
            });
        }
    }

    /** Most of the time the loop wasn't looking: that it was the host isn't known. What may have run may have run all the same. */
    private static Outcome unblamed(Outcome outcome) {
        return switch (outcome) {
            case EXPIRED, DROPPED -> Outcome.REVOKED;
            case DIAL_FAILED -> Outcome.UNUSED;
            default -> outcome;
        };
    }

    // ---- actions

    @Override
    public void send(long id, String uid, long timeout, long leaveWithin) {
        Exchange exchange = ledger.find(id);
        Sending ended = new Sending(exchange, uid);
        Endpoint endpoint = gate.find(uid);
        if (endpoint == null || exchange.ended || ended.number >= settings.limits().maxAttempts()) {
            exchange.attempts.add(NOT_SENT);
            ended.ended(Outcome.UNUSED, null, LoadReport.NONE);
        } else {
            exchange.attempts.add(transport.send(endpoint, exchange.call, Math.min(timeout, exchange.endsAt - ledger.now()), leaveWithin, ended));
        }
        exchange.out++;  // only now: of what could not be sent there is no outcome
    }

    @Override
    public void cancel(long id, int attempt) {
        Exchange exchange = ledger.find(id);
        if (exchange != null && attempt < exchange.attempts.size()) {
            exchange.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long id, long retryAfter, Why why) {
        Exchange exchange = ledger.find(id);
        if (exchange != null && !exchange.ended) {
            ledger.refuse(exchange, retryAfter, why);
        }
    }

    @Override
    public void fail(long id) {
        Exchange exchange = ledger.find(id);
        if (exchange != null && !exchange.ended) {
            ledger.fail(exchange, exchange.late);
        }
    }

    @Override
    public void timer(long at, String handle) {
        ledger.timers().after(Math.max(1, at - ledger.now()), () -> {
            if (!closed || living > 0) {  // or the module of a pool that is gone would go on for good
                ledger.event(null, now -> {
                    own(now);
                    module.timer(now, handle);
                });
            }
        });
    }

    @Override
    public void probe(String uid) {
        Endpoint endpoint = gate.find(uid);
        if (endpoint == null) {
            ledger.event(null, now -> module.probed(now, uid, Outcome.UNUSED, 0, LoadReport.NONE));
            return;
        }
        long sentAt = ledger.now();
        transport.probe(endpoint, new Transport.Probed() {
            private long sent;
            private long received;

            @Override
            public void passed(long out, long in) {
                sent = out;
                received = in;
            }

            @Override
            public void probed(Outcome outcome, LoadReport report) {
                if (zones != null) {
                    zones.probed(ledger.now(), uid, outcome, sent, received);
                }
                long all = ledger.now() - sentAt;
                long elapsed = Math.max(all - ledger.turns().own(ledger.now()), Math.min(all, LEAST));
                ledger.event(null, now -> module.probed(now, uid, outcome, elapsed, report));
            }
        });
    }

    @Override
    public void watch(boolean active) {
        source.watch(active);
    }

    @Override
    public void fetch() {
        source.fetch();
    }

    @Override
    public void closeIdle(String uid) {
        transport.closeIdle(uid);
    }

    /** The settings allow no messages between gateways; the module sends none. */
    @Override
    public void tell(int peer, byte[] message) {
        throw new UnsupportedOperationException("gateways share nothing");
    }

    @Override
    public void log(String line) {
        ledger.log(line);
    }
}
