package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.nio.NioSocketChannel;
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
import mastdrift.limits.ByteBudget;

/**
 * HTTP/1.1 to hosts: which parts of a client's request are forwarded, how an endpoint is probed, and where its load
 * reports are found.
 */
public final class HttpTransport implements Transport {

    // Endpoints answer a probe without queueing it: an answer that takes longer counts as none.
    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    private static final AsciiString[] FORWARDED_HEADERS = {AsciiString.cached("X-Trace-Id"),
        AsciiString.cached("Idempotency-Key"), HttpHeaderNames.CONTENT_TYPE};

    private final ConnectionPool connections;
    private final Reports reports;

    /**
     * Opens {@code maxConnections} connections at most, to all hosts together; takes the memory for their answers from the
     * given budget.
     */
    public HttpTransport(TimedEventLoop timedLoop, Settings settings, int maxConnections, ByteBudget responseMemory,
            Consumer<String> faultLog) {
        reports = settings.habits().reports();
        connections = new ConnectionPool(timedLoop.loop(), timedLoop.clock()::now, timedLoop.timers(),
                settings.links().dialTimeout(), settings.links().idle(), maxConnections,
                new ConnectionPool.AnswerLimits(responseMemory, timedLoop.turns()::turnNumber), faultLog, NioSocketChannel::new);
    }

    @Override
    public Attempt send(Endpoint endpoint, RequestMessage call, long timeoutMicros, long sendWithinMicros, CompletionListener listener) {
        return connections.send(endpoint, forwardedRequest(((HttpCall) call).message()), timeoutMicros,
                sendWithinMicros, new HttpAttempt.Listener() {
            @Override
            public void ended(Outcome outcome, FullHttpResponse answer) {
                boolean hasReport = answer != null && reports == Reports.INLINE;
                listener.completed(outcome, answer == null ? null : new HttpAnswer(answer),
                        hasReport ? LoadReportParser.parse(answer.headers().get("Endpoint-Load-Metrics"))
                                : LoadReport.NONE);
            }

            @Override
            public boolean isWanted() {
                return listener.isWanted();
            }

            @Override
            public void connected() {
                listener.progressed();
            }

            @Override
            public void bytesTransferred(long sent, long received) {
                listener.transferred(sent, received);
            }
        });
    }

    private static FullHttpRequest forwardedRequest(FullHttpRequest request) {
        ByteBuf body = request.content().retainedDuplicate();
        FullHttpRequest message = UncheckedHeaders.newRequest(request.method(), request.uri(), body);
        for (AsciiString name : FORWARDED_HEADERS) {
            String value = request.headers().get(name);
            if (value != null) {
                message.headers().add(name, value);
            }
        }
        if (body.isReadable() || request.method().equals(HttpMethod.POST)) {
            message.headers().add(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return message;
    }

    @Override
    public void probe(Endpoint endpoint, ProbeListener listener) {
        boolean reportsEnabled = reports != Reports.OFF;
        FullHttpRequest message = UncheckedHeaders.newRequest(HttpMethod.GET, reportsEnabled ? "/status/load" : "/health",
                Unpooled.EMPTY_BUFFER);
        connections.send(endpoint, message, PROBE_TIMEOUT_MICROS, PROBE_TIMEOUT_MICROS, new HttpAttempt.Listener() {
            @Override
            public void ended(Outcome outcome, FullHttpResponse answer) {
                listener.probed(outcome, answer == null || !reportsEnabled ? LoadReport.NONE
                        : LoadReportParser.parse(answer.content().toString(StandardCharsets.UTF_8)));
            }

            @Override
            public void bytesTransferred(long sent, long received) {
                listener.transferred(sent, received);
            }
        });
    }

    @Override
    public void countBytes(StrayBytesListener listener) {
        connections.countBytes(listener);
    }

    @Override
    public void update(boolean all, List<Member> members) {
        connections.closeIdleOutOfService();
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
