import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Requests of an unsafe class, one of four servers slowed, and chargers that send the same packet again while they wait:
 * does the gateway make a second attempt of a request that may have run? Servers tell retransmissions by source,
 * identifier and authenticator (RFC 5080, 2.2.2).
 */
final class UnsafeConversation {

    /** Times of servers and chargers, in milliseconds. */
    record Times(long serverMillis, long slowFactor, long chargerWaitMillis, long resendAtMillis) { }

    private static final int SERVERS = 4;
    private static final int REQUESTS = 32;
    private static final long MILLIS_BETWEEN_REQUESTS = 120;

    private UnsafeConversation() { }

    static boolean play(CaseRun run, RadiusGateway.Settings settings, Times times) throws Exception {
        Map<String, List<String>> attempts = new TreeMap<>();
        RadiusServer.Handler handler = (server, packet, from, atNanos) -> {
            String request = packet.text(RadiusPacket.USER_NAME);
            if (server.seen.putIfAbsent(from + "/" + packet.identity(), new byte[0]) != null) {
                run.logAt(atNanos, server.name + ": the same packet again for " + request);
                return;
            }
            run.logAt(atNanos, server.name + ": runs " + request + " with identifier " + packet.identifier);
            synchronized (attempts) {
                attempts.computeIfAbsent(request, any -> new ArrayList<>()).add(server.name);
            }
            boolean slowed = run.trouble && server.name.equals("r-1");
            server.sendLater(times.serverMillis * (slowed ? times.slowFactor : 1), packet.response(RadiusPacket.ACCESS_CHALLENGE,
                    List.of(RadiusPacket.Attribute.text(RadiusPacket.STATE, server.name + " " + request), new RadiusPacket.Attribute(RadiusPacket.EAP_MESSAGE, new byte[] {1, 2, 0, 5, 4})),
                    server.secret), from);
        };
        RadiusServer[] servers = new RadiusServer[SERVERS];
        for (int i = 0; i < SERVERS; i++) {
            servers[i] = new RadiusServer("r-" + (i + 1), RadiusGateway.SERVER_SECRET, handler);
        }
        int port = RadiusGateway.start(run, settings, servers);
        ExecutorService chargers = Executors.newCachedThreadPool();
        List<Future<RadiusPacket>> responses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String card = "card-" + i;
            responses.add(chargers.submit(() -> {
                try (Charger charger = new Charger(run, "charger of " + card, RadiusGateway.CLIENT_SECRET, port)) {
                    return charger.exchange(RadiusPacket.ACCESS_REQUEST, List.of(RadiusPacket.Attribute.text(RadiusPacket.USER_NAME, card),
                            RadiusPacket.Attribute.text(RadiusPacket.NAS_IDENTIFIER, "charger-1"), new RadiusPacket.Attribute(RadiusPacket.EAP_MESSAGE, new byte[] {2, 1, 0, 5, 1})),
                            times.chargerWaitMillis, times.resendAtMillis);
                }
            }));
            Thread.sleep(MILLIS_BETWEEN_REQUESTS);
        }
        int answered = 0;
        for (Future<RadiusPacket> each : responses) {
            answered += each.get() == null ? 0 : 1;
        }
        chargers.shutdown();
        run.log("case: responses to chargers: " + answered + " of " + REQUESTS);
        boolean held = true;
        synchronized (attempts) {
            if (attempts.isEmpty()) {
                throw new CaseRun.NotRun("no request came to a server");
            }
            for (Map.Entry<String, List<String>> each : attempts.entrySet()) {
                boolean once = each.getValue().size() == 1;
                run.log("case: " + each.getKey() + " ran at " + each.getValue() + (once ? "" : ": more than once"));
                held &= once;
            }
        }
        for (RadiusServer each : servers) {
            each.close();
        }
        return held;
    }
}
