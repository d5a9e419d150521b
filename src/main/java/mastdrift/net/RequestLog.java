package mastdrift.net;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.StringJoiner;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.RequestListener;

/**
 * Writes a line for each request that was not served at its first attempt: how it ended and why, and its attempts with their outcomes.
 * Bounded by {@link BoundedLog}; keeps the attempts of requests that are open, of which there is a bound.
 */
final class RequestLog implements RequestListener {

    static final int LINES_A_SECOND = 20;

    /** An open request. */
    private static final class Open {
        private final long since;
        private final StringJoiner attempts = new StringJoiner(", ");
        private int count;

        Open(long since) {
            this.since = since;
        }
    }

    private final LongSupplier clock;
    private final BoundedLog log;
    private final Map<RequestMessage, Open> open = new IdentityHashMap<>();

    /** The clock is in microseconds. */
    RequestLog(LongSupplier clock, Consumer<String> log) {
        this.clock = clock;
        this.log = new BoundedLog(clock, LINES_A_SECOND, log);
    }

    @Override
    public void requestReceived(RequestMessage call, RequestAttributes ask) {
        open.put(call, new Open(clock.getAsLong()));
    }

    @Override
    public void attemptEnded(RequestMessage call, String uid, Outcome outcome) {
        Open request = open.get(call);
        if (request != null) {
            request.count++;
            request.attempts.add(uid + " " + outcome);
        }
    }

    @Override
    public void requestEnded(RequestMessage call, Result end, Why why) {
        Open request = open.remove(call);
        if (request == null || end == Result.SERVED && request.count <= 1) {
            return;
        }
        String id = call instanceof HttpCall http ? http.message().headers().get("X-Trace-Id") : "";
        long millis = (clock.getAsLong() - request.since) / 1_000;
        log.event(end.name(), "request " + id + " " + end + (why == null ? "" : " " + why) + " after " + millis + " ms"
                + (request.count == 0 ? ", no attempt ended" : ", attempts: " + request.attempts));
    }
}
