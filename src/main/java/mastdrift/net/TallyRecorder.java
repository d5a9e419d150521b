package mastdrift.net;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.Clock;
import mastdrift.engine.Endpoint;
import mastdrift.engine.RequestTracker;
import mastdrift.engine.Member;
import mastdrift.engine.ServiceCount;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;
import mastdrift.tally.Counter;
import mastdrift.tally.SecondCounts;

/**
 * Counts what passes a transport, and logs a line for each second in which there was anything. It wraps the transport,
 * and nothing else in the gateway asks whether it is there, so that none of it is loaded where counting is off.
 */
final class TallyRecorder implements Transport {

    private static final long SECOND_MICROS = 1_000_000;

    private final Transport transport;
    private final Clock clock;
    private final Timers timers;
    private final long warmWithinMicros;
    private final RequestTracker ledger;
    private final RequestTracer tracing;
    private final Consumer<String> log;
    private final Set<String> coldHosts = new HashSet<>();
    private final long[] countedAnswers = new long[2 + Why.values().length];
    private SecondCounts currentSecond;

    TallyRecorder(Transport transport, TimedEventLoop timedLoop, long warmWithinMicros, RequestTracker ledger, RequestTracer tracing,
            Consumer<String> log) {
        this.transport = transport;
        clock = timedLoop.clock();
        timers = timedLoop.timers();
        this.warmWithinMicros = warmWithinMicros;
        this.ledger = ledger;
        this.tracing = tracing;
        this.log = log;
        startSecond();
    }

    private void startSecond() {
        long now = clock.now();
        currentSecond = new SecondCounts(now / SECOND_MICROS);
        timers.after(SECOND_MICROS - now % SECOND_MICROS, this::logSecond);
    }

    private void logSecond() {
        countFinalAnswers();
        currentSecond.add(Counter.UNFOLLOWED, tracing.takeUntracedCount());
        String line = currentSecond.formatLine();
        if (line.indexOf('=') != line.lastIndexOf('=')) {
            log.accept(line);
        }
        startSecond();
    }

    /** Counts the final answers since the last call; the ledger holds totals, of which this takes the difference. */
    private void countFinalAnswers() {
        long[] totals = new long[countedAnswers.length];
        for (ServiceCount.ClassCounts classCount : ledger.serviceCount().byClass().values()) {
            totals[0] += classCount.served();
            totals[1] += classCount.failed();
            for (Why why : Why.values()) {
                totals[2 + why.ordinal()] += classCount.refused(why);
            }
        }
        currentSecond.add(Counter.SERVED, totals[0] - countedAnswers[0]);
        currentSecond.add(Counter.FAILED, totals[1] - countedAnswers[1]);
        for (Why why : Why.values()) {
            currentSecond.add(Counter.valueOf("REFUSED_" + why.name()),
                    totals[2 + why.ordinal()] - countedAnswers[2 + why.ordinal()]);
        }
        System.arraycopy(totals, 0, countedAnswers, 0, totals.length);
    }

    /** Wraps a listener to count the lists that discovery delivers and the calls to it. */
    Discovery.Listener countingListener(Discovery.Listener listener) {
        return new Discovery.Listener() {
            @Override
            public void listAccepted(HostList list) {
                currentSecond.add(Counter.LISTS);
                listener.listAccepted(list);
            }

            @Override
            public boolean hostsWithdrawn(Discovery.Withdrawal withdrawal) {
                return listener.hostsWithdrawn(withdrawal);
            }

            @Override
            public void callFailed(String cause) {
                currentSecond.add(Counter.CALLS_FAILED);
                listener.callFailed(cause);
            }

            @Override
            public void logEvent(String line) {
                listener.logEvent(line);
            }

            @Override
            public void callStarted() {
                currentSecond.add(Counter.CALLS);
            }
        };
    }

    @Override
    public Attempt send(Endpoint endpoint, RequestMessage call, long timeoutMicros, long sendWithinMicros, CompletionListener listener) {
        String uid = endpoint.uid();
        currentSecond.add(Counter.SENDS);
        currentSecond.addSend(uid);
        if (coldHosts.contains(uid)) {
            currentSecond.add(Counter.COLD);
        }
        return transport.send(endpoint, call, timeoutMicros, sendWithinMicros, new CompletionListener() {
            @Override
            public void completed(Outcome outcome, ResponseMessage answer, LoadReport report) {
                currentSecond.add(Counter.valueOf(outcome.name()));
                if (outcome != Outcome.DELIVERED && outcome != Outcome.REVOKED && outcome != Outcome.UNUSED) {
                    currentSecond.addLoss(uid);
                }
                listener.completed(outcome, answer, report);
            }

            @Override
            public boolean isWanted() {
                return listener.isWanted();
            }

            @Override
            public void progressed() {
                currentSecond.add(Counter.OPENED);
                listener.progressed();
            }

            @Override
            public void transferred(long sent, long received) {
                listener.transferred(sent, received);
            }
        });
    }

    @Override
    public void probe(Endpoint endpoint, ProbeListener listener) {
        currentSecond.add(Counter.PROBES);
        transport.probe(endpoint, new ProbeListener() {
            @Override
            public void probed(Outcome outcome, LoadReport report) {
                if (outcome != Outcome.DELIVERED) {
                    currentSecond.add(Counter.PROBES_FAILED);
                }
                listener.probed(outcome, report);
            }

            @Override
            public void transferred(long sent, long received) {
                listener.transferred(sent, received);
            }
        });
    }

    @Override
    public void update(boolean all, List<Member> members) {
        if (all) {
            coldHosts.clear();
        }
        for (Member member : members) {
            String uid = member.host().address();
            long warmAt = member.host().born() + warmWithinMicros;
            coldHosts.remove(uid);
            if (member.host().health() == Health.UP && member.host().born() > 0 && warmAt > clock.now()) {
                coldHosts.add(uid);
                timers.after(warmAt - clock.now(), () -> coldHosts.remove(uid));
            }
        }
        transport.update(all, members);
    }

    @Override
    public void countBytes(StrayBytesListener listener) {
        transport.countBytes(listener);
    }

    @Override
    public void closeIdle(String uid) {
        transport.closeIdle(uid);
    }

    @Override
    public void close() {
        transport.close();
    }
}
