package mastdrift.lab.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A server: so many requests at once take so long each, others wait. Records each that comes. It may turn away, hang, break connections, close idle ones or be gone. Everything happens on the
    loop that it is given. */
final class SoakServer implements AutoCloseable {

    /** What it does with a request. */
    enum Manner {
        SERVE,
        /** Takes it on and says nothing. */
        HANG,
        /** Takes it on and resets the connection. */
        RESET,
        /** Turns it away unseen. */
        TURN_AWAY
    }

    static final int WORK_MILLIS = 8;
    static final int SLOTS = 2;
    private static final int BODY_MOST = 1 << 16;

    private record Job(ChannelHandlerContext context, String request) { }

    private final String name;
    private final SoakRecord record;
    private final EventLoop loop;
    private final Channel listener;
    private final ChannelGroup connections;
    private final Set<ChannelHandlerContext> busy = new HashSet<>();
    private final Queue<Job> queue = new ArrayDeque<>();
    private Manner manner = Manner.SERVE;
    private int running;

    SoakServer(String name, SoakRecord record, EventLoop loop) {
        this.name = name;
        this.record = record;
        this.loop = loop;
        connections = new DefaultChannelGroup(loop);
        listener = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, 1024).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(BODY_MOST), new Requests());
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly().channel();
    }

    String address() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Does so for a while with what comes, then serves again. */
    void behave(Manner next, int millis) {
        loop.execute(() -> manner = next);
        loop.schedule(() -> manner = Manner.SERVE, millis, TimeUnit.MILLISECONDS);
    }

    void closeIdle() {
        loop.execute(() -> connections.stream().filter(channel -> busy.stream().noneMatch(context -> context.channel() == channel)).forEach(Channel::close));
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            if (!message.uri().startsWith("/api")) {
                answer(context, message.uri().equals("/health") ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND, "", false);
                return;
            }
            String id = message.headers().get("X-Trace-Id", "");
            boolean runs = manner != Manner.TURN_AWAY;
            record.arrivals.add(new SoakRecord.Arrival(name, id, message.headers().get("Idempotency-Key"), Long.parseLong(message.headers().get("X-Expires-In-Ms", "0")), runs, record.now()));
            switch (manner) {
                case TURN_AWAY -> answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true);
                case RESET -> reset(context);
                case HANG -> busy.add(context);
                default -> {
                    busy.add(context);
                    queue.add(new Job(context, id));
                    next();
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            busy.remove(context);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static void reset(ChannelHandlerContext context) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        context.close();
    }

    private void next() {
        while (running < SLOTS && !queue.isEmpty()) {
            Job job = queue.poll();
            if (job.context.channel().isActive()) {
                running++;
                loop.schedule(() -> done(job), WORK_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
    }

    private void done(Job job) {
        running--;
        busy.remove(job.context);
        answer(job.context, HttpResponseStatus.OK, name + " " + job.request, false);
        next();
    }

    private static void answer(ChannelHandlerContext context, HttpResponseStatus status, String body, boolean neverRan) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        if (neverRan) {
            response.headers().set("X-Never-Ran", "1");
        }
        context.writeAndFlush(response);
    }

    /** Is gone: its port refuses, its connections end. */
    @Override
    public void close() {
        listener.close();
        connections.close();
    }
}
