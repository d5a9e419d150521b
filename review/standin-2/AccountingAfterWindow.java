import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Accounting-Starts, while the answers of one of five servers get lost: does one run twice, since it is sent again when the
 * servers don't remember it any more? The servers are one group: they share their memory of effects, for the time that
 * the class names. Besides, each knows a packet that comes again, by source, identifier and authenticator, for 5 s.
 */
public final class AccountingAfterWindow {

    private static final int SERVERS = 5;
    private static final int STARTS = 40;
    private static final long MILLIS_BETWEEN_STARTS = 60;
    private static final long WINDOW_MILLIS = 1_500;
    /** PROTOCOL: "each time limit is 50 ms longer". */
    private static final long SLACK_MILLIS = 50;
    /** For how long a server knows a packet that comes again (RFC 5080, 2.2.2), from its answer on. */
    private static final long PACKETS_KNOWN_MILLIS = 5_000;
    private static final long DEADLINE_MILLIS = 10_000;
    private static final long LOST_FOR_MILLIS = 6_000;

    private AccountingAfterWindow() { }

    public static void main(String[] arguments) {
        CaseRun.play(arguments, AccountingAfterWindow::play);
    }

    private static boolean play(CaseRun run) throws Exception {
        Map<String, Long> rememberedUntil = new TreeMap<>();
        Map<String, Long> packetsKnownUntil = new TreeMap<>();
        Map<String, List<String>> runs = new TreeMap<>();
        long[] lostUntil = {Long.MAX_VALUE};
        RadiusServer.Handler handler = (server, packet, from, atNanos) -> {
            String effect = packet.text(RadiusPacket.ACCT_SESSION_ID);
            boolean lost = run.trouble && server.name.equals("r-1") && atNanos < lostUntil[0];
            synchronized (runs) {
                String identity = server.name + "/" + from + "/" + packet.identity();
                boolean known = atNanos < packetsKnownUntil.getOrDefault(identity, Long.MIN_VALUE);
                boolean repeat = known || atNanos < rememberedUntil.getOrDefault(effect, Long.MIN_VALUE);
                if (!known) {
                    packetsKnownUntil.put(identity, atNanos + (PACKETS_KNOWN_MILLIS + SLACK_MILLIS) * 1_000_000);
                }
                if (!repeat) {
                    rememberedUntil.put(effect, atNanos + (WINDOW_MILLIS + SLACK_MILLIS) * 1_000_000);
                    runs.computeIfAbsent(effect, any -> new ArrayList<>()).add(server.name + " at " + Math.round(run.millis(atNanos)) + " ms");
                }
                run.logAt(atNanos, server.name + ": " + (known ? "knows the packet of the start of " : repeat ? "drops a repeat of the start of " : "runs the start of ") + effect + (lost ? ", its answer gets lost" : ""));
            }
            if (!lost) {
                server.send(packet.response(RadiusPacket.ACCOUNTING_RESPONSE, List.of(), server.secret), from);
            }
        };
        RadiusServer[] servers = new RadiusServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = new RadiusServer("r-" + (i + 1), RadiusGateway.SERVER_SECRET, handler);
        }
        int port = RadiusGateway.start(run, new RadiusGateway.Settings("4s", "4s", DEADLINE_MILLIS + "ms", WINDOW_MILLIS + "ms", "30s"), servers);
        lostUntil[0] = System.nanoTime() + LOST_FOR_MILLIS * 1_000_000;
        ExecutorService chargers = Executors.newCachedThreadPool();
        List<Future<RadiusPacket>> responses = new ArrayList<>();
        for (int i = 0; i < STARTS; i++) {
            String session = "session-" + i;
            responses.add(chargers.submit(() -> {
                try (Charger charger = new Charger(run, "charger of " + session, RadiusGateway.CLIENT_SECRET, port)) {
                    // sends its packet once, and waits for as long as the class's deadline
                    return charger.exchange(RadiusPacket.ACCOUNTING_REQUEST, List.of(RadiusPacket.Attribute.text(RadiusPacket.NAS_IDENTIFIER, "charger-1"),
                            RadiusPacket.Attribute.number(RadiusPacket.ACCT_STATUS_TYPE, 1), RadiusPacket.Attribute.text(RadiusPacket.ACCT_SESSION_ID, session)), DEADLINE_MILLIS);
                }
            }));
            Thread.sleep(MILLIS_BETWEEN_STARTS);
        }
        int answered = 0;
        for (Future<RadiusPacket> each : responses) {
            answered += each.get() == null ? 0 : 1;
        }
        chargers.shutdown();
        Thread.sleep(500);
        run.log("case: responses to chargers: " + answered + " of " + STARTS);
        boolean held = true;
        synchronized (runs) {
            if (runs.isEmpty()) {
                throw new CaseRun.NotRun("no start came to a server");
            }
            for (Map.Entry<String, List<String>> each : runs.entrySet()) {
                boolean once = each.getValue().size() == 1;
                run.log("case: the start of " + each.getKey() + " ran at " + each.getValue() + (once ? "" : ": more than once"));
                held &= once;
            }
        }
        for (RadiusServer each : servers) {
            each.close();
        }
        return held;
    }
}
