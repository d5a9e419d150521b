package mastdrift.files;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import mastdrift.config.ConfigurationReader;
import mastdrift.config.Problem;
import mastdrift.config.Problems;

/**
 * The texts of one set of files, each read once. Names are relative to the gateway's file. Only regular files of a
 * bounded size are opened: opening a FIFO would block until it has a writer.
 */
public final class FileContents implements ConfigurationReader.FileSource {

    /** Maximum size of one file. */
    public static final long MAX_FILE_BYTES = 16 << 20;

    private final Path folder;
    private final Map<String, ReadResult> readsByFile = new LinkedHashMap<>();

    /** The text of a file, or why and where it could not be read. */
    private record ReadResult(String text, String problem, int line, int column) { }

    /** For files in the same folder as {@code file}. */
    public FileContents(Path file) {
        Path parent = file.toAbsolutePath().getParent();
        folder = parent == null ? file.toAbsolutePath() : parent;
    }

    /** Reads a gateway's file and all that it includes. */
    public static ConfigurationReader.Result read(Path file) {
        return ConfigurationReader.read(displayName(file), new FileContents(file));
    }

    /** The name of a gateway's file in messages. */
    public static String displayName(Path file) {
        return String.valueOf(file.getFileName());
    }

    @Override
    public String text(String file, Problems problems) {
        ReadResult read = readsByFile.computeIfAbsent(file, this::load);
        if (read.text == null) {
            problems.add(new Problem(file, read.line, read.column, read.problem));
        }
        return read.text;
    }

    /** Reads those files that have not been read yet. */
    FileContents load(Collection<String> files) {
        files.forEach(file -> readsByFile.computeIfAbsent(file, this::load));
        return this;
    }

    /** Whether both hold the same files with the same content. */
    boolean hasSameContent(FileContents other) {
        return other != null && readsByFile.equals(other.readsByFile);
    }

    private ReadResult load(String file) {
        try {
            Path path = folder.resolve(file);
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            if (!attributes.isRegularFile()) {
                return problem("expected a file, found " + (attributes.isDirectory() ? "a folder" : "something else"));
            }
            if (attributes.size() > MAX_FILE_BYTES) {
                return problem("expected at most " + MAX_FILE_BYTES + " bytes, found " + attributes.size());
            }
            try (InputStream in = Files.newInputStream(path)) {
                byte[] bytes = in.readNBytes((int) MAX_FILE_BYTES + 1);
                return bytes.length > MAX_FILE_BYTES
                        ? problem("expected at most " + MAX_FILE_BYTES + " bytes, found more") : decode(bytes);
            }
        } catch (NoSuchFileException e) {
            return problem("expected a file, found none");
        } catch (AccessDeniedException e) {
            return problem("expected a file that can be read, found one without read permission");
        } catch (IOException | InvalidPathException e) {
            return problem("expected a file that can be read, found " + e);
        }
    }

    private static ReadResult problem(String problem) {
        return new ReadResult(null, problem, 0, 0);
    }

    /** Decodes UTF-8 strictly; reports the position of the first invalid byte. */
    private static ReadResult decode(byte[] bytes) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            return new ReadResult(decoder.decode(in).toString(), null, 0, 0);
        } catch (CharacterCodingException e) {
            int line = 1;
            int lineStart = 0;
            for (int i = 0; i < in.position(); i++) {
                if (bytes[i] == '\n') {
                    line++;
                    lineStart = i + 1;
                }
            }
            return new ReadResult(null, "expected UTF-8, found a byte "
                    + Integer.toHexString(bytes[in.position()] & 0xFF),
                    line, in.position() - lineStart + 1);
        }
    }

    /**
     * File metadata that tells files apart without reading them: a different size, modification time or inode means
     * another file. Symbolic links are followed.
     */
    record Stamp(long size, long modifiedNanos, Object fileKey) {

        static Stamp of(Path file) {
            try {
                BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
                return new Stamp(attributes.size(), attributes.lastModifiedTime().to(TimeUnit.NANOSECONDS),
                        Objects.toString(attributes.fileKey()));
            } catch (IOException | InvalidPathException e) {
                return new Stamp(-1, 0, e.getClass());
            }
        }
    }

    /** The stamps of these files by name. */
    Map<String, Stamp> stamps(Collection<String> files) {
        Map<String, Stamp> stamps = new LinkedHashMap<>();
        files.forEach(file -> stamps.put(file, Stamp.of(folder.resolve(file))));
        return stamps;
    }

    Path path(String file) {
        return folder.resolve(file);
    }
}
