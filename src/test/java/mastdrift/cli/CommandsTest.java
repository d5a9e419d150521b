package mastdrift.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import mastdrift.config.Samples;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line: what it prints, and its statuses. */
class CommandsTest {

    @TempDir
    private Path folder;

    private String out;
    private String err;

    private int run(String... args) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        int status = Commands.run(args, new PrintStream(outBytes, true, StandardCharsets.UTF_8),
                new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private String set(String name) throws IOException {
        Path below = Files.createDirectories(folder.resolve(name));
        for (var file : Samples.set().entrySet()) {
            Files.writeString(below.resolve(file.getKey()), file.getValue());
        }
        return below.resolve("gateway.toml").toString();
    }

    @Test
    void theExamplesUnderDeployAreGood() {
        assertEquals(0, run("check", "deploy/gateway.toml"), () -> err);
        assertTrue(out.contains("pool sessions: version "), out);
        assertEquals(0, run("check", "deploy/gateway-radius.toml"), () -> err);
        assertTrue(out.contains("pool cards: version "), out);
    }

    @Test
    void checkNamesWhatIsWrong() throws IOException {
        String file = set("a");
        assertEquals(0, run("check", file), () -> err);
        assertTrue(out.contains("pool main: version ") && out.contains("route reads: [main 1.0, spare 3.0], else main"), out);
        Files.writeString(Path.of(file).resolveSibling("main.toml"), Samples.nodes("main").replace("weight = 1.5", "weight = x"));
        assertEquals(1, run("check", file));
        assertTrue(err.startsWith("main.toml:6:10: "), err);
        Files.writeString(Path.of(file).resolveSibling("main.toml"), Samples.nodes("main").replace("weight = 1.5", "weight = 0"));
        assertEquals(3, run("check", file));
        assertTrue(err.contains("guard weight-zero"), err);
        assertEquals(1, run("check", folder.resolve("none.toml").toString()));
        assertEquals("none.toml: expected a file, found none\n", err);
    }

    @Test
    void checkPrintsWhatAGatewayRefused() throws IOException {
        String file = set("a");
        Files.writeString(Path.of(file), Samples.GATEWAY.replace("name = \"g\"", "status_file = \"status\""));
        Files.writeString(Path.of(file).resolveSibling("status"),
                "{\"at\":\"then\",\"in_force\":{\"main\":1},\"refused\":[\"main.toml:1:1: why\"]}");
        assertEquals(0, run("check", file), () -> err);
        assertTrue(out.contains("a gateway wrote at then: in force {main=1}\nrefused: main.toml:1:1: why\n"), out);
    }

    @Test
    void planSaysWhatAChangeWouldDo() throws IOException {
        String old = set("a");
        String next = set("b");
        assertEquals(0, run("plan", old, next), () -> err);
        assertEquals("would be taken\n", out);
        Path list = Path.of(next).resolveSibling("main.toml");
        Files.writeString(list, Samples.nodes("main", 6, 5).replaceFirst("weight = 1.5", "weight = 3"));
        assertEquals(0, run("plan", old, next), () -> err);
        assertTrue(out.contains("pool main: main-1: weight 0.500 of the largest, 1.000 before\n")
                && out.contains("pool main: main-10: new, zone oviedo, "), out);
        Files.writeString(list, Samples.nodes("main", 6, 0));
        assertEquals(3, run("plan", old, next));
        assertTrue(out.contains("pool main: main-9: taken out\n") && out.endsWith("would be refused\n"), out);
        assertTrue(err.contains("pool main: guard zone-empty: zone oviedo had 4 hosts"), err);
        Files.writeString(Path.of(next), Samples.GATEWAY.replace("zone = \"bilbao\"", "zone = \"oviedo\""));
        run("plan", old, next);
        assertTrue(err.contains("[gateway]: expected what the gateway started with"), err);
    }

    @Test
    void wrongWordsAreStatusTwo() {
        assertEquals(2, run());
        assertEquals(2, run("serf"));
        assertEquals(2, run("serve"));
        assertEquals(2, run("demo", "--seconds", "1"));
        assertEquals("--seconds: expected 4 to 3600, found 1\n", err);
        assertEquals(0, run("--help"));
    }

    @Test
    void serveEndsWithAllThatIsWrong() throws IOException {
        String file = set("a");
        Files.writeString(Path.of(file), Samples.GATEWAY.replace("class = \"session-read\"", "class = 1").replace("# end", ""));
        assertEquals(1, run("serve", "--config", file));
        assertEquals(2, err.lines().count(), err);
    }

    /** The demo itself, as short as it can be: everybody gets an answer, and the drained host nothing new. */
    @Test
    void theDemoPlays() {
        assertEquals(0, run("demo", "--seconds", "4"), () -> out + err);
        assertTrue(out.contains("curl -i -H 'X-Trace-Id: mine-1'"), out);
        assertTrue(out.contains("Starts that ran twice: 0."), out);
        assertTrue(out.lines().anyMatch(line -> line.startsWith("leaving")), out);
    }
}
