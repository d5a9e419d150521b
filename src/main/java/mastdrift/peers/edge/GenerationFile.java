package mastdrift.peers.edge;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Remembers the last generation in a file ('life', its name from the first build on), so that a clock that was set back doesn't make a new start look like an old one. */
public final class GenerationFile {

    private static final String NAME = "life";
    private static final int BYTES_MOST = 32;

    private final Path file;

    /** In a folder, which is made where it isn't there. */
    public GenerationFile(Path folder) throws IOException {
        Files.createDirectories(folder);
        file = folder.resolve(NAME);
    }

    /** The generation of a start at that Unix time in microseconds, later than the last one on disk whatever the clock says. Throws IOException where what is there is no number, or
        can't be read: a start then goes by its clock alone. */
    public long next(long wall) throws IOException {
        return Math.max(wall, last() + 1);
    }

    /** It is on disk once this returns. Throws IOException where it can't be written: what was there stays. */
    public void write(long generation) throws IOException {
        Path aside = file.resolveSibling(NAME + ".new");
        try (FileChannel out = FileChannel.open(aside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer text = ByteBuffer.wrap(Long.toString(generation).getBytes(StandardCharsets.US_ASCII));
            while (text.hasRemaining()) {  // a part of a number would be a smaller one
                out.write(text);
            }
            out.force(true);
        }
        Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);  // or the name may be lost with the machine
        }
    }

    private long last() throws IOException {
        if (!Files.exists(file)) {
            return 0;
        }
        if (Files.size(file) > BYTES_MOST) {
            throw new IOException(file + ": expected a number, found " + Files.size(file) + " bytes");
        }
        String text = Files.readString(file, StandardCharsets.ISO_8859_1).strip();
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IOException(file + ": expected a number, found something else", e);
        }
    }
}
