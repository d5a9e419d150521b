import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Requests of conversations (Access-Request with EAP-Message), the class of which is unsafe, at four servers, one of which
 * is slowed. Servers tell retransmissions by source, identifier and authenticator (RFC 5080, 2.2.2).
 */
final class SlowedServer {

    /**
     * Times in milliseconds; chargers send the same packet again {@code resendAtMillis} after the first, if they still wait.
     */
    record Times(long serverMillis, long slowFactor, long chargerWaitMillis, long... resendAtMillis) { }

    /**
     * What came of the requests.
     *
     * @param runs the servers that ran each request, once for each time
     * @param servedAtNanos when a server first answered each request, to the gateway
     * @param sentAtNanos when each request's charger sent it first
     * @param answered the requests whose chargers had a response in time
     */
    record Result(Map<String, List<String>> runs, Map<String, Long> servedAtNanos, Map<String, Long> sentAtNanos, Set<String> answered) { }

    private static final int SERVERS = 4;
    private static final int REQUESTS = 32;
    private static final long MILLIS_BETWEEN_REQUESTS = 120;

    private SlowedServer() { }

    static Result play(CaseRun run, RadiusGateway.Settings settings, Times times) throws Exception {
        Result result = new Result(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeSet<>());
        RadiusServer.Handler handler = (server, packet, from, atNanos) -> {
            String request = packet.text(RadiusPacket.USER_NAME);
            if (server.seen.putIfAbsent(from + "/" + packet.identity(), new byte[0]) != null) {
                run.logAt(atNanos, server.name + ": the same packet again for " + request);
                return;
            }
            run.logAt(atNanos, server.name + ": runs " + request + " with identifier " + packet.identifier);
            boolean slowed = run.trouble && server.name.equals("r-1");
            synchronized (result) {
                result.runs.computeIfAbsent(request, any -> new ArrayList<>()).add(server.name);
            }
            byte[] response = packet.response(RadiusPacket.ACCESS_CHALLENGE, List.of(RadiusPacket.Attribute.text(RadiusPacket.STATE, server.name + " " + request),
                    new RadiusPacket.Attribute(RadiusPacket.EAP_MESSAGE, new byte[] {1, 2, 0, 5, 4})), server.secret);
            server.later(times.serverMillis * (slowed ? times.slowFactor : 1), () -> {
                run.log(server.name + ": answers " + request);
                synchronized (result) {
                    result.servedAtNanos.putIfAbsent(request, System.nanoTime());
                }
                server.send(response, from);
            });
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
            synchronized (result) {
                result.sentAtNanos.put(card, System.nanoTime());
            }
            responses.add(chargers.submit(() -> {
                try (Charger charger = new Charger(run, "charger of " + card, RadiusGateway.CLIENT_SECRET, port)) {
                    return charger.exchange(RadiusPacket.ACCESS_REQUEST, List.of(RadiusPacket.Attribute.text(RadiusPacket.USER_NAME, card),
                            RadiusPacket.Attribute.text(RadiusPacket.NAS_IDENTIFIER, "charger-1"), new RadiusPacket.Attribute(RadiusPacket.EAP_MESSAGE, new byte[] {2, 1, 0, 5, 1})),
                            times.chargerWaitMillis, times.resendAtMillis);
                }
            }));
            Thread.sleep(MILLIS_BETWEEN_REQUESTS);
        }
        for (int i = 0; i < REQUESTS; i++) {
            if (responses.get(i).get() != null) {
                result.answered.add("card-" + i);
            }
        }
        chargers.shutdown();
        for (RadiusServer each : servers) {
            each.close();
        }
        if (result.runs.isEmpty()) {
            throw new CaseRun.NotRun("no request came to a server");
        }
        return result;
    }
}
