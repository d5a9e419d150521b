package mastdrift.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Counts what the kernel accepted, not what was written: a peer that doesn't read accepts only part of it. */
class CountedChannelTest {

    private static final int WRITTEN_BYTES = 64 << 20;

    @Test
    void bytesWrittenButNeverSentAreNotCounted() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            CountedChannel channel = (CountedChannel) new Bootstrap().group(group).channelFactory(CountedChannel::create)
                    .handler(new ChannelInboundHandlerAdapter()).connect(server.getLocalSocketAddress()).syncUninterruptibly().channel();
            try (Socket peer = server.accept()) {
                for (int part = 0; part < 64; part++) {
                    channel.write(Unpooled.wrappedBuffer(new byte[WRITTEN_BYTES / 64]));
                }
                channel.flush();
                channel.close().syncUninterruptibly();
                long sent = channel.eventLoop().submit(channel::sentBytes).get(20, TimeUnit.SECONDS);
                assertTrue(sent > 0 && sent < WRITTEN_BYTES, "sent in part: " + sent);
                long read = 0;
                InputStream in = peer.getInputStream();
                byte[] buffer = new byte[1 << 16];
                for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
                    read += n;
                }
                assertEquals(read, sent);
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
