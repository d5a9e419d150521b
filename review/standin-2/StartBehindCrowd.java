import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A gateway is killed, a host begins to drain, and the gateway starts again with the list that it last had, while
 * discovery has too many callers: do new requests go to that host?
 */
public final class StartBehindCrowd {

    private static final int HOSTS = 11;
    private static final long TOLD_WITHIN_MILLIS = 6_000;
    private static final long SLACK_MILLIS = 50;

    private StartBehindCrowd() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, StartBehindCrowd::play);
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
            String known = discovery.list();
            Path config = PlatformConfig.write(run, "n1", port, discovery.port(), known);
            Process first = run.startGateway("n1", port, discovery.port(), config);
            run.awaitReady(port);
            run.signal(first, "KILL");
            first.waitFor();
            HttpHost draining = hosts.get(0);
            discovery.put(draining.name, new DiscoveryService.Target(draining.endpoint(), "bilbao", "terminating", 0));
            Thread.sleep(1_000);
            if (run.trouble) {
                discovery.callAsOtherGateways();
            }
            long startedNanos = System.nanoTime();
            Process second = run.startGateway("n1", port, discovery.port(), config);
            run.awaitReady(port);
            StatusClients clients = new StatusClients(run, port, 60);
            Thread.sleep(6_000);
            clients.stop();
            if (!second.isAlive()) {
                throw new CaseRun.NotRun("the gateway ended");
            }
            long lastAllowed = startedNanos + (TOLD_WITHIN_MILLIS + PlatformConfig.DRAIN_GRACE_MILLIS + SLACK_MILLIS) * 1_000_000;
            int late = 0;
            for (HttpHost.Seen each : draining.seen()) {
                run.logAt(each.atNanos(), draining.name + ": a new request, " + each.id() + (each.atNanos() > lastAllowed ? ", too late" : ""));
                late += each.atNanos() > lastAllowed ? 1 : 0;
            }
            run.log("case: new requests at " + draining.name + " later than " + run.millis(lastAllowed) + " ms: " + late);
            return late == 0;
        }
    }
}
