package mastdrift.measure;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import mastdrift.config.ConfigurationReader;
import mastdrift.files.FileContents;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadRun;
import mastdrift.serve.Service;
import mastdrift.standin.Effects;
import mastdrift.standin.GatewayFiles;
import mastdrift.standin.StandInClient;
import mastdrift.standin.StandInHost;
import org.HdrHistogram.Histogram;

/** Pools from files: how soon a change is in force and what it costs. {@code PoolsMeasurement [CHANGES]}. */
public final class PoolsMeasurement {

    private static final int NODES = 10_000;
    private static final int RUNS = 5;
    private final GatewayFiles files;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final Effects effects = new Effects(1_500_000);
    private final StandInHost one = new StandInHost("one", "bilbao", effects, loop, 1_000, 64);
    private final StandInHost other = new StandInHost("other", "bilbao", effects, loop, 1_000, 64);
    private volatile long inForceAt;
    private volatile int inForce;

    private PoolsMeasurement(GatewayFiles files) {
        this.files = files;
    }

    /** Prints the figures. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int changes = args.length > 0 ? Integer.parseInt(args[0]) : 500;
        GatewayFiles files = GatewayFiles.temporary();
        PoolsMeasurement measurement = new PoolsMeasurement(files);
        try {
            measurement.changes(changes);
            measurement.check();
            measurement.many();
        } finally {
            measurement.one.close();
            measurement.other.close();
            measurement.loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
            files.close();
        }
    }

    private static String node(String uid, String endpoint, String more) {
        return GatewayFiles.node(uid, endpoint, "bilbao", more);
    }

    /** Notes when a set is in force, by the log. */
    private Service serve() {
        return Service.start(files.gateway(), new PrintStream(OutputStream.nullOutputStream(), true,
                StandardCharsets.UTF_8) {
            @Override
            public void println(String line) {
                if (line.startsWith("in force")) {
                    inForceAt = System.nanoTime();
                    inForce++;
                }
            }
        });
    }

    /** The set has one host, and each change puts the other in its place; 400 requests a second meanwhile. */
    private void changes(int changes) throws IOException, InterruptedException {
        files.gateway(GatewayFiles.head("127.0.0.1:0", ""), GatewayFiles.CLASSES, GatewayFiles.pool("nodes",
                "guards = { pool_drop_most = 1, zone_drop_most = 1, zone_may_empty = true }\n"));
        files.save("nodes.toml", node("one", one.endpoint(), "") + "# end of 1 nodes\n");
        try (Service service = serve(); LoadRun load = LoadRun.start(LoadPlan.open(service.address(), 400, 3600, 8, 1_400))) {
            Thread.sleep(5_000);
            long failed = load.failed();
            long refused = load.count(Of.REFUSED);
            Histogram first = new Histogram(3);
            Histogram taken = new Histogram(3);
            long worst = 0;
            for (int i = 0; i < changes; i++) {
                StandInHost next = i % 2 == 0 ? other : one;
                StandInHost last = i % 2 == 0 ? one : other;
                int before = inForce;
                long renamed = System.nanoTime();
                files.save("nodes.toml", node(next.name(), next.endpoint(), "") + "# end of 1 nodes\n");
                while (next.lastAt() < renamed || inForce == before) {
                    LockSupport.parkNanos(100_000);
                    if (System.nanoTime() - renamed > 20_000_000_000L) {
                        throw new IllegalStateException("change " + i + " was not taken");
                    }
                }
                first.recordValue(next.lastAt() - renamed);
                taken.recordValue(inForceAt - renamed);
                Thread.sleep(300);
                worst = Math.max(worst, last.lastAt() - inForceAt);
            }
            load.stop();
            print("rename to in force", taken);
            print("rename to first request by the new set", first);
            System.out.printf("worst send to the host taken out, after the change: %.1f ms%n", Math.max(0, worst / 1e6));
            System.out.printf("asked %d, refused while changing %d, failed while changing %d, answers of others %d, "
                    + "starts that ran twice %d%n", load.count(Of.ASKED), load.count(Of.REFUSED) - refused, load.failed() - failed,
                    load.count(Of.FOREIGN), effects.twice());
        }
    }

    private static void print(String what, Histogram nanos) {
        System.out.printf("%s: p50 %.1f ms, p99 %.1f ms, max %.1f ms over %d%n", what, nanos.getValueAtPercentile(50) / 1e6,
                nanos.getValueAtPercentile(99) / 1e6, nanos.getMaxValue() / 1e6, nanos.getTotalCount());
    }

    private static String nodes(String host) {
        StringBuilder text = new StringBuilder(host);
        for (int i = 0; i < NODES - 1; i++) {
            text.append(node("n-" + i, "127.2." + i / 250 + "." + (i % 250 + 1) + ":9", "weight = 1\nstate = \"drain\"\n"));
        }
        return text + "# end of " + NODES + " nodes\n";
    }

    private void check() throws IOException {
        files.save("nodes.toml", nodes(node("one", one.endpoint(), "")));
        long[] nanos = new long[RUNS];
        for (int i = 0; i < RUNS; i++) {
            long since = System.nanoTime();
            ConfigurationReader.Result result = FileContents.read(files.gateway());
            nanos[i] = System.nanoTime() - since;
            if (result.configuration() == null) {
                throw new IllegalStateException(result.problems().toString());
            }
        }
        System.out.printf("reading and checking %d nodes, first and further times in one process: %s ms%n", NODES,
                Arrays.toString(Arrays.stream(nanos).map(n -> n / 1_000_000).toArray()));
    }

    /** From one node to 10,000 and back, while a client asks every 5 ms. */
    private void many() throws IOException, InterruptedException {
        String few = node("one", one.endpoint(), "") + "# end of 1 nodes\n";
        String many = nodes(node("one", one.endpoint(), ""));
        files.save("nodes.toml", few);
        try (Service service = serve(); StandInClient client = new StandInClient(service.address())) {
            long before = Heap.used();
            for (int run = 0; run < RUNS; run++) {
                long gap = across(client, many, run);
                long after = Heap.used();
                long back = across(client, few, run);
                System.out.printf("run %d: slowest answer while %d nodes came %.1f ms, while they went %.1f ms; heap %.0f bytes "
                        + "a node%n", run + 1, NODES - 1, gap / 1e3, back / 1e3, (after - before) / (double) (NODES - 1));
            }
        }
    }

    /** The slowest answer, in microseconds, from the save until a second after the set is in force. */
    private long across(StandInClient client, String text, int run) throws IOException {
        int before = inForce;
        for (int i = 0; i < 200; i++) {
            ask(client, run + "-" + before + "-warm-" + i);
        }
        files.save("nodes.toml", text);
        long slowest = 0;
        long since = System.nanoTime();
        for (int i = 0; inForce == before || System.nanoTime() - inForceAt < 1_000_000_000L; i++) {
            slowest = Math.max(slowest, ask(client, run + "-" + before + "-" + i));
            LockSupport.parkNanos(5_000_000);
            if (System.nanoTime() - since > 60_000_000_000L) {
                throw new IllegalStateException("not taken");
            }
        }
        return slowest;
    }

    private static long ask(StandInClient client, String id) {
        StandInClient.Answer answer = client.ask(StandInClient.head("session-read", null, id, id, null, 2_000, 0), "");
        if (answer.status() != 200) {
            System.out.println("an answer of " + answer.status());
        }
        return answer.micros();
    }
}
