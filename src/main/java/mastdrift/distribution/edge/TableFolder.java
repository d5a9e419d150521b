package mastdrift.distribution.edge;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Message;
import mastdrift.distribution.MismatchException;
import mastdrift.distribution.Resource;
import mastdrift.distribution.Revision;
import mastdrift.distribution.Table;

/**
 * On-disk copy of a table: a snapshot and a journal of the deltas since, like the checkpoint and write-ahead log of a
 * database. A process that restarts has the table it last had without contacting any other process.
 * <p>Each file is a sequence of records with length and checksum (CRC32C, RFC 3720 appendix B.4). A snapshot is written
 * to a temporary file and renamed over the current one once it is on disk; only then is the journal truncated, by the
 * next append. Journal records that the snapshot already contains are skipped. A journal is read up to its first record
 * that is incomplete or does not follow the one before, and is appended to from there. What is read is a table that was
 * written, verified by the hash in its revision, or none: a kill at any step, a full disk or corrupt bytes can cost the
 * newest deltas or the whole copy, but never yield a wrong table.
 * <p>Limits: the journal is compacted into a new snapshot when it is larger than both the snapshot and {@value
 * #COMPACTION_MIN_BYTES} bytes, or larger than {@value #COMPACTION_MAX_BYTES} bytes; a snapshot is bounded by the size
 * of a table; files larger than {@value #MAX_FILE_BYTES} bytes are not read. The methods block on the disk and must not
 * be called on an event loop. Not thread-safe.
 */
public final class TableFolder {

    /** Format version that is written, and the latest that is read. */
    public static final int VERSION = 1;
    /** A journal of at most this many bytes is not compacted. */
    public static final int COMPACTION_MIN_BYTES = 64 << 10;
    /** A journal of more bytes is always compacted. */
    public static final int COMPACTION_MAX_BYTES = 16 << 20;
    /** Maximum size of a file that is read: twice the largest table. */
    public static final long MAX_FILE_BYTES = 2 * (Table.MAX_VALUE_BYTES + (long) Table.MAX_RESOURCES * (Resource.MAX_NAME_CHARS + Table.RESOURCE_OVERHEAD_BYTES));
    static final String SNAPSHOT = "snapshot";
    static final String SNAPSHOT_TEMP = "snapshot.new";
    static final String JOURNAL = "journal";
    private static final byte[] MAGIC = {'p', 'w', 't', 'b'};
    private static final int RECORD_HEADER_BYTES = 2 * Integer.BYTES;
    private static final int MAX_RECORD_BYTES = Long.BYTES + MessageCodec.MAX_ENCODED_BYTES;
    private static final int TARGET_CHUNK_BYTES = 128 << 10;

    /**
     * Result of reading a folder.
     * @param table the newest intact table; null if there is none
     * @param writtenAtMillis when it was written, as Unix time in milliseconds by the writer's clock; 0 if there is
     * none
     * @param problem what was lost, with the place, what was expected and what was found; null if nothing was
     */
    public record ReadResult(Table table, long writtenAtMillis, String problem) {

        /** Milliseconds since it was written; at least 0, since the clock may have been set back. */
        public long ageMillis(long nowMillis) {
            return Math.max(0, nowMillis - writtenAtMillis);
        }
    }

    private final FolderFiles files;
    private Revision writtenRevision;  // revision that a reader would find; null if that isn't known or there is none
    private long snapshotBytes;
    private long journalBytes;

    /** Uses a directory, which is created if it doesn't exist. */
    public TableFolder(Path folder) throws IOException {
        this(FolderFiles.of(folder));
    }

    TableFolder(FolderFiles files) {
        this.files = files;
    }

    /** Bytes of both files, as far as they have been read or written. */
    public long sizeBytes() {
        return snapshotBytes + journalBytes;
    }

    // ---- reading

    /**
     * Reads the copy; to be called first, and once. If the snapshot can't be read, the result has no table and gives
     * the reason.
     */
    public ReadResult read() {
        ReadResult snapshot;
        try {
            snapshot = readSnapshot();
        } catch (IOException | IllegalArgumentException e) {
            return new ReadResult(null, 0, SNAPSHOT + ": " + e.getMessage());
        }
        if (snapshot.table == null) {
            return snapshot;
        }
        ReadResult result = readJournal(snapshot);
        writtenRevision = result.table.revision();
        return result;
    }

    private ReadResult readSnapshot() throws IOException {
        long length = files.length(SNAPSHOT);
        if (length < 0) {
            return new ReadResult(null, 0, null);
        }
        try (RecordReader records = new RecordReader(SNAPSHOT, length)) {
            long writtenAtMillis = header(records.nextRecord());
            Table.Assembly assembly = Table.empty(0).newAssembly();
            boolean last = false;
            while (!last) {
                byte[] record = records.nextRecord();
                if (record == null || !(MessageCodec.decodeMessage(record) instanceof Message.SnapshotChunk chunk)) {
                    throw new IOException("expected a snapshot chunk at byte " + records.offset + ", found " + (record == null ? "the end" : "another message"));
                }
                String problem = assembly.add(chunk);
                if (problem != null) {
                    throw new IOException(problem);
                }
                last = chunk.last();
            }
            Table table = assembly.finish();
            if (table == null) {
                throw new IOException(assembly.problem());
            }
            snapshotBytes = length;
            return new ReadResult(table, writtenAtMillis, null);
        }
    }

    private ReadResult readJournal(ReadResult snapshot) {
        Table table = snapshot.table;
        long writtenAtMillis = snapshot.writtenAtMillis;
        String problem = null;
        try {
            long length = files.length(JOURNAL);
            if (length >= 0) {
                try (RecordReader records = new RecordReader(JOURNAL, length)) {
                    header(records.nextRecord());
                    journalBytes = records.offset;
                    for (byte[] record = records.nextRecord(); record != null; record = records.nextRecord()) {
                        if (record.length < Long.BYTES) {
                            throw new IOException("expected a timestamp and a delta, found " + record.length + " bytes");
                        }
                        Delta delta = MessageCodec.decodeDelta(Arrays.copyOfRange(record, Long.BYTES, record.length));
                        if (delta.to().isAfter(table.revision())) {  // otherwise the snapshot contains it already
                            table = table.applyDelta(delta);
                            writtenAtMillis = ByteBuffer.wrap(record).getLong();
                        }
                        journalBytes = records.offset;
                    }
                }
            }
        } catch (IOException | IllegalArgumentException | MismatchException e) {
            problem = JOURNAL + " after byte " + journalBytes + ": " + e.getMessage();
        }
        return new ReadResult(table, writtenAtMillis, problem);
    }

    /** Checks the header record of a file and returns the time in it, as Unix time in milliseconds. */
    private static long header(byte[] record) throws IOException {
        int length = MAGIC.length + 1 + Long.BYTES;
        if (record == null || record.length < MAGIC.length + 1 || !Arrays.equals(record, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException("expected a table's copy, found another file");
        }
        if (record[MAGIC.length] != VERSION) {
            throw new IOException("expected version " + VERSION + " at most, found version " + (record[MAGIC.length] & 0xFF));
        }
        if (record.length != length) {
            throw new IOException("expected a header of " + length + " bytes, found " + record.length);
        }
        return ByteBuffer.wrap(record).getLong(MAGIC.length + 1);
    }

    /** Reads the records of a file, up to the first one that is incomplete or corrupt. */
    private final class RecordReader implements AutoCloseable {

        private final DataInputStream in;
        private final long length;
        private long offset;  // end of the last intact record

        RecordReader(String name, long length) throws IOException {
            if (length > MAX_FILE_BYTES) {
                throw new IOException("expected at most " + MAX_FILE_BYTES + " bytes, found " + length);
            }
            this.length = length;
            in = new DataInputStream(new BufferedInputStream(files.openForRead(name), TARGET_CHUNK_BYTES));
        }

        /** The next record; null at the end of the file. */
        byte[] nextRecord() throws IOException {
            if (offset == length) {
                return null;
            }
            if (length - offset < RECORD_HEADER_BYTES) {
                throw new IOException("expected a record at byte " + offset + ", found " + (length - offset) + " bytes of one");
            }
            int size = in.readInt();
            int expectedChecksum = in.readInt();
            if (size < 0 || size > MAX_RECORD_BYTES || size > length - offset - RECORD_HEADER_BYTES) {
                throw new IOException("expected a complete record at byte " + offset + ", found one of " + size + " bytes with " + (length - offset - RECORD_HEADER_BYTES) + " left");
            }
            byte[] record = in.readNBytes(size);
            if (record.length < size || checksum(record) != expectedChecksum) {
                throw new IOException("expected a matching checksum at byte " + offset + ", found another");
            }
            offset += RECORD_HEADER_BYTES + size;
            return record;
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }

    private static int checksum(byte[] record) {
        CRC32C checksum = new CRC32C();
        // includes the length: else a run of zero bytes would be a valid empty record
        checksum.update(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).flip());
        checksum.update(record);
        return (int) checksum.getValue();
    }

    // ---- writing

    /**
     * Replaces the copy by the whole table; {@code wallMillis} is the current Unix time in milliseconds. The table is
     * on disk when this returns. Throws IOException if it can't be written: the previous copy is kept, except perhaps
     * the last journal records.
     */
    public void write(long wallMillis, Table table) throws IOException {
        writtenRevision = null;
        long length;
        try (FolderFiles.Sink sink = files.openForWrite(SNAPSHOT_TEMP, 0)) {
            length = writeRecord(sink, header(wallMillis));
            List<Message.Shard> shards = new ArrayList<>();
            long pendingChunkBytes = 0;
            for (int i = 0; i < Table.SHARDS; i++) {
                long shardBytes = sizeBytes(table.shard(i));
                if (pendingChunkBytes + shardBytes > TARGET_CHUNK_BYTES && !shards.isEmpty()) {
                    length += writeRecord(sink, MessageCodec.encode(new Message.SnapshotChunk(table.revision(), shards, false)));
                    shards.clear();
                    pendingChunkBytes = 0;
                }
                pendingChunkBytes += shardBytes;
                if (shardBytes > 0) {
                    shards.add(new Message.Shard(i, table.shard(i)));
                }
            }
            length += writeRecord(sink, MessageCodec.encode(new Message.SnapshotChunk(table.revision(), shards, true)));
            sink.force();
        } catch (IOException e) {
            deletePartialSnapshot(e);
            throw e;
        }
        files.rename(SNAPSHOT_TEMP, SNAPSHOT);
        snapshotBytes = length;
        journalBytes = 0;
        writtenRevision = table.revision();
    }

    /** Deletes the incomplete snapshot, so that it takes no disk space. */
    private void deletePartialSnapshot(IOException cause) {
        try {
            files.delete(SNAPSHOT_TEMP);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    private static long sizeBytes(List<Resource> shard) {
        long bytes = 0;
        for (Resource each : shard) {
            bytes += Table.RESOURCE_OVERHEAD_BYTES + each.name().length() + each.value().length;
        }
        return bytes;
    }

    /**
     * Appends the deltas that lead to a table from the one written or read last; writes the whole table instead if they
     * don't lead there or the journal is too large. The table is on disk when this returns. Throws IOException if it
     * can't be written; the next table is then written whole.
     */
    public void append(long wallMillis, Table next, List<Delta> deltas) throws IOException {
        List<byte[]> records = isContinuous(next, deltas) ? journalRecords(wallMillis, deltas) : null;
        if (records == null) {
            write(wallMillis, next);
            return;
        }
        writtenRevision = null;  // until the deltas are on disk
        try (FolderFiles.Sink sink = files.openForWrite(JOURNAL, journalBytes)) {
            if (journalBytes == 0) {
                journalBytes += writeRecord(sink, header(wallMillis));
            }
            for (byte[] record : records) {
                journalBytes += writeRecord(sink, record);
            }
            sink.force();
        }
        writtenRevision = next.revision();
        if (journalBytes > Math.min(COMPACTION_MAX_BYTES, Math.max(COMPACTION_MIN_BYTES, snapshotBytes))) {
            write(wallMillis, next);
        }
    }

    private boolean isContinuous(Table next, List<Delta> deltas) {
        Revision revision = writtenRevision;
        for (Delta each : deltas) {
            if (revision == null || each.from() != revision.number() || each.to().epoch() != revision.epoch()) {
                return false;
            }
            revision = each.to();
        }
        return !deltas.isEmpty() && revision.equals(next.revision());
    }

    private static List<byte[]> journalRecords(long wallMillis, List<Delta> deltas) {
        List<byte[]> records = new ArrayList<>();
        for (Delta delta : deltas) {
            byte[] bytes = MessageCodec.encode(delta);
            records.add(ByteBuffer.allocate(Long.BYTES + bytes.length).putLong(wallMillis).put(bytes).array());
        }
        return records;
    }

    private static byte[] header(long wallMillis) {
        return ByteBuffer.allocate(MAGIC.length + 1 + Long.BYTES).put(MAGIC).put((byte) VERSION).putLong(wallMillis).array();
    }

    private static long writeRecord(FolderFiles.Sink sink, byte[] record) throws IOException {
        sink.write(ByteBuffer.allocate(RECORD_HEADER_BYTES + record.length).putInt(record.length).putInt(checksum(record)).put(record).array());
        return RECORD_HEADER_BYTES + record.length;
    }
}
