package mastdrift.agreed.edge;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import mastdrift.agreed.LogMembership.MemberRecord;

/**
 * Stores a member's record in a file of its data directory: written atomically, flushed to disk, and protected by a
 * checksum.
 */
final class MemberFile {

    private static final String FILE_NAME = "member.json";
    private static final int MAX_FILE_BYTES = 1 << 20;
    private static final int ID_BYTES = 6;

    private final Path directory;

    /** Opens the file in a directory, which is created if it doesn't exist. */
    MemberFile(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    /**
     * Reads the record; a new one with a random id where the file doesn't exist. Throws IOException for a file that is
     * damaged: it must not be taken for a new member.
     */
    MemberRecord read(String logId, Random random) throws IOException {
        Path file = directory.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            byte[] id = new byte[ID_BYTES];
            random.nextBytes(id);
            return new MemberRecord(HexFormat.of().formatHex(id), logId, Map.of(), 0, Map.of());
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": expected at most " + MAX_FILE_BYTES + " bytes, found " + Files.size(file));
        }
        return decode(Files.readAllBytes(file), file.toString());
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return checksum.getValue();
    }

    /**
     * Encodes a record as it is stored and sent. The keys are those of the first build: {@code begin} is the log id,
     * {@code group} the voter ids, {@code tide} the epoch, {@code heard} the epochs of others.
     */
    static byte[] encode(MemberRecord memberRecord) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("id", memberRecord.id());
        fields.put("begin", memberRecord.logId());
        fields.put("group", memberRecord.voterIds());
        fields.put("tide", memberRecord.epoch());
        fields.put("heard", memberRecord.peerEpochs());
        byte[] json = JSON.std.asBytes(fields);
        byte[] trailer = ("\n" + checksum(json, json.length)).getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(json.length + trailer.length).put(json).put(trailer).array();
    }

    /** Decodes a record; {@code source} names its origin in error messages. */
    static MemberRecord decode(byte[] bytes, String source) throws IOException {
        int jsonEnd = bytes.length - 1;
        while (jsonEnd >= 0 && bytes[jsonEnd] != '\n') {
            jsonEnd--;
        }
        String storedChecksum = jsonEnd < 0 ? ""
                : new String(bytes, jsonEnd + 1, bytes.length - jsonEnd - 1, StandardCharsets.US_ASCII);
        if (jsonEnd < 0 || !storedChecksum.equals(Long.toString(checksum(bytes, jsonEnd)))) {
            throw new IOException(source + ": checksum mismatch");
        }
        Map<String, Object> fields = JSON.std.mapFrom(new String(bytes, 0, jsonEnd, StandardCharsets.UTF_8));
        if (!(fields.get("id") instanceof String id) || !(fields.get("begin") instanceof String logId)
                || !(fields.get("group") instanceof Map<?, ?> group)
                || !(fields.get("tide") instanceof Number epoch) || !(fields.get("heard") instanceof Map<?, ?> heard)) {
            throw new IOException(source + ": expected id, begin, group, tide and heard, found " + fields.keySet());
        }
        Map<String, String> voterIds = new TreeMap<>();
        group.forEach((name, voter) -> voterIds.put(String.valueOf(name), String.valueOf(voter)));
        Map<String, Long> peerEpochs = new TreeMap<>();
        heard.forEach((name, peerEpoch) -> peerEpochs.put(String.valueOf(name), peerEpoch instanceof Number number
                ? Long.valueOf(number.longValue()) : Long.valueOf(0)));
        return new MemberRecord(id, logId, voterIds, epoch.longValue(), peerEpochs);
    }

    /** Writes the record; it is on disk when this method returns. */
    void write(MemberRecord memberRecord) throws IOException {
        Path temporaryFile = directory.resolve(FILE_NAME + ".new");
        try (FileChannel out = FileChannel.open(temporaryFile, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(encode(memberRecord));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(temporaryFile, directory.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
            directoryChannel.force(true);  // without it, a crash of the machine may undo the rename
        }
    }
}
