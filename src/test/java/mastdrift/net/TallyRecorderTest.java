package mastdrift.net;

import static mastdrift.net.Loopback.SETTINGS;
import static mastdrift.net.Loopback.answer;
import static mastdrift.net.Loopback.discovery;
import static mastdrift.net.Loopback.entry;
import static mastdrift.net.Loopback.environment;
import static mastdrift.net.Loopback.list;
import static mastdrift.net.Loopback.read;
import static mastdrift.net.Loopback.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import mastdrift.tally.Counter;
import mastdrift.tally.FleetSummary;
import mastdrift.tally.SecondCounts;
import mastdrift.tally.RequestStep;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a gateway counts over loopback equals what hosts and clients saw. */
class TallyRecorderTest {

    @TempDir
    private Path folder;

    @Test
    void countsMatchWhatHostsAndClientsSaw() throws Exception {
        AtomicInteger hostRequests = new AtomicInteger();
        try (Server discovery = discovery();
                Server one = new Server(message -> write(message.socket(), hostRequests.incrementAndGet() % 3 == 0
                        ? answer("503 Service Unavailable\r\nX-Never-Ran: 1", "") : answer("200 OK", "one")));
                Node node = new Node(environment(folder, discovery, list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS), true)) {
            int served = 0;
            for (int i = 0; i < 12; i++) {
                served += node.ask(read(20_000)).status() == 200 ? 1 : 0;
            }
            FleetSummary fleet = new FleetSummary();
            for (int i = 0; fleet.total().count(Counter.SERVED) < served || fleet.total().count(Counter.CALLS) == 0; i++) {
                assertTrue(i < Loopback.WAIT_SECONDS * 20, node.log.toString(StandardCharsets.UTF_8));
                Thread.sleep(50);
                fleet = new FleetSummary();
                String[] lines = node.log.toString(StandardCharsets.UTF_8).split("\n");
                for (int line = 0; line < lines.length; line++) {
                    fleet.readLine("n0", line + 1, lines[line]);
                }
            }
            SecondCounts all = fleet.total();
            assertEquals(hostRequests.get(), all.count(Counter.SENDS));
            assertEquals(hostRequests.get() / 3, all.count(Counter.SHED));
            assertEquals(served, all.count(Counter.DELIVERED));
            assertEquals(12 - served, all.count(Counter.REFUSED_HOSTS));
            assertEquals(one.accepted.size(), all.count(Counter.OPENED));
            assertEquals(hostRequests.get(), all.hosts().get("s1").sends());
            assertEquals(hostRequests.get() / 3, all.hosts().get("s1").lost());
            assertEquals(0, fleet.parseErrorCount());
        }
    }

    private static FleetSummary parseLog(String log, String traceId) {
        FleetSummary fleet = new FleetSummary();
        fleet.traceRequest(traceId);
        String[] lines = log.split("\n");
        for (int line = 0; line < lines.length; line++) {
            fleet.readLine("n0", line + 1, lines[line]);
        }
        return fleet;
    }

    private static FleetSummary awaitStep(Node node, String traceId, String word) throws InterruptedException {
        FleetSummary fleet = parseLog(node.log.toString(StandardCharsets.UTF_8), traceId);
        for (int i = 0; fleet.tracedSteps().isEmpty() || !fleet.tracedSteps().get(fleet.tracedSteps().size() - 1).step().detail().startsWith(word); i++) {
            assertTrue(i < Loopback.WAIT_SECONDS * 20, node.log.toString(StandardCharsets.UTF_8));
            Thread.sleep(50);
            fleet = parseLog(node.log.toString(StandardCharsets.UTF_8), traceId);
        }
        return fleet;
    }

    private static String steps(FleetSummary fleet) {
        return fleet.tracedSteps().stream().map(seen -> seen.step()).map(step -> step.kind() + " " + step.host() + " " + step.detail())
                .collect(Collectors.joining(", "));
    }

    private static String traceId(String request) {
        return request.replaceFirst("(?s).*X-Trace-Id: (\\S+).*", "$1");
    }

    /** A request that its only host sheds, from its arrival through the attempt to the refusal. */
    @Test
    void requestIsTracedThroughItsAttempts() throws Exception {
        try (Server discovery = discovery();
                Server full = new Server(message -> write(message.socket(), answer("503 Service Unavailable\r\nX-Never-Ran: 1", "")));
                Node node = new Node(environment(folder, discovery, list(1, true, entry("s1", full.address(), "a", "in_service")), SETTINGS), true)) {
            String request = read(20_000);
            assertEquals(503, node.ask(request).status());
            FleetSummary fleet = awaitStep(node, traceId(request), "REFUSED HOSTS");
            assertEquals("TAKEN  acme:read:SAFE, SENT s1 warm, OPENED s1 warm, ENDED s1 SHED, ANSWERED  REFUSED HOSTS", steps(fleet));
            assertTrue(fleet.margins().rows().contains(List.of("requests followed", "1", "")));
            assertTrue(fleet.margins().rows().contains(List.of("answered REFUSED HOSTS", "1", "")));
            assertEquals(0, fleet.parseErrorCount());
        }
    }

    /**
     * A limited number of requests a second is traced, each from its first step to its last; the others are counted.
     */
    @Test
    void tracedRequestsASecondAreLimited() throws Exception {
        try (Server discovery = discovery(); Server one = Loopback.host("one");
                Node node = new Node(environment(folder, discovery, list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS), true)) {
            int requestCount = 3 * RequestTracer.MAX_TRACED_PER_SECOND;
            for (int i = 0; i < requestCount; i++) {
                node.ask(read(20_000));
            }
            FleetSummary fleet = new FleetSummary();
            for (int i = 0; fleet.total().count(Counter.SERVED) < requestCount; i++) {
                assertTrue(i < Loopback.WAIT_SECONDS * 20, node.log.toString(StandardCharsets.UTF_8));
                Thread.sleep(50);
                fleet = parseLog(node.log.toString(StandardCharsets.UTF_8), "");
            }
            String log = node.log.toString(StandardCharsets.UTF_8);
            Map<Long, Long> taken = log.lines().filter(line -> line.contains(RequestStep.LINE_MARKER)).map(RequestStep::parse).filter(step -> step.kind() == RequestStep.Kind.TAKEN)
                    .collect(Collectors.groupingBy(step -> step.unixMicros() / 1_000_000, Collectors.counting()));
            assertTrue(taken.values().stream().allMatch(count -> count <= RequestTracer.MAX_TRACED_PER_SECOND), "followed by second: " + taken);
            assertEquals(requestCount, taken.values().stream().mapToLong(Long::longValue).sum()
                    + fleet.total().count(Counter.UNFOLLOWED));
            assertEquals(taken.values().stream().mapToLong(Long::longValue).sum(), log.lines().filter(line -> line.contains(" kind=answered ")).count());
        }
    }
}
