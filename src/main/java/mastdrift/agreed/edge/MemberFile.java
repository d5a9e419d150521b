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

/** A member's folder, as a file in it says: whole and on disk once written, with a checksum over it. */
final class MemberFile {

    private static final String NAME = "member.json";
    private static final int BYTES_MOST = 1 << 20;
    private static final int ID_BYTES = 6;

    private final Path folder;

    /** In a folder, which is made where it isn't there. */
    MemberFile(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    /** What it says; a new identity where there is none. Throws IOException for one that can't be read whole: that is not a new one. */
    MemberRecord read(String begin, Random random) throws IOException {
        Path file = folder.resolve(NAME);
        if (!Files.exists(file)) {
            byte[] id = new byte[ID_BYTES];
            random.nextBytes(id);
            return new MemberRecord(HexFormat.of().formatHex(id), begin, Map.of(), 0, Map.of());
        }
        if (Files.size(file) > BYTES_MOST) {
            throw new IOException(file + ": expected at most " + BYTES_MOST + " bytes, found " + Files.size(file));
        }
        return of(Files.readAllBytes(file), file.toString());
    }

    private static long sum(byte[] bytes, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, length);
        return sum.getValue();
    }

    /** As it is written and sent, under the keys of the first build: {@code tide} is the epoch, {@code heard} those of others. */
    static byte[] bytes(MemberRecord of) throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("id", of.id());
        all.put("begin", of.logId());
        all.put("group", of.voterIds());
        all.put("tide", of.epoch());
        all.put("heard", of.peerEpochs());
        byte[] text = JSON.std.asBytes(all);
        byte[] sum = ("\n" + sum(text, text.length)).getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(text.length + sum.length).put(text).put(sum).array();
    }

    static MemberRecord of(byte[] bytes, String where) throws IOException {
        int end = bytes.length - 1;
        while (end >= 0 && bytes[end] != '\n') {
            end--;
        }
        String said = end < 0 ? "" : new String(bytes, end + 1, bytes.length - end - 1, StandardCharsets.US_ASCII);
        if (end < 0 || !said.equals(Long.toString(sum(bytes, end)))) {
            throw new IOException(where + ": expected a checksum that fits, found another");
        }
        Map<String, Object> all = JSON.std.mapFrom(new String(bytes, 0, end, StandardCharsets.UTF_8));
        if (!(all.get("id") instanceof String id) || !(all.get("begin") instanceof String begin) || !(all.get("group") instanceof Map<?, ?> group)
                || !(all.get("tide") instanceof Number epoch) || !(all.get("heard") instanceof Map<?, ?> heard)) {
            throw new IOException(where + ": expected id, begin, group, tide and heard, found " + all.keySet());
        }
        Map<String, String> voters = new TreeMap<>();
        group.forEach((name, voter) -> voters.put(String.valueOf(name), String.valueOf(voter)));
        Map<String, Long> heardEpochs = new TreeMap<>();
        heard.forEach((name, at) -> heardEpochs.put(String.valueOf(name), at instanceof Number number ? Long.valueOf(number.longValue()) : Long.valueOf(0)));
        return new MemberRecord(id, begin, voters, epoch.longValue(), heardEpochs);
    }

    /** On disk once it returns. */
    void write(MemberRecord of) throws IOException {
        Path aside = folder.resolve(NAME + ".new");
        try (FileChannel out = FileChannel.open(aside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(bytes(of));
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(aside, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);  // or the name may be lost with the machine
        }
    }
}
