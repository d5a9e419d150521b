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

/** What a gateway counts over loopback is what hosts and clients saw. */
class TallyingTest {

    @TempDir
    private Path folder;

    @Test
    void countsAreThoseOfTheSockets() throws Exception {
        AtomicInteger asked = new AtomicInteger();
        try (Server discovery = discovery();
                Server one = new Server(message -> write(message.socket(), asked.incrementAndGet() % 3 == 0
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
            assertEquals(asked.get(), all.count(Counter.SENDS));
            assertEquals(asked.get() / 3, all.count(Counter.SHED));
            assertEquals(served, all.count(Counter.DELIVERED));
            assertEquals(12 - served, all.count(Counter.REFUSED_HOSTS));
            assertEquals(one.accepted.size(), all.count(Counter.OPENED));
            assertEquals(asked.get(), all.hosts().get("s1").sends());
            assertEquals(asked.get() / 3, all.hosts().get("s1").lost());
            assertEquals(0, fleet.parseErrorCount());
        }
    }

    private static FleetSummary parsed(String log, String followed) {
        FleetSummary fleet = new FleetSummary();
        fleet.traceRequest(followed);
        String[] lines = log.split("\n");
        for (int line = 0; line < lines.length; line++) {
            fleet.readLine("n0", line + 1, lines[line]);
        }
        return fleet;
    }

    private static FleetSummary logged(Node node, String followed, String word) throws InterruptedException {
        FleetSummary fleet = parsed(node.log.toString(StandardCharsets.UTF_8), followed);
        for (int i = 0; fleet.tracedSteps().isEmpty() || !fleet.tracedSteps().get(fleet.tracedSteps().size() - 1).step().detail().startsWith(word); i++) {
            assertTrue(i < Loopback.WAIT_SECONDS * 20, node.log.toString(StandardCharsets.UTF_8));
            Thread.sleep(50);
            fleet = parsed(node.log.toString(StandardCharsets.UTF_8), followed);
        }
        return fleet;
    }

    private static String steps(FleetSummary fleet) {
        return fleet.tracedSteps().stream().map(seen -> seen.step()).map(step -> step.kind() + " " + step.host() + " " + step.detail())
                .collect(Collectors.joining(", "));
    }

    private static String trace(String request) {
        return request.replaceFirst("(?s).*X-Trace-Id: (\\S+).*", "$1");
    }

    /** Turned away by the one, served by the other; a client that leaves; a host that drains. */
    @Test
    void oneRequestIsFollowedThroughItsAttempts() throws Exception {
        try (Server discovery = discovery();
                Server full = new Server(message -> write(message.socket(), answer("503 Service Unavailable\r\nX-Never-Ran: 1", "")));
                Node node = new Node(environment(folder, discovery, list(1, true, entry("s1", full.address(), "a", "in_service")), SETTINGS), true)) {
            String request = read(20_000);
            assertEquals(503, node.ask(request).status());
            FleetSummary fleet = logged(node, trace(request), "REFUSED HOSTS");
            assertEquals("TAKEN  acme:read:SAFE, SENT s1 warm, OPENED s1 warm, ENDED s1 SHED, ANSWERED  REFUSED HOSTS", steps(fleet));
            assertTrue(fleet.margins().rows().contains(List.of("requests followed", "1", "")));
            assertTrue(fleet.margins().rows().contains(List.of("answered REFUSED HOSTS", "1", "")));
            assertEquals(0, fleet.parseErrorCount());
        }
    }

    /** So many a second, each from its first step to its last; the rest is counted. */
    @Test
    void requestsThatAreFollowedAreBounded() throws Exception {
        try (Server discovery = discovery(); Server one = Loopback.host("one");
                Node node = new Node(environment(folder, discovery, list(1, true, entry("s1", one.address(), "a", "in_service")), SETTINGS), true)) {
            int asked = 3 * Tracing.NEW_MOST;
            for (int i = 0; i < asked; i++) {
                node.ask(read(20_000));
            }
            FleetSummary fleet = new FleetSummary();
            for (int i = 0; fleet.total().count(Counter.SERVED) < asked; i++) {
                assertTrue(i < Loopback.WAIT_SECONDS * 20, node.log.toString(StandardCharsets.UTF_8));
                Thread.sleep(50);
                fleet = parsed(node.log.toString(StandardCharsets.UTF_8), "");
            }
            String log = node.log.toString(StandardCharsets.UTF_8);
            Map<Long, Long> taken = log.lines().filter(line -> line.contains(RequestStep.LINE_MARKER)).map(RequestStep::parse).filter(step -> step.kind() == RequestStep.Kind.TAKEN)
                    .collect(Collectors.groupingBy(step -> step.unixMicros() / 1_000_000, Collectors.counting()));
            assertTrue(taken.values().stream().allMatch(count -> count <= Tracing.NEW_MOST), "followed by second: " + taken);
            assertEquals(asked, taken.values().stream().mapToLong(Long::longValue).sum() + fleet.total().count(Counter.UNFOLLOWED));
            assertEquals(taken.values().stream().mapToLong(Long::longValue).sum(), log.lines().filter(line -> line.contains(" kind=answered ")).count());
        }
    }
}
