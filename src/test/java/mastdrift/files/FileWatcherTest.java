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

/** Every way in which files are replaced, and everything that may be found in place of a regular file. */
class FileWatcherTest {

    private static final int WAIT_SECONDS = 30;

    @TempDir
    private Path folder;

    private final BlockingQueue<Configuration> applied = new LinkedBlockingQueue<>();
    private final BlockingQueue<List<String>> results = new LinkedBlockingQueue<>();
    private volatile List<String> nextResult = List.of();
    private FileWatcher watcher;

    @BeforeEach
    void writeFiles() throws IOException {
        for (var file : Samples.files().entrySet()) {
            Files.writeString(folder.resolve(file.getKey()), file.getValue());
        }
        watcher = watcher(folder.resolve("gateway.toml"));
    }

    private FileWatcher watcher(Path file) {
        return new FileWatcher(file, new FileWatcher.Listener() {
            @Override
            public List<String> apply(Configuration configuration) {
                List<String> result = nextResult;  // read before the test can see the configuration and set the next result
                applied.add(configuration);
                return result;
            }

            @Override
            public void onResult(List<String> problems) {
                results.add(problems);
            }
        });
    }

    @AfterEach
    void close() {
        watcher.close();
    }

    private void start() throws InterruptedException {
        assertEquals(List.of(), watcher.readInitial());
        assertEquals(10, awaitConfiguration().nodes().get("main").size());
        assertEquals(List.of(), awaitResult());
        watcher.start();
    }

    private Configuration awaitConfiguration() throws InterruptedException {
        Configuration next = applied.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "no configuration was applied; results: " + results);
        return next;
    }

    private List<String> awaitResult() throws InterruptedException {
        List<String> next = results.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(next, "no result was reported");
        return next;
    }

    /** Waits for a configuration whose list main has this many nodes. */
    private void awaitNodes(int nodes) throws InterruptedException {
        for (Configuration next = awaitConfiguration(); next.nodes().get("main").size() != nodes;
                next = awaitConfiguration()) {
            assertNotNull(next);
        }
    }

    private String awaitProblems() throws InterruptedException {
        List<String> next = awaitResult();
        while (next.isEmpty()) {
            next = awaitResult();
        }
        return String.join("\n", next);
    }

    private void replaceByRename(String file, String text) throws IOException {
        Path temporaryFile = folder.resolve("." + file + ".swp");
        Files.writeString(temporaryFile, text);
        Files.move(temporaryFile, folder.resolve(file), StandardCopyOption.ATOMIC_MOVE);
    }

    // ---- how editors save

    @Test
    void appliesAFileThatIsTruncatedAndRewritten() throws Exception {
        start();
        Files.writeString(folder.resolve("main.toml"), Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    @Test
    void appliesAFileThatIsReplacedByRename() throws Exception {
        start();
        replaceByRename("main.toml", Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    /**
     * An editor that stalls half way: nothing of the incomplete file is applied, and the complete file is in the end.
     */
    @Test
    void rejectsAFileUntilItIsCompletelyWritten() throws Exception {
        start();
        String text = Samples.nodes("main", 6, 5);
        Path file = folder.resolve("main.toml");
        try (RandomAccessFile writer = new RandomAccessFile(file.toFile(), "rw")) {
            writer.setLength(0);
            writer.write(text.substring(0, text.length() / 2).getBytes(StandardCharsets.UTF_8));
            assertTrue(awaitProblems().contains("the file may be truncated"));
            assertNull(applied.peek());
            writer.write(text.substring(text.length() / 2).getBytes(StandardCharsets.UTF_8));
        }
        awaitNodes(11);
    }

    @Test
    void appliesAFileThatIsDeletedAndCreatedAgain() throws Exception {
        start();
        Files.delete(folder.resolve("main.toml"));
        assertEquals("main.toml: expected a file, found none", awaitProblems());
        Files.writeString(folder.resolve("main.toml"), Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    /**
     * As configuration is mounted in many installations: a symbolic link to a versioned folder, swapped by a rename.
     */
    @Test
    void followsASymbolicLinkThatIsSwapped() throws Exception {
        Path one = Files.createDirectory(folder.resolve("v1"));
        Path two = Files.createDirectory(folder.resolve("v2"));
        for (var file : Samples.files().entrySet()) {
            Files.writeString(one.resolve(file.getKey()), file.getValue());
            Files.writeString(two.resolve(file.getKey()),
                    file.getKey().equals("main.toml") ? Samples.nodes("main", 6, 5) : file.getValue());
        }
        Path link = Files.createSymbolicLink(folder.resolve("current"), one);
        watcher = watcher(link.resolve("gateway.toml"));
        start();
        Path nextLink = Files.createSymbolicLink(folder.resolve("next"), two);
        Files.move(nextLink, link, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        awaitNodes(11);
        for (int i = 0; i < 4; i++) {
            Files.writeString(two.resolve("main.toml"), Samples.nodes("main", 6, 6 + i));
            awaitNodes(12 + i);
        }
        close();
        assertEquals(2, watcher.registeredFolderCount(),
                "the link's folder and that of its current target, not of the previous one");
    }

    /** A folder is moved away and created again, which invalidates the registrations for file system events. */
    @Test
    void watchesAFolderThatIsCreatedAgain() throws Exception {
        Path configFolder = Files.createDirectory(folder.resolve("etc"));
        for (var file : Samples.files().entrySet()) {
            Files.writeString(configFolder.resolve(file.getKey()), file.getValue());
        }
        watcher = watcher(configFolder.resolve("gateway.toml"));
        start();
        Files.move(configFolder, folder.resolve("old"), StandardCopyOption.ATOMIC_MOVE);
        assertTrue(awaitProblems().contains("expected a file, found none"));
        Files.createDirectory(configFolder);
        for (var file : Samples.files().entrySet()) {
            Files.writeString(configFolder.resolve(file.getKey()), file.getValue());
        }
        Files.writeString(configFolder.resolve("main.toml"), Samples.nodes("main", 6, 5));
        awaitNodes(11);
    }

    /**
     * A file system that reports no changes: the file is written through a hard link in a folder that is not watched,
     * keeping size and modification time, so that only the content differs.
     */
    @Test
    void detectsAChangeOfContentAlone() throws Exception {
        Path file = folder.resolve("main.toml");
        // whole seconds: finer times may not read back as they were set
        FileTime time = FileTime.fromMillis(1_700_000_000_000L);
        Files.setLastModifiedTime(file, time);
        Path other = Files.createLink(Files.createDirectory(folder.resolve("elsewhere")).resolve("other"), file);
        start();
        replaceByRename("spare.toml", Samples.nodes("spare", 6, 5));
        assertEquals(11, awaitConfiguration().nodes().get("spare").size(), "all files were polled since the start");
        String text = Files.readString(file).replaceFirst("weight = 1.5", "weight = 1.6");
        try (RandomAccessFile writer = new RandomAccessFile(other.toFile(), "rw")) {
            writer.write(text.getBytes(StandardCharsets.UTF_8));
        }
        Files.setLastModifiedTime(other, time);
        assertEquals(1.6, awaitConfiguration().nodes().get("main").get(0).weight());
    }

    /**
     * Two files that are only valid together: for 300 ms a node that moves from one list to the other is in both lists.
     */
    @Test
    void rejectsInconsistentFilesUntilBothAreWritten() throws Exception {
        start();
        String spare = Samples.nodes("spare").replace("# end of 10 nodes", "").concat(
                "[[node]]\nuid = \"main-9\"\nendpoint = \"127.0.0.9:9\"\nzone = \"oviedo\"\n# end of 11 nodes\n");
        replaceByRename("spare.toml", spare);
        assertTrue(awaitProblems().contains("expected in one place alone, found \"main-9\""));
        TimeUnit.MILLISECONDS.sleep(300);  // simulates the operator's pace; no wait for the program
        replaceByRename("main.toml", Samples.nodes("main", 6, 3));
        Configuration next = awaitConfiguration();
        assertEquals(9, next.nodes().get("main").size());
        assertEquals(11, next.nodes().get("spare").size());
        assertEquals(List.of(), awaitResult());
    }

    @Test
    void watchesANewlyIncludedList() throws Exception {
        start();
        Files.writeString(folder.resolve("more.toml"), Samples.nodes("more"));
        replaceByRename("gateway.toml", Samples.GATEWAY.replace("[\"main.toml\"]", "[\"main.toml\", \"more.toml\"]"));
        awaitNodes(20);
        replaceByRename("more.toml", Samples.nodes("more", 1, 1));
        awaitNodes(12);
    }

    // ---- what is reported, and how often

    @Test
    void ignoresAFileSavedWithUnchangedContent() throws Exception {
        start();
        replaceByRename("main.toml", Samples.nodes("main"));
        replaceByRename("spare.toml", Samples.nodes("spare", 6, 5));
        assertEquals(11, awaitConfiguration().nodes().get("spare").size());
        assertEquals(List.of(), awaitResult());
        assertNull(applied.peek());
    }

    @Test
    void reportsARejectionOnceAndAppliesTheNextValidFiles() throws Exception {
        start();
        nextResult = List.of("a guard");
        replaceByRename("main.toml", Samples.nodes("main", 1, 1));
        assertEquals(2, awaitConfiguration().nodes().get("main").size());
        assertEquals("a guard", awaitProblems());
        awaitConfiguration();  // processed again, since another source may have changed the configuration in force
        assertNull(results.poll(), "reported once");
        nextResult = List.of();
        awaitNodes(2);
        assertEquals(List.of(), awaitResult());
    }

    // ---- what may be found in place of a file

    private String readInitialProblems() {
        List<String> problems = watcher.readInitial();
        assertNull(applied.peek());
        return String.join("\n", problems);
    }

    @Test
    void rejectsAFifoWithoutOpeningIt() throws Exception {
        Files.delete(folder.resolve("main.toml"));
        assertEquals(0, new ProcessBuilder("mkfifo", folder.resolve("main.toml").toString()).start().waitFor());
        assertEquals("main.toml: expected a file, found something else", readInitialProblems());
    }

    @Test
    void rejectsAFolder() throws Exception {
        Files.delete(folder.resolve("main.toml"));
        Files.createDirectory(folder.resolve("main.toml"));
        assertEquals("main.toml: expected a file, found a folder", readInitialProblems());
    }

    /** A sparse file of 1 GiB. */
    @Test
    void rejectsAFileAboveTheSizeLimit() throws Exception {
        try (RandomAccessFile file = new RandomAccessFile(folder.resolve("main.toml").toFile(), "rw")) {
            file.setLength(1 << 30);
        }
        assertEquals("main.toml: expected at most 16777216 bytes, found 1073741824", readInitialProblems());
    }

    @Test
    void reportsAFileWithoutReadPermission() throws Exception {
        Files.setPosixFilePermissions(folder.resolve("main.toml"), PosixFilePermissions.fromString("---------"));
        assumeFalse(Files.isReadable(folder.resolve("main.toml")), "run by a user who may read everything");
        assertEquals("main.toml: expected a file that can be read, found one without read permission",
                readInitialProblems());
    }

    @Test
    void reportsInvalidUtf8WithItsLocation() throws Exception {
        byte[] bytes = Samples.nodes("main").getBytes(StandardCharsets.UTF_8);
        bytes[7 + 9] = (byte) 0xFF;
        Files.write(folder.resolve("main.toml"), bytes);
        assertEquals("main.toml:3:1: expected UTF-8, found a byte ff", readInitialProblems());
    }

    @Test
    void rejectsAnInvalidPath() throws Exception {
        Files.writeString(folder.resolve("gateway.toml"), Samples.GATEWAY.replace("\"main.toml\"", "\"a\\u0000b\""));
        assertTrue(readInitialProblems().contains("expected a file that can be read"));
    }

    /** An invalid file at run time: the old configuration stays, and a good file is applied afterwards. */
    @Test
    void appliesAValidFileAfterAFolderInItsPlace() throws Exception {
        start();
        Path file = folder.resolve("main.toml");
        Files.delete(file);
        Files.createDirectory(file);
        assertTrue(awaitProblems().contains("found a folder"));
        Files.delete(file);
        Files.writeString(file, Samples.nodes("main", 6, 6));
        awaitNodes(12);
    }

    @Test
    void statusFileIsReplacedAndReadAsNullIfInvalid() throws Exception {
        StatusFile status = new StatusFile(folder.resolve("gateway.toml"), "status");
        assertNull(status.read());
        status.write(Map.of("refused", List.of("x")));
        status.write(Map.of("refused", List.of()));
        assertEquals(Map.of("refused", List.of()), status.read());
        Files.writeString(folder.resolve("status"), "{");
        assertNull(status.read());
    }
}
