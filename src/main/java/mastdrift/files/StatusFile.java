package mastdrift.files;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;

/** What is in force and what was refused last, as JSON in a file that is replaced whole; for operators and {@code check}. */
public final class StatusFile {

    private final Path path;

    /** Beside the gateway's file where the name is relative. */
    public StatusFile(Path gatewayFile, String name) {
        path = gatewayFile.toAbsolutePath().resolveSibling(name);
    }

    /** Replaces it. */
    public void write(Map<String, ?> status) throws IOException {
        Path aside = path.resolveSibling(path.getFileName() + ".new");
        Files.write(aside, JSON.std.with(JSON.Feature.PRETTY_PRINT_OUTPUT).asBytes(status));
        Files.move(aside, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** What was written last; null where there is nothing, or nothing that can be read. */
    public Map<String, Object> read() {
        try {
            return Files.isRegularFile(path) ? JSON.std.mapFrom(Files.readAllBytes(path)) : null;
        } catch (IOException e) {
            return null;
        }
    }
}
