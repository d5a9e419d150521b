package mastdrift.peers.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

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
        assertEquals(1_767_225_600_000_001L, started(1_000));
        assertEquals("1767225600000001", Files.readString(folder.resolve("life")));
        assertEquals(1_800_000_000_000_000L, started(1_800_000_000_000_000L));
    }

    private long started(long wall) throws IOException {
        GenerationFile file = new GenerationFile(folder);
        long generation = file.next(wall);
        file.write(generation);
        return generation;
    }

    /** The folder can't be written for a while, and the clock is set back: the start is later than the last one, and what was there stays until it can be written again. */
    @Test
    void aStartThatCantBeWrittenIsLaterAllTheSame() throws IOException {
        assertEquals(5_000, started(5_000));
        Path inTheWay = Files.createDirectory(folder.resolve("life.new"));
        GenerationFile file = new GenerationFile(folder);
        assertEquals(5_001, file.next(1_000));
        assertThrows(IOException.class, () -> file.write(5_001));
        assertEquals("5000", Files.readString(folder.resolve("life")));
        Files.delete(inTheWay);
        file.write(5_001);
        assertEquals(5_002, started(1_000));
    }
}
