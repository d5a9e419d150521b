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
import mastdrift.limits.TurnShares;

/**
 * One connection to an endpoint, which carries one attempt at a time. {@link #write} is the only place where an
 * attempt's first byte is sent.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final AsciiString EXPIRES_HEADER = AsciiString.cached(ConnectionPool.EXPIRES_HEADER);
    private static final AsciiString NEVER_RAN_HEADER = AsciiString.cached("X-Never-Ran");
    // Maximum time from the first byte of an answer to its last. An answer of this size arrives at once unless a packet
    // is lost, which is retransmitted after 200 ms; one that stalls for longer will not end.
    private static final long MAX_ANSWER_STALL_MICROS = 250_000;
    private static final int MAX_INTERIM_ANSWERS = 16;  // 1xx answers before the final one

    private final ConnectionPool pool;
    private final Channel channel;
    private final AnswerDecoder decoder = new AnswerDecoder(new DecodingMeter());
    private final TurnShares.Share share = new TurnShares.Share();
    private final boolean countsBytes;
    private Endpoint endpoint;
    private String hostHeader;
    private HttpAttempt attempt;
    private boolean reusable;
    private boolean used;
    private boolean pooled;  // offered to the pool; remains set until the next attempt is written
    private boolean firstAttempt;  // the current attempt is the first on this connection
    private boolean broken;  // reset or not decodable: an answer that ends with the connection is incomplete
    private boolean decodingScheduled;  // for the next turn
    private int interimAnswers;
    private long idleSince;
    private long reportedSentBytes;
    private long reportedReceivedBytes;

    EndpointConnection(ConnectionPool pool, Channel channel, boolean countsBytes) {
        this.pool = pool;
        this.channel = channel;
        this.countsBytes = countsBytes;
    }

    void onConnected(Endpoint connectedEndpoint) {
        endpoint = connectedEndpoint;
        hostHeader = NetUtil.toSocketAddressString(connectedEndpoint.address());
    }

    /** The decoder of its input, to be put ahead of it. */
    AnswerDecoder decoder() {
        return decoder;
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
     * Sends the attempt unless it may no longer be sent: while it waited for its connection, its endpoint may have been
     * drained or restarted, the time for a repeat may be over, or the client may have left or been answered. The check
     * of the client is the last step before the write that takes any time. It may read news of drains, so the endpoint
     * is checked after it.
     */
    void write(HttpAttempt newAttempt) {
        newAttempt.setChannel(channel);
        boolean stillWanted = newAttempt.isWanted();
        long now = pool.now();
        if (!stillWanted || !endpoint.maySend() || newAttempt.isPastSendTime(now) || newAttempt.isEnded()) {
            newAttempt.end(Outcome.UNUSED, null);
            returnUnused(now);
            return;
        }
        firstAttempt = !used;
        used = true;
        pooled = false;
        attempt = newAttempt;
        newAttempt.setConnection(this);
        newAttempt.message().headers().add(HttpHeaderNames.HOST, hostHeader)
                .add(EXPIRES_HEADER, newAttempt.remainingMillis(now));
        channel.writeAndFlush(newAttempt.message()).addListener(done -> {
            if (done.isSuccess()) {
                newAttempt.markWritten();
            } else {
                channel.close();
            }
        });
    }

    /**
     * Keeps the connection for reuse: the dial has been paid for, and no answer is outstanding on it. If it has been
     * used before, its idle time is counted from that use, as the endpoint does.
     */
    private void returnUnused(long now) {
        if (endpoint.isInService() && channel.isActive()) {
            idleSince = used ? idleSince : now;
            becomeIdle();
        } else {
            channel.close();
        }
    }

    private void becomeIdle() {
        pooled = true;
        pool.addIdle(this);
    }

    /** Tells an attempt that ends how many bytes were sent and received for it. */
    void reportBytes(HttpAttempt endedAttempt) {
        if (countsBytes) {
            CountedChannel counter = (CountedChannel) channel;
            endedAttempt.reportBytes(counter.sentBytes() - reportedSentBytes,
                    counter.receivedBytes() - reportedReceivedBytes);
            reportedSentBytes = counter.sentBytes();
            reportedReceivedBytes = counter.receivedBytes();
        }
    }

    /**
     * Reports, once the connection has closed, the bytes that belong to no attempt. An attempt still in flight is about
     * to be ended by the close and reports its own.
     */
    void reportStrayBytes(StrayByteListener listener) {
        if (attempt == null || attempt.isEnded()) {
            CountedChannel counter = (CountedChannel) channel;
            listener.strayBytes(counter.sentBytes() - reportedSentBytes,
                    counter.receivedBytes() - reportedReceivedBytes);
        }
    }

    /** Receives the numbers of bytes that belong to no attempt. */
    interface StrayByteListener {
        void strayBytes(long sent, long received);
    }

    /**
     * Ends the current attempt. The connection is not kept for reuse here yet: more data may follow the answer, which
     * would be taken for the answer to the next request.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
        decoder.answerEnded();
        boolean complete = answer.decoderResult().isSuccess() && !broken
                && !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        if (complete && answer.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && ++interimAnswers <= MAX_INTERIM_ANSWERS) {
            return;
        }
        complete &= answer.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        HttpAttempt endedAttempt = attempt;
        attempt = null;
        reusable = endedAttempt != null && !endedAttempt.isEnded() && endedAttempt.isWritten() && complete
                && HttpUtil.isKeepAlive(answer) && channel.isActive();
        idleSince = pool.now();
        if (!reusable) {
            channel.close();
        }
        if (endedAttempt != null) {
            // An endpoint starts on a request at its last byte: a 200 before that is the answer to something else.
            boolean early = answer.status().code() == 200 && !endedAttempt.isWritten();
            Outcome outcome = complete && !early ? outcome(answer) : Outcome.DROPPED;
            pool.recordAnswer(idleSince, firstAttempt, outcome == Outcome.SHED);
            endedAttempt.end(outcome, answer);
        }
    }

    /**
     * All that has arrived has been read. The connection is kept for reuse only if nothing but the answer arrived. Data
     * that arrives while no attempt is in flight belongs to no request and closes the connection; an answer that has
     * begun must end in time.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        inputDecoded();
    }

    private void inputDecoded() {
        if (attempt != null) {
            if (decoder.isInProgress()) {
                attempt.startStallTimeout(pool.timers(), MAX_ANSWER_STALL_MICROS);
            }
            if (decoder.isBlocked() && !decodingScheduled) {
                decodingScheduled = true;
                channel.config().setAutoRead(false);
                pool.inNextTurn(this::resumeDecoding);
            }
        } else if (reusable && !decoder.isInProgress() && endpoint.isInService()) {
            interimAnswers = 0;
            becomeIdle();
        } else if (!pooled || decoder.isInProgress()) {
            // A connection that was idle and only checked for unread input, of which there was none, stays open.
            channel.close();
        }
        reusable = false;
    }

    /** Goes on with input that was beyond the connection's share of an earlier turn. */
    private void resumeDecoding() {
        decodingScheduled = false;
        if (!channel.isActive()) {
            return;
        }
        ChannelHandlerContext decoderContext = channel.pipeline().context(decoder);
        try {
            decoder.resume(decoderContext);
        } catch (Exception fault) {
            decoderContext.fireExceptionCaught(fault);
        }
        channel.config().setAutoRead(!decoder.isBlocked());
        inputDecoded();
    }

    /** Bounds what is decoded of this connection in a turn. */
    private final class DecodingMeter implements WorkMeter {

        @Override
        public boolean mayDecode() {
            return pool.turnShares().mayWork(pool.turnNumber(), share);
        }

        @Override
        public void decoded(int bytes, int fields, boolean messageCompleted) {
            pool.turnShares().recordWork(pool.turnNumber(), share, TurnShares.decodingUnits(bytes, fields, messageCompleted));
        }
    }

    private static Outcome outcome(FullHttpResponse answer) {
        return switch (answer.status().code()) {
            case 200 -> Outcome.DELIVERED;
            case 503, 504 -> "1".equals(answer.headers().get(NEVER_RAN_HEADER)) ? Outcome.SHED : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (attempt != null) {
            attempt.end(attempt.isWritten() ? Outcome.DROPPED : Outcome.DIAL_FAILED, null);
        } else if (endpoint != null) {
            pool.removeIdle(this);
        }
    }

    /** An I/O error or an answer that can't be decoded; closing the connection ends the attempt. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException || cause instanceof DecoderException
                || cause instanceof PrematureChannelClosureException)) {
            pool.logFault("fault on a connection to an endpoint: " + cause);
        }
        broken = true;
        context.close();
    }
}
