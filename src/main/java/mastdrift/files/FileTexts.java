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

/** The texts of one set of files as they were at one moment, each read once. Names are relative to the gateway's file. Only
    regular files of a bounded size are opened: opening a FIFO would wait for its writer. */
public final class FileTexts implements ConfigurationReader.Texts {

    /** Bytes of one file. */
    public static final long MOST = 16 << 20;

    private final Path folder;
    private final Map<String, Read> reads = new LinkedHashMap<>();

    /** What a file held, or why it could not be read. */
    private record Read(String text, String problem, int line, int column) { }

    /** For files beside this one. */
    public FileTexts(Path file) {
        Path parent = file.toAbsolutePath().getParent();
        folder = parent == null ? file.toAbsolutePath() : parent;
    }

    /** The same for a file, by its name in messages. */
    public static ConfigurationReader.Result read(Path file) {
        return ConfigurationReader.read(name(file), new FileTexts(file));
    }

    /** What a gateway's file is called in messages, and as which it is read. */
    public static String name(Path file) {
        return String.valueOf(file.getFileName());
    }

    @Override
    public String text(String file, Problems problems) {
        Read read = reads.computeIfAbsent(file, this::load);
        if (read.text == null) {
            problems.add(new Problem(file, read.line, read.column, read.problem));
        }
        return read.text;
    }

    /** Reads these as far as they were not yet. */
    FileTexts load(Collection<String> files) {
        files.forEach(file -> reads.computeIfAbsent(file, this::load));
        return this;
    }

    /** Whether these files, and only these, read the same in both. */
    boolean same(FileTexts other) {
        return other != null && reads.equals(other.reads);
    }

    private Read load(String file) {
        try {
            Path path = folder.resolve(file);
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            if (!attributes.isRegularFile()) {
                return problem("expected a file, found " + (attributes.isDirectory() ? "a folder" : "something else"));
            }
            if (attributes.size() > MOST) {
                return problem("expected at most " + MOST + " bytes, found " + attributes.size());
            }
            try (InputStream in = Files.newInputStream(path)) {
                byte[] bytes = in.readNBytes((int) MOST + 1);
                return bytes.length > MOST ? problem("expected at most " + MOST + " bytes, found more") : decode(bytes);
            }
        } catch (NoSuchFileException e) {
            return problem("expected a file, found none");
        } catch (AccessDeniedException e) {
            return problem("expected a file that can be read, found one that may not be");
        } catch (IOException | InvalidPathException e) {
            return problem("expected a file that can be read, found " + e);
        }
    }

    private static Read problem(String problem) {
        return new Read(null, problem, 0, 0);
    }

    /** UTF-8 alone, and the place of the first byte that is none. */
    private static Read decode(byte[] bytes) {
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            return new Read(decoder.decode(in).toString(), null, 0, 0);
        } catch (CharacterCodingException e) {
            int line = 1;
            int begin = 0;
            for (int i = 0; i < in.position(); i++) {
                if (bytes[i] == '\n') {
                    line++;
                    begin = i + 1;
                }
            }
            return new Read(null, "expected UTF-8, found a byte " + Integer.toHexString(bytes[in.position()] & 0xFF),
                    line, in.position() - begin + 1);
        }
    }

    /** What a look from outside tells of a file: another size, time or inode is another file, links followed. */
    record Stamp(long size, long modified, Object key) {

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

    /** Stamps of files by their names. */
    Map<String, Stamp> stamps(Collection<String> files) {
        Map<String, Stamp> stamps = new LinkedHashMap<>();
        files.forEach(file -> stamps.put(file, Stamp.of(folder.resolve(file))));
        return stamps;
    }

    Path path(String file) {
        return folder.resolve(file);
    }
}
