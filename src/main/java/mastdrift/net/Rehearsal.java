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

/** Loads and compiles the path of a request before the first one comes: a cold virtual machine takes 5 ms of its core
    for each at first, so that requests would queue past their time. A second gateway, on the same address and on a
    loop that ends with it, serves itself from a stand-in for hosts; no real host or discovery hears of it. */
public final class Rehearsal {

    /** Makes the second gateway. */
    public interface Stage {
        /** Its front, not yet listening; on the thread of the loop that it is played on. The hosts are all at {@code at}, which stands in for a discovery
            that is down too. */
        HttpFront open(List<Member> hosts, InetSocketAddress at);
    }

    private static final int REQUESTS = 800;
    private static final int HOSTS = 8;
    private static final int TOGETHER = 8;  // on as many connections: fewer turns of both threads, and as in service
    private static final int FAILING = 16;  // of so many requests one fails, so that other paths are met too
    private static final int PATIENCE_MILLIS = 3000;  // with one answer, on a part of a core
    private static final long LONGEST_MILLIS = 4000;  // with all of them, on a core that is slower than any that was seen

    private Rehearsal() { }

    /** Plays it once, on an address of this machine; a rehearsal that goes wrong costs speed alone. Ends the loop. */
    public static void play(Stage stage, List<RequestClass> classes, List<Tenant> tenants, String zone, InetAddress address,
            EventLoop loop, Consumer<String> log) {
        InetSocketAddress any = new InetSocketAddress(address, 0);
        try {
            Channel host = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16),
                                    new StandIn());
                        }
                    }).bind(any).sync().channel();
            InetSocketAddress at = (InetSocketAddress) host.localAddress();
            List<Member> hosts = IntStream.range(0, HOSTS).mapToObj(i -> new Member(
                    new Host("rehearsal-" + i, zone, 0, "", 1, Health.UP, 0), at)).toList();
            HttpFront clients = CompletableFuture.supplyAsync(() -> stage.open(hosts, at), loop).join();
            clients.listen(any).sync();
            ask(clients.address(), classes, tenants);
        } catch (IOException e) {
            log.accept("rehearsal ended early: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static void ask(InetSocketAddress at, List<RequestClass> classes, List<Tenant> tenants) throws IOException {
        String tenant = tenants.isEmpty() ? "none" : tenants.get(0).name();
        Socket[] sockets = new Socket[TOGETHER];
        try {
            BufferedReader[] in = new BufferedReader[TOGETHER];
            for (int i = 0; i < TOGETHER; i++) {
                sockets[i] = new Socket(at.getAddress(), at.getPort());
                sockets[i].setSoTimeout(PATIENCE_MILLIS);
                sockets[i].setTcpNoDelay(true);
                in[i] = new BufferedReader(new InputStreamReader(sockets[i].getInputStream(), StandardCharsets.ISO_8859_1));
            }
            long began = System.nanoTime();
            for (int i = 0; i < REQUESTS; i += TOGETHER) {
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
                if (millis >= LONGEST_MILLIS) {
                    return;
                }
                for (int k = 0; k < TOGETHER; k++) {
                    sockets[k].getOutputStream().write(request(i + k, classes.get((i + k) % classes.size()), tenant));
                }
                for (int k = 0; k < TOGETHER; k++) {
                    readAnswer(in[k]);
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

    private static byte[] request(int number, RequestClass type, String tenant) {
        boolean safe = type.repeat() == Repeat.SAFE;
        String request = (number == 0 ? "GET /ready" : safe ? "GET /api" : "POST /api")
                + " HTTP/1.1\r\nHost: rehearsal\r\nX-Trace-Id: " + number + "\r\nX-Qos: " + type.name()
                + "\r\nX-Customer: " + tenant + "\r\nX-Object: " + number % HOSTS + "\r\n" + ConnectionPool.EXPIRES + ": "
                + PATIENCE_MILLIS + (type.repeat() == Repeat.KEYED ? "\r\nIdempotency-Key: " + number : "")
                + "\r\nContent-Length: " + (safe ? "0\r\n\r\n" : "4\r\n\r\nbody");
        return request.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void readAnswer(BufferedReader in) throws IOException {
        int length = 0;
        for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
            if (line.regionMatches(true, 0, "content-length:", 0, 15)) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        in.skip(length);
    }

    /** Stands in for hosts, and for a discovery that is down. */
    private static final class StandIn extends SimpleChannelInboundHandler<FullHttpRequest> {

        private int count;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean fails = ++count % FAILING == 0 || !request.uri().equals("/api");
            FullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    fails ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.OK,
                    Unpooled.copiedBuffer("answer", StandardCharsets.US_ASCII));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
            context.writeAndFlush(answer);
        }
    }
}
