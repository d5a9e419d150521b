package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.lang.ref.Reference;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mastdrift.lab.Experiment;
import mastdrift.lab.ExperimentReader;
import mastdrift.lab.draw.Arrivals;
import mastdrift.lab.draw.Curve;
import mastdrift.lab.draw.Mix;
import mastdrift.lab.draw.Tries;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.lab.model.Measured;
import mastdrift.lab.model.Trace;
import mastdrift.lab.model.World;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInHost;

/** What the laboratory itself costs: events a second of the model by gateways and nodes, with the exponent of its growth, and the
    most that the load tool makes before it is late. {@code LabMeasurement FILE}: a calm experiment to scale. */
public final class LabMeasurement {

    private static final int[] GATEWAYS = {1, 10, 100, 1000};
    private static final int[] NODES = {100, 1_000, 10_000};
    private static final int[] RATES = {1_000, 4_000, 8_000, 16_000, 32_000};

    private LabMeasurement() { }

    /** Prints the figures. */
    public static void main(String[] args) throws IOException, InterruptedException {
        String text = Files.readString(Path.of(args[0]));
        double[] cost = new double[GATEWAYS.length];
        for (int i = 0; i < GATEWAYS.length; i++) {
            cost[i] = world(text, 1_000, GATEWAYS[i]);
        }
        System.out.printf("cost grows with gateways by a power of %.2f%n", exponent(GATEWAYS, cost));
        double[] byNodes = new double[NODES.length];
        for (int i = 0; i < NODES.length; i++) {
            byNodes[i] = world(text, NODES[i], 10);
        }
        System.out.printf("cost grows with nodes by a power of %.2f%n", exponent(NODES, byNodes));
        load();
    }

    private static double world(String text, int nodes, int gateways) throws IOException, InterruptedException {
        Path file = Files.createTempFile("mastdrift-scale", ".toml");
        try {
            Files.writeString(file, text.replaceAll("gateways = \\d+", "gateways = " + gateways)
                    .replaceAll("count = \\d+", "count = " + nodes / 2)
                    .replaceAll("rate = \"\\d+\"", "rate = \"" + 2 * nodes + "\""));  // two a second and node, as in the file
            ExperimentReader.Result read = ExperimentReader.read(file, "model", 1L);
            if (read.experiment() == null) {
                throw new IOException(String.join("\n", read.problems()));
            }
            Experiment.Arm arm = read.experiment().arms().get(0);
            long before = Heap.used();
            World world = new World(arm.scenario(), arm.policy(), 1, Trace.NONE);
            long since = System.nanoTime();
            Measured measured = world.run(() -> false);
            double seconds = (System.nanoTime() - since) / 1e9;
            long held = Heap.used() - before;
            long events = measured.counts().get("events");
            System.out.printf("%d gateways, %d nodes: %.2f million events in %.1f s, %.2f million a second, %.2f simulated seconds a "
                    + "second, %.1f MiB held (bound %.1f), goodput %.3f%n", gateways, nodes, events / 1e6, seconds, events / 1e6 / seconds,
                    arm.scenario().length() / 1e6 / seconds, held / 1048576.0, World.bytes(arm.scenario()) / 1048576.0, measured.goodput());
            Reference.reachabilityFence(world);  // or it might be gone before what it holds is counted
            return seconds;
        } finally {
            Files.delete(file);
        }
    }

    /** The slope of a straight line through the logarithms, by least squares. */
    private static double exponent(int[] sizes, double[] cost) {
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        for (int i = 0; i < sizes.length; i++) {
            double lx = Math.log(sizes[i]);
            double ly = Math.log(cost[i]);
            x += lx;
            y += ly;
            xx += lx * lx;
            xy += lx * ly;
        }
        return (sizes.length * xy - x * y) / (sizes.length * xx - x * x);
    }

    private static void load() throws InterruptedException {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = loops.next();
        try (StandInHost host = new StandInHost("h", "g", new Effects(1_000_000), loop, 0, 1 << 20)) {
            InetSocketAddress at = new InetSocketAddress("127.0.0.1", Integer.parseInt(host.endpoint().split(":")[1]));
            for (int rate : RATES) {
                LoadPlan plan = new LoadPlan(at, Curve.constant(rate, 5), Arrivals.Kind.POISSON, 0, Duration.ZERO,
                        LoadPlan.readsAndStarts(1_000), new Mix.Keys(500, 0), Tries.ONE, 512, true, 2, rate, null, 5_000);
                LoadResult result = LoadRun.start(plan).join();
                System.out.printf("load tool, 2 threads, %d a second asked: %.0f served a second, own lateness p99 %.2f ms, p50 %.2f ms, "
                        + "p99 %.2f ms, %s%n", rate, result.rate(), result.ownLateness(0.99) / 1e3, result.quantile(0.5) / 1e3,
                        result.quantile(0.99) / 1e3, result.faults().isEmpty() ? "counts" : "doesn't count: " + List.copyOf(result.faults()));
            }
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }
}
