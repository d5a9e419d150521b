package mastdrift.measure;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import mastdrift.lab.GatewayProcess;
import mastdrift.lab.load.Counts.Of;
import mastdrift.lab.load.LoadPlan;
import mastdrift.lab.load.LoadResult;
import mastdrift.lab.load.LoadRun;
import org.apache.commons.statistics.descriptive.Quantile;

/** One core, idle hosts, clients that ask as fast as answers come: the platform's gateway and a bare pass-through, with the same
    options. All run from the beginning on, on the same core, and are asked in turn for a moment each, many times over: machines that
    others use too change their speed within seconds, and the ratio of neighbours doesn't. Keep other work off the first core:
    {@code taskset -c 2-7 java -cp target/mastdrift.jar mastdrift.measure.SaturationMeasurement [ROUNDS [BASELINE.jar]]}; a baseline
    is an earlier build of the gateway, asked too. */
public final class SaturationMeasurement {

    private static final int HOSTS = 4;
    private static final int CLIENTS = 32;
    private static final double WARM_SECONDS = 8;
    private static final double SECONDS = 1.5;

    private SaturationMeasurement() { }

    /** One of those that are compared. */
    private static final class Arm {
        private final String name;
        private final GatewayProcess process;
        private final DoubleList rates = new DoubleList();
        private final DoubleList ratios = new DoubleList();
        private final DoubleList p99s = new DoubleList();
        private final DoubleList cpu = new DoubleList();
        private long asked;
        private long refused;
        private long failed;

        Arm(String name, GatewayProcess process) {
            this.name = name;
            this.process = process;
        }

        void ask(long seed, Arm bare) throws InterruptedException {
            long before = process.cpu();
            LoadResult result = LoadRun.start(LoadPlan.closed(process.http(), CLIENTS, SECONDS, 1_400).seeded(seed)).join();
            asked += result.count(Of.ASKED);
            refused += result.count(Of.REFUSED);
            failed += result.failed();
            rates.add(result.rate());
            p99s.add(result.quantile(0.99) / 1e3);
            cpu.add((double) (process.cpu() - before) / result.count(Of.ASKED));
            ratios.add(result.rate() / bare.rates.last());
        }

        void print() {
            System.out.printf("%-12s %.3f of the pass-through (%.3f to %.3f); %.0f a second, p99 %.2f ms, %.1f us of the core a request; "
                    + "refused %.3f%%, failed %d%n", name, ratios.quantile(0.5), ratios.quantile(0.1), ratios.quantile(0.9),
                    rates.quantile(0.5), p99s.quantile(0.5), cpu.quantile(0.5), 100.0 * refused / asked, failed);
        }
    }

    /** Figures of rounds. */
    private static final class DoubleList {
        private final List<Double> values = new ArrayList<>();

        void add(double value) {
            values.add(value);
        }

        double last() {
            return values.get(values.size() - 1);
        }

        double quantile(double part) {
            return Quantile.withDefaults().evaluate(values.stream().mapToDouble(Double::doubleValue).toArray(), part);
        }
    }

    /** Prints medians, and of the ratios the tenth and the ninetieth of a hundred. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 12;
        List<Arm> arms = new ArrayList<>();
        try (PlatformRig rig = new PlatformRig(HOSTS, 0, 512)) {
            try {
                arms.add(new Arm("pass-through", rig.passThrough("0")));
                if (args.length > 1) {
                    arms.add(new Arm("before", rig.gateway(Path.of(args[1]), "0")));
                }
                arms.add(new Arm("gateway", rig.gateway(PlatformRig.jar(), "0")));
                for (Arm arm : arms) {
                    LoadRun.start(LoadPlan.closed(arm.process.http(), CLIENTS, WARM_SECONDS, 1_400)).join();
                }
                for (int i = 0; i < rounds; i++) {
                    for (Arm arm : arms) {
                        arm.ask(1_000 + i, arms.get(0));
                    }
                }
                arms.forEach(Arm::print);
            } finally {
                arms.forEach(arm -> arm.process.close());
            }
        }
    }
}
