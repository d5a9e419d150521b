package mastdrift.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import mastdrift.Balancer;
import mastdrift.config.Samples;
import mastdrift.zones.CrossingBudget;
import mastdrift.zones.Price;
import mastdrift.zones.BudgetWindow;
import mastdrift.zones.ZoneSettings;
import mastdrift.zones.ZoneBudgetManager;
import mastdrift.zones.edge.ZoneStateCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output and exit statuses of the commands. */
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

    private String writeSampleFiles(String name) throws IOException {
        Path subfolder = Files.createDirectories(folder.resolve(name));
        for (var file : Samples.files().entrySet()) {
            Files.writeString(subfolder.resolve(file.getKey()), file.getValue());
        }
        return subfolder.resolve("gateway.toml").toString();
    }

    @Test
    void checkAcceptsTheDeployExamples() {
        assertEquals(0, run("check", "deploy/gateway.toml"), () -> err);
        assertTrue(out.contains("pool sessions: version "), out);
        assertEquals(0, run("check", "deploy/gateway-radius.toml"), () -> err);
        assertTrue(out.contains("pool cards: version "), out);
        assertEquals(0, run("check", "deploy/gateway-zones.toml"), () -> err);
        assertEquals(0, run("check", "deploy/gateway-fleet.toml"), () -> err);
        assertEquals(0, run("check", "deploy/gateway-distribution.toml"), () -> err);
        assertEquals(0, run("check", "deploy/control.toml"), () -> err);
        assertTrue(out.contains("control machine control-1: voter in bilbao, one of 3, epoch 1"), out);
    }

    /**
     * Peers from a gateway's status file, and an error for a configuration without [peers] or without a status file.
     */
    @Test
    void peersShowsMembersFromTheStatusFile(@TempDir Path temporaryFolder) throws IOException {
        assertEquals(1, run("peers", "deploy/gateway.toml"));
        assertTrue(err.contains("expected a table [peers] with status_file, found no such table"), err);
        for (String name : List.of("gateway-fleet.toml", "nodes-sessions.toml")) {
            Files.copy(Path.of("deploy", name), temporaryFolder.resolve(name));
        }
        String file = temporaryFolder.resolve("gateway-fleet.toml").toString();
        assertEquals(3, run("peers", file), "no status file was written yet");
        Files.writeString(temporaryFolder.resolve("peers.status"), "{\"gateway\":\"bilbao-1\",\"zone\":\"bilbao\",\"life\":7,\"build\":\"1\",\"settings\":\"a\",\"at\":\"now\",\"health\":2,"
                + "\"log\":{\"part\":\"aside\",\"why\":\"an older copy\",\"leader\":\"\",\"term\":3,\"last\":9,\"voters\":[\"bilbao-1\"],\"rolls\":{\"oviedo-1\":8}},"
                + "\"members\":[{\"name\":\"oviedo-1\",\"zone\":\"oviedo\",\"standing\":\"gone\",\"since_ms\":1500,\"heard_ms\":null,\"life\":5,\"build\":\"1\",\"settings\":\"b\"}]}");
        assertEquals(0, run("peers", file), () -> err);
        assertTrue(out.contains("local health 2 of 8") && out.contains("aside (an older copy), leader not known, term 3"), out);
        assertTrue(out.lines().anyMatch(line -> line.matches("oviedo-1 +oviedo +gone +1.5 s +never +5 +1 +8 +settings b")), out);
        assertEquals(0, run("peers", "--form", "json", file));
        assertTrue(out.contains("\"standing\""), out);
    }

    /**
     * Cross-zone traffic summed over the reports of two gateways, the budget of each, and an error for a file that is
     * no report.
     */
    @Test
    void zonesShowsCrossZoneTraffic() throws IOException {
        String[] files = new String[2];
        for (int i = 0; i < files.length; i++) {
            ZoneBudgetManager zoning = new ZoneBudgetManager("g" + i, "bilbao", 2, new ZoneSettings(List.of(new CrossingBudget("month", BudgetWindow.MONTH, CrossingBudget.Unit.BYTES, 4096,
                    null, null, null, null, 0, false)), List.of(new Price("bilbao", "oviedo", 1024, 0)), List.of(), List.of(), 1_000_000, null,
                    null, null), 0, 1_796_000_000_000L);
            zoning.pool("p").updateHosts(0, true, List.of(new Balancer.Host("o", "oviedo", 0, "k", 1, Balancer.Health.UP, 0)));
            zoning.pool("p").recordProbe(0, "o", Balancer.Outcome.DELIVERED, 1 << 20, 512);
            files[i] = folder.resolve("zones-" + i + ".json").toString();
            Files.write(Path.of(files[i]), JSON.std.asBytes(ZoneStateCodec.toMap(zoning.snapshot(0))));
        }
        assertEquals(0, run("zones", files[0], files[1], "--picture", folder.resolve("p.svg").toString()), () -> err);
        assertTrue(out.contains("bilbao > oviedo      (none)") && out.contains("2.00 MiB") && out.contains("1.00 KiB") && out.contains("2.0000"), out);
        assertTrue(out.contains("g1, budget month until ") && out.contains("left -"), out);
        assertTrue(Files.readString(folder.resolve("p.svg")).contains("<svg"));
        assertEquals(0, run("zones", files[0], "--form", "csv"), () -> err);
        assertEquals(2, out.split("\r\n").length, out);
        assertTrue(out.startsWith("gateway,at,from,to,client,class,") && out.contains(",1048576,512,1.0,"), out);
        assertEquals(0, run("zones", files[0], "--form", "json"), () -> err);
        assertTrue(out.contains("\"gateways\""), out);
        Files.writeString(folder.resolve("none.json"), "{\"gateway\":1}");
        assertEquals(1, run("zones", folder.resolve("none.json").toString()));
        assertTrue(err.contains("none.json: flows: expected a list"), err);
    }

    @Test
    void checkReportsInvalidAndGuardedConfigurations() throws IOException {
        String file = writeSampleFiles("a");
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
    void checkPrintsRefusalsFromTheStatusFile() throws IOException {
        String file = writeSampleFiles("a");
        Files.writeString(Path.of(file), Samples.GATEWAY.replace("name = \"g\"", "status_file = \"status\""));
        Files.writeString(Path.of(file).resolveSibling("status"),
                "{\"at\":\"then\",\"in_force\":{\"main\":1},\"refused\":[\"main.toml:1:1: why\"]}");
        assertEquals(0, run("check", file), () -> err);
        assertTrue(out.contains("a gateway wrote at then: in force {main=1}\nrefused: main.toml:1:1: why\n"), out);
    }

    @Test
    void planShowsChangesAndGuardRefusals() throws IOException {
        String old = writeSampleFiles("a");
        String next = writeSampleFiles("b");
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
    void wrongArgumentsExitWithStatusTwo() {
        assertEquals(2, run());
        assertEquals(2, run("serf"));
        assertEquals(2, run("serve"));
        assertEquals(2, run("demo", "--seconds", "1"));
        assertEquals("--seconds: expected 4 to 3600, found 1\n", err);
        assertEquals(0, run("--help"));
    }

    @Test
    void serveReportsAllProblemsOfAnInvalidFile() throws IOException {
        String file = writeSampleFiles("a");
        Files.writeString(Path.of(file), Samples.GATEWAY.replace("class = \"session-read\"", "class = 1").replace("# end", ""));
        assertEquals(1, run("serve", "--config", file));
        assertEquals(2, err.lines().count(), err);
    }

    /** The shortest possible demo: every client gets an answer, and the drained host gets no new requests. */
    @Test
    void demoAnswersEveryRequest() {
        assertEquals(0, run("demo", "--seconds", "4"), () -> out + err);
        assertTrue(out.contains("curl -i -H 'X-Trace-Id: mine-1'"), out);
        assertTrue(out.contains("Starts that ran twice: 0."), out);
        assertTrue(out.lines().anyMatch(line -> line.startsWith("leaving")), out);
    }
}
