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

/** The copy on disk: whatever happens to its bytes, what is read was written, and was the newest on disk unless bytes were spoilt. */
class TableFolderTest {

    private static MemoryFiles memory() {
        return new MemoryFiles(Long.MAX_VALUE, new Random(1));
    }

    private static TableFolder.ReadResult read(MemoryFiles files) {
        return new TableFolder(files).read();
    }

    /** What was given with the table that is there then. */
    private static void append(TableFolder folder, long wall, Growing tables, List<Delta> deltas) throws IOException {
        folder.append(wall, tables.table(), deltas);
    }

    private static void same(Table expected, Table found) {
        assertEquals(expected.revision(), found.revision());
        assertEquals(expected.size(), found.size());
        assertArrayEquals(expected.digests(), found.digests());
    }

    @Test
    void whatIsWrittenIsReadWithItsAge() throws IOException {
        MemoryFiles files = memory();
        TableFolder folder = new TableFolder(files);
        assertEquals(new TableFolder.ReadResult(null, 0, null), folder.read());
        Growing tables = new Growing(1);
        folder.write(1_000, tables.table());
        same(tables.table(), read(files).table());
        for (int i = 0; i < 20; i++) {
            List<Delta> deltas = new ArrayList<>();
            for (int j = 0; j <= i % 3; j++) {
                deltas.add(tables.change(100));
            }
            append(folder, 2_000 + i, tables, deltas);
            TableFolder.ReadResult found = read(files);
            same(tables.table(), found.table());
            assertNull(found.problem());
            assertEquals(2_000 + i, found.writtenAtMillis());
            assertEquals(500, found.ageMillis(2_500 + i));
            assertEquals(0, found.ageMillis(10), "by a clock that was set back");
        }
        tables.jump(30);
        append(folder, 3_000, tables, List.of());
        same(tables.table(), read(files).table());
        Delta late = tables.change(10);
        append(folder, 3_001, tables, List.of(late));
        tables.change(10);
        append(folder, 3_002, tables, List.of(tables.change(10)));  // one between wasn't given
        same(tables.table(), read(files).table());
        TableFolder again = new TableFolder(files);
        again.read();
        append(again, 3_003, tables, List.of(tables.change(10)));  // by the next process
        same(tables.table(), read(files).table());
    }

    /** A large table, of many chunks. */
    @Test
    void aSnapshotOfManyChunksIsReadAgain() throws IOException {
        MemoryFiles files = memory();
        Growing tables = new Growing(2);
        for (int i = 0; i < 200; i++) {
            tables.change(3_000);
        }
        new TableFolder(files).write(1, tables.table());
        Table found = read(files).table();
        same(tables.table(), found);
        for (int i = 0; i < Table.SHARDS; i++) {
            assertEquals(tables.table().shard(i), found.shard(i));
        }
        assertTrue(files.bytes(TableFolder.SNAPSHOT).length > 300_000);
    }

    /** Whatever prefix of either file is on disk. */
    @Test
    void anyPrefixOfTheJournalIsATableThatWasWrittenAndWrittenOn() throws IOException {
        MemoryFiles files = memory();
        TableFolder folder = new TableFolder(files);
        Growing tables = new Growing(3);
        folder.write(0, tables.table());
        List<Table> all = new ArrayList<>(List.of(tables.table()));
        List<Integer> ends = new ArrayList<>(List.of(0));
        for (int i = 0; i < 8; i++) {
            Delta delta = tables.change(20);
            all.add(tables.table());
            append(folder, i, tables, List.of(delta));
            ends.add(files.bytes(TableFolder.JOURNAL).length);
        }
        byte[] snapshot = files.bytes(TableFolder.SNAPSHOT);
        byte[] journal = files.bytes(TableFolder.JOURNAL);
        Growing on = new Growing(tables.table(), 4);
        on.change(50);
        for (int length = 0; length <= journal.length; length++) {
            MemoryFiles cut = memory().put(TableFolder.SNAPSHOT, snapshot).put(TableFolder.JOURNAL, Arrays.copyOf(journal, length));
            TableFolder.ReadResult found = read(cut);
            int newest = 0;
            while (newest + 1 < ends.size() && ends.get(newest + 1) <= length) {
                newest++;
            }
            same(all.get(newest), found.table());
            if (length % 31 == 0 || length == journal.length) {
                TableFolder again = new TableFolder(cut);
                again.read();
                Growing from = new Growing(all.get(newest), 5);
                append(again, 99, from, List.of(from.change(30)));
                same(from.table(), read(cut).table());
                assertNull(read(cut).problem(), "what was torn is cut off");
                append(again, 99, on, List.of());
                same(on.table(), read(cut).table());
            }
        }
        for (int length = 0; length < snapshot.length; length += 3) {
            TableFolder.ReadResult found = read(memory().put(TableFolder.SNAPSHOT, Arrays.copyOf(snapshot, length)).put(TableFolder.JOURNAL, journal));
            assertNull(found.table());
            assertNotNull(found.problem());
        }
    }

    /** Ends the process, or the machine with it, at each step of a row of writes that folds its journal, and goes on with what is found. */
    @Test
    void aKillAtEachStepLosesAtMostWhatWasBeingWritten() {
        long steps = 0;
        boolean ended = false;
        Growing tables = new Growing(7);
        List<Table> nexts = new ArrayList<>();
        List<List<Delta>> led = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            led.add(i == 8 ? List.of() : i % 2 == 1 ? List.of(tables.change(14_000), tables.change(14_000)) : List.of(tables.change(14_000)));
            nexts.add(tables.table());
        }
        while (!ended) {
            MemoryFiles files = new MemoryFiles(steps, new Random(steps));
            long[] returned = {-1};
            try {
                scenario(files, nexts, led, returned);
                ended = true;
            } catch (MemoryFiles.Killed e) {
                assertTrue(files.done() <= steps);
            }
            for (boolean machineToo : new boolean[] {false, true}) {
                MemoryFiles left = files.after(machineToo);
                TableFolder next = new TableFolder(left);
                TableFolder.ReadResult found = next.read();
                long number = found.table() == null ? -1 : found.table().revision().number();
                assertTrue(number >= returned[0], "step " + steps + ": expected " + returned[0] + " or a later one, found " + number + ", " + found.problem());
                if (number >= 0) {
                    same(tables.at(number), found.table());
                }
                goesOn(left, next, found.table());
            }
            steps++;
        }
        assertTrue(steps > 80, steps + " steps");
    }

    private static void scenario(MemoryFiles files, List<Table> nexts, List<List<Delta>> led, long[] returned) {
        TableFolder folder = new TableFolder(files);
        folder.read();
        boolean folded = false;
        try {
            for (int i = 0; i < nexts.size(); i++) {
                long before = files.length(TableFolder.SNAPSHOT);
                folder.append(i, nexts.get(i), led.get(i));
                folded |= i > 0 && i < 8 && files.length(TableFolder.SNAPSHOT) != before;
                returned[0] = nexts.get(i).revision().number();
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        assertTrue(folded, "a journal is folded on the way");
    }

    private static void goesOn(MemoryFiles files, TableFolder folder, Table found) {
        Growing tables = found == null ? new Growing(8) : new Growing(found, 8);
        try {
            append(folder, 50, tables, List.of(tables.change(100)));
            same(tables.table(), read(files).table());
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Bytes that are spoilt anywhere: a table that was written, or none; never another. */
    @Test
    void spoiltBytesNeverMakeAnotherTable() throws IOException {
        MemoryFiles files = memory();
        TableFolder folder = new TableFolder(files);
        Growing tables = new Growing(9);
        for (int i = 0; i < 6; i++) {
            tables.change(60);
        }
        folder.write(0, tables.table());
        List<Table> all = new ArrayList<>(List.of(tables.table()));
        for (int i = 0; i < 6; i++) {
            Delta delta = tables.change(60);
            all.add(tables.table());
            append(folder, i, tables, List.of(delta));
        }
        Random random = new Random(10);
        for (String name : List.of(TableFolder.SNAPSHOT, TableFolder.JOURNAL)) {
            byte[] good = files.bytes(name);
            for (int at = 0; at < good.length; at++) {
                byte[] spoilt = good.clone();
                spoilt[at] ^= (byte) (1 + random.nextInt(255));
                MemoryFiles with = memory().put(TableFolder.SNAPSHOT, files.bytes(TableFolder.SNAPSHOT)).put(TableFolder.JOURNAL, files.bytes(TableFolder.JOURNAL))
                        .put(name, spoilt);
                TableFolder.ReadResult found = read(with);
                assertNotNull(found.problem(), name + " byte " + at);
                assertEquals(name.equals(TableFolder.SNAPSHOT), found.table() == null);
                if (found.table() != null) {
                    same(all.stream().filter(each -> each.revision().equals(found.table().revision())).findAny().orElseThrow(), found.table());
                }
            }
        }
    }

    /** No room at any write: what was there stays, and the next write that has room makes it whole. */
    @Test
    void aFullDiskLeavesWhatWasThere() throws IOException {
        MemoryFiles files = memory();
        TableFolder folder = new TableFolder(files);
        Growing tables = new Growing(11);
        folder.write(0, tables.table());
        for (int i = 0; i < 10; i++) {
            Table before = tables.table();
            List<Delta> deltas = i % 3 == 0 ? List.of() : List.of(tables.change(5_000));
            files.full(true);
            Table next = tables.table();
            assertThrows(IOException.class, () -> folder.append(1, next, deltas));
            same(before, read(files).table());
            assertNull(files.bytes(TableFolder.SNAPSHOT_TEMP), "what isn't whole takes no room");
            files.full(false);
            append(folder, 2, tables, List.of(tables.change(100)));
            same(tables.table(), read(files).table());
        }
    }

    /** Folded where it is larger than the snapshot and the least; both stay bounded however many changes there are. */
    @Test
    void theJournalIsFoldedAndBothFilesStayBounded() throws IOException {
        MemoryFiles files = memory();
        TableFolder folder = new TableFolder(files);
        folder.read();
        Growing tables = new Growing(12);
        int folds = 0;
        int before = 0;
        for (int i = 0; i < 150; i++) {
            List<Delta> deltas = List.of(tables.change(4_000));
            append(folder, i, tables, deltas);
            byte[] journal = files.bytes(TableFolder.JOURNAL);
            int length = journal == null || folder.sizeBytes() == files.bytes(TableFolder.SNAPSHOT).length ? 0 : journal.length;
            folds += length < before ? 1 : 0;
            before = length;
            assertTrue(length <= Math.max(TableFolder.COMPACTION_MIN_BYTES, files.bytes(TableFolder.SNAPSHOT).length), length + " bytes");
        }
        assertTrue(folds >= 1 && folds < 20, folds + " folds");
        same(tables.table(), read(files).table());
    }

    // ---- on a disk

    @Test
    void anOlderFolderPutBackIsReadAsWhatItIsAndCaughtUp(@TempDir Path folder, @TempDir Path kept) throws IOException {
        TableFolder first = new TableFolder(folder);
        assertNull(first.read().table());
        Growing tables = new Growing(13);
        append(first, 0, tables, List.of(tables.change(100)));
        append(first, 1, tables, List.of(tables.change(100)));
        Table old = tables.table();
        copy(folder, kept);
        List<Delta> missed = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            missed.add(tables.change(100));
            append(first, 2 + i, tables, missed.subList(i, i + 1));
        }
        same(tables.table(), new TableFolder(folder).read().table());
        copy(kept, folder);
        TableFolder back = new TableFolder(folder);
        TableFolder.ReadResult found = back.read();
        same(old, found.table());
        assertEquals(1, found.writtenAtMillis(), "as old as it is");
        append(back, 9, tables, missed);
        same(tables.table(), new TableFolder(folder).read().table());
        Files.copy(kept.resolve(TableFolder.SNAPSHOT), folder.resolve(TableFolder.SNAPSHOT), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        assertNotNull(new TableFolder(folder).read().table(), "one of both files");
    }

    private static void copy(Path from, Path to) throws IOException {
        try (Stream<Path> files = Files.list(from)) {
            for (Path each : files.toList()) {
                Files.copy(each, to.resolve(each.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    @Test
    void whatIsNoCopyOrOfALaterBuildIsSaidAndReplaced(@TempDir Path folder) throws IOException {
        Growing tables = new Growing(14);
        new TableFolder(folder).write(5, tables.table());
        Path snapshot = folder.resolve(TableFolder.SNAPSHOT);
        MemoryFiles later = memory();
        byte[] bytes = Files.readAllBytes(snapshot);
        bytes[12] = TableFolder.VERSION + 1;
        reseal(bytes, 13);
        later.put(TableFolder.SNAPSHOT, bytes);
        assertEquals("snapshot: expected version 1 at most, found version 2", read(later).problem());
        bytes[8] = 'x';
        reseal(bytes, 13);
        assertEquals("snapshot: expected a table's copy, found another file", read(later.put(TableFolder.SNAPSHOT, bytes)).problem());
        Files.write(snapshot, new byte[1_000]);
        TableFolder again = new TableFolder(folder);
        assertTrue(again.read().problem().startsWith("snapshot: expected a matching checksum at byte 0"), "zeros are no record");
        append(again, 6, tables, List.of(tables.change(10)));
        same(tables.table(), new TableFolder(folder).read().table());
        Files.delete(snapshot);
        Files.createDirectory(snapshot);
        assertNotNull(new TableFolder(folder).read().problem());
        assertThrows(IOException.class, () -> new TableFolder(Files.createFile(folder.resolve("file"))));
    }

    /** Real processes, killed without warning while they write. */
    @Test
    void aProcessThatIsKilledLeavesWhatItSaidThatIsOnDisk(@TempDir Path all) throws Exception {
        for (int seed = 1; seed <= 2; seed++) {
            Path folder = all.resolve("of" + seed);
            Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                    KilledWriter.class.getName(), folder.toString(), String.valueOf(seed)).redirectError(ProcessBuilder.Redirect.INHERIT).start();
            long said = 0;
            try (BufferedReader lines = process.inputReader()) {
                String line = "0";
                while (said < 40 + 7 * seed && line != null) {
                    line = lines.readLine();
                    said = line == null ? said : Long.parseLong(line);
                }
                process.destroyForcibly().waitFor();
                for (line = lines.readLine(); line != null && line.matches("[0-9]+"); line = lines.readLine()) {
                    said = Math.max(said, Long.parseLong(line));  // what it had said by then; the last line may be cut
                }
            } catch (IOException e) {
                assertTrue(said >= 40, "it was killed while a line was read: " + e);
            } finally {
                process.destroyForcibly().waitFor();
            }
            TableFolder.ReadResult found = new TableFolder(folder).read();
            Growing tables = new Growing(seed);
            assertNotNull(found.table(), found.problem());
            while (tables.table().revision().number() < found.table().revision().number()) {
                tables.change(3_000);
            }
            same(tables.table(), found.table());
            assertTrue(found.table().revision().number() >= said, "expected " + said + ", found " + found.table().revision().number());
        }
    }

    /** Larger than any that is written: not read, whatever is in it. */
    @Test
    void aFileBeyondTheBoundIsNotRead(@TempDir Path folder) throws IOException {
        Growing tables = new Growing(15);
        TableFolder copy = new TableFolder(folder);
        append(copy, 1, tables, List.of());
        append(copy, 2, tables, List.of(tables.change(10)));
        for (String name : List.of(TableFolder.JOURNAL, TableFolder.SNAPSHOT)) {
            try (RandomAccessFile file = new RandomAccessFile(folder.resolve(name).toFile(), "rw")) {
                file.setLength(TableFolder.MAX_FILE_BYTES + 1);  // a hole, which takes no room
            }
            TableFolder.ReadResult found = new TableFolder(folder).read();
            assertTrue(found.problem().contains("expected at most " + TableFolder.MAX_FILE_BYTES + " bytes"), found.problem());
            assertEquals(name.equals(TableFolder.SNAPSHOT), found.table() == null);
        }
        append(copy, 3, tables, List.of());
        same(tables.table(), new TableFolder(folder).read().table());
        append(copy, 4, tables, List.of(tables.change(10)));
        assertTrue(Files.size(folder.resolve(TableFolder.JOURNAL)) < 1_000, "cut where it is written on");
    }

    /** As who wrote it would have sealed its head. */
    private static void reseal(byte[] bytes, int head) {
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(bytes, 0, 4);
        sum.update(bytes, 8, head);
        java.nio.ByteBuffer.wrap(bytes).putInt(4, (int) sum.getValue());
    }
}
