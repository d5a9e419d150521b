package mastdrift.measure;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInHost;

/** What connections that say nothing cost a gateway from files: bytes of its heap for each, by phase, and what active clients notice of
    them; then one in twenty wakes within a tenth of a second. {@code IdleMeasurement [MOST [BASELINE.jar]]}; a baseline is an earlier
    build, whose idle connections are counted before it closes them. Needs as many descriptors as connections, here and there. */
public final class IdleMeasurement {

    private static final int HOSTS = 4;
    private static final int PER_SECOND = 1_000;
    private static final double SECONDS = 6;
    private static final int ACTIVE = 64;
    private static final int SETTLE_SECONDS = 3;  // opening thousands is another matter than holding them
    private static final int BATCH = 250;  // connects at once: a backlog holds no more than a thousand

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<Channel> channels = new ArrayList<>();
    private final AtomicInteger answered = new AtomicInteger();

    private IdleMeasurement() { }

    /** Prints the figures. */
    public static void main(String[] args) throws Exception {
        int most = args.length > 0 ? Integer.parseInt(args[0]) : 18_000;
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        List<StandInHost> hosts = new ArrayList<>();
        try (GatewayFiles files = GatewayFiles.temporary()) {
            Effects effects = new Effects(1_500_000);
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new StandInHost("h" + i, "bilbao", effects, group.next(), 1_000, 64));
            }
            files.save("nodes.toml", GatewayFiles.list(hosts.stream().map(host ->
                    GatewayFiles.node(host.name(), host.endpoint(), "bilbao", "")).toList()));
            if (args.length > 1) {
                files.gateway(GatewayFiles.head("127.0.0.1:0", "connections = 65536"), GatewayFiles.CLASSES, GatewayFiles.pool("nodes", ""));
                try (GatewayProcess before = process(Path.of(args[1]), files)) {
                    new IdleMeasurement().bytes("before, idle", before, Math.min(most, 5_000), true, 0);
                }
            }
            files.gateway(GatewayFiles.head("127.0.0.1:0", "connections = " + (most + 500)
                    + "\nsilent_most = \"60m\"\nidle_most = \"60m\""), GatewayFiles.CLASSES, GatewayFiles.pool("nodes", ""));
            for (boolean asks : new boolean[] {false, true}) {
                try (GatewayProcess now = process(PlatformRig.jar(), files)) {
                    new IdleMeasurement().bytes(asks ? "dormant" : "silent", now, Math.min(most, 5_000), asks, asks ? 6 : 0);
                }
            }
            try (GatewayProcess now = process(PlatformRig.jar(), files)) {
                new IdleMeasurement().active(now, most);
            }
        } finally {
            hosts.forEach(StandInHost::close);
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static GatewayProcess process(Path jar, GatewayFiles files) throws IOException, InterruptedException {
        return GatewayProcess.start(null, List.of("-Xmx1g", "-XX:+UseSerialGC", "-cp", jar.toString(), "mastdrift.cli.Main", "serve",
                "--config", files.gateway().toString()), Map.of(), 1);
    }

    /** Live bytes of the heap with and without so many connections. */
    private void bytes(String name, GatewayProcess gateway, int count, boolean asks, int seconds) throws Exception {
        LoadRun.start(LoadPlan.open(gateway.http(), PER_SECOND, 3, ACTIVE, 1_400)).join();
        TimeUnit.SECONDS.sleep(2);
        long before = live(gateway);
        open(gateway.http(), count);
        if (asks) {
            ask(0, count);
        }
        TimeUnit.SECONDS.sleep(seconds);
        long after = live(gateway);
        System.out.printf("%s: %d connections, %.0f bytes of heap each%n", name, count, (double) (after - before) / count);
        close();
    }

    /** What active clients notice, with more and more idle ones; then 5% wake. */
    private void active(GatewayProcess gateway, int most) throws Exception {
        LoadRun.start(LoadPlan.open(gateway.http(), PER_SECOND, 5, ACTIVE, 1_400)).join();
        for (int count : new int[] {0, 1_000, 5_000, most}) {
            open(gateway.http(), count - channels.size());
            TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
            print(count + " idle", LoadRun.start(plan(gateway)).join());
        }
        LoadRun run = LoadRun.start(plan(gateway));
        TimeUnit.SECONDS.sleep(2);
        long since = System.nanoTime();
        int waking = most / 20;
        ask(0, waking);
        System.out.printf("%d of %d wake: all answered after %.0f ms%n", waking, most, (System.nanoTime() - since) / 1e6);
        print("meanwhile", run.join());
        close();
    }

    private static LoadPlan plan(GatewayProcess gateway) {
        return LoadPlan.open(gateway.http(), PER_SECOND, SECONDS, ACTIVE, 1_400);
    }

    private static void print(String name, LoadResult result) {
        System.out.printf("%s: %d a second, p50 %.2f ms, p99 %.2f ms, longest %.0f ms; refused %d, failed %d %s%n", name, PER_SECOND,
                result.quantile(0.5) / 1e3, result.quantile(0.99) / 1e3, result.longest() / 1e3, result.count(Of.REFUSED),
                result.failed(), result.faults());
    }

    private void open(InetSocketAddress at, int count) throws InterruptedException {
        Bootstrap bootstrap = new Bootstrap().group(loops).channel(NioSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext context, ByteBuf answer) {
                        answered.incrementAndGet();  // short ones come whole
                    }
                });
            }
        });
        for (int opened = 0; opened < count; opened += BATCH) {
            List<ChannelFuture> batch = new ArrayList<>();
            for (int i = opened; i < Math.min(count, opened + BATCH); i++) {
                batch.add(bootstrap.connect(at));
            }
            for (ChannelFuture one : batch) {
                channels.add(one.sync().channel());
            }
        }
    }

    /** One request on each, spread over a tenth of a second; waits for the answers. */
    private void ask(int from, int to) throws InterruptedException {
        int before = answered.get();
        for (int i = from; i < to; i++) {
            String request = "GET /api HTTP/1.1\r\nHost: idle\r\nX-Trace-Id: idle-" + i + "\r\nX-Qos: session-read\r\nX-Expires-In-Ms: "
                    + "2000\r\nX-Object: " + i + "\r\n\r\n";
            channels.get(i).writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
            if (i % Math.max(1, (to - from) / 100) == 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
        for (int waited = 0; answered.get() - before < to - from; waited++) {
            if (waited > 10_000) {
                throw new IllegalStateException("answered " + (answered.get() - before) + " of " + (to - from));
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private void close() throws InterruptedException {
        for (Channel channel : channels) {
            channel.close();
        }
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    /** By the machine's own diagnostic command, which collects garbage first. */
    private static long live(GatewayProcess gateway) throws IOException, InterruptedException {
        Process jcmd = new ProcessBuilder(System.getProperty("java.home") + "/bin/jcmd", Long.toString(gateway.process().pid()),
                "GC.class_histogram").redirectErrorStream(true).start();
        CompletableFuture<String> text = CompletableFuture.supplyAsync(() -> {
            try {
                return new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            } catch (IOException e) {
                return "";
            }
        });
        jcmd.waitFor();
        return text.join().lines().filter(line -> line.startsWith("Total")).mapToLong(line ->
                Long.parseLong(line.strip().split("\\s+")[2])).findFirst().orElseThrow(() -> new IOException("expected a histogram, found "
                + text.join().lines().limit(3).toList()));
    }
}
