import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Six gateways share a budget for what crosses zones; five give what they don't need to the first, which is killed
 * and started again in the middle of the budget's window. Does the budget hold? The pool's hosts are all in the other zone.
 */
public final class BudgetAfterRestart {

    private static final int GATEWAYS = 6;
    private static final int AMOUNT = 600;  // attempts that may cross in a minute, of all gateways together
    private static final long KILL_AT_SECOND = 28;
    private static final long END_AT_SECOND = 52;

    private BudgetAfterRestart() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, BudgetAfterRestart::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        List<HttpHost> hosts = new ArrayList<>();
        StringBuilder nodes = new StringBuilder();
        for (int i = 1; i <= 3; i++) {
            hosts.add(new HttpHost("oviedo-" + i, 60));
        }
        hosts.forEach(each -> nodes.append(node(each, "oviedo")));
        run.write("nodes.toml", nodes + "# end of 3 nodes\n");
        Files.createDirectories(run.folder.resolve("shared"));
        int[] ports = new int[GATEWAYS];
        Path[] files = new Path[GATEWAYS];
        Process[] gateways = new Process[GATEWAYS];
        for (int i = 0; i < GATEWAYS; i++) {
            ports[i] = CaseRun.freePort();
            files[i] = run.write("gateway-" + i + ".toml", file(i, ports[i]));
            gateways[i] = run.startProgram("gateway-" + i, "serve", "--cold", "--config", files[i].toString());
        }
        for (int port : ports) {
            run.awaitReady(port);
        }
        long windowStartMillis = (Instant.now().getEpochSecond() / 60 + 1) * 60_000;
        Thread.sleep(Math.max(0, windowStartMillis - System.currentTimeMillis()));
        run.log("case: the window begins, a minute of UTC");
        StatusClients clients = new StatusClients(run, ports[0], 60);
        sleepUntil(windowStartMillis + KILL_AT_SECOND * 1_000);
        run.log("case: crossed so far: " + crossed(hosts, windowStartMillis));
        logBudgets(run);
        if (run.trouble) {
            run.signal(gateways[0], "KILL");
            gateways[0].waitFor();
            gateways[0] = run.startProgram("gateway-0", "serve", "--cold", "--config", files[0].toString());
            run.awaitReady(ports[0]);
        }
        sleepUntil(windowStartMillis + END_AT_SECOND * 1_000);
        clients.stop();
        int crossed = crossed(hosts, windowStartMillis);
        logBudgets(run);
        hosts.forEach(each -> run.log(each.name + ": " + each.seen().size() + " requests"));
        run.log("case: crossed in the window's first " + END_AT_SECOND + " s: " + crossed + "; allowed in all of the window: " + AMOUNT);
        return crossed <= AMOUNT;
    }

    private static void sleepUntil(long wallMillis) throws InterruptedException {
        Thread.sleep(Math.max(0, wallMillis - System.currentTimeMillis()));
    }

    /** The requests that the hosts, all of the other zone, got since the window began. */
    private static int crossed(List<HttpHost> hosts, long windowStartMillis) {
        long sinceNanos = System.nanoTime() - (System.currentTimeMillis() - windowStartMillis) * 1_000_000;
        return hosts.stream().mapToInt(host -> (int) host.seen().stream().filter(seen -> seen.atNanos() >= sinceNanos).count()).sum();
    }

    private static void logBudgets(CaseRun run) throws IOException {
        for (int i = 0; i < GATEWAYS; i++) {
            String report = Files.readString(run.folder.resolve("zones-" + i + ".json")).replaceAll("\\s+", " ");
            run.log("gateway-" + i + ": report " + report.substring(report.indexOf("\"granted\""), report.indexOf("\"flows\"")));
        }
    }

    private static String node(HttpHost host, String zone) {
        return "[[node]]\nuid = \"" + host.name + "\"\nendpoint = \"" + host.endpoint() + "\"\nzone = \"" + zone + "\"\n\n";
    }

    private static String file(int number, int port) {
        return """
                [gateway]
                name = "gateway-%d"
                listen = "127.0.0.1:%d"
                zone = "bilbao"
                zones = ["bilbao", "oviedo"]
                number = %d
                gateways = %d

                [[class]]
                name = "charger-status"
                effect = "safe"
                aim = "300ms"
                deadline = "1500ms"

                [pool.sessions]
                nodes = ["nodes.toml"]
                probes = false

                [zones]
                report_file = "zones-%d.json"
                shared_folder = "shared"

                [[zones.budget]]
                name = "status"
                window = "minute"
                requests = %d
                hard = true
                # end
                """.formatted(number, port, number, GATEWAYS, number, AMOUNT);
    }
}
