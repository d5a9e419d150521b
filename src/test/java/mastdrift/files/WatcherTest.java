package mastdrift.files;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeFalse;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mastdrift.config.Configuration;
import mastdrift.config.Samples;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Every way in which files change, and everything that may stand where a file should. */
class WatcherTest {

    private static final int WAIT_SECONDS = 30;

    @TempDir
    private Path folder;

    private final BlockingQueue<Configuration> taken = new LinkedBlockingQueue<>();
    private final BlockingQueue<List<String>> verdicts = new LinkedBlockingQueue<>();
    private volatile List<String> verdict = List.of();
    private Watcher watcher;

    @BeforeEach
    void write() throws IOException {
        for (var file : Samples.set().entrySet()) {
            Files.writeString(folder.resolve(file.getKey()), file.getValue());
        }
        watcher = watcher(folder.resolve("gateway.toml"));
    }

    private Watcher watcher(Path file) {
        return new Watcher(file, new Watcher.Taker() {
            @Override
            public List<String> take(Configuration configuration) {
                List<String> now = verdict;  // before anybody hears of it and changes what is next
                taken.add(configuration);
                return now;
            }

            @Override
            public void judged(List<String> problems) {
                verdicts.add(problems);
            }
        });
    }

    @AfterEach
    void close() {
        watcher.close();
    }

    private void start() throws InterruptedException {
        assertEquals(List.of(), watcher.first());
        assertEquals(10, await().nodes().get("main").size());
        assertEquals(List.of(), awaitVerdict());
        watcher.start();
    }

    private Configuration await() throws InterruptedException {
        Configuration next = taken.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "nothing was taken; verdicts: " + verdicts);
        return next;
    }

    private List<String> awaitVerdict() throws InterruptedException {
        List<String> next = verdicts.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "no verdict");
        return next;
    }

    /** Waits until the list main has so many nodes. */
    private void awaitNodes(int nodes) throws InterruptedException {
        for (Configuration next = await(); next.nodes().get("main").size() != nodes; next = await()) {
            assertNotNull(next);
        }
    }

    private String refusal() throws InterruptedException {
        List<String> next = awaitVerdict();
        while (next.isEmpty()) {
            next = awaitVerdict();
        }
        return String.join("\n", next);
    }

    private void save(String file, String text) throws IOException {
        Path aside = folder.resolve("." + file + ".swp");
        Files.writeString(aside, text);
        Files.move(aside, folder.resolve(file), StandardCopyOption.ATOMIC_MOVE);
    }

    // ---- how editors save

    @Test
    void truncateAndWrite() throws Exception {
        start();
        Files.writeString(folder.resolve("main.toml"), Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    @Test
    void writeAsideAndRename() throws Exception {
        start();
        save("main.toml", Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    /** The hard case of an editor that stalls half way: nothing of the half is taken, and the whole is in the end. */
    @Test
    void writtenPieceByPiece() throws Exception {
        start();
        String text = Samples.nodes("main", 6, 5);
        Path file = folder.resolve("main.toml");
        try (RandomAccessFile writer = new RandomAccessFile(file.toFile(), "rw")) {
            writer.setLength(0);
            writer.write(text.substring(0, text.length() / 2).getBytes(StandardCharsets.UTF_8));
            assertTrue(refusal().contains("the file may not be whole"));
            assertNull(taken.peek());
            writer.write(text.substring(text.length() / 2).getBytes(StandardCharsets.UTF_8));
        }
        awaitNodes(11);
    }

    @Test
    void deletedAndMadeAnew() throws Exception {
        start();
        Files.delete(folder.resolve("main.toml"));
        assertEquals("main.toml: expected a file, found none", refusal());
        Files.writeString(folder.resolve("main.toml"), Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    /** As configuration is mounted in many installations: a link to a folder of the version, swapped by a rename. */
    @Test
    void aLinkIsSwapped() throws Exception {
        Path one = Files.createDirectory(folder.resolve("v1"));
        Path two = Files.createDirectory(folder.resolve("v2"));
        for (var file : Samples.set().entrySet()) {
            Files.writeString(one.resolve(file.getKey()), file.getValue());
            Files.writeString(two.resolve(file.getKey()),
                    file.getKey().equals("main.toml") ? Samples.nodes("main", 6, 5) : file.getValue());
        }
        Path link = Files.createSymbolicLink(folder.resolve("current"), one);
        watcher = watcher(link.resolve("gateway.toml"));
        start();
        Path aside = Files.createSymbolicLink(folder.resolve("next"), two);
        Files.move(aside, link, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        awaitNodes(11);
        for (int i = 0; i < 4; i++) {
            Files.writeString(two.resolve("main.toml"), Samples.nodes("main", 6, 6 + i));
            awaitNodes(12 + i);
        }
        close();
        assertEquals(2, watcher.watched(), "the link's folder and where it leads now, not where it led");
    }

    /** A folder goes and comes again, and with it what the file system's events were registered on. */
    @Test
    void theFolderIsMadeAnew() throws Exception {
        Path below = Files.createDirectory(folder.resolve("etc"));
        for (var file : Samples.set().entrySet()) {
            Files.writeString(below.resolve(file.getKey()), file.getValue());
        }
        watcher = watcher(below.resolve("gateway.toml"));
        start();
        Files.move(below, folder.resolve("old"), StandardCopyOption.ATOMIC_MOVE);
        assertTrue(refusal().contains("expected a file, found none"));
        Files.createDirectory(below);
        for (var file : Samples.set().entrySet()) {
            Files.writeString(below.resolve(file.getKey()), file.getValue());
        }
        Files.writeString(below.resolve("main.toml"), Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    /** As on a file system that tells nothing: written by another name of the file, in a folder that nobody watches, with size
        and time as before, so that only the content differs. */
    @Test
    void contentAloneHasChanged() throws Exception {
        Path file = folder.resolve("main.toml");
        FileTime time = FileTime.fromMillis(1_700_000_000_000L);  // whole seconds: finer ones are not set as they are read
        Files.setLastModifiedTime(file, time);
        Path other = Files.createLink(Files.createDirectory(folder.resolve("elsewhere")).resolve("other"), file);
        start();
        save("spare.toml", Samples.nodes("spare", 6, 5));
        assertEquals(11, await().nodes().get("spare").size(), "it has looked at all files since its start");
        String text = Files.readString(file).replaceFirst("weight = 1.5", "weight = 1.6");
        try (RandomAccessFile writer = new RandomAccessFile(other.toFile(), "rw")) {
            writer.write(text.getBytes(StandardCharsets.UTF_8));
        }
        Files.setLastModifiedTime(other, time);
        assertEquals(1.6, await().nodes().get("main").get(0).weight());
    }

    /** The hard case of two files that only fit together: a node that moves from one list to the other is in both, or in
        none, for 300 ms. */
    @Test
    void twoFilesThatOnlyFitTogether() throws Exception {
        start();
        String spare = Samples.nodes("spare").replace("# end of 10 nodes", "").concat(
                "[[node]]\nuid = \"main-9\"\nendpoint = \"127.0.0.9:9\"\nzone = \"oviedo\"\n# end of 11 nodes\n");
        save("spare.toml", spare);
        assertTrue(refusal().contains("expected in one place alone, found \"main-9\""));
        TimeUnit.MILLISECONDS.sleep(300);  // the operator's own pace, not a wait for the program
        save("main.toml", Samples.nodes("main", 6, 3));
        Configuration next = await();
        assertEquals(9, next.nodes().get("main").size());
        assertEquals(11, next.nodes().get("spare").size());
        assertEquals(List.of(), awaitVerdict());
    }

    @Test
    void anotherListIsIncluded() throws Exception {
        start();
        Files.writeString(folder.resolve("more.toml"), Samples.nodes("more"));
        save("gateway.toml", Samples.GATEWAY.replace("[\"main.toml\"]", "[\"main.toml\", \"more.toml\"]"));
        awaitNodes(20);
        save("more.toml", Samples.nodes("more", 1, 1));
        awaitNodes(12);
    }

    // ---- what is told, and how often

    @Test
    void aFileThatIsSavedAsItWasIsNotTakenAgain() throws Exception {
        start();
        save("main.toml", Samples.nodes("main"));
        save("spare.toml", Samples.nodes("spare", 6, 5));
        assertEquals(11, await().nodes().get("spare").size());
        assertEquals(List.of(), awaitVerdict());
        assertNull(taken.peek());
    }

    @Test
    void aRefusalIsToldOnceAndTheNextGoodSetIsTaken() throws Exception {
        start();
        verdict = List.of("a guard");
        save("main.toml", Samples.nodes("main", 1, 1));
        assertEquals(2, await().nodes().get("main").size());
        assertEquals("a guard", refusal());
        await();  // looked at again, since what is in force may have changed by another source
        assertNull(verdicts.poll(), "told once");
        verdict = List.of();
        awaitNodes(2);
        assertEquals(List.of(), awaitVerdict());
    }

    // ---- what may stand where a file should

    private String first() {
        List<String> problems = watcher.first();
        assertNull(taken.peek());
        return String.join("\n", problems);
    }

    @Test
    void aFifoIsNotOpened() throws Exception {
        Files.delete(folder.resolve("main.toml"));
        assertEquals(0, new ProcessBuilder("mkfifo", folder.resolve("main.toml").toString()).start().waitFor());
        assertEquals("main.toml: expected a file, found something else", first());
    }

    @Test
    void aFolderIsNoFile() throws Exception {
        Files.delete(folder.resolve("main.toml"));
        Files.createDirectory(folder.resolve("main.toml"));
        assertEquals("main.toml: expected a file, found a folder", first());
    }

    /** A sparse file: 1 GB by its size. */
    @Test
    void aFileOfAGigabyteIsNotRead() throws Exception {
        try (RandomAccessFile file = new RandomAccessFile(folder.resolve("main.toml").toFile(), "rw")) {
            file.setLength(1 << 30);
        }
        assertEquals("main.toml: expected at most 16777216 bytes, found 1073741824", first());
    }

    @Test
    void aFileThatMayNotBeReadIsNamed() throws Exception {
        Files.setPosixFilePermissions(folder.resolve("main.toml"), PosixFilePermissions.fromString("---------"));
        assumeFalse(Files.isReadable(folder.resolve("main.toml")), "run by a user who may read everything");
        assertEquals("main.toml: expected a file that can be read, found one that may not be", first());
    }

    @Test
    void bytesThatAreNoTextAreNamedWithTheirPlace() throws Exception {
        byte[] bytes = Samples.nodes("main").getBytes(StandardCharsets.UTF_8);
        bytes[7 + 9] = (byte) 0xFF;
        Files.write(folder.resolve("main.toml"), bytes);
        assertEquals("main.toml:3:1: expected UTF-8, found a byte ff", first());
    }

    @Test
    void aNameThatIsNoPath() throws Exception {
        Files.writeString(folder.resolve("gateway.toml"), Samples.GATEWAY.replace("\"main.toml\"", "\"a\\u0000b\""));
        assertTrue(first().contains("expected a file that can be read"));
    }

    /** The hard case of a bad file while it runs: the old set stays, and a good one is taken after it. */
    @Test
    void afterEachOddThingAGoodFileIsTaken() throws Exception {
        start();
        Path file = folder.resolve("main.toml");
        Files.delete(file);
        Files.createDirectory(file);
        assertTrue(refusal().contains("found a folder"));
        Files.delete(file);
        Files.writeString(file, Samples.nodes("main", 6, 6));
        awaitNodes(12);
    }

    @Test
    void theStatusFileIsReplacedWhole() throws Exception {
        StatusFile status = new StatusFile(folder.resolve("gateway.toml"), "status");
        assertNull(status.read());
        status.write(Map.of("refused", List.of("x")));
        status.write(Map.of("refused", List.of()));
        assertEquals(Map.of("refused", List.of()), status.read());
        Files.writeString(folder.resolve("status"), "{");
        assertNull(status.read());
    }
}
