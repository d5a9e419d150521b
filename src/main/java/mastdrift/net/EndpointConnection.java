package mastdrift.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import io.netty.util.NetUtil;
import java.io.IOException;
import mastdrift.Balancer.Outcome;
import mastdrift.engine.Endpoint;

/** One connection to an endpoint, which carries one attempt at a time. The first byte of every attempt leaves by {@link #write}. */
final class EndpointConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final AsciiString EXPIRES_NAME = AsciiString.cached(ConnectionPool.EXPIRES);
    private static final AsciiString NEVER_RAN = AsciiString.cached("X-Never-Ran");
    // An answer of this size has come at once but for a lost packet, which is sent again after 200 ms: one that stalls
    // for longer won't end.
    private static final long STALL = 250_000;
    private static final int INTERIM_MOST = 16;  // 1xx answers ahead of the real one

    private final ConnectionPool pool;
    private final Channel channel;
    private final AnswerDecoder answers;
    private final boolean counted;
    private Endpoint endpoint;
    private String name;
    private HttpAttempt attempt;
    private boolean answered;
    private boolean used;
    private boolean idling;  // it is offered, or was until just now
    private boolean fresh;  // what is on it is the first
    private boolean broken;  // reset, or not readable any more: what ends with it is not whole
    private int interim;
    private long idleSince;
    private long toldSent;
    private long toldReceived;

    EndpointConnection(ConnectionPool pool, Channel channel, AnswerDecoder answers, boolean counted) {
        this.pool = pool;
        this.channel = channel;
        this.answers = answers;
        this.counted = counted;
    }

    void connected(Endpoint to) {
        endpoint = to;
        name = NetUtil.toSocketAddressString(to.address());
    }

    Endpoint endpoint() {
        return endpoint;
    }

    Channel channel() {
        return channel;
    }

    boolean isUsed() {
        return used;
    }

    long idleSince() {
        return idleSince;
    }

    /**
     * Sends it, unless by now it may not be: it waited for its connection meanwhile, and its endpoint was drained or has started anew, the
     * time for a repeat is over, or whoever asked has left or been answered. The look at the client is the last that takes any time ahead of
     * the write; it may bring news of drains, so that the endpoint is asked behind it.
     */
    void write(HttpAttempt next) {
        next.carriedBy(channel);
        boolean wanted = next.isWanted();
        long now = pool.now();
        if (!wanted || !endpoint.maySend() || next.isTooLate(now) || next.isOver()) {
            next.end(Outcome.UNUSED, null);
            giveBack(now);
            return;
        }
        fresh = !used;
        used = true;
        idling = false;
        attempt = next;
        next.sentOn(this);
        next.message().headers().add(HttpHeaderNames.HOST, name).add(EXPIRES_NAME, next.millisLeft(now));
        channel.writeAndFlush(next.message()).addListener(done -> {
            if (done.isSuccess()) {
                next.written();
            } else {
                channel.close();
            }
        });
    }

    /** It was paid for, and carried nothing that could still be answered. Where it has been used, its endpoint counts from then. */
    private void giveBack(long now) {
        if (endpoint.isInService() && channel.isActive()) {
            idleSince = used ? idleSince : now;
            rest();
        } else {
            channel.close();
        }
    }

    private void rest() {
        idling = true;
        pool.offer(this);
    }

    /** How many bytes have passed for an attempt that ends. */
    void tellBytes(HttpAttempt of) {
        if (counted) {
            CountedChannel bytes = (CountedChannel) channel;
            of.passed(bytes.sent() - toldSent, bytes.received() - toldReceived);
            toldSent = bytes.sent();
            toldReceived = bytes.received();
        }
    }

    /** The connection has ended: what passed and belongs to no attempt. An attempt that is out ends in a moment, by this, and tells by itself. */
    void tellStrays(StrayByteListener strays) {
        if (attempt == null || attempt.isOver()) {
            CountedChannel bytes = (CountedChannel) channel;
            strays.passed(bytes.sent() - toldSent, bytes.received() - toldReceived);
        }
    }

    /** Hears of bytes that belong to no attempt. */
    interface StrayByteListener {
        void passed(long sent, long received);
    }

    /** The connection isn't offered again from here: behind the answer there may be more, which would be taken for
        the answer to the next request. */
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
        answers.ended();
        boolean whole = answer.decoderResult().isSuccess() && !broken
                && !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        if (whole && answer.status().codeClass() == HttpStatusClass.INFORMATIONAL && ++interim <= INTERIM_MOST) {
            return;
        }
        whole &= answer.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        HttpAttempt mine = attempt;
        attempt = null;
        answered = mine != null && !mine.isOver() && mine.isWritten() && whole && HttpUtil.isKeepAlive(answer) && channel.isActive();
        idleSince = pool.now();
        if (!answered) {
            channel.close();
        }
        if (mine != null) {
            // An endpoint begins with a request's last byte: what it says was served ahead of that is an answer to something else.
            boolean early = answer.status().code() == 200 && !mine.isWritten();
            Outcome outcome = whole && !early ? outcome(answer) : Outcome.DROPPED;
            pool.answered(idleSince, fresh, outcome == Outcome.SHED);
            mine.end(outcome, answer);
        }
    }

    /** All that came has been read: a connection is good for the next request if nothing came but the answer. What
        comes while none is out belongs to nobody, and what has begun must end. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (attempt != null) {
            if (answers.isMidway()) {
                attempt.startStall(pool.timers(), STALL);
            }
        } else if (answered && !answers.isMidway() && endpoint.isInService()) {
            interim = 0;
            rest();
        } else if (!idling || answers.isMidway()) {  // else it was looked at, and nothing stood there
            channel.close();
        }
        answered = false;
    }

    private static Outcome outcome(FullHttpResponse answer) {
        return switch (answer.status().code()) {
            case 200 -> Outcome.DELIVERED;
            case 503, 504 -> "1".equals(answer.headers().get(NEVER_RAN)) ? Outcome.SHED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (attempt != null) {
            attempt.end(attempt.isWritten() ? Outcome.DROPPED : Outcome.DIAL_FAILED, null);
        } else if (endpoint != null) {
            pool.withdraw(this);
        }
    }

    /** A break, or an answer that can't be read: the end of the connection tells the attempt. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof DecoderException
                || cause instanceof PrematureChannelClosureException)) {
            pool.fault("fault at an endpoint's connection: " + cause);
        }
        broken = true;
        context.close();
    }
}
