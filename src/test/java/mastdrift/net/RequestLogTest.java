package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;
import mastdrift.engine.RequestAttributes;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.RequestListener;
import org.junit.jupiter.api.Test;

/** Which requests are logged, in what form, and how the number of lines is limited. */
class RequestLogTest {

    private static final RequestAttributes ASK = new RequestAttributes("read", "acme", 7L, 300_000, false, false, 0);

    private final List<String> lines = new ArrayList<>();
    private long now = 5_000_000;
    private final RequestLog log = new RequestLog(() -> now, lines::add);

    private static RequestMessage call(String id) {
        FullHttpRequest message = UncheckedHeaders.newRequest(HttpMethod.GET, "/api", Unpooled.EMPTY_BUFFER);
        message.headers().add("X-Trace-Id", id);
        return new HttpCall(message);
    }

    private RequestMessage taken(String id) {
        RequestMessage call = call(id);
        log.requestReceived(call, ASK);
        return call;
    }

    @Test
    void requestServedAtFirstAttemptIsNotLogged() {
        RequestMessage call = taken("a");
        log.attemptEnded(call, "s1", Outcome.DELIVERED);
        log.requestEnded(call, RequestListener.Result.SERVED, null);
        assertEquals(List.of(), lines);
    }

    @Test
    void retriesRefusalsAndFailuresAreLoggedWithTheirAttempts() {
        RequestMessage repeated = taken("a");
        log.attemptEnded(repeated, "s1", Outcome.SHED);
        log.attemptEnded(repeated, "s2", Outcome.DELIVERED);
        now += 12_000;
        log.requestEnded(repeated, RequestListener.Result.SERVED, null);
        RequestMessage refused = taken("b");
        log.requestEnded(refused, RequestListener.Result.REFUSED, Why.HOSTS);
        RequestMessage late = taken("c");
        log.attemptEnded(late, "s1", Outcome.EXPIRED);
        now += 300_000;
        log.requestEnded(late, RequestListener.Result.LATE, null);
        assertEquals(List.of("request a SERVED after 12 ms, attempts: s1 SHED, s2 DELIVERED", "request b REFUSED HOSTS after 0 ms, no attempt ended",
                "request c LATE after 300 ms, attempts: s1 EXPIRED"), lines);
    }

    @Test
    void suppressedLinesAreCountedAndLoggedInTheNextSecond() {
        for (int i = 0; i < RequestLog.MAX_LINES_PER_SECOND + 5; i++) {
            log.requestEnded(taken("r" + i), RequestListener.Result.REFUSED, Why.HOSTS);
        }
        log.requestEnded(taken("l"), RequestListener.Result.LEFT, null);
        assertEquals(RequestLog.MAX_LINES_PER_SECOND, lines.size());
        now += 1_000_000;
        log.requestEnded(taken("next"), RequestListener.Result.FAILED, null);
        assertEquals(List.of("log lines suppressed: {LEFT=1, REFUSED=5}",
                "request next FAILED after 0 ms, no attempt ended"),
                lines.subList(RequestLog.MAX_LINES_PER_SECOND, lines.size()));
    }
}
