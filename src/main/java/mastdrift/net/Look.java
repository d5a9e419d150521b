package mastdrift.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads what stands unread at a connection by now. A turn of the loop reads a connection once, and may leave its end behind what it read; what is
    decided in the same turn wouldn't know of it. */
final class Look {

    private Look() { }

    /** On the loop's thread, and not within an event of the same connection. What comes of it (messages, the end) is told to the connection's handlers
        before this returns, but for {@code channelInactive}; {@link Channel#isActive} says at once that it has ended. */
    static void at(Channel channel) {
        if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
            socket.read();
        }
    }

    /** Likewise, until nothing is left to be read, by {@code most} looks; false where more may stand there. */
    static boolean through(Channel channel, int most) {
        for (int i = 0; i < most && channel.isActive(); i++) {
            at(channel);
            if (channel.unsafe().recvBufAllocHandle().lastBytesRead() <= 0) {
                return true;
            }
        }
        return !channel.isActive();
    }
}
