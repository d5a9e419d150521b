import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Watches are reset, discovery has too many callers for a while, and a host begins to drain: until when do new requests
 * go there? The change counts as told 6 s after discovery had it, whatever became of the calls.
 */
public final class DrainBehindCrowd {

    private static final int HOSTS = 40;
    // 2,800 requests a second over nine gateways
    private static final int PER_SECOND = 300;
    private static final int CLIENTS = 50;
    private static final long TOLD_WITHIN_MILLIS = 6_000;
    private static final long SLACK_MILLIS = 50;

    private DrainBehindCrowd() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, DrainBehindCrowd::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        try (DiscoveryService discovery = new DiscoveryService(run)) {
            List<HttpHost> hosts = new ArrayList<>();
            for (int i = 0; i < HOSTS; i++) {
                HttpHost host = new HttpHost("s-" + i, 60);
                hosts.add(host);
                discovery.put(host.name, new DiscoveryService.Target(host.endpoint(), i % 2 == 0 ? "bilbao" : "oviedo", "in_service", 0));
            }
            int port = CaseRun.freePort();
            Path config = PlatformConfig.write(run, "n1", port, discovery.port(), discovery.list());
            Process gateway = run.startGateway("n1", port, discovery.port(), config);
            run.awaitReady(port);
            StatusClients clients = new StatusClients(run, port, PER_SECOND, CLIENTS);
            Thread.sleep(6_000);
            if (run.trouble) {
                discovery.resetWatches();
                discovery.callAsOtherGateways();
            }
            Thread.sleep(200);
            HttpHost draining = hosts.get(0);
            discovery.put(draining.name, new DiscoveryService.Target(draining.endpoint(), "bilbao", "terminating", 0));
            long listedNanos = System.nanoTime();
            Thread.sleep(12_000);
            clients.stop();
            if (!gateway.isAlive()) {
                throw new CaseRun.NotRun("the gateway ended");
            }
            long lastAllowed = listedNanos + (TOLD_WITHIN_MILLIS + PlatformConfig.DRAIN_GRACE_MILLIS + SLACK_MILLIS) * 1_000_000;
            int late = 0;
            for (HttpHost.Seen each : draining.seen()) {
                if (each.atNanos() > listedNanos) {
                    run.logAt(each.atNanos(), draining.name + ": a new request, " + each.id() + (each.atNanos() > lastAllowed ? ", too late" : ""));
                    late += each.atNanos() > lastAllowed ? 1 : 0;
                }
            }
            run.log("case: new requests at " + draining.name + " later than " + run.millis(lastAllowed) + " ms: " + late);
            return late == 0;
        }
    }
}
