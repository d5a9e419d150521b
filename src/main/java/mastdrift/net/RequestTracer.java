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
import mastdrift.engine.ResponseMessage;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.Clock;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Member;
import mastdrift.engine.Transport;
import mastdrift.engine.RequestListener;
import mastdrift.tally.RequestStep;

/**
 * Logs a line for each step of a request: taken, each attempt with its host, start and outcome, and the final answer
 * with its reason. It wraps the transport, like {@link TallyRecorder}, and is not loaded unless that is enabled. Traces up
 * to {@value #MAX_TRACED_PER_SECOND} new requests a second and {@value #MAX_OPEN_TRACED} at a time, each of them
 * completely; the others are counted.
 */
final class RequestTracer implements Transport, RequestListener {

    static final int MAX_TRACED_PER_SECOND = 200;
    static final int MAX_OPEN_TRACED = 2_000;
    private static final long MICROS_PER_SECOND = 1_000_000;
    // How long departed hosts are remembered: no step of an attempt to such a host is logged later than that.
    private static final long DEPARTED_HOST_RETENTION_MICROS = 60_000_000;

    /** A request that is being traced. */
    private static final class TracedRequest {
        private final long takenAtMicros;
        private int attemptCount;

        TracedRequest(long takenAtMicros) {
            this.takenAtMicros = takenAtMicros;
        }
    }

    private final Transport transport;
    private final Clock clock;
    private final long warmWithinMicros;
    private final Consumer<String> log;
    private final Map<String, String> classLabels;
    private final Map<String, TracedRequest> tracedRequests = new HashMap<>();
    private final Map<String, Long> warmAtMicros = new HashMap<>();
    private final Map<String, Long> departedAtMicros = new HashMap<>();
    // Hosts that are up by the lists so far; only these can be recorded as departed.
    private final Set<String> upHosts = new HashSet<>();
    private long currentSecond;
    private int tracedThisSecond;
    private long untracedCount;

    RequestTracer(Transport transport, TimedEventLoop timedLoop, Settings settings, Consumer<String> log) {
        this.transport = transport;
        clock = timedLoop.clock();
        warmWithinMicros = settings.rules().warmWithin();
        this.log = log;
        classLabels = settings.classes().stream()
                .collect(Collectors.toMap(RequestClass::name, type -> type.name() + ":" + type.repeat()));
    }

    /** Number of requests that were not traced since the last call. */
    long takeUntracedCount() {
        long count = untracedCount;
        untracedCount = 0;
        return count;
    }

    private static String traceId(RequestMessage call) {
        return ((HttpCall) call).message().headers().get("X-Trace-Id");
    }

    private void logStep(String id, RequestStep.Kind kind, int attempt, String host, String word, long spanMicros) {
        log.accept(new RequestStep(clock.now(), id, kind, attempt, host, word, spanMicros).formatLine());
    }

    @Override
    public void requestReceived(RequestMessage call, RequestAttributes ask) {
        long now = clock.now();
        if (now / MICROS_PER_SECOND != currentSecond) {
            currentSecond = now / MICROS_PER_SECOND;
            tracedThisSecond = 0;
        }
        if (tracedThisSecond >= MAX_TRACED_PER_SECOND || tracedRequests.size() >= MAX_OPEN_TRACED) {
            untracedCount++;
            return;
        }
        tracedThisSecond++;
        tracedRequests.put(traceId(call), new TracedRequest(now));
        logStep(traceId(call), RequestStep.Kind.TAKEN, -1, "", taken(ask), ask.timeLeftMicros());
    }

    /** The word of a TAKEN step: {@code tenant:class:REPEAT}, or without the tenant if there is none. */
    private String taken(RequestAttributes ask) {
        return (ask.tenant() == null ? "" : ask.tenant() + ":")
                + classLabels.getOrDefault(ask.className(), ask.className());
    }

    @Override
    public void requestEnded(RequestMessage call, Result end, Why why) {
        TracedRequest request = tracedRequests.remove(traceId(call));
        if (request != null) {
            logStep(traceId(call), RequestStep.Kind.ANSWERED, -1, "", why == null ? end.name() : end + " " + why,
                    clock.now() - request.takenAtMicros);
        }
    }

    private void logHostState(String id, RequestStep.Kind kind, int attempt, String uid) {
        long now = clock.now();
        Long departedAt = departedAtMicros.get(uid);
        long warmFrom = warmAtMicros.getOrDefault(uid, 0L);
        if (departedAt != null) {
            logStep(id, kind, attempt, uid, RequestStep.STATE_LEAVING, now - departedAt);
        } else if (warmFrom > now) {
            logStep(id, kind, attempt, uid, RequestStep.STATE_COLD, now - (warmFrom - warmWithinMicros));
        } else {
            logStep(id, kind, attempt, uid, RequestStep.STATE_WARM, 0);
        }
    }

    @Override
    public Attempt send(Endpoint to, RequestMessage call, long timeoutMicros, long sendWithinMicros, CompletionListener listener) {
        String uid = to.uid();
        String id = traceId(call);
        TracedRequest request = tracedRequests.get(id);
        if (request == null) {
            return transport.send(to, call, timeoutMicros, sendWithinMicros, listener);
        }
        int attemptNumber = request.attemptCount++;
        logHostState(id, RequestStep.Kind.SENT, attemptNumber, uid);
        return transport.send(to, call, timeoutMicros, sendWithinMicros, new CompletionListener() {
            @Override
            public void completed(Outcome outcome, ResponseMessage answer, LoadReport report) {
                logStep(id, RequestStep.Kind.ENDED, attemptNumber, uid, outcome.name(), 0);
                listener.completed(outcome, answer, report);
            }

            @Override
            public boolean isWanted() {
                return listener.isWanted();
            }

            @Override
            public void progressed() {
                logHostState(id, RequestStep.Kind.OPENED, attemptNumber, uid);
                listener.progressed();
            }

            @Override
            public void transferred(long sent, long received) {
                listener.transferred(sent, received);
            }
        });
    }

    @Override
    public void probe(Endpoint at, ProbeListener probed) {
        transport.probe(at, probed);
    }

    @Override
    public void update(boolean all, List<Member> members) {
        long now = clock.now();
        departedAtMicros.values().removeIf(at -> now - at > DEPARTED_HOST_RETENTION_MICROS);
        warmAtMicros.values().removeIf(at -> at <= now);
        Set<String> upNow = new HashSet<>();
        for (Member member : members) {
            String uid = member.host().address();
            if (member.host().health() == Health.UP) {
                upNow.add(uid);
                departedAtMicros.remove(uid);
                if (member.host().born() > 0) {
                    warmAtMicros.put(uid, member.host().born() + warmWithinMicros);
                }
            } else if (upHosts.remove(uid)) {
                departedAtMicros.putIfAbsent(uid, now);
            }
        }
        if (all) {
            upHosts.stream().filter(uid -> !upNow.contains(uid)).forEach(uid -> departedAtMicros.putIfAbsent(uid, now));
            upHosts.clear();
        }
        upHosts.addAll(upNow);
        transport.update(all, members);
    }

    @Override
    public void countBytes(StrayBytesListener strays) {
        transport.countBytes(strays);
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
