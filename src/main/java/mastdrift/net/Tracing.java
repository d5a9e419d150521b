package mastdrift.net;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Settings;
import mastdrift.Balancer.Why;
import mastdrift.engine.Answer;
import mastdrift.engine.Ask;
import mastdrift.engine.Call;
import mastdrift.engine.Clock;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Member;
import mastdrift.engine.Transport;
import mastdrift.engine.Witness;
import mastdrift.tally.RequestStep;

/** Writes a line for each step of a request: taken, each attempt with its host, start and outcome, the final answer with its reason. It
    stands before the transport, as {@link Tallying} does, and nothing of it is loaded where that is off. Follows up to
    {@value #NEW_MOST} new requests a second and {@value #OPEN_MOST} at once, each of them whole; those beyond are counted. */
final class Tracing implements Transport, Witness {

    static final int NEW_MOST = 200;
    static final int OPEN_MOST = 2_000;
    private static final long SECOND = 1_000_000;
    // Hosts that left are remembered for so long: nothing that was chosen before is written later.
    private static final long LEFT_KEPT = 60_000_000;

    /** A request that is followed. */
    private static final class Life {
        private final long takenAt;
        private int attempts;

        Life(long takenAt) {
            this.takenAt = takenAt;
        }
    }

    private final Transport transport;
    private final Clock clock;
    private final long warmWithin;
    private final Consumer<String> log;
    private final Map<String, String> classes;
    private final Map<String, Life> lives = new HashMap<>();
    private final Map<String, Long> warmAt = new HashMap<>();
    private final Map<String, Long> leftAt = new HashMap<>();
    private final Set<String> named = new HashSet<>();
    private long second;
    private int begun;
    private long unfollowed;

    Tracing(Transport transport, TimedLoop timed, Settings settings, Consumer<String> log) {
        this.transport = transport;
        clock = timed.clock();
        warmWithin = settings.rules().warmWithin();
        this.log = log;
        classes = settings.classes().stream()
                .collect(Collectors.toMap(RequestClass::name, type -> type.name() + ":" + type.repeat()));
    }

    /** Requests that were not followed since this was asked last. */
    long unfollowed() {
        long since = unfollowed;
        unfollowed = 0;
        return since;
    }

    private static String id(Call call) {
        return ((HttpCall) call).message().headers().get("X-Trace-Id");
    }

    private void tell(String id, RequestStep.Kind kind, int attempt, String host, String word, long span) {
        log.accept(new RequestStep(clock.now(), id, kind, attempt, host, word, span).formatLine());
    }

    @Override
    public void taken(Call call, Ask ask) {
        long now = clock.now();
        if (now / SECOND != second) {
            second = now / SECOND;
            begun = 0;
        }
        if (begun >= NEW_MOST || lives.size() >= OPEN_MOST) {
            unfollowed++;
            return;
        }
        begun++;
        lives.put(id(call), new Life(now));
        tell(id(call), RequestStep.Kind.TAKEN, -1, "", taken(ask), ask.left());
    }

    private String taken(Ask ask) {
        return (ask.tenant() == null ? "" : ask.tenant() + ":") + classes.getOrDefault(ask.className(), ask.className());
    }

    @Override
    public void ended(Call call, End end, Why why) {
        Life life = lives.remove(id(call));
        if (life != null) {
            tell(id(call), RequestStep.Kind.ANSWERED, -1, "", why == null ? end.name() : end + " " + why, clock.now() - life.takenAt);
        }
    }

    private void tellState(String id, RequestStep.Kind kind, int attempt, String uid) {
        long now = clock.now();
        Long left = leftAt.get(uid);
        long warm = warmAt.getOrDefault(uid, 0L);
        if (left != null) {
            tell(id, kind, attempt, uid, RequestStep.STATE_LEAVING, now - left);
        } else if (warm > now) {
            tell(id, kind, attempt, uid, RequestStep.STATE_COLD, now - (warm - warmWithin));
        } else {
            tell(id, kind, attempt, uid, RequestStep.STATE_WARM, 0);
        }
    }

    @Override
    public Attempt send(Endpoint to, Call call, long timeout, long leaveWithin, Ended ended) {
        String uid = to.uid();
        String id = id(call);
        Life life = lives.get(id);
        if (life == null) {
            return transport.send(to, call, timeout, leaveWithin, ended);
        }
        int number = life.attempts++;
        tellState(id, RequestStep.Kind.SENT, number, uid);
        return transport.send(to, call, timeout, leaveWithin, new Ended() {
            @Override
            public void ended(Outcome outcome, Answer answer, LoadReport report) {
                tell(id, RequestStep.Kind.ENDED, number, uid, outcome.name(), 0);
                ended.ended(outcome, answer, report);
            }

            @Override
            public boolean wanted() {
                return ended.wanted();
            }

            @Override
            public void step() {
                tellState(id, RequestStep.Kind.OPENED, number, uid);
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
        transport.probe(at, probed);
    }

    @Override
    public void update(boolean all, List<Member> members) {
        long now = clock.now();
        leftAt.values().removeIf(at -> now - at > LEFT_KEPT);
        warmAt.values().removeIf(at -> at <= now);
        Set<String> up = new HashSet<>();
        for (Member member : members) {
            String uid = member.host().address();
            if (member.host().health() == Health.UP) {
                up.add(uid);
                leftAt.remove(uid);
                if (member.host().born() > 0) {
                    warmAt.put(uid, member.host().born() + warmWithin);
                }
            } else if (named.remove(uid)) {
                leftAt.putIfAbsent(uid, now);
            }
        }
        if (all) {
            named.stream().filter(uid -> !up.contains(uid)).forEach(uid -> leftAt.putIfAbsent(uid, now));
            named.clear();
        }
        named.addAll(up);
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
