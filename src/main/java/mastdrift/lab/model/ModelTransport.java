package mastdrift.lab.model;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import mastdrift.Balancer.Links;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Member;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;

/** One gateway's connections to the modelled nodes of a pool, under the contract of {@link Transport}: one outcome an attempt,
    dials with a bound, nothing new to an endpoint whose service has ended. Keeps what it knows of a node in arrays by the node's number, since
    a thousand gateways know ten thousand nodes each. */
final class ModelTransport implements Transport {

    private static final long PROBE_TIMEOUT = 250_000;
    private static final double PROBE_WORK = 1_000;

    private final VirtualTime time;
    private final Timers timers;
    private final ModelNetwork network;
    private final ModelNetwork.Way way;
    private final Watch watch;
    private final Trace trace;
    private final Links links;
    private final int gateway;
    private final String zone;
    private final ModelNode[] nodes;
    private final Map<String, Integer> indices;
    private final long[] usedAt;
    private final int[] idle;
    private final int[] epoch;
    private final long requestBytes;
    private final long answerBytes;

    ModelTransport(VirtualTime time, Timers timers, ModelNetwork network, ModelNetwork.Way way, Watch watch, Trace trace,
            Links links, int gateway, String zone, ModelNode[] nodes, Map<String, Integer> indices,
            Scenario.Zones zones) {
        this.time = time;
        this.timers = timers;
        this.network = network;
        this.way = way;
        this.watch = watch;
        this.trace = trace;
        this.links = links;
        this.gateway = gateway;
        this.zone = zone;
        this.nodes = nodes;
        this.indices = indices;
        usedAt = new long[nodes.length];
        idle = new int[nodes.length];
        epoch = new int[nodes.length];
        requestBytes = zones == null ? 0 : zones.requestBytes();
        answerBytes = zones == null ? 0 : zones.answerBytes();
    }

    @Override
    public void update(boolean all, List<Member> members) { }

    @Override
    public Attempt send(Endpoint to, RequestMessage call, long timeout, long leaveWithin, CompletionListener ended) {
        if (!to.maySend() || timeout <= 0) {
            ended.completed(Outcome.UNUSED, null, LoadReport.NONE);
            return () -> { };
        }
        Flight flight = new Flight(to, (Try) call, ended);
        flight.begin(timeout, leaveWithin);
        return flight;
    }

    @Override
    public void probe(Endpoint to, ProbeListener probed) {
        if (!to.maySend()) {
            probed.probed(Outcome.UNUSED, LoadReport.NONE);
            return;
        }
        new Flight(to, null, (outcome, answer, report) -> probed.probed(outcome, report)).begin(PROBE_TIMEOUT, PROBE_TIMEOUT);
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

        private final Endpoint endpoint;
        private final ModelNode node;
        private final Try asked;
        private final CompletionListener ended;
        private Timers.Timer timer;
        private boolean written;
        private boolean over;

        Flight(Endpoint endpoint, Try asked, CompletionListener ended) {
            this.endpoint = endpoint;
            node = nodes[indices.get(endpoint.uid())];
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
                    } else if (time.now() >= leaveBy || !endpoint.maySend()) {
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
            ended.transferred(written ? requestBytes : 0, answered ? answerBytes : 0);
            ended.completed(outcome, outcome == Outcome.DELIVERED ? new ModelAnswer(node) : null, LoadReport.NONE);
        }

        private void trace(String what) {
            if (trace != Trace.NONE && asked != null) {
                trace.step(time.now() - VirtualTime.BEGIN, asked.request(), "gateway-" + gateway, what);
            }
        }
    }
}
