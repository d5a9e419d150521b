import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A charger's accounting start is at a server when its gateway gets SIGTERM; the server answers within the charger's time. */
final class RadiusStop {

    private static final int SESSIONS = 5;
    private static final long WORK_MILLIS = 700;
    private static final long SIGTERM_AFTER_MILLIS = 300;
    private static final long DEADLINE_MILLIS = 4_000;
    // A final answer that comes up to half a second late only earns nothing; each time limit is 50 ms longer.
    private static final long LATE_MILLIS = 550;

    private RadiusStop() { }

    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review");
        int status = Kit.NOT_RUN;
        Kit.Program gateway = null;
        try (Kit.Log log = new Kit.Log(Path.of(arguments[0]))) {
            Radius.Group group = new Radius.Group(log, TimeUnit.SECONDS.toMillis(60));
            Radius.Server one = new Radius.Server("r-1", group, RadiusPlay.SECRET, 20);
            Radius.Server two = new Radius.Server("r-2", group, RadiusPlay.SECRET, 20);
            int httpPort = Kit.freePort();
            int radiusPort = Kit.freePort();
            gateway = RadiusPlay.startGateway(folder, httpPort, radiusPort, "aim = \"1s\"\ndeadline = \"4s\"\ndedup_window = \"60s\"\n", Map.of("r-1", one.socket.getLocalPort(), "r-2", two.socket.getLocalPort()));
            if (Kit.awaitReady(gateway, httpPort) && Radius.start(log, radiusPort, "charger-0", "before", RadiusPlay.SECRET, new long[] {2_000}, 4_000) >= 0) {
                one.workMillis = WORK_MILLIS;
                two.workMillis = WORK_MILLIS;
                long[] answeredAfter = new long[SESSIONS];
                Thread[] chargers = new Thread[SESSIONS];
                for (int i = 0; i < SESSIONS; i++) {
                    int number = i;
                    chargers[i] = Kit.daemon("charger", () -> {
                        try {
                            answeredAfter[number] = Radius.start(log, radiusPort, "charger-" + number, "session-" + number, RadiusPlay.SECRET,
                                    new long[] {2_000}, DEADLINE_MILLIS + LATE_MILLIS);
                        } catch (java.io.IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    });
                }
                Kit.sleep(SIGTERM_AFTER_MILLIS);
                if (Kit.trouble()) {
                    log.line("SIGTERM to the gateway");
                    gateway.signal("TERM");
                }
                int lost = 0;
                for (int i = 0; i < SESSIONS; i++) {
                    chargers[i].join();
                    boolean ran = !group.runs("session-" + i).isEmpty() && group.isAnswered("session-" + i);
                    log.line("session-%d: %s, %s", i, ran ? "ran, and its server answered" : "not answered by a server", answeredAfter[i] < 0 ? "NOT ANSWERED" : "answered");
                    lost += ran && answeredAfter[i] < 0 ? 1 : 0;
                }
                log.line("starts that ran, were answered by their server in time, and of which their charger never heard: %d of %d", lost, SESSIONS);
                status = lost > 0 ? Kit.RULE_BROKEN : Kit.RULE_HELD;
            }
            log.line("the gateway %s; its log:", gateway.process.isAlive() ? "runs" : "has ended with status " + gateway.process.exitValue());
            gateway.text().lines().limit(60).forEach(line -> log.line("  %s", line));
            log.line("exit status %d", status);
        } finally {
            if (gateway != null) {
                gateway.end();
            }
            Kit.deleteTree(folder);
        }
        System.exit(status);
    }
}
