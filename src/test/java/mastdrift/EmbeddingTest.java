package mastdrift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import mastdrift.Balancer.Request;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The embedding example of the README compiles and runs, word for word. */
class EmbeddingTest {

    @Test
    void readmeExampleCompilesAndRuns() throws IOException {
        FakeGateway actions = new FakeGateway();
        Balancer.Settings settings = actions.settings();
        List<Host> knownHosts = List.of(FakeGateway.upHost(0, 0), FakeGateway.upHost(1, 0));
        long now = 1_000_000;

        Balancer balancer = new Balance();
        balancer.start(now, settings, actions);              // once, first
        balancer.hosts(now, ListForm.CACHED, knownHosts);    // in the same moment
        balancer.request(now, new Request(7, "read", null, 4711L, 800_000));

        assertEquals(1, actions.sent.size());
        List<String> here = Files.readAllLines(Path.of("src/test/java/mastdrift/EmbeddingTest.java")).stream()
                .map(String::strip).toList();
        List<String> example = Files.readAllLines(Path.of("README.md")).stream()
                .filter(l -> l.startsWith("    ") && (l.contains("balancer.") || l.contains("Balancer balancer")))
                .map(String::strip).toList();
        assertEquals(4, example.size());
        assertTrue(here.containsAll(example), example.toString());
    }
}
