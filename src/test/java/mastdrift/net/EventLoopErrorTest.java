package mastdrift.net;

import static mastdrift.net.Loopback.eventually;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Errors in the handling of I/O, as lack of memory causes them anywhere. */
class EventLoopErrorTest {

    /** Fails a given number of reads before they begin, where no handler is told. */
    private static final class FailingAllocator extends DefaultMaxMessagesRecvByteBufAllocator {

        private final AtomicInteger failures;

        FailingAllocator(int failures) {
            this.failures = new AtomicInteger(failures);
        }

        @Override
        public RecvByteBufAllocator.Handle newHandle() {
            return new RecvByteBufAllocator.DelegatingHandle(new FixedRecvByteBufAllocator(64).newHandle()) {
                @Override
                public void reset(ChannelConfig config) {
                    if (failures.getAndDecrement() > 0) {
                        throw new OutOfMemoryError("Java heap space");
                    }
                    super.reset(config);
                }
            };
        }
    }

    /** Guards against the end of the event loop's thread, and of the process with it, for lack of memory at one connection. */
    @Test
    void loopGoesOnAfterAnErrorInIo() throws Exception {
        List<String> log = new CopyOnWriteArrayList<>();
        TimedEventLoop timed = TimedEventLoop.start(log::add);
        Channel server = new ServerBootstrap().group(timed.loop()).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FailingAllocator(3))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) {
                                context.writeAndFlush((ByteBuf) message);
                            }
                        });
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
        try (Socket client = new Socket()) {
            client.connect(server.localAddress());
            client.setSoTimeout(Loopback.WAIT_SECONDS * 1_000);
            client.getOutputStream().write('x');
            assertEquals('x', client.getInputStream().read());
            eventually(() -> log.size() == 1);
            assertTrue(log.get(0).contains("Java heap space"), log.toString());
        } finally {
            timed.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
