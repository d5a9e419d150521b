package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Why;
import mastdrift.engine.Ask;
import mastdrift.engine.Call;
import mastdrift.engine.Witness;
import org.junit.jupiter.api.Test;

/** Which requests are logged, in what form, and how the number of lines is limited. */
class RequestLogTest {

    private static final Ask ASK = new Ask("read", "acme", 7L, 300_000, false, false, 0);

    private final List<String> lines = new ArrayList<>();
    private long now = 5_000_000;
    private final RequestLog log = new RequestLog(() -> now, lines::add);

    private static Call call(String id) {
        FullHttpRequest message = UncheckedHeaders.newRequest(HttpMethod.GET, "/api", Unpooled.EMPTY_BUFFER);
        message.headers().add("X-Trace-Id", id);
        return new HttpCall(message);
    }

    private Call taken(String id) {
        Call call = call(id);
        log.taken(call, ASK);
        return call;
    }

    @Test
    void requestServedAtFirstAttemptIsNotLogged() {
        Call call = taken("a");
        log.attemptEnded(call, "s1", Outcome.DELIVERED);
        log.ended(call, Witness.End.SERVED, null);
        assertEquals(List.of(), lines);
    }

    @Test
    void retriesRefusalsAndFailuresAreLoggedWithTheirAttempts() {
        Call repeated = taken("a");
        log.attemptEnded(repeated, "s1", Outcome.SHED);
        log.attemptEnded(repeated, "s2", Outcome.DELIVERED);
        now += 12_000;
        log.ended(repeated, Witness.End.SERVED, null);
        Call refused = taken("b");
        log.ended(refused, Witness.End.REFUSED, Why.HOSTS);
        Call late = taken("c");
        log.attemptEnded(late, "s1", Outcome.EXPIRED);
        now += 300_000;
        log.ended(late, Witness.End.LATE, null);
        assertEquals(List.of("request a SERVED after 12 ms, attempts: s1 SHED, s2 DELIVERED", "request b REFUSED HOSTS after 0 ms, no attempt ended",
                "request c LATE after 300 ms, attempts: s1 EXPIRED"), lines);
    }

    @Test
    void suppressedLinesAreCountedAndLoggedInTheNextSecond() {
        for (int i = 0; i < RequestLog.MAX_LINES_PER_SECOND + 5; i++) {
            log.ended(taken("r" + i), Witness.End.REFUSED, Why.HOSTS);
        }
        log.ended(taken("l"), Witness.End.LEFT, null);
        assertEquals(RequestLog.MAX_LINES_PER_SECOND, lines.size());
        now += 1_000_000;
        log.ended(taken("next"), Witness.End.FAILED, null);
        assertEquals(List.of("log lines suppressed: {LEFT=1, REFUSED=5}",
                "request next FAILED after 0 ms, no attempt ended"),
                lines.subList(RequestLog.MAX_LINES_PER_SECOND, lines.size()));
    }
}
