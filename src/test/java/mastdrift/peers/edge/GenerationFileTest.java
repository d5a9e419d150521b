package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class GenerationFileTest {

    @TempDir
    private Path folder;

    /** Guards against a start that looks older than the one before: by a clock that was set back, or by a file of the first build that is no longer found under its name. */
    @Test
    void aStartIsLaterThanTheOneThatTheFirstBuildLeft() throws IOException {
        Files.writeString(folder.resolve("life"), "1767225600000000");
        assertEquals(1_767_225_600_000_001L, new GenerationFile(folder).next(1_000));
        assertEquals("1767225600000001", Files.readString(folder.resolve("life")));
        assertEquals(1_800_000_000_000_000L, new GenerationFile(folder).next(1_800_000_000_000_000L));
    }
}
