package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.function.LongSupplier;
import mastdrift.limits.ByteBudget;

/**
 * Assembles whole responses of endpoints from their heads and bodies, within a bound on memory that all endpoints share. One that
 * is too large, or for which there is no memory, is reported as a fault of the connection. Bodies are copied, so that a few
 * bytes don't keep the buffers alive in which they were received.
 */
final class ResponseAssembler extends ChannelInboundHandlerAdapter implements ByteBudget.Owner {

    // The longest body, which bounds the memory that one attempt can hold.
    private static final int MAX_BODY_BYTES = 64 << 10;

    private final ByteBudget.Account memory;
    private final LongSupplier clock;
    private HttpResponse head;  // of the response that is being read; null between responses
    private BodyBuffer body;

    /** Takes memory from the budget; the clock is in microseconds. */
    ResponseAssembler(ByteBudget budget, LongSupplier clock) {
        memory = budget.open(this);
        this.clock = clock;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpResponse response) {
                begin(context, response);
            }
            if (message instanceof HttpContent content) {
                add(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext context, HttpResponse response) {
        head = response;
        if (response.decoderResult().isFailure()) {
            complete(context, response.decoderResult());
        } else if (HttpUtil.getContentLength(response, -1L) > MAX_BODY_BYTES) {
            fail(context, "a response that is too large");
        } else if (!memory.reserve(clock.getAsLong(), MessageWeight.of(response))) {
            fail(context, "no memory for another response");
        } else {
            body = new BodyBuffer((int) HttpUtil.getContentLength(response, (long) MAX_BODY_BYTES),
                    bytes -> memory.reserve(clock.getAsLong(), bytes));
        }
    }

    private void add(ChannelHandlerContext context, HttpContent content) {
        if (head == null) {
            return;  // the rest of a response that was given up
        }
        if (content.decoderResult().isFailure()) {
            complete(context, content.decoderResult());
            return;
        }
        ByteBuf part = content.content();
        if (body.length() + part.readableBytes() > MAX_BODY_BYTES) {
            fail(context, "a response that is too large");
        } else if (!body.append(part)) {
            fail(context, "no memory for another response");
        } else if (content instanceof LastHttpContent) {
            complete(context, DecoderResult.SUCCESS);
        }
    }

    /** Passes the response on; its memory is given back once it has been handled. */
    private void complete(ChannelHandlerContext context, DecoderResult result) {
        FullHttpResponse response = new DefaultFullHttpResponse(head.protocolVersion(), head.status(),
                result.isSuccess() ? body.toByteBuf() : Unpooled.EMPTY_BUFFER, head.headers(), EmptyHttpHeaders.INSTANCE);
        response.setDecoderResult(result);
        head = null;
        context.fireChannelRead(response);
        releaseMemory();
    }

    private void fail(ChannelHandlerContext context, String found) {
        head = null;
        releaseMemory();
        context.fireExceptionCaught(new TooLongFrameException("expected a response of " + MAX_BODY_BYTES
                + " bytes at most within the memory for responses, found " + found));
    }

    private void releaseMemory() {
        body = null;
        memory.release(clock.getAsLong(), memory.heldBytes());
    }

    /** Never called: what is being read is not given up for others. */
    @Override
    public void reclaim() { }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        releaseMemory();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        context.fireChannelInactive();
        releaseMemory();
    }
}
