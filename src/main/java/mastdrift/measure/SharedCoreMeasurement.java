package mastdrift.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import mastdrift.standin.StandInHost;

/** The platform's gateway on a core that others use up: four hosts that take 5 ms, of which one takes 200 ms for the second half.
    What is refused, and how much the slow host gets, tells whose lateness the gateway takes it for. Programs that only spin share the
    core, and leave it in the end. {@code SharedCoreMeasurement BASELINE.jar [SPINNING [PER_SECOND [ROUNDS]]]}. */
public final class SharedCoreMeasurement {

    private static final int HOSTS = 4;
    private static final double SECONDS = 8;

    private SharedCoreMeasurement() { }

    /** Prints a line for each build and round. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int spinning = args.length > 1 ? Integer.parseInt(args[1]) : 8;
        double perSecond = args.length > 2 ? Double.parseDouble(args[2]) : 1_000;
        int rounds = args.length > 3 ? Integer.parseInt(args[3]) : 3;
        Map<String, Path> builds = new LinkedHashMap<>();
        builds.put("before", Path.of(args[0]));
        builds.put("now", PlatformRig.jar());
        for (int i = 0; i < rounds; i++) {
            for (Map.Entry<String, Path> build : builds.entrySet()) {
                run(build.getKey(), build.getValue(), spinning, perSecond, i);
            }
        }
    }

    private static void run(String name, Path jar, int spinning, double perSecond, int seed) throws IOException, InterruptedException {
        List<Process> spinners = new ArrayList<>();
        try (PlatformRig rig = new PlatformRig(HOSTS, 5_000, 1_024); GatewayProcess gateway = rig.gateway(jar, "0")) {
            LoadRun.start(LoadPlan.open(gateway.http(), perSecond, 4, 128, 1_400).seeded(100 + seed)).join();
            for (int i = 0; i < spinning; i++) {
                spinners.add(new ProcessBuilder("taskset", "-c", "0", "sh", "-c", "while :; do :; done").start());
            }
            LoadResult alike = LoadRun.start(LoadPlan.open(gateway.http(), perSecond, SECONDS, 256, 1_400).seeded(seed)).join();
            StandInHost slow = rig.hosts().get(0);
            slow.work(200_000);
            long before = slow.served();
            LoadResult one = LoadRun.start(LoadPlan.open(gateway.http(), perSecond, SECONDS, 256, 1_400).seeded(seed + 1)).join();
            double part = (double) (slow.served() - before) / one.count(Of.ASKED);
            slow.work(5_000);
            spinners.forEach(Process::destroyForcibly);
            LoadResult after = LoadRun.start(LoadPlan.open(gateway.http(), perSecond, SECONDS / 2, 256, 1_400).seeded(seed + 2)).join();
            System.out.printf("%-6s alike: %s;%n       one slow: %s, it got %.3f of all;%n       core free again: %s%n", name, text(alike),
                    text(one), part, text(after));
        } finally {
            spinners.forEach(Process::destroyForcibly);
        }
    }

    private static String text(LoadResult result) {
        return String.format("refused %.2f%%, failed %d (unanswered %d), p50 %.1f ms, p99 %.1f ms", 100.0 * result.count(Of.REFUSED) / result.count(Of.ASKED),
                result.failed(), result.count(Of.UNANSWERED), result.quantile(0.5) / 1e3, result.quantile(0.99) / 1e3);
    }
}
