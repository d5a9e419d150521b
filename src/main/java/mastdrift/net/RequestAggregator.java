package mastdrift.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Aggregates whole requests. One that is too large is passed on as a failed message, to be answered in its turn.
 */
final class RequestAggregator extends HttpObjectAggregator {

    private static final int MAX_BODY_BYTES = 64 << 10;

    RequestAggregator() {
        super(MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest request = (HttpRequest) oversized;
        FullHttpRequest failedRequest = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
                request.uri(), Unpooled.EMPTY_BUFFER);
        failedRequest.setDecoderResult(DecoderResult.failure(new TooLongFrameException("body")));
        context.fireChannelRead(failedRequest);
    }
}
