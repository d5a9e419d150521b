package mastdrift.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** What carrying a request costs where nothing is decided, counted or bounded: reads whole requests, sends each to the next host on a
    kept connection, writes the answer. The baseline of measurements. {@code PassThrough HOST:PORT ...}; ends with its process. */
public final class PassThrough {

    private static final int MOST = 64 << 10;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<InetSocketAddress> hosts = new ArrayList<>();
    private final List<Deque<Onward>> idle = new ArrayList<>();
    private int next;

    private PassThrough() { }

    /** Listens on a free port of 127.0.0.1 and says which. */
    public static void main(String[] args) throws InterruptedException {
        PassThrough all = new PassThrough();
        for (String arg : args) {
            String[] parts = arg.split(":");
            all.hosts.add(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
            all.idle.add(new ArrayDeque<>());
        }
        Channel server = new ServerBootstrap().group(all.loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST), all.new Client());
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
        System.out.println("listening on " + server.localAddress());
        server.closeFuture().sync();
    }

    private final class Client extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            int host = next++ % hosts.size();
            Onward kept = idle.get(host).poll();
            if (kept != null) {
                kept.send(context.channel(), request.retain());
                return;
            }
            Onward made = new Onward(host);
            request.retain();
            new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST), made);
                        }
                    }).connect(hosts.get(host)).addListener((ChannelFutureListener) opened -> {
                        made.channel = opened.channel();
                        made.send(context.channel(), request);
                    });
        }
    }

    private final class Onward extends ChannelInboundHandlerAdapter {

        private final int host;
        private Channel channel;
        private Channel client;

        Onward(int host) {
            this.host = host;
        }

        private void send(Channel from, FullHttpRequest request) {
            client = from;
            channel.writeAndFlush(request);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object answer) {
            Channel to = client;
            idle.get(host).push(this);
            to.writeAndFlush((FullHttpResponse) answer);
        }
    }
}
