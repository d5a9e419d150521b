package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInHost;

/** The first requests of a gateway from files, 400 a second from the moment at which it listens, before four idle hosts: without a
    rehearsal and with one, in turn. {@code StartMeasurement [RUNS]}. */
public final class StartMeasurement {

    private static final int HOSTS = 4;

    private StartMeasurement() { }

    /** Prints the figures. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        Effects effects = new Effects(1_500_000);
        List<StandInHost> hosts = new ArrayList<>();
        try (GatewayFiles files = GatewayFiles.temporary()) {
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new StandInHost("h" + i, "bilbao", effects, loop, 5_000, 64));
            }
            files.gateway(GatewayFiles.head("127.0.0.1:0", ""), GatewayFiles.CLASSES, GatewayFiles.pool("nodes", ""));
            files.save("nodes.toml", GatewayFiles.list(hosts.stream().map(host ->
                    GatewayFiles.node(host.name(), host.endpoint(), "bilbao", "")).toList()));
            LoadRun.start(LoadPlan.open(first(hosts), 400, 2, 64, 1_400)).join();  // the load tool's own warming up
            for (int i = 0; i < runs; i++) {
                run(files, "cold", i, "--cold");
                run(files, "rehearsed", i);
            }
        } finally {
            hosts.forEach(StandInHost::close);
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static java.net.InetSocketAddress first(List<StandInHost> hosts) {
        return new java.net.InetSocketAddress("127.0.0.1", Integer.parseInt(hosts.get(0).endpoint().split(":")[1]));
    }

    private static void run(GatewayFiles files, String name, int number, String... more) throws IOException, InterruptedException {
        long since = System.nanoTime();
        try (GatewayProcess gateway = GatewayProcess.serve(null, files.gateway(), 1, more)) {
            double started = (System.nanoTime() - since) / 1e9;
            LoadResult result = LoadRun.start(LoadPlan.open(gateway.http(), 400, 0.5, 64, 1_400).seeded(number)).join();
            System.out.printf("%s: listens after %.2f s; of the first %d requests %d served, %d refused, %d failed; p50 %.1f ms, p99 %.1f "
                    + "ms%s%n", name, started, result.count(Of.ASKED), result.count(Of.SERVED), result.count(Of.REFUSED), result.failed(),
                    result.quantile(0.5) / 1e3, result.quantile(0.99) / 1e3, result.faults().isEmpty() ? "" : " (" + result.faults() + ")");
        }
    }
}
