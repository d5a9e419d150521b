import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Chargers send accounting starts, and the same packet again after 2 s without an answer. One server of four is slow: the
 * gateway gives up what it runs, and sends the start to another server when the packet comes again.
 */
final class RadiusResend {

    private static final int SESSIONS = 24;
    private static final int SERVERS = 4;
    private static final long WINDOW_MILLIS = 1_500;
    private static final long USUAL_WORK_MILLIS = 300;
    private static final long SLOWER_TIMES = 6;
    // RFC 5080, 2.2.1: the first retransmission after 2 s.
    private static final long RESEND_AFTER_MILLIS = 2_000;
    private static final long GIVES_UP_AFTER_MILLIS = 6_000;

    private RadiusResend() { }

    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review");
        int status = Kit.NOT_RUN;
        Kit.Program gateway = null;
        try (Kit.Log log = new Kit.Log(Path.of(arguments[0]))) {
            Radius.Group group = new Radius.Group(log, WINDOW_MILLIS);
            Radius.Server[] servers = new Radius.Server[SERVERS];
            for (int i = 0; i < SERVERS; i++) {
                servers[i] = new Radius.Server("r-" + (i + 1), group, RadiusPlay.SECRET, USUAL_WORK_MILLIS);
            }
            int httpPort = Kit.freePort();
            int radiusPort = Kit.freePort();
            gateway = RadiusPlay.startGateway(folder, httpPort, radiusPort, "aim = \"600ms\"\ndeadline = \"1500ms\"\ndedup_window = \"1500ms\"\n", java.util.Map.of("x",1));
            if (Kit.awaitReady(gateway, httpPort) && Radius.start(log, radiusPort, "charger-0", "before", RadiusPlay.SECRET, new long[] {2_000}, 4_000) >= 0) {
                if (Kit.trouble()) {
                    log.line("server r-1 is %d times slower from now on", SLOWER_TIMES);
                    servers[0].workMillis = SLOWER_TIMES * USUAL_WORK_MILLIS;
                }
                int twice = 0;
                for (int i = 0; i < SESSIONS; i++) {
                    String session = "session-" + i;
                    Radius.start(log, radiusPort, "charger-" + i, session, RadiusPlay.SECRET, new long[] {RESEND_AFTER_MILLIS}, GIVES_UP_AFTER_MILLIS);
                    List<String> runs = group.runs(session);
                    log.line("%s ran %d times: %s", session, runs.size(), runs);
                    twice += runs.size() > 1 ? 1 : 0;
                }
                log.line("starts that ran twice: %d of %d", twice, SESSIONS);
                status = twice > 0 ? Kit.RULE_BROKEN : Kit.RULE_HELD;
            }
            log.line("the gateway's log:");
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
