package mastdrift.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;

/** The platform's gateway on one core, kept busy: requests a second of two builds in turn, so that their ratio tells what a
    change costs there. {@code OldPathMeasurement BASELINE.jar [PAIRS]}; the jar's {@code lib} folder is beside it, as the
    build leaves it. */
public final class OldPathMeasurement {

    private static final int HOSTS = 4;
    private static final int CLIENTS = 16;
    private static final int WARM_SECONDS = 8;
    private static final int SECONDS = 10;

    private OldPathMeasurement() { }

    /** Prints the figures: each run, and the ratio of the medians. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path baseline = Path.of(args[0]);
        int pairs = args.length > 1 ? Integer.parseInt(args[1]) : 5;
        Path now = PlatformRig.jar();
        double[] before = new double[pairs];
        double[] after = new double[pairs];
        for (int i = 0; i < pairs; i++) {
            boolean first = i % 2 == 0;
            double one = run(first ? baseline : now);
            double other = run(first ? now : baseline);
            before[i] = first ? one : other;
            after[i] = first ? other : one;
            System.out.printf("pair %d: baseline %.0f, now %.0f requests a second, ratio %.3f%n", i + 1, before[i], after[i],
                    after[i] / before[i]);
        }
        Arrays.sort(before);
        Arrays.sort(after);
        System.out.printf("medians: baseline %.0f (%.0f to %.0f), now %.0f (%.0f to %.0f), ratio %.3f%n", before[pairs / 2],
                before[0], before[pairs - 1], after[pairs / 2], after[0], after[pairs - 1],
                after[pairs / 2] / before[pairs / 2]);
    }

    private static double run(Path jar) throws IOException, InterruptedException {
        try (PlatformRig rig = new PlatformRig(HOSTS, 200, 512); GatewayProcess gateway = rig.gateway(jar, "0")) {
            LoadRun.start(LoadPlan.closed(gateway.http(), CLIENTS, WARM_SECONDS, 1_400)).join();
            LoadResult result = LoadRun.start(LoadPlan.closed(gateway.http(), CLIENTS, SECONDS, 1_400).seeded(2)).join();
            if (result.failed() > 0) {
                System.out.println("failed " + result.failed() + ", of others " + result.count(Of.FOREIGN));
            }
            result.faults().forEach(System.out::println);
            return result.rate();
        }
    }
}
