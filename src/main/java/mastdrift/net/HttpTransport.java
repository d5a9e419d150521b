package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import mastdrift.Balancer.LoadReport;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Reports;
import mastdrift.Balancer.Settings;
import mastdrift.engine.RequestMessage;
import mastdrift.engine.Endpoint;
import mastdrift.engine.Member;
import mastdrift.engine.Transport;

/** HTTP/1.1 towards hosts: what of a client's request goes on, what a probe is, and where load reports are. */
public final class HttpTransport implements Transport {

    // A probe is answered beside the queue: no answer by then is none.
    private static final long PROBE_TIMEOUT = 250_000;
    private static final AsciiString[] PASSED_ON = {AsciiString.cached("X-Trace-Id"), AsciiString.cached("Idempotency-Key"),
        HttpHeaderNames.CONTENT_TYPE};

    private final ConnectionPool connections;
    private final Reports reports;

    /** Holds {@code most} connections to all hosts together. */
    public HttpTransport(TimedLoop timed, Settings settings, int most, Consumer<String> faults) {
        reports = settings.habits().reports();
        connections = new ConnectionPool(timed.loop(), timed.clock()::now, timed.timers(), settings.links().dialTimeout(), settings.links().idle(),
                most, faults);
    }

    @Override
    public Attempt send(Endpoint to, RequestMessage call, long timeout, long leaveWithin, CompletionListener ended) {
        return connections.send(to, onward(((HttpCall) call).message()), timeout, leaveWithin, new HttpAttempt.Listener() {
            @Override
            public void ended(Outcome outcome, FullHttpResponse answer) {
                boolean given = answer != null && reports == Reports.INLINE;
                ended.completed(outcome, answer == null ? null : new HttpAnswer(answer),
                        given ? LoadReports.parse(answer.headers().get("Endpoint-Load-Metrics")) : LoadReport.NONE);
            }

            @Override
            public boolean wanted() {
                return ended.isWanted();
            }

            @Override
            public void connected() {
                ended.progressed();
            }

            @Override
            public void passed(long sent, long received) {
                ended.transferred(sent, received);
            }
        });
    }

    private static FullHttpRequest onward(FullHttpRequest from) {
        ByteBuf body = from.content().retainedDuplicate();
        FullHttpRequest message = Unchecked.request(from.method(), from.uri(), body);
        for (AsciiString name : PASSED_ON) {
            String value = from.headers().get(name);
            if (value != null) {
                message.headers().add(name, value);
            }
        }
        if (body.isReadable() || from.method().equals(HttpMethod.POST)) {
            message.headers().add(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return message;
    }

    @Override
    public void probe(Endpoint to, ProbeListener probed) {
        boolean given = reports != Reports.OFF;
        FullHttpRequest message = Unchecked.request(HttpMethod.GET, given ? "/status/load" : "/health", Unpooled.EMPTY_BUFFER);
        connections.send(to, message, PROBE_TIMEOUT, PROBE_TIMEOUT, new HttpAttempt.Listener() {
            @Override
            public void ended(Outcome outcome, FullHttpResponse answer) {
                probed.probed(outcome, answer == null || !given ? LoadReport.NONE
                        : LoadReports.parse(answer.content().toString(StandardCharsets.UTF_8)));
            }

            @Override
            public void passed(long sent, long received) {
                probed.transferred(sent, received);
            }
        });
    }

    @Override
    public void countBytes(StrayBytesListener strays) {
        connections.count(strays);
    }

    @Override
    public void update(boolean all, List<Member> members) {
        connections.closeEnded();
    }

    @Override
    public void closeIdle(String uid) {
        connections.closeIdle(uid);
    }

    @Override
    public void close() {
        connections.close();
    }
}
