package mastdrift.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import mastdrift.lab.ExperimentReader;
import mastdrift.lab.rig.ChaosPlan;
import mastdrift.lab.scale.ScalePlan;
import mastdrift.lab.Results;
import mastdrift.standin.Effects;
import mastdrift.standin.StandInHost;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The commands {@code lab} and {@code load}: arguments, exit statuses and written files. */
class LabCommandsTest {

    @TempDir
    private Path folder;

    private String out;
    private String err;

    private int run(String... args) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        int status = Commands.run(args, new PrintStream(outBytes, true, StandardCharsets.UTF_8), new PrintStream(errBytes, true, StandardCharsets.UTF_8));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private String experiment(String more) throws IOException {
        String text = Files.readString(Path.of("experiments/faithful-slow-4.toml")).replace("length = \"14s\"", "length = \"10s\"");
        Path file = folder.resolve("x.toml");
        Files.writeString(file, text + more);
        return file.toString();
    }

    /** A grid that can't be run is reported with the reason; a small one is run, judged and written. */
    @Test
    void gridIsRunJudgedAndWritten() throws IOException {
        assertEquals(2, run("lab", "grid", experiment("")));
        assertTrue(err.contains("expected a table [grid], found none"), err);
        String text = Files.readString(Path.of("experiments/grid-small.toml")).replace("seeds = 3", "seeds = 1")
                .replace("length = \"10s\"", "length = \"4s\"").replace("\"1\", \"10\", \"100\"", "\"1\", \"5\"")
                .replace("\"100\", \"1000\"", "\"10\", \"20\"").replaceAll("at = \"4s\"\nfor = \"3s\"", "at = \"1s\"\nfor = \"1s\"");
        Path file = folder.resolve("grid.toml");
        Files.writeString(file, text);
        assertEquals(2, run("lab", "grid", file.toString(), "--pairs-most", "9"));
        assertTrue(err.contains("expected some points of the grid to be left"), err);
        int status = run("lab", "grid", file.toString(), "--pairs-most", "50", "--out", folder.resolve("out").toString());
        assertEquals(err.contains("rules broken") ? 1 : 0, status, err);
        assertTrue(out.contains("| 1 x 10 | 1 x 20 | 5 x 10 | 5 x 20 |") && out.contains(" - |"), out);
        for (String name : List.of("grid.md", "grid.csv", "grid.svg")) {
            assertTrue(Files.size(folder.resolve("out").resolve(name)) > 100, name);
        }
    }

    /** Every experiment in the repository is valid. */
    @Test
    void allExperimentsInTheRepositoryAreValid() throws IOException {
        try (var files = Files.list(Path.of("experiments"))) {
            List<Path> all = files.filter(file -> file.toString().endsWith(".toml")).toList();
            assertTrue(all.size() >= 8);
            all.forEach(file -> assertEquals(List.of(), file.getFileName().toString().startsWith("chaos-") ? ChaosPlan.read(file, null).problems()
                    : file.getFileName().toString().startsWith("scale-fleet") ? ScalePlan.read(file, null).problems() : ExperimentReader.read(file, null, null).problems(), file.toString()));
        }
    }

    /** A plan that can't be run is refused before any process is started. */
    @Test
    void scalePlanThatCannotRunIsRefused() throws IOException {
        Path file = folder.resolve("scale.toml");
        Files.writeString(file, "per_process = 1\n[[size]]\nhollow = 4100\n");
        assertEquals(2, run("lab", "scale", file.toString()));
        assertTrue(err.contains("4100 hollow gateways, 200 resources: expected fewer than 200 processes, found that it needs 4122"), err);
        Files.writeString(file, "[[size]]\nhollow = 0\n");
        assertEquals(2, run("lab", "scale", file.toString()));
        assertTrue(err.contains("hollow"), err);
        assertEquals(2, run("lab", "scale", folder.resolve("none.toml").toString()));
        assertTrue(err.contains("expected a file that can be read"), err);
    }

    @Test
    void runCompareReplayAndReportWorkOnTheSameResults() throws IOException {
        String two = "\n[[arm]]\nname = \"module\"\n[[arm]]\nname = \"two\"\npolicy = \"two\"\n";
        Path to = folder.resolve("results");
        assertEquals(0, run("lab", "run", experiment(two), "--out", to.toString(), "--seeds", "3", "--threads", "2"), () -> err);
        assertTrue(out.lines().anyMatch(line -> line.startsWith("two ")), out);
        assertEquals(6, Results.read(to).runs().size());
        String report = Files.readString(to.resolve("report.html"));
        Files.delete(to.resolve("report.html"));
        assertEquals(0, run("lab", "report", to.toString()));
        assertEquals(report, Files.readString(to.resolve("report.html")), "the same results give the same bytes");
        assertEquals(0, run("lab", "compare", to + ":module", to + ":two"), () -> err);
        assertTrue(out.contains("goodput") && out.contains("p999 ms"), out);
        assertEquals(2, run("lab", "compare", to.toString(), to + ":two"));
        assertTrue(err.contains("expected FOLDER:ARM with one of [module, two], found none"), err);
        assertEquals(0, run("lab", "replay", experiment(two), "--seed", "1", "--request", "5", "--trace"));
        assertTrue(out.contains("no rule was broken") && out.contains("try 1 of "), out);
    }

    /** A broken limit exits with status 1 and names its line; an invalid file exits with 2 and lists all problems. */
    @Test
    void exitStatusTellsBrokenInvalidAndUnwritable() throws IOException {
        String to = folder.resolve("r").toString();
        assertEquals(1, run("lab", "run", experiment("\n[[limit]]\nwhat = \"p50\"\nmost = \"1ms\"\n"), "--out", to));
        assertTrue(err.contains("x.toml:60:1: module, seed 1: expected p50 of at most 1000.0 us, found "), err);
        assertEquals(2, run("lab", "run", experiment("\n[[limit]]\nwhat = \"p51\"\nx = 1\n"), "--out", to));
        assertTrue(err.lines().count() >= 2, err);
        assertEquals(2, run("lab", "run", folder.resolve("none.toml").toString()));
        assertEquals(2, run("lab", "run", experiment(""), "--by", "hand"));
        assertEquals(2, run("lab", "replay", experiment(""), "--seed", "1", "--arm", "none"));
        assertEquals(1, run("lab", "replay", experiment("\n[[arm]]\nname = \"bad\"\nbreaks = \"twice\"\n"), "--seed", "1", "--trace"));
        assertTrue(out.startsWith("rule 1, request ") && out.contains("answers SERVED"), out);
        Files.writeString(folder.resolve("file"), "");
        assertEquals(4, run("lab", "run", experiment(""), "--out", folder.resolve("file/below").toString()));
        assertEquals(4, run("lab", "report", folder.toString()));
        assertEquals(2, run("lab"));
    }

    /**
     * An arm may use the module of another build: here this build's own classes from a jar, which gives the same
     * counts.
     */
    @Test
    void armWithModuleFromAJarGivesTheSameCounts() throws IOException {
        Path jar = folder.resolve("other.jar");
        try (JarOutputStream entries = new JarOutputStream(Files.newOutputStream(jar)); var classes = Files.list(Path.of("target/classes/mastdrift"))) {
            for (Path file : classes.filter(f -> f.getFileName().toString().matches("(Balance|State|IdleTimeout)(\\$.*)?\\.class")).toList()) {
                entries.putNextEntry(new JarEntry("mastdrift/" + file.getFileName()));
                entries.write(Files.readAllBytes(file));
            }
        }
        Path to = folder.resolve("builds");
        assertEquals(0, run("lab", "run", experiment("\n[[arm]]\nname = \"module\"\n[[arm]]\nname = \"jar\"\npolicy = \"other.jar\"\n"),
                "--out", to.toString()), () -> err);
        Results results = Results.read(to);
        assertEquals(results.of("module").get(0).counts(), results.of("jar").get(0).counts());
        Files.write(jar, new byte[] {1, 2, 3});
        assertEquals(2, run("lab", "run", experiment("\n[[arm]]\nname = \"jar\"\npolicy = \"other.jar\"\n")));
        assertTrue(err.contains("arm[1].policy: expected a module with this build's interface in "), err);
    }

    @Test
    void loadReportsResultsAndRejectsWrongArguments() throws IOException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (StandInHost host = new StandInHost("h", "g", new Effects(60_000_000), loop, 1_000, 64)) {
            String to = folder.resolve("load").toString();
            // One connection per request and a long deadline: otherwise a short stall of the machine would make
            // requests wait, which counts as a fault.
            assertEquals(0, run("load", "--to", host.endpoint(), "--rate", "100..300", "--seconds", "1", "--class", "a/t=2:safe", "--class", "b:keyed",
                    "--late-most", "5000", "--connections", "512", "--deadline", "20000", "--out", to), () -> out + err);
            assertTrue(out.lines().anyMatch(line -> line.startsWith("a/t ")) && out.contains(" served a second; own lateness p99 "), out);
            assertTrue(Files.size(Path.of(to, "load.jsonl")) > 0 && Files.size(Path.of(to, "load.hlog")) > 0);
            assertEquals(1, run("load", "--to", host.endpoint(), "--seconds", "0.5", "--late-most", "0"));
            assertTrue(err.startsWith("does not count: the load tool was late itself"), err);
        } finally {
            loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
        }
        for (String[] wrong : new String[][] {{"--to", "here"}, {"--to", "127.0.0.1:1", "--rate", "x"}, {"--to", "127.0.0.1:1", "--class", ":"},
            {"--to", "127.0.0.1:1", "--seconds", "0"}, {"--to", "127.0.0.1:1", "--rate", "1", "--closed", "1"},
            {"--to", "127.0.0.1:1", "--radius-secret-file", "none"}, {"--to", "127.0.0.1:1", "--arrivals", "odd"}}) {
            String[] words = new String[wrong.length + 1];
            words[0] = "load";
            System.arraycopy(wrong, 0, words, 1, wrong.length);
            assertEquals(2, run(words), String.join(" ", words));
            assertTrue(err.contains("expected"), err);
        }
    }
}
