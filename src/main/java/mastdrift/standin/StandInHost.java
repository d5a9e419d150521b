package mastdrift.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/** A host by script, on a loopback port: so many requests at once take so long each, others wait in a bounded queue. It
    answers with its name and the request's id. Everything happens on the loop it is given. */
public final class StandInHost implements AutoCloseable {

    private static final int QUEUE_MOST = 256;
    private static final int STALLED_ANSWER_BYTES = 60_000;
    // An event loop's own timers come up to a millisecond late, which is much of a short request's work.
    private static final ScheduledThreadPoolExecutor TIMER = new ScheduledThreadPoolExecutor(1, task -> {
        Thread thread = new Thread(task, "stand-in-work");
        thread.setDaemon(true);
        return thread;
    });

    /** What it does with a request. */
    public enum Manner {
        /** Runs it. */
        SERVE,
        /** Turns it away unseen, as a host that drains. */
        DRAIN,
        /** Runs it and answers 500. */
        FAIL,
        /** Runs it and says nothing. */
        SILENT,
        /** Runs it and closes the connection. */
        RESET,
        /** Runs it, answers half and closes the connection. */
        CUT,
        /** Runs it, sends nearly all of a large answer, and nothing more. */
        STALL
    }

    /** A request that came: its id, its repeat key or null, when (System.nanoTime). */
    public record Seen(String host, String id, String key, long at) { }

    private record Job(ChannelHandlerContext context, String id, String key, String className, Manner manner) { }

    private final String name;
    private final String group;
    private final Effects effects;
    private final EventLoop loop;
    private final int slots;
    private final Channel server;
    private final ChannelGroup connections;
    private final Queue<Job> queue = new ArrayDeque<>();
    private volatile ToDoubleFunction<String> work;
    private volatile double slower = 1;
    private volatile int queueMost = QUEUE_MOST;
    private volatile String padding = "";
    private volatile Manner manner = Manner.SERVE;
    private volatile Consumer<Seen> observer = seen -> { };
    private volatile long opened;
    private volatile long served;
    private volatile long turnedAway;
    private volatile long lastAt;
    private volatile long bytesIn;
    private volatile long bytesOut;
    private int running;

    /** Listens on a free port of 127.0.0.1; {@code work} in microseconds. Hosts of one {@code group} drop repeats. */
    public StandInHost(String name, String group, Effects effects, EventLoop loop, long work, int slots) {
        this.name = name;
        this.group = group;
        this.effects = effects;
        this.loop = loop;
        work(work);
        this.slots = slots;
        connections = new DefaultChannelGroup(loop);
        server = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        opened++;
                        channel.pipeline().addLast(new Wire(), new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Requests());
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).syncUninterruptibly().channel();
    }

    /** Connections that it has accepted so far. */
    public long opened() {
        return opened;
    }

    /** Its name. */
    public String name() {
        return name;
    }

    /** As discovery and files name it. */
    public String endpoint() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** From now on it does so with what comes. */
    public void manner(Manner next) {
        manner = next;
    }

    /** From now on a request takes so many microseconds. */
    public void work(long micros) {
        work = className -> micros;
    }

    /** From now on a request of a class (the rest of its path, after {@code /api/}) takes so many microseconds; asked on the loop's thread, once a request. */
    public void works(ToDoubleFunction<String> microsByClass) {
        work = microsByClass;
    }

    /** From now on everything takes so many times as long. */
    public void slower(double factor) {
        slower = factor;
    }

    /** From now on answers are longer by so many bytes. */
    public void padding(int bytes) {
        padding = " ".repeat(bytes);
    }

    /** So many requests wait at most; further ones are turned away. */
    public void queue(int most) {
        queueMost = most;
    }

    /** Hears of every request that comes, on the loop's thread. */
    public void observe(Consumer<Seen> to) {
        observer = to;
    }

    /** Requests that it ran. */
    public long served() {
        return served;
    }

    /** Requests that it turned away unseen. */
    public long turnedAway() {
        return turnedAway;
    }

    /** Bytes that it read from its connections. */
    public long bytesIn() {
        return bytesIn;
    }

    /** Bytes that it wrote to its connections. */
    public long bytesOut() {
        return bytesOut;
    }

    /** When the last request came (System.nanoTime); 0 for never. */
    public long lastAt() {
        return lastAt;
    }

    /** Connections that are open. */
    public int connections() {
        return connections.size();
    }

    /** What passes its sockets. */
    private final class Wire extends ChannelDuplexHandler {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytesIn += ((ByteBuf) message).readableBytes();
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            int bytes = ((ByteBuf) message).readableBytes();
            context.write(message, promise.unvoid().addListener(done -> bytesOut += done.isSuccess() ? bytes : 0));
        }
    }

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
            if (!message.uri().startsWith("/api")) {
                answer(context, message.uri().equals("/health") ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND, "");
                return;
            }
            String id = message.headers().get("X-Trace-Id", "");
            String key = message.headers().get("Idempotency-Key");
            lastAt = System.nanoTime();
            observer.accept(new Seen(name, id, key, lastAt));
            if (manner == Manner.DRAIN || running >= slots && queue.size() >= queueMost) {
                turnedAway++;
                FullHttpResponse response = response(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
                response.headers().set("X-Never-Ran", "1");
                context.writeAndFlush(response);
                return;
            }
            queue.add(new Job(context, id, key, message.uri().substring(Math.min(message.uri().length(), "/api/".length())), manner));
            next();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void next() {
        while (running < slots && !queue.isEmpty()) {
            Job job = queue.poll();
            if (!job.context.channel().isActive()) {
                continue;  // its gateway gave it up while it waited
            }
            running++;
            if (job.key != null) {
                effects.run(job.key, group);
            }
            long micros = (long) (work.applyAsDouble(job.className) * slower);
            TIMER.schedule(() -> loop.execute(() -> done(job)), micros, TimeUnit.MICROSECONDS);
        }
    }

    private void done(Job job) {
        running--;
        served++;
        switch (job.manner) {
            case FAIL -> answer(job.context, HttpResponseStatus.INTERNAL_SERVER_ERROR, "");
            case RESET -> job.context.close();
            case CUT -> cut(job.context);
            case STALL -> stall(job.context);
            case SILENT -> { }
            default -> answer(job.context, HttpResponseStatus.OK, name + " " + job.id + padding);
        }
        next();
    }

    private static void cut(ChannelHandlerContext context) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 100);
        context.write(head);
        context.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer("half of it", StandardCharsets.UTF_8)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static void stall(ChannelHandlerContext context) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, STALLED_ANSWER_BYTES + 1);
        context.write(head);
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[STALLED_ANSWER_BYTES])));
    }

    private static FullHttpResponse response(HttpResponseStatus status, String body) {
        ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        return response;
    }

    private static void answer(ChannelHandlerContext context, HttpResponseStatus status, String body) {
        context.writeAndFlush(response(status, body));
    }

    /** Vanishes: its port is closed, and so are its connections. */
    @Override
    public void close() {
        server.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }
}
