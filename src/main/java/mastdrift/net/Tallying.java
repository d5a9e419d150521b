package mastdrift.net;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;
import mastdrift.engine.Answer;
import mastdrift.engine.Call;
import mastdrift.engine.Clock;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Ledger;
import mastdrift.engine.Member;
import mastdrift.engine.ServiceCount;
import mastdrift.engine.Timers;
import mastdrift.engine.Transport;
import mastdrift.tally.Counter;
import mastdrift.tally.SecondCounts;

/** Counts what passes a transport, and writes a line a second in which there was anything. Where it is off, none of it is loaded:
    it stands before the transport, and nothing of the gateway asks whether it is there. */
final class Tallying implements Transport {

    private static final long SECOND = 1_000_000;

    private final Transport transport;
    private final Clock clock;
    private final Timers timers;
    private final long warmWithin;
    private final Ledger ledger;
    private final Tracing tracing;
    private final Consumer<String> log;
    private final Set<String> cold = new HashSet<>();
    private final long[] answers = new long[2 + Why.values().length];
    private SecondCounts second;

    Tallying(Transport transport, TimedLoop timed, long warmWithin, Ledger ledger, Tracing tracing,
            Consumer<String> log) {
        this.transport = transport;
        clock = timed.clock();
        timers = timed.timers();
        this.warmWithin = warmWithin;
        this.ledger = ledger;
        this.tracing = tracing;
        this.log = log;
        begin();
    }

    private void begin() {
        long now = clock.now();
        second = new SecondCounts(now / SECOND);
        timers.after(SECOND - now % SECOND, this::tell);
    }

    private void tell() {
        answered();
        second.add(Counter.UNFOLLOWED, tracing.unfollowed());
        String line = second.formatLine();
        if (line.indexOf('=') != line.lastIndexOf('=')) {
            log.accept(line);
        }
        begin();
    }

    /** Final answers are counted by the ledger as they come, and from it here by difference. */
    private void answered() {
        long[] now = new long[answers.length];
        for (ServiceCount.Of of : ledger.count().classes().values()) {
            now[0] += of.served();
            now[1] += of.failed();
            for (Why why : Why.values()) {
                now[2 + why.ordinal()] += of.refused(why);
            }
        }
        second.add(Counter.SERVED, now[0] - answers[0]);
        second.add(Counter.FAILED, now[1] - answers[1]);
        for (Why why : Why.values()) {
            second.add(Counter.valueOf("REFUSED_" + why.name()), now[2 + why.ordinal()] - answers[2 + why.ordinal()]);
        }
        System.arraycopy(now, 0, answers, 0, now.length);
    }

    /** Counts what discovery tells, and calls to it. */
    Discovery.Listener counted(Discovery.Listener then) {
        return new Discovery.Listener() {
            @Override
            public void listed(HostList list) {
                second.add(Counter.LISTS);
                then.listed(list);
            }

            @Override
            public boolean withdrawn(Discovery.Withdrawal withdrawal) {
                return then.withdrawn(withdrawal);
            }

            @Override
            public void failed(String cause) {
                second.add(Counter.CALLS_FAILED);
                then.failed(cause);
            }

            @Override
            public void noted(String line) {
                then.noted(line);
            }

            @Override
            public void called() {
                second.add(Counter.CALLS);
            }
        };
    }

    @Override
    public Attempt send(Endpoint to, Call call, long timeout, long leaveWithin, Ended ended) {
        String uid = to.uid();
        second.add(Counter.SENDS);
        second.addSend(uid);
        if (cold.contains(uid)) {
            second.add(Counter.COLD);
        }
        return transport.send(to, call, timeout, leaveWithin, new Ended() {
            @Override
            public void ended(Outcome outcome, Answer answer, LoadReport report) {
                second.add(Counter.valueOf(outcome.name()));
                if (outcome != Outcome.DELIVERED && outcome != Outcome.REVOKED && outcome != Outcome.UNUSED) {
                    second.addLoss(uid);
                }
                ended.ended(outcome, answer, report);
            }

            @Override
            public boolean wanted() {
                return ended.wanted();
            }

            @Override
            public void step() {
                second.add(Counter.OPENED);
                ended.step();
            }

            @Override
            public void passed(long sent, long received) {
                ended.passed(sent, received);
            }
        });
    }

    @Override
    public void probe(Endpoint at, Probed probed) {
        second.add(Counter.PROBES);
        transport.probe(at, new Probed() {
            @Override
            public void probed(Outcome outcome, LoadReport report) {
                if (outcome != Outcome.DELIVERED) {
                    second.add(Counter.PROBES_FAILED);
                }
                probed.probed(outcome, report);
            }

            @Override
            public void passed(long sent, long received) {
                probed.passed(sent, received);
            }
        });
    }

    @Override
    public void update(boolean all, List<Member> members) {
        if (all) {
            cold.clear();
        }
        for (Member member : members) {
            String uid = member.host().address();
            long warm = member.host().born() + warmWithin;
            cold.remove(uid);
            if (member.host().health() == Health.UP && member.host().born() > 0 && warm > clock.now()) {
                cold.add(uid);
                timers.after(warm - clock.now(), () -> cold.remove(uid));
            }
        }
        transport.update(all, members);
    }

    @Override
    public void count(Strays strays) {
        transport.count(strays);
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
