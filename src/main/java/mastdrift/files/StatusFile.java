package mastdrift.files;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;

/**
 * Writes which configuration is in force and which was rejected last, as JSON, to a file that is replaced atomically;
 * for operators and the command {@code check}.
 */
public final class StatusFile {

    private final Path path;

    /** A relative name is resolved against the folder of the gateway's file. */
    public StatusFile(Path gatewayFile, String name) {
        path = gatewayFile.toAbsolutePath().resolveSibling(name);
    }

    /** Atomically replaces the file. */
    public void write(Map<String, ?> status) throws IOException {
        Path temporaryFile = path.resolveSibling(path.getFileName() + ".new");
        Files.write(temporaryFile, JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asBytes(status));
        Files.move(temporaryFile, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The status that was written last; null if there is none or it can't be read. */
    public Map<String, Object> read() {
        try {
            return Files.isRegularFile(path) ? JSON.std.mapFrom(Files.readAllBytes(path)) : null;
        } catch (IOException e) {
            return null;
        }
    }
}
