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
 * A table's copy on disk: a snapshot and, behind it, a journal of the deltas that came since, as in a database's checkpoint and log. A process that starts has what it last
 * had, without a word from anybody.
 *
 * <p>Each file is a row of records with length and checksum (CRC32C, RFC 3720 appendix B.4). A snapshot is written beside the one that is there and put in its place when it
 * is on disk; only then is the journal emptied, and what a journal of before repeats is passed over. A journal is read up to its first record that isn't whole or doesn't
 * follow, and written on from there. What is read is a table that was written, by the hash in its revision, or none: a kill at any step, a full disk or spoilt bytes cost the
 * newest deltas or the copy, never its truth.
 *
 * <p>Bounded: the journal is compacted into a new snapshot where it is larger than that and than {@value #COMPACT_LEAST} bytes, or than {@value #COMPACT_MOST}; a snapshot has what a
 * table has; files of more than {@value #FILE_MOST} bytes aren't read. Waits for the disk: not for an event loop. Not safe for use by several threads.
 */
public final class TableFolder {

    /** Of what it writes, and the latest that it reads. */
    public static final int VERSION = 1;
    /** A journal of so many bytes isn't compacted yet. */
    public static final int COMPACT_LEAST = 64 << 10;
    /** A journal of more bytes is compacted. */
    public static final int COMPACT_MOST = 16 << 20;
    /** Bytes of a file that is read, at most: twice the largest table. */
    public static final long FILE_MOST = 2 * (Table.MAX_VALUE_BYTES + (long) Table.MAX_RESOURCES * (Resource.MAX_NAME_CHARS + Table.RESOURCE_OVERHEAD_BYTES));
    static final String SNAPSHOT = "snapshot";
    static final String ASIDE = "snapshot.new";
    static final String JOURNAL = "journal";
    private static final byte[] MAGIC = {'p', 'w', 't', 'b'};
    private static final int HEAD = 2 * Integer.BYTES;
    private static final int RECORD_MOST = Long.BYTES + MessageCodec.BYTES_MOST;
    private static final int CHUNK_BYTES = 128 << 10;

    /**
     * What a folder held.
     *
     * @param table the newest that is whole; null for none
     * @param writtenAt when, as Unix time in milliseconds by the clock of who wrote it; 0 for none
     * @param problem what was lost, with place, expected and found; null for nothing
     */
    public record Found(Table table, long writtenAt, String problem) {

        /** Milliseconds since it was written, by a clock that may have been set back since: at least 0. */
        public long age(long wall) {
            return Math.max(0, wall - writtenAt);
        }
    }

    private final FolderFiles files;
    private Revision written;  // that a reader would find; null where that isn't known or there is none
    private long snapshotBytes;
    private long journalBytes;

    /** In a folder, which is made where it isn't there. */
    public TableFolder(Path folder) throws IOException {
        this(FolderFiles.of(folder));
    }

    TableFolder(FolderFiles files) {
        this.files = files;
    }

    /** Bytes of both files, as far as it has read or written them. */
    public long bytes() {
        return snapshotBytes + journalBytes;
    }

    // ---- reading

    /** What is there; to be called first, and once. A folder that can't be read is one in which nothing is, with the reason. */
    public Found read() {
        Found snapshot;
        try {
            snapshot = snapshot();
        } catch (IOException | IllegalArgumentException e) {
            return new Found(null, 0, SNAPSHOT + ": " + e.getMessage());
        }
        if (snapshot.table == null) {
            return snapshot;
        }
        Found found = journal(snapshot);
        written = found.table.revision();
        return found;
    }

    private Found snapshot() throws IOException {
        long length = files.length(SNAPSHOT);
        if (length < 0) {
            return new Found(null, 0, null);
        }
        try (Records records = new Records(SNAPSHOT, length)) {
            long writtenAt = head(records.next());
            Table.Assembly assembly = Table.empty(0).newAssembly();
            boolean last = false;
            while (!last) {
                byte[] record = records.next();
                if (record == null || !(MessageCodec.message(record) instanceof Message.SnapshotChunk chunk)) {
                    throw new IOException("expected a piece at byte " + records.at + ", found " + (record == null ? "the end" : "another message"));
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
            return new Found(table, writtenAt, null);
        }
    }

    private Found journal(Found snapshot) {
        Table table = snapshot.table;
        long writtenAt = snapshot.writtenAt;
        String problem = null;
        try {
            long length = files.length(JOURNAL);
            if (length >= 0) {
                try (Records records = new Records(JOURNAL, length)) {
                    head(records.next());
                    journalBytes = records.at;
                    for (byte[] record = records.next(); record != null; record = records.next()) {
                        if (record.length < Long.BYTES) {
                            throw new IOException("expected a time and a delta, found " + record.length + " bytes");
                        }
                        Delta delta = MessageCodec.delta(Arrays.copyOfRange(record, Long.BYTES, record.length));
                        if (delta.to().isAfter(table.revision())) {  // or the snapshot has it
                            table = table.applyDelta(delta);
                            writtenAt = ByteBuffer.wrap(record).getLong();
                        }
                        journalBytes = records.at;
                    }
                }
            }
        } catch (IOException | IllegalArgumentException | MismatchException e) {
            problem = JOURNAL + " behind byte " + journalBytes + ": " + e.getMessage();
        }
        return new Found(table, writtenAt, problem);
    }

    private static long head(byte[] record) throws IOException {
        int length = MAGIC.length + 1 + Long.BYTES;
        if (record == null || record.length < MAGIC.length + 1 || !Arrays.equals(record, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
            throw new IOException("expected a table's copy, found another file");
        }
        if (record[MAGIC.length] != VERSION) {
            throw new IOException("expected version " + VERSION + " at most, found version " + (record[MAGIC.length] & 0xFF));
        }
        if (record.length != length) {
            throw new IOException("expected a head of " + length + " bytes, found " + record.length);
        }
        return ByteBuffer.wrap(record).getLong(MAGIC.length + 1);
    }

    /** Records of a file, up to the first one that isn't whole. */
    private final class Records implements AutoCloseable {

        private final DataInputStream in;
        private final long length;
        private long at;  // of what was read and is whole

        Records(String name, long length) throws IOException {
            if (length > FILE_MOST) {
                throw new IOException("expected at most " + FILE_MOST + " bytes, found " + length);
            }
            this.length = length;
            in = new DataInputStream(new BufferedInputStream(files.read(name), CHUNK_BYTES));
        }

        /** The next one; null at the end. */
        byte[] next() throws IOException {
            if (at == length) {
                return null;
            }
            if (length - at < HEAD) {
                throw new IOException("expected a record at byte " + at + ", found " + (length - at) + " bytes of one");
            }
            int size = in.readInt();
            int sum = in.readInt();
            if (size < 0 || size > RECORD_MOST || size > length - at - HEAD) {
                throw new IOException("expected a whole record at byte " + at + ", found one of " + size + " bytes with " + (length - at - HEAD) + " left");
            }
            byte[] record = in.readNBytes(size);
            if (record.length < size || sum(record) != sum) {
                throw new IOException("expected a checksum that fits at byte " + at + ", found another");
            }
            at += HEAD + size;
            return record;
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }

    private static int sum(byte[] record) {
        CRC32C sum = new CRC32C();
        sum.update(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).flip());  // or zeros would be a record
        sum.update(record);
        return (int) sum.getValue();
    }

    // ---- writing

    /** Puts the whole table in place of what is there; {@code wall} is now, as Unix time in milliseconds. It is on disk once this returns. Throws IOException where it can't
        be: what was there still is, but for a journal's last records. */
    public void write(long wall, Table table) throws IOException {
        written = null;
        long length;
        try (FolderFiles.Sink sink = files.write(ASIDE, 0)) {
            length = put(sink, head(wall));
            List<Message.Shard> shards = new ArrayList<>();
            long bytes = 0;
            for (int i = 0; i < Table.SHARDS; i++) {
                long more = bytes(table.shard(i));
                if (bytes + more > CHUNK_BYTES && !shards.isEmpty()) {
                    length += put(sink, MessageCodec.bytes(new Message.SnapshotChunk(table.revision(), shards, false)));
                    shards.clear();
                    bytes = 0;
                }
                bytes += more;
                if (more > 0) {
                    shards.add(new Message.Shard(i, table.shard(i)));
                }
            }
            length += put(sink, MessageCodec.bytes(new Message.SnapshotChunk(table.revision(), shards, true)));
            sink.force();
        } catch (IOException e) {
            room(e);
            throw e;
        }
        files.rename(ASIDE, SNAPSHOT);
        snapshotBytes = length;
        journalBytes = 0;
        written = table.revision();
    }

    /** What couldn't be written whole takes no room. */
    private void room(IOException because) {
        try {
            files.delete(ASIDE);
        } catch (IOException e) {
            because.addSuppressed(e);
        }
    }

    private static long bytes(List<Resource> shard) {
        long bytes = 0;
        for (Resource each : shard) {
            bytes += Table.RESOURCE_OVERHEAD_BYTES + each.name().length() + each.value().length;
        }
        return bytes;
    }

    /** Adds what led to a table from the one that was given or read before; writes the whole table where it has another one, or the journal has grown. On disk once this
        returns. Throws IOException where it can't be; the next one is written whole then. */
    public void append(long wall, Table next, List<Delta> deltas) throws IOException {
        List<byte[]> records = follows(next, deltas) ? records(wall, deltas) : null;
        if (records == null) {
            write(wall, next);
            return;
        }
        written = null;  // until it is there
        try (FolderFiles.Sink sink = files.write(JOURNAL, journalBytes)) {
            if (journalBytes == 0) {
                journalBytes += put(sink, head(wall));
            }
            for (byte[] record : records) {
                journalBytes += put(sink, record);
            }
            sink.force();
        }
        written = next.revision();
        if (journalBytes > Math.min(COMPACT_MOST, Math.max(COMPACT_LEAST, snapshotBytes))) {
            write(wall, next);
        }
    }

    private boolean follows(Table next, List<Delta> deltas) {
        Revision at = written;
        for (Delta each : deltas) {
            if (at == null || each.from() != at.number() || each.to().epoch() != at.epoch()) {
                return false;
            }
            at = each.to();
        }
        return !deltas.isEmpty() && at.equals(next.revision());
    }

    private static List<byte[]> records(long wall, List<Delta> deltas) {
        List<byte[]> records = new ArrayList<>();
        for (Delta delta : deltas) {
            byte[] bytes = MessageCodec.bytes(delta);
            records.add(ByteBuffer.allocate(Long.BYTES + bytes.length).putLong(wall).put(bytes).array());
        }
        return records;
    }

    private static byte[] head(long wall) {
        return ByteBuffer.allocate(MAGIC.length + 1 + Long.BYTES).put(MAGIC).put((byte) VERSION).putLong(wall).array();
    }

    private static long put(FolderFiles.Sink sink, byte[] record) throws IOException {
        sink.write(ByteBuffer.allocate(HEAD + record.length).putInt(record.length).putInt(sum(record)).put(record).array());
        return HEAD + record.length;
    }
}
