package mastdrift.distribution.edge;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Table;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The on-disk copy: whatever happens to its bytes, what is read is a table that was written, and the newest one on disk
 * unless bytes were corrupted.
 */
class TableFolderTest {

    private static InMemoryFiles inMemoryFiles() {
        return new InMemoryFiles(Long.MAX_VALUE, new Random(1));
    }

    private static TableFolder.ReadResult read(InMemoryFiles files) {
        return new TableFolder(files).read();
    }

    /** Appends the deltas with the table as it is at the time of the call. */
    private static void append(TableFolder folder, long wallMillis, RandomTable tables, List<Delta> deltas) throws IOException {
        folder.append(wallMillis, tables.table(), deltas);
    }

    private static void assertSameTable(Table expected, Table found) {
        assertEquals(expected.revision(), found.revision());
        assertEquals(expected.size(), found.size());
        assertArrayEquals(expected.digests(), found.digests());
    }

    @Test
    void writtenTableIsReadBackWithItsAge() throws IOException {
        InMemoryFiles files = inMemoryFiles();
        TableFolder folder = new TableFolder(files);
        assertEquals(new TableFolder.ReadResult(null, 0, null), folder.read());
        RandomTable tables = new RandomTable(1);
        folder.write(1_000, tables.table());
        assertSameTable(tables.table(), read(files).table());
        for (int i = 0; i < 20; i++) {
            List<Delta> deltas = new ArrayList<>();
            for (int j = 0; j <= i % 3; j++) {
                deltas.add(tables.applyChange(100));
            }
            append(folder, 2_000 + i, tables, deltas);
            TableFolder.ReadResult found = read(files);
            assertSameTable(tables.table(), found.table());
            assertNull(found.problem());
            assertEquals(2_000 + i, found.writtenAtMillis());
            assertEquals(500, found.ageMillis(2_500 + i));
            assertEquals(0, found.ageMillis(10), "the clock was set back");
        }
        tables.applyChanges(30);
        append(folder, 3_000, tables, List.of());
        assertSameTable(tables.table(), read(files).table());
        Delta late = tables.applyChange(10);
        append(folder, 3_001, tables, List.of(late));
        tables.applyChange(10);
        append(folder, 3_002, tables, List.of(tables.applyChange(10)));  // the delta before it is missing
        assertSameTable(tables.table(), read(files).table());
        TableFolder again = new TableFolder(files);
        again.read();
        append(again, 3_003, tables, List.of(tables.applyChange(10)));  // as the next process would
        assertSameTable(tables.table(), read(files).table());
    }

    /** A large table, whose snapshot has many chunks. */
    @Test
    void snapshotOfManyChunksIsReadBack() throws IOException {
        InMemoryFiles files = inMemoryFiles();
        RandomTable tables = new RandomTable(2);
        for (int i = 0; i < 200; i++) {
            tables.applyChange(3_000);
        }
        new TableFolder(files).write(1, tables.table());
        Table found = read(files).table();
        assertSameTable(tables.table(), found);
        for (int i = 0; i < Table.SHARDS; i++) {
            assertEquals(tables.table().shard(i), found.shard(i));
        }
        assertTrue(files.bytes(TableFolder.SNAPSHOT).length > 300_000);
    }

    /** Every prefix of the journal, and a sample of the prefixes of the snapshot. */
    @Test
    void truncatedJournalYieldsAWrittenTableAndCanBeAppendedTo() throws IOException {
        InMemoryFiles files = inMemoryFiles();
        TableFolder folder = new TableFolder(files);
        RandomTable tables = new RandomTable(3);
        folder.write(0, tables.table());
        List<Table> all = new ArrayList<>(List.of(tables.table()));
        List<Integer> ends = new ArrayList<>(List.of(0));
        for (int i = 0; i < 8; i++) {
            Delta delta = tables.applyChange(20);
            all.add(tables.table());
            append(folder, i, tables, List.of(delta));
            ends.add(files.bytes(TableFolder.JOURNAL).length);
        }
        byte[] snapshot = files.bytes(TableFolder.SNAPSHOT);
        byte[] journal = files.bytes(TableFolder.JOURNAL);
        RandomTable later = new RandomTable(tables.table(), 4);
        later.applyChange(50);
        for (int length = 0; length <= journal.length; length++) {
            InMemoryFiles cut = inMemoryFiles().put(TableFolder.SNAPSHOT, snapshot).put(TableFolder.JOURNAL, Arrays.copyOf(journal, length));
            TableFolder.ReadResult found = read(cut);
            int newest = 0;
            while (newest + 1 < ends.size() && ends.get(newest + 1) <= length) {
                newest++;
            }
            assertSameTable(all.get(newest), found.table());
            if (length % 31 == 0 || length == journal.length) {
                TableFolder again = new TableFolder(cut);
                again.read();
                RandomTable from = new RandomTable(all.get(newest), 5);
                append(again, 99, from, List.of(from.applyChange(30)));
                assertSameTable(from.table(), read(cut).table());
                assertNull(read(cut).problem(), "the torn record is cut off");
                append(again, 99, later, List.of());
                assertSameTable(later.table(), read(cut).table());
            }
        }
        for (int length = 0; length < snapshot.length; length += 3) {
            TableFolder.ReadResult found = read(inMemoryFiles().put(TableFolder.SNAPSHOT, Arrays.copyOf(snapshot, length)).put(TableFolder.JOURNAL, journal));
            assertNull(found.table());
            assertNotNull(found.problem());
        }
    }

    /**
     * Kills the process, or crashes the machine, at each step of a series of writes that includes a compaction, and
     * continues with what is found.
     */
    @Test
    void crashAtAnyStepLosesOnlyTheWriteInProgress() {
        long steps = 0;
        boolean ended = false;
        RandomTable tables = new RandomTable(7);
        List<Table> nextTables = new ArrayList<>();
        List<List<Delta>> deltasToNext = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            deltasToNext.add(i == 8 ? List.of() : i % 2 == 1 ? List.of(tables.applyChange(14_000), tables.applyChange(14_000)) : List.of(tables.applyChange(14_000)));
            nextTables.add(tables.table());
        }
        while (!ended) {
            InMemoryFiles files = new InMemoryFiles(steps, new Random(steps));
            long[] lastReturned = {-1};
            try {
                writeAll(files, nextTables, deltasToNext, lastReturned);
                ended = true;
            } catch (InMemoryFiles.ProcessKilled e) {
                assertTrue(files.stepsDone() <= steps);
            }
            for (boolean machineCrash : new boolean[] {false, true}) {
                InMemoryFiles remainingFiles = files.afterCrash(machineCrash);
                TableFolder next = new TableFolder(remainingFiles);
                TableFolder.ReadResult found = next.read();
                long number = found.table() == null ? -1 : found.table().revision().number();
                assertTrue(number >= lastReturned[0], "step " + steps + ": expected " + lastReturned[0] + " or a later one, found " + number + ", " + found.problem());
                if (number >= 0) {
                    assertSameTable(tables.tableAt(number), found.table());
                }
                assertWritable(remainingFiles, next, found.table());
            }
            steps++;
        }
        assertTrue(steps > 80, steps + " steps");
    }

    private static void writeAll(InMemoryFiles files, List<Table> nextTables, List<List<Delta>> deltasToNext, long[] lastReturned) {
        TableFolder folder = new TableFolder(files);
        folder.read();
        boolean compacted = false;
        try {
            for (int i = 0; i < nextTables.size(); i++) {
                long before = files.length(TableFolder.SNAPSHOT);
                folder.append(i, nextTables.get(i), deltasToNext.get(i));
                compacted |= i > 0 && i < 8 && files.length(TableFolder.SNAPSHOT) != before;
                lastReturned[0] = nextTables.get(i).revision().number();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        assertTrue(compacted, "the journal is compacted on the way");
    }

    private static void assertWritable(InMemoryFiles files, TableFolder folder, Table found) {
        RandomTable tables = found == null ? new RandomTable(8) : new RandomTable(found, 8);
        try {
            append(folder, 50, tables, List.of(tables.applyChange(100)));
            assertSameTable(tables.table(), read(files).table());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Corrupt bytes anywhere: a table that was written is read, or none; never another. */
    @Test
    void corruptBytesNeverYieldATableThatWasNotWritten() throws IOException {
        InMemoryFiles files = inMemoryFiles();
        TableFolder folder = new TableFolder(files);
        RandomTable tables = new RandomTable(9);
        for (int i = 0; i < 6; i++) {
            tables.applyChange(60);
        }
        folder.write(0, tables.table());
        List<Table> all = new ArrayList<>(List.of(tables.table()));
        for (int i = 0; i < 6; i++) {
            Delta delta = tables.applyChange(60);
            all.add(tables.table());
            append(folder, i, tables, List.of(delta));
        }
        Random random = new Random(10);
        for (String name : List.of(TableFolder.SNAPSHOT, TableFolder.JOURNAL)) {
            byte[] good = files.bytes(name);
            for (int at = 0; at < good.length; at++) {
                byte[] corrupt = good.clone();
                corrupt[at] ^= (byte) (1 + random.nextInt(255));
                InMemoryFiles corruptFiles = inMemoryFiles().put(TableFolder.SNAPSHOT, files.bytes(TableFolder.SNAPSHOT)).put(TableFolder.JOURNAL, files.bytes(TableFolder.JOURNAL))
                        .put(name, corrupt);
                TableFolder.ReadResult found = read(corruptFiles);
                assertNotNull(found.problem(), name + " byte " + at);
                assertEquals(name.equals(TableFolder.SNAPSHOT), found.table() == null);
                if (found.table() != null) {
                    assertSameTable(all.stream().filter(each -> each.revision().equals(found.table().revision())).findAny().orElseThrow(), found.table());
                }
            }
        }
    }

    /** With a full disk the previous copy stays, and the next write that has space replaces it. */
    @Test
    void previousCopyIsKeptWhenTheDiskIsFull() throws IOException {
        InMemoryFiles files = inMemoryFiles();
        TableFolder folder = new TableFolder(files);
        RandomTable tables = new RandomTable(11);
        folder.write(0, tables.table());
        for (int i = 0; i < 10; i++) {
            Table before = tables.table();
            List<Delta> deltas = i % 3 == 0 ? List.of() : List.of(tables.applyChange(5_000));
            files.setDiskFull(true);
            Table next = tables.table();
            assertThrows(IOException.class, () -> folder.append(1, next, deltas));
            assertSameTable(before, read(files).table());
            assertNull(files.bytes(TableFolder.SNAPSHOT_TEMP), "the incomplete snapshot is deleted");
            files.setDiskFull(false);
            append(folder, 2, tables, List.of(tables.applyChange(100)));
            assertSameTable(tables.table(), read(files).table());
        }
    }

    /**
     * The journal is compacted when it is larger than the snapshot and the minimum; both files stay bounded however
     * many changes there are.
     */
    @Test
    void journalIsCompactedAndBothFilesStayBounded() throws IOException {
        InMemoryFiles files = inMemoryFiles();
        TableFolder folder = new TableFolder(files);
        folder.read();
        RandomTable tables = new RandomTable(12);
        int compactions = 0;
        int before = 0;
        for (int i = 0; i < 150; i++) {
            List<Delta> deltas = List.of(tables.applyChange(4_000));
            append(folder, i, tables, deltas);
            byte[] journal = files.bytes(TableFolder.JOURNAL);
            int length = journal == null || folder.sizeBytes() == files.bytes(TableFolder.SNAPSHOT).length ? 0 : journal.length;
            compactions += length < before ? 1 : 0;
            before = length;
            assertTrue(length <= Math.max(TableFolder.COMPACTION_MIN_BYTES, files.bytes(TableFolder.SNAPSHOT).length), length + " bytes");
        }
        assertTrue(compactions >= 1 && compactions < 20, compactions + " compactions");
        assertSameTable(tables.table(), read(files).table());
    }

    // ---- on a disk

    @Test
    void restoredOlderFolderIsReadWithItsTimeAndCatchesUp(@TempDir Path folder, @TempDir Path backup) throws IOException {
        TableFolder first = new TableFolder(folder);
        assertNull(first.read().table());
        RandomTable tables = new RandomTable(13);
        append(first, 0, tables, List.of(tables.applyChange(100)));
        append(first, 1, tables, List.of(tables.applyChange(100)));
        Table old = tables.table();
        copy(folder, backup);
        List<Delta> missed = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            missed.add(tables.applyChange(100));
            append(first, 2 + i, tables, missed.subList(i, i + 1));
        }
        assertSameTable(tables.table(), new TableFolder(folder).read().table());
        copy(backup, folder);
        TableFolder restored = new TableFolder(folder);
        TableFolder.ReadResult found = restored.read();
        assertSameTable(old, found.table());
        assertEquals(1, found.writtenAtMillis(), "the time of the older copy");
        append(restored, 9, tables, missed);
        assertSameTable(tables.table(), new TableFolder(folder).read().table());
        Files.copy(backup.resolve(TableFolder.SNAPSHOT), folder.resolve(TableFolder.SNAPSHOT), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        assertNotNull(new TableFolder(folder).read().table(), "an older snapshot with a newer journal");
    }

    private static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.list(from)) {
            for (Path each : files.toList()) {
                Files.copy(each, to.resolve(each.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    @Test
    void unknownVersionOrForeignFileIsReportedAndReplaced(@TempDir Path folder) throws IOException {
        RandomTable tables = new RandomTable(14);
        new TableFolder(folder).write(5, tables.table());
        Path snapshot = folder.resolve(TableFolder.SNAPSHOT);
        InMemoryFiles later = inMemoryFiles();
        byte[] bytes = Files.readAllBytes(snapshot);
        bytes[12] = TableFolder.VERSION + 1;
        updateChecksum(bytes, 13);
        later.put(TableFolder.SNAPSHOT, bytes);
        assertEquals("snapshot: expected version 1 at most, found version 2", read(later).problem());
        bytes[8] = 'x';
        updateChecksum(bytes, 13);
        assertEquals("snapshot: expected a table's copy, found another file", read(later.put(TableFolder.SNAPSHOT, bytes)).problem());
        Files.write(snapshot, new byte[1_000]);
        TableFolder again = new TableFolder(folder);
        assertTrue(again.read().problem().startsWith("snapshot: expected a matching checksum at byte 0"), "zeros are not a valid record");
        append(again, 6, tables, List.of(tables.applyChange(10)));
        assertSameTable(tables.table(), new TableFolder(folder).read().table());
        Files.delete(snapshot);
        Files.createDirectory(snapshot);
        assertNotNull(new TableFolder(folder).read().problem());
        assertThrows(IOException.class, () -> new TableFolder(Files.createFile(folder.resolve("file"))));
    }

    /** Real processes that are killed without warning while they write. */
    @Test
    void killedProcessLeavesAtLeastTheTablesItReportedOnDisk(@TempDir Path all) throws Exception {
        for (int seed = 1; seed <= 2; seed++) {
            Path folder = all.resolve("of" + seed);
            Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                    WriterProcess.class.getName(), folder.toString(), String.valueOf(seed)).redirectError(ProcessBuilder.Redirect.INHERIT).start();
            long lastPrinted = 0;
            try (BufferedReader lines = process.inputReader()) {
                String line = "0";
                while (lastPrinted < 40 + 7 * seed && line != null) {
                    line = lines.readLine();
                    lastPrinted = line == null ? lastPrinted : Long.parseLong(line);
                }
                process.destroyForcibly().waitFor();
                for (line = lines.readLine(); line != null && line.matches("[0-9]+"); line = lines.readLine()) {
                    // what it had printed by then; the last line may be truncated
                    lastPrinted = Math.max(lastPrinted, Long.parseLong(line));
                }
            } catch (IOException e) {
                assertTrue(lastPrinted >= 40, "it was killed while a line was read: " + e);
            } finally {
                process.destroyForcibly().waitFor();
            }
            TableFolder.ReadResult found = new TableFolder(folder).read();
            RandomTable tables = new RandomTable(seed);
            assertNotNull(found.table(), found.problem());
            while (tables.table().revision().number() < found.table().revision().number()) {
                tables.applyChange(3_000);
            }
            assertSameTable(tables.table(), found.table());
            assertTrue(found.table().revision().number() >= lastPrinted, "expected " + lastPrinted + ", found " + found.table().revision().number());
        }
    }

    /** A file larger than any that is written is not read, whatever it contains. */
    @Test
    void oversizedFileIsNotReadAndIsReplaced(@TempDir Path folder) throws IOException {
        RandomTable tables = new RandomTable(15);
        TableFolder copy = new TableFolder(folder);
        append(copy, 1, tables, List.of());
        append(copy, 2, tables, List.of(tables.applyChange(10)));
        for (String name : List.of(TableFolder.JOURNAL, TableFolder.SNAPSHOT)) {
            try (RandomAccessFile file = new RandomAccessFile(folder.resolve(name).toFile(), "rw")) {
                file.setLength(TableFolder.MAX_FILE_BYTES + 1);  // a sparse file, which takes no disk space
            }
            TableFolder.ReadResult found = new TableFolder(folder).read();
            assertTrue(found.problem().contains("expected at most " + TableFolder.MAX_FILE_BYTES + " bytes"), found.problem());
            assertEquals(name.equals(TableFolder.SNAPSHOT), found.table() == null);
        }
        append(copy, 3, tables, List.of());
        assertSameTable(tables.table(), new TableFolder(folder).read().table());
        append(copy, 4, tables, List.of(tables.applyChange(10)));
        assertTrue(Files.size(folder.resolve(TableFolder.JOURNAL)) < 1_000, "truncated where it is appended to");
    }

    /** Recomputes the checksum of the header record. */
    private static void updateChecksum(byte[] bytes, int headerBytes) {
        java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
        checksum.update(bytes, 0, 4);
        checksum.update(bytes, 8, headerBytes);
        java.nio.ByteBuffer.wrap(bytes).putInt(4, (int) checksum.getValue());
    }
}
