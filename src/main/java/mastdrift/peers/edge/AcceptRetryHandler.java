package mastdrift.peers.edge;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Retries soon after an accept that failed, for example for lack of a file descriptor: without it Netty would accept
 * nobody for a second.
 */
final class AcceptRetryHandler extends ChannelInboundHandlerAdapter {

    private static final long RETRY_DELAY_MILLIS = 10;

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (context.channel().config().isAutoRead()) {
            context.channel().config().setAutoRead(false);
            context.channel().eventLoop().schedule(() -> context.channel().config().setAutoRead(true),
                    RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
