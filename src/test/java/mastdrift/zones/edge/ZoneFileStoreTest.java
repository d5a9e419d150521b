package mastdrift.zones.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import mastdrift.zones.Escrow;
import mastdrift.zones.ZoneSnapshot;
import mastdrift.zones.ZoneSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Writes to the state directory that fail for a while. */
class ZoneFileStoreTest {

    private static final int WAIT_SECONDS = 30;
    private static final String STATE_FILE = "zones-g.state";
    private static final String ANNOUNCEMENT_FILE = "budgets-g.json";

    @TempDir
    private Path folder;

    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();

    private ZoneFileStore open() {
        ZoneSettings settings = new ZoneSettings(List.of(), List.of(), List.of(), List.of(), 1, null, ".", ".");
        return new ZoneFileStore(folder.resolve("gateway.toml"), "g", settings, word -> { }, log::add);
    }

    private static ZoneSnapshot snapshot(long at) {
        return new ZoneSnapshot("g", "bilbao", at, Map.of(), List.of(), List.of(), Map.of());
    }

    private static Escrow.Announcement announcement(long at) {
        return new Escrow.Announcement("g", at, Map.of());
    }

    private void awaitFile(String name) throws InterruptedException {
        for (long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
                !Files.exists(folder.resolve(name)); Thread.sleep(10)) {
            assertTrue(System.nanoTime() < until, "no " + name + ": " + log);
        }
    }

    /**
     * Opening the new file fails, or the rename: the state is not written, peers are not told what depends on it, and
     * it is logged; later writes succeed without a restart.
     */
    @ParameterizedTest
    @ValueSource(strings = {"." + STATE_FILE + ".new", STATE_FILE})
    void unwrittenStateIsNotAnnouncedAndIsWrittenLater(String blocked) throws Exception {
        Path blockingDirectory = Files.createDirectory(folder.resolve(blocked));
        // the directory must not be empty, or a file could replace it
        Path fileInDirectory = Files.createFile(blockingDirectory.resolve("x"));
        try (ZoneFileStore files = open()) {
            files.write(snapshot(1), announcement(1));
            String logged = log.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(logged);
            assertTrue(logged.contains(STATE_FILE + " was not written"), logged);
            assertFalse(Files.exists(folder.resolve(ANNOUNCEMENT_FILE)), "announced to peers what is not on disk");
            Files.delete(fileInDirectory);
            Files.delete(blockingDirectory);
            files.write(snapshot(2), announcement(2));
            awaitFile(ANNOUNCEMENT_FILE);
            assertTrue(Files.isRegularFile(folder.resolve(STATE_FILE)));
        }
        try (ZoneFileStore files = open()) {
            assertEquals(2, files.readSnapshot().timeMillis());
        }
    }

    /** A process that is killed while it writes the new file leaves the old one in force. */
    @Test
    void partlyWrittenTemporaryFileIsIgnored() throws Exception {
        try (ZoneFileStore files = open()) {
            files.write(snapshot(1), announcement(1));
            awaitFile(ANNOUNCEMENT_FILE);
        }
        Files.write(folder.resolve("." + STATE_FILE + ".new"), new byte[] {'{', '"'});
        try (ZoneFileStore files = open()) {
            assertEquals(1, files.readSnapshot().timeMillis());
            files.write(snapshot(2), announcement(2));
        }
        try (ZoneFileStore files = open()) {
            assertEquals(2, files.readSnapshot().timeMillis());
        }
    }
}
