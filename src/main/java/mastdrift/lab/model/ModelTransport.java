package mastdrift.lab.model;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Call;
import mastdrift.engine.Member;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;

/** One gateway's connections to the modelled nodes of a pool, under the contract of {@link Transport}: one outcome an attempt,
    dials with a bound, nothing new once the grace is over. Keeps what it knows of a node in arrays by the node's number, since
    a thousand gateways know ten thousand nodes each. */
final class ModelTransport implements Transport {

    // Nothing waits for a connection longer than that before the grace ends.
    private static final long GRACE_SPARE = 50_000;
    private static final long PROBE_TIMEOUT = 250_000;
    private static final double PROBE_WORK = 1_000;
    private static final long UNKNOWN = Long.MIN_VALUE;

    private final VirtualTime time;
    private final Timers timers;
    private final ModelNetwork network;
    private final ModelNetwork.Way way;
    private final Watch watch;
    private final Trace trace;
    private final Links links;
    private final long grace;
    private final int gateway;
    private final String zone;
    private final boolean gated;
    private final ModelNode[] nodes;
    private final Map<String, Integer> indices;
    private final long[] sendUntil;
    private final long[] usedAt;
    private final int[] idle;
    private final int[] epoch;
    private final long requestBytes;
    private final long answerBytes;

    /** {@code gated} is false only where the laboratory shows that it finds who breaks the third rule. */
    ModelTransport(VirtualTime time, Timers timers, ModelNetwork network, ModelNetwork.Way way, Watch watch, Trace trace,
            Links links, long grace, int gateway, String zone, boolean gated, ModelNode[] nodes, Map<String, Integer> indices,
            Scenario.Zones zones) {
        this.time = time;
        this.timers = timers;
        this.network = network;
        this.way = way;
        this.watch = watch;
        this.trace = trace;
        this.links = links;
        this.grace = Math.max(0, grace - GRACE_SPARE);
        this.gateway = gateway;
        this.zone = zone;
        this.gated = gated;
        this.nodes = nodes;
        this.indices = indices;
        sendUntil = new long[nodes.length];
        Arrays.fill(sendUntil, UNKNOWN);
        usedAt = new long[nodes.length];
        idle = new int[nodes.length];
        epoch = new int[nodes.length];
        requestBytes = zones == null ? 0 : zones.requestBytes();
        answerBytes = zones == null ? 0 : zones.answerBytes();
    }

    @Override
    public void update(boolean all, List<Member> members, long toldAt) {
        boolean[] named = all ? new boolean[nodes.length] : null;
        for (Member member : members) {
            int i = indices.get(member.host().address());
            if (all) {
                named[i] = true;
            }
            if (member.host().health() == Health.UP) {
                sendUntil[i] = Long.MAX_VALUE;
            } else {
                leaves(i, toldAt);
            }
        }
        for (int i = 0; all && i < nodes.length; i++) {
            if (!named[i]) {
                leaves(i, toldAt);
            }
        }
    }

    private void leaves(int i, long toldAt) {
        if (gated && sendUntil[i] != UNKNOWN) {
            sendUntil[i] = Math.min(sendUntil[i], toldAt + grace);
        }
    }

    @Override
    public Attempt send(String uid, Call call, long timeout, long leaveWithin, Ended ended) {
        Integer i = indices.get(uid);
        if (i == null || time.now() >= sendUntil[i] || timeout <= 0) {
            ended.ended(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        Flight flight = new Flight(nodes[i], (Try) call, ended);
        flight.begin(timeout, leaveWithin);
        return flight;
    }

    @Override
    public void probe(String uid, Probed probed) {
        Integer i = indices.get(uid);
        if (i == null || time.now() >= sendUntil[i]) {
            probed.probed(Outcome.UNUSED, LoadReport.NONE);
            return;
        }
        new Flight(nodes[i], null, (outcome, answer, report) -> probed.probed(outcome, report)).begin(PROBE_TIMEOUT, PROBE_TIMEOUT);
    }

    @Override
    public void closeIdle(String uid) {
        Integer i = indices.get(uid);
        if (i != null) {
            idle[i] = 0;
        }
    }

    @Override
    public void close() {
        Arrays.fill(idle, 0);
    }

    /** An attempt under way. */
    private final class Flight implements Attempt, Send {

        private final ModelNode node;
        private final Try asked;
        private final Ended ended;
        private Timers.Timer timer;
        private boolean written;
        private boolean over;

        Flight(ModelNode node, Try asked, Ended ended) {
            this.node = node;
            this.asked = asked;
            this.ended = ended;
        }

        private void begin(long timeout, long leaveWithin) {
            long leaveBy = time.now() + leaveWithin;
            timer = timers.after(timeout, () -> end(Outcome.EXPIRED));
            int i = node.index();
            if (epoch[i] != node.epoch() || time.now() - usedAt[i] > links.idle() * 4 / 5) {
                epoch[i] = node.epoch();
                idle[i] = 0;
            }
            if (idle[i] > 0) {
                idle[i]--;
                write(false);
                return;
            }
            trace("dials " + node.uid());
            if (!network.joined(zone, node.zone())) {
                timers.after(links.dialTimeout(), () -> end(Outcome.DIAL_FAILED));
                return;
            }
            long there = way.delay(zone, node.zone());
            time.after(there, () -> {
                boolean accepted = node.up();
                timers.after(way.delay(node.zone(), zone), () -> {
                    if (!accepted) {
                        end(Outcome.DIAL_FAILED);
                    } else if (time.now() >= Math.min(leaveBy, sendUntil[node.index()])) {
                        end(Outcome.UNUSED);
                    } else if (!over) {
                        write(true);
                    }
                });
            });
        }

        private void write(boolean fresh) {
            int started = node.epoch();
            written = true;
            if (asked != null) {
                watch.sent(gateway, node.index(), asked.request(), node.uid());
            }
            trace("sends to " + node.uid());
            boolean arrives = network.joined(zone, node.zone());
            boolean breaks = way.breaks();
            time.after(way.delay(zone, node.zone()), () -> {
                if (!arrives) {
                    return;  // silence, until its time is over
                }
                if (!node.up() || node.epoch() != started) {
                    answered(fresh && !node.up() ? Outcome.DIAL_FAILED : Outcome.DROPPED);
                } else if (breaks) {
                    node.arrive(this);
                    answered(Outcome.DROPPED);
                } else {
                    node.arrive(this);
                }
            });
        }

        @Override
        public long request() {
            return asked == null ? -1 : asked.request();
        }

        @Override
        public double work() {
            return asked == null ? PROBE_WORK : asked.work();
        }

        @Override
        public int key() {
            return asked == null ? 0 : asked.key();
        }

        @Override
        public boolean given() {
            return over;
        }

        @Override
        public boolean informed() {
            return watch.knows(gateway, node);
        }

        @Override
        public void begun(ModelNode at) {
            if (asked != null) {
                boolean dropped = watch.ran(at, asked.type(), asked.effect(), asked.request());
                trace("runs at " + at.uid() + (dropped ? ", a repeat that its group drops" : ""));
                asked.ran(at);
            }
        }

        @Override
        public void answer(Outcome outcome) {
            answered(outcome);
        }

        @Override
        public void reset() {
            answered(Outcome.DROPPED);
        }

        /** What the node, or the end of its connection, says comes back. */
        private void answered(Outcome outcome) {
            if (network.joined(zone, node.zone())) {
                timers.after(way.delay(node.zone(), zone), () -> end(outcome));
            }
        }

        @Override
        public void cancel() {
            end(Outcome.REVOKED);
        }

        private void end(Outcome outcome) {
            if (over) {
                return;
            }
            over = true;
            timer.cancel();
            trace(node.uid() + ": " + outcome);
            if ((outcome == Outcome.DELIVERED || outcome == Outcome.ERROR || outcome == Outcome.SHED)
                    && epoch[node.index()] == node.epoch()) {
                idle[node.index()]++;
                usedAt[node.index()] = time.now();
            }
            boolean answered = outcome == Outcome.DELIVERED || outcome == Outcome.ERROR || outcome == Outcome.SHED;
            ended.passed(written ? requestBytes : 0, answered ? answerBytes : 0);
            ended.ended(outcome, outcome == Outcome.DELIVERED ? new ModelAnswer(node) : null, LoadReport.NONE);
        }

        private void trace(String what) {
            if (trace != Trace.NONE && asked != null) {
                trace.step(time.now() - VirtualTime.BEGIN, asked.request(), "gateway-" + gateway, what);
            }
        }
    }
}
