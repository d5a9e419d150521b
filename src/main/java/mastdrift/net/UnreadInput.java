package mastdrift.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Reads the input of a connection that is available now but unread. An event loop reads each connection once a turn,
 * and may leave the close of the connection unread behind the data; a decision made in the same turn would not take it
 * into account.
 */
final class UnreadInput {

    private UnreadInput() { }

    /**
     * Reads once. Call it on the event loop, and not from within an event of the same channel. The channel's handlers
     * get the resulting events (messages, end of input) before this returns, except for {@code channelInactive}; {@link
     * Channel#isActive} reports at once that the channel has been closed.
     */
    static void read(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }

    /** Reads until no input is left, at most {@code maxReads} times; returns false if more input may be available. */
    static boolean readAll(Channel channel, int maxReads) {
        for (int i = 0; i < maxReads && channel.isActive(); i++) {
            read(channel);
            if (channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0) {
                return true;
            }
        }
        return !channel.isActive();
    }
}
