package mastdrift.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import mastdrift.lab.rig.Chaos;
import mastdrift.lab.rig.ChaosPlan;
import mastdrift.lab.rig.Fault;
import mastdrift.lab.rig.Fault.Kind;
import mastdrift.lab.rig.History.Line;

/**
 * The demo of a fleet: gateways run as processes, one is killed and one partitioned while clients retry at the others.
 * Prints a table of the answers.
 */
final class FleetDemo {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final int DURATION_SECONDS = 40;

    private final int gateways;
    private final PrintWriter out;

    FleetDemo(int gateways, PrintWriter out) {
        this.gateways = gateways;
        this.out = out;
    }

    /** Runs the demo. Returns the exit status: 0 if no invariant was broken. */
    int run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("mastdrift-fleet");
        Fault kill = new Fault(Kind.KILL, 4 * MICROS_PER_SECOND, 14 * MICROS_PER_SECOND, List.of(gateways - 1), 0);
        Fault partition = new Fault(Kind.CUT, 18 * MICROS_PER_SECOND, 26 * MICROS_PER_SECOND, List.of(0), 0);
        ChaosPlan plan = new ChaosPlan("demo", gateways, List.of("bilbao", "oviedo"), 4, 8, DURATION_SECONDS, 0, 1, List.of(kill, partition));
        String killedName = "g" + (gateways - 1);
        out.println(gateways + " gateways as processes of this machine, for " + DURATION_SECONDS + " s; " + killedName + " is killed from 4 s to 14 s, g0 is cut off from the others from 18 s to 26 s. Files: " + folder);
        Chaos.Outcome outcome = Chaos.play(plan, folder, line -> {
            out.println(line);
            out.flush();
        });
        Map<Long, int[]> countsByGateway = new HashMap<>();
        Map<String, Integer> runsByKey = new HashMap<>();
        Set<String> idempotencyKeys = new HashSet<>();
        for (Line line : outcome.history().lines()) {
            if (line.what().equals("asked")) {
                int[] counts = countsByGateway.computeIfAbsent(line.number("gateway"), gateway -> new int[3]);
                counts[line.number("status") == 200 ? 0 : line.number("status") == 503 ? 1 : 2]++;
            } else if (line.what().equals("ran") && !line.text("key").isEmpty()) {
                idempotencyKeys.add(line.text("key"));
                runsByKey.merge(line.text("key"), 1, Integer::sum);
            }
        }
        out.printf("%n%-8s %8s %8s %10s%n", "gateway", "served", "refused", "no answer");
        for (long i = 0; i < gateways; i++) {
            int[] counts = countsByGateway.getOrDefault(i, new int[3]);
            out.printf("g%-7d %8d %8d %10d%n", i, counts[0], counts[1], counts[2]);
        }
        out.println("Of " + idempotencyKeys.size() + " starts, hosts were asked for " + runsByKey.values().stream().filter(count -> count > 1).count()
                + " more than once, which they drop. Starts that ran twice: " + outcome.broken().stream().filter(line -> line.startsWith("no effect")).count() + ".");
        printDetections(outcome, outcome.faults().get(0), killedName);
        printDetections(outcome, outcome.faults().get(1), "g0");
        outcome.broken().forEach(out::println);
        return outcome.broken().isEmpty() ? 0 : 1;
    }

    /** Prints which gateways detected the fault's beginning and its end, and after what time. */
    private void printDetections(Chaos.Outcome outcome, Fault fault, String subject) {
        for (Line line : outcome.history().lines()) {
            boolean detectedGone = line.what().equals("peer_gone") && line.at() < fault.until();
            boolean detectedBack = (line.what().equals("peer_restarted") || line.what().equals("peer_returned")) && line.at() > fault.until();
            if (line.text("peer").equals(subject) && line.at() > fault.from() && line.at() < fault.until() + 12 * MICROS_PER_SECOND && (detectedGone || detectedBack)) {
                out.printf(Locale.ROOT, "%s knew %.1f s after the %s that %s is %s.%n", line.who(), (line.at() - (detectedGone ? fault.from() : fault.until())) / 1e6,
                        (detectedGone ? "begin" : "end") + " of the " + fault.kind().word(), subject, detectedGone ? "gone" : "there again");
            }
        }
    }
}
