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
import java.util.concurrent.atomic.AtomicInteger;
import mastdrift.net.Loopback.Node;
import mastdrift.net.Loopback.Server;
import mastdrift.tally.Count;
import mastdrift.tally.Fleet;
import mastdrift.tally.Second;
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
            Fleet fleet = new Fleet();
            for (int i = 0; fleet.all().of(Count.SERVED) < served || fleet.all().of(Count.CALLS) == 0; i++) {
                assertTrue(i < Loopback.WAIT_SECONDS * 20, node.log.toString(StandardCharsets.UTF_8));
                Thread.sleep(50);
                fleet = new Fleet();
                String[] lines = node.log.toString(StandardCharsets.UTF_8).split("\n");
                for (int line = 0; line < lines.length; line++) {
                    fleet.read("n0", line + 1, lines[line]);
                }
            }
            Second all = fleet.all();
            assertEquals(asked.get(), all.of(Count.SENDS));
            assertEquals(asked.get() / 3, all.of(Count.SHED));
            assertEquals(served, all.of(Count.DELIVERED));
            assertEquals(12 - served, all.of(Count.REFUSED_HOSTS));
            assertEquals(one.accepted.size(), all.of(Count.OPENED));
            assertEquals(asked.get(), all.hosts().get("s1").sends());
            assertEquals(asked.get() / 3, all.hosts().get("s1").lost());
            assertEquals(0, fleet.faulty());
        }
    }
}
