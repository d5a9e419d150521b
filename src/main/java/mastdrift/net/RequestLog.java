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
 * Logs a line for each request that was not served at its first attempt: how it ended and why, and its attempts with
 * their outcomes. The lines are rate-limited by {@link RateLimitedLog}. Attempts are kept for open requests only, whose
 * number is bounded.
 */
final class RequestLog implements RequestListener {

    static final int MAX_LINES_PER_SECOND = 20;

    /** An open request and its attempts that have ended. */
    private static final class OpenRequest {
        private final long takenAtMicros;
        private final StringJoiner attempts = new StringJoiner(", ");
        private int attemptCount;

        OpenRequest(long takenAtMicros) {
            this.takenAtMicros = takenAtMicros;
        }
    }

    private final LongSupplier clockMicros;
    private final RateLimitedLog log;
    private final Map<RequestMessage, OpenRequest> openRequests = new IdentityHashMap<>();

    /** The clock is in microseconds. */
    RequestLog(LongSupplier clockMicros, Consumer<String> log) {
        this.clockMicros = clockMicros;
        this.log = new RateLimitedLog(clockMicros, MAX_LINES_PER_SECOND, log);
    }

    @Override
    public void requestReceived(RequestMessage call, RequestAttributes ask) {
        openRequests.put(call, new OpenRequest(clockMicros.getAsLong()));
    }

    @Override
    public void attemptEnded(RequestMessage call, String uid, Outcome outcome) {
        OpenRequest request = openRequests.get(call);
        if (request != null) {
            request.attemptCount++;
            request.attempts.add(uid + " " + outcome);
        }
    }

    @Override
    public void requestEnded(RequestMessage call, Result end, Why why) {
        OpenRequest request = openRequests.remove(call);
        if (request == null || end == Result.SERVED && request.attemptCount <= 1) {
            return;
        }
        String id = call instanceof HttpCall http ? http.message().headers().get("X-Trace-Id") : "";
        long millis = (clockMicros.getAsLong() - request.takenAtMicros) / 1_000;
        log.logEvent(end.name(), "request " + id + " " + end + (why == null ? "" : " " + why) + " after "
                + millis + " ms"
                + (request.attemptCount == 0 ? ", no attempt ended" : ", attempts: " + request.attempts));
    }
}
