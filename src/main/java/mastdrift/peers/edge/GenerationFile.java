package mastdrift.peers.edge;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Stores the last generation in a file, so that a start after the clock was set back doesn't get an older generation
 * than the start before. The file's name, 'life', is that of the first build.
 */
public final class GenerationFile {

    private static final String FILE_NAME = "life";
    private static final int MAX_FILE_BYTES = 32;

    private final Path file;

    /** In a directory, which is created if missing. */
    public GenerationFile(Path directory) throws IOException {
        Files.createDirectories(directory);
        file = directory.resolve(FILE_NAME);
    }

    /**
     * The generation for a start at this Unix time in microseconds, later than the last one on disk whatever the clock
     * says. Throws IOException if the file holds no number or can't be read; the caller then uses the clock alone.
     */
    public long nextGeneration(long wallClockMicros) throws IOException {
        return Math.max(wallClockMicros, readLastGeneration() + 1);
    }

    /**
     * Writes a generation; it is on disk once this returns. Throws IOException if it can't be written: the previous
     * content stays.
     */
    public void write(long generation) throws IOException {
        Path temporary = file.resolveSibling(FILE_NAME + ".new");
        try (FileChannel out = FileChannel.open(temporary, StandardOpenOption.CREATE,
                StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            ByteBuffer text = ByteBuffer.wrap(Long.toString(generation).getBytes(StandardCharsets.US_ASCII));
            while (text.hasRemaining()) {  // a truncated number would be a smaller one
                out.write(text);
            }
            out.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel directory = FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            directory.force(true);  // or the renamed file may be lost in a crash of the machine
        }
    }

    private long readLastGeneration() throws IOException {
        if (!Files.exists(file)) {
            return 0;
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
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
