package mastdrift.distribution.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import mastdrift.distribution.Table;
import mastdrift.events.Events;
import org.junit.jupiter.api.Test;

class TableWriterTest {

    private static final Clock CLOCK = Clock.fixed(Instant.ofEpochMilli(77_000), ZoneOffset.UTC);

    private final MemoryFiles files = new MemoryFiles(Long.MAX_VALUE, new Random(1));
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final Events hears = (level, name, text, fields) -> events.add(level + " " + name);

    private TableWriter writer(int retryMillis) {
        TableFolder folder = new TableFolder(files);
        return new TableWriter(folder, folder.read().table(), CLOCK, hears, retryMillis);
    }

    private Table found() {
        return new TableFolder(files).read().table();
    }

    private static void until(BooleanSupplier met) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!met.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "in time");
            Thread.sleep(2);
        }
    }

    @Test
    void whatIsGivenIsWrittenAtTheLatestByTheClose() throws Exception {
        Growing tables = new Growing(1);
        try (TableWriter writer = writer(1)) {
            for (int i = 0; i < 200; i++) {
                var delta = tables.change(100);
                writer.submit(tables.table(), i == 150 ? List.of() : List.of(delta));
                if (i == 100) {
                    until(() -> writer.status().writtenRevision() != null);
                }
            }
        }
        assertEquals(tables.table().revision(), found().revision());
        assertEquals(77_000, new TableFolder(files).read().writtenAtMillis());
        assertTrue(events.isEmpty());
    }

    /** The disk is full for a while: one event, nobody waits, and it is whole again later. */
    @Test
    void aFullDiskIsSaidOnceAndWrittenAnewLater() throws Exception {
        Growing tables = new Growing(3);
        try (TableWriter writer = writer(20)) {
            var first = tables.change(100);
            writer.submit(tables.table(), List.of(first));
            until(() -> writer.status().writtenRevision() != null);
            files.full(true);
            for (int i = 0; i < 50; i++) {
                var delta = tables.change(100);
                writer.submit(tables.table(), List.of(delta));
            }
            until(() -> files.failed() > 3);  // tried again and again
            assertEquals("ERROR config_folder_unwritten", events.poll(30, TimeUnit.SECONDS));
            assertNotNull(writer.status().failure());
            assertNull(writer.status().writtenRevision());
            files.full(false);
            assertEquals("INFO config_folder_written", events.poll(30, TimeUnit.SECONDS));
            assertEquals(tables.table().revision(), writer.status().writtenRevision());
            assertNull(writer.status().failure());
            assertEquals(tables.table().revision(), found().revision());
            var next = tables.change(100);
            writer.submit(tables.table(), List.of(next));
            until(() -> tables.table().revision().equals(writer.status().writtenRevision()));
        }
        assertEquals(tables.table().revision(), found().revision());
        assertTrue(events.isEmpty());
    }

    /** A disk that hangs costs no more than the bound of what waits; then the table is written whole. */
    @Test
    void whatWaitsForASlowDiskIsBounded() throws Exception {
        Growing tables = new Growing(4);
        try (TableWriter writer = writer(1)) {
            synchronized (files) {  // every step waits for that
                var first = tables.change(100);
                writer.submit(tables.table(), List.of(first));
                for (int i = 0; i < 1_000; i++) {
                    var delta = tables.change(15_000);  // more than 20 MB in all
                    writer.submit(tables.table(), List.of(delta));
                }
            }
            until(() -> tables.table().revision().equals(writer.status().writtenRevision()));
        }
        assertEquals(tables.table().revision(), found().revision());
        byte[] journal = files.bytes(TableFolder.JOURNAL);
        assertTrue(journal == null || journal.length < 1 << 20, "written whole");
    }
}
