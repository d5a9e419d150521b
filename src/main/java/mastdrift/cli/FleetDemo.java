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

/** The demo of a fleet: gateways as processes, one killed and one cut off while clients repeat at the others, and a table of what came of it. */
final class FleetDemo {

    private static final long SECOND = 1_000_000;
    private static final int SECONDS = 40;

    private final int gateways;
    private final PrintWriter out;

    FleetDemo(int gateways, PrintWriter out) {
        this.gateways = gateways;
        this.out = out;
    }

    /** Plays it; returns the exit status: 0 where no law was broken. */
    int play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("mastdrift-fleet");
        Fault killed = new Fault(Kind.KILL, 4 * SECOND, 14 * SECOND, List.of(gateways - 1), 0);
        Fault cut = new Fault(Kind.CUT, 18 * SECOND, 26 * SECOND, List.of(0), 0);
        ChaosPlan plan = new ChaosPlan("demo", gateways, List.of("bilbao", "oviedo"), 4, 8, SECONDS, 0, 1, List.of(killed, cut));
        String last = "g" + (gateways - 1);
        out.println(gateways + " gateways as processes of this machine, for " + SECONDS + " s; " + last + " is killed from 4 s to 14 s, g0 is cut off from the others from 18 s to 26 s. Files: " + folder);
        Chaos.Outcome outcome = Chaos.play(plan, folder, line -> {
            out.println(line);
            out.flush();
        });
        Map<Long, int[]> byGateway = new HashMap<>();
        Map<String, Integer> runs = new HashMap<>();
        Set<String> keys = new HashSet<>();
        for (Line line : outcome.history().lines()) {
            if (line.what().equals("asked")) {
                int[] counts = byGateway.computeIfAbsent(line.number("gateway"), at -> new int[3]);
                counts[line.number("status") == 200 ? 0 : line.number("status") == 503 ? 1 : 2]++;
            } else if (line.what().equals("ran") && !line.text("key").isEmpty()) {
                keys.add(line.text("key"));
                runs.merge(line.text("key"), 1, Integer::sum);
            }
        }
        out.printf("%n%-8s %8s %8s %10s%n", "gateway", "served", "refused", "no answer");
        for (long i = 0; i < gateways; i++) {
            int[] counts = byGateway.getOrDefault(i, new int[3]);
            out.printf("g%-7d %8d %8d %10d%n", i, counts[0], counts[1], counts[2]);
        }
        out.println("Of " + keys.size() + " starts, hosts were asked for " + runs.values().stream().filter(count -> count > 1).count()
                + " more than once, which they drop. Starts that ran twice: " + outcome.broken().stream().filter(line -> line.startsWith("no effect")).count() + ".");
        knew(outcome, outcome.faults().get(0), last);
        knew(outcome, outcome.faults().get(1), "g0");
        outcome.broken().forEach(out::println);
        return outcome.broken().isEmpty() ? 0 : 1;
    }

    /** Who called it gone, and took it for there again, after how long. */
    private void knew(Chaos.Outcome outcome, Fault fault, String subject) {
        for (Line line : outcome.history().lines()) {
            boolean gone = line.what().equals("peer_gone") && line.at() < fault.until();
            boolean back = (line.what().equals("peer_restarted") || line.what().equals("peer_returned")) && line.at() > fault.until();
            if (line.text("peer").equals(subject) && line.at() > fault.from() && line.at() < fault.until() + 12 * SECOND && (gone || back)) {
                out.printf(Locale.ROOT, "%s knew %.1f s after the %s that %s is %s.%n", line.who(), (line.at() - (gone ? fault.from() : fault.until())) / 1e6,
                        (gone ? "begin" : "end") + " of the " + fault.kind().word(), subject, gone ? "gone" : "there again");
            }
        }
    }
}
