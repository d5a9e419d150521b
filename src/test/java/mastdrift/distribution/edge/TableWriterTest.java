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

    private final InMemoryFiles files = new InMemoryFiles(Long.MAX_VALUE, new Random(1));
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final Events eventSink = (level, name, text, fields) -> events.add(level + " " + name);

    private TableWriter writer(int retryMillis) {
        TableFolder folder = new TableFolder(files);
        return new TableWriter(folder, folder.read().table(), CLOCK, eventSink, retryMillis);
    }

    private Table readTable() {
        return new TableFolder(files).read().table();
    }

    private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "in time");
            Thread.sleep(2);
        }
    }

    @Test
    void submittedTablesAreOnDiskWhenClosed() throws Exception {
        RandomTable tables = new RandomTable(1);
        try (TableWriter writer = writer(1)) {
            for (int i = 0; i < 200; i++) {
                var delta = tables.applyChange(100);
                writer.submit(tables.table(), i == 150 ? List.of() : List.of(delta));
                if (i == 100) {
                    awaitTrue(() -> writer.status().writtenRevision() != null);
                }
            }
        }
        assertEquals(tables.table().revision(), readTable().revision());
        assertEquals(77_000, new TableFolder(files).read().writtenAtMillis());
        assertTrue(events.isEmpty());
    }

    /**
     * While the disk is full, one event is emitted and no caller blocks; the table is written once there is space
     * again.
     */
    @Test
    void fullDiskIsReportedOnceAndTableIsWrittenWhenSpaceReturns() throws Exception {
        RandomTable tables = new RandomTable(3);
        try (TableWriter writer = writer(20)) {
            var first = tables.applyChange(100);
            writer.submit(tables.table(), List.of(first));
            awaitTrue(() -> writer.status().writtenRevision() != null);
            files.setDiskFull(true);
            for (int i = 0; i < 50; i++) {
                var delta = tables.applyChange(100);
                writer.submit(tables.table(), List.of(delta));
            }
            awaitTrue(() -> files.failedWrites() > 3);  // retried repeatedly
            assertEquals("ERROR config_folder_unwritten", events.poll(30, TimeUnit.SECONDS));
            assertNotNull(writer.status().failure());
            assertNull(writer.status().writtenRevision());
            files.setDiskFull(false);
            assertEquals("INFO config_folder_written", events.poll(30, TimeUnit.SECONDS));
            assertEquals(tables.table().revision(), writer.status().writtenRevision());
            assertNull(writer.status().failure());
            assertEquals(tables.table().revision(), readTable().revision());
            var next = tables.applyChange(100);
            writer.submit(tables.table(), List.of(next));
            awaitTrue(() -> tables.table().revision().equals(writer.status().writtenRevision()));
        }
        assertEquals(tables.table().revision(), readTable().revision());
        assertTrue(events.isEmpty());
    }

    /** While the disk hangs, the pending deltas stay within their limit; then the table is written whole. */
    @Test
    void pendingDeltasAreBoundedWhenTheDiskHangs() throws Exception {
        RandomTable tables = new RandomTable(4);
        try (TableWriter writer = writer(1)) {
            synchronized (files) {  // every file operation waits for this lock
                var first = tables.applyChange(100);
                writer.submit(tables.table(), List.of(first));
                for (int i = 0; i < 1_000; i++) {
                    var delta = tables.applyChange(15_000);  // more than 20 MB in all
                    writer.submit(tables.table(), List.of(delta));
                }
            }
            awaitTrue(() -> tables.table().revision().equals(writer.status().writtenRevision()));
        }
        assertEquals(tables.table().revision(), readTable().revision());
        byte[] journal = files.bytes(TableFolder.JOURNAL);
        assertTrue(journal == null || journal.length < 1 << 20, "written whole");
    }
}
