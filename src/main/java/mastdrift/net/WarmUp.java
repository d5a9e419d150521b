package mastdrift.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;
import mastdrift.Balancer.Tenant;
import mastdrift.engine.Member;

/**
 * Loads and compiles the code on the path of a request before the first client connects. In a cold virtual machine each
 * of the first requests takes 5 ms of its core, so that requests would queue past their deadlines. A second gateway, on
 * the same address and on an event loop that is shut down with it, sends requests to a stand-in for hosts; no real host
 * or discovery is contacted.
 */
public final class WarmUp {

    /** Makes the second gateway. */
    public interface GatewayFactory {
        /**
         * Returns its front, not yet listening; called on the thread of the event loop that the warm-up runs on. All
         * hosts are at {@code standInAddress}, which also stands in for a discovery that fails.
         */
        HttpFront create(List<Member> hosts, InetSocketAddress standInAddress);
    }

    private static final int REQUEST_COUNT = 800;
    private static final int HOST_COUNT = 8;
    // On as many connections: saves turns of both threads, and is as in service.
    private static final int PARALLEL_REQUESTS = 8;
    // One in so many requests fails, so that the failure paths are loaded too.
    private static final int FAILURE_INTERVAL_REQUESTS = 16;
    private static final int ANSWER_TIMEOUT_MILLIS = 3000;  // for one answer, with only part of a core
    private static final long MAX_DURATION_MILLIS = 4000;  // for all requests, on a very slow core

    private WarmUp() { }

    /** Runs a warm-up once, on an address of this machine, and shuts down the loop; a failure only costs speed. */
    public static void run(GatewayFactory gatewayFactory, List<RequestClass> classes, List<Tenant> tenants, String zone,
            InetAddress address, EventLoop loop, Consumer<String> log) {
        InetSocketAddress anyPort = new InetSocketAddress(address, 0);
        try {
            Channel hostServer = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16),
                                    new StandInHandler());
                        }
                    }).bind(anyPort).sync().channel();
            InetSocketAddress standInAddress = (InetSocketAddress) hostServer.localAddress();
            List<Member> hosts = IntStream.range(0, HOST_COUNT).mapToObj(i -> new Member(
                    new Host("rehearsal-" + i, zone, 0, "", 1, Health.UP, 0), standInAddress)).toList();
            HttpFront clients = CompletableFuture.supplyAsync(() -> gatewayFactory.create(hosts, standInAddress), loop)
                    .join();
            clients.listen(anyPort).sync();
            sendRequests(clients.address(), classes, tenants);
        } catch (IOException e) {
            log.accept("warm-up ended early: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static void sendRequests(InetSocketAddress address, List<RequestClass> classes,
            List<Tenant> tenants) throws IOException {
        String tenant = tenants.isEmpty() ? "none" : tenants.get(0).name();
        Socket[] sockets = new Socket[PARALLEL_REQUESTS];
        try {
            BufferedReader[] readers = new BufferedReader[PARALLEL_REQUESTS];
            for (int i = 0; i < PARALLEL_REQUESTS; i++) {
                sockets[i] = new Socket(address.getAddress(), address.getPort());
                sockets[i].setSoTimeout(ANSWER_TIMEOUT_MILLIS);
                sockets[i].setTcpNoDelay(true);
                readers[i] = new BufferedReader(new InputStreamReader(sockets[i].getInputStream(),
                        StandardCharsets.ISO_8859_1));
            }
            long beganNanos = System.nanoTime();
            for (int i = 0; i < REQUEST_COUNT; i += PARALLEL_REQUESTS) {
                long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - beganNanos);
                if (elapsedMillis >= MAX_DURATION_MILLIS) {
                    return;
                }
                for (int k = 0; k < PARALLEL_REQUESTS; k++) {
                    sockets[k].getOutputStream().write(request(i + k, classes.get((i + k) % classes.size()), tenant));
                }
                for (int k = 0; k < PARALLEL_REQUESTS; k++) {
                    readAnswer(readers[k]);
                }
            }
        } finally {
            for (Socket socket : sockets) {
                if (socket != null) {
                    socket.close();
                }
            }
        }
    }

    private static byte[] request(int number, RequestClass requestClass, String tenant) {
        boolean safe = requestClass.repeat() == Repeat.SAFE;
        String request = (number == 0 ? "GET /ready" : safe ? "GET /api" : "POST /api")
                + " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: " + number + "\r\nX-Qos: " + requestClass.name()
                + "\r\nX-Customer: " + tenant + "\r\nX-Object: " + number % HOST_COUNT + "\r\n"
                        + ConnectionPool.EXPIRES_HEADER + ": "
                + ANSWER_TIMEOUT_MILLIS + (requestClass.repeat() == Repeat.KEYED ? "\r\nIdempotency-Key: " + number
                        : "")
                + "\r\nContent-Length: " + (safe ? "0\r\n\r\n" : "4\r\n\r\nbody");
        return request.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void readAnswer(BufferedReader reader) throws IOException {
        int length = 0;
        for (String line = reader.readLine(); line != null && !line.isEmpty(); line = reader.readLine()) {
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        reader.skip(length);
    }

    /** Answers in place of hosts, and of a discovery that fails. */
    private static final class StandInHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private int requestCount;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean fails = ++requestCount % FAILURE_INTERVAL_REQUESTS == 0 || !request.uri().equals("/api");
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    fails ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.OK,
                    Unpooled.copiedBuffer("answer", StandardCharsets.US_ASCII));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            context.writeAndFlush(answer);
        }
    }
}
