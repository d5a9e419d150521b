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
import org.apache.commons.statistics.descriptive.DoubleStatistics;
import org.apache.commons.statistics.descriptive.Median;
import org.apache.commons.statistics.descriptive.Statistic;

/** One core, idle hosts, clients that ask as fast as answers come: the platform's gateway and a bare pass-through in turn, with the
    same options. {@code SaturationMeasurement [RUNS [BASELINE.jar]]}; a baseline is an earlier build of the gateway, played too. */
public final class SaturationMeasurement {

    private static final int HOSTS = 4;
    private static final int CLIENTS = 32;
    private static final int WARM_SECONDS = 6;
    private static final int SECONDS = 6;

    private SaturationMeasurement() { }

    private interface Start {
        GatewayProcess start(PlatformRig rig) throws IOException, InterruptedException;
    }

    /** Prints the figures: each run, then the ratio to the pass-through of the same round. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int runs = args.length > 0 ? Integer.parseInt(args[0]) : 3;
        Map<String, Start> arms = new LinkedHashMap<>();
        arms.put("pass-through", rig -> rig.passThrough("0"));
        if (args.length > 1) {
            arms.put("before", rig -> rig.gateway(Path.of(args[1]), "0"));
        }
        arms.put("gateway", rig -> rig.gateway(PlatformRig.jar(), "0"));
        Map<String, List<Double>> ratios = new LinkedHashMap<>();
        for (int i = 0; i < runs; i++) {
            double bare = 0;
            for (Map.Entry<String, Start> arm : arms.entrySet()) {
                double rate = run(arm.getKey(), arm.getValue(), i);
                bare = bare == 0 ? rate : bare;
                ratios.computeIfAbsent(arm.getKey(), name -> new ArrayList<>()).add(rate / bare);
            }
        }
        ratios.forEach((name, of) -> {
            double[] all = of.stream().mapToDouble(Double::doubleValue).toArray();
            DoubleStatistics spread = DoubleStatistics.of(java.util.EnumSet.of(Statistic.MIN, Statistic.MAX), all);
            System.out.printf("%s: %.3f of the pass-through (%.3f to %.3f)%n", name, Median.withDefaults().evaluate(all),
                    spread.getAsDouble(Statistic.MIN), spread.getAsDouble(Statistic.MAX));
        });
    }

    private static double run(String name, Start start, int number) throws IOException, InterruptedException {
        try (PlatformRig rig = new PlatformRig(HOSTS, 0, 512); GatewayProcess gateway = start.start(rig)) {
            LoadRun.start(LoadPlan.closed(gateway.http(), CLIENTS, WARM_SECONDS, 1_400).seeded(number)).join();
            long before = gateway.cpu();
            LoadResult result = LoadRun.start(LoadPlan.closed(gateway.http(), CLIENTS, SECONDS, 1_400).seeded(1_000 + number)).join();
            long asked = result.count(Of.ASKED);
            System.out.printf("%d %s: %.0f a second, p50 %.2f ms, p99 %.2f ms, %.1f us of its core a request; refused %.2f%%, failed "
                    + "%d%s%n", number + 1, name, result.rate(), result.quantile(0.5) / 1e3, result.quantile(0.99) / 1e3,
                    (double) (gateway.cpu() - before) / asked, 100.0 * result.count(Of.REFUSED) / asked, result.failed(),
                    result.faults().isEmpty() ? "" : " " + result.faults());
            return result.rate();
        }
    }
}
