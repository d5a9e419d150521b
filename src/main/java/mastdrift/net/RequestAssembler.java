package mastdrift.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Assembles whole requests from their heads and bodies, within a bound on memory. Bodies are copied, so that a few bytes don't
 * keep the buffers alive in which they were received. Of a request for which there is no memory the rest is read and dropped,
 * and it is passed on as {@link Assembled#isDropped}, to be refused in its turn. One that is too large, or that can't be decoded,
 * is passed on as a failed message as soon as that is known.
 */
final class RequestAssembler extends ChannelInboundHandlerAdapter {

    /** The longest body of a request. */
    static final int MAX_BODY_BYTES = 64 << 10;

    /** The memory for the requests of a connection. */
    interface Memory {

        /** Whether a request that begins now would be refused in any case, so that it needn't be kept. */
        boolean refusesNext();

        /** Reserves memory; false if there is none. */
        boolean reserve(int bytes);

        /** Gives back memory that was reserved. */
        void release(int bytes);

        /** Whether a request ahead of the one that is being read is not answered yet. */
        boolean isAnswering();
    }

    /**
     * A request that has been read to its end.
     *
     * @param message the request; null if it was dropped for lack of memory
     * @param heldBytes the memory that is reserved for it
     */
    record Assembled(FullHttpRequest message, int heldBytes) {

        boolean isDropped() {
            return message == null;
        }
    }

    private final Memory memory;
    private HttpRequest head;  // of the request that is being read; null between requests and once one is passed on as failed
    private boolean dropped;
    private BodyBuffer body;
    private int bodyBytes;  // received, held or not
    private int heldBytes;

    RequestAssembler(Memory memory) {
        this.memory = memory;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                begin(context, request);
            }
            if (message instanceof HttpContent content) {
                add(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Gives up the request that is being read, if there is one: it will be refused. */
    void drop() {
        if (head != null) {
            dropped = true;
            releaseHeld();
        }
    }

    /** Whether memory is held for a request that is being read. */
    boolean holdsMemory() {
        return heldBytes > 0;
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        dropped = false;
        bodyBytes = 0;
        if (request.decoderResult().isFailure()) {
            fail(context, request.decoderResult().cause());
        } else if (hasUnsupportedExpectation(request)) {
            fail(context, new UnsupportedExpectationException());
        } else if (HttpUtil.getContentLength(request, -1L) > MAX_BODY_BYTES) {
            fail(context, new TooLongFrameException("body"));
        } else {
            body = new BodyBuffer((int) HttpUtil.getContentLength(request, (long) MAX_BODY_BYTES), this::hold);
            dropped = memory.refusesNext() || !hold(request.uri().length() + MessageWeight.of(request));
            if (HttpUtil.is100ContinueExpected(request) && !memory.isAnswering()) {
                context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER,
                        EmptyHttpHeaders.INSTANCE, EmptyHttpHeaders.INSTANCE));
            }
        }
    }

    /** An expectation other than 100-continue: answered with 417. */
    static final class UnsupportedExpectationException extends IllegalArgumentException {

        private static final long serialVersionUID = 1;

        UnsupportedExpectationException() {
            super("invalid request: expected no Expect but 100-continue");
        }
    }

    private static boolean hasUnsupportedExpectation(HttpRequest request) {
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        return expectation != null && request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation);
    }

    private boolean hold(int bytes) {
        boolean reserved = memory.reserve(bytes);
        heldBytes += reserved ? bytes : 0;
        return reserved;
    }

    private void releaseHeld() {
        body = null;
        memory.release(heldBytes);
        heldBytes = 0;
    }

    private void add(ChannelHandlerContext context, HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (head != null && content.decoderResult().isFailure()) {
            fail(context, content.decoderResult().cause());
        } else if (head != null) {
            append(context, content.content());
        }
        if (head != null && isLast) {
            complete(context);
        }
    }

    private void append(ChannelHandlerContext context, ByteBuf part) {
        bodyBytes += part.readableBytes();
        if (bodyBytes > MAX_BODY_BYTES) {
            fail(context, new TooLongFrameException("body"));
        } else if (!dropped && !body.append(part)) {
            drop();
        }
    }

    private void complete(ChannelHandlerContext context) {
        Assembled assembled = new Assembled(dropped ? null : message(), heldBytes);
        finish();
        context.fireChannelRead(assembled);
    }

    private FullHttpRequest message() {
        return new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body.toByteBuf(), head.headers(),
                EmptyHttpHeaders.INSTANCE);
    }

    private void fail(ChannelHandlerContext context, Throwable cause) {
        releaseHeld();
        FullHttpRequest failed = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), Unpooled.EMPTY_BUFFER);
        failed.setDecoderResult(DecoderResult.failure(cause));
        finish();
        context.fireChannelRead(new Assembled(failed, 0));
    }

    /** The memory that is held from now on belongs to the request that is passed on. */
    private void finish() {
        head = null;
        body = null;
        heldBytes = 0;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        if (head != null) {
            releaseHeld();
            finish();
        }
    }
}
